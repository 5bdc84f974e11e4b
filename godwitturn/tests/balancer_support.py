"""Test helpers that create a balancer's inputs and decode its outputs."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer
from godwitturn.core import routing
from godwitturn.core import target_stats
from godwitturn.core import token as tokens
from godwitturn.core import verdict
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets

CALLER = addresses.Address("127.0.0.9", 999)
BALANCER_ID = 77
TOKEN_KEYS = [
    tokens.TokenKey(0, 1, b"1" * 32),
    tokens.TokenKey(0, 2, b"2" * 32),
]
TOKEN_KEY_BY_SERVICE = {key.service_id: key for key in TOKEN_KEYS}
WARM_LOAD = target_stats.Load(10, 2000, 0, 0, target_stats.FULL_CAPACITY)


class BalancerProtocol(Protocol):
    """Interface of the real and the naive balancer."""

    def handle(
        self, event: actions.BalancerEvent, *, now: float
    ) -> list[actions.BalancerAction]:
        """Handles an event and returns the balancer's actions."""


BalancerFactory = Callable[..., BalancerProtocol]


def address_of(member_id: int) -> addresses.Address:
    return addresses.Address("127.0.0.1", 1000 + member_id)


def target(
    member_id: int, service_id: int = 1, data_centre: str = "dc1"
) -> routing.Target:
    return routing.Target(
        member_id,
        service_id,
        data_centre,
        address_of(member_id),
        member_id.to_bytes(32, "big"),
    )


def table_of(
    *targets: routing.Target, version: int = 3
) -> routing.RoutingTable:
    return routing.RoutingTable.from_targets(version, list(targets))


def five_targets() -> routing.RoutingTable:
    return table_of(*[target(n) for n in range(1, 6)])


def table_with_target(**fields: object) -> routing.RoutingTable:
    """Returns a table of two targets, with fields of target 1 replaced."""
    changed_target = target(1)
    for name, value in fields.items():
        setattr(changed_target, name, value)
    return table_of(changed_target, target(2))


def open_balancer(
    table: routing.RoutingTable, factory: BalancerFactory = balancer.Balancer
) -> balancer.Balancer:
    """Returns a balancer that has a table and is not fenced."""
    node = factory(member_id=BALANCER_ID, token_keys=TOKEN_KEYS, seed=1)
    node.handle(actions.RoutingChanged(table), now=0.0)
    node.handle(actions.FenceChanged(False), now=0.0)
    assert isinstance(node, balancer.Balancer)
    return node


def opening(flow_id: int, service_id: int = 1) -> bytes:
    return packets.encode(
        packets.Packet(
            packets.Kind.OPEN,
            service_id,
            flow_id,
            payload=bytes(packets.OPEN_PAYLOAD_BYTES),
        )
    )


def sealed_token(target_id: int, flow_id: int, service_id: int = 1) -> bytes:
    token = tokens.Token(0, service_id, target_id, 5, 1, 0)
    return tokens.seal(token, flow_id, TOKEN_KEY_BY_SERVICE[service_id])


def request(flow_id: int, token: bytes, service_id: int = 1) -> bytes:
    return packets.encode(
        packets.Packet(
            packets.Kind.REQUEST,
            service_id,
            flow_id,
            token,
            1,
            0,
            1,
            payload=b"body",
        )
    )


def from_caller(data: bytes) -> actions.CallerDatagram:
    return actions.CallerDatagram(CALLER, data)


def from_agent(
    sender: routing.Target,
    kind: encapsulation.Kind,
    packet: bytes,
    load: target_stats.Load | None = WARM_LOAD,
    **fields: Any,
) -> actions.AgentDatagram:
    message = encapsulation.Message(
        kind,
        sender.member_id,
        BALANCER_ID,
        3,
        CALLER,
        packet,
        load=load,
    )
    message = attrs.evolve(message, **fields)
    data = encapsulation.encode(message, sender.pair_key)
    return actions.AgentDatagram(sender.address or CALLER, data)


def returned_opening(
    sender: routing.Target,
    sent: encapsulation.Message,
    reason: verdict.Reason = verdict.Reason.CONNECTION_LIMIT,
    load: target_stats.Load | None = WARM_LOAD,
) -> actions.AgentDatagram:
    """Returns the datagram with which an agent returns an opening."""
    packet = bytearray(sent.packet)
    packet[3] = reason
    return from_agent(
        sender,
        encapsulation.Kind.OPEN_RETURNED,
        bytes(packet),
        load,
        tries=sent.tries + 1,
        candidates=sent.candidates,
    )


