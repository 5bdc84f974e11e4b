"""Tests of control nodes in a network with delays, losses and splits."""

from collections.abc import Iterable
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from godwitturn.core import addresses
from godwitturn.core import control_events
from godwitturn.core import documents
from godwitturn.standins import control_fixtures as fixtures
from godwitturn.standins import control_fleet as fleet
from godwitturn.standins import control_network


class TestChangeInForce(unittest.TestCase):
    """An accepted change must be in force everywhere within 3 s."""

    def _assert_in_force(self, loss: float, seed: int) -> None:
        network, daemons = fleet.start(14, 6, loss=loss, seed=seed)
        network.run(20)
        for number in range(10):
            revision = network.put("rules", fleet.numbered_rules(number))
            network.run(fleet.PROPAGATION_LIMIT_SECONDS)
            late = [d for d in daemons if fleet.version_of(d) < revision]
            self.assertEqual([], [d.member.name for d in late])
        for daemon in daemons:
            self.assertEqual(
                fleet.expected_documents(network, daemon),
                fleet.documents_of(daemon),
            )

    def test_20_daemons_apply_changes_in_time(self) -> None:
        self._assert_in_force(0.0, seed=1)

    def test_20_daemons_with_20_percent_loss_apply_changes_in_time(
        self,
    ) -> None:
        for seed in range(4):
            self._assert_in_force(0.2, seed)

    def test_change_is_pushed_at_once(self) -> None:
        # Digests alone would take up to a second for each hop.
        network, daemons = fleet.start(30, 6)
        network.run(25)
        revision = network.put("rules", fleet.numbered_rules(1))
        network.run(0.3)
        self.assertEqual({revision}, set(map(fleet.version_of, daemons)))

    def test_digests_replace_lost_pushes(self) -> None:
        network, daemons = fleet.start(9)
        network.run(10)
        network.loss = 1.0
        revision = network.put("rules", fleet.numbered_rules(1))
        network.run(0.4)
        network.loss = 0.0
        self.assertTrue(any(fleet.version_of(d) < revision for d in daemons))
        network.run(fleet.PROPAGATION_LIMIT_SECONDS - 0.4)
        self.assertEqual({revision}, set(map(fleet.version_of, daemons)))

    def test_restarted_daemon_catches_up_and_opens(self) -> None:
        network, daemons = fleet.start(6, 2)
        network.run(10)
        for old in (daemons[4], daemons[7]):
            new = network.start(old.member)
            network.run(5)
            self.assertEqual(
                fleet.expected_documents(network, new),
                fleet.documents_of(new),
            )
            self.assertFalse(new.node.is_fenced)

    def test_first_balancer_reads_its_approval_from_the_store(self) -> None:
        # Without an approval no peer answers it, so it must read the store.
        network = control_network.Network()
        member = fixtures.signed(fixtures.balancer("b0", "east"))
        network.put("rules", documents.Rules(("east",)))
        daemon = network.start(member)
        network.run(20)
        self.assertTrue(daemon.node.is_fenced)
        value = documents.MemberList((member,))
        network.put("balancers/east", value)
        network.run(10)
        self.assertFalse(daemon.node.is_fenced)


