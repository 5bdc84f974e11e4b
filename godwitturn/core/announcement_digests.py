"""Hashes over announcements, used to find differences between daemons.

A sum of hashes doesn't depend on their order and is updated in place, so
adding or replacing an announcement costs the same at any size of the fleet.
Daemons compare their sums each second, and the hashes of buckets only when
the sums differ.
"""

from collections.abc import Iterable
import struct

import attrs

from godwitturn.core import identity
from godwitturn.core import rendezvous

_SUM_MASK = 0xFFFFFFFFFFFFFFFF
_BUCKET_MASK = 0xFFFFFFFF
_BUCKET_HASHES = struct.Struct(f"!{rendezvous.BUCKET_COUNT}I")


@attrs.define
class DigestTable:
    """Hashes of announcements by member, and their sums.

    Attributes:
        hash_by_id: 64-bit hash of each member's announcement.
        balancer_ids: Members that are balancers; agents may only see their
            announcements.
    """

    hash_by_id: dict[identity.MemberId, int] = attrs.field(factory=dict)
    balancer_ids: set[identity.MemberId] = attrs.field(factory=set)
    _sum: int = 0
    _balancer_sum: int = 0

    def put(
        self, member_id: identity.MemberId, value: int, *, is_balancer: bool
    ) -> None:
        """Adds or replaces the hash of a member's announcement.

        Args:
            member_id: The member.
            value: 64-bit hash of its announcement.
            is_balancer: Whether agents may see the announcement.
        """
        self.remove(member_id)
        self.hash_by_id[member_id] = value
        self._sum += value
        if is_balancer:
            self.balancer_ids.add(member_id)
            self._balancer_sum += value

    def remove(self, member_id: identity.MemberId) -> None:
        """Removes a member, if the table has it."""
        value = self.hash_by_id.pop(member_id, 0)
        self._sum -= value
        if member_id in self.balancer_ids:
            self.balancer_ids.remove(member_id)
            self._balancer_sum -= value

    def total(self, *, balancers_only: bool) -> int:
        """Returns the 64-bit sum of hashes of all members or balancers."""
        total = self._balancer_sum if balancers_only else self._sum
        return total & _SUM_MASK

    def bucket_hashes(self, member_ids: Iterable[identity.MemberId]) -> bytes:
        """Returns a 32-bit sum of hashes for each bucket, 1 KiB in all.

        Args:
            member_ids: Members that are included; all are in the table.
        """
        hashes = [0] * rendezvous.BUCKET_COUNT
        for member_id in member_ids:
            bucket = rendezvous.bucket_of(member_id)
            hashes[bucket] += self.hash_by_id[member_id]
        return _BUCKET_HASHES.pack(*(value & _BUCKET_MASK for value in hashes))


def differing_buckets(own_hashes: bytes, peer_hashes: bytes) -> frozenset[int]:
    """Returns the buckets whose hashes differ.

    Args:
        own_hashes: Hashes from `DigestTable.bucket_hashes`.
        peer_hashes: Hashes of a peer, of the same length.
    """
    pairs = zip(
        _BUCKET_HASHES.unpack(own_hashes),
        _BUCKET_HASHES.unpack(peer_hashes),
        strict=True,
    )
    return frozenset(
        bucket for bucket, (own, peer) in enumerate(pairs) if own != peer
    )
