"""Simulation of balancers that choose among targets by stale information.

It drives `targets.TargetTable` and `service_load.ServiceLoad` of many
balancers. Agents announce at the product's interval, and list each new flow to
the balancers of the data centre of the balancer that sent it. Targets run
requests in the order of arrival, queue four for each slot and shed the rest.
Clients retry a shed request twice at once.
"""

import collections
import functools
import random

import attrs

from godwitturn.core import store_position
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import service_load
from godwitturn.core.transparent import targets
from godwitturn.standins import simulated_time

SERVICE = "core"
CLIENT_DELAY_S = 0.003
LOCAL_DELAY_S = 0.0005
QUEUE_PER_SLOT = 4
# Clients repeat an opening after this time.
REPEAT_S = 0.2
RETRIES = 2
MAX_TRIES = 4
TICK_S = 0.1


@attrs.frozen
class Deployment:
    """Size and load of a simulated deployment.

    Attributes:
        balancers: Number of balancers.
        targets: Number of targets of the service.
        agents: Number of agents of all services.
        data_centres: Number of data centres.
        utilisation: Requests as a share of what the slots can answer.
        slots: Slots of each target.
        speeds: Speeds of the targets, in turn.
        service_s: Shortest and longest time of a request at speed 1.
        delay_s: One-way delay between data centres.
        interval_factor: Factor of the interval of announcements and of the
            delay of listed flows.
        objective_s: Objective of the requests.
        spread: Whether targets are drawn by predicted backlogs.
    """

    balancers: int = 21
    targets: int = 45
    agents: int = 56
    data_centres: int = 4
    utilisation: float = 0.58
    slots: int = 1
    speeds: tuple[float, ...] = (1.0,)
    service_s: tuple[float, float] = (0.030, 0.039)
    delay_s: float = 0.0034
    interval_factor: float = 1.0
    objective_s: float = 0.302
    spread: bool = True


@attrs.define(eq=False)
class Request:
    """A client's request.

    Attributes:
        started_at: When the client sent its first opening.
        work_s: Time that it takes at speed 1.
        opened_at: When the current flow's opening was sent.
        attempt: Number of the attempt, counted from 0.
        answered_at: When the client got the answer.
    """

    started_at: float
    work_s: float
    opened_at: float = 0.0
    attempt: int = 0
    answered_at: float | None = None


@attrs.define(eq=False)
class SimulatedTarget:
    """A target with its agent.

    Attributes:
        address: Its address.
        data_centre: Its data centre.
        slots: Requests that it runs at once.
        speed: Its speed.
        service_s: Mean time of a request, as its agent announces.
        run_id: Number of its start.
        down: Whether it is without power.
        opened: Openings delivered whose request hasn't arrived.
        running: Requests that occupy a slot.
        queue: Requests that wait for one.
        openings: Openings admitted in this run.
        sequence: Number of announcements.
        started_s_by_second: Work of the requests started, by second.
        busy_s_by_second: Time for which slots were occupied, by second.
    """

    address: str
    data_centre: str
    slots: int
    speed: float
    service_s: float
    run_id: int = 1
    down: bool = False
    opened: int = 0
    running: int = 0
    queue: collections.deque[Request] = attrs.field(factory=collections.deque)
    openings: int = 0
    sequence: int = 0
    started_s_by_second: dict[int, float] = attrs.field(factory=dict)
    busy_s_by_second: dict[int, float] = attrs.field(factory=dict)

    def record_busy(self, start: float, end: float) -> None:
        """Adds the time for which a request occupied a slot."""
        busy_s = self.busy_s_by_second
        while start < end:
            second = int(start)
            part_s = min(end, second + 1) - start
            busy_s[second] = busy_s.get(second, 0.0) + part_s
            start = second + 1

    def wait_ms(self) -> int:
        """Returns the expected wait, as the agents announce it."""
        work = self.opened + self.running + len(self.queue)
        if work < self.slots:
            return 0
        wait_s = (work - self.slots + 0.5) * self.service_s / self.slots
        return round(1000 * wait_s)


@attrs.define(eq=False)
class SimulatedBalancer:
    """A balancer.

    Attributes:
        data_centre: Its data centre.
        table: Its targets.
        load: Load of the service.
    """

    data_centre: str
    table: targets.TargetTable = attrs.field(factory=targets.TargetTable)
    load: service_load.ServiceLoad = attrs.field(
        factory=service_load.ServiceLoad
    )


