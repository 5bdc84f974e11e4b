"""Tests of fragments, answers and acknowledgements."""

import unittest

from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_world
from godwitturn.tests import session_case

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict


class TestAnswers(session_case.SessionTestCase):
    """Late, duplicated or lost fragments must not change an answer."""

    def test_large_answer_is_received_and_acknowledged(self) -> None:
        world = session_world.open_world()
        body = world.request(1, fragments=300)
        world.run(5.0)
        self.assert_outcome(world, 1, Verdict.RAN)
        self.assertEqual(fakes.answer_to(body), world.outcome(1).body)
        acks = [p.request_id for _, p in world.sent if p.kind is Kind.ACK]
        self.assertEqual([1, 1], acks)

    def test_empty_body_is_answered(self) -> None:
        world = session_world.open_world()
        world.request(1, fragments=0)
        world.run(0.5)
        self.assertIs(Verdict.RAN, world.outcome(1).verdict)
        self.assertEqual(fakes.answer_to(b""), world.outcome(1).body)

    def test_fragments_with_another_count_are_ignored(self) -> None:
        world = session_world.open_world(run_s=5.0)
        body = world.request(1, fragments=2)
        world.run(0.1)
        answer = fakes.answer_to(body)
        size = packets.MAX_PAYLOAD_BYTES
        for fragment, fragments in [(0, 3), (1, 9), (2, 9), (2, 3), (1, 3)]:
            payload = answer[fragment * size : (fragment + 1) * size]
            packet = packets.Packet(
                Kind.ANSWER,
                fakes.SERVICE_ID,
                world.sent[0][1].flow_id,
                request_id=1,
                fragment=fragment,
                fragments=fragments,
                payload=payload if fragments == 3 else b"wrong",
            )
            world.deliver(packets.encode(packet))
        self.assert_outcome(world, 1, Verdict.RAN)

    def test_requests_over_the_flow_limit_wait(self) -> None:
        world = session_world.open_world(run_s=0.2)
        for number in range(1, 301):
            world.request(number, timeout_s=60.0)
        world.run(0.1)
        self.assertEqual(64, len(world.service.runs))
        world.run(10.0)
        for number in range(1, 301):
            self.assertIs(Verdict.RAN, world.outcome(number).verdict)
        self.assertEqual([], world.check())

    def test_lost_acknowledgements_do_not_fill_the_agent(self) -> None:
        """An agent stores at most 64 unacknowledged answers of a flow."""
        world = session_world.open_world(agents=1)
        acknowledged: set[int] = set()

        def is_first_ack(packet: packets.Packet) -> bool:
            if packet.kind is not Kind.ACK:
                return False
            is_first = packet.request_id not in acknowledged
            acknowledged.add(packet.request_id)
            return is_first

        world.is_dropped = is_first_ack
        for number in range(1, 101):
            world.request(number, timeout_s=300.0)
            world.run(0.1)
            self.assert_outcome(world, number, Verdict.RAN)

    def test_request_with_dropped_answer_may_have_run(self) -> None:
        world = session_world.open_world(run_s=5.0)
        world.request(1)
        world.run(0.1)
        self.deliver(world, Kind.STATUS, packets.Flag.RAN)
        reason = Reason.REQUEST_TOO_OLD
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_refusal_after_a_partial_answer_is_not_trusted(self) -> None:
        world = session_world.open_world(run_s=5.0)
        world.request(1)
        world.run(0.1)
        self.deliver(world, Kind.ANSWER, packets.Flag.RAN, fragments=2)
        self.deliver(world, Kind.STATUS, packets.Flag.NOT_RUN)
        reason = Reason.REQUEST_TOO_OLD
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason)

    @staticmethod
    def deliver(
        world: session_world.World,
        kind: packets.Kind,
        flag: packets.Flag,
        fragments: int = 0,
    ) -> None:
        packet = packets.Packet(
            kind,
            fakes.SERVICE_ID,
            world.sent[0][1].flow_id,
            request_id=1,
            fragments=fragments,
            flags=int(flag),
            reason=Reason.REQUEST_TOO_OLD,
        )
        world.deliver(packets.encode(packet))


class TestRequestIds(session_case.SessionTestCase):
    """An agent refuses ids that are far below those of ended requests."""

    def test_delayed_request_is_not_refused_as_too_old(self) -> None:
        world = session_world.open_world(agents=1)
        lost_until = world.now + 3.0
        world.is_dropped = lambda packet: (
            packet.request_id == 1 and world.now < lost_until
        )
        for number in range(1, 201):
            world.request(number, timeout_s=30.0)
        world.run(20.0)
        for number in range(1, 201):
            self.assert_outcome(world, number, Verdict.RAN)


class TestLargeBodies(unittest.TestCase):
    """Large bodies must be neither slow nor flood the network."""

    def test_lost_fragments_are_resent_in_few_rounds(self) -> None:
        world = session_world.open_world()
        seen: set[int] = set()

        def is_first_of_some(packet: packets.Packet) -> bool:
            if packet.kind is not Kind.REQUEST or packet.fragment % 4:
                return False
            is_first = packet.fragment not in seen
            seen.add(packet.fragment)
            return is_first

        world.is_dropped = is_first_of_some
        world.request(1, fragments=100)
        world.run_until(lambda: bool(world.service.runs), 10.0)
        # 25 fragments are lost. Resending one per POLL took 27 of them.
        self.assertLess(world.kinds_sent().count(Kind.POLL), 10)

    def test_duplication_does_not_multiply_fragments(self) -> None:
        faults = session_world.Faults(duplication=0.9, jitter_s=0.01)
        world = session_world.World(faults=faults, seed=3)
        world.open()
        world.request(1, fragments=400, timeout_s=30.0)
        world.run(30.0)
        self.assertIs(Verdict.RAN, world.outcome(1).verdict)
        self.assertLess(world.kinds_sent().count(Kind.REQUEST), 800)
