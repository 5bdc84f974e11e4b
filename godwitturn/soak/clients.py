"""Router and clients of a soak."""

import collections
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

# Routers check readiness twice a second and take a balancer out of rotation
# after two failed checks.
READINESS_INTERVAL_S = 0.5
FAILED_CHECKS_LIMIT = 2
READINESS_TIMEOUT_S = 0.4
# Interval at which clients open flows and send the packets that are due.
TICK_S = 0.02
# Flows of the clients of one data centre.
CONCURRENT_FLOWS = 60
# Times at which an opening or a request is retransmitted, since it was first
# sent.
RETRANSMIT_S = (0.2, 0.6, 1.4)
OPENING_TIMEOUT_S = 1.4
REQUEST_TIMEOUT_S = 3.0
# Pauses between the requests of a flow.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 1.5
REQUESTS_PER_FLOW = 12
# The clients of a data centre also open flows of one request at this interval.
# The long flows alone gave a cold target at most 6 openings in a second, where
# 11 are allowed.
SHORT_FLOW_INTERVAL_S = 0.05
SHORT_FLOWS_PORT = 443
RECEIVE_BYTES = 2048
# Time from the end of a flow until its port is used again, if ports are.
PORT_REUSE_S = 0.5


class Router:
    """Chooses among the balancers in rotation by a hash of the flow."""

    def __init__(
        self, loop: reactor.Reactor, balancers: list[deployment.Member]
    ) -> None:
        self._loop = loop
        self._balancers = balancers
        self._failed_checks = [FAILED_CHECKS_LIMIT] * len(balancers)
        loop.call_every(READINESS_INTERVAL_S, self._check_all)
        self._check_all()

    def _check_all(self) -> None:
        for number, balancer in enumerate(self._balancers):
            self._check_readiness(number, balancer.address)

    def _check_readiness(self, number: int, address: str) -> None:
        client = http_client.HttpClient(
            self._loop, (address, platform_messages.READY_PORT)
        )

        def done(status: int | None, _: bytes) -> None:
            client.close()
            self._failed_checks[number] = (
                0 if status == 200 else self._failed_checks[number] + 1
            )

        client.call("GET", "/ready", b"", READINESS_TIMEOUT_S, done)

    @property
    def ready_count(self) -> int:
        """Number of balancers in rotation."""
        return sum(
            failed < FAILED_CHECKS_LIMIT for failed in self._failed_checks
        )

    def choose(self, flow_id: segments.FlowId, data_centre: str) -> str:
        """Returns the address of the balancer for a packet.

        While fewer than half of a data centre's balancers are in rotation,
        all of them are used.
        """
        local = [
            (balancer.address, failed < FAILED_CHECKS_LIMIT)
            for balancer, failed in zip(
                self._balancers, self._failed_checks, strict=True
            )
            if balancer.data_centre == data_centre
        ]
        rotation = [address for address, ready in local if ready]
        if 2 * len(rotation) < len(local):
            rotation = [address for address, _ in local]
        flow_hash = zlib.crc32(b"%d.%d.%d.%d" % flow_id)
        return rotation[flow_hash % len(rotation)]


@attrs.define
class ClientFlow:
    """A flow as its client sees it.

    Attributes:
        flow_id: Its id.
        data_centre: Data centre of the client.
        began_at: Time at which the opening or the request was first sent.
        open: Whether the opening was accepted.
        request: Body of the unanswered request, empty for none.
        retransmissions: Number of retransmissions of the opening or of the
            request.
        next_request_at: Time at which the next request is sent.
        request_count: Number of requests so far.
        max_requests: Number of requests after which the client closes it.
        target: Name of the target instance that holds the flow, empty until
            known.
        sequence: Sequence number of the opening; once the flow is open, of
            the next request or of the unanswered one.
        acknowledged: Sequence number that is expected from the target next.
    """

    flow_id: segments.FlowId
    data_centre: str
    began_at: float
    open: bool = False
    request: bytes = b""
    retransmissions: int = 0
    next_request_at: float = 0.0
    request_count: int = 0
    target: str = ""
    sequence: int = 0
    acknowledged: int = 0
    max_requests: int = REQUESTS_PER_FLOW


