"""The datagram between a caller and the balancers."""

import enum
import struct

import attrs

from godwitturn.core import token as tokens
from godwitturn.core import verdict

VERSION = 1
MAX_PAYLOAD_BYTES = 1200
MAX_BODY_BYTES = 1 << 20
MAX_FRAGMENTS = -(-MAX_BODY_BYTES // MAX_PAYLOAD_BYTES)
# An opening is padded to this size, which no reply to it exceeds, so that a
# spoofed source address can't be used for amplification.
OPEN_PAYLOAD_BYTES = 64

# version, kind, flags, reason, service id, flow id, request id, fragment,
# fragment count, deadline in ms, token
_HEADER = struct.Struct("!BBBBHQIHHI32s")
HEADER_BYTES = _HEADER.size
# version, kind, service id, flow id, token
_ROUTE = struct.Struct("!BBxxHQ12x32s")
_REASON_OFFSET = 3
MAX_DATAGRAM_BYTES = HEADER_BYTES + MAX_PAYLOAD_BYTES


class Kind(enum.IntEnum):
    """Kind of a datagram.

    `RESEND` identifies the packet that a closed balancer did not forward by
    its request id, fragment and fragment count. It carries no verdict, because
    another copy of the packet may have been delivered.
    """

    OPEN = 1
    ACCEPT = 2
    REFUSE = 3
    REQUEST = 4
    ANSWER = 5
    STATUS = 6
    POLL = 7
    ACK = 8
    CANCEL = 9
    KEEPALIVE = 10
    KEEPALIVE_REPLY = 11
    RESET = 12
    RENEW = 13
    CLOSE = 14
    RESEND = 15


class Flag(enum.IntFlag):
    """Flags of a datagram.

    `IDEMPOTENT` marks a request that may run more than once. `MOVE` requests
    that the caller opens a flow at another target for its next requests.
    `RAN`, `NOT_RUN` and `MAY_HAVE_RUN` are the verdict of an ended request.
    """

    NONE = 0
    IDEMPOTENT = 1
    MOVE = 2
    RAN = 4
    NOT_RUN = 8
    MAY_HAVE_RUN = 16


KIND_BY_NUMBER = {int(kind): kind for kind in Kind}
REASON_BY_NUMBER = {int(reason): reason for reason in verdict.Reason}
FLAG_BY_VERDICT = {
    verdict.Verdict.RAN: Flag.RAN,
    verdict.Verdict.NOT_RUN: Flag.NOT_RUN,
    verdict.Verdict.MAY_HAVE_RUN: Flag.MAY_HAVE_RUN,
}
# Kinds that callers send; any other kind from a caller is malformed.
CALLER_KINDS = frozenset(
    {
        Kind.OPEN,
        Kind.REQUEST,
        Kind.POLL,
        Kind.ACK,
        Kind.CANCEL,
        Kind.KEEPALIVE,
        Kind.CLOSE,
    }
)


@attrs.define
class Packet:
    """One datagram.

    Attributes:
        kind: Purpose of the datagram.
        service_id: Number of the service.
        flow_id: Random 64-bit number drawn by the caller.
        token: Routing token, or `token.EMPTY`.
        request_id: Number of the request, increasing from 1 within a flow.
        fragment: Index of this fragment, from 0.
        fragments: Number of fragments of the body.
        deadline_ms: Milliseconds until the caller stops waiting; in `REFUSE`
            the delay before a retry.
        flags: See `Flag`.
        reason: Reason of a refusal, reset or verdict.
        payload: At most 1,200 bytes.
    """

    kind: Kind
    service_id: int
    flow_id: int
    token: bytes = tokens.EMPTY
    request_id: int = 0
    fragment: int = 0
    fragments: int = 0
    deadline_ms: int = 0
    flags: int = 0
    reason: verdict.Reason = verdict.Reason.NONE
    payload: bytes = b""


def encode(packet: Packet) -> bytes:
    """Encodes a packet."""
    return (
        _HEADER.pack(
            VERSION,
            packet.kind,
            packet.flags,
            packet.reason,
            packet.service_id,
            packet.flow_id,
            packet.request_id,
            packet.fragment,
            packet.fragments,
            packet.deadline_ms,
            packet.token,
        )
        + packet.payload
    )


def decode(data: bytes) -> Packet | None:
    """Decodes a datagram; returns None if it is malformed."""
    if not HEADER_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    (
        version,
        kind_number,
        flags,
        reason_number,
        service_id,
        flow_id,
        request_id,
        fragment,
        fragments,
        deadline_ms,
        token,
    ) = _HEADER.unpack_from(data)
    kind = KIND_BY_NUMBER.get(kind_number)
    reason = REASON_BY_NUMBER.get(reason_number)
    if version != VERSION or kind is None or reason is None:
        return None
    if fragments > MAX_FRAGMENTS or (fragments and fragment >= fragments):
        return None
    return Packet(
        kind,
        service_id,
        flow_id,
        token,
        request_id,
        fragment,
        fragments,
        deadline_ms,
        flags,
        reason,
        data[HEADER_BYTES:],
    )


def parse_route(data: bytes) -> tuple[int, int, int, bytes] | None:
    """Decodes only the fields that routing needs.

    Returns:
        Kind number, service id, flow id and token, or None if the size or
        the version is wrong. The kind and all other fields are not checked.
    """
    if not HEADER_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    version, kind_number, service_id, flow_id, token = _ROUTE.unpack_from(data)
    if version != VERSION:
        return None
    return kind_number, service_id, flow_id, token


def without_reason(data: bytes) -> bytes:
    """Returns an encoded packet with its reason set to `NONE`."""
    return data[:_REASON_OFFSET] + b"\0" + data[_REASON_OFFSET + 1 :]


def verdict_of(packet: Packet) -> verdict.Verdict | None:
    """Returns the verdict in a packet's flags, or None."""
    for value, flag in FLAG_BY_VERDICT.items():
        if packet.flags & flag:
            return value
    return None
