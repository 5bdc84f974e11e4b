"""Tests of routing tokens and of both datagram formats."""

import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.core import addresses
from godwitturn.core import target_stats
from godwitturn.core import token as tokens
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets

KEY = tokens.TokenKey(1, 7, b"k" * 32)
KEYS = tokens.keys_by_id([KEY])
TOKEN = tokens.Token(1, 7, 99, 5, 6, 8)


class TestToken(unittest.TestCase):
    """A caller must not be able to choose a target or a service."""

    def test_round_trip(self) -> None:
        sealed = tokens.seal(TOKEN, 11, KEY)
        self.assertEqual(tokens.TOKEN_BYTES, len(sealed))
        self.assertEqual(TOKEN, tokens.unseal(sealed, 11, KEYS))

    def test_token_of_another_flow_is_rejected(self) -> None:
        sealed = tokens.seal(TOKEN, 11, KEY)
        self.assertIsNone(tokens.unseal(sealed, 12, KEYS))

    def test_key_of_another_service_is_rejected(self) -> None:
        other = tokens.keys_by_id([tokens.TokenKey(1, 8, b"k" * 32)])
        sealed = tokens.seal(TOKEN, 11, KEY)
        self.assertIsNone(tokens.unseal(sealed, 11, other))

    @hypothesis.given(strategies.integers(0, tokens.TOKEN_BYTES * 8 - 1))
    def test_any_flipped_bit_is_rejected(self, bit: int) -> None:
        sealed = bytearray(tokens.seal(TOKEN, 11, KEY))
        sealed[bit // 8] ^= 1 << bit % 8
        self.assertIsNone(tokens.unseal(bytes(sealed), 11, KEYS))


class TestPacket(unittest.TestCase):
    """Callers may send arbitrary bytes."""

    def test_round_trip(self) -> None:
        packet = packets.Packet(
            packets.Kind.REQUEST, 7, 1 << 63, b"t" * 32, 3, 1, 2, 500, 1
        )
        self.assertEqual(packet, packets.decode(packets.encode(packet)))

    @hypothesis.given(strategies.binary(max_size=1400))
    def test_arbitrary_bytes_never_raise(self, data: bytes) -> None:
        packets.decode(data)

    @hypothesis.given(strategies.integers(0, packets.HEADER_BYTES - 1))
    def test_truncated_packet_is_rejected(self, size: int) -> None:
        packet = packets.Packet(packets.Kind.OPEN, 7, 1)
        self.assertIsNone(packets.decode(packets.encode(packet)[:size]))


class TestEncapsulation(unittest.TestCase):
    """Only approved members may send between balancer and agent."""

    message = encapsulation.Message(
        encapsulation.Kind.RETURN,
        3,
        4,
        5,
        addresses.Address("127.0.0.1", 9),
        b"packet",
        1,
        (7, 8),
        target_stats.Load(1, 2, 3, 4, 5, True),
    )

    def test_round_trip(self) -> None:
        data = encapsulation.encode(self.message, b"p" * 32)
        decoded = encapsulation.decode(data, {3: b"p" * 32})
        self.assertEqual(self.message, decoded)

    def test_unknown_sender_is_rejected(self) -> None:
        data = encapsulation.encode(self.message, b"p" * 32)
        self.assertIsNone(encapsulation.decode(data, {2: b"p" * 32}))

    def test_other_key_is_rejected(self) -> None:
        data = encapsulation.encode(self.message, b"q" * 32)
        self.assertIsNone(encapsulation.decode(data, {3: b"p" * 32}))

    @hypothesis.given(strategies.binary(max_size=300))
    def test_arbitrary_bytes_never_raise(self, data: bytes) -> None:
        encapsulation.decode(data, {0: b"p" * 32})
