"""Tests of when a session considers a target failed."""

import unittest

from godwitturn.core import session_events
from godwitturn.protocol import packet as packets
from godwitturn.standins import session_world

RUNS = 300
# Time during which two of three balancers are down.
OUTAGE_S = 8.0
REQUEST_INTERVAL_S = 0.25


def _run(seed: int) -> session_world.World:
    """Runs requests while only a third of the packets is forwarded."""
    world = session_world.World(seed=seed)
    world.open()

    def is_lost(_: packets.Packet) -> bool:
        return world.random.random() < 2 / 3

    world.is_dropped = is_lost
    number = 1
    ends_at = world.now + OUTAGE_S
    world.request(number, timeout_s=30.0)
    while world.now < ends_at:
        world.run(REQUEST_INTERVAL_S)
        # One at a time, since concurrent requests would send more packets.
        if number in world.outcomes_by_number:
            number += 1
            world.request(number, timeout_s=30.0)
    world.is_dropped = lambda packet: False
    world.run(30.0)
    return world


class TestOneOfThreeBalancers(unittest.TestCase):
    """A flow must not break while one balancer forwards packets."""

    def test_no_flow_breaks(self) -> None:
        """Guards against mistaking failed balancers for a failed target."""
        broken = 0
        for seed in range(RUNS):
            world = _run(seed)
            self.assertEqual([], world.check())
            broken += any(
                isinstance(action, session_events.FlowEnded)
                and action.end is session_events.FlowEnd.BROKEN
                for action in world.actions
            )
        # The probability of 32 consecutive losses is 0.0002%.
        self.assertEqual(0, broken)


class TestFailedTarget(unittest.TestCase):
    """A session must soon leave a failed target."""

    def test_request_is_answered_elsewhere_within_8_s(self) -> None:
        """Guards against callers that keep waiting for a failed target."""
        world = session_world.open_world()
        flow_id = world.sent[-1][1].flow_id
        world.is_dropped = lambda packet: packet.flow_id == flow_id
        started_at = world.now
        world.request(1, idempotent=True, timeout_s=20.0)
        self.assertTrue(
            world.run_until(
                lambda: 1 in world.outcomes_by_number, limit_s=20.0
            )
        )
        # Five seconds without a reply, then an opening at another target.
        self.assertLess(world.now - started_at, 8.0)
        self.assertTrue(world.outcome(1).body)
