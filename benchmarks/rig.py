"""Starts deployments on loopback and sends raw packets to balancers."""

from collections.abc import Iterator
import contextlib
import pathlib
import select
import socket
import tempfile
import time

import attrs
import trio

from benchmarks import measure
from godwitturn.core import documents
from godwitturn.protocol import packet as packets
from godwitturn.standins import deployments
from godwitturn.standins import processes
from godwitturn.standins import system

SERVICE = documents.Service("bench", 1, 4_000_000, 1)
SOCKET_BUFFER_BYTES = 4 << 20
# Fewer datagrams than a socket buffer holds.
MAX_UNANSWERED = 256
ANSWER_TIMEOUT_S = 0.5


def make_deployment(balancers: int, targets: int) -> deployments.Deployment:
    """Returns a deployment of one service without a practical flow limit."""
    return deployments.Deployment(
        "bench",
        ("one", "two", "three"),
        ("red", "blue"),
        (SERVICE,),
        {SERVICE.name: targets},
        balancers,
    )


RULES = documents.Rules(data_centres=("one", "two", "three"), ramp_seconds=0.0)


@contextlib.contextmanager
def start_system(
    deployment: deployments.Deployment,
    *,
    rules: documents.Rules | None = RULES,
    balancer_module: str = "godwitturn.daemons.balancer",
) -> Iterator[system.System]:
    """Yields a serving deployment; kills its processes at the end."""
    with (
        tempfile.TemporaryDirectory() as directory,
        processes.ProcessTable(pathlib.Path(directory)) as table,
    ):
        running = system.System(
            deployment,
            table,
            system.start_store(table),
            pathlib.Path(directory),
            idle_seconds=900.0,
            balancer_module=balancer_module,
        )
        trio.run(running.start, rules)
        trio.run(running.wait_serving)
        yield running


def usage(running: system.System, name: str) -> measure.Usage:
    """Returns the present usage of a process of a deployment."""
    return measure.Usage.of(running.table.process_by_name[name].popen.pid)


@attrs.define
class Caller:
    """UDP socket that sends datagrams to one address.

    At most `MAX_UNANSWERED` datagrams are without an answer at a time.

    Attributes:
        address: Address that datagrams are sent to.
        token_by_flow: Tokens of the opened flows, by flow id.
        lost: Number of datagrams without an answer.
        longest_gap_s: Longest time in seconds until another answer arrived
            while some datagrams had none.
    """

    address: tuple[str, int]
    token_by_flow: dict[int, bytes] = attrs.field(factory=dict)
    lost: int = 0
    longest_gap_s: float = 0.0
    _socket: socket.socket = attrs.field(init=False)
    _next_flow_id: int = 1

    def __attrs_post_init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
        self._socket.connect(self.address)
        self._socket.setblocking(False)

    def exchange(self, datagrams: list[bytes]) -> list[bytes]:
        """Sends datagrams and returns their answers.

        Datagrams without an answer count as lost once no answer has arrived
        for half a second.
        """
        answers: list[bytes] = []
        sent = lost = 0
        previous_at = time.monotonic()
        while len(answers) + lost < len(datagrams):
            while sent < len(datagrams) and (
                sent - len(answers) - lost < MAX_UNANSWERED
            ):
                self._socket.send(datagrams[sent])
                sent += 1
            if not select.select([self._socket], [], [], ANSWER_TIMEOUT_S)[0]:
                lost = sent - len(answers)
            self._receive(answers)
            now = time.monotonic()
            self.longest_gap_s = max(self.longest_gap_s, now - previous_at)
            previous_at = now
        self.lost += lost
        return answers

    def _receive(self, answers: list[bytes]) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                answers.append(self._socket.recv(2048))

    def open_flows(self, count: int) -> list[int]:
        """Opens flows and confirms them; returns the ids of those accepted."""
        first = self._next_flow_id
        self._next_flow_id += count
        opened = []
        for answer in self.exchange(
            [opening(flow_id) for flow_id in range(first, first + count)]
        ):
            packet = packets.decode(answer)
            if packet is not None and packet.kind == packets.Kind.ACCEPT:
                self.token_by_flow[packet.flow_id] = packet.token
                opened.append(packet.flow_id)
        self.exchange([self.keepalive(flow_id) for flow_id in opened])
        return opened

    def keepalive(self, flow_id: int, payload: bytes = b"") -> bytes:
        """Returns a keepalive packet, which the agent answers at once."""
        return packets.encode(
            packets.Packet(
                packets.Kind.KEEPALIVE,
                SERVICE.service_id,
                flow_id,
                self.token_by_flow[flow_id],
                payload=payload,
            )
        )

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()


def opening(flow_id: int) -> bytes:
    """Returns the datagram that opens a flow."""
    return packets.encode(
        packets.Packet(
            packets.Kind.OPEN,
            SERVICE.service_id,
            flow_id,
            payload=bytes(packets.OPEN_PAYLOAD_BYTES),
        )
    )


def connect_caller(running: system.System, index: int = 0) -> Caller:
    """Returns a caller that sends to one balancer, bypassing the fabric."""
    name = running.balancers[index].name
    return Caller(("127.0.0.1", running.caller_port_by_name[name]))
