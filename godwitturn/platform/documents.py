"""Codecs of documents that operators, targets and daemons write."""

import base64
import json
import socket
from typing import Any

from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import routes
from godwitturn.core.transparent import store_position

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
AGENT_PREFIX = "godwitturn/agents/"
FLOW_RECORD_PREFIX = "godwitturn/flows/"

_READY = "ready"
_DRAINING = "draining"
_DEFAULT_IDLE_TIMEOUT_MS = 15000


class MalformedError(ValueError):
    """A document can't be decoded."""


def decode_configuration(data: bytes) -> routes.Configuration:
    """Decodes the operators' configuration.

    Raises:
        MalformedError: If it can't be decoded.
    """
    try:
        document = json.loads(data)
        services = [_decode_service(row) for row in document["services"]]
        route_by_endpoint = dict(
            _decode_route(row) for row in document["routes"] if row.get("host")
        )
        idle_ms = document.get("limits", {}).get(
            "idle_timeout_ms", _DEFAULT_IDLE_TIMEOUT_MS
        )
        return routes.Configuration(
            version=int(document["version"]),
            route_by_endpoint=route_by_endpoint,
            service_by_name={service.name: service for service in services},
            idle_timeout_s=float(idle_ms) / 1000,
        )
    except (ValueError, TypeError, KeyError, AttributeError, OSError) as exc:
        raise MalformedError(f"configuration: {exc!r}") from exc


def _decode_service(row: dict[str, Any]) -> routes.Service:
    return routes.Service(
        name=str(row["name"]),
        max_flows=int(row["max_conns"]),
        cold_per_second=float(row.get("cold_per_s", 0.0)),
    )


def _decode_route(row: dict[str, Any]) -> tuple[routes.Endpoint, routes.Route]:
    # `host` is an IP address, and `prefix` is a port number between slashes.
    endpoint = (
        int.from_bytes(socket.inet_aton(row["host"]), "big"),
        int(row["prefix"].strip("/")),
    )
    split = row.get("traffic_split") or [
        {"service": row["service"], "weight": 1}
    ]
    shares = tuple(
        routes.Share(str(part["service"]), int(part["weight"]))
        for part in split
    )
    return endpoint, routes.Route(str(row["name"]), shares)


def decode_heartbeat(target_id: str, data: bytes) -> heartbeats.Heartbeat:
    """Decodes a target's heartbeat.

    Raises:
        MalformedError: If it can't be decoded, or its state is unknown.
    """
    try:
        document = json.loads(data)
        state = document["state"]
        if state not in (_READY, _DRAINING):
            raise MalformedError(
                f"heartbeat: state is {state!r}; "
                f"allowed: {_READY!r}, {_DRAINING!r}"
            )
        return heartbeats.Heartbeat(
            target_id=target_id,
            born=_get_integer(document, "born", 0),
            sequence=_get_integer(document, "sequence"),
            service=_get_text(document, "service"),
            draining=state == _DRAINING,
            slots=_get_integer(document, "slots"),
            cold_ms=_get_integer(document, "cold_remaining_ms", 0),
        )
    except (ValueError, TypeError, KeyError) as exc:
        raise MalformedError(f"heartbeat: {exc!r}") from exc


def _get_integer(
    document: dict[str, Any], name: str, default: int | None = None
) -> int:
    value = document.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedError(f"{name} is {value!r}; expected a whole number")
    return value


def _get_text(document: dict[str, Any], name: str) -> str:
    value = document[name]
    if not isinstance(value, str):
        raise MalformedError(f"{name} is {value!r}; expected a string")
    return value


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
    try:
        (era, revision), values = json.loads(data)
        return document_exchange.Documents(
            store_position.StorePosition(int(era), int(revision)),
            {
                str(key): base64.b64decode(value)
                for key, value in values.items()
            },
        )
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
    try:
        address, service, data_centre = json.loads(data)
        socket.inet_aton(address)
    except (ValueError, TypeError, OSError) as exc:
        raise MalformedError(f"agent entry: {exc!r}") from exc
    return address, str(service), str(data_centre)


def evacuated_data_centre(key: str) -> str | None:
    """Returns the data centre that a key takes out, None for other keys."""
    if key.startswith(EVACUATION_PREFIX):
        return key.removeprefix(EVACUATION_PREFIX)
    return None
