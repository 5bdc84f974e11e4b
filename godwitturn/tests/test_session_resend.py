"""Tests of resends caused by `RESEND`, the notice of a closed balancer."""

from collections.abc import Callable
import functools
import random
import unittest

from godwitturn.core import session_attempt
from godwitturn.core import session_events
from godwitturn.core import session_resend
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_simulation
from godwitturn.tests import session_case

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict
QUOTA = session_resend.EARLY_RESENDS
ROUND_TRIP_S = 0.01


def _first(count: int, kind: packets.Kind) -> Callable[[packets.Packet], bool]:
    """Returns a predicate that selects the first packets of a kind."""
    remaining = count

    def is_match(packet: packets.Packet) -> bool:
        nonlocal remaining
        if packet.kind is not kind or remaining == 0:
            return False
        remaining -= 1
        return True

    return is_match


def _one_of_three_closed(
    random_source: random.Random,
) -> Callable[[packets.Packet], bool]:
    """Returns a predicate that selects a third of the packets."""
    return lambda packet: random_source.random() < 1 / 3


def _notice(sent: packets.Packet, **fields: object) -> bytes:
    """Returns the `RESEND` for a packet, with some fields changed."""
    notice = packets.Packet(
        Kind.RESEND,
        sent.service_id,
        sent.flow_id,
        sent.token,
        sent.request_id,
        sent.fragment,
        sent.fragments,
        reason=Reason.FENCED,
    )
    for name, value in fields.items():
        setattr(notice, name, value)
    return packets.encode(notice)


def _idle_simulation(run_s: float = 0.01) -> session_simulation.Simulation:
    """Returns a simulation with a confirmed flow and no recorded packets."""
    simulation = session_simulation.with_open_session(run_s=run_s)
    simulation.run(1.0)
    simulation.sent.clear()
    return simulation


def _flows_of(
    simulation: session_simulation.Simulation,
) -> list[fakes.FakeFlow]:
    agents = simulation.service.agents.values()
    return [flow for agent in agents for flow in agent.flow_by_id.values()]


