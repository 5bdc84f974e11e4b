"""Decides when openings go to an agent's target, and which are refused.

The agent is the only daemon that knows what runs at its target now, so the
openings that exceed what the target can take are queued here. Openings with
terms are ordered by them, and returned or refused if they would wait too long.
Openings without terms are queued in the order of arrival. While openings of
both kinds are queued, they take turns.
"""

import enum

import attrs

from godwitturn.core.transparent import cold_limit
from godwitturn.core.transparent import deliveries
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import opening_queue
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import service_time as service_times
from godwitturn.core.transparent import target_watch
from godwitturn.core.transparent import work_limit

# A balancer offers a copy of an opening to another target 200 ms after the
# first one. An opening that may have waited longer for a suspended process is
# dropped, so that a flow has one target.
MAX_OPENING_DELAY_S = 0.5
# Agents that may return an opening because its wait is longer than expected.
# Each return takes time, and the next agent may have no shorter wait.
MAX_RETURNS = 2
# The same for the openings queued at a target that stalls: these may be
# returned once more.
MAX_STALL_RETURNS = MAX_RETURNS + 1
# A target with no free slot counts as stalled after this multiple of the mean
# time of a request without an answer, but not within `MIN_STALL_S`. Its queue
# is returned, since other targets can answer sooner.
STALL_MEANS = 3.0
MIN_STALL_S = 0.1
# An opening without terms that has no turn beside those with terms within this
# time is refused. With 0.6 s, the limit of a cold target, an overloaded target
# answered hardly more of them, half of these after 0.66 s instead of 0.37 s.
MAX_TURN_WAIT_S = 0.3
# Interval of checks whether queued openings can be answered from their place
# in the queue. The check reads the whole queue.
PLACE_CHECK_INTERVAL_S = 0.05


class Outcome(enum.Enum):
    """What happens to an opening.

    Attributes:
        DELIVERED: It goes to the target.
        QUEUED: It waits.
        REFUSED: It goes back to its balancer.
        OUTDATED: It is dropped, because a copy may be at another target.
    """

    DELIVERED = "delivered"
    QUEUED = "queued"
    REFUSED = "refused"
    OUTDATED = "outdated"


@attrs.define(frozen=True, repr=False)
class Decision:
    """A decision on an opening.

    Attributes:
        opening: The opening.
        outcome: What happens to it.
        reason: Why it is refused, None if it isn't.
    """

    opening: deliveries.Delivery
    outcome: Outcome
    reason: messages.Refusal | None = None


