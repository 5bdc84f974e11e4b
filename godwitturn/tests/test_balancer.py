"""Tests of the balancer's decisions on single events."""

from typing import Any
import unittest

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer
from godwitturn.core import events
from godwitturn.core import routing
from godwitturn.core import token as tokens
from godwitturn.core import verdict
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.tests import balancer_support as support

Kind = packets.Kind
Reason = verdict.Reason
RETURN = encapsulation.Kind.RETURN


class TestPath(unittest.TestCase):
    """Opening, forwarding and return must work for every flow."""

    def test_opening_is_forwarded_and_accepted(self) -> None:
        table = support.five_targets()
        subject = support.open_balancer(table)
        opening = support.opening(42)
        outputs = subject.handle(support.from_caller(opening), now=0.0)
        message = support.agent_message(outputs)
        assert message is not None
        self.assertEqual(
            (encapsulation.Kind.DELIVER, 3, support.CALLER, opening, 0),
            (
                message.kind,
                message.configuration_version,
                message.caller,
                message.packet,
                message.tries,
            ),
        )
        chosen_ids = {message.destination, *message.candidates}
        self.assertEqual(3, len(chosen_ids))
        owner = table.target_by_id[message.destination]
        token = support.sealed_token(owner.member_id, 42)
        accept = packets.encode(packets.Packet(Kind.ACCEPT, 1, 42, token))
        self.assertEqual(
            [actions.SendToCaller(support.CALLER, accept)],
            subject.handle(support.from_agent(owner, RETURN, accept), now=0.1),
        )
        data = support.request(42, token)
        outputs = subject.handle(support.from_caller(data), now=0.2)
        sent = support.agent_message(outputs)
        assert sent is not None
        self.assertEqual(
            (owner.member_id, data), (sent.destination, sent.packet)
        )
        self.assertEqual(
            {
                "forwarded_open": 1,
                "forwarded_return": 1,
                "forwarded_established": 1,
            },
            subject.counters,
        )

    def test_unpadded_opening_is_dropped(self) -> None:
        subject = support.open_balancer(support.five_targets())
        data = support.opening(42)[:-1]
        outputs = subject.handle(support.from_caller(data), now=0.0)
        self.assertIsNone(support.agent_message(outputs))
        self.assertIsNone(support.caller_reply(outputs))

    def test_opening_with_a_token_is_dropped(self) -> None:
        subject = support.open_balancer(support.five_targets())
        data = packets.encode(
            packets.Packet(
                Kind.OPEN,
                1,
                42,
                support.sealed_token(1, 42),
                payload=bytes(packets.OPEN_PAYLOAD_BYTES),
            )
        )
        subject.handle(support.from_caller(data), now=0.0)
        self.assertEqual({"dropped_malformed": 1}, subject.counters)

    def test_service_without_token_key_is_refused(self) -> None:
        subject = support.open_balancer(support.table_of(support.target(1, 3)))
        data = support.opening(42, 3)
        outputs = subject.handle(support.from_caller(data), now=0.0)
        refusal = support.caller_reply(outputs)
        assert refusal is not None
        self.assertEqual(Reason.NO_TARGET, refusal.reason)

    def test_caller_address_without_packed_form_is_dropped(self) -> None:
        subject = support.open_balancer(support.five_targets())
        source = addresses.Address("fe80::1%eth0", 5)
        event = actions.CallerDatagram(source, support.opening(42))
        self.assertEqual([], subject.handle(event, now=0.0))
        self.assertEqual(1, subject.counters["dropped_caller_address"])


class TestEstablished(unittest.TestCase):
    """A wrong reset would end a session whose flow is still open."""

    def outcome(
        self, table: routing.RoutingTable, token: bytes | None = None
    ) -> Reason | int | None:
        """Returns the reason of a reset, the target reached, or None."""
        subject = support.open_balancer(table)
        data = support.request(42, token or support.sealed_token(1, 42))
        outputs = subject.handle(support.from_caller(data), now=0.0)
        answer, message = (
            support.caller_reply(outputs),
            support.agent_message(outputs),
        )
        if answer is not None:
            self.assertEqual(Kind.RESET, answer.kind)
            self.assertEqual((1, 42), (answer.service_id, answer.flow_id))
            self.assertIsNone(packets.verdict_of(answer))
            return answer.reason
        return None if message is None else message.destination

    def test_draining_target_is_reached(self) -> None:
        self.assertEqual(
            1, self.outcome(support.table_with_target(draining=True))
        )

    def test_target_on_a_shared_vm_is_reached(self) -> None:
        self.assertEqual(
            1, self.outcome(support.table_with_target(shares_vm=True))
        )

    def test_target_in_a_data_centre_that_is_out_is_reset(self) -> None:
        self.assertEqual(
            Reason.DATA_CENTRE_OUT,
            self.outcome(support.table_with_target(data_centre_out=True)),
        )

    def test_lost_target_is_still_reached(self) -> None:
        # Watchers can be cut off from an agent that callers still reach.
        self.assertEqual(1, self.outcome(support.table_with_target(lost=True)))

    def test_unannounced_target_causes_no_reset(self) -> None:
        self.assertIsNone(
            self.outcome(support.table_with_target(address=None))
        )

    def test_target_of_another_service_is_reset(self) -> None:
        self.assertEqual(
            Reason.NOT_APPROVED,
            self.outcome(support.table_with_target(service_id=2)),
        )

    def test_packet_without_token_is_reset(self) -> None:
        self.assertEqual(
            Reason.TOKEN_INVALID,
            self.outcome(support.table_with_target(), tokens.EMPTY),
        )

    def test_agent_kinds_from_callers_get_no_reply(self) -> None:
        subject = support.open_balancer(support.five_targets())
        for kind in balancer.AGENT_KINDS:
            data = packets.encode(packets.Packet(kind, 1, 42))
            outputs = subject.handle(support.from_caller(data), now=0.0)
            self.assertIsNone(support.caller_reply(outputs))


