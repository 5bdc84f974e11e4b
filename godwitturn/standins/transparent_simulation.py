"""Simulation of balancers, agents, targets and clients.

Balancers and agents are those of the product. Network, router, targets and
clients are small models of the platform's documented behaviour.
"""

import functools
import itertools
import random
import struct

import attrs

from godwitturn.core import store_position
from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import cold_limit
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import peers
from godwitturn.core.transparent import routes
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import target_watch
from godwitturn.platform import packets
from godwitturn.protocol import transparent
from godwitturn.standins import route_record_store
from godwitturn.standins import simulated_time

SYN = 1
FIN = 4
BOUNCED = 8
ACK = 32
RST = 128
# Layout of the platform's packets, as in `platform.packets`.
_HEADER = struct.Struct("<HIHIIIIIBBH")
_FLAGS_OFFSET = 28
_SEQUENCE_OFFSET = 16
_SEQUENCE = struct.Struct("<I")
NETWORK_DELAY_S = 0.004
# Distance from the last acknowledged number up to which clients accept resets.
RESET_WINDOW = 76_800
# Where an agent's target receives packets, on the VM of both.
TARGET_ADDRESS = ("127.0.0.1", 8165)
ROUTE_ADDRESS = 0xC6120001
ROUTE_PORT = 443
HEARTBEAT_INTERVAL_S = 1.2


def packet(
    flow_id: segments.FlowId,
    flags: int,
    *,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
    from_target: bool = False,
) -> bytes:
    """Returns an encoded packet of a client or a target.

    Args:
        flow_id: The flow.
        flags: Any of `SYN`, `FIN`, `ACK` and `RST`.
        sequence: Sequence number.
        acknowledged: Acknowledgement number.
        data: Payload.
        from_target: Whether the target sends it, else the client.
    """
    client, client_port, address, port = flow_id
    if from_target:
        client, client_port, address, port = address, port, client, client_port
    header = _HEADER.pack(
        client_port,
        address,
        port,
        client,
        0,
        sequence,
        acknowledged,
        1,
        flags,
        0,
        len(data),
    )
    return header + data


def client_segment(data: bytes) -> segments.Segment:
    """Decodes a packet of a client, which must be valid."""
    segment = packets.decode(data, from_target=False)
    assert segment is not None
    return segment


def sequence_number(data: bytes) -> int:
    """Returns the sequence number of an encoded packet, a valid one."""
    return int(_SEQUENCE.unpack_from(data, _SEQUENCE_OFFSET)[0])


def advance(sequence: int, size: int) -> int:
    """Returns the sequence number that follows `size` numbers."""
    return (sequence + size) % (1 << 32)


def accepts_packet(sequence: int, expected: int) -> bool:
    """Returns whether a client accepts a packet or a reset on an open flow.

    Args:
        sequence: Sequence number of the packet.
        expected: Number that the client last acknowledged.
    """
    distance = (sequence - expected) % (1 << 32)
    return min(distance, (1 << 32) - distance) <= RESET_WINDOW


def returned_packet(data: bytes) -> bytes:
    """Returns a client's packet, marked as returned by a target.

    A target returns packets of flows that it does not have.
    """
    flags = data[_FLAGS_OFFSET] | BOUNCED
    return data[:_FLAGS_OFFSET] + bytes((flags,)) + data[_FLAGS_OFFSET + 1 :]


def make_agent(
    *,
    node: str = "side-1",
    service: str = "core",
    data_centre: str = "a",
    run_id: int = 1,
    cold_per_second: float | None = 0.0,
    started_at: float = float("-inf"),
) -> agents.Agent:
    """Returns an agent that hasn't received a heartbeat yet."""
    return agents.Agent(
        node=node,
        service=service,
        data_centre=data_centre,
        run_id=run_id,
        cold_limiter=cold_limit.ColdLimit(
            1.5, 5, per_second=cold_per_second, started_at=started_at
        ),
        target=target_watch.TargetWatch(service, TARGET_ADDRESS),
        fetcher=document_exchange.DocumentFetcher(
            node, interval_s=agents.FETCH_INTERVAL_S
        ),
    )


def make_heartbeat(
    sequence: int = 1,
    *,
    target_id: str = "i-1",
    born: int = 1,
    service: str = "core",
    draining: bool = False,
    slots: int = 1,
    cold_ms: int = 0,
) -> heartbeats.Heartbeat:
    """Returns a heartbeat of an agent's target."""
    return heartbeats.Heartbeat(
        target_id,
        born,
        sequence,
        service,
        draining,
        slots,
        cold_ms,
        TARGET_ADDRESS,
    )


