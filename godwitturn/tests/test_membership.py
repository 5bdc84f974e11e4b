"""Tests of announcements, liveness, damping and the choice of watchers."""

import itertools
import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import addresses
from godwitturn.core import announcement_digests
from godwitturn.core import documents
from godwitturn.core import membership
from godwitturn.core import rendezvous
from godwitturn.standins import control_fixtures as fixtures

LOST = membership.MemberState.LOST
SERVING = membership.MemberState.SERVING
BALANCERS = tuple(fixtures.balancer(f"b{i}", "east") for i in range(6))
OTHER = fixtures.balancer("b9", "east")
TARGET = fixtures.target("t1", "a", "east")
APPROVED = {member.member_id: member for member in (*BALANCERS, TARGET)}


def _announcement(
    member: documents.Member = TARGET,
    sequence: int = 1,
    state: membership.MemberState = SERVING,
    start_number: int = 5,
) -> membership.Announcement:
    return membership.Announcement(
        member.member_id,
        1,
        start_number,
        sequence,
        addresses.Address("127.0.0.1", 9),
        state,
    )


def _member_table(own: documents.Member) -> membership.Membership:
    table = membership.Membership(own.member_id)
    table.set_approved(APPROVED)
    for member in BALANCERS:
        table.apply(_announcement(member))
    return table


def _watchers() -> list[membership.Membership]:
    tables = [_member_table(member) for member in BALANCERS]
    return [
        table
        for table in tables
        if table.own_id in table.watchers.for_member(TARGET.member_id)
    ]


_ANNOUNCEMENTS = strategies.builds(
    _announcement,
    strategies.sampled_from((*BALANCERS[:2], TARGET)),
    strategies.integers(1, 4),
    strategies.sampled_from(membership.MemberState),
    strategies.integers(5, 7),
)


def _announcements_hashes(
    table: membership.Membership, *members: documents.Member
) -> list[int]:
    return [
        table.announcements_hash_for(member.member_id) for member in members
    ]


class TestMerge(unittest.TestCase):
    """Delayed or repeated announcements must not restore an old state."""

    @hypothesis.given(strategies.lists(_ANNOUNCEMENTS), strategies.randoms())
    def test_result_is_independent_of_order_and_repetition(
        self,
        received: list[membership.Announcement],
        generator: random.Random,
    ) -> None:
        one = _member_table(BALANCERS[0])
        other = _member_table(BALANCERS[0])
        shuffled = received + received
        generator.shuffle(shuffled)
        for announcement in received:
            one.apply(announcement)
        for announcement in shuffled:
            other.apply(announcement)
        self.assertEqual(one.announcement_by_id, other.announcement_by_id)
        self.assertEqual(one.live_balancers, other.live_balancers)
        self.assertEqual(
            _announcements_hashes(one, BALANCERS[0], TARGET),
            _announcements_hashes(other, BALANCERS[0], TARGET),
        )

    def test_higher_start_number_wins_over_sequence(self) -> None:
        table = _member_table(BALANCERS[0])
        table.apply(_announcement(sequence=1, start_number=6))
        table.apply(_announcement(sequence=99, start_number=5))
        current = table.announcement_by_id[TARGET.member_id]
        self.assertEqual(6, current.start_number)

    def test_later_sequence_refutes_a_loss(self) -> None:
        table = _member_table(BALANCERS[0])
        self.assertTrue(table.apply(_announcement(sequence=4)))
        self.assertTrue(table.apply(_announcement(sequence=4, state=LOST)))
        self.assertFalse(table.apply(_announcement(sequence=4)))
        self.assertTrue(table.apply(_announcement(sequence=5)))

    def test_sequence_alone_is_not_spread(self) -> None:
        table = _member_table(BALANCERS[0])
        table.apply(_announcement(sequence=4))
        before = _announcements_hashes(table, BALANCERS[0], TARGET)
        self.assertFalse(table.apply(_announcement(sequence=5)))
        self.assertEqual(
            before, _announcements_hashes(table, BALANCERS[0], TARGET)
        )


class TestNewWatcher(unittest.TestCase):
    """The loss of a watcher must not leave its members unwatched."""

    def test_new_watcher_declares_the_loss(self) -> None:
        tables = {m.member_id: _member_table(m) for m in BALANCERS}
        for table in tables.values():
            table.apply(_announcement())
            table.watch_new_members(now=0.0)
        before = tables[BALANCERS[0].member_id].watchers.for_member(
            TARGET.member_id
        )
        lost = next(m for m in BALANCERS if m.member_id == before[0])
        for table in tables.values():
            table.apply(_announcement(lost, 2, LOST))
            table.watch_new_members(now=1.0)
        after = tables[before[1]].watchers.for_member(TARGET.member_id)
        (new,) = set(after) - set(before)
        changed = []
        for tenths in range(10, 100):
            changed += tables[new].apply_watched_changes(now=tenths / 10)
        state_by_id = {a.member_id: a.state for a in changed}
        self.assertEqual(LOST, state_by_id.get(TARGET.member_id))


