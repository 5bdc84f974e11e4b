"""Tests of building the routing table from the configuration."""

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


def announcement(
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
            listed.member_id: announced
            for listed, announced in pairs
            if announced is not None
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
    """The number of balancers scales the openings in flight."""

    def count(self, *pairs: Any, **rules: Any) -> int:
        return views.count_serving_balancers(
            attrs.evolve(RULES, **rules),
            {listed.member_id: listed for listed, _ in pairs},
            {
                listed.member_id: announced
                for listed, announced in pairs
                if announced
            },
        )

    def balancer(self, number: int, **fields: Any) -> documents.Member:
        kind = documents.MemberKind.BALANCER
        return member(number, "", kind=kind, **fields)

    def test_serving_balancers_are_counted(self) -> None:
        pairs = [(self.balancer(n), announcement()) for n in (1, 2, 3)]
        self.assertEqual(3, self.count(*pairs, (member(4), announcement())))

    def test_balancers_that_do_not_serve_are_not_counted(self) -> None:
        pairs = [
            (self.balancer(1), announcement()),
            (self.balancer(2), announcement(lost=True)),
            (self.balancer(3, departed=True), announcement()),
            (self.balancer(4, data_centre="dc2"), announcement()),
            (self.balancer(5), None),
        ]
        self.assertEqual(1, self.count(*pairs, out=("dc2",)))

    def test_count_is_at_least_one(self) -> None:
        self.assertEqual(1, self.count((member(4), announcement())))


class TestMembers(unittest.TestCase):
    """A target that may not serve must get no new flows."""

    def only(self, listed: documents.Member, **rules: Any) -> routing.Target:
        table = build(
            (listed, announcement()), rules=attrs.evolve(RULES, **rules)
        )
        self.assertEqual(9, table.version)
        return table.target_by_id[listed.member_id]

    def test_announced_target_is_eligible(self) -> None:
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

    def test_draining_target_is_not_eligible(self) -> None:
        target = self.only(member(1, draining=True))
        self.assertTrue(target.draining)
        self.assertFalse(target.eligible)

    def test_target_in_a_data_centre_that_is_out_is_not_eligible(self) -> None:
        target = self.only(member(1), out=("dc1",))
        self.assertTrue(target.data_centre_out)
        self.assertFalse(target.eligible)

    def test_target_that_announces_its_drain_is_not_eligible(self) -> None:
        listed = member(1)
        table = build((listed, announcement(draining=True)))
        self.assertTrue(table.target_by_id[listed.member_id].draining)
        self.assertEqual({}, table.eligible_by_service)

    def test_lost_target_is_not_eligible(self) -> None:
        listed = member(1)
        table = build((listed, announcement(lost=True)))
        self.assertTrue(table.target_by_id[listed.member_id].lost)
        self.assertEqual(set(), eligible_ids(table))

    def test_unannounced_target_is_not_eligible(self) -> None:
        listed = member(1)
        table = build((listed, None))
        self.assertIsNone(table.target_by_id[listed.member_id].address)
        self.assertEqual(set(), eligible_ids(table))

    def test_departed_member_is_excluded(self) -> None:
        table = build((member(1, departed=True), announcement()))
        self.assertEqual({}, table.target_by_id)

    def test_departed_key_listed_again_is_excluded(self) -> None:
        table = build(
            (member(1, departed=True), announcement()),
            (member(1, "styledesk"), announcement()),
        )
        self.assertEqual({}, table.target_by_id)

    def test_entries_of_one_member_are_merged(self) -> None:
        unchanged = member(1)
        for other, expected in (
            (member(1, departed=True), []),
            (member(1, draining=True), [(True, 1.0)]),
            (member(1, weight=2.0), [(False, 1.0)]),
        ):
            for pair in ((unchanged, other), (other, unchanged)):
                table = build(*[(listed, announcement()) for listed in pair])
                actual = [
                    (target.draining, target.weight)
                    for target in table.target_by_id.values()
                ]
                self.assertEqual(expected, actual)

    def test_balancer_is_excluded(self) -> None:
        listed = member(1, kind=documents.MemberKind.BALANCER)
        self.assertEqual({}, build((listed, announcement())).target_by_id)

    def test_member_without_pair_key_is_excluded(self) -> None:
        listed = member(1)
        table = routing.build_table(
            version=9,
            rules=RULES,
            service_by_name=SERVICES,
            members=[listed],
            announcement_by_id={listed.member_id: announcement()},
            pair_key_by_id={},
        )
        self.assertEqual({}, table.target_by_id)

    def test_table_has_the_return_time(self) -> None:
        rules = attrs.evolve(RULES, return_seconds=7.0)
        self.assertEqual(7.0, build(rules=rules).return_seconds)


class TestIdentityConflicts(unittest.TestCase):
    """An ambiguous identity could route packets into another service."""

    def assert_conflict(
        self, table: routing.RoutingTable, kind: routing.ConflictKind
    ) -> None:
        self.assertEqual({}, table.target_by_id)
        self.assertEqual({kind}, {c.kind for c in table.conflicts})

    def test_key_listed_in_two_services_is_excluded(self) -> None:
        table = build(
            (member(1), announcement()),
            (member(1, "permit-desk"), announcement()),
        )
        self.assert_conflict(table, routing.ConflictKind.KEY)

    def test_id_other_than_the_digest_of_the_key_is_excluded(self) -> None:
        table = build((member(1, member_id=99), announcement()))
        self.assert_conflict(table, routing.ConflictKind.ID)

    def test_services_with_the_same_id_are_excluded(self) -> None:
        services = {
            **SERVICES,
            "permit-desk": documents.Service("permit-desk", 1),
        }
        table = build(
            (member(1), announcement()),
            (member(2, "permit-desk"), announcement(port=2)),
            services=services,
        )
        self.assert_conflict(table, routing.ConflictKind.SERVICE)

    def test_member_of_an_unknown_service_is_excluded(self) -> None:
        table = build((member(1, "other"), announcement()))
        self.assert_conflict(table, routing.ConflictKind.SERVICE)


class TestSharedAddress(unittest.TestCase):
    """A new VM must not get packets for the target that it replaced."""

    def test_latest_start_gets_the_address(self) -> None:
        old, new = member(1), member(2)
        table = build(
            (old, announcement(start=5)), (new, announcement(start=6))
        )
        self.assertEqual({new.member_id}, eligible_ids(table))
        self.assertIsNone(table.target_by_id[old.member_id].address)
        self.assertEqual(
            (routing.Conflict(routing.ConflictKind.ADDRESS, old.member_id),),
            table.conflicts,
        )

    def test_equal_starts_give_the_address_to_none(self) -> None:
        table = build((member(1), announcement()), (member(2), announcement()))
        self.assertEqual(set(), eligible_ids(table))

    def test_lost_member_does_not_own_the_address(self) -> None:
        old, new = member(1), member(2)
        table = build(
            (old, announcement(start=5)),
            (new, announcement(start=6, lost=True)),
        )
        self.assertEqual({old.member_id}, eligible_ids(table))

    def test_departed_member_does_not_own_the_address(self) -> None:
        old, new = member(1), member(2, departed=True)
        table = build(
            (old, announcement(start=5)), (new, announcement(start=6))
        )
        self.assertEqual({old.member_id}, eligible_ids(table))

    def test_spellings_of_an_address_are_equal(self) -> None:
        old, new = member(1), member(2)
        table = build(
            (old, announcement(start=5)),
            (new, announcement("::ffff:10.0.0.1", start=6)),
        )
        self.assertEqual({new.member_id}, eligible_ids(table))


class TestApart(unittest.TestCase):
    """Targets of services that stay apart must not share a VM."""

    first = member(1)
    second = member(2, "permit-desk")

    def eligible_with(self, **fields: Any) -> set[int]:
        table = build(
            (self.first, announcement(port=1, start=1)),
            (self.second, announcement(port=2, start=2, **fields)),
        )
        return eligible_ids(table)

    def test_earliest_start_keeps_the_vm(self) -> None:
        self.assertEqual({self.first.member_id}, self.eligible_with())

    def test_later_target_keeps_its_established_flows(self) -> None:
        table = build(
            (self.first, announcement(port=1, start=1)),
            (self.second, announcement(port=2, start=2)),
        )
        second = table.target_by_id[self.second.member_id]
        self.assertTrue(second.shares_vm)
        self.assertIsNotNone(second.address)

    def test_targets_on_different_hosts_do_not_conflict(self) -> None:
        self.assertEqual(2, len(self.eligible_with(host="10.0.0.2")))

    def test_spellings_of_a_host_are_the_same_vm(self) -> None:
        self.assertEqual(
            {self.first.member_id},
            self.eligible_with(host="::ffff:10.0.0.1"),
        )

    def test_lost_target_does_not_keep_the_vm(self) -> None:
        table = build(
            (self.first, announcement(port=1, start=1, lost=True)),
            (self.second, announcement(port=2, start=2)),
        )
        self.assertEqual({self.second.member_id}, eligible_ids(table))

    def test_draining_target_keeps_the_vm(self) -> None:
        table = build(
            (member(1, draining=True), announcement(port=1, start=1)),
            (self.second, announcement(port=2, start=2)),
        )
        self.assertEqual(set(), eligible_ids(table))

    def test_other_services_may_share_a_vm(self) -> None:
        table = build(
            (self.first, announcement(port=1)),
            (member(2, "styledesk"), announcement(port=2)),
            (member(3), announcement(port=3)),
        )
        self.assertEqual(3, len(eligible_ids(table)))


class TestAgreement(unittest.TestCase):
    """All balancers must build the same table."""

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
                announcement(
                    f"10.0.0.{data.draw(strategies.integers(1, 2))}",
                    data.draw(strategies.integers(1, 2)),
                    data.draw(strategies.integers(1, 3)),
                    lost=data.draw(strategies.booleans()),
                ),
            )
            for _ in range(data.draw(strategies.integers(0, 8)))
        ]
        announcement_by_member = {
            listed.member_id: announced for listed, announced in pairs
        }
        pairs = [
            (listed, announcement_by_member[listed.member_id])
            for listed, _ in pairs
        ]
        shuffled = list(pairs)
        random.Random(data.draw(strategies.integers(0, 99))).shuffle(shuffled)
        table = build(*pairs)
        self.assertEqual(table, build(*shuffled))
        self.check(table)

    def check(self, table: routing.RoutingTable) -> None:
        """Checks the invariants of every table."""
        services_by_host: dict[str, set[int]] = {}
        owner_by_address: dict[addresses.Address, int] = {}
        for targets in table.eligible_by_service.values():
            for target in targets:
                assert target.address is not None
                self.assertNotIn(target.address, owner_by_address)
                owner_by_address[target.address] = target.member_id
                services = services_by_host.setdefault(
                    target.address.host, set()
                )
                services.add(target.service_id)
                self.assertNotEqual({1, 2}, services & {1, 2})
