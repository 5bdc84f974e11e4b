"""Tests of fragments, answers and acknowledgements."""

import unittest

from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_simulation
from godwitturn.tests import session_case

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict


class TestAnswers(session_case.SessionTestCase):
    """Late, duplicated or lost fragments must not change an answer."""

    def test_large_answer_is_received_and_acknowledged(self) -> None:
        simulation = session_simulation.with_open_session()
        body = simulation.request(1, fragments=300)
        simulation.run(5.0)
        self.assert_outcome(simulation, 1, Verdict.RAN)
        self.assertEqual(fakes.answer_to(body), simulation.outcome(1).body)
        acks = [p.request_id for _, p in simulation.sent if p.kind is Kind.ACK]
        self.assertEqual([1, 1], acks)

    def test_empty_body_is_answered(self) -> None:
        simulation = session_simulation.with_open_session()
        simulation.request(1, fragments=0)
        simulation.run(0.5)
        self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
        self.assertEqual(fakes.answer_to(b""), simulation.outcome(1).body)

    def test_fragments_with_another_count_are_ignored(self) -> None:
        simulation = session_simulation.with_open_session(run_s=5.0)
        body = simulation.request(1, fragments=2)
        simulation.run(0.1)
        answer = fakes.answer_to(body)
        size = packets.MAX_PAYLOAD_BYTES
        for fragment, fragments in [(0, 3), (1, 9), (2, 9), (2, 3), (1, 3)]:
            payload = answer[fragment * size : (fragment + 1) * size]
            packet = packets.Packet(
                Kind.ANSWER,
                fakes.SERVICE_ID,
                simulation.sent[0][1].flow_id,
                request_id=1,
                fragment=fragment,
                fragments=fragments,
                payload=payload if fragments == 3 else b"wrong",
            )
            simulation.deliver(packets.encode(packet))
        self.assert_outcome(simulation, 1, Verdict.RAN)

    def test_requests_over_the_flow_limit_wait(self) -> None:
        simulation = session_simulation.with_open_session(run_s=0.2)
        for number in range(1, 301):
            simulation.request(number, timeout_s=60.0)
        simulation.run(0.1)
        self.assertEqual(64, len(simulation.service.runs))
        simulation.run(10.0)
        for number in range(1, 301):
            self.assertIs(Verdict.RAN, simulation.outcome(number).verdict)
        self.assertEqual([], simulation.check())

    def test_lost_acknowledgements_do_not_fill_the_agent(self) -> None:
        """An agent stores at most 64 unacknowledged answers of a flow."""
        simulation = session_simulation.with_open_session(agents=1)
        acknowledged: set[int] = set()

        def is_first_ack(packet: packets.Packet) -> bool:
            if packet.kind is not Kind.ACK:
                return False
            is_first = packet.request_id not in acknowledged
            acknowledged.add(packet.request_id)
            return is_first

        simulation.is_dropped = is_first_ack
        for number in range(1, 101):
            simulation.request(number, timeout_s=300.0)
            simulation.run(0.1)
            self.assert_outcome(simulation, number, Verdict.RAN)

    def test_request_with_dropped_answer_may_have_run(self) -> None:
        simulation = session_simulation.with_open_session(run_s=5.0)
        simulation.request(1)
        simulation.run(0.1)
        self.deliver(simulation, Kind.STATUS, packets.Flag.RAN)
        reason = Reason.REQUEST_TOO_OLD
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_refusal_after_a_partial_answer_is_not_trusted(self) -> None:
        simulation = session_simulation.with_open_session(run_s=5.0)
        simulation.request(1)
        simulation.run(0.1)
        self.deliver(simulation, Kind.ANSWER, packets.Flag.RAN, fragments=2)
        self.deliver(simulation, Kind.STATUS, packets.Flag.NOT_RUN)
        reason = Reason.REQUEST_TOO_OLD
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason)

    @staticmethod
    def deliver(
        simulation: session_simulation.Simulation,
        kind: packets.Kind,
        flag: packets.Flag,
        fragments: int = 0,
    ) -> None:
        packet = packets.Packet(
            kind,
            fakes.SERVICE_ID,
            simulation.sent[0][1].flow_id,
            request_id=1,
            fragments=fragments,
            flags=int(flag),
            reason=Reason.REQUEST_TOO_OLD,
        )
        simulation.deliver(packets.encode(packet))


class TestRequestIds(session_case.SessionTestCase):
    """An agent refuses ids that are far below those of ended requests."""

    def test_delayed_request_is_not_refused_as_too_old(self) -> None:
        simulation = session_simulation.with_open_session(agents=1)
        lost_until = simulation.now + 3.0
        simulation.is_dropped = lambda packet: (
            packet.request_id == 1 and simulation.now < lost_until
        )
        for number in range(1, 201):
            simulation.request(number, timeout_s=30.0)
        simulation.run(20.0)
        for number in range(1, 201):
            self.assert_outcome(simulation, number, Verdict.RAN)


class TestLargeBodies(unittest.TestCase):
    """Large bodies must neither take long nor flood the network."""

    def test_lost_fragments_are_resent_in_few_rounds(self) -> None:
        simulation = session_simulation.with_open_session()
        seen: set[int] = set()

        def is_first_of_some(packet: packets.Packet) -> bool:
            if packet.kind is not Kind.REQUEST or packet.fragment % 4:
                return False
            is_first = packet.fragment not in seen
            seen.add(packet.fragment)
            return is_first

        simulation.is_dropped = is_first_of_some
        simulation.request(1, fragments=100)
        simulation.run_until(lambda: bool(simulation.service.runs), 10.0)
        # 25 fragments are lost. Resending one per POLL took 27 POLL packets.
        self.assertLess(simulation.kinds_sent().count(Kind.POLL), 10)

    def test_duplication_does_not_multiply_fragments(self) -> None:
        faults = session_simulation.Faults(duplication=0.9, jitter_s=0.01)
        simulation = session_simulation.Simulation(faults=faults, seed=3)
        simulation.open()
        simulation.request(1, fragments=400, timeout_s=30.0)
        simulation.run(30.0)
        self.assertIs(Verdict.RAN, simulation.outcome(1).verdict)
        self.assertLess(simulation.kinds_sent().count(Kind.REQUEST), 800)
