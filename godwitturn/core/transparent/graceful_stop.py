"""A balancer's graceful stop.

Balancers may be restarted one after the other, each before the previous one is
ready again. While fewer than half of a data centre's balancers are ready,
routers send packets to all of them, and packets for a balancer that exits too
early are lost.
"""

import attrs

# Routers probe readiness twice a second and remove a balancer from rotation
# after two failed probes.
FAILED_PROBES_TO_REMOVE = 2
# Time for packets that were in flight when a router removed the balancer.
REMOVAL_DELAY_S = 0.1
# Largest share of the grace period that a stop uses. At the end of the period,
# the process is killed.
GRACE_SHARE = 0.7


@attrs.define(eq=False, repr=False)
class GracefulStop:
    """State of a balancer's graceful stop.

    Attributes:
        deadline_at: When the balancer exits at the latest, in seconds.
        failed_probes: Number of routers' readiness probes that failed.
        last_failed_probe_at: When the last failed probe arrived.
    """

    deadline_at: float
    failed_probes: int = 0
    last_failed_probe_at: float = 0.0

    def record_failed_probe(self, *, now: float) -> None:
        """Counts a router's readiness probe that failed."""
        self.failed_probes += 1
        self.last_failed_probe_at = now

    def may_exit(self, *, half_ready: bool, now: float) -> bool:
        """Returns whether the balancer may exit.

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
