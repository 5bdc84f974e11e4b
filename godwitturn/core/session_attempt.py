"""One attempt to send a request on a flow, and assembly of its answer.

The methods return the `PacketFields` to send. `session_progress` encodes them
as datagrams of the flow.
"""

from collections.abc import Iterable
import struct

import attrs

from godwitturn.core import session_resend
from godwitturn.protocol import packet as packets

# The agent sends this many answer fragments without a POLL, and up to as many
# in reply to each POLL. Request fragments are sent in batches of the same
# size, each followed by a POLL, so that a large body doesn't overflow socket
# buffers.
BATCH_FRAGMENTS = 32
# Exponential backoff of retransmissions: first interval and upper bound.
RETRANSMIT_FIRST_S = 0.1
RETRANSMIT_CAP_S = 1.0
# Interval between retransmissions of CANCEL. The session waits half a second
# for the verdict of a cancelled request. The backoff of a long-running request
# exceeds that, so that CANCEL would be sent only once and could be lost.
CANCEL_INTERVAL_S = 0.1
# Time without a new answer fragment before the missing ones are requested.
# Longer than the delays that reordering causes within one batch of fragments.
FRAGMENT_GAP_S = 0.05
# The next answer fragments are requested when at most this many of the
# requested ones are missing, so that a lost fragment doesn't stall the rest.
PREFETCH_FRAGMENTS = 8


@attrs.define
class PacketFields:
    """The fields of a packet that depend on the request."""

    kind: packets.Kind
    fragment: int = 0
    fragments: int = 0
    payload: bytes = b""


