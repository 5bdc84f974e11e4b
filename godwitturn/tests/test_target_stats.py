"""Tests of target statistics and of retry limits."""

import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import retry_limits
from godwitturn.core import target_stats
from godwitturn.tests import balancer_support as support

WARM = support.WARM_LOAD
FULL = target_stats.Load(2000, 2000, 1, 0, 1000)
WINDOW = target_stats.IN_FLIGHT_WINDOW_SECONDS


def excess(
    first: target_stats.TargetStats,
    second: target_stats.TargetStats,
    now: float,
) -> float:
    return target_stats.excess_load(first, second, 1.0, 1.0, now)


class TestDecay(unittest.TestCase):
    """Old reports must not keep load away from idle targets."""

    def test_excess_falls_to_zero_with_age(self) -> None:
        table = target_stats.TargetStatsTable()
        full, warm = table.record(1, FULL, 0.0), table.record(2, WARM, 0.0)
        values = [excess(full, warm, now) for now in (0.0, 2.5, 5.0, 9.0)]
        self.assertAlmostEqual(0.995, values[0])
        self.assertAlmostEqual(0.4975, values[1])
        self.assertEqual([0.0, 0.0], values[2:])

    def test_old_report_counts_less_than_a_new_one(self) -> None:
        """Guards against ended flows that count as load."""
        table = target_stats.TargetStatsTable()
        ended = table.record(1, attrs.evolve(WARM, flows=40), 0.0)
        present = table.record(2, attrs.evolve(WARM, flows=20), 4.0)
        self.assertLess(excess(ended, present, 4.0), 0)

    def test_expired_report_does_not_count_as_idle(self) -> None:
        table = target_stats.TargetStatsTable()
        outdated = table.record(1, WARM, 0.0)
        present = table.record(2, FULL, 5.0)
        self.assertEqual(0.0, excess(present, outdated, 5.0))

    def test_capacity_returns_to_full(self) -> None:
        table = target_stats.TargetStatsTable()
        stats = table.record(1, attrs.evolve(WARM, capacity=100), 0.0)
        self.assertEqual(
            [100, 550, 1000], [stats.capacity(now) for now in (0, 2.5, 5)]
        )

    def test_reported_drain_expires(self) -> None:
        table = target_stats.TargetStatsTable()
        table.record(1, attrs.evolve(WARM, draining=True), 0.0)
        self.assertTrue(table.is_avoided(1, 4.9))
        self.assertFalse(table.is_avoided(1, 5.0))

    def test_queue_counts_as_load(self) -> None:
        table = target_stats.TargetStatsTable()
        queued = table.record(1, attrs.evolve(WARM, queued=4), 0.0)
        idle = table.record(2, WARM, 0.0)
        self.assertGreater(excess(queued, idle, 0.0), 0)

    def test_queue_counts_for_a_tenth_of_the_flows_at_most(self) -> None:
        """Guards against placement that depends on the noise of queues."""
        table = target_stats.TargetStatsTable()
        load = attrs.evolve(WARM, flows=40, queued=60)
        queued = table.record(1, load, 0.0)
        idle = table.record(2, attrs.evolve(WARM, flows=45), 0.0)
        self.assertLess(excess(queued, idle, 0.0), 0)

    def test_weight_divides_the_load(self) -> None:
        table = target_stats.TargetStatsTable()
        heavy = table.record(1, attrs.evolve(WARM, flows=300), 0.0)
        light = table.record(2, attrs.evolve(WARM, flows=200), 0.0)
        self.assertLess(
            target_stats.excess_load(heavy, light, 1 / 2.0, 1.0, 0.0), 0
        )


