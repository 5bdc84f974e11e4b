"""Tests of the routing table that is built from the configuration."""

import random
from typing import Any
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import addresses
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import membership
from godwitturn.core import routing
from godwitturn.core import views

SERVICES = {
    "onboard-core": documents.Service("onboard-core", 1),
    "permit-desk": documents.Service("permit-desk", 2),
    "styledesk": documents.Service("styledesk", 3),
}
RULES = documents.Rules(
    data_centres=("dc1", "dc2"), apart=(("permit-desk", "onboard-core"),)
)


def member(
    number: int, service: str = "onboard-core", **fields: Any
) -> documents.Member:
    public_key = number.to_bytes(32, "big")
    values: dict[str, Any] = {
        "member_id": identity.member_id_of(public_key),
        "name": f"vm{number}",
        "kind": documents.MemberKind.TARGET,
        "service": service,
        "data_centre": "dc1",
        "public_key": public_key,
    }
    return documents.Member(**{**values, **fields})


def said(
    host: str = "10.0.0.1",
    port: int = 1,
    start: int = 1,
    lost: bool = False,
    draining: bool = False,
) -> membership.Announcement:
    state = membership.MemberState.SERVING
    if draining:
        state = membership.MemberState.DRAINING
    if lost:
        state = membership.MemberState.LOST
    address = addresses.Address(host, port)
    return membership.Announcement(0, 0, start, 0, address, state)


def build(
    *pairs: tuple[documents.Member, membership.Announcement | None],
    rules: documents.Rules = RULES,
    services: dict[str, documents.Service] = SERVICES,
) -> routing.RoutingTable:
    return routing.build_table(
        version=9,
        rules=rules,
        service_by_name=services,
        members=[listed for listed, _ in pairs],
        announcement_by_id={
            listed.member_id: announcement
            for listed, announcement in pairs
            if announcement is not None
        },
        pair_key_by_id={listed.member_id: b"p" * 32 for listed, _ in pairs},
    )


def eligible_ids(table: routing.RoutingTable) -> set[int]:
    return {
        target.member_id
        for targets in table.eligible_by_service.values()
        for target in targets
    }


class TestBalancers(unittest.TestCase):
    """A wrong count misjudges the openings that other balancers send."""

    def count(self, *pairs: Any, **rules: Any) -> int:
        return views.count_serving_balancers(
            attrs.evolve(RULES, **rules),
            {found.member_id: found for found, _ in pairs},
            {found.member_id: text for found, text in pairs if text},
        )

    def balancer(self, number: int, **fields: Any) -> documents.Member:
        kind = documents.MemberKind.BALANCER
        return member(number, "", kind=kind, **fields)

    def test_serving_ones_count(self) -> None:
        pairs = [(self.balancer(n), said()) for n in (1, 2, 3)]
        self.assertEqual(3, self.count(*pairs, (member(4), said())))

    def test_others_do_not(self) -> None:
        pairs = [
            (self.balancer(1), said()),
            (self.balancer(2), said(lost=True)),
            (self.balancer(3, departed=True), said()),
            (self.balancer(4, data_centre="dc2"), said()),
            (self.balancer(5), None),
        ]
        self.assertEqual(1, self.count(*pairs, out=("dc2",)))

    def test_at_least_one(self) -> None:
        self.assertEqual(1, self.count((member(4), said())))


