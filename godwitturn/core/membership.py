"""Announcements of members, their liveness and the spread of changes.

A member announces itself each second to its watchers, a few live balancers
chosen by rendezvous. Only changes go further: the first time, another start,
address or state, and the loss that a watcher declares.
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

LOST_SECONDS = 3.0
# A new watcher waits this much longer, because members learn of it later.
NEW_WATCHER_SECONDS = 3.0
MIN_SPREAD_SECONDS = 1.0
MAX_SPREAD_SECONDS = 64.0
# `changes` is called about ten times a second.
PAUSE_SECONDS = 1.0
# Without a change for twice its interval and this much, a member no longer
# counts as flapping. A loss alone takes 3 s to show.
QUIET_SECONDS = 10.0


class MemberState(enum.IntEnum):
    """What an announcement, or a watcher, says of a member."""

    SERVING = 1
    DRAINING = 2
    LOST = 3


@attrs.frozen
class Announcement:
    """What a member says of itself; `LOST` is said by its watchers.

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


def order(announcement: Announcement) -> tuple[int, int, bool, int, str]:
    """Returns the rank of an announcement; the highest wins.

    At the same (start number, sequence) a loss wins, and a later sequence of
    the member refutes it. The rest only makes the order total.
    """
    return (
        announcement.start_number,
        announcement.sequence,
        announcement.state == MemberState.LOST,
        announcement.incarnation,
        f"{announcement.address}|{announcement.state:d}",
    )


def content(announcement: Announcement) -> tuple[object, ...]:
    """Returns the part whose change is spread: all but the sequence."""
    return (
        announcement.incarnation,
        announcement.start_number,
        announcement.address,
        announcement.state,
    )


def _content_hash(announcement: Announcement) -> int:
    text = f"{announcement.member_id}|{content(announcement)!r}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")


@attrs.define
class _Watched:
    """What a watcher heard from a member directly.

    Attributes:
        announcement: The latest, or None while it heard nothing.
        heard_at: When.
        armed: Whether silence still counts as a loss. A loss is declared
            once; after that, only hearing the member again arms the watcher,
            so that a watcher with a broken path doesn't contradict the others
            forever.
    """

    announcement: Announcement | None
    heard_at: float
    armed: bool = True


@attrs.define
class _Damping:
    """How often changes of a member are spread."""

    spread_at: float
    interval: float = MIN_SPREAD_SECONDS


