"""Admission at one target: connections, slots and the request queue."""

import collections

import attrs

from godwitturn.core import actions
from godwitturn.core import policy as policies
from godwitturn.core import requests
from godwitturn.core import slow_start
from godwitturn.core import verdict as verdicts

# Reservations cost their holder nothing, so they can't fill the table.
RESERVATION_DIVISOR = 4
# The queue is bounded by deadline; this bounds it when answers take no time.
MAX_QUEUED_REQUESTS = 1000


@attrs.define(eq=False)
class Admission:
    """Decides what the target is given now.

    Attributes:
        policy: Source of `connection_limit` and `slots`.
        ramp: The target's slow start.
        queue: Admitted requests that wait for a slot, oldest first.
        running: Requests at the target. Each holds a slot until its outcome
            is known, also when its flow has gone.
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
        """Takes new limits; what is over them stays until it ends."""
        self.policy = policy
        self.ramp.policy = policy

    def flow_limit(self, now: float) -> int:
        """Returns how many flows are admitted now."""
        limit = self.policy.connection_limit
        if limit <= 0:
            return 0
        return max(1, int(limit * self.ramp.fraction(now)))

    def opening_refusal(
        self, flows: int, reservations: int, now: float
    ) -> verdicts.Reason:
        """Returns why no further flow is taken, or `NONE`."""
        limit = self.flow_limit(now)
        most_reserved = max(1, limit // RESERVATION_DIVISOR)
        if flows < limit and reservations < most_reserved:
            return verdicts.Reason.NONE
        if limit < self.policy.connection_limit:
            return verdicts.Reason.SLOW_START
        return verdicts.Reason.CONNECTION_LIMIT

    def _has_free_slot(self) -> bool:
        return len(self.running) < self.policy.slots

    def estimated_wait_seconds(self, now: float) -> float:
        """Returns the likely wait of a request that is queued now."""
        if not self.queue and self.may_start(now):
            return 0.0
        ahead = len(self.queue) + len(self.running)
        # During slow start a request also waits for the rate limit.
        return max(1, ahead) / self.ramp.rate_per_second(now)

    def request_refusal(
        self, request: requests.Request, now: float
    ) -> verdicts.Reason:
        """Returns why a request is not queued, or `NONE`."""
        if len(self.queue) >= MAX_QUEUED_REQUESTS:
            return verdicts.Reason.QUEUE_FULL
        left = request.deadline_at - now
        wait = self.estimated_wait_seconds(now)
        if left > 0 and wait <= left:
            return verdicts.Reason.NONE
        if wait * self.ramp.fraction(now) <= left:
            return verdicts.Reason.SLOW_START
        return verdicts.Reason.DEADLINE

    def enqueue(self, request: requests.Request, now: float) -> None:
        """Queues a request that was not refused."""
        request.state = requests.State.QUEUED
        request.admitted_at = now
        self.queue[request.key] = request

    def requeue(self, request: requests.Request) -> None:
        """Queues a request first that the target certainly did not run."""
        request.state = requests.State.QUEUED
        self.queue[request.key] = request
        self.queue.move_to_end(request.key, last=False)

    def remove_queued(self, request: requests.Request) -> None:
        """Takes a request out of the queue, if it is there."""
        self.queue.pop(request.key, None)

    def next_queued(self) -> requests.Request | None:
        """Returns the request that is next."""
        return next(iter(self.queue.values()), None)

    def may_start(self, now: float) -> bool:
        """Returns whether the target bears one more request now."""
        return self._has_free_slot() and self.ramp.may_start(now)

    def start(self, request: requests.Request, now: float) -> None:
        """Moves a queued request to the target."""
        del self.queue[request.key]
        self.ramp.record_start(now)
        request.state = requests.State.RUNNING
        request.started_at = now
        request.attempts += 1
        self.running[request.key] = request

    def finish(self, key: actions.RequestKey) -> requests.Request | None:
        """Frees the slot of a request; None if it holds none."""
        return self.running.pop(key, None)
