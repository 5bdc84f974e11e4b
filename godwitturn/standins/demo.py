"""Runs both deployments as processes and sends requests to their services.

Prints a table for each service. The exit status is 0 only if every request
got a correct answer and no flow broke.
"""

import pathlib
import sys
import tempfile
import time

import httpx
import trio

from godwitturn.core import documents
from godwitturn.metrics import registry
from godwitturn.standins import deployments
from godwitturn.standins import processes
from godwitturn.standins import system as systems
from godwitturn.standins import traffic

LOAD = traffic.Load(sessions=40, requests=20)
REQUEST_CLASSES = ("idempotent", "once")


async def _runs_by_target(
    system: systems.System, service: documents.Service
) -> dict[str, int]:
    runs = {}
    async with httpx.AsyncClient(trust_env=False) as client:
        for target in system.targets:
            if target.service == service.name:
                url = system.target_url(target) + "/standin/counts"
                counts = (await client.get(url)).json()
                runs[target.name] = counts["runs"]
    return runs


def _latency_text(report: traffic.Report, name: str) -> str:
    service_id = report.service.service_id
    key = registry.HistogramKey("answer_time", service_id, name)
    if key not in report.metrics.histogram_by_key:
        return "none"
    quantiles = report.metrics.quantiles(key)
    return " ".join(
        f"p{quantile * 100:g}={value / 1000:.1f}ms"
        for quantile, value in quantiles.items()
    )


def _print_report(report: traffic.Report, runs: dict[str, int]) -> None:
    mean = sum(runs.values()) / len(runs)
    print(f"\n{report.service.name}")
    rows = [
        ("flows opened", report.flows_opened),
        ("flows broken", report.flows_broken),
        ("answers", report.correct_answers),
        ("wrong answers", report.wrong_answers),
        ("refused, not run", report.not_run),
        ("may have run", report.may_have_run),
        *[
            (f"answer time, {name}", _latency_text(report, name))
            for name in REQUEST_CLASSES
        ],
        ("runs by target", " ".join(map(str, runs.values()))),
        ("highest / mean runs", f"{max(runs.values()) / max(mean, 1):.2f}"),
    ]
    for name, value in rows:
        print(f"  {name:<26}{value}")
    for name, count in report.unanswered_by_outcome.items():
        print(f"  ended {name:<20}{count}")


async def _run_traffic(system: systems.System) -> list[traffic.Report]:
    reports = []
    async with trio.open_nursery() as nursery:
        for service in system.deployment.services:
            report = traffic.Report(service)
            reports.append(report)
            nursery.start_soon(
                traffic.run_callers, system.fabric_address, LOAD, report
            )
    return reports


def _all_served(report: traffic.Report) -> bool:
    expected = LOAD.sessions * LOAD.requests
    return (
        report.correct_answers == expected
        and not report.flows_broken
        and not report.wrong_answers
    )


async def _run(directory: pathlib.Path) -> bool:
    started = time.monotonic()
    served = True
    with processes.ProcessTable(directory) as table:
        store_url = systems.start_store(table)
        for deployment in (deployments.KOLKATA, deployments.PERTH):
            system = systems.System(deployment, table, store_url, directory)
            await system.start()
            await system.wait_serving()
            for report in await _run_traffic(system):
                runs = await _runs_by_target(system, report.service)
                _print_report(report, runs)
                served = served and _all_served(report)
        count = len(table.process_by_name)
    elapsed_s = time.monotonic() - started
    print(f"\n{count} processes, {elapsed_s:.1f} s")
    print("all requests served" if served else "NOT all requests served")
    return served


def main() -> int:
    """Runs the demo and returns its exit status."""
    with tempfile.TemporaryDirectory() as directory:
        return 0 if trio.run(_run, pathlib.Path(directory)) else 1


if __name__ == "__main__":
    sys.exit(main())
