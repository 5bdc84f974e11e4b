"""Tests of the datagrams between balancers and agents."""

import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import store_position
from godwitturn.core.transparent import messages
from godwitturn.protocol import transparent

POSITION = store_position.StorePosition(2, 12)
EXAMPLES: tuple[messages.Message, ...] = (
    messages.Forward("core", True, b"\x00packet"),
    messages.Forward("", False, b""),
    messages.OpeningRefused(messages.Refusal.DRAINING, b"packet"),
    messages.PacketReturned(b"packet"),
    messages.FlowQuery((1, 2, 3, 4), "core"),
    messages.FlowAbsent((1, 2, 3, 4)),
    messages.FlowUnknown((1, 2, 3, 4)),
    messages.FlowOwned((0xFFFFFFFF, 65535, 1, 443)),
    messages.Announcement(
        node="side-1",
        service="core",
        data_centre="a",
        run_id=2**47,
        sequence=9,
        incarnation="i-1/17",
        state=messages.TargetState.READY,
        slots=3,
        flows=17,
        work=2,
        cold_ms=0,
        balancers=("10.0.0.1", "10.0.0.2"),
        position=POSITION,
        failing=True,
    ),
    messages.Hello(POSITION, True, 1.5, False, "a", 9, True),
    messages.FlowsListed(((1, 2, 3, 4), (5, 6, 7, 8))),
    messages.PeerStatus(POSITION, ("10.1.0.1",), "a", True, ("10.1.0.2",)),
    messages.Relayed("10.1.0.1", messages.Forward("core", False, b"packet")),
)


class TestEncoding(unittest.TestCase):
    """Encoding and decoding of messages."""

    def test_decoding_returns_the_encoded_message(self) -> None:
        for message in EXAMPLES:
            with self.subTest(type(message).__name__):
                data = transparent.encode(message)
                self.assertEqual(message, transparent.decode(data))


class TestMalformed(unittest.TestCase):
    """Malformed datagrams are rejected without an exception."""

    @hypothesis.given(strategies.binary(max_size=64))
    def test_random_bytes_raise_nothing(self, data: bytes) -> None:
        transparent.decode(data)

    @hypothesis.given(
        strategies.sampled_from(EXAMPLES),
        strategies.integers(0, 40),
        strategies.binary(max_size=3),
    )
    def test_damaged_messages_raise_nothing(
        self, message: messages.Message, at: int, noise: bytes
    ) -> None:
        data = transparent.encode(message)
        transparent.decode(data[:at] + noise + data[at + len(noise) :])
        transparent.decode(data[:at])

    # Guards against a datagram that ends the daemon which receives it.
    def test_odd_values_are_malformed(self) -> None:
        for kind in (5, 6, 7):
            for body in (
                b"[" * 1000,
                b"[" * 100_000,
                b"[1e999]",
                b"[" + b"9" * 5000 + b"]",
            ):
                with self.subTest(kind=kind, body=body[:9]):
                    self.assertIsNone(
                        transparent.decode(bytes((kind,)) + body)
                    )
        for message, change in (
            (EXAMPLES[8], {"slots": 10**400}),
            (EXAMPLES[8], {"cold_ms": 10**400}),
            (EXAMPLES[8], {"balancers": ("not..an.address",)}),
            (EXAMPLES[8], {"service": "x" * 300}),
        ):
            with self.subTest(change=str(change)[:30]):
                odd = attrs.evolve(message, **change)
                self.assertIsNone(transparent.decode(transparent.encode(odd)))

    def test_empty_datagram_is_malformed(self) -> None:
        self.assertIsNone(transparent.decode(b""))
