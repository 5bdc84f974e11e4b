"""Datagrams between balancers and agents that forward packets unchanged.

The first byte is the kind of message. Messages that carry a packet or ids of
flows are binary, so that packets are copied without escaping. Announcements,
hellos and statuses are JSON arrays of their fields in a fixed order; fields
after those that a receiver knows are ignored.

A message with a field that receivers of the previous version don't know has a
form of its own if that field is set. If it has its default, the message is
encoded in the form of the previous version.
"""

import json
import socket
import struct
from typing import Any

from godwitturn.core import store_position
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.protocol import json_values

_KIND_FORWARD = 1
_KIND_OPENING_REFUSED = 2
_KIND_PACKET_RETURNED = 3
_KIND_FLOW_OWNED = 4
_KIND_ANNOUNCEMENT = 5
_KIND_HELLO = 6
_KIND_PEER_STATUS = 7
_KIND_FLOWS_LISTED = 8
_KIND_RELAYED = 9
_KIND_FLOW_QUERY = 10
_KIND_FLOW_ABSENT = 11
_KIND_FLOW_UNKNOWN = 12
_KIND_CAPABILITIES = 13
_KIND_FLOW_OWNED_WITH_WAIT = 14
_KIND_FLOWS_LISTED_WITH_WAIT = 15
_KIND_FORWARD_WITH_TERMS = 16
_KIND_OPENING_REFUSED_WITH_WAIT = 17
_KIND_FLOW_OWNED_WITH_OPENING = 18
_KIND_FLOWS_LISTED_WITH_OPENINGS = 19
_KIND_PORT_USED_AGAIN = 20
_KIND_FLOW_DOUBTED = 21
_ADDRESS_SIZE_BYTES = 4

# Kind, search flag, length of the service's name in bytes. The name and the
# packet follow.
_FORWARD_HEADER = struct.Struct("!BBB")
# Priority, objective, timeout and expected wait in milliseconds, tries. They
# follow the header of a forwarded packet, before the name.
_TERMS = struct.Struct("!BHHHB")
# Kind, reason. The packet follows.
_REFUSED_HEADER = struct.Struct("!BB")
# Kind, flow id.
_FLOW_HEADER = struct.Struct("!BIHIH")
# Wait in milliseconds.
_WAIT = struct.Struct("!H")
# Whether a wait follows, the wait in milliseconds.
_OPTIONAL_WAIT = struct.Struct("!BH")
_SEQUENCE = struct.Struct("!I")
# Whether the sequence number is known, the number, age in milliseconds.
_OPENING = struct.Struct("!BII")
_MAX_UINT8 = 0xFF
_MAX_UINT16 = 0xFFFF
_MAX_UINT32 = 0xFFFFFFFF
# Defaults of the fields that announcements of the previous version don't have.
_ANNOUNCEMENT_DEFAULTS = [False, 0, 0, None, False]
_ANNOUNCEMENT_FIELDS = 19
_HELLO_FIELDS = 9
_PEER_STATUS_FIELDS = 5
# Client address and port, route address and port.
_FLOW_ID = struct.Struct("!IHIH")


