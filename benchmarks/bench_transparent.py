"""Measures transparent forwarding: packets, control messages and start.

Run as ``python -m benchmarks.bench_transparent``. Decisions and codecs run in
this process, so the figures exclude system calls. Starts are measured in
separate processes.
"""

from collections.abc import Callable
import functools
import pathlib
import resource
import subprocess
import sys
import tempfile
import time
import zlib

from godwitturn import bytecode
from godwitturn.core import store_position
from godwitturn.core.transparent import agent_flows
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import peers
from godwitturn.platform import packets
from godwitturn.protocol import transparent
from godwitturn.standins import transparent_simulation

ROUNDS = 5
CALLS = 2000
AGENT_COUNTS = (10, 100, 1000)
FLOW_COUNTS = (1000, 10000, 100000)
NOW = 100.0


def time_us(call: Callable[[int], object], calls: int = CALLS) -> float:
    """Returns the median processor time of a call in microseconds."""
    rounds_us = []
    for number in range(ROUNDS):
        started = time.process_time()
        for index in range(calls):
            call(number * calls + index)
        rounds_us.append((time.process_time() - started) / calls * 1e6)
    return sorted(rounds_us)[ROUNDS // 2]


def announcement(number: int, sequence: int) -> messages.Announcement:
    """Returns the announcement of one of many agents."""
    return messages.Announcement(
        node=f"side-{number}",
        service="core",
        data_centre="a",
        run_id=number,
        sequence=sequence,
        incarnation=f"i-{number}/1",
        state=messages.TargetState.READY,
        slots=1,
        flows=number % 7,
        work=0,
        cold_ms=0,
        balancers=(),
        position=store_position.StorePosition(0, 1),
        service_us=30000 + number,
        openings=10 * sequence,
        wait_ms=number % 40,
    )


def address_of(number: int) -> str:
    """Returns the address of one of many agents."""
    return f"10.1.{number // 256}.{number % 256}"


def make_balancer(
    agent_count: int, *, objective_ms: int = 0
) -> balancers.Balancer:
    """Returns a balancer that knows a number of agents.

    Args:
        agent_count: Number of agents, whose targets all get openings often.
        objective_ms: Objective of the route in milliseconds; if it has one,
            targets are drawn by predicted backlogs.
    """
    node = balancers.Balancer(
        address="10.0.0.1",
        data_centre="a",
        started_at=NOW - 60,
        peers=peers.PeerTable("10.0.0.1"),
        fetcher=document_exchange.DocumentFetcher("10.0.0.1"),
    )
    node.configure(
        transparent_simulation.configuration(objective_ms=objective_ms),
        position=store_position.StorePosition(0, 1),
    )
    for number in range(agent_count):
        node.handle_message(
            address_of(number), announcement(number, 1), now=NOW - 0.3
        )
        node.handle_message(
            address_of(number), announcement(number, 2), now=NOW
        )
    node.tick(now=NOW)
    return node


def flow_of(number: int) -> tuple[int, int, int, int]:
    """Returns the addresses and ports of one of many flows."""
    return (
        0x64400000 + number // 60000,
        1024 + number % 60000,
        transparent_simulation.ROUTE_ADDRESS,
        transparent_simulation.ROUTE_PORT,
    )


def measure_balancer(agent_count: int) -> None:
    """Prints the processor time of packets and announcements at a balancer."""
    node = make_balancer(agent_count)
    spreading_node = make_balancer(agent_count, objective_ms=300)

    def open_flow(opener: balancers.Balancer, index: int) -> None:
        data = transparent_simulation.packet(
            flow_of(index), transparent_simulation.SYN
        )
        segment = packets.decode(data, from_target=False)
        assert segment is not None
        for action in opener.handle_packet(segment, now=NOW):
            if isinstance(action, messages.Send):
                transparent.encode(action.message)

    def forward(index: int) -> None:
        data = transparent_simulation.packet(
            flow_of(index), transparent_simulation.ACK, data=b"x" * 900
        )
        segment = packets.decode(data, from_target=False)
        assert segment is not None
        for action in node.handle_packet(segment, now=NOW):
            if isinstance(action, messages.Send):
                transparent.encode(action.message)

    encoded = transparent.encode(announcement(1, 10**9))

    def handle_announcement(index: int) -> None:
        message = transparent.decode(encoded)
        assert message is not None
        node.handle_message(address_of(1), message, now=NOW)

    opening_us = time_us(functools.partial(open_flow, node))
    spread_us = time_us(functools.partial(open_flow, spreading_node))
    established_us = time_us(forward)
    announcement_us = time_us(handle_announcement)
    tick_us = time_us(
        lambda index: spreading_node.loads.update(
            spreading_node.target_table,
            data_centre="a",
            closed_data_centres=frozenset(),
            now=NOW + 1 + index,
        ),
        calls=100,
    )
    print(
        f"balancer, {agent_count:5} agents: opening {opening_us:7.1f} us, "
        f"spread {spread_us:7.1f} us, loads {tick_us:7.1f} us, "
        f"established {established_us:6.1f} us, "
        f"announcement {announcement_us:6.1f} us"
    )


def measure_agent(flow_count: int) -> None:
    """Prints the processor time of requests and announcements at an agent."""
    node = transparent_simulation.make_agent(cold_per_second=None)
    heartbeat = transparent_simulation.make_heartbeat()
    node.handle_heartbeat(heartbeat, now=NOW)
    for number in range(flow_count):
        node.flows.flow_by_id[flow_of(number)] = agent_flows.Flow(
            "10.0.0.1", NOW, NOW, accepted=True
        )

    def request(index: int) -> None:
        data = transparent_simulation.packet(
            flow_of(index % flow_count),
            transparent_simulation.ACK,
            data=b"x" * 900,
        )
        segment = packets.decode(data, from_target=False)
        assert segment is not None
        forward = messages.Forward("core", False, data)
        for action in node.handle_forward(
            "10.0.0.1", forward, segment, now=NOW
        ):
            if isinstance(action, messages.Deliver):
                packets.with_tag(action.data, action.tag)

    request_us = time_us(request)
    started = time.process_time()
    node.announce(now=NOW)
    announcement_us = (time.process_time() - started) * 1e6
    print(
        f"agent, {flow_count:6} flows: request {request_us:6.1f} us, "
        f"announcement {announcement_us:9.1f} us"
    )


def hash_imbalance(flows: int, target_count: int) -> float:
    """Returns maximum over mean of flows if a hash selects the targets."""
    counts = [0] * target_count
    for number in range(flows):
        best = max(
            range(target_count),
            key=lambda target: zlib.crc32(b"%d/%d" % (number, target)),
        )
        counts[best] += 1
    return max(counts) * target_count / flows


def simulated_imbalance(
    flows: int, target_count: int, interval_s: float
) -> float:
    """Returns maximum over mean of flows in a simulated deployment.

    Args:
        flows: Number of flows to open.
        target_count: Number of targets, all alike.
        interval_s: Seconds between two openings.
    """
    simulation = transparent_simulation.Simulation()
    for number in range(target_count):
        simulation.start_vm(
            address_of(number + 1), data_centre="abc"[number % 3]
        )
    for number in range(6):
        simulation.start_balancer(
            f"10.0.0.{number + 1}", data_centre="abc"[number % 3]
        )
    simulation.run(1.0)
    for _ in range(flows):
        simulation.open_flow()
        simulation.run(interval_s)
    simulation.run(2.0)
    counts = [
        len(vm.target.flows)
        for vm in simulation.vm_by_address.values()
        if vm.target is not None
    ]
    return max(counts) * target_count / sum(counts)


def measure_imbalance() -> None:
    """Prints how evenly flows are spread at present deployment sizes."""
    for flows, target_count in ((40, 7), (300, 7), (24, 3), (40, 4)):
        print(
            f"{flows} flows on {target_count} targets, highest over mean: "
            f"hash {hash_imbalance(flows, target_count):.2f}, "
            f"one by one "
            f"{simulated_imbalance(flows, target_count, 0.01):.2f}, "
            f"all at once {simulated_imbalance(flows, target_count, 0.0):.2f}"
        )


def start_ms(code: str) -> float:
    """Returns the lowest processor time of a process in milliseconds."""
    times_s = []
    for _ in range(ROUNDS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run([sys.executable, "-S", "-c", code], check=True)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        times_s.append(
            after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        )
    return 1000 * min(times_s)


def measure_starts(label: str, package: str) -> None:
    """Prints the processor time to start and import programs and libraries.

    Args:
        label: Whether the package is compiled, for the text.
        package: Directory that holds the package.
    """
    site = next(path for path in sys.path if path.endswith("site-packages"))
    for name in (
        "sys",
        "json",
        "httptools",
        "attrs",
        "godwitturn.platform.balancer",
        "godwitturn.platform.agent",
    ):
        code = f"import sys; sys.path[:0] = {[package, site]!r}; import {name}"
        print(f"start and import {name}, {label}: {start_ms(code):.0f} ms")


def main() -> None:
    """Prints all figures."""
    for agent_count in AGENT_COUNTS:
        measure_balancer(agent_count)
    for flow_count in FLOW_COUNTS:
        measure_agent(flow_count)
    measure_imbalance()
    with tempfile.TemporaryDirectory() as directory:
        bytecode.build(pathlib.Path(directory))
        measure_starts("sources", str(pathlib.Path.cwd()))
        measure_starts("compiled", directory)


if __name__ == "__main__":
    main()
