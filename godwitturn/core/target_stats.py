"""Load of targets, as their agents report it on each returned packet."""

from collections.abc import Set
import math

import attrs

from godwitturn.core import identity

FULL_CAPACITY = 1000
# A report says nothing about the present after this time.
REPORT_LIFETIME_SECONDS = 5.0
# An opening without an answer counts at its target for this time to twice
# this time. It is long enough for a round trip between regions and a stalled
# event loop; lost openings must not count for longer.
IN_FLIGHT_WINDOW_SECONDS = 0.5
# A target that returned an opening is skipped for the first time, doubled
# with each further return in a row, up to the second.
MIN_SKIP_SECONDS = 0.2
MAX_SKIP_SECONDS = 3.2
# Three openings in a row are lost both ways with a probability of 5% at 20%
# loss, so fewer would call a live target silent too often.
UNRESPONSIVE_OPENINGS = 3
UNRESPONSIVE_SECONDS = 0.5
# A silent target gets one opening in this time, so that it is found again.
PROBE_INTERVAL_SECONDS = 1.0
# A queued request counts as one flow, up to this share of the flows held. A
# queue is a matter of milliseconds and flows last for hours: at 40 flows of
# 2000 each, and also at 4 flows each, the placement of some hundred flows
# followed the noise of queues.
MAX_QUEUE_SHARE = 0.1
# Stands in for the limit of targets that have not reported yet.
ASSUMED_FLOW_LIMIT = 2000


@attrs.define
class Load:
    """Load of one target at the moment its agent sent a packet.

    Attributes:
        flows: Flows and reservations held.
        flow_limit: Flows the agent admits now, lowered by slow start.
        running: Requests at the target.
        queued: Requests waiting for a slot.
        capacity: Thousandths of the warm capacity, see slow start.
        draining: Whether the target takes no new flows.
    """

    flows: int
    flow_limit: int
    running: int
    queued: int
    capacity: int
    draining: bool = False


NO_LOAD = Load(0, 0, 0, 0, 0)


