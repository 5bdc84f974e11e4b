"""Checked values in JSON documents of other processes.

A document may come from a faulty writer. Whatever it contains, decoding it
raises nothing but `MalformedError`, and decoded values can be calculated with,
encoded and used as addresses.
"""

import json
import math
import socket
from typing import Any

# Bounds of integers without tighter bounds of their own. All are exact as
# floats, too.
MAX_INTEGER = 1 << 53
# Names are sent with their length in one byte.
MAX_TEXT_BYTES = 255
MAX_PORT = 65535


class MalformedError(ValueError):
    """A document can't be decoded.

    Attributes:
        expected: What is allowed in place of a value; empty if the error isn't
            about a single value.
    """

    def __init__(self, message: str, expected: str = "") -> None:
        super().__init__(message)
        self.expected = expected


def load(data: bytes) -> Any:
    """Returns the value of a JSON text.

    Raises:
        MalformedError: If it isn't JSON, nested too deeply, or contains a
            number that isn't finite.
    """
    try:
        return json.loads(
            data, parse_float=_parse_float, parse_constant=_parse_float
        )
    except (ValueError, RecursionError) as exc:
        raise MalformedError(repr(exc)) from exc


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise MalformedError(f"number is {text}; expected a finite one")
    return value


def integer(
    value: Any, name: str, *, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Returns an integer.

    Args:
        value: The value.
        name: Its name, for the error.
        minimum: Smallest allowed value.
        maximum: Largest allowed value.

    Raises:
        MalformedError: If it is of another type or out of range.
    """
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not minimum <= value <= maximum
    ):
        raise unexpected(
            value, name, f"a whole number from {minimum} to {maximum}"
        )
    return value


def number(value: Any, name: str) -> float:
    """Returns a number from 0 to `MAX_INTEGER`.

    Raises:
        MalformedError: If it is of another type or out of range.
    """
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 <= value <= MAX_INTEGER
    ):
        raise unexpected(value, name, f"a number from 0 to {MAX_INTEGER}")
    return float(value)


def text(value: Any, name: str) -> str:
    """Returns a string.

    Raises:
        MalformedError: If it is of another type, longer than
            `MAX_TEXT_BYTES`, or can't be encoded.
    """
    try:
        if len(value.encode()) <= MAX_TEXT_BYTES:
            return str(value)
    except (AttributeError, UnicodeEncodeError):
        pass
    raise unexpected(
        value, name, f"a string of at most {MAX_TEXT_BYTES} bytes"
    )


def address(value: Any, name: str) -> str:
    """Returns an IPv4 address as text.

    Raises:
        MalformedError: If it isn't an address in its usual form.
    """
    try:
        if socket.inet_ntoa(socket.inet_aton(value)) == value:
            return str(value)
    except (OSError, TypeError, ValueError):
        pass
    raise unexpected(value, name, "an address such as 10.0.0.1")


def unexpected(value: Any, name: str, expected: str) -> MalformedError:
    """Returns the error for a value that isn't allowed.

    Args:
        value: The value.
        name: Its name.
        expected: What is allowed in its place.
    """
    return MalformedError(
        f"{name} is {_quote(value)}; expected {expected}", expected
    )


def _quote(value: Any) -> str:
    """Returns the beginning of a value, for an error."""
    try:
        return repr(value)[:80]
    except (ValueError, RecursionError):
        return f"a {type(value).__name__}"
