"""Spread of announcements by pushes of changes and by anti-entropy."""

from collections.abc import Iterable
import random

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import announcement_digests
from godwitturn.core import control_events
from godwitturn.core import events
from godwitturn.core import identity
from godwitturn.core import membership as memberships
from godwitturn.core import outbox as outboxes
from godwitturn.core import rendezvous
from godwitturn.protocol import control

SPREAD_FAN_OUT = 3
# One round of anti-entropy in this many goes to a balancer that is not live,
# so that the sides of a healed network split find each other again.
ROUNDS_PER_RECOVERY = 4
# Limit of the announcements in one message: they have about 10 KB, which fits
# into a message and a burst.
MAX_ANNOUNCEMENTS_PER_MESSAGE = 200


@attrs.define
class Gossip:
    """Announces this daemon and exchanges announcements with peers.

    Attributes:
        settings: The daemon's settings.
        generator: Source of random choices.
        membership: The announcements.
        outbox: Collects messages and actions.
    """

    settings: control_events.ControlSettings
    generator: random.Random
    membership: memberships.Membership
    outbox: outboxes.Outbox
    _local: control_events.LocalAnnouncement | None = None
    _sequence: int = 0
    _round_count: int = 0

    def set_local(self, local: control_events.LocalAnnouncement) -> None:
        """Sets the content of the next heartbeats."""
        self._local = local

    def send_heartbeat(self, *, now: float) -> None:
        """Sends the next announcement of this daemon to its watchers."""
        if self._local is None:
            return
        heartbeat = control.Heartbeat(self._next_announcement(self._local))
        peers = self.membership.watchers.for_member(self.settings.member_id)
        if len(peers) < rendezvous.WATCHER_COUNT:
            # A starting daemon has received few announcements of balancers
            # and may not know its watchers, so its upstreams get the
            # heartbeat too and spread the announcement.
            peers = (*peers, *self.outbox.uplinks.upstream_by_id)
        for peer in dict.fromkeys(peers):
            self.outbox.send(peer, heartbeat, now=now)

    def _next_announcement(
        self, local: control_events.LocalAnnouncement
    ) -> memberships.Announcement:
        self._sequence += 1
        announcement = memberships.Announcement(
            self.settings.member_id,
            self.settings.incarnation,
            self.settings.start_number,
            self._sequence,
            addresses.Address(*local.address),
            local.state,
        )
        is_balancer = self.membership.is_balancer(self.settings.member_id)
        if is_balancer and self.membership.apply(announcement):
            self.notify_daemon()
        return announcement

    def publish_changes(self, *, now: float) -> None:
        """Applies and spreads the changes that this watcher observed."""
        changed = self.membership.apply_watched_changes(now=now)
        for announcement in changed:
            if announcement.state == memberships.MemberState.LOST:
                event_id = events.EventId.CONTROL_MEMBER_LOST
                fields = {"member": announcement.member_id}
                event = events.LogEvent(event_id, fields)
                self.outbox.actions.append(actions.Emit(event))
        self._spread(changed, None, now)

    def apply_announcements(
        self,
        peer: identity.MemberId,
        announcements: tuple[memberships.Announcement, ...],
        *,
        relay: bool,
        now: float,
    ) -> None:
        """Applies announcements of a peer.

        Args:
            peer: The peer.
            announcements: The announcements.
            relay: Whether a balancer spreads those that are new to it.
            now: Monotonic time in seconds.
        """
        applied = [a for a in announcements if self.membership.apply(a)]
        if relay and self.membership.is_balancer(self.settings.member_id):
            self._spread(applied, peer, now)
        elif applied:
            self.notify_daemon()

    def notify_daemon(self) -> None:
        """Notifies the daemon that announcements changed."""
        self.outbox.uplinks.refresh_topology()
        self.outbox.actions.append(
            control_events.AnnouncementsChanged(
                self.membership.announcement_by_id
            )
        )

    def _spread(
        self,
        changed: list[memberships.Announcement],
        source: identity.MemberId | None,
        now: float,
    ) -> None:
        """Sends changes to three balancers and to the attached agents.

        Agents only receive changes of balancers.

        Args:
            changed: The changed announcements.
            source: Balancer that sent them, which doesn't need them; None if
                this daemon observed the changes.
            now: Monotonic time in seconds.
        """
        if not changed:
            return
        self.notify_daemon()
        gossip_peers = self.outbox.uplinks.topology.gossip_peers
        candidates = [peer for peer in gossip_peers if peer != source]
        count = min(SPREAD_FAN_OUT, len(candidates))
        for peer in self.generator.sample(candidates, count):
            for message in _batch_messages(changed, True):
                self.outbox.send(peer, message, now=now)
        balancers = [
            a for a in changed if self.membership.is_balancer(a.member_id)
        ]
        for peer in self.outbox.downlinks.attachment_by_peer:
            if not self.membership.is_balancer(peer):
                for message in _batch_messages(balancers, False):
                    self.outbox.send(peer, message, now=now)

    def start_sync(self, *, now: float) -> None:
        """Sends a digest of the announcements to one random peer."""
        self._round_count += 1
        own = self.settings.member_id
        uplinks = self.outbox.uplinks
        candidates: list[identity.MemberId] = []
        if self.membership.is_balancer(own):
            if self._round_count % ROUNDS_PER_RECOVERY == 0:
                candidates = uplinks.unreached_balancers()
            candidates = candidates or list(uplinks.topology.gossip_peers)
        candidates = candidates or list(uplinks.upstream_by_id)
        if candidates:
            digest = control.SyncDigest(
                self.membership.announcements_hash_for(own)
            )
            peer = self.generator.choice(candidates)
            self.outbox.send(peer, digest, now=now)

    def handle_sync(
        self, peer: identity.MemberId, message: control.Message, *, now: float
    ) -> None:
        """Answers a step of anti-entropy while the budget lasts."""
        answer = self._sync_answer(peer, message)
        if answer is not None and self.outbox.has_budget():
            self.outbox.send(peer, answer, now=now)

    def _sync_answer(
        self, peer: identity.MemberId, message: control.Message
    ) -> control.Message | None:
        """Returns the answer to a step of anti-entropy.

        A digest that differs is answered by hashes of buckets, hashes by a
        request for the buckets that differ, and a request by announcements.
        """
        # An agent only stores announcements that it may see, so what it
        # exchanges doesn't depend on the peer.
        own = self.settings.member_id
        requester = peer if self.membership.is_balancer(own) else own
        match message:
            case control.SyncDigest():
                if (
                    self.membership.announcements_hash_for(requester)
                    == message.hash
                ):
                    return None
                hashes = self.membership.bucket_hashes_for(requester)
                return control.SyncBuckets(hashes)
            case control.SyncBuckets():
                own_hashes = self.membership.bucket_hashes_for(own)
                buckets = announcement_digests.differing_buckets(
                    own_hashes, message.hashes
                )
                visible = self.membership.visible_to(own)
                announcements = _in_buckets(visible.values(), buckets)
                return control.SyncRequest(
                    bytes(sorted(buckets)), announcements
                )
            case control.SyncRequest():
                requested = frozenset(message.buckets)
                visible = self.membership.visible_to(requester)
                announcements = _in_buckets(visible.values(), requested)
                return (
                    control.AnnouncementBatch(announcements, False)
                    if announcements
                    else None
                )
            case _:
                return None


def _in_buckets(
    announcements: Iterable[memberships.Announcement], buckets: frozenset[int]
) -> tuple[memberships.Announcement, ...]:
    # Sorted by bucket, so that the buckets that fit are complete. These no
    # longer differ in the next round, which exchanges the remaining ones.
    selected = [
        announcement
        for announcement in announcements
        if rendezvous.bucket_of(announcement.member_id) in buckets
    ]
    selected.sort(
        key=lambda a: (rendezvous.bucket_of(a.member_id), a.member_id)
    )
    return tuple(selected[:MAX_ANNOUNCEMENTS_PER_MESSAGE])


def _batch_messages(
    announcements: list[memberships.Announcement], relay: bool
) -> list[control.Message]:
    return [
        control.AnnouncementBatch(
            tuple(
                announcements[start : start + MAX_ANNOUNCEMENTS_PER_MESSAGE]
            ),
            relay,
        )
        for start in range(
            0, len(announcements), MAX_ANNOUNCEMENTS_PER_MESSAGE
        )
    ]
