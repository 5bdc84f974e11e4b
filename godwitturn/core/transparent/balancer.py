"""Decisions of a balancer that forwards packets unchanged.

The balancer caches which agent each flow belongs to. It queries all agents
about a flow that isn't cached; each agent tracks the flows of its target.
"""

import itertools

import attrs

from godwitturn.core import store_position
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import flow_cache
from godwitturn.core.transparent import graceful_stop
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import opening_copies
from godwitturn.core.transparent import openings
from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import peers as peer_tables
from godwitturn.core.transparent import route_history
from godwitturn.core.transparent import routes
from godwitturn.core.transparent import searches
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import service_load
from godwitturn.core.transparent import targets

TICK_S = 0.1
# If a tick is late by more than this, the process is taken to have been
# paused. The pause then doesn't count as silence of the agents.
PAUSE_THRESHOLD_S = 0.5
# Interval of hellos to an agent that hasn't announced yet, is restarting or is
# lost. It may just be starting.
FIRST_HELLO_INTERVAL_S = 0.1
# Silence after which an agent without an entry in the store is removed.
AGENT_EXPIRY_S = 10.0
# Routers send a client's copies of an opening to other balancers once they
# have missed this balancer's answers twice, so an opening that may be this old
# may have reached a target through another balancer.
MAX_OPENING_DELAY_S = 1.0
CACHE_SWEEP_INTERVAL_S = 5.0
# Time after its start for which a balancer waits for agents that haven't
# announced, before it is ready and resets flows that no agent reports.
START_GRACE_S = 0.5
# Number of packets buffered until the first agent is added.
MAX_EARLY_PACKETS = 512


def _capabilities(address: str) -> messages.Send:
    """Tells an agent which forms of messages this balancer can decode."""
    return messages.Send(
        address, messages.Capabilities(messages.MESSAGES_VERSION)
    )


