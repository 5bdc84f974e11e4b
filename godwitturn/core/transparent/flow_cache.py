"""A balancer's cache of flows and their agents, and its searches for flows."""

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import opening_copies
from godwitturn.core.transparent import segments

# Time after its last packet at which an accepted flow is removed from the
# cache. Its agent may still track it.
FLOW_EXPIRY_S = 60.0
# The same for a flow that isn't accepted yet. Clients give up an opening after
# 1.4 s.
OPENING_EXPIRY_S = 5.0
SEARCH_EXPIRY_S = 5.0
# A search without a result restarts with the client's next packet after this
# time.
SEARCH_TIMEOUT_S = 0.15
# Number of flows searched at a time. Packets of further uncached flows are
# dropped; clients repeat them.
MAX_SEARCHES = 4096
# Packets buffered for each search. Clients have at most 16 packets in flight,
# of which one starts the search.
MAX_BUFFERED = 15


@attrs.define(frozen=True, repr=False)
class OpeningProbe:
    """An opening that an agent delivers only if it is a copy.

    Attributes:
        sequence: Sequence number of the opening.
        sent_at: When it was sent to the agent.
    """

    sequence: int
    sent_at: float


@attrs.define(eq=False, repr=False)
class CachedFlow:
    """A flow and the agent that its packets are forwarded to.

    Attributes:
        agent: Address of the agent.
        accepted: Whether the agent has reported the flow as its own.
        tried_agents: Agents that were offered the opening.
        sent_at: When the opening was last forwarded.
        used_at: When the last packet arrived.
        established: Whether a packet after the opening was forwarded.
        acknowledged: Sequence number that the client's last packet
            acknowledged.
        opened_at: When the client sent the opening first, from the copy of it
            that arrived first.
        terms: Terms that were sent with the opening, None without.
        unanswered: Whether another agent that was offered the opening has
            neither accepted nor refused it, so that it may have it.
        service: Service of the agent's target when the flow was offered or
            reported, empty if it wasn't known. The address may have gone to
            another service since.
        sequence: Sequence number of the opening, None if unknown because the
            balancer hasn't forwarded it.
        former_sequence: The same of the port's former flow. Its copies may
            still arrive.
        probe: The last probe of the agent, None if none is pending.
    """

    agent: str
    accepted: bool
    tried_agents: set[str]
    sent_at: float
    used_at: float
    established: bool = False
    acknowledged: int = 0
    opened_at: float = 0.0
    terms: messages.RequestTerms | None = None
    unanswered: bool = False
    service: str = ""
    sequence: int | None = None
    former_sequence: int | None = None
    probe: OpeningProbe | None = None

    def relate(
        self, opening: segments.Segment, *, now: float
    ) -> opening_copies.Relation:
        """Returns how an opening relates to this flow."""
        return opening_copies.relate(
            opening, self.sequence, self.opened_at, now=now
        )

    def order(
        self, reported: messages.FlowOpening | None, *, now: float
    ) -> opening_copies.Order:
        """Returns how a reported flow of the same port relates to this one."""
        return opening_copies.order(
            reported, self.sequence, self.opened_at, now=now
        )


@attrs.define(eq=False, repr=False)
class Search:
    """A query to several agents for a flow.

    Attributes:
        queried: Agents that were queried.
        pending: Agents that haven't replied that the flow is absent.
        started_at: When the last queries were sent.
        segment: The packet that started or restarted the search.
        buffered: Packets of the flow that arrived after `segment`.
        deferred: Pending agents whose targets are tried after the others,
            as the flow's route had their service, but no longer has it.
        undecided: Agents whose targets weren't tried, as it wasn't known
            whether the flow's route had their service.
        restarted: Whether a further packet has restarted the search.
    """

    queried: set[str]
    pending: set[str]
    started_at: float
    segment: segments.Segment
    buffered: list[bytes] = attrs.field(factory=list)
    deferred: set[str] = attrs.field(factory=set)
    undecided: set[str] = attrs.field(factory=set)
    restarted: bool = False

    def handle_unknown(self, agent: str, *, of_route: bool) -> set[str]:
        """Handles the reply that only an agent's target can tell.

        After a restart of all daemons, trying all targets for each flow would
        multiply the packets that they get. A flow is hardly ever open at a
        target of another service than its route has now, so those are tried
        once no other agent may have the flow, or when the search restarts.

        Args:
            agent: The agent.
            of_route: Whether the flow's route has its service now; else the
                route had it.

        Returns:
            The agents whose targets are to be tried now.
        """
        if of_route or self.restarted:
            return {agent}
        self.deferred.add(agent)
        return self.pop_deferred()

    def handle_undecided(self, agent: str) -> set[str]:
        """Handles that it isn't known whether an agent's target may be tried.

        The agent stays pending, so that the search doesn't end in a reset. It
        is queried again when the search restarts.

        Returns:
            The agents whose targets are to be tried now.
        """
        self.undecided.add(agent)
        return self.pop_deferred()

    def handle_absent(self, agent: str) -> set[str]:
        """Handles the reply that the flow isn't open at an agent's target.

        Returns:
            The agents whose targets are to be tried now.
        """
        self.pending.discard(agent)
        return self.pop_deferred()

    def pop_deferred(self) -> set[str]:
        """Returns and clears deferred agents if no others are pending."""
        if self.pending - self.deferred - self.undecided:
            return set()
        deferred, self.deferred = self.deferred & self.pending, set()
        return deferred

    def restart(
        self, agents: set[str], segment: segments.Segment, *, now: float
    ) -> set[str]:
        """Restarts the search with the flow's next packet.

        After a restart of all daemons, clients repeat packets of thousands of
        flows at once, and replies take longer than usual. Querying every
        agent again would delay replies further, so agents that have replied
        that the flow is absent aren't queried again.

        Args:
            agents: Agents that may have the flow.
            segment: The flow's next packet.
            now: Seconds.

        Returns:
            The agents to query.
        """
        unqueried = agents - self.queried
        self.queried |= unqueried
        self.pending = (self.pending & agents) | unqueried
        self.started_at = now
        self.segment = segment
        self.buffered.clear()
        self.deferred.clear()
        self.restarted = True
        return self.pending

    def add_agents(self, agents: set[str]) -> None:
        """Adds agents that are queried now."""
        self.queried |= agents
        self.pending |= agents

    def buffer(self, data: bytes) -> None:
        """Buffers a packet until the flow's agent replies."""
        if len(self.buffered) < MAX_BUFFERED:
            self.buffered.append(data)