@attrs.define(eq=False, repr=False)
class Admission:
    """Openings queued for the target, and the limits that they wait for.

    Attributes:
        work_limiter: Limits openings without terms while the target's queue is
            full.
        service_time: Requests at the target, and how long they take.
        queue: Openings with terms that are queued.
        openings: Number of openings admitted so far.
        stalled: Whether the target has stalled, as of the last tick. It is
            not observed before the first opening with terms.
        copies: Number of copies of queued openings that were dropped.
    """

    work_limiter: work_limit.WorkLimit = attrs.field(
        factory=work_limit.WorkLimit
    )
    service_time: service_times.ServiceTime = attrs.field(
        factory=service_times.ServiceTime
    )
    queue: opening_queue.OpeningQueue = attrs.field(
        factory=opening_queue.OpeningQueue
    )
    openings: int = 0
    stalled: bool = False
    copies: int = 0
    _waiting_by_id: dict[segments.FlowId, deliveries.Delivery] = attrs.field(
        factory=dict
    )

    # When the queue of openings with terms was last checked for a suspension,
    # and for openings that can't be answered from their place in it.
    _checked_at: float = float("-inf")
    _places_checked_at: float = float("-inf")
    # Whether an opening with terms has arrived so far.
    _has_had_terms: bool = False
    # Whether the opening that was admitted last had no terms.
    _plain_was_last: bool = False

    @property
    def waiting_count(self) -> int:
        """How many openings are queued for the target."""
        return len(self._waiting_by_id) + len(self.queue)

    @property
    def service_us(self) -> int:
        """Mean time of a request in microseconds, 0 if unknown."""
        return round(1e6 * self.service_time.service_s)

    def expected_wait_ms(self, slots: int, *, now: float) -> int:
        """Returns the time until a new opening's request would get a slot.

        Openings that have missed their objective start after new ones.

        Args:
            slots: Requests that the target can run at the same time.
            now: Seconds.
        """
        wait_s = self.service_time.expected_wait_s(
            len(self._waiting_by_id) + self.queue.timely_count,
            slots=slots,
            now=now,
        )
        return round(1000 * wait_s)

    # Work at the target.

    def start_request(
        self, flow_id: segments.FlowId, *, slots: int, now: float
    ) -> None:
        """Records a request that is delivered to the target."""
        self.work_limiter.start_request(flow_id, now=now)
        self.service_time.start_request(flow_id, slots=slots, now=now)

    def finish(
        self,
        flow_id: segments.FlowId,
        *,
        target: target_watch.TargetWatch,
        now: float,
        answered: bool = False,
        given_up: bool = False,
    ) -> None:
        """Records that a request was answered, or that its flow has ended.

        Args:
            flow_id: The flow.
            target: The target.
            now: Seconds.
            answered: Whether the request was answered.
            given_up: Whether the client left because no answer came.
        """
        self.work_limiter.finish(flow_id)
        self.service_time.finish(
            flow_id,
            slots=target.slots,
            now=now,
            answered=answered,
            given_up=given_up,
            cold=target.cold_ms(now) > 0,
        )

    def record_closing(self, flow_id: segments.FlowId, *, now: float) -> None:
        """Records that the target has closed a flow without an answer."""
        self.work_limiter.finish(flow_id)
        self.service_time.record_closing(flow_id, now=now)

    def clear_work(self) -> None:
        """Removes the work of a target that has ended."""
        self.work_limiter.clear()
        self.service_time.clear()

    # Openings.

    def _find_queued(
        self, flow_id: segments.FlowId
    ) -> deliveries.Delivery | None:
        """Returns the queued opening of a flow, None if there is none."""
        return self._waiting_by_id.get(flow_id) or self.queue.find(flow_id)

    def is_queued(self, flow_id: segments.FlowId) -> bool:
        """Returns whether an opening of a flow is queued."""
        return flow_id in self._waiting_by_id or flow_id in self.queue

    def remove_former(self, flow_id: segments.FlowId, sequence: int) -> None:
        """Removes a queued opening whose client uses its port again.

        Args:
            flow_id: The flow.
            sequence: Sequence number of the new opening.
        """
        queued = self._find_queued(flow_id)
        if queued is not None and queued.segment.sequence != sequence:
            self._waiting_by_id.pop(flow_id, None)
            self.queue.remove(flow_id)

    def offer(
        self,
        opening: deliveries.Delivery,
        *,
        target: target_watch.TargetWatch,
        cold_limiter: cold_limit.ColdLimit,
        now: float,
    ) -> list[Decision]:
        """Decides on an opening that has arrived.

        Args:
            opening: The opening.
            target: The target.
            cold_limiter: Limits openings while the target is cold.
            now: Seconds.

        Returns:
            The decisions on it and on openings that were queued; none for a
            copy of a queued opening.
        """
        flow_id = opening.segment.flow_id
        self.remove_former(flow_id, opening.segment.sequence)
        if self.is_queued(flow_id):
            self.copies += 1
            return []
        if opening.forward.terms is not None:
            return self._offer_with_terms(
                opening, opening.forward.terms, target, cold_limiter, now
            )
        if not self._waiting_by_id and not self._must_wait(
            0.0, target, cold_limiter, now
        ):
            return [self._deliver(opening, target, cold_limiter, now)]
        if (
            target.is_cold(now)
            and len(self._waiting_by_id) >= cold_limiter.max_waiting
        ):
            return [Decision(opening, Outcome.REFUSED, messages.Refusal.COLD)]
        self._waiting_by_id[flow_id] = opening
        return [Decision(opening, Outcome.QUEUED)]

    def _offer_with_terms(
        self,
        opening: deliveries.Delivery,
        terms: messages.RequestTerms,
        target: target_watch.TargetWatch,
        cold_limiter: cold_limit.ColdLimit,
        now: float,
    ) -> list[Decision]:
        times = self.service_time
        slots = target.slots
        self._has_had_terms = True
        decisions = self._drop_outdated(now)
        queued = opening_queue.make_queued_opening(
            opening,
            terms,
            service_s=times.service_s,
            round_trip_s=times.round_trip_s,
            now=now,
        )
        wait_s, later_wait_s = self._expected_waits_s(queued, slots, now)
        limit_s = terms.expected_wait_ms / 1000 + opening_queue.HANDOVER_COST_S
        has_room = self._has_room(slots, now)
        # If all recent requests took longer than the timeout, only a further
        # opening shows whether the target has become faster.
        is_trial = not self.queue and not times.work(slots=slots, now=now)
        earliest_s = 0.0 if is_trial else times.answer_s(0.0)
        reason = None
        if queued.expires_at < now + earliest_s:
            reason = messages.Refusal.OVERLOADED
        elif self._is_cold_limited(target, cold_limiter, now):
            if len(self.queue) >= cold_limiter.max_waiting:
                reason = messages.Refusal.COLD
        elif has_room and not self.queue:
            self.queue.record_admitted(terms.priority, now=now)
            return [
                *decisions,
                self._deliver(opening, target, cold_limiter, now),
            ]
        elif terms.tries < MAX_RETURNS and wait_s > limit_s:
            reason = messages.Refusal.BUSY
        elif queued.expires_at < now + times.answer_s(later_wait_s):
            reason = messages.Refusal.OVERLOADED
        if reason is not None:
            return [*decisions, Decision(opening, Outcome.REFUSED, reason)]
        self.queue.record_admitted(terms.priority, now=now)
        self.queue.add(queued)
        decisions.append(Decision(opening, Outcome.QUEUED))
        if has_room:
            decisions += self._decide_with_terms(target, cold_limiter, now)
        return decisions

    def _expected_waits_s(
        self, queued: opening_queue.QueuedOpening, slots: int, now: float
    ) -> tuple[float, float]:
        """Returns the time until an opening that arrives would get a slot.

        The first value is the time if no opening followed. The second one
        includes openings that will arrive later and start before it.
        """
        times = self.service_time
        answer_at = now + self._answer_s(slots, now)
        ahead = self.queue.starts_before(queued, answer_at=answer_at)
        plain_ahead = min(len(self._waiting_by_id), ahead + 1)
        wait_s = times.expected_wait_s(
            ahead + plain_ahead, slots=slots, now=now
        )
        share = self.queue.share_left(
            queued.terms.priority,
            late=queued.objective_at < now + times.answer_s(wait_s),
            interval_s=times.service_s / slots,
            now=now,
        )
        if not wait_s:
            return 0.0, 0.0
        return wait_s, wait_s / share if share else float("inf")

    def decide_queued(
        self,
        closed_reason: messages.Refusal | None,
        *,
        target: target_watch.TargetWatch,
        cold_limiter: cold_limit.ColdLimit,
        now: float,
    ) -> list[Decision]:
        """Admits queued openings in order while the limits allow it.

        Openings are refused if they waited too long for a cold target, if they
        can't be answered in time, or if the target must get no openings any
        more.

        Args:
            closed_reason: Why the target must get no openings, None if it may.
            target: The target.
            cold_limiter: Limits openings while the target is cold.
            now: Seconds.
        """
        decisions = self._drop_outdated(now)
        if closed_reason is not None:
            decisions += _refuse(self.queue.pop_all(), closed_reason)
        while True:
            openings = self.openings
            decisions += self._decide_plain(
                closed_reason, target, cold_limiter, now
            )
            decisions += self._decide_with_terms(target, cold_limiter, now)
            both = self._waiting_by_id and self.queue
            if not both or self.openings == openings:
                return decisions

    def _decide_plain(
        self,
        closed_reason: messages.Refusal | None,
        target: target_watch.TargetWatch,
        cold_limiter: cold_limit.ColdLimit,
        now: float,
    ) -> list[Decision]:
        """Admits queued openings without terms, and refuses some."""
        decisions = []
        for flow_id, opening in list(self._waiting_by_id.items()):
            reason = closed_reason
            waited_s = now - opening.delivered_at
            if reason is None and self._must_wait(
                waited_s, target, cold_limiter, now
            ):
                limit_s = MAX_TURN_WAIT_S
                reason = messages.Refusal.FULL
                if self._is_cold_limited(target, cold_limiter, now):
                    limit_s = cold_limit.MAX_WAIT_S
                    reason = messages.Refusal.COLD
                if waited_s <= limit_s:
                    break
            del self._waiting_by_id[flow_id]
            if waited_s > cold_limit.MAX_WAIT_S + MAX_OPENING_DELAY_S:
                # The process was suspended while the opening waited.
                decision = Decision(opening, Outcome.OUTDATED)
            elif reason is not None:
                decision = Decision(opening, Outcome.REFUSED, reason)
            else:
                decision = self._deliver(opening, target, cold_limiter, now)
            decisions.append(decision)
        return decisions

    def _drop_outdated(self, now: float) -> list[Decision]:
        """Drops the queue with terms if the process was suspended meanwhile.

        Copies of its openings may have gone to other targets.
        """
        suspended = now - self._checked_at > MAX_OPENING_DELAY_S
        self._checked_at = now
        if not self.queue or not suspended:
            return []
        return [
            Decision(queued.opening, Outcome.OUTDATED)
            for queued in self.queue.pop_all()
        ]

    def _decide_with_terms(
        self,
        target: target_watch.TargetWatch,
        cold_limiter: cold_limit.ColdLimit,
        now: float,
    ) -> list[Decision]:
        """Admits queued openings with terms, and refuses or returns some."""
        if not self.queue:
            return []
        slots = target.slots
        stalled = self._is_stalled(slots, now)
        decisions = self._return_stalled() if stalled else []
        while self.queue:
            expired = self.queue.pop_expired(
                answer_at=now + self._answer_s(slots, now)
            )
            decisions += _refuse(expired, messages.Refusal.OVERLOADED)
            if self._is_cold_limited(target, cold_limiter, now):
                return decisions + self._refuse_cold(cold_limiter, now)
            if not self._has_room(slots, now):
                break
            if self._waiting_by_id and not self._plain_was_last:
                break
            queued = self.queue.pop_next()
            if queued is None:
                break
            decisions.append(
                self._deliver(queued.opening, target, cold_limiter, now)
            )
        if now - self._places_checked_at >= PLACE_CHECK_INTERVAL_S:
            self._places_checked_at = now
            decisions += self._refuse_unreachable(slots, now)
        return decisions

    def _refuse_unreachable(self, slots: int, now: float) -> list[Decision]:
        """Refuses openings that can't be answered from their place.

        Openings of higher priorities may have arrived after them, or the
        target may have become slower.
        """
        times = self.service_time
        return _refuse(
            self.queue.pop_unreachable(
                now + self._answer_s(slots, now),
                times.service_s / slots,
                now=now,
            ),
            messages.Refusal.OVERLOADED,
        )

    def _refuse_cold(
        self, cold_limiter: cold_limit.ColdLimit, now: float
    ) -> list[Decision]:
        """Refuses openings that a cold target can't get in time."""
        refused = self.queue.pop_arrived_before(now - cold_limit.MAX_WAIT_S)
        while len(self.queue) > cold_limiter.max_waiting:
            refused.append(self.queue.pop_last())
        return _refuse(refused, messages.Refusal.COLD)

    def _return_stalled(self) -> list[Decision]:
        """Returns the openings that may still go to another target."""
        decisions = []
        for queued in self.queue.pop_all():
            if queued.terms.tries < MAX_STALL_RETURNS:
                decisions.append(
                    Decision(
                        queued.opening, Outcome.REFUSED, messages.Refusal.BUSY
                    )
                )
            else:
                self.queue.add(queued)
        return decisions

    def update_stalled(self, slots: int, *, now: float) -> bool:
        """Updates `stalled`, and returns whether it changed.

        Args:
            slots: Requests that the target can run at the same time.
            now: Seconds.
        """
        if not self._has_had_terms:
            return False
        was_stalled = self.stalled
        self.stalled = self._is_stalled(slots, now)
        return self.stalled != was_stalled

    def _is_stalled(self, slots: int, now: float) -> bool:
        limit_s = max(MIN_STALL_S, STALL_MEANS * self.service_time.service_s)
        return self.service_time.stalled_s(slots=slots, now=now) > limit_s

    def _has_room(self, slots: int, now: float) -> bool:
        """Returns whether the target may get an opening with terms now."""
        work = self.service_time.work(slots=slots, now=now)
        return work < self.service_time.work_limit(
            slots
        ) and not self._is_stalled(slots, now)

    def _answer_s(self, slots: int, now: float) -> float:
        """Returns the time until an opening delivered now is answered."""
        times = self.service_time
        wait_s = times.expected_wait_s(0, slots=slots, now=now)
        if wait_s:
            # An opening is delivered when a response frees a slot, so the
            # requests that run have just started.
            wait_s += 0.5 * times.service_s / slots
        return times.answer_s(wait_s)

    def _is_cold_limited(
        self,
        target: target_watch.TargetWatch,
        cold_limiter: cold_limit.ColdLimit,
        now: float,
    ) -> bool:
        return target.is_cold(now) and not cold_limiter.capacity(now=now)

    def _must_wait(
        self,
        waited_s: float,
        target: target_watch.TargetWatch,
        cold_limiter: cold_limit.ColdLimit,
        now: float,
    ) -> bool:
        """Returns whether an opening without terms must stay queued.

        While openings with terms are queued as well, it waits for its turn and
        for the same limit; otherwise none with terms would ever find room.

        Args:
            waited_s: Seconds for which it has been queued.
            target: The target.
            cold_limiter: Limits openings while the target is cold.
            now: Seconds.
        """
        if self._is_cold_limited(target, cold_limiter, now):
            return True
        if target.heartbeat is None:
            return False  # slots are unknown before the first heartbeat
        slots = target.slots
        is_shared = bool(self.queue) and not self._is_stalled(slots, now)
        if is_shared and self._plain_was_last:
            return True
        if waited_s >= work_limit.MAX_WAIT_S:
            return False
        if is_shared and not self._has_room(slots, now):
            return True
        return not self.work_limiter.capacity(slots=slots, now=now)

    def _deliver(
        self,
        opening: deliveries.Delivery,
        target: target_watch.TargetWatch,
        cold_limiter: cold_limit.ColdLimit,
        now: float,
    ) -> Decision:
        cold = target.is_cold(now)
        cold_limiter.admit(now=now, cold=cold)
        flow_id = opening.segment.flow_id
        self.work_limiter.record_opening(flow_id, now=now)
        self.service_time.record_opening(flow_id, now=now)
        self.openings += 1
        self._plain_was_last = opening.forward.terms is None
        return Decision(opening, Outcome.DELIVERED)


def _refuse(
    openings: list[opening_queue.QueuedOpening], reason: messages.Refusal
) -> list[Decision]:
    return [
        Decision(queued.opening, Outcome.REFUSED, reason)
        for queued in openings
    ]
