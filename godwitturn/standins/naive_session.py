"""A naive session, with which tests compare the outcomes of the real one.

It retransmits at a fixed interval and ignores refusals, resets, moves and
renewals, so it is correct only on a network without faults.
"""

import math
import random
import struct

import attrs

from godwitturn.core import session
from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

RETRANSMIT_INTERVAL_S = 0.5
_FLOW_ID = 1


@attrs.define
class _Request:
    body: bytes
    idempotent: bool
    fragment_by_index: dict[int, bytes] = attrs.field(factory=dict)
    fragment_count: int = 0
    sent: bool = False


class NaiveSession(session.Session):
    """A session with naive logic behind the interface of the real one."""

    def __init__(self, service_id: int, random_source: random.Random) -> None:
        super().__init__(service_id, random_source)
        self._token: bytes | None = None
        self._pending_by_number: dict[int, _Request] = {}
        self._retransmit_at = math.inf

    @property
    def wake_at(self) -> float:
        """Time of the next `Tick` in seconds; infinity if none is due."""
        return self._retransmit_at

    def _packet(
        self, kind: packets.Kind, **fields: object
    ) -> session_events.Action:
        packet = packets.Packet(kind, self.service_id, _FLOW_ID)
        packet.token = self._token or packet.token
        for name, value in fields.items():
            setattr(packet, name, value)
        return session_events.SendDatagram(packets.encode(packet))

    def _send_request(
        self, number: int, request: _Request
    ) -> list[session_events.Action]:
        size = packets.MAX_PAYLOAD_BYTES
        count = max(1, -(-len(request.body) // size))
        request.sent = True
        return [
            self._packet(
                packets.Kind.REQUEST,
                request_id=number,
                fragment=index,
                fragments=count,
                deadline_ms=60_000,
                flags=int(request.idempotent),
                payload=request.body[index * size : (index + 1) * size],
            )
            for index in range(count)
        ]

    def _retransmit(self) -> list[session_events.Action]:
        if self._token is None:
            padding = bytes(packets.OPEN_PAYLOAD_BYTES)
            return [self._packet(packets.Kind.OPEN, payload=padding)]
        actions = [self._packet(packets.Kind.KEEPALIVE)]
        for number, request in self._pending_by_number.items():
            missing = [
                i
                for i in range(request.fragment_count)
                if i not in request.fragment_by_index
            ]
            payload = b"".join(struct.pack("!H", i) for i in missing[:32])
            actions.append(
                self._packet(
                    packets.Kind.POLL, request_id=number, payload=payload
                )
            )
        return actions

    def _handle_packet(
        self, packet: packets.Packet
    ) -> list[session_events.Action]:
        if packet.kind is packets.Kind.ACCEPT:
            self._token = packet.token
        request = self._pending_by_number.get(packet.request_id)
        if packet.kind is not packets.Kind.ANSWER or request is None:
            return []
        request.fragment_count = packet.fragments
        request.fragment_by_index[packet.fragment] = packet.payload
        if len(request.fragment_by_index) < request.fragment_count:
            return []
        del self._pending_by_number[packet.request_id]
        body = b"".join(
            request.fragment_by_index[i] for i in range(request.fragment_count)
        )
        outcome = session_events.Outcome(
            verdicts.Verdict.RAN, verdicts.Reason.NONE, body, 1
        )
        return [session_events.Completed(packet.request_id, outcome)]

    def handle(
        self, event: session_events.Event, *, now: float
    ) -> list[session_events.Action]:
        """Handles an event and returns the actions for the caller."""
        actions: list[session_events.Action] = []
        match event:
            case session_events.Open() | session_events.Tick():
                self._retransmit_at = now + RETRANSMIT_INTERVAL_S
                actions += self._retransmit()
            case session_events.Send(number, body, idempotent):
                self._pending_by_number[number] = _Request(body, idempotent)
            case session_events.Datagram(packet):
                actions += self._handle_packet(packet)
        if self._token is not None:
            for number, request in self._pending_by_number.items():
                if not request.sent:
                    actions += self._send_request(number, request)
        return actions
