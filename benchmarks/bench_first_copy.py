"""Measures how long a starting balancer waits for its first configuration.

Run with `python -m benchmarks.bench_first_copy`. One store stand-in holds the
documents of a deployment of the planned size. Two balancers of a data centre
read them as its elected readers, and a third one starts, which requests a copy
from one of them at a time. The time runs from the start of its process until
its log shows a version; the log is read every 20 ms, which the figures
include. With `--no-store` the store address of the starting balancer refuses
connections, so that the copy can only come from a peer; this takes minutes.
"""

import argparse
import pathlib
import tempfile
import time
from typing import Any

import attrs
import httpx
import trio

from benchmarks import bench_scale
from benchmarks import measure
from godwitturn.core import documents
from godwitturn.core import rendezvous
from godwitturn.core import topology
from godwitturn.standins import deployments
from godwitturn.standins import operator_actions
from godwitturn.standins import processes
from godwitturn.standins import seeding
from godwitturn.standins import system
from godwitturn.standins import system_runs

ROUNDS = 3
# Minimum time for which the store calls of a start are counted.
COUNT_WINDOW_S = 15.0
POLL_S = 0.02
REST_S = 10.0
TIMEOUT_S = 300.0
SERVICES = tuple(
    documents.Service(f"s{n}", n + 1) for n in range(bench_scale.SERVICES)
)
TARGETS_BY_SERVICE = {
    service.name: len(range(n, bench_scale.TARGETS, bench_scale.SERVICES))
    for n, service in enumerate(SERVICES)
}
DEPLOYMENT = deployments.Deployment(
    "bench",
    bench_scale.DATA_CENTRES,
    tuple(bench_scale.SIGNING_KEY_BY_TEAM),
    SERVICES,
    TARGETS_BY_SERVICE,
    bench_scale.BALANCERS,
)


@attrs.define
class PartialSystem(system.System):
    """System that runs three balancers of a deployment with many members."""

    @property
    def balancers(self) -> list[deployments.MemberSpec]:
        """The elected readers of the first data centre, then one other."""
        plans = deployments.balancer_specs(self.deployment)
        data_centre = self.deployment.data_centres[0]
        local_plans = [p for p in plans if p.data_centre == data_centre]
        plan_by_id = {
            p.member().member_id: p
            for p in local_plans[: topology.READERS_PER_DATA_CENTRE + 1]
        }
        ranking = rendezvous.rank_members("reader", list(plan_by_id))
        return [plan_by_id[member_id] for member_id in ranking]


@attrs.frozen
class Start:
    """Result of one start.

    Attributes:
        first_version_s: Seconds until a version was in force.
        forwarding_s: Seconds until the balancer forwarded; infinite if it did
            not within 30 s of the first version.
        calls_by_kind: Number of store calls by kind, without those that the
            peers make at rest.
    """

    first_version_s: float
    forwarding_s: float
    calls_by_kind: dict[str, float]


def _counts(store_url: str) -> dict[str, int]:
    answer = httpx.get(f"{store_url}/standin/counts", trust_env=False)
    count_by_kind: dict[str, int] = answer.json()
    return {
        kind: count
        for kind, count in count_by_kind.items()
        if kind != "waiting_watches"
    }


def _rates(store_url: str) -> dict[str, float]:
    before = _counts(store_url)
    time.sleep(REST_S)
    after = _counts(store_url)
    return {
        kind: (count - before.get(kind, 0)) / REST_S
        for kind, count in after.items()
    }


async def _wait_version(run: system_runs.Run, name: str) -> None:
    with trio.fail_after(TIMEOUT_S):
        while not operator_actions.logged_positions(run, name):
            await trio.sleep(POLL_S)


async def _wait_forwarding(
    running: PartialSystem, plan: deployments.MemberSpec
) -> None:
    status: dict[str, Any] = {"fenced": True}
    while status.get("fenced", True):
        await trio.sleep(POLL_S)
        status = await running.status(plan)


async def _measure_start(running: PartialSystem, no_store: bool) -> Start:
    run = system_runs.Run(running, {})
    plan = running.balancers[-1]
    rates = _rates(running.store_url)
    before = _counts(running.store_url)
    store_url = running.store_url
    if no_store:
        running.store_url = f"http://127.0.0.1:{processes.free_port()}"
    started = time.monotonic()
    process = running.start_balancer(plan)
    running.store_url = store_url
    process.wait_ready()
    await _wait_version(run, plan.name)
    first_version_s = time.monotonic() - started
    forwarding_s = float("inf")
    with trio.move_on_after(TIMEOUT_S / 10):
        await _wait_forwarding(running, plan)
        forwarding_s = time.monotonic() - started
    window_s = max(COUNT_WINDOW_S, time.monotonic() - started)
    await trio.sleep(max(0.0, started + window_s - time.monotonic()))
    after = _counts(store_url)
    process.stop()
    process.log.unlink()
    calls = {
        kind: after[kind] - before.get(kind, 0) - rate * window_s
        for kind, rate in rates.items()
    }
    return Start(first_version_s, forwarding_s, calls)


def _measure(no_store: bool, rounds: int) -> list[Start]:
    with (
        tempfile.TemporaryDirectory() as directory,
        processes.ProcessTable(pathlib.Path(directory)) as table,
    ):
        running = PartialSystem(
            DEPLOYMENT,
            table,
            system.start_store(table),
            pathlib.Path(directory),
        )
        for plan in running.balancers:
            for ports in (
                running.caller_port_by_name,
                running.control_port_by_name,
                running.admin_port_by_name,
            ):
                ports[plan.name] = processes.free_port()
        trio.run(seeding.seed, DEPLOYMENT, running.store_url)
        for peer in running.balancers[:-1]:
            running.start_balancer(peer).wait_ready()
            trio.run(_wait_forwarding, running, peer)
        time.sleep(REST_S)
        return [
            trio.run(_measure_start, running, no_store) for _ in range(rounds)
        ]


def main() -> None:
    """Prints one row for each start."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-store", action="store_true")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    arguments = parser.parse_args()
    rows = [["start", "first copy s", "forwards after s", "store calls"]]
    starts = _measure(arguments.no_store, arguments.rounds)
    for number, start in enumerate(starts, 1):
        calls = ", ".join(
            f"{kind} {count:.1f}"
            for kind, count in start.calls_by_kind.items()
            if count >= 0.1
        )
        rows.append(
            [
                str(number),
                f"{start.first_version_s:.1f}",
                f"{start.forwarding_s:.1f}",
                calls or "none",
            ]
        )
    measure.print_table(rows)


if __name__ == "__main__":
    main()
