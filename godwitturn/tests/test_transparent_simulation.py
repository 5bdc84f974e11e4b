"""Tests of balancers and agents together, with a model of the router."""

import unittest

from godwitturn.standins import transparent_simulation

BALANCERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
VMS = tuple(f"10.1.0.{number}" for number in range(1, 8))


class SimulationTestCase(unittest.TestCase):
    """Base class of tests with three balancers and seven targets."""

    def setUp(self) -> None:
        self.simulation = transparent_simulation.Simulation()
        for address in VMS:
            self.simulation.start_vm(address)
        for address in BALANCERS:
            self.simulation.start_balancer(address)
        self.simulation.run(1.0)

    def open_flows(
        self, count: int, *, gap_s: float = 0.01
    ) -> list[transparent_simulation.SimulatedClient]:
        """Opens flows and waits for a second until they are accepted.

        Args:
            count: Number of flows.
            gap_s: Seconds between two openings.
        """
        clients = []
        for _ in range(count):
            clients.append(self.simulation.open_flow())
            self.simulation.run(gap_s)
        self.simulation.run(1.0)
        return clients

    def request_all(
        self, clients: list[transparent_simulation.SimulatedClient]
    ) -> None:
        """Sends a request on each flow and waits 1.5 s for the answers."""
        for client in clients:
            self.simulation.request(client)
        self.simulation.run(1.5)

    def assert_served(
        self,
        clients: list[transparent_simulation.SimulatedClient],
        answers: int,
    ) -> None:
        """Checks that no flow was reset and all requests were answered."""
        self.assertEqual([], [c for c in clients if c.resets])
        self.assertEqual(
            [], [c for c in clients if not c.accepted or c.answers < answers]
        )

    def flow_counts(self) -> dict[str, int]:
        """Returns the number of flows open at each target."""
        return {
            vm.address: len(vm.target.flows)
            for vm in self.simulation.vm_by_address.values()
            if vm.target is not None
        }


class TestPlacement(SimulationTestCase):
    """Flows must be distributed evenly over targets."""

    def test_forty_flows_are_spread_evenly_over_seven_targets(self) -> None:
        self.open_flows(40)
        counts = list(self.flow_counts().values())
        self.assertEqual(40, sum(counts))
        self.assertLess(max(counts) / (40 / 7), 1.25)

    def test_burst_of_openings_is_spread_evenly(self) -> None:
        self.open_flows(140, gap_s=0.0)
        counts = list(self.flow_counts().values())
        self.assertEqual(140, sum(counts))
        self.assertLess(max(counts) / 20, 1.25)


class TestPlacementByManyBalancers(unittest.TestCase):
    """Balancers learn of each other's choices only with a delay."""

    def test_flows_of_six_balancers_are_spread_evenly(self) -> None:
        simulation = transparent_simulation.Simulation()
        for number, address in enumerate(VMS):
            simulation.start_vm(address, data_centre="abc"[number % 3])
        for number in range(6):
            simulation.start_balancer(
                f"10.0.0.{number + 1}", data_centre="abc"[number % 3]
            )
        simulation.run(1.0)
        for _ in range(40):
            simulation.open_flow()
            simulation.run(0.01)
        simulation.run(1.0)
        counts = [
            len(vm.target.flows)
            for vm in simulation.vm_by_address.values()
            if vm.target is not None
        ]
        self.assertEqual(40, sum(counts))
        self.assertLess(max(counts) / (40 / 7), 1.25)


