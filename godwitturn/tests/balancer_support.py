"""Builders of balancer inputs, and an in-memory fleet, for tests."""

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


class Handler(Protocol):
    """The interface of the real and the naive balancer."""

    def handle(
        self, event: actions.BalancerEvent, *, now: float
    ) -> list[actions.BalancerAction]:
        """Handles one event."""


BalancerFactory = Callable[..., Handler]


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
    """Returns a table of two targets; fields of target 1 are replaced."""
    changed = target(1)
    for name, value in fields.items():
        setattr(changed, name, value)
    return table_of(changed, target(2))


def open_balancer(
    table: routing.RoutingTable, factory: BalancerFactory = balancer.Balancer
) -> balancer.Balancer:
    """Returns a balancer with a table that is not fenced."""
    subject = factory(member_id=BALANCER_ID, token_keys=TOKEN_KEYS, seed=1)
    subject.handle(actions.RoutingChanged(table), now=0.0)
    subject.handle(actions.FenceChanged(False), now=0.0)
    assert isinstance(subject, balancer.Balancer)
    return subject


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
    """Returns the datagram of an agent that refuses an opening."""
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
    """Returns the only message to an agent, verified with its pair key."""
    sent = [a for a in outputs if isinstance(a, actions.SendToAgent)]
    assert len(sent) <= 1
    if not sent:
        return None
    pair_key = (sent[0].address.port - 1000).to_bytes(32, "big")
    message = encapsulation.decode(sent[0].data, {BALANCER_ID: pair_key})
    assert message is not None, "sent with the pair key of another target"
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
        target_by_flow: Member id of the target that owns each flow.
        token_by_flow: The token of each flow.
        misrouted_count: Number of packets that did not reach the target of
            their flow although it serves.
        now: Simulated time in seconds.
    """

    factory: BalancerFactory
    table: routing.RoutingTable = routing.EMPTY_TABLE
    balancers: list[Handler] = attrs.field(factory=list)
    target_by_flow: dict[int, int] = attrs.field(factory=dict)
    token_by_flow: dict[int, bytes] = attrs.field(factory=dict)
    misrouted_count: int = 0
    now: float = 0.0

    def add_balancer(self) -> None:
        """Starts a balancer with the current table."""
        subject = self.factory(
            member_id=BALANCER_ID, token_keys=TOKEN_KEYS, seed=1
        )
        subject.handle(actions.RoutingChanged(self.table), now=self.now)
        subject.handle(actions.FenceChanged(False), now=self.now)
        self.balancers.append(subject)

    def set_targets(self, targets: list[routing.Target]) -> None:
        """Replaces the table of all balancers."""
        self.table = table_of(*targets, version=self.table.version + 1)
        for subject in self.balancers:
            subject.handle(actions.RoutingChanged(self.table), now=self.now)

    def open(self, flow_id: int, through: int) -> int | None:
        """Opens a flow; returns the member id of its target, or None."""
        self.now += 0.001
        subject = self.balancers[through % len(self.balancers)]
        outputs = subject.handle(from_caller(opening(flow_id)), now=self.now)
        message = agent_message(outputs)
        if message is None:
            return None
        owner = message.destination
        self.target_by_flow[flow_id] = owner
        self.token_by_flow[flow_id] = sealed_token(owner, flow_id)
        accept = packets.encode(
            packets.Packet(
                packets.Kind.ACCEPT, 1, flow_id, self.token_by_flow[flow_id]
            )
        )
        flows = sum(target == owner for target in self.target_by_flow.values())
        load = attrs.evolve(WARM_LOAD, flows=flows)
        sender = self.table.target_by_id[owner]
        returned = from_agent(sender, encapsulation.Kind.RETURN, accept, load)
        assert caller_reply(subject.handle(returned, now=self.now)) is not None
        return owner

    def send(self, flow_id: int, through: int) -> int | None:
        """Sends a packet of a flow; returns the target that it reaches.

        It counts as misrouted if it does not reach the flow's target although
        that serves.
        """
        self.now += 0.001
        subject = self.balancers[through % len(self.balancers)]
        data = request(flow_id, self.token_by_flow[flow_id])
        message = agent_message(
            subject.handle(from_caller(data), now=self.now)
        )
        reached = None if message is None else message.destination
        owner = self.table.target_by_id.get(self.target_by_flow[flow_id])
        serves = (
            owner is not None and not owner.data_centre_out and not owner.lost
        )
        if serves and reached != self.target_by_flow[flow_id]:
            self.misrouted_count += 1
        return reached
