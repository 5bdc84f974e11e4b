"""A small deployment on loopback addresses, for the scripts of review 3.

The daemons are the project's own, started by the commands of the deploy file.
Store, router, endpoints and clients are stand-ins that follow PROTOCOL.md;
only the standard library is used.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2

PACKETS_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
OUTBOUND_PORT = 8162
APP_PORT = 8165
INTERNAL_PORTS = [7720, 7735]
HEARTBEAT_S = 1.2
# Bounds of the site kcmu-onboard.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_stretch_ms": 12000,
    "cold_overshoot": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "reorder_ms": 2000,
    "flow_ttl_s": 60,
}
IDLE_TIMEOUT_S = 15.0

SYN, FIN, BOUNCED, ACK, RST = 1, 4, 8, 32, 128
HEADER = struct.Struct("<HIHIIIIIBBH")
SUM_KEY = b"known to clients and endpoints only"
MODULUS = 1 << 32

# Client address and port, route address and port.
FlowId = tuple[int, int, int, int]


def to_number(address: str) -> int:
    """Returns an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(address), "big")


def flow_name(flow: FlowId) -> str:
    """Returns a flow's ports as text."""
    return f"port {flow[1]} to route port {flow[3]}"


@dataclasses.dataclass
class Packet:
    """A decoded packet.

    Attributes:
        source: Address and port of the sender's end.
        destination: Address and port of the other end.
        echo: Number that an endpoint returns unchanged.
        seq: Sequence number.
        ack: Acknowledgement number.
        flags: Bits of the flags.
        data: The data.
        genuine: Whether the sum is right.
    """

    source: tuple[int, int]
    destination: tuple[int, int]
    echo: int
    seq: int
    ack: int
    flags: int
    data: bytes
    genuine: bool

    def has(self, bits: int) -> bool:
        """Returns whether all of some flags are set."""
        return self.flags & bits == bits


def _sum(fields: tuple[int, ...], data: bytes) -> int:
    return zlib.crc32(SUM_KEY + repr(fields).encode() + data)


def encode(
    source: tuple[int, int],
    destination: tuple[int, int],
    flags: int,
    *,
    seq: int = 0,
    ack: int = 0,
    data: bytes = b"",
) -> bytes:
    """Returns a packet with its sum."""
    fields = (*source, *destination, seq, ack, flags, len(data))
    return (
        HEADER.pack(
            source[1],
            destination[0],
            destination[1],
            source[0],
            0,
            seq,
            ack,
            _sum(fields, data),
            flags,
            0,
            len(data),
        )
        + data
    )


def decode(raw: bytes) -> Packet | None:
    """Returns the packet in a datagram, None if it is malformed."""
    if len(raw) < HEADER.size:
        return None
    sport, dst, dport, src, echo, seq, ack, total, flags, _, size = (
        HEADER.unpack_from(raw)
    )
    data = raw[HEADER.size :]
    if len(data) != size:
        return None
    fields = (src, sport, dst, dport, seq, ack, flags & ~BOUNCED, size)
    genuine = total == _sum(fields, data)
    return Packet(
        (src, sport), (dst, dport), echo, seq, ack, flags, data, genuine
    )


class Record:
    """Lines of `record.txt`: what was sent, answered, run and judged."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the script began."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Adds a line."""
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class _HttpServer:
    """HTTP/1.1 on a stream, with a handler that returns status and body."""

    def __init__(
        self,
        handler: Callable[
            [str, str, dict[str, str], bytes],
            Awaitable[tuple[int, dict[str, Any]]],
        ],
    ) -> None:
        self._handler = handler

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode("latin-1").split()
                size = 0
                while (header := await reader.readline()).strip():
                    name, _, value = header.decode("latin-1").partition(":")
                    if name.lower() == "content-length":
                        size = int(value)
                body = await reader.readexactly(size) if size else b""
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                status, answer = await self._handler(
                    method, parts.path, query, body
                )
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            writer.close()


