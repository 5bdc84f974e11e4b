"""Choice of a few balancers by rendezvous hashing."""

from collections.abc import Iterable
import hashlib

import attrs

from godwitturn.core import identity

WATCHER_COUNT = 3
# One more than the watchers, so that a balancer that watches itself by hash
# can be left out.
_RANKED_COUNT = WATCHER_COUNT + 1
# Members share the ranking of their bucket: with 530 balancers, 256 rankings
# instead of one for each of 4,230 members.
BUCKET_COUNT = 256


def score(key: str, member_id: identity.MemberId) -> bytes:
    """Returns the rank value of a member for a key; the highest wins."""
    text = f"{key}|{member_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def rank_members(
    key: str, members: Iterable[identity.MemberId]
) -> list[identity.MemberId]:
    """Returns members from the highest score for a key to the lowest."""
    return sorted(
        members, key=lambda member_id: score(key, member_id), reverse=True
    )


def bucket_of(member_id: identity.MemberId) -> int:
    """Returns the bucket of a member; ids are digests, so any bits do."""
    return member_id % BUCKET_COUNT


@attrs.define
class WatcherTable:
    """Which live balancers watch each member.

    A change of the live balancers costs one score for each known bucket, and
    a new ranking only for the buckets of a balancer that left.
    """

    live: frozenset[identity.MemberId] = frozenset()
    _ranking_by_bucket: dict[int, list[identity.MemberId]] = attrs.field(
        factory=dict
    )

    def set_live(self, live: frozenset[identity.MemberId]) -> None:
        """Takes over which balancers are live."""
        added = live - self.live
        removed = self.live - live
        self.live = live
        for bucket, ranking in list(self._ranking_by_bucket.items()):
            if removed.intersection(ranking):
                del self._ranking_by_bucket[bucket]
            elif added:
                merged = rank_members(f"watch|{bucket}", [*ranking, *added])
                self._ranking_by_bucket[bucket] = merged[:_RANKED_COUNT]

    def for_member(
        self, member_id: identity.MemberId
    ) -> tuple[identity.MemberId, ...]:
        """Returns the watchers of a member, itself left out."""
        bucket = bucket_of(member_id)
        ranking = self._ranking_by_bucket.get(bucket)
        if ranking is None:
            ranking = rank_members(f"watch|{bucket}", self.live)[
                :_RANKED_COUNT
            ]
            self._ranking_by_bucket[bucket] = ranking
        others = [
            watcher_id for watcher_id in ranking if watcher_id != member_id
        ]
        return tuple(others[:WATCHER_COUNT])
