"""Tests of fleets of balancers, compared with the naive balancer."""

import collections
import random
from typing import Any
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import actions
from godwitturn.core import balancer
from godwitturn.core import routes
from godwitturn.core import routing
from godwitturn.core import verdict
from godwitturn.standins import naive
from godwitturn.tests import balancer_support as support

MAX_MEMBER = 12
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "open",
                "open",
                "send",
                "send",
                "send",
                "start balancer",
                "kill balancer",
                "announce",
                "drain",
                "lose",
                "remove",
                "out",
            ]
        ),
        strategies.integers(0, 1000),
    ),
    max_size=60,
)


def replay(
    factory: support.BalancerFactory, steps: list[tuple[str, int]]
) -> support.Fleet:
    """Applies steps to a fleet, then sends one packet of each flow."""
    fleet = support.Fleet(factory)
    target_by_id = {n: support.target(n) for n in range(1, 5)}
    fleet.set_targets(list(target_by_id.values()))
    fleet.add_balancer()
    fleet.add_balancer()
    for flow_id in range(5):
        fleet.open(flow_id * 7919, flow_id)
    for name, number in steps:
        apply_step(fleet, target_by_id, name, number)
    for index, flow_id in enumerate(fleet.token_by_flow):
        fleet.send(flow_id, index + 1)
    return fleet


def apply_step(
    fleet: support.Fleet,
    target_by_id: dict[int, routing.Target],
    name: str,
    number: int,
) -> None:
    """Applies one step."""
    flows = list(fleet.token_by_flow)
    member_id = 1 + number % MAX_MEMBER
    present = target_by_id.get(member_id)
    match name:
        case "open":
            fleet.open(number * 104729, number)
            return
        case "send":
            fleet.send(flows[number % len(flows)], number)
            return
        case "start balancer":
            fleet.add_balancer()
            return
        case "kill balancer":
            if len(fleet.balancers) > 1:
                fleet.balancers.pop(number % len(fleet.balancers))
            return
        case "announce":
            target_by_id[member_id] = support.target(member_id)
        case "remove":
            target_by_id.pop(member_id, None)
        case "drain" if present is not None:
            target_by_id[member_id] = attrs.evolve(present, draining=True)
        case "lose" if present is not None:
            target_by_id[member_id] = attrs.evolve(present, lost=True)
        case "out" if present is not None:
            target_by_id[member_id] = attrs.evolve(
                present, data_centre_out=True
            )
    fleet.set_targets(list(target_by_id.values()))


