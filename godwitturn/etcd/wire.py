"""Messages of the etcd v3 JSON gateway, from the client's side."""

import base64
from collections.abc import Mapping
from typing import Any

import attrs

from godwitturn.etcd import failures

Json = dict[str, Any]

RESOURCE_EXHAUSTED = 8
NOT_FOUND = 5
DEFAULT_RETRY_SECONDS = 1.0


@attrs.frozen
class Compare:
    """A condition of a transaction; unset revisions are not compared.

    Attributes:
        key: The key.
        mod_revision: Revision of its last change; 0 if it must be absent.
        create_revision: Revision of its creation; 0 if it must be absent.
    """

    key: str
    mod_revision: int | None = None
    create_revision: int | None = None


@attrs.frozen
class Put:
    """A write of a transaction.

    Attributes:
        key: The key.
        value: Its new value.
        lease_id: The lease it ends with; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


def encode_bytes(data: bytes) -> str:
    """Returns bytes as the gateway writes them."""
    return base64.b64encode(data).decode("ascii")


def encode_key(key: str) -> str:
    """Returns a key as the gateway writes it."""
    return encode_bytes(key.encode())


def prefix_end(prefix: str) -> str:
    """Returns the encoded end of the range of keys with a prefix."""
    raw = bytearray(prefix.encode())
    while raw and raw[-1] == 0xFF:
        raw.pop()
    if not raw:
        return encode_bytes(b"\0")
    raw[-1] += 1
    return encode_bytes(bytes(raw))


def revision_of(message: Json) -> int:
    """Returns the store's revision from an answer's header."""
    return int(message["header"]["revision"])


def key_value(message: Json) -> failures.KeyValue:
    """Returns a key and value from its JSON."""
    return failures.KeyValue(
        base64.b64decode(message["key"]).decode(),
        base64.b64decode(message.get("value", "")),
        int(message.get("create_revision", 0)),
        int(message.get("mod_revision", 0)),
        int(message.get("version", 0)),
        int(message.get("lease", 0)),
    )


def _compare_json(compare: Compare) -> list[Json]:
    key = encode_key(compare.key)
    conditions: list[Json] = []
    if compare.mod_revision is not None:
        conditions.append(
            {
                "key": key,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(compare.mod_revision),
            }
        )
    if compare.create_revision is not None:
        conditions.append(
            {
                "key": key,
                "target": "CREATE",
                "result": "EQUAL",
                "create_revision": str(compare.create_revision),
            }
        )
    return conditions


def put_json(put: Put) -> Json:
    """Returns a put request."""
    message: Json = {
        "key": encode_key(put.key),
        "value": encode_bytes(put.value),
    }
    if put.lease_id:
        message["lease"] = str(put.lease_id)
    return message


def _compared_keys(compares: tuple[Compare, ...]) -> list[str]:
    return list(dict.fromkeys(compare.key for compare in compares))


def transaction_json(
    compares: tuple[Compare, ...], puts: tuple[Put, ...]
) -> Json:
    """Returns a transaction that reads the compared keys on failure."""
    return {
        "compare": [
            condition
            for compare in compares
            for condition in _compare_json(compare)
        ],
        "success": [{"request_put": put_json(put)} for put in puts],
        "failure": [
            {"request_range": {"key": encode_key(key)}}
            for key in _compared_keys(compares)
        ],
    }


def conflict_of(
    compares: tuple[Compare, ...], message: Json
) -> failures.Conflict:
    """Returns the conflict that a failed transaction's answer tells."""
    current: dict[str, failures.KeyValue | None] = {}
    keys = _compared_keys(compares)
    for key, response in zip(keys, message["responses"], strict=True):
        found = response["response_range"].get("kvs", [])
        current[key] = key_value(found[0]) if found else None
    return failures.Conflict(revision_of(message), current)


def _retry_after(headers: Mapping[str, str]) -> float:
    try:
        seconds = float(headers.get("retry-after", DEFAULT_RETRY_SECONDS))
    except ValueError:
        return DEFAULT_RETRY_SECONDS
    return max(0.0, seconds)


def failure_of(
    status: int, headers: Mapping[str, str], message: Json
) -> failures.Failure:
    """Returns the failure that an error answer means.

    Args:
        status: HTTP status, 400 or more.
        headers: The answer's headers.
        message: The answer's JSON; empty if it had none.
    """
    code = message.get("code")
    detail = f"HTTP {status}: {str(message.get('message', ''))[:200]}"
    if status == 429 or code == RESOURCE_EXHAUSTED:
        return failures.RateLimited(_retry_after(headers))
    if code == NOT_FOUND and "lease" in detail:
        return failures.LeaseNotFound(0)
    if status >= 500 and status != 501:
        # A gateway answers so when its store did not answer in time; the
        # write may be done all the same.
        return failures.TimedOut(detail)
    return failures.Malformed(detail, refused=True)
