"""Tests of a balancer's table of targets."""

import collections
import random
import unittest

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import targets

READY = messages.TargetState.READY


def announcement(
    *,
    sequence: int = 1,
    run: int = 1,
    service: str = "core",
    state: messages.TargetState = READY,
    flows: int = 0,
    slots: int = 1,
    cold_ms: int = 0,
    data_centre: str = "a",
    incarnation: str = "i/1",
    failing: bool = False,
) -> messages.Announcement:
    """Returns an announcement."""
    return messages.Announcement(
        node="n",
        service=service,
        data_centre=data_centre,
        run_id=run,
        sequence=sequence,
        incarnation=incarnation,
        state=state,
        slots=slots,
        flows=flows,
        work=0,
        cold_ms=cold_ms,
        balancers=(),
        revision=0,
        failing=failing,
    )


class TableCase(unittest.TestCase):
    """A table and a short way to choose from it."""

    def setUp(self) -> None:
        self.table = targets.TargetTable()

    def choose(
        self,
        *,
        now: float = 0.0,
        spread: int = 1,
        excluded: frozenset[str] = frozenset(),
        closed: frozenset[str] = frozenset(),
        service: str = "core",
        data_centre: str = "a",
    ) -> str | None:
        """Returns the address of the target chosen."""
        target = self.table.choose(
            service,
            now=now,
            data_centre=data_centre,
            closed_data_centres=closed,
            max_flows=100,
            excluded=excluded,
            flow_hash=spread,
        )
        return target.address if target else None

    def chosen(
        self, openings: int, *, now: float = 0.0
    ) -> collections.Counter[str | None]:
        """Counts the choices for openings that are all reported at once."""
        found: collections.Counter[str | None] = collections.Counter()
        for spread in range(openings):
            found[self.choose(now=now, spread=spread)] += 1
            for target in self.table.target_by_address.values():
                target.openings_sent_at.clear()
        return found


class TestChoice(TableCase):
    """Which target gets an opening."""

    def test_least_flows_a_slot(self) -> None:
        self.table.apply_announcement(
            "a", announcement(flows=4, slots=3), now=0.0
        )
        self.table.apply_announcement(
            "b", announcement(flows=2, slots=1), now=0.0
        )
        self.assertEqual("a", self.choose())

    def test_openings_in_flight_count(self) -> None:
        self.table.apply_announcement("a", announcement(), now=0.0)
        self.table.apply_announcement("b", announcement(), now=0.0)
        chosen = [self.choose(spread=7) for _ in range(10)]
        self.assertEqual({"a": 5, "b": 5}, collections.Counter(chosen))

    def test_own_data_centre_among_equals(self) -> None:
        self.table.apply_announcement(
            "a", announcement(data_centre="b"), now=0.0
        )
        self.table.apply_announcement(
            "b", announcement(data_centre="a"), now=0.0
        )
        for spread in range(20):
            table_choice = self.choose(spread=spread, now=float(spread))
            self.table.apply_announcement(
                "a",
                announcement(data_centre="b", sequence=spread + 2),
                now=spread + 0.5,
            )
            self.table.apply_announcement(
                "b", announcement(sequence=spread + 2), now=spread + 0.5
            )
            self.assertEqual("b", table_choice)

    def test_own_data_centre_at_a_little_more_load(self) -> None:
        self.table.apply_announcement("far", announcement(flows=20), now=0.0)
        for flows, chosen in ((22, "near"), (23, "far")):
            near = announcement(sequence=flows, flows=flows, data_centre="b")
            self.table.apply_announcement("near", near, now=0.0)
            self.assertEqual(chosen, self.choose(now=1.0, data_centre="b"))

    def test_targets_that_may_not_be_chosen(self) -> None:
        cases = {
            "draining": announcement(state=messages.TargetState.DRAINING),
            "down": announcement(state=messages.TargetState.DOWN),
            "full": announcement(flows=100),
            "other": announcement(service="desk"),
            "closed": announcement(data_centre="b"),
        }
        for address, message in cases.items():
            self.table.apply_announcement(address, message, now=0.0)
        self.assertIsNone(self.choose(closed=frozenset({"b"})))
        self.assertEqual("closed", self.choose())
        self.assertIsNone(self.choose(excluded=frozenset({"closed"})))

    def test_silent_target_is_the_last_resort(self) -> None:
        self.table.apply_announcement("a", announcement(), now=0.0)
        self.table.apply_announcement("b", announcement(flows=50), now=1.0)
        self.assertEqual("b", self.choose(now=1.0))
        self.assertEqual("a", self.choose(now=1.0, excluded=frozenset({"b"})))
        self.assertIsNone(self.choose(now=1.5, excluded=frozenset({"b"})))

    def test_target_that_has_not_reported_yet_comes_last(self) -> None:
        unknown = messages.TargetState.UNKNOWN
        self.table.apply_announcement(
            "a", announcement(state=unknown), now=0.0
        )
        self.assertEqual("a", self.choose())
        self.table.apply_announcement("b", announcement(flows=9), now=0.0)
        self.assertEqual("b", self.choose())

    def test_cold_target_counts_as_loaded(self) -> None:
        self.table.apply_announcement("a", announcement(cold_ms=900), now=0.0)
        self.table.apply_announcement("b", announcement(flows=2), now=0.0)
        self.assertEqual("b", self.choose())

    def test_large_service_is_filled_evenly(self) -> None:
        draws = random.Random(3)
        flows = collections.Counter({f"t{n}": 0 for n in range(200)})
        for sequence in range(1, 21):
            for address in flows:
                self.table.apply_announcement(
                    address,
                    announcement(sequence=sequence, flows=flows[address]),
                    now=float(sequence),
                )
            for _ in range(400):
                chosen = self.choose(
                    now=sequence + 0.1, spread=draws.getrandbits(32)
                )
                assert chosen is not None
                flows[chosen] += 1
        mean = sum(flows.values()) / len(flows)
        self.assertLess(max(flows.values()) / mean, 1.25)


