"""Tests of the choice of store readers."""

import unittest

from godwitturn.standins import control_fixtures as fixtures
from godwitturn.standins import control_fleet as fleet


class TestReaders(unittest.TestCase):
    """Store calls must not grow with the fleet."""

    def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        calls = []
        for count in (10, 50, 150):
            network, daemons = fleet.start(3)
            network.run(5)
            members = fixtures.fleet(count, 0)
            for start in range(3, count, 12):
                group = members[start : start + 12]
                daemons += [network.start(member) for member in group]
                network.run(0.5)
            fixtures.put_fleet_documents(network, members)
            network.run(25)
            before = network.store_polls
            network.run(10)
            calls.append(network.store_polls - before)
            self.assertEqual(6, sum(d.reads_store for d in daemons))
            self.assertEqual(set(), {d for d in daemons if d.node.is_fenced})
        self.assertEqual(1, len(set(calls)))
