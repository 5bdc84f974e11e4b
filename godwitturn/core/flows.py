"""Flow table of an agent: reservations, epochs, expiry and tokens."""

import enum
from typing import NamedTuple

import attrs

from godwitturn.core import addresses
from godwitturn.core import identity
from godwitturn.core import requests
from godwitturn.core import timer_wheel
from godwitturn.core import token as tokens

# A reservation expires this long after its last opening.
RESERVATION_SECONDS = 5.0
EXPIRY_RESOLUTION_SECONDS = 1.0
# Bounds the time of one tick when many flows were opened in one second.
EXPIRIES_PER_TICK = 5_000
_EPOCH_MASK = (1 << 32) - 1


class Route(NamedTuple):
    """The balancer that forwarded a flow's last packets."""

    balancer_id: identity.MemberId
    address: addresses.Address


@attrs.define(eq=False, weakref_slot=False)
class Flow:
    """One flow or reservation.

    Attributes:
        flow_id: Random 64-bit number drawn by the caller.
        epoch: Number of the reservation; unique within the incarnation.
        caller: Source of the last packet whose token is bound to its address;
            answers are sent there.
        route: The balancer that forwarded that packet.
        opened_at: When the flow was reserved, in seconds.
        last_seen_at: When the last packet was received, in seconds.
        confirmed: Whether a packet with the token was received; otherwise the
            flow is a reservation.
        readopted: Whether an earlier incarnation of the agent may have run
            requests of this flow.
        flow_requests: State of its requests; None before the first one.
    """

    flow_id: int
    epoch: int
    caller: addresses.Address
    route: Route
    opened_at: float
    last_seen_at: float
    confirmed: bool = False
    readopted: bool = False
    flow_requests: requests.FlowRequests | None = None


class Standing(enum.Enum):
    """How an authentic token relates to the flow table."""

    CURRENT = "current"
    OTHER_ADDRESS = "other_address"
    OLD_INCARNATION = "old_incarnation"
    STALE_EPOCH = "stale_epoch"
    UNKNOWN_FLOW = "unknown_flow"


@attrs.define(eq=False)
class FlowTable:
    """All flows of one agent.

    Attributes:
        idle_seconds: A flow is removed after this time without packets.
        flow_by_id: Flows and reservations, by flow id.
        reservations: Number of flows that are not confirmed.
    """

    idle_seconds: float
    flow_by_id: dict[int, Flow] = attrs.field(factory=dict, init=False)
    reservations: int = attrs.field(default=0, init=False)
    _last_epoch: int = attrs.field(default=0, init=False)
    _timers: timer_wheel.TimerWheel[Flow] = attrs.field(
        factory=lambda: timer_wheel.TimerWheel(EXPIRY_RESOLUTION_SECONDS),
        init=False,
    )
    _route_by_balancer: dict[identity.MemberId, Route] = attrs.field(
        factory=dict, init=False
    )

    def route_for(
        self, balancer_id: identity.MemberId, address: addresses.Address
    ) -> Route:
        """Returns the route through a balancer.

        Flows with the same route share one object.
        """
        route = self._route_by_balancer.get(balancer_id)
        if route is None or route.address != address:
            route = Route(balancer_id, address)
            self._route_by_balancer[balancer_id] = route
        return route

    def find(self, flow_id: int, epoch: int) -> Flow | None:
        """Returns the flow with this id and epoch, or None."""
        flow = self.flow_by_id.get(flow_id)
        return flow if flow is not None and flow.epoch == epoch else None

    def reserve(
        self,
        flow_id: int,
        caller: addresses.Address,
        route: Route,
        *,
        now: float,
        readopted: bool = False,
    ) -> Flow:
        """Adds and returns a reservation.

        Args:
            flow_id: Must not be in the table.
            caller: Address of the caller.
            route: The balancer that forwarded the opening.
            now: Seconds of a monotonic clock.
            readopted: Whether an earlier incarnation of the agent may have
                run requests of the flow.
        """
        self._last_epoch = (self._last_epoch + 1) & _EPOCH_MASK
        flow = Flow(flow_id, self._last_epoch, caller, route, now, now)
        flow.readopted = readopted
        self.flow_by_id[flow_id] = flow
        self.reservations += 1
        self._timers.schedule(flow, now + RESERVATION_SECONDS)
        return flow

    def confirm(
        self, flow: Flow, caller: addresses.Address, route: Route, now: float
    ) -> None:
        """Records a packet whose token is bound to its source address."""
        if not flow.confirmed:
            flow.confirmed = True
            self.reservations -= 1
        if flow.caller != caller:
            flow.caller = caller
        flow.route = route
        flow.last_seen_at = now

    def remove(self, flow: Flow) -> None:
        """Removes a flow, whose requests must have been dropped before."""
        del self.flow_by_id[flow.flow_id]
        if not flow.confirmed:
            self.reservations -= 1
        flow.flow_requests = None

    def clear(self) -> None:
        """Removes all flows."""
        self.flow_by_id.clear()
        self.reservations = 0
        self._timers.clear()

    def _expires_at(self, flow: Flow, now: float) -> float:
        if not flow.confirmed:
            return flow.last_seen_at + RESERVATION_SECONDS
        if (
            flow.flow_requests is not None
            and flow.flow_requests.unfinished_count
        ):
            return now + self.idle_seconds
        return flow.last_seen_at + self.idle_seconds

    def expired_flows(self, now: float) -> list[Flow]:
        """Returns the flows to remove; checks only those with a due timer."""
        expired = []
        for flow in self._timers.pop_due(now, EXPIRIES_PER_TICK):
            if self.flow_by_id.get(flow.flow_id) is not flow:
                continue
            expires_at = self._expires_at(flow, now)
            if expires_at <= now:
                expired.append(flow)
            else:
                self._timers.schedule(flow, expires_at)
        return expired


