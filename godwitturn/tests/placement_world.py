"""Balancers, targets and sessions on simulated time, to measure imbalance."""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

import attrs

from godwitturn.core import actions
from godwitturn.core import balancer
from godwitturn.core import routing
from godwitturn.core import target_stats
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.tests import balancer_support as support

BALANCERS = 3
FLOWS = 300
REQUESTS = 4
PAUSE_S = 1.0
DELAY_S = 0.002
TICK_S = 0.1
END_S = 15.0
RETURN_S = 2.0
CLOSED_DATA_CENTRE = "dc1"


@attrs.frozen
class Size:
    """What one service runs on.

    Attributes:
        targets: Count of targets.
        slots: Requests that a target runs at once.
        data_centres: Count of data centres.
    """

    targets: int
    slots: int
    data_centres: int


@attrs.define(eq=False)
class SimulatedTarget:
    """A target with its agent, which accepts every opening.

    Attributes:
        target: As the balancers list it.
        requests_by_flow: Requests left of each flow that it holds.
        queue: Flows whose request waits for a slot.
        running: Requests that hold a slot.
        opened: Flows accepted so far.
        runs: Requests run so far.
    """

    target: routing.Target
    requests_by_flow: dict[int, int] = attrs.field(factory=dict)
    queue: collections.deque[int] = attrs.field(factory=collections.deque)
    running: int = 0
    accepted_flows: int = 0
    finished_requests: int = 0

    def load(self) -> target_stats.Load:
        return target_stats.Load(
            len(self.requests_by_flow),
            2000,
            self.running,
            len(self.queue),
            target_stats.FULL_CAPACITY,
        )