def encode(message: messages.Message) -> bytes:
    """Returns a message as a datagram."""
    match message:
        case messages.Forward():
            return _encode_forward(message)
        case messages.Relayed(agent, forward):
            address = socket.inet_aton(agent)
            return bytes((_KIND_RELAYED,)) + address + encode(forward)
        case messages.OpeningRefused(reason, data, wait_ms):
            if wait_ms is None:
                header = _REFUSED_HEADER.pack(_KIND_OPENING_REFUSED, reason)
                return header + data
            header = _REFUSED_HEADER.pack(
                _KIND_OPENING_REFUSED_WITH_WAIT, reason
            )
            return header + _encode_wait(wait_ms) + data
        case messages.PacketReturned(data):
            return bytes((_KIND_PACKET_RETURNED,)) + data
        case messages.FlowQuery(flow_id, service):
            return (
                _FLOW_HEADER.pack(_KIND_FLOW_QUERY, *flow_id)
                + service.encode()
            )
        case messages.FlowAbsent(flow_id):
            return _FLOW_HEADER.pack(_KIND_FLOW_ABSENT, *flow_id)
        case messages.FlowUnknown(flow_id):
            return _FLOW_HEADER.pack(_KIND_FLOW_UNKNOWN, *flow_id)
        case messages.FlowOwned(flow_id, wait_ms, opening):
            if opening is not None:
                return (
                    _FLOW_HEADER.pack(_KIND_FLOW_OWNED_WITH_OPENING, *flow_id)
                    + _encode_optional_wait(wait_ms)
                    + _encode_opening(opening)
                )
            if wait_ms is None:
                return _FLOW_HEADER.pack(_KIND_FLOW_OWNED, *flow_id)
            header = _FLOW_HEADER.pack(_KIND_FLOW_OWNED_WITH_WAIT, *flow_id)
            return header + _encode_wait(wait_ms)
        case messages.PortUsedAgain(flow_id, sequence):
            header = _FLOW_HEADER.pack(_KIND_PORT_USED_AGAIN, *flow_id)
            return header + _SEQUENCE.pack(sequence)
        case messages.FlowDoubted(flow_id):
            return _FLOW_HEADER.pack(_KIND_FLOW_DOUBTED, *flow_id)
        case messages.FlowsListed(flow_ids, wait_ms, openings) if openings:
            header = bytes((_KIND_FLOWS_LISTED_WITH_OPENINGS,))
            header += _encode_optional_wait(wait_ms)
            entries = [
                _FLOW_ID.pack(*flow_id) + _encode_opening(opening)
                for flow_id, opening in zip(flow_ids, openings, strict=True)
            ]
            return header + b"".join(entries)
        case messages.FlowsListed(flow_ids, wait_ms):
            if wait_ms is None:
                header = bytes((_KIND_FLOWS_LISTED,))
            else:
                header = bytes((_KIND_FLOWS_LISTED_WITH_WAIT,))
                header += _encode_wait(wait_ms)
            packed = [_FLOW_ID.pack(*flow_id) for flow_id in flow_ids]
            return header + b"".join(packed)
        case messages.Announcement():
            fields: list[Any] = [
                message.node,
                message.service,
                message.data_centre,
                message.run_id,
                message.sequence,
                message.incarnation,
                message.state,
                message.slots,
                message.flows,
                message.work,
                message.cold_ms,
                message.balancers,
                _encode_position(message.position),
                message.failing,
            ]
            added = [
                message.restarting,
                message.service_us,
                message.openings,
                message.wait_ms,
                message.short_flows,
            ]
            if added != _ANNOUNCEMENT_DEFAULTS:
                fields += added
            return _encode_json(_KIND_ANNOUNCEMENT, fields)
        case messages.Hello():
            fields = [
                _encode_position(message.position),
                message.evacuated,
                message.cold_per_second,
                message.registered,
                message.data_centre,
                message.agents,
                message.flows_requested,
            ]
            if message.service is not None or message.version > 1:
                fields.append(message.service)
            if message.version > 1:
                fields.append(message.version)
            return _encode_json(_KIND_HELLO, fields)
        case messages.Capabilities(version):
            return bytes((_KIND_CAPABILITIES, version))
        case messages.PeerStatus():
            fields = [
                _encode_position(message.position),
                message.agents,
                message.data_centre,
                message.ready,
                message.silent_agents,
            ]
            return _encode_json(_KIND_PEER_STATUS, fields)


def _encode_forward(forward: messages.Forward) -> bytes:
    name = forward.service.encode()
    terms = forward.terms
    if terms is None:
        header = _FORWARD_HEADER.pack(_KIND_FORWARD, forward.search, len(name))
        return header + name + forward.data
    header = _FORWARD_HEADER.pack(
        _KIND_FORWARD_WITH_TERMS, forward.search, len(name)
    )
    header += _TERMS.pack(
        min(terms.priority, _MAX_UINT8),
        min(terms.objective_ms, _MAX_UINT16),
        min(terms.timeout_ms, _MAX_UINT16),
        min(terms.expected_wait_ms, _MAX_UINT16),
        min(terms.tries, _MAX_UINT8),
    )
    return header + name + forward.data


def _encode_wait(wait_ms: int) -> bytes:
    return _WAIT.pack(min(wait_ms, _MAX_UINT16))


def _encode_optional_wait(wait_ms: int | None) -> bytes:
    if wait_ms is None:
        return _OPTIONAL_WAIT.pack(False, 0)
    return _OPTIONAL_WAIT.pack(True, min(wait_ms, _MAX_UINT16))


