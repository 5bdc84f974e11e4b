"""Tests of the balancer against forged tokens and arbitrary input."""

import unittest

import hypothesis
from hypothesis import strategies

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer
from godwitturn.core import token as tokens
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.tests import balancer_support as support

TOKEN_OFFSET = packets.HEADER_BYTES - tokens.TOKEN_BYTES
TOKEN_BITS = strategies.integers(0, tokens.TOKEN_BYTES * 8 - 1)
SERVICES = strategies.integers(0, 3)


def two_services() -> balancer.Balancer:
    """Returns a balancer for targets 1 and 2 of service 1, 3 of 2."""
    return support.open_balancer(
        support.table_of(
            support.target(1), support.target(2), support.target(3, 2)
        )
    )


class TestForgedToken(unittest.TestCase):
    """A caller must not choose a target or reach another service."""

    def assert_not_delivered(self, data: bytes) -> balancer.Balancer:
        subject = two_services()
        outputs = subject.handle(support.from_caller(data), now=0.0)
        self.assertIsNone(support.agent_message(outputs))
        return subject

    @hypothesis.given(TOKEN_BITS)
    def test_any_flipped_bit_is_dropped_and_counted(self, bit: int) -> None:
        data = bytearray(support.request(42, support.sealed_token(1, 42)))
        data[TOKEN_OFFSET + bit // 8] ^= 1 << bit % 8
        subject = self.assert_not_delivered(bytes(data))
        self.assertEqual({"dropped_forged_token": 1}, subject.counters)

    def test_token_of_another_flow_is_dropped(self) -> None:
        token = support.sealed_token(1, 43)
        subject = self.assert_not_delivered(support.request(42, token))
        self.assertEqual({"dropped_forged_token": 1}, subject.counters)

    def test_token_of_another_service_is_dropped(self) -> None:
        token = support.sealed_token(3, 42, 2)
        subject = self.assert_not_delivered(support.request(42, token, 1))
        self.assertEqual({"dropped_wrong_service": 1}, subject.counters)

    def test_key_of_one_service_reaches_no_target_of_another(self) -> None:
        token = support.sealed_token(1, 42, 2)
        subject = self.assert_not_delivered(support.request(42, token, 2))
        self.assertEqual({"reset_not_approved": 1}, subject.counters)

    def test_token_sealed_with_another_services_key_is_dropped(self) -> None:
        token = tokens.seal(
            tokens.Token(0, 1, 1, 5, 1, 0), 42, support.TOKEN_KEY_BY_SERVICE[2]
        )
        subject = self.assert_not_delivered(support.request(42, token))
        self.assertEqual({"dropped_forged_token": 1}, subject.counters)

    def test_forged_tokens_are_logged_at_a_limited_rate(self) -> None:
        subject = two_services()
        event = support.from_caller(support.request(42, b"x" * 32))
        logged = sum(
            len(subject.handle(event, now=step / 100)) for step in range(150)
        )
        self.assertEqual(2, logged)


PACKETS = strategies.builds(
    packets.Packet,
    kind=strategies.sampled_from(packets.Kind),
    service_id=SERVICES,
    flow_id=strategies.sampled_from([0, 42, 2**64 - 1]),
    token=strategies.one_of(
        strategies.just(tokens.EMPTY),
        strategies.integers(0, 4).map(lambda n: support.sealed_token(n, 42)),
        strategies.binary(min_size=32, max_size=32),
    ),
    request_id=strategies.integers(0, 2**32 - 1),
    deadline_ms=strategies.integers(0, 2**32 - 1),
    flags=strategies.integers(0, 255),
    payload=strategies.one_of(
        strategies.just(bytes(packets.OPEN_PAYLOAD_BYTES)),
        strategies.binary(max_size=packets.MAX_PAYLOAD_BYTES),
    ),
).map(packets.encode)
INPUTS = strategies.one_of(
    strategies.binary(max_size=1400),
    PACKETS,
    strategies.tuples(PACKETS, strategies.integers(0, 1400)).map(
        lambda drawn: drawn[0][: drawn[1]]
    ),
)


class TestArbitraryInput(unittest.TestCase):
    """Anyone can send arbitrary datagrams to a balancer's port."""

    @hypothesis.settings(max_examples=500)
    @hypothesis.given(INPUTS, strategies.booleans())
    def test_reply_is_no_larger_than_the_input(
        self, data: bytes, fenced: bool
    ) -> None:
        subject = two_services()
        subject.handle(actions.FenceChanged(fenced), now=0.0)
        outputs = subject.handle(support.from_caller(data), now=0.0)
        answers = [a for a in outputs if isinstance(a, actions.SendToCaller)]
        sent = [a for a in outputs if isinstance(a, actions.SendToAgent)]
        self.assertLessEqual(len(answers) + len(sent), 1)
        for answer in answers:
            self.assertEqual(support.CALLER, answer.address)
            self.assertLessEqual(len(answer.data), len(data))
        for message in sent:
            self.assertIn(
                message.address, [support.address_of(n) for n in (1, 2, 3)]
            )
        if fenced:
            self.assertEqual([], sent)

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(INPUTS)
    def test_own_replies_get_no_reply(self, data: bytes) -> None:
        subject = two_services()
        for action in subject.handle(support.from_caller(data), now=0.0):
            if isinstance(action, actions.SendToCaller):
                again = support.from_caller(action.data)
                outputs = subject.handle(again, now=0.0)
                self.assertIsNone(support.caller_reply(outputs))

    @hypothesis.settings(max_examples=500)
    @hypothesis.given(
        INPUTS,
        strategies.sampled_from(encapsulation.Kind),
        strategies.integers(0, 255),
        strategies.lists(strategies.integers(0, 2**64 - 1), max_size=3),
        strategies.integers(0, 2**64 - 1),
        strategies.sampled_from([1, 2, 3]),
    )
    def test_agent_input_stays_within_its_service(
        self,
        data: bytes,
        kind: encapsulation.Kind,
        tries: int,
        candidates: list[int],
        version: int,
        sender_id: int,
    ) -> None:
        subject = two_services()
        service_id = 2 if sender_id == 3 else 1
        event = support.from_agent(
            support.target(sender_id, service_id),
            kind,
            data,
            tries=tries,
            candidates=tuple(candidates),
            configuration_version=version,
        )
        outputs = subject.handle(event, now=0.0)
        answer = support.caller_reply(outputs)
        if answer is not None:
            self.assertEqual(service_id, answer.service_id)
        support.agent_message(outputs)

    @hypothesis.given(strategies.binary(max_size=1500))
    def test_unauthentic_agent_datagrams_are_dropped(
        self, data: bytes
    ) -> None:
        subject = two_services()
        event = actions.AgentDatagram(addresses.Address("127.0.0.1", 1), data)
        outputs = subject.handle(event, now=0.0)
        self.assertIsNone(support.caller_reply(outputs))
        self.assertIsNone(support.agent_message(outputs))
        self.assertEqual({"dropped_agent_not_authentic": 1}, subject.counters)
