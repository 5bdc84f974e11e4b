"""Messages and actions of a control node, and their budget of bytes."""

import math

import attrs

from godwitturn.core import control_events
from godwitturn.core import downlinks as downlink_tables
from godwitturn.core import identity
from godwitturn.core import uplinks as uplink_tables
from godwitturn.protocol import control

# Capacity of the budget: ten first copies of a configuration for 50 balancers
# and 25 targets (25 KB), so that a few daemons that start at once are not
# delayed.
BURST_BYTES = 256 * 1024
# Deltas leave this much of the budget to smaller messages.
RESERVE_BYTES = 32 * 1024


@attrs.define
class Budget:
    """Token bucket for control bytes.

    Attributes:
        bytes_per_second: Refill rate.
        burst_bytes: Capacity.
        tokens: Bytes that may be sent now; negative after a large message.
    """

    bytes_per_second: float = 8 * 1024
    burst_bytes: float = BURST_BYTES
    tokens: float = BURST_BYTES
    _refilled_at: float = math.inf

    def refill(self, now: float) -> None:
        """Adds the bytes that have accrued since the last call."""
        accrued = max(0.0, now - self._refilled_at) * self.bytes_per_second
        self.tokens = min(self.burst_bytes, self.tokens + accrued)
        self._refilled_at = now


@attrs.define
class Outbox:
    """Encodes messages and collects actions.

    Attributes:
        uplinks: The trusted peers, and requests for connections to peers that
            are not attached.
        downlinks: The attached peers and their deltas.
        actions: Actions for the daemon.
        bytes_sent: Bytes of messages sent so far, without framing.
    """

    uplinks: uplink_tables.Uplinks
    downlinks: downlink_tables.Downlinks
    actions: list[control_events.ControlAction] = attrs.field(factory=list)
    bytes_sent: int = 0
    _budget: Budget = attrs.field(factory=Budget)

    def refill(self, *, now: float) -> None:
        """Adds the bytes that have accrued to the budget."""
        self._budget.refill(now)

    def has_budget(self) -> bool:
        """Returns whether answers that can wait may be sent."""
        return self._budget.tokens > 0

    def send(
        self, peer: identity.MemberId, message: control.Message, *, now: float
    ) -> None:
        """Sends a message to a peer, even if the budget is used up.

        A message to a peer that is not trusted is dropped.
        """
        if not self.uplinks.trusts(peer):
            return
        if peer not in self.downlinks.attachment_by_peer:
            connect = self.uplinks.connection_request(peer, now=now)
            if connect is not None:
                self.actions.append(connect)
        data = control.encode(message)
        self._budget.tokens -= len(data)
        self.bytes_sent += len(data)
        self.actions.append(control_events.SendToPeer(peer, data))

    def send_deltas(self, *, now: float) -> None:
        """Sends pages of deltas while the budget lasts.

        A peer gets all its pages before the next peer gets any, so that it
        can relay the documents early.
        """
        waiting = self.downlinks.peers_to_serve()
        while waiting and self._budget.tokens > RESERVE_BYTES:
            page = self.downlinks.next_page(waiting[-1], now=now)
            if page is None:
                waiting.pop()
            else:
                self.send(waiting[-1], page, now=now)

    def pop_actions(self) -> list[control_events.ControlAction]:
        """Removes and returns the collected actions."""
        actions, self.actions = self.actions, []
        return actions
