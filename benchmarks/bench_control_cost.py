"""Measures control traffic, processor time and memory of daemons.

Run as ``python -m benchmarks.bench_control_cost``. Whole fleets run as
processes on loopback, at rest and with a change of the rules every 10 s.
Bytes are those of messages, without the framing of ZeroMQ and CURVE. The
baseline of memory is an idle process with the same imports. The slopes are
what each further balancer or target adds to a daemon at rest.
"""

import subprocess
import sys
import time

import attrs
import httpx
import trio

from benchmarks import bench_disruption
from benchmarks import measure
from benchmarks import rig
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.standins import deployments
from godwitturn.standins import system

FLEETS = ((3, 10), (9, 10), (3, 36))
SETTLE_S = 6.0
REST_S = 15.0
CHANGE_S = 10.0
CHANGES = 2
IDLE_PROGRAM = "import sys, godwitturn.daemons.{kind}{more}; "
IDLE_PROGRAM += "print('ready', flush=True); sys.stdin.read()"


@attrs.frozen
class Cost:
    """Mean cost of the daemons of one kind over a period.

    Attributes:
        core_percent: Processor time in percent of a core.
        bytes_per_s: Control bytes sent and received per second; 0 for agents,
            where they are not measured.
        memory: Memory in bytes that no other process shares.
    """

    core_percent: float
    bytes_per_s: float
    memory: float


def _idle_memory_bytes(kind: str) -> int:
    more_imports = ", godwitturn.daemons.admin" if kind == "balancer" else ""
    with subprocess.Popen(
        [
            sys.executable,
            "-c",
            IDLE_PROGRAM.format(kind=kind, more=more_imports),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        memory_bytes = measure.Usage.of(process.pid).unique_bytes
        process.communicate()
    return memory_bytes


def _control_bytes(running: system.System) -> float:
    """Returns the control bytes that all balancers sent and received."""
    total = 0.0
    token = running.deployment.secret("admin").hex()
    for port in running.admin_port_by_name.values():
        response = httpx.get(
            f"http://127.0.0.1:{port}/metrics",
            headers={"Authorization": f"Bearer {token}"},
            trust_env=False,
        )
        for line in response.text.splitlines():
            name, _, value = line.rpartition(" ")
            if "control_sent_bytes" in name or "control_received" in name:
                total += 0.0 if line.startswith("#") else float(value)
    return total


def _names_by_kind(running: system.System) -> dict[str, list[str]]:
    return {
        "balancer": [plan.name for plan in running.balancers],
        "agent": [f"{plan.name}-agent" for plan in running.targets],
    }


def _measure_costs(running: system.System, changes: int) -> dict[str, Cost]:
    names_by_kind = _names_by_kind(running)
    bytes_before = _control_bytes(running)
    usage_before = {
        process_name: rig.usage(running, process_name)
        for names in names_by_kind.values()
        for process_name in names
    }
    started = time.monotonic()
    for number in range(changes):
        trio.run(_change_rules, running, number)
        time.sleep(CHANGE_S)
    if not changes:
        time.sleep(REST_S)
    usage_after = {name: rig.usage(running, name) for name in usage_before}
    elapsed_s = time.monotonic() - started
    transferred = _control_bytes(running) - bytes_before
    costs = {}
    for kind, names in names_by_kind.items():
        shares = [
            usage_after[name].core_share(usage_before[name]) for name in names
        ]
        costs[kind] = Cost(
            sum(shares) / len(shares) * 100,
            transferred / elapsed_s / len(names)
            if kind == "balancer"
            else 0.0,
            sum(usage_after[name].unique_bytes for name in names) / len(names),
        )
    return costs


async def _change_rules(running: system.System, number: int) -> None:
    def set_return_seconds(value: object) -> documents.Rules:
        assert isinstance(value, documents.Rules)
        return attrs.evolve(value, return_seconds=30.0 + number)

    await bench_disruption.change_document(
        running, configurations.RULES_KEY, set_return_seconds
    )


def _fleet_rows(
    balancers: int, agents: int, idle_bytes: dict[str, int]
) -> tuple[dict[str, Cost], list[list[str]]]:
    deployment: deployments.Deployment = rig.make_deployment(balancers, agents)
    rows = []
    with rig.start_system(deployment) as running:
        time.sleep(SETTLE_S)
        costs_at_rest = _measure_costs(running, 0)
        costs_under_change = _measure_costs(running, CHANGES)
        count = len(running.table.process_by_name)
    for state, costs in (
        ("rest", costs_at_rest),
        ("changes", costs_under_change),
    ):
        for kind, cost in costs.items():
            rows.append(
                [
                    f"{balancers} + {agents} ({count} processes)",
                    kind,
                    state,
                    f"{cost.memory / idle_bytes[kind]:.2f}",
                    f"{cost.core_percent:.2f}",
                    f"{cost.bytes_per_s:.0f}" if cost.bytes_per_s else "-",
                    f"{cost.memory / 2**20:.1f}",
                    f"{(cost.memory - idle_bytes[kind]) / 2**20:.1f}",
                ]
            )
    return costs_at_rest, rows


def _slope_rows(costs_by_fleet: list[dict[str, Cost]]) -> list[list[str]]:
    base, more_balancers, more_targets = costs_by_fleet
    increments = (
        ("balancer", more_balancers, FLEETS[1][0] - FLEETS[0][0]),
        ("target", more_targets, FLEETS[2][1] - FLEETS[0][1]),
    )
    return [
        [
            f"{kind} for each further {unit}",
            f"{(more[kind].core_percent - base[kind].core_percent) / n:.4f}",
            f"{(more[kind].bytes_per_s - base[kind].bytes_per_s) / n:.1f}",
            f"{(more[kind].memory - base[kind].memory) / n / 1024:.1f}",
        ]
        for unit, more, n in increments
        for kind in base
    ]


def main() -> None:
    """Prints a table of the fleets and one of the slopes at rest."""
    idle_bytes = {
        kind: _idle_memory_bytes(kind) for kind in ("balancer", "agent")
    }
    rows = [
        [
            "balancers + agents",
            "daemon",
            "state",
            "memory ratio",
            "core %",
            "bytes/s",
            "MB",
            "MB over idle",
        ]
    ]
    costs_by_fleet = []
    for balancers, agents in FLEETS:
        costs_at_rest, fleet_rows = _fleet_rows(balancers, agents, idle_bytes)
        costs_by_fleet.append(costs_at_rest)
        rows += fleet_rows
    measure.print_table(rows)
    print()
    titles = ["slope at rest", "core %", "bytes/s", "KB"]
    measure.print_table([titles, *_slope_rows(costs_by_fleet)])


if __name__ == "__main__":
    main()