class TestPlannedChanges(SimulationTestCase):
    """Flows must survive planned changes."""

    def test_flows_survive_a_rolling_restart_with_mod_hashing(self) -> None:
        clients = self.open_flows(60)
        for round_number, address in enumerate(BALANCERS, start=1):
            self.simulation.rotation.remove(address)
            self.simulation.run(0.2)
            self.simulation.kill_balancer(address)
            self.request_all(clients)
            self.simulation.start_balancer(address, in_rotation=False)
            self.simulation.run(0.6)
            self.simulation.rotation.append(address)
            self.request_all(clients)
            self.assert_served(clients, 2 * round_number)

    def test_changed_shares_leave_flows_where_they_are(self) -> None:
        self.simulation.start_vm("10.1.1.1", service="desk")
        self.simulation.configure_all(
            transparent_simulation.configuration(
                2, shares=(("core", 1), ("desk", 1))
            )
        )
        self.simulation.run(0.5)
        clients = self.open_flows(30)
        self.simulation.configure_all(
            transparent_simulation.configuration(3, shares=(("core", 1),))
        )
        # Restarted balancers have neither cached flows nor the old shares.
        for address in BALANCERS:
            self.simulation.start_balancer(address)
        self.simulation.run(1.0)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_moved_flows_need_no_search(self) -> None:
        """Agents notify all balancers of a data centre of each flow."""
        clients = self.open_flows(60)
        self.simulation.rotation.reverse()
        self.simulation.rotation.pop()
        self.request_all(clients)
        self.assert_served(clients, 1)
        searched = [
            record
            for _, _, record in self.simulation.log_events
            if record.event == "flow_searched"
        ]
        self.assertEqual([], searched)

    def test_starting_balancer_receives_the_flows(self) -> None:
        clients = self.open_flows(60)
        node = self.simulation.start_balancer(BALANCERS[0])
        self.simulation.run(0.1)
        self.assertEqual(60, len(node.cache.flow_by_id))
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_draining_target_keeps_its_flows_and_gets_no_new_ones(
        self,
    ) -> None:
        clients = self.open_flows(21)
        target = self.simulation.vm_by_address[VMS[0]].target
        assert target is not None
        target.draining = True
        self.simulation.run(1.5)
        open_flows = set(target.flows)
        clients += self.open_flows(21)
        self.assertEqual(open_flows, target.flows)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_evacuated_data_centre_gets_no_openings(self) -> None:
        vm = self.simulation.start_vm("10.1.2.1", data_centre="b")
        self.simulation.run(0.5)
        assert vm.target is not None and vm.agent is not None
        self.simulation.closed_data_centres = frozenset({"b"})
        self.simulation.configure_all(transparent_simulation.configuration(2))
        self.simulation.run(0.5)
        self.assertTrue(vm.agent.evacuated)
        self.open_flows(20)
        self.assertEqual(set(), vm.target.flows)
        self.simulation.closed_data_centres = frozenset()
        self.simulation.configure_all(transparent_simulation.configuration(3))
        self.simulation.run(0.6)
        self.open_flows(20)
        self.assertNotEqual(set(), vm.target.flows)

    def test_agent_refuses_openings_of_an_outdated_balancer(self) -> None:
        """One balancer has not received the evacuation of a data centre."""
        vm = self.simulation.start_vm("10.1.2.1", data_centre="b")
        self.simulation.run(0.5)
        outdated = self.simulation.balancer_by_address[BALANCERS[0]]
        self.simulation.closed_data_centres = frozenset({"b"})
        self.simulation.configuration = transparent_simulation.configuration(2)
        for address in BALANCERS[1:]:
            self.simulation.configure(
                self.simulation.balancer_by_address[address]
            )
        self.simulation.run(0.6)
        self.assertEqual(frozenset(), outdated.closed_data_centres)
        assert vm.target is not None
        clients = self.open_flows(30)
        self.assertEqual(set(), vm.target.flows)
        self.request_all(clients)
        self.assert_served(clients, 1)


