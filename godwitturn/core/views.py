"""Inputs of routing and policies of agents, built from a configuration."""

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
    """Cache of pair keys, each computed once for a public key.

    Attributes:
        compute: Returns the pair key for a member's public key. It may raise
            ValueError or RuntimeError for a key without one.
    """

    compute: PairKeyOf
    _pair_key_by_public_key: dict[bytes, bytes | None] = attrs.field(
        factory=dict
    )

    def for_members(
        self, members: Mapping[identity.MemberId, documents.Member]
    ) -> dict[identity.MemberId, bytes]:
        """Returns the pair keys of members, and evicts all others."""
        kept: dict[bytes, bytes | None] = {}
        for member in members.values():
            key = member.public_key
            if key in self._pair_key_by_public_key:
                kept[key] = self._pair_key_by_public_key[key]
            else:
                kept[key] = self._compute_or_none(key)
        self._pair_key_by_public_key = kept
        key_by_id = {
            member_id: kept[member.public_key]
            for member_id, member in members.items()
        }
        return {key: value for key, value in key_by_id.items() if value}

    def _compute_or_none(self, public_key: bytes) -> bytes | None:
        # X25519 rejects low-order points. A member with such a key must not
        # prevent routing to the others.
        try:
            return self.compute(public_key)
        except (ValueError, RuntimeError):
            return None


@attrs.frozen
class RoutingInputs:
    """Inputs of a balancer's routing table.

    Attributes:
        version: Version of the configuration.
        rules: The rules.
        service_by_name: Services by name.
        members: Approved targets.
        announcement_by_id: Announcements of approved targets, by member id.
        pair_key_by_id: Pair keys of the approved targets.
        balancer_count: Count of balancers that serve, at least 1.
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
    """Returns the count of balancers that openings are distributed over.

    It is at least 1, for the balancer that counts. A balancer that is approved
    but has announced nothing does not run yet.

    Args:
        rules: The rules in force.
        approved: Approved members.
        announcements: Announcements by member id.
    """
    balancers = of_kind(approved, documents.MemberKind.BALANCER)
    serving = [
        member_id
        for member_id, member in balancers.items()
        if not member.departed
        and member.data_centre not in rules.out
        and (announcement := announcements.get(member_id))
        and announcement.state != membership.MemberState.LOST
    ]
    return max(1, len(serving))


def routing_inputs(
    configuration: configurations.Configuration,
    approved: Mapping[identity.MemberId, documents.Member],
    announcements: Mapping[identity.MemberId, membership.Announcement],
    pair_keys: PairKeys,
) -> RoutingInputs:
    """Returns the inputs of a balancer's routing table.

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
        pair_keys.for_members(targets),
        count_serving_balancers(configuration.rules, approved, announcements),
    )


def agent_policy(
    configuration: configurations.Configuration,
    approved: Mapping[identity.MemberId, documents.Member],
    member_id: identity.MemberId,
    pair_keys: PairKeys,
) -> policies.AgentPolicy:
    """Returns the policy that a configuration sets for one agent.

    For an agent that is not approved, or whose service has no document, this
    is a policy that is not approved and allows no work.

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
        pair_keys.for_members(balancers),
    )
