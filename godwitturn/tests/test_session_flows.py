"""Tests of how a session opens, maintains, moves and loses flows."""

import itertools
import random
import unittest

from godwitturn.core import session as sessions
from godwitturn.core import session_events
from godwitturn.core import token as tokens
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_simulation

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict
FlowEnd = session_events.FlowEnd
State = session_events.State


def opened_targets(simulation: session_simulation.Simulation) -> list[int]:
    return [
        action.target_id
        for action in simulation.actions
        if isinstance(action, session_events.FlowOpened)
    ]


def flow_ends(
    simulation: session_simulation.Simulation,
) -> list[session_events.FlowEnd]:
    return [
        action.end
        for action in simulation.actions
        if isinstance(action, session_events.FlowEnded)
    ]


def sent_times(
    simulation: session_simulation.Simulation, kind: packets.Kind
) -> list[float]:
    return [time for time, packet in simulation.sent if packet.kind is kind]


class TestOpening(unittest.TestCase):
    """A session must open one flow, with the first token received."""

    def test_flow_without_requests_is_confirmed(self) -> None:
        simulation = session_simulation.with_open_session()
        # An unconfirmed reservation would expire after 5 s.
        simulation.run(10.0)
        self.assertEqual([Kind.OPEN, Kind.KEEPALIVE], simulation.kinds_sent())
        self.assertEqual([], flow_ends(simulation))

    def test_only_the_first_token_is_used(self) -> None:
        faults = session_simulation.Faults(duplication=1.0)
        for seed in range(10):
            simulation = session_simulation.Simulation(
                faults=faults, seed=seed
            )
            simulation.open()
            simulation.request(1)
            simulation.run(10.0)
            self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
            self.assertEqual([], simulation.check())
            used = {p.token for _, p in simulation.sent} - {tokens.EMPTY}
            self.assertEqual(1, len(used))

    def test_lost_open_is_repeated_under_the_same_id(self) -> None:
        simulation = session_simulation.Simulation(
            faults=session_simulation.Faults(loss=1.0)
        )
        simulation.handle(session_events.Open())
        simulation.run(1.0)
        ids = [packet.flow_id for _, packet in simulation.sent]
        self.assertEqual(3, len(ids))
        self.assertEqual(1, len(set(ids)))

    def test_refused_flow_id_is_not_used_again(self) -> None:
        simulation = session_simulation.Simulation()
        simulation.service.refuse_openings_reason = Reason.CONNECTION_LIMIT
        simulation.handle(session_events.Open())
        simulation.run(10.0)
        ids = [flow_id for _, flow_id in simulation.service.openings]
        self.assertGreater(len(ids), 2)
        self.assertEqual(len(ids), len(set(ids)))

    def test_retry_delay_of_a_refusal_is_respected(self) -> None:
        simulation = session_simulation.Simulation(
            faults=session_simulation.Faults(loss=1.0)
        )
        simulation.handle(session_events.Open())
        refuse = packets.Packet(
            Kind.REFUSE,
            fakes.SERVICE_ID,
            simulation.sent[0][1].flow_id,
            deadline_ms=2500,
            reason=Reason.SLOW_START,
        )
        simulation.deliver(packets.encode(refuse))
        simulation.run(2.49)
        self.assertEqual([Kind.OPEN], simulation.kinds_sent())

    def test_late_accept_of_an_earlier_id_opens_the_flow(self) -> None:
        """When all callers reconnect, replies arrive after the next OPEN."""
        faults = session_simulation.Faults(delay_s=4.0)
        simulation = session_simulation.Simulation(faults=faults)
        simulation.handle(session_events.Open())
        simulation.run(8.1)
        self.assertIs(State.OPEN, simulation.session.state)
        self.assertGreater(len({i for _, i in simulation.service.openings}), 1)

    def test_accept_of_another_service_is_ignored(self) -> None:
        simulation = session_simulation.Simulation(
            faults=session_simulation.Faults(loss=1.0)
        )
        simulation.handle(session_events.Open())
        flow_id = simulation.sent[0][1].flow_id
        key = tokens.TokenKey(1, fakes.SERVICE_ID + 1, b"k" * 32)
        token = tokens.Token(1, fakes.SERVICE_ID + 1, 9, 1, 1, 1)
        accept = packets.Packet(
            Kind.ACCEPT,
            fakes.SERVICE_ID,
            flow_id,
            tokens.seal(token, flow_id, key),
        )
        simulation.deliver(packets.encode(accept))
        self.assertIs(State.OPENING, simulation.session.state)


