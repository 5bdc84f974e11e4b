"""Tests of searches by balancers and agents that were both just restarted.

Pattern: the agent next to the flow's target doesn't track the flow, so only
the target can tell that the flow is open there.
"""

import unittest

from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import peers
from godwitturn.platform import packets
from godwitturn.standins import transparent_simulation
from godwitturn.tests import test_target_placement
from godwitturn.tests import test_transparent_simulation

BALANCERS = test_transparent_simulation.BALANCERS


class TestRestartOfBoth(test_transparent_simulation.SimulationTestCase):
    """Open flows must survive a restart of all balancers and agents."""

    def setUp(self) -> None:
        super().setUp()
        self.clients = self.open_flows(35)

    def restart_all(self, *, configured: bool = True) -> None:
        for vm in self.simulation.vm_by_address.values():
            self.simulation.start_agent(vm)
        for address in BALANCERS:
            self.simulation.start_balancer(address, configured=configured)

    def test_search_before_the_configuration_has_been_read(self) -> None:
        """Agents reply, the configuration arrives, the search restarts."""
        self.restart_all(configured=False)
        self.simulation.run(0.3)
        for client in self.clients:
            self.simulation.request(client)
        self.simulation.run(0.1)
        for balancer in self.simulation.balancer_by_address.values():
            self.simulation.configure(balancer)
        self.simulation.run(1.4)
        self.assert_served(self.clients, 1)

    def test_search_while_an_agent_of_the_new_service_is_silent(self) -> None:
        """Its targets are tried first, which must not hold up the others."""
        self.simulation.start_vm("10.1.1.1", service="desk").agent = None
        self.test_search_after_the_route_has_got_another_service()

    def test_search_after_the_route_has_got_another_service(self) -> None:
        """The route changes, then agents and balancers are restarted."""
        self.simulation.configure_all(
            transparent_simulation.configuration(2, shares=(("desk", 1),))
        )
        self.restart_all()
        self.simulation.run(1.0)
        self.request_all(self.clients)
        self.assert_served(self.clients, 1)


class TestAgentsLearnedDuringASearch(unittest.TestCase):
    """A search of a balancer that has just started and knows one agent.

    Its agents became known after the query, and the only reply arrived when
    the agents counted as complete: open flows at the others were reset.
    """

    FLOW_ID = (0x0A000063, 4000, 1, 443)

    def setUp(self) -> None:
        self.now = 100.0
        self.balancer = balancers.Balancer(
            address="10.0.1.1",
            data_centre="a",
            started_at=self.now,
            peers=peers.PeerTable("10.0.1.1"),
            fetcher=document_exchange.DocumentFetcher("balancer-1"),
        )
        self.announce("10.1.0.1")
        self.assertEqual(["10.1.0.1"], self.queried(self.send_packet()))

    def announce(self, agent: str) -> None:
        self.balancer.handle_message(
            agent, test_target_placement.announcement(sequence=1), now=self.now
        )

    def send_packet(self) -> list[messages.Action]:
        data = transparent_simulation.packet(
            self.FLOW_ID, transparent_simulation.ACK, data=b"request"
        )
        segment = transparent_simulation.client_segment(data)
        return self.balancer.handle_packet(segment, now=self.now)

    def queried(self, actions: list[messages.Action]) -> list[str]:
        return [
            action.address
            for action in actions
            if isinstance(action, messages.Send)
            and isinstance(action.message, messages.FlowQuery)
        ]

    def reply_absent(self, agent: str) -> list[messages.Action]:
        return self.balancer.handle_message(
            agent, messages.FlowAbsent(self.FLOW_ID), now=self.now
        )

    def assert_reset(self, actions: list[messages.Action]) -> None:
        self.assertIn(messages.Reset, [type(action) for action in actions])

    def test_later_agents_are_queried_before_a_reset(self) -> None:
        self.balancer.agents_loaded = True
        self.announce("10.1.0.2")
        actions = self.reply_absent("10.1.0.1")
        self.assertEqual(["10.1.0.2"], self.queried(actions))
        self.assertNotIn(messages.Reset, [type(a) for a in actions])
        self.assert_reset(self.reply_absent("10.1.0.2"))

    def test_flow_is_reset_once_all_agents_have_replied(self) -> None:
        self.balancer.agents_loaded = True
        self.assert_reset(self.reply_absent("10.1.0.1"))


class TestQueryWithoutService(unittest.TestCase):
    """A query of a balancer that has not learned the agent's service."""

    def reply_to_query(self, *, sequence: int) -> messages.Message:
        """Returns the reply of an agent after the target's heartbeat."""
        agent = transparent_simulation.make_agent()
        agent.handle_heartbeat(
            transparent_simulation.make_heartbeat(sequence),
            now=1.0,
        )
        query = messages.FlowQuery((1, 2, 3, 4), "")
        (send,) = agent.handle_query("10.0.0.1", query, now=1.1)
        assert isinstance(send, messages.Send)
        return send.message

    def test_flow_may_be_open_at_a_target_older_than_the_agent(self) -> None:
        reply = self.reply_to_query(sequence=7)
        self.assertIsInstance(reply, messages.FlowUnknown)

    def test_flow_is_absent_if_the_target_is_younger(self) -> None:
        reply = self.reply_to_query(sequence=1)
        self.assertIsInstance(reply, messages.FlowAbsent)


class TestRestartedTarget(unittest.TestCase):
    """Flows of a target that restarts beside its agent."""

    # Guards against flows that are reset because they were opened at a new
    # start of the target before its first heartbeat. Order: opening at the new
    # start, its answer, its heartbeat, query.
    def test_flow_opened_before_the_first_heartbeat_is_kept(self) -> None:
        agent = transparent_simulation.make_agent()
        agent.handle_heartbeat(
            transparent_simulation.make_heartbeat(), now=1.0
        )
        flow_id = transparent_simulation.client_flow_id(1024)
        transparent_simulation.offer_opening(
            agent, 1024, balancer="10.0.0.1", now=2.0
        )
        answer = packets.decode(
            transparent_simulation.packet(
                flow_id,
                transparent_simulation.SYN | transparent_simulation.ACK,
                from_target=True,
            ),
            from_target=True,
        )
        assert answer is not None
        agent.handle_target_packet(answer, now=2.001)
        agent.handle_heartbeat(
            transparent_simulation.make_heartbeat(target_id="i-2", born=2),
            now=2.016,
        )
        query = messages.FlowQuery(flow_id, "core")
        replies = [
            type(action.message)
            for action in agent.handle_query("10.0.0.1", query, now=2.02)
            if isinstance(action, messages.Send)
        ]
        self.assertNotIn(messages.FlowAbsent, replies)
