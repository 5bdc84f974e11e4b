"""Router and clients of a soak."""

import random
import selectors
import socket
import zlib

import attrs

from godwitturn.core.transparent import segments
from godwitturn.daemons import http_client
from godwitturn.daemons import reactor
from godwitturn.platform import packets
from godwitturn.soak import deployment
from godwitturn.soak import history as histories
from godwitturn.standins import platform_messages
from godwitturn.standins import transparent_simulation

# Routers ask twice a second and take a balancer out after two misses.
READINESS_S = 0.5
MISSES_TO_LEAVE = 2
READINESS_TIMEOUT_S = 0.4
TICK_S = 0.02
FLOWS = 60
# Copies of openings and repetitions of requests, after the first packet.
REPEAT_S = (0.2, 0.6, 1.4)
OPENING_LIMIT_S = 1.4
REQUEST_LIMIT_S = 3.0
# Pauses between the requests of a flow.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 1.5
REQUESTS_PER_FLOW = 12
RECEIVE_BYTES = 2048


class Router:
    """Hands packets to balancers by a hash over those in rotation."""

    def __init__(
        self, loop: reactor.Reactor, balancers: list[deployment.Member]
    ) -> None:
        self._loop = loop
        self._balancers = balancers
        self._misses = [MISSES_TO_LEAVE] * len(balancers)
        loop.call_every(READINESS_S, self._ask_all)
        self._ask_all()

    def _ask_all(self) -> None:
        for number, balancer in enumerate(self._balancers):
            self._ask(number, balancer.address)

    def _ask(self, number: int, address: str) -> None:
        client = http_client.HttpClient(
            self._loop, (address, platform_messages.READY_PORT)
        )

        def done(status: int | None, _: bytes) -> None:
            client.close()
            self._misses[number] = (
                0 if status == 200 else self._misses[number] + 1
            )

        client.call("GET", "/ready", b"", READINESS_TIMEOUT_S, done)

    @property
    def ready(self) -> int:
        """How many balancers are in rotation."""
        return sum(misses < MISSES_TO_LEAVE for misses in self._misses)

    def choose(self, flow_id: segments.FlowId, data_centre: str) -> str:
        """Returns the balancer that gets a packet.

        All of a data centre are used while fewer than half are in rotation.
        """
        local = [
            (balancer.address, misses < MISSES_TO_LEAVE)
            for balancer, misses in zip(
                self._balancers, self._misses, strict=True
            )
            if balancer.data_centre == data_centre
        ]
        rotation = [address for address, ready in local if ready]
        if 2 * len(rotation) < len(local):
            rotation = [address for address, _ in local]
        draw = zlib.crc32(b"%d.%d.%d.%d" % flow_id)
        return rotation[draw % len(rotation)]


@attrs.define
class ClientFlow:
    """A flow as its client sees it.

    Attributes:
        flow_id: Its id.
        data_centre: Where the client is.
        began_at: When the opening or the request was first sent.
        open: Whether the opening was accepted.
        request: Body of the request that waits for its answer, if one does.
        repeats: How often the packet was sent again.
        next_at: When the next request is sent.
        sent: Requests so far.
        target: Name of the target's start that holds the flow, once known.
    """

    flow_id: segments.FlowId
    data_centre: str
    began_at: float
    open: bool = False
    request: bytes = b""
    repeats: int = 0
    next_at: float = 0.0
    sent: int = 0
    target: str = ""


