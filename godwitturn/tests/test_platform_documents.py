"""Tests of the codecs of operators', targets' and agents' documents."""

from collections.abc import Callable
import contextlib
import json
from typing import Any
import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.core import store_position
from godwitturn.core.transparent import document_exchange
from godwitturn.platform import documents
from godwitturn.protocol import flow_record as flow_records

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
CONFIGURATION: dict[str, Any] = {
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
            "priority": 2,
            "target_latency_ms": 302.4,
            "timeout_ms": 1816,
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

    def test_terms_of_routes_are_decoded(self) -> None:
        decoded = documents.decode_configuration(
            json.dumps(CONFIGURATION).encode()
        )
        route = decoded.route_by_endpoint[(0xC6120002, 443)]
        terms = (route.priority, route.objective_ms, route.timeout_ms)
        self.assertEqual((2, 302, 1816), terms)
        without = decoded.route_by_endpoint[(0xC6120001, 8443)]
        self.assertEqual((0, 0), (without.objective_ms, without.timeout_ms))

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
            {"address": 8165},
            {"address": "10.1.0.12"},
            {"zone": None},
            {"version": ["v1"]},
            {"cold_remaining_ms": "0"},
        )
        for change in changes:
            with (
                self.subTest(change),
                self.assertRaises(documents.MalformedError),
            ):
                data = json.dumps({**HEARTBEAT, **change}).encode()
                documents.decode_heartbeat("i-1", data)

    # Guards against a heartbeat of another writer that counts as a restart of
    # the target, whose flows are then reset.
    def test_heartbeat_without_a_field_is_refused(self) -> None:
        for name in HEARTBEAT:
            rest = {**HEARTBEAT}
            del rest[name]
            with (
                self.subTest(name),
                self.assertRaisesRegex(documents.MalformedError, name),
            ):
                documents.decode_heartbeat("i-1", json.dumps(rest).encode())

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


# Values that a faulty writer may leave in any field.
ODD_VALUES = (
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"1e999",
    b"-1e999",
    b"NaN",
    b"9" * 400,
    b"9" * 5000,
    b"-1",
    b"70000",
    b"1.5",
    b"true",
    b"null",
    b"[]",
    b"{}",
    b'"' + b"x" * 300 + b'"',
    b'"\\ud800"',
    b'"10.0.0.1:70000"',
)


class TestOddValues(unittest.TestCase):
    """Whatever a field holds, decoding ends or reports malformed input."""

    def assert_decoded_or_malformed(
        self, decode: Callable[[bytes], object], document: object
    ) -> None:
        """Puts each odd value in place of each part of a document."""
        text = json.dumps(document)
        texts = {text, *parts(document)}
        for part in sorted(texts):
            for odd in ODD_VALUES:
                data = text.encode().replace(part.encode(), odd, 1)
                with (
                    self.subTest(part=part, odd=odd[:20]),
                    contextlib.suppress(documents.MalformedError),
                ):
                    decode(data)

    # Guards against an odd entry that ends the daemon which reads it.
    def test_documents_with_odd_values_raise_only_malformed_error(
        self,
    ) -> None:
        entry = documents.encode_agent_entry("10.1.0.12", "core", "a")
        copy = document_exchange.Documents(
            store_position.StorePosition(1, 2), {"op/config": b"x"}
        )
        cases: tuple[tuple[Callable[[bytes], object], object], ...] = (
            (documents.decode_configuration, CONFIGURATION),
            (
                lambda data: documents.decode_heartbeat("i-1", data),
                HEARTBEAT,
            ),
            (documents.decode_agent_entry, json.loads(entry)),
            (
                documents.decode_documents,
                json.loads(documents.encode_documents(copy)),
            ),
            (
                lambda data: flow_records.decode(data + b"\n"),
                ["core", "i-1", 17, ["a"]],
            ),
        )
        for decode, document in cases:
            self.assert_decoded_or_malformed(decode, document)

    # Guards against numbers that are decoded and fail in later calculations,
    # and names that fail when they are sent to other daemons.
    def test_decoded_entries_can_be_sent_on(self) -> None:
        for field, odd in (
            ("slots", 10**400),
            ("born", 10**30),
            ("cold_remaining_ms", -1),
            ("service", "x" * 300),
            ("service", "\ud800"),
        ):
            with (
                self.subTest(field=field),
                self.assertRaises(documents.MalformedError),
            ):
                data = json.dumps({**HEARTBEAT, field: odd}).encode()
                documents.decode_heartbeat("i-1", data)
        for address in ("10.1", "10.0.0.1:70000", "host", "1", ""):
            with (
                self.subTest(address=address),
                self.assertRaises(documents.MalformedError),
            ):
                data = json.dumps([address, "core", "a"]).encode()
                documents.decode_agent_entry(data)

    def test_ports_out_of_range_are_refused(self) -> None:
        for prefix in ("/70000/", "/-1/", "//", "/http/"):
            with (
                self.subTest(prefix=prefix),
                self.assertRaises(documents.MalformedError),
            ):
                route = {**CONFIGURATION["routes"][0], "prefix": prefix}
                data = json.dumps({**CONFIGURATION, "routes": [route]})
                documents.decode_configuration(data.encode())


def parts(value: object) -> list[str]:
    """Returns the JSON texts of all values that a document contains."""
    if isinstance(value, dict):
        children = list(value.values())
    elif isinstance(value, list):
        children = value
    else:
        children = []
    texts = [json.dumps(child) for child in children]
    for child in children:
        texts += parts(child)
    return texts