def client_flow_id(client_port: int) -> segments.FlowId:
    """Returns the flow of one client's port to the route."""
    return 0x0A000063, client_port, ROUTE_ADDRESS, ROUTE_PORT


def offer_opening(
    agent: agents.Agent, client_port: int, *, balancer: str, now: float
) -> list[messages.Action]:
    """Forwards the opening of a new flow to an agent.

    Args:
        agent: The agent, of service `core`.
        client_port: Port of the client, which makes the flow a new one.
        balancer: Address of the balancer that forwards it.
        now: Seconds.

    Returns:
        Actions of the agent.
    """
    data = packet(client_flow_id(client_port), SYN)
    return agent.handle_forward(
        balancer,
        messages.Forward("core", False, data),
        client_segment(data),
        now=now,
    )


def configuration(
    version: int = 1,
    *,
    shares: tuple[tuple[str, int], ...] = (("core", 1),),
    cold_per_second: float = 0.0,
    objective_ms: int = 0,
    timeout_ms: int = 0,
) -> routes.Configuration:
    """Returns a configuration with one route.

    Args:
        version: Its version.
        shares: Name and share of each service of the route.
        cold_per_second: Requests a second that a cold target can handle.
        objective_ms: Objective of the route's requests in milliseconds.
        timeout_ms: Their timeout in milliseconds.
    """
    return routes.Configuration(
        version=version,
        route_by_endpoint={
            (ROUTE_ADDRESS, ROUTE_PORT): routes.Route(
                "main",
                tuple(routes.Share(*share) for share in shares),
                objective_ms=objective_ms,
                timeout_ms=timeout_ms,
            )
        },
        service_by_name={
            name: routes.Service(name, 2000, cold_per_second)
            for name, _ in shares
        },
        idle_timeout_s=15.0,
    )


@attrs.define(eq=False)
class SimulatedTarget:
    """A target that accepts flows and answers requests.

    Attributes:
        target_id: Its id.
        born: Number of its start; later starts have higher numbers.
        flows: Flows that are open.
        requests: Number of requests accepted, by flow.
        openings: Times in seconds at which it accepted new flows.
        unknown_packets: Number of packets that it returned.
        refused_flows: Flows whose packets it answers with a reset.
        resets_requests: Whether it resets flows instead of answering requests.
        unresponsive: Whether it answers no request.
        at_capacity: Whether it returns openings.
        draining: Whether its heartbeats report that it is draining.
        cold_ms: Remaining time in which it is cold, as its heartbeats report.
        heartbeats: Number of heartbeats sent.
    """

    target_id: str
    born: int
    flows: set[segments.FlowId] = attrs.field(factory=set)
    requests: dict[segments.FlowId, int] = attrs.field(factory=dict)
    openings: list[float] = attrs.field(factory=list)
    unknown_packets: int = 0
    refused_flows: set[segments.FlowId] = attrs.field(factory=set)
    resets_requests: bool = False
    unresponsive: bool = False
    at_capacity: bool = False
    draining: bool = False
    cold_ms: int = 0
    heartbeats: int = 0

    def receive(self, data: bytes, now: float) -> list[bytes]:
        """Handles a packet at a time in seconds; returns the replies."""
        segment = client_segment(data)
        flow_id = segment.flow_id
        if flow_id in self.refused_flows and not segment.opening:
            return [packet(flow_id, RST, from_target=True)]
        if segment.opening and not self.at_capacity:
            if flow_id not in self.flows:
                self.openings.append(now)
            self.flows.add(flow_id)
            return [packet(flow_id, SYN | ACK, from_target=True)]
        if segment.opening or flow_id not in self.flows:
            self.unknown_packets += 1
            return [returned_packet(data)]
        if segment.size and self.resets_requests:
            self.flows.discard(flow_id)
            return [packet(flow_id, RST, from_target=True)]
        if segment.size and self.unresponsive:
            return []
        if segment.ending:
            self.flows.discard(flow_id)
            return [packet(flow_id, FIN | ACK, from_target=True)]
        if segment.size:
            self.requests[flow_id] = self.requests.get(flow_id, 0) + 1
            return [packet(flow_id, ACK, data=b"answer", from_target=True)]
        return []


@attrs.define(eq=False)
class SimulatedVM:
    """A VM with an agent and a target, either of which may be down.

    Attributes:
        address: Its IP address.
        service: Service of the target.
        data_centre: Its data centre.
        agent: The agent; None while it is down.
        target: The target; None while it is down.
    """

    address: str
    service: str
    data_centre: str
    agent: agents.Agent | None = None
    target: SimulatedTarget | None = None


