"""Limit on resends of packets that a closed balancer did not forward.

The balancer reports such a packet with a `RESEND`. An early resend is sent at
once, instead of after the retransmission timeout.
"""

import attrs

# Minimum quota of a round. With one of three balancers closed, a packet and
# its three early resends all reach that balancer with a probability of 1.2%;
# with two early resends it would be 3.7%.
EARLY_RESENDS = 3


@attrs.define(eq=False)
class ResendQuota:
    """Limits the early resends of one round of transmission.

    A round starts when packets are sent for the first time or after a
    timeout, and never because of a `RESEND`. `RESEND` packets that are
    duplicated or forged, or sent because all balancers are closed, thus cause
    no more packets than the round allows.

    Attributes:
        remaining: Early resends that the current round still allows.
    """

    remaining: int = 0

    def start_round(self, sent_count: int) -> None:
        """Resets the quota for a new round.

        Args:
            sent_count: Number of packets in the round. A batch of fragments
                may be resent once as a whole, since each packet may be routed
                through another balancer.
        """
        self.remaining = max(EARLY_RESENDS, sent_count)

    def end_round(self) -> None:
        """Allows no resend until the next round, as no reply is due."""
        self.remaining = 0

    def try_spend(self) -> bool:
        """Uses one early resend; returns False if none remains."""
        if self.remaining == 0:
            return False
        self.remaining -= 1
        return True
