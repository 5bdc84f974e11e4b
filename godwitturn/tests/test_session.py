"""Tests of requests of a session: verdicts, retries and deadlines."""

import functools

from godwitturn.core import retry
from godwitturn.core import session as sessions
from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_simulation
from godwitturn.tests import session_case

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict


class TestRefusals(session_case.SessionTestCase):
    """A refused request must be retried only where that is allowed."""

    def test_refused_request_is_retried_with_a_new_id(self) -> None:
        simulation = session_simulation.with_open_session(agents=1)
        simulation.service.agents[1].refuse_next_reasons = [Reason.QUEUE_FULL]
        simulation.request(1)
        simulation.run(2.0)
        self.assert_outcome(simulation, 1, Verdict.RAN, tries=2)
        ids = [
            packet.request_id
            for _, packet in simulation.sent
            if packet.kind is Kind.REQUEST
        ]
        self.assertEqual([1, 2], ids)

    def test_final_refusals_are_not_retried(self) -> None:
        for reason in (
            Reason.TOO_LARGE,
            Reason.WRONG_SERVICE,
            Reason.DEADLINE,
        ):
            simulation = session_simulation.with_open_session()
            for agent in simulation.service.agents.values():
                agent.refuse_next_reasons = [reason]
            simulation.request(1, idempotent=True)
            simulation.run(2.0)
            self.assert_outcome(simulation, 1, Verdict.NOT_RUN, reason)

    def test_temporary_refusals_are_retried(self) -> None:
        for reason in (
            Reason.DRAINING,
            Reason.STOPPING,
            Reason.CONNECTION_LIMIT,
            Reason.QUEUE_FULL,
            Reason.SHED,
            Reason.SLOW_START,
            Reason.FENCED,
        ):
            simulation = session_simulation.with_open_session(agents=1)
            simulation.service.agents[1].refuse_next_reasons = [reason]
            simulation.request(1)
            simulation.run(3.0)
            self.assert_outcome(simulation, 1, Verdict.RAN, tries=2)

    def test_retries_stop_when_the_budget_is_spent(self) -> None:
        budget = retry.Budget(capacity=3.0, refill_per_s=0.0)
        simulation = session_simulation.Simulation(
            session_factory=functools.partial(sessions.Session, budget=budget)
        )
        simulation.open()
        for agent in simulation.service.agents.values():
            agent.refuse_all_reason = Reason.SHED
        simulation.request(1, timeout_s=1e3)
        simulation.run(60.0)
        self.assert_outcome(simulation, 1, Verdict.NOT_RUN, Reason.SHED, 4)

    def test_retries_stop_at_the_deadline(self) -> None:
        simulation = session_simulation.with_open_session()
        for agent in simulation.service.agents.values():
            agent.refuse_all_reason = Reason.SHED
        simulation.request(1, timeout_s=0.5)
        simulation.run(0.6)
        self.assertIs(Verdict.NOT_RUN, simulation.outcome(1).verdict)
        self.assertIs(Reason.SHED, simulation.outcome(1).reason)
        self.assertEqual([], simulation.check())

    def test_two_refusals_move_the_session(self) -> None:
        simulation = session_simulation.with_open_session()
        (first,) = [
            action.target_id
            for action in simulation.actions
            if isinstance(action, session_events.FlowOpened)
        ]
        simulation.service.agents[first].refuse_all_reason = Reason.QUEUE_FULL
        simulation.service.agents[first].at_capacity = True
        simulation.request(1)
        simulation.run(5.0)
        self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
        self.assertEqual([], simulation.check())
        self.assertEqual(2, len(simulation.service.openings))

    def test_body_over_the_limit_is_refused(self) -> None:
        simulation = session_simulation.with_open_session()
        body = bytes(packets.MAX_BODY_BYTES + 1)
        deadline = simulation.now + 1
        simulation.handle(session_events.Send(1, body, True, deadline))
        outcome = simulation.outcome(1)
        self.assertIs(Verdict.NOT_RUN, outcome.verdict)
        self.assertIs(Reason.TOO_LARGE, outcome.reason)

    def test_number_in_use_is_an_error(self) -> None:
        simulation = session_simulation.with_open_session(run_s=5.0)
        simulation.request(1)
        with self.assertRaisesRegex(ValueError, "number 1 is in use"):
            simulation.request(1)


class TestLostFlow(session_case.SessionTestCase):
    """A request in progress on a lost flow may have run."""

    def request_on_lost_flow(
        self, *, idempotent: bool
    ) -> session_simulation.Simulation:
        simulation = session_simulation.with_open_session(run_s=0.5)
        simulation.request(1, idempotent=idempotent)
        simulation.run(0.1)
        for agent in simulation.service.agents.values():
            agent.flow_by_id.clear()
        simulation.run(8.0)
        return simulation

    def test_non_idempotent_request_ends_as_may_have_run(self) -> None:
        simulation = self.request_on_lost_flow(idempotent=False)
        reason = Reason.FLOW_UNKNOWN
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_idempotent_request_is_sent_again(self) -> None:
        simulation = self.request_on_lost_flow(idempotent=True)
        self.assert_outcome(simulation, 1, Verdict.RAN, tries=2)
        self.assertEqual(2, len(simulation.service.runs))

    def test_partially_sent_request_is_sent_again(self) -> None:
        simulation = session_simulation.with_open_session()
        simulation.request(1, fragments=200)
        simulation.run(0.015)
        for agent in simulation.service.agents.values():
            agent.flow_by_id.clear()
        simulation.run(5.0)
        self.assert_outcome(simulation, 1, Verdict.RAN, tries=2)

    def test_refusal_after_a_lost_attempt_ends_as_may_have_run(self) -> None:
        simulation = session_simulation.with_open_session(run_s=0.5)
        simulation.request(1, idempotent=True)
        simulation.run(0.1)
        for agent in simulation.service.agents.values():
            agent.flow_by_id.clear()
            agent.refuse_all_reason = Reason.TOO_LARGE
        simulation.run(5.0)
        reason = Reason.TOO_LARGE
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason, 2)

    def test_reset_for_data_centre_out_gives_the_flow_up(self) -> None:
        simulation = session_simulation.with_open_session()
        flow_id = simulation.sent[0][1].flow_id
        reset = packets.Packet(Kind.RESET, fakes.SERVICE_ID, flow_id)
        reset.reason = Reason.DATA_CENTRE_OUT
        simulation.deliver(packets.encode(reset))
        (ended,) = simulation.actions_of(session_events.FlowEnded)
        expected = session_events.FlowEnded(
            flow_id, session_events.FlowEnd.GIVEN_UP, Reason.DATA_CENTRE_OUT
        )
        self.assertEqual(expected, ended)


