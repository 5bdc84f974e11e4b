"""Measures cost and memory over the number of open flows.

Run as ``python -m benchmarks.bench_flows``. The first two tables measure the
agent core in this process, with the default and with the tuned garbage
collector; the third one measures a balancer and an agent as processes on
loopback. The baseline of each ratio is the smallest number of flows in the
same table. Idle flows must cost no processor time, and the balancer's memory
must not depend on them.
"""

import gc
import statistics
import time

import attrs

from benchmarks import measure
from benchmarks import rig
from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import agent
from godwitturn.core import policy as policies
from godwitturn.core import token as tokens
from godwitturn.daemons import runtime
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.standins import system

COUNTS = (1_000, 10_000, 100_000, 500_000)
ROUNDS = 7
CORE_PACKETS = 5_000
DAEMON_PACKETS = 20_000
DAEMON_ROUNDS = 3
OPENINGS_PER_BATCH = 20_000
AGENT_ID = 99
BALANCER_ID = 1
PAIR_KEY = b"p" * 32
TOKEN_KEY = tokens.TokenKey(1, rig.SERVICE.service_id, b"k" * 32)
BALANCER = addresses.Address("127.0.0.1", 5000)
CALLER = addresses.Address("127.0.0.1", 6000)
POLICY = policies.AgentPolicy(
    3, True, False, False, 4_000_000, 1, 0.1, 0.0, {BALANCER_ID: PAIR_KEY}
)
TICK_INTERVAL_S = 0.1


@attrs.define
class CollectorPauses:
    """Records the pauses of the garbage collector within its context.

    Attributes:
        pauses_s: Duration of each collection in seconds.
    """

    pauses_s: list[float] = attrs.field(factory=list)
    _started: float = 0.0

    def __call__(self, phase: str, info: dict[str, int]) -> None:
        """Records the start or the end of a collection, as a `gc` callback."""
        if phase == "start":
            self._started = time.perf_counter()
            return
        self.pauses_s.append(time.perf_counter() - self._started)

    def __enter__(self) -> "CollectorPauses":
        gc.callbacks.append(self)
        return self

    def __exit__(self, *_: object) -> None:
        gc.callbacks.remove(self)


