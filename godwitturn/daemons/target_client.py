"""HTTP client of an agent for its target."""

from collections.abc import Callable

import httpx
import trio

from godwitturn.core import actions

# Added to a request's deadline before the agent closes the connection, so that
# a target that honours the deadline answers first.
DEADLINE_MARGIN_S = 0.5
HEALTH_INTERVAL_S = 1.0
HEALTH_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0

Receiver = Callable[[actions.AgentEvent], None]


def _request_name(key: actions.RequestKey) -> str:
    return f"{key.flow_id:016x}-{key.epoch}-{key.request_id}"


class TargetClient:
    """Sends requests, cancellations and health checks to one target."""

    def __init__(
        self,
        *,
        url: str,
        receive: Receiver,
        nursery: trio.Nursery,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Creates a client; nothing is sent yet.

        Args:
            url: Base URL of the target.
            receive: Called with the results of requests and health checks.
            nursery: Nursery that runs the requests.
            transport: Replaces the network transport, for tests.
        """
        self._receive = receive
        self._nursery = nursery
        self._client = httpx.AsyncClient(
            base_url=url,
            limits=httpx.Limits(
                max_connections=64, max_keepalive_connections=16
            ),
            timeout=HEALTH_TIMEOUT_S,
            transport=transport,
            trust_env=False,
        )

    def start(self, request: actions.StartRequest) -> None:
        """Starts a request; its result is passed to `receive`."""
        self._nursery.start_soon(self._run, request)

    def cancel(self, key: actions.RequestKey) -> None:
        """Asks the target to cancel a request."""
        self._nursery.start_soon(self._cancel, key)

    async def _run(self, request: actions.StartRequest) -> None:
        self._receive(await self._post(request))

    async def _post(
        self, request: actions.StartRequest
    ) -> actions.TargetAnswered | actions.TargetFailed:
        headers = {
            "Idempotency-Key": _request_name(request.key),
            "X-Deadline-Ms": str(int(request.deadline_s * 1000)),
            "X-Idempotent": "1" if request.idempotent else "0",
        }
        timeout_s = request.deadline_s + DEADLINE_MARGIN_S
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        try:
            response = await self._client.post(
                "/requests",
                content=request.body,
                headers=headers,
                timeout=timeout,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return actions.TargetFailed(request.key, False, True)
        except (httpx.ReadError, httpx.WriteError):
            return actions.TargetFailed(request.key, True, True)
        except httpx.ReadTimeout:
            # A target that ignores the deadline would keep its slot occupied.
            # The caller's CANCEL at its deadline is sent once and may be lost.
            await self._cancel(request.key)
            return actions.TargetFailed(request.key, True)
        except httpx.HTTPError:
            # A timeout, or the target closed an idle connection when the
            # request was sent, which does not indicate a restart.
            return actions.TargetFailed(request.key, True)
        if response.status_code == httpx.codes.OK:
            boot_id = response.headers.get("X-Boot-Id", "")
            return actions.TargetAnswered(
                request.key, response.content, boot_id
            )
        was_shed = response.headers.get("X-Not-Run") == "1"
        return actions.TargetFailed(request.key, not was_shed)

    async def _cancel(self, key: actions.RequestKey) -> None:
        try:
            await self._client.delete(
                f"/requests/{_request_name(key)}", timeout=CANCEL_TIMEOUT_S
            )
        except httpx.HTTPError:
            return

    async def _check_health(self) -> actions.HealthCheckCompleted:
        try:
            response = await self._client.get("/health")
            health = response.json()
        except (httpx.HTTPError, ValueError, RecursionError):
            return actions.HealthCheckCompleted(False)
        if not isinstance(health, dict):
            return actions.HealthCheckCompleted(False)
        return actions.HealthCheckCompleted(
            True,
            health.get("draining") is True,
            str(health.get("boot_id", "")),
        )

    async def watch_health(self) -> None:
        """Checks the target's health every second until cancelled."""
        while True:
            self._receive(await self._check_health())
            await trio.sleep(HEALTH_INTERVAL_S)

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.aclose()
