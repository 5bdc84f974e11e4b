"""Cost of applying one change at the size to come, in the core.

Run as ``python -m benchmarks.bench_scale``. Each figure is the lowest of some
rounds; the ratio is to the same work at a tenth of the size, so 10 means that
the cost grows with the size and 1 that it doesn't.
"""

from collections.abc import Callable
import functools
import gc
import hashlib
import random
import time
import tracemalloc

import attrs
import msgspec
from nacl import signing

from benchmarks import measure
from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import approval
from godwitturn.core import balancer
from godwitturn.core import coalescing
from godwitturn.core import configuration as configurations
from godwitturn.core import control_events
from godwitturn.core import distribution
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import membership
from godwitturn.core import routing
from godwitturn.core import views
from godwitturn.protocol import control

SIZES = (0.1, 1.0)
TARGETS = 3700
BALANCERS = 530
SERVICES = 430
DATA_CENTRES = tuple(f"dc{n}" for n in range(5))
ROUNDS = 5
BURST_CHANGES = 25
BURSTS = {
    "25 changes in 1 s, each applied": False,
    "25 changes in 1 s, coalesced": True,
}
DEPLOYMENT = "scale"
TEAMS = {
    team: signing.SigningKey(hashlib.sha256(team.encode()).digest())
    for team in ("red", "blue", "green")
}
TEAM_KEYS = {team: bytes(key.verify_key) for team, key in TEAMS.items()}


def _member(name: str, service: str, data_centre: str) -> documents.Member:
    public_key = hashlib.sha256(name.encode()).digest()
    member = documents.Member(
        identity.member_id_of(public_key),
        name,
        documents.MemberKind.TARGET
        if service
        else documents.MemberKind.BALANCER,
        service,
        data_centre,
        public_key,
    )
    signed = approval.approval_statement(DEPLOYMENT, member)
    approvals = tuple(
        documents.Approval(team, key.sign(signed).signature)
        for team, key in TEAMS.items()
    )
    return attrs.evolve(member, approvals=approvals)


def _document(
    key: str, revision: int, value: object
) -> configurations.VersionedDocument:
    body = msgspec.msgpack.encode(value)
    return configurations.VersionedDocument(key, revision, body)


class Fleet:
    """Documents and announcements of a fleet.

    Attributes:
        values: Values of all documents by key.
        documents: The documents.
        announcement_by_id: What the targets announce.
    """

    def __init__(self, size: float) -> None:
        services = round(SERVICES * size)
        self.values: dict[str, object] = {
            configurations.RULES_KEY: documents.Rules(DATA_CENTRES)
        }
        for n in range(services):
            service = documents.Service(f"s{n}", n + 1)
            self.values[f"services/s{n}"] = service
        lists: dict[str, list[documents.Member]] = {}
        for n in range(round(TARGETS * size)):
            found = _member(f"t{n}", f"s{n % services}", DATA_CENTRES[n % 5])
            lists.setdefault(f"members/{found.service}", []).append(found)
        for n in range(round(BALANCERS * size)):
            found = _member(f"b{n}", "", DATA_CENTRES[n % 5])
            key = f"balancers/{found.data_centre}"
            lists.setdefault(key, []).append(found)
        for key, members in lists.items():
            self.values[key] = documents.MemberList(tuple(members))
        self.documents = [
            _document(key, n + 1, value)
            for n, (key, value) in enumerate(self.values.items())
        ]
        self.announcement_by_id = {
            member.member_id: _announcement(member, n)
            for n, member in enumerate(
                member for members in lists.values() for member in members
            )
            if member.service
        }


def _announcement(
    member: documents.Member, number: int
) -> membership.Announcement:
    host = f"10.0.{number // 250}.{number % 250}"
    return membership.Announcement(
        member.member_id,
        5,
        6,
        7,
        addresses.Address(host, 9000),
        membership.MemberState.SERVING,
    )