@attrs.define
class TargetStats:
    """What a balancer knows about one target from its own packets.

    Attributes:
        load: The last report, or None.
        reported_at: When the last report arrived.
        openings: Openings sent and not answered, of this and the last window.
        window_openings: The part of `openings` sent since `window_start`.
        window_start: Start of this window.
        unanswered: Openings sent since the last word from the target.
        unanswered_since: When the first of these was sent.
        opened_at: When the last opening was sent.
        returns: Openings returned in a row.
        skipped_until: Until when no opening is sent because of returns.
    """

    load: Load | None = None
    reported_at: float = 0.0
    pending_openings: int = 0
    pending_window_openings: int = 0
    window_started_at: float = 0.0
    openings_since_reply: int = 0
    first_unanswered_at: float = 0.0
    last_opening_at: float = 0.0
    consecutive_returns: int = 0
    skipped_until: float = -math.inf

    def in_flight_openings(self, now: float) -> int:
        """Returns the openings sent that no report includes yet.

        The agent reports its load with each answer to an opening, so that an
        answered one is in a report.
        """
        age = now - self.window_started_at
        if age < IN_FLIGHT_WINDOW_SECONDS:
            return self.pending_openings
        return (
            self.pending_window_openings
            if age < 2 * IN_FLIGHT_WINDOW_SECONDS
            else 0
        )

    def report_weight(self, now: float) -> float:
        """Returns how far the last report still holds, 1 to 0."""
        if self.load is None:
            return 0.0
        return max(
            0.0, 1.0 - (now - self.reported_at) / REPORT_LIFETIME_SECONDS
        )

    def reported_utilization(self) -> float:
        """Returns the last reported load relative to the limit."""
        load = self.load
        if load is None:
            return 0.0
        flows: float = load.flows
        if load.queued:
            flows += min(load.queued, MAX_QUEUE_SHARE * load.flows)
        return flows / (load.flow_limit or 1)

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether several openings were sent without any word."""
        return (
            self.openings_since_reply >= UNRESPONSIVE_OPENINGS
            and now - self.first_unanswered_at >= UNRESPONSIVE_SECONDS
        )

    def is_skipped(self, now: float) -> bool:
        """Returns whether openings should go elsewhere if they can."""
        if now < self.skipped_until:
            return True
        return (
            self.openings_since_reply >= UNRESPONSIVE_OPENINGS
            and self.is_unresponsive(now)
            and now - self.last_opening_at < PROBE_INTERVAL_SECONDS
        )

    def is_draining(self, now: float) -> bool:
        """Returns whether the target said lately that it drains."""
        load = self.load
        return (
            load is not None and load.draining and self.report_weight(now) > 0
        )

    def capacity(self, now: float) -> float:
        """Returns the share of openings to send, in thousandths.

        It returns to the full share as the report grows old.
        """
        if self.load is None:
            return FULL_CAPACITY
        missing = FULL_CAPACITY - self.load.capacity
        return FULL_CAPACITY - missing * self.report_weight(now)


NO_STATS = TargetStats()


def excess_load(
    first: TargetStats,
    second: TargetStats,
    inverse_weight: float,
    other_inverse_weight: float,
    now: float,
    balancer_count: int = 1,
) -> float:
    """Returns by how much the first target is more loaded than the second.

    Reported loads count less as they grow old, and count for nothing if one
    of the targets is unknown or its report is too old. Openings in flight
    always count in full, once for each balancer: the fabric sprays evenly, so
    the others have as many, and else each balancer would close the whole gap
    that all of them see.

    Args:
        first: Evidence about one target.
        second: Evidence about another.
        inverse_weight: 1 / weight of the first.
        other_inverse_weight: 1 / weight of the second.
        now: Seconds of a monotonic clock.
        balancer_count: Count of balancers that openings are sprayed over.
    """
    load = first.load or second.load
    other_load = second.load or load
    limit = (load.flow_limit if load else 0) or ASSUMED_FLOW_LIMIT
    other_limit = (
        other_load.flow_limit if other_load else 0
    ) or ASSUMED_FLOW_LIMIT
    excess = balancer_count * (
        first.in_flight_openings(now) / limit * inverse_weight
        - second.in_flight_openings(now) / other_limit * other_inverse_weight
    )
    fresh, other_fresh = first.report_weight(now), second.report_weight(now)
    if not fresh or not other_fresh:
        return excess
    # Each report fades on its own. A target that holds flows answers their
    # packets, so an old report means fewer flows now; against a fresh one it
    # would else count for flows that have ended.
    return excess + (
        fresh * first.reported_utilization() * inverse_weight
        - other_fresh * second.reported_utilization() * other_inverse_weight
    )


@attrs.define
class TargetStatsTable:
    """Recent evidence by target; lost with the balancer and soon rebuilt.

    Attributes:
        entry_by_id: Evidence by member id of the target.
    """

    stats_by_id: dict[identity.MemberId, TargetStats] = attrs.field(
        factory=dict
    )

    def opening_sent(self, target_id: identity.MemberId, now: float) -> None:
        """Counts an opening that was sent to a target."""
        entry = self.stats_by_id.get(target_id)
        if entry is None:
            entry = self.stats_by_id[target_id] = TargetStats()
        if now - entry.window_started_at >= IN_FLIGHT_WINDOW_SECONDS:
            entry.pending_openings = entry.in_flight_openings(now)
            entry.pending_window_openings = 0
            entry.window_started_at = now
        entry.pending_window_openings += 1
        entry.pending_openings += 1
        if not entry.openings_since_reply:
            entry.first_unanswered_at = now
        entry.openings_since_reply += 1
        entry.last_opening_at = now

    def record(
        self, target_id: identity.MemberId, load: Load | None, now: float
    ) -> TargetStats:
        """Stores a report that arrived on any packet from a target.

        Args:
            target_id: The target that sent it.
            load: The report; `NO_LOAD` and None only say that it is alive.
            now: The present time.
        """
        entry = self.stats_by_id.get(target_id)
        if entry is None:
            entry = self.stats_by_id[target_id] = TargetStats()
        entry.openings_since_reply = 0
        if load is None or load == NO_LOAD:
            return entry
        entry.load = load
        entry.reported_at = now
        return entry

    def _remove_pending_opening(self, entry: TargetStats) -> None:
        # Answers come in the order of the openings, so the oldest is answered.
        entry.pending_openings = max(0, entry.pending_openings - 1)
        entry.pending_window_openings = min(
            entry.pending_window_openings, entry.pending_openings
        )

    def opening_returned(
        self, target_id: identity.MemberId, load: Load | None, now: float
    ) -> None:
        """Stores that a target returned an opening.

        The return outranks any load reported before or after it: only an
        accepted opening or the passing of time ends the skip.
        """
        entry = self.record(target_id, load, now)
        self._remove_pending_opening(entry)
        if now < entry.skipped_until:
            return  # sent before the target was skipped
        skip = MIN_SKIP_SECONDS * 2 ** min(entry.consecutive_returns, 8)
        entry.skipped_until = now + min(skip, MAX_SKIP_SECONDS)
        entry.consecutive_returns += 1

    def opening_accepted(
        self, target_id: identity.MemberId, load: Load | None, now: float
    ) -> None:
        """Stores that a target accepted an opening, which ends a skip."""
        entry = self.record(target_id, load, now)
        self._remove_pending_opening(entry)
        entry.consecutive_returns = 0
        entry.skipped_until = -math.inf

    def is_avoided(self, target_id: identity.MemberId, now: float) -> bool:
        """Returns whether a target should get no opening for the moment."""
        entry = self.stats_by_id.get(target_id)
        return entry is not None and (
            entry.is_skipped(now) or entry.is_draining(now)
        )

    def retain(self, member_ids: Set[identity.MemberId]) -> None:
        """Forgets targets that are no longer approved."""
        for target_id in self.stats_by_id.keys() - member_ids:
            del self.stats_by_id[target_id]
