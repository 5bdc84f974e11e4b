"""Decoded packets of flows."""

import attrs

# Client address, client port, route address, route port; addresses as
# unsigned 32-bit integers. A plain tuple is a fast key of the tables that are
# read for each packet.
FlowId = tuple[int, int, int, int]


@attrs.define(eq=False, repr=False)
class Segment:
    """A packet of a flow in either direction.

    Attributes:
        flow_id: The flow, the same for both directions.
        opening: Whether the packet requests to open a flow.
        accepting: Whether the packet accepts an opening.
        ending: Whether its sender has sent all its data.
        resetting: Whether it resets the flow.
        returned: Whether the target returned it unprocessed.
        acknowledged: Sequence number that the packet's sender expects next.
            In an opening, which copy of the opening it is, counted from 0.
        size: Length of the packet's data in bytes.
        tag: Number that the agent gave to a delivered packet, 0 if none.
        data: The packet as received, header included.
        sequence: Sequence number of the packet. All copies of an opening have
            the same one, and a new opening of the same port another one.
    """

    flow_id: FlowId
    opening: bool
    accepting: bool
    ending: bool
    resetting: bool
    returned: bool
    acknowledged: int
    size: int
    tag: int
    data: bytes
    sequence: int = 0


def flow_name(flow_id: FlowId) -> str:
    """Returns a flow's id as written to logs: client, then route."""
    client, client_port, address, port = flow_id
    return (
        f"{endpoint_name(client, client_port)}-{endpoint_name(address, port)}"
    )


def endpoint_name(address: int, port: int) -> str:
    """Returns an address and port as text."""
    return f"{_dotted(address)}:{port}"


def _dotted(number: int) -> str:
    return ".".join(str(part) for part in number.to_bytes(4, "big"))
