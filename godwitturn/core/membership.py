"""Announcements of members, their liveness and the spread of changes.

A member announces itself each second to its watchers, a few live balancers
chosen by rendezvous hashing. Only changes are spread further: a new member, a
restart, a new address or state, and the loss that a watcher declares.
"""

from collections.abc import Mapping
import enum
import hashlib
import math

import attrs

from godwitturn.core import addresses
from godwitturn.core import announcement_digests
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import rendezvous

LOST_AFTER_SECONDS = 3.0
# A new watcher waits this much longer, because members need time to receive
# its announcement.
NEW_WATCHER_GRACE_SECONDS = 3.0
MIN_SPREAD_INTERVAL_SECONDS = 1.0
MAX_SPREAD_INTERVAL_SECONDS = 64.0
# `apply_watched_changes` is called about ten times a second; a longer interval
# between two calls means that the daemon was paused or fenced.
MIN_PAUSE_SECONDS = 1.0
# A member no longer counts as flapping after twice its damping interval plus
# this time without a change. The time is long because the detection of a loss
# alone takes 3 s.
QUIET_SECONDS = 10.0


class MemberState(enum.IntEnum):
    """State of a member, as announced by itself or declared by a watcher."""

    SERVING = 1
    DRAINING = 2
    LOST = 3


@attrs.frozen
class Announcement:
    """A member's announcement of itself; only watchers set `LOST`.

    Attributes:
        member_id: The member.
        incarnation: Random number drawn at each start.
        start_number: Wall clock at its start in milliseconds.
        sequence: Grows by one with each announcement since that start.
        address: A target's data address; a balancer's control address.
        state: Serving, draining or lost.
    """

    member_id: identity.MemberId
    incarnation: int
    start_number: int
    sequence: int
    address: addresses.Address
    state: MemberState = MemberState.SERVING


def precedence(announcement: Announcement) -> tuple[int, int, bool, int, str]:
    """Returns the rank of an announcement; the highest wins.

    At the same (start number, sequence) a loss wins, and a later sequence of
    the member refutes it. The other fields only make the order total.
    """
    return (
        announcement.start_number,
        announcement.sequence,
        announcement.state == MemberState.LOST,
        announcement.incarnation,
        f"{announcement.address}|{announcement.state:d}",
    )


def spread_fields(announcement: Announcement) -> tuple[object, ...]:
    """Returns the fields whose change is spread: all but the sequence."""
    return (
        announcement.incarnation,
        announcement.start_number,
        announcement.address,
        announcement.state,
    )


def _content_hash(announcement: Announcement) -> int:
    text = f"{announcement.member_id}|{spread_fields(announcement)!r}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.define
class _Watched:
    """What a watcher received from a member directly.

    Attributes:
        announcement: The latest announcement, or None before the first.
        last_seen_at: When it arrived. At a new watcher, the time at first is
            `NEW_WATCHER_GRACE_SECONDS` in the future.
        may_declare_lost: Whether missing heartbeats still count as a loss. A
            watcher declares a loss once, and again only after another
            heartbeat, so that a watcher with a broken path doesn't contradict
            the others forever.
    """

    announcement: Announcement | None
    last_seen_at: float
    may_declare_lost: bool = True


@attrs.define
class _Damping:
    """Limits how often changes of a member are spread.

    Attributes:
        spread_at: When a change was last spread.
        interval: Minimum number of seconds until another change is spread.
    """

    spread_at: float
    interval: float = MIN_SPREAD_INTERVAL_SECONDS


