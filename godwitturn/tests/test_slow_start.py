"""Tests of the detection of cold starts and of the ramp."""

import unittest

import attrs

from godwitturn.core import actions
from godwitturn.core import slow_start
from godwitturn.protocol import packet as packets
from godwitturn.tests import agent_driver

POLICY = attrs.evolve(
    agent_driver.WARM_POLICY, slots=2, cold_fraction=0.2, ramp_seconds=10.0
)


def _warm() -> slow_start.SlowStart:
    ramp = slow_start.SlowStart(POLICY)
    ramp.restart(0.0)
    ramp.record_answer(0.1, "a", 10.0)
    return ramp


class TestRamp(unittest.TestCase):
    """A cold target must get a reduced load and a warm one the full load."""

    def test_fraction_rises_linearly(self) -> None:
        ramp = slow_start.SlowStart(POLICY)
        self.assertEqual(0.2, ramp.fraction(100.0))
        ramp.restart(100.0)
        for now, fraction in ((100, 0.2), (105, 0.6), (110, 1.0), (99, 0.2)):
            self.assertAlmostEqual(fraction, ramp.fraction(now))

    def test_extreme_settings_give_a_valid_fraction(self) -> None:
        for cold, seconds, fraction in ((0, 10, 0.001), (7, 10, 1), (0, 0, 1)):
            policy = attrs.evolve(
                POLICY, cold_fraction=cold, ramp_seconds=seconds, slots=0
            )
            ramp = slow_start.SlowStart(policy)
            ramp.restart(0.0)
            self.assertEqual(fraction, ramp.fraction(0.0))
            self.assertGreater(ramp.rate_per_second(0.0), 0)

    def test_ramp_limits_the_rate(self) -> None:
        """Guards against a fast cold target that gets its full rate."""
        ramp = _warm()
        ramp.restart(20.0)
        started = 0
        for step in range(1000):
            now = 20.0 + step / 1000
            if ramp.may_start(now):
                ramp.record_start(now)
                started += 1
        # The warm rate is 20 per second; 20% to 28% apply in the first second.
        self.assertIn(started, range(4, 7))

    def test_restart_adds_no_tokens(self) -> None:
        ramp = _warm()
        ramp.restart(20.0)
        ramp.record_start(20.0)
        self.assertFalse(ramp.may_start(20.0))
        ramp.restart(20.0)
        self.assertFalse(ramp.may_start(20.0))


class TestDetection(unittest.TestCase):
    """Unannounced restarts of the target must be detected."""

    def test_new_boot_id_is_a_cold_start(self) -> None:
        ramp = _warm()
        self.assertFalse(ramp.record_answer(0.1, "a", 30.0))
        self.assertTrue(ramp.record_answer(0.1, "b", 30.0))
        self.assertAlmostEqual(0.2, ramp.fraction(30.0))

    def test_late_answer_with_the_old_boot_id_is_no_cold_start(self) -> None:
        ramp = _warm()
        ramp.record_answer(0.1, "b", 30.0)
        self.assertFalse(ramp.record_answer(0.1, "a", 35.0))
        self.assertFalse(ramp.record_answer(0.1, "b", 35.0))

    def test_three_consecutive_slow_answers_are_a_cold_start(self) -> None:
        ramp = _warm()
        detected = [
            ramp.record_answer(seconds, "a", 30.0 + step)
            for step, seconds in enumerate((0.5, 0.5, 0.1, 0.5, 0.5, 0.5))
        ]
        self.assertEqual([False] * 5 + [True], detected)

    def test_slow_answers_that_overlap_count_once(self) -> None:
        """Guards against counting one stall of a VM once for each slot."""
        ramp = _warm()
        for now in (30.0, 30.1, 30.2, 40.0, 40.0, 40.0):
            self.assertFalse(ramp.record_answer(0.5, "a", now))
        self.assertTrue(ramp.record_answer(0.5, "a", 40.5))

    def test_scheduling_noise_is_no_cold_start(self) -> None:
        ramp = _warm()
        ramp.mean_service_seconds = 0.001
        for _ in range(5):
            self.assertFalse(ramp.record_answer(0.01, "a", 30.0))

    def test_target_that_stays_slower_becomes_warm_again(self) -> None:
        ramp = _warm()
        detected = [
            ramp.record_answer(0.9, "a", 30.0 + step) for step in range(100)
        ]
        self.assertEqual(1, sum(detected))
        self.assertEqual(1.0, ramp.fraction(130.0))


class TestColdTarget(agent_driver.AgentTestCase):
    """The agent must limit the load after a cold start."""

    def setUp(self) -> None:
        super().setUp()
        self.driver.change_policy(ramp_seconds=10.0, slots=4)
        self.send(packets.Kind.KEEPALIVE)
        self.driver.tick(10)
        self.request(1)
        self.driver.now += 0.1
        self.driver.answer()
        self.driver.now += 1

    def test_lost_connection_restarts_the_ramp(self) -> None:
        self.request(2)
        self.assertEqual(1000, self.load().capacity)
        self.driver.fail(started=True, connection_lost=True)
        self.assertEqual(100, self.load().capacity)
        self.driver.handle(actions.HealthCheckCompleted(reachable=True))
        self.assertEqual(100, self.load().capacity)

    def test_refused_connections_limit_the_attempts(self) -> None:
        self.request(2)
        for _ in range(50):
            if len(self.driver.agent._state.admission.running):
                self.driver.fail(started=False, connection_lost=True)
        self.assertEqual(3, len(self.driver.started))

    def test_excess_requests_are_refused_during_slow_start(self) -> None:
        self.request(2)
        self.driver.answer(boot_id="b")
        for request_id in range(3, 9):
            replies = self.request(request_id, deadline_ms=900)
        self.assert_outcome(replies, "SLOW_START", "NOT_RUN")
        self.assertLessEqual(len(self.driver.started), 3)
        self.driver.tick(0.1)
        self.driver.tick(0.2)
        self.assertEqual(4, len(self.driver.started))