class Clients:
    """Clients of one data centre; all use one address."""

    def __init__(
        self,
        loop: reactor.Reactor,
        history: histories.History,
        router: Router,
        address: str,
        data_centre: str,
        draws: random.Random,
    ) -> None:
        self._loop = loop
        self._history = history
        self._router = router
        self._address = int.from_bytes(socket.inet_aton(address), "big")
        self._data_centre = data_centre
        self._draws = draws
        self._port = 1024
        self._flow_by_id: dict[segments.FlowId, ClientFlow] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address, platform_messages.PACKETS_PORT))
        self._socket.setblocking(False)
        loop.watch(self._socket, selectors.EVENT_READ, self._ready)
        loop.call_every(TICK_S, self._tick)

    def close(self) -> None:
        """Closes the clients' socket."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _send(self, flow: ClientFlow, flags: int, data: bytes = b"") -> None:
        packet = transparent_simulation.packet(flow.flow_id, flags, data=data)
        balancer = self._router.choose(flow.flow_id, self._data_centre)
        try:
            self._socket.sendto(
                packet, (balancer, platform_messages.PACKETS_PORT)
            )
        except OSError:
            return  # nobody listens there just now

    def _tick(self) -> None:
        now = self._loop.now
        if len(self._flow_by_id) < FLOWS:
            self._open(now)
        for flow in list(self._flow_by_id.values()):
            self._advance(flow, now)

    def _open(self, now: float) -> None:
        self._port += 1
        service = self._draws.choice(sorted(deployment.PORT_BY_SERVICE))
        host = int.from_bytes(socket.inet_aton(deployment.ROUTE_HOST), "big")
        flow_id = (
            self._address,
            self._port,
            host,
            deployment.PORT_BY_SERVICE[service],
        )
        flow = ClientFlow(flow_id, self._data_centre, now)
        self._flow_by_id[flow_id] = flow
        self._send(flow, transparent_simulation.SYN)

    def _advance(self, flow: ClientFlow, now: float) -> None:
        waiting = not flow.open or bool(flow.request)
        if not waiting:
            if now >= flow.next_at:
                self._ask(flow, now)
            return
        limit_s = REQUEST_LIMIT_S if flow.open else OPENING_LIMIT_S
        if now - flow.began_at > limit_s:
            self._forget(flow)
            self._history.records.append(
                histories.GivenUp(now, flow.flow_id, not flow.open)
            )
            return
        if (
            flow.repeats < len(REPEAT_S)
            and now - flow.began_at >= REPEAT_S[flow.repeats]
        ):
            flow.repeats += 1
            if flow.open:
                self._send(flow, transparent_simulation.ACK, flow.request)
            else:
                self._send(flow, transparent_simulation.SYN)

    def _ask(self, flow: ClientFlow, now: float) -> None:
        if flow.sent >= REQUESTS_PER_FLOW:
            self._send(
                flow, transparent_simulation.FIN | transparent_simulation.ACK
            )
            self._forget(flow)
            return
        flow.sent += 1
        flow.request = b"%d/%d" % (flow.flow_id[1], flow.sent)
        flow.began_at = now
        flow.repeats = 0
        self._send(flow, transparent_simulation.ACK, flow.request)

    def _forget(self, flow: ClientFlow) -> None:
        del self._flow_by_id[flow.flow_id]

    def _ready(self) -> None:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except OSError:
            return
        segment = packets.decode(data, from_target=True)
        if segment is None:
            return
        flow = self._flow_by_id.get(segment.flow_id)
        if flow is not None:
            self._receive(flow, segment, self._loop.now)

    def _receive(
        self, flow: ClientFlow, segment: segments.Segment, now: float
    ) -> None:
        if segment.resetting:
            self._forget(flow)
            self._history.records.append(
                histories.ResetSeen(now, flow.flow_id, flow.target)
            )
        elif segment.accepting and not flow.open:
            flow.open = True
            self._send(flow, transparent_simulation.ACK)
        elif segment.size:
            self._answered(flow, segment, now)

    def _answered(
        self, flow: ClientFlow, segment: segments.Segment, now: float
    ) -> None:
        target, _, body = segment.data[-segment.size :].partition(b" ")
        name = target.decode(errors="replace")
        port, _, number = body.partition(b"/")
        own = port == b"%d" % flow.flow_id[1]
        answered = flow.sent - 1 if flow.request else flow.sent
        if own and number.isdigit() and int(number) <= answered:
            return  # a second answer to a request that was repeated
        expected = body == flow.request and flow.target in ("", name)
        self._history.records.append(
            histories.Answered(
                now, flow.flow_id, name, expected, now - flow.began_at
            )
        )
        flow.target = name
        flow.request = b""
        flow.next_at = now + self._draws.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