class TestDocumentFetches(SimulationTestCase):
    """Agents that learn of a new configuration at the same time."""

    # Guards against all agents fetching a large document from one balancer
    # at the same time, which fills its link for seconds.
    def test_agents_fetch_a_new_configuration_one_after_the_other(
        self,
    ) -> None:
        for number in range(1, 20):
            self.simulation.start_vm(f"10.1.9.{number}")
        self.simulation.run(2.0)
        agents = [
            vm.agent
            for vm in self.simulation.vm_by_address.values()
            if vm.agent is not None
        ]
        for agent in agents:
            agent.fetcher.set_position(agent.position)
        self.simulation.configure_all(transparent_simulation.configuration(2))
        sources: list[tuple[float, str]] = []
        for _ in range(600):
            self.simulation.run(0.05)
            for agent in agents:
                source = agent.fetcher.next_source(now=self.simulation.now)
                if source is not None:
                    agent.fetcher.set_position(agent.position)
                    sources.append((self.simulation.now, source))
        self.assertEqual(len(agents), len(sources))
        self.assertEqual(set(BALANCERS), {source for _, source in sources})
        for at, _ in sources:
            in_half_second = [t for t, _ in sources if at <= t < at + 0.5]
            self.assertLessEqual(len(in_half_second), 5)


