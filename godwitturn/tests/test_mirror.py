"""Tests of the mirror of a prefix of the store."""

import unittest

from godwitturn.core.transparent import mirror


def item(key: str, revision: int, value: bytes | None = b"v") -> mirror.Item:
    return mirror.Item(key, value, revision)


class MirrorCase(unittest.TestCase):
    """A mirror with two keys at revision 10."""

    def setUp(self) -> None:
        self.mirror = mirror.Mirror("op/", 4.0)
        self.mirror.handle_result(
            mirror.Page((item("op/a", 3), item("op/b", 7)), False, 10)
        )


class TestReading(MirrorCase):
    """Reading pages."""

    def test_watch_follows_the_first_read(self) -> None:
        self.assertTrue(self.mirror.synced)
        self.assertEqual(
            mirror.Watch("op/", 10, 4.0, mirror.MIN_WATCH_BYTES),
            self.mirror.next_call(),
        )

    def test_watch_starts_at_the_revision_of_the_first_page(self) -> None:
        new_mirror = mirror.Mirror("op/", 4.0)
        self.assertEqual(
            [], new_mirror.handle_result(mirror.Page((item("a", 1),), True, 5))
        )
        self.assertEqual(mirror.ReadPage("op/", "a"), new_mirror.next_call())
        changes = new_mirror.handle_result(
            mirror.Page((item("b", 2),), False, 9)
        )
        self.assertEqual(["a", "b"], [change.key for change in changes])
        self.assertEqual(
            mirror.Watch("op/", 5, 4.0, mirror.MIN_WATCH_BYTES),
            new_mirror.next_call(),
        )

    def test_keys_deleted_before_a_new_read_are_reported(self) -> None:
        self.mirror.handle_result(mirror.Failure.HISTORY_GONE)
        self.assertEqual(mirror.ReadPage("op/", ""), self.mirror.next_call())
        changes = self.mirror.handle_result(
            mirror.Page((item("op/b", 7),), False, 12)
        )
        self.assertEqual([item("op/a", 12, None)], changes)

    def test_result_of_a_lagging_store_is_rejected(self) -> None:
        self.mirror.handle_result(mirror.Failure.UNREACHABLE)
        self.assertEqual(
            [], self.mirror.handle_result(mirror.Page((), False, 8))
        )
        self.assertEqual(["op/a", "op/b"], list(self.mirror.item_by_key))
        self.assertEqual(mirror.ReadPage("op/", ""), self.mirror.next_call())


class TestWatching(MirrorCase):
    """Applying changes."""

    def test_changes_are_applied_in_order(self) -> None:
        changes = self.mirror.handle_result(
            mirror.Changes(
                (item("op/c", 11), item("op/a", 12, None), item("op/b", 13)),
                13,
            )
        )
        self.assertEqual(3, len(changes))
        self.assertEqual(["op/b", "op/c"], sorted(self.mirror.item_by_key))

    def test_repeated_and_older_changes_are_ignored(self) -> None:
        changes = self.mirror.handle_result(
            mirror.Changes((item("op/b", 7), item("op/x", 9, None)), 10)
        )
        self.assertEqual([], changes)

    def test_revision_never_decreases(self) -> None:
        self.mirror.handle_result(mirror.Changes((), 4))
        self.assertEqual(10, self.mirror.revision)


class TestFailures(MirrorCase):
    """Failed calls and retries."""

    def test_retry_delays_grow_to_a_maximum(self) -> None:
        self.assertEqual(0.0, self.mirror.delay_s(1.0))
        delays = []
        for _ in range(8):
            self.mirror.handle_result(mirror.Failure.REFUSED)
            delays.append(self.mirror.delay_s(1.0))
        self.assertEqual(sorted(delays), delays)
        self.assertEqual(mirror.MAX_RETRY_S, delays[-1])
        self.mirror.handle_result(mirror.Page((), False, 20))
        self.assertEqual(0.0, self.mirror.delay_s(1.0))

    def test_pause_applies_between_watches_only(self) -> None:
        self.mirror.pause_s = 2.0
        self.assertEqual(2.0, self.mirror.delay_s(1.0))
        self.mirror.handle_result(mirror.Failure.HISTORY_GONE)
        self.assertEqual(0.0, self.mirror.delay_s(1.0))
        self.mirror.handle_result(mirror.Page((item("a", 20),), True, 20))
        self.assertEqual(0.0, self.mirror.delay_s(1.0))
        self.mirror.handle_result(mirror.Page((), False, 20))
        self.assertEqual(2.0, self.mirror.delay_s(1.0))

    def test_keys_stay_while_the_store_is_unavailable(self) -> None:
        self.mirror.handle_result(mirror.Failure.UNREACHABLE)
        self.assertEqual(2, len(self.mirror.item_by_key))
