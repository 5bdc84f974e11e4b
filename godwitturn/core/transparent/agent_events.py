"""Log events of an agent about its target, openings and requests."""

from godwitturn.core.transparent import admission as admissions
from godwitturn.core.transparent import cold_limit
from godwitturn.core.transparent import deliveries
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import target_health
from godwitturn.core.transparent import target_watch


def heartbeat_ignored(
    heartbeat: heartbeats.Heartbeat, verdict: target_watch.Verdict
) -> messages.LogEvent:
    """Returns the event of a heartbeat that isn't applied."""
    return messages.LogEvent(
        "heartbeat_ignored",
        {
            "reason": verdict.value,
            "target": heartbeat.target_id,
            "service": heartbeat.service,
            "sequence": heartbeat.sequence,
            "born": heartbeat.born,
        },
    )


def target_state(
    target: target_watch.TargetWatch,
    heartbeat: heartbeats.Heartbeat,
    *,
    restarted: bool,
) -> messages.LogEvent:
    """Returns the event of a heartbeat that changes the target's state."""
    return messages.LogEvent(
        "target_state",
        {
            "incarnation": target.incarnation,
            "state": target.state.name.lower(),
            "sequence": heartbeat.sequence,
            "cold_ms": heartbeat.cold_ms,
            "restarted": restarted,
        },
    )


def cold_limit_changed(
    balancer: str, hello: messages.Hello, target: target_watch.TargetWatch
) -> messages.LogEvent:
    """Returns the event of a hello that changes the limit of a cold target."""
    return messages.LogEvent(
        "cold_limit",
        {
            "per_second": hello.cold_per_second,
            "balancer": balancer,
            "service": hello.service,
            "era": hello.position.era,
            "revision": hello.position.revision,
            "incarnation": target.incarnation,
        },
    )


def opening_delivered(
    opening: deliveries.Delivery,
    target: target_watch.TargetWatch,
    cold_limiter: cold_limit.ColdLimit,
    *,
    now: float,
) -> messages.LogEvent:
    """Returns the event of an opening that is delivered to the target.

    At a cold target, it names the limit, its age and what has used it up.
    """
    fields: dict[str, object] = {
        "flow": segments.flow_name(opening.segment.flow_id),
        "balancer": opening.balancer,
        "incarnation": target.incarnation,
        "state": target.state.name.lower(),
        "state_age_ms": round(1000 * (now - target.heartbeat_at)),
    }
    if target.is_cold(now):
        age_s = cold_limiter.age_s(now=now)
        fields |= {
            "cold_ms": target.cold_ms(now),
            "per_second": cold_limiter.per_second,
            "limit_age_ms": None if age_s is None else round(1000 * age_s),
            "in_window": cold_limiter.used(now=now),
            "per_window": cold_limiter.per_window,
        }
    return messages.LogEvent("opening_delivered", fields)


def opening_waits(
    opening: deliveries.Delivery,
    target: target_watch.TargetWatch,
    admission: admissions.Admission,
    *,
    per_second: float | None,
    now: float,
) -> messages.LogEvent:
    """Returns the event of an opening that is queued.

    Args:
        opening: The opening.
        target: The target.
        admission: The agent's admission.
        per_second: Requests a second that the target can handle while cold.
        now: Seconds.
    """
    return messages.LogEvent(
        "opening_waits",
        {
            "flow": segments.flow_name(opening.segment.flow_id),
            "balancer": opening.balancer,
            "waiting": admission.waiting_count,
            "wait_ms": admission.expected_wait_ms(target.slots, now=now),
            "cold_ms": target.cold_ms(now),
            "per_second": per_second,
        },
    )


def opening_returned(
    opening: deliveries.Delivery,
    reason: messages.Refusal,
    target: target_watch.TargetWatch,
    admission: admissions.Admission,
    *,
    now: float,
) -> messages.LogEvent:
    """Returns the event of an opening that is sent back to its balancer."""
    fields: dict[str, object] = {
        "flow": segments.flow_name(opening.segment.flow_id),
        "balancer": opening.balancer,
        "reason": reason.name.lower(),
        "incarnation": target.incarnation,
    }
    terms = opening.forward.terms
    if terms is not None:
        fields |= {
            "priority": terms.priority,
            "tries": terms.tries,
            "expected_wait_ms": terms.expected_wait_ms,
            "wait_ms": admission.expected_wait_ms(target.slots, now=now),
            "waiting": admission.waiting_count,
        }
    return messages.LogEvent("opening_returned", fields)


def opening_dropped(
    opening: deliveries.Delivery, *, now: float
) -> messages.LogEvent:
    """Returns the event of a queued opening that is dropped."""
    return messages.LogEvent(
        "opening_dropped",
        {
            "flow": segments.flow_name(opening.segment.flow_id),
            "balancer": opening.balancer,
            "reason": "outdated",
            "waited_ms": round(1000 * (now - opening.delivered_at)),
        },
    )


def target_stalled(
    target: target_watch.TargetWatch,
    admission: admissions.Admission,
    *,
    now: float,
) -> messages.LogEvent:
    """Returns the event of a target that stalls or goes on."""
    return messages.LogEvent(
        "target_stalled",
        {
            "stalled": admission.stalled,
            "incarnation": target.incarnation,
            "service_ms": round(1000 * admission.service_time.service_s),
            "wait_ms": admission.expected_wait_ms(target.slots, now=now),
            "waiting": admission.waiting_count,
        },
    )


def target_judged(
    flow_id: segments.FlowId,
    target: target_watch.TargetWatch,
    health: target_health.TargetHealth,
) -> messages.LogEvent:
    """Returns the event of a target whose judgement a flow changed."""
    return messages.LogEvent(
        "target_judged",
        {
            "failing": health.failing,
            "incarnation": target.incarnation,
            "failed": health.failed_count,
            "requests": health.request_count,
            "flow": segments.flow_name(flow_id),
        },
    )