class TestEarlyResend(session_case.SessionTestCase):
    """A packet that a closed balancer received must be resent at once."""

    def times_of(
        self, simulation: session_simulation.Simulation, kind: Kind
    ) -> list[float]:
        started_at = simulation.sent[0][0]
        return [
            round(t - started_at, 3)
            for t, p in simulation.sent
            if p.kind is kind
        ]

    def test_request_is_sent_again_at_once(self) -> None:
        simulation = _idle_simulation()
        simulation.reaches_closed_balancer = _first(2, Kind.REQUEST)
        simulation.request(1)
        simulation.run(1.0)
        self.assert_outcome(simulation, 1, Verdict.RAN)
        self.assertEqual(
            [0.0, 0.01, 0.02], self.times_of(simulation, Kind.REQUEST)
        )
        self.assertEqual(1, len(simulation.service.runs))

    def test_request_is_sent_again_by_timer_without_notice(self) -> None:
        """Guards against a notice being required for a retransmission."""
        simulation = _idle_simulation()
        simulation.delivers_resend = False
        simulation.reaches_closed_balancer = _first(1, Kind.REQUEST)
        simulation.request(1)
        simulation.run(1.0)
        self.assert_outcome(simulation, 1, Verdict.RAN)
        self.assertEqual([0.0, 0.1], self.times_of(simulation, Kind.REQUEST))

    def test_duplicated_notices_stay_within_the_quota(self) -> None:
        """Guards against a second run and against amplified duplication."""
        simulation = _idle_simulation()
        simulation.faults = session_simulation.Faults(duplication=1.0)
        simulation.reaches_closed_balancer = _first(4, Kind.REQUEST)
        simulation.request(1)
        simulation.run(1.0)
        self.assert_outcome(simulation, 1, Verdict.RAN)
        self.assertEqual(1, len(simulation.service.runs))
        times = self.times_of(simulation, Kind.REQUEST)
        self.assertLessEqual(len(times), 1 + QUOTA)

    def test_poll_and_cancel_are_sent_again(self) -> None:
        for kind in (Kind.POLL, Kind.CANCEL):
            simulation = _idle_simulation(run_s=0.35)
            simulation.request(1)
            simulation.run(0.05)
            simulation.sent.clear()
            simulation.reaches_closed_balancer = _first(1, kind)
            if kind is Kind.CANCEL:
                simulation.handle(session_events.Cancel(1))
            simulation.run(0.2)
            times = self.times_of(simulation, kind)
            self.assertEqual([0.0, ROUND_TRIP_S], times[:2], kind)

    def test_poll_for_answer_fragments_is_sent_again(self) -> None:
        """Guards against a timeout for each POLL at a closed balancer."""
        took_s = []
        for is_closed in (False, True):
            simulation = _idle_simulation()
            polled: set[bytes] = set()

            def is_new(packet: packets.Packet, seen: set[bytes]) -> bool:
                if packet.kind is not Kind.POLL or packet.payload in seen:
                    return False
                seen.add(packet.payload)
                return True

            if is_closed:
                simulation.reaches_closed_balancer = functools.partial(
                    is_new, seen=polled
                )
            started_at = simulation.now
            simulation.request(1, fragments=40)
            simulation.run(5.0)
            self.assert_outcome(simulation, 1, Verdict.RAN)
            took_s.append(simulation.completed_at_by_number[1] - started_at)
        self.assertGreaterEqual(len(polled), 3)
        self.assertLess(
            took_s[1] - took_s[0], session_attempt.RETRANSMIT_FIRST_S
        )

    def test_notices_speed_up_large_bodies(self) -> None:
        """Guards against a timeout for each batch that lost a fragment."""
        took_s = {}
        for has_notices in (True, False):
            simulation = _idle_simulation()
            simulation.reaches_closed_balancer = _one_of_three_closed(
                random.Random(5)
            )
            simulation.delivers_resend = has_notices
            started_at = simulation.now
            simulation.request(1, fragments=200, timeout_s=30.0)
            simulation.run(30.0)
            self.assert_outcome(simulation, 1, Verdict.RAN)
            took_s[has_notices] = (
                simulation.completed_at_by_number[1] - started_at
            )
        self.assertLess(took_s[True], took_s[False] / 2)

    def test_ack_is_sent_again(self) -> None:
        """Guards against answers that agents store unacknowledged."""
        simulation = _idle_simulation()
        simulation.reaches_closed_balancer = _first(QUOTA, Kind.ACK)
        simulation.request(1)
        simulation.run(0.2)
        self.assertEqual(1 + QUOTA, simulation.kinds_sent().count(Kind.ACK))
        (flow,) = _flows_of(simulation)
        self.assertTrue(flow.request_by_id[1].acknowledged)

    def test_keepalive_is_sent_again(self) -> None:
        """Guards against a reservation that expires unconfirmed."""
        simulation = session_simulation.Simulation()
        simulation.reaches_closed_balancer = _first(QUOTA, Kind.KEEPALIVE)
        simulation.open()
        simulation.run(0.1)
        self.assertEqual(
            1 + QUOTA, simulation.kinds_sent().count(Kind.KEEPALIVE)
        )
        (flow,) = _flows_of(simulation)
        self.assertTrue(flow.confirmed)


