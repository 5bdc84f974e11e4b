"""Tests of the hashes over announcements."""

import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.core import announcement_digests

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 9),
        strategies.one_of(strategies.none(), strategies.integers(0, 2**64)),
        strategies.booleans(),
    )
)


class TestDigestTable(unittest.TestCase):
    """A wrong sum would make daemons exchange announcements each second."""

    @hypothesis.given(_STEPS)
    def test_sums_equal_those_of_a_table_built_at_once(
        self, steps: list[tuple[int, int | None, bool]]
    ) -> None:
        table = announcement_digests.DigestTable()
        expected: dict[int, tuple[int, bool]] = {}
        for member_id, value, is_balancer in steps:
            if value is None:
                table.remove(member_id)
                expected.pop(member_id, None)
            else:
                table.put(member_id, value, is_balancer=is_balancer)
                expected[member_id] = value, is_balancer
        everything = sum(value for value, _ in expected.values())
        balancers = sum(value for value, kind in expected.values() if kind)
        self.assertEqual(everything % 2**64, table.total(balancers_only=False))
        self.assertEqual(balancers % 2**64, table.total(balancers_only=True))
        self.assertEqual(expected.keys(), table.hash_by_id.keys())
        self.assertEqual(
            {i for i, (_, kind) in expected.items() if kind},
            table.balancer_ids,
        )
