"""Tests of control nodes beside a store that is restored from a backup."""

import random
import unittest

from godwitturn.core import documents
from godwitturn.standins import control_fleet as fleet
from godwitturn.standins import control_network


def _start_with_changes_to_lose() -> tuple[
    control_network.Network, list[fleet.Daemon], control_network.Backup
]:
    """Starts a fleet, takes a backup, and changes the rules nine times."""
    network, daemons = fleet.start(3, 3)
    network.run(15)
    backup = network.backup()
    for number in range(1, 10):
        network.put("rules", fleet.numbered_rules(number))
    network.run(5)
    return network, daemons, backup


class TestRestore(unittest.TestCase):
    """Changes after a restore must come into force at all daemons."""

    # Guards against control nodes that compare revisions only, although a
    # restored store gives them out again.
    def test_change_after_a_restore_reaches_all_daemons(self) -> None:
        network, daemons, backup = _start_with_changes_to_lose()
        network.restore(backup)
        network.run(1)
        rules = fleet.numbered_rules(20)
        network.put("rules", rules)
        network.run(fleet.PROPAGATION_LIMIT_SECONDS)
        for daemon in daemons:
            with self.subTest(daemon=daemon.member.name):
                self.assertEqual(rules, daemon.node.configuration.rules)

    def _assert_same_as_store(
        self, network: control_network.Network, daemons: list[fleet.Daemon]
    ) -> None:
        for daemon in daemons:
            with self.subTest(daemon=daemon.member.name):
                self.assertFalse(daemon.node.is_fenced)
                self.assertEqual(
                    fleet.expected_bodies(network, daemon),
                    fleet.bodies_of(daemon),
                )

    # Guards against watches that wait for a revision that the restored store
    # has yet to give out.
    def test_restore_that_cuts_no_watch_is_noticed(self) -> None:
        network, daemons, backup = _start_with_changes_to_lose()
        network.restore(backup, cuts_watches=False)
        network.run(fleet.PROPAGATION_LIMIT_SECONDS)
        self._assert_same_as_store(network, daemons)

    # Guards against a store that is taken for the same one as soon as it has
    # given out more revisions than it had before.
    def test_store_that_caught_up_before_the_next_read(self) -> None:
        network, daemons = fleet.start(3, 3)
        network.run(15)
        backup = network.backup()
        network.put("services/lost", documents.Service("lost", 9))
        network.put("rules", fleet.numbered_rules(1))
        network.run(5)
        network.store_down = True
        network.restore(backup)
        for number in range(10, 15):
            network.put("members/core", documents.MemberList())
            network.put("rules", fleet.numbered_rules(number))
        network.put_document(backup[0]["members/core"])
        network.store_down = False
        network.run(fleet.PROPAGATION_LIMIT_SECONDS)
        self._assert_same_as_store(network, daemons)
        for daemon in daemons:
            self.assertNotIn("services/lost", fleet.bodies_of(daemon))

    def test_second_restore_begins_another_era(self) -> None:
        network, daemons = fleet.start(6, 3)
        network.run(15)
        backup = network.backup()
        for number in range(3):
            network.put("rules", fleet.numbered_rules(number))
            network.run(2)
            network.restore(backup)
            network.run(fleet.PROPAGATION_LIMIT_SECONDS)
            self._assert_same_as_store(network, daemons)

    def _cut_off(self, network: control_network.Network, name: str) -> None:
        """Cuts a daemon off from the store and the others."""
        network.is_partitioned = lambda a, b: (
            (a.member.name == name) != (b.member.name == name)
        )
        network.is_store_partitioned = lambda d: d.member.name == name

    def test_daemon_that_was_cut_off_meanwhile(self) -> None:
        network, daemons = fleet.start(9, 3)
        network.run(15)
        for name in ("b0", "b4", "t1"):
            with self.subTest(cut_off=name):
                backup = network.backup()
                network.put("rules", fleet.numbered_rules(1))
                network.run(2)
                self._cut_off(network, name)
                network.restore(backup)
                network.run(5)
                network.put("rules", fleet.numbered_rules(2))
                self._cut_off(network, "")
                network.run(10)
                self._assert_same_as_store(network, daemons)

    def test_no_era_begins_without_a_restore(self) -> None:
        for seed in range(3):
            network, daemons = fleet.start(9, 3, loss=0.1, seed=seed)
            network.run(15)
            generator = random.Random(seed)
            for number in range(20):
                network.put("rules", fleet.numbered_rules(number))
                network.store_down = generator.random() < 0.3
                network.run(generator.uniform(0.1, 2.0))
            network.store_down = False
            network.run(10)
            self._assert_same_as_store(network, daemons)
            for daemon in daemons:
                self.assertEqual(0, daemon.node.configuration.position.era)

    # Guards against a paused reader whose answers are of before the restore.
    def test_paused_reader_does_not_bring_back_what_is_lost(self) -> None:
        network, daemons = fleet.start(6, 3)
        network.run(15)
        reader = next(daemon for daemon in daemons if daemon.reads_store)
        backup = network.backup()
        reader.is_paused = True
        for number in range(5):
            network.put("rules", fleet.numbered_rules(number))
        network.run(2)
        network.restore(backup)
        network.run(3)
        network.resume(reader)
        network.run(5)
        self._assert_same_as_store(network, daemons)

    def test_random_restores(self) -> None:
        for seed in range(5):
            generator = random.Random(seed)
            network, daemons = fleet.start(6, 4, loss=0.05, seed=seed)
            network.run(15)
            backups = [network.backup()]
            for number in range(12):
                network.put("rules", fleet.numbered_rules(number))
                network.run(generator.uniform(0.0, 1.5))
                if generator.random() < 0.3:
                    backups.append(network.backup())
                if generator.random() < 0.3:
                    network.restore(
                        backups.pop(), cuts_watches=generator.random() < 0.8
                    )
                    backups = [network.backup()]
            network.run(8)
            with self.subTest(seed=seed):
                self._assert_same_as_store(network, daemons)
