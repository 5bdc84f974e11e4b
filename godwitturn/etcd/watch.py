"""Watch on a prefix of the store that resumes after every loss."""

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

# Without it a member that is cut off from the store's other members keeps a
# watch open and goes on sending progress notifications.
REQUIRE_LEADER = {"Grpc-Metadata-hasleader": "true"}


@attrs.frozen
class Connected:
    """The store serves the watch from now on.

    Attributes:
        revision: The store's revision when it began.
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
    """Changes, all up to a revision.

    Attributes:
        revision: Every change up to it has been delivered.
        changes: In the order of their revisions.
    """

    revision: int
    changes: tuple[KeyChange, ...]


@attrs.frozen
class Progress:
    """The store confirms that nothing up to a revision is outstanding."""

    revision: int


@attrs.frozen
class Lost:
    """The watch lost the store; it connects again by itself."""

    failure: failures.Failure


@attrs.frozen
class Compacted:
    """Changes are missing: read the prefix again and watch anew.

    It is the last event of a watch.

    Attributes:
        compact_revision: The oldest revision that the store still knows.
    """

    compact_revision: int


WatchEvent = Connected | ChangeBatch | Progress | Lost | Compacted


class Watch:
    """Async iterator over `WatchEvent`; close it after use.

    After a loss it waits, connects again at the revision after the last one
    delivered and so neither misses nor repeats a change. `StoreClient.watch`
    makes it.
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
        self._open_seconds = connect_timeout_seconds
        self._silence_seconds = silence_timeout_seconds
        self._response: httpx.Response | None = None
        self._lines: AsyncIterator[str] | None = None
        self._losses = 0
        self._retry_at = float("-inf")
        self._ended = False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.aclose()

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> WatchEvent:
        """Returns the next event; waits without limit only for the store."""
        while not self._ended:
            event = await self._next()
            if event is not None:
                return event
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Ends the watch and its connection."""
        self._ended = True
        await self._disconnect()

    async def _disconnect(self) -> None:
        response, self._response = self._response, None
        self._lines = None
        if response is not None:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _next(self) -> WatchEvent | None:
        try:
            if self._lines is None:
                await self._wait_for_retry()
                await self._connect()
            return await self._receive()
        except (httpx.HTTPError, OSError, trio.TooSlowError) as error:
            failure: failures.Failure = failures.Unreachable(repr(error))
        except _Refused as refusal:
            failure = refusal.failure
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            failure = failures.Malformed(repr(error), refused=False)
        return await self._lose(failure)

    async def _lose(self, failure: failures.Failure) -> Lost:
        await self._disconnect()
        seconds = FIRST_BACKOFF_SECONDS * 2 ** min(self._losses, 10)
        seconds = min(MAX_BACKOFF_SECONDS, seconds)
        if isinstance(failure, failures.RateLimited):
            seconds = max(seconds, failure.retry_after)
        self._losses += 1
        self._retry_at = self._clock() + seconds
        return Lost(failure)

    async def _wait_for_retry(self) -> None:
        await trio.sleep(max(0.0, self._retry_at - self._clock()))

    async def _connect(self) -> None:
        endpoint = self._endpoints[self._losses % len(self._endpoints)]
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
            headers=REQUIRE_LEADER,
            timeout=self._timeout,
        )
        with trio.fail_after(self._open_seconds):
            response = await self._http.send(request, stream=True)
        self._response = response
        if response.status_code >= 400:
            with trio.fail_after(self._open_seconds):
                message = json.loads(await response.aread() or b"{}")
            raise _Refused(
                wire.failure_of(
                    response.status_code, response.headers, message
                )
            )
        self._lines = response.aiter_lines()

    async def _receive(self) -> WatchEvent | None:
        if self._lines is None:
            return None
        with trio.fail_after(self._silence_seconds):
            line = await anext(self._lines, None)
        if line is None:
            raise _Refused(failures.Unreachable("the store ended the watch"))
        if not line.strip():
            return None
        return self._event(json.loads(line))

    def _event(self, message: wire.Json) -> WatchEvent | None:
        if "result" not in message:
            raise _Refused(failures.Malformed(str(message)[:200], False))
        result = message["result"]
        revision = wire.revision_of(result)
        if "compact_revision" in result:
            self._ended = True
            return Compacted(int(result["compact_revision"]))
        if result.get("canceled"):
            reason = str(result.get("cancel_reason", ""))
            raise _Refused(failures.Unreachable(f"canceled: {reason}"))
        if result.get("created"):
            self.next_revision = self.next_revision or revision + 1
            return Connected(revision)
        # Not before: a store that drops every new watch must not be asked
        # again at the shortest interval for ever.
        self._losses = 0
        if "events" in result:
            return self._changed(result)
        self.next_revision = max(self.next_revision, revision + 1)
        return Progress(revision)

    def _changed(self, result: wire.Json) -> ChangeBatch | None:
        changes = tuple(
            KeyChange(
                wire.key_value(event["kv"]), event.get("type") == "DELETE"
            )
            for event in result["events"]
        )
        fresh = tuple(
            change
            for change in changes
            if change.key_value.mod_revision >= self.next_revision
        )
        if not fresh:
            return None
        revision = fresh[-1].key_value.mod_revision
        self.next_revision = revision + 1
        return ChangeBatch(revision, fresh)


class _Refused(Exception):
    """The store answered, but not with a watch."""

    def __init__(self, failure: failures.Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure
