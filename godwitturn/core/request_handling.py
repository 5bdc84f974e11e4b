"""Handling of request packets and of the target's answers and failures."""

from godwitturn.core import actions
from godwitturn.core import agent_replies as replies
from godwitturn.core import agent_state
from godwitturn.core import events
from godwitturn.core import flows
from godwitturn.core import requests
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

# Number of times that a request is passed to a target that refuses
# connections. A refused attempt does not run the request.
MAX_ATTEMPTS = 3


def _requests_of(flow: flows.Flow) -> requests.FlowRequests:
    if flow.flow_requests is None:
        flow.flow_requests = requests.FlowRequests()
    return flow.flow_requests


def receive_request(
    state: agent_state.AgentState,
    flow: flows.Flow,
    packet: packets.Packet,
    now: float,
) -> None:
    """Handles a request fragment, which may be a duplicate."""
    if packet.request_id == 0 or packet.fragments == 0:
        state.counters["dropped_malformed_request"] += 1
        return
    flow_requests = _requests_of(flow)
    entry = flow_requests.find(packet.request_id)
    if entry is None:
        entry = _add_request(state, flow, flow_requests, packet, now)
    if isinstance(entry, requests.EndedRequest):
        replies.send_verdict(state, flow, packet.request_id, entry, now)
        return
    match entry.store(packet):
        case requests.Stored.COMPLETE:
            _admit(state, flow, entry, now)
        case requests.Stored.REPEATED:
            state.counters["requests_repeated"] += 1
            if entry.state != requests.State.RECEIVING:
                replies.send_status(state, flow, packet.request_id, now)
        case requests.Stored.CONFLICT:
            # A reply would present the answer to the first content as the
            # answer to the second.
            state.counters["dropped_request_conflict"] += 1


def _add_request(
    state: agent_state.AgentState,
    flow: flows.Flow,
    flow_requests: requests.FlowRequests,
    packet: packets.Packet,
    now: float,
) -> requests.Request | requests.EndedRequest:
    idempotent = bool(packet.flags & packets.Flag.IDEMPOTENT)
    if (
        packet.request_id < flow_requests.non_idempotent_floor
        and not idempotent
    ):
        state.counters["refused_request_too_old"] += 1
        return requests.TOO_OLD
    size = len(packet.payload)
    if packet.fragments > 1:
        size = packet.fragments * packets.MAX_PAYLOAD_BYTES
    timeout_s = min(packet.deadline_ms / 1000, requests.MAX_DEADLINE_SECONDS)
    request = requests.Request(
        actions.RequestKey(flow.flow_id, flow.epoch, packet.request_id),
        flow_requests,
        idempotent,
        packet.fragments,
        now,
        now + timeout_s,
        # A caller may resend an idempotent request to a new incarnation.
        may_have_run=idempotent and flow.readopted,
    )
    reason = _refusal_reason(state, flow_requests, timeout_s, size, now)
    if reason != verdicts.Reason.NONE:
        entry = requests.ended_request(reason, request.refusal_verdict)
        state.request_table.store_verdict(
            flow_requests, packet.request_id, entry
        )
        state.counters[f"refused_{reason.name.lower()}"] += 1
        return entry
    state.request_table.add(request, size)
    return request


def _refusal_reason(
    state: agent_state.AgentState,
    flow_requests: requests.FlowRequests,
    timeout_s: float,
    size: int,
    now: float,
) -> verdicts.Reason:
    if state.drain.is_past_grace(now):
        return state.drain.reason
    if timeout_s <= 0:
        return verdicts.Reason.DEADLINE
    if flow_requests.live_count >= requests.MAX_LIVE_PER_FLOW:
        return verdicts.Reason.QUEUE_FULL
    if not state.request_table.has_room(flow_requests, size):
        return verdicts.Reason.SHED
    return verdicts.Reason.NONE


def _admit(
    state: agent_state.AgentState,
    flow: flows.Flow,
    request: requests.Request,
    now: float,
) -> None:
    size = sum(map(len, request.fragment_by_index.values()))
    if size > packets.MAX_BODY_BYTES:
        reason = verdicts.Reason.TOO_LARGE
    else:
        # A drain is not checked here: the first fragment arrived before the
        # grace period ended, so the request counts as in progress.
        reason = state.admission.request_refusal(request, now)
    if reason != verdicts.Reason.NONE:
        _end(state, request, reason, request.refusal_verdict, now)
        return
    state.request_table.record_admitted(request)
    state.admission.enqueue(request, now)
    state.counters["requests_admitted"] += 1
    replies.send_status(state, flow, request.key.request_id, now)
    start_queued(state, now)