class Simulation(simulated_time.SimulatedTime):
    """A deployment in simulated time.

    Attributes:
        deployment: Its size and load.
        balancers: The balancers.
        targets: The targets.
        requests: All requests.
        sheds: Number of requests shed.
        lost_data_centre: The data centre without power, if any.
    """

    def __init__(self, deployment: Deployment, *, seed: int = 1) -> None:
        super().__init__(0.0)
        self.deployment = deployment
        self.random = random.Random(seed)
        self.sheds = 0
        self.crossings = 0
        self.requests: list[Request] = []
        self.lost_data_centre = ""
        names = "abcdefgh"[: deployment.data_centres]
        self.balancers = [
            SimulatedBalancer(names[number % len(names)])
            for number in range(deployment.balancers)
        ]
        mean_s = sum(deployment.service_s) / 2
        self.targets = []
        for number in range(deployment.targets):
            speed = deployment.speeds[
                number // len(names) % len(deployment.speeds)
            ]
            self.targets.append(
                SimulatedTarget(
                    f"10.1.{number // 256}.{number % 256}",
                    names[number % len(names)],
                    deployment.slots,
                    speed,
                    mean_s / speed,
                )
            )
        self.by_address = {each.address: each for each in self.targets}
        capacity = sum(each.slots * each.speed for each in self.targets)
        self.rate_per_s = deployment.utilisation * capacity / mean_s
        self.interval_s = deployment.interval_factor * (
            pacing.announcement_interval_s(deployment.agents)
        )
        for target in self.targets:
            self._announce(target, again=False)
            delay_s = self.random.uniform(0, self.interval_s)
            self.call_later(delay_s, functools.partial(self._announce, target))
        self._tick()
        self._arrive()

    def delay_s(self, first: str, second: str) -> float:
        """Returns the one-way delay between two data centres."""
        if first == second:
            return LOCAL_DELAY_S
        return self.deployment.delay_s

    # Faults

    def lose(self, data_centre: str) -> None:
        """Cuts the power of a data centre."""
        self.lost_data_centre = data_centre
        for target in self.targets:
            if target.data_centre == data_centre:
                target.down = True
                target.run_id += 1
                target.opened = target.running = target.openings = 0
                target.queue.clear()

    def restore(self) -> None:
        """Restores the power."""
        for target in self.targets:
            if target.down:
                target.down = False
                self._announce(target, again=False)
        self.lost_data_centre = ""

    # Agents

    def _announce(
        self, target: SimulatedTarget, *, again: bool = True
    ) -> None:
        if again:
            delay_s = self.interval_s * self.random.uniform(0.95, 1.05)
            self.call_later(delay_s, lambda: self._announce(target))
        if target.down:
            return
        target.sequence += 1
        announcement = messages.Announcement(
            node=target.address,
            service=SERVICE,
            data_centre=target.data_centre,
            run_id=target.run_id,
            sequence=target.sequence,
            incarnation=f"{target.address}/{target.run_id}",
            state=messages.TargetState.READY,
            slots=target.slots,
            flows=target.opened + target.running + len(target.queue),
            work=target.running + len(target.queue),
            cold_ms=0,
            balancers=(),
            position=store_position.UNREAD,
            service_us=round(1e6 * target.service_s),
            openings=target.openings,
            wait_ms=target.wait_ms(),
            short_flows=True,
        )
        for balancer in self.balancers:
            self.call_later(
                self.delay_s(balancer.data_centre, target.data_centre),
                functools.partial(
                    self._apply, balancer, target.address, announcement
                ),
            )

    # Balancers

    def _apply(
        self,
        balancer: SimulatedBalancer,
        address: str,
        announcement: messages.Announcement,
    ) -> None:
        balancer.table.apply_announcement(address, announcement, now=self.now)

    def _tick(self) -> None:
        self.call_later(TICK_S, self._tick)
        for balancer in self.balancers:
            balancer.load.update(
                balancer.table.targets_of(SERVICE),
                data_centre=balancer.data_centre,
                closed_data_centres=frozenset(),
                agents=self.deployment.agents,
                now=self.now,
            )

    def _arrive(self) -> None:
        self.call_later(self.random.expovariate(self.rate_per_s), self._arrive)
        work_s = self.random.uniform(*self.deployment.service_s)
        request = Request(self.now, work_s)
        self.requests.append(request)
        self._open(request)

    def _open(self, request: Request) -> None:
        """Opens a flow for a request at one of the balancers."""
        balancer = self.random.choice(self.balancers)
        while balancer.data_centre == self.lost_data_centre:
            balancer = self.random.choice(self.balancers)
        request.opened_at = self.now
        flow_hash = self.random.getrandbits(32)
        self.call_later(
            CLIENT_DELAY_S,
            lambda: self._offer(balancer, request, flow_hash, frozenset()),
        )

    def _offer(
        self,
        balancer: SimulatedBalancer,
        request: Request,
        flow_hash: int,
        tried: frozenset[str],
    ) -> None:
        if balancer.data_centre == self.lost_data_centre:
            return
        if not tried:
            balancer.load.record_asked()
        spread = self.deployment.spread and balancer.load.spreading
        placement = balancer.table.place(
            targets.TargetRequest(
                service=SERVICE,
                data_centre=balancer.data_centre,
                closed_data_centres=frozenset(),
                max_flows=2000,
                excluded=tried,
                flow_hash=flow_hash,
                fleet=balancer.load.fleet if spread else None,
                objective_s=self.deployment.objective_s,
            ),
            now=self.now,
        )
        if placement is None:
            return
        target = self.by_address[placement.target.address]
        delay_s = self.delay_s(balancer.data_centre, target.data_centre)
        self.crossings += balancer.data_centre != target.data_centre
        sent_at = self.now

        def deliver() -> None:
            if target.down:
                if len(tried) + 1 < MAX_TRIES:
                    self.call_later(
                        REPEAT_S,
                        lambda: self._offer(
                            balancer,
                            request,
                            flow_hash,
                            tried | {target.address},
                        ),
                    )
                return
            target.opened += 1
            target.openings += 1
            wait_ms = target.wait_ms()
            run_id = target.run_id
            for peer in self.balancers:
                if peer.data_centre == balancer.data_centre:
                    self.call_later(
                        delay_s * self.deployment.interval_factor,
                        functools.partial(
                            self._report,
                            peer,
                            target,
                            wait_ms,
                            peer is balancer,
                            sent_at,
                        ),
                    )
            round_trip_s = 2 * (delay_s + CLIENT_DELAY_S)
            self.call_later(
                round_trip_s, lambda: self._request(target, run_id, request)
            )

        self.call_later(delay_s, deliver)

    def _report(
        self,
        balancer: SimulatedBalancer,
        target: SimulatedTarget,
        wait_ms: int,
        own: bool,
        sent_at: float,
    ) -> None:
        """Handles the report of a new flow at a balancer."""
        balancer.table.record_seen(target.address, now=self.now)
        known = balancer.table.target_by_address[target.address]
        if own:
            known.load_information.record_reply(sent_at, admitted=True)
            balancer.load.record_reply(self.now - sent_at)
        else:
            known.load_information.record_listed()
            balancer.load.record_asked()
        known.load_information.record_wait(
            wait_ms / 1000,
            now=self.now,
            delay_s=balancer.load.delay_s,
            opened=True,
        )

    # Targets

    def _request(
        self, target: SimulatedTarget, run_id: int, request: Request
    ) -> None:
        if target.run_id != run_id:
            return
        target.opened -= 1
        if target.running < target.slots:
            self._start(target, request)
        elif len(target.queue) < QUEUE_PER_SLOT * target.slots:
            target.queue.append(request)
        else:
            self.sheds += 1
            if request.attempt < RETRIES:
                request.attempt += 1
                self.call_later(CLIENT_DELAY_S, lambda: self._open(request))

    def _start(self, target: SimulatedTarget, request: Request) -> None:
        target.running += 1
        second = int(self.now)
        started_s = target.started_s_by_second
        started_s[second] = started_s.get(second, 0.0) + request.work_s
        started_at = self.now
        run_id = target.run_id

        def finish() -> None:
            if target.run_id != run_id:
                return
            target.running -= 1
            target.record_busy(started_at, self.now)
            request.answered_at = self.now + CLIENT_DELAY_S
            if target.queue:
                self._start(target, target.queue.popleft())

        self.call_later(request.work_s / target.speed, finish)

    # Results

    def shares(self, start: int, end: int) -> list[float]:
        """Returns the share answered within the objective, by second."""
        total = [0] * end
        good = [0] * end
        for request in self.requests:
            second = int(request.started_at)
            if second >= end:
                break
            total[second] += 1
            good[second] += (
                request.answered_at is not None
                and request.answered_at - request.started_at
                <= self.deployment.objective_s
            )
        return [
            good[second] / max(1, total[second])
            for second in range(start, end)
        ]

    def imbalances(self, start: int, end: int) -> list[float]:
        """Returns the highest over the mean load of targets, by second.

        The load is the work that a target does in the second, divided by its
        capacity: the share of the second for which its slots are occupied.
        """
        results = []
        for second in range(start, end):
            loads = [
                each.busy_s_by_second.get(second, 0.0) / each.slots
                for each in self.targets
                if not each.down
            ]
            results.append(max(loads) * len(loads) / sum(loads))
        return results