class TestSlowStart(TableCase):
    """A target that joins others gets its share of openings gradually."""

    joined_at = 100.0

    def setUp(self) -> None:
        super().setUp()
        for number in range(20):
            self.table.apply_announcement(
                f"old{number}", announcement(flows=50), now=0.0
            )
        self.table.apply_announcement(
            "new", announcement(flows=0), now=self.joined_at
        )

    def share(self, after_s: float) -> float:
        """Returns the share of openings that would go to the new target."""
        now = self.joined_at + after_s
        for address in self.table.target_by_address:
            self.table.record_seen(address, now=now)
        return self.chosen(1000, now=now)["new"] / 1000

    def test_share_grows(self) -> None:
        even = 1 / 21
        self.assertLess(self.share(0.0), 3 * even)
        self.assertGreater(self.share(0.0), even)
        self.assertLess(self.share(targets.RAMP_S / 2), 0.6)
        self.assertEqual(1.0, self.share(targets.RAMP_S))

    def test_restarted_agent_is_no_new_target(self) -> None:
        now = self.joined_at + targets.RAMP_S
        for run, incarnation in ((2, ""), (3, "i/1")):
            self.table.apply_announcement(
                "new",
                announcement(run=run, incarnation=incarnation),
                now=now,
            )
        self.assertEqual(1.0, self.share(targets.RAMP_S))

    def test_new_start_of_a_target_is_new(self) -> None:
        now = self.joined_at + targets.RAMP_S
        self.table.apply_announcement(
            "new", announcement(run=2, incarnation="i/2"), now=now
        )
        self.assertLess(self.share(targets.RAMP_S), 3 / 21)

    def test_targets_that_start_together_share_openings(self) -> None:
        for address in list(self.table.target_by_address):
            self.table.remove(address)
        for number in range(7):
            self.table.apply_announcement(
                f"t{number}", announcement(), now=0.0
            )
        chosen = collections.Counter(
            self.choose(now=0.0, spread=spread) for spread in range(70)
        )
        self.assertEqual({10}, set(chosen.values()))


