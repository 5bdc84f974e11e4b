"""Tests of the table of recent evidence and of refusal pressure."""

import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import retry_limits
from godwitturn.core import target_stats
from godwitturn.tests import balancer_support as support

WARM = support.WARM
FULL = target_stats.Load(2000, 2000, 1, 0, 1000)
WINDOW = target_stats.IN_FLIGHT_WINDOW_SECONDS


def excess(
    first: target_stats.TargetStats,
    second: target_stats.TargetStats,
    now: float,
) -> float:
    return target_stats.excess_load(first, second, 1.0, 1.0, now)


class TestDecay(unittest.TestCase):
    """Old reports would keep load away from targets long idle."""

    def test_difference_fades_to_nothing(self) -> None:
        table = target_stats.TargetStatsTable()
        full, warm = table.record(1, FULL, 0.0), table.record(2, WARM, 0.0)
        values = [excess(full, warm, now) for now in (0.0, 2.5, 5.0, 9.0)]
        self.assertAlmostEqual(0.995, values[0])
        self.assertAlmostEqual(0.4975, values[1])
        self.assertEqual([0.0, 0.0], values[2:])

    def test_flows_that_ended_unreported_fade(self) -> None:
        """Ended flows would else drive openings to a target without any."""
        table = target_stats.TargetStatsTable()
        ended = table.record(1, attrs.evolve(WARM, flows=40), 0.0)
        present = table.record(2, attrs.evolve(WARM, flows=20), 4.0)
        self.assertLess(excess(ended, present, 4.0), 0)

    def test_outdated_report_is_not_taken_for_idle(self) -> None:
        table = target_stats.TargetStatsTable()
        outdated = table.record(1, WARM, 0.0)
        present = table.record(2, FULL, 5.0)
        self.assertEqual(0.0, excess(present, outdated, 5.0))

    def test_capacity_returns_to_full(self) -> None:
        table = target_stats.TargetStatsTable()
        entry = table.record(1, attrs.evolve(WARM, capacity=100), 0.0)
        self.assertEqual(
            [100, 550, 1000], [entry.capacity(now) for now in (0, 2.5, 5)]
        )

    def test_draining_is_forgotten(self) -> None:
        table = target_stats.TargetStatsTable()
        table.record(1, attrs.evolve(WARM, draining=True), 0.0)
        self.assertTrue(table.is_avoided(1, 4.9))
        self.assertFalse(table.is_avoided(1, 5.0))

    def test_queue_counts(self) -> None:
        table = target_stats.TargetStatsTable()
        queued = table.record(1, attrs.evolve(WARM, queued=4), 0.0)
        idle = table.record(2, WARM, 0.0)
        self.assertGreater(excess(queued, idle, 0.0), 0)

    def test_queue_counts_for_a_tenth_of_the_flows_at_most(self) -> None:
        """Queues come and go; flows that follow their noise stay."""
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


class TestLocalCount(unittest.TestCase):
    """Openings on their way are in no report yet."""

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
        """A report of a slow path is older than openings sent since."""
        self.table.opening_sent(1, 0.0)
        self.table.record(1, WARM, 0.9 * WINDOW)
        self.assertEqual(1, self.in_flight(0.9 * WINDOW))

    def test_lost_openings_are_forgotten(self) -> None:
        self.table.opening_sent(1, 0.0)
        self.table.opening_sent(1, 0.9 * WINDOW)
        self.table.opening_sent(1, 1.0 * WINDOW)
        self.assertEqual(3, self.in_flight(1.9 * WINDOW))
        self.assertEqual(1, self.in_flight(2.1 * WINDOW))
        self.assertEqual(0, self.in_flight(3.0 * WINDOW))

    def test_late_answers_do_not_go_below_zero(self) -> None:
        self.table.opening_sent(1, 0.0)
        for _ in range(3):
            self.table.opening_accepted(1, WARM, 0.1)
        self.table.opening_sent(1, 0.1)
        self.assertEqual(1, self.in_flight(0.1))

    def test_count_does_not_grow_under_steady_answers(self) -> None:
        for step in range(1000):
            self.table.opening_sent(1, step * 0.01)
            if step >= 5:
                self.table.opening_accepted(1, WARM, step * 0.01)
        self.assertLessEqual(self.in_flight(10.0), 5)

    def test_count_stays_bounded_without_answers(self) -> None:
        for step in range(1000):
            self.table.opening_sent(1, step * 0.01)
        self.assertLessEqual(self.in_flight(9.99), 2 * WINDOW / 0.01)

    def test_other_balancers_send_as_many(self) -> None:
        """Each of three would else close the whole gap that all see."""
        loaded = self.table.record(1, attrs.evolve(WARM, flows=25), 0.0)
        idle = self.table.record(2, WARM, 0.0)
        for _ in range(6):
            self.table.opening_sent(2, 0.0)
        found = [
            target_stats.excess_load(loaded, idle, 1.0, 1.0, 0.0, balancers)
            for balancers in (1, 2, 3)
        ]
        self.assertEqual([True, True, False], [gap > 0 for gap in found])


