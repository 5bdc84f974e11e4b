"""The balancer: forwards datagrams between callers and agents."""

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

# A stopping balancer forwards packets in flight for this time.
STOP_GRACE_SECONDS = 2.0
# Minimum time between two log events of one id, since anyone can send
# malformed datagrams.
LOG_INTERVAL_SECONDS = 1.0
NEWER_VERSION_INTERVAL_SECONDS = 1.0
# Retry delay in refusals while this balancer forwards nothing. Short, because
# another balancer can probably serve the caller.
CLOSED_RETRY_DELAY_MS = 100
# Kinds of packets that agents may send to callers. They exclude the kinds that
# callers send: if an agent sent one of these to the address of a balancer,
# balancers would answer it in an endless loop. They also exclude RESEND, which
# only balancers send.
AGENT_KINDS = (
    frozenset(packets.Kind) - packets.CALLER_KINDS - {packets.Kind.RESEND}
)

_OPEN = int(packets.Kind.OPEN)
_OPEN_BYTES = packets.HEADER_BYTES + packets.OPEN_PAYLOAD_BYTES
_CALLER_KIND_NUMBERS = frozenset(int(kind) for kind in packets.CALLER_KINDS)
_DELIVER = encapsulation.Kind.DELIVER

_Actions = list[actions.BalancerAction]


