"""Datagram sockets of a daemon on the platform."""

from collections.abc import Callable
import errno
import selectors
import socket

from godwitturn.core.transparent import messages
from godwitturn.daemons import reactor
from godwitturn.protocol import transparent

MAX_DATAGRAM_BYTES = 2048
RECEIVE_BUFFER_BYTES = 1 << 20
# Datagrams read at once before other sockets and timers are served.
MAX_DATAGRAMS_PER_READ = 64
# Time limit of a probe; a listener on the same VM accepts within milliseconds,
# and a running VM of another data centre refuses within a round trip.
PROBE_TIMEOUT_S = 0.5


class DatagramSocket:
    """A bound UDP socket that passes received datagrams to a callback.

    Attributes:
        delay_s: Longest time in seconds that the datagram passed last may have
            waited for a suspended process, 0 if the process was running.
    """

    def __init__(
        self,
        loop: reactor.Reactor,
        address: tuple[str, int],
        on_datagram: Callable[[bytes, str], None],
    ) -> None:
        self.delay_s = 0.0
        self._loop = loop
        self._on_datagram = on_datagram
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind(address)
        self._socket.setblocking(False)
        loop.watch(self._socket, selectors.EVENT_READ, self.read)

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port that the socket is bound to."""
        host, port = self._socket.getsockname()
        return host, port

    def close(self) -> None:
        """Closes the socket."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; one that can't be sent is dropped."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            return  # full buffer or no route; important messages are repeated

    def read(self) -> None:
        """Reads the datagrams that have arrived, up to a limit."""
        if self._loop.resumed_at == self._loop.now:
            self.delay_s = self._loop.suspended_s
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                self.delay_s = 0.0
                return
            self._on_datagram(data, sender[0])


class PeerChannel:
    """Exchanges messages with other daemons, which all use the same port."""

    def __init__(
        self,
        loop: reactor.Reactor,
        address: tuple[str, int],
        on_message: Callable[[str, messages.Message], None],
        on_malformed: Callable[[str], None],
    ) -> None:
        self._port = address[1]
        self._on_message = on_message
        self._on_malformed = on_malformed
        self._socket = DatagramSocket(loop, address, self._handle_datagram)

    @property
    def delay_s(self) -> float:
        """See `DatagramSocket.delay_s`."""
        return self._socket.delay_s

    def send(self, address: str, message: messages.Message) -> None:
        """Sends a message to a daemon; it may be lost."""
        self._socket.send(transparent.encode(message), (address, self._port))

    def _handle_datagram(self, data: bytes, sender: str) -> None:
        message = transparent.decode(data)
        if message is None:
            self._on_malformed(sender)
        else:
            self._on_message(sender, message)


def probe(
    loop: reactor.Reactor,
    address: tuple[str, int],
    on_refused: Callable[[], None],
) -> None:
    """Checks by a TCP connection whether anything listens at an address.

    Args:
        loop: The event loop.
        address: The address.
        on_refused: Called if the connection is refused. A time-out does not
            show that nothing listens, so it is ignored.
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
            on_refused()

    error = sock.connect_ex(address)
    if error == errno.ECONNREFUSED:
        sock.close()
        on_refused()
        return
    loop.watch(sock, selectors.EVENT_WRITE, finish)
    loop.call_later(PROBE_TIMEOUT_S, finish)