class TestForgedNotices(session_case.SessionTestCase):
    """Forged or replayed notices must have little effect."""

    def setUp(self) -> None:
        self.simulation = _idle_simulation(run_s=5.0)
        self.simulation.is_dropped = lambda packet: True
        self.simulation.request(1)
        self.sent = self.simulation.sent[0][1]

    def resent_count(self, notice: bytes) -> int:
        """Returns the number of packets that one notice caused."""
        before = len(self.simulation.sent)
        self.simulation.deliver(notice)
        return len(self.simulation.sent) - before

    def test_matching_notice_causes_one_packet(self) -> None:
        self.assertEqual(1, self.resent_count(_notice(self.sent)))

    def test_notice_with_other_fields_is_ignored(self) -> None:
        other = bytearray(self.sent.token)
        other[-1] ^= 1
        for fields in (
            {"token": bytes(other)},
            {"token": bytes(len(other))},
            {"flow_id": self.sent.flow_id ^ 1},
            {"service_id": fakes.SERVICE_ID + 1},
            {"request_id": self.sent.request_id + 1},
            {"request_id": 0},
            {"fragment": 1, "fragments": 2},
        ):
            notice = _notice(self.sent, **fields)
            self.assertEqual(0, self.resent_count(notice), fields)

    def test_flags_and_reasons_are_ignored(self) -> None:
        """Guards against a notice that ends a request or a flow."""
        for flag in packets.Flag:
            for reason in Reason:
                notice = _notice(self.sent, flags=int(flag), reason=reason)
                self.simulation.deliver(notice)
        self.assertEqual({}, self.simulation.outcomes_by_number)
        self.assertEqual(
            [], self.simulation.actions_of(session_events.FlowEnded)
        )

    def test_repeated_notices_stay_within_the_quota(self) -> None:
        """Guards against a packet for each replayed notice."""
        notice = _notice(self.sent)
        self.assertEqual(
            QUOTA, sum(self.resent_count(notice) for _ in range(1000))
        )
        # The next round starts on time and has the full quota again.
        due_at = self.simulation.session.wake_at
        self.assertAlmostEqual(
            session_attempt.RETRANSMIT_FIRST_S, due_at - self.simulation.now
        )
        self.simulation.run(due_at - self.simulation.now + 0.001)
        self.assertEqual(2 + QUOTA, len(self.simulation.sent))
        self.assertEqual(
            QUOTA, sum(self.resent_count(notice) for _ in range(1000))
        )

    def test_replay_before_the_answer_stays_within_the_quota(self) -> None:
        """Guards against endless polls once the agent has the request."""
        simulation = _idle_simulation(run_s=5.0)
        simulation.request(1)
        simulation.run(0.05)
        sent = simulation.sent[0][1]
        for fields in ({}, {"fragment": 0, "fragments": 0}):
            for _ in range(1000):
                simulation.deliver(_notice(sent, **fields))
        self.assertLessEqual(len(simulation.sent), 1 + QUOTA)

    def test_replay_after_the_answer_stays_within_the_quota(self) -> None:
        """Guards against an ACK for each replayed notice."""
        simulation = _idle_simulation()
        simulation.request(1)
        simulation.run(0.2)
        sent = simulation.sent[0][1]
        for _ in range(1000):
            simulation.deliver(_notice(sent))
        self.assertEqual(1 + QUOTA, simulation.kinds_sent().count(Kind.ACK))
        simulation.run(1.0)
        for _ in range(1000):
            simulation.deliver(_notice(sent))
        self.assertEqual(2 + QUOTA, simulation.kinds_sent().count(Kind.ACK))

    def test_idle_flow_sends_nothing(self) -> None:
        """Guards against notices that cause packets on an idle flow."""
        simulation = _idle_simulation()
        simulation.request(1)
        simulation.run(1.0)
        sent = simulation.sent[0][1]
        before = len(simulation.sent)
        for fields in ({}, {"request_id": 0, "fragments": 0}):
            simulation.deliver(_notice(sent, **fields))
        self.assertEqual(before, len(simulation.sent))

    def test_fragment_of_a_cancelled_request_is_not_resent(self) -> None:
        """Guards against a run that starts after the cancellation."""
        self.simulation.handle(session_events.Cancel(1))
        self.simulation.sent.clear()
        self.simulation.deliver(_notice(self.sent))
        self.simulation.run(0.05)
        self.assertNotIn(Kind.REQUEST, self.simulation.kinds_sent())

    def test_notice_with_an_old_token_is_ignored(self) -> None:
        """Guards against a second run of a request resent with a new token."""
        simulation = _idle_simulation(run_s=5.0)
        simulation.request(1, idempotent=False)
        simulation.run(0.05)
        sent = simulation.sent[0][1]
        for agent in simulation.service.agents.values():
            agent.restart()
        simulation.run(3.0)
        before = len(simulation.sent)
        simulation.deliver(_notice(sent))
        self.assertEqual(before, len(simulation.sent))
        self.assert_outcome(
            simulation, 1, Verdict.MAY_HAVE_RUN, Reason.STALE_INCARNATION
        )


