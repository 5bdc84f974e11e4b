"""Requests and answers of the administration API."""

from collections.abc import Sequence
import json
from typing import Any

import attrs
from returns import result as results
from starlette import requests
from starlette import responses

from godwitturn.admin import operations
from godwitturn.admin import views
from godwitturn.core import changes
from godwitturn.settings import specs

# An inventory of 4,130 members has 480 kB.
MAX_BODY_BYTES = 2 << 20
JSON_TYPE = "application/json"
CSV_TYPE = "text/csv"
RETRY_AFTER_SECONDS = "1"
TOO_MANY_CONNECTIONS = "too_many_connections"


class Refused(Exception):
    """A request is answered with an error.

    Attributes:
        status: HTTP status.
        kind: Type of the error in the answer.
        errors: Texts, or objects that name a value and what is allowed.
    """

    def __init__(self, status: int, kind: str, errors: Sequence[Any]) -> None:
        super().__init__(kind)
        self.status = status
        self.kind = kind
        self.errors = errors


def error_response(
    status: int, kind: str, errors: Sequence[Any], **values: Any
) -> responses.Response:
    """Returns a typed error.

    Args:
        status: HTTP status.
        kind: Its type, see docs/api.md.
        errors: Texts, or objects that name a value and what is allowed.
        **values: More values of the answer.
    """
    found = [{"type": kind, **views.error_values(error)} for error in errors]
    headers = {}
    if status == 503:
        headers["retry-after"] = RETRY_AFTER_SECONDS
    if status == 401:
        headers["www-authenticate"] = "Bearer"
    return responses.JSONResponse(
        {"errors": found, **values}, status, headers=headers
    )


# HTTP status and error type; the first that any change ended with.
_MAY_HAVE = 504, "may_have_taken_effect"
_CONFLICT = 409, "conflict"
_UNREACHABLE = 503, "store_unreachable"
_REFUSED = 422, "refused"


def _ending(change: operations.ChangeResult) -> tuple[int, str] | None:
    match change.verdict:
        case operations.WriteVerdict.TOOK_EFFECT:
            return None
        case operations.WriteVerdict.MAY_HAVE:
            return _MAY_HAVE
    if change.conflict:
        return _CONFLICT
    return _UNREACHABLE if change.unreachable else _REFUSED


def changed(
    found: Sequence[operations.ChangeResult],
    operation: operations.Operation,
    **values: Any,
) -> responses.Response:
    """Returns how changes ended."""
    body = {
        "operation_id": operation.operation_id,
        "changes": [views.change_values(change) for change in found],
        **values,
    }
    endings = {_ending(change) for change in found}
    for ending in (_MAY_HAVE, _CONFLICT, _UNREACHABLE, _REFUSED):
        if ending in endings:
            errors = [
                change.refusal or f"{change.key}: {change.failure}"
                for change in found
                if _ending(change) == ending
            ]
            return error_response(*ending, errors, **body)
    return responses.JSONResponse(body)


def operation_of(request: requests.Request) -> operations.Operation:
    """Returns the operation that the Idempotency-Key header names.

    Raises:
        Refused: The header's value is not allowed.
    """
    text = request.headers.get("idempotency-key")
    if text is None:
        return operations.new_operation()
    named = operations.operation_of(text)
    if isinstance(named, results.Failure):
        refusal = attrs.evolve(named.failure(), field="Idempotency-Key")
        raise Refused(400, "bad_request", [refusal])
    return named.unwrap()


async def body_of(request: requests.Request, content_type: str) -> bytes:
    """Returns the body.

    Raises:
        Refused: It has another type, is too large or arrives too slowly.
    """
    # A page in an operator's browser can send a form or plain text to the
    # loopback address without asking, but not these types.
    given = request.headers.get("content-type", "").split(";")[0].strip()
    if given.lower() != content_type:
        refusal = changes.Refusal("Content-Type", given, content_type)
        raise Refused(415, "bad_request", [refusal])
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            allowed = f"at most {MAX_BODY_BYTES} bytes"
            refusal = changes.Refusal("body", f"{size} bytes or more", allowed)
            raise Refused(413, "too_large", [refusal])
        chunks.append(chunk)
    return b"".join(chunks)


async def text_of(request: requests.Request, content_type: str) -> str:
    """Returns the body as text.

    Raises:
        Refused: It has another type, is too large or is not UTF-8.
    """
    body = await body_of(request, content_type)
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise Refused(400, "bad_request", [f"body: {error}"]) from error


async def values_of(request: requests.Request, type_: type) -> Any:
    """Returns the JSON body as an instance of an attrs class.

    Args:
        request: The request.
        type_: Class whose fields are made by `specs.setting`.

    Raises:
        Refused: The body is not such an object.
    """
    text = await text_of(request, JSON_TYPE)
    try:
        values = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise Refused(400, "bad_request", [f"body: {error}"]) from error
    if not isinstance(values, dict):
        refusal = changes.Refusal("body", text[:80], "a JSON object")
        raise Refused(400, "bad_request", [refusal])
    checker = specs.Checker("body")
    found = checker.check_table(values, type_, "")
    if found is None:
        raise Refused(400, "bad_request", checker.errors)
    return found
