"""Holds openings back while a target has all the work that it can queue.

Pattern: many clients come back at once, as after an outage or in a burst.
Each opening is followed by a request; targets queue a few and shed the rest,
and a client whose request was shed spends its retries within milliseconds.
Openings beyond the limit wait at the agent instead, in order, and get to the
target as it answers. None waits for long or is refused for that reason: a
queue of openings whose clients have given up would keep others out.
"""

import attrs

from godwitturn.core.transparent import segments

# Requests for each slot that run or queue at the target. Targets queue a few
# for each slot; below that, waiting here and waiting there cost the same.
WORK_PER_SLOT = 4
# Clients repeat an opening after 200 ms, and a request that waited longer
# would rarely be answered in time.
MAX_WAIT_S = 0.15
# An opening counts as work until its request arrives, which takes a round
# trip to the client. A client that sends none stops counting after this.
OPENING_S = 0.03
# A packet that repeats an answered request looks like another one. Requests
# take tens of milliseconds, so that what is older is no longer at work.
REQUEST_S = 0.5


@attrs.define(eq=False, repr=False)
class WorkLimit:
    """Work of a target that has not been answered.

    Attributes:
        asked_at_by_id: When the request of each flow came, oldest first.
        opened_at_by_id: Openings whose request hasn't come, oldest first.
    """

    requested_at_by_id: dict[segments.FlowId, float] = attrs.field(
        factory=dict
    )
    opened_at_by_id: dict[segments.FlowId, float] = attrs.field(factory=dict)

    def record_opening(self, flow_id: segments.FlowId, *, now: float) -> None:
        """Notes an opening given to the target."""
        self.opened_at_by_id[flow_id] = now

    def start_request(self, flow_id: segments.FlowId, *, now: float) -> None:
        """Notes a request given to the target."""
        self.opened_at_by_id.pop(flow_id, None)
        self.requested_at_by_id[flow_id] = now

    def finish(self, flow_id: segments.FlowId) -> None:
        """Notes that the target answered, or that the flow has ended."""
        self.opened_at_by_id.pop(flow_id, None)
        self.requested_at_by_id.pop(flow_id, None)

    def clear(self) -> None:
        """Notes that the target has ended."""
        self.opened_at_by_id.clear()
        self.requested_at_by_id.clear()

    def capacity(self, *, slots: int, now: float) -> int:
        """Returns how many openings may go to the target now.

        Args:
            slots: Requests that the target runs at the same time.
            now: Seconds.
        """
        for table, limit_s in (
            (self.opened_at_by_id, OPENING_S),
            (self.requested_at_by_id, REQUEST_S),
        ):
            while table:
                flow_id = next(iter(table))
                if now - table[flow_id] < limit_s:
                    break
                del table[flow_id]
        work = len(self.opened_at_by_id) + len(self.requested_at_by_id)
        return max(0, WORK_PER_SLOT * max(1, slots) - work)
