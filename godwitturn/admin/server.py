"""Serves the administration API over HTTP."""

import ipaddress

import trio

from godwitturn.admin import api
from godwitturn.admin import connections
from godwitturn.core import addresses


def check_address(
    application: api.AdminApplication, address: addresses.Address
) -> None:
    """Checks that an API without a token listens on loopback only.

    Raises:
        ValueError: The address is not a loopback address and there is no
            token.
    """
    if application.has_token or ipaddress.ip_address(address.host).is_loopback:
        return
    raise ValueError(
        f"admin.address: {address.host}:{address.port} is not allowed "
        "without admin.token; allowed: a loopback address, or a token"
    )


async def serve(
    application: api.AdminApplication,
    address: addresses.Address,
    *,
    limits: connections.Limits = connections.DEFAULT_LIMITS,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the API until cancelled.

    Args:
        application: The API.
        address: Address to listen on; port 0 selects a free one.
        limits: Time-outs and number of connections.
        task_status: Gets the URLs once the server listens.

    Raises:
        ValueError: The address is not a loopback address and there is no
            token.
    """
    check_address(application, address)
    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    host = f"[{address.host}]" if ":" in address.host else address.host
    port = listeners[0].socket.getsockname()[1]
    task_status.started([f"http://{host}:{port}"])
    await connections.ConnectionServer(application, limits).serve(listeners)
