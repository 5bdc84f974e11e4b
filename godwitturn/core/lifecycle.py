"""Policy, fence, drain, stop and periodic work of an agent."""

from godwitturn.core import actions
from godwitturn.core import agent_replies as replies
from godwitturn.core import agent_state
from godwitturn.core import events
from godwitturn.core import flow_handling
from godwitturn.core import policy as policies
from godwitturn.core import request_handling
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

# Idle callers may send nothing for a long time, so a draining agent notifies
# them to move. The notices are repeated because datagrams get lost.
NOTICE_INTERVAL_SECONDS = 2.0
NOTICE_PERIOD_SECONDS = 10.0
NOTICES_PER_TICK = 200
# A stop waits at most this long for open flows, so that idle callers can open
# flows at other targets.
STOP_WAIT_SECONDS = 10.0


def apply_policy(
    state: agent_state.AgentState, policy: policies.AgentPolicy, now: float
) -> None:
    """Applies a new policy, unless it is older than the one in force."""
    if policy.version < state.policy.version:
        state.counters["dropped_policy_reverted"] += 1
        state.log(
            events.EventId.AGENT_POLICY_REVERTED,
            version=policy.version,
            in_force=state.policy.version,
        )
        return
    was_closed = state.closed_reason() != verdicts.Reason.NONE
    state.policy = policy
    state.admission.set_policy(policy)
    reason = state.closed_reason()
    if reason != verdicts.Reason.NONE:
        _reset_flows(state, reason, now)
    elif was_closed:
        state.ramp.restart(now)
    _update_drain(state, now)


def _reset_flows(
    state: agent_state.AgentState, reason: verdicts.Reason, now: float
) -> None:
    """Removes all flows; callers get a reset for their next packet."""
    count = len(state.flow_table.flow_by_id)
    if not count:
        return
    request_handling.refuse_queued(state, reason, now)
    for flow in state.flow_table.flow_by_id.values():
        if flow.flow_requests is not None:
            request_handling.drop_requests(state, flow.flow_requests)
    state.flow_table.clear()
    state.flows_to_notify.clear()
    state.counters["flows_reset"] += count
    state.log(
        events.EventId.AGENT_FLOWS_RESET, count=count, reason=reason.name
    )


def set_fenced(
    state: agent_state.AgentState, fenced: bool, now: float
) -> None:
    """Stops or resumes all traffic.

    When traffic resumes, slow start begins unless it has begun before.
    """
    if fenced == state.fenced:
        return
    state.fenced = fenced
    if not fenced and not state.ramp.started:
        state.ramp.restart(now)
    state.log(
        events.EventId.AGENT_FENCED if fenced else events.EventId.AGENT_OPENED
    )


def request_stop(state: agent_state.AgentState, now: float) -> None:
    """Starts a graceful stop."""
    if not state.drain.stopping:
        state.drain.stop_requested_at = now
        _update_drain(state, now)
        state.next_notice_round_at = now


def apply_health_check(
    state: agent_state.AgentState,
    event: actions.HealthCheckCompleted,
    now: float,
) -> None:
    """Applies the result of a health check.

    A reachable endpoint ends the unavailability of the target and sets or
    clears its drain, but does not end slow start. The boot id of the endpoint
    is ignored, because the endpoint lags and answers have the boot id as well.
    """
    if not event.reachable:
        if not state.answered_recently(now):
            state.record_target_failure(now)
    else:
        state.target_unavailable_until = None
        state.drain.target_draining = event.draining
        _update_drain(state, now)


def _update_drain(state: agent_state.AgentState, now: float) -> None:
    drain = state.drain
    draining = state.policy.draining or drain.target_draining or drain.stopping
    if draining == drain.active:
        return
    drain.started_at = now if draining else None
    state.next_notice_round_at = drain.started_at
    state.flows_to_notify.clear()
    if draining:
        state.log(events.EventId.AGENT_DRAINING, reason=drain.reason.name)


def tick(state: agent_state.AgentState, now: float) -> None:
    """Expires flows and requests, sends notices and reports the stop."""
    for flow in state.flow_table.expired_flows(now):
        state.counters["flows_expired"] += 1
        flow_handling.drop_flow(state, flow, now)
    request_handling.expire_requests(state, now)
    _send_move_notices(state, now)
    _report_stopped(state, now)


def _send_move_notices(state: agent_state.AgentState, now: float) -> None:
    since = state.drain.started_at
    due = state.next_notice_round_at
    if since is None or state.fenced:
        return
    if not state.flows_to_notify and due is not None and now >= due:
        state.flows_to_notify = list(state.flow_table.flow_by_id.values())
        state.next_notice_round_at = now + NOTICE_INTERVAL_SECONDS
        if now - since >= NOTICE_PERIOD_SECONDS:
            state.next_notice_round_at = None
    notified = state.flows_to_notify[-NOTICES_PER_TICK:]
    del state.flows_to_notify[-NOTICES_PER_TICK:]
    for flow in notified:
        # Unsolicited packets go only to an address confirmed by a token.
        if flow.confirmed and state.flow_table.find(flow.flow_id, flow.epoch):
            notice = packets.Packet(
                packets.Kind.KEEPALIVE_REPLY, state.service_id, flow.flow_id
            )
            replies.send_to_flow(state, flow, notice, now)


def _report_stopped(state: agent_state.AgentState, now: float) -> None:
    since = state.drain.stop_requested_at
    if state.stop_reported or since is None:
        return
    admission = state.admission
    table = state.request_table
    if admission.queue or admission.running:
        return
    if table.receiving_count:
        return
    # Both copies of an ACK may be lost. An answer without an ACK is stored
    # beyond its deadline, to recognise late duplicates, so the stop waits only
    # for the latest deadline, after which no caller waits for an answer.
    if table.answer_count and now < table.last_answer_deadline_at:
        return
    if not state.drain.is_past_grace(now):
        return
    waited = now - since >= STOP_WAIT_SECONDS
    if state.flow_table.flow_by_id and not waited:
        return
    state.stop_reported = True
    state.log(events.EventId.AGENT_STOPPED)
    state.add_action(actions.Stopped())
