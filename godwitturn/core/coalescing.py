"""When to apply changes that cost much and may come in bursts."""

import math

import attrs

# Applying a change to 3,700 targets takes about 40 ms. Bursts, such as the
# restart of all daemons of a data centre, must stay within the 3.1% of a core
# that control may spend, which is one part in 32.
INTERVAL_PER_COST = 32.0
# Changes are to be in force within seconds also on a slow machine.
MAX_INTERVAL_SECONDS = 2.0


@attrs.define
class Coalescer:
    """Spaces applications of changes by what the last one cost.

    A change after a quiet time is due at once; those that follow are applied
    together once the time is up.
    """

    _pending: bool = False
    _next_at: float = -math.inf

    def record_change(self) -> None:
        """Records that something changed."""
        self._pending = True

    def is_due(self, *, now: float) -> bool:
        """Returns whether changes are to be applied now."""
        return self._pending and now >= self._next_at

    def record_applied(self, *, now: float, cost_s: float) -> None:
        """Records that all changes so far were applied.

        Args:
            now: Seconds of a monotonic clock, after the application.
            cost_s: Processor time that it took.
        """
        self._pending = False
        interval = min(MAX_INTERVAL_SECONDS, INTERVAL_PER_COST * cost_s)
        self._next_at = now + interval
