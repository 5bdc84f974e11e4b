"""Codec of the platform's packets."""

import struct

from godwitturn.core.transparent import segments

# Little-endian: source port, destination address, destination port, source
# address, echo, sequence, acknowledgement, checksum, flags, padding, length.
_HEADER = struct.Struct("<HIHIIIIIBBH")
_ECHO_OFFSET = 12
_U32 = struct.Struct("<I")
# Resets are sent without a checksum, because its key belongs to the clients.
_NO_CHECKSUM = 0

# Flags of the header.
_SYN = 1
_FIN = 4
_BOUNCED = 8
_ACK = 32
_RST = 128


def decode(data: bytes, *, from_target: bool) -> segments.Segment | None:
    """Returns the fields of a packet, or None if it is malformed.

    Args:
        data: The datagram.
        from_target: Whether a target sent it. A packet that the target
            returns (BOUNCED) still has the client as its source.
    """
    if len(data) < _HEADER.size:
        return None
    (
        source_port,
        destination,
        destination_port,
        source,
        echo,
        sequence,
        acknowledged,
        _,
        flags,
        _,
        size,
    ) = _HEADER.unpack_from(data)
    if size != len(data) - _HEADER.size:
        return None
    returned = bool(flags & _BOUNCED)
    if from_target and not returned:
        flow_id = (destination, destination_port, source, source_port)
    else:
        flow_id = (source, source_port, destination, destination_port)
    return segments.Segment(
        flow_id=flow_id,
        opening=flags & (_SYN | _ACK) == _SYN,
        accepting=flags & (_SYN | _ACK) == _SYN | _ACK,
        ending=bool(flags & _FIN),
        resetting=bool(flags & _RST),
        returned=returned,
        acknowledged=acknowledged,
        size=size,
        tag=echo,
        data=data,
        sequence=sequence,
    )


def with_tag(data: bytes, tag: int) -> bytes:
    """Returns a packet with a tag in its echo field; targets echo the tag."""
    return (
        data[:_ECHO_OFFSET] + _U32.pack(tag) + data[_ECHO_OFFSET + _U32.size :]
    )


def encode_reset(flow_id: segments.FlowId, sequence: int) -> bytes:
    """Returns a reset for a flow's client, with the route as its source."""
    client, client_port, address, port = flow_id
    return _HEADER.pack(
        port,
        client,
        client_port,
        address,
        0,
        sequence,
        0,
        _NO_CHECKSUM,
        _RST,
        0,
        0,
    )


def client_address(flow_id: segments.FlowId) -> str:
    """Returns the IP address of a flow's client."""
    return ".".join(str(part) for part in flow_id[0].to_bytes(4, "big"))
