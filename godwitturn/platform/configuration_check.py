"""Check of the operators' configuration before it is written.

Balancers refuse a malformed configuration as a whole, at its first error. The
check reads the document field by field instead, by the decoder's rules, and
so finds all errors at once.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import enum
import json
from typing import Any
from typing import TypeVar

import attrs

from godwitturn.core.transparent import routes
from godwitturn.platform import documents
from godwitturn.protocol import json_values

# Longer values and lists of allowed names are cut in findings.
MAX_TEXT = 200

_ABSENT = object()
_Value = TypeVar("_Value")


class Severity(enum.StrEnum):
    """Severity of a finding.

    Attributes:
        ERROR: Balancers refuse the configuration, or a part of it can't work.
        WARNING: Balancers use the configuration, but hardly as intended.
    """

    ERROR = "error"
    WARNING = "warning"


@attrs.frozen
class Finding:
    """Something wrong with a configuration.

    Attributes:
        severity: How severe it is.
        place: Path of the field, empty for the whole document.
        message: What is wrong.
        value: The value as JSON, empty if it is absent.
        allowed: The allowed values, empty if that isn't about a value.
    """

    severity: Severity
    place: str
    message: str
    value: str = ""
    allowed: str = ""

    def __str__(self) -> str:
        place = self.place or "document"
        value = f" is {self.value}" if self.value else ""
        allowed = f"; allowed: {self.allowed}" if self.allowed else ""
        return f"{self.severity}: {place}{value}: {self.message}{allowed}"


@attrs.frozen
class Difference:
    """A field or an entry that differs from the configuration in force.

    Attributes:
        place: Path of the field, or of a route or service by its name.
        in_force: The value in force as JSON, None if it is absent.
        proposed: The checked value as JSON, None if it is absent.
    """

    place: str
    in_force: str | None
    proposed: str | None

    def __str__(self) -> str:
        if self.in_force is None:
            return f"added: {self.place}: {self.proposed}"
        if self.proposed is None:
            return f"removed: {self.place}: {self.in_force}"
        return f"changed: {self.place}: {self.in_force} -> {self.proposed}"


@attrs.frozen
class Report:
    """Result of a check.

    Attributes:
        findings: The findings, errors first.
        differences: Differences from the configuration in force.
    """

    findings: tuple[Finding, ...]
    differences: tuple[Difference, ...] = ()


@attrs.frozen
class RouteEntry:
    """A route and its place in the document.

    Attributes:
        place: Path of the route.
        endpoint: Address and port as text, empty if they are malformed.
        share_places: Paths of the shares, in their order.
        route: The route; malformed fields have their defaults.
    """

    place: str
    endpoint: str
    share_places: tuple[str, ...]
    route: routes.Route


@attrs.frozen
class ServiceEntry:
    """A service and its place in the document.

    Attributes:
        place: Path of the service.
        service: The service; its name is empty if it is malformed.
        cold_start_s: Seconds for which a target is cold, None if not stated.
    """

    place: str
    service: routes.Service
    cold_start_s: float | None


@attrs.frozen
class Entries:
    """What a document contains.

    Attributes:
        version: Its version, None if it is malformed.
        routes: The routes that balancers use.
        services: The services.
        idle_timeout_ms: Milliseconds after which a flow is idle.
    """

    version: int | None
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    idle_timeout_ms: float


def check(data: bytes, *, in_force: bytes | None = None) -> Report:
    """Checks a configuration.

    Args:
        data: The configuration.
        in_force: The configuration that it is to replace, if known.

    Raises:
        MalformedError: If the configuration in force can't be decoded.
    """
    version = None
    if in_force is not None:
        version = documents.decode_configuration(in_force).version
    try:
        document = json_values.load(data)
    except json_values.MalformedError as exc:
        return Report((_error("", _cut(f"not JSON: {str(exc)!a}")),))
    reader = _Reader()
    entries = reader.read_document(document)
    findings = [
        *reader.findings,
        *_find_unknown_services(entries),
        *_find_repetitions(entries),
        *_find_unused_entries(entries),
        *_find_contradictions(entries, version),
    ]
    findings.sort(key=lambda finding: finding.severity is Severity.WARNING)
    if not findings or findings[0].severity is Severity.WARNING:
        # The decoder decides about what the rules above don't cover.
        try:
            documents.decode_configuration(data)
        except json_values.MalformedError as exc:
            findings.insert(0, _error("", _cut(ascii(str(exc)))))
    differences: Iterable[Difference] = ()
    if in_force is not None and isinstance(document, dict):
        differences = _find_differences(json_values.load(in_force), document)
    return Report(tuple(findings), tuple(differences))


@attrs.define
class _Reader:
    """Reads a document and collects the errors of its fields."""

    findings: list[Finding] = attrs.field(factory=list)

    def read_document(self, value: Any) -> Entries:
        document = self._object(value, "") or {}
        limits = self._object(document.get("limits", {}), "limits") or {}
        idle_ms = self._field(
            limits,
            "limits",
            "idle_timeout_ms",
            json_values.number,
            documents.DEFAULT_IDLE_TIMEOUT_MS,
        )
        route_entries = []
        for place, row in self._rows(document, "routes"):
            if row.get("host"):
                route_entries.append(self._read_route(row, place))
                continue
            message = "never matches: balancers leave out a route without host"
            self.findings.append(_warning(place, message))
        return Entries(
            self._field(document, "", "version", json_values.integer),
            tuple(route_entries),
            tuple(
                self._read_service(row, place)
                for place, row in self._rows(document, "services")
            ),
            float("inf") if idle_ms is None else idle_ms,
        )

    def _read_route(self, row: dict[str, Any], place: str) -> RouteEntry:
        host = self._field(row, place, "host", json_values.address)
        port = self._field(row, place, "prefix", _port)
        name = self._field(row, place, "name", json_values.text)
        shares = self._read_shares(row, place)
        self._field(row, place, "priority", documents.decode_rounded)
        objective_ms, timeout_ms = (
            self._field(row, place, field, documents.decode_rounded) or 0
            for field in ("target_latency_ms", "timeout_ms")
        )
        return RouteEntry(
            place,
            f"{host}:{port}" if host and port else "",
            tuple(shares),
            routes.Route(
                name or "",
                tuple(shares.values()),
                objective_ms=objective_ms,
                timeout_ms=timeout_ms,
            ),
        )

    def _read_shares(
        self, row: dict[str, Any], place: str
    ) -> dict[str, routes.Share]:
        """Returns the shares by their paths."""
        if not row.get("traffic_split"):
            service = self._field(row, place, "service", json_values.text)
            return {place: routes.Share(service or "", 1)}
        share_by_place = {}
        for part_place, part in self._rows(row, "traffic_split", place):
            service = self._field(
                part, part_place, "service", json_values.text
            )
            weight = self._field(
                part, part_place, "weight", json_values.number
            )
            share_by_place[part_place] = routes.Share(
                service or "", 1 if weight is None else int(weight)
            )
        return share_by_place

    def _read_service(self, row: dict[str, Any], place: str) -> ServiceEntry:
        name = self._field(row, place, "name", json_values.text)
        max_flows = self._field(row, place, "max_conns", json_values.number)
        cold = self._field(
            row, place, "cold_per_s", json_values.number, default=0.0
        )
        cold_start_s = None
        if row.get("cold_start_s") is not None:
            cold_start_s = self._field(
                row, place, "cold_start_s", json_values.number
            )
        return ServiceEntry(
            place,
            routes.Service(
                name or "",
                1 if max_flows is None else int(max_flows),
                cold or 0.0,
            ),
            cold_start_s,
        )

    def _object(self, value: Any, place: str) -> dict[str, Any] | None:
        if isinstance(value, dict):
            return value
        self.findings.append(_error(place, "not allowed", value, "an object"))
        return None

    def _rows(
        self, row: dict[str, Any], name: str, place: str = ""
    ) -> list[tuple[str, dict[str, Any]]]:
        """Returns a list's objects with their paths."""
        rows = []
        values = self._field(row, place, name, _list) or []
        for number, value in enumerate(values):
            path = f"{_join(place, name)}[{number}]"
            if (entry := self._object(value, path)) is not None:
                rows.append((path, entry))
        return rows

    def _field(
        self,
        row: dict[str, Any],
        place: str,
        name: str,
        decode: Callable[[Any, str], _Value],
        default: Any = None,
    ) -> _Value | None:
        """Returns a decoded field, None after an error."""
        try:
            return decode(row.get(name, default), name)
        except json_values.MalformedError as exc:
            message = "not allowed" if name in row else "missing"
            value = row.get(name, _ABSENT)
            self.findings.append(
                _error(_join(place, name), message, value, exc.expected)
            )
            return None


