"""Messages of the etcd v3 JSON gateway, from the client's side."""

import base64
from collections.abc import Mapping
from typing import Any

import attrs

from godwitturn.etcd import failures

Json = dict[str, Any]

# gRPC status codes.
RESOURCE_EXHAUSTED = 8
NOT_FOUND = 5
# Wait before the next attempt if no valid Retry-After header came with the
# answer.
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
        lease_id: Lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


def encode_bytes(data: bytes) -> str:
    """Returns bytes in the gateway's encoding, base64."""
    return base64.b64encode(data).decode("ascii")


def encode_key(key: str) -> str:
    """Returns a key in the gateway's encoding, base64 of UTF-8."""
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
    """Returns a key-value pair from its JSON."""
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
    comparisons: list[Json] = []
    if compare.mod_revision is not None:
        comparisons.append(
            {
                "key": key,
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(compare.mod_revision),
            }
        )
    if compare.create_revision is not None:
        comparisons.append(
            {
                "key": key,
                "target": "CREATE",
                "result": "EQUAL",
                "create_revision": str(compare.create_revision),
            }
        )
    return comparisons


def put_json(put: Put) -> Json:
    """Returns the JSON of a put request."""
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
    """Returns the JSON of a transaction that reads its keys on failure."""
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
    """Returns the conflict from the answer to a failed transaction."""
    current_by_key: dict[str, failures.KeyValue | None] = {}
    keys = _compared_keys(compares)
    for key, response in zip(keys, message["responses"], strict=True):
        entries = response["response_range"].get("kvs", [])
        current_by_key[key] = key_value(entries[0]) if entries else None
    return failures.Conflict(revision_of(message), current_by_key)


def _retry_after(headers: Mapping[str, str]) -> float:
    try:
        seconds = float(headers.get("retry-after", DEFAULT_RETRY_SECONDS))
    except ValueError:
        return DEFAULT_RETRY_SECONDS
    return max(0.0, seconds)


def failure_of(
    status: int, headers: Mapping[str, str], message: Json
) -> failures.Failure:
    """Returns the failure that corresponds to an error answer.

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
        # A gateway returns such a status if its store did not answer in time;
        # the write may have taken effect nevertheless.
        return failures.TimedOut(detail)
    return failures.Malformed(detail, refused=True)
