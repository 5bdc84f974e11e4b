"""Broken flows, imbalance and answer times while the fleet changes.

Run as ``python -m benchmarks.bench_disruption [kolkata|perth]``. Each
deployment of today runs as processes on loopback with hundreds of sessions,
once with the real balancer and once with the naive one in the same shell,
which is the baseline. A scenario changes the fleet while sessions of
long-lived flows send requests.

Imbalance is the highest over the mean: of flows opened over the targets of a
service by the end of a scenario, and of requests that targets ran during it.
Targets that drain or whose data centre is out are left out of both.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import sys
import time
import uuid

import attrs
import httpx
import trio

from benchmarks import measure
from benchmarks import rig
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.etcd import operations
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.metrics import registry
from godwitturn.standins import deployments
from godwitturn.standins import history
from godwitturn.standins import system
from godwitturn.standins import traffic

# A flow is opened for each session; hundreds of sessions for each service.
SESSIONS = 300
REQUESTS = 4
PAUSE_S = 1.0
TIMEOUT_S = 8.0
WRITE_DEADLINE_S = 10.0
# Longer than the ramp after a start, during which fresh targets get less.
RAMP_S = 2.0
SETTLE_S = 3.0
MODULES = {
    "real": "godwitturn.daemons.balancer",
    "naive": "godwitturn.standins.naive_daemon",
}


@attrs.define
class Scenario:
    """One planned or unplanned change.

    Attributes:
        name: For the table.
        step: Brings the change about while the traffic runs.
        left: Names of targets that imbalance leaves out.
    """

    name: str
    step: "Callable[[system.System], Awaitable[None]]"
    left: frozenset[str] = frozenset()


async def change(
    found: system.System, key: str, function: Callable[[object], object]
) -> None:
    """Changes one document of a deployment.

    Raises:
        RuntimeError: The change did not take effect.
    """
    async with store.StoreClient([found.store_url]) as client:
        target = repository.Repository(
            client, found.deployment.name, trio.current_time
        )
        outcome = await target.change(
            key,
            function,
            str(uuid.uuid4()),
            deadline=trio.current_time() + WRITE_DEADLINE_S,
            commutes=True,
        )
    if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
        raise RuntimeError(f"changing {key!r} ended with {outcome}")


async def _wait_ready(found: system.System, name: str) -> None:
    process = found.table.process_by_name[name]
    await trio.to_thread.run_sync(process.wait_ready)


async def _steady(_: system.System) -> None:
    await trio.sleep(0)


async def _kill_balancers(found: system.System) -> None:
    for plan in found.balancers[:2]:
        await trio.sleep(1.0)
        found.table.process_by_name[plan.name].kill()
        await trio.sleep(1.0)
        found.start_balancer(plan)
        await _wait_ready(found, plan.name)


async def _replace_balancers(found: system.System) -> None:
    for plan in found.balancers:
        process = found.table.process_by_name[plan.name]
        await trio.to_thread.run_sync(process.stop)
        found.start_balancer(plan)
        await _wait_ready(found, plan.name)
        await trio.sleep(1.0)


def _drained(
    names: frozenset[str], draining: bool
) -> Callable[[object], object]:
    def changed(value: object) -> documents.MemberList:
        assert isinstance(value, documents.MemberList)
        return documents.MemberList(
            tuple(
                attrs.evolve(member, draining=draining)
                if member.name in names
                else member
                for member in value.members
            )
        )

    return changed


def _drain(deployment: deployments.Deployment) -> Scenario:
    names = frozenset(
        f"{service}-{deployment.target_count_by_service[service] - 1}"
        for service in deployment.target_count_by_service
    )

    async def step(found: system.System) -> None:
        await trio.sleep(1.5)
        for service in found.deployment.services:
            key = configurations.MEMBERS_PREFIX + service.name
            await change(found, key, _drained(names, True))
        await _replace_balancers(found)

    return Scenario("drain + balancers replaced", step, names)


def _out(names: tuple[str, ...]) -> Callable[[object], object]:
    def changed(value: object) -> documents.Rules:
        assert isinstance(value, documents.Rules)
        return attrs.evolve(value, out=names)

    return changed


async def _undrain(found: system.System, names: frozenset[str]) -> None:
    for service in found.deployment.services:
        key = configurations.MEMBERS_PREFIX + service.name
        await change(found, key, _drained(names, False))


def _data_centre(deployment: deployments.Deployment) -> Scenario:
    leaving = deployment.data_centres[1]
    names = frozenset(
        plan.name
        for plan in deployments.target_specs(deployment)
        if plan.data_centre == leaving
    )

    async def step(found: system.System) -> None:
        await trio.sleep(1.5)
        await change(found, configurations.RULES_KEY, _out((leaving,)))
        await trio.sleep(3.0)
        await change(found, configurations.RULES_KEY, _out(()))

    return Scenario("data centre leaves, returns", step, names)


def scenarios(deployment: deployments.Deployment) -> list[Scenario]:
    """Returns what is done to a deployment, in order."""
    return [
        Scenario("steady", _steady),
        Scenario("balancers killed", _kill_balancers),
        Scenario("balancers replaced", _replace_balancers),
        _drain(deployment),
        _data_centre(deployment),
    ]


async def _runs(found: system.System) -> dict[str, int]:
    runs = {}
    async with httpx.AsyncClient(trust_env=False) as client:
        for plan in found.targets:
            url = found.target_url(plan) + "/standin/counts"
            runs[plan.name] = (await client.get(url)).json()["runs"]
    return runs


def _highest_over_mean(counts: list[int]) -> float:
    return max(counts) * len(counts) / max(1, sum(counts))


@attrs.frozen
class Result:
    """What one scenario did to one deployment.

    Attributes:
        flows: Flows accepted.
        broken: Flows that broke.
        given_up: Flows ended because their data centre was taken out.
        answers: Requests answered.
        unanswered: Requests that ended otherwise.
        flow_imbalance: Worst over services.
        run_imbalance: Worst over services.
        quantiles_ms: Answer time at p50, p99 and the highest.
    """

    flows: int
    broken: int
    given_up: int
    answers: int
    unanswered: int
    flow_imbalance: float
    run_imbalance: float
    quantiles_ms: tuple[float, float, float]


def _quantiles_ms(reports: list[traffic.Report]) -> tuple[float, float, float]:
    merged = registry.Registry()
    key = registry.HistogramKey("answer_time", 0, "all")
    merged.observe(key, 1)
    histogram = merged.histogram_by_key[key]
    histogram.reset()
    for report in reports:
        for found in report.metrics.histogram_by_key.values():
            histogram.add(found)
    return (
        histogram.get_value_at_percentile(50) / 1e3,
        histogram.get_value_at_percentile(99) / 1e3,
        histogram.get_max_value() / 1e3,
    )


def _imbalances(
    found: system.System,
    scenario: Scenario,
    reports: list[traffic.Report],
    runs: dict[str, int],
) -> tuple[float, float]:
    flows: collections.Counter[int] = collections.Counter()
    for report in reports:
        for record in report.records:
            if isinstance(record, history.FlowOpened):
                flows[record.target_id] += 1
    flow_worst = run_worst = 0.0
    for service in found.deployment.services:
        plans = [
            plan
            for plan in found.targets
            if plan.service == service.name and plan.name not in scenario.left
        ]
        by_flow = [flows[plan.member().member_id] for plan in plans]
        by_run = [runs[plan.name] for plan in plans]
        flow_worst = max(flow_worst, _highest_over_mean(by_flow))
        run_worst = max(run_worst, _highest_over_mean(by_run))
    return flow_worst, run_worst


async def run_scenario(found: system.System, scenario: Scenario) -> Result:
    """Runs traffic while a scenario's step changes the fleet."""
    load = traffic.Load(
        SESSIONS, REQUESTS, pause_s=PAUSE_S, timeout_s=TIMEOUT_S
    )
    reports = [traffic.Report(s) for s in found.deployment.services]
    before = await _runs(found)
    async with trio.open_nursery() as nursery:
        for report in reports:
            nursery.start_soon(
                traffic.run_callers, found.fabric_address, load, report
            )
        nursery.start_soon(scenario.step, found)
    after = await _runs(found)
    runs = {name: after[name] - before[name] for name in after}
    flow_imbalance, run_imbalance = _imbalances(found, scenario, reports, runs)
    return Result(
        sum(report.flows_opened for report in reports),
        sum(report.flows_broken for report in reports),
        sum(report.flows_given_up for report in reports),
        sum(report.correct_answers for report in reports),
        sum(sum(report.unanswered_by_outcome.values()) for report in reports),
        flow_imbalance,
        run_imbalance,
        _quantiles_ms(reports),
    )


