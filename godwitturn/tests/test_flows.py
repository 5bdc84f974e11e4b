"""Tests of the expiry and timers of the flow table."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from godwitturn.core import flows
from godwitturn.core import timer_wheel
from godwitturn.tests import agent_driver

ROUTE = flows.Route(1, agent_driver.BALANCER)


class TestTimerWheel(unittest.TestCase):
    """Timers must be neither early nor lost, even if the clock jumps."""

    @hypothesis.given(
        strategies.lists(strategies.floats(0, 1000)),
        strategies.lists(strategies.floats(0, 1500), max_size=10),
    )
    def test_items_are_due_once_and_in_time(
        self, times: list[float], pop_times: list[float]
    ) -> None:
        wheel: timer_wheel.TimerWheel[float] = timer_wheel.TimerWheel(0.5)
        for at in times:
            wheel.schedule(at, at)
        popped: list[float] = []
        for now in sorted(pop_times):
            due = wheel.pop_due(now, 10_000)
            self.assertTrue(all(at <= now for at in due))
            popped += due
            expected = [at for at in times if at <= now - 0.5]
            self.assertLessEqual(len(expected), len(popped))
        popped += wheel.pop_due(2000, 10_000)
        self.assertEqual(sorted(times), sorted(popped))

    def test_one_call_pops_a_limited_number_of_items(self) -> None:
        wheel: timer_wheel.TimerWheel[int] = timer_wheel.TimerWheel(1.0)
        for item in range(10):
            wheel.schedule(item, 1.0)
        sizes = [len(wheel.pop_due(2.0, 4)) for _ in range(4)]
        self.assertEqual([4, 4, 2, 0], sizes)


class TestExpiry(unittest.TestCase):
    """Expiry must not examine flows that are not due."""

    def test_only_due_flows_are_examined(self) -> None:
        table = flows.FlowTable(60.0)
        for flow_id in range(1000):
            flow = table.reserve(
                flow_id, agent_driver.CALLER, ROUTE, now=flow_id / 10
            )
            table.confirm(flow, agent_driver.CALLER, ROUTE, flow_id / 10)
        examined = 0
        original = flows.FlowTable._expires_at

        def count(
            self: flows.FlowTable, flow: flows.Flow, now: float
        ) -> float:
            nonlocal examined
            examined += 1
            return original(self, flow, now)

        with mock.patch.object(flows.FlowTable, "_expires_at", count):
            self.assertEqual([], table.expired_flows(5.0))
            self.assertEqual(1, examined)
            self.assertEqual([], table.expired_flows(15.0))
        self.assertLess(examined, 110)

    def test_timer_of_a_removed_flow_does_not_expire_a_new_one(self) -> None:
        table = flows.FlowTable(60.0)
        first = table.reserve(1, agent_driver.CALLER, ROUTE, now=0.0)
        table.remove(first)
        second = table.reserve(1, agent_driver.CALLER, ROUTE, now=4.0)
        self.assertNotEqual(first.epoch, second.epoch)
        self.assertEqual([], table.expired_flows(6.0))
        self.assertEqual([second], table.expired_flows(9.0))