class TestOpeningsInFlight(unittest.TestCase):
    """Openings in flight are in no report yet."""

    def setUp(self) -> None:
        self.table = target_stats.TargetStatsTable()

    def in_flight(self, now: float) -> int:
        return self.table.stats_by_id[1].in_flight_openings(now)

    def test_openings_count_until_they_are_answered(self) -> None:
        for _ in range(5):
            self.table.opening_sent(1, 0.0)
        self.assertEqual(5, self.in_flight(0.0))
        for left in (4, 3):
            self.table.opening_accepted(1, WARM, 0.1)
            self.assertEqual(left, self.in_flight(0.1))
        self.table.opening_returned(1, WARM, 0.1)
        self.assertEqual(2, self.in_flight(0.1))

    def test_report_does_not_cancel_openings_in_flight(self) -> None:
        """Guards against a delayed report that is older than the opening."""
        self.table.opening_sent(1, 0.0)
        self.table.record(1, WARM, 0.9 * WINDOW)
        self.assertEqual(1, self.in_flight(0.9 * WINDOW))

    def test_lost_openings_expire(self) -> None:
        self.table.opening_sent(1, 0.0)
        self.table.opening_sent(1, 0.9 * WINDOW)
        self.table.opening_sent(1, 1.0 * WINDOW)
        self.assertEqual(3, self.in_flight(1.9 * WINDOW))
        self.assertEqual(1, self.in_flight(2.1 * WINDOW))
        self.assertEqual(0, self.in_flight(3.0 * WINDOW))

    def test_late_replies_do_not_make_the_count_negative(self) -> None:
        self.table.opening_sent(1, 0.0)
        for _ in range(3):
            self.table.opening_accepted(1, WARM, 0.1)
        self.table.opening_sent(1, 0.1)
        self.assertEqual(1, self.in_flight(0.1))

    def test_count_stays_bounded_with_steady_replies(self) -> None:
        for step in range(1000):
            self.table.opening_sent(1, step * 0.01)
            if step >= 5:
                self.table.opening_accepted(1, WARM, step * 0.01)
        self.assertLessEqual(self.in_flight(10.0), 5)

    def test_count_stays_bounded_without_replies(self) -> None:
        for step in range(1000):
            self.table.opening_sent(1, step * 0.01)
        self.assertLessEqual(self.in_flight(9.99), 2 * WINDOW / 0.01)

    def test_openings_are_multiplied_by_the_balancers(self) -> None:
        """Guards against balancers that each compensate the whole excess."""
        loaded = self.table.record(1, attrs.evolve(WARM, flows=25), 0.0)
        idle = self.table.record(2, WARM, 0.0)
        for _ in range(6):
            self.table.opening_sent(2, 0.0)
        excess_loads = [
            target_stats.excess_load(loaded, idle, 1.0, 1.0, 0.0, balancers)
            for balancers in (1, 2, 3)
        ]
        self.assertEqual(
            [True, True, False], [load > 0 for load in excess_loads]
        )


class TestReturns(unittest.TestCase):
    """A delayed report must not end the skip of a full target."""

    def test_return_takes_precedence_over_reports(self) -> None:
        table = target_stats.TargetStatsTable()
        table.record(1, WARM, 0.0)
        table.opening_returned(1, WARM, 0.1)
        table.record(1, WARM, 0.2)
        self.assertTrue(table.is_avoided(1, 0.2))

    def test_accepted_opening_ends_the_skip(self) -> None:
        table = target_stats.TargetStatsTable()
        table.opening_returned(1, FULL, 0.0)
        table.opening_accepted(1, WARM, 0.1)
        self.assertFalse(table.is_avoided(1, 0.1))

    def test_skip_doubles_up_to_a_limit(self) -> None:
        table = target_stats.TargetStatsTable()
        now = 0.0
        skips = []
        for _ in range(8):
            table.opening_returned(1, FULL, now)
            skips.append(table.stats_by_id[1].skipped_until - now)
            now = table.stats_by_id[1].skipped_until
        expected = [0.2, 0.4, 0.8, 1.6, 3.2, 3.2, 3.2, 3.2]
        for skip, wanted in zip(skips, expected, strict=True):
            self.assertAlmostEqual(wanted, skip)

    def test_returns_of_one_burst_count_once(self) -> None:
        table = target_stats.TargetStatsTable()
        for _ in range(50):
            table.opening_returned(1, FULL, 0.0)
        self.assertEqual(1, table.stats_by_id[1].consecutive_returns)