class Simulation:
    """One service under load; each balancer sees its own packets only.

    Attributes:
        now: Simulated seconds.
        host_by_id: Targets by member id.
    """

    def __init__(
        self, seed: int, size: Size, *, service_s: float, lag_s: float
    ) -> None:
        """Starts all balancers and plans the openings of one second.

        Args:
            seed: Of all choices.
            size: Of the service.
            service_s: Mean seconds that a request takes.
            lag_s: Longest time that a report takes beyond the network.
        """
        self.now = 0.0
        self._random = random.Random(seed)
        self._service_s = service_s
        self._lag_s = lag_s
        self._slots = size.slots
        self._number = itertools.count()
        self._due: list[tuple[float, int, Callable[..., None], Any]] = []
        self._arrival_by_path: dict[tuple[int, int], float] = {}
        member_ids = self._random.sample(range(1, 9000), size.targets)
        targets = [
            support.target(member_id, 1, f"dc{index % size.data_centres}")
            for index, member_id in enumerate(member_ids)
        ]
        self.target_by_id = {t.member_id: SimulatedTarget(t) for t in targets}
        self._table = routing.EMPTY_TABLE
        self._balancers: list[balancer.Balancer | None] = [None] * BALANCERS
        self._set_table(out=False)
        for index in range(BALANCERS):
            self.start_balancer(index)
        for _ in range(FLOWS):
            self.schedule(
                self._random.random() * PAUSE_S, self._open, REQUESTS
            )
        self.schedule(TICK_S, self._tick)

    def schedule(
        self, time: float, step: Callable[..., None], *args: Any
    ) -> None:
        """Plans a step."""
        heapq.heappush(self._due, (time, next(self._number), step, args))

    def start_balancer(self, index: int) -> None:
        """Starts or replaces a balancer; it has no evidence."""
        subject = balancer.Balancer(
            member_id=support.BALANCER_ID, token_keys=support.KEYS, seed=index
        )
        subject.handle(actions.RoutingChanged(self._table), now=self.now)
        subject.handle(actions.FenceChanged(False), now=self.now)
        self._balancers[index] = subject

    def kill_balancer(self, index: int) -> None:
        """Ends a balancer; answers on their way to it are lost."""
        self._balancers[index] = None

    def close_data_centre(self) -> None:
        """Takes a data centre out; its flows open again elsewhere."""
        self._set_table(out=True)
        for host in self.target_by_id.values():
            if host.target.data_centre == CLOSED_DATA_CENTRE:
                for left in host.requests_by_flow.values():
                    delay = self._random.random() * 0.05
                    self.schedule(self.now + delay, self._open, left)
                host.requests_by_flow.clear()
                host.queue.clear()

    def reopen_data_centre(self) -> None:
        """Takes the data centre back in."""
        self._set_table(out=False)

    def record_outdated_reports(self, age_s: float) -> None:
        """Gives balancers reports of flows that ended since.

        The first target, which drained before, has none.
        """
        share = FLOWS // len(self.target_by_id)
        for subject in self._balancers:
            assert subject is not None
            for member_id in list(self.target_by_id)[1:]:
                flows = self._random.randint(share * 4 // 5, share * 4 // 3)
                load = target_stats.Load(flows, 2000, 0, 0, 1000)
                subject.target_stats.record(member_id, load, self.now - age_s)

    def run(self) -> tuple[float, float]:
        """Returns the highest over the mean of flows and of requests run.

        Targets of a data centre that was taken out are left out.
        """
        was_out = self._run()
        hosts = [
            host
            for host in self.target_by_id.values()
            if not (was_out and host.target.data_centre == CLOSED_DATA_CENTRE)
        ]
        counts = (
            [host.accepted_flows for host in hosts],
            [host.finished_requests for host in hosts],
        )
        flows, runs = (max(c) * len(c) / sum(c) for c in counts)
        return flows, runs

    def _run(self) -> bool:
        was_out = False
        while self._due and self._due[0][0] <= END_S:
            self.now, _, step, args = heapq.heappop(self._due)
            step(*args)
            was_out = was_out or self._table.version > 1
        return was_out

    def _set_table(self, *, out: bool) -> None:
        self._table = attrs.evolve(
            support.table_of(
                *(
                    attrs.evolve(
                        host.target,
                        data_centre_out=out
                        and host.target.data_centre == CLOSED_DATA_CENTRE,
                    )
                    for host in self.target_by_id.values()
                ),
                version=self._table.version + 1,
            ),
            return_seconds=RETURN_S,
            balancer_count=BALANCERS,
        )
        for subject in self._balancers:
            if subject is not None:
                subject.handle(
                    actions.RoutingChanged(self._table), now=self.now
                )

    def _tick(self) -> None:
        for subject in self._balancers:
            if subject is not None:
                subject.handle(actions.Tick(), now=self.now)
        self.schedule(self.now + TICK_S, self._tick)

    def _network_s(self) -> float:
        delay = DELAY_S * (0.5 + self._random.random())
        return delay + self._random.random() * self._lag_s

    def _live(self) -> int:
        return self._random.choice(
            [i for i, found in enumerate(self._balancers) if found is not None]
        )

    def _open(self, requests: int) -> None:
        index = self._live()
        subject = self._balancers[index]
        assert subject is not None
        flow_id = self._random.getrandbits(64)
        opening = support.from_caller(support.opening(flow_id))
        message = support.agent_message(subject.handle(opening, now=self.now))
        assert message is not None
        self.schedule(
            self.now + self._network_s(),
            self._accept,
            message.destination,
            flow_id,
            index,
            requests,
        )

    def _accept(
        self, member_id: int, flow_id: int, index: int, requests: int
    ) -> None:
        if self._table.target_by_id[member_id].data_centre_out:
            self.schedule(self.now + 0.1, self._open, requests)
            return
        host = self.target_by_id[member_id]
        host.requests_by_flow[flow_id] = requests
        host.accepted_flows += 1
        self._report(host, flow_id, packets.Kind.ACCEPT, index)
        delay = self._network_s() + self._network_s()
        self.schedule(self.now + delay, self._request, host, flow_id)

    def _report(
        self,
        host: SimulatedTarget,
        flow_id: int,
        kind: packets.Kind,
        index: int,
    ) -> None:
        member_id = host.target.member_id
        token = support.sealed_token(member_id, flow_id)
        data = packets.encode(packets.Packet(kind, 1, flow_id, token))
        event = support.from_agent(
            host.target, encapsulation.Kind.RETURN, data, host.load()
        )
        # Reports keep their order between one agent and one balancer.
        path = member_id, index
        last = self._arrival_by_path.get(path, 0.0)
        arrival = max(last, self.now + self._network_s())
        self._arrival_by_path[path] = arrival
        subject = self._balancers[index]
        self.schedule(arrival, self._receive, index, subject, event)

    def _receive(
        self,
        index: int,
        subject: balancer.Balancer | None,
        event: actions.AgentDatagram,
    ) -> None:
        if subject is not None and self._balancers[index] is subject:
            subject.handle(event, now=self.now)

    def _request(self, host: SimulatedTarget, flow_id: int) -> None:
        if flow_id in host.requests_by_flow:
            host.queue.append(flow_id)
            self._start_requests(host)

    def _start_requests(self, host: SimulatedTarget) -> None:
        while host.queue and host.running < self._slots:
            host.running += 1
            flow_id = host.queue.popleft()
            taken = self._service_s * (0.7 + 0.6 * self._random.random())
            self.schedule(self.now + taken, self._finish, host, flow_id)

    def _finish(self, host: SimulatedTarget, flow_id: int) -> None:
        host.running -= 1
        host.finished_requests += 1
        self._start_requests(host)
        if flow_id not in host.requests_by_flow:
            return
        self._report(host, flow_id, packets.Kind.ANSWER, self._live())
        host.requests_by_flow[flow_id] -= 1
        pause = self._random.random() * 2 * PAUSE_S
        left = host.requests_by_flow[flow_id]
        step = self._request if left else self._close
        self.schedule(self.now + pause, step, host, flow_id)

    def _close(self, host: SimulatedTarget, flow_id: int) -> None:
        host.requests_by_flow.pop(flow_id, None)