def _decode_optional_wait(data: bytes, offset: int) -> int | None:
    known, wait_ms = _OPTIONAL_WAIT.unpack_from(data, offset)
    return wait_ms if known else None


def _encode_opening(opening: messages.FlowOpening) -> bytes:
    return _OPENING.pack(
        opening.sequence is not None,
        opening.sequence or 0,
        min(opening.age_ms, _MAX_UINT32),
    )


def _decode_opening(data: bytes, offset: int) -> messages.FlowOpening:
    known, sequence, age_ms = _OPENING.unpack_from(data, offset)
    return messages.FlowOpening(sequence if known else None, age_ms)


def _encode_json(kind: int, fields: list[Any]) -> bytes:
    text = json.dumps(fields, separators=(",", ":"))
    return bytes((kind,)) + text.encode()


def _encode_position(position: store_position.StorePosition) -> list[int]:
    return [position.era, position.revision]


def _decode_position(fields: Any) -> store_position.StorePosition:
    era, revision = fields
    return store_position.StorePosition(
        json_values.integer(era, "era"),
        json_values.integer(revision, "revision"),
    )


def decode(data: bytes) -> messages.Message | None:
    """Returns the message in a datagram, or None if it is malformed."""
    try:
        return _decode(data)
    except (
        ValueError,
        TypeError,
        IndexError,
        OSError,
        RecursionError,
        struct.error,
    ):
        return None


def _decode(data: bytes) -> messages.Message | None:
    # The numbers are those of the `_KIND_` constants: in a case pattern, a
    # plain name would match any value.
    match data[0]:
        case 1:
            _, search, size = _FORWARD_HEADER.unpack_from(data)
            start = _FORWARD_HEADER.size
            name = data[start : start + size].decode()
            return messages.Forward(name, bool(search), data[start + size :])
        case 16:
            _, search, size = _FORWARD_HEADER.unpack_from(data)
            start = _FORWARD_HEADER.size + _TERMS.size
            name = data[start : start + size].decode()
            terms = messages.RequestTerms(
                *_TERMS.unpack_from(data, _FORWARD_HEADER.size)
            )
            packet = data[start + size :]
            return messages.Forward(name, bool(search), packet, terms)
        case 2:
            return messages.OpeningRefused(messages.Refusal(data[1]), data[2:])
        case 17:
            (wait_ms,) = _WAIT.unpack_from(data, _REFUSED_HEADER.size)
            return messages.OpeningRefused(
                messages.Refusal(data[1]),
                data[_REFUSED_HEADER.size + _WAIT.size :],
                wait_ms,
            )
        case 3:
            return messages.PacketReturned(data[1:])
        case 4:
            return messages.FlowOwned(_decode_flow_id(data))
        case 14:
            flow_id = _decode_flow_id(data[: _FLOW_HEADER.size])
            (wait_ms,) = _WAIT.unpack(data[_FLOW_HEADER.size :])
            return messages.FlowOwned(flow_id, wait_ms)
        case 18:
            start = _FLOW_HEADER.size + _OPTIONAL_WAIT.size
            if len(data) != start + _OPENING.size:
                return None
            return messages.FlowOwned(
                _decode_flow_id(data[: _FLOW_HEADER.size]),
                _decode_optional_wait(data, _FLOW_HEADER.size),
                _decode_opening(data, start),
            )
        case 20:
            (sequence,) = _SEQUENCE.unpack(data[_FLOW_HEADER.size :])
            return messages.PortUsedAgain(
                _decode_flow_id(data[: _FLOW_HEADER.size]), sequence
            )
        case 21:
            return messages.FlowDoubted(_decode_flow_id(data))
        case 19:
            return _decode_flows_listed_with_openings(data)
        case 10:
            service = data[_FLOW_HEADER.size :].decode()
            flow_id = _decode_flow_id(data[: _FLOW_HEADER.size])
            return messages.FlowQuery(flow_id, service)
        case 11:
            return messages.FlowAbsent(_decode_flow_id(data))
        case 12:
            return messages.FlowUnknown(_decode_flow_id(data))
        case 5:
            return _make_announcement(
                *_load_fields(data, _ANNOUNCEMENT_FIELDS)
            )
        case 6:
            return _make_hello(*_load_fields(data, _HELLO_FIELDS))
        case 13:
            return messages.Capabilities(data[1])
        case 7:
            position, agents, data_centre, ready, silent_agents = _load_fields(
                data, _PEER_STATUS_FIELDS
            )
            return messages.PeerStatus(
                _decode_position(position),
                _address_tuple(agents),
                json_values.text(data_centre, "data centre"),
                bool(ready),
                _address_tuple(silent_agents),
            )
        case 9:
            start = 1 + _ADDRESS_SIZE_BYTES
            forward = _decode(data[start:])
            if not isinstance(forward, messages.Forward):
                return None
            return messages.Relayed(socket.inet_ntoa(data[1:start]), forward)
        case 8:
            return messages.FlowsListed(tuple(_FLOW_ID.iter_unpack(data[1:])))
        case 15:
            (wait_ms,) = _WAIT.unpack_from(data, 1)
            packed = data[1 + _WAIT.size :]
            return messages.FlowsListed(
                tuple(_FLOW_ID.iter_unpack(packed)), wait_ms
            )
    return None


