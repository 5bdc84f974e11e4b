"""When a session takes a target for dead."""

import unittest

from godwitturn.core import session_events
from godwitturn.protocol import packet as packets
from godwitturn.standins import session_world

RUNS = 300
# Two of three balancers are down for this long.
OUTAGE_S = 8.0
REQUEST_INTERVAL_S = 0.25


def _run(seed: int) -> session_world.World:
    """Runs requests while only every third packet finds a balancer."""
    world = session_world.World(seed=seed)
    world.open()

    def is_lost(_: packets.Packet) -> bool:
        return world.random.random() < 2 / 3

    world.drops = is_lost
    number = 1
    ends_at = world.now + OUTAGE_S
    world.request(number, timeout_s=30.0)
    while world.now < ends_at:
        world.run(REQUEST_INTERVAL_S)
        # One at a time, as more requests in progress send more packets.
        if number in world.outcomes_by_number:
            number += 1
            world.request(number, timeout_s=30.0)
    world.drops = lambda packet: False
    world.run(30.0)
    return world


class TestOneOfThreeBalancers(unittest.TestCase):
    """A flow must survive while one balancer forwards."""

    def test_flows_survive(self) -> None:
        """Guards against mistaking dead balancers for a dead target."""
        broken = 0
        for seed in range(RUNS):
            world = _run(seed)
            self.assertEqual([], world.check())
            broken += any(
                isinstance(action, session_events.FlowEnded)
                and action.end is session_events.FlowEnd.BROKEN
                for action in world.actions
            )
        # The chance of 32 losses in a row is 0.0002%.
        self.assertEqual(0, broken)


class TestDeadTarget(unittest.TestCase):
    """A session must leave a dead target soon."""

    def test_leaves_within_seconds(self) -> None:
        """Guards against callers that wait for a target that is gone."""
        world = session_world.open_world()
        flow_id = world.sent[-1][1].flow_id
        world.drops = lambda packet: packet.flow_id == flow_id
        began = world.now
        world.request(1, idempotent=True, timeout_s=20.0)
        self.assertTrue(
            world.run_until(
                lambda: 1 in world.outcomes_by_number, limit_s=20.0
            )
        )
        # Five seconds of silence and an opening elsewhere.
        self.assertLess(world.now - began, 8.0)
        self.assertTrue(world.outcome(1).body)
