"""Conversion between the messages of the JSON gateway and the state.

As in etcd's gateway, answers omit fields that have their default value, and
contain 64-bit integers as strings and bytes as base64.
"""

import base64
import binascii
from typing import Any

from godwitturn.standins.store import state as states

Json = dict[str, Any]

HTTP_STATUS_BY_CODE = {
    states.INVALID_ARGUMENT: 400,
    states.NOT_FOUND: 404,
    states.RESOURCE_EXHAUSTED: 429,
    states.FAILED_PRECONDITION: 400,
    states.OUT_OF_RANGE: 400,
    states.UNIMPLEMENTED: 501,
}


def error_body(error: states.StoreError) -> Json:
    """Returns the body with which the gateway answers an error."""
    return {
        "error": error.message,
        "code": error.code,
        "message": error.message,
    }


def bytes_of(message: Json, name: str) -> bytes:
    """Returns the decoded value of a base64 field; empty if absent."""
    try:
        return base64.b64decode(message.get(name, ""), validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise states.StoreError(
            states.INVALID_ARGUMENT, f"{name} is not base64: {error}"
        ) from error


def integer_of(message: Json, name: str) -> int:
    """Returns an int64 field, given as string or number; 0 if absent."""
    value = message.get(name, 0)
    try:
        return int(value)
    except (TypeError, ValueError) as error:
        raise states.StoreError(
            states.INVALID_ARGUMENT, f"{name} is not an integer: {value!r}"
        ) from error


def _base64_text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def header(state: states.StoreState) -> Json:
    """Returns the header of an answer, with the current revision."""
    return {
        "cluster_id": "1",
        "member_id": "1",
        "revision": str(state.revision),
        "raft_term": "1",
    }


def entry_json(entry: states.Entry) -> Json:
    """Returns an entry as the gateway's `KeyValue`."""
    message: Json = {
        "key": _base64_text(entry.key),
        "mod_revision": str(entry.mod_revision),
    }
    if entry.create_revision:
        message["create_revision"] = str(entry.create_revision)
        message["version"] = str(entry.version)
    if entry.value:
        message["value"] = _base64_text(entry.value)
    if entry.lease_id:
        message["lease"] = str(entry.lease_id)
    return message


def event_json(event: states.Event) -> Json:
    """Returns a change as the gateway's `Event`; PUT is the default type."""
    message: Json = {"kv": entry_json(event.entry)}
    if event.deleted:
        message["type"] = "DELETE"
    return message


_RANGE_FIELDS = {"key", "range_end", "limit", "keys_only", "count_only"}
_RANGE_FIELDS |= {"serializable", "revision", "min_mod_revision"}


def _range_of(message: Json) -> states.Range:
    unknown = set(message) - _RANGE_FIELDS
    if unknown or integer_of(message, "revision"):
        raise states.StoreError(
            states.UNIMPLEMENTED,
            f"unsupported range fields: {sorted(unknown) or 'revision'}",
        )
    return states.Range(
        bytes_of(message, "key"), bytes_of(message, "range_end")
    )


def _put_of(message: Json) -> states.Put:
    return states.Put(
        bytes_of(message, "key"),
        bytes_of(message, "value"),
        integer_of(message, "lease"),
    )


def _delete_of(message: Json) -> states.Delete:
    return states.Delete(
        bytes_of(message, "key"), bytes_of(message, "range_end")
    )


def _range_answer(
    state: states.StoreState, message: Json, entries: list[states.Entry]
) -> Json:
    answer: Json = {"header": header(state)}
    if not entries:
        return answer
    answer["count"] = str(len(entries))
    min_revision = integer_of(message, "min_mod_revision")
    entries = [
        entry for entry in entries if entry.mod_revision >= min_revision
    ]
    limit = integer_of(message, "limit")
    if limit and len(entries) > limit:
        entries = entries[:limit]
        answer["more"] = True
    if not message.get("count_only"):
        answer["kvs"] = [entry_json(entry) for entry in entries]
        if message.get("keys_only"):
            for found in answer["kvs"]:
                found.pop("value", None)
    return answer


def range_call(state: states.StoreState, message: Json) -> Json:
    """Answers /v3/kv/range."""
    operation = _range_of(message)
    entries = state.range(operation.key, operation.range_end)
    return _range_answer(state, message, entries)


def put_call(state: states.StoreState, message: Json) -> Json:
    """Answers /v3/kv/put."""
    state.apply([_put_of(message)])
    return {"header": header(state)}


def delete_call(state: states.StoreState, message: Json) -> Json:
    """Answers /v3/kv/deleterange."""
    (deleted,) = state.apply([_delete_of(message)])
    answer: Json = {"header": header(state)}
    if deleted:
        answer["deleted"] = str(deleted)
    return answer


def compaction_call(state: states.StoreState, message: Json) -> Json:
    """Answers /v3/kv/compaction."""
    state.compact(integer_of(message, "revision"))
    return {"header": header(state)}


_FIELD_BY_TARGET = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
    "LEASE": "lease",
}


