"""HTTP client on the reactor: one connection, one call at a time."""

from collections.abc import Callable
import errno
import selectors
import socket

import httptools

from godwitturn.daemons import reactor

# TCP keepalive probes detect within seconds a connection that broke without a
# reset.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
READ_BYTES = 65536
# A response that has begun fails if nothing more arrives within this time. It
# may take longer in total, because a document of some 300 KB takes over half a
# second on a link of 5 Mbit/s.
STALL_TIMEOUT_S = 1.0

# Takes status and body of a response.
ResponseCallback = Callable[[int | None, bytes], None]


class HttpClient:
    """Connects to a server on demand and again after failures.

    Attributes:
        is_receiving: Whether a part of a response has arrived.
        is_body_too_large: Whether the last call failed because its response
            was larger than the call allowed.
        value_by_header: Headers of the last response, by lower-case name.
    """

    def __init__(
        self, loop: reactor.Reactor, address: tuple[str, int]
    ) -> None:
        self._loop = loop
        self._address = address
        self._socket: socket.socket | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._on_response: ResponseCallback | None = None
        self._timer: reactor.Timer | None = None
        self._output = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._max_body_bytes: int | None = None
        self._is_length_known = False
        self._is_complete = False
        self._keep_alive = False
        self.is_receiving = False
        self.is_body_too_large = False
        self.value_by_header: dict[bytes, bytes] = {}

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        on_response: ResponseCallback,
        *,
        max_body_bytes: int | None = None,
    ) -> None:
        """Makes a call.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body of the request, empty for none.
            timeout_s: Seconds after which the call fails unless a response
                has begun to arrive; from then on `STALL_TIMEOUT_S` applies.
            on_response: Called with status and body. The status is None if
                there was no complete response; the server may have executed
                the request all the same.
            max_body_bytes: Size of a response above which the call fails;
                None for no limit.
        """
        self._on_response = on_response
        self._body = []
        self._body_bytes = 0
        self._max_body_bytes = max_body_bytes
        self.is_receiving = False
        self.is_body_too_large = False
        self.value_by_header = {}
        self._is_length_known = False
        self._is_complete = False
        self._timer = self._loop.call_later(timeout_s, self._fail)
        try:
            self._send(method, path, body)
        except OSError:
            self._loop.call_later(0.0, self._fail)

    def _send(self, method: str, path: str, body: bytes) -> None:
        if self._socket is None:
            self._connect()
        host, port = self._address
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self._output = head.encode("ascii") + b"\r\n" + body
        self._parser = httptools.HttpResponseParser(self)
        self._watch(selectors.EVENT_READ | selectors.EVENT_WRITE)

    def _connect(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        self._socket = sock
        error = sock.connect_ex(self._address)
        if error not in (0, errno.EINPROGRESS):
            raise OSError(error, "connect")

    def _watch(self, events: int) -> None:
        if self._socket is not None:
            self._loop.watch(self._socket, events, self._on_ready)

    def _on_ready(self) -> None:
        try:
            if self._output:
                self._write()
            self._read()
        except (OSError, httptools.HttpParserError):
            self._fail()

    def _write(self) -> None:
        assert self._socket is not None
        try:
            sent = self._socket.send(self._output)
        except BlockingIOError:
            return
        self._output = self._output[sent:]
        if not self._output:
            self._watch(selectors.EVENT_READ)

    def _read(self) -> None:
        assert self._socket is not None
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self._handle_end_of_stream()
            return
        if self._parser is None:
            raise ConnectionError("response without a request")
        self._parser.feed_data(data)
        if self.is_body_too_large:
            self._fail()
        elif self._is_complete:
            self._finish(keep_alive=self._keep_alive)
        else:
            self._restart_timer()

    def _restart_timer(self) -> None:
        """Gives a response that is arriving time for its next part."""
        self.is_receiving = True
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(STALL_TIMEOUT_S, self._fail)

    def _handle_end_of_stream(self) -> None:
        """Handles the end of the stream, which ends a body without length."""
        if self._body and not self._is_length_known:
            self._finish(keep_alive=False)
        else:
            self._fail()

    # Callbacks of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header, and whether it tells where the body ends."""
        name = name.lower()
        self.value_by_header[name] = value
        if name in (b"content-length", b"transfer-encoding"):
            self._is_length_known = True
        if name == b"content-length" and value.isdigit():
            self._check_size(int(value))

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        self._check_size(self._body_bytes)

    def _check_size(self, body_bytes: int) -> None:
        limit = self._max_body_bytes
        if limit is not None and body_bytes > limit:
            self.is_body_too_large = True

    def on_message_complete(self) -> None:
        """Records that the response is complete."""
        assert self._parser is not None
        self._is_complete = True
        self._keep_alive = self._parser.should_keep_alive()

    def _finish(self, *, keep_alive: bool) -> None:
        assert self._parser is not None
        status = self._parser.get_status_code()
        self._parser = None
        if not keep_alive:
            self.close()
        self._deliver(status, b"".join(self._body))

    def _fail(self) -> None:
        self.close()
        self._deliver(None, b"")

    def _deliver(self, status: int | None, body: bytes) -> None:
        on_response, self._on_response = self._on_response, None
        self.is_receiving = False
        if self._timer is not None:
            self._timer.cancel()
        if on_response is not None:
            on_response(status, body)

    def set_address(self, address: tuple[str, int]) -> None:
        """Changes the server's address; a call in progress fails."""
        if address == self._address:
            return
        self._address = address
        if self._on_response is not None:
            self._fail()
        else:
            self.close()

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._socket is not None:
            self._loop.unwatch(self._socket)
            self._socket.close()
        self._socket = None
        self._parser = None
        self._output = b""
