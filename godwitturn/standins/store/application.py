"""HTTP server of the stand-in store: routes, fault endpoint and resets."""

from collections.abc import Callable
import functools
import json
import socket
import struct
from typing import Any

import attrs
import hypercorn
from hypercorn import app_wrappers
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
import hypercorn.typing
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from godwitturn.standins.store import gateway
from godwitturn.standins.store import service as services
from godwitturn.standins.store import state as states
from godwitturn.standins.store import watches

# Well above the client's keep-alive time, so that the client closes idle
# connections first and sends no request on one that the server is closing.
KEEP_ALIVE_SECONDS = 60.0

Call = Callable[..., dict[str, Any]]

# Each value is the kind of call, whether it writes, whether its function takes
# the current time, and its function.
_CALL_BY_PATH: dict[str, tuple[str, bool, bool, Call]] = {
    "/v3/kv/range": ("range", False, False, gateway.range_call),
    "/v3/kv/put": ("put", True, False, gateway.put_call),
    "/v3/kv/deleterange": ("delete", True, False, gateway.delete_call),
    "/v3/kv/txn": ("txn", True, False, gateway.transaction_call),
    "/v3/kv/compaction": (
        "compaction",
        True,
        False,
        gateway.compaction_call,
    ),
    "/v3/lease/grant": ("lease_grant", True, True, gateway.grant_call),
    "/v3/lease/keepalive": (
        "lease_keepalive",
        False,
        True,
        gateway.keep_alive_call,
    ),
    "/v3/lease/revoke": ("lease_revoke", True, False, gateway.revoke_call),
}


class Connections:
    """Open connections by the caller's address, each of which can be reset."""

    def __init__(self) -> None:
        self._stream_by_peer: dict[Any, trio.SocketStream] = {}

    async def serve(
        self,
        application: hypercorn.typing.AppWrapper,
        config: hypercorn.Config,
        stream: trio.SocketStream,
    ) -> None:
        """Serves one connection until it ends."""
        try:
            peer = tuple(stream.socket.getpeername()[:2])
        except OSError:  # The caller has disconnected already.
            await stream.aclose()
            return
        self._stream_by_peer[peer] = stream
        try:
            server: Any = tcp_server.TCPServer(
                application,
                config,
                worker_context.WorkerContext(None),
                hypercorn.typing.ConnectionState({}),
                stream,  # type: ignore[arg-type]
            )
            await server.run()
        finally:
            self._stream_by_peer.pop(peer, None)

    def reset(self, peer: Any) -> None:
        """Resets a connection, so that its caller sees ECONNRESET."""
        stream = self._stream_by_peer.get(tuple(peer))
        if stream is not None:
            # A zero linger time makes close() send RST instead of FIN.
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            stream.socket.close()


@attrs.frozen
class GatewayApplication:
    """ASGI application that passes all calls except watches to Starlette.

    It answers errors of the service with an error message or a reset.
    """

    service: services.StoreService
    connections: Connections
    inner: applications.Starlette

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serves one request."""
        if scope.get("path") != "/v3/watch":
            await self.inner(scope, receive, send)
            return
        endpoint = watches.WatchEndpoint(self.service)
        try:
            await endpoint.run(receive, send)
        except services.ConnectionDropped:
            await ResetResponse(self.connections)(scope, receive, send)
        except states.StoreError as error:
            await _error_response(error)(scope, receive, send)


class ResetResponse(responses.Response):
    """Resets the connection instead of answering."""

    def __init__(self, connections: Connections) -> None:
        super().__init__()
        self._connections = connections

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Resets the connection and waits for the disconnect message."""
        self._connections.reset(scope["client"])
        while (await receive())["type"] != "http.disconnect":
            pass


def _error_response(error: states.StoreError) -> responses.Response:
    is_rate_limited = error.code == states.RESOURCE_EXHAUSTED
    return responses.JSONResponse(
        gateway.error_body(error),
        gateway.HTTP_STATUS_BY_CODE[error.code],
        headers={"retry-after": "1"} if is_rate_limited else None,
    )


async def _read_message(request: requests.Request) -> dict[str, Any]:
    try:
        message = json.loads(await request.body() or b"{}")
    except ValueError as error:
        raise states.StoreError(
            states.INVALID_ARGUMENT, f"body is not JSON: {error}"
        ) from error
    if not isinstance(message, dict):
        raise states.StoreError(
            states.INVALID_ARGUMENT, "body is not a JSON object"
        )
    return message


async def _call(
    service: services.StoreService,
    path: str,
    request: requests.Request,
) -> responses.Response:
    kind, is_write, takes_time, function = _CALL_BY_PATH[path]
    message = await _read_message(request)

    def run() -> dict[str, Any]:
        times = (service.clock(),) if takes_time else ()
        return function(service.state, message, *times)

    answer = await service.call(kind, run, write=is_write)
    return responses.JSONResponse(answer)


async def _faults(
    service: services.StoreService, request: requests.Request
) -> responses.Response:
    if request.method == "POST":
        try:
            service.set_faults(await _read_message(request))
        except ValueError as error:
            return responses.JSONResponse({"error": str(error)}, 400)
    return responses.JSONResponse(attrs.asdict(service.faults))


async def _counts(
    service: services.StoreService, request: requests.Request
) -> responses.Response:
    counts = dict(service.count_by_kind)
    counts["waiting_watches"] = service.waiting_watches
    return responses.JSONResponse(counts)


def create_application(
    service: services.StoreService, connections: Connections
) -> GatewayApplication:
    """Returns the ASGI application that serves a store."""
    routes = [
        routing.Route(
            path, functools.partial(_call, service, path), methods=["POST"]
        )
        for path in _CALL_BY_PATH
    ]
    faults = functools.partial(_faults, service)
    counts = functools.partial(_counts, service)
    routes += [
        routing.Route("/standin/faults", faults, methods=["GET", "POST"]),
        routing.Route("/standin/counts", counts, methods=["GET"]),
    ]

    async def handle_error(
        _: requests.Request, error: Exception
    ) -> responses.Response:
        if isinstance(error, states.StoreError):
            return _error_response(error)
        return ResetResponse(connections)

    handlers: dict[Any, Any] = {
        states.StoreError: handle_error,
        services.ConnectionDropped: handle_error,
    }
    inner = applications.Starlette(routes=routes, exception_handlers=handlers)
    return GatewayApplication(service, connections, inner)


async def serve(
    service: services.StoreService,
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a store; reports the listening port by `task_status`."""
    config = hypercorn.Config()
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    connections = Connections()
    application = create_application(service, connections)
    wrapped = app_wrappers.ASGIWrapper(application)
    listeners = await trio.open_tcp_listeners(port, host=host)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.expire_leases)
        handler = functools.partial(connections.serve, wrapped, config)
        await nursery.start(trio.serve_listeners, handler, listeners)
        task_status.started(listeners[0].socket.getsockname()[1])