@attrs.define(eq=False)
class TokenIssuer:
    """Seals the tokens of one agent's flows and checks received ones.

    Attributes:
        member_id: The target's identity.
        service_id: The target's service.
        incarnation: Random number of this start of the agent.
        keys: Token keys; the first seals tokens, all are accepted.
    """

    member_id: identity.MemberId
    service_id: int
    incarnation: int
    keys: list[tokens.TokenKey] = attrs.field(repr=False)
    _key_by_id: tokens.KeyTable = attrs.field(
        default=attrs.Factory(
            lambda self: tokens.keys_by_id(self.keys), takes_self=True
        ),
        init=False,
        repr=False,
    )

    def issue(self, flow: Flow, caller: addresses.Address) -> bytes:
        """Returns a token of a flow, bound to a caller's address."""
        key = self.keys[0]
        token = tokens.Token(
            key.key_id,
            self.service_id,
            self.member_id,
            self.incarnation,
            flow.epoch,
            tokens.address_tag(caller, key),
        )
        return tokens.seal(token, flow.flow_id, key)

    def unseal(self, data: bytes, flow_id: int) -> tokens.Token | None:
        """Returns a token that is authentic and of this service, or None."""
        token = tokens.unseal(data, flow_id, self._key_by_id)
        if token is None or token.service_id != self.service_id:
            return None
        return token

    def standing(
        self,
        token: tokens.Token,
        flow: Flow | None,
        caller: addresses.Address,
    ) -> Standing:
        """Returns how an authentic token relates to the flow with its id."""
        # Incarnations are random, so their order does not show which is older.
        # Any other one must be from before this start.
        if token.incarnation != self.incarnation:
            return Standing.OLD_INCARNATION
        if flow is None:
            return Standing.UNKNOWN_FLOW
        if token.epoch != flow.epoch:
            return Standing.STALE_EPOCH
        key = self._key_by_id[(token.service_id, token.key_id)]
        if token.address_tag != tokens.address_tag(caller, key):
            return Standing.OTHER_ADDRESS
        return Standing.CURRENT

    def is_sealed_by_first_key(self, token: tokens.Token) -> bool:
        """Returns whether the token stays valid without the older keys."""
        return token.key_id == self.keys[0].key_id