class TestObservedOutcomes(unittest.TestCase):
    """A report that lags must not bring openings back to a full target."""

    def test_return_outranks_older_and_newer_reports(self) -> None:
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


class TestSilence(unittest.TestCase):
    """A dead target would get its share until its watchers notice."""

    def silent_table(self) -> target_stats.TargetStatsTable:
        table = target_stats.TargetStatsTable()
        for step in range(target_stats.UNRESPONSIVE_OPENINGS):
            table.opening_sent(1, step * 0.1)
        return table

    def test_silent_after_several_openings(self) -> None:
        table = self.silent_table()
        self.assertFalse(table.is_avoided(1, 0.4))
        self.assertTrue(table.is_avoided(1, 0.5))

    def test_few_openings_are_not_silence(self) -> None:
        table = target_stats.TargetStatsTable()
        table.opening_sent(1, 0.0)
        table.opening_sent(1, 0.0)
        self.assertFalse(table.is_avoided(1, 0.9))

    def test_any_word_ends_it(self) -> None:
        table = self.silent_table()
        table.record(1, None, 0.6)
        self.assertFalse(table.is_avoided(1, 0.6))

    def test_one_probe_in_a_while(self) -> None:
        table = self.silent_table()
        probes = 0
        for step in range(50):
            now = 0.5 + step * 0.1
            if not table.is_avoided(1, now):
                table.opening_sent(1, now)
                probes += 1
        self.assertIn(probes, (4, 5))


class TestForgetting(unittest.TestCase):
    """Evidence of departed targets would grow without end."""

    def test_only_known_targets_stay(self) -> None:
        table = target_stats.TargetStatsTable()
        table.record(1, WARM, 0.0)
        table.record(2, WARM, 0.0)
        table.retain({2, 3})
        self.assertEqual({2}, table.stats_by_id.keys())


class TestRetryBudget(unittest.TestCase):
    """Unbounded retries triple the openings when all targets are full."""

    def test_tries_follow_openings(self) -> None:
        budget = retry_limits.RetryBudget()
        taken = 0
        for _ in range(10_000):
            budget.record_opening()
            taken += budget.spend(0.0) + budget.spend(0.0)
        limit = (
            retry_limits.MAX_AVAILABLE_RETRIES
            + 10_000 * retry_limits.RETRY_SHARE
        )
        self.assertLessEqual(taken, limit)
        self.assertGreater(taken, 1000)

    def test_quiet_balancer_gets_tries_back(self) -> None:
        budget = retry_limits.RetryBudget()
        while budget.spend(0.0):
            pass
        self.assertTrue(budget.spend(1.0))

    @hypothesis.given(strategies.lists(strategies.floats(0, 1e9), max_size=20))
    def test_saved_tries_stay_in_bounds(self, times: list[float]) -> None:
        budget = retry_limits.RetryBudget()
        for now in times:
            budget.spend(now)
            self.assertGreaterEqual(budget.available, 0)
            self.assertLessEqual(
                budget.available, retry_limits.MAX_AVAILABLE_RETRIES
            )


class TestPressure(unittest.TestCase):
    """A fixed delay brings all refused callers back into an overload."""

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

    def test_pressure_fades(self) -> None:
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
