"""Coalescing of expensive changes that arrive in bursts."""

import math

import attrs

# Applying a change to 3,700 targets takes about 40 ms. In a burst, such as the
# restart of all daemons of a data centre, control may use 3.1% of a core,
# which is one part in 32.
INTERVAL_PER_COST = 32.0
# Changes have to be in force within seconds even on a slow machine.
MAX_INTERVAL_SECONDS = 2.0


@attrs.define
class Coalescer:
    """Limits the rate at which changes are applied by their cost.

    The first change is due at once. Changes during the interval that follows
    are applied together at its end.
    """

    _pending: bool = False
    _next_at: float = -math.inf

    def record_change(self) -> None:
        """Records a change that is to be applied."""
        self._pending = True

    def is_due(self, *, now: float) -> bool:
        """Returns whether there are changes to apply now."""
        return self._pending and now >= self._next_at

    def record_applied(self, *, now: float, cost_s: float) -> None:
        """Records that all pending changes were applied.

        Args:
            now: Seconds of a monotonic clock, after they were applied.
            cost_s: Processor time that this took, in seconds.
        """
        self._pending = False
        interval = min(MAX_INTERVAL_SECONDS, INTERVAL_PER_COST * cost_s)
        self._next_at = now + interval