def agent_message(
    outputs: list[actions.BalancerAction],
) -> encapsulation.Message | None:
    """Returns the only message to an agent, or None; checks its pair key."""
    sent = [a for a in outputs if isinstance(a, actions.SendToAgent)]
    assert len(sent) <= 1
    if not sent:
        return None
    pair_key = (sent[0].address.port - 1000).to_bytes(32, "big")
    message = encapsulation.decode(sent[0].data, {BALANCER_ID: pair_key})
    assert message is not None, "message fails verification with the pair key"
    return message


def caller_reply(
    outputs: list[actions.BalancerAction],
) -> packets.Packet | None:
    """Returns the only packet to the caller, or None."""
    sent = [a for a in outputs if isinstance(a, actions.SendToCaller)]
    assert len(sent) <= 1
    return packets.decode(sent[0].data) if sent else None


@attrs.define
class Fleet:
    """Balancers in front of agents that accept every opening.

    Attributes:
        factory: Creates a balancer.
        table: The routing table of all balancers.
        balancers: The running balancers.
        target_by_flow: Member id of the target of each flow.
        token_by_flow: The token of each flow.
        misrouted_count: Number of packets that did not reach their flow's
            target although it could serve them.
        now: Simulated time in seconds.
    """

    factory: BalancerFactory
    table: routing.RoutingTable = routing.EMPTY_TABLE
    balancers: list[BalancerProtocol] = attrs.field(factory=list)
    target_by_flow: dict[int, int] = attrs.field(factory=dict)
    token_by_flow: dict[int, bytes] = attrs.field(factory=dict)
    misrouted_count: int = 0
    now: float = 0.0

    def add_balancer(self) -> None:
        """Starts a balancer with the current table."""
        node = self.factory(
            member_id=BALANCER_ID, token_keys=TOKEN_KEYS, seed=1
        )
        node.handle(actions.RoutingChanged(self.table), now=self.now)
        node.handle(actions.FenceChanged(False), now=self.now)
        self.balancers.append(node)

    def set_targets(self, targets: list[routing.Target]) -> None:
        """Replaces the table of all balancers."""
        self.table = table_of(*targets, version=self.table.version + 1)
        for node in self.balancers:
            node.handle(actions.RoutingChanged(self.table), now=self.now)

    def open(self, flow_id: int, balancer_index: int) -> int | None:
        """Opens a flow.

        Args:
            flow_id: The flow.
            balancer_index: Index of the balancer, modulo their number.

        Returns:
            Member id of its target; None if no opening was forwarded.
        """
        self.now += 0.001
        node = self.balancers[balancer_index % len(self.balancers)]
        outputs = node.handle(from_caller(opening(flow_id)), now=self.now)
        message = agent_message(outputs)
        if message is None:
            return None
        owner_id = message.destination
        self.target_by_flow[flow_id] = owner_id
        self.token_by_flow[flow_id] = sealed_token(owner_id, flow_id)
        accept = packets.encode(
            packets.Packet(
                packets.Kind.ACCEPT, 1, flow_id, self.token_by_flow[flow_id]
            )
        )
        flows = sum(
            target_id == owner_id for target_id in self.target_by_flow.values()
        )
        load = attrs.evolve(WARM_LOAD, flows=flows)
        sender = self.table.target_by_id[owner_id]
        returned = from_agent(sender, encapsulation.Kind.RETURN, accept, load)
        assert caller_reply(node.handle(returned, now=self.now)) is not None
        return owner_id

    def send(self, flow_id: int, balancer_index: int) -> int | None:
        """Sends a packet of an open flow, and counts it if it is misrouted.

        Args:
            flow_id: The flow.
            balancer_index: Index of the balancer, modulo their number.

        Returns:
            Member id of the target that it reaches; None if it reaches none.
        """
        self.now += 0.001
        node = self.balancers[balancer_index % len(self.balancers)]
        data = request(flow_id, self.token_by_flow[flow_id])
        message = agent_message(node.handle(from_caller(data), now=self.now))
        reached_id = None if message is None else message.destination
        owner = self.table.target_by_id.get(self.target_by_flow[flow_id])
        can_serve = (
            owner is not None and not owner.data_centre_out and not owner.lost
        )
        if can_serve and reached_id != self.target_by_flow[flow_id]:
            self.misrouted_count += 1
        return reached_id
