"""Stand-in for a target: an HTTP server with slots and cold starts.

It records the requests that it runs in a history file, and counts those that
exceed its slots. Its health endpoint can be made to report false or outdated
values.
"""

import math
import pathlib
import secrets
import time
from typing import Any

import attrs
import defopt
import hypercorn
import hypercorn.trio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from godwitturn.standins import history

# In effect unlimited, so that the target closes no idle connection on which a
# request may just have been sent.
KEEP_ALIVE_TIMEOUT_S = 1e9


@attrs.define
class Behaviour:
    """Behaviour of the target, which `/standin/behaviour` changes.

    Attributes:
        service_s: Seconds that a warm target takes for a request.
        cold_s: Seconds from a cold start until it is warm.
        cold_factor: Factor by which a request takes longer directly after a
            cold start.
        draining: Whether the health endpoint reports that it is draining.
        healthy: Whether the health endpoint reports that it is ready.
        health_lag_s: Seconds after which the health endpoint reports a change
            of `draining`.
        shed: Whether it refuses all requests without running them.
        answer_bytes: Minimum size of answers, which are padded.
    """

    service_s: float = 0.01
    cold_s: float = 0.0
    cold_factor: float = 5.0
    draining: bool = False
    healthy: bool = True
    health_lag_s: float = 0.0
    shed: bool = False
    answer_bytes: int = 0


@attrs.define
class Counts:
    """Counts of requests at the target.

    Attributes:
        runs: Requests that it started.
        finished: Requests that it answered.
        cancelled: Requests that were cancelled while they ran.
        overruns: Requests that arrived while all slots were taken.
        highest_running: Highest number of requests that ran at the same time.
        cold_runs: Requests that it started before it was warm.
    """

    runs: int = 0
    finished: int = 0
    cancelled: int = 0
    overruns: int = 0
    highest_running: int = 0
    cold_runs: int = 0


@attrs.frozen
class Identity:
    """Identity of a target in histories.

    Attributes:
        service: Name of its service.
        service_id: Id of its service.
        target_id: Its member id.
        data_centre: Data centre in which it runs.
    """

    service: str
    service_id: int
    target_id: int
    data_centre: str


@attrs.define
class Target:
    """State of one target process.

    Attributes:
        identity: Its identity in histories.
        slots: Number of requests that it can run at the same time.
        behaviour: Its current behaviour.
        started: Time of its last cold start, in seconds.
        boot_id: Random id, a new one for each cold start.
        history_file: File for records of requests; None for no records.
        counts: Counts since the process started.
        running: Number of requests that are running.
        scope_by_request: Cancel scopes of running requests by idempotency
            key.
        changes: Time in seconds of each change of behaviour, and whether the
            target was draining before the change.
    """

    identity: Identity
    slots: int
    behaviour: Behaviour
    started: float
    boot_id: str = attrs.field(factory=lambda: secrets.token_hex(8))
    history_file: pathlib.Path | None = None
    counts: Counts = attrs.field(factory=Counts)
    running: int = 0
    scope_by_request: dict[str, trio.CancelScope] = attrs.field(factory=dict)
    changes: list[tuple[float, bool]] = attrs.field(factory=list)

    def warmth(self, *, now: float) -> float:
        """Returns 0 directly after a cold start, rising to 1 when warm."""
        if self.behaviour.cold_s <= 0:
            return 1.0
        return min(1.0, (now - self.started) / self.behaviour.cold_s)

    def request_duration_s(self, *, now: float) -> float:
        """Returns the duration of a request that starts now."""
        coldness = 1.0 - self.warmth(now=now)
        factor = 1.0 + coldness * (self.behaviour.cold_factor - 1.0)
        return self.behaviour.service_s * factor

    def record(self, record: history.Record) -> None:
        """Appends a record to the history file, if there is one."""
        if self.history_file is not None:
            with self.history_file.open("ab") as file:
                file.write(history.encode(record))

    def record_start(self, body: bytes) -> None:
        """Records that a request starts."""
        self.record(
            history.RunStarted(
                history.key_of(body),
                self.identity.service_id,
                self.identity.target_id,
                self.identity.data_centre,
                time.monotonic(),
            )
        )

    def record_finish(self, body: bytes, answer: bytes) -> None:
        """Records that a request was answered."""
        self.record(
            history.RunFinished(
                history.key_of(body),
                self.identity.target_id,
                history.digest(answer),
                time.monotonic(),
            )
        )

    def restart_cold(self, *, now: float) -> None:
        """Cancels all requests and starts cold, like a new process."""
        for scope in self.scope_by_request.values():
            scope.cancel()
        self.started = now
        self.boot_id = secrets.token_hex(8)


