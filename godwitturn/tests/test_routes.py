"""Tests of corrections, returned data centres and conflicts."""

import unittest

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer
from godwitturn.core import routing
from godwitturn.protocol import encapsulation
from godwitturn.tests import balancer_support as support


class TestCorrection(unittest.TestCase):
    """Packets for an old target must not go to its replacement."""

    def corrected(self, sender: int = 2) -> balancer.Balancer:
        """Returns a balancer told that member 2 runs at 1's address."""
        subject = support.open_balancer(support.five_targets())
        event = support.from_agent(
            support.target(sender), encapsulation.Kind.CORRECTION, b""
        )
        event.source = support.address_of(1)
        subject.handle(event, now=0.0)
        return subject

    def reached(self, subject: balancer.Balancer) -> int | None:
        data = support.request(42, support.sealed_token(1, 42))
        taken = subject.handle(support.from_caller(data), now=0.0)
        self.assertIsNone(support.caller_reply(taken))
        message = support.agent_message(taken)
        return None if message is None else message.destination

    def test_nothing_is_sent_to_the_wrong_address(self) -> None:
        subject = self.corrected()
        self.assertIsNone(self.reached(subject))
        for flow_id in range(200):
            event = support.from_caller(support.opening(flow_id))
            message = support.agent_message(subject.handle(event, now=0.0))
            assert message is not None
            self.assertNotIn(1, (message.destination, *message.candidates))

    def test_same_announcement_in_a_new_table_changes_nothing(self) -> None:
        subject = self.corrected()
        subject.handle(actions.RoutingChanged(support.five_targets()), now=1.0)
        self.assertIsNone(self.reached(subject))

    def test_newer_announcement_ends_it(self) -> None:
        subject = self.corrected()
        table = support.with_target(announcement_order=(0, 1))
        subject.handle(actions.RoutingChanged(table), now=1.0)
        self.assertEqual(1, self.reached(subject))

    def test_targets_elsewhere_keep_their_address(self) -> None:
        for source in (
            addresses.Address("127.0.0.2", support.address_of(1).port),
            addresses.Address("127.0.0.1", 9),
        ):
            subject = support.open_balancer(support.five_targets())
            event = support.from_agent(
                support.target(2), encapsulation.Kind.CORRECTION, b""
            )
            event.source = source
            subject.handle(event, now=0.0)
            self.assertEqual(1, self.reached(subject))

    def test_owner_of_the_address_corrects_nothing(self) -> None:
        self.assertEqual(1, self.reached(self.corrected(sender=1)))


class TestReturnedDataCentre(unittest.TestCase):
    """A returned data centre must not get its full share at once."""

    def share_of_dc2(self, subject: balancer.Balancer, now: float) -> float:
        count = 2000
        reached = 0
        for flow_id in range(count):
            subject.target_stats.stats_by_id.clear()
            event = support.from_caller(support.opening(flow_id))
            message = support.agent_message(subject.handle(event, now=now))
            assert message is not None
            reached += message.destination > 5
        return reached / count

    def test_share_rises(self) -> None:
        here = [support.target(n) for n in range(1, 6)]
        there = [support.target(n, 1, "dc2") for n in range(6, 11)]
        out = [attrs.evolve(target, data_centre_out=True) for target in there]
        subject = support.open_balancer(support.table_of(*here, *out))
        self.assertEqual(0.0, self.share_of_dc2(subject, 1.0))
        back = support.table_of(*here, *there)
        subject.handle(actions.RoutingChanged(back), now=100.0)
        shares = [self.share_of_dc2(subject, 100.0)]
        for now in (110.0, 120.0, 130.0):
            subject.handle(actions.Tick(), now=now)
            shares.append(self.share_of_dc2(subject, now))
        taken_out = support.table_of(*here, *out)
        subject.handle(actions.RoutingChanged(taken_out), now=140.0)
        self.assertEqual(0.0, self.share_of_dc2(subject, 140.0))
        subject.handle(actions.RoutingChanged(back), now=150.0)
        again = self.share_of_dc2(subject, 150.0)
        self.assertAlmostEqual(shares[0], again, delta=0.02)
        for share, expected in zip(
            shares, (0.05, 0.25, 0.4, 0.5), strict=True
        ):
            self.assertAlmostEqual(share, expected, delta=0.04)


class TestOlderTable(unittest.TestCase):
    """A late table would bring a departed target back."""

    def test_version_never_goes_back(self) -> None:
        subject = support.open_balancer(
            support.table_of(support.target(2), version=5)
        )
        older = support.table_of(support.target(1), version=4)
        self.assertEqual(
            [], subject.handle(actions.RoutingChanged(older), now=1.0)
        )
        self.assertEqual({2}, subject.table.target_by_id.keys())

    def test_announcements_change_without_a_version(self) -> None:
        subject = support.open_balancer(
            support.table_of(support.target(2), version=5)
        )
        table = support.table_of(support.target(1), version=5)
        subject.handle(actions.RoutingChanged(table), now=1.0)
        self.assertEqual({1}, subject.table.target_by_id.keys())


class TestConflictLog(unittest.TestCase):
    """Operators would not learn why a target gets no flows."""

    def test_changed_conflicts_are_logged_once(self) -> None:
        conflict = routing.Conflict(routing.ConflictKind.KEY, 5)
        table = attrs.evolve(support.five_targets(), conflicts=(conflict,))
        subject = support.open_balancer(support.five_targets())
        first = subject.handle(actions.RoutingChanged(table), now=1.0)
        again = subject.handle(actions.RoutingChanged(table), now=9.0)
        self.assertEqual((1, 0), (len(first), len(again)))
