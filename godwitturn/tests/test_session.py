"""Tests of requests of a session: verdicts, retries and deadlines."""

import functools

from godwitturn.core import retry
from godwitturn.core import session as sessions
from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_world
from godwitturn.tests import session_case

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict


class TestRefusals(session_case.SessionTestCase):
    """A refused request must be retried only where that is allowed."""

    def test_refused_request_is_retried_with_a_new_id(self) -> None:
        world = session_world.open_world(agents=1)
        world.service.agents[1].refuse_next_reasons = [Reason.QUEUE_FULL]
        world.request(1)
        world.run(2.0)
        self.assert_outcome(world, 1, Verdict.RAN, tries=2)
        ids = [
            packet.request_id
            for _, packet in world.sent
            if packet.kind is Kind.REQUEST
        ]
        self.assertEqual([1, 2], ids)

    def test_final_refusals_are_not_retried(self) -> None:
        for reason in (
            Reason.TOO_LARGE,
            Reason.WRONG_SERVICE,
            Reason.DEADLINE,
        ):
            world = session_world.open_world()
            for agent in world.service.agents.values():
                agent.refuse_next_reasons = [reason]
            world.request(1, idempotent=True)
            world.run(2.0)
            self.assert_outcome(world, 1, Verdict.NOT_RUN, reason)

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
            world = session_world.open_world(agents=1)
            world.service.agents[1].refuse_next_reasons = [reason]
            world.request(1)
            world.run(3.0)
            self.assert_outcome(world, 1, Verdict.RAN, tries=2)

    def test_retries_stop_when_the_budget_is_spent(self) -> None:
        budget = retry.Budget(capacity=3.0, refill_per_s=0.0)
        world = session_world.World(
            session_factory=functools.partial(sessions.Session, budget=budget)
        )
        world.open()
        for agent in world.service.agents.values():
            agent.refuse_all_reason = Reason.SHED
        world.request(1, timeout_s=1e3)
        world.run(60.0)
        self.assert_outcome(world, 1, Verdict.NOT_RUN, Reason.SHED, 4)

    def test_retries_stop_at_the_deadline(self) -> None:
        world = session_world.open_world()
        for agent in world.service.agents.values():
            agent.refuse_all_reason = Reason.SHED
        world.request(1, timeout_s=0.5)
        world.run(0.6)
        self.assertIs(Verdict.NOT_RUN, world.outcome(1).verdict)
        self.assertIs(Reason.SHED, world.outcome(1).reason)
        self.assertEqual([], world.check())

    def test_two_refusals_move_the_session(self) -> None:
        world = session_world.open_world()
        (first,) = [
            action.target_id
            for action in world.actions
            if isinstance(action, session_events.FlowOpened)
        ]
        world.service.agents[first].refuse_all_reason = Reason.QUEUE_FULL
        world.service.agents[first].at_capacity = True
        world.request(1)
        world.run(5.0)
        self.assertIs(Verdict.RAN, world.outcome(1).verdict)
        self.assertEqual([], world.check())
        self.assertEqual(2, len(world.service.opens))

    def test_body_over_the_limit_is_refused(self) -> None:
        world = session_world.open_world()
        body = bytes(packets.MAX_BODY_BYTES + 1)
        deadline = world.now + 1
        world.handle(session_events.Send(1, body, True, deadline))
        outcome = world.outcome(1)
        self.assertIs(Verdict.NOT_RUN, outcome.verdict)
        self.assertIs(Reason.TOO_LARGE, outcome.reason)

    def test_number_in_use_is_an_error(self) -> None:
        world = session_world.open_world(run_s=5.0)
        world.request(1)
        with self.assertRaisesRegex(ValueError, "number 1 is in use"):
            world.request(1)


class TestLostFlow(session_case.SessionTestCase):
    """A request in progress on a lost flow may have run."""

    def request_on_lost_flow(self, *, idempotent: bool) -> session_world.World:
        world = session_world.open_world(run_s=0.5)
        world.request(1, idempotent=idempotent)
        world.run(0.1)
        for agent in world.service.agents.values():
            agent.flows_by_id.clear()
        world.run(8.0)
        return world

    def test_non_idempotent_request_ends_as_may_have_run(self) -> None:
        world = self.request_on_lost_flow(idempotent=False)
        reason = Reason.FLOW_UNKNOWN
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_idempotent_request_is_sent_again(self) -> None:
        world = self.request_on_lost_flow(idempotent=True)
        self.assert_outcome(world, 1, Verdict.RAN, tries=2)
        self.assertEqual(2, len(world.service.runs))

    def test_partially_sent_request_is_sent_again(self) -> None:
        world = session_world.open_world()
        world.request(1, fragments=200)
        world.run(0.015)
        for agent in world.service.agents.values():
            agent.flows_by_id.clear()
        world.run(5.0)
        self.assert_outcome(world, 1, Verdict.RAN, tries=2)

    def test_refusal_after_a_lost_attempt_ends_as_may_have_run(self) -> None:
        world = session_world.open_world(run_s=0.5)
        world.request(1, idempotent=True)
        world.run(0.1)
        for agent in world.service.agents.values():
            agent.flows_by_id.clear()
            agent.refuse_all_reason = Reason.TOO_LARGE
        world.run(5.0)
        reason = Reason.TOO_LARGE
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason, 2)

    def test_reset_for_data_centre_out_gives_the_flow_up(self) -> None:
        world = session_world.open_world()
        flow_id = world.sent[0][1].flow_id
        reset = packets.Packet(Kind.RESET, fakes.SERVICE_ID, flow_id)
        reset.reason = Reason.DATA_CENTRE_OUT
        world.deliver(packets.encode(reset))
        (ended,) = world.actions_of(session_events.FlowEnded)
        expected = session_events.FlowEnded(
            flow_id, session_events.FlowEnd.GIVEN_UP, Reason.DATA_CENTRE_OUT
        )
        self.assertEqual(expected, ended)


