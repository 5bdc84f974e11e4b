"""Order of the openings with terms that are queued at an agent.

Openings that can still meet their objective go first, by priority and then by
earliest objective. The others follow by earliest timeout. A share of the
starts goes to lower priorities, so that none starves.
"""

import bisect

import attrs

from godwitturn.core.transparent import deliveries
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments

# Seconds from a client's first opening to each of its copies.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
# Seconds from a client's first opening until it gives up.
CLIENT_PATIENCE_S = 1.4
# Time that it takes to return an opening and offer it to another target: two
# one-way delays.
HANDOVER_COST_S = 0.01
# Time in seconds before its objective by which an opening must be expected to
# be answered. It covers delays of daemons with a fraction of a core.
OBJECTIVE_MARGIN_S = 0.02
# One of this many starts goes to a lower priority.
STARTS_PER_LOWER_PRIORITY = 5
# Openings admitted are counted in intervals of this length in seconds. Their
# lasting rate is the median of the latest intervals. After a restart of all
# daemons, clients reconnect for about a second; that isn't a lasting rate, and
# their requests can still be answered late.
RATE_INTERVAL_S = 0.25
RATE_INTERVALS = 7


def copy_delay_s(opening: segments.Segment) -> float:
    """Returns the time from a client's first opening to this copy of it."""
    return COPY_DELAYS_S[min(opening.acknowledged, len(COPY_DELAYS_S) - 1)]


@attrs.define(eq=False, repr=False)
class QueuedOpening:
    """An opening with terms.

    Attributes:
        opening: The opening.
        terms: Its terms.
        objective_at: When its response should reach the client, including a
            margin.
        expires_at: When its response must reach the client: its timeout, or
            the latest response to an opening that is accepted in time.
        number: Number of the opening in the order of arrival.
    """

    opening: deliveries.Delivery
    terms: messages.RequestTerms
    objective_at: float
    expires_at: float
    number: int = 0

    @property
    def flow_id(self) -> segments.FlowId:
        """The opening's flow."""
        return self.opening.segment.flow_id


def make_queued_opening(
    opening: deliveries.Delivery,
    terms: messages.RequestTerms,
    *,
    service_s: float,
    round_trip_s: float,
    now: float,
) -> QueuedOpening:
    """Returns an opening with the times by which it must be answered.

    Args:
        opening: The opening.
        terms: Its terms.
        service_s: Mean time in seconds for which a request occupies a slot.
        round_trip_s: Time in seconds from here to the client and back.
        now: Seconds.
    """
    first_sent_at = (
        now
        - copy_delay_s(opening.segment)
        - terms.tries * HANDOVER_COST_S
        - 0.5 * round_trip_s
    )
    timeout_s = terms.timeout_ms / 1000 or float("inf")
    objective_s = terms.objective_ms / 1000 or timeout_s
    # The acceptance takes half a round trip to the client, the request and its
    # response take another one.
    patience_s = CLIENT_PATIENCE_S + round_trip_s + service_s
    return QueuedOpening(
        opening,
        terms,
        first_sent_at + min(objective_s, timeout_s) - OBJECTIVE_MARGIN_S,
        first_sent_at + min(timeout_s, patience_s),
    )