def _end(
    state: agent_state.AgentState,
    request: requests.Request,
    reason: verdicts.Reason,
    verdict: verdicts.Verdict,
    now: float,
) -> None:
    """Ends a request without an answer and notifies the caller."""
    entry = requests.ended_request(reason, verdict)
    state.counters[f"refused_{reason.name.lower()}"] += 1
    state.admission.remove_queued(request)
    state.request_table.end(request, entry)
    flow = state.flow_table.find(request.key.flow_id, request.key.epoch)
    if flow is not None:
        request_id = request.key.request_id
        replies.send_verdict(state, flow, request_id, entry, now)


def start_queued(state: agent_state.AgentState, now: float) -> None:
    """Passes queued requests to the target while it has capacity."""
    # Requests that were queued before the configuration became unconfirmed
    # may no longer be allowed to run.
    if state.fenced:
        return
    while (request := state.admission.next_queued()) is not None:
        if request.deadline_at <= now:
            reason = verdicts.Reason.DEADLINE
            _end(state, request, reason, request.refusal_verdict, now)
            continue
        if not state.admission.may_start(now):
            return
        state.admission.start(request, now)
        state.counters["requests_started"] += 1
        wait_s = now - request.admitted_at
        state.observe("admission_wait", request.request_class, wait_s)
        state.add_action(
            actions.StartRequest(
                request.key,
                request.body(),
                request.deadline_at - now,
                request.idempotent,
            )
        )


def receive_poll(
    state: agent_state.AgentState,
    flow: flows.Flow,
    packet: packets.Packet,
    now: float,
) -> None:
    """Replies to a caller's query for the state of a request."""
    indexes = replies.unpack_indexes(packet.payload)
    if indexes is None or packet.request_id == 0:
        state.counters["dropped_malformed_poll"] += 1
        return
    entry = _requests_of(flow).find(packet.request_id)
    if isinstance(entry, requests.EndedRequest):
        replies.send_verdict(state, flow, packet.request_id, entry, now)
    elif entry is None:
        replies.send_status(state, flow, packet.request_id, now, [0])
    elif entry.state == requests.State.DONE:
        _send_answer_burst(state, flow, entry, indexes, now)
    else:
        # The reply to an empty poll lists one index, since a status without
        # indexes means that the request is accepted.
        limit = max(1, min(replies.MAX_LISTED_FRAGMENTS, len(indexes)))
        missing = entry.missing_fragments(limit)
        replies.send_status(state, flow, packet.request_id, now, missing)


def _send_answer_burst(
    state: agent_state.AgentState,
    flow: flows.Flow,
    request: requests.Request,
    indexes: list[int],
    now: float,
) -> None:
    count = request.answer_fragments
    requested = dict.fromkeys(indexes) if indexes else range(count)
    valid = [index for index in requested if index < count]
    burst = valid[: replies.BURST_FRAGMENTS]
    replies.send_answer(state, flow, request, burst, now)


def receive_ack(
    state: agent_state.AgentState, flow: flows.Flow, packet: packets.Packet
) -> None:
    """Drops an answer that the caller has received in full."""
    entry = _requests_of(flow).find(packet.request_id)
    if (
        isinstance(entry, requests.Request)
        and entry.state == requests.State.DONE
    ):
        state.counters["answers_acknowledged"] += 1
        state.request_table.end(entry, requests.ANSWER_DROPPED)
    else:
        state.counters["dropped_ack_without_answer"] += 1


def receive_cancel(
    state: agent_state.AgentState,
    flow: flows.Flow,
    packet: packets.Packet,
    now: float,
) -> None:
    """Cancels a request, or reports how it ended."""
    flow_requests = _requests_of(flow)
    request_id = packet.request_id
    if request_id == 0:
        state.counters["dropped_malformed_cancel"] += 1
        return
    entry = flow_requests.find(request_id)
    if entry is None:
        # The verdict is stored, so that a delayed request does not run after
        # its cancellation. The request may have run before the flow was
        # reopened or readopted.
        entry = requests.ended_request(
            verdicts.Reason.CANCELLED, verdicts.Verdict.MAY_HAVE_RUN
        )
        state.request_table.store_verdict(flow_requests, request_id, entry)
    if isinstance(entry, requests.EndedRequest):
        replies.send_verdict(state, flow, request_id, entry, now)
    elif entry.state == requests.State.DONE:
        _send_answer_burst(state, flow, entry, [], now)
    elif entry.state == requests.State.RUNNING:
        _cancel_running(state, entry)
        replies.send_status(state, flow, request_id, now)
    else:
        reason = verdicts.Reason.CANCELLED
        _end(state, entry, reason, entry.refusal_verdict, now)