@attrs.define
class Membership:
    """A daemon's copy of the announcements, and those that it watches.

    Memory is bounded by the approved members: anything else is refused.

    Attributes:
        own_id: The daemon's member id.
        approved: Approved members by id; see `set_approved`.
        announcement_by_id: What is in force, by member id.
        watchers: Which balancers watch whom.
        digests: Hashes of what is in force.
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
    _is_watch_due: bool = True
    _looked_at: float = -math.inf

    def set_approved(
        self, approved: Mapping[identity.MemberId, documents.Member]
    ) -> bool:
        """Forgets all but the approved members; returns if any was known."""
        self.approved = approved
        gone = [i for i in self.announcement_by_id if i not in approved]
        for table in (
            self.announcement_by_id,
            self._watched_by_id,
            self._damping_by_id,
        ):
            for member_id in [i for i in table if i not in approved]:
                del table[member_id]
        self._renew_digests()
        self._is_watch_due = True
        self._refresh_live()
        return bool(gone)

    def _renew_digests(self) -> None:
        # Approved kinds may have changed, and with them what agents see.
        hash_by_id = self.digests.hash_by_id
        self.digests = announcement_digests.DigestTable()
        for member_id in self.announcement_by_id:
            self._put_digest(member_id, hash_by_id[member_id])

    def _put_digest(self, member_id: identity.MemberId, value: int) -> None:
        self.digests.put(
            member_id, value, is_balancer=self.is_balancer(member_id)
        )

    def is_balancer(self, member_id: identity.MemberId) -> bool:
        """Returns whether an id is that of an approved balancer."""
        member = self.approved.get(member_id)
        return (
            member is not None and member.kind == documents.MemberKind.BALANCER
        )

    @property
    def live_balancers(self) -> frozenset[identity.MemberId]:
        """Approved balancers that are announced and not lost, and itself."""
        return self.watchers.live

    def _refresh_live(self) -> None:
        live = {
            member_id
            for member_id, found in self.announcement_by_id.items()
            if found.state != MemberState.LOST and self.is_balancer(member_id)
        }
        if self.is_balancer(self.own_id):
            live.add(self.own_id)
        if live != self.watchers.live:
            self.watchers.set_live(frozenset(live))

    def learn(self, announcement: Announcement) -> bool:
        """Takes over a spread announcement.

        Returns:
            Whether it changes more than the sequence, so that it is spread
            further.
        """
        member_id = announcement.member_id
        if member_id not in self.approved:
            return False
        held = self.announcement_by_id.get(member_id)
        # A watcher asks ten times a second about what it learnt before.
        if held is announcement:
            return False
        if held is not None and order(announcement) <= order(held):
            return False
        self.announcement_by_id[member_id] = announcement
        if held is not None and content(held) == content(announcement):
            return False
        self._put_digest(member_id, _content_hash(announcement))
        self._is_watch_due = True
        if self.is_balancer(member_id):
            self._refresh_live()
        return True

    def heard(self, announcement: Announcement, *, now: float) -> None:
        """Notes an announcement that its member sent to this watcher."""
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
            and order(announcement) <= order(watched.announcement)
        ):
            return
        self._watched_by_id[member_id] = _Watched(announcement, now)

    def watch(self, *, now: float) -> None:
        """Starts to watch the members that became this balancer's task.

        Only a change of announcements, approvals or live balancers gives it
        new ones, so otherwise a call costs nothing.
        """
        if not self._is_watch_due:
            return
        self._is_watch_due = False
        for member_id, found in self.announcement_by_id.items():
            if (
                found.state != MemberState.LOST
                and member_id != self.own_id
                and member_id not in self._watched_by_id
                and self.own_id in self.watchers.for_member(member_id)
            ):
                self._watched_by_id[member_id] = _Watched(
                    None, now + NEW_WATCHER_SECONDS
                )

    def changes(self, *, now: float) -> list[Announcement]:
        """Puts changes seen by this watcher in force, and returns them.

        Called on each tick, but not while the daemon is fenced.

        A change that damping holds back is not in force here either; it is
        compared again at the next call.
        """
        self._forgive_pause(now)
        changed = []
        for member_id, watched in list(self._watched_by_id.items()):
            said = self._said(member_id, watched, now)
            if said is None or not self._due(member_id, said, now):
                continue
            if said.state == MemberState.LOST:
                watched.armed = False
            if self.learn(said):
                self._note_spread(member_id, now)
                changed.append(said)
        return changed

    def _forgive_pause(self, now: float) -> None:
        # A watcher that was paused or fenced heard nobody. Its members get
        # that time back instead of all being declared lost.
        pause = now - self._looked_at
        self._looked_at = now
        if PAUSE_SECONDS < pause < math.inf:
            for watched in self._watched_by_id.values():
                watched.heard_at = min(now, watched.heard_at + pause)

    def _said(
        self, member_id: identity.MemberId, watched: _Watched, now: float
    ) -> Announcement | None:
        if now - watched.heard_at <= LOST_SECONDS:
            return watched.announcement
        if self.own_id not in self.watchers.for_member(member_id):
            del self._watched_by_id[member_id]
            return None
        held = self.announcement_by_id.get(member_id)
        if held is None or not watched.armed:
            return None
        latest = watched.announcement
        if latest is None or order(latest) < order(held):
            latest = held
        return attrs.evolve(latest, state=MemberState.LOST)

    def _due(
        self, member_id: identity.MemberId, said: Announcement, now: float
    ) -> bool:
        held = self.announcement_by_id.get(member_id)
        if held is not None and content(held) == content(said):
            return True
        damping = self._damping_by_id.get(member_id)
        return damping is None or now - damping.spread_at >= damping.interval

    def _note_spread(self, member_id: identity.MemberId, now: float) -> None:
        damping = self._damping_by_id.get(member_id)
        if damping is None:
            self._damping_by_id[member_id] = _Damping(now)
            return
        quiet = now - damping.spread_at
        if quiet > 2 * damping.interval + QUIET_SECONDS:
            damping.interval = MIN_SPREAD_SECONDS
        else:
            damping.interval = min(MAX_SPREAD_SECONDS, 2 * damping.interval)
        damping.spread_at = now

    def visible_to(
        self, member_id: identity.MemberId
    ) -> dict[identity.MemberId, Announcement]:
        """Returns what a member may see: an agent only sees balancers."""
        if self.is_balancer(member_id):
            return self.announcement_by_id
        return {
            found: self.announcement_by_id[found]
            for found in self.digests.balancer_ids
        }

    def announcements_hash_for(self, member_id: identity.MemberId) -> int:
        """Returns a 64-bit hash over what a member may see.

        Sequences of announcements are left out, since they change each
        second.
        """
        balancers_only = not self.is_balancer(member_id)
        return self.digests.total(balancers_only=balancers_only)

    def bucket_hashes_for(self, member_id: identity.MemberId) -> bytes:
        """Returns hashes of what a member may see, 1 KiB in all."""
        return self.digests.bucket_hashes(self.visible_to(member_id))