class TestVerdicts(session_case.SessionTestCase):
    """A notice does not imply whether a request ran."""

    def test_request_with_one_delivered_copy_runs_once(self) -> None:
        """Guards against NOT_RUN for a request that ran."""
        simulation = _idle_simulation(run_s=0.3)
        simulation.faults = session_simulation.Faults(duplication=1.0)
        simulation.reaches_closed_balancer = _first(1, Kind.REQUEST)
        simulation.request(1)
        simulation.run(2.0)
        self.assert_outcome(simulation, 1, Verdict.RAN)
        self.assertEqual(1, len(simulation.service.runs))

    def test_request_that_ran_before_all_closed_may_have_run(self) -> None:
        simulation = _idle_simulation(run_s=0.3)
        simulation.request(1, timeout_s=20.0)
        simulation.run(0.1)
        self.assertEqual(1, len(simulation.service.runs))
        # Simulates that the answer is sent through a closed balancer.
        for agent in simulation.service.agents.values():
            agent.unresponsive = True
        simulation.reaches_closed_balancer = lambda packet: True
        simulation.run(25.0)
        self.assertIs(Verdict.MAY_HAVE_RUN, simulation.outcome(1).verdict)
        self.assertEqual([], simulation.check())


def _run_all_closed(delivers_resend: bool) -> session_simulation.Simulation:
    """Runs requests and an idle period while all balancers are closed."""
    simulation = _idle_simulation()
    simulation.reaches_closed_balancer = lambda packet: True
    simulation.delivers_resend = delivers_resend
    simulation.request(1, timeout_s=30.0)
    simulation.request(2, timeout_s=3.0)
    simulation.run(60.0)
    return simulation


class TestAllClosed(session_case.SessionTestCase):
    """Callers must not loop when no balancer forwards packets."""

    def test_packets_stay_within_the_quota(self) -> None:
        """Guards against an endless exchange of packets and notices."""
        with_notices = _run_all_closed(True).kinds_sent()
        without = _run_all_closed(False).kinds_sent()
        for kind in (Kind.REQUEST, Kind.POLL, Kind.CANCEL, Kind.KEEPALIVE):
            self.assertLessEqual(
                with_notices.count(kind), (1 + QUOTA) * without.count(kind)
            )

    def test_batch_is_sent_at_most_twice(self) -> None:
        """Guards against resends that multiply the fragments of a round."""
        simulation = _idle_simulation()
        simulation.reaches_closed_balancer = lambda packet: True
        simulation.request(1, fragments=200)
        simulation.run(session_attempt.RETRANSMIT_FIRST_S - 0.001)
        batch = session_attempt.BATCH_FRAGMENTS + 1
        self.assertEqual(2 * batch, len(simulation.sent))

    def test_outcomes_equal_those_without_notices(self) -> None:
        """Guards against notices that end or prolong a flow or request."""

        def results(simulation: session_simulation.Simulation) -> list[object]:
            flow_ends = simulation.actions_of(session_events.FlowEnded)
            return [
                simulation.outcomes_by_number,
                simulation.completed_at_by_number,
                [str(a) for a in flow_ends[:1]],
            ]

        simulations = _run_all_closed(True), _run_all_closed(False)
        self.assertEqual(results(simulations[1]), results(simulations[0]))
        self.assertEqual([], simulations[0].check())

    def test_early_resends_are_not_counted_as_unanswered(self) -> None:
        """Guards against many notices making a flow seem unresponsive."""
        simulation = _idle_simulation()
        simulation.is_dropped = lambda packet: True
        simulation.request(1)
        sent = simulation.sent[0][1]
        for _ in range(1000):
            simulation.deliver(_notice(sent))
        flow = simulation.session._flow_by_id[sent.flow_id]
        self.assertEqual(1, flow.unanswered_count)


class TestResendQuota(unittest.TestCase):
    """Each round must allow a limited number of early resends."""

    def test_quota_is_reset_by_each_round(self) -> None:
        for sent, expected in ((1, QUOTA), (QUOTA + 1, QUOTA + 1), (33, 33)):
            quota = session_resend.ResendQuota()
            self.assertFalse(quota.try_spend())
            quota.start_round(sent)
            spent = sum(quota.try_spend() for _ in range(100))
            self.assertEqual(expected, spent)
            quota.start_round(sent)
            self.assertTrue(quota.try_spend())
            quota.end_round()
            self.assertFalse(quota.try_spend())
