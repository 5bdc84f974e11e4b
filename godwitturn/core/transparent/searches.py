"""Messages of a balancer's searches for flows that aren't cached."""

from collections.abc import Iterable

from godwitturn.core.transparent import flow_cache
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import route_history
from godwitturn.core.transparent import routes
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import targets


def queries(
    flow_id: segments.FlowId,
    agents: Iterable[str],
    target_table: targets.TargetTable,
) -> list[messages.Action]:
    """Returns queries to agents for a flow.

    Each names the agent's own service, whatever the flow's route is.
    """
    sends: list[messages.Action] = [
        messages.Send(
            agent,
            messages.FlowQuery(flow_id, target_table.service_of(agent)),
        )
        for agent in sorted(agents)
    ]
    event = messages.LogEvent(
        "flow_searched",
        {"flow": segments.flow_name(flow_id), "agents": len(sends)},
    )
    return [event, *sends]


def may_try(
    agent: str,
    flow_id: segments.FlowId,
    target_table: targets.TargetTable,
    history: route_history.RouteHistory,
) -> route_history.Answer:
    """Returns whether a flow's packets may be delivered to a target.

    They may if the flow's route has or has had the target's service.
    """
    return history.may_have(flow_id[2:], target_table.service_of(agent))


def handle_unknown(
    search: flow_cache.Search,
    agent: str,
    target_table: targets.TargetTable,
    configuration: routes.Configuration | None,
) -> list[messages.Action]:
    """Handles the reply that only an agent's target knows of a flow.

    Args:
        search: The search.
        agent: The agent. The flow's route has or has had its service.
        target_table: The targets.
        configuration: The configuration in force.
    """
    of_route = configuration is not None and configuration.route_has_service(
        search.segment.flow_id[2:], target_table.service_of(agent)
    )
    agents = search.handle_unknown(agent, of_route=of_route)
    return try_targets(search, agents, target_table)


def handle_undecided(
    search: flow_cache.Search, agent: str, target_table: targets.TargetTable
) -> list[messages.Action]:
    """Handles the same reply if the history of the flow's route isn't known.

    The flow's packets remain unanswered until the history has been read.
    """
    event = messages.LogEvent(
        "flow_search_waits",
        {
            "flow": segments.flow_name(search.segment.flow_id),
            "agent": agent,
            "service": target_table.service_of(agent),
        },
    )
    events = [] if search.undecided else [event]
    agents = search.handle_undecided(agent)
    return [*events, *try_targets(search, agents, target_table)]


def try_targets(
    search: flow_cache.Search,
    agents: Iterable[str],
    target_table: targets.TargetTable,
) -> list[messages.Action]:
    """Sends a searched flow's packet to agents, to deliver to their targets.

    A target returns packets of flows that it doesn't hold.
    """
    data = search.segment.data
    return [
        messages.Send(
            agent,
            messages.Forward(target_table.service_of(agent), True, data),
        )
        for agent in sorted(agents)
    ]
