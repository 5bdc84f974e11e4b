"""Tests of `core.coalescing`."""

import unittest

from godwitturn.core import coalescing


class TestCoalescer(unittest.TestCase):
    """Bursts of changes must leave the balancer time for packets."""

    def setUp(self) -> None:
        self.changes = coalescing.Coalescer()

    def test_first_change_is_due_at_once(self) -> None:
        """Guards against a delay of each individual change."""
        self.assertFalse(self.changes.is_due(now=5.0))
        self.changes.record_change()
        self.assertTrue(self.changes.is_due(now=5.0))

    def test_burst_uses_at_most_its_share_of_time(self) -> None:
        """Guards against applying each change of a burst separately."""
        cost_s = 0.04
        spent_s = 0.0
        for step in range(10_000):
            now = step * 0.001
            self.changes.record_change()
            if self.changes.is_due(now=now):
                self.changes.record_applied(now=now, cost_s=cost_s)
                spent_s += cost_s
        share = spent_s / 10.0
        self.assertLessEqual(share, 0.031 + cost_s / 10.0)

    def test_last_change_of_a_burst_is_applied(self) -> None:
        """Guards against a change that waits until another one follows."""
        self.changes.record_change()
        self.changes.record_applied(now=0.0, cost_s=60.0)
        self.assertFalse(self.changes.is_due(now=100.0))
        self.changes.record_change()
        self.assertFalse(self.changes.is_due(now=1.9))
        self.assertTrue(self.changes.is_due(now=2.0))


if __name__ == "__main__":
    unittest.main()
