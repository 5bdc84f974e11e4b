"""Openings of flows at a balancer: who gets them, and who is refused."""

from collections.abc import Callable
import zlib

import attrs

from godwitturn.core.transparent import flow_cache
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import opening_copies
from godwitturn.core.transparent import opening_queue
from godwitturn.core.transparent import routes
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import service_load
from godwitturn.core.transparent import targets

# Clients repeat an opening after 200 ms. If the agent hasn't replied within
# this time, the repeated opening is offered to another target.
OPENING_TIMEOUT_S = 0.15
# Largest number of targets that an opening is offered to.
MAX_TRIES = 4
# Time after the start during which openings are postponed if targets or the
# configuration are missing. Later, such openings are reset at once.
POSTPONEMENT_PERIOD_S = 2.0
# Refusals after which the target remains as good as its wait says. After
# others, it is avoided for a while.
_UNPAUSED_REASONS = frozenset(
    {messages.Refusal.BUSY, messages.Refusal.OVERLOADED}
)


def _understands_terms(target: targets.Target | None) -> bool:
    """Returns whether a target's agent can decode terms."""
    return (
        target is not None
        and target.announcement is not None
        and target.announcement.wait_ms is not None
    )


@attrs.define(eq=False, repr=False)
class Postponed:
    """An opening postponed shortly after the start.

    Attributes:
        segment: The opening.
        arrived_at: When it arrived, in seconds.
    """

    segment: segments.Segment
    arrived_at: float


