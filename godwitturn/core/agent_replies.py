"""Datagrams that an agent sends to balancers and, through them, callers."""

from collections.abc import Iterable
import struct

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import agent_state
from godwitturn.core import flows
from godwitturn.core import identity
from godwitturn.core import requests
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets

# Maximum number of answer fragments sent at once.
BURST_FRAGMENTS = 32
# Maximum number of missing request fragments listed in one STATUS.
MAX_LISTED_FRAGMENTS = 64
_INDEX = struct.Struct("!H")
_REASON_OFFSET = 3  # of the reason byte in a packet
_MAX_TRIES_FIELD = 255  # one byte in the encapsulation header


def _send(
    state: agent_state.AgentState,
    route: flows.Route,
    message: encapsulation.Message,
) -> None:
    key = state.policy.key_by_balancer.get(message.destination)
    if key is None:
        state.counters["dropped_balancer_not_approved"] += 1
        return
    data = encapsulation.encode(message, key)
    state.add_action(actions.SendToBalancer(route.address, data))


def send_packet(
    state: agent_state.AgentState,
    route: flows.Route,
    caller: addresses.Address,
    packet: packets.Packet,
    now: float,
) -> None:
    """Sends a packet to a caller unless the agent is fenced."""
    if state.fenced:
        state.counters["dropped_answer_fenced"] += 1
        return
    if state.drain.active:
        packet.flags |= packets.Flag.MOVE
    message = encapsulation.Message(
        encapsulation.Kind.RETURN,
        state.member_id,
        route.balancer_id,
        state.policy.version,
        caller,
        packets.encode(packet),
        load=state.load(now),
    )
    _send(state, route, message)


def return_opening(
    state: agent_state.AgentState,
    route: flows.Route,
    message: encapsulation.Message,
    reason: verdicts.Reason,
    now: float,
) -> None:
    """Returns an opening to the balancer, which tries the next candidate."""
    opening = bytearray(message.packet)
    opening[_REASON_OFFSET] = reason
    candidates = (c for c in message.candidates if c != state.member_id)
    returned = encapsulation.Message(
        encapsulation.Kind.OPEN_RETURNED,
        state.member_id,
        message.sender,
        state.policy.version,
        message.caller,
        bytes(opening),
        min(_MAX_TRIES_FIELD, message.tries + 1),
        tuple(candidates),
        state.load(now),
    )
    state.counters[f"opening_returned_{reason.name.lower()}"] += 1
    _send(state, route, returned)


def send_correction(
    state: agent_state.AgentState,
    route: flows.Route,
    intended_id: identity.MemberId | None,
    caller: addresses.Address,
    now: float,
) -> None:
    """Reports to a balancer which member is at this address.

    Args:
        state: The agent.
        route: The balancer that sent the misdirected packet.
        intended_id: The member that the packet was addressed to, sent as the
            only candidate; None if only the service was wrong.
        caller: Address of the caller that sent the packet, or the source of
            the balancer's datagram if that was not authentic.
        now: Seconds of a monotonic clock.
    """
    message = encapsulation.Message(
        encapsulation.Kind.CORRECTION,
        state.member_id,
        route.balancer_id,
        state.policy.version,
        caller,
        b"",
        candidates=() if intended_id is None else (intended_id,),
        load=state.load(now),
    )
    state.counters["corrections"] += 1
    _send(state, route, message)


def send_reset(
    state: agent_state.AgentState,
    route: flows.Route,
    caller: addresses.Address,
    packet: packets.Packet,
    reason: verdicts.Reason,
    now: float,
) -> None:
    """Notifies the caller that its flow has ended or is unknown.

    The reset carries the token of the packet that caused it, so that a delayed
    packet of an earlier opening does not end the current flow.
    """
    state.counters[f"reset_{reason.name.lower()}"] += 1
    reset = packets.Packet(
        packets.Kind.RESET,
        state.service_id,
        packet.flow_id,
        packet.token,
        packet.request_id,
        reason=reason,
    )
    send_packet(state, route, caller, reset, now)


def send_to_flow(
    state: agent_state.AgentState,
    flow: flows.Flow,
    packet: packets.Packet,
    now: float,
) -> None:
    """Sends a packet through the balancer that the flow last used."""
    send_packet(state, flow.route, flow.caller, packet, now)


def send_status(
    state: agent_state.AgentState,
    flow: flows.Flow,
    request_id: int,
    now: float,
    missing: Iterable[int] = (),
) -> None:
    """Reports that a request is accepted, or its missing fragments."""
    status = packets.Packet(
        packets.Kind.STATUS,
        state.service_id,
        flow.flow_id,
        request_id=request_id,
        payload=pack_indexes(missing),
    )
    send_to_flow(state, flow, status, now)


def send_verdict(
    state: agent_state.AgentState,
    flow: flows.Flow,
    request_id: int,
    entry: requests.EndedRequest,
    now: float,
) -> None:
    """Reports the verdict of an ended request whose answer is not stored."""
    status = packets.Packet(
        packets.Kind.STATUS,
        state.service_id,
        flow.flow_id,
        request_id=request_id,
        flags=packets.FLAG_BY_VERDICT[entry.verdict],
        reason=entry.reason,
    )
    send_to_flow(state, flow, status, now)


def send_answer(
    state: agent_state.AgentState,
    flow: flows.Flow,
    request: requests.Request,
    indexes: Iterable[int],
    now: float,
) -> None:
    """Sends fragments of an answer to the flow's confirmed address."""
    for index in indexes:
        answer = packets.Packet(
            packets.Kind.ANSWER,
            state.service_id,
            flow.flow_id,
            request_id=request.key.request_id,
            fragment=index,
            fragments=request.answer_fragments,
            flags=packets.Flag.RAN,
            payload=request.answer_fragment(index),
        )
        send_to_flow(state, flow, answer, now)


def pack_indexes(indexes: Iterable[int]) -> bytes:
    """Encodes fragment indexes as a payload."""
    return b"".join(_INDEX.pack(index) for index in indexes)


def unpack_indexes(payload: bytes) -> list[int] | None:
    """Decodes the fragment indexes of a payload; None if it is malformed."""
    if len(payload) % _INDEX.size:
        return None
    return [index for (index,) in _INDEX.iter_unpack(payload)]
