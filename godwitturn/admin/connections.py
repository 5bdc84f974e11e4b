"""Serves connections of the administration API within limits."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

import attrs
import hypercorn
from hypercorn import app_wrappers
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
import trio

from godwitturn.admin import api
from godwitturn.admin import messages

# Time until the head of a request must have arrived, from the start of the
# connection or from the last response on it. It also ends idle connections.
HEAD_TIMEOUT_SECONDS = 10.0
# A client that does not read a part of a response for this long is
# disconnected.
SEND_TIMEOUT_SECONDS = 10.0
# Limit of open connections of all clients. It leaves file descriptors of the
# daemon for its control channel.
MAX_CONNECTIONS = 64
# Limit of refused connections that get an error response at the same time;
# further ones are closed without a response.
MAX_REFUSALS = 16
# Time to send the error response and to read what the client still sends.
REFUSAL_TIMEOUT_SECONDS = 1.0
MAX_HEADER_BYTES = 16 << 10
SHUTDOWN_GRACE_SECONDS = 2.0
RECEIVE_BYTES = 16 << 10


@attrs.frozen
class Limits:
    """Time-outs and number of connections.

    Attributes:
        head_timeout_seconds: Seconds until the head of a request must have
            arrived.
        send_timeout_seconds: Seconds until the client must have read a part of
            a response.
        max_connections: Number of connections at the same time, of all
            clients.
    """

    head_timeout_seconds: float = HEAD_TIMEOUT_SECONDS
    send_timeout_seconds: float = SEND_TIMEOUT_SECONDS
    max_connections: int = MAX_CONNECTIONS


DEFAULT_LIMITS = Limits()


async def _do_nothing() -> None:
    pass


@attrs.define
class _SendTimeoutStream:
    """Stream that closes the connection if the client does not read in time.

    Attributes:
        inner: Stream of the connection.
        send_timeout_seconds: Seconds until the client must have read a part of
            a response.
        on_receive_end: Called when no more data can arrive.
    """

    inner: trio.SocketStream
    send_timeout_seconds: float
    on_receive_end: Callable[[], Awaitable[None]] = _do_nothing

    @property
    def socket(self) -> trio.socket.SocketType:
        return self.inner.socket

    async def receive_some(self, max_bytes: int) -> bytes:
        data = b""
        try:
            data = bytes(await self.inner.receive_some(max_bytes))
        finally:
            if not data:
                await self.on_receive_end()
        return data

    async def send_all(self, data: bytes) -> None:
        with trio.move_on_after(self.send_timeout_seconds) as scope:
            await self.inner.send_all(data)
        if scope.cancelled_caught:
            await trio.aclose_forcefully(self.inner)
            raise trio.BrokenResourceError(
                "the client did not read a response within "
                f"{self.send_timeout_seconds} s"
            )

    async def send_eof(self) -> None:
        await self.inner.send_eof()

    async def aclose(self) -> None:
        await self.inner.aclose()


def _refusal_response(limit: int) -> bytes:
    text = f"more than {limit} connections; allowed: at most {limit}"
    error = {"type": messages.TOO_MANY_CONNECTIONS, "message": text}
    body = json.dumps({"errors": [error]}).encode()
    lines = (
        "HTTP/1.1 503 Service Unavailable",
        "content-type: application/json",
        f"retry-after: {messages.RETRY_AFTER_SECONDS}",
        "connection: close",
        f"content-length: {len(body)}",
        "\r\n",
    )
    return "\r\n".join(lines).encode() + body


@attrs.define
class ConnectionServer:
    """Serves connections of the API and refuses those over the limit.

    Attributes:
        application: The API.
        limits: Time-outs and number of connections.
    """

    application: api.AdminApplication
    limits: Limits = DEFAULT_LIMITS
    _open_count: int = 0
    _refusal_count: int = 0
    _config: hypercorn.Config = attrs.field(init=False)
    _context: worker_context.WorkerContext = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._context = worker_context.WorkerContext(None)
        self._config = hypercorn.Config()
        self._config.keep_alive_timeout = self.limits.head_timeout_seconds
        self._config.h11_max_incomplete_size = MAX_HEADER_BYTES
        self._config.errorlog = None

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Serves until cancelled, then gives open requests time to end."""
        async with trio.open_nursery() as nursery:
            try:
                await trio.serve_listeners(
                    self._handle, listeners, handler_nursery=nursery
                )
            finally:
                await self._context.terminated.set()
                deadline = trio.current_time() + SHUTDOWN_GRACE_SECONDS
                nursery.cancel_scope.deadline = deadline

    async def _handle(self, stream: trio.SocketStream) -> None:
        if self._open_count >= self.limits.max_connections:
            await self._refuse(stream)
            return
        self._open_count += 1
        try:
            timed_stream = _SendTimeoutStream(
                stream, self.limits.send_timeout_seconds
            )
            state: Any = {}
            server = tcp_server.TCPServer(
                app_wrappers.ASGIWrapper(self.application),
                self._config,
                self._context,
                state,
                timed_stream,  # type: ignore[arg-type]
            )
            # hypercorn waits for its idle timer even after the client has
            # closed; the connection would count towards the limit until then.
            timed_stream.on_receive_end = server.idle_task.stop
            await server.run()
        finally:
            self._open_count -= 1

    async def _refuse(self, stream: trio.SocketStream) -> None:
        async with stream:
            if self._refusal_count >= MAX_REFUSALS:
                return
            self._refusal_count += 1
            try:
                with trio.move_on_after(REFUSAL_TIMEOUT_SECONDS):
                    await stream.send_all(
                        _refusal_response(self.limits.max_connections)
                    )
                    await stream.send_eof()
                    # Closing a socket with unread data resets the connection,
                    # and the client would lose the response.
                    while await stream.receive_some(RECEIVE_BYTES):
                        pass
            except trio.BrokenResourceError:
                pass
            finally:
                self._refusal_count -= 1
