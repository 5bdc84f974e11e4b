"""Test data of the control plane: keys, members, documents and daemons."""

import hashlib
import random
from typing import Any

import attrs
import msgspec
from nacl import signing

from godwitturn.core import addresses
from godwitturn.core import approval
from godwitturn.core import configuration
from godwitturn.core import control_events
from godwitturn.core import distribution
from godwitturn.core import documents
from godwitturn.core import identity

DEPLOYMENT = "test"
TEAM_SIGNING_KEYS = {
    team: signing.SigningKey(hashlib.sha256(team.encode()).digest())
    for team in ("north", "south")
}
TEAM_KEYS = {
    team: bytes(key.verify_key) for team, key in TEAM_SIGNING_KEYS.items()
}


def public_key(name: str) -> bytes:
    """Returns a public key derived from the name; it has no secret key."""
    return hashlib.sha256(name.encode()).digest()


def member_id(name: str) -> identity.MemberId:
    """Returns the id of the member whose public key is `public_key(name)`."""
    return identity.member_id_of(public_key(name))


def document(
    key: str, revision: int, value: Any
) -> configuration.VersionedDocument:
    """Returns a store document that contains an encoded value."""
    body = msgspec.msgpack.encode(value)
    return configuration.VersionedDocument(key, revision, body)


def signed(
    member: documents.Member, teams: tuple[str, ...] = ("north", "south")
) -> documents.Member:
    """Returns a copy of a member with the approvals of these teams only."""
    statement = approval.approval_statement(DEPLOYMENT, member)
    approvals = tuple(
        documents.Approval(
            team, TEAM_SIGNING_KEYS[team].sign(statement).signature
        )
        for team in teams
    )
    return attrs.evolve(member, approvals=approvals)


def target(name: str, service: str, data_centre: str) -> documents.Member:
    """Returns a target that no team has approved."""
    return documents.Member.from_public_key(
        public_key(name),
        name=name,
        kind=documents.MemberKind.TARGET,
        service=service,
        data_centre=data_centre,
    )


def balancer(name: str, data_centre: str) -> documents.Member:
    """Returns a balancer that no team has approved."""
    return documents.Member.from_public_key(
        public_key(name),
        name=name,
        kind=documents.MemberKind.BALANCER,
        service="",
        data_centre=data_centre,
    )


def fleet(
    balancers: int,
    agents: int,
    data_centres: tuple[str, ...] = ("east", "mid", "west"),
) -> list[documents.Member]:
    """Returns approved balancers b0, b1, ... and targets t0, t1, ...

    Both are distributed round-robin over the data centres.
    """
    count = len(data_centres)
    return [
        signed(balancer(f"b{i}", data_centres[i % count]))
        for i in range(balancers)
    ] + [
        signed(target(f"t{i}", "core", data_centres[i % count]))
        for i in range(agents)
    ]


@attrs.define(eq=False)
class Daemon:
    """A daemon of a simulated network, with a record of its actions.

    Attributes:
        member: The daemon's member document.
        node: Its control node.
        reads_store: Whether its store reader is started.
        has_unread_documents: Whether the store has documents that it has not
            read.
        reads: How often its store reader was started.
        is_paused: Whether events are buffered instead of handled.
        is_running: Whether it handles events; False after a restart.
        buffered_events: Events that arrived while it was paused, with the
            time in seconds at which each was sent.
        sent: Time in seconds, recipient's member id and data of each message.
        applied_revisions: Document revisions by key, for each change of the
            configuration.
        fence_changes: Time in seconds of each fence change, and whether the
            daemon was fenced then.
    """

    member: documents.Member
    node: distribution.ControlNode
    reads_store: bool = False
    has_unread_documents: bool = True
    reads: int = 0
    is_paused: bool = False
    is_running: bool = True
    buffered_events: list[tuple[Any, float]] = attrs.field(factory=list)
    sent: list[tuple[float, int, bytes]] = attrs.field(factory=list)
    applied_revisions: list[dict[str, int]] = attrs.field(factory=list)
    fence_changes: list[tuple[float, bool]] = attrs.field(factory=list)


def create_daemon(
    member: documents.Member,
    seeds: tuple[control_events.Seed, ...],
    generator: random.Random,
    now: float,
) -> Daemon:
    """Returns a newly started daemon, which has no configuration.

    Args:
        member: The daemon's member document.
        seeds: Its seeds.
        generator: Source of its incarnation and of its own random generator.
        now: Time in seconds.
    """
    settings = control_events.ControlSettings(
        DEPLOYMENT,
        member.kind,
        member.data_centre,
        member.public_key,
        TEAM_KEYS,
        seeds,
        incarnation=generator.getrandbits(32),
        start_number=int(now * 1000),
        service=member.service,
    )
    node_generator = random.Random(generator.getrandbits(32))
    return Daemon(member, distribution.ControlNode(settings, node_generator))


def put_fleet_documents(network: Any, members: list[documents.Member]) -> None:
    """Writes the documents of a fleet in three data centres to the store.

    The first three members become the seeds of daemons that start later.
    """
    network.put("rules", documents.Rules(("east", "mid", "west")))
    network.put("services/core", documents.Service("core", 1))
    members_by_key: dict[str, list[documents.Member]] = {}
    for member in members:
        key = f"members/{member.service}"
        if not member.service:
            key = f"balancers/{member.data_centre}"
        members_by_key.setdefault(key, []).append(member)
    for key, listed in sorted(members_by_key.items()):
        network.put(key, documents.MemberList(tuple(listed)))
    network.seeds = tuple(
        control_events.Seed(
            addresses.Address("127.0.0.1", 1 + i), member.public_key
        )
        for i, member in enumerate(members[:3])
    )
