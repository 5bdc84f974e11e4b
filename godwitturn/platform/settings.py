"""Settings of a process: JSON that the platform renders from our template."""

import json
import os
from typing import Any

import attrs

PATH_VARIABLE = "GODWITTURN_CONFIG"

Address = tuple[str, int]


class SettingsError(Exception):
    """The settings can't be used; the message lists all errors."""


@attrs.define(frozen=True, repr=False)
class Settings:
    """Settings of one process.

    Attributes:
        node: Name of this VM.
        address: IP address of this VM.
        data_centre: Data centre of this VM.
        packets: Address for packets from routers; clients receive packets at
            the same port number.
        readiness: Address for readiness checks of routers.
        control: Address for heartbeats of targets, None if not set.
        from_target: Address for packets from the agent's target, None for a
            balancer.
        target: Address where the agent's target receives packets, None for a
            balancer.
        service: Service of the agent's target, empty for a balancer.
        peer_port: Port for messages between daemons.
        seeds: IP addresses of up to three balancers; they may be outdated.
        store: Address of the platform's store.
        cold_overshoot: Factor by which openings at a cold target may exceed
            its rate within a second.
        cold_slack: Number of additional openings allowed within a second.
        grace_s: Seconds from SIGTERM to SIGKILL.
    """

    node: str
    address: str
    data_centre: str
    packets: Address
    readiness: Address
    control: Address | None
    from_target: Address | None
    target: Address | None
    service: str
    peer_port: int
    seeds: tuple[str, ...]
    store: Address
    cold_overshoot: float
    cold_slack: float
    grace_s: float


FIELD_NAMES = Settings.__match_args__


def load() -> Settings:
    """Returns the settings of this process.

    Raises:
        SettingsError: If the file can't be read, or with all errors in it.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {PATH_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            fields = json.load(file)
    except (OSError, ValueError) as exc:
        raise SettingsError(f"{path}: {exc}") from exc
    return decode(fields)


class _Reader:
    """Reads fields of the settings and collects all errors."""

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields
        self.errors: list[str] = []

    def get(self, path: str, kind: type, default: Any = None) -> Any:
        """Returns a field.

        Adds an error and returns an empty value of the type if the value has
        another type, or if the field is missing and has no default.

        Args:
            path: Names of the field and its parents, separated by dots.
            kind: Expected type.
            default: Value if the field is missing; None if it is required.
        """
        value: Any = self.fields
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if value is None and default is not None:
            return default
        if kind is float and isinstance(value, int):
            value = float(value)
        if not isinstance(value, kind) or isinstance(value, bool):
            self.errors.append(
                f"{path} is {value!r}; expected {kind.__name__}"
            )
            return kind()
        return value

    def address(self, path: str, *, optional: bool = False) -> Any:
        """Returns an `IP:PORT` field, None if it is optional and missing."""
        text = self.get(path, str, "" if optional else None)
        if not text:
            return None if optional else ("", 0)
        try:
            return split_address(text)
        except ValueError:
            self.errors.append(f"{path} is {text!r}; expected IP:PORT")
            return None


def split_address(text: str) -> Address:
    """Returns `IP:PORT` as a pair.

    Raises:
        ValueError: If the text is not of that form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not IP:PORT")
    return host, int(port)


def decode(fields: Any) -> Settings:
    """Returns the settings in parsed JSON.

    Raises:
        SettingsError: With all errors, if there are any.
    """
    if not isinstance(fields, dict):
        raise SettingsError(
            f"settings are {type(fields).__name__}; expected an object"
        )
    reader = _Reader(fields)
    ports = reader.get("internal_ports", list, [])
    peer_port = ports[0] if ports and isinstance(ports[0], int) else 0
    if not peer_port:
        reader.errors.append(
            f"internal_ports is {ports!r}; expected a list of ports"
        )
    seeds = []
    for text in reader.get("seeds", list, []):
        try:
            seeds.append(split_address(str(text))[0])
        except ValueError:
            reader.errors.append(f"seeds has {text!r}; expected IP:PORT")
    settings = Settings(
        node=reader.get("node_id", str),
        address=reader.get("ip", str),
        data_centre=reader.get("zone", str),
        packets=reader.address("listen.datagram_addr"),
        readiness=reader.address("listen.ready_addr"),
        control=reader.address("listen.control", optional=True),
        from_target=reader.address("listen.outbound", optional=True),
        target=reader.address("app", optional=True),
        service=reader.get("service", str, ""),
        peer_port=peer_port,
        seeds=tuple(seeds),
        store=reader.address("platform.address"),
        cold_overshoot=reader.get("bounds.cold_overshoot", float, 1.0),
        cold_slack=reader.get("bounds.cold_slack", float, 1.0),
        grace_s=reader.get("bounds.grace_s", float, 6.0),
    )
    if reader.errors:
        raise SettingsError("; ".join(reader.errors))
    return settings