class TestFailures(SimulationTestCase):
    """Flows must survive failures of processes, or be reset immediately."""

    def test_flows_survive_a_restart_of_the_agent(self) -> None:
        clients = self.open_flows(35)
        vm = self.simulation.vm_by_address[VMS[0]]
        vm.agent = None
        self.simulation.run(0.5)
        self.simulation.start_agent(vm)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_flows_survive_a_restart_of_all_balancers_and_agents(self) -> None:
        clients = self.open_flows(35)
        for vm in self.simulation.vm_by_address.values():
            self.simulation.start_agent(vm)
        for address in BALANCERS:
            self.simulation.start_balancer(address)
        self.simulation.run(1.0)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_search_reply_before_the_first_announcement_is_used(self) -> None:
        clients = self.open_flows(35)
        self.simulation.rotation = [BALANCERS[0]]
        self.simulation.start_balancer(BALANCERS[0])
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_flows_of_a_restarted_target_are_reset_while_idle(self) -> None:
        clients = self.open_flows(35)
        vm = self.simulation.vm_by_address[VMS[0]]
        assert vm.target is not None
        ended = set(vm.target.flows)
        self.simulation.start_target(vm)
        self.simulation.run(0.5)
        reset = {client.flow_id for client in clients if client.resets}
        self.assertEqual(ended, reset)

    def test_flows_of_a_lost_vm_are_reset_on_their_next_packet(
        self,
    ) -> None:
        clients = self.open_flows(35)
        vm = self.simulation.vm_by_address[VMS[0]]
        assert vm.target is not None
        ended = set(vm.target.flows)
        vm.agent = None
        vm.target = None
        self.simulation.run(1.5)
        self.request_all(clients)
        reset = {client.flow_id for client in clients if client.resets}
        self.assertEqual(ended, reset)

    def test_cut_balancer_resets_nothing_and_is_not_ready(self) -> None:
        clients = self.open_flows(35)
        address = BALANCERS[0]
        for vm in VMS:
            self.simulation.cut_links.add((vm, address))
        self.simulation.run(2.0)
        balancer = self.simulation.balancer_by_address[address]
        self.assertFalse(balancer.ready(now=self.simulation.now))
        self.request_all(clients)
        self.assertEqual([], [c for c in clients if c.resets])

    def test_packets_are_relayed_around_a_cut_between_data_centres(
        self,
    ) -> None:
        remote_vm = self.simulation.start_vm("10.1.3.1", data_centre="b")
        self.simulation.start_vm("10.1.4.1", data_centre="c")
        self.simulation.start_balancer(
            "10.0.3.1", data_centre="b", in_rotation=False
        )
        self.simulation.start_balancer(
            "10.0.4.1", data_centre="c", in_rotation=False
        )
        self.simulation.run(1.0)
        clients = self.open_flows(45)
        assert remote_vm.target is not None
        remote_clients = [
            c for c in clients if c.flow_id in remote_vm.target.flows
        ]
        self.assertNotEqual([], remote_clients)
        for address in BALANCERS:
            for other in ("10.1.3.1", "10.0.3.1"):
                self.simulation.cut_links |= {
                    (address, other),
                    (other, address),
                }
        self.simulation.run(2.0)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_opening_for_a_lost_target_goes_to_another(self) -> None:
        vm = self.simulation.vm_by_address[VMS[0]]
        vm.agent = None
        vm.target = None
        clients = self.open_flows(14)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_late_departure_resets_nothing(self) -> None:
        """The departure of an earlier start under the same id arrives late."""
        clients = self.open_flows(35)
        vm = self.simulation.vm_by_address[VMS[0]]
        assert vm.agent is not None and vm.target is not None
        actions = vm.agent.handle_departure(
            vm.target.target_id, now=self.simulation.now
        )
        self.simulation.perform(vm.address, actions)
        self.simulation.run(2.0)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_departed_target_gets_no_new_flows(self) -> None:
        self.open_flows(14)
        vm = self.simulation.vm_by_address[VMS[0]]
        assert vm.agent is not None and vm.target is not None
        actions = vm.agent.handle_departure(
            vm.target.target_id, now=self.simulation.now
        )
        self.simulation.perform(vm.address, actions)
        vm.target = None
        self.simulation.run(0.3)
        resets = sum(c.resets for c in self.simulation.client_by_id.values())
        self.assertGreater(resets, 0)
        clients = self.open_flows(14)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_crash_of_a_target_is_detected_and_its_flows_are_reset(
        self,
    ) -> None:
        clients = self.open_flows(35)
        vm = self.simulation.vm_by_address[VMS[0]]
        assert vm.target is not None
        ended = [self.simulation.client_by_id[f] for f in vm.target.flows]
        vm.target = None
        self.simulation.request(ended[0])
        self.simulation.run(0.5)
        self.assertEqual([1] * len(ended), [c.resets for c in ended])
        self.assertEqual(len(ended), sum(c.resets for c in clients))

    def test_restarted_agent_without_a_target_does_not_delay_resets(
        self,
    ) -> None:
        """All targets restart with their flows lost; one stays down."""
        clients = self.open_flows(35)
        for vm in self.simulation.vm_by_address.values():
            self.simulation.start_agent(vm)
            self.simulation.start_target(vm)
        self.simulation.vm_by_address[VMS[0]].target = None
        for address in BALANCERS:
            self.simulation.start_balancer(address)
        self.simulation.run(0.6)
        for client in clients:
            self.simulation.request(client)
        self.simulation.run(0.5)
        self.assertEqual([], [c for c in clients if not c.resets])

    def test_reset_by_a_probed_target_reaches_no_client(
        self,
    ) -> None:
        """A target resets a refused flow that another target accepted."""
        client = self.open_flows(1)[0]
        owner = next(
            vm
            for vm in self.simulation.vm_by_address.values()
            if vm.target is not None and vm.target.flows
        )
        other = next(
            vm
            for vm in self.simulation.vm_by_address.values()
            if vm is not owner
        )
        agent = self.simulation.start_agent(other)
        assert other.target is not None
        other.target.refused_flows.add(client.flow_id)
        for address in BALANCERS:
            self.simulation.start_balancer(address)
            self.simulation.balancer_by_address[address].cache.remove(
                client.flow_id
            )
        for query_delay_s in (0.0, 0.1):
            self.simulation.run(query_delay_s)
            for node in self.simulation.balancer_by_address.values():
                node.cache.remove(client.flow_id)
            self.simulation.request(client)
            self.simulation.run(0.1)
        self.assertEqual(0, client.resets)
        self.assertNotIn(client.flow_id, agent.flows.flow_by_id)

    def test_openings_returned_by_a_full_target_go_to_others(self) -> None:
        target = self.simulation.vm_by_address[VMS[0]].target
        assert target is not None
        target.at_capacity = True
        clients = self.open_flows(14)
        self.request_all(clients)
        self.assert_served(clients, 1)

    def test_flows_survive_a_loss_of_a_tenth_of_all_packets(self) -> None:
        self.simulation.loss = 0.1
        clients = self.open_flows(40)
        self.request_all(clients)
        self.assertEqual([], [c for c in clients if c.resets])
        unanswered = [c for c in clients if not c.answers]
        # Clients send an opening and a request up to three times each. Each
        # try can be lost on its way to the balancer, to the agent and back to
        # the client.
        self.assertLess(len(unanswered), 8)

    def test_flow_unknown_to_all_targets_is_reset_immediately(self) -> None:
        client = self.simulation.open_flow()
        client.accepted = True  # keeps the client from sending an opening
        self.simulation.request(client)
        self.simulation.run(0.1)
        self.assertEqual(1, client.resets)

    def test_unanswered_search_resets_nothing(self) -> None:
        """A flow may be open at the target whose agent is unreachable."""
        clients = self.open_flows(35)
        for balancer in BALANCERS:
            self.simulation.cut_links.add((VMS[0], balancer))
        for address in BALANCERS:
            self.simulation.start_balancer(address)
        self.simulation.run(0.7)
        for client in clients:
            self.simulation.request(client)
        self.simulation.run(0.3)
        self.assertEqual([], [c for c in clients if c.resets])

    def test_reused_address_gets_no_packets_of_its_former_service(
        self,
    ) -> None:
        clients = self.open_flows(35)
        self.simulation.vm_by_address.pop(VMS[0])
        vm = self.simulation.start_vm(VMS[0], service="desk")
        self.request_all(clients)
        assert vm.target is not None
        self.assertEqual(set(), vm.target.flows)
        self.assertEqual({}, vm.target.requests)
        self.assertEqual(0, vm.target.unknown_packets)


