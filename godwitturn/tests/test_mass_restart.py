"""Tests of the first moments after everything has lost power.

Pattern: balancers, agents and targets start within tenths of a second of each
other, and all clients open new flows at once. Targets are cold, and agents
don't know yet how many openings a cold target of their service may get.
"""

import unittest

from godwitturn.core import store_position
from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import cold_limit
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import peers
from godwitturn.core.transparent import targets
from godwitturn.platform import packets
from godwitturn.standins import transparent_simulation
from godwitturn.tests import test_transparent_targets
from godwitturn.tests import test_work_limit

BALANCER = "10.0.0.1"
# Openings that are found at an agent's start, and its target's slots, as on a
# recorded day.
OPENINGS = 12
SLOTS = 5


class ReconnectCase(unittest.TestCase):
    """An agent that finds openings at its start."""

    def setUp(self) -> None:
        self.agent = transparent_simulation.make_agent()
        self.agent.cold_limiter.per_second = None
        self.delivered: list[bytes] = []
        self.refused: list[messages.Refusal] = []
        for number in range(OPENINGS):
            packet = transparent_simulation.packet(
                test_work_limit.flow_of(number), transparent_simulation.SYN
            )
            segment = packets.decode(packet, from_target=False)
            assert segment is not None
            self.perform(
                self.agent.handle_forward(
                    BALANCER,
                    messages.Forward("core", False, packet),
                    segment,
                    now=0.0,
                )
            )
        heartbeat = heartbeats.Heartbeat(
            "i-1", 1, 1, "core", False, SLOTS, 1800
        )
        self.perform(self.agent.handle_heartbeat(heartbeat, now=0.1))

    def perform(self, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.Deliver(data):
                    self.delivered.append(data)
                case messages.Send(_, messages.OpeningRefused(reason)):
                    self.refused.append(reason)

    def receive_limit(self, per_second: float) -> None:
        hello = messages.Hello(
            position=store_position.StorePosition(0, 1),
            evacuated=False,
            cold_per_second=per_second,
            registered=True,
            data_centre="a",
            agents=1,
            flows_requested=False,
        )
        self.perform(self.agent.handle_hello(BALANCER, hello, now=0.2))

    def tick(self, *, until: float) -> None:
        for number in range(int(until / agents.TICK_S)):
            self.perform(self.agent.tick(now=0.2 + number * agents.TICK_S))


class TestUnknownLimit(ReconnectCase):
    """Openings must not be refused for a limit that isn't known."""

    def test_openings_wait_until_the_limit_is_known(self) -> None:
        self.assertEqual([], self.refused)
        self.assertLess(len(self.delivered), OPENINGS)

    def test_all_are_delivered_to_a_service_without_limit(self) -> None:
        self.receive_limit(0.0)
        self.tick(until=0.3)
        self.assertEqual([], self.refused)
        self.assertEqual(OPENINGS, len(set(self.delivered)))

    def test_excess_is_refused_once_the_limit_is_known(self) -> None:
        self.receive_limit(2.0)
        self.tick(until=0.1)
        limiter = self.agent.cold_limiter
        self.assertLessEqual(len(self.delivered), limiter.per_window)
        self.assertEqual(
            OPENINGS - len(self.delivered) - limiter.max_waiting,
            len(self.refused),
        )
        self.assertEqual({messages.Refusal.COLD}, set(self.refused))

    def test_openings_are_refused_if_the_limit_stays_unknown(self) -> None:
        self.tick(until=cold_limit.MAX_WAIT_S + 0.2)
        self.assertEqual(OPENINGS, len(self.delivered) + len(self.refused))


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


class TestFirstConfiguration(unittest.TestCase):
    """Agents must get the limits as soon as a balancer knows them."""

    def test_hellos_follow_the_first_configuration(self) -> None:
        balancer = balancers.Balancer(
            address=BALANCER,
            data_centre="a",
            started_at=0.0,
            peers=peers.PeerTable(BALANCER),
            fetcher=document_exchange.DocumentFetcher("balancer-1"),
        )
        balancer.register("10.0.0.2", "core", "a", now=0.04)
        balancer.tick(now=0.05)
        balancer.configure(
            transparent_simulation.configuration(),
            position=store_position.StorePosition(0, 1),
        )
        hellos = [
            action.message
            for action in balancer.tick(now=0.1)
            if isinstance(action, messages.Send)
            and isinstance(action.message, messages.Hello)
        ]
        self.assertEqual(
            [store_position.StorePosition(0, 1)],
            [hello.position for hello in hellos],
        )
