"""Tests of the limits on connections of the administration API."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
from typing import Any
import unittest

import attrs
import trio

from godwitturn.admin import api
from godwitturn.admin import connections
from godwitturn.admin import server
from godwitturn.admin import state as states
from godwitturn.metrics import registry as registries
from godwitturn.tests import admin_fixtures

LIMITS = connections.Limits(
    head_timeout_seconds=0.5, send_timeout_seconds=0.5, max_connections=3
)
BODY_TIMEOUT_SECONDS = 0.5
# Far above the time-outs of the server, because a loaded machine can delay
# them.
TEST_TIMEOUT_S = 30.0
PAUSE_S = 0.02
HEAD = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n"
BODY_HEAD = (
    b"PUT /v1/inventory HTTP/1.1\r\nhost: x\r\ncontent-type: text/csv\r\n"
    b"content-length: 1000000\r\n\r\n"
)
# 64 MiB, more than the buffers of a loopback connection hold.
LARGE_RESPONSE_PARTS = 1024
Connect = Callable[[], Awaitable[trio.SocketStream]]


class _StubState:
    """Stand-in for the state of a daemon that has no store."""

    registry = registries.Registry()


async def _receive_all(stream: trio.SocketStream) -> bytes:
    """Returns all data that a server sends until it closes the connection."""
    received = b""
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await stream.receive_some(1 << 16):
            received += data
    return received


async def _send_byte_by_byte(stream: trio.SocketStream, data: bytes) -> None:
    """Sends one byte at a time until the server closes the connection."""
    with contextlib.suppress(trio.BrokenResourceError):
        for value in data:
            await stream.send_all(bytes((value,)))
            await trio.sleep(PAUSE_S)


class _ServerCase(unittest.TestCase):
    def run_server(
        self,
        test: Callable[[Connect], Awaitable[None]],
        inner: Callable[..., Awaitable[None]] | None = None,
        limits: connections.Limits = LIMITS,
    ) -> None:
        options = states.Options(
            "x",
            "howrah",
            "kolkata",
            {},
            body_timeout_seconds=BODY_TIMEOUT_SECONDS,
        )
        state: Any = _StubState()
        application = api.application(state, options)
        if inner is not None:
            application = api.AdminApplication(options, inner)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                (url,) = await nursery.start(self._serve, application, limits)
                port = int(url.rpartition(":")[2])

                async def connect() -> trio.SocketStream:
                    return await trio.open_tcp_stream("127.0.0.1", port)

                with trio.fail_after(TEST_TIMEOUT_S):
                    await test(connect)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def _serve(
        self,
        application: api.AdminApplication,
        limits: connections.Limits,
        task_status: trio.TaskStatus[list[str]],
    ) -> None:
        await server.serve(
            application,
            admin_fixtures.LOOPBACK,
            limits=limits,
            task_status=task_status,
        )


class TestSlowClients(_ServerCase):
    """A slow client must not keep a connection open."""

    def _response_to(self, sent_at_once: bytes, sent_slowly: bytes) -> bytes:
        response = b""

        async def test(connect: Connect) -> None:
            nonlocal response
            async with (
                await connect() as stream,
                trio.open_nursery() as nursery,
            ):
                await stream.send_all(sent_at_once)
                nursery.start_soon(_send_byte_by_byte, stream, sent_slowly)
                response = await _receive_all(stream)
                nursery.cancel_scope.cancel()

        self.run_server(test)
        return response

    def test_connection_with_a_slow_head_is_closed(self) -> None:
        slow_head = b"GET /metrics HTTP/1.1\r\nx-slow: " + b"a" * 10_000
        self.assertEqual(b"", self._response_to(b"", slow_head))

    def test_connection_with_a_slow_second_head_is_closed(self) -> None:
        """Guards against a time-out that covers only the first request."""
        slow_head = b"GET /metrics HTTP/1.1\r\nx-slow: " + b"a" * 10_000
        response = self._response_to(HEAD, slow_head)
        self.assertEqual(1, response.count(b"HTTP/1.1 200"))

    def test_slow_body_is_answered_with_408(self) -> None:
        head, _, body = self._response_to(BODY_HEAD, b"a" * 10_000).partition(
            b"\r\n\r\n"
        )
        self.assertIn(b" 408 ", head)
        (error,) = json.loads(body)["errors"]
        self.assertEqual("request_timeout", error["type"])
        self.assertIn(f"{BODY_TIMEOUT_SECONDS} s", error["allowed"])

    def test_silent_connection_is_closed(self) -> None:
        self.assertEqual(b"", self._response_to(b"", b""))

    def test_client_that_does_not_read_is_disconnected(self) -> None:
        """Guards against sending to a client without a time-out."""
        response_sent = False

        async def send_large_response(_: Any, __: Any, send: Any) -> None:
            nonlocal response_sent
            start = {"type": "http.response.start", "status": 200}
            await send({**start, "headers": []})
            message = {"type": "http.response.body", "more_body": True}
            for _ in range(LARGE_RESPONSE_PARTS):
                await send({**message, "body": bytes(1 << 16)})
            response_sent = True

        async def test(connect: Connect) -> None:
            async with await connect() as stream:
                await stream.send_all(HEAD)
                while not response_sent:
                    await trio.sleep(PAUSE_S)
                # The server closed the connection without sending the rest.
                received = len(await _receive_all(stream))
                self.assertLess(received, LARGE_RESPONSE_PARTS << 16)

        self.run_server(test, send_large_response)


class TestConnectionLimit(_ServerCase):
    """Connections must not use up a daemon's file descriptors."""

    def test_connection_over_the_limit_is_answered_with_503(self) -> None:
        async def test(connect: Connect) -> None:
            async with contextlib.AsyncExitStack() as stack:
                streams = []
                for _ in range(LIMITS.max_connections):
                    streams.append(
                        await stack.enter_async_context(await connect())
                    )
                async with await connect() as refused:
                    await refused.send_all(HEAD)
                    head, _, body = (await _receive_all(refused)).partition(
                        b"\r\n\r\n"
                    )
                self.assertIn(b" 503 ", head)
                (error,) = json.loads(body)["errors"]
                self.assertEqual("too_many_connections", error["type"])
                # The head time-out ends these connections; the next client is
                # served.
                for stream in streams:
                    self.assertEqual(b"", await _receive_all(stream))
                async with await connect() as served:
                    await served.send_all(HEAD)
                    response = await served.receive_some(1 << 16)
                self.assertIn(b" 200 ", response)

        self.run_server(test)

    def test_closed_connections_do_not_count(self) -> None:
        """Guards against a limit that counts connections after their end."""

        async def test(connect: Connect) -> None:
            for number in range(3 * LIMITS.max_connections):
                async with await connect() as stream:
                    if number % 2:
                        await stream.send_all(HEAD)
                        response = await stream.receive_some(1 << 16)
                        self.assertIn(b" 200 ", response)
                await trio.sleep(PAUSE_S)

        limits = attrs.evolve(LIMITS, head_timeout_seconds=TEST_TIMEOUT_S)
        self.run_server(test, limits=limits)
