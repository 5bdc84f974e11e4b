"""Hashes over announcements, by which two daemons find what differs.

Sums of hashes don't depend on order, so an announcement is added or replaced
at a cost that doesn't grow with the fleet. Daemons compare their sums each
second, and the hashes of buckets only when the sums differ.
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
        balancer_ids: Members among them that are balancers, which is what
            agents may see.
    """

    hash_by_id: dict[identity.MemberId, int] = attrs.field(factory=dict)
    balancer_ids: set[identity.MemberId] = attrs.field(factory=set)
    _sum: int = 0
    _balancer_sum: int = 0

    def put(
        self, member_id: identity.MemberId, value: int, *, is_balancer: bool
    ) -> None:
        """Adds or replaces the hash of a member."""
        self.remove(member_id)
        self.hash_by_id[member_id] = value
        self._sum += value
        if is_balancer:
            self.balancer_ids.add(member_id)
            self._balancer_sum += value

    def remove(self, member_id: identity.MemberId) -> None:
        """Forgets a member, if it is known."""
        value = self.hash_by_id.pop(member_id, 0)
        self._sum -= value
        if member_id in self.balancer_ids:
            self.balancer_ids.remove(member_id)
            self._balancer_sum -= value

    def total(self, *, balancers_only: bool) -> int:
        """Returns the sum over all members or balancers, 64 bits."""
        total = self._balancer_sum if balancers_only else self._sum
        return total & _SUM_MASK

    def bucket_hashes(self, visible: Iterable[identity.MemberId]) -> bytes:
        """Returns 32 bits for each bucket, 1 KiB in all."""
        hashes = [0] * rendezvous.BUCKET_COUNT
        for member_id in visible:
            bucket = rendezvous.bucket_of(member_id)
            hashes[bucket] += self.hash_by_id[member_id]
        return _BUCKET_HASHES.pack(*(value & _BUCKET_MASK for value in hashes))


def differing_buckets(one: bytes, other: bytes) -> frozenset[int]:
    """Returns the buckets whose hashes differ.

    Args:
        one: Hashes from `DigestTable.bucket_hashes`.
        other: Hashes of the same length.
    """
    pairs = zip(
        _BUCKET_HASHES.unpack(one), _BUCKET_HASHES.unpack(other), strict=True
    )
    return frozenset(i for i, (mine, its) in enumerate(pairs) if mine != its)
