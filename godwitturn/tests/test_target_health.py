"""Tests of the health of targets, judged by request outcomes."""

import functools
import random
import unittest
from unittest import mock

from godwitturn.core.transparent import target_health
from godwitturn.standins import transparent_simulation

# Time after its opening at which a client in these tests gives up.
CLIENT_TIMEOUT_S = 1.2


class TestFailingState(unittest.TestCase):
    """When a target counts as failing, and as recovered."""

    def setUp(self) -> None:
        self.health = target_health.TargetHealth()

    def record(self, failed: bool, times: int) -> None:
        for _ in range(times):
            self.health.record(failed=failed)

    def test_few_failed_requests_are_tolerated(self) -> None:
        self.record(True, target_health.FAILING_THRESHOLD - 1)
        self.assertFalse(self.health.failing)

    def test_many_failed_requests_mark_the_target_failing(self) -> None:
        self.record(False, 100)
        self.record(True, target_health.FAILING_THRESHOLD)
        self.assertTrue(self.health.failing)

    def test_one_answer_is_no_recovery(self) -> None:
        self.record(True, target_health.WINDOW)
        self.record(False, 1)
        self.assertTrue(self.health.failing)

    def test_answers_mark_the_target_recovered(self) -> None:
        self.record(True, target_health.FAILING_THRESHOLD)
        self.record(False, target_health.WINDOW)
        self.assertFalse(self.health.failing)

    def test_change_is_returned_once(self) -> None:
        changes = [self.health.record(failed=True) for _ in range(10)]
        self.assertEqual(1, sum(changes))

    def test_new_start_discards_outcomes(self) -> None:
        self.record(True, target_health.WINDOW)
        self.health.clear()
        self.assertFalse(self.health.failing)
        self.assertEqual(0, self.health.request_count)

    def test_failing_state_follows_the_share_of_failures(self) -> None:
        """A target that fails single requests rarely counts as failing.

        One that fails half of its requests counts as failing nearly always.
        """
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
    """Openings while one of ten targets fails all its requests."""

    target_count = 10
    openings_per_second = 50
    measured_s = 10

    def setUp(self) -> None:
        self.simulation = transparent_simulation.Simulation(seed=3)
        for number in range(3):
            self.simulation.start_balancer(f"10.1.0.{number}")
        for number in range(self.target_count):
            self.simulation.start_vm(f"10.2.0.{number}")
        self.simulation.run(2.0)
        self.vm = self.simulation.vm_by_address["10.2.0.3"]
        assert self.vm.target is not None
        self.target = self.vm.target
        self.given_up = 0

    def _open_for_one_request(self) -> None:
        """Opens a flow, and closes it after one request."""
        client = self.simulation.open_flow()
        self.simulation.call_later(
            0.05, lambda: self.simulation.request(client)
        )
        self.simulation.call_later(0.30, lambda: self._close_when_done(client))

    def _close_when_done(
        self, client: transparent_simulation.SimulatedClient
    ) -> None:
        """Closes a flow after its answer, or once the client gives up."""
        if (
            client.answers
            or self.simulation.now > client.opened_at + CLIENT_TIMEOUT_S
        ):
            self.simulation.close(client)
        else:
            self.simulation.call_later(
                0.1, lambda: self._close_when_done(client)
            )

    def share_of_openings(self, seconds: float) -> float:
        """Returns the target's share of the openings in a period."""
        openings_before = self._openings()
        target_openings_before = len(self.target.openings)
        for number in range(round(self.openings_per_second * seconds)):
            self.simulation.call_later(
                number / self.openings_per_second, self._open_for_one_request
            )
        self.simulation.run(seconds + 0.5)
        opened = self._openings() - openings_before
        self.assertGreaterEqual(
            opened, self.openings_per_second * seconds * 0.9
        )
        return (len(self.target.openings) - target_openings_before) / opened

    def _openings(self) -> int:
        return sum(
            len(vm.target.openings)
            for vm in self.simulation.vm_by_address.values()
            if vm.target is not None
        )

    def test_target_that_resets_requests_gets_few_openings(self) -> None:
        """Guards against a target that attracts openings by failing fast."""
        self.target.resets_requests = True
        self.share_of_openings(1.0)
        share = self.share_of_openings(self.measured_s)
        self.assertLess(share, 0.5 / self.target_count)
        # Some openings probe it, so that its recovery is noticed.
        self.assertGreater(share, 0.0)

    def _request_each_second(
        self, client: transparent_simulation.SimulatedClient
    ) -> None:
        """Sends a request each second, on a new flow after a failure."""
        answers = client.answers
        self.simulation.request(client)
        self.simulation.call_later(
            1.0, lambda: self._continue_or_give_up(client, answers)
        )

    def _continue_or_give_up(
        self, client: transparent_simulation.SimulatedClient, answers: int
    ) -> None:
        if client.answers == answers:
            self.given_up += 1
            self.simulation.close(client)
            client = self.simulation.open_flow()
        self.simulation.call_later(
            0.05, lambda: self._request_each_second(client)
        )

    def test_unresponsive_target_gets_few_new_flows(self) -> None:
        """Guards against new flows to a target whose clients gave up."""
        for _ in range(20 * self.target_count):
            client = self.simulation.open_flow()
            self.simulation.call_later(
                self.simulation.random.random() + 0.05,
                functools.partial(self._request_each_second, client),
            )
        self.simulation.run(3.0)
        self.target.unresponsive = True
        self.simulation.run(3.0)
        self.given_up = 0
        self.simulation.run(self.measured_s)
        # The bound is half the number of the target's clients. If their new
        # flows went to the target again, each client would give up ten times.
        self.assertLess(self.given_up, 10)

    def test_clients_that_leave_early_do_not_count(self) -> None:
        self.target.unresponsive = True
        with mock.patch(f"{__name__}.CLIENT_TIMEOUT_S", 0.3):
            self.share_of_openings(3.0)
        assert self.vm.agent is not None
        self.assertFalse(self.vm.agent.health.failing)

    def test_recovered_target_gets_openings_again(self) -> None:
        self.target.resets_requests = True
        self.share_of_openings(3.0)
        self.target.resets_requests = False
        self.share_of_openings(self.measured_s)
        self.assertGreater(
            self.share_of_openings(self.measured_s), 0.5 / self.target_count
        )

    def test_openings_are_shared_if_all_targets_fail(self) -> None:
        """Guards against leaving out all or most targets as failing."""
        for vm in self.simulation.vm_by_address.values():
            assert vm.target is not None
            vm.target.resets_requests = True
        self.share_of_openings(3.0)
        share = self.share_of_openings(self.measured_s)
        self.assertGreater(share, 0.5 / self.target_count)
        self.assertLess(share, 2.0 / self.target_count)

    def test_new_start_of_the_target_is_not_failing(self) -> None:
        self.target.resets_requests = True
        self.share_of_openings(3.0)
        assert self.vm.agent is not None
        self.assertTrue(self.vm.agent.health.failing)
        self.simulation.start_target(self.vm)
        self.simulation.run(0.1)
        self.assertFalse(self.vm.agent.health.failing)

    def test_change_of_the_failing_state_is_logged(self) -> None:
        self.target.resets_requests = True
        self.share_of_openings(1.0)
        logged = [
            record.fields["failing"]
            for _, source, record in self.simulation.log_events
            if record.event == "target_judged" and source == self.vm.address
        ]
        self.assertEqual([True], logged)
