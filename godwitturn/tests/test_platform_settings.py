"""Tests of the settings of a process on the platform."""

from typing import Any
import unittest

from godwitturn.platform import settings


def fields(**changes: Any) -> dict[str, Any]:
    """Returns the fields of an agent's settings."""
    return {
        "node_id": "side-1",
        "ip": "10.1.0.12",
        "zone": "a",
        "listen": {
            "datagram_addr": "10.1.0.12:8172",
            "outbound": "10.1.0.12:8162",
            "ready_addr": "10.1.0.12:8167",
            "control": "10.1.0.12:8166",
        },
        "internal_ports": [7720, 7735],
        "seeds": ["10.1.0.10:8166"],
        "bounds": {"cold_overshoot": 1.5, "cold_slack": 5, "grace_s": 6},
        "app": "10.1.0.12:8165",
        "service": "core",
        "platform": {"address": "10.200.1.7:8169"},
        "unknown": {"later": True},
        **changes,
    }


class TestDecode(unittest.TestCase):
    """Settings must be decoded, or be refused with all their errors."""

    def test_settings_of_an_agent_are_decoded(self) -> None:
        decoded = settings.decode(fields())
        self.assertEqual(("10.1.0.12", 8165), decoded.target)
        self.assertEqual(("10.200.1.7", 8169), decoded.store)
        self.assertEqual(7720, decoded.peer_port)
        self.assertEqual(("10.1.0.10",), decoded.seeds)
        self.assertEqual(5.0, decoded.cold_slack)

    def test_balancer_has_no_target(self) -> None:
        decoded = settings.decode(fields(app=None, service=None))
        self.assertIsNone(decoded.target)
        self.assertEqual("", decoded.service)

    def test_all_errors_are_reported_at_once(self) -> None:
        invalid = fields(ip=None, zone=3, internal_ports=[], seeds=["x"])
        with self.assertRaises(settings.SettingsError) as caught:
            settings.decode(invalid)
        text = str(caught.exception)
        for name in ("ip is None", "zone is 3", "internal_ports", "seeds"):
            self.assertIn(name, text)

    def test_settings_that_are_not_an_object_are_refused(self) -> None:
        with self.assertRaises(settings.SettingsError):
            settings.decode([])
