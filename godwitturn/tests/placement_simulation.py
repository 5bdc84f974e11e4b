"""Simulation that measures how evenly balancers distribute flows."""

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

BALANCER_COUNT = 3
FLOW_COUNT = 300
REQUESTS_PER_FLOW = 4
MEAN_PAUSE_S = 1.0
NETWORK_DELAY_S = 0.002
TICK_S = 0.1
END_S = 15.0
DATA_CENTRE_RETURN_S = 2.0
CLOSED_DATA_CENTRE = "dc1"


@attrs.frozen
class ServiceSize:
    """Size of a service.

    Attributes:
        targets: Number of targets.
        slots: Number of requests that a target runs at once.
        data_centres: Number of data centres.
    """

    targets: int
    slots: int
    data_centres: int


@attrs.define(eq=False)
class SimulatedTarget:
    """A target with its agent, which accepts every opening.

    Attributes:
        target: The target as in the routing table.
        requests_by_flow: Number of remaining requests of each open flow.
        queue: Flows whose request is queued for a slot.
        running: Number of requests that occupy a slot.
        accepted_flows: Number of flows accepted so far.
        finished_requests: Number of requests finished so far.
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
    """A service under load from many flows.

    A balancer receives load reports only with the replies that it forwards.

    Attributes:
        now: Simulated time in seconds.
        target_by_id: Targets by member id.
    """

    def __init__(
        self, seed: int, size: ServiceSize, *, service_s: float, lag_s: float
    ) -> None:
        """Starts all balancers; schedules all openings within a second.

        Args:
            seed: Seed of all random choices.
            size: Size of the service.
            service_s: Mean duration of a request in seconds.
            lag_s: Maximum delay in seconds of each message, in addition to
                the network's.
        """
        self.now = 0.0
        self._random = random.Random(seed)
        self._service_s = service_s
        self._lag_s = lag_s
        self._slots = size.slots
        self._sequence_numbers = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[..., None], Any]] = []
        self._arrival_by_path: dict[tuple[int, int], float] = {}
        member_ids = self._random.sample(range(1, 9000), size.targets)
        targets = [
            support.target(member_id, 1, f"dc{index % size.data_centres}")
            for index, member_id in enumerate(member_ids)
        ]
        self.target_by_id = {t.member_id: SimulatedTarget(t) for t in targets}
        self._table = routing.EMPTY_TABLE
        self._balancers: list[balancer.Balancer | None] = [
            None
        ] * BALANCER_COUNT
        self._set_table(out=False)
        for index in range(BALANCER_COUNT):
            self.start_balancer(index)
        for _ in range(FLOW_COUNT):
            self.schedule(
                self._random.random() * MEAN_PAUSE_S,
                self._open_flow,
                REQUESTS_PER_FLOW,
            )
        self.schedule(TICK_S, self._tick)

    def schedule(
        self, time: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedules a call at a simulated time in seconds."""
        heapq.heappush(
            self._scheduled,
            (time, next(self._sequence_numbers), callback, args),
        )

    def start_balancer(self, index: int) -> None:
        """Starts a balancer, which has no load reports yet.

        A running balancer with the same index is replaced.
        """
        node = balancer.Balancer(
            member_id=support.BALANCER_ID,
            token_keys=support.TOKEN_KEYS,
            seed=index,
        )
        node.handle(actions.RoutingChanged(self._table), now=self.now)
        node.handle(actions.FenceChanged(False), now=self.now)
        self._balancers[index] = node

    def kill_balancer(self, index: int) -> None:
        """Kills a balancer; replies in flight to it are lost."""
        self._balancers[index] = None

    def close_data_centre(self) -> None:
        """Takes a data centre out; clients reopen its flows elsewhere."""
        self._set_table(out=True)
        for simulated in self.target_by_id.values():
            if simulated.target.data_centre == CLOSED_DATA_CENTRE:
                for remaining in simulated.requests_by_flow.values():
                    delay_s = self._random.random() * 0.05
                    self.schedule(
                        self.now + delay_s, self._open_flow, remaining
                    )
                simulated.requests_by_flow.clear()
                simulated.queue.clear()

    def reopen_data_centre(self) -> None:
        """Returns the data centre to service."""
        self._set_table(out=False)

    def record_outdated_reports(self, age_s: float) -> None:
        """Records at all balancers load reports that count only ended flows.

        The first target has no report, as after a drain that has just ended.

        Args:
            age_s: Age of the reports in seconds.
        """
        flows_per_target = FLOW_COUNT // len(self.target_by_id)
        for node in self._balancers:
            assert node is not None
            for member_id in list(self.target_by_id)[1:]:
                flows = self._random.randint(
                    flows_per_target * 4 // 5, flows_per_target * 4 // 3
                )
                load = target_stats.Load(flows, 2000, 0, 0, 1000)
                node.target_stats.record(member_id, load, self.now - age_s)

    def run(self) -> tuple[float, float]:
        """Runs the simulation to its end.

        Returns:
            The ratio of the highest number per target to the mean, of flows
            and of requests. Targets of a data centre that was taken out are
            not counted.
        """
        was_out = self._run()
        simulated_targets = [
            simulated
            for simulated in self.target_by_id.values()
            if not (
                was_out and simulated.target.data_centre == CLOSED_DATA_CENTRE
            )
        ]
        counts = (
            [simulated.accepted_flows for simulated in simulated_targets],
            [simulated.finished_requests for simulated in simulated_targets],
        )
        flow_ratio, request_ratio = (max(c) * len(c) / sum(c) for c in counts)
        return flow_ratio, request_ratio

    def _run(self) -> bool:
        was_out = False
        while self._scheduled and self._scheduled[0][0] <= END_S:
            self.now, _, callback, args = heapq.heappop(self._scheduled)
            callback(*args)
            was_out = was_out or self._table.version > 1
        return was_out

    def _set_table(self, *, out: bool) -> None:
        self._table = attrs.evolve(
            support.table_of(
                *(
                    attrs.evolve(
                        simulated.target,
                        data_centre_out=out
                        and simulated.target.data_centre == CLOSED_DATA_CENTRE,
                    )
                    for simulated in self.target_by_id.values()
                ),
                version=self._table.version + 1,
            ),
            return_seconds=DATA_CENTRE_RETURN_S,
            balancer_count=BALANCER_COUNT,
        )
        for node in self._balancers:
            if node is not None:
                node.handle(actions.RoutingChanged(self._table), now=self.now)

    def _tick(self) -> None:
        for node in self._balancers:
            if node is not None:
                node.handle(actions.Tick(), now=self.now)
        self.schedule(self.now + TICK_S, self._tick)

    def _message_delay_s(self) -> float:
        delay_s = NETWORK_DELAY_S * (0.5 + self._random.random())
        return delay_s + self._random.random() * self._lag_s

    def _running_balancer_index(self) -> int:
        return self._random.choice(
            [i for i, item in enumerate(self._balancers) if item is not None]
        )

    def _open_flow(self, requests: int) -> None:
        index = self._running_balancer_index()
        node = self._balancers[index]
        assert node is not None
        flow_id = self._random.getrandbits(64)
        opening = support.from_caller(support.opening(flow_id))
        message = support.agent_message(node.handle(opening, now=self.now))
        assert message is not None
        self.schedule(
            self.now + self._message_delay_s(),
            self._accept_flow,
            message.destination,
            flow_id,
            index,
            requests,
        )

    def _accept_flow(
        self, member_id: int, flow_id: int, index: int, requests: int
    ) -> None:
        if self._table.target_by_id[member_id].data_centre_out:
            self.schedule(self.now + 0.1, self._open_flow, requests)
            return
        simulated = self.target_by_id[member_id]
        simulated.requests_by_flow[flow_id] = requests
        simulated.accepted_flows += 1
        self._send_reply(simulated, flow_id, packets.Kind.ACCEPT, index)
        delay_s = self._message_delay_s() + self._message_delay_s()
        self.schedule(
            self.now + delay_s, self._queue_request, simulated, flow_id
        )

    def _send_reply(
        self,
        simulated: SimulatedTarget,
        flow_id: int,
        kind: packets.Kind,
        index: int,
    ) -> None:
        member_id = simulated.target.member_id
        token = support.sealed_token(member_id, flow_id)
        data = packets.encode(packets.Packet(kind, 1, flow_id, token))
        event = support.from_agent(
            simulated.target, encapsulation.Kind.RETURN, data, simulated.load()
        )
        # Balancers receive the replies of the same agent in the order sent.
        path = member_id, index
        last_arrival = self._arrival_by_path.get(path, 0.0)
        arrival = max(last_arrival, self.now + self._message_delay_s())
        self._arrival_by_path[path] = arrival
        node = self._balancers[index]
        self.schedule(arrival, self._receive_reply, index, node, event)

    def _receive_reply(
        self,
        index: int,
        node: balancer.Balancer | None,
        event: actions.AgentDatagram,
    ) -> None:
        if node is not None and self._balancers[index] is node:
            node.handle(event, now=self.now)

    def _queue_request(self, simulated: SimulatedTarget, flow_id: int) -> None:
        if flow_id in simulated.requests_by_flow:
            simulated.queue.append(flow_id)
            self._start_requests(simulated)

    def _start_requests(self, simulated: SimulatedTarget) -> None:
        while simulated.queue and simulated.running < self._slots:
            simulated.running += 1
            flow_id = simulated.queue.popleft()
            duration_s = self._service_s * (0.7 + 0.6 * self._random.random())
            self.schedule(
                self.now + duration_s, self._finish_request, simulated, flow_id
            )

    def _finish_request(
        self, simulated: SimulatedTarget, flow_id: int
    ) -> None:
        simulated.running -= 1
        simulated.finished_requests += 1
        self._start_requests(simulated)
        if flow_id not in simulated.requests_by_flow:
            return
        self._send_reply(
            simulated,
            flow_id,
            packets.Kind.ANSWER,
            self._running_balancer_index(),
        )
        simulated.requests_by_flow[flow_id] -= 1
        pause_s = self._random.random() * 2 * MEAN_PAUSE_S
        remaining = simulated.requests_by_flow[flow_id]
        callback = self._queue_request if remaining else self._close_flow
        self.schedule(self.now + pause_s, callback, simulated, flow_id)

    def _close_flow(self, simulated: SimulatedTarget, flow_id: int) -> None:
        simulated.requests_by_flow.pop(flow_id, None)