async def _run_all(
    found: system.System, deployment: deployments.Deployment
) -> dict[str, Result]:
    results = {}
    await trio.sleep(SETTLE_S)
    for scenario in scenarios(deployment):
        results[scenario.name] = await run_scenario(found, scenario)
        if scenario.left:
            await _undrain(found, scenario.left)
            await trio.sleep(SETTLE_S)
    return results


def _row(name: str, kind: str, result: Result, naive: Result) -> list[str]:
    ratio = "-"
    if naive.broken:
        ratio = f"{result.broken / naive.broken:.2f}"
    p50, p99, highest = result.quantiles_ms
    return [
        name,
        kind,
        ratio,
        str(result.broken),
        str(result.given_up),
        str(result.flows),
        str(result.answers),
        str(result.unanswered),
        f"{result.flow_imbalance:.2f}",
        f"{result.run_imbalance:.2f}",
        f"{p50:.0f}",
        f"{p99:.0f}",
        f"{highest:.0f}",
    ]


TITLES = [
    "scenario",
    "balancer",
    "broken/naive",
    "broken",
    "given up",
    "flows",
    "answers",
    "unanswered",
    "flows max/mean",
    "runs max/mean",
    "p50 ms",
    "p99 ms",
    "max ms",
]


def run_deployment(deployment: deployments.Deployment) -> None:
    """Prints the table of one deployment."""
    rules = documents.Rules(
        data_centres=deployment.data_centres,
        ramp_seconds=RAMP_S,
        return_seconds=RAMP_S,
    )
    results: dict[str, dict[str, Result]] = {}
    started = time.monotonic()
    for kind, module in MODULES.items():
        with rig.running(
            deployment, rules=rules, balancer_module=module
        ) as found:
            results[kind] = trio.run(_run_all, found, deployment)
    rows = [
        _row(name, kind, results[kind][name], results["naive"][name])
        for name in results["naive"]
        for kind in MODULES
    ]
    print(
        f"{deployment.name}: {SESSIONS} sessions for each service, "
        f"{time.monotonic() - started:.0f} s"
    )
    measure.print_table([TITLES, *rows])


def main() -> None:
    """Prints a table for each deployment."""
    chosen = sys.argv[1:] or ["kolkata", "perth"]
    for deployment in (deployments.KOLKATA, deployments.PERTH):
        if deployment.name in chosen:
            run_deployment(deployment)


if __name__ == "__main__":
    main()
