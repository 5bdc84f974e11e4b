"""Load reports of targets and the outcomes of openings sent to them.

Agents report the load of their targets with each returned packet.
"""

from collections.abc import Set
import math

import attrs

from godwitturn.core import identity

# Capacity of a warm target in thousandths, the unit of `Load.capacity`.
FULL_CAPACITY = 1000
# A report is ignored after this time.
REPORT_LIFETIME_SECONDS = 5.0
# An unanswered opening counts as load of its target for one to two windows.
# That allows for a round trip between regions and a stalled event loop; lost
# openings must not count for longer.
IN_FLIGHT_WINDOW_SECONDS = 0.5
# A target that returned an opening is skipped for the minimum time, which
# doubles with each consecutive return up to the maximum.
MIN_SKIP_SECONDS = 0.2
MAX_SKIP_SECONDS = 3.2
# At 20% loss in each direction, three consecutive openings stay unanswered
# with a probability of 5%. Fewer would mark live targets as unresponsive too
# often.
UNRESPONSIVE_OPENINGS = 3
UNRESPONSIVE_SECONDS = 0.5
# An unresponsive target gets one opening per interval, to notice when it is
# back.
PROBE_INTERVAL_SECONDS = 1.0
# A queued request counts as one flow, up to this share of the open flows.
# Queues last for milliseconds and flows for hours: without the limit,
# momentary queues determined the placement of some hundred flows while each
# target had 40 of 2000 flows, and also while each had 4.
MAX_QUEUE_SHARE = 0.1
# Used for targets that have not reported a limit yet.
ASSUMED_FLOW_LIMIT = 2000


