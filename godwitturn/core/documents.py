"""Types of the documents in the platform's store."""

import enum

import attrs

from godwitturn.core import identity


class MemberKind(enum.StrEnum):
    """Role of a member."""

    BALANCER = "balancer"
    TARGET = "target"


@attrs.frozen
class Approval:
    """A team's signature over a member's statement.

    Attributes:
        team: Name of the team.
        signature: Ed25519 signature, 64 bytes.
        sequence: One more than that of the team's last withdrawal, 0 if the
            team never withdrew.
    """

    team: str
    signature: bytes
    sequence: int = 0


@attrs.frozen
class Withdrawal:
    """A team's signature that ends its approvals of a member.

    Attributes:
        team: Name of the team.
        signature: Ed25519 signature, 64 bytes.
        sequence: Approvals of the team up to this sequence are void.
    """

    team: str
    signature: bytes
    sequence: int = 0


@attrs.frozen
class Member:
    """A balancer or target that the operators listed.

    Attributes:
        member_id: Digest of the public key, see `identity.member_id_of`.
        name: Name from the inventory.
        kind: Balancer or target.
        service: Name of the service; empty for a balancer.
        data_centre: Where it runs.
        public_key: X25519 public key, 32 bytes.
        approvals: One for each team that approved it.
        weight: Share of new flows relative to other targets.
        draining: Whether operators drain it.
        departed: Whether it was removed for good; its id is never reused.
        withdrawals: Last withdrawal of each team that ever withdrew. It is
            kept after a new approval, so that the older approval cannot be
            replayed.
    """

    member_id: identity.MemberId
    name: str
    kind: MemberKind
    service: str
    data_centre: str
    public_key: bytes
    approvals: tuple[Approval, ...] = ()
    weight: float = 1.0
    draining: bool = False
    departed: bool = False
    withdrawals: tuple[Withdrawal, ...] = ()

    @classmethod
    def from_public_key(
        cls,
        public_key: bytes,
        *,
        name: str,
        kind: MemberKind,
        service: str,
        data_centre: str,
        weight: float = 1.0,
    ) -> "Member":
        """Returns the record of a new member, without approvals."""
        return cls(
            identity.member_id_of(public_key),
            name,
            kind,
            service,
            data_centre,
            public_key,
            weight=weight,
        )


@attrs.frozen
class Service:
    """A service and the limits of each of its targets.

    Attributes:
        name: Name given by the operators.
        service_id: Id in packets and tokens, 1 to 65,535.
        connection_limit: Flows that may be open at a warm target.
        slots: Requests that a target runs at once.
    """

    name: str
    service_id: int
    connection_limit: int = 2000
    slots: int = 1


@attrs.frozen
class Rules:
    """Rules that apply to the whole deployment.

    Attributes:
        data_centres: All data centres.
        out: Data centres that operators have taken out of service.
        apart: Pairs of services whose targets never share a VM.
        cold_fraction: Share of the warm limits at a cold start, 0 to 1.
        ramp_seconds: Seconds from a cold start to full limits.
        return_seconds: Seconds over which the placement weight of a data
            centre rises once it is back in service.
    """

    data_centres: tuple[str, ...] = ()
    out: tuple[str, ...] = ()
    apart: tuple[tuple[str, str], ...] = ()
    cold_fraction: float = 0.1
    ramp_seconds: float = 30.0
    return_seconds: float = 30.0


@attrs.frozen
class MemberList:
    """Value of `members/<service>` and `balancers/<data centre>`."""

    members: tuple[Member, ...] = ()
