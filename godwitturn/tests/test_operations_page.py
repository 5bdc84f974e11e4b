"""Tests that the log shows why requests are reset, refused or unanswered.

The steps are those of the operators' manual.
"""

import unittest

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.standins import transparent_simulation

BALANCER = "10.0.0.1"
VMS = ("10.1.0.1", "10.1.0.2")


class OperationsCase(unittest.TestCase):
    """One balancer and two targets."""

    def setUp(self) -> None:
        self.simulation = transparent_simulation.Simulation()
        for address in VMS:
            self.simulation.start_vm(address)
        self.simulation.start_balancer(BALANCER)
        self.simulation.run(1.0)

    def log_events(
        self, client: transparent_simulation.SimulatedClient
    ) -> list[messages.LogEvent]:
        """Returns the log events of a client's flow, in the order of time."""
        name = segments.flow_name(client.flow_id)
        return [
            log_event
            for _, _, log_event in self.simulation.log_events
            if log_event.fields.get("flow") == name
        ]

    def event_names(
        self, client: transparent_simulation.SimulatedClient
    ) -> list[str]:
        return [log_event.event for log_event in self.log_events(client)]

    def open_flow(self) -> transparent_simulation.SimulatedClient:
        client = self.simulation.open_flow()
        self.simulation.run(0.5)
        self.assertTrue(client.accepted)
        return client


class TestReset(OperationsCase):
    """The log must show why a connection was reset."""

    def test_log_shows_that_a_target_restart_caused_a_reset(self) -> None:
        client = self.open_flow()
        for vm in self.simulation.vm_by_address.values():
            self.simulation.start_target(vm)
        self.simulation.run(0.5)
        self.assertEqual(1, client.resets)
        reset = self.log_events(client)[-1]
        self.assertEqual("flow_reset", reset.event)
        self.assertEqual("target_ended", reset.fields["reason"])
        agent = reset.fields["agent"]
        restarts = [
            log_event
            for _, source, log_event in self.simulation.log_events
            if source == agent
            and log_event.event == "target_state"
            and log_event.fields["restarted"]
        ]
        self.assertEqual(2, len(restarts))


class TestRefused(OperationsCase):
    """The log must show why a request was refused."""

    def test_log_shows_that_full_targets_refused_an_opening(self) -> None:
        for vm in self.simulation.vm_by_address.values():
            assert vm.target is not None
            vm.target.at_capacity = True
        client = self.simulation.open_flow()
        self.simulation.run(0.5)
        self.assertEqual(1, client.resets)
        reasons = [
            log_event.fields["reason"]
            for log_event in self.log_events(client)
            if log_event.event == "opening_refused"
        ]
        self.assertEqual(["full", "full"], reasons)
        self.assertEqual("flow_reset", self.event_names(client)[-1])


class TestNoAnswer(OperationsCase):
    """The log must show where a request without an answer stopped."""

    def test_opening_without_an_answer_is_logged_as_forwarded(self) -> None:
        for address in VMS:
            self.simulation.cut_links.add((BALANCER, address))
        client = self.simulation.open_flow()
        self.simulation.run(0.15)
        self.assertEqual(["opening_forwarded"], self.event_names(client))

    def test_silent_agent_leaves_a_search_open(self) -> None:
        client = self.open_flow()
        for address in VMS:
            self.simulation.cut_links.add((address, BALANCER))
        self.simulation.start_balancer(BALANCER)
        self.simulation.run(0.6)
        self.simulation.request(client)
        self.simulation.run(0.3)
        event_names = self.event_names(client)
        self.assertIn("flow_searched", event_names)
        self.assertNotIn("flow_found", event_names)
        self.assertNotIn("flow_reset", event_names)