class TestFailing(TableCase):
    """Failing targets have the least load."""

    def announce(self, number: int, *, failing: bool) -> bool:
        return self.table.apply_announcement(
            f"t{number}",
            announcement(
                sequence=1 + failing, flows=2 - failing, failing=failing
            ),
            now=0.0,
        )

    def shares(self, *, failing: int) -> list[float]:
        """Returns the shares of ten targets, of which the first ones fail."""
        for number in range(10):
            self.announce(number, failing=number < failing)
        chosen = self.chosen(2000)
        return [chosen[f"t{number}"] / 2000 for number in range(10)]

    def test_failing_target_is_tried_with_few_openings(self) -> None:
        failing, *working = self.shares(failing=1)
        self.assertLess(failing, 0.5 / 10)
        self.assertGreater(failing, 0.0)
        self.assertGreater(min(working), 0.5 / 9)

    def test_many_targets_fail(self) -> None:
        shares = self.shares(failing=4)
        self.assertAlmostEqual(1.0, sum(shares[:4]))

    def test_change_of_the_verdict_is_news(self) -> None:
        self.announce(0, failing=False)
        self.assertTrue(self.announce(0, failing=True))

    def test_only_failing_targets_are_left(self) -> None:
        self.announce(0, failing=True)
        self.assertEqual("t0", self.choose())


class TestAnnouncements(TableCase):
    """Which announcement counts."""

    def test_late_one_of_the_same_run_is_ignored(self) -> None:
        self.table.apply_announcement("a", announcement(sequence=5), now=0.0)
        self.assertFalse(
            self.table.apply_announcement(
                "a",
                announcement(sequence=4, state=messages.TargetState.DRAINING),
                now=0.1,
            )
        )
        self.assertEqual("a", self.choose())

    def test_new_run_counts_from_the_start(self) -> None:
        self.table.apply_announcement("a", announcement(sequence=50), now=0.0)
        self.assertTrue(
            self.table.apply_announcement(
                "a",
                announcement(run=2, state=messages.TargetState.DOWN),
                now=0.1,
            )
        )

    def test_reused_address_serves_its_new_service_only(self) -> None:
        self.table.apply_announcement("a", announcement(), now=0.0)
        self.assertEqual("a", self.choose())
        self.table.apply_announcement(
            "a", announcement(run=2, service="desk"), now=0.1
        )
        self.assertIsNone(self.choose())
        self.assertEqual("a", self.choose(service="desk"))


class TestMembership(TableCase):
    """Entries in the store and signs of life."""

    def test_entry_that_lapsed_while_its_agent_is_heard(self) -> None:
        self.table.register("a", "core", "a", now=0.0)
        self.table.apply_announcement("a", announcement(), now=0.0)
        self.table.unregister("a", now=0.1)
        self.assertEqual("a", self.choose(now=0.1))
        self.assertEqual([], self.table.remove_lost(now=5.0, after_s=10.0))
        self.assertEqual(["a"], self.table.remove_lost(now=10.1, after_s=10.0))
        self.assertIsNone(self.choose(now=10.1))

    def test_entry_of_a_silent_agent_is_dropped(self) -> None:
        self.table.register("a", "core", "a", now=0.0)
        self.table.unregister("a", now=2.0)
        self.assertEqual({}, self.table.target_by_address)

    def test_silence_of_most_agents_is_ours(self) -> None:
        for address in ("a", "b", "c"):
            self.table.apply_announcement(address, announcement(), now=0.0)
        self.assertTrue(self.table.mostly_reachable(now=0.1))
        self.table.apply_announcement("a", announcement(sequence=2), now=2.0)
        self.assertFalse(self.table.mostly_reachable(now=2.0))

    def test_pause_of_this_process_is_no_silence(self) -> None:
        self.table.apply_announcement("a", announcement(), now=0.0)
        self.table.discount_pause(5.0)
        self.assertEqual("a", self.choose(now=5.1))
