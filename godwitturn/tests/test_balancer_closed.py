"""Tests of the replies of a closed balancer to established packets."""

from collections.abc import Callable
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import actions
from godwitturn.core import balancer
from godwitturn.core import token as tokens
from godwitturn.core import verdict
from godwitturn.protocol import packet as packets
from godwitturn.tests import balancer_support as support

Kind = packets.Kind
Reason = verdict.Reason
ESTABLISHED_KINDS = sorted(packets.CALLER_KINDS - {Kind.OPEN})


def _fenced() -> balancer.Balancer:
    subject = support.open_balancer(support.five_targets())
    subject.handle(actions.FenceChanged(True), now=0.0)
    return subject


def _data_centre_out() -> balancer.Balancer:
    table = attrs.evolve(support.five_targets(), own_data_centre_out=True)
    return support.open_balancer(table)


CLOSED: dict[Reason, Callable[[], balancer.Balancer]] = {
    Reason.FENCED: _fenced,
    Reason.DATA_CENTRE_OUT: _data_centre_out,
}


class TestNotice(unittest.TestCase):
    """Without a RESEND the caller waits for its retransmission timeout."""

    def test_notice_identifies_only_the_packet(self) -> None:
        """Guards against notices with a verdict or for another packet."""
        token = support.sealed_token(1, 42)
        for reason, factory in CLOSED.items():
            for kind in ESTABLISHED_KINDS:
                sent = packets.Packet(
                    kind,
                    1,
                    42,
                    token,
                    9,
                    3,
                    7,
                    500,
                    int(packets.Flag.IDEMPOTENT | packets.Flag.NOT_RUN),
                    payload=b"body",
                )
                subject = factory()
                event = support.from_caller(packets.encode(sent))
                notice = packets.Packet(
                    Kind.RESEND, 1, 42, token, 9, 3, 7, reason=reason
                )
                self.assertEqual(
                    [
                        actions.SendToCaller(
                            support.CALLER, packets.encode(notice)
                        )
                    ],
                    subject.handle(event, now=0.0),
                )
                self.assertEqual(
                    {"dropped_" + reason.name.lower(): 1, "resend_notices": 1},
                    subject.counters,
                )

    def test_packet_for_a_data_centre_that_is_out_is_not_delivered(
        self,
    ) -> None:
        """Guards against forwarding based on an unconfirmed view."""
        subject = support.open_balancer(
            support.table_with_target(data_centre_out=True)
        )
        subject.handle(actions.FenceChanged(True), now=0.0)
        data = support.request(42, support.sealed_token(1, 42))
        outputs = subject.handle(support.from_caller(data), now=0.0)
        self.assertIsNone(support.agent_message(outputs))

    def test_notice_is_sent_before_the_first_table(self) -> None:
        """Guards against callers waiting for balancers that just started."""
        subject = balancer.Balancer(
            member_id=support.BALANCER_ID,
            token_keys=support.TOKEN_KEYS,
            seed=1,
        )
        data = support.request(42, support.sealed_token(1, 42))
        outputs = subject.handle(support.from_caller(data), now=0.0)
        notice = support.caller_reply(outputs)
        assert notice is not None
        self.assertIs(Kind.RESEND, notice.kind)


class TestNoNotice(unittest.TestCase):
    """Packets without an authentic token must get no reply."""

    def assert_silent(self, data: bytes) -> None:
        for reason, factory in CLOSED.items():
            subject = factory()
            outputs = subject.handle(support.from_caller(data), now=0.0)
            self.assertEqual([], outputs)
            name = "dropped_" + reason.name.lower()
            self.assertEqual({name: 1}, subject.counters)

    @hypothesis.given(strategies.integers(0, tokens.TOKEN_BYTES * 8 - 1))
    def test_forged_token_gets_no_notice(self, bit: int) -> None:
        token = bytearray(support.sealed_token(1, 42))
        token[bit // 8] ^= 1 << bit % 8
        self.assert_silent(support.request(42, bytes(token)))

    def test_packet_without_token_gets_no_notice(self) -> None:
        self.assert_silent(support.request(42, tokens.EMPTY))

    def test_token_of_another_flow_gets_no_notice(self) -> None:
        self.assert_silent(support.request(43, support.sealed_token(1, 42)))

    def test_token_of_another_service_gets_no_notice(self) -> None:
        self.assert_silent(
            support.request(42, support.sealed_token(1, 42, 2), 1)
        )

    def test_malformed_fragment_gets_no_notice(self) -> None:
        packet = packets.Packet(
            Kind.REQUEST, 1, 42, support.sealed_token(1, 42), 1, 7, 7
        )
        self.assert_silent(packets.encode(packet))


class TestLoops(unittest.TestCase):
    """Balancers that reply to each other would never stop."""

    def test_notice_gets_no_reply(self) -> None:
        notice = packets.encode(
            packets.Packet(Kind.RESEND, 1, 42, support.sealed_token(1, 42), 1)
        )
        opened = support.open_balancer(support.five_targets())
        for subject in (opened, _fenced(), _data_centre_out()):
            outputs = subject.handle(support.from_caller(notice), now=0.0)
            self.assertIsNone(support.caller_reply(outputs))
            self.assertIsNone(support.agent_message(outputs))

    def test_notices_from_agents_are_not_forwarded(self) -> None:
        self.assertNotIn(Kind.RESEND, balancer.AGENT_KINDS)