class TestCancellation(session_case.SessionTestCase):
    """A cancelled request must end with a correct verdict."""

    def test_cancel_of_a_long_request_is_repeated(self) -> None:
        """Guards against a target that keeps running when a CANCEL is lost."""
        world = session_world.open_world(run_s=60.0)
        world.request(1, timeout_s=90.0)
        world.run(8.0)
        for agent in world.service.agents.values():
            agent.unresponsive = True
        world.handle(session_events.Cancel(1))
        world.run(1.0)
        sent = world.kinds_sent().count(Kind.CANCEL)
        self.assertGreaterEqual(sent, 4)
        reason = Reason.CANCELLED
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_request_cancelled_before_a_flow_opens_did_not_run(self) -> None:
        world = session_world.World()
        world.handle(session_events.Open())
        world.request(1)
        world.handle(session_events.Cancel(1))
        self.assert_outcome(
            world, 1, Verdict.NOT_RUN, Reason.CANCELLED, tries=0
        )

    def test_partially_sent_request_did_not_run(self) -> None:
        world = session_world.open_world()
        world.request(1, fragments=100)
        world.handle(session_events.Cancel(1))
        self.assert_outcome(world, 1, Verdict.NOT_RUN, Reason.CANCELLED)
        world.run(5.0)
        self.assertEqual([], world.check())

    def test_verdict_of_the_agent_is_reported(self) -> None:
        world = session_world.open_world(run_s=9.0)
        world.request(1)
        world.run(0.1)
        world.handle(session_events.Cancel(1))
        world.run(0.2)
        reason = Reason.CANCELLED
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_request_at_unresponsive_agent_may_have_run(self) -> None:
        world = session_world.open_world(agents=1)
        world.service.agents[1].unresponsive = True
        world.request(1)
        world.handle(session_events.Cancel(1))
        world.run(0.6)
        reason = Reason.CANCELLED
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_no_fragment_is_sent_after_cancellation(self) -> None:
        world = session_world.open_world(agents=1)
        world.is_dropped = lambda packet: packet.kind is not Kind.CANCEL
        world.request(1, fragments=2)
        # After the first timeout, any list would be applied.
        world.run(0.15)
        world.handle(session_events.Cancel(1))
        sent = len(world.sent)
        status = packets.Packet(
            Kind.STATUS,
            fakes.SERVICE_ID,
            world.sent[0][1].flow_id,
            request_id=1,
            payload=b"\x00\x00\x00\x01",
        )
        world.deliver(packets.encode(status))
        world.run(2.0)
        self.assertNotIn(Kind.REQUEST, world.kinds_sent()[sent:])

    def test_answer_in_flight_prevails_over_cancellation(self) -> None:
        world = session_world.open_world(run_s=0.0)
        world.request(1)
        world.run(0.008)
        world.handle(session_events.Cancel(1))
        world.run(1.0)
        self.assert_outcome(world, 1, Verdict.RAN)


class TestDeadline(session_case.SessionTestCase):
    """A request must always end soon after its deadline."""

    def test_request_without_a_flow_ends_with_the_opening_reason(self) -> None:
        world = session_world.World()
        world.service.refuse_opens_reason = Reason.FENCED
        world.handle(session_events.Open())
        world.request(1, timeout_s=1.0)
        world.run(1.1)
        self.assert_outcome(world, 1, Verdict.NOT_RUN, Reason.FENCED, tries=0)

    def test_request_at_slow_target_may_have_run(self) -> None:
        world = session_world.open_world(run_s=9.0)
        world.request(1, timeout_s=1.0)
        world.run(1.7)
        reason = Reason.DEADLINE
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_packets_contain_the_remaining_time(self) -> None:
        world = session_world.open_world(agents=1)
        world.service.agents[1].refuse_next_reasons = [Reason.SHED]
        world.request(1, timeout_s=1.0)
        world.run(1.0)
        sent = [p for _, p in world.sent if p.kind is Kind.REQUEST]
        self.assertEqual(1000, sent[0].deadline_ms)
        self.assertLess(sent[-1].deadline_ms, 1000)
