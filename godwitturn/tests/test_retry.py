"""Tests of the retry budget and the backoff."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.core import retry


class TestBudget(unittest.TestCase):
    """Unbounded retries would multiply the load of a failing service."""

    def test_budget_starts_full(self) -> None:
        budget = retry.Budget()
        spent = [budget.try_spend(now=0.0) for _ in range(12)]
        self.assertEqual([True] * 10 + [False] * 2, spent)

    def test_ten_requests_add_one_retry(self) -> None:
        budget = retry.Budget(capacity=1.0, refill_per_s=0.0)
        self.assertTrue(budget.try_spend(now=0.0))
        for _ in range(9):
            budget.deposit()
        self.assertFalse(budget.try_spend(now=0.0))
        # The eleventh compensates for the rounding error of ten tenths.
        budget.deposit()
        budget.deposit()
        self.assertTrue(budget.try_spend(now=0.0))

    def test_budget_refills_over_time(self) -> None:
        budget = retry.Budget(capacity=1.0, refill_per_s=0.1)
        self.assertTrue(budget.try_spend(now=0.0))
        self.assertFalse(budget.try_spend(now=9.0))
        self.assertTrue(budget.try_spend(now=10.5))

    def test_clock_going_backwards_refills_nothing(self) -> None:
        budget = retry.Budget(capacity=1.0, refill_per_s=0.1)
        self.assertTrue(budget.try_spend(now=100.0))
        self.assertFalse(budget.try_spend(now=0.0))

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(["request", "retry"])),
        strategies.floats(0.0, 1.0),
    )
    def test_retries_are_bounded(self, calls: list[str], step: float) -> None:
        budget = retry.Budget()
        now = 0.0
        retries = 0
        for call in calls:
            now += step
            if call == "request":
                budget.deposit()
            else:
                retries += budget.try_spend(now=now)
        bound = 10 + 0.1 * calls.count("request") + 0.1 * now
        self.assertLessEqual(retries, bound + 1e-6)


class TestBackoff(unittest.TestCase):
    """Callers that fail together must not retry together."""

    backoff = retry.Backoff(base_s=0.5, cap_s=10.0)

    @hypothesis.given(strategies.integers(0, 10**6), strategies.integers())
    def test_delay_is_within_bounds(self, failures: int, seed: int) -> None:
        delay_s = self.backoff.delay_s(failures, random.Random(seed))
        bound = min(10.0, 0.5 * 2.0 ** min(failures, 10))
        self.assertTrue(0.0 <= delay_s <= bound)

    def test_jitter_covers_the_interval(self) -> None:
        source = random.Random(1)
        delays = [self.backoff.delay_s(9, source) for _ in range(1000)]
        counts = [
            sum(low <= delay < low + 1 for delay in delays)
            for low in range(10)
        ]
        # About 100 of 1,000 fall into each second.
        self.assertGreater(min(counts), 60)
        self.assertLess(max(counts), 150)

    def test_same_seed_gives_same_delays(self) -> None:
        first = self.backoff.delay_s(3, random.Random(5))
        self.assertEqual(first, self.backoff.delay_s(3, random.Random(5)))
