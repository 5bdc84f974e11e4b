"""Codecs of documents that operators, targets and daemons write."""

import base64
import json
import socket
from typing import Any

from godwitturn.core import store_position
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import routes
from godwitturn.platform import settings
from godwitturn.protocol import json_values

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
AGENT_PREFIX = "godwitturn/agents/"
FLOW_RECORD_PREFIX = "godwitturn/flows/"
ROUTES_KEY = "godwitturn/routes"
DEFAULT_IDLE_TIMEOUT_MS = 15000

_READY = "ready"
_DRAINING = "draining"

MalformedError = json_values.MalformedError


def decode_configuration(data: bytes) -> routes.Configuration:
    """Decodes the operators' configuration.

    Raises:
        MalformedError: If it can't be decoded.
    """
    document = json_values.load(data)
    try:
        services = [_decode_service(row) for row in document["services"]]
        route_by_endpoint = dict(
            _decode_route(row) for row in document["routes"] if row.get("host")
        )
        idle_ms = document.get("limits", {}).get(
            "idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS
        )
        return routes.Configuration(
            version=json_values.integer(document["version"], "version"),
            route_by_endpoint=route_by_endpoint,
            service_by_name={service.name: service for service in services},
            idle_timeout_s=json_values.number(idle_ms, "idle_timeout_ms")
            / 1000,
        )
    except MalformedError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        raise MalformedError(f"configuration: {exc!r}") from exc


def _decode_service(row: dict[str, Any]) -> routes.Service:
    return routes.Service(
        name=json_values.text(row["name"], "name"),
        max_flows=int(json_values.number(row["max_conns"], "max_conns")),
        cold_per_second=json_values.number(
            row.get("cold_per_s", 0.0), "cold_per_s"
        ),
    )


def _decode_route(row: dict[str, Any]) -> tuple[routes.Endpoint, routes.Route]:
    host = json_values.address(row["host"], "host")
    port = decode_port(row["prefix"], "prefix")
    endpoint = (int.from_bytes(socket.inet_aton(host), "big"), port)
    split = row.get("traffic_split") or [
        {"service": row["service"], "weight": 1}
    ]
    shares = tuple(
        routes.Share(
            json_values.text(part["service"], "service"),
            int(json_values.number(part["weight"], "weight")),
        )
        for part in split
    )
    return endpoint, routes.Route(
        json_values.text(row["name"], "name"),
        shares,
        priority=decode_rounded(row.get("priority"), "priority"),
        objective_ms=decode_rounded(
            row.get("target_latency_ms"), "target_latency_ms"
        ),
        timeout_ms=decode_rounded(row.get("timeout_ms"), "timeout_ms"),
    )


def decode_port(value: Any, name: str) -> int:
    """Returns the port of a route's prefix, a number between slashes.

    Raises:
        MalformedError: If it is anything else.
    """
    try:
        return json_values.integer(
            int(value.strip("/")), name, maximum=json_values.MAX_PORT
        )
    except (AttributeError, ValueError) as exc:
        raise json_values.unexpected(
            value,
            name,
            "a port number between slashes, from /1/ to "
            f"/{json_values.MAX_PORT}/",
        ) from exc


def decode_rounded(value: Any, name: str) -> int:
    """Returns an optional number, rounded; 0 if it is absent or null.

    Raises:
        MalformedError: If it is of another type or out of range.
    """
    return 0 if value is None else round(json_values.number(value, name))


def decode_heartbeat(target_id: str, data: bytes) -> heartbeats.Heartbeat:
    """Decodes a target's heartbeat.

    Targets state every field in each heartbeat, so one without a field is of
    another writer.

    Raises:
        MalformedError: If it can't be decoded, a field is missing or of
            another type, or its state is unknown.
    """
    document = json_values.load(data)
    try:
        state = document.get("state")
        if state not in (_READY, _DRAINING):
            raise MalformedError(
                f"heartbeat: state is {state!r}; "
                f"allowed: {_READY!r}, {_DRAINING!r}"
            )
        for name in ("zone", "version"):
            json_values.text(document.get(name), name)
        return heartbeats.Heartbeat(
            target_id=json_values.text(target_id, "id"),
            born=_get_integer(document, "born"),
            sequence=_get_integer(document, "sequence"),
            service=json_values.text(document.get("service"), "service"),
            draining=state == _DRAINING,
            slots=_get_integer(document, "slots"),
            cold_ms=_get_integer(document, "cold_remaining_ms"),
            address=_decode_socket_address(document.get("address"), "address"),
        )
    except MalformedError:
        raise
    except (TypeError, AttributeError) as exc:
        raise MalformedError(f"heartbeat: {exc!r}") from exc


def _decode_socket_address(value: Any, name: str) -> tuple[str, int]:
    try:
        return settings.split_address(json_values.text(value, name))
    except ValueError as exc:
        raise json_values.unexpected(
            value, name, "an address and port such as 10.0.0.1:8080"
        ) from exc


def _get_integer(document: dict[str, Any], name: str) -> int:
    return json_values.integer(document.get(name), name)


def encode_documents(copy: document_exchange.Documents) -> bytes:
    """Encodes a copy of the operators' documents for another daemon."""
    values = {
        key: base64.b64encode(value).decode()
        for key, value in copy.value_by_key.items()
    }
    position = [copy.position.era, copy.position.revision]
    return json.dumps([position, values]).encode()


def decode_documents(data: bytes) -> document_exchange.Documents:
    """Decodes another daemon's copy of the operators' documents.

    Raises:
        MalformedError: If it can't be decoded.
    """
    content = json_values.load(data)
    try:
        (era, revision), values = content
        return document_exchange.Documents(
            store_position.StorePosition(
                json_values.integer(era, "era"),
                json_values.integer(revision, "revision"),
            ),
            {
                json_values.text(key, "key"): base64.b64decode(value)
                for key, value in values.items()
            },
        )
    except MalformedError:
        raise
    except (ValueError, TypeError, AttributeError) as exc:
        raise MalformedError(f"copy of documents: {exc!r}") from exc


def encode_agent_entry(address: str, service: str, data_centre: str) -> bytes:
    """Encodes an agent's entry in the store."""
    return json.dumps([address, service, data_centre]).encode()


def decode_agent_entry(data: bytes) -> tuple[str, str, str]:
    """Decodes address, service and data centre of an agent's entry.

    Raises:
        MalformedError: If it can't be decoded.
    """
    entry = json_values.load(data)
    try:
        address, service, data_centre = entry
    except (ValueError, TypeError) as exc:
        raise MalformedError(f"agent entry: {exc!r}") from exc
    return (
        json_values.address(address, "address"),
        json_values.text(service, "service"),
        json_values.text(data_centre, "data centre"),
    )


def evacuated_data_centre(key: str) -> str | None:
    """Returns the data centre that a key takes out, None for other keys."""
    if key.startswith(EVACUATION_PREFIX):
        return key.removeprefix(EVACUATION_PREFIX)
    return None
