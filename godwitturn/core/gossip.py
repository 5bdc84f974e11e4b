"""How announcements are spread: pushes of changes, and anti-entropy."""

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
# One synchronisation in this many goes to a balancer that is not live, so
# that the sides of a healed split find each other again.
ROUNDS_PER_RECOVERY = 4
# About 10 KB, so that it fits into a message and a burst.
SYNC_ANNOUNCEMENTS = 200


@attrs.define
class Gossip:
    """Announces this daemon and exchanges announcements with peers.

    Attributes:
        settings: The daemon's settings.
        generator: Source of random choices.
        membership: The announcements.
        outbox: Where messages and actions go.
    """

    settings: control_events.ControlSettings
    generator: random.Random
    membership: memberships.Membership
    outbox: outboxes.Outbox
    _local: control_events.LocalAnnouncement | None = None
    _sequence: int = 0
    _round: int = 0

    def announce(self, local: control_events.LocalAnnouncement) -> None:
        """Sets what the next heartbeats say."""
        self._local = local

    def beat(self, *, now: float) -> None:
        """Sends the next announcement of this daemon to its watchers."""
        if self._local is None:
            return
        heartbeat = control.Heartbeat(self._next_announcement(self._local))
        peers = self.membership.watchers.for_member(self.settings.member_id)
        if len(peers) < rendezvous.WATCHER_COUNT:
            # A starting daemon knows few balancers, so its upstreams
            # introduce it to its watchers.
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
        if is_balancer and self.membership.learn(announcement):
            self.tell()
        return announcement

    def publish_changes(self, *, now: float) -> None:
        """Puts changes that this watcher saw in force and spreads them."""
        changed = self.membership.changes(now=now)
        for found in changed:
            if found.state == memberships.MemberState.LOST:
                kind = events.EventId.CONTROL_MEMBER_LOST
                fields = {"member": found.member_id}
                event = events.LogEvent(kind, fields)
                self.outbox.actions.append(actions.Emit(event))
        self._spread(changed, None, now)

    def learn(
        self,
        peer: identity.MemberId,
        found: tuple[memberships.Announcement, ...],
        *,
        relay: bool,
        now: float,
    ) -> None:
        """Takes over announcements of a peer, and passes news on once."""
        learnt = [a for a in found if self.membership.learn(a)]
        if relay and self.membership.is_balancer(self.settings.member_id):
            self._spread(learnt, peer, now)
        elif learnt:
            self.tell()

    def tell(self) -> None:
        """Tells the daemon that announcements changed."""
        self.outbox.uplinks.refresh()
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
        """Sends changes to three balancers, and agents those of balancers."""
        if not changed:
            return
        self.tell()
        neighbours = self.outbox.uplinks.topology.neighbours
        candidates = [peer for peer in neighbours if peer != source]
        count = min(SPREAD_FAN_OUT, len(candidates))
        for peer in self.generator.sample(candidates, count):
            for message in _messages(changed, True):
                self.outbox.send(peer, message, now=now)
        balancers = [
            a for a in changed if self.membership.is_balancer(a.member_id)
        ]
        for peer in self.outbox.downlinks.attachment_by_peer:
            if not self.membership.is_balancer(peer):
                for message in _messages(balancers, False):
                    self.outbox.send(peer, message, now=now)

    def sync(self, *, now: float) -> None:
        """Sends a digest of the announcements to one random peer."""
        self._round += 1
        own = self.settings.member_id
        links = self.outbox.uplinks
        candidates: list[identity.MemberId] = []
        if self.membership.is_balancer(own):
            if self._round % ROUNDS_PER_RECOVERY == 0:
                candidates = links.unreached()
            candidates = candidates or list(links.topology.neighbours)
        candidates = candidates or list(links.upstream_by_id)
        if candidates:
            digest = control.SyncDigest(
                self.membership.announcements_hash_for(own)
            )
            peer = self.generator.choice(candidates)
            self.outbox.send(peer, digest, now=now)

    def answer(
        self, peer: identity.MemberId, message: control.Message, *, now: float
    ) -> None:
        """Answers a step of anti-entropy while the budget lasts."""
        answer = self._answer(peer, message)
        if answer is not None and self.outbox.has_budget():
            self.outbox.send(peer, answer, now=now)

    def _answer(
        self, peer: identity.MemberId, message: control.Message
    ) -> control.Message | None:
        """Returns the answer to a step of anti-entropy.

        A digest that differs is answered by hashes of buckets, these by a
        request for the buckets that differ, and that by their announcements.
        """
        # An agent only holds what it may see, whoever asks it.
        own = self.settings.member_id
        asker = peer if self.membership.is_balancer(own) else own
        match message:
            case control.SyncDigest():
                if (
                    self.membership.announcements_hash_for(asker)
                    == message.hash
                ):
                    return None
                hashes = self.membership.bucket_hashes_for(asker)
                return control.SyncBuckets(hashes)
            case control.SyncBuckets():
                mine = self.membership.bucket_hashes_for(own)
                buckets = announcement_digests.differing_buckets(
                    mine, message.hashes
                )
                visible = self.membership.visible_to(own)
                found = _in_buckets(visible.values(), buckets)
                return control.SyncRequest(bytes(sorted(buckets)), found)
            case control.SyncRequest():
                wanted = frozenset(message.buckets)
                visible = self.membership.visible_to(asker)
                found = _in_buckets(visible.values(), wanted)
                return (
                    control.AnnouncementBatch(found, False) if found else None
                )
            case _:
                return None


def _in_buckets(
    announcements: Iterable[memberships.Announcement], buckets: frozenset[int]
) -> tuple[memberships.Announcement, ...]:
    # Whole buckets in their order: those that fit no longer differ in the
    # next round, and the rest follows.
    found = [
        announcement
        for announcement in announcements
        if rendezvous.bucket_of(announcement.member_id) in buckets
    ]
    found.sort(key=lambda a: (rendezvous.bucket_of(a.member_id), a.member_id))
    return tuple(found[:SYNC_ANNOUNCEMENTS])


def _messages(
    announcements: list[memberships.Announcement], relay: bool
) -> list[control.Message]:
    return [
        control.AnnouncementBatch(
            tuple(announcements[start : start + SYNC_ANNOUNCEMENTS]), relay
        )
        for start in range(0, len(announcements), SYNC_ANNOUNCEMENTS)
    ]
