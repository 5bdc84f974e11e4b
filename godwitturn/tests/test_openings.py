"""Tests of returned openings and of placement by target statistics."""

import unittest

import attrs

from godwitturn.core import actions
from godwitturn.core import balancer
from godwitturn.core import openings
from godwitturn.core import retry_limits
from godwitturn.core import target_stats
from godwitturn.core import token as tokens
from godwitturn.core import verdict
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.tests import balancer_support as support

Kind = packets.Kind
Reason = verdict.Reason


class TestReturnedOpening(unittest.TestCase):
    """A flow must not fail while another target would accept it."""

    def setUp(self) -> None:
        self.table = support.five_targets()
        self.subject = support.open_balancer(self.table)

    def open(self, flow_id: int = 42) -> encapsulation.Message:
        event = support.from_caller(support.opening(flow_id))
        message = support.agent_message(self.subject.handle(event, now=0.0))
        assert message is not None
        return message

    def return_opening(
        self, message: encapsulation.Message, now: float = 0.0
    ) -> list[actions.BalancerAction]:
        sender = self.table.target_by_id[message.destination]
        event = support.returned_opening(sender, message)
        return self.subject.handle(event, now=now)

    def test_opening_is_refused_after_three_tries(self) -> None:
        first = self.open()
        second = support.agent_message(self.return_opening(first))
        assert second is not None
        third = support.agent_message(self.return_opening(second))
        assert third is not None
        self.assertEqual(
            [first.destination, *first.candidates],
            [m.destination for m in (first, second, third)],
        )
        self.assertEqual([0, 1, 2], [m.tries for m in (first, second, third)])
        self.assertEqual(support.opening(42), third.packet)
        outputs = self.return_opening(third)
        self.assertIsNone(support.agent_message(outputs))
        refusal = support.caller_reply(outputs)
        assert refusal is not None
        self.assertEqual(
            (
                Kind.REFUSE,
                42,
                Reason.CONNECTION_LIMIT,
                verdict.Verdict.NOT_RUN,
            ),
            (
                refusal.kind,
                refusal.flow_id,
                refusal.reason,
                packets.verdict_of(refusal),
            ),
        )
        self.assertGreater(refusal.deadline_ms, 0)

    def test_tries_are_limited_despite_further_candidates(self) -> None:
        message = attrs.evolve(self.open(), tries=openings.MAX_TRIES - 1)
        self.assertIsNone(support.agent_message(self.return_opening(message)))

    def test_changed_candidates_are_not_trusted(self) -> None:
        table = support.table_of(
            support.target(1),
            support.target(2, 2),
            attrs.evolve(support.target(3), data_centre_out=True),
        )
        self.subject = support.open_balancer(table)
        self.table = table
        for candidate in (1, 2, 3, 99):
            message = attrs.evolve(self.open(), candidates=(candidate,))
            self.assertIsNone(
                support.agent_message(self.return_opening(message))
            )

    def test_opening_of_another_service_is_dropped(self) -> None:
        message = attrs.evolve(self.open(), packet=support.opening(42, 2))
        self.assertEqual([], self.return_opening(message))

    def test_retries_are_within_the_budget(self) -> None:
        count = 2000
        for flow_id in range(count):
            self.return_opening(self.open(flow_id))
            # Otherwise all targets are skipped.
            self.subject.target_stats.stats_by_id.clear()
        limit = (
            retry_limits.MAX_AVAILABLE_RETRIES
            + count * retry_limits.RETRY_SHARE
        )
        retried = self.subject.counters["retried_open"]
        self.assertLessEqual(retried, limit)
        self.assertGreater(retried, limit - 2)
        self.assertEqual(
            count - retried, self.subject.counters["retry_budget_empty"]
        )

    def test_skipped_candidate_is_not_tried(self) -> None:
        message = self.open()
        for member_id in message.candidates:
            self.subject.target_stats.opening_returned(
                member_id, support.WARM_LOAD, 0.0
            )
        self.assertIsNone(support.agent_message(self.return_opening(message)))

    def test_retry_delay_grows_with_refusals(self) -> None:
        def mean_delay(flow_ids: range, refused_every: int) -> float:
            delays = []
            for flow_id in flow_ids:
                message = attrs.evolve(self.open(flow_id), candidates=())
                if flow_id % refused_every == 0:
                    refusal = support.caller_reply(
                        self.return_opening(message)
                    )
                    assert refusal is not None
                    delays.append(refusal.deadline_ms)
            return sum(delays) / len(delays)

        seldom = mean_delay(range(500), 25)
        often = mean_delay(range(500, 1000), 1)
        self.assertGreater(often, 4 * seldom)


class TestPlacementByLoad(unittest.TestCase):
    """Load reports must affect placement."""

    def test_full_target_gets_no_openings(self) -> None:
        subject = support.open_balancer(support.five_targets())
        for member_id in range(1, 6):
            flows = 1900 if member_id == 1 else 100
            load = target_stats.Load(flows, 2000, 1, 0, 1000)
            subject.target_stats.record(member_id, load, 0.0)
        reached = 0
        for flow_id in range(500):
            event = support.from_caller(support.opening(flow_id))
            message = support.agent_message(subject.handle(event, now=0.1))
            assert message is not None
            reached += message.destination == 1
        self.assertEqual(0, reached)


class TestKeyedPlacement(unittest.TestCase):
    """Callers must not be able to choose flow ids for one target."""

    def first_targets(self, secret: bytes) -> list[int]:
        subject = balancer.Balancer(
            member_id=support.BALANCER_ID,
            token_keys=[tokens.TokenKey(0, 1, secret)],
            seed=1,
        )
        table = support.five_targets()
        subject.handle(actions.RoutingChanged(table), now=0.0)
        subject.handle(actions.FenceChanged(False), now=0.0)
        reached = []
        for flow_id in range(50):
            subject.target_stats.stats_by_id.clear()
            event = support.from_caller(support.opening(flow_id))
            message = support.agent_message(subject.handle(event, now=0.0))
            assert message is not None
            reached.append(message.destination)
        return reached

    def test_ranking_depends_only_on_the_token_key(self) -> None:
        ours = self.first_targets(b"1" * 32)
        self.assertEqual(ours, self.first_targets(b"1" * 32))
        other = self.first_targets(b"2" * 32)
        same = sum(a == b for a, b in zip(ours, other, strict=True))
        self.assertLess(same, 25)  # 10 expected