@attrs.define(eq=False, repr=False)
class FlowCache:
    """Cached flows, and searches for the agents of other flows.

    Attributes:
        flow_by_id: Cached flows by id.
        search_by_id: Searches by the id of their flow.
    """

    flow_by_id: dict[segments.FlowId, CachedFlow] = attrs.field(factory=dict)
    search_by_id: dict[segments.FlowId, Search] = attrs.field(factory=dict)

    def find_opening(
        self, flow_id: segments.FlowId, agent: str
    ) -> CachedFlow | None:
        """Returns a flow whose opening an agent was offered last.

        It is None if the flow isn't cached, was offered to another agent
        meanwhile, or was accepted already, so that a reply of the agent says
        nothing about its opening.
        """
        cached = self.flow_by_id.get(flow_id)
        if cached is None or cached.agent != agent or cached.accepted:
            return None
        return cached

    def set_owner(
        self,
        flow_id: segments.FlowId,
        agent: str,
        service: str,
        opening: messages.FlowOpening | None = None,
        *,
        now: float,
    ) -> CachedFlow:
        """Caches that a flow is open at an agent's target.

        Args:
            flow_id: The flow.
            agent: Address of the agent.
            service: Service of the agent's target, empty if unknown.
            opening: The flow's opening, None if the agent doesn't report it.
            now: Seconds.
        """
        cached = self.flow_by_id.get(flow_id)
        flow = CachedFlow(
            agent, True, {agent}, now, now, opened_at=now, service=service
        )
        if opening is not None:
            flow.sequence = opening.sequence
            flow.opened_at = now - opening.age_ms / 1000
        if cached is not None and (
            cached.order(opening, now=now) is opening_copies.Order.LATER
        ):
            flow.former_sequence = cached.sequence
        elif cached is not None:
            # A queued opening may still be returned, and is then offered with
            # the time and the tries that it has spent, also if a copy of it
            # was offered to another agent meanwhile.
            flow.opened_at = cached.opened_at
            if flow.sequence is None:
                flow.sequence = cached.sequence
            if (
                opening is None
                and cached.probe is not None
                and cached.agent == agent
            ):
                flow.sequence = cached.probe.sequence
                flow.opened_at = cached.probe.sent_at
            flow.former_sequence = cached.former_sequence
            flow.unanswered = cached.unanswered
            if cached.terms is not None:
                flow.tried_agents = cached.tried_agents | {agent}
                flow.terms = cached.terms
            if cached.agent == agent:
                flow.established = cached.established
                flow.acknowledged = cached.acknowledged
            elif not cached.accepted:
                flow.unanswered = True
        self.flow_by_id[flow_id] = flow
        return flow

    def remove(self, flow_id: segments.FlowId) -> None:
        """Removes a flow and any search for it."""
        self.flow_by_id.pop(flow_id, None)
        self.search_by_id.pop(flow_id, None)

    def running_search(
        self, flow_id: segments.FlowId, *, now: float
    ) -> Search | None:
        """Returns the search for a flow, None if none is running.

        A search that has timed out isn't running.
        """
        search = self.search_by_id.get(flow_id)
        if search is not None and now - search.started_at < SEARCH_TIMEOUT_S:
            return search
        return None

    def search_limit_reached(self, flow_id: segments.FlowId) -> bool:
        """Returns whether a new search for a flow would exceed the limit."""
        return (
            len(self.search_by_id) >= MAX_SEARCHES
            and flow_id not in self.search_by_id
        )

    def pop_flows_of(
        self, agent: str, *, except_service: str = ""
    ) -> list[tuple[segments.FlowId, CachedFlow]]:
        """Removes and returns the flows of an agent.

        Args:
            agent: Address of the agent.
            except_service: Service whose flows are kept, with those whose
                service isn't known; empty to keep none.
        """
        kept_services = ("", except_service) if except_service else ()
        removed = [
            (flow_id, flow)
            for flow_id, flow in self.flow_by_id.items()
            if flow.agent == agent and flow.service not in kept_services
        ]
        for flow_id, _ in removed:
            del self.flow_by_id[flow_id]
        return removed

    def count_by_agent(self) -> dict[str, int]:
        """Returns the number of cached flows by agent."""
        counts: dict[str, int] = {}
        for flow in self.flow_by_id.values():
            counts[flow.agent] = counts.get(flow.agent, 0) + 1
        return counts

    def sweep(self, *, now: float) -> None:
        """Removes expired flows and searches."""
        for flow_id, flow in list(self.flow_by_id.items()):
            limit_s = FLOW_EXPIRY_S if flow.accepted else OPENING_EXPIRY_S
            if now - flow.used_at > limit_s:
                del self.flow_by_id[flow_id]
        for flow_id, search in list(self.search_by_id.items()):
            if now - search.started_at > SEARCH_EXPIRY_S:
                del self.search_by_id[flow_id]
