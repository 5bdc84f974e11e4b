"""Tests of the judgement of targets by how they end requests."""

import random
import unittest

from godwitturn.core.transparent import target_health
from godwitturn.standins import transparent_world


class TestVerdict(unittest.TestCase):
    """When a target counts as failing, and as well again."""

    def setUp(self) -> None:
        self.health = target_health.TargetHealth()

    def note(self, broken_off: bool, times: int) -> None:
        for _ in range(times):
            self.health.note(broken_off=broken_off)

    def test_few_requests_broken_off(self) -> None:
        self.note(True, target_health.MOST_BROKEN_OFF - 1)
        self.assertFalse(self.health.failing)

    def test_many_requests_broken_off(self) -> None:
        self.note(False, 100)
        self.note(True, target_health.MOST_BROKEN_OFF)
        self.assertTrue(self.health.failing)

    def test_one_answer_is_not_enough(self) -> None:
        self.note(True, target_health.WINDOW)
        self.note(False, 1)
        self.assertTrue(self.health.failing)

    def test_answers_make_a_target_well_again(self) -> None:
        self.note(True, target_health.MOST_BROKEN_OFF)
        self.note(False, target_health.WINDOW)
        self.assertFalse(self.health.failing)

    def test_change_is_told_once(self) -> None:
        changes = [self.health.note(broken_off=True) for _ in range(10)]
        self.assertEqual(1, sum(changes))

    def test_new_start_is_yet_to_be_judged(self) -> None:
        self.note(True, target_health.WINDOW)
        self.health.clear()
        self.assertFalse(self.health.failing)
        self.assertEqual(0, self.health.requests)

    def test_verdicts_on_shares_of_failures(self) -> None:
        """Single requests broken off are no reason, half of them are."""
        generator = random.Random(1)
        for share, low, high in ((0.02, 0.0, 0.05), (0.5, 0.95, 1.0)):
            failing = 0
            for _ in range(5000):
                self.health.note(broken_off=generator.random() < share)
                failing += self.health.failing
            with self.subTest(share=share):
                self.assertGreaterEqual(failing / 5000, low)
                self.assertLessEqual(failing / 5000, high)


class TestPlacement(unittest.TestCase):
    """Openings while one of ten targets breaks off all that it gets."""

    targets = 10
    rate = 50
    seconds = 10

    def setUp(self) -> None:
        self.world = transparent_world.World(seed=3)
        for number in range(3):
            self.world.start_balancer(f"10.1.0.{number}")
        for number in range(self.targets):
            self.world.start_vm(f"10.2.0.{number}")
        self.world.run(2.0)
        self.vm = self.world.vm_by_address["10.2.0.3"]
        assert self.vm.target is not None
        self.target = self.vm.target

    def _visit(self) -> None:
        """Opens a flow for one request."""
        client = self.world.open_flow()
        self.world.at(0.05, lambda: self.world.request(client))
        self.world.at(0.30, lambda: self.world.close(client))

    def visit(self, seconds: float) -> float:
        """Returns the target's share of the openings of some seconds."""
        before = self._openings()
        own = len(self.target.openings)
        for number in range(round(self.rate * seconds)):
            self.world.at(number / self.rate, self._visit)
        self.world.run(seconds + 0.5)
        opened = self._openings() - before
        self.assertGreaterEqual(opened, self.rate * seconds * 0.9)
        return (len(self.target.openings) - own) / opened

    def _openings(self) -> int:
        return sum(
            len(vm.target.openings)
            for vm in self.world.vm_by_address.values()
            if vm.target is not None
        )

    def test_target_that_breaks_requests_off(self) -> None:
        """Guards against a target that draws openings by failing fast."""
        self.target.breaks_off = True
        self.visit(1.0)
        share = self.visit(self.seconds)
        self.assertLess(share, 0.5 / self.targets)
        # It is tried again, so that its recovery is noticed.
        self.assertGreater(share, 0.0)

    def test_target_that_recovers(self) -> None:
        self.target.breaks_off = True
        self.visit(3.0)
        self.target.breaks_off = False
        self.visit(self.seconds)
        self.assertGreater(self.visit(self.seconds), 0.5 / self.targets)

    def test_all_targets_break_requests_off(self) -> None:
        """Failing targets are all there is, and keep sharing openings."""
        for vm in self.world.vm_by_address.values():
            assert vm.target is not None
            vm.target.breaks_off = True
        self.visit(3.0)
        share = self.visit(self.seconds)
        self.assertGreater(share, 0.5 / self.targets)
        self.assertLess(share, 2.0 / self.targets)

    def test_new_start_of_the_target(self) -> None:
        self.target.breaks_off = True
        self.visit(3.0)
        assert self.vm.agent is not None
        self.assertTrue(self.vm.agent.health.failing)
        self.world.start_target(self.vm)
        self.world.run(0.1)
        self.assertFalse(self.vm.agent.health.failing)

    def test_verdict_is_logged(self) -> None:
        self.target.breaks_off = True
        self.visit(1.0)
        found = [
            record.fields["failing"]
            for _, source, record in self.world.records
            if record.event == "target_judged" and source == self.vm.address
        ]
        self.assertEqual([True], found)
