"""Measures how fast a target is from the requests that pass its agent.

A target runs as many requests at a time as it has slots and queues the others
in order. So a request gets a slot when it arrives, or when a response frees
one, and occupies it until the first packet of its own response.
"""

import collections
import math

import attrs

from godwitturn.core.transparent import segments

# Latest requests that the mean covers. A target with one slot answers as many
# in one or two seconds.
WINDOW = 32
# Samples count at most as this multiple of the median. If 3% of the requests
# take seven times as long, the mean without this bound varies by a fifth.
MAX_MEDIAN_RATIO = 4.0
# Samples of a warm target from which those taken while it was cold are
# discarded.
MIN_WARM_SAMPLES = 4
ROUND_TRIP_WINDOW = 16
# A longer time from an opening to its request isn't a round trip; the client
# had no request to send yet.
MAX_ROUND_TRIP_S = 0.5
# An opening without a request counts as work for this time, or for some round
# trips if that is longer.
MIN_OPENING_AGE_S = 0.03
MAX_OPENING_ROUND_TRIPS = 3.0
# A request without a response counts as work for this time, or for some times
# the mean if that is longer, once later requests were answered: a repeated
# packet of an answered request looks like a new request.
MIN_REQUEST_AGE_S = 0.5
MAX_REQUEST_MEANS = 8.0
# If nothing was answered since, a request counts for this time. Clients give
# up by then, and the next opening shows whether the target still hangs.
HUNG_REQUEST_AGE_S = 3.0
# A target that closes a flow without an answer has dropped its request, as its
# client has left. The answer may still follow within this time, since packets
# of the target can arrive in another order.
REORDERING_S = 0.02
# Openings and requests for each slot that a target gets while the times are
# unknown, and at most. Targets queue four requests for each slot.
DEFAULT_WORK_PER_SLOT = 2
MAX_WORK_PER_SLOT = 5


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