@attrs.define(eq=False, repr=False)
class Dispatcher:
    """Offers openings to targets.

    Attributes:
        data_centre: Data centre of this balancer.
        started_at: When the balancer started, in seconds.
        target_table: Targets.
        cache: Flows with the agents that they belong to.
        loads: Loads of the services.
        count: Adds one to a counter.
        reset: Resets a client's flow; takes a packet, the reason, and fields
            of the log event.
        configuration: The operators' configuration, None until received.
        closed_data_centres: Data centres whose targets get no new flows.
        postponed_by_id: Openings postponed shortly after the start.
    """

    data_centre: str
    started_at: float
    target_table: targets.TargetTable
    cache: flow_cache.FlowCache
    loads: service_load.LoadTable
    count: Callable[[str], None]
    reset: Callable[..., list[messages.Action]]
    configuration: routes.Configuration | None = None
    closed_data_centres: frozenset[str] = frozenset()
    postponed_by_id: dict[segments.FlowId, Postponed] = attrs.field(
        factory=dict
    )

    def open(
        self,
        segment: segments.Segment,
        flow: flow_cache.CachedFlow | None,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Forwards an opening to its agent, or offers it to a target."""
        if flow is None:
            return self._offer(segment, None, now=now)
        if segment.sequence == flow.former_sequence:
            self.count("outdated_openings")
            return []
        match flow.relate(segment, now=now):
            case opening_copies.Relation.NEW:
                return self._open_anew(segment, flow, now=now)
            case opening_copies.Relation.UNCERTAIN if flow.accepted:
                return self._probe_agent(segment, flow, now=now)
        if flow.accepted or now - flow.sent_at < OPENING_TIMEOUT_S:
            return [self._forward_copy(segment, flow)]
        if now - flow.opened_at > opening_queue.CLIENT_PATIENCE_S:
            # The client has given up the opening and uses the port again.
            return self._open_anew(segment, flow, now=now)
        flow.unanswered = True
        return self._offer(segment, flow, now=now)

    def _probe_agent(
        self,
        segment: segments.Segment,
        flow: flow_cache.CachedFlow,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Sends an opening to the agent of the port's accepted flow.

        The agent delivers it if it is a copy, whose flow must not move to
        another target, and returns it otherwise. The service in the message is
        empty, so that the agent never admits it as a new opening: the route
        may no longer have that agent's service.
        """
        target = self.target_table.target_by_address.get(flow.agent)
        if target is None or target.silent_s(now) > targets.SILENT_S:
            return self._open_anew(segment, flow, now=now)
        probe = flow.probe
        if probe is not None and probe.sequence == segment.sequence:
            if now - probe.sent_at < OPENING_TIMEOUT_S:
                return []
            return self._open_anew(segment, flow, now=now)
        flow.probe = flow_cache.OpeningProbe(segment.sequence, now)
        self.count("openings_probed")
        forward = messages.Forward("", True, segment.data)
        return [messages.Send(flow.agent, forward)]

    def _forward_copy(
        self, segment: segments.Segment, flow: flow_cache.CachedFlow
    ) -> messages.Send:
        """Forwards a copy of an opening to the agent that has the flow."""
        target = self.target_table.target_by_address.get(flow.agent)
        terms = flow.terms if _understands_terms(target) else None
        service = flow.service or self.target_table.service_of(flow.agent)
        forward = messages.Forward(service, False, segment.data, terms)
        return messages.Send(flow.agent, forward)

    def _open_anew(
        self,
        segment: segments.Segment,
        former: flow_cache.CachedFlow,
        *,
        now: float,
        agent_informed: bool = False,
    ) -> list[messages.Action]:
        """Offers an opening from a port whose former flow is cached.

        Args:
            segment: The opening.
            former: The former flow.
            now: Seconds.
            agent_informed: Whether the former flow's agent has seen the
                opening.
        """
        self.count("ports_used_again")
        self.cache.remove(segment.flow_id)
        event = messages.LogEvent(
            "port_used_again",
            {
                "flow": segments.flow_name(segment.flow_id),
                "former_agent": former.agent,
                "former_age_s": round(now - former.opened_at, 2),
            },
        )
        actions = self._offer(segment, None, now=now)
        flow = self.cache.flow_by_id.get(segment.flow_id)
        if former.sequence == segment.sequence:
            return [event, *actions]
        if flow is not None:
            flow.former_sequence = former.sequence
        if agent_informed:
            return [event, *actions]
        used_again = messages.PortUsedAgain(segment.flow_id, segment.sequence)
        return [event, messages.Send(former.agent, used_again), *actions]

    def _offer(
        self,
        segment: segments.Segment,
        flow: flow_cache.CachedFlow | None,
        *,
        now: float,
        refused: bool = False,
        arrived_at: float | None = None,
    ) -> list[messages.Action]:
        """Offers an opening to the best target that hasn't been tried.

        One whose client has given up meanwhile is dropped.

        Args:
            segment: The opening.
            flow: The flow as cached, None for a new one.
            now: Seconds.
            refused: Whether the flow's agent has refused the opening.
            arrived_at: When it arrived, if it was postponed.
        """
        if flow is not None:
            opened_at = flow.opened_at
        else:
            opened_at = now if arrived_at is None else arrived_at
            opened_at -= opening_queue.copy_delay_s(segment)
        if now - opened_at > opening_queue.CLIENT_PATIENCE_S:
            self.count("openings_expired")
            return []
        configuration = self.configuration
        if configuration is None:
            if now - self.started_at > POSTPONEMENT_PERIOD_S:
                return self.reset(segment, "no_configuration")
            self._postpone(segment, now=now)
            return []
        route = configuration.route_by_endpoint.get(segment.flow_id[2:])
        if route is None:
            return self.reset(segment, "no_route")
        tried = flow.tried_agents if flow is not None else set()
        if len(tried) >= MAX_TRIES:
            return self.reset(segment, "tries_spent")
        flow_hash = zlib.crc32(b"%d.%d.%d.%d" % segment.flow_id)
        unanswered = flow is not None and flow.unanswered
        # A reset would end a flow that another agent may have queued or
        # opened. Routes without an objective have no such limit.
        limited = (
            route.objective_ms > 0 and route.timeout_ms > 0 and not unanswered
        )
        remaining_s = route.timeout_ms / 1000 - (now - opened_at)
        overloaded: dict[str, object] = {}
        services = routes.rank_services(route, flow_hash)
        for service in services:
            load = self.loads.load_of(service)
            if flow is None:
                load.record_asked()
            if limited and load.unanswerable(remaining_s, now=now):
                wait_ms = round(1000 * load.total.least_wait_s)
                overloaded = {"service": service, "wait_ms": wait_ms}
                continue
            placement = self.target_table.place(
                self._make_request(service, route, tried, flow_hash), now=now
            )
            if placement is not None:
                break
        else:
            if overloaded:
                return self.reset(segment, "overloaded", **overloaded)
            excluded = set(tried)
            if flow is not None and not refused:
                excluded.discard(flow.agent)
            awaited = self._find_awaited(
                services, route, excluded, flow_hash, now=now
            )
            if awaited is None:
                return self._reject(segment, tried, now=now)
            service = awaited.service
            placement = targets.Placement(awaited)
        target = placement.target
        waited_s = now - opened_at - opening_queue.copy_delay_s(segment)
        terms = self._terms(route, placement, len(tried), waited_s)
        tried.add(target.address)
        self.cache.flow_by_id[segment.flow_id] = flow_cache.CachedFlow(
            agent=target.address,
            accepted=False,
            tried_agents=tried,
            sent_at=now,
            used_at=now,
            opened_at=opened_at,
            terms=terms,
            unanswered=unanswered,
            service=service,
            sequence=segment.sequence,
            former_sequence=flow.former_sequence if flow else None,
        )
        fields: dict[str, object] = {
            "flow": segments.flow_name(segment.flow_id),
            "agent": target.address,
            "service": service,
            "version": configuration.version,
            "load": round(target.load(), 2),
            "age_ms": round(1000 * min(target.silent_s(now), 999)),
            "try": len(tried),
        }
        if placement.level_s is not None:
            self.count("openings_spread")
            fields["wait_ms"] = round(1000 * placement.expected_wait_s)
            fields["level_ms"] = round(1000 * placement.level_s)
        return [
            messages.Send(
                target.address,
                messages.Forward(service, False, segment.data, terms),
            ),
            messages.LogEvent("opening_forwarded", fields),
        ]

    def _make_request(
        self,
        service: str,
        route: routes.Route,
        excluded: set[str],
        flow_hash: int,
    ) -> targets.TargetRequest:
        """Returns an opening's request for a target of a service.

        The target is drawn by predicted backlogs if these are in force for the
        service and the route has an objective.
        """
        load = self.loads.load_of(service)
        spread = route.objective_ms > 0 and load.spreading
        return targets.TargetRequest(
            service=service,
            data_centre=self.data_centre,
            closed_data_centres=self.closed_data_centres,
            max_flows=self._max_flows(service),
            excluded=frozenset(excluded),
            flow_hash=flow_hash,
            fleet=load.fleet if spread else None,
            objective_s=route.objective_ms / 1000,
        )

    def _find_awaited(
        self,
        services: tuple[str, ...],
        route: routes.Route,
        excluded: set[str],
        flow_hash: int,
        *,
        now: float,
    ) -> targets.Target | None:
        """Returns a target of the services whose agent restarts, if any."""
        for service in services:
            request = self._make_request(service, route, excluded, flow_hash)
            target = self.target_table.find_awaited(request, now=now)
            if target is not None:
                return target
        return None

    def _max_flows(self, service: str) -> int:
        """Returns the flows that one target of a service may have open."""
        configuration = self.configuration
        settings = (
            configuration.service_by_name.get(service)
            if configuration is not None
            else None
        )
        return settings.max_flows if settings else 1

    def _terms(
        self,
        route: routes.Route,
        placement: targets.Placement,
        tries: int,
        waited_s: float,
    ) -> messages.RequestTerms | None:
        """Returns the terms for an agent that understands them, else None.

        Agents count the time from their copy of the opening, with a fixed
        cost of each try. Time that it has waited beyond that, postponed or
        queued, is taken off the objective and the timeout.
        """
        if placement.level_s is None or not _understands_terms(
            placement.target
        ):
            return None
        objective_ms, timeout_ms = route.objective_ms, route.timeout_ms
        waited_s -= tries * opening_queue.HANDOVER_COST_S
        if waited_s > opening_queue.HANDOVER_COST_S:
            waited_ms = round(1000 * waited_s)
            patience_ms = round(1000 * opening_queue.CLIENT_PATIENCE_S)
            timeout_ms = min(timeout_ms or patience_ms, patience_ms)
            timeout_ms = max(1, timeout_ms - waited_ms)
            objective_ms = max(1, objective_ms - waited_ms)
        return messages.RequestTerms(
            priority=route.priority,
            objective_ms=objective_ms,
            timeout_ms=timeout_ms,
            expected_wait_ms=round(1000 * placement.expected_wait_s),
            tries=tries,
        )

    def _reject(
        self, segment: segments.Segment, tried: set[str], *, now: float
    ) -> list[messages.Action]:
        """Resets an opening, or postpones it shortly after the start."""
        if now - self.started_at < POSTPONEMENT_PERIOD_S and not tried:
            self._postpone(segment, now=now)
            return []
        return self.reset(segment, "no_target", tried=len(tried))

    def _postpone(self, segment: segments.Segment, *, now: float) -> None:
        postponed = self.postponed_by_id.get(segment.flow_id)
        if postponed is None or postponed.segment.sequence != segment.sequence:
            self.postponed_by_id[segment.flow_id] = Postponed(segment, now)

    def offer_postponed(self, *, now: float) -> list[messages.Action]:
        """Offers openings that were postponed shortly after the start.

        Targets or the configuration were missing then. Openings of higher
        priority are offered first, others in the order of arrival. Openings
        whose client has given up are dropped.
        """
        if not self.postponed_by_id:
            return []
        actions: list[messages.Action] = []
        postponed, self.postponed_by_id = self.postponed_by_id, {}
        for opening in sorted(
            postponed.values(),
            key=lambda each: (self._priority(each.segment), each.arrived_at),
        ):
            flow_id = opening.segment.flow_id
            if flow_id not in self.cache.flow_by_id:
                actions += self._offer(
                    opening.segment,
                    None,
                    now=now,
                    arrived_at=opening.arrived_at,
                )
                again = self.postponed_by_id.get(flow_id)
                if again is not None:
                    again.arrived_at = opening.arrived_at
        return actions

    def _priority(self, segment: segments.Segment) -> int:
        if self.configuration is None:
            return 0
        route = self.configuration.route_by_endpoint.get(segment.flow_id[2:])
        return route.priority if route is not None else 0

    def handle_refusal(
        self,
        sender: str,
        reason: messages.Refusal,
        segment: segments.Segment,
        *,
        wait_ms: int | None,
        now: float,
    ) -> list[messages.Action]:
        """Offers another target an opening that an agent has refused.

        Args:
            sender: The agent.
            reason: Its reason.
            segment: The opening.
            wait_ms: The agent's expected wait in milliseconds, None if it
                sent none.
            now: Seconds.
        """
        self.count(f"refused_{reason.name.lower()}")
        target = self.target_table.target_by_address.get(sender)
        if target is not None and reason not in _UNPAUSED_REASONS:
            target.paused_until = now + targets.REFUSAL_PAUSE_S
        flow = self.cache.flow_by_id.get(segment.flow_id)
        if flow is not None and flow.sequence not in (None, segment.sequence):
            return []  # an opening of the port's former flow
        if (
            flow is not None
            and flow.agent == sender
            and flow.probe is not None
            and flow.probe.sequence == segment.sequence
        ):
            return self._open_anew(segment, flow, now=now, agent_informed=True)
        if reason is messages.Refusal.NOT_A_COPY:
            return []  # decided anew meanwhile
        if target is not None:
            if flow is not None and flow.agent == sender:
                target.load_information.record_reply(
                    flow.sent_at, admitted=False
                )
            self.record_wait(target, wait_ms, opened=False, now=now)
        if flow is None:
            flow = flow_cache.CachedFlow(sender, False, {sender}, now, now)
            flow.opened_at = now - opening_queue.copy_delay_s(segment)
        elif flow.agent != sender:
            return []  # meanwhile offered to another target
        return [
            messages.LogEvent(
                "opening_refused",
                {
                    "flow": segments.flow_name(segment.flow_id),
                    "agent": sender,
                    "reason": reason.name.lower(),
                    "wait_ms": wait_ms,
                },
            ),
            *self._offer(segment, flow, now=now, refused=True),
        ]

    def record_owned(
        self,
        agent: str,
        flow_id: segments.FlowId,
        wait_ms: int | None,
        *,
        now: float,
    ) -> None:
        """Updates what is known of a target's load from its reply.

        Args:
            agent: The agent that reports a flow as its own.
            flow_id: The flow, before it is cached as the agent's own.
            wait_ms: The agent's expected wait in milliseconds, if any.
            now: Seconds.
        """
        target = self.target_table.target_by_address.get(agent)
        if target is None:
            return
        opening = self.cache.find_opening(flow_id, agent)
        if opening is not None:
            target.load_information.record_reply(
                opening.sent_at, admitted=True
            )
            self.loads.load_of(target.service).record_reply(
                now - opening.sent_at
            )
        self.record_wait(target, wait_ms, opened=opening is not None, now=now)

    def record_listed(
        self,
        agent: str,
        flow_ids: tuple[segments.FlowId, ...],
        wait_ms: int | None,
        *,
        now: float,
    ) -> None:
        """Updates what is known of a target's load from listed flows.

        A single flow was opened just now through another balancer of this
        data centre. Longer lists contain earlier flows.
        """
        target = self.target_table.target_by_address.get(agent)
        if target is None:
            return
        opened = (
            len(flow_ids) == 1 and flow_ids[0] not in self.cache.flow_by_id
        )
        if opened:
            target.load_information.record_listed()
            self.loads.load_of(target.service).record_asked()
        self.record_wait(target, wait_ms, opened=opened, now=now)

    def record_wait(
        self,
        target: targets.Target,
        wait_ms: int | None,
        *,
        opened: bool,
        now: float,
    ) -> None:
        """Updates a target's wait, if the agent sent one."""
        if wait_ms is not None:
            load = self.loads.load_of(target.service)
            target.load_information.record_wait(
                wait_ms / 1000, now=now, delay_s=load.delay_s, opened=opened
            )