class TestFence(unittest.TestCase):
    """A daemon that may have an old view must send nothing."""

    def setUp(self) -> None:
        self.network, self.daemons = fleet.start(9, 3)
        self.network.run(10)
        self.assertEqual(set(), self._fenced_names())

    def _fenced_names(self) -> set[str]:
        return {d.member.name for d in self.daemons if d.node.is_fenced}

    def _cut(self, names: Iterable[str]) -> None:
        """Cuts some daemons off from the others, but not from the store."""
        cut_names = set(names)
        self.network.is_partitioned = lambda a, b: (
            (a.member.name in cut_names) != (b.member.name in cut_names)
        )

    def _cut_store(self, name: str) -> None:
        self.network.is_store_partitioned = lambda d: d.member.name == name

    def test_cut_off_daemon_is_fenced_in_time(self) -> None:
        for name in ("b4", "t1"):
            self._cut([name])
            self._cut_store(name)
            self.network.run(
                fleet.PROPAGATION_LIMIT_SECONDS + control_network.TICK_SECONDS
            )
            self.assertEqual({name}, self._fenced_names())
            self._cut([])
            self.network.is_store_partitioned = lambda daemon: False
            self.network.run(5)
            self.assertEqual(set(), self._fenced_names())

    def test_cut_off_daemon_with_an_old_view_stays_fenced(self) -> None:
        self._cut(["b4"])
        self.network.is_store_partitioned = lambda d: d.member.name == "b4"
        self.network.put("rules", fleet.numbered_rules(1))
        self.network.run(
            fleet.PROPAGATION_LIMIT_SECONDS + control_network.TICK_SECONDS
        )
        self.assertTrue(self.daemons[4].node.is_fenced)
        self.network.run(60)
        self.assertEqual({"b4"}, self._fenced_names())

    def test_paused_daemon_resumes_fenced(self) -> None:
        # Reports that were buffered during the pause carry small ages, which
        # must not make the old view count as confirmed.
        for daemon in (self.daemons[4], self.daemons[10]):
            daemon.is_paused = True
            self.network.run(2)
            self.network.put("rules", fleet.numbered_rules(1))
            self.network.run(20)
            self._cut([daemon.member.name])
            self.network.is_store_partitioned = lambda d: True
            self.network.run(4)
            self.assertTrue(daemon.node.should_fence(self.network.now))
            self.network.resume(daemon)
            self.assertTrue(daemon.node.is_fenced)
            self._cut([])
            self.network.is_store_partitioned = lambda d: False
            self.network.run(5)
            self.assertFalse(daemon.node.is_fenced)

    def test_paused_reader_resumes_fenced(self) -> None:
        reader = next(d for d in self.daemons if d.reads_store)
        reader.is_paused = True
        self.network.run(20)
        self.assertTrue(reader.node.should_fence(self.network.now))
        self._cut([reader.member.name])
        self.network.is_store_partitioned = lambda d: d is reader
        self.network.run(4)
        self.network.resume(reader)
        self.assertTrue(reader.node.is_fenced)

    def test_no_daemon_is_fenced_in_an_outage_of_the_store(self) -> None:
        before = [list(d.fence_changes) for d in self.daemons]
        self.network.store_down = True
        self.network.run(60)
        self.network.store_down = False
        self.network.run(10)
        self.assertEqual(before, [d.fence_changes for d in self.daemons])

    def test_cut_off_minority_is_fenced_in_an_outage(self) -> None:
        self.network.store_down = True
        self.network.run(10)
        east = [
            d.member.name
            for d in self.daemons
            if d.member.data_centre == "east"
        ]
        self._cut(east)
        self.network.run(6)
        self.assertEqual(set(east), self._fenced_names())
        self.network.run(20)
        self.assertEqual(set(east), self._fenced_names())
        self._cut([])
        self.network.run(10)
        self.assertEqual(set(), self._fenced_names())

    def test_split_sides_that_reach_the_store_stay_open(self) -> None:
        east = [
            d.member.name
            for d in self.daemons
            if d.member.data_centre == "east"
        ]
        self._cut(east)
        self.network.run(30)
        self.assertEqual(set(), self._fenced_names())
        revision = self.network.put("rules", fleet.numbered_rules(1))
        self.network.run(fleet.PROPAGATION_LIMIT_SECONDS)
        self.assertEqual({revision}, set(map(fleet.version_of, self.daemons)))


class TestRestartInOutage(unittest.TestCase):
    """Without the store, an old copy of one peer must not open a daemon."""

    def setUp(self) -> None:
        self.network, self.daemons = fleet.start(9)
        self.network.run(10)
        self.old = self.daemons[3]
        self.network.is_partitioned = lambda a, b: self.old in (a, b)
        self.network.is_store_partitioned = lambda d: d is self.old
        self.newest = self.network.put("rules", fleet.numbered_rules(1))
        self.network.run(10)
        self.network.store_down = True
        self.network.run(5)
        # Restarted daemons may attach to the one with the old copy first.
        address = addresses.Address("127.0.0.1", 4)
        seed = control_events.Seed(address, self.old.member.public_key)
        self.network.seeds = (seed, *self.network.seeds)

    def test_daemon_with_only_the_old_copy_is_fenced(self) -> None:
        new = self.network.start(self.daemons[0].member)
        pair = {new, self.old}
        self.network.is_partitioned = lambda a, b: (a in pair) != (b in pair)
        self.network.run(40)
        self.assertEqual(fleet.version_of(self.old), fleet.version_of(new))
        self.assertLess(fleet.version_of(new), self.newest)
        self.assertTrue(new.node.is_fenced)
        self.assertTrue(self.old.node.is_fenced)
        self.network.is_partitioned = lambda a, b: False
        self.network.run(15)
        self._assert_newest((new, self.old))

    def test_daemon_opens_with_the_newest_copy_of_the_majority(self) -> None:
        self.network.is_partitioned = lambda a, b: False
        new = self.network.start(self.daemons[0].member)
        self.network.run(15)
        self._assert_newest((new, self.old))

    def test_restarted_majority_does_not_confirm_an_old_copy(self) -> None:
        # The daemons of two of three data centres are restarted, and the only
        # copy left to them is the old one.
        kept = [d for d in self.daemons if d.member.data_centre == "west"]
        restarted = [
            self.network.start(d.member)
            for d in self.daemons
            if d.member.data_centre != "west" and d is not self.old
        ]
        apart = {self.old, *restarted}
        self.network.is_partitioned = lambda a, b: (a in apart) != (b in apart)
        self.network.run(40)
        self.assertEqual(
            {fleet.version_of(self.old)},
            set(map(fleet.version_of, apart)),
        )
        self.assertEqual([], [d for d in apart if not d.node.is_fenced])
        self.assertEqual([], [d for d in kept if not d.node.is_fenced])

    def _assert_newest(self, daemons: Iterable[fixtures.Daemon]) -> None:
        for daemon in daemons:
            self.assertFalse(daemon.node.is_fenced)
            self.assertEqual(self.newest, fleet.version_of(daemon))


