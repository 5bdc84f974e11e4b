"""Rate limit of openings for a cold target.

All clients of a data centre may reconnect at once to targets that have just
started. The agent applies the limit, so it covers all balancers together.
Openings beyond the limit are queued in order for a short time, because a
client that is refused at once uses up its few retries within milliseconds.
"""

import collections

import attrs

# Openings in a window if the service sets no limit.
UNLIMITED = 1 << 30
WINDOW_S = 1.0
# Added to the window, because packets may arrive at the target closer together
# than they were admitted.
WINDOW_MARGIN_S = 0.1
# An opening that can't be admitted within this time is refused. Clients repeat
# an opening twice and give up after 1.4 s.
MAX_WAIT_S = 0.6


@attrs.define(eq=False, repr=False)
class ColdLimit:
    """Limits the openings that a cold target gets within a window.

    Attributes:
        overshoot: Factor by which the openings of a second may exceed
            `per_second`.
        slack: Number of openings allowed in addition.
        per_second: Requests a second that a cold target can handle; 0 if its
            service sets no limit, None until the limit is received.
        started_at: When the agent started, in seconds. An earlier run may
            have admitted any number of openings before, so its last window
            counts as used up.
    """

    overshoot: float
    slack: float
    per_second: float | None = None
    started_at: float = float("-inf")
    _stated_at: float | None = None
    _admitted_at: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    @property
    def per_window(self) -> int:
        """Largest number of openings admitted in any window."""
        if self.per_second == 0:
            return UNLIMITED
        bound = (self.per_second or 0.0) * self.overshoot + self.slack
        return max(1, int(bound) - 1)

    def set_rate(self, per_second: float, *, now: float) -> bool:
        """Sets `per_second` and returns whether it changed."""
        changed = per_second != self.per_second
        self.per_second = per_second
        self._stated_at = now
        return changed

    def age_s(self, *, now: float) -> float | None:
        """Returns how long ago the rate was stated, None if it wasn't."""
        return None if self._stated_at is None else now - self._stated_at

    def used(self, *, now: float) -> int:
        """Returns how many openings count in the window that ends now."""
        span_s = WINDOW_S + WINDOW_MARGIN_S
        while self._admitted_at and self._admitted_at[0] <= now - span_s:
            self._admitted_at.popleft()
        return len(self._admitted_at)

    def capacity(self, *, now: float) -> int:
        """Returns how many more openings may go to the target now."""
        used = self.used(now=now)
        span_s = WINDOW_S + WINDOW_MARGIN_S
        if now < self.started_at + span_s and self.per_second != 0:
            return 0
        return max(0, self.per_window - used)

    def discount_earlier_run(self) -> None:
        """Excludes openings of an earlier run, as the target is younger."""
        self.started_at = float("-inf")

    def admit(self, *, now: float, cold: bool = True) -> bool:
        """Counts one more opening, if it is within the limit.

        Openings that a warm target gets count as well, because the agent may
        learn later that the target was cold.

        Args:
            now: Seconds.
            cold: Whether the target counts as cold, so that the limit applies.

        Returns:
            Whether the opening may go to the target.
        """
        if not self.capacity(now=now) and cold:
            return False
        self._admitted_at.append(now)
        return True

    @property
    def max_waiting(self) -> int:
        """Largest number of openings that are queued for a cold target.

        More couldn't be admitted within `MAX_WAIT_S`.
        """
        return max(1, int(self.per_window * MAX_WAIT_S))
