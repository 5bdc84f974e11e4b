"""Decisions of a balancer: which agent or caller each datagram goes to."""

import collections
import math

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer_replies as replies
from godwitturn.core import events
from godwitturn.core import identity
from godwitturn.core import openings
from godwitturn.core import routes
from godwitturn.core import routing
from godwitturn.core import token as tokens
from godwitturn.core import verdict
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets

STOP_GRACE_SECONDS = 2.0
# Between two events of one number, since anyone can send malformed datagrams.
EVENT_INTERVAL_SECONDS = 1.0
NEWER_VERSION_INTERVAL_SECONDS = 1.0
# Another balancer probably serves a caller that this closed one refuses.
CLOSED_RETRY_DELAY_MS = 100
# A caller's kind from an agent would be answered by a balancer again and
# again if the packet's caller address were that of a balancer. RESEND tells
# of a balancer, so an agent has no use for it.
AGENT_KINDS = (
    frozenset(packets.Kind) - packets.CALLER_KINDS - {packets.Kind.RESEND}
)

_OPEN = int(packets.Kind.OPEN)
_OPEN_BYTES = packets.HEADER_BYTES + packets.OPEN_PAYLOAD_BYTES
_CALLER_KIND_NUMBERS = frozenset(int(kind) for kind in packets.CALLER_KINDS)
_DELIVER = encapsulation.Kind.DELIVER

_Actions = list[actions.BalancerAction]