@attrs.define
class Load:
    """Load of one target at the time its agent sent a packet.

    Attributes:
        flows: Number of open flows and reservations.
        flow_limit: Number of flows that the agent admits now; slow start
            lowers it.
        running: Number of requests at the target.
        queued: Number of requests that wait for a slot.
        capacity: Thousandths of the warm capacity, see `core.slow_start`.
        draining: Whether the target refuses new flows.
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
    """Load report and opening outcomes of one target at one balancer.

    Attributes:
        load: The last report, or None.
        reported_at: When the last report was received, in seconds.
        pending_openings: Number of unanswered openings of the current and the
            previous window.
        pending_window_openings: Number of these that were sent in the current
            window.
        window_started_at: When the current window began, in seconds.
        openings_since_reply: Number of openings sent since the last packet
            from the target.
        first_unanswered_at: When the first of these was sent, in seconds.
        last_opening_at: When the last opening was sent, in seconds.
        consecutive_returns: Number of openings returned without an accepted
            one in between.
        skipped_until: No opening is sent until this time, in seconds, because
            the target returned some.
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
        """Returns how many openings were sent that no report includes yet.

        The agent reports its load with each reply to an opening, so the
        report includes each opening that was answered.
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
        """Returns the weight of the last report, from 1 when new down to 0."""
        if self.load is None:
            return 0.0
        return max(
            0.0, 1.0 - (now - self.reported_at) / REPORT_LIFETIME_SECONDS
        )

    def reported_utilization(self) -> float:
        """Returns the reported flows relative to the reported flow limit."""
        load = self.load
        if load is None:
            return 0.0
        flows: float = load.flows
        if load.queued:
            flows += min(load.queued, MAX_QUEUE_SHARE * load.flows)
        return flows / (load.flow_limit or 1)

    def is_unresponsive(self, now: float) -> bool:
        """Returns whether several openings in a row got no reply."""
        return (
            self.openings_since_reply >= UNRESPONSIVE_OPENINGS
            and now - self.first_unanswered_at >= UNRESPONSIVE_SECONDS
        )

    def is_skipped(self, now: float) -> bool:
        """Returns whether openings should go to other targets if possible."""
        if now < self.skipped_until:
            return True
        return (
            self.openings_since_reply >= UNRESPONSIVE_OPENINGS
            and self.is_unresponsive(now)
            and now - self.last_opening_at < PROBE_INTERVAL_SECONDS
        )

    def is_draining(self, now: float) -> bool:
        """Returns whether a recent report has the draining flag set."""
        load = self.load
        return (
            load is not None and load.draining and self.report_weight(now) > 0
        )

    def capacity(self, now: float) -> float:
        """Returns the share of openings to send, in thousandths.

        The share rises to the full one as the report ages.
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
    """Returns by how much the load of the first target exceeds the second's.

    Reported loads count less as they age. They are ignored if one of the
    targets has no report or an expired one. Openings in flight always count
    in full, multiplied by the number of balancers. The fabric sprays openings
    evenly, so the other balancers have sent as many; otherwise each balancer
    alone would compensate the whole difference that all of them see.

    Args:
        first: Statistics of one target.
        second: Statistics of another target.
        inverse_weight: 1 / weight of the first.
        other_inverse_weight: 1 / weight of the second.
        now: Seconds of a monotonic clock.
        balancer_count: Number of balancers that openings are sprayed over.
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
    weight, other_weight = first.report_weight(now), second.report_weight(now)
    if not weight or not other_weight:
        return excess
    # The weight of each report decreases on its own. A target with open flows
    # answers their packets, so an old report means that it has fewer now; at a
    # common weight, flows that have ended would count.
    return excess + (
        weight * first.reported_utilization() * inverse_weight
        - other_weight * second.reported_utilization() * other_inverse_weight
    )


@attrs.define
class TargetStatsTable:
    """Statistics of all targets; lost at a restart and soon rebuilt.

    Attributes:
        stats_by_id: Statistics by member id of the target.
    """

    stats_by_id: dict[identity.MemberId, TargetStats] = attrs.field(
        factory=dict
    )

    def opening_sent(self, target_id: identity.MemberId, now: float) -> None:
        """Records that an opening was sent to a target."""
        stats = self.stats_by_id.get(target_id)
        if stats is None:
            stats = self.stats_by_id[target_id] = TargetStats()
        if now - stats.window_started_at >= IN_FLIGHT_WINDOW_SECONDS:
            stats.pending_openings = stats.in_flight_openings(now)
            stats.pending_window_openings = 0
            stats.window_started_at = now
        stats.pending_window_openings += 1
        stats.pending_openings += 1
        if not stats.openings_since_reply:
            stats.first_unanswered_at = now
        stats.openings_since_reply += 1
        stats.last_opening_at = now

    def record(
        self, target_id: identity.MemberId, load: Load | None, now: float
    ) -> TargetStats:
        """Records the load report of a packet from a target.

        Args:
            target_id: The target that sent the packet.
            load: The report; `NO_LOAD` and None only show that the target is
                live.
            now: Seconds of a monotonic clock.

        Returns:
            The statistics of the target.
        """
        stats = self.stats_by_id.get(target_id)
        if stats is None:
            stats = self.stats_by_id[target_id] = TargetStats()
        stats.openings_since_reply = 0
        if load is None or load == NO_LOAD:
            return stats
        stats.load = load
        stats.reported_at = now
        return stats

    def _remove_pending_opening(self, stats: TargetStats) -> None:
        # Replies are received in the order of the openings, so this one is for
        # the oldest.
        stats.pending_openings = max(0, stats.pending_openings - 1)
        stats.pending_window_openings = min(
            stats.pending_window_openings, stats.pending_openings
        )

    def opening_returned(
        self, target_id: identity.MemberId, load: Load | None, now: float
    ) -> None:
        """Records that a target returned an opening.

        The return takes precedence over load reports, older or newer: only an
        accepted opening or the end of the skip time ends the skip.
        """
        stats = self.record(target_id, load, now)
        self._remove_pending_opening(stats)
        if now < stats.skipped_until:
            return  # sent before the target was skipped
        skip = MIN_SKIP_SECONDS * 2 ** min(stats.consecutive_returns, 8)
        stats.skipped_until = now + min(skip, MAX_SKIP_SECONDS)
        stats.consecutive_returns += 1

    def opening_accepted(
        self, target_id: identity.MemberId, load: Load | None, now: float
    ) -> None:
        """Records that a target accepted an opening, which ends a skip."""
        stats = self.record(target_id, load, now)
        self._remove_pending_opening(stats)
        stats.consecutive_returns = 0
        stats.skipped_until = -math.inf

    def is_avoided(self, target_id: identity.MemberId, now: float) -> bool:
        """Returns whether a target is skipped or drains at present."""
        stats = self.stats_by_id.get(target_id)
        return stats is not None and (
            stats.is_skipped(now) or stats.is_draining(now)
        )

    def retain(self, member_ids: Set[identity.MemberId]) -> None:
        """Removes the statistics of all targets except the given ones."""
        for target_id in self.stats_by_id.keys() - member_ids:
            del self.stats_by_id[target_id]
