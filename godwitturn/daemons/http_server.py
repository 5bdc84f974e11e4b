"""HTTP server over the reactor, for short requests and answers."""

from collections.abc import Callable
import selectors
import socket

import httptools

from godwitturn.daemons import reactor

BACKLOG = 64
MAX_CONNECTIONS = 128
# What a request may take with its headers.
MAX_REQUEST_BYTES = 81920
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
        self._parser = httptools.HttpRequestParser(self)
        self._output = b""
        self._target = b""
        self._body = b""
        self._complete: list[tuple[str, str, bytes, bool]] = []
        self._unanswered_bytes = 0
        self._closing = False
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
            if not self._closing:
                self._read()
        except (OSError, httptools.HttpParserError):
            self.close()
        except httptools.HttpParserUpgrade:
            self.close()  # other protocols aren't spoken here

    def _read(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.close()
            return
        self._unanswered_bytes += len(data)
        if self._unanswered_bytes > MAX_REQUEST_BYTES:
            self.close()
            return
        self._parser.feed_data(data)
        complete, self._complete = self._complete, []
        for request in complete:
            self._answer(*request)
        if complete:
            self._flush()

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        """Takes a part of the request's target."""
        self._target += url

    def on_body(self, body: bytes) -> None:
        """Takes a part of the request's body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Notes that the request is complete."""
        method = self._parser.get_method().decode("ascii")
        target = self._target.decode("latin-1")
        keep = self._parser.should_keep_alive()
        self._complete.append((method, target, self._body, keep))
        self._target = self._body = b""

    def _answer(
        self, method: str, target: str, body: bytes, keep: bool
    ) -> None:
        self._closing = not keep
        status, body = self._server.handler(method, target, body)
        self._unanswered_bytes = 0
        head = (
            f"HTTP/1.1 {status} \r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if self._closing:
            head += "Connection: close\r\n"
        self._output += head.encode("ascii") + b"\r\n" + body
        self._timer.cancel()
        self._timer = self._server.loop.call_later(IDLE_S, self.close)

    def _flush(self) -> None:
        try:
            sent = self._socket.send(self._output)
            self._output = self._output[sent:]
        except BlockingIOError:
            pass  # sent when the socket is writable again
        if self._closing and not self._output:
            self.close()
            return
        events = selectors.EVENT_READ
        if self._output:
            events |= selectors.EVENT_WRITE
        self._server.loop.watch(self._socket, events, self._ready)
