"""A naive balancer, with which tests and benchmarks compare the real one.

It selects a target by the flow id modulo the number of healthy targets, and
stores the flow's target in a local table. It ignores tokens, load reports, the
outcomes of openings and fences. Its interface is that of
`core.balancer.Balancer`.
"""

import collections

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer_replies as replies
from godwitturn.core import identity
from godwitturn.core import routing
from godwitturn.core import token as tokens
from godwitturn.core import verdict
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets

RETRY_DELAY_MS = 100


class NaiveBalancer:
    """A balancer with a modulo hash and a local flow table.

    Attributes:
        counters: Number of datagrams by how they were handled.
        target_by_flow: The flow table: target ids by (service id, flow id).
        unhealthy_ids: Ids of the targets whose last health check failed.
    """

    def __init__(
        self,
        *,
        member_id: identity.MemberId,
        token_keys: list[tokens.TokenKey],
        seed: int,
    ) -> None:
        """Creates a balancer without targets.

        Args:
            member_id: The balancer's own id.
            token_keys: Unused; part of the signature of `Balancer`.
            seed: Unused; part of the signature of `Balancer`.
        """
        self.counters: collections.Counter[str] = collections.Counter()
        self.target_by_flow: dict[tuple[int, int], identity.MemberId] = {}
        self.unhealthy_ids: set[identity.MemberId] = set()
        self._member_id = member_id
        self._table = routing.EMPTY_TABLE
        self._pair_key_by_id: dict[identity.MemberId, bytes] = {}

    def record_health(
        self, target_id: identity.MemberId, *, is_healthy: bool
    ) -> None:
        """Records the result of a health check, which takes effect at once."""
        if is_healthy:
            self.unhealthy_ids.discard(target_id)
        else:
            self.unhealthy_ids.add(target_id)

    def handle(
        self, event: actions.BalancerEvent, *, now: float
    ) -> list[actions.BalancerAction]:
        """Handles an event like `core.balancer.Balancer.handle`."""
        match event:
            case actions.CallerDatagram():
                return self._handle_caller_datagram(event.source, event.data)
            case actions.AgentDatagram():
                return self._handle_agent_datagram(event.data)
            case actions.RoutingChanged():
                self._table = event.table
                self._pair_key_by_id = {
                    member_id: target.pair_key
                    for member_id, target in event.table.target_by_id.items()
                }
                return []
            case actions.StopRequested():
                return [actions.Stopped()]
            case _:
                return []

    def _healthy_targets(self, service_id: int) -> list[routing.Target]:
        eligible = self._table.eligible_by_service.get(service_id, ())
        return [
            target
            for target in eligible
            if target.member_id not in self.unhealthy_ids
        ]

    def _target_of(
        self, service_id: int, flow_id: int
    ) -> routing.Target | None:
        """Returns the stored target of a flow, or selects and stores one.

        Returns None if the service has no healthy target.
        """
        flow = service_id, flow_id
        stored = self._table.target_by_id.get(self.target_by_flow.get(flow, 0))
        if stored is not None and not (
            stored.data_centre_out or stored.lost or stored.address is None
        ):
            return stored
        healthy = self._healthy_targets(service_id)
        if not healthy:
            return None
        target = healthy[flow_id % len(healthy)]
        self.target_by_flow[flow] = target.member_id
        return target

    def _handle_caller_datagram(
        self, source: addresses.Address, data: bytes
    ) -> list[actions.BalancerAction]:
        route = packets.parse_route(data)
        if route is None:
            self.counters["dropped_malformed"] += 1
            return []
        kind, service_id, flow_id, _ = route
        target = self._target_of(service_id, flow_id)
        if target is None or target.address is None:
            if kind != packets.Kind.OPEN:
                self.counters["dropped_no_target"] += 1
                return []
            return self._refuse(
                source, service_id, flow_id, verdict.Reason.NO_TARGET
            )
        if kind == packets.Kind.OPEN:
            self.counters["forwarded_open"] += 1
        else:
            self.counters["forwarded_established"] += 1
        message = encapsulation.Message(
            encapsulation.Kind.DELIVER,
            self._member_id,
            target.member_id,
            self._table.version,
            source,
            data,
        )
        encoded = encapsulation.encode(message, target.pair_key)
        return [actions.SendToAgent(target.address, encoded)]

    def _refuse(
        self,
        caller: addresses.Address,
        service_id: int,
        flow_id: int,
        reason: verdict.Reason,
    ) -> list[actions.BalancerAction]:
        self.counters[f"refused_{reason.name.lower()}"] += 1
        data = replies.refusal(service_id, flow_id, reason, RETRY_DELAY_MS)
        return [actions.SendToCaller(caller, data)]

    def _handle_agent_datagram(
        self, data: bytes
    ) -> list[actions.BalancerAction]:
        message = encapsulation.decode(data, self._pair_key_by_id)
        if message is None:
            self.counters["dropped_agent_not_authentic"] += 1
            return []
        if message.kind == encapsulation.Kind.RETURN:
            self.counters["forwarded_return"] += 1
            return [actions.SendToCaller(message.caller, message.packet)]
        inner = packets.decode(message.packet)
        if message.kind != encapsulation.Kind.OPEN_RETURNED or inner is None:
            self.counters["dropped_agent_kind"] += 1
            return []
        self.target_by_flow.pop((inner.service_id, inner.flow_id), None)
        reason = inner.reason or verdict.Reason.NO_TARGET
        return self._refuse(
            message.caller, inner.service_id, inner.flow_id, reason
        )
