"""Tests of corrections, returned data centres and table updates."""

import unittest

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer
from godwitturn.core import routing
from godwitturn.protocol import encapsulation
from godwitturn.tests import balancer_support as support


class TestCorrection(unittest.TestCase):
    """Packets for a replaced target must not reach its replacement."""

    def corrected(self, sender: int = 2) -> balancer.Balancer:
        """Returns a balancer after a report from the address of target 1."""
        subject = support.open_balancer(support.five_targets())
        event = support.from_agent(
            support.target(sender), encapsulation.Kind.CORRECTION, b""
        )
        event.source = support.address_of(1)
        subject.handle(event, now=0.0)
        return subject

    def reached(self, subject: balancer.Balancer) -> int | None:
        data = support.request(42, support.sealed_token(1, 42))
        outputs = subject.handle(support.from_caller(data), now=0.0)
        self.assertIsNone(support.caller_reply(outputs))
        message = support.agent_message(outputs)
        return None if message is None else message.destination

    def test_nothing_is_sent_to_the_wrong_address(self) -> None:
        subject = self.corrected()
        self.assertIsNone(self.reached(subject))
        for flow_id in range(200):
            event = support.from_caller(support.opening(flow_id))
            message = support.agent_message(subject.handle(event, now=0.0))
            assert message is not None
            self.assertNotIn(1, (message.destination, *message.candidates))

    def test_correction_outlives_a_table_with_the_same_announcement(
        self,
    ) -> None:
        subject = self.corrected()
        subject.handle(actions.RoutingChanged(support.five_targets()), now=1.0)
        self.assertIsNone(self.reached(subject))

    def test_newer_announcement_ends_the_correction(self) -> None:
        subject = self.corrected()
        table = support.table_with_target(announcement_order=(0, 1))
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

    def test_report_of_the_address_owner_is_ignored(self) -> None:
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

    def test_share_of_a_returned_data_centre_rises(self) -> None:
        first_targets = [support.target(n) for n in range(1, 6)]
        second_targets = [support.target(n, 1, "dc2") for n in range(6, 11)]
        second_out = [
            attrs.evolve(target, data_centre_out=True)
            for target in second_targets
        ]
        subject = support.open_balancer(
            support.table_of(*first_targets, *second_out)
        )
        self.assertEqual(0.0, self.share_of_dc2(subject, 1.0))
        back = support.table_of(*first_targets, *second_targets)
        subject.handle(actions.RoutingChanged(back), now=100.0)
        shares = [self.share_of_dc2(subject, 100.0)]
        for now in (110.0, 120.0, 130.0):
            subject.handle(actions.Tick(), now=now)
            shares.append(self.share_of_dc2(subject, now))
        closed = support.table_of(*first_targets, *second_out)
        subject.handle(actions.RoutingChanged(closed), now=140.0)
        self.assertEqual(0.0, self.share_of_dc2(subject, 140.0))
        subject.handle(actions.RoutingChanged(back), now=150.0)
        again = self.share_of_dc2(subject, 150.0)
        self.assertAlmostEqual(shares[0], again, delta=0.02)
        for share, expected in zip(
            shares, (0.05, 0.25, 0.4, 0.5), strict=True
        ):
            self.assertAlmostEqual(share, expected, delta=0.04)


class TestOlderTable(unittest.TestCase):
    """An outdated table must not restore a departed target."""

    def test_older_version_is_ignored(self) -> None:
        subject = support.open_balancer(
            support.table_of(support.target(2), version=5)
        )
        older = support.table_of(support.target(1), version=4)
        self.assertEqual(
            [], subject.handle(actions.RoutingChanged(older), now=1.0)
        )
        self.assertEqual({2}, subject.table.target_by_id.keys())

    def test_table_of_the_same_version_is_applied(self) -> None:
        subject = support.open_balancer(
            support.table_of(support.target(2), version=5)
        )
        table = support.table_of(support.target(1), version=5)
        subject.handle(actions.RoutingChanged(table), now=1.0)
        self.assertEqual({1}, subject.table.target_by_id.keys())


class TestConflictLog(unittest.TestCase):
    """The log must say why a target gets no flows."""

    def test_changed_conflicts_are_logged_once(self) -> None:
        conflict = routing.Conflict(routing.ConflictKind.KEY, 5)
        table = attrs.evolve(support.five_targets(), conflicts=(conflict,))
        subject = support.open_balancer(support.five_targets())
        first = subject.handle(actions.RoutingChanged(table), now=1.0)
        again = subject.handle(actions.RoutingChanged(table), now=9.0)
        self.assertEqual((1, 0), (len(first), len(again)))
