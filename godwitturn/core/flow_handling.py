"""Datagrams from balancers: identity checks, openings and tokens."""

from godwitturn.core import actions
from godwitturn.core import agent_replies as replies
from godwitturn.core import agent_state
from godwitturn.core import events
from godwitturn.core import flows
from godwitturn.core import identity
from godwitturn.core import request_handling
from godwitturn.core import requests
from godwitturn.core import token as tokens
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets


def receive_datagram(
    state: agent_state.AgentState,
    event: actions.BalancerDatagram,
    now: float,
) -> None:
    """Handles one datagram from an untrusted source."""
    keys = state.policy.key_by_balancer
    message = encapsulation.decode(event.data, keys)
    if message is None:
        _receive_unauthentic(state, event, now)
        return
    route = state.flow_table.route_for(message.sender, event.source)
    if message.kind != encapsulation.Kind.DELIVER:
        _drop_malformed(state, "encapsulation_kind", now)
        return
    _record_version(state, message.configuration_version)
    if message.destination != state.member_id:
        _correct_identity(state, route, message, message.destination, now)
        return
    packet = packets.decode(message.packet)
    if packet is None or packet.kind not in packets.CALLER_KINDS:
        _drop_malformed(state, "packet", now)
        return
    if packet.service_id != state.service_id:
        state.counters["dropped_wrong_service"] += 1
        _correct_identity(state, route, message, None, now)
    elif packet.kind == packets.Kind.OPEN:
        _receive_opening(state, route, message, packet, now)
    elif state.fenced:
        state.counters["dropped_fenced"] += 1
    else:
        _receive_established(state, route, message, packet, now)


def _drop_malformed(
    state: agent_state.AgentState, part: str, now: float
) -> None:
    state.counters[f"dropped_malformed_{part}"] += 1
    state.log_limited(events.EventId.AGENT_MALFORMED, now, part=part)


def _receive_unauthentic(
    state: agent_state.AgentState,
    event: actions.BalancerDatagram,
    now: float,
) -> None:
    # A balancer that still has the address of a replaced VM uses that VM's
    # key. Correcting an unverified datagram is safe, because the correction
    # reports only which member is here and is no larger than the datagram.
    claimed = encapsulation.claimed_endpoints(event.data)
    if claimed is None:
        _drop_malformed(state, "encapsulation", now)
        return
    sender, destination = claimed
    if sender not in state.policy.key_by_balancer:
        state.counters["dropped_unknown_sender"] += 1
        state.log_limited(events.EventId.AGENT_MALFORMED, now, sender=sender)
    elif destination == state.member_id:
        _drop_malformed(state, "mac", now)
    else:
        route = flows.Route(sender, event.source)
        _count_wrong_identity(state, destination, now)
        replies.send_correction(state, route, destination, event.source, now)


def _correct_identity(
    state: agent_state.AgentState,
    route: flows.Route,
    message: encapsulation.Message,
    intended_id: identity.MemberId | None,
    now: float,
) -> None:
    _count_wrong_identity(state, intended_id, now)
    replies.send_correction(state, route, intended_id, message.caller, now)


def _count_wrong_identity(
    state: agent_state.AgentState,
    intended_id: identity.MemberId | None,
    now: float,
) -> None:
    state.counters["dropped_wrong_identity"] += 1
    state.log_limited(
        events.EventId.AGENT_WRONG_IDENTITY, now, meant=intended_id
    )


def _record_version(state: agent_state.AgentState, version: int) -> None:
    newest = max(state.policy.version, state.newest_version)
    if version > newest:
        state.newest_version = version
        state.add_action(actions.NewerVersionSeen(version))


def _receive_opening(
    state: agent_state.AgentState,
    route: flows.Route,
    message: encapsulation.Message,
    packet: packets.Packet,
    now: float,
) -> None:
    if len(packet.payload) < packets.OPEN_PAYLOAD_BYTES:
        _drop_malformed(state, "opening", now)
        return
    reason = state.closed_reason()
    if state.fenced:
        reason = verdicts.Reason.FENCED
    flow = state.flow_table.flow_by_id.get(packet.flow_id)
    if reason == verdicts.Reason.NONE and flow is None:
        reason = _opening_refusal(state, now)
    if reason != verdicts.Reason.NONE:
        replies.return_opening(state, route, message, reason, now)
    elif flow is None:
        flow = state.flow_table.reserve(
            packet.flow_id, message.caller, route, now=now
        )
        state.counters["opening_accepted"] += 1
        state.observe_count("opening_tries", "flow", message.tries + 1)
        _accept(state, route, message, flow, now)
    elif flow.confirmed and flow.caller != message.caller:
        # A caller whose address changed sends its token. A sender that has
        # only the flow id must not get a token for the flow.
        state.counters["dropped_opening_of_other_caller"] += 1
    else:
        state.counters["opening_repeated"] += 1
        flow.last_seen_at = now
        _accept(state, route, message, flow, now)


def _opening_refusal(
    state: agent_state.AgentState, now: float
) -> verdicts.Reason:
    if state.drain.active:
        return state.drain.reason
    if state.is_target_unavailable(now):
        return verdicts.Reason.NO_TARGET
    return state.admission.opening_refusal(
        len(state.flow_table.flow_by_id), state.flow_table.reservations, now
    )


