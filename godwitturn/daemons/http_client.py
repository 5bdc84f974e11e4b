"""HTTP client over the reactor: one connection, one call at a time."""

from collections.abc import Callable
import errno
import selectors
import socket

import httptools

from godwitturn.daemons import reactor

# A connection may go silent without a reset; probes find that in seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
READ_BYTES = 65536

Done = Callable[[int | None, bytes], None]


class HttpClient:
    """A connection that is opened at need and again after failures."""

    def __init__(
        self, loop: reactor.Reactor, address: tuple[str, int]
    ) -> None:
        self._loop = loop
        self._address = address
        self._socket: socket.socket | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._done: Done | None = None
        self._timer: reactor.Timer | None = None
        self._output = b""
        self._body: list[bytes] = []
        self._sized = False
        self._complete = False
        self._keep = False

    def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        done: Done,
    ) -> None:
        """Makes a call.

        Args:
            method: Its method.
            target: Its path and query.
            body: Its body, empty for none.
            timeout_s: Seconds after which it is given up.
            done: Called with status and body; the status is None if no answer
                came, and then the call may have been executed.
        """
        self._done = done
        self._body = []
        self._sized = False
        self._complete = False
        self._timer = self._loop.call_later(timeout_s, self._fail)
        try:
            self._send(method, target, body)
        except OSError:
            self._loop.call_later(0.0, self._fail)

    def _send(self, method: str, target: str, body: bytes) -> None:
        if self._socket is None:
            self._connect()
        host, port = self._address
        head = f"{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\n"
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
            self._loop.watch(self._socket, events, self._ready)

    def _ready(self) -> None:
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
            self._ended()
            return
        if self._parser is None:
            raise ConnectionError("answer without a call")
        self._parser.feed_data(data)
        if self._complete:
            self._finish(keep=self._keep)

    def _ended(self) -> None:
        """Takes the end of the connection, which may end an answer."""
        if self._body and not self._sized:
            self._finish(keep=False)
        else:
            self._fail()

    # Called by the parser.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Notes whether the answer tells where it ends."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._sized = True

    def on_body(self, body: bytes) -> None:
        """Takes a part of the answer's body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Notes that the answer is complete."""
        assert self._parser is not None
        self._complete = True
        self._keep = self._parser.should_keep_alive()

    def _finish(self, *, keep: bool) -> None:
        assert self._parser is not None
        status = self._parser.get_status_code()
        self._parser = None
        if not keep:
            self.close()
        self._report(status, b"".join(self._body))

    def _fail(self) -> None:
        self.close()
        self._report(None, b"")

    def _report(self, status: int | None, body: bytes) -> None:
        done, self._done = self._done, None
        if self._timer is not None:
            self._timer.cancel()
        if done is not None:
            done(status, body)

    def set_address(self, address: tuple[str, int]) -> None:
        """Changes the address; the call in progress counts as failed."""
        if address == self._address:
            return
        self._address = address
        if self._done is not None:
            self._fail()
        else:
            self.close()

    def close(self) -> None:
        """Closes the connection; the next call opens another one."""
        if self._socket is not None:
            self._loop.unwatch(self._socket)
            self._socket.close()
        self._socket = None
        self._parser = None
        self._output = b""
