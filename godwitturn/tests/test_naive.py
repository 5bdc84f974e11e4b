"""Tests of the naive balancer, so that the comparison is a fair one."""

import unittest

from godwitturn.core import actions
from godwitturn.core import verdict
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.standins import naive
from godwitturn.tests import balancer_support as support


class TestNaiveBalancer(unittest.TestCase):
    """A comparison that can't serve at all would prove nothing."""

    def setUp(self) -> None:
        self.table = support.five_targets()
        self.subject = naive.NaiveBalancer(
            member_id=support.BALANCER_ID, token_keys=support.KEYS, seed=1
        )
        self.subject.handle(actions.RoutingChanged(self.table), now=0.0)

    def holder(self, flow_id: int) -> int | None:
        event = support.from_caller(support.opening(flow_id))
        message = support.agent_message(self.subject.handle(event, now=0.0))
        return None if message is None else message.destination

    def test_flow_stays_where_the_table_says(self) -> None:
        holder = self.holder(7)
        targets = [support.target(n) for n in range(1, 10)]
        table = support.table_of(*targets)
        self.subject.handle(actions.RoutingChanged(table), now=0.0)
        event = support.from_caller(
            support.request(7, support.sealed_token(holder or 0, 7))
        )
        message = support.agent_message(self.subject.handle(event, now=0.0))
        assert message is not None
        self.assertEqual(holder, message.destination)

    def test_health_endpoint_is_believed(self) -> None:
        self.subject.observe_health(1, answers=False)
        holders = {self.holder(flow_id) for flow_id in range(100)}
        self.assertEqual({2, 3, 4, 5}, holders)
        self.subject.observe_health(1, answers=True)
        holders = {self.holder(flow_id) for flow_id in range(100, 200)}
        self.assertEqual({1, 2, 3, 4, 5}, holders)

    def test_answers_and_refusals_reach_the_caller(self) -> None:
        answer = packets.encode(packets.Packet(packets.Kind.ANSWER, 1, 7))
        event = support.from_agent(
            support.target(1), encapsulation.Kind.RETURN, answer
        )
        self.assertEqual(
            [actions.SendToCaller(support.CALLER, answer)],
            self.subject.handle(event, now=0.0),
        )
        opening = support.from_caller(support.opening(7))
        sent = support.agent_message(self.subject.handle(opening, now=0.0))
        assert sent is not None
        sender = self.table.target_by_id[sent.destination]
        refusal = support.caller_reply(
            self.subject.handle(
                support.returned_opening(sender, sent), now=0.0
            )
        )
        assert refusal is not None
        self.assertEqual(verdict.Reason.CONNECTION_LIMIT, refusal.reason)
        self.assertEqual({}, self.subject.target_by_flow)
