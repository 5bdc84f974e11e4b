"""Documents that the platform and targets give to balancers and agents."""

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
    """Returns the settings document of a balancer or an agent.

    Args:
        node: Name of its VM.
        address: IP address of the VM.
        data_centre: Data centre of the VM.
        store: Host and port of the store.
        seeds: IP addresses of the seed balancers.
        service: Service of an agent's target; None for a balancer.
        bounds: Values of `bounds` that differ from their defaults.
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
    address: str,
    data_centre: str,
    sequence: int,
    born: int,
    slots: int = 1,
    draining: bool = False,
    cold_ms: int = 0,
) -> dict[str, Any]:
    """Returns the heartbeat document of a target.

    Args:
        service: Service of the target.
        address: IP address of its VM.
        data_centre: Data centre of the VM.
        sequence: Number of the heartbeat.
        born: Start time of the target in milliseconds.
        slots: Number of requests that it runs at the same time.
        draining: Whether it is draining.
        cold_ms: Milliseconds for which it stays cold.
    """
    return {
        "service": service,
        "address": f"{address}:{TARGET_PORT}",
        "zone": data_centre,
        "version": "v1",
        "slots": slots,
        "state": "draining" if draining else "ready",
        "cold_remaining_ms": cold_ms,
        "sequence": sequence,
        "born": born,
    }
