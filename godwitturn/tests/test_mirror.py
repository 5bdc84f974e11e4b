"""Tests of the mirror of a prefix of the store."""

import unittest

from godwitturn.core import store_position
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import mirror


def item(key: str, revision: int, value: bytes | None = b"v") -> mirror.Item:
    return mirror.Item(key, value, revision)


def at(revision: int, *, era: int = 0) -> store_position.StorePosition:
    return store_position.StorePosition(era, revision)


class MirrorCase(unittest.TestCase):
    """A mirror with two keys at revision 10."""

    def setUp(self) -> None:
        self.mirror = mirror.Mirror("op/", 4.0)
        self.mirror.handle_result(
            mirror.Page((item("op/a", 3), item("op/b", 7)), False, at(10)),
            now=0.0,
        )


class TestReading(MirrorCase):
    """Reading pages."""

    def test_watch_follows_the_first_read(self) -> None:
        self.assertTrue(self.mirror.synced)
        self.assertEqual(
            mirror.Watch("op/", 10, 4.0, mirror.MIN_WATCH_BYTES),
            self.mirror.next_call(now=0.0),
        )

    def test_watch_starts_at_the_revision_of_the_first_page(self) -> None:
        new_mirror = mirror.Mirror("op/", 4.0)
        self.assertEqual(
            [],
            new_mirror.handle_result(
                mirror.Page((item("a", 1),), True, at(5)), now=0.0
            ),
        )
        self.assertEqual(
            mirror.ReadPage("op/", "a"), new_mirror.next_call(now=0.0)
        )
        changes = new_mirror.handle_result(
            mirror.Page((item("b", 2),), False, at(9)), now=0.0
        )
        self.assertEqual(["a", "b"], [change.key for change in changes])
        self.assertEqual(
            mirror.Watch("op/", 5, 4.0, mirror.MIN_WATCH_BYTES),
            new_mirror.next_call(now=0.0),
        )

    def test_keys_deleted_before_a_new_read_are_reported(self) -> None:
        self.mirror.handle_result(mirror.Failure.HISTORY_GONE, now=0.0)
        self.assertEqual(
            mirror.ReadPage("op/", ""), self.mirror.next_call(now=0.0)
        )
        changes = self.mirror.handle_result(
            mirror.Page((item("op/b", 7),), False, at(12)), now=0.0
        )
        self.assertEqual([item("op/a", 12, None)], changes)

    def test_result_of_a_lagging_store_is_rejected(self) -> None:
        self.mirror.handle_result(mirror.Failure.UNREACHABLE, now=0.0)
        self.assertEqual(
            [],
            self.mirror.handle_result(mirror.Page((), False, at(8)), now=0.0),
        )
        self.assertEqual(["op/a", "op/b"], list(self.mirror.item_by_key))
        self.assertEqual(
            mirror.ReadPage("op/", ""), self.mirror.next_call(now=0.0)
        )


class TestWatching(MirrorCase):
    """Applying changes."""

    def test_changes_are_applied_in_order(self) -> None:
        changes = self.mirror.handle_result(
            mirror.Changes(
                (item("op/c", 11), item("op/a", 12, None), item("op/b", 13)),
                at(13),
            ),
            now=0.0,
        )
        self.assertEqual(3, len(changes))
        self.assertEqual(["op/b", "op/c"], sorted(self.mirror.item_by_key))

    def test_repeated_and_older_changes_are_ignored(self) -> None:
        changes = self.mirror.handle_result(
            mirror.Changes((item("op/b", 7), item("op/x", 9, None)), at(10)),
            now=0.0,
        )
        self.assertEqual([], changes)

    def test_revision_never_decreases(self) -> None:
        self.mirror.handle_result(mirror.Changes((), at(4)), now=0.0)
        self.assertEqual(at(10), self.mirror.position)


class TestFailures(MirrorCase):
    """Failed calls and retries."""

    def test_retry_delays_grow_to_a_maximum(self) -> None:
        self.assertEqual(0.0, self.mirror.delay_s(1.0))
        delays = []
        for _ in range(8):
            self.mirror.handle_result(mirror.Failure.REFUSED, now=0.0)
            delays.append(self.mirror.delay_s(1.0))
        self.assertEqual(sorted(delays), delays)
        self.assertEqual(mirror.MAX_RETRY_S, delays[-1])
        self.mirror.handle_result(mirror.Page((), False, at(20)), now=0.0)
        self.assertEqual(0.0, self.mirror.delay_s(1.0))

    def test_pause_applies_between_watches_only(self) -> None:
        self.mirror.pause_s = 2.0
        self.assertEqual(2.0, self.mirror.delay_s(1.0))
        self.mirror.handle_result(mirror.Failure.HISTORY_GONE, now=0.0)
        self.assertEqual(0.0, self.mirror.delay_s(1.0))
        self.mirror.handle_result(
            mirror.Page((item("a", 20),), True, at(20)), now=0.0
        )
        self.assertEqual(0.0, self.mirror.delay_s(1.0))
        self.mirror.handle_result(mirror.Page((), False, at(20)), now=0.0)
        self.assertEqual(2.0, self.mirror.delay_s(1.0))

    def test_keys_stay_while_the_store_is_unavailable(self) -> None:
        self.mirror.handle_result(mirror.Failure.UNREACHABLE, now=0.0)
        self.assertEqual(2, len(self.mirror.item_by_key))


