"""Measures broken flows, imbalance and answer times while a fleet changes.

Run as ``python -m benchmarks.bench_disruption [kolkata|perth]``. Each of the
two present deployments runs as processes on loopback with hundreds of
sessions, once with the real balancer and once with the naive one, which is the
baseline and runs in the same daemon code. A scenario changes the fleet while
sessions with long-lived flows send requests.

Imbalance is the maximum over the targets of a service divided by their mean.
It is measured for the flows that a scenario opened and for the requests that
the targets ran during it. Targets that drain or whose data centre is out are
excluded from both.
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

# Per service; each session opens a flow.
SESSIONS = 300
REQUESTS = 4
PAUSE_S = 1.0
TIMEOUT_S = 8.0
WRITE_DEADLINE_S = 10.0
RAMP_S = 2.0
# Longer than the ramp, during which new targets get fewer flows.
SETTLE_S = 3.0
MODULE_BY_KIND = {
    "real": "godwitturn.daemons.balancer",
    "naive": "godwitturn.standins.naive_daemon",
}


@attrs.define
class Scenario:
    """One planned or unplanned change of the fleet.

    Attributes:
        name: Title of its rows.
        change_fleet: Makes the change while the traffic runs.
        excluded_targets: Names of targets that the imbalance excludes.
    """

    name: str
    change_fleet: "Callable[[system.System], Awaitable[None]]"
    excluded_targets: frozenset[str] = frozenset()


async def change_document(
    running: system.System, key: str, function: Callable[[object], object]
) -> None:
    """Changes one document of a deployment in the store.

    Raises:
        RuntimeError: The change did not take effect.
    """
    async with store.StoreClient([running.store_url]) as client:
        document_repository = repository.Repository(
            client, running.deployment.name, trio.current_time
        )
        outcome = await document_repository.change(
            key,
            function,
            str(uuid.uuid4()),
            deadline=trio.current_time() + WRITE_DEADLINE_S,
            commutes=True,
        )
    if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
        raise RuntimeError(f"changing {key!r} ended with {outcome}")


async def _wait_ready(running: system.System, name: str) -> None:
    process = running.table.process_by_name[name]
    await trio.to_thread.run_sync(process.wait_ready)


async def _change_nothing(_: system.System) -> None:
    await trio.sleep(0)


async def _kill_balancers(running: system.System) -> None:
    for plan in running.balancers[:2]:
        await trio.sleep(1.0)
        running.table.process_by_name[plan.name].kill()
        await trio.sleep(1.0)
        running.start_balancer(plan)
        await _wait_ready(running, plan.name)


async def _replace_balancers(running: system.System) -> None:
    for plan in running.balancers:
        process = running.table.process_by_name[plan.name]
        await trio.to_thread.run_sync(process.stop)
        running.start_balancer(plan)
        await _wait_ready(running, plan.name)
        await trio.sleep(1.0)


def _set_draining(
    names: frozenset[str], draining: bool
) -> Callable[[object], object]:
    def evolve_members(value: object) -> documents.MemberList:
        assert isinstance(value, documents.MemberList)
        return documents.MemberList(
            tuple(
                attrs.evolve(member, draining=draining)
                if member.name in names
                else member
                for member in value.members
            )
        )

    return evolve_members


def _drain_scenario(deployment: deployments.Deployment) -> Scenario:
    names = frozenset(
        f"{service}-{deployment.target_count_by_service[service] - 1}"
        for service in deployment.target_count_by_service
    )

    async def change_fleet(running: system.System) -> None:
        await trio.sleep(1.5)
        for service in running.deployment.services:
            key = configurations.MEMBERS_PREFIX + service.name
            await change_document(running, key, _set_draining(names, True))
        await _replace_balancers(running)

    return Scenario("drain + balancers replaced", change_fleet, names)


def _set_data_centres_out(
    names: tuple[str, ...],
) -> Callable[[object], object]:
    def evolve_rules(value: object) -> documents.Rules:
        assert isinstance(value, documents.Rules)
        return attrs.evolve(value, out=names)

    return evolve_rules


async def _end_drain(running: system.System, names: frozenset[str]) -> None:
    for service in running.deployment.services:
        key = configurations.MEMBERS_PREFIX + service.name
        await change_document(running, key, _set_draining(names, False))


def _data_centre_scenario(deployment: deployments.Deployment) -> Scenario:
    leaving = deployment.data_centres[1]
    names = frozenset(
        plan.name
        for plan in deployments.target_specs(deployment)
        if plan.data_centre == leaving
    )

    async def change_fleet(running: system.System) -> None:
        await trio.sleep(1.5)
        await change_document(
            running,
            configurations.RULES_KEY,
            _set_data_centres_out((leaving,)),
        )
        await trio.sleep(3.0)
        await change_document(
            running, configurations.RULES_KEY, _set_data_centres_out(())
        )

    return Scenario("data centre leaves, returns", change_fleet, names)


def scenarios(deployment: deployments.Deployment) -> list[Scenario]:
    """Returns the scenarios of a deployment in the order in which they run."""
    return [
        Scenario("steady", _change_nothing),
        Scenario("balancers killed", _kill_balancers),
        Scenario("balancers replaced", _replace_balancers),
        _drain_scenario(deployment),
        _data_centre_scenario(deployment),
    ]


async def _run_counts(running: system.System) -> dict[str, int]:
    run_counts = {}
    async with httpx.AsyncClient(trust_env=False) as client:
        for plan in running.targets:
            url = running.target_url(plan) + "/standin/counts"
            run_counts[plan.name] = (await client.get(url)).json()["runs"]
    return run_counts


def _max_over_mean(counts: list[int]) -> float:
    return max(counts) * len(counts) / max(1, sum(counts))


@attrs.frozen
class Result:
    """Results of one scenario with one kind of balancer.

    Attributes:
        flows: Number of accepted flows.
        broken: Number of flows that broke.
        given_up: Number of flows that ended because their data centre was
            taken out.
        answers: Number of answered requests.
        unanswered: Number of requests that ended without an answer.
        flow_imbalance: Highest imbalance of flows of a service.
        run_imbalance: Highest imbalance of run requests of a service.
        quantiles_ms: Median, 99th percentile and maximum of the answer time in
            milliseconds.
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
    # An observation creates the histogram.
    merged.observe(key, 1)
    histogram = merged.histogram_by_key[key]
    histogram.reset()
    for report in reports:
        for observed in report.metrics.histogram_by_key.values():
            histogram.add(observed)
    return (
        histogram.get_value_at_percentile(50) / 1e3,
        histogram.get_value_at_percentile(99) / 1e3,
        histogram.get_max_value() / 1e3,
    )


