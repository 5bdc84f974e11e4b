"""Coalescing of expensive changes that arrive in bursts."""

import math

import attrs

# Ratio of the interval after an application to its processor time. In a burst
# of changes, such as the restart of all daemons of a data centre, applications
# must stay within the 1/32 (3.1%) of a core that control may use. They use
# more only where `MAX_INTERVAL_SECONDS` limits the interval. Applying a change
# to 3,700 targets takes about 40 ms.
INTERVAL_PER_COST = 32.0
# Upper limit of the interval, so that changes are in force within seconds even
# on a slow machine.
MAX_INTERVAL_SECONDS = 2.0


@attrs.define
class Coalescer:
    """Limits the rate at which changes are applied by their cost.

    A change after a quiet time is due at once. Changes during the interval
    after an application are applied together at its end.
    """

    _pending: bool = False
    _next_at: float = -math.inf

    def record_change(self) -> None:
        """Records that there is a change to apply."""
        self._pending = True

    def is_due(self, *, now: float) -> bool:
        """Returns whether there are changes to apply now."""
        return self._pending and now >= self._next_at

    def record_applied(self, *, now: float, cost_s: float) -> None:
        """Records that all pending changes were applied.

        Args:
            now: Monotonic time in seconds, after the changes were applied.
            cost_s: Processor time of the application, in seconds.
        """
        self._pending = False
        interval = min(MAX_INTERVAL_SECONDS, INTERVAL_PER_COST * cost_s)
        self._next_at = now + interval
