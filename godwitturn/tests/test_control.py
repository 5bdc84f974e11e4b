"""Tests of the messages between control nodes."""

import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import addresses
from godwitturn.core import membership
from godwitturn.protocol import control
from godwitturn.standins import control_fixtures as fixtures

_U64 = strategies.integers(0, 2**64 - 1)
_BODY = strategies.binary(max_size=60)
_ANNOUNCEMENTS = strategies.builds(
    membership.Announcement,
    _U64,
    _U64,
    _U64,
    _U64,
    strategies.builds(
        addresses.Address,
        strategies.ip_addresses().map(str),
        strategies.integers(1, 65535),
    ),
    strategies.sampled_from(membership.MemberState),
)
_PARTS = strategies.builds(
    lambda key, body, revision: control.DocumentPart(
        key, revision, len(body), 0, body
    ),
    strategies.text(min_size=1, max_size=20),
    _BODY,
    strategies.integers(1, 2**63),
)
_MESSAGES = strategies.one_of(
    strategies.builds(
        control.Digest,
        _U64,
        _U64,
        _U64,
        _U64,
        _U64,
        _U64,
        strategies.booleans(),
    ),
    strategies.builds(
        control.Delta,
        strategies.just(4),
        strategies.integers(4, 2**63),
        _U64,
        strategies.booleans(),
        strategies.lists(_PARTS, max_size=4).map(tuple),
    ),
    strategies.builds(
        control.ReaderReports,
        _U64,
        _U64,
        strategies.lists(
            strategies.builds(
                control.ReaderReport, _U64, _U64, _U64, strategies.booleans()
            ),
            max_size=4,
        ).map(tuple),
    ),
    strategies.builds(control.Heartbeat, _ANNOUNCEMENTS),
    strategies.builds(
        control.AnnouncementBatch,
        strategies.lists(_ANNOUNCEMENTS, max_size=4).map(tuple),
        strategies.booleans(),
    ),
    strategies.builds(control.SyncDigest, _U64),
    strategies.builds(
        control.SyncBuckets,
        strategies.binary(
            min_size=control.BUCKET_HASH_BYTES,
            max_size=control.BUCKET_HASH_BYTES,
        ),
    ),
    strategies.builds(
        control.SyncRequest,
        _BODY,
        strategies.lists(_ANNOUNCEMENTS, max_size=4).map(tuple),
    ),
    strategies.just(
        control.Referral(
            (
                control.ReferredBalancer(
                    fixtures.signed(fixtures.balancer("b1", "east")),
                    addresses.Address("127.0.0.1", 5),
                ),
            )
        )
    ),
)
_ANNOUNCEMENT = membership.Announcement(
    1, 2, 3, 4, addresses.Address("127.0.0.1", 5)
)


class TestCodec(unittest.TestCase):
    """A field that is lost in the encoding would make daemons disagree."""

    @hypothesis.given(_MESSAGES)
    def test_decoding_reverses_encoding(
        self, message: control.Message
    ) -> None:
        data = control.encode(message)
        self.assertEqual(message, control.decode(data))

    def test_every_message_has_a_tag(self) -> None:
        tagged = set(control.CLASS_BY_TAG.values())
        self.assertEqual(set(control.Message.__args__), tagged)


class TestMalformed(unittest.TestCase):
    """Bytes from a peer must never stop a daemon."""

    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_never_raise(self, data: bytes) -> None:
        control.decode(data)
        for tag in control.CLASS_BY_TAG:
            control.decode(bytes((control.VERSION, tag)) + data)

    @hypothesis.given(_MESSAGES, strategies.data())
    def test_changed_bytes_never_raise(
        self, message: control.Message, data: strategies.DataObject
    ) -> None:
        encoded = bytearray(control.encode(message))
        index = data.draw(strategies.integers(0, len(encoded) - 1))
        encoded[index] = data.draw(strategies.integers(0, 255))
        control.decode(bytes(encoded))

    @hypothesis.given(_MESSAGES, strategies.integers(0, 1200))
    def test_truncated_message_is_rejected(
        self, message: control.Message, size: int
    ) -> None:
        encoded = control.encode(message)
        hypothesis.assume(size < len(encoded))
        self.assertIsNone(control.decode(encoded[:size]))

    def test_deep_nesting_is_rejected(self) -> None:
        data = bytes((control.VERSION, 1)) + b"\x91" * 20000
        self.assertIsNone(control.decode(data))

    def test_other_version_or_tag_is_rejected(self) -> None:
        encoded = control.encode(control.SyncDigest(1))
        wrong_version = bytes((control.VERSION + 1,)) + encoded[1:]
        self.assertIsNone(control.decode(wrong_version))
        wrong_tag = encoded[:1] + b"\xff" + encoded[2:]
        self.assertIsNone(control.decode(wrong_tag))


class TestBounds(unittest.TestCase):
    """Values out of bounds would cost memory or corrupt state."""

    def _assert_rejected(self, message: control.Message) -> None:
        self.assertIsNone(control.decode(control.encode(message)))

    def test_too_large_message_is_rejected(self) -> None:
        part = control.DocumentPart("k", 1, 40000, 0, bytes(33000))
        self._assert_rejected(control.Delta(0, 1, 0, True, (part,)))

    def test_invalid_parts_are_rejected(self) -> None:
        good = control.DocumentPart("k", 1, 5, 2, b"abc")
        changes: tuple[dict[str, object], ...] = (
            {"key": ""},
            {"key": "k" * 257},
            {"revision": 0},
            {"size": 4},
            {"size": 1 << 30},
            {"offset": -1},
            {"offset": 3},
        )
        delta = control.Delta(0, 1, 0, True, (good,))
        self.assertEqual(delta, control.decode(control.encode(delta)))
        for change in changes:
            part = attrs.evolve(good, **change)  # type: ignore[arg-type]
            self._assert_rejected(control.Delta(0, 1, 0, True, (part,)))

    def test_delta_to_a_lower_version_is_rejected(self) -> None:
        self._assert_rejected(control.Delta(5, 4, 0, True, ()))

    def test_negative_ages_are_rejected(self) -> None:
        # A negative age would make an old report count as a new one.
        report = control.ReaderReport(1, 2, -1000, True)
        self._assert_rejected(control.ReaderReports(1, 0, (report,)))
        good = control.ReaderReport(1, 2, 0, True)
        self._assert_rejected(control.ReaderReports(1, -1, (good,)))

    def test_too_many_items_are_rejected(self) -> None:
        many = (_ANNOUNCEMENT,) * (control.MAX_ANNOUNCEMENTS + 1)
        self._assert_rejected(control.AnnouncementBatch(many, True))
        reports = (control.ReaderReport(1, 2, 0, True),) * 65
        self._assert_rejected(control.ReaderReports(1, 0, reports))

    def test_invalid_announcements_are_rejected(self) -> None:
        for address in (("", 5), ("h" * 65, 5), ("h", 0), ("h", 65536)):
            wrong = attrs.evolve(
                _ANNOUNCEMENT, address=addresses.Address(*address)
            )
            self._assert_rejected(control.Heartbeat(wrong))
        self._assert_rejected(
            control.Heartbeat(attrs.evolve(_ANNOUNCEMENT, sequence=-1))
        )

    def test_bucket_hashes_of_another_length_are_rejected(self) -> None:
        self._assert_rejected(control.SyncBuckets(bytes(1023)))