@attrs.define(eq=False)
class Attempt:
    """One attempt to send a request on a flow.

    Attributes:
        request_number: Number of the request within the session.
        request_id: Its id within the flow.
        body: The complete body.
        fragment_count: Number of fragments of the body.
        sent_count: Number of fragments sent at least once. Fragments are
            first sent in the order of their indexes.
        seen_by_agent: Whether the agent has replied about the request.
        complete_at_agent: Whether the agent has reported that it has all
            fragments.
        answer_fragment_count: Number of fragments of the answer; 0 while
            unknown.
        answer_fragment_by_index: Fragments of the answer received so far.
        cancelling: Whether `CANCEL` is sent instead of `POLL`.
        timer_at: Time of the next retransmission in seconds.
        resend_quota: Limit of early resends, see `session_resend`.
    """

    request_number: int
    request_id: int
    body: bytes = attrs.field(repr=False)
    timer_at: float
    fragment_count: int = attrs.field(init=False)
    sent_count: int = 0
    seen_by_agent: bool = False
    complete_at_agent: bool = False
    answer_fragment_count: int = 0
    answer_fragment_by_index: dict[int, bytes] = attrs.field(
        factory=dict, repr=False
    )
    cancelling: bool = False
    resend_quota: session_resend.ResendQuota = attrs.field(
        factory=session_resend.ResendQuota
    )
    _requested_count: int = 0
    _awaited_indexes: set[int] = attrs.field(factory=set, repr=False)
    _last_batch: list[int] = attrs.field(factory=list, repr=False)
    _timed_out: bool = False
    _timeout_count: int = 0

    def __attrs_post_init__(self) -> None:
        size = packets.MAX_PAYLOAD_BYTES
        self.fragment_count = max(1, -(-len(self.body) // size))

    @property
    def is_fully_sent(self) -> bool:
        """Whether the agent may have all fragments and run the request."""
        return self.sent_count >= self.fragment_count

    def restart_timer(self, *, now: float) -> None:
        """Resets the backoff and sets the timer to the first interval."""
        self._timeout_count = 0
        self.timer_at = now + RETRANSMIT_FIRST_S

    def _fragment_fields(self, index: int) -> PacketFields:
        size = packets.MAX_PAYLOAD_BYTES
        payload = self.body[index * size : (index + 1) * size]
        return PacketFields(
            packets.Kind.REQUEST, index, self.fragment_count, payload
        )

    def _poll(self, missing: Iterable[int] = ()) -> PacketFields:
        """Returns a `POLL` for fragments, or for the request in any state.

        Args:
            missing: Indexes of fragments. Without any, the agent replies with
                the state, or with the first answer fragments if it has the
                answer.
        """
        payload = b"".join(struct.pack("!H", index) for index in missing)
        return PacketFields(packets.Kind.POLL, payload=payload)

    def _poll_for_missing(self) -> PacketFields:
        """Returns a `POLL` for the list of missing request fragments.

        An agent lists at most as many indexes as the `POLL` contains.
        """
        return self._poll(range(BATCH_FRAGMENTS))

    def next_batch(self, lost: Iterable[int] = ()) -> list[PacketFields]:
        """Returns a batch of lost fragments and fragments not yet sent.

        Args:
            lost: Indexes of fragments that the agent has not received.
        """
        resent = sorted({index for index in lost if index < self.sent_count})
        indexes = resent[:BATCH_FRAGMENTS]
        unsent_count = min(
            self.fragment_count - self.sent_count,
            BATCH_FRAGMENTS - len(indexes),
        )
        indexes += range(self.sent_count, self.sent_count + unsent_count)
        self.sent_count += unsent_count
        self._last_batch = indexes
        packet_fields = [self._fragment_fields(index) for index in indexes]
        if self.fragment_count > 1:
            packet_fields.append(self._poll_for_missing())
        return packet_fields

    def _reflects_last_batch(self, missing: set[int]) -> bool:
        """Returns whether the last batch arrived before a list was made.

        At least one fragment of the batch is then not listed as missing.
        Without this check, each duplicate of a `STATUS` would cause a batch
        and a `POLL`, whose duplicates would cause further ones.

        Args:
            missing: The missing fragments that a `STATUS` lists. A truncated
                list doesn't cover fragments beyond its highest index.
        """
        is_truncated = len(missing) >= BATCH_FRAGMENTS
        highest = max(missing) if is_truncated else self.fragment_count
        return any(
            index < highest and index not in missing
            for index in self._last_batch
        )

    def on_status(self, payload: bytes, *, now: float) -> list[PacketFields]:
        """Handles a `STATUS` without a verdict.

        Args:
            payload: Indexes of missing request fragments. Empty if the agent
                has all of them.
            now: Current time in seconds.
        """
        self.seen_by_agent = True
        if not payload:
            self.complete_at_agent = (
                self.complete_at_agent or self.is_fully_sent
            )
            return []
        # A cancelled request must not become complete at the agent.
        if self.cancelling or self.complete_at_agent or len(payload) % 2:
            return []
        missing = {index for (index,) in struct.iter_unpack("!H", payload)}
        if not self._timed_out:
            if not self._reflects_last_batch(missing):
                return []
            # Fragments of the last batch may still be in flight.
            missing.difference_update(self._last_batch)
            if not missing:
                return []
        self._timed_out = False
        self.restart_timer(now=now)
        return self.next_batch(missing)

    def missing_answer_fragments(self) -> list[int]:
        """Returns the lowest indexes of missing answer fragments."""
        indexes: list[int] = []
        for index in range(self.answer_fragment_count):
            if index not in self.answer_fragment_by_index:
                indexes.append(index)
                if len(indexes) == BATCH_FRAGMENTS:
                    break
        return indexes

    def on_answer(
        self, packet: packets.Packet, *, now: float
    ) -> list[PacketFields]:
        """Handles one fragment of the answer."""
        if packet.fragments < 1 or not self.is_fully_sent:
            return []
        self.seen_by_agent = self.complete_at_agent = True
        if self.answer_fragment_count == 0:
            self.answer_fragment_count = packet.fragments
            self._requested_count = min(packet.fragments, BATCH_FRAGMENTS)
            self._awaited_indexes = set(range(self._requested_count))
        if (
            packet.fragments != self.answer_fragment_count
            or packet.fragment in self.answer_fragment_by_index
        ):
            return []
        self.answer_fragment_by_index[packet.fragment] = packet.payload
        self._awaited_indexes.discard(packet.fragment)
        self._timeout_count = 0
        self.timer_at = now + FRAGMENT_GAP_S
        if (
            self.is_answer_complete
            or len(self._awaited_indexes) > PREFETCH_FRAGMENTS
        ):
            return []
        if self._requested_count < self.answer_fragment_count:
            return self._request_fragments(self._next_unrequested())
        return (
            []
            if self._awaited_indexes
            else self._request_fragments(self.missing_answer_fragments())
        )

    def _next_unrequested(self) -> list[int]:
        """Returns the next answer fragments that were never requested."""
        first = self._requested_count
        self._requested_count = min(
            self.answer_fragment_count, first + BATCH_FRAGMENTS
        )
        return list(range(first, self._requested_count))

    def _request_fragments(self, indexes: list[int]) -> list[PacketFields]:
        self._awaited_indexes = set(indexes)
        return [self._poll(indexes)]

    @property
    def is_answer_complete(self) -> bool:
        """Whether all fragments of the answer have been received."""
        return (
            0
            < self.answer_fragment_count
            == len(self.answer_fragment_by_index)
        )

    def answer(self) -> bytes:
        """Returns the complete answer."""
        fragments = self.answer_fragment_by_index
        return b"".join(
            fragments[index] for index in range(self.answer_fragment_count)
        )

    def on_resend(self, fragment: int, fragments: int) -> list[PacketFields]:
        """Returns the packet that a `RESEND` reports as not forwarded.

        Returns only a packet that was sent before and is still useful, since
        the `RESEND` may be late or forged. Timers don't change.

        Args:
            fragment: Index of the request fragment.
            fragments: Number of fragments; 0 for a `POLL` or `CANCEL`.
        """
        if fragments:
            # A cancelled request must not become complete at the agent.
            is_useless = self.cancelling or self.complete_at_agent
            if is_useless or fragment >= self.sent_count:
                return []
            return [self._fragment_fields(fragment)]
        if self.cancelling:
            return [PacketFields(packets.Kind.CANCEL)]
        if self.answer_fragment_count:
            return (
                [self._poll(sorted(self._awaited_indexes))]
                if self._awaited_indexes
                else []
            )
        return [
            self._poll()
            if self.complete_at_agent
            else self._poll_for_missing()
        ]

    def on_timer(self, *, now: float) -> list[PacketFields]:
        """Returns the retransmission after a timeout without progress."""
        wait_s = RETRANSMIT_FIRST_S * 2.0 ** min(self._timeout_count + 1, 8)
        self._timeout_count += 1
        self._timed_out = True
        self.timer_at = now + min(RETRANSMIT_CAP_S, wait_s)
        if self.answer_fragment_count:
            return self._request_fragments(self.missing_answer_fragments())
        if self.cancelling:
            self.timer_at = now + CANCEL_INTERVAL_S
            return [PacketFields(packets.Kind.CANCEL)]
        if self.complete_at_agent:
            return [self._poll()]
        if self.seen_by_agent:
            return [self._poll_for_missing()]
        first_fragment = self._fragment_fields(0)
        if self.fragment_count == 1:
            return [first_fragment]
        return [first_fragment, self._poll_for_missing()]