def _list(value: Any, name: str) -> list[Any]:
    if isinstance(value, list):
        return value
    raise json_values.unexpected(value, name, "a list")


def _port(value: Any, name: str) -> int:
    port = documents.decode_port(value, name)
    if port:
        return port
    # The decoder accepts port 0, to which no client can connect.
    raise json_values.unexpected(value, name, "a port from /1/")


def _find_unknown_services(entries: Entries) -> Iterator[Finding]:
    names = {entry.service.name for entry in entries.services}
    allowed = ", ".join(map(json.dumps, sorted(names))) or "there are none"
    for entry in entries.routes:
        for place, share in zip(
            entry.share_places, entry.route.shares, strict=True
        ):
            if share.service and share.service not in names:
                yield _error(
                    f"{place}.service",
                    "no such service",
                    share.service,
                    allowed,
                )


def _find_repetitions(entries: Entries) -> Iterator[Finding]:
    keys_by_field = (
        ("name", [(e.place, e.route.name) for e in entries.routes]),
        ("name", [(e.place, e.service.name) for e in entries.services]),
        # The field with the port stands for address and port.
        ("prefix", [(e.place, e.endpoint) for e in entries.routes]),
    )
    for field, keys in keys_by_field:
        first_by_key: dict[str, str] = {}
        for place, key in keys:
            first = first_by_key.setdefault(key, place)
            if key and first != place:
                yield _error(
                    f"{place}.{field}",
                    f"repeated, also in {first}",
                    key,
                    "a value that occurs once",
                )


