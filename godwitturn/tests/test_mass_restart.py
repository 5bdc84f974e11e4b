"""Tests of the first moments after everything has lost power.

Pattern: balancers, agents and targets start within tenths of a second of each
other, some of them for a moment only, and clients repeat the packets of all
flows that were open before.
"""

import unittest

from godwitturn.core import store_position
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import peers
from godwitturn.core.transparent import targets
from godwitturn.standins import transparent_simulation
from godwitturn.tests import test_transparent_targets
from godwitturn.tests import test_work_limit

BALANCER = "10.0.0.1"


class TestVanishedAgents(unittest.TestCase):
    """Agents that are lost again must not keep clients waiting.

    Packets of flows from before the loss of power are searched at all agents.
    """

    def setUp(self) -> None:
        self.balancer = balancers.Balancer(
            address=BALANCER,
            data_centre="a",
            started_at=0.0,
            peers=peers.PeerTable(BALANCER),
            fetcher=document_exchange.DocumentFetcher("balancer-1"),
        )
        self.balancer.configure(
            transparent_simulation.configuration(),
            position=store_position.StorePosition(0, 1),
        )
        self.flow_id = test_work_limit.flow_of(1)
        self.resets: list[float] = []
        for agent in ("a1", "a2", "a3"):
            self.announce(agent, now=1.0)
        self.send_packet(now=1.1)
        for agent in ("a1", "a2"):
            self.perform(
                self.balancer.handle_message(
                    agent, messages.FlowAbsent(self.flow_id), now=1.2
                ),
                now=1.2,
            )
        self.assertEqual([], self.resets)

    def announce(self, agent: str, *, now: float) -> None:
        announcement = test_transparent_targets.announcement(
            sequence=round(now * 1000)
        )
        self.balancer.handle_message(agent, announcement, now=now)

    def perform(self, actions: list[messages.Action], *, now: float) -> None:
        self.resets += [
            now for action in actions if isinstance(action, messages.Reset)
        ]

    def send_packet(self, *, now: float) -> None:
        packet = transparent_simulation.packet(
            self.flow_id, transparent_simulation.ACK, data=b"request"
        )
        segment = transparent_simulation.client_segment(packet)
        self.perform(self.balancer.handle_packet(segment, now=now), now=now)

    def announce_until(self, end: float, *, ticks: bool) -> None:
        """Lets all agents but the last one announce."""
        for number in range(11, round(end * 10)):
            now = number / 10
            for agent in ("a1", "a2"):
                self.announce(agent, now=now)
            if ticks:
                self.perform(self.balancer.tick(now=now), now=now)

    def test_client_is_reset_when_the_agent_is_lost(self) -> None:
        self.announce_until(4.0, ticks=True)
        (reset_at,) = self.resets
        self.assertGreaterEqual(reset_at, 1.0 + targets.LOST_S)
        self.assertLess(reset_at, 1.0 + targets.LOST_S + 0.2)

    def test_client_is_reset_with_its_next_packet(self) -> None:
        self.announce_until(4.0, ticks=False)
        self.send_packet(now=4.0)
        self.assertEqual([4.0], self.resets)

    def test_client_is_reset_after_the_agent_was_removed(self) -> None:
        self.announce_until(20.0, ticks=False)
        self.balancer.target_table.remove("a3")
        self.send_packet(now=20.0)
        self.assertEqual([20.0], self.resets)

    def test_agent_that_answers_again_keeps_the_search_open(self) -> None:
        self.announce_until(2.0, ticks=True)
        self.announce("a3", now=2.0)
        self.send_packet(now=2.1)
        self.assertEqual([], self.resets)
