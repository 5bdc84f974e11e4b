"""Reports of the state of balancers and agents, for operators."""

from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import route_history
from godwitturn.core.transparent import segments


def balancer_state(
    balancer: balancers.Balancer, *, now: float
) -> dict[str, object]:
    """Returns a balancer's view of its targets and peers."""
    flows = balancer.cache.count_by_agent()
    return {
        "version": (
            balancer.configuration.version if balancer.configuration else None
        ),
        "era": balancer.position.era,
        "revision": balancer.position.revision,
        "closed_data_centres": sorted(balancer.closed_data_centres),
        "route_history": {
            "read": balancer.history.loaded,
            "revision": balancer.history.record.revision,
            "writable": balancer.history.record.overwritable,
            "services": {
                segments.endpoint_name(*endpoint): route_history.newest(
                    row, route_history.MAX_SERVICES
                )
                for endpoint, row in sorted(balancer.history.services.items())
                if len(row) > 1
            },
        },
        "stopping": balancer.stop is not None,
        "peers": sorted(balancer.peers.peer_by_address),
        "services": {
            service: {
                "spreading": load.spreading,
                "asked_per_s": round(load.asked_per_s, 1),
                "diverted": (
                    round(load.fleet.diverted_share, 3) if load.fleet else 0
                ),
                "openings_per_s": round(load.total.openings_per_s, 1),
                "capacity_per_s": round(load.total.capacity_per_s, 1),
                "wait_ms": {
                    name: round(1000 * part.wait_s)
                    for name, part in sorted(load.load_by_data_centre.items())
                },
            }
            for service, load in sorted(balancer.loads.load_by_service.items())
        },
        "targets": {
            address: {
                "service": target.service,
                "data_centre": target.data_centre,
                "registered": target.registered,
                "silent_s": round(target.silent_s(now), 2),
                "state": (
                    target.announcement.state.name.lower()
                    if target.announcement
                    else "unannounced"
                ),
                "load": round(target.load(), 2),
                "backlog_ms": (
                    round(1000 * target.load_information.wait_s(now=now))
                    if target.load_information.free_at is not None
                    else None
                ),
                "service_ms": round(
                    1000 * target.load_information.service_s, 1
                ),
                "failing": target.failing,
                "restarting": target.restarting,
                "flows_here": flows.get(address, 0),
            }
            for address, target in (
                balancer.target_table.target_by_address.items()
            )
        },
    }


def agent_state(agent: agents.Agent, *, now: float) -> dict[str, object]:
    """Returns an agent's view of its target and balancers."""
    target = agent.target
    admission = agent.admission
    return {
        "service": agent.service,
        "state": target.state.name.lower(),
        "incarnation": target.incarnation,
        "heartbeat_age_s": round(now - target.heartbeat_at, 2),
        "failing": agent.health.failing,
        "evacuated": agent.evacuated,
        "era": agent.position.era,
        "revision": agent.position.revision,
        "flows": len(agent.flows.flow_by_id),
        "waiting": admission.waiting_count,
        "waiting_by_priority": admission.queue.count_by_priority(),
        "service_us": admission.service_us,
        "round_trip_ms": round(1000 * admission.service_time.round_trip_s, 1),
        "wait_ms": admission.expected_wait_ms(target.slots, now=now),
        "stalled": admission.stalled,
        "openings": admission.openings,
        "cold_ms": target.cold_ms(now),
        "cold_limit_per_s": agent.cold_limiter.per_second,
        "refusals": {
            name.removeprefix("refused_"): count
            for name, count in agent.counts.items()
            if name.startswith("refused_")
        },
        "balancers": {
            address: round(now - balancer.last_seen_at, 2)
            for address, balancer in (
                agent.subscribers.balancer_by_address.items()
            )
        },
    }
