"""HTTP server on the reactor, for short requests and responses."""

from collections.abc import Callable
import selectors
import socket

import httptools

from godwitturn.daemons import reactor

BACKLOG = 64
MAX_CONNECTIONS = 128
# Limit for a request, including its headers.
MAX_REQUEST_BYTES = 81920
IDLE_TIMEOUT_S = 30.0
READ_BYTES = 65536

# Takes method, path (with the query) and body of a request; returns status and
# body of the response.
Handler = Callable[[str, str, bytes], tuple[int, bytes]]


class HttpServer:
    """Listens at an address and calls a handler for each request.

    Attributes:
        loop: The event loop.
        handler: Returns the response to a request.
        connections: The open connections.
    """

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
        """Host and port that the server listens at."""
        host, port = self._socket.getsockname()
        return host, port

    def _accept(self) -> None:
        try:
            sock, _ = self._socket.accept()
        except OSError:
            return  # the client has gone, or no file descriptor is free
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
    """A connection of a client."""

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self._server = server
        self._socket = sock
        self._parser = httptools.HttpRequestParser(self)
        self._output = b""
        self._path = b""
        self._body = b""
        self._complete_requests: list[tuple[str, str, bytes, bool]] = []
        self._unanswered_bytes = 0
        self._close_after_response = False
        self._timer = server.loop.call_later(IDLE_TIMEOUT_S, self.close)
        server.loop.watch(sock, selectors.EVENT_READ, self._on_ready)

    def close(self) -> None:
        """Closes the connection."""
        self._timer.cancel()
        self._server.loop.unwatch(self._socket)
        self._socket.close()
        self._server.connections.discard(self)

    def _on_ready(self) -> None:
        try:
            if self._output:
                self._flush()
            if not self._close_after_response:
                self._read()
        except (OSError, httptools.HttpParserError):
            self.close()
        except httptools.HttpParserUpgrade:
            self.close()  # protocol upgrades are not supported

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
        requests, self._complete_requests = self._complete_requests, []
        for request in requests:
            self._respond(*request)
        if requests:
            self._flush()

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        """Takes a part of the path and query."""
        self._path += url

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Records that the request is complete."""
        method = self._parser.get_method().decode("ascii")
        path = self._path.decode("latin-1")
        keep_alive = self._parser.should_keep_alive()
        self._complete_requests.append((method, path, self._body, keep_alive))
        self._path = self._body = b""

    def _respond(
        self, method: str, path: str, body: bytes, keep_alive: bool
    ) -> None:
        self._close_after_response = not keep_alive
        status, body = self._server.handler(method, path, body)
        self._unanswered_bytes = 0
        head = (
            f"HTTP/1.1 {status} \r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
        )
        if self._close_after_response:
            head += "Connection: close\r\n"
        self._output += head.encode("ascii") + b"\r\n" + body
        self._timer.cancel()
        self._timer = self._server.loop.call_later(IDLE_TIMEOUT_S, self.close)

    def _flush(self) -> None:
        try:
            sent = self._socket.send(self._output)
            self._output = self._output[sent:]
        except BlockingIOError:
            pass  # sent when the socket becomes writable
        if self._close_after_response and not self._output:
            self.close()
            return
        events = selectors.EVENT_READ
        if self._output:
            events |= selectors.EVENT_WRITE
        self._server.loop.watch(self._socket, events, self._on_ready)