class TestAgainstNaive(unittest.TestCase):
    """Flows must survive changes that break them at a naive balancer."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["open", "send"]),
                strategies.integers(0, 1000),
            ),
            max_size=40,
        )
    )
    def test_both_balancers_keep_flows_without_changes(
        self, steps: list[tuple[str, int]]
    ) -> None:
        for factory in (balancer.Balancer, naive.NaiveBalancer):
            fleet = replay(factory, steps)
            self.assertEqual(0, fleet.misrouted_count)
            self.assertGreaterEqual(len(fleet.token_by_flow), 5)

    def test_only_the_naive_balancer_misroutes_flows(self) -> None:
        naive_misrouted = 0

        @hypothesis.settings(max_examples=200)
        @hypothesis.given(STEPS)
        def check(steps: list[tuple[str, int]]) -> None:
            nonlocal naive_misrouted
            self.assertEqual(
                0, replay(balancer.Balancer, steps).misrouted_count
            )
            naive_misrouted += replay(
                naive.NaiveBalancer, steps
            ).misrouted_count

        check()
        self.assertGreater(naive_misrouted, 0)

    def misrouted_after(
        self, factory: support.BalancerFactory, *, kill: bool
    ) -> int:
        """Returns how many of 200 flows are misrouted after one change."""
        fleet = support.Fleet(factory)
        targets = [support.target(n) for n in range(1, 6)]
        fleet.set_targets(targets)
        for _ in range(4):
            fleet.add_balancer()
        source = random.Random(3)
        for flow_id in range(200):
            fleet.open(source.getrandbits(64), flow_id)
        if kill:
            fleet.balancers.pop()
        fleet.set_targets(
            [attrs.evolve(targets[0], draining=True), *targets[1:]]
        )
        for flow_id in fleet.token_by_flow:
            fleet.send(flow_id, source.randrange(4))
        return fleet.misrouted_count

    def test_drain_misroutes_no_flow(self) -> None:
        self.assertEqual(
            0, self.misrouted_after(balancer.Balancer, kill=False)
        )
        self.assertGreater(
            self.misrouted_after(naive.NaiveBalancer, kill=False), 50
        )

    def test_drain_and_killed_balancer_misroute_no_flow(self) -> None:
        self.assertEqual(0, self.misrouted_after(balancer.Balancer, kill=True))
        self.assertGreater(
            self.misrouted_after(naive.NaiveBalancer, kill=True), 50
        )


class TestImbalance(unittest.TestCase):
    """Uneven placement would fill some targets while others are idle."""

    def imbalance(self, factory: support.BalancerFactory, count: int) -> float:
        """Returns the highest number of flows at a target over the mean."""
        fleet = support.Fleet(factory)
        fleet.set_targets([support.target(n) for n in range(1, count + 1)])
        for _ in range(4):
            fleet.add_balancer()
        source = random.Random(5)
        for _ in range(100 * count):
            fleet.open(source.getrandbits(64), source.randrange(4))
        flows_by_target = collections.Counter(fleet.target_by_flow.values())
        return max(flows_by_target.values()) / 100

    def test_placement_is_even_for_small_services(self) -> None:
        for count in (3, 4, 7):
            ours = self.imbalance(balancer.Balancer, count)
            self.assertLess(ours, 1.05)
            self.assertLess(ours, self.imbalance(naive.NaiveBalancer, count))


class TestDifferentTables(unittest.TestCase):
    """Balancers with different tables must agree on a token's target."""

    @hypothesis.given(
        strategies.sets(strategies.integers(2, MAX_MEMBER)),
        strategies.sets(strategies.integers(2, MAX_MEMBER)),
        strategies.integers(0, 2**64 - 1),
        strategies.booleans(),
    )
    def test_different_tables_give_the_same_target(
        self, ours: set[int], theirs: set[int], flow_id: int, drains: bool
    ) -> None:
        data = support.request(flow_id, support.sealed_token(1, flow_id))
        reached = []
        for version, member_ids in enumerate((ours, theirs)):
            targets = [support.target(n) for n in member_ids]
            owner = attrs.evolve(
                support.target(1), draining=drains and version == 0
            )
            table = support.table_of(*targets, owner, version=version)
            subject = support.open_balancer(table)
            outputs = subject.handle(support.from_caller(data), now=0.0)
            message = support.agent_message(outputs)
            assert message is not None
            reached.append(message.destination)
        self.assertEqual([1, 1], reached)


class TestLaggingBalancer(unittest.TestCase):
    """A lagging balancer must not reset flows of a newly added target."""

    def setUp(self) -> None:
        self.subject = support.open_balancer(support.five_targets())
        token = support.sealed_token(9, 42)
        self.event = support.from_caller(support.request(42, token))

    def outcome(self, now: float) -> verdict.Reason | int | None:
        outputs = self.subject.handle(self.event, now=now)
        answer, message = (
            support.caller_reply(outputs),
            support.agent_message(outputs),
        )
        if answer is not None:
            return answer.reason
        return None if message is None else message.destination

    def set_members(self, *member_ids: int, now: float) -> None:
        table = support.table_of(*[support.target(n) for n in member_ids])
        self.subject.handle(actions.RoutingChanged(table), now=now)

    def test_packets_are_dropped_until_the_table_arrives(self) -> None:
        self.assertEqual([None, None], [self.outcome(1.0), self.outcome(3.0)])
        self.set_members(1, 9, now=3.5)
        self.assertEqual(9, self.outcome(4.0))

    def test_flow_is_reset_if_the_table_never_lists_the_target(self) -> None:
        self.outcome(1.0)
        self.set_members(1, now=2.0)
        grace = routes.UNKNOWN_GRACE_SECONDS
        self.assertEqual(
            verdict.Reason.NOT_APPROVED, self.outcome(1.0 + grace)
        )

    def test_withdrawn_target_is_reset_at_once(self) -> None:
        self.set_members(1, 9, now=1.0)
        self.assertEqual(9, self.outcome(1.1))
        self.set_members(1, now=2.0)
        self.assertEqual(verdict.Reason.NOT_APPROVED, self.outcome(2.1))

    def test_target_approved_again_is_reached(self) -> None:
        for now in (1.0, 3.0):
            self.set_members(1, 9, now=now)
            self.assertEqual(9, self.outcome(now))
            self.set_members(1, now=now + 1)

    def test_unknown_targets_use_bounded_memory(self) -> None:
        for member_id in range(100, 101 + routes.MAX_UNKNOWN_TARGETS):
            token = support.sealed_token(member_id, 42)
            event = support.from_caller(support.request(42, token))
            self.subject.handle(event, now=1.0)
        self.assertEqual(
            routes.MAX_UNKNOWN_TARGETS,
            len(self.subject._routes.unknown_since_by_id),
        )


