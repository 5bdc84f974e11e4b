"""Admission at one target: connections, slots and the request queue."""

import collections

import attrs

from godwitturn.core import actions
from godwitturn.core import policy as policies
from godwitturn.core import requests
from godwitturn.core import slow_start
from godwitturn.core import verdict as verdicts

# Reservations may use at most the flow limit divided by this number, but at
# least one. A reservation costs the caller nothing, so callers could otherwise
# fill the table with them.
RESERVATION_DIVISOR = 4
# Bounds the queue when answers take so little time that deadlines don't.
MAX_QUEUED_REQUESTS = 1000


@attrs.define(eq=False)
class Admission:
    """Limits the flows and requests that the target gets at a time.

    Attributes:
        policy: Source of `connection_limit` and `slots`.
        ramp: The target's slow start.
        queue: Admitted requests that wait for a slot, oldest first.
        running: Requests at the target. Each occupies a slot until the
            target has answered or failed, even if its flow was removed.
    """

    policy: policies.AgentPolicy
    ramp: slow_start.SlowStart
    queue: "collections.OrderedDict[actions.RequestKey, requests.Request]" = (
        attrs.field(factory=collections.OrderedDict, init=False)
    )
    running: dict[actions.RequestKey, requests.Request] = attrs.field(
        factory=dict, init=False
    )

    def set_policy(self, policy: policies.AgentPolicy) -> None:
        """Applies new limits.

        Flows and requests above the new limits continue until they end.
        """
        self.policy = policy
        self.ramp.policy = policy

    def flow_limit(self, now: float) -> int:
        """Returns how many flows may be open at present."""
        limit = self.policy.connection_limit
        if limit <= 0:
            return 0
        return max(1, int(limit * self.ramp.fraction(now)))

    def opening_refusal(
        self, flows: int, reservations: int, now: float
    ) -> verdicts.Reason:
        """Returns why another flow is refused, or `NONE` if it is admitted."""
        limit = self.flow_limit(now)
        max_reservations = max(1, limit // RESERVATION_DIVISOR)
        if flows < limit and reservations < max_reservations:
            return verdicts.Reason.NONE
        if limit < self.policy.connection_limit:
            return verdicts.Reason.SLOW_START
        return verdicts.Reason.CONNECTION_LIMIT

    def _has_free_slot(self) -> bool:
        return len(self.running) < self.policy.slots

    def estimated_wait_seconds(self, now: float) -> float:
        """Returns the estimated wait of a request that is queued now."""
        if not self.queue and self.may_start(now):
            return 0.0
        ahead = len(self.queue) + len(self.running)
        # During slow start the rate limit delays requests even if a slot is
        # free.
        return max(1, ahead) / self.ramp.rate_per_second(now)

    def request_refusal(
        self, request: requests.Request, now: float
    ) -> verdicts.Reason:
        """Returns why a request is refused, or `NONE` if it may be queued."""
        if len(self.queue) >= MAX_QUEUED_REQUESTS:
            return verdicts.Reason.QUEUE_FULL
        remaining = request.deadline_at - now
        wait = self.estimated_wait_seconds(now)
        if remaining > 0 and wait <= remaining:
            return verdicts.Reason.NONE
        if wait * self.ramp.fraction(now) <= remaining:
            return verdicts.Reason.SLOW_START
        return verdicts.Reason.DEADLINE

    def enqueue(self, request: requests.Request, now: float) -> None:
        """Appends a request that `request_refusal` did not refuse."""
        request.state = requests.State.QUEUED
        request.admitted_at = now
        self.queue[request.key] = request

    def requeue(self, request: requests.Request) -> None:
        """Puts a request that certainly did not run back at the front."""
        request.state = requests.State.QUEUED
        self.queue[request.key] = request
        self.queue.move_to_end(request.key, last=False)

    def remove_queued(self, request: requests.Request) -> None:
        """Removes a request from the queue if it is queued."""
        self.queue.pop(request.key, None)

    def next_queued(self) -> requests.Request | None:
        """Returns the oldest queued request, or None."""
        return next(iter(self.queue.values()), None)

    def may_start(self, now: float) -> bool:
        """Returns whether a slot is free and the rate limit allows a start."""
        return self._has_free_slot() and self.ramp.may_start(now)

    def start(self, request: requests.Request, now: float) -> None:
        """Moves a request from the queue to the running ones."""
        del self.queue[request.key]
        self.ramp.record_start(now)
        request.state = requests.State.RUNNING
        request.started_at = now
        request.attempts += 1
        self.running[request.key] = request

    def finish(self, key: actions.RequestKey) -> requests.Request | None:
        """Frees the slot of a request.

        Returns:
            The request, or None if it does not occupy a slot.
        """
        return self.running.pop(key, None)
