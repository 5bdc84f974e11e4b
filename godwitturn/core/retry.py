"""Retry budget and backoff of callers."""

import random

import attrs

# Any cap is reached by then; larger exponents would overflow floats.
_MAX_DOUBLINGS = 32


@attrs.define
class Budget:
    """Token bucket that bounds the retries of one caller.

    Over `t` seconds and `n` requests it allows at most
    `capacity + share * n + refill_per_s * t` retries, so that callers add
    little load to a service that already refuses requests.

    Attributes:
        share: Retries added for each request.
        capacity: Maximum number of saved retries; the bucket starts full.
        refill_per_s: Retries added per second, so that a caller with few
            requests regains them.
    """

    share: float = 0.1
    capacity: float = 10.0
    refill_per_s: float = 0.1
    _tokens: float = attrs.field(init=False)
    _refilled_at: float | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.capacity

    def _add(self, tokens: float) -> None:
        self._tokens = min(self.capacity, self._tokens + tokens)

    def deposit(self) -> None:
        """Adds the share of one request; not called for retries."""
        self._add(self.share)

    def try_spend(self, *, now: float) -> bool:
        """Takes one retry from the budget.

        Args:
            now: Current time in seconds.

        Returns:
            False if no retry is left; the budget is unchanged then.
        """
        if self._refilled_at is not None and now > self._refilled_at:
            self._add((now - self._refilled_at) * self.refill_per_s)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.frozen
class Backoff:
    """Exponential backoff with full jitter.

    Full jitter spreads the retries of callers that failed at the same moment
    over the whole interval.

    Attributes:
        base_s: Upper bound of the first delay in seconds.
        cap_s: Upper bound of every delay in seconds.
    """

    base_s: float
    cap_s: float

    def delay_s(self, failures: int, random_source: random.Random) -> float:
        """Returns a delay in seconds.

        Args:
            failures: Number of consecutive failures before this one.
            random_source: Source of the jitter.
        """
        doubled = self.base_s * 2.0 ** min(failures, _MAX_DOUBLINGS)
        return random_source.uniform(0.0, min(self.cap_s, doubled))
