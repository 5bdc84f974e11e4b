"""Cost and memory over the count of open flows.

Run as ``python -m benchmarks.bench_flows``. The first table drives the agent
core in this process; the second a whole balancer and agent on loopback. The
baseline of each ratio is the smallest count of the same run. Idle flows must
cost nothing, and the balancer's memory must not depend on them.
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
OPEN_GROUP = 20_000
AGENT_ID = 99
BALANCER_ID = 1
PAIR_KEY = b"p" * 32
TOKEN_KEY = tokens.TokenKey(1, rig.SERVICE.service_id, b"k" * 32)
BALANCER = addresses.Address("127.0.0.1", 5000)
CALLER = addresses.Address("127.0.0.1", 6000)
POLICY = policies.AgentPolicy(
    3, True, False, False, 4_000_000, 1, 0.1, 0.0, {BALANCER_ID: PAIR_KEY}
)
TICK_S = 0.1


@attrs.define
class Collections:
    """Pauses of the garbage collector, in seconds, while it is watched."""

    pauses_s: list[float] = attrs.field(factory=list)
    _started: float = 0.0

    def __call__(self, phase: str, info: dict[str, int]) -> None:
        """Notes the start or the end of a collection."""
        if phase == "start":
            self._started = time.perf_counter()
            return
        self.pauses_s.append(time.perf_counter() - self._started)

    def __enter__(self) -> "Collections":
        gc.callbacks.append(self)
        return self

    def __exit__(self, *_: object) -> None:
        gc.callbacks.remove(self)


class Core:
    """An agent core with flows, and a clock that only this class moves."""

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
        event = actions.BalancerDatagram(BALANCER, _delivered(data))
        return self.agent.handle(event, now=self.now)

    def open(self, count: int) -> None:
        """Opens and confirms flows until there are so many."""
        first = len(self.token_by_flow)
        for flow_id in range(first, count):
            # Spread over time, as flows of a day are.
            self.now += 1e-4
            self._accept(flow_id)
            self._handle(self.keepalive(flow_id))

    def _accept(self, flow_id: int) -> None:
        (action,) = self._handle(rig.opening(flow_id))
        assert isinstance(action, actions.SendToBalancer)
        message = encapsulation.decode(action.data, {AGENT_ID: PAIR_KEY})
        assert message is not None
        accept = packets.decode(message.packet)
        assert accept is not None and accept.kind == packets.Kind.ACCEPT
        self.token_by_flow[flow_id] = accept.token

    def keepalive(self, flow_id: int) -> bytes:
        """Returns a packet of an open flow."""
        return packets.encode(
            packets.Packet(
                packets.Kind.KEEPALIVE,
                rig.SERVICE.service_id,
                flow_id,
                self.token_by_flow[flow_id],
            )
        )

    def packet_us(self) -> float:
        """Returns the time of one established packet."""
        count = len(self.token_by_flow)
        step = max(1, count // CORE_PACKETS)
        flow_ids = [n * step % count for n in range(CORE_PACKETS)]
        events = [
            actions.BalancerDatagram(BALANCER, _delivered(self.keepalive(f)))
            for f in flow_ids
        ]
        started = time.process_time()
        for event in events:
            self.agent.handle(event, now=self.now)
        return (time.process_time() - started) / len(events) * 1e6

    def worst_tick_s(self) -> float:
        """Returns the longest tick until every flow's timer was seen."""
        worst_s = 0.0
        end = self.now + 60.0
        while self.now < end:
            self.now += TICK_S
            started = time.perf_counter()
            self.agent.handle(actions.Tick(), now=self.now)
            worst_s = max(worst_s, time.perf_counter() - started)
        return worst_s


def _delivered(data: bytes) -> bytes:
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
    """Returns the figures of the agent core.

    Args:
        collector: How the garbage collector is set, for the title.
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
    core = Core()
    base = 0.0
    for count in COUNTS:
        with Collections() as found:
            started = time.perf_counter()
            core.open(count)
            taken_s = time.perf_counter() - started
        costs = [core.packet_us() for _ in range(ROUNDS)]
        cost = statistics.median(costs)
        base = base or cost
        worst_tick_s = core.worst_tick_s()
        rows.append(
            [
                f"{count:,}",
                f"{cost / base:.2f}",
                f"{cost:.1f}",
                f"{min(costs):.1f}-{max(costs):.1f}",
                f"{worst_tick_s * 1e3:.1f}",
                f"{sum(found.pauses_s) / taken_s * 100:.1f}",
                f"{max(found.pauses_s, default=0.0) * 1e3:.1f}",
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
    found: system.System, caller: rig.Caller, names: list[str]
) -> DaemonCost:
    flow_ids = list(caller.token_by_flow)
    step = max(1, len(flow_ids) // DAEMON_PACKETS)
    datagrams = [
        caller.keepalive(flow_ids[n * step % len(flow_ids)])
        for n in range(DAEMON_PACKETS)
    ]
    before = [rig.usage(found, name) for name in names]
    caller.exchange(datagrams)
    spent = [
        (rig.usage(found, name).processor_s - early.processor_s) * 1e6
        for name, early in zip(names, before, strict=True)
    ]
    # A packet crosses the balancer twice, there and back.
    return DaemonCost(spent[0] / DAEMON_PACKETS / 2, spent[1] / DAEMON_PACKETS)


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
    "worst answer ms",
    "balancer MB",
    "agent MB",
    "agent B/flow",
]


def daemon_table() -> list[list[str]]:
    """Returns the figures of whole daemons."""
    rows = [DAEMON_TITLES]
    with rig.running(rig.deployment(1, 1)) as found:
        names = [found.balancers[0].name, f"{found.targets[0].name}-agent"]
        caller = rig.caller(found)
        empty = rig.usage(found, names[1]).unique
        base = None
        for count in COUNTS:
            caller.slowest_s = 0.0
            while missing := count - len(caller.token_by_flow):
                caller.open(min(missing, OPEN_GROUP))
            slowest_s = caller.slowest_s
            costs = [
                _daemon_cost(found, caller, names)
                for _ in range(DAEMON_ROUNDS)
            ]
            cost = _median_cost(costs)
            base = base or cost
            memory = [rig.usage(found, name).unique for name in names]
            rows.append(
                [
                    f"{count:,}",
                    f"{cost.balancer_us / base.balancer_us:.2f}",
                    f"{cost.balancer_us:.1f}",
                    _spread([c.balancer_us for c in costs]),
                    f"{cost.agent_us / base.agent_us:.2f}",
                    f"{cost.agent_us:.1f}",
                    _spread([c.agent_us for c in costs]),
                    f"{slowest_s * 1e3:.0f}",
                    f"{memory[0] / 2**20:.1f}",
                    f"{memory[1] / 2**20:.1f}",
                    f"{(memory[1] - empty) / count:.0f}",
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
