"""HTTP server over the reactor, for short requests and answers."""

from collections.abc import Callable
import selectors
import socket

import h11

from godwitturn.daemons import reactor

BACKLOG = 64
MAX_CONNECTIONS = 128
MAX_BODY_BYTES = 65536
IDLE_S = 30.0
READ_BYTES = 65536

# Method, target and body of a request; status and body of the answer.
Handler = Callable[[str, str, bytes], tuple[int, bytes]]


class HttpServer:
    """Listens at an address and answers each request at once."""

    def __init__(
        self,
        loop: reactor.Reactor,
        address: tuple[str, int],
        handler: Handler,
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.connections: set[_Connection] = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        loop.watch(self._socket, selectors.EVENT_READ, self._accept)

    @property
    def address(self) -> tuple[str, int]:
        """The address that the server listens at."""
        host, port = self._socket.getsockname()
        return host, port

    def _accept(self) -> None:
        try:
            sock, _ = self._socket.accept()
        except OSError:
            return  # the client has gone, or descriptors are short
        if len(self.connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        sock.setblocking(False)
        self.connections.add(_Connection(self, sock))

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.loop.unwatch(self._socket)
        self._socket.close()
        for connection in list(self.connections):
            connection.close()


class _Connection:
    """One client's connection."""

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self._server = server
        self._socket = sock
        self._protocol = h11.Connection(h11.SERVER)
        self._output = b""
        self._request: h11.Request | None = None
        self._body = b""
        self._timer = server.loop.call_later(IDLE_S, self.close)
        server.loop.watch(sock, selectors.EVENT_READ, self._ready)

    def close(self) -> None:
        """Closes the connection."""
        self._timer.cancel()
        self._server.loop.unwatch(self._socket)
        self._socket.close()
        self._server.connections.discard(self)

    def _ready(self) -> None:
        try:
            if self._output:
                self._flush()
            self._read()
        except (OSError, h11.ProtocolError):
            self.close()

    def _read(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        self._protocol.receive_data(data)
        while True:
            event = self._protocol.next_event()
            match event:
                case h11.Request():
                    self._request = event
                    self._body = b""
                case h11.Data():
                    self._body += bytes(event.data)
                    if len(self._body) > MAX_BODY_BYTES:
                        self.close()
                        return
                case h11.EndOfMessage():
                    if not self._answer():
                        return
                case h11.ConnectionClosed():
                    self.close()
                    return
                case _:
                    return

    def _answer(self) -> bool:
        """Answers the request; returns whether another one may follow."""
        assert self._request is not None
        status, body = self._server.handler(
            self._request.method.decode(),
            self._request.target.decode(),
            self._body,
        )
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        protocol = self._protocol
        self._output += (
            protocol.send(h11.Response(status_code=status, headers=headers))
            or b""
        )
        if body:
            self._output += protocol.send(h11.Data(data=body)) or b""
        self._output += protocol.send(h11.EndOfMessage()) or b""
        self._flush()
        self._timer.cancel()
        self._timer = self._server.loop.call_later(IDLE_S, self.close)
        if protocol.our_state is h11.MUST_CLOSE:
            self.close()
            return False
        protocol.start_next_cycle()
        return True

    def _flush(self) -> None:
        try:
            sent = self._socket.send(self._output)
            self._output = self._output[sent:]
        except BlockingIOError:
            pass  # sent when the socket is writable again
        events = selectors.EVENT_READ
        if self._output:
            events |= selectors.EVENT_WRITE
        self._server.loop.watch(self._socket, events, self._ready)