def _find_unused_entries(entries: Entries) -> Iterator[Finding]:
    # Of routes with one address and port, the decoder keeps the last.
    last_by_endpoint = {entry.endpoint: entry for entry in entries.routes}
    for entry in entries.routes:
        last = last_by_endpoint[entry.endpoint]
        if entry.endpoint and last is not entry:
            yield _warning(
                entry.place,
                f"never matches: {last.place} has the same address and port",
            )
        weights = [share.weight for share in entry.route.shares]
        if weights and not any(weights):
            yield _error(
                f"{entry.place}.traffic_split",
                "all weights are 0",
                weights,
                "at least one weight of 1 or more",
            )
            continue
        for place, weight in zip(entry.share_places, weights, strict=True):
            if weight == 0:
                yield _warning(
                    f"{place}.weight",
                    "never matches: the weight as a whole number is 0",
                    weight,
                    "1 or more",
                )
    used = {
        share.service
        for entry in entries.routes
        for share in entry.route.shares
    }
    for service in entries.services:
        name = service.service.name
        if name and name not in used:
            yield _warning(
                f"{service.place}.name", "no route uses this service", name
            )


def _find_contradictions(
    entries: Entries, version_in_force: int | None
) -> Iterator[Finding]:
    for entry in entries.routes:
        route = entry.route
        if 0 < route.timeout_ms < route.objective_ms:
            yield _warning(
                f"{entry.place}.target_latency_ms",
                "above timeout_ms",
                route.objective_ms,
                f"at most {route.timeout_ms}",
            )
        if entries.idle_timeout_ms < route.timeout_ms:
            yield _warning(
                f"{entry.place}.timeout_ms",
                "above limits.idle_timeout_ms",
                route.timeout_ms,
                f"at most {entries.idle_timeout_ms:g}",
            )
    for service in entries.services:
        if service.service.cold_per_second and service.cold_start_s == 0:
            yield _warning(
                f"{service.place}.cold_start_s",
                "cold_per_s has no effect",
                service.cold_start_s,
                "above 0, or cold_per_s of 0",
            )
        if service.service.max_flows < 1:
            yield _warning(
                f"{service.place}.max_conns",
                "targets get no flows",
                service.service.max_flows,
                "1 or more",
            )
    version = entries.version
    if version is None or version_in_force is None:
        return
    if version <= version_in_force:
        yield _warning(
            "version",
            "balancers ignore it, as it isn't higher than the one in force",
            version,
            f"above {version_in_force}",
        )


def _find_differences(
    in_force: dict[str, Any], proposed: dict[str, Any]
) -> Iterator[Difference]:
    old, new = _group_fields(in_force), _group_fields(proposed)
    for place in {**old, **new}:
        if place not in old or place not in new:
            yield Difference(place, _quote(old, place), _quote(new, place))
            continue
        for name in {**old[place], **new[place]}:
            texts = _quote(old[place], name), _quote(new[place], name)
            if texts[0] != texts[1]:
                yield Difference(_join(place, name), *texts)


def _group_fields(document: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Returns the fields of limits, routes and services, and the others."""
    rest = dict(document)
    fields_by_place = {"": rest}
    if isinstance(document.get("limits"), dict):
        fields_by_place["limits"] = rest.pop("limits")
    for name in ("routes", "services"):
        rows = rest.pop(name, None)
        for row in rows if isinstance(rows, list) else ():
            if isinstance(row, dict) and isinstance(row.get("name"), str):
                fields_by_place[f"{name}[{json.dumps(row['name'])}]"] = row
    return fields_by_place


def _join(place: str, name: str) -> str:
    # Names are plain text; others, which may not be printable, are quoted.
    part = name if name.isascii() and name.isidentifier() else json.dumps(name)
    return f"{place}.{part}" if place else part


def _quote(row: dict[str, Any], name: str) -> str | None:
    """Returns a field as JSON, None if it is absent."""
    return _encode(row[name]) if name in row else None


def _encode(value: Any) -> str:
    """Returns a value as JSON, or its type if it is nested too deeply."""
    try:
        return json.dumps(value, sort_keys=True)
    except RecursionError:
        return f"a deeply nested {type(value).__name__}"


def _cut(text: str) -> str:
    return text if len(text) <= MAX_TEXT else f"{text[:MAX_TEXT]}..."


def _error(
    place: str, message: str, value: Any = _ABSENT, allowed: str = ""
) -> Finding:
    text = "" if value is _ABSENT else _cut(_encode(value))
    return Finding(Severity.ERROR, place, message, text, _cut(allowed))


def _warning(*arguments: Any) -> Finding:
    return attrs.evolve(_error(*arguments), severity=Severity.WARNING)