def _imbalances(
    running: system.System,
    scenario: Scenario,
    reports: list[traffic.Report],
    run_counts: dict[str, int],
) -> tuple[float, float]:
    flow_counts: collections.Counter[int] = collections.Counter()
    for report in reports:
        for record in report.records:
            if isinstance(record, history.FlowOpened):
                flow_counts[record.target_id] += 1
    flow_worst = run_worst = 0.0
    for service in running.deployment.services:
        plans = [
            plan
            for plan in running.targets
            if plan.service == service.name
            and plan.name not in scenario.excluded_targets
        ]
        target_flows = [flow_counts[plan.member().member_id] for plan in plans]
        target_runs = [run_counts[plan.name] for plan in plans]
        flow_worst = max(flow_worst, _max_over_mean(target_flows))
        run_worst = max(run_worst, _max_over_mean(target_runs))
    return flow_worst, run_worst


async def run_scenario(running: system.System, scenario: Scenario) -> Result:
    """Runs traffic while a scenario changes the fleet."""
    load = traffic.Load(
        SESSIONS, REQUESTS, pause_s=PAUSE_S, timeout_s=TIMEOUT_S
    )
    reports = [traffic.Report(s) for s in running.deployment.services]
    before = await _run_counts(running)
    async with trio.open_nursery() as nursery:
        for report in reports:
            nursery.start_soon(
                traffic.run_callers, running.fabric_address, load, report
            )
        nursery.start_soon(scenario.change_fleet, running)
    after = await _run_counts(running)
    run_counts = {name: after[name] - before[name] for name in after}
    flow_imbalance, run_imbalance = _imbalances(
        running, scenario, reports, run_counts
    )
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
    running: system.System, deployment: deployments.Deployment
) -> dict[str, Result]:
    results = {}
    await trio.sleep(SETTLE_S)
    for scenario in scenarios(deployment):
        results[scenario.name] = await run_scenario(running, scenario)
        if scenario.excluded_targets:
            await _end_drain(running, scenario.excluded_targets)
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


COLUMN_TITLES = [
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
    """Runs all scenarios with both kinds of balancer and prints a table."""
    rules = documents.Rules(
        data_centres=deployment.data_centres,
        ramp_seconds=RAMP_S,
        return_seconds=RAMP_S,
    )
    results: dict[str, dict[str, Result]] = {}
    started = time.monotonic()
    for kind, module in MODULE_BY_KIND.items():
        with rig.start_system(
            deployment, rules=rules, balancer_module=module
        ) as running:
            results[kind] = trio.run(_run_all, running, deployment)
    rows = [
        _row(name, kind, results[kind][name], results["naive"][name])
        for name in results["naive"]
        for kind in MODULE_BY_KIND
    ]
    print(
        f"{deployment.name}: {SESSIONS} sessions for each service, "
        f"{time.monotonic() - started:.0f} s"
    )
    measure.print_table([COLUMN_TITLES, *rows])


def main() -> None:
    """Prints a table for each deployment named by an argument, or for both."""
    names = sys.argv[1:] or ["kolkata", "perth"]
    for deployment in (deployments.KOLKATA, deployments.PERTH):
        if deployment.name in names:
            run_deployment(deployment)


if __name__ == "__main__":
    main()