def _cancel_running(
    state: agent_state.AgentState, request: requests.Request
) -> None:
    """Asks the target once to cancel; the outcome there sets the verdict."""
    if not request.cancelled:
        request.cancelled = True
        state.add_action(actions.CancelRequest(request.key))


def _record_cold_start(
    state: agent_state.AgentState, sign: str, now: float
) -> None:
    state.counters["cold_starts"] += 1
    state.log_limited(events.EventId.AGENT_COLD_START, now, sign=sign)


def handle_target_answer(
    state: agent_state.AgentState, event: actions.TargetAnswered, now: float
) -> None:
    """Stores the answer of a request and sends it to the caller."""
    request = state.admission.finish(event.key)
    if request is None:
        state.counters["dropped_unknown_outcome"] += 1
        return
    state.record_target_answer(now)
    service_seconds = now - request.started_at
    if state.ramp.record_answer(service_seconds, event.boot_id, now):
        _record_cold_start(state, "answer", now)
    if request.state == requests.State.ENDED:
        state.counters["dropped_answer_without_flow"] += 1
        return
    elapsed = now - request.received_at
    state.observe("answer_time", request.request_class, elapsed)
    state.observe_count(
        "target_tries", request.request_class, request.attempts
    )
    if len(event.body) > packets.MAX_BODY_BYTES:
        reason = verdicts.Reason.TOO_LARGE
        _end(state, request, reason, verdicts.Verdict.RAN, now)
        return
    state.counters["requests_answered"] += 1
    state.request_table.complete(request, event.body, now)
    flow = state.flow_table.find(event.key.flow_id, event.key.epoch)
    if flow is not None:
        _send_answer_burst(state, flow, request, [], now)


def handle_target_failure(
    state: agent_state.AgentState, event: actions.TargetFailed, now: float
) -> None:
    """Ends or requeues a request that the target did not answer."""
    request = state.admission.finish(event.key)
    if request is None:
        state.counters["dropped_unknown_outcome"] += 1
        return
    if event.connection_lost:
        state.record_target_failure(now)
        state.ramp.restart(now)
        _record_cold_start(state, "connection lost", now)
    if request.state == requests.State.ENDED:
        return
    verdict = request.refusal_verdict
    if event.started:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    elif _may_retry(request, event, now):
        state.counters["requests_requeued"] += 1
        state.admission.requeue(request)
        return
    if request.cancelled:
        reason = verdicts.Reason.CANCELLED
    elif event.started or event.connection_lost:
        reason = verdicts.Reason.TARGET_FAILED
    else:
        reason = verdicts.Reason.SHED
    _end(state, request, reason, verdict, now)


def _may_retry(
    request: requests.Request, event: actions.TargetFailed, now: float
) -> bool:
    return (
        event.connection_lost  # a target that sheds load gets no retries
        and not request.cancelled
        and request.attempts < MAX_ATTEMPTS
        and request.deadline_at > now
    )


def drop_requests(
    state: agent_state.AgentState, flow_requests: requests.FlowRequests
) -> None:
    """Drops the requests of a flow that ends."""
    for request in state.request_table.drop_all(flow_requests):
        state.admission.remove_queued(request)


def refuse_queued(
    state: agent_state.AgentState, reason: verdicts.Reason, now: float
) -> None:
    """Refuses all queued requests, which this agent has not run."""
    for request in list(state.admission.queue.values()):
        _end(state, request, reason, request.refusal_verdict, now)


def expire_requests(state: agent_state.AgentState, now: float) -> None:
    """Ends requests past their deadline and drops expired answers."""
    for request in state.request_table.pop_due(now):
        if request.state == requests.State.DONE:
            state.counters["answers_expired"] += 1
            state.request_table.end(request, requests.ANSWER_DROPPED)
        else:
            reason = verdicts.Reason.DEADLINE
            _end(state, request, reason, request.refusal_verdict, now)