class TestRefusal(unittest.TestCase):
    """An unapproved or departed member must not count or use memory."""

    def test_withdrawn_member_leaves_the_hash(self) -> None:
        table = _member_table(BALANCERS[0])
        before = _announcements_hashes(table, BALANCERS[0], TARGET)
        table.apply(_announcement())
        added = {**APPROVED, OTHER.member_id: OTHER}
        table.set_approved(added)
        table.apply(_announcement(OTHER))
        self.assertNotEqual(
            before, _announcements_hashes(table, BALANCERS[0], TARGET)
        )
        kept = dict(APPROVED)
        del kept[TARGET.member_id]
        table.set_approved(kept)
        self.assertEqual(
            before, _announcements_hashes(table, BALANCERS[0], TARGET)
        )

    def test_unapproved_member_is_refused(self) -> None:
        table = _member_table(BALANCERS[0])
        unapproved = fixtures.target("stranger", "a", "east")
        table.record_heartbeat(_announcement(unapproved), now=0.0)
        self.assertFalse(table.apply(_announcement(unapproved)))
        self.assertEqual([], table.apply_watched_changes(now=0.0))
        self.assertNotIn(unapproved.member_id, table.announcement_by_id)

    def test_departed_member_is_removed(self) -> None:
        table = _watchers()[0]
        table.record_heartbeat(_announcement(), now=0.0)
        table.apply_watched_changes(now=0.0)
        self.assertIn(TARGET.member_id, table.announcement_by_id)
        rest = {i: m for i, m in APPROVED.items() if m != TARGET}
        self.assertTrue(table.set_approved(rest))
        self.assertFalse(table.apply(_announcement(sequence=9)))
        self.assertNotIn(TARGET.member_id, table.announcement_by_id)
        self.assertNotIn(TARGET.member_id, table._watched_by_id)
        self.assertNotIn(TARGET.member_id, table._damping_by_id)

    def test_member_cannot_declare_itself_lost(self) -> None:
        table = _watchers()[0]
        table.record_heartbeat(_announcement(state=LOST), now=0.0)
        self.assertEqual([], table.apply_watched_changes(now=0.0))

    def test_withdrawn_balancer_is_not_live(self) -> None:
        table = _member_table(BALANCERS[0])
        self.assertEqual(6, len(table.live_balancers))
        rest = {i: m for i, m in APPROVED.items() if m != BALANCERS[3]}
        table.set_approved(rest)
        self.assertNotIn(BALANCERS[3].member_id, table.live_balancers)


class TestLiveness(unittest.TestCase):
    """A dead target must be detected, and a live one not declared lost."""

    def setUp(self) -> None:
        self.table = _watchers()[0]
        self.now = 0.0

    def _run(
        self,
        seconds: float,
        *,
        with_heartbeats: bool = False,
        sequence: int = 0,
    ) -> list[membership.Announcement]:
        changed = []
        for step in range(round(seconds * 10)):
            self.now = round(self.now + 0.1, 1)
            if with_heartbeats and step % 10 == 0:
                heartbeat = _announcement(sequence=sequence + step)
                self.table.record_heartbeat(heartbeat, now=self.now)
            self.table.watch_new_members(now=self.now)
            changed += self.table.apply_watched_changes(now=self.now)
        return [a for a in changed if a.member_id == TARGET.member_id]

    def test_silent_member_is_lost_after_three_seconds(self) -> None:
        self.assertEqual(
            [SERVING], [a.state for a in self._run(1, with_heartbeats=True)]
        )
        self.assertEqual([], self._run(2))
        self.assertEqual([LOST], [a.state for a in self._run(1)])

    def test_loss_is_declared_once_until_the_next_heartbeat(self) -> None:
        self._run(1, with_heartbeats=True)
        self._run(4)
        refuted = _announcement(sequence=50)
        self.table.apply(refuted)
        self.assertEqual([], self._run(20))
        current = self.table.announcement_by_id[TARGET.member_id]
        self.assertEqual(refuted, current)

    def test_watcher_with_heartbeats_refutes_the_loss_of_another(self) -> None:
        self._run(5, with_heartbeats=True)
        self.table.apply(_announcement(sequence=40, state=LOST))
        changed = self._run(2, with_heartbeats=True, sequence=50)
        self.assertEqual([SERVING], [a.state for a in changed])

    def test_paused_watcher_declares_no_member_lost(self) -> None:
        self._run(1, with_heartbeats=True)
        self.now += 60
        self.assertEqual([], self._run(2))
        self.assertEqual([LOST], [a.state for a in self._run(2)])

    def test_new_watcher_waits_for_the_member_to_find_it(self) -> None:
        self.table.apply(_announcement())
        self.assertEqual([], self._run(5.9))
        self.assertEqual([LOST], [a.state for a in self._run(1)])

    def test_former_watcher_declares_no_member_lost(self) -> None:
        self._run(1, with_heartbeats=True)
        own = APPROVED[self.table.own_id]
        for i in range(400):
            if own.member_id not in self.table.watchers.for_member(
                TARGET.member_id
            ):
                break
            extra = fixtures.balancer(f"extra{i}", "east")
            self.table.set_approved(
                {**self.table.approved, extra.member_id: extra}
            )
            self.table.apply(_announcement(extra))
        self.assertEqual([], self._run(10))