@attrs.define(eq=False, repr=False)
class AdmissionRate:
    """Rate at which openings of one priority are admitted."""

    # Numbers of openings by the number of their interval, oldest first.
    _count_by_interval: dict[int, int] = attrs.field(factory=dict)

    def record(self, *, now: float) -> None:
        """Adds an opening."""
        current = int(now / RATE_INTERVAL_S)
        counts = self._count_by_interval
        counts[current] = counts.get(current, 0) + 1
        while next(iter(counts)) < current - RATE_INTERVALS:
            del counts[next(iter(counts))]

    def per_second(self, *, now: float) -> float:
        """Returns the rate in openings per second."""
        current = int(now / RATE_INTERVAL_S)
        counts = [
            self._count_by_interval.get(number, 0)
            for number in range(current - RATE_INTERVALS, current)
        ]
        return sorted(counts)[RATE_INTERVALS // 2] / RATE_INTERVAL_S


# Sort key of an opening, its number, and the opening.
_Entry = tuple[float, int, QueuedOpening]
# In place of a number, it stands after all openings with the same time.
_LAST = float("inf")


@attrs.define(eq=False, repr=False)
class OpeningQueue:
    """Openings with terms, in the order in which they start.

    Lists are sorted, so adding an opening and taking the next one cost a
    binary search and a move within one list.
    """

    _queued_by_id: dict[segments.FlowId, QueuedOpening] = attrs.field(
        factory=dict
    )
    # Openings that can meet their objective, by it, for each priority.
    _timely_by_priority: dict[int, list[_Entry]] = attrs.field(factory=dict)
    # Openings that can't, by the time when they expire.
    _late: list[_Entry] = attrs.field(factory=list)
    _rate_by_priority: dict[int, AdmissionRate] = attrs.field(factory=dict)
    _last_number: int = 0
    # Starts of a priority since the last one of a lower priority that waited.
    _starts: int = 0

    def __len__(self) -> int:
        """Returns the number of openings."""
        return len(self._queued_by_id)

    def __contains__(self, flow_id: segments.FlowId) -> bool:
        """Returns whether the opening of a flow is queued."""
        return flow_id in self._queued_by_id

    def find(self, flow_id: segments.FlowId) -> deliveries.Delivery | None:
        """Returns the queued opening of a flow, None if there is none."""
        queued = self._queued_by_id.get(flow_id)
        return queued.opening if queued is not None else None

    @property
    def timely_count(self) -> int:
        """Number of openings that can meet their objective."""
        return len(self._queued_by_id) - len(self._late)

    def count_by_priority(self) -> dict[int, int]:
        """Returns the number of openings of each priority."""
        counts: dict[int, int] = {}
        for queued in self._queued_by_id.values():
            priority = queued.terms.priority
            counts[priority] = counts.get(priority, 0) + 1
        return counts

    def add(self, queued: QueuedOpening) -> None:
        """Adds an opening."""
        self._last_number += 1
        queued.number = self._last_number
        self._queued_by_id[queued.flow_id] = queued
        bisect.insort(
            self._timely_by_priority.setdefault(queued.terms.priority, []),
            (queued.objective_at, queued.number, queued),
        )

    def starts_before(self, queued: QueuedOpening, *, answer_at: float) -> int:
        """Returns how many openings start before one that would be added.

        Args:
            queued: The opening.
            answer_at: When the response to an opening that starts now would
                reach the client.
        """
        if queued.objective_at < answer_at:
            earlier = bisect.bisect(self._late, (queued.expires_at, _LAST))
            return self.timely_count + earlier
        priority = queued.terms.priority
        higher = lower = earlier = 0
        for other, entries in self._timely_by_priority.items():
            if other < priority:
                higher += len(entries)
            elif other > priority:
                lower += len(entries)
            else:
                earlier = bisect.bisect(entries, (queued.objective_at, _LAST))
        ahead = _place(higher, earlier)
        if not higher:
            ahead += min(lower, ahead // (STARTS_PER_LOWER_PRIORITY - 1))
        return ahead

    def record_admitted(self, priority: int, *, now: float) -> None:
        """Counts an opening that is queued or goes to the target."""
        rate = self._rate_by_priority.setdefault(priority, AdmissionRate())
        rate.record(now=now)

    def share_left(
        self, priority: int, *, late: bool, interval_s: float, now: float
    ) -> float:
        """Returns the share of the starts that openings ahead leave to one.

        Openings that will arrive later start before an opening of a lower
        priority, and before one that misses its objective.

        Args:
            priority: Priority of the opening.
            late: Whether it will miss its objective.
            interval_s: Mean time in seconds between two starts.
            now: Seconds.
        """
        rate = sum(
            rate.per_second(now=now)
            for other, rate in self._rate_by_priority.items()
            if late or other < priority
        )
        if late:
            # Only a lasting overload keeps openings that are late from being
            # answered; otherwise they start in a pause.
            return 0.0 if rate * interval_s >= 1.0 else 1.0
        minimum = 1.0 / STARTS_PER_LOWER_PRIORITY
        return max(minimum, 1.0 - rate * interval_s)

    def pop_expired(self, *, answer_at: float) -> list[QueuedOpening]:
        """Removes openings that can't be answered in time any more.

        Args:
            answer_at: When the response to an opening that starts now would
                reach the client.
        """
        for entries in self._timely_by_priority.values():
            count = bisect.bisect(entries, (answer_at,))
            for _, number, queued in entries[:count]:
                bisect.insort(self._late, (queued.expires_at, number, queued))
            del entries[:count]
        count = bisect.bisect(self._late, (answer_at,))
        expired = [queued for _, _, queued in self._late[:count]]
        del self._late[:count]
        for queued in expired:
            del self._queued_by_id[queued.flow_id]
        return expired

    def pop_unreachable(
        self, answer_at: float, interval_s: float, *, now: float
    ) -> list[QueuedOpening]:
        """Removes openings that can't be answered in time from their place.

        Args:
            answer_at: When the response to an opening that starts now would
                reach the client.
            interval_s: Mean time in seconds between two starts.
            now: Seconds.
        """
        unreachable: list[QueuedOpening] = []
        higher = 0
        for priority in sorted(self._timely_by_priority):
            entries = self._timely_by_priority[priority]
            kept: list[_Entry] = []
            for entry in entries:
                place = _place(higher, len(kept))
                if entry[2].expires_at < answer_at + place * interval_s:
                    unreachable.append(entry[2])
                else:
                    kept.append(entry)
            entries[:] = kept
            higher += len(kept)
        late_share = self.share_left(
            0, late=True, interval_s=interval_s, now=now
        )
        kept = []
        for entry in self._late:
            wait_s = (higher + len(kept)) * interval_s
            # Without a queue, an opening starts next whatever arrives later.
            if wait_s and (
                not late_share
                or entry[2].expires_at < answer_at + wait_s / late_share
            ):
                unreachable.append(entry[2])
            else:
                kept.append(entry)
        self._late[:] = kept
        for queued in unreachable:
            del self._queued_by_id[queued.flow_id]
        return unreachable

    def pop_next(self) -> QueuedOpening | None:
        """Removes and returns the opening that starts next, None if none."""
        priorities = sorted(
            priority
            for priority, entries in self._timely_by_priority.items()
            if entries
        )
        if not priorities:
            return self._pop(self._late, 0) if self._late else None
        first = priorities[0]
        if len(priorities) > 1:
            entries = min(
                (self._timely_by_priority[other] for other in priorities[1:]),
                key=lambda entries: entries[0][2].opening.delivered_at,
            )
            index = 0
        else:
            entries = self._late
            index = self._late_index_below(first)
        if index < len(entries):
            self._starts += 1
            if self._starts >= STARTS_PER_LOWER_PRIORITY:
                self._starts = 0
                return self._pop(entries, index)
        return self._pop(self._timely_by_priority[first], 0)

    def _late_index_below(self, priority: int) -> int:
        """Returns the index of the first late opening of a lower priority.

        It is the number of late openings if there is none.
        """
        for index, (_, _, queued) in enumerate(self._late):
            if queued.terms.priority > priority:
                return index
        return len(self._late)

    def _pop(self, entries: list[_Entry], index: int) -> QueuedOpening:
        _, _, queued = entries.pop(index)
        del self._queued_by_id[queued.flow_id]
        return queued

    def pop_arrived_before(self, time: float) -> list[QueuedOpening]:
        """Removes and returns openings that arrived before a time."""
        outdated = [
            queued
            for queued in self._queued_by_id.values()
            if queued.opening.delivered_at < time
        ]
        if outdated:
            kept = [
                queued
                for queued in self.pop_all()
                if queued.opening.delivered_at >= time
            ]
            for queued in kept:
                self.add(queued)
        return outdated

    def remove(self, flow_id: segments.FlowId) -> None:
        """Removes the opening of a flow, if it is queued."""
        if flow_id in self._queued_by_id:
            for queued in self.pop_all():
                if queued.flow_id != flow_id:
                    self.add(queued)

    def pop_last(self) -> QueuedOpening:
        """Removes and returns the opening that would start last."""
        if self._late:
            return self._pop(self._late, -1)
        lowest = max(
            priority
            for priority, entries in self._timely_by_priority.items()
            if entries
        )
        return self._pop(self._timely_by_priority[lowest], -1)

    def pop_all(self) -> list[QueuedOpening]:
        """Removes and returns all openings, in the order of arrival."""
        queued = list(self._queued_by_id.values())
        self._queued_by_id.clear()
        self._timely_by_priority.clear()
        self._late.clear()
        return queued


def _place(higher: int, earlier: int) -> int:
    """Returns how many openings start before one that can be timely.

    Lower priorities get one of five starts, so at most four others start
    before each of them.

    Args:
        higher: Number of openings of higher priorities.
        earlier: Number of openings of the same priority that go first.
    """
    others = STARTS_PER_LOWER_PRIORITY - 1
    return min(higher + earlier, (earlier + 1) * others + earlier)
