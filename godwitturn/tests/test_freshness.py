"""Tests of confirmations, their expiry and fencing."""

import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.core import freshness

DATA_CENTRES = ("east", "mid", "west")
DATA_CENTRE_BY_READER = {1: "east", 2: "mid", 3: "west", 4: "east"}


class FreshnessTestCase(unittest.TestCase):
    """A test with the reports that one daemon received."""

    def setUp(self) -> None:
        self.state = freshness.Freshness()

    def _apply_report(
        self,
        reader: int,
        revision: int,
        at: float,
        *,
        answered: bool,
        version: int = 10,
        now: float | None = None,
    ) -> bool:
        report = freshness.Report(reader, revision, at, answered)
        is_stored = freshness.apply_report(
            self.state, report, now=at if now is None else now
        )
        freshness.update_confirmation(
            self.state, version, DATA_CENTRE_BY_READER
        )
        return is_stored

    def _is_fenced(self, now: float, version: int = 10) -> bool:
        return freshness.should_fence(
            self.state, version, DATA_CENTRE_BY_READER, DATA_CENTRES, now=now
        )


class TestStoreConfirmation(FreshnessTestCase):
    """A daemon must not act on a view that the store may have changed."""

    def test_daemon_without_reports_is_fenced(self) -> None:
        self.assertTrue(self._is_fenced(100.0))

    def test_confirmation_expires_by_age(self) -> None:
        self._apply_report(1, 10, 100.0, answered=True)
        self.assertFalse(self._is_fenced(100.0))
        self.assertFalse(self._is_fenced(103.0))
        self.assertTrue(self._is_fenced(103.01))

    def test_confirmation_of_a_newer_revision_does_not_open(self) -> None:
        self._apply_report(1, 11, 100.0, answered=True)
        self.assertTrue(self._is_fenced(100.0))

    def test_newer_revision_does_not_end_an_earlier_confirmation(self) -> None:
        self._apply_report(1, 10, 100.0, answered=True)
        self._apply_report(1, 11, 101.0, answered=True)
        self.assertFalse(self._is_fenced(103.0))
        self.assertTrue(self._is_fenced(103.5))

    def test_view_that_catches_up_is_confirmed(self) -> None:
        self._apply_report(1, 11, 100.0, answered=True)
        freshness.update_confirmation(self.state, 11, DATA_CENTRE_BY_READER)
        self.assertFalse(self._is_fenced(101.0, version=11))

    def test_empty_view_is_never_confirmed(self) -> None:
        self._apply_report(1, 0, 100.0, answered=True, version=0)
        self.assertTrue(self._is_fenced(100.0, version=0))

    def test_reader_that_is_not_approved_is_ignored(self) -> None:
        self._apply_report(9, 10, 100.0, answered=True)
        self.assertTrue(self._is_fenced(100.0))

    def test_report_from_the_future_is_refused(self) -> None:
        is_stored = self._apply_report(1, 10, 200.0, answered=True, now=100.0)
        self.assertFalse(is_stored)

    def test_reports_are_bounded(self) -> None:
        for reader in range(1000):
            self._apply_report(reader, 10, 100.0, answered=True)
        count = len(self.state.report_by_reader)
        self.assertEqual(freshness.MAX_REPORTS, count)
        self.assertTrue(self._apply_report(2000, 10, 104.0, answered=True))


class TestOutage(FreshnessTestCase):
    """In an outage a minority must be fenced, and a majority stay open."""

    def test_majority_that_agrees_on_an_outage_opens(self) -> None:
        self._apply_report(1, 10, 100.0, answered=False)
        self.assertTrue(self._is_fenced(100.0))
        self._apply_report(2, 9, 100.0, answered=False)
        self.assertFalse(self._is_fenced(100.0))
        self.assertTrue(self._is_fenced(103.01))

    def test_two_readers_of_one_data_centre_count_once(self) -> None:
        self._apply_report(1, 10, 100.0, answered=False)
        self._apply_report(4, 10, 100.0, answered=False)
        self.assertTrue(self._is_fenced(100.0))

    def test_higher_revision_of_any_reader_fences(self) -> None:
        for reader in (1, 2):
            self._apply_report(reader, 10, 100.0, answered=False)
        for answered in (False, True):
            self._apply_report(3, 11, 100.0 + answered, answered=answered)
            self.assertTrue(self._is_fenced(101.0))

    def test_half_is_no_majority(self) -> None:
        self._apply_report(1, 10, 100.0, answered=False)
        is_fenced = freshness.should_fence(
            self.state, 10, DATA_CENTRE_BY_READER, ("east", "mid"), now=100.0
        )
        self.assertTrue(is_fenced)

    def test_data_centre_that_is_not_listed_does_not_count(self) -> None:
        self._apply_report(1, 10, 100.0, answered=False)
        self._apply_report(2, 10, 100.0, answered=False)
        is_fenced = freshness.should_fence(
            self.state,
            10,
            DATA_CENTRE_BY_READER,
            ("east", "north", "south"),
            now=100.0,
        )
        self.assertTrue(is_fenced)

    def test_store_that_answers_again_ends_the_outage(self) -> None:
        self._apply_report(1, 10, 100.0, answered=False)
        self._apply_report(2, 10, 100.0, answered=False)
        self._apply_report(2, 10, 101.0, answered=True)
        self.assertFalse(self._is_fenced(104.0))
        self.assertTrue(self._is_fenced(104.01))


class TestSentDigests(unittest.TestCase):
    """A buffered echo must not look fresh after a pause."""

    @hypothesis.given(
        strategies.floats(0, 100),
        strategies.floats(0, 100),
        strategies.floats(0, 100),
        strategies.floats(0, 1000),
    )
    def test_bound_is_never_later_than_the_echo(
        self, forward: float, since_digest_s: float, back: float, pause: float
    ) -> None:
        digests = freshness.SentDigests()
        digests.record(7, now=50.0)
        echoed_at = 50.0 + forward + since_digest_s
        bound = digests.earliest_echo_at(
            7, since_digest_s, now=echoed_at + back + pause
        )
        assert bound is not None
        self.assertLessEqual(bound, echoed_at + 1e-9)

    def test_unknown_stamp_gives_no_bound(self) -> None:
        digests = freshness.SentDigests()
        self.assertIsNone(digests.earliest_echo_at(7, 0.0, now=1.0))

    def test_stamps_are_bounded(self) -> None:
        digests = freshness.SentDigests()
        for stamp in range(1000):
            digests.record(stamp, now=float(stamp))
        oldest = 1000 - freshness.MAX_SENT_DIGESTS
        self.assertIsNotNone(digests.earliest_echo_at(oldest, 0.0, now=1000.0))
        self.assertIsNone(
            digests.earliest_echo_at(oldest - 1, 0.0, now=1000.0)
        )
        self.assertEqual(999.5, digests.earliest_echo_at(999, 0.5, now=1000.0))
