"""Limits the openings that a cold target gets in any second.

Pattern: all clients of a data centre come back at once to targets that have
just started. A limit over sliding windows holds for every balancer together,
because the agent keeps it.
"""

import collections

import attrs

WINDOW_S = 1.0
# Packets of one window may arrive closer together than they were admitted.
WINDOW_MARGIN_S = 0.1
# What a target of unknown limit bears; less than any slack that is granted.
MIN_PER_WINDOW = 3


@attrs.define(slots=True)
class ColdLimit:
    """Openings admitted within the last window.

    Attributes:
        per_second: Requests a second that the cold target bears.
    """

    per_second: float = 0.0
    _admitted_at: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def admit(self, *, now: float) -> bool:
        """Returns whether one more opening may go to the target.

        Args:
            now: Seconds.
        """
        span_s = WINDOW_S + WINDOW_MARGIN_S
        while self._admitted_at and self._admitted_at[0] <= now - span_s:
            self._admitted_at.popleft()
        limit = max(MIN_PER_WINDOW, int(self.per_second))
        if len(self._admitted_at) >= limit:
            return False
        self._admitted_at.append(now)
        return True
