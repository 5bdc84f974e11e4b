"""Settings that the platform gives a process, as JSON by our template."""

import json
import os
from typing import Any

import attrs

PATH_VARIABLE = "GODWITTURN_CONFIG"

Address = tuple[str, int]


class SettingsError(Exception):
    """The settings file is unusable; the message names each fault."""


@attrs.define(frozen=True, repr=False)
class Settings:
    """Settings of one process.

    Attributes:
        node: Name of this VM.
        address: Its IP number.
        data_centre: Its data centre.
        packets: Where packets arrive; clients are sent to at the same port.
        readiness: Where routers ask whether this process is ready.
        control: Where targets report, None where they don't.
        from_target: Where the target beside this agent sends its packets.
        target: Where the target beside this agent takes packets.
        service: The service of that target.
        peer_port: Port for messages between daemons.
        seeds: IP numbers of up to three balancers; they may be stale.
        store: Address of the platform's store.
        cold_overshoot: By which factor a cold target's second may exceed its
            rate.
        cold_slack: By how many requests it may exceed that.
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


NAMES = Settings.__match_args__


def load() -> Settings:
    """Returns the settings of this process.

    Raises:
        SettingsError: If the file can't be read or is faulty.
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
    """Reads fields and collects what is wrong with them."""

    def __init__(self, fields: dict[str, Any]) -> None:
        self.fields = fields
        self.faults: list[str] = []

    def get(self, path: str, kind: type, default: Any = None) -> Any:
        """Returns a field, or the default after noting a fault."""
        value: Any = self.fields
        for name in path.split("."):
            value = value.get(name) if isinstance(value, dict) else None
        if value is None and default is not None:
            return default
        if kind is float and isinstance(value, int):
            value = float(value)
        if not isinstance(value, kind) or isinstance(value, bool):
            self.faults.append(
                f"{path} is {value!r}; expected {kind.__name__}"
            )
            return kind()
        return value

    def address(self, path: str, *, optional: bool = False) -> Any:
        """Returns an `IP:PORT` field as a pair."""
        text = self.get(path, str, "" if optional else None)
        if not text:
            return None if optional else ("", 0)
        try:
            return split_address(text)
        except ValueError:
            self.faults.append(f"{path} is {text!r}; expected IP:PORT")
            return None


def split_address(text: str) -> Address:
    """Returns `IP:PORT` as a pair.

    Raises:
        ValueError: If it is something else.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not IP:PORT")
    return host, int(port)


def decode(fields: Any) -> Settings:
    """Returns the settings in the platform's fields.

    Raises:
        SettingsError: With all faults, if there are any.
    """
    if not isinstance(fields, dict):
        raise SettingsError(f"settings are {type(fields).__name__}, not a map")
    reader = _Reader(fields)
    ports = reader.get("internal_ports", list, [])
    peer_port = ports[0] if ports and isinstance(ports[0], int) else 0
    if not peer_port:
        reader.faults.append(f"internal_ports is {ports!r}; expected ports")
    seeds = []
    for text in reader.get("seeds", list, []):
        try:
            seeds.append(split_address(str(text))[0])
        except ValueError:
            reader.faults.append(f"seeds has {text!r}; expected IP:PORT")
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
    if reader.faults:
        raise SettingsError("; ".join(reader.faults))
    return settings
