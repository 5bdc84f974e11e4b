"""Client of the platform's store: calls and answers, translated.

The decisions when to call and what to do about failures are the core's
(`mirror` and `registration`).
"""

import base64
from collections.abc import Callable
import json
from typing import Any

from godwitturn.core.transparent import mirror
from godwitturn.core.transparent import registration
from godwitturn.daemons import http_client
from godwitturn.daemons import reactor
from godwitturn.platform import documents

# Answers take milliseconds; a slow store takes up to a quarter of a second.
CALL_TIMEOUT_S = 1.0
# What an answer may take beyond the time that a watch was told to wait.
WATCH_MARGIN_S = 1.0

_OK = 200
_NOT_FOUND = 404
_GONE = 410


class Store:
    """One connection to the store; it carries one call at a time."""

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    def read(
        self,
        call: mirror.ReadPage | mirror.Watch,
        done: Callable[[mirror.Page | mirror.Changes | mirror.Failure], None],
    ) -> None:
        """Makes a reading call."""
        match call:
            case mirror.ReadPage(prefix, after):
                target = f"/kv-range?prefix={_quote(prefix)}"
                if after:
                    target += f"&after={_quote(after)}"
                timeout_s = CALL_TIMEOUT_S
            case mirror.Watch(prefix, revision, wait_s):
                target = (
                    f"/kv-watch?prefix={_quote(prefix)}&after={revision}"
                    f"&wait_ms={round(1000 * wait_s)}"
                )
                timeout_s = wait_s + WATCH_MARGIN_S

        def answered(status: int | None, body: bytes) -> None:
            done(_read_result(call, status, body))

        self._client.call("GET", target, b"", timeout_s, answered)

    def write(
        self,
        call: registration.Call,
        done: Callable[[registration.Granted | registration.Outcome], None],
    ) -> None:
        """Makes a call about a lease or an entry."""
        method, target, body = _write_request(call)

        def answered(status: int | None, body: bytes) -> None:
            done(_write_result(call, status, body))

        self._client.call(method, target, body, CALL_TIMEOUT_S, answered)


def read_operator_documents(
    address: tuple[str, int],
) -> mirror.Page | mirror.Changes | mirror.Failure:
    """Reads the operators' documents once, for checks; it blocks.

    Args:
        address: The store.
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
    """Returns a key as it stands in a query."""
    if key.isascii() and key.replace("/", "").isalnum():
        return key
    # Needed for keys of other writers only; it is slow to import.
    import urllib.parse

    return urllib.parse.quote(key)


def _read_result(
    call: mirror.ReadPage | mirror.Watch, status: int | None, body: bytes
) -> mirror.Page | mirror.Changes | mirror.Failure:
    if status is None:
        return mirror.Failure.UNREACHABLE
    if status == _GONE:
        return mirror.Failure.HISTORY_GONE
    if status != _OK:
        return mirror.Failure.REFUSED
    try:
        answer = json.loads(body)
        if isinstance(call, mirror.Watch):
            items = tuple(_item(row) for row in answer["events"])
            return mirror.Changes(items, int(answer["at"]))
        items = tuple(_item(row) for row in answer["items"])
        return mirror.Page(items, bool(answer["has_more"]), int(answer["at"]))
    except (ValueError, TypeError, KeyError):
        return mirror.Failure.MALFORMED


def _item(row: dict[str, Any]) -> mirror.Item:
    if row.get("deleted"):
        return mirror.Item(row["key"], None, int(row["revision"]))
    value = base64.b64decode(row["value"])
    return mirror.Item(row["key"], value, int(row["revision"]))


def _write_request(call: registration.Call) -> tuple[str, str, bytes]:
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


def _write_result(
    call: registration.Call, status: int | None, body: bytes
) -> registration.Granted | registration.Outcome:
    if status == _NOT_FOUND:
        return registration.Outcome.LEASE_GONE
    if status != _OK:
        return registration.Outcome.FAILED
    if isinstance(call, registration.GrantLease):
        try:
            return registration.Granted(int(json.loads(body)["lease"]))
        except (ValueError, TypeError, KeyError):
            return registration.Outcome.FAILED
    return registration.Outcome.DONE
