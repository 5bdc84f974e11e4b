"""Concurrency limit of openings for a target with a full request queue.

Many clients may connect at once, as after an outage or in a burst. Each
opening is followed by a request. Targets queue a few requests and shed the
rest, and a client whose request was shed uses up its retries within
milliseconds. Openings beyond the limit are queued at the agent instead, in
order, and delivered as the target answers, or once they have waited for
`MAX_WAIT_S`. If they were kept longer, openings whose clients have given up
would block those of other clients. This limit refuses no openings.
"""

import attrs

from godwitturn.core.transparent import segments

# Requests for each slot that may run or be queued at the target. Targets queue
# a few requests for each slot; up to that number, it makes no difference
# whether the agent or the target queues them.
WORK_PER_SLOT = 4
# Time for which this limit queues an opening. Clients repeat an opening after
# 200 ms, and a request whose opening was queued for longer would rarely be
# answered in time.
MAX_WAIT_S = 0.15
# An opening counts as work until its request arrives, one round trip to the
# client later. If no request arrives, the opening counts for this time.
MAX_OPENING_AGE_S = 0.03
# An unanswered request counts as work for this time, because a repeated packet
# of an answered request looks like a new request. Requests take tens of
# milliseconds, so an older one is no longer running.
MAX_REQUEST_AGE_S = 0.5


@attrs.define(eq=False, repr=False)
class WorkLimit:
    """Limits a target's openings and requests that have no answer yet.

    Attributes:
        requested_at_by_id: When each flow's request arrived, oldest first.
        opened_at_by_id: When each opening without a request yet was delivered,
            oldest first.
    """

    requested_at_by_id: dict[segments.FlowId, float] = attrs.field(
        factory=dict
    )
    opened_at_by_id: dict[segments.FlowId, float] = attrs.field(factory=dict)

    def record_opening(self, flow_id: segments.FlowId, *, now: float) -> None:
        """Adds an opening that is delivered to the target."""
        self.opened_at_by_id[flow_id] = now

    def start_request(self, flow_id: segments.FlowId, *, now: float) -> None:
        """Adds a request, which replaces the opening of its flow."""
        self.opened_at_by_id.pop(flow_id, None)
        self.requested_at_by_id[flow_id] = now

    def finish(self, flow_id: segments.FlowId) -> None:
        """Removes a flow that was answered or has ended."""
        self.opened_at_by_id.pop(flow_id, None)
        self.requested_at_by_id.pop(flow_id, None)

    def clear(self) -> None:
        """Removes all work, after the target has ended."""
        self.opened_at_by_id.clear()
        self.requested_at_by_id.clear()

    def capacity(self, *, slots: int, now: float) -> int:
        """Returns how many more openings may go to the target now.

        Args:
            slots: Requests that the target can run at the same time.
            now: Seconds.
        """
        for table, limit_s in (
            (self.opened_at_by_id, MAX_OPENING_AGE_S),
            (self.requested_at_by_id, MAX_REQUEST_AGE_S),
        ):
            while table:
                flow_id = next(iter(table))
                if now - table[flow_id] < limit_s:
                    break
                del table[flow_id]
        work = len(self.opened_at_by_id) + len(self.requested_at_by_id)
        return max(0, WORK_PER_SLOT * max(1, slots) - work)
