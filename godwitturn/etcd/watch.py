"""Watch of a key prefix that reconnects and resumes after each failure."""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Self

import attrs
import httpx
import trio

from godwitturn.etcd import failures
from godwitturn.etcd import wire

FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0

# Without this header, a store server that is partitioned from the others keeps
# a watch open and goes on sending progress notifications.
REQUIRE_LEADER_HEADERS = {"Grpc-Metadata-hasleader": "true"}


@attrs.frozen
class Connected:
    """The store has started to serve the watch.

    Attributes:
        revision: The store's revision at that time.
    """

    revision: int


@attrs.frozen
class KeyChange:
    """A key was set or deleted.

    Attributes:
        key_value: The key after the change; without a value if deleted.
        deleted: Whether it was deleted.
    """

    key_value: failures.KeyValue
    deleted: bool = False


@attrs.frozen
class ChangeBatch:
    """All changes up to a revision that were not delivered before.

    Attributes:
        revision: Every change up to it has been delivered.
        changes: In the order of their revisions.
    """

    revision: int
    changes: tuple[KeyChange, ...]


@attrs.frozen
class Progress:
    """The store confirms that no change up to a revision is outstanding."""

    revision: int


@attrs.frozen
class Disconnected:
    """The watch failed or lost its connection; `Watch` reconnects."""

    failure: failures.Failure


@attrs.frozen
class Compacted:
    """Changes are missing: read the prefix and start a new watch.

    It is the last event of a watch.

    Attributes:
        compact_revision: The oldest revision that the store still has.
    """

    compact_revision: int


WatchEvent = Connected | ChangeBatch | Progress | Disconnected | Compacted


class Watch:
    """Async iterator over `WatchEvent`; close it after use.

    After a failure it waits and reconnects at the revision after the last one
    delivered, so it neither misses nor repeats a change. `StoreClient.watch`
    creates it.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        endpoints: Sequence[str],
        prefix: str,
        start_revision: int,
        *,
        clock: Callable[[], float],
        connect_timeout_seconds: float,
        silence_timeout_seconds: float,
    ) -> None:
        self.next_revision = start_revision
        self._http = http
        self._endpoints = tuple(endpoints)
        self._prefix = prefix
        self._clock = clock
        self._timeout = httpx.Timeout(
            connect_timeout_seconds, read=silence_timeout_seconds
        )
        self._connect_timeout_seconds = connect_timeout_seconds
        self._silence_timeout_seconds = silence_timeout_seconds
        self._response: httpx.Response | None = None
        self._lines: AsyncIterator[str] | None = None
        self._loss_count = 0
        self._retry_at = float("-inf")
        self._closed = False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.aclose()

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> WatchEvent:
        """Waits for the next event and returns it.

        If the store is unreachable or sends nothing, the event is a
        `Disconnected` once a timeout has passed.
        """
        while not self._closed:
            event = await self._next_event()
            if event is not None:
                return event
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Ends the watch and its connection."""
        self._closed = True
        await self._disconnect()

    async def _disconnect(self) -> None:
        response, self._response = self._response, None
        self._lines = None
        if response is not None:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _next_event(self) -> WatchEvent | None:
        try:
            if self._lines is None:
                await self._wait_for_retry()
                await self._connect()
            return await self._receive_event()
        except (httpx.HTTPError, OSError, trio.TooSlowError) as error:
            failure: failures.Failure = failures.Unreachable(repr(error))
        except _WatchRefused as refusal:
            failure = refusal.failure
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            failure = failures.Malformed(repr(error), refused=False)
        return await self._handle_loss(failure)

    async def _handle_loss(self, failure: failures.Failure) -> Disconnected:
        """Closes the connection and schedules the next attempt."""
        await self._disconnect()
        wait_seconds = FIRST_BACKOFF_SECONDS * 2 ** min(self._loss_count, 10)
        wait_seconds = min(MAX_BACKOFF_SECONDS, wait_seconds)
        if isinstance(failure, failures.RateLimited):
            wait_seconds = max(wait_seconds, failure.retry_after)
        self._loss_count += 1
        self._retry_at = self._clock() + wait_seconds
        return Disconnected(failure)

    async def _wait_for_retry(self) -> None:
        await trio.sleep(max(0.0, self._retry_at - self._clock()))

    async def _connect(self) -> None:
        endpoint = self._endpoints[self._loss_count % len(self._endpoints)]
        create = {
            "key": wire.encode_key(self._prefix),
            "range_end": wire.prefix_end(self._prefix),
            "progress_notify": True,
        }
        if self.next_revision:
            create["start_revision"] = str(self.next_revision)
        request = self._http.build_request(
            "POST",
            endpoint + "/v3/watch",
            json={"create_request": create},
            headers=REQUIRE_LEADER_HEADERS,
            timeout=self._timeout,
        )
        with trio.fail_after(self._connect_timeout_seconds):
            response = await self._http.send(request, stream=True)
        self._response = response
        if response.status_code >= 400:
            with trio.fail_after(self._connect_timeout_seconds):
                message = json.loads(await response.aread() or b"{}")
            raise _WatchRefused(
                wire.failure_of(
                    response.status_code, response.headers, message
                )
            )
        self._lines = response.aiter_lines()

    async def _receive_event(self) -> WatchEvent | None:
        if self._lines is None:
            return None
        with trio.fail_after(self._silence_timeout_seconds):
            line = await anext(self._lines, None)
        if line is None:
            raise _WatchRefused(
                failures.Unreachable("the store ended the watch")
            )
        if not line.strip():
            return None
        return self._parse_event(json.loads(line))

    def _parse_event(self, message: wire.Json) -> WatchEvent | None:
        if "result" not in message:
            raise _WatchRefused(failures.Malformed(str(message)[:200], False))
        result = message["result"]
        revision = wire.revision_of(result)
        if "compact_revision" in result:
            self._closed = True
            return Compacted(int(result["compact_revision"]))
        if result.get("canceled"):
            reason = str(result.get("cancel_reason", ""))
            raise _WatchRefused(failures.Unreachable(f"canceled: {reason}"))
        if result.get("created"):
            self.next_revision = self.next_revision or revision + 1
            return Connected(revision)
        # The backoff is only reset by a message after the creation, or a store
        # that drops every new watch would be retried at the shortest interval
        # forever.
        self._loss_count = 0
        if "events" in result:
            return self._parse_changes(result)
        self.next_revision = max(self.next_revision, revision + 1)
        return Progress(revision)

    def _parse_changes(self, result: wire.Json) -> ChangeBatch | None:
        changes = tuple(
            KeyChange(
                wire.key_value(event["kv"]), event.get("type") == "DELETE"
            )
            for event in result["events"]
        )
        new_changes = tuple(
            change
            for change in changes
            if change.key_value.mod_revision >= self.next_revision
        )
        if not new_changes:
            return None
        revision = new_changes[-1].key_value.mod_revision
        self.next_revision = revision + 1
        return ChangeBatch(revision, new_changes)


class _WatchRefused(Exception):
    """The store rejected or ended the watch."""

    def __init__(self, failure: failures.Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure
