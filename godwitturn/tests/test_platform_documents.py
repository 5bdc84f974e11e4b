"""Tests of the codecs of operators', targets' and agents' documents."""

import json
from typing import Any
import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.platform import documents

HEARTBEAT = {
    "service": "core",
    "address": "10.1.0.12:8165",
    "zone": "a",
    "version": "v1",
    "slots": 1,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1779388260125,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "198.18.0.1",
            "prefix": "/8443/",
            "traffic_split": [
                {"service": "core", "weight": 90},
                {"service": "desk", "weight": 10},
            ],
        },
        {
            "name": "r2",
            "host": "198.18.0.2",
            "prefix": "/443/",
            "service": "desk",
        },
    ],
    "services": [
        {"name": "core", "max_conns": 2000, "cold_per_s": 0.0},
        {"name": "desk", "max_conns": 100, "cold_per_s": 2.5},
    ],
    "limits": {"idle_timeout_ms": 15000},
}


class TestConfiguration(unittest.TestCase):
    """A malformed configuration must be refused, not used in part."""

    def test_routes_services_and_limits_are_decoded(self) -> None:
        decoded = documents.decode_configuration(
            json.dumps(CONFIGURATION).encode()
        )
        self.assertEqual(7, decoded.version)
        split = decoded.route_by_endpoint[(0xC6120001, 8443)]
        self.assertEqual([90, 10], [share.weight for share in split.shares])
        single = decoded.route_by_endpoint[(0xC6120002, 443)]
        self.assertEqual("desk", single.shares[0].service)
        self.assertEqual(2.5, decoded.service_by_name["desk"].cold_per_second)
        self.assertEqual(15.0, decoded.idle_timeout_s)

    def test_malformed_configuration_is_refused(self) -> None:
        for data in (b"", b"[]", b"{}", b"\xff", b'{"version":1}'):
            with (
                self.subTest(data),
                self.assertRaises(documents.MalformedError),
            ):
                documents.decode_configuration(data)


class TestHeartbeat(unittest.TestCase):
    """A heartbeat with a malformed field must not be used."""

    def test_heartbeat_is_decoded(self) -> None:
        decoded = documents.decode_heartbeat(
            "i-1", json.dumps(HEARTBEAT).encode()
        )
        self.assertEqual(("i-1", 4), (decoded.target_id, decoded.sequence))
        self.assertFalse(decoded.draining)

    def test_heartbeat_with_a_malformed_field_is_refused(self) -> None:
        changes: tuple[dict[str, Any], ...] = (
            {"state": "asleep"},
            {"state": None},
            {"sequence": "4"},
            {"sequence": True},
            {"slots": None},
            {"service": 5},
            {"born": 1.5},
        )
        for change in changes:
            with (
                self.subTest(change),
                self.assertRaises(documents.MalformedError),
            ):
                data = json.dumps({**HEARTBEAT, **change}).encode()
                documents.decode_heartbeat("i-1", data)

    @hypothesis.given(strategies.binary(max_size=40))
    def test_random_bytes(self, data: bytes) -> None:
        with self.assertRaises(documents.MalformedError):
            documents.decode_heartbeat("i-1", data)


class TestAgentEntry(unittest.TestCase):
    """An agent's entry must reach its readers unchanged, or be refused."""

    def test_entry_is_decoded_as_it_was_encoded(self) -> None:
        data = documents.encode_agent_entry("10.1.0.12", "core", "a")
        self.assertEqual(
            ("10.1.0.12", "core", "a"), documents.decode_agent_entry(data)
        )

    def test_malformed_entry_is_refused(self) -> None:
        for data in (b"", b"{}", b"[1,2]", b'["x","core","a"]', b"\xff"):
            with (
                self.subTest(data),
                self.assertRaises(documents.MalformedError),
            ):
                documents.decode_agent_entry(data)


class TestEvacuation(unittest.TestCase):
    """Other keys of the store must not take a data centre out."""

    def test_only_evacuation_keys_name_a_data_centre(self) -> None:
        self.assertEqual("a", documents.evacuated_data_centre("op/evacuate/a"))
        self.assertIsNone(documents.evacuated_data_centre("op/config"))
