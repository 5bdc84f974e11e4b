"""Tests of control nodes beside a store that is restored from a backup."""

import unittest

from godwitturn.standins import control_fleet as fleet


class TestRestore(unittest.TestCase):
    """Changes after a restore must come into force at all daemons."""

    # Guards against control nodes that compare revisions only, although a
    # restored store gives them out again.
    def test_change_after_a_restore_reaches_all_daemons(self) -> None:
        network, daemons = fleet.start(3, 3)
        network.run(15)
        backup = network.backup()
        for number in range(1, 10):
            network.put("rules", fleet.numbered_rules(number))
        network.run(5)
        network.restore(backup)
        network.run(1)
        rules = fleet.numbered_rules(20)
        network.put("rules", rules)
        network.run(fleet.PROPAGATION_LIMIT_SECONDS)
        for daemon in daemons:
            with self.subTest(daemon=daemon.member.name):
                self.assertEqual(rules, daemon.node.configuration.rules)
