"""Tests of when a session considers a target failed."""

import unittest

from godwitturn.core import session_events
from godwitturn.protocol import packet as packets
from godwitturn.standins import session_simulation

RUNS = 300
# Time during which two of three balancers are down.
OUTAGE_S = 8.0
REQUEST_INTERVAL_S = 0.25


def _run(seed: int) -> session_simulation.Simulation:
    """Runs requests while only a third of the packets is forwarded."""
    simulation = session_simulation.Simulation(seed=seed)
    simulation.open()

    def is_lost(_: packets.Packet) -> bool:
        return simulation.random.random() < 2 / 3

    simulation.is_dropped = is_lost
    number = 1
    ends_at = simulation.now + OUTAGE_S
    simulation.request(number, timeout_s=30.0)
    while simulation.now < ends_at:
        simulation.run(REQUEST_INTERVAL_S)
        # One at a time, since concurrent requests would send more packets.
        if number in simulation.outcomes_by_number:
            number += 1
            simulation.request(number, timeout_s=30.0)
    simulation.is_dropped = lambda packet: False
    simulation.run(30.0)
    return simulation


class TestOneOfThreeBalancers(unittest.TestCase):
    """A flow must not break while one balancer forwards packets."""

    def test_no_flow_breaks(self) -> None:
        """Guards against mistaking failed balancers for a failed target."""
        broken = 0
        for seed in range(RUNS):
            simulation = _run(seed)
            self.assertEqual([], simulation.check())
            broken += any(
                isinstance(action, session_events.FlowEnded)
                and action.end is session_events.FlowEnd.BROKEN
                for action in simulation.actions
            )
        # The probability of 32 consecutive losses is 0.0002%.
        self.assertEqual(0, broken)


class TestFailedTarget(unittest.TestCase):
    """A session must soon leave a failed target."""

    def test_request_is_answered_elsewhere_within_8_s(self) -> None:
        """Guards against callers that keep waiting for a failed target."""
        simulation = session_simulation.with_open_session()
        flow_id = simulation.sent[-1][1].flow_id
        simulation.is_dropped = lambda packet: packet.flow_id == flow_id
        started_at = simulation.now
        simulation.request(1, idempotent=True, timeout_s=20.0)
        self.assertTrue(
            simulation.run_until(
                lambda: 1 in simulation.outcomes_by_number, limit_s=20.0
            )
        )
        # Five seconds without a reply, then an opening at another target.
        self.assertLess(simulation.now - started_at, 8.0)
        self.assertTrue(simulation.outcome(1).body)
