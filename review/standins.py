"""Stand-ins for the platform, its clients and its endpoints.

They follow the users' pages and use loopback addresses and the real clock.
The balancers and agents are the project's own programs, started with the
commands of the deploy file.
"""

import argparse
import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKET_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
APP_PORT = 8165
OUTBOUND_PORT = 8162
PEER_PORT = 7720
METRICS_PORT = 9464
USED_PORTS = (
    PACKET_PORT,
    READY_PORT,
    CONTROL_PORT,
    APP_PORT,
    OUTBOUND_PORT,
    PEER_PORT,
    METRICS_PORT,
)
# Bounds of the small site files.
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
HEARTBEAT_S = 1.2
IDLE_TIMEOUT_MS = 15000
# Pause of the platform between the end of a process and its next start.
RESTART_DELAY_S = 0.7
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
MISSES_LIMIT = 2
SYN, FIN, BOUNCED, ACK, RST = 1, 4, 8, 32, 128
SYN_COPIES_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
RESET_WINDOW = 76_800
_HEADER = struct.Struct("<HIHIIIIIBBH")
_SUM_KEY = os.urandom(8)
_MODULUS = 1 << 32

FlowKey = tuple[str, int, str, int]


@dataclasses.dataclass
class Packet:
    """A packet of a flow."""

    source: str
    source_port: int
    destination: str
    destination_port: int
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
    echo: int = 0
    padding: int = 0
    checksum: int = 0

    def expected_checksum(self) -> int:
        """Returns the keyed sum over all fields but echo and padding."""
        fields = (
            self.source,
            self.source_port,
            self.destination,
            self.destination_port,
            self.flags & ~BOUNCED,
            self.sequence,
            self.acknowledged,
            self.data,
        )
        return zlib.crc32(_SUM_KEY + repr(fields).encode()) or 1

    def encode(self, *, checksum: int | None = None) -> bytes:
        """Returns the packet as a datagram."""
        total = self.expected_checksum() if checksum is None else checksum
        return (
            _HEADER.pack(
                self.source_port,
                _number(self.destination),
                self.destination_port,
                _number(self.source),
                self.echo,
                self.sequence,
                self.acknowledged,
                total,
                self.flags,
                self.padding,
                len(self.data),
            )
            + self.data
        )


def decode(data: bytes) -> Packet:
    """Returns the packet in a datagram."""
    (
        source_port,
        destination,
        destination_port,
        source,
        echo,
        sequence,
        acknowledged,
        checksum,
        flags,
        padding,
        size,
    ) = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    if len(body) != size:
        raise ValueError("length")
    return Packet(
        _text(source),
        source_port,
        _text(destination),
        destination_port,
        flags,
        sequence,
        acknowledged,
        body,
        echo,
        padding,
        checksum,
    )


def _number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def _text(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))


class Record:
    """What was sent, answered and run, as lines of `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns the seconds since the start of the record."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{self.now():9.3f}  {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive: Callable[[bytes, Any], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._receive(data, addr)


async def open_udp(
    address: tuple[str, int], receive: Callable[[bytes, Any], None]
) -> asyncio.DatagramTransport:
    """Binds a UDP socket and passes its datagrams to a function."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(receive), local_addr=address
    )
    return transport