class TestAdoption(MirrorCase):
    """Copies of other daemons beside results of the store."""

    # Guards against a key that comes back with a late answer to a watch,
    # although the adopted copy contains its deletion.
    def test_late_changes_do_not_bring_back_a_deleted_key(self) -> None:
        self.mirror.next_call(now=0.0)
        self.mirror.adopt(
            document_exchange.Documents(at(20), {"op/a": b"v", "op/b": b"v"})
        )
        changes = self.mirror.handle_result(
            mirror.Changes((item("op/c", 15),), at(16)), now=0.0
        )
        self.assertEqual([], changes)
        self.assertEqual(at(20), self.mirror.position)


class TestRestore(MirrorCase):
    """A restored store gives out revisions again, in a new era."""

    def restore(self, *items: mirror.Item, now: float = 0.0) -> list[str]:
        """Applies a read in era 1; returns the keys that changed."""
        self.mirror.handle_result(mirror.Failure.HISTORY_GONE, now=now)
        page = mirror.Page(items, False, at(8, era=1))
        return [
            change.key for change in self.mirror.handle_result(page, now=now)
        ]

    # Guards against a restored store that is taken for one that lags behind.
    def test_lower_revision_of_a_later_era_is_newer(self) -> None:
        keys = self.restore(item("op/a", 8, b"new"), item("op/b", 7))
        self.assertEqual(["op/a"], keys)
        self.assertEqual(at(8, era=1), self.mirror.position)
        self.assertEqual(at(8, era=1), self.mirror.documents().position)

    def test_changes_of_a_later_era_are_read_anew(self) -> None:
        """The store has passed the watched revision again, with other keys."""
        self.mirror.next_call(now=0.0)
        changes = self.mirror.handle_result(
            mirror.Changes((item("op/c", 12),), at(12, era=1)), now=0.0
        )
        self.assertEqual([], changes)
        self.assertEqual(
            mirror.ReadPage("op/", ""), self.mirror.next_call(now=0.0)
        )

    def test_watch_from_before_an_adopted_restore_is_read_anew(self) -> None:
        self.mirror.next_call(now=0.0)
        self.mirror.adopt(
            document_exchange.Documents(at(9, era=1), {"op/a": b"v"})
        )
        for era in (0, 1):
            with self.subTest(era=era):
                changes = self.mirror.handle_result(
                    mirror.Changes((item("op/c", 30),), at(30, era=era)),
                    now=0.0,
                )
                self.assertEqual([], changes)
                self.assertEqual(
                    mirror.ReadPage("op/", ""), self.mirror.next_call(now=0.0)
                )

    def test_pages_of_two_eras_are_not_joined(self) -> None:
        self.mirror.handle_result(mirror.Failure.HISTORY_GONE, now=0.0)
        for era, more in ((0, True), (1, False)):
            page = mirror.Page((item("op/c", 9),), more, at(12, era=era))
            self.assertEqual([], self.mirror.handle_result(page, now=0.0))
        self.assertEqual(
            mirror.ReadPage("op/", ""), self.mirror.next_call(now=0.0)
        )

    def test_lost_keys_are_kept_until_they_may_have_been_written_again(
        self,
    ) -> None:
        self.mirror.restore_grace_s = 5.0
        self.assertEqual([], self.restore(item("op/a", 3)))
        self.assertIn("op/b", self.mirror.item_by_key)
        call = self.mirror.next_call(now=4.0)
        assert isinstance(call, mirror.Watch)
        self.assertEqual(1.0, call.wait_s)
        self.mirror.handle_result(mirror.Changes((), at(9, era=1)), now=5.0)
        self.assertEqual(
            mirror.ReadPage("op/", ""), self.mirror.next_call(now=5.0)
        )
        page = mirror.Page((item("op/a", 3),), False, at(10, era=1))
        changes = self.mirror.handle_result(page, now=5.0)
        self.assertEqual([item("op/b", 10, None)], changes)

    def test_lost_key_that_is_written_again_stays(self) -> None:
        self.mirror.restore_grace_s = 5.0
        self.restore(item("op/a", 3))
        self.mirror.next_call(now=1.0)
        self.mirror.handle_result(
            mirror.Changes((item("op/b", 9),), at(9, era=1)), now=1.0
        )
        self.mirror.next_call(now=5.0)
        page = mirror.Page(
            (item("op/a", 3), item("op/b", 9)), False, at(10, era=1)
        )
        self.assertEqual([], self.mirror.handle_result(page, now=5.0))

    def test_lost_keys_are_removed_at_once_without_grace(self) -> None:
        self.assertEqual(["op/b"], self.restore(item("op/a", 3)))
