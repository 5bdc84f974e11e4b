"""What balancers and agents need to know of a configuration."""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import membership
from godwitturn.core import policy as policies
from godwitturn.core import routing

PairKeyOf = Callable[[bytes], bytes]


@attrs.define
class PairKeys:
    """Pair keys by member, each computed once for a public key.

    Attributes:
        compute: Returns the pair key for a member's public key. It may raise
            ValueError for a key without one.
    """

    compute: PairKeyOf
    _by_public_key: dict[bytes, bytes | None] = attrs.field(factory=dict)

    def of(
        self, members: Mapping[identity.MemberId, documents.Member]
    ) -> dict[identity.MemberId, bytes]:
        """Returns the pair keys of members, and forgets all others."""
        kept: dict[bytes, bytes | None] = {}
        for member in members.values():
            key = member.public_key
            if key in self._by_public_key:
                kept[key] = self._by_public_key[key]
            else:
                kept[key] = self._computed(key)
        self._by_public_key = kept
        found = {
            member_id: kept[member.public_key]
            for member_id, member in members.items()
        }
        return {key: value for key, value in found.items() if value}

    def _computed(self, public_key: bytes) -> bytes | None:
        # X25519 rejects low-order points. One such member must not keep the
        # others from being routed to.
        try:
            return self.compute(public_key)
        except (ValueError, RuntimeError):
            return None


@attrs.frozen
class RoutingInputs:
    """What a balancer builds its routing table from.

    Attributes:
        version: Version of the configuration.
        rules: The rules.
        service_by_name: Services by name.
        members: Approved targets.
        announcement_by_id: What approved targets announce, by member id.
        pair_key_by_id: Pair keys of the approved targets.
        balancers: Count of balancers that serve, at least 1.
    """

    version: int
    rules: documents.Rules
    service_by_name: Mapping[str, documents.Service]
    members: tuple[documents.Member, ...]
    announcement_by_id: Mapping[identity.MemberId, membership.Announcement]
    pair_key_by_id: Mapping[identity.MemberId, bytes] = attrs.field(repr=False)
    balancer_count: int = 1

    def build_table(
        self, *, own_data_centre: str = ""
    ) -> routing.RoutingTable:
        """Builds the routing table, see `routing.build_table`."""
        return routing.build_table(
            version=self.version,
            rules=self.rules,
            service_by_name=self.service_by_name,
            members=self.members,
            announcement_by_id=self.announcement_by_id,
            pair_key_by_id=self.pair_key_by_id,
            own_data_centre=own_data_centre,
            balancer_count=self.balancer_count,
        )


def of_kind(
    approved: Mapping[identity.MemberId, documents.Member],
    kind: documents.MemberKind,
) -> dict[identity.MemberId, documents.Member]:
    """Returns the members of one kind."""
    return {
        member_id: member
        for member_id, member in approved.items()
        if member.kind == kind
    }


def count_serving_balancers(
    rules: documents.Rules,
    approved: Mapping[identity.MemberId, documents.Member],
    announcements: Mapping[identity.MemberId, membership.Announcement],
) -> int:
    """Returns the count of balancers that openings are sprayed over.

    It is at least 1, for the balancer that asks. One that is approved but has
    announced nothing does not run yet.

    Args:
        rules: The rules in force.
        approved: Approved members.
        announcements: Announcements by member id.
    """
    found = of_kind(approved, documents.MemberKind.BALANCER)
    serving = [
        member_id
        for member_id, member in found.items()
        if not member.departed
        and member.data_centre not in rules.out
        and (said := announcements.get(member_id))
        and said.state != membership.MemberState.LOST
    ]
    return max(1, len(serving))


def routing_inputs(
    configuration: configurations.Configuration,
    approved: Mapping[identity.MemberId, documents.Member],
    announcements: Mapping[identity.MemberId, membership.Announcement],
    pair_keys: PairKeys,
) -> RoutingInputs:
    """Returns what a balancer builds its routing table from.

    Args:
        configuration: The configuration in force.
        approved: Its approved members, see `approval.ApprovalVerifier`.
        announcements: Announcements by member id.
        pair_keys: Pair keys of this balancer.
    """
    targets = of_kind(approved, documents.MemberKind.TARGET)
    return RoutingInputs(
        configuration.complete_through,
        configuration.rules,
        configuration.service_by_name,
        tuple(targets.values()),
        {
            member_id: announcement
            for member_id, announcement in announcements.items()
            if member_id in targets
        },
        pair_keys.of(targets),
        count_serving_balancers(configuration.rules, approved, announcements),
    )


def agent_policy(
    configuration: configurations.Configuration,
    approved: Mapping[identity.MemberId, documents.Member],
    member_id: identity.MemberId,
    pair_keys: PairKeys,
) -> policies.AgentPolicy:
    """Returns what a configuration asks of one agent.

    An agent that is not approved, or whose service has no document, gets a
    policy that is not approved and has no limits to use.

    Args:
        configuration: The configuration in force.
        approved: Its approved members, see `approval.ApprovalVerifier`.
        member_id: The agent.
        pair_keys: Pair keys of this agent.
    """
    version = configuration.complete_through
    member = approved.get(member_id)
    if member is None or member.kind != documents.MemberKind.TARGET:
        return attrs.evolve(policies.CLOSED, version=version)
    service = configuration.service_by_name.get(member.service)
    if service is None:
        return attrs.evolve(policies.CLOSED, version=version)
    rules = configuration.rules
    balancers = of_kind(approved, documents.MemberKind.BALANCER)
    return policies.AgentPolicy(
        version,
        True,
        member.data_centre in rules.out,
        member.draining,
        service.connection_limit,
        service.slots,
        rules.cold_fraction,
        rules.ramp_seconds,
        pair_keys.of(balancers),
    )
