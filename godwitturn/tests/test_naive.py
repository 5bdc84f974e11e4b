"""Tests of the naive balancer, with which the real one is compared."""

import unittest

from godwitturn.core import actions
from godwitturn.core import verdict
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.standins import naive
from godwitturn.tests import balancer_support as support


class TestNaiveBalancer(unittest.TestCase):
    """Comparisons need a naive balancer that forwards correctly."""

    def setUp(self) -> None:
        self.table = support.five_targets()
        self.balancer = naive.NaiveBalancer(
            member_id=support.BALANCER_ID,
            token_keys=support.TOKEN_KEYS,
            seed=1,
        )
        self.balancer.handle(actions.RoutingChanged(self.table), now=0.0)

    def target_of(self, flow_id: int) -> int | None:
        event = support.from_caller(support.opening(flow_id))
        message = support.agent_message(self.balancer.handle(event, now=0.0))
        return None if message is None else message.destination

    def test_flow_keeps_its_target_when_targets_are_added(self) -> None:
        target_id = self.target_of(7)
        targets = [support.target(n) for n in range(1, 10)]
        table = support.table_of(*targets)
        self.balancer.handle(actions.RoutingChanged(table), now=0.0)
        event = support.from_caller(
            support.request(7, support.sealed_token(target_id or 0, 7))
        )
        message = support.agent_message(self.balancer.handle(event, now=0.0))
        assert message is not None
        self.assertEqual(target_id, message.destination)

    def test_unhealthy_target_gets_no_flows(self) -> None:
        self.balancer.record_health(1, is_healthy=False)
        target_ids = {self.target_of(flow_id) for flow_id in range(100)}
        self.assertEqual({2, 3, 4, 5}, target_ids)
        self.balancer.record_health(1, is_healthy=True)
        target_ids = {self.target_of(flow_id) for flow_id in range(100, 200)}
        self.assertEqual({1, 2, 3, 4, 5}, target_ids)

    def test_answers_and_refusals_reach_the_caller(self) -> None:
        answer = packets.encode(packets.Packet(packets.Kind.ANSWER, 1, 7))
        event = support.from_agent(
            support.target(1), encapsulation.Kind.RETURN, answer
        )
        self.assertEqual(
            [actions.SendToCaller(support.CALLER, answer)],
            self.balancer.handle(event, now=0.0),
        )
        opening = support.from_caller(support.opening(7))
        sent = support.agent_message(self.balancer.handle(opening, now=0.0))
        assert sent is not None
        sender = self.table.target_by_id[sent.destination]
        refusal = support.caller_reply(
            self.balancer.handle(
                support.returned_opening(sender, sent), now=0.0
            )
        )
        assert refusal is not None
        self.assertEqual(verdict.Reason.CONNECTION_LIMIT, refusal.reason)
        self.assertEqual({}, self.balancer.target_by_flow)
