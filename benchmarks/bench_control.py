"""Measures the control plane: bytes, processor time, store calls, latency.

Run with `python -m benchmarks.bench_control`. The nodes run in memory, without
sockets, so bytes exclude the framing of pyzmq and CURVE. The network is
simulated and delivers messages after 3 to 50 ms. Latencies are in simulated
time and don't depend on the machine.
"""

import time

from godwitturn.standins import control_fixtures as fixtures
from godwitturn.standins import control_fleet
from godwitturn.standins import control_network

FLEETS = ((10, 5), (50, 25), (150, 75))
STARTS_AT_ONCE = 8
SETTLE_SECONDS = 60.0
MEASURED_SECONDS = 20.0
CHANGES = 200


def _start_fleet(balancers: int, agents: int) -> control_network.Network:
    network = control_network.Network(1)
    members = fixtures.fleet(balancers, agents)
    fixtures.put_fleet_documents(network, members)
    for first in range(0, len(members), STARTS_AT_ONCE):
        for member in members[first : first + STARTS_AT_ONCE]:
            network.start(member)
        network.run(2.0)
    network.run(SETTLE_SECONDS)
    return network


def _measure(balancers: int, agents: int) -> str:
    network = _start_fleet(balancers, agents)
    daemons = list(network.daemon_by_id.values())
    bytes_before = [daemon.node.outbox.bytes_sent for daemon in daemons]
    calls_before = network.store_polls
    started = time.process_time()
    network.run(MEASURED_SECONDS)
    spent_s = time.process_time() - started
    rates = [
        (daemon.node.outbox.bytes_sent - earlier) / MEASURED_SECONDS
        for daemon, earlier in zip(daemons, bytes_before, strict=True)
    ]
    calls = network.store_polls - calls_before
    core_share = spent_s / MEASURED_SECONDS / len(daemons)
    fenced = sum(daemon.node.is_fenced for daemon in daemons)
    return (
        f"{balancers} balancers, {agents} agents: "
        f"bytes/s mean {sum(rates) / len(rates):.0f} max {max(rates):.0f}, "
        f"core {100 * core_share:.3f}% per daemon, "
        f"store calls/s {calls / MEASURED_SECONDS:.1f}, fenced {fenced}"
    )


def _measure_latencies(loss: float) -> list[float]:
    network, daemons = control_fleet.start(14, 6, loss=loss)
    network.run(SETTLE_SECONDS)
    latencies_s = []
    for number in range(CHANGES):
        revision = network.put("rules", control_fleet.numbered_rules(number))
        changed_at = network.now
        while any(
            control_fleet.version_of(daemon) < revision for daemon in daemons
        ):
            network.run(0.01)
        latencies_s.append(network.now - changed_at)
        network.run(network.generator.uniform(0.5, 1.5))
    return sorted(latencies_s)


def main() -> None:
    """Prints a line for each loss rate and each size of the fleet."""
    for loss in (0.0, 0.2):
        latencies_s = _measure_latencies(loss)
        print(
            f"20 daemons, {loss:.0%} loss: seconds until a change is held by "
            f"all: median {latencies_s[CHANGES // 2]:.2f}, "
            f"99th percentile {latencies_s[CHANGES * 99 // 100]:.2f}, "
            f"highest {latencies_s[-1]:.2f}"
        )
    for balancers, agents in FLEETS:
        print(_measure(balancers, agents))


if __name__ == "__main__":
    main()
