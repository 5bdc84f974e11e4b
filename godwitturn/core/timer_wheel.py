"""Timers grouped in buckets, so that expiry never scans a whole table."""

import collections
import heapq
import math
from typing import Generic
from typing import TypeVar

import attrs

Item = TypeVar("Item")


@attrs.define(eq=False)
class TimerWheel(Generic[Item]):
    """Items by the time at which they are due.

    Timers are not cancelled. The caller of `pop_due` checks whether a due item
    is still relevant, and schedules it again if its time was extended. A
    packet that extends a timer thus causes no work here.

    Attributes:
        resolution_seconds: Width of a bucket. Items are never due early, and
            late by at most this time.
    """

    resolution_seconds: float
    _items_by_bucket: dict[int, list[Item]] = attrs.field(
        factory=dict, init=False
    )
    _buckets: list[int] = attrs.field(factory=list, init=False)
    _due: "collections.deque[Item]" = attrs.field(
        factory=collections.deque, init=False
    )

    def schedule(self, item: Item, due_at: float) -> None:
        """Schedules an item.

        Args:
            item: The item.
            due_at: When it is due, in seconds.
        """
        bucket = math.ceil(due_at / self.resolution_seconds)
        items = self._items_by_bucket.get(bucket)
        if items is None:
            self._items_by_bucket[bucket] = [item]
            heapq.heappush(self._buckets, bucket)
        else:
            items.append(item)

    def pop_due(self, now: float, limit: int) -> list[Item]:
        """Removes and returns at most `limit` items that are due."""
        last = math.floor(now / self.resolution_seconds)
        while self._buckets and self._buckets[0] <= last:
            bucket = heapq.heappop(self._buckets)
            self._due.extend(self._items_by_bucket.pop(bucket))
        count = min(limit, len(self._due))
        return [self._due.popleft() for _ in range(count)]

    def clear(self) -> None:
        """Removes all items."""
        self._items_by_bucket.clear()
        self._buckets.clear()
        self._due.clear()
