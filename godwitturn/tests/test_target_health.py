"""Tests of the judgement of targets by how they end requests."""

import functools
import random
import unittest
from unittest import mock

from godwitturn.core.transparent import target_health
from godwitturn.standins import transparent_world

# Seconds after which clients of the tests give up.
PATIENCE_S = 1.2


class TestVerdict(unittest.TestCase):
    """When a target counts as failing, and as well again."""

    def setUp(self) -> None:
        self.health = target_health.TargetHealth()

    def note(self, failed: bool, times: int) -> None:
        for _ in range(times):
            self.health.record(failed=failed)

    def test_few_failed_requests(self) -> None:
        self.note(True, target_health.FAILING_THRESHOLD - 1)
        self.assertFalse(self.health.failing)

    def test_many_failed_requests(self) -> None:
        self.note(False, 100)
        self.note(True, target_health.FAILING_THRESHOLD)
        self.assertTrue(self.health.failing)

    def test_one_answer_is_not_enough(self) -> None:
        self.note(True, target_health.WINDOW)
        self.note(False, 1)
        self.assertTrue(self.health.failing)

    def test_answers_make_a_target_well_again(self) -> None:
        self.note(True, target_health.FAILING_THRESHOLD)
        self.note(False, target_health.WINDOW)
        self.assertFalse(self.health.failing)

    def test_change_is_told_once(self) -> None:
        changes = [self.health.record(failed=True) for _ in range(10)]
        self.assertEqual(1, sum(changes))

    def test_new_start_is_yet_to_be_judged(self) -> None:
        self.note(True, target_health.WINDOW)
        self.health.clear()
        self.assertFalse(self.health.failing)
        self.assertEqual(0, self.health.request_count)

    def test_verdicts_on_shares_of_failures(self) -> None:
        """Single failed requests are no reason, half of them are."""
        generator = random.Random(1)
        for share, low, high in ((0.02, 0.0, 0.05), (0.5, 0.95, 1.0)):
            failing = 0
            for _ in range(5000):
                self.health.record(failed=generator.random() < share)
                failing += self.health.failing
            with self.subTest(share=share):
                self.assertGreaterEqual(failing / 5000, low)
                self.assertLessEqual(failing / 5000, high)


class TestPlacement(unittest.TestCase):
    """Openings while one of ten targets fails all that it gets."""

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
        self.given_up = 0

    def _visit(self) -> None:
        """Opens a flow for one request."""
        client = self.world.open_flow()
        self.world.call_later(0.05, lambda: self.world.request(client))
        self.world.call_later(0.30, lambda: self._leave(client))

    def _leave(self, client: transparent_world.ModelClient) -> None:
        """Ends a flow after its answer, or once the client gives up."""
        if client.answers or self.world.now > client.opened_at + PATIENCE_S:
            self.world.close(client)
        else:
            self.world.call_later(0.1, lambda: self._leave(client))

    def visit(self, seconds: float) -> float:
        """Returns the target's share of the openings of some seconds."""
        before = self._openings()
        own = len(self.target.openings)
        for number in range(round(self.rate * seconds)):
            self.world.call_later(number / self.rate, self._visit)
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
        self.target.resets_requests = True
        self.visit(1.0)
        share = self.visit(self.seconds)
        self.assertLess(share, 0.5 / self.targets)
        # It is tried again, so that its recovery is noticed.
        self.assertGreater(share, 0.0)

    def _stay(self, client: transparent_world.ModelClient) -> None:
        """Sends a request each second, on a new flow after a failure."""
        answers = client.answers
        self.world.request(client)
        self.world.call_later(1.0, lambda: self._stay_on(client, answers))

    def _stay_on(
        self, client: transparent_world.ModelClient, answers: int
    ) -> None:
        if client.answers == answers:
            self.given_up += 1
            self.world.close(client)
            client = self.world.open_flow()
        self.world.call_later(0.05, lambda: self._stay(client))

    def test_target_that_answers_nothing(self) -> None:
        """Guards against new flows in place of those that were given up."""
        for _ in range(20 * self.targets):
            client = self.world.open_flow()
            self.world.call_later(
                self.world.random.random() + 0.05,
                functools.partial(self._stay, client),
            )
        self.world.run(3.0)
        self.target.unresponsive = True
        self.world.run(3.0)
        self.given_up = 0
        self.world.run(self.seconds)
        # Half of the target's clients, of which each would give up ten times.
        self.assertLess(self.given_up, 10)

    def test_clients_that_leave_early_tell_nothing(self) -> None:
        self.target.unresponsive = True
        with mock.patch(f"{__name__}.PATIENCE_S", 0.3):
            self.visit(3.0)
        assert self.vm.agent is not None
        self.assertFalse(self.vm.agent.health.failing)

    def test_target_that_recovers(self) -> None:
        self.target.resets_requests = True
        self.visit(3.0)
        self.target.resets_requests = False
        self.visit(self.seconds)
        self.assertGreater(self.visit(self.seconds), 0.5 / self.targets)

    def test_all_targets_break_requests_off(self) -> None:
        """Failing targets are all there is, and keep sharing openings."""
        for vm in self.world.vm_by_address.values():
            assert vm.target is not None
            vm.target.resets_requests = True
        self.visit(3.0)
        share = self.visit(self.seconds)
        self.assertGreater(share, 0.5 / self.targets)
        self.assertLess(share, 2.0 / self.targets)

    def test_new_start_of_the_target(self) -> None:
        self.target.resets_requests = True
        self.visit(3.0)
        assert self.vm.agent is not None
        self.assertTrue(self.vm.agent.health.failing)
        self.world.start_target(self.vm)
        self.world.run(0.1)
        self.assertFalse(self.vm.agent.health.failing)

    def test_verdict_is_logged(self) -> None:
        self.target.resets_requests = True
        self.visit(1.0)
        found = [
            record.fields["failing"]
            for _, source, record in self.world.log_events
            if record.event == "target_judged" and source == self.vm.address
        ]
        self.assertEqual([True], found)