class TestColdTargets(SimulationTestCase):
    """Cold targets must not get more openings than they can handle."""

    def test_openings_at_cold_targets_stay_within_the_limit(self) -> None:
        self.simulation.configure_all(
            transparent_simulation.configuration(2, cold_per_second=4.0)
        )
        self.simulation.run(0.6)
        for vm in self.simulation.vm_by_address.values():
            self.simulation.start_target(vm, cold_ms=2000)
        self.simulation.run(0.1)
        clients = self.open_flows(100, gap_s=0.002)
        bound = 4.0 * 1.5 + 5
        for vm in self.simulation.vm_by_address.values():
            assert vm.target is not None
            times = vm.target.openings
            for start in times:
                second = [t for t in times if start <= t < start + 1.0]
                self.assertLessEqual(len(second), bound)
        accepted = sum(client.accepted for client in clients)
        self.assertGreater(accepted, 70)


class TestStart(unittest.TestCase):
    """Balancers that have just started must not lose openings or agents."""

    def test_openings_before_the_first_announcement_are_postponed(
        self,
    ) -> None:
        simulation = transparent_simulation.Simulation()
        simulation.start_vm(VMS[0])
        simulation.run(1.0)
        simulation.start_balancer(BALANCERS[0])
        client = simulation.open_flow()
        simulation.run(0.15)
        self.assertTrue(client.accepted)
        self.assertEqual(0, client.resets)

    def test_agents_are_added_from_statuses_of_other_balancers(self) -> None:
        simulation = transparent_simulation.Simulation()
        simulation.start_vm(VMS[0])
        simulation.start_balancer(BALANCERS[0])
        simulation.run(1.0)
        registered = simulation.vm_by_address.pop(VMS[0])
        isolated = simulation.start_balancer(BALANCERS[1])
        simulation.vm_by_address[VMS[0]] = registered
        isolated.peers.add(BALANCERS[0], now=simulation.now)
        first = simulation.balancer_by_address[BALANCERS[0]]
        first.peers.add(BALANCERS[1], now=simulation.now)
        simulation.run(1.5)
        self.assertTrue(isolated.ready(now=simulation.now))