TARGETS = strategies.builds(
    routing.Target,
    member_id=strategies.integers(1, 6),
    service_id=strategies.integers(1, 2),
    data_centre=strategies.sampled_from(["dc1", "dc2"]),
    address=strategies.just(None),
    pair_key=strategies.just(b""),
    weight=strategies.sampled_from([0.0, 0.5, 1.0]),
    draining=strategies.booleans(),
    lost=strategies.booleans(),
    data_centre_out=strategies.booleans(),
)
EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("table"), strategies.lists(TARGETS, max_size=8)
        ),
        strategies.tuples(
            strategies.just("open"),
            strategies.tuples(
                strategies.integers(1, 2), strategies.integers(0, 99)
            ),
        ),
        strategies.tuples(
            strategies.just("send"),
            strategies.tuples(
                strategies.integers(1, 2),  # service in the header
                strategies.integers(1, 2),  # service in the token
                strategies.integers(1, 6),
            ),
        ),
        strategies.tuples(
            strategies.just("return"),
            strategies.tuples(
                strategies.integers(1, 6),
                strategies.integers(1, 2),
                strategies.integers(1, 6),
            ),
        ),
    ),
    max_size=30,
)


class TestServicesStayApart(unittest.TestCase):
    """No packet of a service may reach a target of another."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(EVENTS)
    def test_any_sequence_of_tables(
        self, steps: list[tuple[str, Any]]
    ) -> None:
        table = support.five_targets()
        subject = support.open_balancer(table)
        for step, (name, values) in enumerate(steps):
            now = step / 10
            service_id = 0
            event: actions.BalancerEvent
            match name, values:
                case "table", [*targets]:
                    table = self.table_with(targets)
                    event = actions.RoutingChanged(table)
                case "open", (service_id, flow_id):
                    data = support.opening(flow_id, service_id)
                    event = support.from_caller(data)
                case "send", (service_id, of_token, member_id):
                    token = support.sealed_token(member_id, 42, of_token)
                    data = support.request(42, token, service_id)
                    event = support.from_caller(data)
                case "return", (sender_id, service_id, candidate):
                    event = self.returned(sender_id, service_id, candidate)
            message = support.agent_message(subject.handle(event, now=now))
            if message is None:
                continue
            target = table.target_by_id[message.destination]
            self.assertEqual(service_id, target.service_id)
            self.assertFalse(target.data_centre_out)
            if name == "send":
                # Lost targets are reached: watchers can be cut off from an
                # agent that callers still reach.
                self.assertEqual(member_id, message.destination)
            else:
                self.assertTrue(target.eligible)

    def table_with(
        self, targets: list[routing.Target]
    ) -> routing.RoutingTable:
        by_id = {
            target.member_id: attrs.evolve(
                target,
                address=support.address_of(target.member_id),
                pair_key=support.target(target.member_id).pair_key,
            )
            for target in targets
        }
        return support.table_of(*by_id.values())

    def returned(
        self, sender_id: int, service_id: int, candidate: int
    ) -> actions.AgentDatagram:
        sent = support.agent_message(
            support.open_balancer(support.five_targets()).handle(
                support.from_caller(support.opening(42)), now=0.0
            )
        )
        assert sent is not None
        sent.packet = support.opening(42, service_id)
        sent.candidates = (candidate,)
        return support.returned_opening(support.target(sender_id), sent)
