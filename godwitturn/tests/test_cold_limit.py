"""Tests of the rate limit for cold targets."""

import unittest

from godwitturn.core.transparent import cold_limit


class TestColdLimit(unittest.TestCase):
    """Openings admitted within a window."""

    def test_openings_in_any_second_stay_within_the_bound(self) -> None:
        limit = cold_limit.ColdLimit(1.5, 5, per_second=4.0)
        admitted_times = [
            number / 50
            for number in range(500)
            if limit.admit(now=number / 50)
        ]
        for start in admitted_times:
            admitted_in_window = [
                admitted_at
                for admitted_at in admitted_times
                if start <= admitted_at < start + 1.0
            ]
            self.assertLessEqual(len(admitted_in_window), 4.0 * 1.5 + 5)

    def test_rate_of_zero_admits_every_opening(self) -> None:
        limit = cold_limit.ColdLimit(1.5, 5, per_second=0)
        self.assertTrue(all(limit.admit(now=0.0) for _ in range(1000)))

    def test_only_the_slack_is_admitted_until_the_rate_is_known(self) -> None:
        limit = cold_limit.ColdLimit(1.5, 5)
        admitted = sum(limit.admit(now=0.0) for _ in range(100))
        self.assertEqual(4, admitted)

    def test_at_least_one_opening_is_admitted(self) -> None:
        limit = cold_limit.ColdLimit(1.0, 0.0, per_second=0.5)
        self.assertTrue(limit.admit(now=0.0))
        self.assertFalse(limit.admit(now=0.5))
        self.assertTrue(limit.admit(now=1.2))