def _decode_flows_listed_with_openings(
    data: bytes,
) -> messages.FlowsListed | None:
    start = 1 + _OPTIONAL_WAIT.size
    size = _FLOW_ID.size + _OPENING.size
    if (len(data) - start) % size:
        return None
    offsets = range(start, len(data), size)
    return messages.FlowsListed(
        tuple(_FLOW_ID.unpack_from(data, offset) for offset in offsets),
        _decode_optional_wait(data, 1),
        tuple(
            _decode_opening(data, offset + _FLOW_ID.size) for offset in offsets
        ),
    )


def _load_fields(data: bytes, count: int) -> list[Any]:
    """Returns the first fields of a JSON message; later ones are ignored."""
    fields = json_values.load(data[1:])
    if not isinstance(fields, list):
        raise json_values.MalformedError("expected an array")
    return fields[:count]


def _decode_flow_id(data: bytes) -> segments.FlowId:
    _, client, client_port, address, port = _FLOW_HEADER.unpack(data)
    return client, client_port, address, port


def _make_hello(
    position: Any,
    evacuated: Any,
    cold_per_second: Any,
    registered: Any,
    data_centre: Any,
    agents: Any,
    flows_requested: Any,
    service: Any = None,
    version: Any = 1,
) -> messages.Hello:
    return messages.Hello(
        position=_decode_position(position),
        evacuated=bool(evacuated),
        cold_per_second=json_values.number(cold_per_second, "cold limit"),
        registered=bool(registered),
        data_centre=json_values.text(data_centre, "data centre"),
        agents=json_values.integer(agents, "agents"),
        flows_requested=bool(flows_requested),
        service=(
            None if service is None else json_values.text(service, "service")
        ),
        version=json_values.integer(version, "version"),
    )


def _make_announcement(
    node: Any,
    service: Any,
    data_centre: Any,
    run_id: Any,
    sequence: Any,
    incarnation: Any,
    state: Any,
    slots: Any,
    flows: Any,
    work: Any,
    cold_ms: Any,
    balancers: Any,
    position: Any,
    failing: Any = False,
    restarting: Any = False,
    service_us: Any = 0,
    openings: Any = 0,
    wait_ms: Any = None,
    short_flows: Any = False,
) -> messages.Announcement:
    return messages.Announcement(
        node=json_values.text(node, "node"),
        service=json_values.text(service, "service"),
        data_centre=json_values.text(data_centre, "data centre"),
        run_id=json_values.integer(run_id, "run id", maximum=1 << 64),
        sequence=json_values.integer(sequence, "sequence"),
        incarnation=str(incarnation),
        state=messages.TargetState(state),
        slots=json_values.integer(slots, "slots"),
        flows=json_values.integer(flows, "flows"),
        work=json_values.integer(work, "work"),
        cold_ms=json_values.integer(cold_ms, "cold time"),
        balancers=_address_tuple(balancers),
        position=_decode_position(position),
        failing=bool(failing),
        restarting=bool(restarting),
        service_us=json_values.integer(service_us, "service time"),
        openings=json_values.integer(openings, "openings"),
        wait_ms=(
            None if wait_ms is None else json_values.integer(wait_ms, "wait")
        ),
        short_flows=bool(short_flows),
    )


def _address_tuple(values: Any) -> tuple[str, ...]:
    return tuple(json_values.address(value, "address") for value in values)
