"""Clients' packets that an agent has delivered, or queues, for its target."""

import collections

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments

# Number of deliveries kept in case the target returns their packets, which it
# does within milliseconds. The table of untracked flows has the same limit.
MAX_DELIVERIES = 1024


@attrs.define(eq=False, repr=False)
class Delivery:
    """A packet delivered to the target, or an opening queued for it.

    Attributes:
        balancer: Address of the balancer that forwarded the packet.
        forward: The message that carried the packet.
        segment: The packet.
        delivered_at: When the packet was delivered; for a queued opening, when
            it arrived at the agent.
    """

    balancer: str
    forward: messages.Forward
    segment: segments.Segment
    delivered_at: float


@attrs.define(eq=False, repr=False)
class DeliveryTable:
    """The latest deliveries, by the tag of their packet."""

    _delivery_by_tag: collections.OrderedDict[int, Delivery] = attrs.field(
        factory=collections.OrderedDict
    )
    _last_tag: int = 0

    def add(self, delivery: Delivery) -> int:
        """Adds a delivery and returns its tag."""
        # Tags are unsigned 32-bit numbers, of which 0 means none.
        self._last_tag = self._last_tag % 0xFFFFFFFF + 1
        self._delivery_by_tag[self._last_tag] = delivery
        if len(self._delivery_by_tag) > MAX_DELIVERIES:
            self._delivery_by_tag.popitem(last=False)
        return self._last_tag

    def pop(self, tag: int) -> Delivery | None:
        """Removes and returns a delivery, None if it isn't kept."""
        return self._delivery_by_tag.pop(tag, None)

    def pop_all(self) -> list[Delivery]:
        """Removes and returns all deliveries, oldest first."""
        deliveries = list(self._delivery_by_tag.values())
        self._delivery_by_tag.clear()
        return deliveries