class TestReconnectStorm(unittest.TestCase):
    """Callers that reconnect all at once could overload a service."""

    def sessions_without_flow(
        self, count: int
    ) -> list[session_simulation.Simulation]:
        simulations = []
        for seed in range(count):
            simulation = session_simulation.Simulation(seed=seed * 10)
            simulation.open()
            simulation.now = 200.0
            reset = packets.Packet(
                Kind.RESET, fakes.SERVICE_ID, simulation.sent[0][1].flow_id
            )
            reset.reason = Reason.FLOW_UNKNOWN
            simulation.sent.clear()
            simulation.deliver(packets.encode(reset))
            simulations.append(simulation)
        return simulations

    def test_openings_are_spread(self) -> None:
        times = []
        for simulation in self.sessions_without_flow(200):
            simulation.run(1.0)
            times.append(sent_times(simulation, Kind.OPEN)[0] - 200.0)
        for tenth in range(10):
            low = tenth / 10
            # An even spread puts 20 of 200 into each tenth of a second.
            count = sum(low <= time < low + 0.1 for time in times)
            self.assertLess(count, 45)

    def test_opening_rate_drops_in_an_outage(self) -> None:
        counts = [0] * 12
        for simulation in self.sessions_without_flow(20):
            simulation.faults = session_simulation.Faults(loss=1.0)
            simulation.run(119.0)
            for time in sent_times(simulation, Kind.OPEN):
                counts[int((time - 200.0) / 10)] += 1
        # Less than one opening per second for each of the 20 sessions.
        self.assertLess(counts[-1], 20 * 8)
        self.assertLess(counts[-1], counts[0])

    def test_rate_of_refused_openings_drops(self) -> None:
        late = 0
        for simulation in self.sessions_without_flow(20):
            simulation.service.refuse_openings_reason = Reason.CONNECTION_LIMIT
            simulation.run(60.0)
            late += sum(t > 250.0 for t in sent_times(simulation, Kind.OPEN))
        # Delays of 0 to 10 s leave about 2 openings in 10 s.
        self.assertLess(late, 20 * 4)


class TestKeepalive(unittest.TestCase):
    """An idle flow must not expire; agents keep it for 60 s."""

    def test_keepalives_are_sent_at_the_interval(self) -> None:
        simulation = session_simulation.with_open_session()
        simulation.run(600.0)
        times = sent_times(simulation, Kind.KEEPALIVE)
        gaps = [b - a for a, b in itertools.pairwise(times)]
        self.assertLessEqual(max(gaps), 16.0)
        self.assertGreaterEqual(min(gaps), 13.0)
        self.assertEqual([], flow_ends(simulation))

    def test_heavy_loss_does_not_break_an_idle_flow(self) -> None:
        faults = session_simulation.Faults(loss=0.2, delay_s=0.005)
        for seed in range(20):
            simulation = session_simulation.Simulation(
                faults=faults, seed=seed
            )
            simulation.open()
            simulation.run(300.0)
            self.assertNotIn(FlowEnd.BROKEN, flow_ends(simulation))


class TestIdleRestart(unittest.TestCase):
    """A readopted flow is a reservation, which expires after 5 s."""

    def test_idle_flow_survives_a_restart(self) -> None:
        simulation = session_simulation.with_open_session(agents=1)
        simulation.run(5.0)
        simulation.service.agents[1].restart()
        simulation.run(100.0)
        self.assertEqual([], flow_ends(simulation))
        self.assertEqual([1], opened_targets(simulation))


class TestUnresponsiveAgent(unittest.TestCase):
    """A session must leave a failed agent, but not a running one early."""

    def test_idle_session_opens_a_flow_at_another_target(self) -> None:
        simulation = session_simulation.with_open_session()
        (first,) = opened_targets(simulation)
        simulation.service.agents[first].unresponsive = True
        simulation.run(30.0)
        self.assertEqual([first, 3 - first], opened_targets(simulation))
        self.assertEqual([FlowEnd.BROKEN], flow_ends(simulation))

    def test_flow_survives_a_short_outage(self) -> None:
        simulation = session_simulation.with_open_session(agents=1)
        agent = simulation.service.agents[1]
        agent.unresponsive = True
        simulation.request(1)
        simulation.run(3.0)
        agent.unresponsive = False
        simulation.run(3.0)
        self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
        self.assertEqual([], flow_ends(simulation))
        self.assertEqual([], simulation.check())

    def test_idempotent_request_is_retried_at_another_target(self) -> None:
        simulation = session_simulation.with_open_session(run_s=0.1)
        (first,) = opened_targets(simulation)
        simulation.request(1, idempotent=True, timeout_s=30.0)
        simulation.run(0.05)
        simulation.service.agents[first].unresponsive = True
        simulation.run(12.0)
        self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
        self.assertEqual(2, simulation.outcome(1).tries)

    def test_non_idempotent_request_waits_for_the_agent(self) -> None:
        simulation = session_simulation.with_open_session(run_s=0.1)
        (first,) = opened_targets(simulation)
        agent = simulation.service.agents[first]
        simulation.request(1, timeout_s=60.0)
        simulation.run(0.05)
        agent.unresponsive = True
        simulation.run(10.0)
        self.assertEqual(2, len(opened_targets(simulation)))
        simulation.request(2, timeout_s=60.0)
        simulation.run(1.0)
        self.assertIs(Verdict.RAN, simulation.outcome(2).verdict)
        agent.unresponsive = False
        simulation.run(3.0)
        self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
        self.assertEqual([], simulation.check())

    def test_new_request_is_not_sent_on_a_suspect_flow(self) -> None:
        simulation = session_simulation.with_open_session()
        (first,) = opened_targets(simulation)
        simulation.service.agents[first].unresponsive = True
        while simulation.session.wake_at > simulation.now + 2.0:
            simulation.run(0.5)
        # Three KEEPALIVE packets have been unanswered for a second.
        simulation.run(4.0)
        simulation.request(1, timeout_s=30.0)
        simulation.run(10.0)
        self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
        self.assertEqual(1, simulation.outcome(1).tries)
        self.assertEqual([], simulation.check())

    def test_non_idempotent_request_ends_before_its_deadline(self) -> None:
        simulation = session_simulation.with_open_session(run_s=0.1)
        (first,) = opened_targets(simulation)
        simulation.request(1, timeout_s=300.0)
        simulation.run(0.05)
        simulation.service.agents[first].unresponsive = True
        simulation.run(30.0)
        outcome = simulation.outcome(1)
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.verdict)
        self.assertIs(Reason.TARGET_FAILED, outcome.reason)