class Loaded:
    """A configuration, its approvals and the routing table from them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.configuration = configurations.Configuration()
        self.register = approval.ApprovalVerifier(DEPLOYMENT, TEAM_KEYS)
        self.pair_keys = views.PairKeys(lambda key: key)
        self.core = balancer.Balancer(member_id=1, token_keys=[], seed=1)
        self.approved: dict[identity.MemberId, documents.Member] = {}
        self.table = routing.EMPTY_TABLE
        self._revision = len(fleet.documents)

    def merge(self) -> None:
        """Merges all documents."""
        for document in self.fleet.documents:
            self.configuration.merge(document)
        self.configuration.mark_complete_through(self._revision)

    def change(self) -> None:
        """Merges one changed document."""
        self._revision += 1
        members = self.fleet.values["members/s0"]
        assert isinstance(members, documents.MemberList)
        first = attrs.evolve(members.members[0], weight=self._revision)
        value = documents.MemberList((first, *members.members[1:]))
        document = _document("members/s0", self._revision, value)
        self.configuration.merge(document)
        self.configuration.mark_complete_through(self._revision)

    def approve(self) -> None:
        """Verifies approvals."""
        self.approved = self.register.approved_members(self.configuration)

    def build(self) -> None:
        """Builds the routing table as the daemon does."""
        inputs = views.routing_inputs(
            self.configuration,
            self.approved,
            self.fleet.announcement_by_id,
            self.pair_keys,
        )
        self.table = inputs.build_table()

    def apply(self) -> None:
        """Puts the table in force."""
        self.core.handle(actions.RoutingChanged(self.table), now=0.0)


class Resting:
    """The control node of a balancer that knows the whole fleet.

    In each second it ticks ten times, confirms twice, and is asked by seven
    agents whether its announcements differ: a third of the 21 that are
    attached to it at the size, since an agent asks one of its three
    balancers.
    """

    ASKING_AGENTS = 7
    ANNOUNCEMENTS_IN_MESSAGE = 200

    def __init__(self, fleet: Fleet) -> None:
        lists = [
            value
            for value in fleet.values.values()
            if isinstance(value, documents.MemberList)
        ]
        members = [member for found in lists for member in found.members]
        balancers = [member for member in members if not member.service]
        self._agents = [m for m in members if m.service][: self.ASKING_AGENTS]
        settings = control_events.ControlSettings(
            deployment=DEPLOYMENT,
            kind=documents.MemberKind.BALANCER,
            data_centre=balancers[0].data_centre,
            public_key=balancers[0].public_key,
            team_keys=TEAM_KEYS,
            seeds=(),
            incarnation=1,
            start_number=1,
        )
        self._node = distribution.ControlNode(settings, random.Random(1))
        self._now = 0.0
        self._revision = len(fleet.documents)
        self._load(fleet, members, balancers[1].member_id)

    def _handle(self, event: control_events.ControlEvent) -> None:
        self._node.handle(event, now=self._now)

    def _load(
        self,
        fleet: Fleet,
        members: list[documents.Member],
        peer: identity.MemberId,
    ) -> None:
        while not self._node.reader.is_active:
            self._now += 0.1
            self._handle(actions.Tick())
        self._handle(
            control_events.DocumentsRead(
                tuple(fleet.documents), self._revision
            )
        )
        said = [_announcement(member, n) for n, member in enumerate(members)]
        for first in range(0, len(said), self.ANNOUNCEMENTS_IN_MESSAGE):
            page = said[first : first + self.ANNOUNCEMENTS_IN_MESSAGE]
            data = control.encode(
                control.AnnouncementBatch(tuple(page), relay=False)
            )
            self._handle(control_events.PeerMessage(peer, data))
        assert len(self._node.membership.announcement_by_id) >= len(said) - 1
        self.second()

    def second(self) -> None:
        """Lets one second pass in which nothing changes."""
        visible = self._node.membership.announcements_hash_for(
            self._agents[0].member_id
        )
        digest = control.encode(control.SyncDigest(visible))
        for tick in range(10):
            self._now += 0.1
            self._handle(actions.Tick())
            if tick % 5 == 0:
                confirmed = control_events.StoreConfirmed(self._revision, 0.0)
                self._handle(confirmed)
            if tick < len(self._agents):
                peer = self._agents[tick].member_id
                self._handle(control_events.PeerMessage(peer, digest))


def _timed(function: Callable[[], None]) -> float:
    started = time.process_time()
    function()
    return (time.process_time() - started) * 1e3


def _burst(loaded: Loaded, coalesced: bool) -> None:
    """Applies changes that arrive evenly within a second."""
    changes = coalescing.Coalescer()
    for number in range(BURST_CHANGES):
        now = number / BURST_CHANGES
        changes.record_change()
        if coalesced and not changes.is_due(now=now):
            continue
        started = time.process_time()
        loaded.build()
        loaded.apply()
        changes.record_applied(now=now, cost_s=time.process_time() - started)


def _memory(size: float) -> float:
    """Returns the bytes of a loaded configuration and its tables."""
    fleet = Fleet(size)
    tracemalloc.start()
    loaded = Loaded(fleet)
    loaded.merge()
    loaded.approve()
    loaded.build()
    loaded.apply()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def _measure(size: float) -> dict[str, list[float]]:
    fleet = Fleet(size)
    resting = Resting(fleet)
    found: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        second = "control node: one second at rest"
        found.setdefault(second, []).append(_timed(resting.second))
        loaded = Loaded(fleet)
        steps = [
            ("first load: merge", loaded.merge),
            ("first load: approvals, 3 teams", loaded.approve),
            ("first load: routing.build", loaded.build),
            ("first load: table in force", loaded.apply),
            ("one change: merge", loaded.change),
            ("one change: approvals", loaded.approve),
            ("one change: routing.build", loaded.build),
            ("one change: table in force", loaded.apply),
        ]
        for name, step in steps:
            found.setdefault(name, []).append(_timed(step))
        assert len(loaded.table.target_by_id) == round(TARGETS * size)
        for name, coalesced in BURSTS.items():
            step = functools.partial(_burst, loaded, coalesced)
            found.setdefault(name, []).append(_timed(step))
        found.setdefault("bytes of documents", []).append(
            float(sum(len(d.body) for d in fleet.documents))
        )
    found["bytes of memory"] = [_memory(size)]
    return found


def main() -> None:
    """Prints the cost of each step at both sizes."""
    small, large = [_measure(size) for size in SIZES]
    counts = [
        f"{round(TARGETS * size)} targets, {round(BALANCERS * size)} balancers"
        for size in SIZES
    ]
    rows = [["step (ms, or bytes)", "ratio", *counts, "spread"]]
    for name, values in large.items():
        least = min(small[name])
        rows.append(
            [
                name,
                f"{min(values) / least:.1f}" if least else "-",
                f"{least:.2f}",
                f"{min(values):.2f}",
                f"{min(values):.1f}-{max(values):.1f}",
            ]
        )
    measure.print_table(rows)


if __name__ == "__main__":
    main()