@attrs.define(eq=False, repr=False)
class Balancer:
    """State and decisions of one balancer.

    Attributes:
        address: IP address of this balancer.
        data_centre: Data centre of this balancer.
        started_at: When it started, in seconds of the clock passed as `now`.
        peers: The other balancers.
        fetcher: Decides when to fetch newer documents of the operators.
        configuration: The operators' configuration, None until received.
        position: Position of the operators' state that was read.
        closed_data_centres: Data centres whose targets get no new flows.
        agents_loaded: Whether the agents in the store have been read.
        stop: The graceful stop, None unless one has begun.
        target_table: Targets.
        cache: Flows with the agents that they belong to, and running searches.
        counts: Counters by name.
        loads: Loads of the services.
        history: Services that the routes have had.
    """

    address: str
    data_centre: str
    started_at: float
    peers: peer_tables.PeerTable
    fetcher: document_exchange.DocumentFetcher
    configuration: routes.Configuration | None = None
    position: store_position.StorePosition = store_position.UNREAD
    closed_data_centres: frozenset[str] = frozenset()
    agents_loaded: bool = False
    stop: graceful_stop.GracefulStop | None = None
    target_table: targets.TargetTable = attrs.field(
        factory=targets.TargetTable
    )
    cache: flow_cache.FlowCache = attrs.field(factory=flow_cache.FlowCache)
    counts: dict[str, int] = attrs.field(factory=dict)
    loads: service_load.LoadTable = attrs.field(factory=service_load.LoadTable)
    history: route_history.RouteHistory = attrs.field(
        factory=route_history.RouteHistory
    )
    _dispatcher: openings.Dispatcher | None = None
    _early_packets: list[segments.Segment] = attrs.field(factory=list)
    _lost_agents: frozenset[str] = frozenset()
    _history_known: bool = False
    _ticked_at: float | None = None
    _statuses_sent_at: float = float("-inf")
    _swept_at: float = 0.0
    _hello_at_by_address: dict[str, float] = attrs.field(factory=dict)

    @property
    def dispatcher(self) -> openings.Dispatcher:
        """Offers openings to targets.

        It is made at its first use. `__attrs_post_init__` and `init=False`
        can't be written out by the build, and importing attrs would delay
        the start.
        """
        if self._dispatcher is None:
            self._dispatcher = openings.Dispatcher(
                self.data_centre,
                self.started_at,
                self.target_table,
                self.cache,
                self.loads,
                self.count,
                self._reset,
            )
        return self._dispatcher

    # Configuration and membership.

    def configure(
        self,
        configuration: routes.Configuration,
        *,
        position: store_position.StorePosition,
    ) -> list[messages.Action]:
        """Applies a configuration, unless a newer one is in force.

        Operators' versions only grow, so a configuration that a restored
        store has lost stays in force until a newer version is written.

        Args:
            configuration: The configuration.
            position: Its position in the store.
        """
        previous = self.configuration
        self.fetcher.set_position(position)
        if previous is not None and previous.version >= configuration.version:
            return [
                messages.LogEvent(
                    "configuration_ignored",
                    {
                        "version": configuration.version,
                        "in_force": previous.version,
                        "era": position.era,
                        "revision": position.revision,
                    },
                )
            ]
        self.configuration = self.dispatcher.configuration = configuration
        self.history.observe(configuration)
        services = configuration.service_by_name
        if previous is None or previous.service_by_name != services:
            # Hellos stated nothing on the services, or their former limits;
            # the next ones are due at the next tick.
            self._hello_at_by_address.clear()
        return [
            messages.LogEvent(
                "configuration_applied",
                {
                    "version": configuration.version,
                    "previous": previous.version if previous else None,
                    "era": position.era,
                    "revision": position.revision,
                    "routes": len(configuration.route_by_endpoint),
                },
            )
        ]

    def close_data_centres(
        self,
        names: frozenset[str],
        *,
        position: store_position.StorePosition,
        last_change: store_position.StorePosition | None = None,
    ) -> list[messages.Action]:
        """Sets the data centres whose targets get no new flows.

        They were read at `position`; the documents last changed at
        `last_change`, which is `position` if None.
        """
        self.position = max(self.position, position)
        self.fetcher.set_position(last_change or position)
        if names == self.closed_data_centres:
            return []
        self.closed_data_centres = names
        self.dispatcher.closed_data_centres = names
        # Hellos with the change are due at the next tick.
        self._hello_at_by_address.clear()
        return [
            messages.LogEvent(
                "data_centres_closed",
                {
                    "names": ",".join(sorted(names)),
                    "era": position.era,
                    "revision": position.revision,
                },
            )
        ]

    def register(
        self, address: str, service: str, data_centre: str, *, now: float
    ) -> list[messages.Action]:
        """Adds an agent from its entry in the store and sends it a hello."""
        self.target_table.register(address, service, data_centre, now=now)
        return [
            self.make_hello(address, now=now),
            _capabilities(address),
            messages.LogEvent(
                "agent_registered", {"agent": address, "service": service}
            ),
        ]

    def unregister(self, address: str, *, now: float) -> list[messages.Action]:
        """Handles the removal of an agent's entry from the store."""
        self.target_table.unregister(address, now=now)
        self._hello_at_by_address.pop(address, None)
        return [messages.LogEvent("agent_unregistered", {"agent": address})]

    def ready(self, *, now: float) -> bool:
        """Returns whether routers should send packets here."""
        if self.stop is not None or self.configuration is None:
            return False
        reachable = [
            target.announcement is not None and not target.is_lost(now)
            for target in self.target_table.target_by_address.values()
        ]
        if not any(reachable):
            return False
        complete = self.agents_loaded and all(reachable)
        return complete or now - self.started_at > START_GRACE_S

    def begin_stop(self, *, now: float, grace_s: float) -> None:
        """Begins a graceful stop.

        Readiness probes fail from now on; packets are still forwarded.

        Args:
            now: Seconds.
            grace_s: Seconds until the process is killed.
        """
        self.stop = graceful_stop.GracefulStop(
            now + graceful_stop.GRACE_SHARE * grace_s
        )
        # Statuses with the change are due at the next tick.
        self._statuses_sent_at = float("-inf")

    def record_failed_probe(self, *, now: float) -> None:
        """Counts a router's readiness probe that failed during a stop."""
        if self.stop is not None:
            self.stop.record_failed_probe(now=now)

    def may_exit(self, *, now: float) -> bool:
        """Returns whether a stopping balancer may exit."""
        if self.stop is None:
            return False
        half_ready = self.peers.half_ready(self.data_centre, now=now)
        return self.stop.may_exit(half_ready=half_ready, now=now)

    # Packets of clients.

    def handle_packet(
        self, segment: segments.Segment, *, now: float, delay_s: float = 0.0
    ) -> list[messages.Action]:
        """Forwards a client's packet.

        Args:
            segment: The packet.
            now: Seconds.
            delay_s: Longest time in seconds that it may have waited here for a
                suspended process.
        """
        flow = self.cache.flow_by_id.get(segment.flow_id)
        if (
            segment.opening
            and delay_s > MAX_OPENING_DELAY_S
            and (
                flow is None
                or flow.relate(segment, now=now) is opening_copies.Relation.NEW
            )
        ):
            self.count("outdated_openings")
            return []
        if flow is not None:
            flow.used_at = now
        if segment.opening:
            return self.dispatcher.open(segment, flow, now=now)
        if flow is None:
            if segment.resetting:
                return []
            return self._search(segment, frozenset(), now=now)
        if self._is_lost(flow.agent, now=now):
            return self._reset(segment, "target_lost", agent=flow.agent)
        flow.established = True
        flow.acknowledged = segment.acknowledged
        forward = messages.Forward(
            flow.service or self._service_of(flow.agent), False, segment.data
        )
        relay = self._find_relay(flow.agent, now=now)
        if relay is not None:
            self.count("relayed")
            relayed = messages.Relayed(flow.agent, forward)
            return [messages.Send(relay, relayed)]
        return [messages.Send(flow.agent, forward)]

    def _find_relay(self, agent: str, *, now: float) -> str | None:
        """Returns a balancer that can reach an agent that is silent here.

        Two data centres may be cut off from each other while a third one
        reaches both.
        """
        target = self.target_table.target_by_address.get(agent)
        if target is None or target.silent_s(now) <= targets.SILENT_S:
            return None
        if target.is_awaited(now):
            return None
        if not self.target_table.mostly_reachable(now=now):
            return None
        return self.peers.find_relay(
            agent,
            frozenset({self.data_centre, target.data_centre}),
            now=now,
        )

    def _service_of(self, agent: str) -> str:
        return self.target_table.service_of(agent)

    def _is_lost(self, agent: str, *, now: float) -> bool:
        """Returns whether an agent is unreachable, also through peers."""
        target = self.target_table.target_by_address.get(agent)
        if target is not None and not target.is_lost(now):
            return False
        if not self.target_table.mostly_reachable(now=now):
            return False
        return self._find_relay(agent, now=now) is None

    def _handle_early_packets(self, *, now: float) -> list[messages.Action]:
        """Handles packets that arrived before the first agent was added."""
        if not self.target_table.target_by_address:
            return []
        early, self._early_packets = self._early_packets, []
        actions: list[messages.Action] = []
        for segment in early:
            actions += self.handle_packet(segment, now=now)
        return actions

    def _reset(
        self, segment: segments.Segment, reason: str, **fields: object
    ) -> list[messages.Action]:
        """Resets the client's flow, unless the packet itself is a reset."""
        self.count(f"reset_{reason}")
        self.cache.remove(segment.flow_id)
        if segment.resetting:
            return []
        return [
            messages.Reset(segment.flow_id, segment.acknowledged),
            messages.LogEvent(
                "flow_reset",
                {
                    "flow": segments.flow_name(segment.flow_id),
                    "reason": reason,
                    "version": (
                        self.configuration.version
                        if self.configuration
                        else None
                    ),
                    **fields,
                },
            ),
        ]

    def _search(
        self,
        segment: segments.Segment,
        excluded: frozenset[str],
        *,
        now: float,
    ) -> list[messages.Action]:
        """Queries all agents for a flow.

        A flow stays at its target when its route's shares change, so the
        target may be of any service that the route has had. An agent that
        doesn't track all flows of its target delivers the packet to find out
        whether the flow is open, if its service is one of these.
        """
        search = self.cache.running_search(segment.flow_id, now=now)
        if search is not None:
            search.buffer(segment.data)
            return []
        if self.cache.search_limit_reached(segment.flow_id):
            self.count("searches_left_out")
            return []
        agents = set(self.target_table.target_by_address) - excluded
        if not agents:
            if (
                self._agents_incomplete(now)
                and len(self._early_packets) < MAX_EARLY_PACKETS
            ):
                self._early_packets.append(segment)
            if excluded and not self._agents_incomplete(now):
                return self._reset(segment, "flow_unknown")
            return []
        earlier = self.cache.search_by_id.get(segment.flow_id)
        if earlier is not None:
            agents = earlier.restart(agents, segment, now=now)
            if not self._awaits_replies(earlier, now=now):
                return self._reset(segment, "flow_unknown")
        else:
            self.cache.search_by_id[segment.flow_id] = flow_cache.Search(
                agents | excluded, set(agents), now, segment
            )
        self.count("searches")
        return searches.queries(segment.flow_id, agents, self.target_table)

    def _agents_incomplete(self, now: float) -> bool:
        """Returns whether to wait for agents that may still announce.

        They are waited for during `START_GRACE_S` after the start.
        """
        if now - self.started_at >= START_GRACE_S:
            return False
        return not self.agents_loaded or any(
            target.announcement is None
            for target in self.target_table.target_by_address.values()
        )

    # Messages of agents and balancers.

    def handle_message(
        self, sender: str, message: messages.Message, *, now: float
    ) -> list[messages.Action]:
        """Handles a message from an agent or another balancer."""
        match message:
            case messages.Announcement():
                return self._handle_announcement(sender, message, now=now)
            case messages.FlowAbsent(flow_id):
                self.target_table.record_seen(sender, now=now)
                return self._handle_flow_absent(sender, flow_id, now=now)
            case messages.FlowUnknown(flow_id):
                self.target_table.record_seen(sender, now=now)
                return self._handle_flow_unknown(sender, flow_id, now=now)
            case messages.FlowOwned(flow_id, wait_ms, opening):
                self.target_table.record_seen(sender, now=now)
                self.dispatcher.record_owned(sender, flow_id, wait_ms, now=now)
                return self._handle_flow_owned(
                    sender, flow_id, opening, now=now
                )
            case messages.FlowDoubted(flow_id):
                self.target_table.record_seen(sender, now=now)
                return self._handle_flow_doubted(sender, flow_id, now=now)
            case messages.FlowsListed(flow_ids, wait_ms):
                self.target_table.record_seen(sender, now=now)
                self.dispatcher.record_listed(
                    sender, flow_ids, wait_ms, now=now
                )
                return self._handle_flows_listed(sender, message, now=now)
            case messages.Relayed(agent, forward):
                return self._relay_packet(agent, forward, now=now)
            case messages.PeerStatus():
                self.fetcher.note_position(sender, message.position, now=now)
                self.peers.handle_status(sender, message, now=now)
                for agent in message.agents:
                    self.target_table.add(agent, now=now)
                return []
            case _:
                self.count("unexpected_messages")
                return []

    def _relay_packet(
        self, agent: str, forward: messages.Forward, *, now: float
    ) -> list[messages.Action]:
        """Relays a packet for a balancer that can't reach the agent."""
        target = self.target_table.target_by_address.get(agent)
        if target is None or target.is_lost(now):
            self.count("relayed_in_vain")
            return []
        return [messages.Send(agent, forward)]

    def _handle_flow_owned(
        self,
        agent: str,
        flow_id: segments.FlowId,
        opening: messages.FlowOpening | None,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Caches that a flow belongs to an agent, and ends any search."""
        service = self._service_of(agent)
        cached = self.cache.flow_by_id.get(flow_id)
        if cached is not None and self._holds(cached, agent, opening, now=now):
            self.count("claims_ignored")
            return [
                messages.LogEvent(
                    "flow_claim_ignored",
                    {
                        "flow": segments.flow_name(flow_id),
                        "agent": agent,
                        "holder": cached.agent,
                    },
                )
            ]
        offered = self.cache.find_opening(flow_id, agent)
        self.cache.set_owner(flow_id, agent, service, opening, now=now)
        actions: list[messages.Action] = []
        if offered is not None:
            actions.append(
                messages.Observe(
                    "opening_time", service, flow_id[2:], now - offered.sent_at
                )
            )
        search = self.cache.search_by_id.pop(flow_id, None)
        if search is None:
            return actions
        actions.append(
            messages.LogEvent(
                "flow_found",
                {
                    "flow": segments.flow_name(flow_id),
                    "agent": agent,
                    "after_ms": round(1000 * (now - search.started_at)),
                },
            )
        )
        actions += [
            messages.Send(agent, messages.Forward(service, False, data))
            for data in (search.segment.data, *search.buffered)
        ]
        return actions

    def _holds(
        self,
        cached: flow_cache.CachedFlow,
        agent: str,
        opening: messages.FlowOpening | None,
        *,
        now: float,
    ) -> bool:
        """Returns whether a cached flow outranks one that an agent reports.

        Of two flows of a client's port, the one that was opened later is the
        client's.
        """
        match cached.order(opening, now=now):
            case opening_copies.Order.LATER:
                return False
            case opening_copies.Order.EARLIER:
                return True
        return self._is_open_elsewhere(cached, agent, now=now)

    def _is_open_elsewhere(
        self, cached: flow_cache.CachedFlow, agent: str, *, now: float
    ) -> bool:
        """Returns whether a flow is already open at another agent's target.

        An agent that was suspended may accept an old opening after a copy of
        it went to another target. The client uses the target that answered
        first. If that isn't the cached target, the cached one returns the
        client's packets, and the balancer searches for the flow.
        """
        return (
            cached.accepted
            and cached.agent != agent
            and not self._is_lost(cached.agent, now=now)
        )

    def _handle_flows_listed(
        self,
        agent: str,
        listed: messages.FlowsListed,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Caches flows that an agent lists without a query."""
        actions: list[messages.Action] = []
        service = self._service_of(agent)
        for flow_id, opening in itertools.zip_longest(
            listed.flow_ids, listed.openings
        ):
            cached = self.cache.flow_by_id.get(flow_id)
            if flow_id in self.cache.search_by_id:
                actions += self._handle_flow_owned(
                    agent, flow_id, opening, now=now
                )
            elif cached is None or self._is_replaced_by(
                cached, opening, now=now
            ):
                self.cache.set_owner(flow_id, agent, service, opening, now=now)
        return actions

    def _is_replaced_by(
        self,
        cached: flow_cache.CachedFlow,
        opening: messages.FlowOpening | None,
        *,
        now: float,
    ) -> bool:
        """Returns whether a listed flow replaces a cached one."""
        match cached.order(opening, now=now):
            case opening_copies.Order.LATER:
                return True
            case opening_copies.Order.EARLIER:
                return False
        return not cached.accepted

    def handle_refusal(
        self,
        sender: str,
        reason: messages.Refusal,
        segment: segments.Segment,
        *,
        now: float,
        wait_ms: int | None = None,
    ) -> list[messages.Action]:
        """Offers another target an opening that an agent has refused."""
        return self.dispatcher.handle_refusal(
            sender, reason, segment, wait_ms=wait_ms, now=now
        )

    def handle_returned_packet(
        self, sender: str, segment: segments.Segment, *, now: float
    ) -> list[messages.Action]:
        """Searches for the flow of a packet that its cached agent returned."""
        flow = self.cache.flow_by_id.get(segment.flow_id)
        if flow is not None and flow.agent == sender:
            if not flow.accepted and flow.former_sequence is not None:
                # A late packet of the port's former flow: clients send only
                # openings until one is accepted.
                self.count("packets_of_former_flows")
                return []
            self.cache.remove(segment.flow_id)
            return self._search(segment, frozenset({sender}), now=now)
        return []

    def _handle_flow_doubted(
        self, sender: str, flow_id: segments.FlowId, *, now: float
    ) -> list[messages.Action]:
        """Asks other agents for a flow that was opened later than the cached.

        Their replies replace the cached flow only if they report one.
        """
        cached = self.cache.flow_by_id.get(flow_id)
        if cached is None or cached.agent != sender:
            return []
        self.count("flows_doubted")
        agents = {
            agent
            for agent in self.target_table.target_by_address
            if agent != sender and not self._is_lost(agent, now=now)
        }
        event = messages.LogEvent(
            "flow_doubted",
            {"flow": segments.flow_name(flow_id), "agent": sender},
        )
        return [event, *searches.queries(flow_id, agents, self.target_table)]

    def _handle_flow_unknown(
        self, sender: str, flow_id: segments.FlowId, *, now: float
    ) -> list[messages.Action]:
        """Handles the reply that only a target knows of a searched flow."""
        search = self.cache.search_by_id.get(flow_id)
        if search is None:
            return []
        table = self.target_table
        match searches.may_try(sender, flow_id, table, self.history):
            case route_history.Answer.YES:
                return searches.handle_unknown(
                    search, sender, table, self.configuration
                )
            case route_history.Answer.UNKNOWN:
                if not search.undecided:
                    self.count("searches_deferred")
                return searches.handle_undecided(search, sender, table)
        # A target of a service that the route never had can't hold the flow.
        return self._handle_flow_absent(sender, flow_id, now=now)

    def _resume_searches(self, *, now: float) -> list[messages.Action]:
        """Resumes the searches that waited for the history of their route.

        Without this, they would wait for the client's next packet, which it
        sends after 200 ms or more.
        """
        is_known = self.history.loaded and self.configuration is not None
        if is_known == self._history_known:
            return []
        self._history_known = is_known
        actions: list[messages.Action] = []
        for flow_id, search in list(self.cache.search_by_id.items()):
            undecided, search.undecided = search.undecided, set()
            for agent in sorted(undecided & search.pending):
                actions += self._handle_flow_unknown(agent, flow_id, now=now)
        return actions

    def _handle_flow_absent(
        self, sender: str, flow_id: segments.FlowId, *, now: float
    ) -> list[messages.Action]:
        """Handles the reply that a searched flow isn't open at a target.

        The flow is reset once all agents that aren't lost have sent that
        reply, unless the balancer still waits for agents after its start.
        Agents that it has learned of since the queries are queried first.
        """
        search = self.cache.search_by_id.get(flow_id)
        if search is None or flow_id in self.cache.flow_by_id:
            return []
        to_try = search.handle_absent(sender)
        if to_try or self._awaits_replies(search, now=now):
            return searches.try_targets(search, to_try, self.target_table)
        return self._end_search(search, now=now)

    def _end_search(
        self, search: flow_cache.Search, *, now: float
    ) -> list[messages.Action]:
        """Resets a searched flow, unless an agent hasn't been queried yet.

        Args:
            search: The search, of which no reply is awaited.
            now: Seconds.
        """
        known = self.target_table.target_by_address
        agents = {
            agent
            for agent in known.keys() - search.queried
            if not self._is_lost(agent, now=now)
        }
        if not agents:
            return self._reset(search.segment, "flow_unknown")
        search.add_agents(agents)
        flow_id = search.segment.flow_id
        return searches.queries(flow_id, agents, self.target_table)

    def _awaits_replies(
        self, search: flow_cache.Search, *, now: float
    ) -> bool:
        """Returns whether an agent may still reply that it has the flow."""
        if self._agents_incomplete(now):
            return True
        return not all(
            self._is_lost(agent, now=now) for agent in search.pending
        )

    def _end_searches(self, *, now: float) -> list[messages.Action]:
        """Resets searched flows that only lost agents could have.

        A client that isn't told waits for its deadline. Replies and packets
        of a flow end its search where they are handled, so only a newly lost
        agent can end others.
        """
        known = self.target_table.target_by_address
        lost = frozenset(
            agent for agent in known if self._is_lost(agent, now=now)
        )
        newly_lost = lost - self._lost_agents
        self._lost_agents = lost
        if not newly_lost or self._agents_incomplete(now):
            return []
        # There may be thousands of searches, so the agents that may reply are
        # determined once for all of them.
        alive = known.keys() - lost
        actions: list[messages.Action] = []
        for search in list(self.cache.search_by_id.values()):
            if search.pending.isdisjoint(alive):
                actions += self._end_search(search, now=now)
        return actions

    def _handle_announcement(
        self,
        sender: str,
        announcement: messages.Announcement,
        *,
        now: float,
    ) -> list[messages.Action]:
        self.fetcher.note_position(sender, announcement.position, now=now)
        for peer in announcement.balancers:
            self.peers.add(peer, now=now)
        target = self.target_table.target_by_address.get(sender)
        previous = target.announcement if target is not None else None
        changed = self.target_table.apply_announcement(
            sender, announcement, now=now
        )
        actions: list[messages.Action] = []
        if announcement.wait_ms is None and (
            previous is None or previous.run_id != announcement.run_id
        ):
            # The agent has just started, or this balancer has.
            actions.append(_capabilities(sender))
        if not changed:
            return actions
        ended = announcement.state == messages.TargetState.DOWN or (
            previous is not None
            and previous.incarnation not in ("", announcement.incarnation)
            and announcement.incarnation != ""
        )
        if ended:
            actions += self._reset_flows_of(sender)
        elif previous is None or previous.service != announcement.service:
            # Flows of another service were open at a former target of the
            # address, which has ended. Its successor's first announcements
            # name no incarnation.
            actions += self._reset_flows_of(
                sender, except_service=announcement.service
            )
        return [
            *actions,
            *self._handle_early_packets(now=now),
            *self.dispatcher.offer_postponed(now=now),
            messages.LogEvent(
                "target_announced",
                {
                    "agent": sender,
                    "service": announcement.service,
                    "state": announcement.state.name.lower(),
                    "incarnation": announcement.incarnation,
                    "failing": announcement.failing,
                    "restarting": announcement.restarting,
                    "sequence": announcement.sequence,
                },
            ),
        ]

    def _reset_flows_of(
        self, agent: str, *, except_service: str = ""
    ) -> list[messages.Action]:
        """Resets the flows of a target that has ended.

        A client whose flow is reset while idle sends its next request on a
        new flow. Without the reset, a request that may run only once would be
        lost.

        Args:
            agent: Address of the target's agent.
            except_service: Service whose flows are kept, empty to keep none.
        """
        actions: list[messages.Action] = []
        for flow_id, flow in self.cache.pop_flows_of(
            agent, except_service=except_service
        ):
            if not flow.established:
                continue
            self.count("reset_target_ended")
            actions += [
                messages.Reset(flow_id, flow.acknowledged),
                messages.LogEvent(
                    "flow_reset",
                    {
                        "flow": segments.flow_name(flow_id),
                        "reason": "target_ended",
                        "agent": agent,
                    },
                ),
            ]
        return actions

    # Periodic work.

    def tick(self, *, now: float) -> list[messages.Action]:
        """Performs periodic work; to be called every `TICK_S`."""
        actions: list[messages.Action] = []
        if self._ticked_at is not None:
            pause_s = now - self._ticked_at - TICK_S
            if pause_s > PAUSE_THRESHOLD_S:
                self.target_table.discount_pause(pause_s)
                actions.append(
                    messages.LogEvent("paused", {"seconds": round(pause_s, 2)})
                )
        self._ticked_at = now
        actions += self._handle_early_packets(now=now)
        actions += self.dispatcher.offer_postponed(now=now)
        actions += self._due_hellos(now)
        actions += self.target_table.probe_silent(now=now)
        actions += self.loads.update(
            self.target_table,
            data_centre=self.data_centre,
            closed_data_centres=self.closed_data_centres,
            now=now,
        )
        if now - self._statuses_sent_at >= peer_tables.STATUS_INTERVAL_S:
            self._statuses_sent_at = now
            actions += self.peers.statuses(
                self.target_table,
                position=self.fetcher.position,
                data_centre=self.data_centre,
                ready=self.ready(now=now),
                now=now,
            )
        actions += self._resume_searches(now=now)
        if self.cache.search_by_id:
            actions += self._end_searches(now=now)
        if now - self._swept_at >= CACHE_SWEEP_INTERVAL_S:
            self._swept_at = now
            self.cache.sweep(now=now)
        lost = self.target_table.remove_lost(now=now, after_s=AGENT_EXPIRY_S)
        for address in lost:
            self._hello_at_by_address.pop(address, None)
            actions.append(
                messages.LogEvent("agent_forgotten", {"agent": address})
            )
        return actions

    def make_hello(self, address: str, *, now: float) -> messages.Send:
        """Returns a hello to an agent, and notes when it was made."""
        self._hello_at_by_address[address] = now
        target = self.target_table.target_by_address.get(address)
        position, service = store_position.UNREAD, None
        if self.configuration is not None:
            service = self.configuration.service_by_name.get(
                self._service_of(address)
            )
        if service is not None:
            # Until it is known, hellos state nothing about the service, whose
            # limit may be in a configuration that hasn't arrived yet. Agents
            # of the previous version take the position for that of the
            # documents, and would fetch these after each read.
            announcement = target.announcement if target else None
            extended = announcement is None or announcement.wait_ms is not None
            position = self.position if extended else self.fetcher.position
        return messages.Send(
            address,
            messages.Hello(
                position=position,
                evacuated=(
                    target is not None
                    and target.data_centre in self.closed_data_centres
                ),
                cold_per_second=service.cold_per_second if service else 0.0,
                registered=not self.agents_loaded
                or (target is not None and target.registered),
                data_centre=self.data_centre,
                agents=len(self.target_table.target_by_address),
                flows_requested=target is None or target.last_seen_at is None,
                service=service.name if service else None,
                version=messages.MESSAGES_VERSION,
            ),
        )

    def _due_hellos(self, now: float) -> list[messages.Action]:
        actions: list[messages.Action] = []
        regular_interval_s = pacing.hello_interval_s(
            len(self.target_table.target_by_address)
        )
        for address, target in self.target_table.target_by_address.items():
            interval_s = (
                regular_interval_s
                if target.announcement is not None
                and not target.restart_expected
                and target.silent_s(now) < targets.LOST_S
                else FIRST_HELLO_INTERVAL_S
            )
            hello_at = self._hello_at_by_address.get(address, float("-inf"))
            if now - hello_at >= interval_s:
                actions.append(self.make_hello(address, now=now))
                if (
                    target.announcement is None
                    or target.announcement.wait_ms is None
                ):
                    actions.append(_capabilities(address))
        return actions

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1
