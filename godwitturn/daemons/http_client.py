"""HTTP client over the reactor: one connection, one call at a time."""

from collections.abc import Callable
import errno
import selectors
import socket

import h11

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
        self._protocol: h11.Connection | None = None
        self._done: Done | None = None
        self._timer: reactor.Timer | None = None
        self._output = b""
        self._status: int | None = None
        self._body: list[bytes] = []

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
        self._status = None
        self._body = []
        self._timer = self._loop.call_later(timeout_s, self._fail)
        try:
            self._send(method, target, body)
        except (OSError, h11.ProtocolError):
            self._loop.call_later(0.0, self._fail)

    def _send(self, method: str, target: str, body: bytes) -> None:
        if self._socket is None:
            self._connect()
        assert self._protocol is not None
        host, port = self._address
        headers = [("Host", f"{host}:{port}")]
        if body:
            headers += [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ]
        elif method != "GET":
            headers.append(("Content-Length", "0"))
        request = h11.Request(method=method, target=target, headers=headers)
        self._output = self._protocol.send(request) or b""
        if body:
            self._output += self._protocol.send(h11.Data(data=body)) or b""
        self._output += self._protocol.send(h11.EndOfMessage()) or b""
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
        self._protocol = h11.Connection(h11.CLIENT)
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
        except (OSError, h11.ProtocolError):
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
        assert self._socket is not None and self._protocol is not None
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        self._protocol.receive_data(data)
        while True:
            event = self._protocol.next_event()
            match event:
                case h11.Response():
                    self._status = event.status_code
                case h11.Data():
                    self._body.append(bytes(event.data))
                case h11.EndOfMessage():
                    self._finish()
                    return
                case h11.ConnectionClosed():
                    self._fail()
                    return
                case _ if event is h11.NEED_DATA:
                    return

    def _finish(self) -> None:
        assert self._protocol is not None
        if self._protocol.our_state is h11.MUST_CLOSE:
            self.close()
        else:
            try:
                self._protocol.start_next_cycle()
            except h11.ProtocolError:
                self.close()
        self._report(self._status, b"".join(self._body))

    def _fail(self) -> None:
        self.close()
        self._report(None, b"")

    def _report(self, status: int | None, body: bytes) -> None:
        done, self._done = self._done, None
        if self._timer is not None:
            self._timer.cancel()
        if done is not None:
            done(status, body)

    def move(self, address: tuple[str, int]) -> None:
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
        self._protocol = None
        self._output = b""
