"""Client of the platform's key-value store over etcd's v3 JSON gateway."""

from collections.abc import Callable
from collections.abc import Sequence
import json
from typing import Any
from typing import Self
from typing import TypeVar

import attrs
import httpx
from returns import result as results
import trio

from godwitturn.etcd import failures
from godwitturn.etcd import watch as watches
from godwitturn.etcd import wire

MAX_VALUE_BYTES = 1_000_000

# The client closes idle connections before servers usually do (after 60 s or
# more), so that no write is sent on a connection that is being closed.
KEEPALIVE_EXPIRY_SECONDS = 15.0
MAX_CONNECTIONS = 16

_T = TypeVar("_T")

# Errors that httpx raises before any part of a call is sent.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


@attrs.frozen
class ReadResult:
    """Keys as they were at one revision.

    Attributes:
        revision: The store's revision at the time of the read.
        key_values: The matching keys, in order.
    """

    revision: int
    key_values: tuple[failures.KeyValue, ...]


@attrs.frozen
class WriteResult:
    """A write that took effect.

    Attributes:
        revision: Revision of the write.
    """

    revision: int


@attrs.frozen
class Lease:
    """A lease that the store granted or renewed.

    Attributes:
        lease_id: Id of the lease.
        ttl_seconds: TTL in the store's answer. The store counts it from a
            moment before that answer.
    """

    lease_id: int
    ttl_seconds: int


def _first_json_object(text: str) -> dict[str, Any]:
    """Returns the first JSON object of a body; empty if it has none."""
    try:
        value, _ = json.JSONDecoder().raw_decode(text.lstrip())
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


