"""A balancer's graceful stop.

Pattern: balancers are restarted one after the other, more quickly than each is
back. Routers use also those that aren't ready while fewer than half of a data
centre's balancers are, so one that ends too early loses packets.
"""

import attrs

# Routers take a balancer out of rotation after two misses, which they count
# twice a second.
FAILED_PROBES_TO_REMOVE = 2
# Packets that were on their way when a router counted the second miss.
REMOVAL_DELAY_S = 0.1
# Share of the grace period that may be used.
GRACE_SHARE = 0.7


@attrs.define(eq=False, repr=False)
class GracefulStop:
    """State of a stop.

    Attributes:
        ends_at: When the balancer ends at the latest, in seconds.
        misses: Questions of routers that were answered in the negative.
        missed_at: When the last of them was.
    """

    deadline_at: float
    failed_probes: int = 0
    last_failed_probe_at: float = 0.0

    def record_failed_probe(self, *, now: float) -> None:
        """Notes that a router was told that the balancer isn't ready."""
        self.failed_probes += 1
        self.last_failed_probe_at = now

    def may_exit(self, *, half_ready: bool, now: float) -> bool:
        """Returns whether the balancer may end.

        Args:
            half_ready: Whether half of the data centre's balancers are ready.
            now: Seconds.
        """
        if now >= self.deadline_at:
            return True
        out_of_rotation = (
            self.failed_probes >= FAILED_PROBES_TO_REMOVE
            and now - self.last_failed_probe_at >= REMOVAL_DELAY_S
        )
        return out_of_rotation and half_ready
