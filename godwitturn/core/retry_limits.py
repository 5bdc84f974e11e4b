"""Retry budget of returned openings and retry delays of refused callers."""

import attrs

# Retries at another target are limited to this share of openings, plus a
# constant rate for balancers with little traffic. Without a budget, a service
# whose targets are all full would get three times its openings.
RETRY_SHARE = 0.1
RETRIES_PER_SECOND = 5.0
MAX_AVAILABLE_RETRIES = 50.0
REFUSAL_HALF_LIFE_SECONDS = 5.0
MIN_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 5000
# Added to the openings, so that the first refusal of a service with little
# traffic does not count as a refusal rate of 1.
_ASSUMED_OPENINGS = 5.0


@attrs.define
class RetryBudget:
    """Token bucket for retries of returned openings.

    Attributes:
        available: Number of retries left, including fractions.
        refilled_at: When the constant rate was last added, in seconds.
    """

    available: float = MAX_AVAILABLE_RETRIES
    refilled_at: float | None = None

    def record_opening(self) -> None:
        """Adds the share of a retry that one new opening gives."""
        if self.available < MAX_AVAILABLE_RETRIES:
            self.available += RETRY_SHARE

    def spend(self, now: float) -> bool:
        """Uses one retry; returns whether one was available."""
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
        openings: Exponentially decayed number of openings.
        refusals: Exponentially decayed number of refusals to callers.
        decayed_at: When both were last decayed, in seconds.
    """

    openings: float = 0.0
    refusals: float = 0.0
    decayed_at: float | None = None

    def record_opening(self) -> None:
        """Records a new opening."""
        self.openings += 1.0

    def record_refusal(self, now: float) -> None:
        """Records a refusal."""
        self.decay(now)
        self.refusals += 1.0

    def decay(self, now: float) -> None:
        """Halves the numbers for each half-life since the last call."""
        if self.decayed_at is not None:
            elapsed = max(0.0, now - self.decayed_at)
            factor = 0.5 ** (elapsed / REFUSAL_HALF_LIFE_SECONDS)
            self.openings *= factor
            self.refusals *= factor
        self.decayed_at = now

    def rate(self) -> float:
        """Returns the share of refused openings, 0 to 1."""
        openings = max(self.openings, self.refusals) + _ASSUMED_OPENINGS
        return self.refusals / openings

    def retry_delay_ms(self, jitter: float) -> int:
        """Returns how long a refused caller should wait, in milliseconds.

        Args:
            jitter: 0 to 1; gives delays from half to all of the full one, so
                that callers refused at once do not return at once.
        """
        span = MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS
        delay = MIN_RETRY_DELAY_MS + span * self.rate()
        return int(delay * (0.5 + 0.5 * jitter))
