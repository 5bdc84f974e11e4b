"""Datagram sockets of a daemon on the platform."""

from collections.abc import Callable
import errno
import selectors
import socket

from godwitturn.core.transparent import messages
from godwitturn.daemons import reactor
from godwitturn.protocol import transparent

RECEIVE_BYTES = 2048
BUFFER_BYTES = 1 << 20
# Datagrams read before other sockets and timers have their turn.
BATCH = 64
# A listener on the same machine accepts within milliseconds.
PROBE_TIMEOUT_S = 0.5


class DatagramSocket:
    """A bound UDP socket that hands over what it receives."""

    def __init__(
        self,
        loop: reactor.Reactor,
        address: tuple[str, int],
        received: Callable[[bytes, str], None],
    ) -> None:
        self._received = received
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        self._socket.bind(address)
        self._socket.setblocking(False)
        loop.watch(self._socket, selectors.EVENT_READ, self._ready)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; one that can't be sent counts as lost."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            return  # full buffer or no route: the sender repeats what matters

    def _ready(self) -> None:
        for _ in range(BATCH):
            try:
                data, sender = self._socket.recvfrom(RECEIVE_BYTES)
            except OSError:
                return
            self._received(data, sender[0])


class PeerChannel:
    """Messages between daemons, all at the same port."""

    def __init__(
        self,
        loop: reactor.Reactor,
        address: tuple[str, int],
        received: Callable[[str, messages.Message], None],
        malformed: Callable[[str], None],
    ) -> None:
        self._port = address[1]
        self._deliver = received
        self._malformed = malformed
        self._socket = DatagramSocket(loop, address, self._received)

    def send(self, address: str, message: messages.Message) -> None:
        """Sends a message to a daemon."""
        self._socket.send(transparent.encode(message), (address, self._port))

    def _received(self, data: bytes, sender: str) -> None:
        message = transparent.decode(data)
        if message is None:
            self._malformed(sender)
        else:
            self._deliver(sender, message)


def probe(
    loop: reactor.Reactor,
    address: tuple[str, int],
    refused: Callable[[], None],
) -> None:
    """Connects to an address and closes again.

    Args:
        loop: The event loop.
        address: The address.
        refused: Called if nothing listens there. Silence tells nothing.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)

    def finish() -> None:
        if sock.fileno() < 0:
            return
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        loop.unwatch(sock)
        sock.close()
        if error == errno.ECONNREFUSED:
            refused()

    error = sock.connect_ex(address)
    if error == errno.ECONNREFUSED:
        sock.close()
        refused()
        return
    loop.watch(sock, selectors.EVENT_WRITE, finish)
    loop.call_later(PROBE_TIMEOUT_S, finish)