class TestDamping(unittest.TestCase):
    """A flapping member must not flood all daemons with changes."""

    def _changes(self, period: float, seconds: float) -> list[float]:
        table = _watchers()[0]
        times = []
        for step in range(round(seconds * 10)):
            now = step / 10
            draining = int(now / period) % 2 == 1
            state = membership.MemberState(2 if draining else 1)
            heartbeat = _announcement(sequence=step + 1, state=state)
            table.record_heartbeat(heartbeat, now=now)
            times += [now for _ in table.apply_watched_changes(now=now)]
        return times

    def test_intervals_double_up_to_the_limit(self) -> None:
        times = self._changes(0.3, 600)
        gaps = [b - a for a, b in itertools.pairwise(times)]
        self.assertGreaterEqual(gaps[0], 1.0)
        self.assertLessEqual(len(times), 16)
        self.assertGreaterEqual(max(gaps), 60.0)
        self.assertLessEqual(max(gaps), 70.0)

    def test_slow_changes_are_spread_at_once(self) -> None:
        times = self._changes(30.0, 300)
        self.assertEqual([30.0 * i for i in range(10)], times)

    def test_last_state_wins_after_flapping(self) -> None:
        table = _watchers()[0]
        for step in range(1200):
            now = step / 10
            flapping = now < 20 and step % 2
            state = membership.MemberState(1 if flapping else 2)
            heartbeat = _announcement(sequence=step + 1, state=state)
            table.record_heartbeat(heartbeat, now=now)
            table.apply_watched_changes(now=now)
        current = table.announcement_by_id[TARGET.member_id]
        self.assertEqual(membership.MemberState.DRAINING, current.state)


class TestWatchers(unittest.TestCase):
    """Daemons must agree on the watchers, whatever changes led to them."""

    @hypothesis.given(
        strategies.lists(
            strategies.frozensets(strategies.integers(1, 12)), min_size=1
        )
    )
    def test_watchers_equal_those_of_a_new_ranking(
        self, steps: list[frozenset[int]]
    ) -> None:
        table = rendezvous.WatcherTable()
        for live in steps:
            table.set_live(live)
            for member_id in (3, 700, 701):
                bucket = rendezvous.bucket_of(member_id)
                ranking = rendezvous.rank_members(f"watch|{bucket}", live)
                others = [ranked for ranked in ranking if ranked != member_id]
                self.assertEqual(
                    tuple(others[:3]), table.for_member(member_id)
                )

    def test_loss_of_a_balancer_only_moves_its_members(self) -> None:
        ids = range(1, 41)
        table = rendezvous.WatcherTable()
        table.set_live(frozenset(ids))
        before = {i: table.for_member(i) for i in range(1000, 1256)}
        table.set_live(frozenset(ids) - {7})
        moved = [i for i in before if table.for_member(i) != before[i]]
        self.assertEqual([i for i in before if 7 in before[i]], moved)


class TestBucketHashes(unittest.TestCase):
    """Anti-entropy must find exactly the buckets that differ."""

    def test_differing_bucket_is_found(self) -> None:
        one = _member_table(BALANCERS[0])
        other = _member_table(BALANCERS[1])
        own_hashes = one.bucket_hashes_for(BALANCERS[0].member_id)
        peer_hashes = other.bucket_hashes_for(BALANCERS[0].member_id)
        self.assertEqual(own_hashes, peer_hashes)
        changed = attrs.evolve(_announcement(BALANCERS[2], 3), incarnation=8)
        other.apply(changed)
        peer_hashes = other.bucket_hashes_for(BALANCERS[0].member_id)
        bucket = rendezvous.bucket_of(BALANCERS[2].member_id)
        differing = announcement_digests.differing_buckets(
            own_hashes, peer_hashes
        )
        self.assertEqual({bucket}, differing)

    def test_agents_see_balancers_only(self) -> None:
        table = _member_table(BALANCERS[0])
        table.apply(_announcement())
        visible = table.visible_to(TARGET.member_id)
        self.assertEqual({m.member_id for m in BALANCERS}, set(visible))