class TestReturn(unittest.TestCase):
    """A compromised agent must not send packets of another service."""

    def setUp(self) -> None:
        self.subject = support.open_balancer(support.five_targets())

    def outputs(
        self, packet: bytes, **fields: Any
    ) -> list[actions.BalancerAction]:
        event = support.from_agent(support.target(1), RETURN, packet, **fields)
        outputs = self.subject.handle(event, now=0.0)
        return [a for a in outputs if not isinstance(a, actions.Emit)]

    def answer(self, kind: Kind = Kind.ANSWER, service_id: int = 1) -> bytes:
        return packets.encode(packets.Packet(kind, service_id, 42))

    def test_agent_kinds_are_forwarded_unchanged(self) -> None:
        for kind in balancer.AGENT_KINDS:
            data = self.answer(kind)
            self.assertEqual(
                [actions.SendToCaller(support.CALLER, data)],
                self.outputs(data),
            )

    def test_caller_kinds_are_dropped(self) -> None:
        for kind in packets.CALLER_KINDS:
            self.assertEqual([], self.outputs(self.answer(kind)))

    def test_other_service_is_dropped(self) -> None:
        self.assertEqual([], self.outputs(self.answer(service_id=2)))

    def test_malformed_inner_packet_is_dropped(self) -> None:
        self.assertEqual([], self.outputs(b"x" * 80))

    def test_other_destination_is_dropped(self) -> None:
        self.assertEqual([], self.outputs(self.answer(), destination=78))

    def test_other_key_is_dropped(self) -> None:
        impostor = attrs.evolve(support.target(1), pair_key=b"x" * 32)
        event = support.from_agent(impostor, RETURN, self.answer())
        outputs = self.subject.handle(event, now=0.0)
        self.assertIsNone(support.caller_reply(outputs))

    def test_load_is_recorded(self) -> None:
        self.outputs(self.answer())
        entry = self.subject.target_stats.stats_by_id[1]
        self.assertEqual(support.WARM_LOAD, entry.load)

    def test_newer_version_is_reported_once_a_second(self) -> None:
        seen = []
        for step in range(25):
            event = support.from_agent(
                support.target(1),
                RETURN,
                self.answer(),
                configuration_version=4,
            )
            outputs = self.subject.handle(event, now=step / 10)
            seen += [
                a for a in outputs if isinstance(a, actions.NewerVersionSeen)
            ]
        self.assertEqual([actions.NewerVersionSeen(4)] * 3, seen)


class ClosedCase(unittest.TestCase):
    """A balancer that refuses openings."""

    subject: balancer.Balancer

    def assert_refused(
        self, event: actions.BalancerEvent, reason: verdict.Reason
    ) -> None:
        outputs = self.subject.handle(event, now=0.0)
        self.assertIsNone(support.agent_message(outputs))
        refusal = support.caller_reply(outputs)
        assert refusal is not None
        self.assertEqual(
            (Kind.REFUSE, reason, verdict.Verdict.NOT_RUN),
            (refusal.kind, refusal.reason, packets.verdict_of(refusal)),
        )


