"""The opening of a flow: `OPEN` packets until a target accepts."""

import random

import attrs

from godwitturn.core import retry
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

# Maximum random delay of an opening, so that callers that lose their flows at
# the same moment don't reconnect all at once.
MAX_JITTER_S = 1.0
# Interval from the first OPEN of a flow id to its first repetition, before
# jitter. It doubles with each repetition.
REPEAT_FIRST_S = 0.2
# After this many OPEN packets, a new flow id is used, for which balancers
# rank the targets differently.
SENDS_PER_FLOW_ID = 4
BACKOFF = retry.Backoff(base_s=0.5, cap_s=10.0)
# Upper bound of the retry delay in a REFUSE. Balancers request shorter delays,
# so a longer one may be forged.
MAX_REQUESTED_DELAY_S = 30.0
# An ACCEPT is valid for this many of the last flow ids, so that a delayed
# ACCEPT still opens a flow when all callers reconnect at once.
MAX_PENDING_FLOW_IDS = 3


@attrs.define(eq=False)
class Opening:
    """One opening, from the first `OPEN` to an `ACCEPT`.

    Attributes:
        service_id: The service.
        random_source: Source of flow ids and jitter.
        send_at: Time of the next `OPEN` in seconds.
        flow_ids: Flow ids for which an `ACCEPT` is valid; the last one is
            current.
        reason: Why the last `OPEN` was refused, or `NONE`.
    """

    service_id: int
    random_source: random.Random = attrs.field(repr=False)
    send_at: float
    flow_ids: list[int] = attrs.field(factory=list)
    reason: verdicts.Reason = verdicts.Reason.NONE
    _send_count: int = 0
    _failure_count: int = 0
    _needs_flow_id: bool = True

    def _add_flow_id(self) -> list[int]:
        self.flow_ids.append(self.random_source.getrandbits(64))
        self._needs_flow_id = False
        self._send_count = 0
        expired_ids = self.flow_ids[:-MAX_PENDING_FLOW_IDS]
        del self.flow_ids[:-MAX_PENDING_FLOW_IDS]
        return expired_ids

    def _open_packet(self) -> bytes:
        return packets.encode(
            packets.Packet(
                packets.Kind.OPEN,
                self.service_id,
                self.flow_ids[-1],
                payload=bytes(packets.OPEN_PAYLOAD_BYTES),
            )
        )

    def on_timer(self, *, now: float) -> tuple[bytes, list[int]]:
        """Returns the `OPEN` that is due and the flow ids that expired."""
        expired_ids = self._add_flow_id() if self._needs_flow_id else []
        self._send_count += 1
        wait_s = REPEAT_FIRST_S * 2.0 ** (self._send_count - 1)
        wait_s *= self.random_source.uniform(1.0, 1.5)
        if self._send_count >= SENDS_PER_FLOW_ID:
            self._needs_flow_id = True
            wait_s += BACKOFF.delay_s(self._failure_count, self.random_source)
            self._failure_count += 1
        self.send_at = now + wait_s
        return self._open_packet(), expired_ids

    def on_refusal(self, packet: packets.Packet, *, now: float) -> bool:
        """Handles `REFUSE` or `RESET`.

        Returns:
            Whether the packet was applied. Only the first one for the
            current flow id is, so that duplicates don't lengthen the backoff.
        """
        if packet.flow_id != self.flow_ids[-1] or self._needs_flow_id:
            return False
        requested_s = 0.0
        if packet.kind is packets.Kind.REFUSE:
            requested_s = min(packet.deadline_ms / 1000, MAX_REQUESTED_DELAY_S)
        self.reason = packet.reason
        self._needs_flow_id = True
        backoff_s = BACKOFF.delay_s(self._failure_count, self.random_source)
        self._failure_count += 1
        self.send_at = now + requested_s + backoff_s
        return True