@attrs.define
class Membership:
    """A daemon's copy of the announcements, and the members that it watches.

    Memory is bounded by the approved members; announcements of others are
    refused.

    Attributes:
        own_id: The daemon's member id.
        approved: Approved members by id; see `set_approved`.
        announcement_by_id: The announcements in force, by member id.
        watchers: Which balancers watch whom.
        digests: Hashes of the announcements in force.
    """

    own_id: identity.MemberId
    approved: Mapping[identity.MemberId, documents.Member] = attrs.field(
        factory=dict
    )
    announcement_by_id: dict[identity.MemberId, Announcement] = attrs.field(
        factory=dict
    )
    watchers: rendezvous.WatcherTable = attrs.field(
        factory=rendezvous.WatcherTable
    )
    _watched_by_id: dict[identity.MemberId, _Watched] = attrs.field(
        factory=dict
    )
    _damping_by_id: dict[identity.MemberId, _Damping] = attrs.field(
        factory=dict
    )
    digests: announcement_digests.DigestTable = attrs.field(
        factory=announcement_digests.DigestTable
    )
    _may_have_new_members: bool = True
    _checked_at: float = -math.inf

    def set_approved(
        self, approved: Mapping[identity.MemberId, documents.Member]
    ) -> bool:
        """Sets the approved members and removes all others.

        Returns:
            Whether an announcement was removed.
        """
        self.approved = approved
        removed = [i for i in self.announcement_by_id if i not in approved]
        for table in (
            self.announcement_by_id,
            self._watched_by_id,
            self._damping_by_id,
        ):
            for member_id in [i for i in table if i not in approved]:
                del table[member_id]
        self._rebuild_digests()
        self._may_have_new_members = True
        self._refresh_live()
        return bool(removed)

    def _rebuild_digests(self) -> None:
        # The kind of a member may have changed, which decides whether agents
        # may see its announcement.
        hash_by_id = self.digests.hash_by_id
        self.digests = announcement_digests.DigestTable()
        for member_id in self.announcement_by_id:
            self._put_digest(member_id, hash_by_id[member_id])

    def _put_digest(
        self, member_id: identity.MemberId, content_hash: int
    ) -> None:
        self.digests.put(
            member_id, content_hash, is_balancer=self.is_balancer(member_id)
        )

    def is_balancer(self, member_id: identity.MemberId) -> bool:
        """Returns whether an id is that of an approved balancer."""
        member = self.approved.get(member_id)
        return (
            member is not None and member.kind == documents.MemberKind.BALANCER
        )

    @property
    def live_balancers(self) -> frozenset[identity.MemberId]:
        """Approved balancers that are announced and not lost, and this one."""
        return self.watchers.live

    def _refresh_live(self) -> None:
        live = {
            member_id
            for member_id, announcement in self.announcement_by_id.items()
            if announcement.state != MemberState.LOST
            and self.is_balancer(member_id)
        }
        if self.is_balancer(self.own_id):
            live.add(self.own_id)
        if live != self.watchers.live:
            self.watchers.set_live(frozenset(live))

    def apply(self, announcement: Announcement) -> bool:
        """Applies an announcement if it has precedence over the current one.

        Returns:
            Whether it changes more than the sequence, so that it is spread
            further.
        """
        member_id = announcement.member_id
        if member_id not in self.approved:
            return False
        current = self.announcement_by_id.get(member_id)
        # The usual case at a watcher, which applies the latest announcement
        # of each member ten times a second.
        if current is announcement:
            return False
        if current is not None and precedence(announcement) <= precedence(
            current
        ):
            return False
        self.announcement_by_id[member_id] = announcement
        if current is not None and spread_fields(current) == spread_fields(
            announcement
        ):
            return False
        self._put_digest(member_id, _content_hash(announcement))
        self._may_have_new_members = True
        if self.is_balancer(member_id):
            self._refresh_live()
        return True

    def record_heartbeat(
        self, announcement: Announcement, *, now: float
    ) -> None:
        """Records an announcement that a member sent to this watcher."""
        member_id = announcement.member_id
        if (
            member_id not in self.approved
            or announcement.state == MemberState.LOST
        ):
            return
        watched = self._watched_by_id.get(member_id)
        if (
            watched is not None
            and watched.announcement is not None
            and precedence(announcement) <= precedence(watched.announcement)
        ):
            return
        self._watched_by_id[member_id] = _Watched(announcement, now)

    def watch_new_members(self, *, now: float) -> None:
        """Starts to watch members that are newly assigned to this balancer.

        Only a change of announcements, approvals or live balancers assigns
        members, so otherwise a call costs nothing.
        """
        if not self._may_have_new_members:
            return
        self._may_have_new_members = False
        for member_id, announcement in self.announcement_by_id.items():
            if (
                announcement.state != MemberState.LOST
                and member_id != self.own_id
                and member_id not in self._watched_by_id
                and self.own_id in self.watchers.for_member(member_id)
            ):
                self._watched_by_id[member_id] = _Watched(
                    None, now + NEW_WATCHER_GRACE_SECONDS
                )

    def apply_watched_changes(self, *, now: float) -> list[Announcement]:
        """Applies the changes observed by this watcher, and returns them.

        Called on each tick, but not while the daemon is fenced. A change that
        damping delays is neither applied nor returned, and is checked again
        at the next call.
        """
        self._discount_pause(now)
        changed = []
        for member_id, watched in list(self._watched_by_id.items()):
            observed = self._observed_announcement(member_id, watched, now)
            if observed is None or not self._is_spread_due(
                member_id, observed, now
            ):
                continue
            if observed.state == MemberState.LOST:
                watched.may_declare_lost = False
            if self.apply(observed):
                self._record_spread(member_id, now)
                changed.append(observed)
        return changed

    def _discount_pause(self, now: float) -> None:
        # A watcher receives no heartbeats during a pause or while it is
        # fenced. If that time counted, it would declare all its members lost.
        pause = now - self._checked_at
        self._checked_at = now
        if MIN_PAUSE_SECONDS < pause < math.inf:
            for watched in self._watched_by_id.values():
                watched.last_seen_at = min(now, watched.last_seen_at + pause)

    def _observed_announcement(
        self, member_id: identity.MemberId, watched: _Watched, now: float
    ) -> Announcement | None:
        """Returns the announcement to apply for a watched member, if any.

        Stops watching a silent member that has other watchers now.
        """
        if now - watched.last_seen_at <= LOST_AFTER_SECONDS:
            return watched.announcement
        if self.own_id not in self.watchers.for_member(member_id):
            del self._watched_by_id[member_id]
            return None
        current = self.announcement_by_id.get(member_id)
        if current is None or not watched.may_declare_lost:
            return None
        latest = watched.announcement
        if latest is None or precedence(latest) < precedence(current):
            latest = current
        return attrs.evolve(latest, state=MemberState.LOST)

    def _is_spread_due(
        self, member_id: identity.MemberId, observed: Announcement, now: float
    ) -> bool:
        current = self.announcement_by_id.get(member_id)
        if current is not None and spread_fields(current) == spread_fields(
            observed
        ):
            return True
        damping = self._damping_by_id.get(member_id)
        return damping is None or now - damping.spread_at >= damping.interval

    def _record_spread(self, member_id: identity.MemberId, now: float) -> None:
        damping = self._damping_by_id.get(member_id)
        if damping is None:
            self._damping_by_id[member_id] = _Damping(now)
            return
        quiet_s = now - damping.spread_at
        if quiet_s > 2 * damping.interval + QUIET_SECONDS:
            damping.interval = MIN_SPREAD_INTERVAL_SECONDS
        else:
            damping.interval = min(
                MAX_SPREAD_INTERVAL_SECONDS, 2 * damping.interval
            )
        damping.spread_at = now

    def visible_to(
        self, member_id: identity.MemberId
    ) -> dict[identity.MemberId, Announcement]:
        """Returns the announcements that a member may see.

        An agent only sees balancers.
        """
        if self.is_balancer(member_id):
            return self.announcement_by_id
        return {
            balancer_id: self.announcement_by_id[balancer_id]
            for balancer_id in self.digests.balancer_ids
        }

    def announcements_hash_for(self, member_id: identity.MemberId) -> int:
        """Returns a 64-bit hash over the announcements that a member may see.

        Sequences of announcements are left out, since they change each
        second.
        """
        balancers_only = not self.is_balancer(member_id)
        return self.digests.total(balancers_only=balancers_only)

    def bucket_hashes_for(self, member_id: identity.MemberId) -> bytes:
        """Returns a hash for each bucket of announcements, 1 KiB in all.

        The hashes are over the announcements that the member may see.
        """
        return self.digests.bucket_hashes(self.visible_to(member_id))
