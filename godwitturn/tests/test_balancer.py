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
    """A fault here would stop every flow."""

    def test_open_forward_return(self) -> None:
        table = support.five_targets()
        subject = support.open_balancer(table)
        opening = support.opening(42)
        taken = subject.handle(support.from_caller(opening), now=0.0)
        message = support.agent_message(taken)
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
        others = {message.destination, *message.candidates}
        self.assertEqual(3, len(others))
        holder = table.target_by_id[message.destination]
        token = support.sealed_token(holder.member_id, 42)
        accept = packets.encode(packets.Packet(Kind.ACCEPT, 1, 42, token))
        self.assertEqual(
            [actions.SendToCaller(support.CALLER, accept)],
            subject.handle(
                support.from_agent(holder, RETURN, accept), now=0.1
            ),
        )
        data = support.request(42, token)
        taken = subject.handle(support.from_caller(data), now=0.2)
        sent = support.agent_message(taken)
        assert sent is not None
        self.assertEqual(
            (holder.member_id, data), (sent.destination, sent.packet)
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
        taken = subject.handle(support.from_caller(data), now=0.0)
        self.assertIsNone(support.agent_message(taken))
        self.assertIsNone(support.caller_reply(taken))

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
        taken = subject.handle(support.from_caller(data), now=0.0)
        refusal = support.caller_reply(taken)
        assert refusal is not None
        self.assertEqual(Reason.NO_TARGET, refusal.reason)

    def test_caller_address_without_packed_form_is_dropped(self) -> None:
        subject = support.open_balancer(support.five_targets())
        source = addresses.Address("fe80::1%eth0", 5)
        event = actions.CallerDatagram(source, support.opening(42))
        self.assertEqual([], subject.handle(event, now=0.0))
        self.assertEqual(1, subject.counters["dropped_caller_address"])


class TestEstablished(unittest.TestCase):
    """A wrong answer ends a session that its target still holds."""

    def outcome(
        self, table: routing.RoutingTable, token: bytes | None = None
    ) -> Reason | int | None:
        """Returns the reason of a reset, the target reached, or None."""
        subject = support.open_balancer(table)
        data = support.request(42, token or support.sealed_token(1, 42))
        taken = subject.handle(support.from_caller(data), now=0.0)
        answer, message = (
            support.caller_reply(taken),
            support.agent_message(taken),
        )
        if answer is not None:
            self.assertEqual(Kind.RESET, answer.kind)
            self.assertEqual((1, 42), (answer.service_id, answer.flow_id))
            self.assertIsNone(packets.verdict_of(answer))
            return answer.reason
        return None if message is None else message.destination

    def test_draining_target_is_reached(self) -> None:
        self.assertEqual(1, self.outcome(support.with_target(draining=True)))

    def test_target_on_a_shared_vm_is_reached(self) -> None:
        self.assertEqual(1, self.outcome(support.with_target(shares_vm=True)))

    def test_data_centre_out(self) -> None:
        self.assertEqual(
            Reason.DATA_CENTRE_OUT,
            self.outcome(support.with_target(data_centre_out=True)),
        )

    def test_lost_target_is_still_reached(self) -> None:
        # Watchers can be cut off from an agent that callers still reach.
        self.assertEqual(1, self.outcome(support.with_target(lost=True)))

    def test_target_not_announced_yet_is_no_reset(self) -> None:
        self.assertIsNone(self.outcome(support.with_target(address=None)))

    def test_target_of_another_service(self) -> None:
        self.assertEqual(
            Reason.NOT_APPROVED,
            self.outcome(support.with_target(service_id=2)),
        )

    def test_packet_without_token(self) -> None:
        self.assertEqual(
            Reason.TOKEN_INVALID,
            self.outcome(support.with_target(), tokens.EMPTY),
        )

    def test_other_kinds_from_a_caller_are_not_answered(self) -> None:
        subject = support.open_balancer(support.five_targets())
        for kind in balancer.AGENT_KINDS:
            data = packets.encode(packets.Packet(kind, 1, 42))
            taken = subject.handle(support.from_caller(data), now=0.0)
            self.assertIsNone(support.caller_reply(taken))


class TestReturn(unittest.TestCase):
    """A compromised agent must not speak for another service."""

    def setUp(self) -> None:
        self.subject = support.open_balancer(support.five_targets())

    def taken(
        self, packet: bytes, **fields: Any
    ) -> list[actions.BalancerAction]:
        event = support.from_agent(support.target(1), RETURN, packet, **fields)
        taken = self.subject.handle(event, now=0.0)
        return [a for a in taken if not isinstance(a, actions.Emit)]

    def answer(self, kind: Kind = Kind.ANSWER, service_id: int = 1) -> bytes:
        return packets.encode(packets.Packet(kind, service_id, 42))

    def test_kinds_of_agents_are_forwarded_unchanged(self) -> None:
        for kind in balancer.AGENT_KINDS:
            data = self.answer(kind)
            self.assertEqual(
                [actions.SendToCaller(support.CALLER, data)], self.taken(data)
            )

    def test_kinds_of_callers_are_dropped(self) -> None:
        for kind in packets.CALLER_KINDS:
            self.assertEqual([], self.taken(self.answer(kind)))

    def test_other_service_is_dropped(self) -> None:
        self.assertEqual([], self.taken(self.answer(service_id=2)))

    def test_malformed_inner_packet_is_dropped(self) -> None:
        self.assertEqual([], self.taken(b"x" * 80))

    def test_other_destination_is_dropped(self) -> None:
        self.assertEqual([], self.taken(self.answer(), destination=78))

    def test_other_key_is_dropped(self) -> None:
        impostor = attrs.evolve(support.target(1), pair_key=b"x" * 32)
        event = support.from_agent(impostor, RETURN, self.answer())
        taken = self.subject.handle(event, now=0.0)
        self.assertIsNone(support.caller_reply(taken))

    def test_load_is_recorded(self) -> None:
        self.taken(self.answer())
        entry = self.subject.target_stats.stats_by_id[1]
        self.assertEqual(support.WARM, entry.load)

    def test_newer_version_is_told_once_a_second(self) -> None:
        seen = []
        for step in range(25):
            event = support.from_agent(
                support.target(1),
                RETURN,
                self.answer(),
                configuration_version=4,
            )
            taken = self.subject.handle(event, now=step / 10)
            seen += [
                a for a in taken if isinstance(a, actions.NewerVersionSeen)
            ]
        self.assertEqual([actions.NewerVersionSeen(4)] * 3, seen)


class ClosedCase(unittest.TestCase):
    """A balancer that refuses openings."""

    subject: balancer.Balancer

    def assert_refused(
        self, event: actions.BalancerEvent, reason: verdict.Reason
    ) -> None:
        taken = self.subject.handle(event, now=0.0)
        self.assertIsNone(support.agent_message(taken))
        refusal = support.caller_reply(taken)
        assert refusal is not None
        self.assertEqual(
            (Kind.REFUSE, reason, verdict.Verdict.NOT_RUN),
            (refusal.kind, refusal.reason, packets.verdict_of(refusal)),
        )


class TestFence(ClosedCase):
    """An unconfirmed view may send packets where they must not go."""

    def setUp(self) -> None:
        self.subject = support.open_balancer(support.five_targets())
        self.subject.handle(actions.FenceChanged(True), now=0.0)

    def test_starts_fenced(self) -> None:
        subject = balancer.Balancer(
            member_id=support.BALANCER_ID, token_keys=support.KEYS, seed=1
        )
        self.assertTrue(subject.fenced)
        self.assertEqual(routing.EMPTY_TABLE, subject.table)

    def test_openings_are_refused(self) -> None:
        event = support.from_caller(support.opening(42))
        self.assert_refused(event, Reason.FENCED)

    def test_nothing_else_passes(self) -> None:
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

    def test_log_event_for_each_change(self) -> None:
        for fenced, expected in (
            (True, []),
            (False, [events.EventId.BALANCER_OPENED]),
            (False, []),
            (True, [events.EventId.BALANCER_FENCED]),
        ):
            taken = self.subject.handle(actions.FenceChanged(fenced), now=0.0)
            ids = [
                a.event.event_id for a in taken if isinstance(a, actions.Emit)
            ]
            self.assertEqual(expected, ids)


class TestOwnDataCentreOut(ClosedCase):
    """Agents would answer into the data centre that was taken out."""

    def setUp(self) -> None:
        table = attrs.evolve(support.five_targets(), own_data_centre_out=True)
        self.subject = support.open_balancer(table)

    def test_openings_are_refused(self) -> None:
        event = support.from_caller(support.opening(42))
        self.assert_refused(event, Reason.DATA_CENTRE_OUT)

    def test_established_packets_are_not_forwarded(self) -> None:
        data = support.request(42, support.sealed_token(1, 42))
        taken = self.subject.handle(support.from_caller(data), now=0.0)
        notice = support.caller_reply(taken)
        assert notice is not None
        self.assertEqual(
            (1, Kind.RESEND, Reason.DATA_CENTRE_OUT),
            (len(taken), notice.kind, notice.reason),
        )

    def test_answers_on_their_way_are_passed_on(self) -> None:
        answer = packets.encode(packets.Packet(Kind.ANSWER, 1, 42))
        event = support.from_agent(support.target(1), RETURN, answer)
        taken = self.subject.handle(event, now=0.0)
        self.assertIsNotNone(support.caller_reply(taken))

    def test_forwards_again_when_back(self) -> None:
        table = attrs.evolve(support.five_targets(), version=99)
        self.subject.handle(actions.RoutingChanged(table), now=0.0)
        data = support.request(42, support.sealed_token(1, 42))
        taken = self.subject.handle(support.from_caller(data), now=0.0)
        self.assertIsNotNone(support.agent_message(taken))


class TestStop(unittest.TestCase):
    """A stopping balancer must not cut off packets on their way."""

    def test_forwards_until_stopped(self) -> None:
        subject = support.open_balancer(support.five_targets())
        subject.handle(actions.StopRequested(), now=10.0)
        subject.handle(actions.StopRequested(), now=11.0)
        for now in (10.0, 11.9):
            self.assertEqual([], subject.handle(actions.Tick(), now=now))
            event = support.from_caller(support.opening(42))
            taken = subject.handle(event, now=now)
            self.assertIsNotNone(support.agent_message(taken))
        self.assertIn(
            actions.Stopped(), subject.handle(actions.Tick(), now=12.0)
        )
        self.assertEqual([], subject.handle(actions.Tick(), now=13.0))


class TestMemory(unittest.TestCase):
    """State of single flows would grow with the open flows."""

    def test_nothing_grows_with_flows(self) -> None:
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