async def _run_request(
    target: Target, request_key: str, body: bytes
) -> responses.Response:
    now = trio.current_time()
    target.counts.runs += 1
    target.counts.cold_runs += target.warmth(now=now) < 1.0
    target.running += 1
    target.counts.highest_running = max(
        target.counts.highest_running, target.running
    )
    target.record_start(body)
    boot_id = target.boot_id
    try:
        with trio.CancelScope() as scope:
            target.scope_by_request[request_key] = scope
            await trio.sleep(target.request_duration_s(now=now))
    finally:
        target.running -= 1
        target.scope_by_request.pop(request_key, None)
    if scope.cancelled_caught:
        target.counts.cancelled += 1
        return responses.Response(b"cancelled", status_code=500)
    target.counts.finished += 1
    answer = b"%s:%s" % (target.identity.service.encode(), body)
    answer = answer.ljust(target.behaviour.answer_bytes, b".")
    target.record_finish(body, answer)
    return responses.Response(answer, headers={"X-Boot-Id": boot_id})


def _create_application(target: Target) -> applications.Starlette:
    async def answer(request: requests.Request) -> responses.Response:
        body = await request.body()
        request_key = request.headers.get("Idempotency-Key", "")
        if target.behaviour.shed or target.running >= target.slots:
            target.counts.overruns += target.running >= target.slots
            return responses.Response(
                b"shed", status_code=503, headers={"X-Not-Run": "1"}
            )
        return await _run_request(target, request_key, body)

    async def cancel(request: requests.Request) -> responses.Response:
        scope = target.scope_by_request.get(request.path_params["name"])
        if scope is not None:
            scope.cancel()
        return responses.Response(status_code=204)

    async def health(_: requests.Request) -> responses.Response:
        lag_s = target.behaviour.health_lag_s
        draining = target.behaviour.draining
        for changed_at, was_draining in target.changes:
            if trio.current_time() - changed_at < lag_s:
                draining = was_draining
                break
        return responses.JSONResponse(
            {
                "ready": target.behaviour.healthy,
                "draining": draining,
                "boot_id": target.boot_id,
            }
        )

    async def load(_: requests.Request) -> responses.Response:
        return responses.JSONResponse({"running": target.running})

    async def counts(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(attrs.asdict(target.counts))

    async def behaviour(request: requests.Request) -> responses.Response:
        changes: dict[str, Any] = await request.json()
        now = trio.current_time()
        target.changes.append((now, target.behaviour.draining))
        if changes.pop("restart_cold", False):
            target.restart_cold(now=now)
        target.behaviour = attrs.evolve(target.behaviour, **changes)
        return responses.Response(status_code=204)

    return applications.Starlette(
        routes=[
            routing.Route("/requests", answer, methods=["POST"]),
            routing.Route("/requests/{name}", cancel, methods=["DELETE"]),
            routing.Route("/health", health),
            routing.Route("/load", load),
            routing.Route("/standin/counts", counts),
            routing.Route("/standin/behaviour", behaviour, methods=["POST"]),
        ]
    )


async def _serve(target: Target, port: int) -> None:
    config = hypercorn.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.loglevel = "ERROR"
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = math.inf  # type: ignore[assignment]
    target.started = trio.current_time()
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            hypercorn.trio.serve, _create_application(target), config
        )
        print(f"ready {binds[0].rpartition(':')[2]}", flush=True)


def target(
    *,
    service: str,
    service_id: int = 0,
    target_id: int = 0,
    data_centre: str = "",
    slots: int = 1,
    port: int = 0,
    service_s: float = 0.01,
    cold_s: float = 0.0,
    history_file: str = "",
) -> None:
    """Runs a target on a loopback port until killed.

    Args:
        service: Name of its service.
        service_id: Id of its service.
        target_id: Its member id, for histories.
        data_centre: Data centre in which it runs, for histories.
        slots: Number of requests that it can run at the same time.
        port: TCP port; 0 chooses a free one.
        service_s: Seconds that a warm target takes for a request.
        cold_s: Seconds from a cold start until it is warm.
        history_file: File for records of requests; empty for no records.
    """
    state = Target(
        Identity(service, service_id, target_id, data_centre),
        slots,
        Behaviour(service_s=service_s, cold_s=cold_s),
        0.0,
        history_file=pathlib.Path(history_file) if history_file else None,
    )
    trio.run(_serve, state, port)


if __name__ == "__main__":
    defopt.run(target)