async def http_call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    *,
    timeout_s: float = 1.0,
) -> int | None:
    """Makes an HTTP call; returns its status, None without an answer."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + body)
            line = await reader.readline()
            return int(line.split()[1])
    except (OSError, TimeoutError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


Answer = tuple[int, dict[str, Any]]


class HttpServer:
    """Serves HTTP/1.1 calls with a coroutine, one connection a task."""

    def __init__(
        self,
        handle: Callable[[str, str, dict[str, str], bytes], Awaitable[Answer]],
    ) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: tuple[str, int]) -> None:
        """Listens at an address."""
        self._server = await asyncio.start_server(self._serve, *address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_call(reader, writer):
                pass
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode().split()
        length = 0
        while (header := await reader.readline()).strip():
            name, _, value = header.decode().partition(":")
            if name.lower() == "content-length":
                length = int(value)
        body = await reader.readexactly(length)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        status, document = await self._handle(method, parts.path, query, body)
        answer = json.dumps(document).encode()
        writer.write(
            f"HTTP/1.1 {status} \r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n".encode()
            + answer
        )
        await writer.drain()
        return True

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


class Store:
    """The platform's key-value store."""

    def __init__(self) -> None:
        self.revision = 10
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._ends_at_by_lease: dict[int, tuple[float, float]] = {}
        self._next_lease = 1000
        self._changed = asyncio.Condition()
        self.server = HttpServer(self._handle)

    async def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Sets a key."""
        self._set(key, value, lease)
        await self._notify()

    async def delete(self, key: str) -> None:
        """Removes a key."""
        self._remove(key)
        await self._notify()

    def _set(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        earlier = self.item_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": earlier["created"] if earlier else self.revision,
            "lease": lease,
        }
        self.item_by_key[key] = item
        self._events.append(item)

    def _remove(self, key: str) -> None:
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._events.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    def _end_lease(self, lease: int) -> None:
        self._ends_at_by_lease.pop(lease, None)
        for key, item in list(self.item_by_key.items()):
            if item["lease"] == lease:
                self._remove(key)

    async def expire_leases(self) -> None:
        """Ends leases that were not renewed in time, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            ended = [
                lease
                for lease, (_, ends_at) in self._ends_at_by_lease.items()
                if ends_at < now
            ]
            for lease in ended:
                self._end_lease(lease)
            if ended:
                await self._notify()

    async def _handle(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Answer:
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.item_by_key.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**item, "at": self.revision}
        if path == "/kv-range":
            items = [
                item
                for key, item in sorted(self.item_by_key.items())
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            return 200, {
                "items": items,
                "has_more": False,
                "at": self.revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return await self._transact(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttl_ms"])
            self._next_lease += 1
            self._ends_at_by_lease[self._next_lease] = (
                ttl_ms / 1000,
                time.monotonic() + ttl_ms / 1000,
            )
            return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self._ends_at_by_lease:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_s, _ = self._ends_at_by_lease[lease]
            self._ends_at_by_lease[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": round(1000 * ttl_s)}
        self._end_lease(lease)
        await self._notify()
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(remaining_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _transact(self, document: dict[str, Any]) -> Answer:
        for row in document["precondition"]:
            item = self.item_by_key.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in document["puts"]:
            if put["lease"] and put["lease"] not in self._ends_at_by_lease:
                return 404, {}
        for put in document["puts"]:
            value = base64.b64decode(put["value"])
            self._set(put["key"], value, put["lease"])
        for key in document["deletes"]:
            self._remove(key)
        await self._notify()
        return 200, {"revision": self.revision}


@dataclasses.dataclass
class Arrival:
    """The first packet of a flow that an endpoint took.

    Attributes:
        flow: The flow.
        sent_at: When its client sent the first copy.
        at: When the endpoint took it.
        cold: Whether the endpoint was cold then.
    """

    flow: FlowKey
    sent_at: float
    at: float
    cold: bool


class Endpoint:
    """An endpoint of a service beside an agent; each start is new."""

    def __init__(
        self,
        deployment: "Deployment",
        name: str,
        service: str,
        zone: str,
        address: str,
        *,
        slots: int = 2,
        work_s: float = 0.01,
        cold_start_s: float = 2.0,
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.work_s = work_s
        self.cold_start_s = cold_start_s
        self.cold_until = 0.0
        self.started_at = 0.0
        self.running = False
        self.state = "ready"
        self.arrivals: list[Arrival] = []
        self.ran: list[str] = []
        self.open_flows: set[FlowKey] = set()
        self._sequence_by_flow: dict[FlowKey, int] = {}
        self._answer_by_flow: dict[FlowKey, tuple[int, bytes]] = {}
        self._requests: set[asyncio.Task[None]] = set()
        self._starts = 0
        self._beats = 0
        self._born = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._listener: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._slots_free = asyncio.Semaphore(slots)

    @property
    def is_cold(self) -> bool:
        """Whether the endpoint is cold."""
        return self.deployment.record.now() < self.cold_until

    async def start(self, *, cold: bool) -> None:
        """Starts a new incarnation, which sends a heartbeat at once."""
        record = self.deployment.record
        self._starts += 1
        self._beats = 0
        self._born = round(1000 * time.time())
        self._sequence_by_flow.clear()
        self._answer_by_flow.clear()
        self.open_flows.clear()
        self._slots_free = asyncio.Semaphore(self.slots)
        self.started_at = record.now()
        self.cold_until = self.started_at + self.cold_start_s if cold else 0.0
        self._listener = await asyncio.start_server(
            self._health, self.address, APP_PORT
        )
        self._transport = await open_udp(
            (self.address, APP_PORT), self._receive
        )
        self.running = True
        self._task = asyncio.create_task(self._send_heartbeats())
        record.write(f"{self.name} start {self._starts} cold={cold}")

    async def crash(self) -> None:
        """Ends the incarnation at once, without a word."""
        self.running = False
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._listener is not None:
            self._listener.close()
        self.deployment.record.write(f"{self.name} crashes")
        await asyncio.sleep(0)

    async def leave(self) -> None:
        """Drains, says that it leaves, and ends."""
        self.state = "draining"
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.create_task(self._send_heartbeats())
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 0.2)
        status = await http_call(
            (self.address, CONTROL_PORT),
            "DELETE",
            f"/instances/i-{self.name}-{self._starts}",
        )
        self.deployment.record.write(f"{self.name} leaves -> {status}")
        await self.crash()

    def become_cold(self) -> None:
        """Makes the endpoint cold; its next heartbeat says so."""
        self.cold_until = self.deployment.record.now() + self.cold_start_s
        self.deployment.record.write(f"{self.name} is cold from now on")

    async def _health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            if await reader.readline():
                writer.write(b"HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass
        writer.close()

    async def _send_heartbeats(self) -> None:
        while True:
            self._beats += 1
            cold_s = max(0.0, self.cold_until - self.deployment.record.now())
            document = {
                "service": self.service,
                "address": f"{self.address}:{APP_PORT}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": round(1000 * cold_s),
                "sequence": self._beats,
                "born": self._born,
            }
            status = await http_call(
                (self.address, CONTROL_PORT),
                "PUT",
                f"/instances/i-{self.name}-{self._starts}",
                json.dumps(document).encode(),
            )
            self.deployment.record.write(
                f"{self.name} heartbeat {self._beats} cold_ms="
                f"{document['cold_remaining_ms']} -> {status}"
            )
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    def _receive(self, data: bytes, _: Any) -> None:
        packet = decode(data)
        flow = (
            packet.source,
            packet.source_port,
            packet.destination,
            packet.destination_port,
        )
        if packet.checksum != packet.expected_checksum():
            self.deployment.broken.append(f"{self.name}: UNASKED packet")
            return
        own = self._sequence_by_flow.get(flow)
        if packet.flags & (SYN | ACK) == SYN:
            if own is None:
                own = random.getrandbits(32)
                self._sequence_by_flow[flow] = own
                self._take(flow)
            self._send(flow, SYN | ACK, own)
            return
        if own is None or (
            flow not in self.open_flows
            and packet.acknowledged != (own + 1) % _MODULUS
        ):
            packet.flags |= BOUNCED
            packet.padding = 0
            self._sendto(packet.encode(checksum=packet.checksum))
            return
        if flow not in self.open_flows:
            self.open_flows.add(flow)
            self.deployment.record.write(f"{self.name} opens {flow[:2]}")
        if packet.flags & FIN:
            self._send(flow, FIN | ACK, own + 1)
        elif packet.data:
            self._take_request(flow, packet)

    def _take(self, flow: FlowKey) -> None:
        sent_at = self.deployment.sent_at_by_flow.get(flow, 0.0)
        now = self.deployment.record.now()
        self.arrivals.append(Arrival(flow, sent_at, now, self.is_cold))

    def _take_request(self, flow: FlowKey, packet: Packet) -> None:
        earlier = self._answer_by_flow.get(flow)
        if earlier is not None and packet.sequence <= earlier[0]:
            # A copy of this request, or a late one of an earlier request.
            if earlier[1] and packet.sequence == earlier[0]:
                self._send(flow, ACK, packet.acknowledged, earlier[1])
            return
        self._answer_by_flow[flow] = (packet.sequence, b"")
        task = asyncio.create_task(
            self._run_request(flow, packet, self._starts)
        )
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _run_request(
        self, flow: FlowKey, packet: Packet, start: int
    ) -> None:
        request = packet.data.decode()
        async with self._slots_free:
            self.ran.append(request)
            self.deployment.record.write(f"{self.name} runs {request}")
            await asyncio.sleep(self.work_s)
        if start != self._starts or not self.running:
            return
        answer = f"{self.name} {request}".encode()
        self._answer_by_flow[flow] = (packet.sequence, answer)
        self._send(flow, ACK, packet.acknowledged, answer)

    def _send(
        self, flow: FlowKey, flags: int, sequence: int, data: bytes = b""
    ) -> None:
        client, client_port, host, port = flow
        packet = Packet(
            host,
            port,
            client,
            client_port,
            flags,
            sequence % _MODULUS,
            0,
            data,
        )
        self._sendto(packet.encode())

    def _sendto(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (self.address, OUTBOUND_PORT))


@dataclasses.dataclass
class Daemon:
    """A balancer or an agent."""

    name: str
    role: str
    address: str
    zone: str
    service: str = ""
    process: subprocess.Popen[bytes] | None = None
    misses: int = MISSES_LIMIT

    @property
    def in_rotation(self) -> bool:
        """Whether routers send packets to it."""
        return self.misses < MISSES_LIMIT


class Flow:
    """A flow as its client sees it."""

    def __init__(self, clients: "Clients", key: FlowKey) -> None:
        self.clients = clients
        self.key = key
        self.is_open = False
        self.reset = ""
        self.answers: asyncio.Queue[bytes] = asyncio.Queue()
        self._accepted = asyncio.Event()
        self._server_next = 0
        self._sequence = 1

    async def open(self) -> bool:
        """Opens the flow; returns whether an endpoint accepted it."""
        started_at = time.monotonic()
        for copy, wait_until in enumerate((*SYN_COPIES_S, OPENING_TIMEOUT_S)):
            self.clients.send(self, SYN, 0, copy)
            wait_s = started_at + wait_until - time.monotonic()
            try:
                await asyncio.wait_for(self._accepted.wait(), max(0, wait_s))
                break
            except TimeoutError:
                continue
        if self.is_open:
            self.clients.send(self, ACK, self._sequence, self._server_next)
        return self.is_open

    async def request(self, text: str, *, deadline_s: float) -> bytes | None:
        """Sends a request; returns the answer, None without one."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_s
        delay_s = RETRANSMIT_S
        data = text.encode()
        sequence = self._sequence
        self._sequence += len(data)
        answer = None
        while loop.time() < deadline and not self.reset:
            self.clients.send(self, ACK, sequence, self._server_next, data)
            wait_s = min(delay_s, deadline - loop.time())
            try:
                async with asyncio.timeout(wait_s):
                    answer = await self._answer_to(data)
                break
            except TimeoutError:
                delay_s = min(MAX_RETRANSMIT_S, 2 * delay_s)
        return answer

    async def _answer_to(self, request: bytes) -> bytes | None:
        """Returns the answer to a request, None once the flow is reset."""
        while True:
            data = await self.answers.get()
            if self.reset:
                return None
            # Others are copies of the answer to an earlier request.
            if data.endswith(b" " + request):
                return data

    def close(self) -> None:
        """Closes the client's end and forgets the flow."""
        if self.is_open and not self.reset:
            self.clients.send(
                self, FIN | ACK, self._sequence, self._server_next
            )
        self.clients.flow_by_key.pop(self.key, None)

    def receive(self, packet: Packet) -> None:
        """Handles a packet for the client."""
        if packet.flags & RST:
            distance = (packet.sequence - self._server_next) % _MODULUS
            is_near = min(distance, _MODULUS - distance) <= RESET_WINDOW
            if self.is_open and not is_near:
                return
            self.reset = "system" if packet.checksum == 0 else "endpoint"
            self._accepted.set()
            self.answers.put_nowait(b"")
        elif packet.flags & SYN and packet.flags & ACK:
            if not self.is_open:
                self.is_open = True
                self._server_next = (packet.sequence + 1) % _MODULUS
                self._accepted.set()
        elif packet.data:
            self.answers.put_nowait(packet.data)


class Clients:
    """Clients of one zone, which share one address."""

    def __init__(
        self, deployment: "Deployment", zone: str, address: str
    ) -> None:
        self.deployment = deployment
        self.zone = zone
        self.address = address
        self.flow_by_key: dict[FlowKey, Flow] = {}
        self._port = 1024
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Binds the clients' socket."""
        self._transport = await open_udp(
            (self.address, PACKET_PORT), self._receive
        )

    def new_flow(self, host: str, port: int) -> Flow:
        """Returns a new flow from a new port."""
        self._port = self._port + 1 if self._port < 65535 else 1025
        key = (self.address, self._port, host, port)
        flow = Flow(self, key)
        self.flow_by_key[key] = flow
        return flow

    def send(
        self,
        flow: Flow,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
    ) -> None:
        """Sends a packet through the daemon that the router chooses."""
        now = self.deployment.record.now()
        self.deployment.sent_at_by_flow.setdefault(flow.key, now)
        client, client_port, host, port = flow.key
        packet = Packet(
            client,
            client_port,
            host,
            port,
            flags,
            sequence % _MODULUS,
            acknowledged,
            data,
        )
        daemon = self.deployment.route(self.zone, flow.key)
        if daemon is not None and self._transport is not None:
            self._transport.sendto(
                packet.encode(), (daemon.address, PACKET_PORT)
            )

    def _receive(self, data: bytes, _: Any) -> None:
        packet = decode(data)
        key = (
            packet.destination,
            packet.destination_port,
            packet.source,
            packet.source_port,
        )
        is_own_reset = packet.checksum == 0 and packet.flags == RST
        if not is_own_reset and packet.checksum != packet.expected_checksum():
            self.deployment.broken.append("MIXED packet")
            return
        flow = self.flow_by_key.get(key)
        if flow is not None:
            flow.receive(packet)


class Deployment:
    """Store, daemons, endpoints, router and clients of a small deployment."""

    def __init__(self, record: Record, directory: pathlib.Path) -> None:
        self.record = record
        self.store = Store()
        self.daemons: list[Daemon] = []
        self.endpoints: list[Endpoint] = []
        self.clients_by_zone: dict[str, Clients] = {}
        self.sent_at_by_flow: dict[FlowKey, float] = {}
        self.broken: list[str] = []
        self.version = 1
        self.seeds: list[str] = []
        self.subnet = _free_subnet()
        self._directory = directory
        self._tasks: list[asyncio.Task[None]] = []
        self._deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )

    async def start(self, zones: tuple[str, ...]) -> None:
        """Starts the store, the router and the clients."""
        await self.store.server.start((f"{self.subnet}.200", 8169))
        for number, zone in enumerate(zones):
            clients = Clients(self, zone, f"{self.subnet}.{100 + number}")
            await clients.start()
            self.clients_by_zone[zone] = clients
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        self._tasks.append(asyncio.create_task(self._probe_forever()))

    def add_daemon(
        self, name: str, role: str, number: int, zone: str, service: str = ""
    ) -> Daemon:
        """Adds a machine with a daemon, which isn't started yet."""
        daemon = Daemon(name, role, f"{self.subnet}.{number}", zone, service)
        self.daemons.append(daemon)
        return daemon

    def _write_settings(self, daemon: Daemon) -> pathlib.Path:
        address = daemon.address
        listen = {
            "datagram_addr": f"{address}:{PACKET_PORT}",
            "ready_addr": f"{address}:{READY_PORT}",
            "control": f"{address}:{CONTROL_PORT}",
        }
        fields: dict[str, Any] = {
            "node_id": daemon.name,
            "role": daemon.role,
            "machine_class": "edge" if daemon.role == "balancer" else "side",
            "ip": address,
            "zone": daemon.zone,
            "region": "r",
            "zones": {zone: "r" for zone in self.clients_by_zone},
            "listen": listen,
            "internal_ports": [PEER_PORT, PEER_PORT + 15],
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in self.seeds],
            "bootstrap": False,
            "in_failure_budget": False,
            "data_dir": None,
            "discovery": "local",
            "entry": "announcement",
            "heartbeat_ms": round(1000 * HEARTBEAT_S),
            "bounds": BOUNDS,
            "hash_mode": "mod",
            "forwarding_mode": "agent",
            "platform": {
                "address": f"{self.subnet}.200:8169",
                "forwarding_mode": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        if daemon.role == "agent":
            listen["outbound"] = f"{address}:{OUTBOUND_PORT}"
            fields["app"] = f"{address}:{APP_PORT}"
            fields["service"] = daemon.service
        path = self._directory / f"{daemon.name}.json"
        path.write_text(json.dumps(fields))
        return path

    def start_daemon(self, daemon: Daemon) -> None:
        """Starts a daemon with the command of the deploy file."""
        path = self._write_settings(daemon)
        command = self._deploy["roles"][daemon.role]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["GODWITTURN_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._directory / f"{daemon.name}.log").open("ab") as log:
            daemon.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"{daemon.name} is started")

    async def restart_daemon(
        self, daemon: Daemon, number: signal.Signals
    ) -> None:
        """Ends a daemon by a signal and starts it again."""
        process = daemon.process
        assert process is not None
        self.record.write(f"{daemon.name} gets {number.name}")
        process.send_signal(number)
        deadline = time.monotonic() + BOUNDS["grace_s"]
        while process.poll() is None:
            if time.monotonic() > deadline:
                process.kill()
            await asyncio.sleep(0.01)
        self.record.write(f"{daemon.name} has ended")
        await asyncio.sleep(RESTART_DELAY_S)
        self.start_daemon(daemon)

    async def stop_daemon(self, daemon: Daemon) -> None:
        """Ends a daemon by SIGTERM, then by SIGKILL, for good."""
        process = daemon.process
        assert process is not None
        process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + BOUNDS["grace_s"]
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        if process.poll() is None:
            process.kill()
            process.wait()

    async def configure(
        self,
        routes: list[dict[str, Any]],
        services: tuple[str, ...],
        *,
        cold_per_s: float = 0.0,
        cold_start_s: float = 2.0,
    ) -> None:
        """Writes the next version of the configuration."""
        self.version += 3
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": cold_start_s,
                    "cold_per_s": cold_per_s,
                }
                for service in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": IDLE_TIMEOUT_MS,
            },
        }
        await self.store.put("op/config", json.dumps(document).encode())
        self.record.write(f"configuration {self.version} is acknowledged")

    def route(self, zone: str, key: FlowKey) -> Daemon | None:
        """Returns the balancer that the routers choose for a packet."""
        local = [
            daemon
            for daemon in self.daemons
            if daemon.role == "balancer" and daemon.zone == zone
        ]
        rotation = [daemon for daemon in local if daemon.in_rotation]
        if 2 * len(rotation) < len(local):
            rotation = local
        if not rotation:
            return None
        return rotation[zlib.crc32(repr(key).encode()) % len(rotation)]

    async def _probe_forever(self) -> None:
        while True:
            for daemon in self.daemons:
                if daemon.role == "balancer":
                    self._tasks.append(
                        asyncio.create_task(self._probe(daemon))
                    )
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, daemon: Daemon) -> None:
        status = await http_call(
            (daemon.address, READY_PORT),
            "GET",
            "/ready",
            timeout_s=PROBE_TIMEOUT_S,
        )
        was = daemon.in_rotation
        daemon.misses = 0 if status == 200 else daemon.misses + 1
        if was != daemon.in_rotation:
            self.record.write(
                f"{daemon.name} in rotation: {daemon.in_rotation}"
            )

    async def wait_until_ready(self, timeout_s: float = 15.0) -> bool:
        """Waits until all balancers are in rotation."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(
                daemon.in_rotation
                for daemon in self.daemons
                if daemon.role == "balancer"
            ):
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self) -> None:
        """Ends all processes and sockets that were started."""
        for task in self._tasks:
            task.cancel()
        for endpoint in self.endpoints:
            if endpoint.running:
                await endpoint.crash()
        for daemon in self.daemons:
            process = daemon.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        self.store.server.close()


def _free_subnet() -> str:
    """Returns a loopback subnet in which the ports are free."""
    while True:
        subnet = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}"
        try:
            for port in USED_PORTS:
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.10", port))
        except OSError:
            continue
        return subnet


def service_route(host: str, port: int, service: str) -> dict[str, Any]:
    """Returns a route of a configuration with one service."""
    return {
        "name": f"r-{port}",
        "host": host,
        "prefix": f"/{port}/",
        "route_type": "non_idempotent",
        "timeout_ms": 1200,
        "target_latency_ms": 150,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }


def most_in_a_second(arrivals: list[Arrival]) -> int:
    """Returns the most openings sent and taken within any one second.

    Only openings that were taken while the endpoint was cold count.
    """
    cold = [arrival for arrival in arrivals if arrival.cold]
    return max(
        (
            sum(
                begin.at - 1.0 < other.sent_at and 0 <= begin.at - other.at < 1
                for other in cold
            )
            for begin in cold
        ),
        default=0,
    )


Scenario = Callable[[Deployment, bool], Awaitable[str]]


def main(scenario: Scenario) -> None:
    """Runs a scenario and exits with 1 if it finds a broken rule.

    The scenario returns a description of what was broken, empty if the rule
    held. The variable TROUBLE set to 0 leaves the disruption out; LOGS names a
    folder that keeps the daemons' settings and logs.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("folder", type=pathlib.Path)
    folder = parser.parse_args().folder.resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed()
    record = Record(folder / "record.txt")

    async def play() -> str:
        with tempfile.TemporaryDirectory() as temporary:
            directory = pathlib.Path(os.environ.get("LOGS", temporary))
            deployment = Deployment(record, directory)
            try:
                async with asyncio.timeout(110):
                    return await scenario(deployment, trouble)
            finally:
                await deployment.close()

    try:
        broken = asyncio.run(play())
    except CannotRunError as exc:
        record.write(f"could not run: {exc}")
        record.close()
        print(f"could not run: {exc}")
        sys.exit(2)
    except (OSError, TimeoutError) as exc:
        record.write(f"could not run: {exc!r}")
        record.close()
        print(f"could not run: {exc!r}")
        sys.exit(2)
    record.write(f"result: {broken or 'the rule held'}")
    record.close()
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)


class CannotRunError(Exception):
    """The case couldn't be played, so it says nothing about the rule."""


def failback_result(
    deployment: Deployment, limit: float, counts: list[int]
) -> str:
    """Returns which cold endpoints got too many openings in a second."""
    if not counts[1]:
        raise CannotRunError("no request was answered")
    lines = list(deployment.broken)
    for endpoint in deployment.endpoints:
        for arrival in endpoint.arrivals:
            if arrival.cold:
                deployment.record.write(
                    f"{endpoint.name} cold: took {arrival.flow[:2]} sent at "
                    f"{arrival.sent_at:.3f} at {arrival.at:.3f}"
                )
        most = most_in_a_second(endpoint.arrivals)
        deployment.record.write(
            f"{endpoint.name}: at most {most} openings in a second while "
            f"cold; allowed {limit:g}"
        )
        if most > limit:
            lines.append(f"FAILBACK: {endpoint.name} got {most}")
    return "; ".join(lines)
