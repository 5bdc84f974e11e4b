"""Measures how long a starting balancer waits for its first configuration.

Run with `python -m benchmarks.bench_first_copy`. One store stand-in holds the
documents of the design's size, two balancers of a data centre read them as its
elected readers, and a third one starts. It takes a copy from one of them at a
time. The time runs from the start of its process until
its log shows a version, which logs read every 20 ms include. With `--no-store`
the starting balancer's store address refuses connections, so that the copy can
only come from the peer; that takes minutes.
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
# Window in which a start's store calls are counted.
COUNTED_S = 15.0
POLL_S = 0.02
REST_S = 10.0
LIMIT_S = 300.0
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
    tuple(bench_scale.TEAMS),
    SERVICES,
    TARGETS_BY_SERVICE,
    bench_scale.BALANCERS,
)


@attrs.define
class FewBalancers(system.System):
    """Some balancers of a deployment that has many more members."""

    @property
    def balancers(self) -> list[deployments.MemberSpec]:
        """Two elected readers of the first data centre and another."""
        plans = deployments.balancer_specs(self.deployment)
        data_centre = self.deployment.data_centres[0]
        found = [p for p in plans if p.data_centre == data_centre]
        plan_by_id = {
            p.member().member_id: p
            for p in found[: topology.READERS_PER_DATA_CENTRE + 1]
        }
        ranking = rendezvous.rank_members("reader", list(plan_by_id))
        return [plan_by_id[member_id] for member_id in ranking]


@attrs.frozen
class Start:
    """What one start took.

    Attributes:
        first_copy_s: Seconds until a version was in force.
        opened_s: Seconds until the daemon forwarded; infinite if it didn't.
        calls_by_kind: Store calls within 15 s, without those of the peers.
    """

    first_copy_s: float
    opened_s: float
    calls_by_kind: dict[str, float]


def _counts(store_url: str) -> dict[str, int]:
    answer = httpx.get(f"{store_url}/standin/counts", trust_env=False)
    found: dict[str, int] = answer.json()
    return {k: n for k, n in found.items() if k != "waiting_watches"}


def _rates(store_url: str) -> dict[str, float]:
    before = _counts(store_url)
    time.sleep(REST_S)
    after = _counts(store_url)
    return {k: (n - before.get(k, 0)) / REST_S for k, n in after.items()}


async def _wait_version(run: system_runs.Run, name: str) -> None:
    with trio.fail_after(LIMIT_S):
        while not operator_actions.logged_versions(run, name):
            await trio.sleep(POLL_S)


async def _wait_open(
    found: FewBalancers, plan: deployments.MemberSpec
) -> None:
    status: dict[str, Any] = {"fenced": True}
    while status.get("fenced", True):
        await trio.sleep(POLL_S)
        status = await found.status(plan)


async def _start(found: FewBalancers, no_store: bool) -> Start:
    run = system_runs.Run(found, {})
    plan = found.balancers[-1]
    rates = _rates(found.store_url)
    before = _counts(found.store_url)
    store_url = found.store_url
    if no_store:
        found.store_url = f"http://127.0.0.1:{processes.free_port()}"
    started = time.monotonic()
    process = found.start_balancer(plan)
    found.store_url = store_url
    process.wait_ready()
    await _wait_version(run, plan.name)
    first_copy_s = time.monotonic() - started
    opened_s = float("inf")
    with trio.move_on_after(LIMIT_S / 10):
        await _wait_open(found, plan)
        opened_s = time.monotonic() - started
    counted_s = max(COUNTED_S, time.monotonic() - started)
    await trio.sleep(max(0.0, started + counted_s - time.monotonic()))
    after = _counts(store_url)
    process.stop()
    process.log.unlink()
    calls = {
        kind: after[kind] - before.get(kind, 0) - rate * counted_s
        for kind, rate in rates.items()
    }
    return Start(first_copy_s, opened_s, calls)


def _measure(no_store: bool, rounds: int) -> list[Start]:
    with (
        tempfile.TemporaryDirectory() as name,
        processes.ProcessTable(pathlib.Path(name)) as table,
    ):
        found = FewBalancers(
            DEPLOYMENT, table, system.start_store(table), pathlib.Path(name)
        )
        for plan in found.balancers:
            for ports in (
                found.caller_port_by_name,
                found.control_port_by_name,
                found.admin_port_by_name,
            ):
                ports[plan.name] = processes.free_port()
        trio.run(seeding.seed, DEPLOYMENT, found.store_url)
        for peer in found.balancers[:-1]:
            found.start_balancer(peer).wait_ready()
            trio.run(_wait_open, found, peer)
        time.sleep(REST_S)
        return [trio.run(_start, found, no_store) for _ in range(rounds)]


def main() -> None:
    """Prints one row for each start."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-store", action="store_true")
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    given = parser.parse_args()
    rows = [["start", "first copy s", "forwards after s", "store calls"]]
    starts = _measure(given.no_store, given.rounds)
    for number, start in enumerate(starts, 1):
        calls = ", ".join(
            f"{kind} {count:.1f}"
            for kind, count in start.calls_by_kind.items()
            if count >= 0.1
        )
        rows.append(
            [
                str(number),
                f"{start.first_copy_s:.1f}",
                f"{start.opened_s:.1f}",
                calls or "none",
            ]
        )
    measure.print_table(rows)


if __name__ == "__main__":
    main()
