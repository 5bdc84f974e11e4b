"""The call /v3/watch: a stream of requests and a stream of results."""

import json
from typing import Any

import attrs
import trio

from godwitturn.standins.store import gateway
from godwitturn.standins.store import service as services
from godwitturn.standins.store import state as states

Json = dict[str, Any]


class JsonReader:
    """Parses JSON objects from chunks of bytes, which may split objects."""

    def __init__(self) -> None:
        self._buffer = ""
        self._decoder = json.JSONDecoder()

    def feed(self, data: bytes) -> list[Json]:
        """Adds data and returns the objects that it completes."""
        self._buffer += data.decode()
        found: list[Json] = []
        while self._buffer.strip():
            text = self._buffer.lstrip()
            try:
                message, end = self._decoder.raw_decode(text)
            except json.JSONDecodeError:
                break
            found.append(message)
            self._buffer = text[end:]
        return found


@attrs.define
class WatchStream:
    """All watches of one connection.

    Attributes:
        service: The store.
        send: Function that sends an ASGI message.
        generation: The service's `watch_generation` when the connection
            started.
    """

    service: services.StoreService
    send: Any
    generation: int
    _scope_by_id: dict[int, trio.CancelScope] = attrs.field(factory=dict)
    _next_id: int = 0
    _lock: trio.Lock = attrs.field(factory=trio.Lock)

    async def handle(self, message: Json, nursery: trio.Nursery) -> None:
        """Creates or cancels a watch, or sends a progress notification."""
        match message:
            case {"create_request": dict(request)}:
                watch_id = self._next_id
                self._next_id += 1
                # Stored before the task starts, so that a cancel request in
                # the same body finds it.
                scope = trio.CancelScope()
                self._scope_by_id[watch_id] = scope
                nursery.start_soon(self._watch, watch_id, request, scope)
            case {"cancel_request": dict(request)}:
                watch_id = gateway.integer_of(request, "watch_id")
                if watch_id in self._scope_by_id:
                    self._scope_by_id.pop(watch_id).cancel()
                    await self._send_result(watch_id, canceled=True)
            case {"progress_request": _}:
                await self._send_result(-1)

    async def _send_result(self, watch_id: int, **fields: Any) -> None:
        result: Json = {"header": gateway.header(self.service.state)}
        if watch_id:
            result["watch_id"] = str(watch_id)
        line = json.dumps({"result": result | fields}) + "\n"
        async with self._lock:
            await self.send(
                {
                    "type": "http.response.body",
                    "body": line.encode(),
                    "more_body": True,
                }
            )

    async def _watch(
        self, watch_id: int, request: Json, scope: trio.CancelScope
    ) -> None:
        with scope:
            self.service.waiting_watches += 1
            try:
                await self._send_events(watch_id, request)
            finally:
                self.service.waiting_watches -= 1
                self._scope_by_id.pop(watch_id, None)

    async def _send_events(self, watch_id: int, request: Json) -> None:
        state = self.service.state
        key = gateway.bytes_of(request, "key")
        range_end = gateway.bytes_of(request, "range_end")
        start = gateway.integer_of(request, "start_revision")
        next_revision = start or state.revision + 1
        await self._send_result(watch_id, created=True)
        while True:
            if self._is_silent():
                await trio.sleep_forever()
            if next_revision < state.compacted_revision:
                await self._send_result(
                    watch_id,
                    canceled=True,
                    compact_revision=str(state.compacted_revision),
                    cancel_reason="required revision has been compacted",
                )
                return
            events = state.events_from(next_revision, key, range_end)
            next_revision = max(next_revision, state.revision + 1)
            if events:
                found = [gateway.event_json(event) for event in events]
                await self._send_result(watch_id, events=found)
            else:
                await self._wait_for_change(watch_id, request, next_revision)

    async def _wait_for_change(
        self, watch_id: int, request: Json, next_revision: int
    ) -> None:
        interval = self.service.progress_interval_seconds
        with trio.move_on_after(interval) as scope:
            await self.service.changed.park()
        is_caught_up = self.service.state.revision < next_revision
        wants_notification = scope.cancelled_caught and request.get(
            "progress_notify"
        )
        if wants_notification and is_caught_up and not self._is_silent():
            await self._send_result(watch_id)

    def _is_silent(self) -> bool:
        return self.generation < self.service.silent_generation


class WatchEndpoint:
    """ASGI application of /v3/watch."""

    def __init__(self, service: services.StoreService) -> None:
        self._service = service

    async def run(self, receive: Any, send: Any) -> None:
        """Serves a connection until the caller disconnects.

        Raises:
            ConnectionDropped: The connection must be reset.
            StoreError: The rate is exceeded.
        """
        service = self._service
        service.admit("watch", write=False)
        if service.faults.delay_seconds:
            await trio.sleep(service.faults.delay_seconds)
        stream = WatchStream(service, send, service.watch_generation)
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-type", b"application/json")],
            }
        )
        must_reset = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, receive, stream, nursery)
            while not self._must_reset(stream):
                await service.changed.park()
            must_reset = True
            nursery.cancel_scope.cancel()
        if must_reset:
            raise services.ConnectionDropped

    def _must_reset(self, stream: WatchStream) -> bool:
        dropped = stream.generation < self._service.watch_generation
        silent = stream.generation < self._service.silent_generation
        return dropped and not silent

    async def _read(
        self, receive: Any, stream: WatchStream, nursery: trio.Nursery
    ) -> None:
        reader = JsonReader()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                nursery.cancel_scope.cancel()
                return
            for request in reader.feed(message.get("body", b"")):
                try:
                    await stream.handle(request, nursery)
                except states.StoreError:
                    nursery.cancel_scope.cancel()
