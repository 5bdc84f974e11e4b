"""Packets that a balancer creates and sends to callers.

Each consists of a header only, the shortest valid packet, so that no reply is
larger than the packet that caused it.
"""

from godwitturn.core import token as tokens
from godwitturn.core import verdict
from godwitturn.protocol import packet as packets


def reset(
    service_id: int,
    flow_id: int,
    reason: verdict.Reason,
    token: bytes = tokens.EMPTY,
) -> bytes:
    """Returns a `RESET`.

    It carries no verdict, because the request in the packet may be a
    repetition of one that ran.

    Args:
        service_id: The service in the packet's header.
        flow_id: The flow in the packet's header.
        reason: Why the flow can't continue.
        token: The authentic token of the packet. It shows the caller that the
            sender of the reset has seen the packet.
    """
    return packets.encode(
        packets.Packet(
            packets.Kind.RESET, service_id, flow_id, token, reason=reason
        )
    )


def resend_notice(data: bytes, reason: verdict.Reason) -> bytes | None:
    """Returns a `RESEND` for an established packet that is not forwarded.

    Args:
        data: The caller's packet, whose token is authentic.
        reason: Why the balancer forwards nothing.

    Returns:
        The encoded notice, or None if the packet is malformed.
    """
    packet = packets.decode(data)
    if packet is None:
        return None
    return packets.encode(
        packets.Packet(
            packets.Kind.RESEND,
            packet.service_id,
            packet.flow_id,
            packet.token,
            packet.request_id,
            packet.fragment,
            packet.fragments,
            reason=reason,
        )
    )


def refusal(
    service_id: int, flow_id: int, reason: verdict.Reason, delay_ms: int
) -> bytes:
    """Returns a `REFUSE` of an opening, with the verdict `NOT_RUN`."""
    return packets.encode(
        packets.Packet(
            packets.Kind.REFUSE,
            service_id,
            flow_id,
            deadline_ms=delay_ms,
            flags=packets.Flag.NOT_RUN,
            reason=reason,
        )
    )
