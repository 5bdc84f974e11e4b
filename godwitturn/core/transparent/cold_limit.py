"""Limits the openings that a cold target gets in any second.

Pattern: all clients of a data centre come back at once to targets that have
just started. The agent keeps the limit, so it holds for all balancers
together. Openings beyond it wait in order for a short time, since a client
that is refused at once spends its few retries within milliseconds.
"""

import collections

import attrs

UNLIMITED = 1 << 30
WINDOW_S = 1.0
# Packets of one window may arrive closer together than they were admitted.
WINDOW_MARGIN_S = 0.1
# An opening that can't be admitted within this time is refused; clients give
# an opening up after 1.4 s and repeat it twice before.
MAX_WAIT_S = 0.6


@attrs.define(eq=False, repr=False)
class ColdLimit:
    """Openings admitted within the last window.

    Attributes:
        overshoot: By which factor a second may exceed the rate.
        slack: By how many openings it may exceed that.
        per_second: Requests a second that the cold target bears; 0 if its
            service names no limit, None if that isn't known yet.
    """

    overshoot: float
    slack: float
    per_second: float | None = None
    _admitted_at: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    @property
    def per_window(self) -> int:
        """Openings admitted in any window."""
        if self.per_second == 0:
            return UNLIMITED
        bound = (self.per_second or 0.0) * self.overshoot + self.slack
        return max(1, int(bound) - 1)

    def capacity(self, *, now: float) -> int:
        """Returns how many openings may go to the target now."""
        span_s = WINDOW_S + WINDOW_MARGIN_S
        while self._admitted_at and self._admitted_at[0] <= now - span_s:
            self._admitted_at.popleft()
        return max(0, self.per_window - len(self._admitted_at))

    def admit(self, *, now: float) -> bool:
        """Returns whether one more opening may go to the target.

        Args:
            now: Seconds.
        """
        if not self.capacity(now=now):
            return False
        self._admitted_at.append(now)
        return True

    @property
    def max_waiting(self) -> int:
        """Openings that can be admitted before their wait ends."""
        return max(1, int(self.per_window * MAX_WAIT_S))
