"""Simulation of an agent and its target under load, in simulated time."""

from collections.abc import Callable
import functools
import itertools
import random

import attrs

from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import opening_queue
from godwitturn.core.transparent import segments
from godwitturn.platform import packets
from godwitturn.standins import simulated_time
from godwitturn.standins import transparent_simulation

BALANCER = "10.0.0.1"
# One-way delay in seconds between a client and the agent.
DELAY_S = 0.006
# Requests that the target queues for each slot; it sheds the others.
TARGET_QUEUE_PER_SLOT = 4


@attrs.define(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        terms: Its terms; the expected wait is that of the agent's last
            announcement.
        service_s: Time in seconds for which a request occupies a slot.
        sends_terms: Whether balancers send the terms with its openings.
    """

    terms: messages.RequestTerms
    service_s: float
    sends_terms: bool = True


@attrs.define(eq=False)
class Client:
    """A client that sends one request.

    Attributes:
        kind: Kind of its request.
        opened_at: When it sent its first opening.
        answered_at: When the response arrived, None if none did.
        refusal: Why its opening was refused, None if it wasn't.
        refused_at: When the agent refused it.
        accepted: Whether an opening was accepted.
        runs: How often the target started its request.
    """

    kind: Kind
    opened_at: float
    answered_at: float | None = None
    refusal: messages.Refusal | None = None
    refused_at: float = 0.0
    accepted: bool = False
    runs: int = 0

    @property
    def latency_ms(self) -> float:
        """Time until the response in milliseconds, infinite if none came."""
        if self.answered_at is None:
            return float("inf")
        return 1000 * (self.answered_at - self.opened_at)

    @property
    def timely(self) -> bool:
        """Whether the response came within the objective."""
        return self.latency_ms <= self.kind.terms.objective_ms


class Simulation(simulated_time.SimulatedTime):
    """An agent, its target, and clients that open one flow each.

    Attributes:
        agent: The agent.
        clients: All clients, in the order of arrival.
        shed: Number of requests that the target shed.
        hangs: Whether the target answers nothing.
        clients_leave: Whether clients end their flow before their request, as
            the acceptance came too late. The target drops such requests.
        returns: Whether balancers expect the wait that the agent announced;
            otherwise they expect a long one, as if all targets were full.
        suspended: Whether the agent handles nothing.
        slowdown: Factor of the time that requests take.
        announcements: Number of announcements that the agent has sent.
    """

    def __init__(self, *, slots: int = 1, seed: int = 1) -> None:
        super().__init__(100.0)
        self.random = random.Random(seed)
        self.agent = transparent_simulation.make_agent()
        self.clients: list[Client] = []
        self.shed = 0
        self.hangs = False
        self.clients_leave = False
        self.returns = True
        self.suspended = False
        self.slowdown = 1.0
        self.announcements = 0
        self._slots = slots
        self._client_by_id: dict[segments.FlowId, Client] = {}
        self._running: dict[segments.FlowId, int] = {}
        self._queued: list[segments.FlowId] = []
        self._ended: set[segments.FlowId] = set()
        self._held: list[Callable[[], list[messages.Action]]] = []
        self._wait_ms = 0
        self._numbers = itertools.count(1)
        self._born = 0
        self.start_target()
        self.agent.subscribers.handle_capabilities(
            BALANCER,
            messages.Capabilities(messages.MESSAGES_VERSION),
            now=self.now,
        )
        self._tick()

    def add_load(self, kind: Kind, per_second: float, seconds: float) -> None:
        """Adds clients from now on, one at random in each interval.

        Arrivals that are independent of each other come in groups that a
        single target can't serve in time.
        """
        for number in range(round(per_second * seconds)):
            self.call_later(
                (number + self.random.random()) / per_second,
                functools.partial(self._add_client, kind),
            )

    def _add_client(self, kind: Kind) -> None:
        self.add_client(kind)

    def add_client(self, kind: Kind) -> Client:
        """Adds a client that opens its flow now."""
        flow_id = (next(self._numbers), 4000, 1, 443)
        client = Client(kind, self.now)
        self.clients.append(client)
        self._client_by_id[flow_id] = client
        for copy, delay_s in enumerate(opening_queue.COPY_DELAYS_S):
            self.call_later(
                delay_s,
                functools.partial(self._open, flow_id, copy),
            )
        return client

    def opened(self, start: float, end: float) -> list[Client]:
        """Returns the clients that opened their flow in a period."""
        return [
            client
            for client in self.clients
            if start <= client.opened_at < end
        ]

    def _open(self, flow_id: segments.FlowId, copy: int) -> None:
        client = self._client_by_id[flow_id]
        if client.accepted or client.refusal is not None:
            return
        terms = None
        if client.kind.sends_terms:
            wait_ms = self._wait_ms if self.returns else 60_000
            terms = attrs.evolve(client.kind.terms, expected_wait_ms=wait_ms)
        data = transparent_simulation.packet(
            flow_id, transparent_simulation.SYN, acknowledged=copy
        )
        self.call_later(DELAY_S, lambda: self._forward(data, terms))

    def _forward(
        self, data: bytes, terms: messages.RequestTerms | None
    ) -> None:
        arrived_at = self.now
        self._handle(
            lambda: self.agent.handle_forward(
                BALANCER,
                messages.Forward("core", False, data, terms),
                transparent_simulation.client_segment(data),
                now=self.now,
                delay_s=self.now - arrived_at,
            )
        )

    def _handle(self, call: Callable[[], list[messages.Action]]) -> None:
        if self.suspended:
            self._held.append(call)
        else:
            self._perform(call())

    def resume(self) -> None:
        """Ends the suspension of the agent."""
        self.suspended = False
        held, self._held = self._held, []
        for call in held:
            self._perform(call())

    def _tick(self) -> None:
        if not self.suspended:
            self._perform(self.agent.tick(now=self.now))
        self.call_later(agents.TICK_S, self._tick)

    def start_target(self, *, cold_ms: int = 0) -> None:
        """Starts the target, or restarts it with its requests lost."""
        self._born += 1
        self._running.clear()
        self._queued.clear()
        heartbeat = transparent_simulation.make_heartbeat(
            born=self._born, slots=self._slots, cold_ms=cold_ms
        )
        self._perform(self.agent.handle_heartbeat(heartbeat, now=self.now))

    def _perform(self, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.Deliver(data):
                    self._receive_at_target(
                        transparent_simulation.client_segment(data)
                    )
                case messages.SendToClient(flow_id, data):
                    segment = packets.decode(data, from_target=True)
                    assert segment is not None
                    self.call_later(
                        DELAY_S,
                        functools.partial(
                            self._receive_at_client, flow_id, segment
                        ),
                    )
                case messages.Send(_, messages.OpeningRefused(reason, data)):
                    segment = transparent_simulation.client_segment(data)
                    client = self._client_by_id[segment.flow_id]
                    client.refusal = reason
                    client.refused_at = self.now
                case messages.Send(_, messages.Announcement(wait_ms=wait_ms)):
                    self.announcements += 1
                    self._wait_ms = wait_ms or 0

    def _receive_at_target(self, segment: segments.Segment) -> None:
        flow_id = segment.flow_id
        if segment.opening:
            self._send(
                flow_id,
                transparent_simulation.SYN | transparent_simulation.ACK,
            )
            return
        if segment.ending:
            self._ended.add(flow_id)
            return
        if flow_id in self._ended:
            self._send(
                flow_id,
                transparent_simulation.FIN | transparent_simulation.ACK,
            )
            return
        if len(self._queued) >= TARGET_QUEUE_PER_SLOT * self._slots:
            self.shed += 1
            self._send(flow_id, transparent_simulation.RST)
            return
        self._queued.append(flow_id)
        self._start_requests()

    def _start_requests(self) -> None:
        while self._queued and len(self._running) < self._slots:
            flow_id = self._queued.pop(0)
            client = self._client_by_id[flow_id]
            client.runs += 1
            self._running[flow_id] = self._born
            self.call_later(
                self.slowdown * client.kind.service_s,
                functools.partial(self._answer, flow_id, self._born),
            )

    def _answer(self, flow_id: segments.FlowId, born: int) -> None:
        if self._running.get(flow_id) != born:
            return
        if self.hangs:
            self.call_later(
                agents.TICK_S, functools.partial(self._answer, flow_id, born)
            )
            return
        del self._running[flow_id]
        self._start_requests()
        self._send(flow_id, transparent_simulation.ACK, b"answer")

    def _send(
        self, flow_id: segments.FlowId, flags: int, data: bytes = b""
    ) -> None:
        packet = transparent_simulation.packet(
            flow_id, flags, data=data, from_target=True
        )
        segment = packets.decode(packet, from_target=True)
        assert segment is not None
        self._handle(
            lambda: self.agent.handle_target_packet(segment, now=self.now)
        )

    def _receive_at_client(
        self, flow_id: segments.FlowId, segment: segments.Segment
    ) -> None:
        client = self._client_by_id[flow_id]
        if segment.accepting and not client.accepted:
            client.accepted = True
            if self.clients_leave:
                end = transparent_simulation.packet(
                    flow_id,
                    transparent_simulation.FIN | transparent_simulation.ACK,
                )
                self.call_later(DELAY_S, lambda: self._forward(end, None))
            data = transparent_simulation.packet(
                flow_id, transparent_simulation.ACK, data=b"request"
            )
            self.call_later(DELAY_S, lambda: self._forward(data, None))
        elif segment.size and client.answered_at is None:
            client.answered_at = self.now