@attrs.define(eq=False)
class SimulatedClient:
    """A flow, as seen by its client.

    Attributes:
        flow_id: The flow.
        opened_at: Time in seconds of its first opening.
        accepted: Whether an opening was accepted.
        answers: Number of answers received.
        resets: Number of resets received.
    """

    flow_id: segments.FlowId
    opened_at: float = 0.0
    accepted: bool = False
    answers: int = 0
    resets: int = 0


class Simulation(simulated_time.SimulatedTime):
    """A deployment in simulated time: router, balancers, VMs and clients.

    Attributes:
        random: Source of the simulation's random numbers.
        loss: Probability that a packet or message is lost.
        configuration: The configuration in the store.
        closed_data_centres: The data centres that are evacuated.
        record_store: Record of the routes' services in the store.
        balancer_by_address: The running balancers.
        rotation: Addresses of the balancers to which the router sends packets.
        vm_by_address: The VMs.
        client_by_id: The clients, by flow id.
        cut_links: Pairs of addresses; messages from the first to the second
            are lost.
        log_events: Time in seconds, source address and event of each log
            record.
    """

    def __init__(self, *, seed: int = 1, loss: float = 0.0) -> None:
        super().__init__(100.0)
        self.random = random.Random(seed)
        self.loss = loss
        self.configuration = configuration()
        self.closed_data_centres: frozenset[str] = frozenset()
        self.record_store = route_record_store.RecordStore()
        self.balancer_by_address: dict[str, balancers.Balancer] = {}
        self.rotation: list[str] = []
        self.vm_by_address: dict[str, SimulatedVM] = {}
        self.client_by_id: dict[segments.FlowId, SimulatedClient] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.log_events: list[tuple[float, str, messages.LogEvent]] = []
        self._ports = itertools.count(1000)
        self._start_numbers = itertools.count(1)

    # Processes

    def start_balancer(
        self,
        address: str,
        *,
        data_centre: str = "a",
        in_rotation: bool = True,
        configured: bool = True,
    ) -> balancers.Balancer:
        """Starts a balancer, which reads the store immediately.

        Args:
            address: Its address; a running balancer there is replaced.
            data_centre: Its data centre.
            in_rotation: Whether to add the address to the rotation.
            configured: Whether it has read the configuration.
        """
        balancer = balancers.Balancer(
            address=address,
            data_centre=data_centre,
            started_at=self.now,
            peers=peers.PeerTable(address),
            fetcher=document_exchange.DocumentFetcher(address),
        )
        self.balancer_by_address[address] = balancer
        if in_rotation and address not in self.rotation:
            self.rotation.append(address)
        if configured:
            self.configure(balancer)
        for vm in self.vm_by_address.values():
            self.perform(
                address,
                balancer.register(
                    vm.address, vm.service, vm.data_centre, now=self.now
                ),
            )
        balancer.agents_loaded = True
        self._tick_balancer(address, balancer)
        return balancer

    def configure(self, balancer: balancers.Balancer) -> None:
        """Applies the configuration in the store to a balancer."""
        version = self.configuration.version
        actions = balancer.configure(
            self.configuration,
            position=store_position.StorePosition(0, version),
        )
        actions += balancer.close_data_centres(
            self.closed_data_centres,
            position=store_position.StorePosition(0, version),
        )
        self.perform(balancer.address, actions)

    def configure_all(self, new_configuration: routes.Configuration) -> None:
        """Stores a new configuration and applies it to all balancers."""
        self.configuration = new_configuration
        for balancer in self.balancer_by_address.values():
            self.configure(balancer)

    def _tick_balancer(
        self, address: str, balancer: balancers.Balancer
    ) -> None:
        if self.balancer_by_address.get(address) is not balancer:
            return
        self.record_store.make_calls(balancer.history, now=self.now)
        self.perform(address, balancer.tick(now=self.now))
        self.call_later(
            balancers.TICK_S, lambda: self._tick_balancer(address, balancer)
        )

    def kill_balancer(self, address: str) -> None:
        """Kills a balancer; the router still sends packets to its address."""
        self.balancer_by_address.pop(address, None)

    def start_vm(
        self, address: str, *, service: str = "core", data_centre: str = "a"
    ) -> SimulatedVM:
        """Starts a VM with an agent and a target."""
        vm = SimulatedVM(address, service, data_centre)
        self.vm_by_address[address] = vm
        self.start_agent(vm)
        self.start_target(vm)
        for balancer_address, balancer in self.balancer_by_address.items():
            self.perform(
                balancer_address,
                balancer.register(address, service, data_centre, now=self.now),
            )
        return vm

    def start_agent(self, vm: SimulatedVM) -> agents.Agent:
        """Starts a VM's agent, or restarts it with its state lost."""
        agent = make_agent(
            node=vm.address,
            service=vm.service,
            data_centre=vm.data_centre,
            run_id=self.random.getrandbits(32),
            cold_per_second=None,
            started_at=self.now,
        )
        vm.agent = agent
        self._tick_agent(vm, agent)
        return agent

    def _tick_agent(self, vm: SimulatedVM, agent: agents.Agent) -> None:
        if vm.agent is not agent:
            return
        self.perform(vm.address, agent.tick(now=self.now))
        self.call_later(agents.TICK_S, lambda: self._tick_agent(vm, agent))

    def start_target(
        self, vm: SimulatedVM, *, cold_ms: int = 0
    ) -> SimulatedTarget:
        """Starts a VM's target, or restarts it with its flows lost."""
        start_number = next(self._start_numbers)
        target = SimulatedTarget(
            f"i-{start_number}", start_number, cold_ms=cold_ms
        )
        vm.target = target
        self._send_heartbeat(vm, target)
        return target

    def _send_heartbeat(
        self, vm: SimulatedVM, target: SimulatedTarget
    ) -> None:
        if vm.target is not target:
            return
        target.heartbeats += 1
        if vm.agent is not None:
            heartbeat = make_heartbeat(
                target.heartbeats,
                target_id=target.target_id,
                born=target.born,
                service=vm.service,
                draining=target.draining,
                cold_ms=target.cold_ms,
            )
            actions = vm.agent.handle_heartbeat(heartbeat, now=self.now)
            self.perform(vm.address, actions)
        target.cold_ms = max(
            0, target.cold_ms - round(1000 * HEARTBEAT_INTERVAL_S)
        )
        self.call_later(
            HEARTBEAT_INTERVAL_S, lambda: self._send_heartbeat(vm, target)
        )

    # Network

    def perform(self, source: str, actions: list[messages.Action]) -> None:
        """Performs the actions of a balancer or agent."""
        for action in actions:
            match action:
                case messages.Send(address, message):
                    data = transparent.encode(message)
                    self._transmit(source, address, data)
                case messages.Reset(flow_id, sequence):
                    data = packets.encode_reset(flow_id, sequence)
                    self.call_later(
                        NETWORK_DELAY_S,
                        functools.partial(self._receive_at_client, data),
                    )
                case messages.Deliver(data, tag):
                    self._deliver_to_target(
                        source, packets.with_tag(data, tag)
                    )
                case messages.ProbeTarget():
                    self.call_later(
                        0.0, functools.partial(self._probe_target, source)
                    )
                case messages.ProbeAgent(address):
                    self.call_later(
                        2 * NETWORK_DELAY_S,
                        functools.partial(self._probe_agent, source, address),
                    )
                case messages.SendToClient(_, data):
                    if self.random.random() >= self.loss:
                        self.call_later(
                            NETWORK_DELAY_S,
                            functools.partial(self._receive_at_client, data),
                        )
                case messages.LogEvent():
                    self.log_events.append((self.now, source, action))

    def _transmit(self, source: str, address: str, data: bytes) -> None:
        if (
            source,
            address,
        ) in self.cut_links or self.random.random() < self.loss:
            return
        delay_s = NETWORK_DELAY_S * self.random.uniform(0.8, 1.2)
        self.call_later(delay_s, lambda: self._receive(source, address, data))

    def _receive(self, source: str, address: str, data: bytes) -> None:
        message = transparent.decode(data)
        assert message is not None
        balancer = self.balancer_by_address.get(address)
        if balancer is not None:
            actions = self._handle_at_balancer(balancer, source, message)
            self.perform(address, actions)
        vm = self.vm_by_address.get(address)
        if vm is None or vm.agent is None:
            return
        match message:
            case messages.Forward():
                segment = client_segment(message.data)
                actions = vm.agent.handle_forward(
                    source, message, segment, now=self.now
                )
                self.perform(address, actions)
            case messages.FlowQuery():
                actions = vm.agent.handle_query(source, message, now=self.now)
                self.perform(address, actions)
            case messages.PortUsedAgain():
                vm.agent.handle_port_used_again(source, message, now=self.now)
            case messages.PeerStatus(position):
                vm.agent.fetcher.note_position(source, position, now=self.now)
            case messages.Capabilities():
                vm.agent.subscribers.handle_capabilities(
                    source, message, now=self.now
                )
            case messages.Hello():
                actions = vm.agent.handle_hello(source, message, now=self.now)
                self.perform(address, actions)

    def _handle_at_balancer(
        self,
        balancer: balancers.Balancer,
        source: str,
        message: messages.Message,
    ) -> list[messages.Action]:
        match message:
            case messages.OpeningRefused(reason, data, wait_ms):
                segment = client_segment(data)
                return balancer.handle_refusal(
                    source, reason, segment, now=self.now, wait_ms=wait_ms
                )
            case messages.PacketReturned(data):
                segment = client_segment(data)
                return balancer.handle_returned_packet(
                    source, segment, now=self.now
                )
        return balancer.handle_message(source, message, now=self.now)

    def _deliver_to_target(self, address: str, data: bytes) -> None:
        vm = self.vm_by_address[address]
        if vm.target is None:
            return
        for answer in vm.target.receive(data, self.now):
            segment = packets.decode(answer, from_target=True)
            if vm.agent is not None and segment is not None:
                actions = vm.agent.handle_target_packet(segment, now=self.now)
                self.perform(address, actions)

    def _probe_target(self, address: str) -> None:
        vm = self.vm_by_address[address]
        if vm.agent is not None and vm.target is None:
            actions = vm.agent.handle_unreachable(now=self.now)
            self.perform(address, actions)

    def _probe_agent(self, source: str, address: str) -> None:
        """Refuses a balancer's connection; a VM without processes is off."""
        vm = self.vm_by_address.get(address)
        balancer = self.balancer_by_address.get(source)
        if vm is None or vm.agent is not None or vm.target is None:
            return
        if balancer is not None:
            self.perform(
                source, balancer.target_table.handle_refused_probe(address)
            )

    # Clients

    def open_flow(self) -> SimulatedClient:
        """Opens a flow; sends up to three openings until one is accepted."""
        flow_id = (0x64400001, next(self._ports), ROUTE_ADDRESS, ROUTE_PORT)
        client = SimulatedClient(flow_id, self.now)
        self.client_by_id[flow_id] = client
        for attempt, delay_s in enumerate((0.0, 0.2, 0.6)):
            self.call_later(
                delay_s, functools.partial(self._send_opening, client, attempt)
            )
        return client

    def _send_opening(self, client: SimulatedClient, attempt: int) -> None:
        if not client.accepted and not client.resets:
            self.send(packet(client.flow_id, SYN, acknowledged=attempt))

    def request(self, client: SimulatedClient) -> None:
        """Sends a request; repeats it up to twice until it is answered."""
        expected = client.answers + 1
        for delay_s in (0.0, 0.2, 0.6):
            self.call_later(
                delay_s, lambda: self._send_request(client, expected)
            )

    def _send_request(self, client: SimulatedClient, expected: int) -> None:
        if client.answers < expected and not client.resets:
            self.send(packet(client.flow_id, ACK, data=b"request"))

    def close(self, client: SimulatedClient) -> None:
        """Ends a flow; does nothing if it isn't open."""
        if client.accepted and not client.resets:
            self.send(packet(client.flow_id, FIN | ACK))

    def send(self, data: bytes) -> None:
        """Sends a client's packet through the router.

        The router selects a balancer by the hash of the flow id, modulo the
        number of balancers in rotation.
        """
        if not self.rotation or self.random.random() < self.loss:
            return
        segment = client_segment(data)
        index = hash(segment.flow_id) % len(self.rotation)
        address = self.rotation[index]
        self.call_later(
            NETWORK_DELAY_S,
            lambda: self._receive_at_balancer(address, segment),
        )

    def _receive_at_balancer(
        self, address: str, segment: segments.Segment
    ) -> None:
        balancer = self.balancer_by_address.get(address)
        if balancer is not None:
            actions = balancer.handle_packet(segment, now=self.now)
            self.perform(address, actions)

    def _receive_at_client(self, data: bytes) -> None:
        segment = packets.decode(data, from_target=True)
        assert segment is not None
        client = self.client_by_id.get(segment.flow_id)
        if client is None:
            return
        if segment.resetting:
            client.resets += 1
        elif segment.accepting and not client.accepted:
            client.accepted = True
            self.send(packet(client.flow_id, ACK))
        elif segment.size:
            client.answers += 1
