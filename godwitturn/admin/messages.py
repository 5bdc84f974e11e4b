"""Reads requests and builds responses of the administration API."""

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

# Limit of a request body; an inventory file with 4,130 members has 480 kB.
MAX_BODY_BYTES = 2 << 20
JSON_TYPE = "application/json"
CSV_TYPE = "text/csv"
RETRY_AFTER_SECONDS = "1"
TOO_MANY_CONNECTIONS = "too_many_connections"


class RequestError(Exception):
    """Ends the handling of a request with an error response.

    Attributes:
        status: HTTP status.
        error_type: Type of the error in the response.
        errors: Texts, or objects that name a value and what is allowed.
    """

    def __init__(
        self, status: int, error_type: str, errors: Sequence[Any]
    ) -> None:
        super().__init__(error_type)
        self.status = status
        self.error_type = error_type
        self.errors = errors


def error_response(
    status: int, error_type: str, errors: Sequence[Any], **values: Any
) -> responses.Response:
    """Returns a response that lists errors of one type.

    Args:
        status: HTTP status.
        error_type: Type of all errors, such as `bad_request`; see docs/api.md.
        errors: Texts, or objects that name a value and what is allowed.
        **values: Further values of the response body.
    """
    error_list = [
        {"type": error_type, **views.error_values(error)} for error in errors
    ]
    headers = {}
    if status == 503:
        headers["retry-after"] = RETRY_AFTER_SECONDS
    if status == 401:
        headers["www-authenticate"] = "Bearer"
    return responses.JSONResponse(
        {"errors": error_list, **values}, status, headers=headers
    )


# HTTP status and error type of a change that did not take effect, or may not
# have. A response about several changes has the first of these that applies to
# any of them.
_MAY_HAVE = 504, "may_have_taken_effect"
_CONFLICT = 409, "conflict"
_UNREACHABLE = 503, "store_unreachable"
_REFUSED = 422, "refused"


def _status_and_type(
    change: operations.ChangeResult,
) -> tuple[int, str] | None:
    """Returns the status and error type of a change, None if it succeeded."""
    match change.verdict:
        case operations.WriteVerdict.TOOK_EFFECT:
            return None
        case operations.WriteVerdict.MAY_HAVE:
            return _MAY_HAVE
    if change.conflict:
        return _CONFLICT
    return _UNREACHABLE if change.unreachable else _REFUSED


def changes_response(
    outcomes: Sequence[operations.ChangeResult],
    operation: operations.Operation,
    **values: Any,
) -> responses.Response:
    """Returns the response that reports the outcomes of changes.

    Args:
        outcomes: One for each document.
        operation: Identity of the change.
        **values: Further values of the response body.
    """
    body = {
        "operation_id": operation.operation_id,
        "changes": [views.change_values(change) for change in outcomes],
        **values,
    }
    statuses_and_types = {_status_and_type(change) for change in outcomes}
    for status_and_type in (_MAY_HAVE, _CONFLICT, _UNREACHABLE, _REFUSED):
        if status_and_type in statuses_and_types:
            errors = [
                change.refusal or f"{change.key}: {change.failure}"
                for change in outcomes
                if _status_and_type(change) == status_and_type
            ]
            return error_response(*status_and_type, errors, **body)
    return responses.JSONResponse(body)


def operation_of(request: requests.Request) -> operations.Operation:
    """Returns the operation that the Idempotency-Key header names.

    Without the header, the operation is a new one.

    Raises:
        RequestError: The header's value is not allowed.
    """
    operation_id = request.headers.get("idempotency-key")
    if operation_id is None:
        return operations.new_operation()
    operation = operations.operation_from_id(operation_id)
    if isinstance(operation, results.Failure):
        refusal = attrs.evolve(operation.failure(), field="Idempotency-Key")
        raise RequestError(400, "bad_request", [refusal])
    return operation.unwrap()


async def _read_body(request: requests.Request, content_type: str) -> bytes:
    """Returns the body.

    Raises:
        RequestError: The body has another content type or is too large, or it
            arrives too slowly.
    """
    # A web page in an operator's browser can send forms and plain text to a
    # loopback address without a CORS preflight request, but not these types.
    given = request.headers.get("content-type", "").split(";")[0].strip()
    if given.lower() != content_type:
        refusal = changes.Refusal("Content-Type", given, content_type)
        raise RequestError(415, "bad_request", [refusal])
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            allowed = f"at most {MAX_BODY_BYTES} bytes"
            refusal = changes.Refusal("body", f"{size} bytes or more", allowed)
            raise RequestError(413, "too_large", [refusal])
        chunks.append(chunk)
    return b"".join(chunks)


async def read_text(request: requests.Request, content_type: str) -> str:
    """Returns the body as text.

    Raises:
        RequestError: The body has another content type, is too large, arrives
            too slowly or is not UTF-8.
    """
    body = await _read_body(request, content_type)
    try:
        return body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise RequestError(400, "bad_request", [f"body: {error}"]) from error


async def read_json(request: requests.Request, type_: type) -> Any:
    """Returns the JSON body as an instance of an attrs class.

    Args:
        request: The request.
        type_: Class whose fields are made by `specs.setting`.

    Raises:
        RequestError: The body cannot be read or is not such an object.
    """
    text = await read_text(request, JSON_TYPE)
    try:
        values = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise RequestError(400, "bad_request", [f"body: {error}"]) from error
    if not isinstance(values, dict):
        refusal = changes.Refusal("body", text[:80], "a JSON object")
        raise RequestError(400, "bad_request", [refusal])
    checker = specs.Checker("body")
    checked = checker.check_table(values, type_, "")
    if checked is None:
        raise RequestError(400, "bad_request", checker.errors)
    return checked
