"""TCP proxy that can delay, drop and reset traffic to the store."""

import enum
import selectors
import socket
import struct

from godwitturn.daemons import reactor

READ_BYTES = 65536
# Delay of all data in the mode `SLOW`.
SLOW_DELAY_S = 0.25
BACKLOG = 64
# Value of SO_LINGER with which closing a socket resets its connection.
_ZERO_LINGER = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How the proxy treats traffic.

    Attributes:
        PASS: Forwards all data.
        SLOW: Forwards all data with a delay.
        SILENT: Drops all data.
        ONE_WAY: Forwards data to the upstream and drops the answers.
        RESET: Resets new and open connections.
    """

    PASS = "pass"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"


class Proxy:
    """Forwards connections to an address.

    Attributes:
        mode: Applies to new and to open connections.
        address: Address that the proxy listens on.
    """

    def __init__(
        self,
        loop: reactor.Reactor,
        address: tuple[str, int],
        upstream: tuple[str, int],
    ) -> None:
        self.mode = Mode.PASS
        self._loop = loop
        self._upstream = upstream
        self._pairs: set[_ConnectionPair] = set()
        self._socket = socket.create_server(address, backlog=BACKLOG)
        self._socket.setblocking(False)
        self.address: tuple[str, int] = self._socket.getsockname()[:2]
        loop.watch(self._socket, selectors.EVENT_READ, self._accept)

    def _accept(self) -> None:
        try:
            client, _ = self._socket.accept()
        except OSError:
            return  # the client has disconnected
        if self.mode is Mode.RESET:
            reset(client)
            return
        try:
            server = socket.create_connection(self._upstream)
        except OSError:
            reset(client)
            return
        self._pairs.add(_ConnectionPair(self, self._loop, client, server))

    def set_mode(self, mode: Mode) -> None:
        """Sets the mode; `RESET` also resets open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for pair in list(self._pairs):
                pair.close()

    def remove(self, pair: "_ConnectionPair") -> None:
        """Removes a connection that has ended."""
        self._pairs.discard(pair)

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._loop.unwatch(self._socket)
        self._socket.close()
        for pair in list(self._pairs):
            pair.close()


class _ConnectionPair:
    """A client's connection and the connection to the upstream."""

    def __init__(
        self,
        proxy: Proxy,
        loop: reactor.Reactor,
        client: socket.socket,
        server: socket.socket,
    ) -> None:
        self._proxy = proxy
        self._loop = loop
        self._sockets = (client, server)
        for source, sink, to_upstream in (
            (client, server, True),
            (server, client, False),
        ):
            source.setblocking(False)
            self._watch(source, sink, to_upstream)

    def _watch(
        self, source: socket.socket, sink: socket.socket, to_upstream: bool
    ) -> None:
        self._loop.watch(
            source,
            selectors.EVENT_READ,
            lambda: self._forward(source, sink, to_upstream),
        )

    def _forward(
        self, source: socket.socket, sink: socket.socket, to_upstream: bool
    ) -> None:
        mode = self._proxy.mode
        try:
            data = source.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
        elif mode is Mode.SLOW:
            self._loop.call_later(SLOW_DELAY_S, lambda: self._send(sink, data))
        elif mode is Mode.PASS or (mode is Mode.ONE_WAY and to_upstream):
            self._send(sink, data)

    def _send(self, sink: socket.socket, data: bytes) -> None:
        if sink.fileno() < 0:
            return
        try:
            sink.sendall(data)
        except OSError:
            self.close()

    def close(self) -> None:
        """Resets both connections."""
        self._proxy.remove(self)
        for sock in self._sockets:
            if sock.fileno() >= 0:
                self._loop.unwatch(sock)
                reset(sock)


def reset(sock: socket.socket) -> None:
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    sock.close()
