"""Tests of balancers beside a store that is restored from a backup."""

import json
import unittest

from godwitturn.core import store_position
from godwitturn.platform import documents
from godwitturn.standins import platform_store_model
from godwitturn.standins import store_readers
from godwitturn.standins import transparent_simulation

BALANCERS = ("10.0.1.1", "10.0.1.2", "10.0.1.3")
# `config_apply_ms` of the small deployments.
CONFIGURATION_BOUND_S = 3.0
EVACUATION_KEY = documents.EVACUATION_PREFIX + "b"


class TestStorePosition(unittest.TestCase):
    """Order of the states of a store."""

    def test_later_eras_are_newer_at_any_revision(self) -> None:
        positions = [
            store_position.StorePosition(1, 3),
            store_position.StorePosition(0, 90),
            store_position.StorePosition(1, 2),
            store_position.UNREAD,
        ]
        self.assertEqual(
            [(0, 0), (0, 90), (1, 2), (1, 3)],
            [(at.era, at.revision) for at in sorted(positions)],
        )


class RestoreCase(unittest.TestCase):
    """Three balancers with version 1; a backup of the store has it, too."""

    def setUp(self) -> None:
        self.model = platform_store_model.StoreModel()
        self.write(1)
        self.backup = self.model.backup()
        self.simulation = transparent_simulation.Simulation()
        for address in BALANCERS:
            self.simulation.start_balancer(address)
        self.simulation.start_vm("10.1.1.1")
        self.reader_by_address = store_readers.follow_store(
            self.simulation, self.model
        )
        self.simulation.run(2.0)

    def write(self, version: int) -> None:
        """Writes a version of the configuration, as operators do."""
        document = {"version": version, "routes": [], "services": []}
        self.model.put(
            documents.CONFIGURATION_KEY, json.dumps(document).encode()
        )

    def versions(self) -> list[int]:
        """Returns the version in force at each balancer."""
        return [
            balancer.configuration.version if balancer.configuration else 0
            for balancer in self.simulation.balancer_by_address.values()
        ]

    def closed(self) -> list[list[str]]:
        """Returns the closed data centres of each balancer."""
        return [
            sorted(balancer.closed_data_centres)
            for balancer in self.simulation.balancer_by_address.values()
        ]


class TestRestore(RestoreCase):
    """What operators write after a restore must come into force."""

    def setUp(self) -> None:
        super().setUp()
        for version in range(2, 30):
            self.write(version)
        self.simulation.run(1.0)
        self.assertEqual([29] * 3, self.versions())

    # Guards against a restored store that is taken for one that lags behind.
    def test_version_written_after_a_restore_comes_into_force(self) -> None:
        self.model.restore(self.backup)
        self.simulation.run(1.0)
        self.assertEqual([29] * 3, self.versions())
        self.write(30)
        self.simulation.run(CONFIGURATION_BOUND_S)
        self.assertEqual([30] * 3, self.versions())

    # Guards against a watch that continues from a revision which the restored
    # store has given to another change.
    def test_version_of_a_revision_given_out_again_comes_into_force(
        self,
    ) -> None:
        self.model.restore(self.backup)
        self.write(30)
        for number in range(60):
            self.model.put(f"other/{number}", b"")
        self.simulation.run(CONFIGURATION_BOUND_S)
        self.assertEqual([30] * 3, self.versions())

    # Guards against copies of other daemons that are compared by revision
    # only, so that a daemon which the store refuses never takes them.
    def test_refused_balancer_gets_the_version_from_another(self) -> None:
        reader = self.reader_by_address[BALANCERS[0]]
        reader.is_refused = True
        self.model.restore(self.backup)
        self.write(30)
        self.simulation.run(CONFIGURATION_BOUND_S)
        self.assertEqual([30] * 3, self.versions())
        self.assertEqual(1, reader.mirror.position.era)

    def test_two_restores_are_followed(self) -> None:
        for version in (30, 31):
            self.model.restore(self.backup)
            self.simulation.run(0.5)
            self.write(version)
            self.simulation.run(CONFIGURATION_BOUND_S)
            self.assertEqual([version] * 3, self.versions())


class TestEvacuation(RestoreCase):
    """A restore must not open a data centre that operators have closed."""

    def setUp(self) -> None:
        super().setUp()
        self.model.put(EVACUATION_KEY, b"{}")
        self.simulation.run(1.0)
        self.assertEqual([["b"]] * 3, self.closed())

    def test_evacuation_stays_until_it_is_written_again(self) -> None:
        self.model.restore(self.backup)
        for _ in range(20):
            self.simulation.run(0.1)
            self.assertEqual([["b"]] * 3, self.closed())
        self.model.put(EVACUATION_KEY, b"{}")
        self.simulation.run(10.0)
        self.assertEqual([["b"]] * 3, self.closed())
        self.model.delete(EVACUATION_KEY)
        self.simulation.run(1.0)
        self.assertEqual([[]] * 3, self.closed())

    def test_evacuation_that_nobody_writes_again_ends(self) -> None:
        self.model.restore(self.backup)
        self.simulation.run(10.0)
        self.assertEqual([[]] * 3, self.closed())
