"""What the platform and its targets send to programs, for stand-ins."""

from typing import Any

PACKETS_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
OUTBOUND_PORT = 8162
TARGET_PORT = 8165
PEER_PORT = 7720


def settings(
    *,
    node: str,
    address: str,
    data_centre: str,
    store: tuple[str, int],
    seeds: tuple[str, ...],
    service: str | None,
    bounds: dict[str, Any],
) -> dict[str, Any]:
    """Returns the settings of a balancer or an agent.

    Args:
        node: Name of its VM.
        address: IP number of the VM.
        data_centre: Its data centre.
        store: Address of the store.
        seeds: IP numbers of balancers.
        service: Service of the target beside an agent, None for a balancer.
        bounds: Bounds that differ from their defaults.
    """
    host, port = store
    fields: dict[str, Any] = {
        "node_id": node,
        "ip": address,
        "zone": data_centre,
        "listen": {
            "datagram_addr": f"{address}:{PACKETS_PORT}",
            "ready_addr": f"{address}:{READY_PORT}",
            "control": f"{address}:{CONTROL_PORT}",
        },
        "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
        "internal_ports": [PEER_PORT, PEER_PORT + 15],
        "platform": {"address": f"{host}:{port}"},
        "bounds": bounds,
    }
    if service is not None:
        fields["listen"]["outbound"] = f"{address}:{OUTBOUND_PORT}"
        fields["app"] = f"{address}:{TARGET_PORT}"
        fields["service"] = service
    return fields


def heartbeat(
    service: str,
    *,
    sequence: int,
    born: int,
    slots: int = 1,
    draining: bool = False,
) -> dict[str, Any]:
    """Returns what a warm target reports of itself.

    Args:
        service: Its service.
        sequence: Count of its reports.
        born: When it started, in milliseconds.
        slots: Requests that it runs at the same time.
        draining: Whether it leaves.
    """
    return {
        "service": service,
        "slots": slots,
        "state": "draining" if draining else "ready",
        "cold_remaining_ms": 0,
        "sequence": sequence,
        "born": born,
    }