def _actual_value(
    entry: states.Entry | None, target: str
) -> int | bytes | None:
    match target:
        case "VALUE":
            return entry.value if entry else None
        case "LEASE":
            return entry.lease_id if entry else 0
        case "CREATE":
            return entry.create_revision if entry else 0
        case "MOD":
            return entry.mod_revision if entry else 0
        case _:
            return entry.version if entry else 0


def _comparison_holds(state: states.StoreState, compare: Json) -> bool:
    target = compare.get("target", "VERSION")
    result = compare.get("result", "EQUAL")
    if target not in _FIELD_BY_TARGET:
        raise states.StoreError(
            states.INVALID_ARGUMENT,
            f"target {target!r} is not one of {sorted(_FIELD_BY_TARGET)}",
        )
    field = _FIELD_BY_TARGET[target]
    read = bytes_of if target == "VALUE" else integer_of
    expected: Any = read(compare, field)
    entry = state.entry_by_key.get(bytes_of(compare, "key"))
    actual: Any = _actual_value(entry, target)
    if actual is None:  # etcd fails a comparison with an absent value.
        return False
    match result:
        case "EQUAL":
            return bool(actual == expected)
        case "NOT_EQUAL":
            return bool(actual != expected)
        case "GREATER":
            return bool(actual > expected)
        case "LESS":
            return bool(actual < expected)
    raise states.StoreError(
        states.INVALID_ARGUMENT, f"comparison {result!r} is unknown"
    )


def _operation_of(message: Json) -> tuple[states.Operation, Json]:
    match message:
        case {"request_put": dict(fields)}:
            return _put_of(fields), fields
        case {"request_range": dict(fields)}:
            return _range_of(fields), fields
        case {"request_delete_range": dict(fields)}:
            return _delete_of(fields), fields
    raise states.StoreError(
        states.UNIMPLEMENTED, f"unsupported operation: {sorted(message)}"
    )


def transaction_call(state: states.StoreState, message: Json) -> Json:
    """Answers /v3/kv/txn."""
    succeeded = all(
        _comparison_holds(state, compare)
        for compare in message.get("compare", [])
    )
    branch = message.get("success" if succeeded else "failure", [])
    parsed = [_operation_of(request) for request in branch]
    results = state.apply([operation for operation, _ in parsed])
    responses: list[Json] = []
    for (_, fields), result in zip(parsed, results, strict=True):
        if isinstance(result, list):
            found = _range_answer(state, fields, result)
            responses.append({"response_range": found})
        elif result is None:
            responses.append({"response_put": {"header": header(state)}})
        else:
            deleted = {"header": header(state), "deleted": str(result)}
            responses.append({"response_delete_range": deleted})
    answer: Json = {"header": header(state)}
    if succeeded:
        answer["succeeded"] = True
    if responses:
        answer["responses"] = responses
    return answer


def grant_call(state: states.StoreState, message: Json, now: float) -> Json:
    """Answers /v3/lease/grant."""
    lease = state.grant(
        integer_of(message, "TTL"), integer_of(message, "ID"), now=now
    )
    return {
        "header": header(state),
        "ID": str(lease.lease_id),
        "TTL": str(lease.ttl_seconds),
    }


def keep_alive_call(
    state: states.StoreState, message: Json, now: float
) -> Json:
    """Answers one message of the stream /v3/lease/keepalive."""
    lease_id = integer_of(message, "ID")
    ttl_seconds = state.keep_alive(lease_id, now=now)
    result: Json = {"header": header(state), "ID": str(lease_id)}
    if ttl_seconds:
        result["TTL"] = str(ttl_seconds)
    return {"result": result}


def revoke_call(state: states.StoreState, message: Json) -> Json:
    """Answers /v3/lease/revoke."""
    state.revoke(integer_of(message, "ID"))
    return {"header": header(state)}