class StoreClient:
    """Client of the store; returns failures as values, repeats no write.

    Use it as an async context manager, or call `aclose`.

    Args:
        endpoints: Base URLs. A call starts with the one that answered last,
            initially the first, and continues in their order. A write
            continues to the next one only if it is certain that it was not
            sent to the previous one.
        timeout_seconds: Limit of each call as a whole.
        watch_timeout_seconds: Time without a message after which a watch
            counts as lost. Must exceed the store's interval of progress
            notifications.
    """

    def __init__(
        self,
        endpoints: Sequence[str],
        *,
        timeout_seconds: float = 2.0,
        watch_timeout_seconds: float = 5.0,
    ) -> None:
        if not endpoints:
            raise ValueError("endpoints is empty; at least one URL is needed")
        self._endpoints = tuple(url.rstrip("/") for url in endpoints)
        self._preferred_index = 0
        self._timeout_seconds = timeout_seconds
        self._watch_timeout_seconds = watch_timeout_seconds
        self._http = httpx.AsyncClient(
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_EXPIRY_SECONDS,
            ),
            trust_env=False,
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._http.aclose()

    async def get(
        self, key: str, *, timeout_seconds: float | None = None
    ) -> results.Result[ReadResult, failures.Failure]:
        """Reads one key; the result is empty if the key is absent."""
        message = {"key": wire.encode_key(key)}
        return await self._read(message, timeout_seconds)

    async def get_prefix(
        self, prefix: str, *, timeout_seconds: float | None = None
    ) -> results.Result[ReadResult, failures.Failure]:
        """Reads all keys with a prefix, at one revision."""
        message = {
            "key": wire.encode_key(prefix),
            "range_end": wire.prefix_end(prefix),
        }
        return await self._read(message, timeout_seconds)

    async def get_changed_since(
        self, prefix: str, revision: int
    ) -> results.Result[ReadResult, failures.Failure]:
        """Checks whether a key with a prefix changed after a revision.

        Returns:
            A result without keys if none changed; else with one of the
            changed keys, without its value.
        """
        message = {
            "key": wire.encode_key(prefix),
            "range_end": wire.prefix_end(prefix),
            "min_mod_revision": str(revision + 1),
            "keys_only": True,
            "limit": "1",
        }
        return await self._read(message, None)

    async def _read(
        self, message: wire.Json, timeout_seconds: float | None
    ) -> results.Result[ReadResult, failures.Failure]:
        def parse(answer: wire.Json) -> ReadResult:
            entries = answer.get("kvs", [])
            return ReadResult(
                wire.revision_of(answer),
                tuple(wire.key_value(entry) for entry in entries),
            )

        return await self._call(
            "/v3/kv/range", message, parse, False, timeout_seconds
        )

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        lease_id: int = 0,
        timeout_seconds: float | None = None,
    ) -> results.Result[WriteResult, failures.Failure]:
        """Sets a key regardless of its current value."""
        if len(value) > MAX_VALUE_BYTES:
            return results.Failure(
                failures.TooLarge(len(value), MAX_VALUE_BYTES)
            )
        message = wire.put_json(wire.Put(key, value, lease_id))
        outcome = await self._call(
            "/v3/kv/put", message, _parse_write_result, True, timeout_seconds
        )
        return outcome.alt(lambda failure: _with_lease_id(failure, lease_id))

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        *,
        mod_revision: int,
        timeout_seconds: float | None = None,
    ) -> results.Result[WriteResult, failures.Failure]:
        """Sets a key if its last change was at the expected revision.

        Args:
            key: The key.
            value: Its new value.
            mod_revision: The expected revision; 0 if it must be absent.
            timeout_seconds: Limit of this call; by default the client's.
        """
        return await self.transact(
            [wire.Compare(key, mod_revision=mod_revision)],
            [wire.Put(key, value)],
            timeout_seconds=timeout_seconds,
        )

    async def transact(
        self,
        compares: Sequence[wire.Compare],
        puts: Sequence[wire.Put],
        *,
        timeout_seconds: float | None = None,
    ) -> results.Result[WriteResult, failures.Failure]:
        """Writes keys if all comparisons hold.

        Returns:
            The revision, or a `Conflict` with the state of the compared keys.
        """
        for put in puts:
            if len(put.value) > MAX_VALUE_BYTES:
                return results.Failure(
                    failures.TooLarge(len(put.value), MAX_VALUE_BYTES)
                )
        conditions = tuple(compares)

        def parse(answer: wire.Json) -> WriteResult | failures.Conflict:
            if answer.get("succeeded"):
                return _parse_write_result(answer)
            return wire.conflict_of(conditions, answer)

        outcome = await self._call(
            "/v3/kv/txn",
            wire.transaction_json(conditions, tuple(puts)),
            parse,
            True,
            timeout_seconds,
        )
        lease_id = next((put.lease_id for put in puts if put.lease_id), 0)
        return outcome.bind(_conflict_as_failure).alt(
            lambda failure: _with_lease_id(failure, lease_id)
        )

    async def grant_lease(
        self, ttl_seconds: int, *, timeout_seconds: float | None = None
    ) -> results.Result[Lease, failures.Failure]:
        """Creates a lease."""

        def parse(answer: wire.Json) -> Lease:
            return Lease(int(answer["ID"]), int(answer["TTL"]))

        message = {"TTL": str(ttl_seconds)}
        return await self._call(
            "/v3/lease/grant", message, parse, True, timeout_seconds
        )

    async def keep_lease_alive(
        self, lease_id: int, *, timeout_seconds: float | None = None
    ) -> results.Result[Lease, failures.Failure]:
        """Renews a lease; `LeaseNotFound` if it has ended."""

        def parse(answer: wire.Json) -> Lease | failures.LeaseNotFound:
            ttl_seconds = int(answer["result"].get("TTL", 0))
            if ttl_seconds <= 0:
                return failures.LeaseNotFound(lease_id)
            return Lease(lease_id, ttl_seconds)

        outcome = await self._call(
            "/v3/lease/keepalive",
            {"ID": str(lease_id)},
            parse,
            False,
            timeout_seconds,
        )
        return outcome.bind(_lease_not_found_as_failure)

    async def revoke_lease(
        self, lease_id: int, *, timeout_seconds: float | None = None
    ) -> results.Result[WriteResult, failures.Failure]:
        """Ends a lease and deletes its keys."""
        outcome = await self._call(
            "/v3/lease/revoke",
            {"ID": str(lease_id)},
            _parse_write_result,
            True,
            timeout_seconds,
        )
        return outcome.alt(lambda failure: _with_lease_id(failure, lease_id))

    def watch(
        self, prefix: str, *, start_revision: int, clock: Callable[[], float]
    ) -> watches.Watch:
        """Returns a watch of all keys with a prefix.

        Args:
            prefix: The prefix.
            start_revision: First revision of interest, usually one above
                that of a read; 0 starts at the current revision.
            clock: Returns seconds from a monotonic clock; times the wait of a
                lost watch before it reconnects.
        """
        return watches.Watch(
            self._http,
            self._endpoints,
            prefix,
            start_revision,
            clock=clock,
            connect_timeout_seconds=self._timeout_seconds,
            silence_timeout_seconds=self._watch_timeout_seconds,
        )

    async def _call(
        self,
        path: str,
        message: wire.Json,
        parse: Callable[[wire.Json], _T],
        is_write: bool,
        timeout_seconds: float | None,
    ) -> results.Result[_T, failures.Failure]:
        if timeout_seconds is None:
            timeout_seconds = self._timeout_seconds
        failure: failures.Failure = failures.TimedOut(
            f"no answer within {timeout_seconds} s"
        )
        timeout_seconds = max(0.0, timeout_seconds)
        # Leaves time for the other endpoints if one does not answer. A write
        # waits for its answer until the end, because it must not be repeated.
        endpoint_timeout_seconds = timeout_seconds / len(self._endpoints)
        timeout = httpx.Timeout(
            timeout_seconds,
            connect=endpoint_timeout_seconds,
            read=timeout_seconds if is_write else endpoint_timeout_seconds,
        )
        with trio.move_on_after(timeout_seconds):
            for index in self._endpoint_order():
                url = self._endpoints[index] + path
                answer = await self._post(url, message, is_write, timeout)
                if isinstance(answer, httpx.Response):
                    self._preferred_index = index
                    return _parse_response(answer, parse)
                failure = answer
                if is_write and failures.may_have_taken_effect(failure):
                    break
        return results.Failure(failure)

    def _endpoint_order(self) -> list[int]:
        count = len(self._endpoints)
        first = self._preferred_index
        return [(first + offset) % count for offset in range(count)]

    async def _post(
        self,
        url: str,
        message: wire.Json,
        is_write: bool,
        timeout: httpx.Timeout,
    ) -> httpx.Response | failures.Failure:
        try:
            return await self._http.post(url, json=message, timeout=timeout)
        except _NOT_SENT_ERRORS as error:
            return failures.Unreachable(f"{url}: {error!r}")
        except (httpx.HTTPError, OSError) as error:
            if is_write or isinstance(error, httpx.TimeoutException):
                return failures.TimedOut(f"{url}: {error!r}")
            return failures.Unreachable(f"{url}: {error!r}")