class TestMove(unittest.TestCase):
    """A drain must not interrupt a request or lose a session."""

    def draining_simulation(self) -> session_simulation.Simulation:
        simulation = session_simulation.with_open_session(run_s=3.0)
        (self.first,) = opened_targets(simulation)
        simulation.request(1)
        simulation.run(0.1)
        simulation.service.agents[self.first].draining = True
        return simulation

    def test_request_in_progress_finishes_on_the_old_flow(self) -> None:
        simulation = self.draining_simulation()
        simulation.run(2.0)
        simulation.request(2)
        simulation.run(5.0)
        self.assertEqual(
            [self.first, 3 - self.first], opened_targets(simulation)
        )
        runs = [run.target_id for run in simulation.service.runs]
        self.assertEqual([self.first, 3 - self.first], runs)
        for number in (1, 2):
            self.assertIs(Verdict.RAN, simulation.outcome(number).verdict)
        self.assertEqual([FlowEnd.MOVED], flow_ends(simulation))
        self.assertEqual(1, simulation.kinds_sent().count(Kind.CLOSE))
        self.assertEqual({}, simulation.service.agents[self.first].flow_by_id)
        self.assertEqual([], simulation.check())

    def test_session_stays_open(self) -> None:
        simulation = self.draining_simulation()
        simulation.run(10.0)
        states = [
            action.state
            for action in simulation.actions
            if isinstance(action, session_events.StateChanged)
        ]
        self.assertEqual([State.OPENING, State.OPEN], states)

    def test_request_refused_by_a_draining_target_is_retried(self) -> None:
        simulation = session_simulation.with_open_session()
        (first,) = opened_targets(simulation)
        agent = simulation.service.agents[first]
        agent.refuse_all_reason = Reason.DRAINING
        agent.draining = True
        simulation.request(1)
        simulation.run(2.0)
        self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
        self.assertEqual(2, simulation.outcome(1).tries)
        self.assertEqual([], simulation.check())

    def test_flow_stays_without_another_target(self) -> None:
        simulation = session_simulation.with_open_session(agents=1)
        simulation.service.agents[1].draining = True
        simulation.request(1)
        simulation.run(5.0)
        simulation.request(2)
        simulation.run(5.0)
        self.assertIs(Verdict.RAN, simulation.outcome(2).verdict)
        self.assertEqual([1], opened_targets(simulation))
        # Only flow ids that no target accepted have ended.
        self.assertEqual({FlowEnd.CLOSED}, set(flow_ends(simulation)))
        self.assertEqual(0, simulation.kinds_sent().count(Kind.CLOSE))


class TestClose(unittest.TestCase):
    """A closed session must not leave requests, flows or timers."""

    def test_close_ends_all_requests_and_flows(self) -> None:
        simulation = session_simulation.with_open_session(run_s=9.0)
        simulation.request(1)
        simulation.run(0.1)
        simulation.request(2, fragments=100)
        simulation.handle(session_events.Close())
        simulation.request(3)
        verdicts_seen = [simulation.outcome(n).verdict for n in (1, 2, 3)]
        expected = [Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN, Verdict.NOT_RUN]
        self.assertEqual(expected, verdicts_seen)
        sent = len(simulation.sent)
        simulation.run(60.0)
        self.assertEqual(sent, len(simulation.sent))
        self.assertEqual(Kind.CLOSE, simulation.sent[-1][1].kind)
        self.assertIs(State.CLOSED, simulation.session.state)

    def test_session_can_be_closed_before_it_is_opened(self) -> None:
        session = sessions.Session(fakes.SERVICE_ID, random.Random(1))
        session.handle(session_events.Close(), now=1.0)
        self.assertIs(State.CLOSED, session.state)
