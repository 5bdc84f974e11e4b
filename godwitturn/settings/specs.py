"""Specifications of settings values, and a checker that applies them."""

from collections.abc import Callable
import ipaddress
from typing import Any

import attrs

from godwitturn.core import addresses

MAX_PORT = 65535


@attrs.frozen
class ValidationError:
    """A value of a settings file that is not allowed.

    Attributes:
        file: Name of the file.
        key: Path of the key, such as `control.seeds[0].address`.
        value: The value found, or `(missing)`.
        allowed: Description of the allowed values.
    """

    file: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f"{self.file}: {self.key}: {self.value} is not allowed; "
            f"allowed: {self.allowed}"
        )


@attrs.frozen
class Text:
    """A non-empty string."""

    allowed: str = "a non-empty string"


@attrs.frozen
class Choice:
    """One of several strings."""

    values: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for errors."""
        return "one of " + ", ".join(self.values)


@attrs.frozen
class Integer:
    """An integer from `low` to `high`, both included."""

    low: int
    high: int

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for errors."""
        return f"a whole number from {self.low} to {self.high}"


@attrs.frozen
class Number:
    """A number from `low` to `high`, both included."""

    low: float
    high: float

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for errors."""
        return f"a number from {self.low} to {self.high}"


@attrs.frozen
class SocketAddress:
    """An IP address and a port."""

    allowed: str = (
        "an IP address and a port, such as 192.0.2.1:7000 or [::1]:7000"
    )


@attrs.frozen
class Hex:
    """Bytes, written as hexadecimal digits.

    Attributes:
        size: Number of bytes.
        secret: Whether errors and the class's `repr` leave the value out.
    """

    size: int
    secret: bool = False

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for errors."""
        return f"{2 * self.size} hexadecimal digits"


@attrs.frozen
class Url:
    """An HTTP or HTTPS URL."""

    allowed: str = "a URL that begins with http:// or https://"


@attrs.frozen
class Boolean:
    """A Boolean."""

    allowed: str = "true or false"


@attrs.frozen
class ListOf:
    """A list whose items are all checked by `spec`."""

    spec: "Spec"
    allowed: str = "a list"


@attrs.frozen
class TableOf:
    """A table that is converted to an instance of an attrs class."""

    type: type
    allowed: str = "a table"


@attrs.frozen
class MapOf:
    """A table with arbitrary keys, whose values are all checked by `spec`."""

    spec: "Spec"
    allowed: str = "a table"


Spec = (
    Text
    | Choice
    | Integer
    | Number
    | SocketAddress
    | Hex
    | Url
    | Boolean
    | ListOf
    | TableOf
    | MapOf
)


def _parse_address(value: Any) -> addresses.Address | None:
    if not isinstance(value, str):
        return None
    host, separator, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not separator or not port.isascii() or not port.isdigit():
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if int(port) > MAX_PORT:
        return None
    return addresses.Address(host, int(port))


def _parse_hex(value: Any, size: int) -> bytes | None:
    try:
        data = bytes.fromhex(value)
    except (TypeError, ValueError):
        return None
    return data if len(data) == size else None


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _parse_simple(spec: Spec, value: Any) -> Any:
    """Returns the value of a simple type, or None if it is not allowed."""
    match spec:
        case Text():
            return value if isinstance(value, str) and value else None
        case Choice():
            return value if value in spec.values else None
        case Integer():
            is_integer = isinstance(value, int) and not isinstance(value, bool)
            return (
                value
                if is_integer and spec.low <= value <= spec.high
                else None
            )
        case Number():
            in_range = _is_number(value) and spec.low <= value <= spec.high
            return float(value) if in_range else None
        case SocketAddress():
            return _parse_address(value)
        case Hex():
            return _parse_hex(value, spec.size)
        case Url():
            is_text = isinstance(value, str)
            is_http = is_text and value.startswith(("http://", "https://"))
            return value if is_http else None
        case Boolean():
            return value if isinstance(value, bool) else None
    raise AssertionError(f"no parser for {spec}")


@attrs.define
class Checker:
    """Converts parsed TOML to settings and collects all errors.

    Attributes:
        file: Name of the file, for errors.
        errors: Errors found so far.
    """

    file: str
    errors: list[ValidationError] = attrs.field(factory=list)

    def _add_error(self, key: str, value: Any, spec: Spec) -> None:
        secret = isinstance(spec, Hex) and spec.secret
        shown = "(secret value)" if secret else repr(value)
        self.errors.append(
            ValidationError(self.file, key, shown, spec.allowed)
        )

    def _check_each(
        self, items: Any, spec: Spec, path_of: Callable[[Any], str]
    ) -> dict[Any, Any]:
        return {
            index: self.check(item, spec, path_of(index))
            for index, item in items
        }

    def check(self, value: Any, spec: Spec, key: str) -> Any:
        """Returns the parsed value, or None after adding an error.

        Lists and maps are returned with None for each rejected item.

        Args:
            value: Value from the TOML file.
            spec: What is allowed.
            key: Path of the key, for errors.
        """
        match spec:
            case ListOf() if isinstance(value, list):
                item_by_index = self._check_each(
                    enumerate(value), spec.spec, lambda i: f"{key}[{i}]"
                )
                return tuple(item_by_index.values())
            case MapOf() if isinstance(value, dict):
                return self._check_each(
                    value.items(), spec.spec, lambda k: f"{key}.{k}"
                )
            case TableOf() if isinstance(value, dict):
                return self.check_table(value, spec.type, key)
            case ListOf() | MapOf() | TableOf():
                self._add_error(key, value, spec)
                return None
        parsed = _parse_simple(spec, value)
        if parsed is None:
            self._add_error(key, value, spec)
        return parsed

    def check_table(
        self, values: dict[str, Any], type_: type, key: str
    ) -> Any:
        """Returns a table as an attrs class, or None after adding errors.

        Args:
            values: The parsed TOML table.
            type_: Class whose fields are made by `setting`.
            key: Path of the table, empty for the whole file.
        """
        fields = {field.name: field for field in attrs.fields(type_)}
        errors_before = len(self.errors)
        for name in sorted(values.keys() - fields.keys()):
            allowed = "one of the keys " + ", ".join(sorted(fields))
            path = f"{key}.{name}".lstrip(".")
            self.errors.append(
                ValidationError(self.file, path, "this key", allowed)
            )
        checked = {}
        for name, field in fields.items():
            path = f"{key}.{name}".lstrip(".")
            spec = field.metadata["spec"]
            if name in values:
                checked[name] = self.check(values[name], spec, path)
            elif field.default is attrs.NOTHING:
                error = ValidationError(
                    self.file, path, "(missing)", spec.allowed
                )
                self.errors.append(error)
        return type_(**checked) if len(self.errors) == errors_before else None


def setting(spec: Spec, default: Any = attrs.NOTHING) -> Any:
    """Returns an attrs field that `Checker` checks by a specification."""
    secret = isinstance(spec, Hex) and spec.secret
    return attrs.field(
        default=default, metadata={"spec": spec}, repr=not secret
    )