def _accept(
    state: agent_state.AgentState,
    route: flows.Route,
    message: encapsulation.Message,
    flow: flows.Flow,
    now: float,
) -> None:
    accept = packets.Packet(
        packets.Kind.ACCEPT,
        state.service_id,
        flow.flow_id,
        state.token_issuer.issue(flow, message.caller),
    )
    replies.send_packet(state, route, message.caller, accept, now)


def _receive_established(
    state: agent_state.AgentState,
    route: flows.Route,
    message: encapsulation.Message,
    packet: packets.Packet,
    now: float,
) -> None:
    caller = message.caller
    if packet.token == tokens.EMPTY:
        reason = verdicts.Reason.FLOW_UNKNOWN
        replies.send_reset(state, route, caller, packet, reason, now)
        return
    token = state.token_issuer.unseal(packet.token, packet.flow_id)
    if token is None:
        reason = verdicts.Reason.TOKEN_INVALID
        replies.send_reset(state, route, caller, packet, reason, now)
        return
    if token.target_id != state.member_id:
        _correct_identity(state, route, message, token.target_id, now)
        return
    reason = state.closed_reason()
    if reason != verdicts.Reason.NONE:
        replies.send_reset(state, route, caller, packet, reason, now)
        return
    flow = state.flow_table.flow_by_id.get(packet.flow_id)
    match state.token_issuer.standing(token, flow, caller):
        case flows.Standing.CURRENT:
            assert flow is not None
            state.flow_table.confirm(flow, caller, route, now)
            if not state.token_issuer.is_sealed_by_first_key(token):
                _renew(state, route, message, packet, flow, now)
            _handle_packet(state, flow, packet, now)
        case flows.Standing.OTHER_ADDRESS:
            assert flow is not None
            state.counters["renewed_address"] += 1
            _renew(state, route, message, packet, flow, now)
        case flows.Standing.OLD_INCARNATION:
            _readopt(state, route, message, packet, flow, now)
        case flows.Standing.STALE_EPOCH:
            # The flow was opened again, so its caller has a newer token.
            state.counters["dropped_stale_epoch"] += 1
        case flows.Standing.UNKNOWN_FLOW:
            reason = verdicts.Reason.FLOW_UNKNOWN
            replies.send_reset(state, route, caller, packet, reason, now)


def _renew(
    state: agent_state.AgentState,
    route: flows.Route,
    message: encapsulation.Message,
    packet: packets.Packet,
    flow: flows.Flow,
    now: float,
    reason: verdicts.Reason = verdicts.Reason.NONE,
) -> None:
    renew = packets.Packet(
        packets.Kind.RENEW,
        state.service_id,
        flow.flow_id,
        state.token_issuer.issue(flow, message.caller),
        packet.request_id,
        reason=reason,
    )
    replies.send_packet(state, route, message.caller, renew, now)


def _readopt(
    state: agent_state.AgentState,
    route: flows.Route,
    message: encapsulation.Message,
    packet: packets.Packet,
    flow: flows.Flow | None,
    now: float,
) -> None:
    """Adopts a flow that was opened before the agent restarted.

    A request in the packet is not run. The caller gets a new token and
    resends the requests that may run again.
    """
    reason = verdicts.Reason.STALE_INCARNATION
    if packet.kind == packets.Kind.CLOSE:
        state.counters["dropped_old_close"] += 1
        return
    if flow is None:
        # Slow start does not limit established flows: a flow costs the target
        # nothing until its requests are admitted.
        if len(state.flow_table.flow_by_id) >= state.policy.connection_limit:
            replies.send_reset(
                state, route, message.caller, packet, reason, now
            )
            return
        flow = state.flow_table.reserve(
            packet.flow_id, message.caller, route, now=now, readopted=True
        )
        state.counters["flows_readopted"] += 1
    if packet.request_id:
        _raise_non_idempotent_floor(flow, packet.request_id)
    _renew(state, route, message, packet, flow, now, reason)


def _raise_non_idempotent_floor(flow: flows.Flow, request_id: int) -> None:
    """Records that an earlier incarnation may have run a request.

    Requests up to this id run again only if they are idempotent.
    """
    if flow.flow_requests is None:
        flow.flow_requests = requests.FlowRequests()
    floor = max(flow.flow_requests.non_idempotent_floor, request_id + 1)
    flow.flow_requests.non_idempotent_floor = floor


def _handle_packet(
    state: agent_state.AgentState,
    flow: flows.Flow,
    packet: packets.Packet,
    now: float,
) -> None:
    match packet.kind:
        case packets.Kind.REQUEST:
            request_handling.receive_request(state, flow, packet, now)
        case packets.Kind.POLL:
            request_handling.receive_poll(state, flow, packet, now)
        case packets.Kind.ACK:
            request_handling.receive_ack(state, flow, packet)
        case packets.Kind.CANCEL:
            request_handling.receive_cancel(state, flow, packet, now)
        case packets.Kind.KEEPALIVE:
            reply = packets.Packet(
                packets.Kind.KEEPALIVE_REPLY, state.service_id, flow.flow_id
            )
            replies.send_to_flow(state, flow, reply, now)
        case packets.Kind.CLOSE:
            state.counters["flows_closed"] += 1
            drop_flow(state, flow, now)


def drop_flow(
    state: agent_state.AgentState, flow: flows.Flow, now: float
) -> None:
    """Removes a flow; its running requests keep their slots until they end."""
    state.observe("flow_age", "flow", now - flow.opened_at)
    if flow.flow_requests is not None:
        request_handling.drop_requests(state, flow.flow_requests)
    state.flow_table.remove(flow)