class TestMembers(unittest.TestCase):
    """A member that may not serve must get no new flows."""

    def only(self, listed: documents.Member, **rules: Any) -> routing.Target:
        table = build((listed, said()), rules=attrs.evolve(RULES, **rules))
        self.assertEqual(9, table.version)
        return table.target_by_id[listed.member_id]

    def test_plain_target(self) -> None:
        target = self.only(member(1, weight=2.0))
        self.assertTrue(target.eligible)
        self.assertEqual(
            (1, "dc1", addresses.Address("10.0.0.1", 1), 2.0, (1, 0)),
            (
                target.service_id,
                target.data_centre,
                target.address,
                target.weight,
                target.announcement_order,
            ),
        )

    def test_draining(self) -> None:
        target = self.only(member(1, draining=True))
        self.assertTrue(target.draining)
        self.assertFalse(target.eligible)

    def test_data_centre_out(self) -> None:
        target = self.only(member(1), out=("dc1",))
        self.assertTrue(target.data_centre_out)
        self.assertFalse(target.eligible)

    def test_target_that_announces_its_drain_is_not_eligible(self) -> None:
        listed = member(1)
        table = build((listed, said(draining=True)))
        self.assertTrue(table.target_by_id[listed.member_id].draining)
        self.assertEqual({}, table.eligible_by_service)

    def test_lost(self) -> None:
        listed = member(1)
        table = build((listed, said(lost=True)))
        self.assertTrue(table.target_by_id[listed.member_id].lost)
        self.assertEqual(set(), eligible_ids(table))

    def test_not_announced(self) -> None:
        listed = member(1)
        table = build((listed, None))
        self.assertIsNone(table.target_by_id[listed.member_id].address)
        self.assertEqual(set(), eligible_ids(table))

    def test_departed_is_unknown(self) -> None:
        table = build((member(1, departed=True), said()))
        self.assertEqual({}, table.target_by_id)

    def test_departed_key_listed_again_is_unknown(self) -> None:
        table = build(
            (member(1, departed=True), said()),
            (member(1, "styledesk"), said()),
        )
        self.assertEqual({}, table.target_by_id)

    def test_listed_twice_in_one_service(self) -> None:
        plain = member(1)
        for other, expected in (
            (member(1, departed=True), []),
            (member(1, draining=True), [(True, 1.0)]),
            (member(1, weight=2.0), [(False, 1.0)]),
        ):
            for pair in ((plain, other), (other, plain)):
                table = build(*[(listed, said()) for listed in pair])
                found = [
                    (target.draining, target.weight)
                    for target in table.target_by_id.values()
                ]
                self.assertEqual(expected, found)

    def test_balancer_is_no_target(self) -> None:
        listed = member(1, kind=documents.MemberKind.BALANCER)
        self.assertEqual({}, build((listed, said())).target_by_id)

    def test_without_pair_key(self) -> None:
        listed = member(1)
        table = routing.build_table(
            version=9,
            rules=RULES,
            service_by_name=SERVICES,
            members=[listed],
            announcement_by_id={listed.member_id: said()},
            pair_key_by_id={},
        )
        self.assertEqual({}, table.target_by_id)

    def test_return_time_is_passed_on(self) -> None:
        rules = attrs.evolve(RULES, return_seconds=7.0)
        self.assertEqual(7.0, build(rules=rules).return_seconds)


class TestIdentityConflicts(unittest.TestCase):
    """An ambiguous identity would let packets cross into a service."""

    def assert_conflict(
        self, table: routing.RoutingTable, kind: routing.ConflictKind
    ) -> None:
        self.assertEqual({}, table.target_by_id)
        self.assertEqual({kind}, {c.kind for c in table.conflicts})

    def test_one_key_in_two_services(self) -> None:
        table = build((member(1), said()), (member(1, "permit-desk"), said()))
        self.assert_conflict(table, routing.ConflictKind.KEY)

    def test_id_that_is_not_the_digest_of_the_key(self) -> None:
        table = build((member(1, member_id=99), said()))
        self.assert_conflict(table, routing.ConflictKind.ID)

    def test_two_services_with_one_id(self) -> None:
        services = {
            **SERVICES,
            "permit-desk": documents.Service("permit-desk", 1),
        }
        table = build(
            (member(1), said()),
            (member(2, "permit-desk"), said(port=2)),
            services=services,
        )
        self.assert_conflict(table, routing.ConflictKind.SERVICE)

    def test_unknown_service(self) -> None:
        table = build((member(1, "other"), said()))
        self.assert_conflict(table, routing.ConflictKind.SERVICE)


class TestSharedAddress(unittest.TestCase):
    """A replaced VM must not get packets meant for the old target."""

    def test_later_start_has_the_address(self) -> None:
        old, new = member(1), member(2)
        table = build((old, said(start=5)), (new, said(start=6)))
        self.assertEqual({new.member_id}, eligible_ids(table))
        self.assertIsNone(table.target_by_id[old.member_id].address)
        self.assertEqual(
            (routing.Conflict(routing.ConflictKind.ADDRESS, old.member_id),),
            table.conflicts,
        )

    def test_equal_starts_leave_it_to_none(self) -> None:
        table = build((member(1), said()), (member(2), said()))
        self.assertEqual(set(), eligible_ids(table))

    def test_lost_member_does_not_hold_it(self) -> None:
        old, new = member(1), member(2)
        table = build((old, said(start=5)), (new, said(start=6, lost=True)))
        self.assertEqual({old.member_id}, eligible_ids(table))

    def test_departed_member_does_not_hold_it(self) -> None:
        old, new = member(1), member(2, departed=True)
        table = build((old, said(start=5)), (new, said(start=6)))
        self.assertEqual({old.member_id}, eligible_ids(table))

    def test_other_spelling_of_one_address(self) -> None:
        old, new = member(1), member(2)
        table = build(
            (old, said(start=5)), (new, said("::ffff:10.0.0.1", start=6))
        )
        self.assertEqual({new.member_id}, eligible_ids(table))


