"""Choice of balancers by rendezvous hashing."""

from collections.abc import Iterable
import hashlib

import attrs

from godwitturn.core import identity

WATCHER_COUNT = 3
# One more than the watchers, because a balancer that ranks in its own bucket
# does not watch itself.
_RANKED_COUNT = WATCHER_COUNT + 1
# Members of a bucket share a ranking: with 530 balancers, 256 rankings instead
# of one for each of 4,230 members.
BUCKET_COUNT = 256


def score(key: str, member_id: identity.MemberId) -> bytes:
    """Returns the score of a member for a key; the highest ranks first."""
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
    """Returns the bucket of a member.

    Ids are digests, so that any of their bits are evenly distributed.
    """
    return member_id % BUCKET_COUNT


@attrs.define
class WatcherTable:
    """The live balancers that watch each member.

    A new live balancer costs one merge per cached bucket. A removed one costs
    a new ranking of each bucket that it was ranked in.

    Attributes:
        live: Member ids of the live balancers.
    """

    live: frozenset[identity.MemberId] = frozenset()
    _ranking_by_bucket: dict[int, list[identity.MemberId]] = attrs.field(
        factory=dict
    )

    def set_live(self, live: frozenset[identity.MemberId]) -> None:
        """Replaces the live balancers and updates the cached rankings."""
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
        """Returns the watchers of a member, without the member itself."""
        bucket = bucket_of(member_id)
        ranking = self._ranking_by_bucket.get(bucket)
        if ranking is None:
            ranking = rank_members(f"watch|{bucket}", self.live)[
                :_RANKED_COUNT
            ]
            self._ranking_by_bucket[bucket] = ranking
        watchers = [
            watcher_id for watcher_id in ranking if watcher_id != member_id
        ]
        return tuple(watchers[:WATCHER_COUNT])