class AgentCore:
    """An agent core with open flows and a simulated clock."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.token_by_flow: dict[int, bytes] = {}
        self.agent = agent.Agent(
            member_id=AGENT_ID,
            service_id=rig.SERVICE.service_id,
            token_keys=[TOKEN_KEY],
            incarnation=5,
            idle_seconds=900.0,
        )
        self.agent.handle(actions.PolicyChanged(POLICY), now=self.now)
        self.agent.handle(actions.FenceChanged(False), now=self.now)

    def _handle(self, data: bytes) -> list[actions.AgentAction]:
        event = actions.BalancerDatagram(BALANCER, _encode_delivery(data))
        return self.agent.handle(event, now=self.now)

    def open_flows(self, count: int) -> None:
        """Opens and confirms flows until `count` are open."""
        first = len(self.token_by_flow)
        for flow_id in range(first, count):
            # Spreads the openings over time, as in production.
            self.now += 1e-4
            self._open_flow(flow_id)
            self._handle(self.keepalive(flow_id))

    def _open_flow(self, flow_id: int) -> None:
        (action,) = self._handle(rig.opening(flow_id))
        assert isinstance(action, actions.SendToBalancer)
        message = encapsulation.decode(action.data, {AGENT_ID: PAIR_KEY})
        assert message is not None
        accept = packets.decode(message.packet)
        assert accept is not None and accept.kind == packets.Kind.ACCEPT
        self.token_by_flow[flow_id] = accept.token

    def keepalive(self, flow_id: int) -> bytes:
        """Returns a keepalive packet of an open flow."""
        return packets.encode(
            packets.Packet(
                packets.Kind.KEEPALIVE,
                rig.SERVICE.service_id,
                flow_id,
                self.token_by_flow[flow_id],
            )
        )

    def packet_us(self) -> float:
        """Returns the mean processor time of an established packet in us."""
        count = len(self.token_by_flow)
        stride = max(1, count // CORE_PACKETS)
        flow_ids = [n * stride % count for n in range(CORE_PACKETS)]
        events = [
            actions.BalancerDatagram(
                BALANCER, _encode_delivery(self.keepalive(flow_id))
            )
            for flow_id in flow_ids
        ]
        started = time.process_time()
        for event in events:
            self.agent.handle(event, now=self.now)
        return (time.process_time() - started) / len(events) * 1e6

    def worst_tick_s(self) -> float:
        """Returns the longest time of a tick.

        The 60 s are long enough for each flow's timer to be checked.
        """
        worst_s = 0.0
        end = self.now + 60.0
        while self.now < end:
            self.now += TICK_INTERVAL_S
            started = time.perf_counter()
            self.agent.handle(actions.Tick(), now=self.now)
            worst_s = max(worst_s, time.perf_counter() - started)
        return worst_s


def _encode_delivery(data: bytes) -> bytes:
    message = encapsulation.Message(
        encapsulation.Kind.DELIVER,
        BALANCER_ID,
        AGENT_ID,
        POLICY.version,
        CALLER,
        data,
    )
    return encapsulation.encode(message, PAIR_KEY)


def _full_collection_s() -> float:
    started = time.perf_counter()
    gc.collect()
    return time.perf_counter() - started


def core_table(collector: str) -> list[list[str]]:
    """Measures the agent core; returns the rows of a table.

    Args:
        collector: Mode of the garbage collector, for the title.
    """
    rows = [
        [
            f"agent core, {collector} gc, flows",
            "ratio",
            "us/packet",
            "spread",
            "worst tick ms",
            "gc share %",
            "worst gc ms",
            "full gc ms",
        ]
    ]
    core = AgentCore()
    base_us = 0.0
    for count in COUNTS:
        with CollectorPauses() as pauses:
            started = time.perf_counter()
            core.open_flows(count)
            elapsed_s = time.perf_counter() - started
        costs_us = [core.packet_us() for _ in range(ROUNDS)]
        cost_us = statistics.median(costs_us)
        base_us = base_us or cost_us
        worst_tick_s = core.worst_tick_s()
        rows.append(
            [
                f"{count:,}",
                f"{cost_us / base_us:.2f}",
                f"{cost_us:.1f}",
                f"{min(costs_us):.1f}-{max(costs_us):.1f}",
                f"{worst_tick_s * 1e3:.1f}",
                f"{sum(pauses.pauses_s) / elapsed_s * 100:.1f}",
                f"{max(pauses.pauses_s, default=0.0) * 1e3:.1f}",
                f"{_full_collection_s() * 1e3:.1f}",
            ]
        )
    return rows


@attrs.frozen
class DaemonCost:
    """Cost of a packet in both daemons, in microseconds."""

    balancer_us: float
    agent_us: float


def _daemon_cost(
    running: system.System, caller: rig.Caller, names: list[str]
) -> DaemonCost:
    flow_ids = list(caller.token_by_flow)
    stride = max(1, len(flow_ids) // DAEMON_PACKETS)
    datagrams = [
        caller.keepalive(flow_ids[n * stride % len(flow_ids)])
        for n in range(DAEMON_PACKETS)
    ]
    before = [rig.usage(running, name) for name in names]
    caller.exchange(datagrams)
    spent_us = [
        (rig.usage(running, name).processor_s - earlier.processor_s) * 1e6
        for name, earlier in zip(names, before, strict=True)
    ]
    # A packet passes the balancer twice, there and back.
    return DaemonCost(
        spent_us[0] / DAEMON_PACKETS / 2, spent_us[1] / DAEMON_PACKETS
    )


def _median_cost(costs: list[DaemonCost]) -> DaemonCost:
    return DaemonCost(
        statistics.median(cost.balancer_us for cost in costs),
        statistics.median(cost.agent_us for cost in costs),
    )


def _spread(costs: list[float]) -> str:
    return f"{min(costs):.1f}-{max(costs):.1f}"


DAEMON_TITLES = [
    "daemons, flows",
    "balancer ratio",
    "us/packet",
    "spread",
    "agent ratio",
    "us/packet",
    "spread",
    "longest answer gap ms",
    "balancer MB",
    "agent MB",
    "agent B/flow",
]


def daemon_table() -> list[list[str]]:
    """Measures daemons as processes; returns the rows of a table."""
    rows = [DAEMON_TITLES]
    with rig.start_system(rig.make_deployment(1, 1)) as running:
        names = [running.balancers[0].name, f"{running.targets[0].name}-agent"]
        caller = rig.connect_caller(running)
        bytes_without_flows = rig.usage(running, names[1]).unique_bytes
        base_cost = None
        for count in COUNTS:
            caller.longest_gap_s = 0.0
            while missing := count - len(caller.token_by_flow):
                caller.open_flows(min(missing, OPENINGS_PER_BATCH))
            longest_gap_s = caller.longest_gap_s
            costs = [
                _daemon_cost(running, caller, names)
                for _ in range(DAEMON_ROUNDS)
            ]
            cost = _median_cost(costs)
            base_cost = base_cost or cost
            memory_bytes = [
                rig.usage(running, name).unique_bytes for name in names
            ]
            rows.append(
                [
                    f"{count:,}",
                    f"{cost.balancer_us / base_cost.balancer_us:.2f}",
                    f"{cost.balancer_us:.1f}",
                    _spread([each.balancer_us for each in costs]),
                    f"{cost.agent_us / base_cost.agent_us:.2f}",
                    f"{cost.agent_us:.1f}",
                    _spread([each.agent_us for each in costs]),
                    f"{longest_gap_s * 1e3:.0f}",
                    f"{memory_bytes[0] / 2**20:.1f}",
                    f"{memory_bytes[1] / 2**20:.1f}",
                    f"{(memory_bytes[1] - bytes_without_flows) / count:.0f}",
                ]
            )
    return rows


def main() -> None:
    """Prints the tables: default collector, tuned collector, daemons."""
    measure.print_table(core_table("default"))
    gc.collect()
    runtime.tune_garbage_collector()
    print()
    measure.print_table(core_table("tuned"))
    print()
    measure.print_table(daemon_table())


if __name__ == "__main__":
    main()
