"""Client of the platform's store.

The client converts calls and answers. `mirror` and `registration` in the core
decide when to call and how to handle failures.
"""

import base64
from collections.abc import Callable
import json
from typing import Any

from godwitturn.core import store_position
from godwitturn.core.transparent import mirror
from godwitturn.core.transparent import registration
from godwitturn.daemons import http_client
from godwitturn.daemons import reactor
from godwitturn.platform import documents
from godwitturn.protocol import json_values

# Time within which an answer begins. That takes milliseconds, or up to 0.25 s
# if the store is slow.
CALL_TIMEOUT_S = 1.0
# The same for a watch, beyond the time that the store waits.
WATCH_MARGIN_S = 1.0
# Rate at which a large value is at least sent: 2 Mbit/s of a link of 5 Mbit/s
# that carries other calls, too. An answer begins only after the value has
# arrived.
MIN_SEND_BYTES_PER_S = 250_000

_ERA_HEADER = b"store-era"
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412


class Store:
    """One connection to the store; it carries one call at a time."""

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    def read(
        self,
        call: mirror.ReadPage | mirror.Watch,
        done: Callable[[mirror.Page | mirror.Changes | mirror.Failure], None],
    ) -> None:
        """Reads a page or waits for changes; `done` receives the result."""
        match call:
            case mirror.ReadPage(prefix, after):
                path = f"/kv-range?prefix={_quote(prefix)}"
                max_bytes: int | None
                if after:
                    path += f"&after={_quote(after)}"
                timeout_s, max_bytes = CALL_TIMEOUT_S, None
            case mirror.Watch(prefix, revision, wait_s, max_bytes):
                path = (
                    f"/kv-watch?prefix={_quote(prefix)}&after={revision}"
                    f"&wait_ms={round(1000 * wait_s)}"
                )
                timeout_s = wait_s + WATCH_MARGIN_S

        def handle_answer(status: int | None, body: bytes) -> None:
            if self._client.is_body_too_large:
                done(mirror.Failure.TOO_LARGE)
            else:
                done(_decode_read_result(call, status, self._era(), body))

        self._client.call(
            "GET",
            path,
            b"",
            timeout_s,
            handle_answer,
            max_body_bytes=max_bytes,
        )

    def write(
        self,
        call: registration.Call,
        done: Callable[
            [registration.Granted | registration.Outcome, int], None
        ],
    ) -> None:
        """Changes a lease or an entry.

        Args:
            call: The change.
            done: Receives the result and the era of the store in which it was
                given; 0 without an answer.
        """
        method, path, body = _encode_write(call)

        def handle_answer(status: int | None, body: bytes) -> None:
            done(_decode_write_result(call, status, body), self._era())

        self._client.call(method, path, body, CALL_TIMEOUT_S, handle_answer)

    def read_key(
        self,
        key: str,
        done: Callable[[mirror.Item | mirror.Failure, int], None],
        *,
        newest: bool = True,
    ) -> None:
        """Reads one key.

        Args:
            key: The key.
            done: Receives the item, of revision 0 if the key doesn't exist,
                and the era of the answer.
            newest: Whether the answer must be the newest state; one that may
                be seconds old costs the store a tenth.
        """

        def handle_answer(status: int | None, body: bytes) -> None:
            done(_decode_read_key(key, status, body), self._era())

        path = f"/kv-key?key={_quote(key)}"
        if not newest:
            path += "&serializable=1"
        self._client.call("GET", path, b"", CALL_TIMEOUT_S, handle_answer)

    def replace_key(
        self,
        key: str,
        value: bytes,
        revision: int,
        done: Callable[[int | mirror.Item | mirror.Failure, int], None],
    ) -> None:
        """Writes a key, without a lease, unless it has changed.

        Args:
            key: The key.
            value: Its new value.
            revision: Revision that it must have, 0 if it must not exist.
            done: Receives the new revision, or the present item if the key
                has another revision, and the era of the answer.
        """

        def handle_answer(status: int | None, body: bytes) -> None:
            done(_decode_replace_key(key, status, body), self._era())

        put = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": 0,
        }
        fields = {
            "precondition": [{"key": key, "revision": revision}],
            "puts": [put],
            "deletes": [],
        }
        body = json.dumps(fields).encode()
        timeout_s = CALL_TIMEOUT_S + len(body) / MIN_SEND_BYTES_PER_S
        self._client.call("POST", "/kv-txn", body, timeout_s, handle_answer)

    def _era(self) -> int:
        """Returns the era in the last answer; one without an era is of 0."""
        value = self._client.value_by_header.get(_ERA_HEADER, b"0").strip()
        return int(value) if value.isdigit() and len(value) < 16 else 0