class TestFence(ClosedCase):
    """A balancer with an unconfirmed view could misdirect packets."""

    def setUp(self) -> None:
        self.subject = support.open_balancer(support.five_targets())
        self.subject.handle(actions.FenceChanged(True), now=0.0)

    def test_new_balancer_is_fenced(self) -> None:
        subject = balancer.Balancer(
            member_id=support.BALANCER_ID,
            token_keys=support.TOKEN_KEYS,
            seed=1,
        )
        self.assertTrue(subject.fenced)
        self.assertEqual(routing.EMPTY_TABLE, subject.table)

    def test_openings_are_refused(self) -> None:
        event = support.from_caller(support.opening(42))
        self.assert_refused(event, Reason.FENCED)

    def test_other_packets_are_dropped(self) -> None:
        answer = packets.encode(packets.Packet(Kind.ANSWER, 1, 42))
        for event in (
            support.from_caller(support.request(42, b"x" * 32)),
            support.from_caller(support.request(42, tokens.EMPTY)),
            support.from_agent(support.target(1), RETURN, answer),
        ):
            self.assertEqual([], self.subject.handle(event, now=0.0))
        self.assertEqual({"dropped_fenced": 3}, self.subject.counters)

    def test_returned_opening_is_refused(self) -> None:
        sent = encapsulation.Message(
            encapsulation.Kind.DELIVER,
            support.BALANCER_ID,
            1,
            3,
            support.CALLER,
            support.opening(42),
            candidates=(2,),
        )
        event = support.returned_opening(support.target(1), sent)
        self.assert_refused(event, Reason.FENCED)

    def test_each_change_of_the_fence_is_logged(self) -> None:
        for fenced, expected in (
            (True, []),
            (False, [events.EventId.BALANCER_OPENED]),
            (False, []),
            (True, [events.EventId.BALANCER_FENCED]),
        ):
            outputs = self.subject.handle(
                actions.FenceChanged(fenced), now=0.0
            )
            ids = [
                a.event.event_id
                for a in outputs
                if isinstance(a, actions.Emit)
            ]
            self.assertEqual(expected, ids)


class TestOwnDataCentreOut(ClosedCase):
    """Agents would send answers to a data centre that was taken out."""

    def setUp(self) -> None:
        table = attrs.evolve(support.five_targets(), own_data_centre_out=True)
        self.subject = support.open_balancer(table)

    def test_openings_are_refused(self) -> None:
        event = support.from_caller(support.opening(42))
        self.assert_refused(event, Reason.DATA_CENTRE_OUT)

    def test_established_packets_are_not_forwarded(self) -> None:
        data = support.request(42, support.sealed_token(1, 42))
        outputs = self.subject.handle(support.from_caller(data), now=0.0)
        notice = support.caller_reply(outputs)
        assert notice is not None
        self.assertEqual(
            (1, Kind.RESEND, Reason.DATA_CENTRE_OUT),
            (len(outputs), notice.kind, notice.reason),
        )

    def test_answers_in_flight_are_forwarded(self) -> None:
        answer = packets.encode(packets.Packet(Kind.ANSWER, 1, 42))
        event = support.from_agent(support.target(1), RETURN, answer)
        outputs = self.subject.handle(event, now=0.0)
        self.assertIsNotNone(support.caller_reply(outputs))

    def test_forwarding_resumes_when_the_data_centre_is_back(self) -> None:
        table = attrs.evolve(support.five_targets(), version=99)
        self.subject.handle(actions.RoutingChanged(table), now=0.0)
        data = support.request(42, support.sealed_token(1, 42))
        outputs = self.subject.handle(support.from_caller(data), now=0.0)
        self.assertIsNotNone(support.agent_message(outputs))


class TestStop(unittest.TestCase):
    """A stopping balancer must forward packets in flight."""

    def test_forwards_until_stopped(self) -> None:
        subject = support.open_balancer(support.five_targets())
        subject.handle(actions.StopRequested(), now=10.0)
        subject.handle(actions.StopRequested(), now=11.0)
        for now in (10.0, 11.9):
            self.assertEqual([], subject.handle(actions.Tick(), now=now))
            event = support.from_caller(support.opening(42))
            outputs = subject.handle(event, now=now)
            self.assertIsNotNone(support.agent_message(outputs))
        self.assertIn(
            actions.Stopped(), subject.handle(actions.Tick(), now=12.0)
        )
        self.assertEqual([], subject.handle(actions.Tick(), now=13.0))


class TestMemory(unittest.TestCase):
    """The state of a balancer must not grow with the open flows."""

    def test_state_does_not_grow_with_flows(self) -> None:
        subject = support.open_balancer(support.five_targets())

        def sizes() -> dict[str, int]:
            parts = [vars(subject)]
            for part in (
                subject._target_selector,
                subject._routes,
                subject.target_stats,
            ):
                parts.append(attrs.asdict(part, recurse=False))
            return {
                name: len(value)
                for part in parts
                for name, value in part.items()
                if hasattr(value, "__len__")
            }

        def drive(flow_ids: range) -> None:
            for flow_id in flow_ids:
                token = support.sealed_token(1 + flow_id % 5, flow_id)
                for data in (
                    support.opening(flow_id),
                    support.opening(flow_id, flow_id % 65536),
                    support.request(flow_id, token),
                ):
                    subject.handle(support.from_caller(data), now=0.0)

        drive(range(100))
        before = sizes()
        drive(range(100, 5000))
        self.assertEqual(before, sizes())