class TestApart(unittest.TestCase):
    """Targets of services that stay apart must not share a VM."""

    first = member(1)
    second = member(2, "permit-desk")

    def eligible_with(self, **fields: Any) -> set[int]:
        table = build(
            (self.first, said(port=1, start=1)),
            (self.second, said(port=2, start=2, **fields)),
        )
        return eligible_ids(table)

    def test_earlier_announcement_keeps_the_vm(self) -> None:
        self.assertEqual({self.first.member_id}, self.eligible_with())

    def test_established_flows_of_the_later_one_go_on(self) -> None:
        table = build(
            (self.first, said(port=1, start=1)),
            (self.second, said(port=2, start=2)),
        )
        later = table.target_by_id[self.second.member_id]
        self.assertTrue(later.shares_vm)
        self.assertIsNotNone(later.address)

    def test_host_tells_the_vm_not_the_address(self) -> None:
        self.assertEqual(2, len(self.eligible_with(host="10.0.0.2")))

    def test_other_spelling_is_the_same_vm(self) -> None:
        self.assertEqual(
            {self.first.member_id},
            self.eligible_with(host="::ffff:10.0.0.1"),
        )

    def test_lost_one_does_not_hold_the_vm(self) -> None:
        table = build(
            (self.first, said(port=1, start=1, lost=True)),
            (self.second, said(port=2, start=2)),
        )
        self.assertEqual({self.second.member_id}, eligible_ids(table))

    def test_draining_one_holds_the_vm(self) -> None:
        table = build(
            (member(1, draining=True), said(port=1, start=1)),
            (self.second, said(port=2, start=2)),
        )
        self.assertEqual(set(), eligible_ids(table))

    def test_other_services_may_share(self) -> None:
        table = build(
            (self.first, said(port=1)),
            (member(2, "styledesk"), said(port=2)),
            (member(3), said(port=3)),
        )
        self.assertEqual(3, len(eligible_ids(table)))


class TestAgreement(unittest.TestCase):
    """Balancers that disagree would undo each other's choices."""

    @hypothesis.given(strategies.data())
    def test_order_of_arguments_does_not_matter(
        self, data: strategies.DataObject
    ) -> None:
        names = strategies.sampled_from(list(SERVICES))
        pairs = [
            (
                member(
                    data.draw(strategies.integers(1, 6)),
                    data.draw(names),
                    departed=data.draw(strategies.sampled_from([0, 0, 1])),
                    draining=data.draw(strategies.booleans()),
                ),
                said(
                    f"10.0.0.{data.draw(strategies.integers(1, 2))}",
                    data.draw(strategies.integers(1, 2)),
                    data.draw(strategies.integers(1, 3)),
                    lost=data.draw(strategies.booleans()),
                ),
            )
            for _ in range(data.draw(strategies.integers(0, 8)))
        ]
        said_by_id = {listed.member_id: words for listed, words in pairs}
        pairs = [(listed, said_by_id[listed.member_id]) for listed, _ in pairs]
        shuffled = list(pairs)
        random.Random(data.draw(strategies.integers(0, 99))).shuffle(shuffled)
        table = build(*pairs)
        self.assertEqual(table, build(*shuffled))
        self.check(table)

    def check(self, table: routing.RoutingTable) -> None:
        """Checks what must hold in any table."""
        vms: dict[str, set[int]] = {}
        owners: dict[addresses.Address, int] = {}
        for targets in table.eligible_by_service.values():
            for target in targets:
                assert target.address is not None
                self.assertNotIn(target.address, owners)
                owners[target.address] = target.member_id
                present = vms.setdefault(target.address.host, set())
                present.add(target.service_id)
                self.assertNotEqual({1, 2}, present & {1, 2})
