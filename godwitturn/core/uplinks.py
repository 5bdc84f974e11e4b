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

# An upstream that sends nothing for this long is replaced, before a view
# without confirmation is fenced, which happens after 3 s.
UPSTREAM_SILENCE_SECONDS = 2.0
# A failed upstream is avoided for this long, or until its address changes. A
# seed, or a balancer that is not live, is chosen even so if there is no other.
AVOIDANCE_SECONDS = 5.0
RECONNECT_SECONDS = 2.0
# A seed that sends no documents is replaced after this time.
SEED_TRIAL_SECONDS = 3.0
REFERRALS_PER_ANSWER = 3
MAX_REFERRED_SEEDS = 16
AGENT_UPSTREAMS = 3
# Upstreams of a daemon without a configuration. Only one, because each sends
# the whole configuration.
BOOTSTRAP_UPSTREAMS = 1


@attrs.define
class Upstream:
    """A peer that this daemon sends digests to."""

    chosen_at: float
    last_seen_at: float = -math.inf


@attrs.frozen
class TimeAtAddress:
    """A time that applies to a peer only while the peer keeps its address."""

    at: float
    address: addresses.Address | None


@attrs.define
class Uplinks:
    """Chooses upstreams and tracks the addresses of balancers.

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
    _directory_address_by_id: dict[identity.MemberId, addresses.Address] = (
        attrs.field(factory=dict)
    )
    _avoided_until_by_id: dict[identity.MemberId, TimeAtAddress] = attrs.field(
        factory=dict
    )
    _connection_request_by_id: dict[identity.MemberId, TimeAtAddress] = (
        attrs.field(factory=dict)
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
        """Returns whether messages may be exchanged with a peer."""
        if peer in self.membership.approved:
            return True
        return self.bootstrapping and peer in self.seed_by_id

    def referrals(self) -> tuple[control.ReferredBalancer, ...]:
        """Returns some live balancers for a starting daemon."""
        gossip_peers = self.topology.gossip_peers
        count = min(REFERRALS_PER_ANSWER, len(gossip_peers))
        referred = []
        for peer in self.generator.sample(gossip_peers, count):
            address = self.address_of(peer)
            if address is not None:
                member = self.membership.approved[peer]
                referred.append(control.ReferredBalancer(member, address))
        return tuple(referred)

    def may_add_seed(self, peer: identity.MemberId) -> bool:
        """Returns whether a referred balancer is new and there is room."""
        limit = len(self.settings.seeds) + MAX_REFERRED_SEEDS
        return (
            peer not in self.seed_by_id
            and peer != self.settings.member_id
            and len(self.seed_by_id) < limit
        )

    def add_seed(self, seed: control_events.Seed) -> None:
        """Trusts a referred balancer until there is a configuration."""
        self.seed_by_id[seed.member_id] = seed

    def apply_directories(
        self, configuration: configurations.Configuration
    ) -> None:
        """Updates the addresses that are listed in directories."""
        self._directory_address_by_id = {
            entry.member.member_id: addresses.Address(entry.host, entry.port)
            for entry in configuration.directory_entries()
        }
        self.refresh_topology()

    def refresh_topology(self) -> None:
        """Updates the topology with the balancers that are live."""
        approved = self.membership.approved
        self.topology.update(
            {
                member_id: approved[member_id].data_centre
                for member_id in self.membership.live_balancers
            }
        )

    def upstream_silence_s(self, *, now: float) -> float:
        """Returns the seconds since an upstream last sent something."""
        last_seen_at = [
            upstream.last_seen_at for upstream in self.upstream_by_id.values()
        ]
        return now - max(last_seen_at, default=-math.inf)

    def record_message(self, peer: identity.MemberId, *, now: float) -> None:
        """Records that a peer sent a message."""
        upstream = self.upstream_by_id.get(peer)
        if upstream is not None:
            upstream.last_seen_at = now

    def handle_disconnect(
        self, peer: identity.MemberId, *, now: float
    ) -> bool:
        """Records the end of a connection.

        Returns:
            Whether the peer is an upstream, which should then be replaced.
        """
        self.connected.discard(peer)
        self._connection_request_by_id.pop(peer, None)
        if peer not in self.upstream_by_id:
            return False
        self._avoid(peer, now)
        return True

    def _avoid(self, peer: identity.MemberId, now: float) -> None:
        until = now + AVOIDANCE_SECONDS
        self._avoided_until_by_id[peer] = TimeAtAddress(
            until, self.address_of(peer)
        )

    def choose_upstreams(
        self, busy: Collection[identity.MemberId], *, now: float
    ) -> None:
        """Chooses upstreams, and replaces those that no longer answer.

        Args:
            busy: Peers from which a delta is arriving.
            now: Monotonic time in seconds.
        """
        for peer, upstream in self.upstream_by_id.items():
            latest = max(upstream.chosen_at, upstream.last_seen_at)
            if now - latest > UPSTREAM_SILENCE_SECONDS:
                self._avoid(peer, now)
        for peer, avoided in list(self._avoided_until_by_id.items()):
            if now >= avoided.at or avoided.address != self.address_of(peer):
                del self._avoided_until_by_id[peer]
        for peer, requested in list(self._connection_request_by_id.items()):
            is_overdue = now - requested.at >= RECONNECT_SECONDS
            if is_overdue and peer not in self.connected:
                del self._connection_request_by_id[peer]
        self.refresh_topology()
        chosen = self._preferred_upstreams() or self._bootstrap_upstreams(
            busy, now
        )
        self.upstream_by_id = {
            peer: self.upstream_by_id.get(peer, Upstream(now))
            for peer in chosen
        }

    def _preferred_upstreams(self) -> list[identity.MemberId]:
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

    def _bootstrap_upstreams(
        self, busy: Collection[identity.MemberId], now: float
    ) -> list[identity.MemberId]:
        unreached = self.unreached_balancers()
        usable = [i for i in unreached if i not in self._avoided_until_by_id]
        candidates = usable or unreached
        # A seed may answer but have no configuration itself, so it is only
        # kept for a trial period or while its delta is arriving.
        kept = [
            peer
            for peer, upstream in self.upstream_by_id.items()
            if peer in usable
            and (peer in busy or now - upstream.chosen_at < SEED_TRIAL_SECONDS)
        ]
        other_candidates = [i for i in candidates if i not in kept]
        self.generator.shuffle(other_candidates)
        return [*kept, *other_candidates][:BOOTSTRAP_UPSTREAMS]

    def unreached_balancers(self) -> list[identity.MemberId]:
        """Returns balancers with an address that are not announced as live.

        Before there is a configuration, these are the seeds.
        """
        unreached = [
            member_id
            for member_id in self.membership.approved
            if self.membership.is_balancer(member_id)
            and member_id not in self.membership.live_balancers
            and self.address_of(member_id) is not None
        ]
        return list(self.seed_by_id) if self.bootstrapping else unreached

    def address_of(self, peer: identity.MemberId) -> addresses.Address | None:
        """Returns a balancer's control address, or None if there is none."""
        announcement = self.membership.announcement_by_id.get(peer)
        if announcement is not None:
            return announcement.address
        seed = self.seed_by_id.get(peer)
        if seed is not None:
            return seed.address
        return self._directory_address_by_id.get(peer)

    def connection_request(
        self, peer: identity.MemberId, *, now: float
    ) -> control_events.ConnectPeer | None:
        """Returns the request for a connection, if one is due.

        A request is due at once for a balancer with a new address: it was
        replaced, and messages on the connection to its former address are
        lost.
        """
        address = self.address_of(peer)
        if address is None:
            return None
        requested = self._connection_request_by_id.get(peer)
        has_moved = requested is not None and requested.address != address
        is_recent = (
            requested is not None and now - requested.at < RECONNECT_SECONDS
        )
        if not has_moved and (is_recent or peer in self.connected):
            return None
        member = self.membership.approved.get(peer)
        key = member.public_key if member else self.seed_by_id[peer].public_key
        self._connection_request_by_id[peer] = TimeAtAddress(now, address)
        return control_events.ConnectPeer(peer, address, key)
