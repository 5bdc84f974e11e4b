"""Tests of the choice of targets for openings."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.core import placement
from godwitturn.core import routing
from godwitturn.core import target_stats
from godwitturn.tests import balancer_support as support

FLOW_HASHES = strategies.integers(0, 2**64 - 1)
FULL = target_stats.Load(2000, 2000, 1, 0, 1000)


def ranking_of(
    targets: list[routing.Target], shares: dict[str, float] | None = None
) -> placement.Ranking:
    return placement.Ranking.from_targets(tuple(targets), shares or {})


def flow_hashes(count: int) -> list[int]:
    source = random.Random(7)
    return [source.getrandbits(64) for _ in range(count)]


def first_ids(ranking: placement.Ranking, hashes: list[int]) -> list[int]:
    return [
        placement.choose_targets(ranking, flow_hash, {}, 0.0)[0].member_id
        for flow_hash in hashes
    ]


class TestRendezvous(unittest.TestCase):
    """The hash must spread flows evenly and move as few as possible."""

    def test_first_targets_are_even(self) -> None:
        ranking = ranking_of([support.target(n) for n in range(1, 11)])
        counts = collections.Counter(first_ids(ranking, flow_hashes(20_000)))
        self.assertEqual(10, len(counts))
        # 2,000 expected each, with a standard deviation of 42.
        self.assertLess(max(counts.values()), 2000 + 4 * 42)
        self.assertGreater(min(counts.values()), 2000 - 4 * 42)

    def test_second_target_is_independent_of_the_first(self) -> None:
        ranking = ranking_of([support.target(n) for n in range(1, 6)])
        pairs: collections.Counter[tuple[int, int]] = collections.Counter()
        for flow_hash in flow_hashes(20_000):
            first, second, _ = placement.choose_targets(
                ranking, flow_hash, {}, 0.0
            )
            pairs[first.member_id, second.member_id] += 1
        # 1,000 expected for each of 20 pairs, standard deviation 31.
        self.assertEqual(20, len(pairs))
        self.assertLess(max(pairs.values()), 1000 + 4 * 31)
        self.assertGreater(min(pairs.values()), 1000 - 4 * 31)

    def test_flows_are_proportional_to_weight(self) -> None:
        targets = [support.target(n) for n in range(1, 5)]
        targets[0].weight = 3.0
        counts = collections.Counter(
            first_ids(ranking_of(targets), flow_hashes(12_000))
        )
        # 6,000 expected, standard deviation 55.
        self.assertLess(abs(counts[1] - 6000), 4 * 55)

    def test_target_with_weight_zero_gets_no_flows(self) -> None:
        targets = [support.target(n) for n in range(1, 3)]
        targets[0].weight = 0.0
        self.assertEqual(
            {2}, set(first_ids(ranking_of(targets), flow_hashes(100)))
        )

    @hypothesis.given(FLOW_HASHES, strategies.integers(1, 10))
    def test_only_flows_of_a_removed_target_move(
        self, flow_hash: int, removed: int
    ) -> None:
        targets = [support.target(n) for n in range(1, 11)]
        remaining = [t for t in targets if t.member_id != removed]
        [before] = first_ids(ranking_of(targets), [flow_hash])
        [after] = first_ids(ranking_of(remaining), [flow_hash])
        if before != removed:
            self.assertEqual(before, after)

    @hypothesis.given(
        FLOW_HASHES,
        strategies.lists(strategies.floats(0.1, 9), min_size=1, max_size=20),
    )
    def test_partial_selection_equals_sorting(
        self, flow_hash: int, weights: list[float]
    ) -> None:
        targets = [support.target(n) for n in range(1, len(weights) + 1)]
        for target, weight in zip(targets, weights, strict=True):
            target.weight = weight
        ranking = ranking_of(targets)
        scores = ranking.scores(flow_hash)
        order = sorted(range(len(targets)), key=scores.__getitem__)
        self.assertEqual(
            [targets[index] for index in order[:3]],
            placement.choose_targets(ranking, flow_hash, {}, 0.0),
        )


class TestReturnedDataCentre(unittest.TestCase):
    """A full share at once would overload targets that start cold."""

    def test_share_rises_over_the_return_time(self) -> None:
        self.assertEqual(
            [placement.RETURN_START_SHARE, 0.5, 1.0, 1.0],
            [placement.return_share(s, 30.0) for s in (0, 15, 30, 60)],
        )

    def test_return_time_of_zero_gives_the_full_share(self) -> None:
        self.assertEqual(1.0, placement.return_share(0.0, 0.0))

    def test_share_reduces_the_flows(self) -> None:
        targets = [support.target(1), support.target(2, 1, "dc2")]
        ranking = ranking_of(targets, {"dc2": 0.25})
        counts = collections.Counter(first_ids(ranking, flow_hashes(10_000)))
        # 2,000 expected, standard deviation 40.
        self.assertLess(abs(counts[2] - 2000), 4 * 40)

    @hypothesis.given(FLOW_HASHES)
    def test_rising_share_moves_flows_only_to_that_data_centre(
        self, flow_hash: int
    ) -> None:
        targets = [support.target(n, 1, f"dc{n % 2}") for n in range(1, 7)]
        low, high = (
            first_ids(ranking_of(targets, {"dc1": share}), [flow_hash])[0]
            for share in (0.2, 0.6)
        )
        if low != high:
            self.assertEqual(1, high % 2)


class TestChoiceByStats(unittest.TestCase):
    """Load reports and opening outcomes must affect the choice."""

    def setUp(self) -> None:
        self.ranking = ranking_of([support.target(n) for n in range(1, 11)])
        self.table = target_stats.TargetStatsTable()

    def choose(self, flow_hash: int, now: float = 0.0) -> list[int]:
        chosen = placement.choose_targets(
            self.ranking, flow_hash, self.table.stats_by_id, now
        )
        return [target.member_id for target in chosen]

    def test_less_loaded_of_two_is_first(self) -> None:
        first, second, third = self.choose(5)
        self.table.record(first, FULL, 0.0)
        self.table.record(second, support.WARM_LOAD, 0.0)
        self.assertEqual([second, first, third], self.choose(5))

    def test_load_is_relative_to_weight(self) -> None:
        targets = [support.target(n) for n in (1, 2)]
        targets[0].weight = 2.0
        ranking = ranking_of(targets)
        for member_id, flows in ((1, 300), (2, 200)):
            load = target_stats.Load(flows, 2000, 0, 0, 1000)
            self.table.record(member_id, load, 0.0)
        for flow_hash in flow_hashes(50):
            first, _ = placement.choose_targets(
                ranking, flow_hash, self.table.stats_by_id, 0.0
            )
            self.assertEqual(1, first.member_id)

    def test_expired_reports_are_ignored(self) -> None:
        first, second, third = self.choose(5)
        self.table.record(first, FULL, 0.0)
        self.table.record(second, support.WARM_LOAD, 0.0)
        expired_at = target_stats.REPORT_LIFETIME_SECONDS
        self.assertEqual([first, second, third], self.choose(5, expired_at))

    def test_target_without_report_does_not_count_as_idle(self) -> None:
        first, second, third = self.choose(5)
        self.table.record(first, FULL, 0.0)
        self.assertEqual([first, second, third], self.choose(5))

    def test_target_that_returned_an_opening_is_skipped(self) -> None:
        first = self.choose(5)[0]
        self.table.opening_returned(first, support.WARM_LOAD, 0.0)
        self.assertNotIn(first, self.choose(5, 0.1))

    def test_unresponsive_target_is_skipped(self) -> None:
        first = self.choose(5)[0]
        for _ in range(target_stats.UNRESPONSIVE_OPENINGS):
            self.table.opening_sent(first, 0.0)
        self.assertIn(first, self.choose(5, 0.1))
        unresponsive_at = target_stats.UNRESPONSIVE_SECONDS
        self.assertNotIn(first, self.choose(5, unresponsive_at))

    def test_draining_targets_are_excluded(self) -> None:
        draining = target_stats.Load(1, 2000, 0, 0, 1000, draining=True)
        for member_id in range(1, 11):
            self.table.record(member_id, draining, 0.0)
        self.assertEqual([], self.choose(5))

    def test_skipped_targets_are_chosen_if_there_are_no_others(self) -> None:
        for member_id in range(1, 11):
            self.table.opening_returned(member_id, support.WARM_LOAD, 0.0)
        self.assertEqual(3, len(self.choose(5, 0.1)))

    def test_cold_target_gets_a_reduced_share(self) -> None:
        cold = target_stats.Load(0, 200, 0, 0, 100)
        for member_id in range(1, 11):
            self.table.record(member_id, support.WARM_LOAD, 0.0)
        self.table.record(4, cold, 0.0)
        counts = collections.Counter(
            self.choose(flow_hash)[0] for flow_hash in flow_hashes(10_000)
        )
        # A tenth of the 2,000 flows that have the target among the first two.
        self.assertLess(counts[4], 260)
        self.assertGreater(counts[4], 50)


class TestBurst(unittest.TestCase):
    """A burst between two reports must not go to the idlest target only."""

    def spread(self, count: int) -> list[int]:
        ranking = ranking_of([support.target(n) for n in (1, 2)])
        table = target_stats.TargetStatsTable()
        table.record(1, target_stats.Load(0, 2000, 0, 0, 1000), 0.0)
        table.record(2, target_stats.Load(50, 2000, 0, 0, 1000), 0.0)
        counts: collections.Counter[int] = collections.Counter()
        for flow_hash in flow_hashes(count):
            [chosen, _] = placement.choose_targets(
                ranking, flow_hash, table.stats_by_id, 0.01
            )
            table.opening_sent(chosen.member_id, 0.01)
            counts[chosen.member_id] += 1
        return [counts[1], counts[2]]

    def test_burst_evens_out_the_load(self) -> None:
        idle, busy = self.spread(250)
        self.assertAlmostEqual(idle, busy + 50, delta=2)

    def test_burst_without_reports_is_even(self) -> None:
        ranking = ranking_of([support.target(n) for n in range(1, 8)])
        table = target_stats.TargetStatsTable()
        counts: collections.Counter[int] = collections.Counter()
        for flow_hash in flow_hashes(700):
            chosen = placement.choose_targets(
                ranking, flow_hash, table.stats_by_id, 0.0
            )[0]
            table.opening_sent(chosen.member_id, 0.0)
            counts[chosen.member_id] += 1
        # Without counting openings in flight the highest is about 115.
        self.assertLess(max(counts.values()), 106)