class Store:
    """The platform's store; each machine reaches it at a port of its own.

    Attributes:
        refused: Names of machines whose calls get 503.
    """

    def __init__(self, address: str) -> None:
        self.refused: set[str] = set()
        self._address = address
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1000)
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._task = asyncio.ensure_future(self._expire())

    async def listen(self, machine: str) -> tuple[str, int]:
        """Returns an address of the store that only one machine is given."""

        async def handle(
            method: str, path: str, query: dict[str, str], body: bytes
        ) -> tuple[int, dict[str, Any]]:
            if machine in self.refused:
                return 503, {}
            return await self._handle(method, path, query, body)

        server = await asyncio.start_server(
            _HttpServer(handle).serve, self._address, 0
        )
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return host, port

    def close(self) -> None:
        """Stops listening."""
        self._task.cancel()
        for server in self._servers:
            server.close()

    async def put(self, key: str, document: Any) -> None:
        """Writes a key as the operator does."""
        async with self._changed:
            self._put(key, base64.b64encode(json.dumps(document).encode()), 0)

    async def delete(self, key: str) -> None:
        """Removes a key as the operator does."""
        async with self._changed:
            self._delete(key)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        previous = self._items.get(key)
        item = {
            "key": key,
            "value": value.decode(),
            "revision": self._revision,
            "created": previous["created"] if previous else self._revision,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)
        self._changed.notify_all()

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._events.append(
            {"key": key, "revision": self._revision, "deleted": True}
        )
        self._changed.notify_all()

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self._delete(key)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            async with self._changed:
                for lease, (ends_at, _) in list(self._leases.items()):
                    if time.monotonic() > ends_at:
                        self._end_lease(lease)

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == "/kv-watch":
            return await self._watch(query)
        async with self._changed:
            if path == "/kv-key":
                item = self._items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "at": self._revision}
            if path == "/kv-range":
                return 200, self._range(query)
            if path == "/kv-txn":
                return self._write(json.loads(body))
            if path == "/kv-lease":
                ttl_ms = json.loads(body)["ttl_ms"]
                lease = next(self._lease_ids)
                ttl_s = ttl_ms / 1000
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"lease": lease, "ttl_ms": ttl_ms}
            lease = int(path.rpartition("/")[2])
            if path.startswith("/kv-keep/"):
                if lease not in self._leases:
                    return 404, {}
                ttl_s = self._leases[lease][1]
                self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
                return 200, {"ttl_ms": round(1000 * ttl_s)}
            self._end_lease(lease)
            return 200, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return {"items": items, "has_more": False, "at": self._revision}

    def _write(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        keys = [row["key"] for row in call["precondition"]]
        for row in call["precondition"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                present = [self._items[k] for k in keys if k in self._items]
                return 412, {"items": present}
        for put in call["puts"]:
            if put["lease"] and put["lease"] not in self._leases:
                return 404, {}
        for put in call["puts"]:
            self._put(put["key"], put["value"].encode(), put["lease"])
        for key in call["deletes"]:
            self._delete(key)
        return 200, {"revision": self._revision}

    async def _watch(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        async with self._changed:
            while True:
                events = [
                    event
                    for event in self._events
                    if event["key"].startswith(query["prefix"])
                    and event["revision"] > int(query["after"])
                ]
                left_s = ends_at - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "at": self._revision}
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    continue


class _Datagrams(asyncio.DatagramProtocol):
    """Passes datagrams to a callback."""

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._on_datagram(data)


async def bind(
    address: tuple[str, int], on_datagram: Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Binds a UDP socket."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: _Datagrams(on_datagram), local_addr=address
    )
    return transport


async def call(
    address: tuple[str, int], method: str, path: str, document: Any = None
) -> int | None:
    """Makes an HTTP call; returns the status, None without an answer."""
    body = b"" if document is None else json.dumps(document).encode()
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            status = await reader.readline()
            writer.close()
            return int(status.split()[1])
    except (OSError, TimeoutError, ValueError, IndexError):
        return None


@dataclasses.dataclass
class _EndpointFlow:
    """A flow at an endpoint."""

    client_seq: int
    own_seq: int
    expected: int
    next_seq: int
    used_at: float
    is_open: bool = False
    answer: bytes = b""
    answer_end: int = 0
    closing_at: float | None = None


@dataclasses.dataclass
class Taken:
    """An opening packet that an endpoint took.

    Attributes:
        at: When it arrived, in seconds since the script began.
        flow: The flow.
        seq: Sequence number of the opening, which tells flows apart that use
            the same ports.
        endpoint: The endpoint.
    """

    at: float
    flow: FlowId
    seq: int
    endpoint: "Endpoint"


class Endpoint:
    """An endpoint beside an agent; each object is one start of it.

    Attributes:
        first_heartbeat_s: Seconds from its start to its first heartbeat.
        cold_s: Seconds for which it is cold after its start.
    """

    first_heartbeat_s = 0.0
    cold_s = 0.0

    def __init__(
        self, record: Record, taken: list[Taken], machine: "Machine"
    ) -> None:
        self.name = f"i-{random.getrandbits(32):08x}"
        self.service = machine.service
        self.zone = machine.zone
        self.address = machine.address
        self.started_at = record.now
        self.cold_until = self.started_at + self.cold_s
        self.ended_at: float | None = None
        self.state = "ready"
        self._record = record
        self._taken = taken
        self._born = round(time.time() * 1000)
        self._sequence = 0
        self._flows: dict[FlowId, _EndpointFlow] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        self._transport = await bind(
            (self.address, APP_PORT), self._on_datagram
        )
        self._server = await asyncio.start_server(
            _HttpServer(self._health).serve, self.address, APP_PORT
        )
        self._tasks.append(asyncio.ensure_future(self._send_heartbeats()))
        self._tasks.append(asyncio.ensure_future(self._close_idle_flows()))
        self._record.write(
            f"endpoint {self.name} of {self.service} starts at {self.address}"
        )

    def end(self) -> None:
        """Ends at once, without a word to anyone."""
        if self.ended_at is not None:
            return
        self.ended_at = self._record.now
        for task in self._tasks:
            task.cancel()
        for closable in (self._transport, self._server):
            if closable is not None:
                closable.close()
        self._record.write(f"endpoint {self.name} of {self.service} ends")

    async def _health(self, *_: object) -> tuple[int, dict[str, Any]]:
        return (200 if self.state == "ready" else 503), {}

    def heartbeat(self) -> dict[str, Any]:
        """Returns the document of the endpoint's newest heartbeat."""
        cold_left_s = self.cold_until - self._record.now
        return {
            "service": self.service,
            "address": f"{self.address}:{APP_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_remaining_ms": max(0, round(1000 * cold_left_s)),
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self.first_heartbeat_s)
        while True:
            self._sequence += 1
            status = await call(
                (self.address, CONTROL_PORT),
                "PUT",
                f"/instances/{self.name}",
                self.heartbeat(),
            )
            # An endpoint that starts before its agent calls again soon.
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def _close_idle_flows(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for flow, state in list(self._flows.items()):
                if state.closing_at is not None:
                    # Eight retransmissions take about ten seconds.
                    if now - state.closing_at > 10.0:
                        del self._flows[flow]
                elif now - state.used_at > IDLE_TIMEOUT_S:
                    state.closing_at = now
                    self._send(
                        flow,
                        FIN | ACK,
                        seq=state.next_seq,
                        ack=state.expected,
                    )

    def _send(
        self,
        flow: FlowId,
        flags: int,
        *,
        seq: int,
        ack: int,
        data: bytes = b"",
    ) -> bytes:
        raw = encode(
            (flow[2], flow[3]),
            (flow[0], flow[1]),
            flags,
            seq=seq,
            ack=ack,
            data=data,
        )
        self._transport.sendto(raw, (self.address, OUTBOUND_PORT))
        return raw

    def _on_datagram(self, raw: bytes) -> None:
        packet = decode(raw)
        if packet is None or not packet.genuine:
            self._record.write(f"endpoint {self.name} gets a forged packet")
            return
        flow = (*packet.source, *packet.destination)
        if packet.flags & (SYN | ACK) == SYN:
            self._take_opening(flow, packet)
            return
        state = self._flows.get(flow)
        if state is None or not (
            state.is_open or packet.ack == (state.own_seq + 1) % MODULUS
        ):
            flags_at = 28
            returned = bytearray(raw)
            returned[flags_at] |= BOUNCED
            returned[flags_at + 1] = 0
            self._transport.sendto(
                bytes(returned), (self.address, OUTBOUND_PORT)
            )
            return
        state.is_open = True
        state.used_at = time.monotonic()
        if packet.has(RST):
            del self._flows[flow]
        elif packet.data:
            self._take_request(flow, state, packet)
        elif packet.has(FIN):
            # The client has all answers; both ends close.
            state.expected = (packet.seq + 1) % MODULUS
            self._send(flow, FIN | ACK, seq=state.next_seq, ack=state.expected)
            state.closing_at = time.monotonic() - 9.0

    def _take_opening(self, flow: FlowId, packet: Packet) -> None:
        state = self._flows.get(flow)
        if state is None or state.client_seq != packet.seq:
            own_seq = random.getrandbits(32)
            state = _EndpointFlow(
                packet.seq,
                own_seq,
                (packet.seq + 1) % MODULUS,
                (own_seq + 1) % MODULUS,
                time.monotonic(),
            )
            self._flows[flow] = state
            self._taken.append(Taken(self._record.now, flow, packet.seq, self))
            self._record.write(
                f"endpoint {self.name} of {self.service} in {self.zone} takes "
                f"the opening of {flow_name(flow)}"
            )
        self._send(
            flow,
            SYN | ACK,
            seq=state.own_seq,
            ack=(state.client_seq + 1) % MODULUS,
        )

    def _take_request(
        self, flow: FlowId, state: _EndpointFlow, packet: Packet
    ) -> None:
        if packet.seq != state.expected:
            if state.answer and packet.seq + len(packet.data) == (
                state.expected
            ):
                self._transport.sendto(
                    state.answer, (self.address, OUTBOUND_PORT)
                )
            return
        state.expected = (packet.seq + len(packet.data)) % MODULUS
        answer = f"{self.service} {self.name} ".encode() + packet.data
        self._record.write(
            f"endpoint {self.name} of {self.service} runs request "
            f"{packet.data.decode()}"
        )
        state.answer = self._send(
            flow, ACK, seq=state.next_seq, ack=state.expected, data=answer
        )
        state.next_seq = (state.next_seq + len(answer)) % MODULUS


@dataclasses.dataclass
class Machine:
    """A machine with one daemon, and for agents with an endpoint."""

    name: str
    role: str
    address: str
    zone: str
    service: str = ""
    process: asyncio.subprocess.Process | None = None
    endpoint: Endpoint | None = None
    log: pathlib.Path = pathlib.Path()


class Router:
    """Hashes flows over the balancers in rotation, form `mod`."""

    def __init__(self, balancers: list[Machine]) -> None:
        self._balancers = balancers
        self._misses = {balancer.name: 2 for balancer in balancers}
        self._tasks = [
            asyncio.ensure_future(self._probe(balancer))
            for balancer in balancers
        ]

    def close(self) -> None:
        """Stops the readiness checks."""
        for task in self._tasks:
            task.cancel()

    async def _probe(self, balancer: Machine) -> None:
        while True:
            status = await call(
                (balancer.address, READY_PORT), "GET", "/ready"
            )
            self._misses[balancer.name] = (
                0 if status == 200 else self._misses[balancer.name] + 1
            )
            await asyncio.sleep(0.5)

    def is_ready(self, name: str) -> bool:
        """Returns whether a balancer is in rotation."""
        return self._misses[name] < 2

    def choose(self, flow: FlowId, zone: str) -> str:
        """Returns the address of the balancer for a flow's packet."""
        local = [b for b in self._balancers if b.zone == zone]
        ready = [b for b in local if self.is_ready(b.name)]
        if 2 * len(ready) < len(local):
            ready = local
        flow_hash = zlib.crc32(b"%d.%d.%d.%d" % flow)
        return ready[flow_hash % len(ready)].address


class ClientFlow:
    """A flow as its client sees it.

    Attributes:
        flow: Its addresses and ports.
        seq: Sequence number of the opening.
        sent_at: When the opening was sent first.
        opened_at: When it was opened, in seconds since the script began.
        resets: Times of resets that the client got.
    """

    def __init__(self, clients: "Clients", flow: FlowId) -> None:
        self.flow = flow
        self.seq = random.getrandbits(32)
        self.sent_at = 0.0
        self.opened_at: float | None = None
        self.resets: list[float] = []
        self._clients = clients
        self._next_seq = (self.seq + 1) % MODULUS
        self._expected = 0
        self._answer: asyncio.Future[bytes] | None = None
        self._opened = asyncio.get_running_loop().create_future()

    async def open(self) -> bool:
        """Opens the flow; returns whether an endpoint accepted it."""
        record = self._clients.record
        record.write(f"client opens {flow_name(self.flow)}")
        self.sent_at = record.now
        for number, pause_s in enumerate((0.2, 0.4, 0.8)):
            self._clients.send(self.flow, SYN, seq=self.seq, ack=number)
            done, _ = await asyncio.wait({self._opened}, timeout=pause_s)
            if done:
                break
        if not self._opened.done():
            record.write(f"client gives up opening {flow_name(self.flow)}")
            return False
        if not self._opened.result():
            return False
        self.opened_at = record.now
        return True

    async def request(self, name: str, deadline_s: float = 1.2) -> str | None:
        """Sends a request; returns the answer, None without one."""
        data = name.encode()
        self._answer = asyncio.get_running_loop().create_future()
        ends_at = time.monotonic() + deadline_s
        pause_s = 0.2
        while time.monotonic() < ends_at and not self._answer.done():
            self._clients.send(
                self.flow,
                ACK,
                seq=self._next_seq,
                ack=self._expected,
                data=data,
            )
            left_s = max(0.0, ends_at - time.monotonic())
            await asyncio.wait({self._answer}, timeout=min(pause_s, left_s))
            pause_s *= 2
        answer = self._answer.result() if self._answer.done() else None
        self._answer = None
        if not answer:
            self._clients.record.write(f"client gets no answer to {name}")
            return None
        self._next_seq = (self._next_seq + len(data)) % MODULUS
        self._clients.record.write(f"client gets {answer.decode()!r}")
        return answer.decode()

    async def use(self, seconds: float, label: str) -> None:
        """Opens the flow and sends requests on it for some time."""
        if not await self.open():
            return
        ends_at = self._clients.record.now + seconds
        for number in itertools.count(1):
            await self.request(f"{self.flow[1]}/{label}/{number}")
            if self._clients.record.now + 2.0 > ends_at:
                return
            await asyncio.sleep(2.0)

    async def close(self) -> None:
        """Closes the flow at both ends."""
        self._clients.send(
            self.flow, FIN | ACK, seq=self._next_seq, ack=self._expected
        )
        await asyncio.sleep(0.05)
        self._clients.send(
            self.flow,
            ACK,
            seq=(self._next_seq + 1) % MODULUS,
            ack=(self._expected + 1) % MODULUS,
        )
        self._clients.forget(self)
        self._clients.record.write(f"client closes {flow_name(self.flow)}")

    def abandon(self) -> None:
        """Leaves without a word, as a client that loses its power."""
        self._clients.forget(self)
        self._clients.record.write(f"client leaves {flow_name(self.flow)}")

    def receive(self, packet: Packet) -> None:
        """Handles a packet of the route's address and port."""
        if packet.has(RST):
            self._clients.record.write(
                f"client gets a reset on {flow_name(self.flow)}, "
                f"{'of the endpoint' if packet.genuine else 'of the system'}"
            )
            self.resets.append(self._clients.record.now)
            if not self._opened.done():
                self._opened.set_result(False)
            if self._answer is not None and not self._answer.done():
                self._answer.set_result(b"")
            return
        if not packet.genuine:
            self._clients.record.write(
                f"client gets a forged packet on {flow_name(self.flow)}"
            )
            return
        if packet.has(SYN | ACK):
            if (
                not self._opened.done()
                and packet.ack == (self.seq + 1) % MODULUS
            ):
                self._expected = (packet.seq + 1) % MODULUS
                self._opened.set_result(True)
                self._clients.send(
                    self.flow, ACK, seq=self._next_seq, ack=self._expected
                )
            return
        if packet.data and packet.seq == self._expected:
            self._expected = (self._expected + len(packet.data)) % MODULUS
            if self._answer is not None and not self._answer.done():
                self._answer.set_result(packet.data)


class Clients:
    """Clients of one zone, which share one address."""

    def __init__(
        self, record: Record, router: Router, address: str, zone: str
    ) -> None:
        self.record = record
        self.address = address
        self._router = router
        self._zone = zone
        self._flows: dict[FlowId, ClientFlow] = {}

    async def start(self) -> None:
        """Starts to receive packets."""
        self._transport = await bind(
            (self.address, PACKETS_PORT), self._on_datagram
        )

    def close(self) -> None:
        """Closes the socket."""
        self._transport.close()

    def flow(self, port: int, route: tuple[str, int]) -> ClientFlow:
        """Returns a flow that is to be opened from a port."""
        key = (to_number(self.address), port, to_number(route[0]), route[1])
        flow = self._flows[key] = ClientFlow(self, key)
        return flow

    def forget(self, flow: ClientFlow) -> None:
        """Ends a flow at the client."""
        if self._flows.get(flow.flow) is flow:
            del self._flows[flow.flow]

    def send(
        self,
        flow: FlowId,
        flags: int,
        *,
        seq: int,
        ack: int,
        data: bytes = b"",
    ) -> None:
        """Sends a packet through the router."""
        raw = encode(
            (flow[0], flow[1]),
            (flow[2], flow[3]),
            flags,
            seq=seq,
            ack=ack,
            data=data,
        )
        balancer = self._router.choose(flow, self._zone)
        if not self._transport.is_closing():
            self._transport.sendto(raw, (balancer, PACKETS_PORT))

    def _on_datagram(self, raw: bytes) -> None:
        packet = decode(raw)
        if packet is None:
            return
        flow = self._flows.get((*packet.destination, *packet.source))
        if flow is not None:
            flow.receive(packet)


class Deployment:
    """Store, machines, router and clients of a case.

    Attributes:
        record: The record.
        store: The store.
        machines: The machines by name.
        router: The router.
        taken: Opening packets that endpoints took.
    """

    def __init__(self, record: Record, subnet: str) -> None:
        self.record = record
        self.subnet = subnet
        self.store = Store(f"{subnet}.250")
        self.machines: dict[str, Machine] = {}
        self.taken: list[Taken] = []
        self.router: Router
        self._directory = pathlib.Path(tempfile.mkdtemp())
        self._clients: list[Clients] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._run = {
            role: fields["run"].split()
            for role, fields in deploy["roles"].items()
        }

    @property
    def balancers(self) -> list[Machine]:
        """The balancers in the order in which they were added."""
        return [m for m in self.machines.values() if m.role == "balancer"]

    @property
    def agents(self) -> list[Machine]:
        """The machines with an endpoint."""
        return [m for m in self.machines.values() if m.role == "agent"]

    def add(
        self, name: str, role: str, number: int, zone: str, service: str = ""
    ) -> Machine:
        """Adds a machine, whose processes are not started yet."""
        machine = Machine(name, role, f"{self.subnet}.{number}", zone, service)
        machine.log = self._directory / f"{name}.log"
        self.machines[name] = machine
        return machine

    async def start_all(self, zones: list[str]) -> list[Clients]:
        """Starts everything; returns the clients of each zone."""
        for machine in self.machines.values():
            await self.start(machine)
            if machine.role == "agent":
                await self.start_endpoint(machine)
        self.router = Router(self.balancers)
        for number, zone in enumerate(zones):
            clients = Clients(
                self.record, self.router, f"{self.subnet}.{200 + number}", zone
            )
            await clients.start()
            self._clients.append(clients)
        ends_at = time.monotonic() + 15.0
        while time.monotonic() < ends_at:
            await asyncio.sleep(0.1)
            if all(self.router.is_ready(b.name) for b in self.balancers):
                # Agents have registered, and balancers know of all.
                await asyncio.sleep(3.0)
                return self._clients
        raise RuntimeError("balancers aren't ready")

    async def start(self, machine: Machine) -> None:
        """Starts the daemon of a machine."""
        seeds = [f"{b.address}:{CONTROL_PORT}" for b in self.balancers[:3]]
        host, port = await self.store.listen(machine.name)
        zones = {m.zone: "region-1" for m in self.machines.values()}
        fields: dict[str, Any] = {
            "node_id": machine.name,
            "role": machine.role,
            "machine_class": "edge" if machine.role == "balancer" else "side",
            "ip": machine.address,
            "zone": machine.zone,
            "region": "region-1",
            "zones": zones,
            "listen": {
                "datagram_addr": f"{machine.address}:{PACKETS_PORT}",
                "ready_addr": f"{machine.address}:{READY_PORT}",
                "control": f"{machine.address}:{CONTROL_PORT}",
            },
            "internal_ports": INTERNAL_PORTS,
            "seeds": seeds,
            "heartbeat_ms": round(1000 * HEARTBEAT_S),
            "bounds": BOUNDS,
            "hash_mode": "mod",
            "forwarding_mode": "agent",
            "platform": {
                "address": f"{host}:{port}",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        if machine.role == "agent":
            fields["listen"]["outbound"] = f"{machine.address}:{OUTBOUND_PORT}"
            fields["app"] = f"{machine.address}:{APP_PORT}"
            fields["service"] = machine.service
        path = self._directory / f"{machine.name}.json"
        path.write_text(json.dumps(fields))
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        with machine.log.open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self._run[machine.role],
                cwd=ROOT,
                env={
                    **environment,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "GODWITTURN_CONFIG": str(path),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"{machine.role} {machine.name} starts")

    async def start_endpoint(self, machine: Machine) -> Endpoint:
        """Starts an endpoint on a machine."""
        machine.endpoint = Endpoint(self.record, self.taken, machine)
        await machine.endpoint.start()
        return machine.endpoint

    async def stop(self, machine: Machine, number: signal.Signals) -> None:
        """Ends the daemon of a machine with a signal, and waits for it."""
        process = machine.process
        if process is None or process.returncode is not None:
            return
        self.record.write(f"{machine.role} {machine.name} gets {number.name}")
        process.send_signal(number)
        try:
            async with asyncio.timeout(BOUNDS["grace_s"]):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        self.record.write(f"{machine.role} {machine.name} has ended")

    async def close(self) -> None:
        """Ends all that was started."""
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            if machine.endpoint is not None:
                machine.endpoint.end()
        for clients in self._clients:
            clients.close()
        if hasattr(self, "router"):
            self.router.close()
        self.store.close()
        for path in self._directory.iterdir():
            if path.suffix == ".log" and "KEEP_LOGS" in os.environ:
                continue
            path.unlink()
        if "KEEP_LOGS" not in os.environ:
            self._directory.rmdir()
        else:
            print(self._directory)


def route(name: str, port: int, service: str) -> dict[str, Any]:
    """Returns a route of the operators' configuration."""
    return {
        "name": name,
        "host": "198.18.0.1",
        "prefix": f"/{port}/",
        "route_type": "non_idempotent",
        "timeout_ms": 1200,
        "target_latency_ms": 150,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    cold_per_s: float = 0.0,
) -> dict[str, Any]:
    """Returns a configuration of the operators."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_conns": 2000,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 2.0,
                "cold_per_s": cold_per_s,
            }
            for service in services
        ],
        "limits": {"idle_timeout_ms": round(1000 * IDLE_TIMEOUT_S)},
    }


def in_trouble() -> bool:
    """Returns whether the case's disruption is to happen."""
    return os.environ.get("TROUBLE") != "0"


def main(
    directory: str, case: Callable[[Deployment], Awaitable[bool]]
) -> None:
    """Runs a case and exits with its result.

    Args:
        directory: Folder of the case, for the record.
        case: Returns whether the rule was broken.
    """
    record = Record(pathlib.Path(directory) / "record.txt")

    async def run() -> int:
        numbers = random.sample(range(10, 250), 2)
        deployment = Deployment(record, f"127.{numbers[0]}.{numbers[1]}")
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110.0):
                broken = await case(deployment)
        except (Exception, asyncio.CancelledError) as exc:
            # Any other exit would pass for a result.
            record.write(f"the case could not run: {exc!r}")
            return NOT_RUN
        finally:
            await deployment.close()
        return BROKEN if broken else HELD

    status = asyncio.run(run())
    record.write(f"exit status {status}")
    record.close()
    sys.exit(status)
