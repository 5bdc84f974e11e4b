"""Replays three kinds of failed request and follows docs/OPERATIONS.md."""

import unittest

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.standins import transparent_simulation

BALANCER = "10.0.0.1"
VMS = ("10.1.0.1", "10.1.0.2")


class OperationsCase(unittest.TestCase):
    """One balancer and two targets."""

    def setUp(self) -> None:
        self.world = transparent_simulation.Simulation()
        for address in VMS:
            self.world.start_vm(address)
        self.world.start_balancer(BALANCER)
        self.world.run(1.0)

    def lines(
        self, client: transparent_simulation.SimulatedClient
    ) -> list[messages.LogEvent]:
        """Returns the lines that name a flow, in the order of time."""
        name = segments.flow_name(client.flow_id)
        return [
            record
            for _, _, record in self.world.log_events
            if record.fields.get("flow") == name
        ]

    def events(
        self, client: transparent_simulation.SimulatedClient
    ) -> list[str]:
        """Returns the names of a flow's events."""
        return [record.event for record in self.lines(client)]

    def open_flow(self) -> transparent_simulation.SimulatedClient:
        """Opens a flow."""
        client = self.world.open_flow()
        self.world.run(0.5)
        self.assertTrue(client.accepted)
        return client


class TestReset(OperationsCase):
    """The connection was reset."""

    def test_target_restarted(self) -> None:
        client = self.open_flow()
        for vm in self.world.vm_by_address.values():
            self.world.start_target(vm)
        self.world.run(0.5)
        self.assertEqual(1, client.resets)
        reset = self.lines(client)[-1]
        self.assertEqual("flow_reset", reset.event)
        self.assertEqual("target_ended", reset.fields["reason"])
        agent = reset.fields["agent"]
        restarts = [
            record
            for _, source, record in self.world.log_events
            if source == agent
            and record.event == "target_state"
            and record.fields["restarted"]
        ]
        self.assertEqual(2, len(restarts))


class TestRefused(OperationsCase):
    """The request was refused, or was late."""

    def test_full_target(self) -> None:
        for vm in self.world.vm_by_address.values():
            assert vm.target is not None
            vm.target.at_capacity = True
        client = self.world.open_flow()
        self.world.run(0.5)
        self.assertEqual(1, client.resets)
        reasons = [
            record.fields["reason"]
            for record in self.lines(client)
            if record.event == "opening_refused"
        ]
        self.assertEqual(["full", "full"], reasons)
        self.assertEqual("flow_reset", self.events(client)[-1])


class TestNoAnswer(OperationsCase):
    """No answer came before the deadline."""

    def test_agent_was_not_reached(self) -> None:
        for address in VMS:
            self.world.cut_links.add((BALANCER, address))
        client = self.world.open_flow()
        self.world.run(0.15)
        self.assertEqual(["opening_forwarded"], self.events(client))

    def test_silent_agent_leaves_a_search_open(self) -> None:
        client = self.open_flow()
        for address in VMS:
            self.world.cut_links.add((address, BALANCER))
        self.world.start_balancer(BALANCER)
        self.world.run(0.6)
        self.world.request(client)
        self.world.run(0.3)
        events = self.events(client)
        self.assertIn("flow_searched", events)
        self.assertNotIn("flow_found", events)
        self.assertNotIn("flow_reset", events)
