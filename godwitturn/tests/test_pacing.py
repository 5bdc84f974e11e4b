"""Tests of intervals of control messages."""

import unittest

from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import targets


class TestPacing(unittest.TestCase):
    """Rates are bounded as the fleet grows."""

    def test_small_fleets_announce_changes_almost_immediately(self) -> None:
        self.assertLess(pacing.announcement_gap_s(10), 0.1)

    def test_announcement_rate_is_bounded_up_to_45_agents(self) -> None:
        for agents in (10, 20, 45):
            with self.subTest(agents):
                rate = agents / pacing.announcement_gap_s(agents)
                self.assertLessEqual(
                    rate, pacing.ANNOUNCEMENTS_PER_SECOND + 100
                )

    def test_intervals_grow_with_the_fleet(self) -> None:
        sizes = (1, 10, 50, 100, 1000, 10000)
        for interval in (
            pacing.announcement_gap_s,
            pacing.announcement_interval_s,
            pacing.hello_interval_s,
        ):
            with self.subTest(interval.__name__):
                values = [interval(size) for size in sizes]
                self.assertEqual(sorted(values), values)

    def test_silence_limits_exceed_the_longest_intervals(self) -> None:
        interval_s = pacing.announcement_interval_s(10000)
        self.assertGreaterEqual(targets.LOST_S, 4 * interval_s)
        self.assertGreaterEqual(targets.SILENT_S, 2 * interval_s)
