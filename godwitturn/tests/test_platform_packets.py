"""Tests of the codec of the platform's packets."""

import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.platform import packets

# Examples from the platform's documentation.
OPENING = bytes.fromhex(
    "419c010012c6bb0107004064000000004433221100000000d5c3b2a101000000"
)
RESET = bytes.fromhex(
    "bb0107004064419c010012c60000000000000000000000000000000080000000"
)
FLOW_ID = (0x64400007, 40001, 0xC6120001, 443)


class TestDecode(unittest.TestCase):
    """Packets of both directions must be assigned to the same flow."""

    def test_documented_opening_is_decoded(self) -> None:
        segment = packets.decode(OPENING, from_target=False)
        assert segment is not None
        self.assertEqual(FLOW_ID, segment.flow_id)
        self.assertTrue(segment.opening)
        self.assertFalse(segment.accepting or segment.resetting)

    def test_both_directions_have_one_flow_id(self) -> None:
        reset = packets.decode(RESET, from_target=True)
        assert reset is not None
        self.assertEqual(FLOW_ID, reset.flow_id)
        self.assertTrue(reset.resetting)

    def test_returned_packet_keeps_the_clients_direction(self) -> None:
        data = OPENING[:28] + bytes((1 | 8,)) + OPENING[29:]
        segment = packets.decode(data, from_target=True)
        assert segment is not None
        self.assertEqual(FLOW_ID, segment.flow_id)
        self.assertTrue(segment.returned and segment.opening)

    def test_packet_of_wrong_length_is_not_decoded(self) -> None:
        self.assertIsNone(packets.decode(OPENING + b"x", from_target=False))
        self.assertIsNone(packets.decode(OPENING[:-1], from_target=False))

    @hypothesis.given(strategies.binary(max_size=80))
    def test_random_bytes(self, data: bytes) -> None:
        packets.decode(data, from_target=True)


class TestEncode(unittest.TestCase):
    """Encoded packets must have the documented format."""

    def test_encoded_reset_matches_the_documentation(self) -> None:
        self.assertEqual(RESET, packets.encode_reset(FLOW_ID, 0))

    def test_tag_changes_nothing_else(self) -> None:
        tagged = packets.with_tag(OPENING, 0x01020304)
        segment = packets.decode(tagged, from_target=False)
        assert segment is not None
        self.assertEqual(0x01020304, segment.tag)
        self.assertEqual(OPENING, packets.with_tag(tagged, 0))

    def test_client_address_is_read_from_the_flow_id(self) -> None:
        self.assertEqual("100.64.0.7", packets.client_address(FLOW_ID))
