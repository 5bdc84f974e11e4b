"""Tests of intervals of control messages."""

import unittest

from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import targets


class TestPacing(unittest.TestCase):
    """Rates are bounded as the fleet grows."""

    def test_small_fleets_are_told_nearly_at_once(self) -> None:
        self.assertLess(pacing.announcement_gap_s(10), 0.1)

    def test_a_balancer_of_45_agents_gets_a_bounded_rate(self) -> None:
        for agents in (10, 20, 45):
            with self.subTest(agents):
                rate = agents / pacing.announcement_gap_s(agents)
                self.assertLessEqual(
                    rate, pacing.ANNOUNCEMENTS_PER_SECOND + 100
                )

    def test_intervals_grow_with_the_fleet_up_to_a_bound(self) -> None:
        sizes = (1, 10, 50, 100, 1000, 10000)
        for interval in (
            pacing.announcement_gap_s,
            pacing.announcement_interval_s,
            pacing.hello_interval_s,
        ):
            with self.subTest(interval.__name__):
                values = [interval(size) for size in sizes]
                self.assertEqual(sorted(values), values)

    def test_silence_is_told_from_loss_at_any_size(self) -> None:
        interval_s = pacing.announcement_interval_s(10000)
        self.assertGreaterEqual(targets.LOST_S, 4 * interval_s)
        self.assertGreaterEqual(targets.SILENT_S, 2 * interval_s)