class TestCancellation(session_case.SessionTestCase):
    """A cancelled request must end with a correct verdict."""

    def test_cancel_of_a_long_request_is_repeated(self) -> None:
        """Guards against a target that keeps running when a CANCEL is lost."""
        simulation = session_simulation.with_open_session(run_s=60.0)
        simulation.request(1, timeout_s=90.0)
        simulation.run(8.0)
        for agent in simulation.service.agents.values():
            agent.unresponsive = True
        simulation.handle(session_events.Cancel(1))
        simulation.run(1.0)
        sent = simulation.kinds_sent().count(Kind.CANCEL)
        self.assertGreaterEqual(sent, 4)
        reason = Reason.CANCELLED
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_request_cancelled_before_a_flow_opens_did_not_run(self) -> None:
        simulation = session_simulation.Simulation()
        simulation.handle(session_events.Open())
        simulation.request(1)
        simulation.handle(session_events.Cancel(1))
        self.assert_outcome(
            simulation, 1, Verdict.NOT_RUN, Reason.CANCELLED, tries=0
        )

    def test_partially_sent_request_did_not_run(self) -> None:
        simulation = session_simulation.with_open_session()
        simulation.request(1, fragments=100)
        simulation.handle(session_events.Cancel(1))
        self.assert_outcome(simulation, 1, Verdict.NOT_RUN, Reason.CANCELLED)
        simulation.run(5.0)
        self.assertEqual([], simulation.check())

    def test_verdict_of_the_agent_is_reported(self) -> None:
        simulation = session_simulation.with_open_session(run_s=9.0)
        simulation.request(1)
        simulation.run(0.1)
        simulation.handle(session_events.Cancel(1))
        simulation.run(0.2)
        reason = Reason.CANCELLED
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_request_at_unresponsive_agent_may_have_run(self) -> None:
        simulation = session_simulation.with_open_session(agents=1)
        simulation.service.agents[1].unresponsive = True
        simulation.request(1)
        simulation.handle(session_events.Cancel(1))
        simulation.run(0.6)
        reason = Reason.CANCELLED
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_no_fragment_is_sent_after_cancellation(self) -> None:
        simulation = session_simulation.with_open_session(agents=1)
        simulation.is_dropped = lambda packet: packet.kind is not Kind.CANCEL
        simulation.request(1, fragments=2)
        # After the first timeout, a request that is not cancelled would resend
        # the fragments of any missing list.
        simulation.run(0.15)
        simulation.handle(session_events.Cancel(1))
        sent = len(simulation.sent)
        status = packets.Packet(
            Kind.STATUS,
            fakes.SERVICE_ID,
            simulation.sent[0][1].flow_id,
            request_id=1,
            payload=b"\x00\x00\x00\x01",
        )
        simulation.deliver(packets.encode(status))
        simulation.run(2.0)
        self.assertNotIn(Kind.REQUEST, simulation.kinds_sent()[sent:])

    def test_answer_in_flight_prevails_over_cancellation(self) -> None:
        simulation = session_simulation.with_open_session(run_s=0.0)
        simulation.request(1)
        simulation.run(0.008)
        simulation.handle(session_events.Cancel(1))
        simulation.run(1.0)
        self.assert_outcome(simulation, 1, Verdict.RAN)


class TestDeadline(session_case.SessionTestCase):
    """A request must always end soon after its deadline."""

    def test_request_without_a_flow_ends_with_the_opening_reason(self) -> None:
        simulation = session_simulation.Simulation()
        simulation.service.refuse_openings_reason = Reason.FENCED
        simulation.handle(session_events.Open())
        simulation.request(1, timeout_s=1.0)
        simulation.run(1.1)
        self.assert_outcome(
            simulation, 1, Verdict.NOT_RUN, Reason.FENCED, tries=0
        )

    def test_request_at_slow_target_may_have_run(self) -> None:
        simulation = session_simulation.with_open_session(run_s=9.0)
        simulation.request(1, timeout_s=1.0)
        simulation.run(1.7)
        reason = Reason.DEADLINE
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_packets_contain_the_remaining_time(self) -> None:
        simulation = session_simulation.with_open_session(agents=1)
        simulation.service.agents[1].refuse_next_reasons = [Reason.SHED]
        simulation.request(1, timeout_s=1.0)
        simulation.run(1.0)
        sent = [p for _, p in simulation.sent if p.kind is Kind.REQUEST]
        self.assertEqual(1000, sent[0].deadline_ms)
        self.assertLess(sent[-1].deadline_ms, 1000)