class Balancer:
    """A balancer without I/O and without state of individual flows.

    Attributes:
        counters: Number of datagrams by outcome.
        target_stats: Load reports and opening outcomes of targets.
        fenced: Whether the view of the configuration is unconfirmed, so that
            nothing is forwarded.
    """

    def __init__(
        self,
        *,
        member_id: identity.MemberId,
        token_keys: list[tokens.TokenKey],
        seed: int,
    ) -> None:
        """Creates a fenced balancer without targets.

        Args:
            member_id: The balancer's own id.
            token_keys: The valid token keys of all services.
            seed: Makes the jitter of retry delays differ between balancers.
        """
        self.counters: collections.Counter[str] = collections.Counter()
        self.fenced = True
        # Why packets of callers are refused, or None.
        self._closed_reason: verdict.Reason | None = verdict.Reason.FENCED
        self._member_id = member_id
        self._token_keys = tokens.keys_by_id(token_keys)
        self._routes = routes.Routes()
        self._target_selector = openings.TargetSelector(
            self._routes,
            openings.flow_hashers(token_keys),
            self.counters,
            seed,
        )
        self.target_stats = self._target_selector.target_stats
        self._logged_at_by_id: dict[events.EventId, float] = {}
        self._newer_version_reported_at = -math.inf
        self._stop_at: float | None = None

    @property
    def table(self) -> routing.RoutingTable:
        """The routing table in force."""
        return self._routes.table

    def handle(
        self, event: actions.BalancerEvent, *, now: float
    ) -> list[actions.BalancerAction]:
        """Handles one event.

        Args:
            event: What happened.
            now: Seconds of a monotonic clock.

        Returns:
            Actions for the daemon, in order.
        """
        match event:
            case actions.CallerDatagram():
                return self._handle_caller_datagram(
                    event.source, event.data, now
                )
            case actions.AgentDatagram():
                return self._handle_agent_datagram(
                    event.source, event.data, now
                )
            case actions.Tick():
                self._routes.update_weights(now)
                return self._report_stopped_if_due(now)
            case actions.RoutingChanged():
                return self._set_table(event.table, now)
            case actions.FenceChanged():
                return self._set_fenced(event.fenced)
            case actions.StopRequested():
                if self._stop_at is None:
                    self._stop_at = now + STOP_GRACE_SECONDS
                return []

    # Datagrams of callers

    def _handle_caller_datagram(
        self, source: addresses.Address, data: bytes, now: float
    ) -> _Actions:
        route = packets.parse_route(data)
        if route is None:
            return self._drop_malformed(now)
        kind, service_id, flow_id, token_bytes = route
        if kind == _OPEN:
            # An agent's ACCEPT has the size of a padded opening. A shorter
            # opening would get a reply that is larger than itself.
            if len(data) != _OPEN_BYTES or token_bytes != tokens.EMPTY:
                return self._drop_malformed(now)
            return self._handle_opening(source, data, service_id, flow_id, now)
        if kind not in _CALLER_KIND_NUMBERS:
            return self._drop_malformed(now)
        token = tokens.unseal(token_bytes, flow_id, self._token_keys)
        if self._closed_reason is not None:
            self._drop(self._closed_reason.name.lower())
            if token is None or token.service_id != service_id:
                return []
            return self._send_resend_notice(self._closed_reason, source, data)
        if token is None:
            return self._reject_unauthentic(source, route, now)
        if token.service_id != service_id:
            return self._drop("wrong_service")
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
                return self._drop("unknown_target")
            return self._reject_unreachable(source, target, route)
        self.counters["forwarded_established"] += 1
        return self._deliver(target, source, data)

    def _send_resend_notice(
        self,
        reason: verdict.Reason,
        source: addresses.Address,
        data: bytes,
    ) -> _Actions:
        """Sends a RESEND for an authentic packet that is not forwarded."""
        notice = replies.resend_notice(data, reason)
        if notice is None:
            return []
        self.counters["resend_notices"] += 1
        return [actions.SendToCaller(source, notice)]

    def _reject_unauthentic(
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
        return self._log_limited(events.EventId.BALANCER_FORGED_TOKEN, now)

    def _reject_unreachable(
        self,
        source: addresses.Address,
        target: routing.Target | None,
        route: tuple[int, int, int, bytes],
    ) -> _Actions:
        """Replies to an authentic packet whose target can't be reached."""
        _, service_id, flow_id, token = route
        if target is None or target.service_id != service_id:
            reason = verdict.Reason.NOT_APPROVED
        elif target.data_centre_out:
            reason = verdict.Reason.DATA_CENTRE_OUT
        else:
            # The announcement may just be delayed. The caller repeats the
            # packet until the target is back or declared lost.
            return self._drop("no_address")
        self.counters[f"reset_{reason.name.lower()}"] += 1
        data = replies.reset(service_id, flow_id, reason, token)
        return [actions.SendToCaller(source, data)]

    def _handle_opening(
        self,
        source: addresses.Address,
        data: bytes,
        service_id: int,
        flow_id: int,
        now: float,
    ) -> _Actions:
        if self._closed_reason is not None:
            reason = self._closed_reason
            return self._refuse(source, service_id, flow_id, reason, now)
        chosen = self._target_selector.choose(service_id, flow_id, now)
        if not chosen:
            reason = verdict.Reason.NO_TARGET
            return self._refuse(source, service_id, flow_id, reason, now)
        candidates = tuple([target.member_id for target in chosen[1:]])
        return self._send_opening(chosen[0], source, data, 0, candidates, now)

    def _send_opening(
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
        assert target.address is not None  # checked at both call sites
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
            return self._drop("caller_address")
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
        if self._closed_reason is None:
            delay_ms = self._target_selector.retry_delay_ms(
                service_id, flow_id, now
            )
        data = replies.refusal(service_id, flow_id, reason, delay_ms)
        return [actions.SendToCaller(caller, data)]

    # Datagrams of agents

    def _handle_agent_datagram(
        self, source: addresses.Address, data: bytes, now: float
    ) -> _Actions:
        message = encapsulation.decode(data, self._routes.pair_key_by_id)
        if message is None:
            self.counters["dropped_agent_not_authentic"] += 1
            return self._log_limited(events.EventId.BALANCER_MALFORMED, now)
        if message.destination != self._member_id:
            return self._drop("agent_wrong_destination")
        if message.configuration_version > self._routes.table.version:
            reports = self._report_newer_version(
                message.configuration_version, now
            )
        else:
            reports = []
        match message.kind:
            case encapsulation.Kind.RETURN:
                return reports + self._handle_return(message, now)
            case encapsulation.Kind.OPEN_RETURNED:
                return reports + self._handle_returned_opening(message, now)
            case encapsulation.Kind.CORRECTION:
                return reports + self._handle_correction(
                    message.sender, source, now
                )
            case _:
                return reports + self._drop("agent_kind")

    def _report_newer_version(self, version: int, now: float) -> _Actions:
        if (
            now - self._newer_version_reported_at
            < NEWER_VERSION_INTERVAL_SECONDS
        ):
            return []
        self._newer_version_reported_at = now
        return [actions.NewerVersionSeen(version)]

    def _inner_packet(
        self, message: encapsulation.Message
    ) -> packets.Packet | None:
        """Returns the packet of a message, or None.

        None is returned if the packet is malformed or names a service other
        than the sender's.
        """
        inner = packets.decode(message.packet)
        sender = self._routes.target_by_id[message.sender]
        if inner is None or inner.service_id != sender.service_id:
            return None
        return inner

    def _handle_return(
        self, message: encapsulation.Message, now: float
    ) -> _Actions:
        inner = self._inner_packet(message)
        if inner is None or inner.kind not in AGENT_KINDS:
            return self._drop("agent_inner")
        if inner.kind == packets.Kind.ACCEPT:
            self.target_stats.opening_accepted(
                message.sender, message.load, now
            )
        else:
            self.target_stats.record(message.sender, message.load, now)
        if self.fenced:
            return self._drop("fenced")
        self.counters["forwarded_return"] += 1
        return [actions.SendToCaller(message.caller, message.packet)]

    def _handle_returned_opening(
        self, message: encapsulation.Message, now: float
    ) -> _Actions:
        inner = self._inner_packet(message)
        if (
            inner is None
            or inner.kind != packets.Kind.OPEN
            or len(message.packet) != _OPEN_BYTES
        ):
            return self._drop("agent_inner")
        self.target_stats.opening_returned(message.sender, message.load, now)
        reason = inner.reason or verdict.Reason.NO_TARGET
        if self.fenced:
            reason = verdict.Reason.FENCED
        elif target := self._target_selector.next_target(
            message, inner.service_id, now
        ):
            self.counters["retried_open"] += 1
            index = message.candidates.index(target.member_id)
            return self._send_opening(
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

    def _handle_correction(
        self, sender: identity.MemberId, source: addresses.Address, now: float
    ) -> _Actions:
        self.counters["corrections"] += 1
        if not self._routes.record_wrong_address(sender, source, now):
            return []
        fields = {"address": str(source), "member_id": sender}
        return self._log_limited(
            events.EventId.BALANCER_CORRECTED, now, fields
        )

    # Configuration, fence and stop

    def _set_table(self, table: routing.RoutingTable, now: float) -> _Actions:
        # An accepted configuration is never replaced by an older one.
        if table.version < self._routes.table.version:
            return self._drop("older_table")
        has_new_conflicts = table.conflicts != self._routes.table.conflicts
        self._routes.set_table(table, now)
        self._update_closed_reason()
        self.target_stats.retain(table.target_by_id.keys())
        if not table.conflicts or not has_new_conflicts:
            return []
        conflicts = [f"{c.member_id}: {c.kind}" for c in table.conflicts]
        return self._log_limited(
            events.EventId.BALANCER_CONFLICT, now, {"conflicts": conflicts}
        )

    def _update_closed_reason(self) -> None:
        # Agents answer through the balancer that forwarded the packet, so a
        # balancer in a data centre that is out must not forward packets.
        self._closed_reason = None
        if self.fenced:
            self._closed_reason = verdict.Reason.FENCED
        elif self._routes.table.own_data_centre_out:
            self._closed_reason = verdict.Reason.DATA_CENTRE_OUT

    def _set_fenced(self, fenced: bool) -> _Actions:
        if fenced == self.fenced:
            return []
        self.fenced = fenced
        self._update_closed_reason()
        event_id = (
            events.EventId.BALANCER_FENCED
            if fenced
            else events.EventId.BALANCER_OPENED
        )
        return [actions.Emit(events.LogEvent(event_id))]

    def _report_stopped_if_due(self, now: float) -> _Actions:
        if self._stop_at is None or now < self._stop_at:
            return []
        self._stop_at = math.inf
        stopped = events.LogEvent(events.EventId.BALANCER_STOPPED)
        return [actions.Emit(stopped), actions.Stopped()]

    def _drop(self, cause: str) -> _Actions:
        self.counters["dropped_" + cause] += 1
        return []

    def _drop_malformed(self, now: float) -> _Actions:
        self.counters["dropped_malformed"] += 1
        return self._log_limited(events.EventId.BALANCER_MALFORMED, now)

    def _log_limited(
        self,
        event_id: events.EventId,
        now: float,
        fields: dict[str, object] | None = None,
    ) -> _Actions:
        last = self._logged_at_by_id.get(event_id, -math.inf)
        if now - last < LOG_INTERVAL_SECONDS:
            return []
        self._logged_at_by_id[event_id] = now
        return [actions.Emit(events.LogEvent(event_id, fields or {}))]
