"""Retry budget and refusal pressure of one balancer."""

import attrs

# Share of openings that may be tried again at another target, and tries that
# are always there for a balancer with little traffic. Without a budget, a
# service whose targets are all full would see three times its openings.
RETRY_SHARE = 0.1
RETRIES_PER_SECOND = 5.0
MAX_AVAILABLE_RETRIES = 50.0
REFUSAL_HALF_LIFE_SECONDS = 5.0
MIN_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 5000
# Openings without refusal that are assumed at the start, so that the first
# refusal of a quiet service does not read as full pressure.
_ASSUMED_OPENINGS = 5.0


@attrs.define
class RetryBudget:
    """Token bucket for openings that come back.

    Attributes:
        saved: Tries left.
        filled_at: When the constant part was last added.
    """

    available: float = MAX_AVAILABLE_RETRIES
    refilled_at: float | None = None

    def record_opening(self) -> None:
        """Adds the share of one new opening."""
        if self.available < MAX_AVAILABLE_RETRIES:
            self.available += RETRY_SHARE

    def spend(self, now: float) -> bool:
        """Takes one try; returns whether there was one."""
        if self.refilled_at is not None:
            elapsed = max(0.0, now - self.refilled_at)
            self.available = min(
                MAX_AVAILABLE_RETRIES,
                self.available + elapsed * RETRIES_PER_SECOND,
            )
        self.refilled_at = now
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


@attrs.define
class RefusalRate:
    """Share of openings of one service that were refused recently.

    Attributes:
        openings: Openings, decayed.
        refusals: Refusals to callers, decayed.
        decayed_at: When both were last decayed.
    """

    openings: float = 0.0
    refusals: float = 0.0
    decayed_at: float | None = None

    def record_opening(self) -> None:
        """Counts a new opening."""
        self.openings += 1.0

    def record_refusal(self, now: float) -> None:
        """Counts a refusal."""
        self.decay(now)
        self.refusals += 1.0

    def decay(self, now: float) -> None:
        """Halves the counts for every five seconds since the last call."""
        if self.decayed_at is not None:
            elapsed = max(0.0, now - self.decayed_at)
            factor = 0.5 ** (elapsed / REFUSAL_HALF_LIFE_SECONDS)
            self.openings *= factor
            self.refusals *= factor
        self.decayed_at = now

    def rate(self) -> float:
        """Returns the pressure, 0 to 1."""
        openings = max(self.openings, self.refusals) + _ASSUMED_OPENINGS
        return self.refusals / openings

    def retry_delay_ms(self, jitter: float) -> int:
        """Returns how long a refused caller should wait.

        Args:
            jitter: 0 to 1; the delay is spread over its upper half, so that
                callers refused together do not return together.
        """
        span = MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS
        delay = MIN_RETRY_DELAY_MS + span * self.rate()
        return int(delay * (0.5 + 0.5 * jitter))
