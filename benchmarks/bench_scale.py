"""Measures the cost of applying changes in the core at the planned size.

Run as ``python -m benchmarks.bench_scale``. Each figure is the lowest of some
rounds. The ratio compares it with the same work at a tenth of the size, so 10
means that the cost grows in proportion to the size and 1 that it doesn't grow.
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

SCALES = (0.1, 1.0)
TARGETS = 3700
BALANCERS = 530
SERVICES = 430
DATA_CENTRES = tuple(f"dc{n}" for n in range(5))
ROUNDS = 5
BURST_CHANGES = 25
COALESCED_BY_BURST = {
    "25 changes in 1 s, each applied": False,
    "25 changes in 1 s, coalesced": True,
}
DEPLOYMENT = "scale"
SIGNING_KEY_BY_TEAM = {
    team: signing.SigningKey(hashlib.sha256(team.encode()).digest())
    for team in ("red", "blue", "green")
}
PUBLIC_KEY_BY_TEAM = {
    team: bytes(key.verify_key) for team, key in SIGNING_KEY_BY_TEAM.items()
}


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
    statement = approval.approval_statement(DEPLOYMENT, member)
    approvals = tuple(
        documents.Approval(team, key.sign(statement).signature)
        for team, key in SIGNING_KEY_BY_TEAM.items()
    )
    return attrs.evolve(member, approvals=approvals)


def _document(
    key: str, revision: int, value: object
) -> configurations.VersionedDocument:
    body = msgspec.msgpack.encode(value)
    return configurations.VersionedDocument(key, revision, body)


class Fleet:
    """Documents and announcements of a fleet.

    Its size is the planned one, multiplied by a scale.

    Attributes:
        value_by_key: Decoded value of each document.
        documents: The documents, encoded and with revisions.
        announcement_by_id: Announcement of each target, by member id.
    """

    def __init__(self, scale: float) -> None:
        services = round(SERVICES * scale)
        self.value_by_key: dict[str, object] = {
            configurations.RULES_KEY: documents.Rules(DATA_CENTRES)
        }
        for n in range(services):
            service = documents.Service(f"s{n}", n + 1)
            self.value_by_key[f"services/s{n}"] = service
        members_by_key: dict[str, list[documents.Member]] = {}
        for n in range(round(TARGETS * scale)):
            target = _member(f"t{n}", f"s{n % services}", DATA_CENTRES[n % 5])
            members_by_key.setdefault(f"members/{target.service}", []).append(
                target
            )
        for n in range(round(BALANCERS * scale)):
            balancer_member = _member(f"b{n}", "", DATA_CENTRES[n % 5])
            key = f"balancers/{balancer_member.data_centre}"
            members_by_key.setdefault(key, []).append(balancer_member)
        for key, members in members_by_key.items():
            self.value_by_key[key] = documents.MemberList(tuple(members))
        self.documents = [
            _document(key, n + 1, value)
            for n, (key, value) in enumerate(self.value_by_key.items())
        ]
        self.announcement_by_id = {
            member.member_id: _announcement(member, n)
            for n, member in enumerate(
                member
                for members in members_by_key.values()
                for member in members
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


class ConfigurationPipeline:
    """Steps from documents to a routing table in force.

    Each method is a step that is measured on its own.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.configuration = configurations.Configuration()
        self.verifier = approval.ApprovalVerifier(
            DEPLOYMENT, PUBLIC_KEY_BY_TEAM
        )
        self.pair_keys = views.PairKeys(lambda key: key)
        self.balancer = balancer.Balancer(member_id=1, token_keys=[], seed=1)
        self.approved: dict[identity.MemberId, documents.Member] = {}
        self.table = routing.EMPTY_TABLE
        self._revision = len(fleet.documents)

    def merge(self) -> None:
        """Merges all documents into the configuration."""
        for document in self.fleet.documents:
            self.configuration.merge(document)
        self.configuration.mark_complete_through(self._revision)

    def merge_change(self) -> None:
        """Merges a list of members in which one weight changed."""
        self._revision += 1
        members = self.fleet.value_by_key["members/s0"]
        assert isinstance(members, documents.MemberList)
        first = attrs.evolve(members.members[0], weight=self._revision)
        value = documents.MemberList((first, *members.members[1:]))
        document = _document("members/s0", self._revision, value)
        self.configuration.merge(document)
        self.configuration.mark_complete_through(self._revision)

    def verify_approvals(self) -> None:
        """Verifies the approvals of all members."""
        self.approved = self.verifier.approved_members(self.configuration)

    def build_table(self) -> None:
        """Builds the routing table as the daemon does."""
        inputs = views.routing_inputs(
            self.configuration,
            self.approved,
            self.fleet.announcement_by_id,
            self.pair_keys,
        )
        self.table = inputs.build_table()

    def apply_table(self) -> None:
        """Puts the table in force."""
        self.balancer.handle(actions.RoutingChanged(self.table), now=0.0)