class VersionMachine(stateful.RuleBasedStateMachine):
    """Any order of changes, cuts, pauses, restarts and outages."""

    def __init__(self) -> None:
        super().__init__()
        self.network, self.daemons = fleet.start(5, 1, loss=0.1)
        self.cut: set[str] = set()
        self.network.is_partitioned = lambda a, b: (
            (a.member.name in self.cut) != (b.member.name in self.cut)
        )
        self.network.is_store_partitioned = lambda d: (
            d.member.name in self.cut and len(self.cut) == 1
        )
        self.history = [(self.network.now, self.network.revision)]
        self.outage_began = self.outage_ended = self.network.now
        self.network.run(8)

    @stateful.rule(number=strategies.integers(1, 99))
    def put(self, number: int) -> None:
        if not self.network.store_down:
            self.network.put("rules", fleet.numbered_rules(number))
            now = self.network.now
            self.history.append((now, self.network.revision))

    @stateful.rule(seconds=strategies.sampled_from((0.1, 0.7, 2.0, 5.0)))
    def run_on(self, seconds: float) -> None:
        self.network.run(seconds)
        if self.network.store_down:
            self.outage_ended = self.network.now

    @stateful.rule(names=strategies.sets(strategies.integers(0, 5)))
    def split(self, names: set[int]) -> None:
        self.cut = {self.daemons[i].member.name for i in names}

    @stateful.rule(
        index=strategies.integers(0, 5),
        seconds=strategies.sampled_from((0.5, 3.5, 5.0)),
    )
    def isolate_during_a_change(self, index: int, seconds: float) -> None:
        self.cut = {self.daemons[index].member.name}
        self.put(1)
        self.run_on(seconds)

    @stateful.rule(index=strategies.integers(0, 5))
    def pause_or_wake(self, index: int) -> None:
        daemon = self.daemons[index]
        if daemon.is_paused:
            self.network.resume(daemon)
        else:
            daemon.is_paused = True

    @stateful.rule(index=strategies.integers(0, 5))
    def restart(self, index: int) -> None:
        member = self.daemons[index].member
        self.daemons[index] = self.network.start(member)

    @stateful.rule(down=strategies.booleans())
    def switch_store(self, down: bool) -> None:
        now = self.network.now
        if down and not self.network.store_down and not self._in_outage():
            self.outage_began = now
        if self.network.store_down:
            self.outage_ended = now
        self.network.store_down = down

    def _in_outage(self) -> bool:
        """Returns whether reports of an outage may still count."""
        since = self.network.now - self.outage_ended
        return (
            self.network.store_down
            or since < fleet.PROPAGATION_LIMIT_SECONDS + 1.0
        )

    @stateful.invariant()
    def versions_never_go_down(self) -> None:
        for daemon in self.network.daemon_by_id.values():
            pairs = zip(
                daemon.applied_revisions,
                daemon.applied_revisions[1:],
                strict=False,
            )
            for old, new in pairs:
                assert all(new.get(k, 0) >= old[k] for k in old), (old, new)

    @stateful.invariant()
    def open_daemons_have_a_recent_view(self) -> None:
        # A view must be fenced once it is older than a confirmation may be,
        # plus one tick. In an outage, the age counts up to its beginning.
        now = self.outage_began if self._in_outage() else self.network.now
        bound = (
            now
            - fleet.PROPAGATION_LIMIT_SECONDS
            - control_network.TICK_SECONDS
        )
        due = max(r for at, r in self.history if at <= bound)
        for daemon in self.daemons:
            # A daemon calls `should_fence` at each wake-up, before it handles
            # events.
            is_open = not daemon.node.should_fence(self.network.now)
            if is_open and not daemon.is_paused:
                assert fleet.version_of(daemon) >= due, daemon.member.name

    def teardown(self) -> None:
        """Compares all views with the store after the faults have ended."""
        self.cut = set()
        self.network.store_down = False
        for daemon in self.daemons:
            if daemon.is_paused:
                self.network.resume(daemon)
        self.network.loss = 0.0
        self.network.run(15)
        self.versions_never_go_down()
        for daemon in self.daemons:
            assert fleet.documents_of(daemon) == fleet.expected_documents(
                self.network, daemon
            )
            assert not daemon.node.is_fenced, daemon.member.name


TestVersions = VersionMachine.TestCase
TestVersions.__doc__ = "A configuration must never revert at a daemon."
TestVersions.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=25,
    deadline=None,
    database=None,
    derandomize=True,
)