class TestUnresponsiveTarget(unittest.TestCase):
    """A dead target must get few openings until it is declared lost."""

    def unresponsive_table(self) -> target_stats.TargetStatsTable:
        table = target_stats.TargetStatsTable()
        for step in range(target_stats.UNRESPONSIVE_OPENINGS):
            table.opening_sent(1, step * 0.1)
        return table

    def test_target_is_avoided_after_several_unanswered_openings(self) -> None:
        table = self.unresponsive_table()
        self.assertFalse(table.is_avoided(1, 0.4))
        self.assertTrue(table.is_avoided(1, 0.5))

    def test_few_unanswered_openings_do_not_suffice(self) -> None:
        table = target_stats.TargetStatsTable()
        table.opening_sent(1, 0.0)
        table.opening_sent(1, 0.0)
        self.assertFalse(table.is_avoided(1, 0.9))

    def test_any_packet_makes_the_target_responsive(self) -> None:
        table = self.unresponsive_table()
        table.record(1, None, 0.6)
        self.assertFalse(table.is_avoided(1, 0.6))

    def test_unresponsive_target_gets_one_probe_per_interval(self) -> None:
        table = self.unresponsive_table()
        probes = 0
        for step in range(50):
            now = 0.5 + step * 0.1
            if not table.is_avoided(1, now):
                table.opening_sent(1, now)
                probes += 1
        self.assertIn(probes, (4, 5))


class TestRetention(unittest.TestCase):
    """Statistics of departed targets must not accumulate."""

    def test_only_given_targets_are_retained(self) -> None:
        table = target_stats.TargetStatsTable()
        table.record(1, WARM, 0.0)
        table.record(2, WARM, 0.0)
        table.retain({2, 3})
        self.assertEqual({2}, table.stats_by_id.keys())


class TestRetryBudget(unittest.TestCase):
    """Unlimited retries triple the openings when all targets are full."""

    def test_retries_are_a_share_of_openings(self) -> None:
        budget = retry_limits.RetryBudget()
        used = 0
        for _ in range(10_000):
            budget.record_opening()
            used += budget.spend(0.0) + budget.spend(0.0)
        limit = (
            retry_limits.MAX_AVAILABLE_RETRIES
            + 10_000 * retry_limits.RETRY_SHARE
        )
        self.assertLessEqual(used, limit)
        self.assertGreater(used, 1000)

    def test_retries_become_available_with_time(self) -> None:
        budget = retry_limits.RetryBudget()
        while budget.spend(0.0):
            pass
        self.assertTrue(budget.spend(1.0))

    @hypothesis.given(strategies.lists(strategies.floats(0, 1e9), max_size=20))
    def test_available_retries_stay_in_bounds(
        self, times: list[float]
    ) -> None:
        budget = retry_limits.RetryBudget()
        for now in times:
            budget.spend(now)
            self.assertGreaterEqual(budget.available, 0)
            self.assertLessEqual(
                budget.available, retry_limits.MAX_AVAILABLE_RETRIES
            )


class TestRefusalRate(unittest.TestCase):
    """A fixed delay would bring all refused callers back at once."""

    def delay_after(self, openings: int, refusals: int) -> int:
        subject = retry_limits.RefusalRate()
        for _ in range(openings):
            subject.record_opening()
        for _ in range(refusals):
            subject.record_refusal(0.0)
        return subject.retry_delay_ms(1.0)

    def test_delay_grows_with_refusals(self) -> None:
        delays = [self.delay_after(100, n) for n in (0, 10, 50, 100, 1000)]
        self.assertEqual(sorted(set(delays)), delays)
        self.assertEqual(retry_limits.MIN_RETRY_DELAY_MS, delays[0])
        self.assertLessEqual(delays[-1], retry_limits.MAX_RETRY_DELAY_MS)

    def test_refusal_rate_decays(self) -> None:
        subject = retry_limits.RefusalRate()
        for _ in range(100):
            subject.record_refusal(0.0)
        before = subject.retry_delay_ms(1.0)
        subject.decay(60.0)
        self.assertLess(subject.retry_delay_ms(1.0), before / 10)

    def test_jitter_spreads_the_delay(self) -> None:
        subject = retry_limits.RefusalRate()
        for _ in range(100):
            subject.record_refusal(0.0)
        full = subject.retry_delay_ms(1.0)
        self.assertAlmostEqual(full / 2, subject.retry_delay_ms(0.0), delta=1)