def _parse_response(
    response: httpx.Response, parse: Callable[[wire.Json], _T]
) -> results.Result[_T, failures.Failure]:
    message = _first_json_object(response.text)
    if response.status_code >= 400:
        return results.Failure(
            wire.failure_of(response.status_code, response.headers, message)
        )
    try:
        return results.Success(parse(message))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return results.Failure(
            failures.Malformed(
                f"{error!r} in {response.text[:200]!r}", refused=False
            )
        )


def _parse_write_result(answer: wire.Json) -> WriteResult:
    return WriteResult(wire.revision_of(answer))


def _conflict_as_failure(
    answer: WriteResult | failures.Conflict,
) -> results.Result[WriteResult, failures.Failure]:
    if isinstance(answer, failures.Conflict):
        return results.Failure(answer)
    return results.Success(answer)


def _lease_not_found_as_failure(
    answer: Lease | failures.LeaseNotFound,
) -> results.Result[Lease, failures.Failure]:
    if isinstance(answer, failures.LeaseNotFound):
        return results.Failure(answer)
    return results.Success(answer)


def _with_lease_id(
    failure: failures.Failure, lease_id: int
) -> failures.Failure:
    if isinstance(failure, failures.LeaseNotFound):
        return failures.LeaseNotFound(lease_id)
    return failure