@attrs.define(eq=False, repr=False)
class ServiceTime:
    """Requests at a target, and how long they take.

    Attributes:
        service_s: Mean time in seconds for which a request occupies a slot, 0
            if unknown.
        round_trip_s: Median time in seconds from the delivery of an opening to
            the arrival of its request, 0 if unknown.
    """

    service_s: float = 0.0
    round_trip_s: float = 0.0
    _opened_at_by_id: dict[segments.FlowId, float] = attrs.field(factory=dict)
    # Requests that occupy a slot, and when each got it.
    _started_at_by_id: dict[segments.FlowId, float] = attrs.field(factory=dict)
    # Requests queued at the target, and when each arrived.
    _arrived_at_by_id: dict[segments.FlowId, float] = attrs.field(factory=dict)
    # Requests whose flow the target has closed without an answer, and when.
    _closed_at_by_id: dict[segments.FlowId, float] = attrs.field(factory=dict)
    # Running requests whose start isn't known exactly.
    _inexact_ids: set[segments.FlowId] = attrs.field(factory=set)
    _warm_samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=WINDOW)
    )
    _cold_samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=WINDOW)
    )
    _round_trips: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=ROUND_TRIP_WINDOW)
    )
    # When the target last answered or dropped a request, or got one for a free
    # slot.
    _progress_at: float = float("-inf")
    _answered_at: float = float("-inf")
    # Whether a request has gone without an answer since the last one: its
    # client has given it up, or it has expired.
    _may_hang: bool = False

    def record_opening(self, flow_id: segments.FlowId, *, now: float) -> None:
        """Adds an opening that is delivered to the target."""
        self._opened_at_by_id.pop(flow_id, None)
        self._opened_at_by_id[flow_id] = now

    def start_request(
        self, flow_id: segments.FlowId, *, slots: int, now: float
    ) -> None:
        """Adds a request, which replaces the opening of its flow."""
        opened_at = self._opened_at_by_id.pop(flow_id, None)
        if opened_at is not None and now - opened_at <= MAX_ROUND_TRIP_S:
            self._round_trips.append(now - opened_at)
            self.round_trip_s = _median(list(self._round_trips))
        if (
            flow_id in self._started_at_by_id
            or flow_id in self._arrived_at_by_id
        ):
            return  # a repeated packet of the request
        if len(self._started_at_by_id) < slots:
            self._started_at_by_id[flow_id] = now
            if not self._may_hang:
                self._progress_at = now
        else:
            self._arrived_at_by_id[flow_id] = now

    def record_closing(self, flow_id: segments.FlowId, *, now: float) -> None:
        """Records that the target has closed a flow without an answer."""
        self._closed_at_by_id.setdefault(flow_id, now)

    def finish(
        self,
        flow_id: segments.FlowId,
        *,
        slots: int,
        now: float,
        answered: bool = False,
        given_up: bool = False,
        cold: bool = False,
    ) -> None:
        """Removes a flow's opening or request.

        Args:
            flow_id: The flow.
            slots: Requests that the target can run at the same time.
            now: Seconds.
            answered: Whether the target has answered the request.
            given_up: Whether the client left because no answer came.
            cold: Whether the target is cold.
        """
        self._opened_at_by_id.pop(flow_id, None)
        self._closed_at_by_id.pop(flow_id, None)
        if answered:
            self._progress_at = self._answered_at = now
            self._may_hang = False
        if self._arrived_at_by_id.pop(flow_id, None) is not None:
            # The target shed it, or runs requests in another order.
            return
        started_at = self._started_at_by_id.pop(flow_id, None)
        if started_at is None:
            return
        if given_up:
            self._may_hang = True
        if answered and flow_id not in self._inexact_ids:
            self._add_sample(now - started_at, cold=cold)
        self._inexact_ids.discard(flow_id)
        self._fill_slots(slots, now, exact=answered)

    def _fill_slots(self, slots: int, now: float, *, exact: bool) -> None:
        while self._arrived_at_by_id and len(self._started_at_by_id) < slots:
            flow_id = next(iter(self._arrived_at_by_id))
            del self._arrived_at_by_id[flow_id]
            self._started_at_by_id[flow_id] = now
            if not exact:
                self._inexact_ids.add(flow_id)

    def _add_sample(self, sample_s: float, *, cold: bool) -> None:
        (self._cold_samples if cold else self._warm_samples).append(sample_s)
        samples = list(self._warm_samples)
        if len(samples) < MIN_WARM_SAMPLES:
            samples += self._cold_samples
        elif not cold:
            self._cold_samples.clear()
        limit_s = MAX_MEDIAN_RATIO * _median(samples)
        self.service_s = sum(min(s, limit_s) for s in samples) / len(samples)

    def clear(self) -> None:
        """Removes all work and samples, after the target has ended."""
        self._opened_at_by_id.clear()
        self._started_at_by_id.clear()
        self._arrived_at_by_id.clear()
        self._closed_at_by_id.clear()
        self._inexact_ids.clear()
        self._warm_samples.clear()
        self._cold_samples.clear()
        self.service_s = 0.0
        self._may_hang = False

    def work(self, *, slots: int, now: float) -> int:
        """Returns the number of openings and requests at the target."""
        self._remove_ended(slots, now)
        return self._work()

    def _work(self) -> int:
        return (
            len(self._opened_at_by_id)
            + len(self._started_at_by_id)
            + len(self._arrived_at_by_id)
        )

    def _remove_ended(self, slots: int, now: float) -> None:
        """Removes openings and requests that no longer count as work."""
        limit_s = max(
            MIN_OPENING_AGE_S, MAX_OPENING_ROUND_TRIPS * self.round_trip_s
        )
        _remove_older(self._opened_at_by_id, now - limit_s)
        self._remove_closed(slots, now)
        self._remove_outdated_requests(slots, now)

    def _remove_closed(self, slots: int, now: float) -> None:
        """Removes requests that the target has dropped."""
        for flow_id, closed_at in list(self._closed_at_by_id.items()):
            if now - closed_at < REORDERING_S:
                return
            self.finish(flow_id, slots=slots, now=now)
            self._progress_at = max(self._progress_at, closed_at)

    def _remove_outdated_requests(self, slots: int, now: float) -> None:
        limit_s = max(MIN_REQUEST_AGE_S, MAX_REQUEST_MEANS * self.service_s)
        hung_since = now - HUNG_REQUEST_AGE_S
        answered_since = min(now - limit_s, self._answered_at)
        count = len(self._started_at_by_id)
        _remove_older(self._started_at_by_id, max(answered_since, hung_since))
        _remove_older(self._arrived_at_by_id, hung_since)
        if len(self._started_at_by_id) < count:
            self._may_hang = self._answered_at < hung_since
            self._inexact_ids &= self._started_at_by_id.keys()
        self._fill_slots(slots, now, exact=False)

    def work_limit(self, slots: int) -> int:
        """Returns how many openings and requests keep all slots busy.

        One request runs in each slot, and as many openings are in transit to
        their clients and back as are answered during a round trip.
        """
        if not self.service_s or not self.round_trip_s:
            return DEFAULT_WORK_PER_SLOT * slots
        ratio = 1.0 + self.round_trip_s / self.service_s
        return math.ceil(slots * min(ratio, MAX_WORK_PER_SLOT))

    def answer_s(self, wait_s: float) -> float:
        """Returns the time until an opening's response reaches the client.

        Args:
            wait_s: Time in seconds until its request would get a slot, if the
                request were here already.
        """
        start_s = max(wait_s, self.round_trip_s)
        return start_s + self.service_s + 0.5 * self.round_trip_s

    def stalled_s(self, *, slots: int, now: float) -> float:
        """Returns for how long a target with no free slot made no progress.

        It is 0 unless that exceeds the mean time of a request. After clients
        have given up, one opening takes all slots: it shows whether the target
        still hangs, and further ones would be lost.
        """
        self._remove_ended(slots, now)
        return self._stalled_s(slots, now)

    def _stalled_s(self, slots: int, now: float) -> float:
        if self._may_hang:
            if not self._opened_at_by_id and not self._started_at_by_id:
                return 0.0
        elif len(self._started_at_by_id) < slots:
            return 0.0
        stalled_s = now - self._progress_at
        return stalled_s if stalled_s > self.service_s else 0.0

    def expected_wait_s(self, queued: int, *, slots: int, now: float) -> float:
        """Returns the time in seconds until a new request would get a slot.

        Args:
            queued: Number of openings queued at the agent that go first.
            slots: Requests that the target can run at the same time.
            now: Seconds.
        """
        self._remove_ended(slots, now)
        work = self._work() + queued
        stalled_s = self._stalled_s(slots, now)
        if work < slots:
            return stalled_s
        # The requests that run are half done on average.
        wait_s = (work - slots + 0.5) * self.service_s / slots
        return max(wait_s, stalled_s)


def _remove_older(
    time_by_id: dict[segments.FlowId, float], limit: float
) -> None:
    """Removes entries before a time from a table in the order of time."""
    while time_by_id:
        flow_id = next(iter(time_by_id))
        if time_by_id[flow_id] >= limit:
            return
        del time_by_id[flow_id]