class IdleControlNode:
    """Control node of a balancer that knows a whole fleet without changes.

    Each second it handles ten ticks, two confirmations of the store and seven
    digests of agents, which ask whether its announcements differ from theirs.
    Seven is a third of the 21 agents that are attached to a balancer at the
    planned size, since each agent asks one of its three balancers.
    """

    DIGESTS_PER_SECOND = 7
    ANNOUNCEMENTS_PER_MESSAGE = 200

    def __init__(self, fleet: Fleet) -> None:
        member_lists = [
            value
            for value in fleet.value_by_key.values()
            if isinstance(value, documents.MemberList)
        ]
        members = [
            member
            for member_list in member_lists
            for member in member_list.members
        ]
        balancers = [member for member in members if not member.service]
        self._agents = [m for m in members if m.service][
            : self.DIGESTS_PER_SECOND
        ]
        settings = control_events.ControlSettings(
            deployment=DEPLOYMENT,
            kind=documents.MemberKind.BALANCER,
            data_centre=balancers[0].data_centre,
            public_key=balancers[0].public_key,
            team_keys=PUBLIC_KEY_BY_TEAM,
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
        announcements = [
            _announcement(member, n) for n, member in enumerate(members)
        ]
        for first in range(
            0, len(announcements), self.ANNOUNCEMENTS_PER_MESSAGE
        ):
            page = announcements[
                first : first + self.ANNOUNCEMENTS_PER_MESSAGE
            ]
            data = control.encode(
                control.AnnouncementBatch(tuple(page), relay=False)
            )
            self._handle(control_events.PeerMessage(peer, data))
        assert (
            len(self._node.membership.announcement_by_id)
            >= len(announcements) - 1
        )
        self.run_second()

    def run_second(self) -> None:
        """Handles the events of one second in which nothing changes."""
        visible_hash = self._node.membership.announcements_hash_for(
            self._agents[0].member_id
        )
        digest = control.encode(control.SyncDigest(visible_hash))
        for tick in range(10):
            self._now += 0.1
            self._handle(actions.Tick())
            if tick % 5 == 0:
                confirmed = control_events.StoreConfirmed(self._revision, 0.0)
                self._handle(confirmed)
            if tick < len(self._agents):
                peer = self._agents[tick].member_id
                self._handle(control_events.PeerMessage(peer, digest))


def _time_ms(function: Callable[[], None]) -> float:
    started = time.process_time()
    function()
    return (time.process_time() - started) * 1e3


def _apply_burst(pipeline: ConfigurationPipeline, coalesced: bool) -> None:
    """Applies changes that arrive at even intervals within a second."""
    changes = coalescing.Coalescer()
    for number in range(BURST_CHANGES):
        now = number / BURST_CHANGES
        changes.record_change()
        if coalesced and not changes.is_due(now=now):
            continue
        started = time.process_time()
        pipeline.build_table()
        pipeline.apply_table()
        changes.record_applied(now=now, cost_s=time.process_time() - started)


def _memory_bytes(scale: float) -> float:
    """Returns the bytes allocated for a configuration and its tables."""
    fleet = Fleet(scale)
    tracemalloc.start()
    pipeline = ConfigurationPipeline(fleet)
    pipeline.merge()
    pipeline.verify_approvals()
    pipeline.build_table()
    pipeline.apply_table()
    gc.collect()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated


def _measure(scale: float) -> dict[str, list[float]]:
    fleet = Fleet(scale)
    idle_node = IdleControlNode(fleet)
    values_by_step: dict[str, list[float]] = {}
    for _ in range(ROUNDS):
        idle_step = "control node: one second at rest"
        values_by_step.setdefault(idle_step, []).append(
            _time_ms(idle_node.run_second)
        )
        pipeline = ConfigurationPipeline(fleet)
        steps = [
            ("first load: merge", pipeline.merge),
            ("first load: approvals, 3 teams", pipeline.verify_approvals),
            ("first load: routing.build", pipeline.build_table),
            ("first load: table in force", pipeline.apply_table),
            ("one change: merge", pipeline.merge_change),
            ("one change: approvals", pipeline.verify_approvals),
            ("one change: routing.build", pipeline.build_table),
            ("one change: table in force", pipeline.apply_table),
        ]
        for name, step in steps:
            values_by_step.setdefault(name, []).append(_time_ms(step))
        assert len(pipeline.table.target_by_id) == round(TARGETS * scale)
        for name, coalesced in COALESCED_BY_BURST.items():
            step = functools.partial(_apply_burst, pipeline, coalesced)
            values_by_step.setdefault(name, []).append(_time_ms(step))
        values_by_step.setdefault("bytes of documents", []).append(
            float(sum(len(d.body) for d in fleet.documents))
        )
    values_by_step["bytes of memory"] = [_memory_bytes(scale)]
    return values_by_step


def main() -> None:
    """Prints the cost of each step at both scales."""
    small, large = [_measure(scale) for scale in SCALES]
    counts = [
        f"{round(TARGETS * scale)} targets, "
        f"{round(BALANCERS * scale)} balancers"
        for scale in SCALES
    ]
    rows = [["step (ms, or bytes)", "ratio", *counts, "spread"]]
    for name, values in large.items():
        small_value = min(small[name])
        rows.append(
            [
                name,
                f"{min(values) / small_value:.1f}" if small_value else "-",
                f"{small_value:.2f}",
                f"{min(values):.2f}",
                f"{min(values):.1f}-{max(values):.1f}",
            ]
        )
    measure.print_table(rows)


if __name__ == "__main__":
    main()