class Balancer:
    """A balancer without I/O; it keeps no state of single flows.

    Attributes:
        counters: Number of datagrams by outcome.
        evidence: Recent evidence about targets.
        fenced: Whether nothing is forwarded.
    """

    def __init__(
        self,
        *,
        member_id: identity.MemberId,
        token_keys: list[tokens.TokenKey],
        seed: int,
    ) -> None:
        """Starts fenced and without targets.

        Args:
            member_id: The balancer's own id.
            token_keys: The valid token keys of all services.
            seed: Varies the jitter of retry delays between balancers.
        """
        self.counters: collections.Counter[str] = collections.Counter()
        self.fenced = True
        # Why nothing is taken from callers, or None.
        self._closed: verdict.Reason | None = verdict.Reason.FENCED
        self._member_id = member_id
        self._token_keys = tokens.keys_by_id(token_keys)
        self._routes = routes.Routes()
        self._openings = openings.Openings(
            self._routes,
            openings.flow_hashers(token_keys),
            self.counters,
            seed,
        )
        self.target_stats = self._openings.target_stats
        self._emitted_at: dict[events.EventId, float] = {}
        self._newer_version_at = -math.inf
        self._stop_at: float | None = None

    @property
    def table(self) -> routing.RoutingTable:
        """The routing table in force."""
        return self._routes.table

    def handle(
        self, event: actions.BalancerEvent, *, now: float
    ) -> list[actions.BalancerAction]:
        """Decides on one event.

        Args:
            event: What happened.
            now: Seconds of a monotonic clock.

        Returns:
            What the daemon has to do, in order.
        """
        match event:
            case actions.CallerDatagram():
                return self._caller_datagram(event.source, event.data, now)
            case actions.AgentDatagram():
                return self._agent_datagram(event.source, event.data, now)
            case actions.Tick():
                self._routes.ramp(now)
                return self._stopped_if_due(now)
            case actions.RoutingChanged():
                return self._routing_changed(event.table, now)
            case actions.FenceChanged():
                return self._fence_changed(event.fenced)
            case actions.StopRequested():
                if self._stop_at is None:
                    self._stop_at = now + STOP_GRACE_SECONDS
                return []

    # Datagrams of callers

    def _caller_datagram(
        self, source: addresses.Address, data: bytes, now: float
    ) -> _Actions:
        route = packets.parse_route(data)
        if route is None:
            return self._malformed(now)
        kind, service_id, flow_id, token_bytes = route
        if kind == _OPEN:
            # An agent's ACCEPT has the size of a padded opening, so a shorter
            # one would be answered by more bytes than it has.
            if len(data) != _OPEN_BYTES or token_bytes != tokens.EMPTY:
                return self._malformed(now)
            return self._opening(source, data, service_id, flow_id, now)
        if kind not in _CALLER_KIND_NUMBERS:
            return self._malformed(now)
        token = tokens.unseal(token_bytes, flow_id, self._token_keys)
        if self._closed is not None:
            self._dropped(self._closed.name.lower())
            if token is None or token.service_id != service_id:
                return []
            return self._not_forwarded(self._closed, source, data)
        if token is None:
            return self._not_authentic(source, route, now)
        if token.service_id != service_id:
            return self._dropped("wrong_service")
        target = self._routes.target_by_id.get(token.target_id)
        if (
            target is None
            or target.service_id != service_id
            or target.data_centre_out
            or target.address is None
        ):
            if target is None and not self._routes.is_withdrawn(
                token.target_id, now
            ):
                return self._dropped("unknown_target")
            return self._unreachable(source, target, route)
        self.counters["forwarded_established"] += 1
        return self._deliver(target, source, data)

    def _not_forwarded(
        self,
        reason: verdict.Reason,
        source: addresses.Address,
        data: bytes,
    ) -> _Actions:
        """Answers an authentic packet that a closed balancer drops."""
        notice = replies.resend_notice(data, reason)
        if notice is None:
            return []
        self.counters["resend_notices"] += 1
        return [actions.SendToCaller(source, notice)]

    def _not_authentic(
        self,
        source: addresses.Address,
        route: tuple[int, int, int, bytes],
        now: float,
    ) -> _Actions:
        _, service_id, flow_id, token = route
        if token == tokens.EMPTY:
            reason = verdict.Reason.TOKEN_INVALID
            self.counters["reset_token_invalid"] += 1
            data = replies.reset(service_id, flow_id, reason)
            return [actions.SendToCaller(source, data)]
        self.counters["dropped_forged_token"] += 1
        return self._emit(events.EventId.BALANCER_FORGED_TOKEN, now)

    def _unreachable(
        self,
        source: addresses.Address,
        target: routing.Target | None,
        route: tuple[int, int, int, bytes],
    ) -> _Actions:
        """Answers an authentic packet whose target can't be reached."""
        _, service_id, flow_id, token = route
        if target is None or target.service_id != service_id:
            reason = verdict.Reason.NOT_APPROVED
        elif target.data_centre_out:
            reason = verdict.Reason.DATA_CENTRE_OUT
        else:
            # The announcement may only be late; the caller repeats the packet
            # until the target is back or declared lost.
            return self._dropped("no_address")
        self.counters[f"reset_{reason.name.lower()}"] += 1
        data = replies.reset(service_id, flow_id, reason, token)
        return [actions.SendToCaller(source, data)]

    def _opening(
        self,
        source: addresses.Address,
        data: bytes,
        service_id: int,
        flow_id: int,
        now: float,
    ) -> _Actions:
        if self._closed is not None:
            reason = self._closed
            return self._refuse(source, service_id, flow_id, reason, now)
        chosen = self._openings.choose(service_id, flow_id, now)
        if not chosen:
            reason = verdict.Reason.NO_TARGET
            return self._refuse(source, service_id, flow_id, reason, now)
        candidates = tuple([target.member_id for target in chosen[1:]])
        return self._offer(chosen[0], source, data, 0, candidates, now)

    def _offer(
        self,
        target: routing.Target,
        caller: addresses.Address,
        data: bytes,
        tries: int,
        candidates: tuple[identity.MemberId, ...],
        now: float,
    ) -> _Actions:
        self.target_stats.opening_sent(target.member_id, now)
        self.counters["forwarded_open"] += 1
        return self._deliver(target, caller, data, tries, candidates)

    def _deliver(
        self,
        target: routing.Target,
        caller: addresses.Address,
        data: bytes,
        tries: int = 0,
        candidates: tuple[identity.MemberId, ...] = (),
    ) -> _Actions:
        assert target.address is not None  # both callers made sure
        message = encapsulation.Message(
            _DELIVER,
            self._member_id,
            target.member_id,
            self._routes.table.version,
            caller,
            data,
            tries,
            candidates,
        )
        try:
            encoded = encapsulation.encode(message, target.pair_key)
        except OSError:  # an IPv6 address with a zone has no packed form
            return self._dropped("caller_address")
        return [actions.SendToAgent(target.address, encoded)]

    def _refuse(
        self,
        caller: addresses.Address,
        service_id: int,
        flow_id: int,
        reason: verdict.Reason,
        now: float,
    ) -> _Actions:
        self.counters[f"refused_{reason.name.lower()}"] += 1
        delay_ms = CLOSED_RETRY_DELAY_MS
        if self._closed is None:
            delay_ms = self._openings.retry_delay_ms(service_id, flow_id, now)
        data = replies.refusal(service_id, flow_id, reason, delay_ms)
        return [actions.SendToCaller(caller, data)]

    # Datagrams of agents

    def _agent_datagram(
        self, source: addresses.Address, data: bytes, now: float
    ) -> _Actions:
        message = encapsulation.decode(data, self._routes.pair_key_by_id)
        if message is None:
            self.counters["dropped_agent_not_authentic"] += 1
            return self._emit(events.EventId.BALANCER_MALFORMED, now)
        if message.destination != self._member_id:
            return self._dropped("agent_wrong_destination")
        if message.configuration_version > self._routes.table.version:
            newer = self._newer_version(message.configuration_version, now)
        else:
            newer = []
        match message.kind:
            case encapsulation.Kind.RETURN:
                return newer + self._returned(message, now)
            case encapsulation.Kind.OPEN_RETURNED:
                return newer + self._opening_returned(message, now)
            case encapsulation.Kind.CORRECTION:
                return newer + self._corrected(message.sender, source, now)
            case _:
                return newer + self._dropped("agent_kind")

    def _newer_version(self, version: int, now: float) -> _Actions:
        if now - self._newer_version_at < NEWER_VERSION_INTERVAL_SECONDS:
            return []
        self._newer_version_at = now
        return [actions.NewerVersionSeen(version)]

    def _inner(self, message: encapsulation.Message) -> packets.Packet | None:
        """Returns the packet of a message if it is of the sender's service."""
        inner = packets.decode(message.packet)
        sender = self._routes.target_by_id[message.sender]
        if inner is None or inner.service_id != sender.service_id:
            return None
        return inner

    def _returned(
        self, message: encapsulation.Message, now: float
    ) -> _Actions:
        inner = self._inner(message)
        if inner is None or inner.kind not in AGENT_KINDS:
            return self._dropped("agent_inner")
        if inner.kind == packets.Kind.ACCEPT:
            self.target_stats.opening_accepted(
                message.sender, message.load, now
            )
        else:
            self.target_stats.record(message.sender, message.load, now)
        if self.fenced:
            return self._dropped("fenced")
        self.counters["forwarded_return"] += 1
        return [actions.SendToCaller(message.caller, message.packet)]

    def _opening_returned(
        self, message: encapsulation.Message, now: float
    ) -> _Actions:
        inner = self._inner(message)
        if (
            inner is None
            or inner.kind != packets.Kind.OPEN
            or len(message.packet) != _OPEN_BYTES
        ):
            return self._dropped("agent_inner")
        self.target_stats.opening_returned(message.sender, message.load, now)
        reason = inner.reason or verdict.Reason.NO_TARGET
        if self.fenced:
            reason = verdict.Reason.FENCED
        elif target := self._openings.next_target(
            message, inner.service_id, now
        ):
            self.counters["retried_open"] += 1
            index = message.candidates.index(target.member_id)
            return self._offer(
                target,
                message.caller,
                packets.without_reason(message.packet),
                message.tries,
                message.candidates[index + 1 :],
                now,
            )
        return self._refuse(
            message.caller, inner.service_id, inner.flow_id, reason, now
        )

    def _corrected(
        self, sender: identity.MemberId, source: addresses.Address, now: float
    ) -> _Actions:
        self.counters["corrections"] += 1
        if not self._routes.correct(sender, source, now):
            return []
        fields = {"address": str(source), "member_id": sender}
        return self._emit(events.EventId.BALANCER_CORRECTED, now, fields)

    # Changes and time

    def _routing_changed(
        self, table: routing.RoutingTable, now: float
    ) -> _Actions:
        # An accepted configuration never reverts.
        if table.version < self._routes.table.version:
            return self._dropped("older_table")
        is_new = table.conflicts != self._routes.table.conflicts
        self._routes.replace(table, now)
        self._update_closed()
        self.target_stats.keep_only(table.target_by_id.keys())
        if not table.conflicts or not is_new:
            return []
        conflicts = [f"{c.member_id}: {c.kind}" for c in table.conflicts]
        return self._emit(
            events.EventId.BALANCER_CONFLICT, now, {"conflicts": conflicts}
        )

    def _update_closed(self) -> None:
        # Agents answer through the balancer that a packet came by, so a
        # balancer in a data centre that is out must not forward either.
        self._closed = None
        if self.fenced:
            self._closed = verdict.Reason.FENCED
        elif self._routes.table.own_data_centre_out:
            self._closed = verdict.Reason.DATA_CENTRE_OUT

    def _fence_changed(self, fenced: bool) -> _Actions:
        if fenced == self.fenced:
            return []
        self.fenced = fenced
        self._update_closed()
        event_id = (
            events.EventId.BALANCER_FENCED
            if fenced
            else events.EventId.BALANCER_OPENED
        )
        return [actions.Emit(events.LogEvent(event_id))]

    def _stopped_if_due(self, now: float) -> _Actions:
        if self._stop_at is None or now < self._stop_at:
            return []
        self._stop_at = math.inf
        stopped = events.LogEvent(events.EventId.BALANCER_STOPPED)
        return [actions.Emit(stopped), actions.Stopped()]

    def _dropped(self, cause: str) -> _Actions:
        self.counters["dropped_" + cause] += 1
        return []

    def _malformed(self, now: float) -> _Actions:
        self.counters["dropped_malformed"] += 1
        return self._emit(events.EventId.BALANCER_MALFORMED, now)

    def _emit(
        self,
        event_id: events.EventId,
        now: float,
        fields: dict[str, object] | None = None,
    ) -> _Actions:
        last = self._emitted_at.get(event_id, -math.inf)
        if now - last < EVENT_INTERVAL_SECONDS:
            return []
        self._emitted_at[event_id] = now
        return [actions.Emit(events.LogEvent(event_id, fields or {}))]