def read_operator_documents(
    address: tuple[str, int],
) -> mirror.Page | mirror.Changes | mirror.Failure:
    """Reads the first page of the operators' documents, for checks.

    The function blocks until the store has answered or the call has timed out.

    Args:
        address: Address of the store.
    """
    loop = reactor.Reactor()
    client = http_client.HttpClient(loop, address)
    results: list[mirror.Page | mirror.Changes | mirror.Failure] = []

    def done(result: mirror.Page | mirror.Changes | mirror.Failure) -> None:
        results.append(result)
        loop.stopped = True

    Store(client).read(mirror.ReadPage(documents.OPERATOR_PREFIX, ""), done)
    loop.run()
    client.close()
    return results[0]


def _quote(key: str) -> str:
    """Returns a key as it is written in a query string."""
    if key.isascii() and key.replace("/", "").isalnum():
        return key
    # Imported only here, because `urllib.parse` is slow to import, and watched
    # prefixes need no quoting.
    import urllib.parse

    return urllib.parse.quote(key)


def _decode_read_result(
    call: mirror.ReadPage | mirror.Watch,
    status: int | None,
    era: int,
    body: bytes,
) -> mirror.Page | mirror.Changes | mirror.Failure:
    if status == _GONE:
        return mirror.Failure.HISTORY_GONE
    if status != _OK:
        return _failure(status)
    try:
        answer = json_values.load(body)
        revision = json_values.integer(answer["at"], "at")
        position = store_position.StorePosition(era, revision)
        if isinstance(call, mirror.Watch):
            items = tuple(decode_item(row) for row in answer["events"])
            return mirror.Changes(items, position)
        items = tuple(decode_item(row) for row in answer["items"])
        return mirror.Page(items, bool(answer["has_more"]), position)
    except (ValueError, TypeError, KeyError, AttributeError):
        return mirror.Failure.MALFORMED


def _decode_read_key(
    key: str, status: int | None, body: bytes
) -> mirror.Item | mirror.Failure:
    if status == _NOT_FOUND:
        return mirror.Item(key, None, 0)
    if status != _OK:
        return _failure(status)
    try:
        return decode_item(json_values.load(body))
    except (ValueError, TypeError, KeyError, AttributeError):
        return mirror.Failure.MALFORMED


def _decode_replace_key(
    key: str, status: int | None, body: bytes
) -> int | mirror.Item | mirror.Failure:
    try:
        if status == _OK:
            revision = json_values.load(body)["revision"]
            return json_values.integer(revision, "revision")
        if status == _PRECONDITION_FAILED:
            for row in json_values.load(body)["items"]:
                item = decode_item(row)
                if item.key == key:
                    return item
            return mirror.Item(key, None, 0)
    except (ValueError, TypeError, KeyError, AttributeError):
        return mirror.Failure.MALFORMED
    return _failure(status)


def _failure(status: int | None) -> mirror.Failure:
    if status is None:
        return mirror.Failure.UNREACHABLE
    return mirror.Failure.REFUSED


def decode_item(row: dict[str, Any]) -> mirror.Item:
    """Decodes an item or an event of an answer."""
    key = json_values.text(row["key"], "key")
    revision = json_values.integer(row["revision"], "revision")
    if row.get("deleted"):
        return mirror.Item(key, None, revision)
    return mirror.Item(key, base64.b64decode(row["value"]), revision)


def _encode_write(call: registration.Call) -> tuple[str, str, bytes]:
    match call:
        case registration.GrantLease(seconds):
            fields: dict[str, Any] = {"ttl_ms": round(1000 * seconds)}
            return "POST", "/kv-lease", json.dumps(fields).encode()
        case registration.KeepLease(lease):
            return "POST", f"/kv-keep/{lease}", b""
        case registration.EndLease(lease):
            return "DELETE", f"/kv-lease-end/{lease}", b""
        case registration.PutEntry(key, value, lease):
            put = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "lease": lease,
            }
            fields = {"precondition": [], "puts": [put], "deletes": []}
            return "POST", "/kv-txn", json.dumps(fields).encode()


def _decode_write_result(
    call: registration.Call, status: int | None, body: bytes
) -> registration.Granted | registration.Outcome:
    if status == _NOT_FOUND:
        return registration.Outcome.LEASE_GONE
    if status != _OK:
        return registration.Outcome.FAILED
    if isinstance(call, registration.GrantLease):
        try:
            lease = json_values.load(body)["lease"]
            return registration.Granted(json_values.integer(lease, "lease"))
        except (ValueError, TypeError, KeyError):
            return registration.Outcome.FAILED
    return registration.Outcome.DONE
