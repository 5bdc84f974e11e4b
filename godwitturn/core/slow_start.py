"""Detection of cold starts, and the ramp of limits after one."""

import collections
import math

import attrs

from godwitturn.core import policy as policies

# Service time that is assumed until the first answer. It affects only the rate
# of the first requests.
DEFAULT_SERVICE_SECONDS = 0.2
# This many consecutive answers that each took longer than the mean service
# time times the factor indicate a cold start.
LATENCY_JUMP_FACTOR = 4.0
LATENCY_JUMP_ANSWERS = 3
# Shorter answers are not counted, because scheduling noise alone can multiply
# their latency by four.
LATENCY_JUMP_FLOOR_SECONDS = 0.02
# Weight of each answer in the moving average of the service time.
MOVING_AVERAGE_WEIGHT = 0.1
# A cold fraction of 0 would cause a division by zero and let no request start,
# so that no service time would be measured.
MIN_FRACTION = 0.001
# The rate limit saves up tokens for at most this time. Requests are started
# only when events are handled, and ticks come every 0.1 s.
BURST_SECONDS = 0.1
# Number of boot ids that are remembered. Answers to requests from before a
# restart arrive late, with the old boot id.
MAX_BOOT_IDS = 8


@attrs.define(eq=False)
class SlowStart:
    """Ramp of one target from a cold start to its warm limits.

    The target counts as cold before the first `restart` and from each
    `restart` on. Only time since the last one makes it warm. During the ramp a
    token bucket limits the rate at which requests start.

    Attributes:
        policy: Source of `slots`, `cold_fraction` and `ramp_seconds`.
        mean_service_seconds: Moving average of the time from start to answer,
            or None before the first answer.
    """

    policy: policies.AgentPolicy
    mean_service_seconds: float | None = None
    _cold_started_at: float | None = None
    _tokens: float = 1.0
    _refilled_at: float = 0.0
    _slow_answers: int = 0
    _slow_answer_counted_at: float = -math.inf
    _boot_ids: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_BOOT_IDS)
    )

    @property
    def started(self) -> bool:
        """Whether the ramp has ever started."""
        return self._cold_started_at is not None

    def fraction(self, now: float) -> float:
        """Returns the share of the warm limits that applies now, up to 1."""
        cold = min(1.0, max(MIN_FRACTION, self.policy.cold_fraction))
        if self._cold_started_at is None:
            return cold
        elapsed = max(0.0, now - self._cold_started_at)
        if elapsed >= self.policy.ramp_seconds:
            return 1.0
        return cold + (1.0 - cold) * elapsed / self.policy.ramp_seconds

    def restart(self, now: float) -> None:
        """Restarts the ramp after a cold start."""
        # Adds no tokens: otherwise a target that refuses each connection would
        # get a free attempt with each refusal.
        self._tokens = min(self._refilled_tokens(now), 1.0)
        self._refilled_at = now
        self._cold_started_at = now
        self._slow_answers = 0

    def rate_per_second(self, now: float) -> float:
        """Returns how many requests per second may start now."""
        mean = self.mean_service_seconds or DEFAULT_SERVICE_SECONDS
        return self.fraction(now) * max(1, self.policy.slots) / mean

    def _refilled_tokens(self, now: float) -> float:
        rate = self.rate_per_second(now)
        elapsed = max(0.0, now - self._refilled_at)
        limit = max(1.0, rate * BURST_SECONDS)
        return min(limit, self._tokens + elapsed * rate)

    def may_start(self, now: float) -> bool:
        """Returns whether the rate limit allows a request to start now."""
        return self.fraction(now) >= 1.0 or self._refilled_tokens(now) >= 1.0

    def record_start(self, now: float) -> None:
        """Counts a started request against the rate limit."""
        self._tokens = max(0.0, self._refilled_tokens(now) - 1.0)
        self._refilled_at = now

    def record_answer(
        self, service_seconds: float, boot_id: str, now: float
    ) -> bool:
        """Updates the mean service time and detects cold starts.

        Args:
            service_seconds: Time from the start of the request to the answer.
            boot_id: The target's boot id in the answer, or empty.
            now: Seconds of a monotonic clock.

        Returns:
            Whether the answer shows a cold start, which restarts the ramp.
        """
        cold = self._is_new_boot_id(boot_id)
        cold = self._is_latency_jump(service_seconds, now) or cold
        if cold:
            self.restart(now)
        return cold

    def _is_new_boot_id(self, boot_id: str) -> bool:
        if not boot_id or boot_id in self._boot_ids:
            return False
        self._boot_ids.append(boot_id)
        return len(self._boot_ids) > 1

    def _is_latency_jump(self, seconds: float, now: float) -> bool:
        mean = self.mean_service_seconds
        if mean is None:
            self.mean_service_seconds = max(seconds, 1e-6)
            return False
        slow = seconds > max(
            LATENCY_JUMP_FACTOR * mean, LATENCY_JUMP_FLOOR_SECONDS
        )
        # During the ramp slow answers are expected and update the mean, so
        # that a target that stays slower does not ramp forever.
        if slow and self.fraction(now) >= 1.0:
            # Overlapping slow answers count once, since one stall of the VM
            # slows all requests that overlap it.
            if now - seconds >= self._slow_answer_counted_at:
                self._slow_answers += 1
                self._slow_answer_counted_at = now
            return self._slow_answers >= LATENCY_JUMP_ANSWERS
        self._slow_answers = 0
        self.mean_service_seconds = mean + MOVING_AVERAGE_WEIGHT * (
            seconds - mean
        )
        return False