class Clients:
    """Clients of one data centre, which share one address."""

    def __init__(
        self,
        loop: reactor.Reactor,
        history: histories.History,
        router: Router,
        address: str,
        data_centre: str,
        generator: random.Random,
        *,
        reuse_ports: bool = False,
    ) -> None:
        self._loop = loop
        self._history = history
        self._router = router
        self._reuse_ports = reuse_ports
        # Ports that may be used again, and since when they are free.
        self._free_ports: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._address = int.from_bytes(socket.inet_aton(address), "big")
        self._data_centre = data_centre
        self._generator = generator
        # Separate, so that sequence numbers don't change the load of a seed.
        self._sequence_generator = random.Random(address)
        self._port = 1024
        self._flow_by_id: dict[segments.FlowId, ClientFlow] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address, platform_messages.PACKETS_PORT))
        self._socket.setblocking(False)
        loop.watch(self._socket, selectors.EVENT_READ, self._on_readable)
        loop.call_every(TICK_S, self._tick)
        loop.call_every(
            SHORT_FLOW_INTERVAL_S,
            lambda: self._open_flow(SHORT_FLOWS_PORT, max_requests=1),
        )

    def close(self) -> None:
        """Closes the clients' socket."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _send(self, flow: ClientFlow, flags: int, data: bytes = b"") -> None:
        packet = transparent_simulation.packet(
            flow.flow_id,
            flags,
            sequence=flow.sequence,
            # An opening has the number of its copy here.
            acknowledged=(
                flow.acknowledged if flow.open else flow.retransmissions
            ),
            data=data,
        )
        balancer = self._router.choose(flow.flow_id, self._data_centre)
        try:
            self._socket.sendto(
                packet, (balancer, platform_messages.PACKETS_PORT)
            )
        except OSError:
            return  # no process listens at the balancer's address

    def _tick(self) -> None:
        now = self._loop.now
        long_flows = sum(
            flow.max_requests > 1 for flow in self._flow_by_id.values()
        )
        if long_flows < CONCURRENT_FLOWS:
            port = self._generator.choice(sorted(deployment.SERVICE_BY_PORT))
            self._open_flow(port, max_requests=REQUESTS_PER_FLOW)
        for flow in list(self._flow_by_id.values()):
            self._advance(flow, now)

    def _open_flow(self, port: int, *, max_requests: int) -> None:
        client_port = self._choose_port()
        host = int.from_bytes(socket.inet_aton(deployment.ROUTE_HOST), "big")
        flow_id = (self._address, client_port, host, port)
        flow = ClientFlow(
            flow_id,
            self._data_centre,
            self._loop.now,
            sequence=self._sequence_generator.getrandbits(32),
            max_requests=max_requests,
        )
        self._flow_by_id[flow_id] = flow
        self._send(flow, transparent_simulation.SYN)

    def _choose_port(self) -> int:
        """Returns a client's port for a new flow."""
        if self._free_ports:
            free_since, port = self._free_ports[0]
            if self._loop.now - free_since >= PORT_REUSE_S:
                self._free_ports.popleft()
                return port
        self._port += 1
        return self._port

    def _advance(self, flow: ClientFlow, now: float) -> None:
        is_waiting = not flow.open or bool(flow.request)
        if not is_waiting:
            if now >= flow.next_request_at:
                self._send_request_or_close(flow, now)
            return
        timeout_s = REQUEST_TIMEOUT_S if flow.open else OPENING_TIMEOUT_S
        if now - flow.began_at > timeout_s:
            self._remove(flow)
            self._history.records.append(
                histories.GivenUp(now, flow.flow_id, not flow.open)
            )
            return
        if (
            flow.retransmissions < len(RETRANSMIT_S)
            and now - flow.began_at >= RETRANSMIT_S[flow.retransmissions]
        ):
            flow.retransmissions += 1
            if flow.open:
                self._send(flow, transparent_simulation.ACK, flow.request)
            else:
                self._send(flow, transparent_simulation.SYN)

    def _send_request_or_close(self, flow: ClientFlow, now: float) -> None:
        if flow.request_count >= flow.max_requests:
            self._send(
                flow, transparent_simulation.FIN | transparent_simulation.ACK
            )
            self._remove(flow)
            return
        flow.request_count += 1
        flow.request = b"%d/%d" % (flow.flow_id[1], flow.request_count)
        flow.began_at = now
        flow.retransmissions = 0
        self._send(flow, transparent_simulation.ACK, flow.request)

    def _remove(self, flow: ClientFlow) -> None:
        del self._flow_by_id[flow.flow_id]
        if self._reuse_ports:
            self._free_ports.append((self._loop.now, flow.flow_id[1]))

    def _is_of_former_flow(
        self, flow: ClientFlow, segment: segments.Segment
    ) -> bool:
        """Returns whether a packet is of an earlier flow of the same port.

        Without reuse of ports, each packet is of the port's only flow.
        """
        if not self._reuse_ports or not flow.open:
            return False
        return not transparent_simulation.accepts_packet(
            segment.sequence, flow.acknowledged
        )

    def _on_readable(self) -> None:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except OSError:
            return
        segment = packets.decode(data, from_target=True)
        if segment is None:
            return
        flow = self._flow_by_id.get(segment.flow_id)
        if flow is not None and not self._is_of_former_flow(flow, segment):
            self._receive(flow, segment, self._loop.now)

    def _receive(
        self, flow: ClientFlow, segment: segments.Segment, now: float
    ) -> None:
        if segment.resetting:
            self._remove(flow)
            self._history.records.append(
                histories.ResetSeen(now, flow.flow_id, flow.target)
            )
        elif segment.accepting:
            self._handle_accepted(flow, segment)
        elif segment.size:
            self._handle_answer(flow, segment, now)

    def _handle_accepted(
        self, flow: ClientFlow, segment: segments.Segment
    ) -> None:
        """Opens the flow at the first target that accepts its opening.

        Other targets may have accepted copies of the opening. Their sequence
        numbers are never acknowledged.
        """
        after_opening = transparent_simulation.advance(flow.sequence, 1)
        if flow.open or segment.acknowledged != after_opening:
            return
        flow.open = True
        flow.sequence = after_opening
        flow.acknowledged = transparent_simulation.advance(
            transparent_simulation.sequence_number(segment.data), 1
        )
        self._send(flow, transparent_simulation.ACK)

    def _handle_answer(
        self, flow: ClientFlow, segment: segments.Segment, now: float
    ) -> None:
        target, _, body = segment.data[-segment.size :].partition(b" ")
        name = target.decode(errors="replace")
        port, _, number = body.partition(b"/")
        is_own = port == b"%d" % flow.flow_id[1]
        answered_count = (
            flow.request_count - 1 if flow.request else flow.request_count
        )
        if (
            is_own
            and number.isdigit()
            and int(number) <= answered_count
            and name == flow.target
        ):
            return  # a copy of an earlier answer
        sequence = transparent_simulation.sequence_number(segment.data)
        expected = (
            body == flow.request
            and flow.target in ("", name)
            and sequence == flow.acknowledged
        )
        self._history.records.append(
            histories.Answered(
                now, flow.flow_id, name, expected, now - flow.began_at
            )
        )
        flow.target = name
        flow.sequence = transparent_simulation.advance(
            flow.sequence, len(flow.request)
        )
        flow.acknowledged = transparent_simulation.advance(
            sequence, segment.size
        )
        flow.request = b""
        if flow.request_count < flow.max_requests:
            flow.next_request_at = now + self._generator.uniform(
                MIN_PAUSE_S, MAX_PAUSE_S
            )
