"""The balancers that a daemon attaches to, and how to reach them."""

from collections.abc import Collection
import math
import random

import attrs

from godwitturn.core import addresses
from godwitturn.core import configuration as configurations
from godwitturn.core import control_events
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import membership as memberships
from godwitturn.core import rendezvous
from godwitturn.core import topology as topologies
from godwitturn.protocol import control

# Below the 3 s after which a view without confirmation is fenced.
SILENT_SECONDS = 2.0
AVOIDED_SECONDS = 5.0
RECONNECT_SECONDS = 2.0
PATIENCE_SECONDS = 3.0
REFERRALS = 3
MAX_REFERRED = 16
AGENT_UPSTREAMS = 3
# Each upstream sends the whole configuration.
BOOTSTRAP_UPSTREAMS = 1


@attrs.define
class Upstream:
    """A peer that this daemon sends digests to."""

    chosen_at: float
    heard_at: float = -math.inf


@attrs.frozen
class TimeAtAddress:
    """A time that concerns a peer only while it stays at an address."""

    at: float
    address: addresses.Address | None


@attrs.define
class Uplinks:
    """Chooses upstreams and knows the addresses of balancers.

    Attributes:
        settings: The daemon's settings.
        membership: The announcements.
        generator: Source of random choices.
        upstream_by_id: The current upstreams.
        connected: Peers with an open connection.
        seed_by_id: Seeds from settings, without this daemon, and balancers
            that they referred it to.
        topology: Rankings of the live balancers.
        bootstrapping: Whether there is no complete configuration yet.
    """

    settings: control_events.ControlSettings
    membership: memberships.Membership
    generator: random.Random
    upstream_by_id: dict[identity.MemberId, Upstream] = attrs.field(
        factory=dict
    )
    connected: set[identity.MemberId] = attrs.field(factory=set)
    seed_by_id: dict[identity.MemberId, control_events.Seed] = attrs.field(
        init=False
    )
    topology: topologies.Topology = attrs.field(init=False)
    bootstrapping: bool = True
    _listed_address_by_id: dict[identity.MemberId, addresses.Address] = (
        attrs.field(factory=dict)
    )
    _avoided_until_by_id: dict[identity.MemberId, TimeAtAddress] = attrs.field(
        factory=dict
    )
    _requested_by_id: dict[identity.MemberId, TimeAtAddress] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        own = self.settings.member_id
        self.topology = topologies.Topology(own)
        self.seed_by_id = {
            seed.member_id: seed
            for seed in self.settings.seeds
            if seed.member_id != own
        }

    def trusts(self, peer: identity.MemberId) -> bool:
        """Returns whether a peer may be listened and spoken to."""
        if peer in self.membership.approved:
            return True
        return self.bootstrapping and peer in self.seed_by_id

    def referrals(self) -> tuple[control.Referred, ...]:
        """Returns some live balancers for a starting daemon."""
        neighbours = self.topology.neighbours
        count = min(REFERRALS, len(neighbours))
        found = []
        for peer in self.generator.sample(neighbours, count):
            address = self.address_of(peer)
            if address is not None:
                member = self.membership.approved[peer]
                found.append(control.Referred(member, address))
        return tuple(found)

    def may_add_seed(self, peer: identity.MemberId) -> bool:
        """Returns whether a referred balancer is new and there is room."""
        limit = len(self.settings.seeds) + MAX_REFERRED
        return (
            peer not in self.seed_by_id
            and peer != self.settings.member_id
            and len(self.seed_by_id) < limit
        )

    def add_seed(self, seed: control_events.Seed) -> None:
        """Trusts a referred balancer until there is a configuration."""
        self.seed_by_id[seed.member_id] = seed

    def learn_directories(
        self, configuration: configurations.Configuration
    ) -> None:
        """Takes addresses from the directories."""
        self._listed_address_by_id = {
            entry.member.member_id: addresses.Address(entry.host, entry.port)
            for entry in configuration.directory_entries()
        }
        self.refresh()

    def refresh(self) -> None:
        """Takes over which balancers are live."""
        approved = self.membership.approved
        self.topology.update(
            {
                member_id: approved[member_id].data_centre
                for member_id in self.membership.live_balancers
            }
        )

    def upstream_silence_s(self, *, now: float) -> float:
        """Returns the seconds since an upstream last sent something."""
        heard_at = [found.heard_at for found in self.upstream_by_id.values()]
        return now - max(heard_at, default=-math.inf)

    def heard(self, peer: identity.MemberId, *, now: float) -> None:
        """Notes that a peer sent something."""
        upstream = self.upstream_by_id.get(peer)
        if upstream is not None:
            upstream.heard_at = now

    def lost(self, peer: identity.MemberId, *, now: float) -> bool:
        """Notes the end of a connection; returns if it was an upstream's."""
        self.connected.discard(peer)
        self._requested_by_id.pop(peer, None)
        if peer not in self.upstream_by_id:
            return False
        self._avoid(peer, now)
        return True

    def _avoid(self, peer: identity.MemberId, now: float) -> None:
        until = now + AVOIDED_SECONDS
        self._avoided_until_by_id[peer] = TimeAtAddress(
            until, self.address_of(peer)
        )

    def choose(
        self, busy: Collection[identity.MemberId], *, now: float
    ) -> None:
        """Chooses upstreams, and replaces those that no longer answer.

        Args:
            busy: Peers from which a delta is arriving.
            now: Monotonic time in seconds.
        """
        for peer, upstream in self.upstream_by_id.items():
            latest = max(upstream.chosen_at, upstream.heard_at)
            if now - latest > SILENT_SECONDS:
                self._avoid(peer, now)
        for peer, until in list(self._avoided_until_by_id.items()):
            if now >= until.at or until.address != self.address_of(peer):
                del self._avoided_until_by_id[peer]
        for peer, requested in list(self._requested_by_id.items()):
            late = now - requested.at >= RECONNECT_SECONDS
            if late and peer not in self.connected:
                del self._requested_by_id[peer]
        self.refresh()
        wanted = self._wanted() or self._bootstrap(busy, now)
        self.upstream_by_id = {
            peer: self.upstream_by_id.get(peer, Upstream(now))
            for peer in wanted
        }

    def _wanted(self) -> list[identity.MemberId]:
        avoided = self._avoided_until_by_id
        if self.settings.kind == documents.MemberKind.BALANCER:
            return self.topology.upstreams(self.settings.data_centre, avoided)
        own = self.settings.member_id
        watchers = list(self.membership.watchers.for_member(own))
        usable = [peer for peer in watchers if peer not in avoided]
        if len(usable) < len(watchers):
            live = rendezvous.rank_members(
                f"attach|{own}", self.membership.live_balancers
            )
            usable += [
                peer
                for peer in live
                if peer not in avoided and peer not in watchers
            ]
        return usable[:AGENT_UPSTREAMS]

    def _bootstrap(
        self, busy: Collection[identity.MemberId], now: float
    ) -> list[identity.MemberId]:
        found = self.unreached()
        usable = [i for i in found if i not in self._avoided_until_by_id]
        candidates = usable or found
        # A seed may answer and yet have no configuration itself.
        kept = [
            peer
            for peer, upstream in self.upstream_by_id.items()
            if peer in usable
            and (peer in busy or now - upstream.chosen_at < PATIENCE_SECONDS)
        ]
        others = [i for i in candidates if i not in kept]
        self.generator.shuffle(others)
        return [*kept, *others][:BOOTSTRAP_UPSTREAMS]

    def unreached(self) -> list[identity.MemberId]:
        """Returns balancers with an address that are not known to be live.

        Before there is a configuration, these are the seeds.
        """
        found = [
            member_id
            for member_id in self.membership.approved
            if self.membership.is_balancer(member_id)
            and member_id not in self.membership.live_balancers
            and self.address_of(member_id) is not None
        ]
        return list(self.seed_by_id) if self.bootstrapping else found

    def address_of(self, peer: identity.MemberId) -> addresses.Address | None:
        """Returns a balancer's control address, if one is known."""
        announcement = self.membership.announcement_by_id.get(peer)
        if announcement is not None:
            return announcement.address
        seed = self.seed_by_id.get(peer)
        if seed is not None:
            return seed.address
        return self._listed_address_by_id.get(peer)

    def connection(
        self, peer: identity.MemberId, *, now: float
    ) -> control_events.ConnectPeer | None:
        """Returns the request for a connection, if one is due.

        A balancer that was replaced has another address, and what the
        connection to the former one carries is lost.
        """
        address = self.address_of(peer)
        if address is None:
            return None
        requested = self._requested_by_id.get(peer)
        moved = requested is not None and requested.address != address
        recent = (
            requested is not None and now - requested.at < RECONNECT_SECONDS
        )
        if not moved and (recent or peer in self.connected):
            return None
        member = self.membership.approved.get(peer)
        key = member.public_key if member else self.seed_by_id[peer].public_key
        self._requested_by_id[peer] = TimeAtAddress(now, address)
        return control_events.ConnectPeer(peer, address, key)
