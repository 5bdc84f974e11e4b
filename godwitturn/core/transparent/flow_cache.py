"""A balancer's cache of where flows are, and its questions about others."""

import attrs

from godwitturn.core.transparent import segments

# Flows are forgotten some time after the last packet; agents still know them.
FLOW_EXPIRY_S = 60.0
# Clients give an opening up after 1.4 s.
OPENING_EXPIRY_S = 5.0
SEARCH_EXPIRY_S = 5.0
# Searches that are not settled start again with the client's next packet.
SEARCH_TIMEOUT_S = 0.15
# Packets of unknown flows beyond this are dropped; clients repeat them.
MAX_SEARCHES = 4096
# Clients have at most 16 packets in flight.
MAX_BUFFERED = 15


@attrs.define(eq=False, repr=False)
class CachedFlow:
    """Where a flow is, as far as this balancer knows.

    Attributes:
        agent: Address of the agent whose target has the flow.
        accepted: Whether the agent has said that its target holds it.
        tried: Agents that were offered the opening.
        sent_at: When the opening was last forwarded.
        used_at: When the last packet came.
        established: Whether a packet after the opening was forwarded.
        acknowledged: What the client's last packet acknowledged.
    """

    agent: str
    accepted: bool
    tried_agents: set[str]
    sent_at: float
    used_at: float
    established: bool = False
    acknowledged: int = 0


@attrs.define(eq=False, repr=False)
class Search:
    """A question to several agents about who holds a flow.

    Attributes:
        asked: Agents that were asked.
        waiting: Agents that have not answered.
        started_at: When they were asked.
        segment: The packet whose flow is searched.
        held: The flow's next packets, until its agent is known.
    """

    queried: set[str]
    pending: set[str]
    started_at: float
    segment: segments.Segment
    buffered: list[bytes] = attrs.field(factory=list)

    def restart(
        self, agents: set[str], segment: segments.Segment, *, now: float
    ) -> set[str]:
        """Starts over with the flow's next packet.

        Pattern: after a restart of all daemons, clients repeat packets of
        thousands of flows at once, and answers come later than usual. Asking
        everyone again would make them later still; an agent that has said
        that its target doesn't hold the flow needn't say it twice.

        Args:
            agents: Agents that may hold the flow.
            segment: The packet.
            now: Seconds.

        Returns:
            The agents to ask.
        """
        unqueried = agents - self.queried
        self.queried |= unqueried
        self.pending = (self.pending & agents) | unqueried
        self.started_at = now
        self.segment = segment
        self.buffered.clear()
        return self.pending

    def buffer(self, data: bytes) -> None:
        """Keeps a packet until the flow's agent is known."""
        if len(self.buffered) < MAX_BUFFERED:
            self.buffered.append(data)


@attrs.define(eq=False, repr=False)
class FlowCache:
    """Flows and searches by the flow's id.

    Attributes:
        flow_by_id: Flows whose agent is known.
        search_by_id: Flows whose agent is looked for.
    """

    flow_by_id: dict[segments.FlowId, CachedFlow] = attrs.field(factory=dict)
    search_by_id: dict[segments.FlowId, Search] = attrs.field(factory=dict)

    def set_owner(
        self, flow_id: segments.FlowId, agent: str, *, now: float
    ) -> CachedFlow:
        """Notes that an agent's target holds a flow."""
        cached = self.flow_by_id.get(flow_id)
        flow = CachedFlow(agent, True, {agent}, now, now)
        if cached is not None and cached.agent == agent:
            flow.established = cached.established
            flow.acknowledged = cached.acknowledged
        self.flow_by_id[flow_id] = flow
        return flow

    def remove(self, flow_id: segments.FlowId) -> None:
        """Forgets a flow and the search for it."""
        self.flow_by_id.pop(flow_id, None)
        self.search_by_id.pop(flow_id, None)

    def running_search(
        self, flow_id: segments.FlowId, *, now: float
    ) -> Search | None:
        """Returns the search for a flow, unless it has taken too long."""
        search = self.search_by_id.get(flow_id)
        if search is not None and now - search.started_at < SEARCH_TIMEOUT_S:
            return search
        return None

    def search_limit_reached(self, flow_id: segments.FlowId) -> bool:
        """Returns whether a search for a flow is one too many."""
        return (
            len(self.search_by_id) >= MAX_SEARCHES
            and flow_id not in self.search_by_id
        )

    def pop_flows_of(
        self, agent: str
    ) -> list[tuple[segments.FlowId, CachedFlow]]:
        """Forgets the flows of an agent and returns them."""
        removed = [
            (flow_id, flow)
            for flow_id, flow in self.flow_by_id.items()
            if flow.agent == agent
        ]
        for flow_id, _ in removed:
            del self.flow_by_id[flow_id]
        return removed

    def count_by_agent(self) -> dict[str, int]:
        """Returns how many flows each agent's target holds."""
        counts: dict[str, int] = {}
        for flow in self.flow_by_id.values():
            counts[flow.agent] = counts.get(flow.agent, 0) + 1
        return counts

    def sweep(self, *, now: float) -> None:
        """Forgets flows and searches that are no longer used."""
        for flow_id, flow in list(self.flow_by_id.items()):
            limit_s = FLOW_EXPIRY_S if flow.accepted else OPENING_EXPIRY_S
            if now - flow.used_at > limit_s:
                del self.flow_by_id[flow_id]
        for flow_id, search in list(self.search_by_id.items()):
            if now - search.started_at > SEARCH_EXPIRY_S:
                del self.search_by_id[flow_id]
