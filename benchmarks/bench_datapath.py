"""Measures the cost of a packet in daemons relative to a UDP echo server.

Run as ``python -m benchmarks.bench_datapath``. One balancer and three agents
run as processes on loopback; a raw caller sends packets to the balancer, with
a limited number of them unanswered at a time. A packet is one datagram
received and sent on, so a keepalive is two packets for the balancer (there and
back) and one for an agent. The baseline, an echo server, receives and sends
datagrams of the same size in its own process. Each row shows the median of
some rounds, with the lowest and the highest.
"""

import statistics
import sys
import time

import attrs

from benchmarks import measure
from benchmarks import rig
from godwitturn.standins import system

ROUNDS = 5
FLOWS = 2000
# The kernel counts processor time in steps of 10 ms, so rounds must be long.
ECHO_PACKETS = 200_000
PACKETS = 40_000
OPENINGS = 10_000
AGENTS = 3


@attrs.frozen
class Round:
    """Costs and rate of one round.

    Attributes:
        us_by_process: Processor time in microseconds per packet or opening,
            by process.
        rate: Answered packets, or accepted openings, per second of wall
            time.
    """

    us_by_process: dict[str, float]
    rate: float


def _usages(
    running: system.System, names: list[str]
) -> dict[str, measure.Usage]:
    return {name: rig.usage(running, name) for name in names}


def _spent_s(
    running: system.System,
    names: list[str],
    usage_before: dict[str, measure.Usage],
) -> dict[str, float]:
    return {
        name: rig.usage(running, name).processor_s
        - usage_before[name].processor_s
        for name in names
    }


class DataPathBenchmark:
    """Runs the rounds against the processes of one deployment."""

    def __init__(self, running: system.System) -> None:
        self.running = running
        self.balancer = running.balancers[0].name
        self.agents = [f"{plan.name}-agent" for plan in running.targets]
        self.caller = rig.connect_caller(running)
        echo = running.table.start("echo", ["benchmarks.echo"])
        self.echo = rig.Caller(("127.0.0.1", int(echo.wait_ready())))

    def _measure(
        self, caller: rig.Caller, names: list[str], datagrams: list[bytes]
    ) -> tuple[dict[str, float], float]:
        before = _usages(self.running, names)
        started = time.monotonic()
        answers = caller.exchange(datagrams)
        elapsed_s = time.monotonic() - started
        return _spent_s(self.running, names, before), len(answers) / elapsed_s

    def measure_echo(self, size: int) -> Round:
        """Measures datagrams of some size through the echo server."""
        datagrams = [bytes(size)] * ECHO_PACKETS
        spent_s, rate = self._measure(self.echo, ["echo"], datagrams)
        return Round({"echo": spent_s["echo"] / ECHO_PACKETS * 1e6}, rate)

    def measure_established(
        self, flows: list[int], payload_bytes: int
    ) -> Round:
        """Measures keepalives of established flows."""
        payload = bytes(payload_bytes)
        datagrams = [
            self.caller.keepalive(flows[n % len(flows)], payload)
            for n in range(PACKETS)
        ]
        names = [self.balancer, *self.agents]
        spent_s, rate = self._measure(self.caller, names, datagrams)
        agents_s = sum(spent_s[name] for name in self.agents)
        return Round(
            {
                "balancer": spent_s[self.balancer] / (2 * PACKETS) * 1e6,
                "agent": agents_s / PACKETS * 1e6,
            },
            rate,
        )

    def measure_openings(self) -> Round:
        """Measures openings, each of which is confirmed by a second packet."""
        names = [self.balancer, *self.agents]
        before = _usages(self.running, names)
        started = time.monotonic()
        opened = len(self.caller.open_flows(OPENINGS))
        elapsed_s = time.monotonic() - started
        spent_s = _spent_s(self.running, names, before)
        agents_s = sum(spent_s[name] for name in self.agents)
        return Round(
            {
                "balancer": spent_s[self.balancer] / opened * 1e6,
                "agent": agents_s / opened * 1e6,
            },
            opened / elapsed_s,
        )


def _row(
    name: str,
    process: str,
    rounds: list[Round],
    baselines: list[Round],
) -> list[str]:
    costs_us = [result.us_by_process[process] for result in rounds]
    echo_costs_us = [result.us_by_process["echo"] for result in baselines]
    ratios = [
        cost_us / echo_cost_us
        for cost_us, echo_cost_us in zip(costs_us, echo_costs_us, strict=True)
    ]
    rates = [result.rate for result in rounds]
    return [
        f"{name}, {process}",
        f"{statistics.median(ratios):.1f}",
        f"{min(ratios):.1f}-{max(ratios):.1f}",
        f"{statistics.median(costs_us):.1f}",
        f"{1e6 / statistics.median(costs_us):.0f}",
        f"{statistics.median(rates):.0f}",
        f"{min(rates):.0f}-{max(rates):.0f}",
    ]


def main() -> None:
    """Prints a table of all figures."""
    with rig.start_system(rig.make_deployment(1, AGENTS)) as running:
        benchmark = DataPathBenchmark(running)
        flows = benchmark.caller.open_flows(FLOWS)
        small = len(benchmark.caller.keepalive(flows[0]))
        full = len(benchmark.caller.keepalive(flows[0], bytes(1200)))
        echo, echo_full, packets, packets_full, openings = [], [], [], [], []
        for _ in range(ROUNDS):
            echo.append(benchmark.measure_echo(small))
            packets.append(benchmark.measure_established(flows, 0))
            echo_full.append(benchmark.measure_echo(full))
            packets_full.append(benchmark.measure_established(flows, 1200))
            openings.append(benchmark.measure_openings())
        lost = benchmark.caller.lost
    print(
        f"Python {sys.version.split()[0]}, {ROUNDS} rounds, lost {lost}; "
        "an opening is 2 datagrams from the caller and 2 back"
    )
    table = [
        [
            "what, process",
            "ratio",
            "spread",
            "us each",
            "each per core-s",
            "answered/s",
            "spread",
        ]
    ]
    table.append(_row(f"bare, {small} B", "echo", echo, echo))
    for process in ("balancer", "agent"):
        table.append(_row(f"established, {small} B", process, packets, echo))
    table.append(_row(f"bare, {full} B", "echo", echo_full, echo_full))
    for process in ("balancer", "agent"):
        table.append(
            _row(f"established, {full} B", process, packets_full, echo_full)
        )
    for process in ("balancer", "agent"):
        table.append(_row("new flow", process, openings, echo))
    measure.print_table(table)


if __name__ == "__main__":
    main()
