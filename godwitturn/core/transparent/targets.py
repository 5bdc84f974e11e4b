"""A balancer's table of targets, and the choice of a target."""

import collections
import zlib

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import placement

# An agent counts as silent after this time without messages. Agents announce
# four times a second, and two missed announcements in a row are unlikely to be
# mere datagram loss.
SILENT_S = 0.6
# An agent counts as lost after this time without messages, in which four
# announcements are missed. Requests have about a second to be answered, so a
# client that is reset later has no time left to try another target.
LOST_S = 1.2
# Probes of the VM of a silent agent. With one, a lost SYN would make a running
# VM count as lost. The answer to the second one arrives before `LOST_S`.
MAX_PROBES = 2
PROBE_INTERVAL_S = 0.25
# The same for an agent that has announced that it stops beside a living
# target, or whose VM runs without it. Restarts take up to 3 s, and a reset in
# that time would end an open flow. The rest is for the start of the process
# and the next hello: after a pause of 2.8 s, balancers heard the next run up
# to 3.1 s after the first announcement of the stop.
RESTART_S = 3.5
# An announcement that arrives within this time after an opening was sent may
# not include the opening. The one-way delay between data centres is a few
# milliseconds.
REPORT_DELAY_S = 0.03
# Time after an agent refused an opening during which other targets are
# preferred to that agent's target.
REFUSAL_PAUSE_S = 0.25
# Number of targets compared for one opening. The best of this many is about as
# good as the best of all, at a cost that doesn't grow with the service's size.
MAX_CANDIDATES = 24
# How many of them may belong to the balancer's data centre if targets are
# drawn by predicted backlog. The others serve in case its load spills over.
MAX_LOCAL_CANDIDATES = 16
# A target in the balancer's data centre is preferred if its load exceeds the
# least load by at most this share, because its packets cross no link between
# data centres. The share stays below the quarter by which loads may exceed
# their mean.
LOCAL_EXCESS = 0.1
# A target that joins has no flows, so it would get all openings at once. Its
# allowed share of openings grows to 1 within this time. Targets are slow for
# about two seconds after their start.
RAMP_S = 5.0
# Allowed share of openings of a target that has just joined, as a multiple of
# an even share.
FIRST_SHARE = 2.0
# Share of openings that may go to a failing target, so that its recovery is
# noticed, as a multiple of an even share.
TRIAL_SHARE = 0.25
# Largest share of a service's targets that may be avoided as failing. If more
# fail, the cause may be their load, and the rest couldn't handle all the work.
MAX_FAILING_SHARE = 1 / 3
# Flows added to the load of a cold target.
COLD_LOAD = 4.0
# Number of values of a CRC-32 checksum.
_HASH_VALUES = 2**32


@attrs.define(eq=False, repr=False)
class Target:
    """One target, identified by the address of its agent.

    Attributes:
        address: IP address of the agent.
        added_at: When the agent was added to the table, in seconds.
        service: Service of the target, empty until known.
        data_centre: Data centre of the target.
        registered: Whether the agent's entry is in the store.
        last_seen_at: When the agent's last message arrived, None before the
            first.
        announcement: The newest announcement, None before the first.
        known_state: Newest announced state of the target. A restarted agent
            announces an unknown state until the target's next heartbeat.
        probes: Number of probes of the VM since the agent's last message.
        probed_at: When the VM was last probed, in seconds.
        vm_running: Whether the VM has refused a connection since then, so
            that it runs and only the agent is away.
        ended_run_id: Run that announced its end and was followed by another
            one, None without one.
        incarnation: Identity of the target's newest announced start, empty
            before the first.
        joined_at: When that start was first announced.
        paused_until: Time until which other targets are preferred, in
            seconds.
        openings_sent_at: Send times of openings that the flows of the
            announcement may not include yet. Replies don't remove them, since
            a reply doesn't change the announced flows.
        load_information: What is known of the target's load and speed.
    """

    address: str
    added_at: float
    service: str = ""
    data_centre: str = ""
    registered: bool = False
    last_seen_at: float | None = None
    announcement: messages.Announcement | None = None
    known_state: messages.TargetState = messages.TargetState.UNKNOWN
    probes: int = 0
    probed_at: float = float("-inf")
    vm_running: bool = False
    ended_run_id: int | None = None
    incarnation: str = ""
    joined_at: float = float("-inf")
    paused_until: float = 0.0
    openings_sent_at: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=256)
    )
    load_information: placement.LoadInformation = attrs.field(
        factory=placement.LoadInformation
    )

    def silent_s(self, now: float) -> float:
        """Returns the seconds since the agent's last message.

        Before the first message, silence counts from when the agent was
        added.
        """
        if self.last_seen_at is None:
            return now - self.added_at
        return now - self.last_seen_at

    @property
    def restarting(self) -> bool:
        """Whether the agent's newest known run has announced its end."""
        return self.announcement is not None and self.announcement.restarting

    @property
    def restart_expected(self) -> bool:
        """Whether the agent is away while its VM runs."""
        return self.restarting or self.vm_running

    def record_seen(self, now: float) -> None:
        """Updates when the agent was last seen."""
        self.last_seen_at = now
        self.probes = 0
        self.vm_running = False

    def probe_due(self, now: float) -> bool:
        """Returns whether to check now if the VM of a silent agent runs.

        VMs of agents that were never seen aren't probed: after a loss of
        power of everything, resets would wait for agents that don't start.
        """
        return (
            self.probes < MAX_PROBES
            and not self.restart_expected
            and now - self.probed_at >= PROBE_INTERVAL_S
            and self.last_seen_at is not None
            and SILENT_S < self.silent_s(now) <= RESTART_S
        )

    def is_lost(self, now: float) -> bool:
        """Returns whether the agent has been silent for too long."""
        limit_s = RESTART_S if self.restart_expected else LOST_S
        return self.silent_s(now) > limit_s

    def is_awaited(self, now: float) -> bool:
        """Returns whether the agent is silent because it restarts."""
        return (
            self.restart_expected
            and self.silent_s(now) > SILENT_S
            and not self.is_lost(now)
        )

    def accepts_openings(self, *, max_flows: int, now: float) -> bool:
        """Returns whether the target may get openings at all."""
        return (
            self._has_room(max_flows)
            and not self.restart_expected
            and self.silent_s(now) <= LOST_S
        )

    def awaits_openings(self, *, max_flows: int, now: float) -> bool:
        """Returns whether the agent may get openings once it has restarted."""
        return (
            self._has_room(max_flows)
            and self.restart_expected
            and not self.is_lost(now)
        )

    def _has_room(self, max_flows: int) -> bool:
        return (
            self.announcement is not None
            and self.known_state
            in (messages.TargetState.READY, messages.TargetState.UNKNOWN)
            and self.announcement.flows < max_flows
        )

    def is_last_resort(self, now: float) -> bool:
        """Returns whether other targets are preferred, whatever their load."""
        return (
            self.silent_s(now) > SILENT_S
            or self.paused_until > now
            or self.announcement is None
            or self.announcement.state == messages.TargetState.UNKNOWN
        )

    def ramp(self, now: float) -> float:
        """Returns the target's allowed share of openings, up to 1."""
        return min(1.0, (now - self.joined_at) / RAMP_S)

    @property
    def failing(self) -> bool:
        """Whether the target fails many of its requests."""
        return self.announcement is not None and self.announcement.failing

    def load(self) -> float:
        """Returns the flows per slot.

        Openings not yet announced count as flows, and a cold target counts
        `COLD_LOAD` flows more.
        """
        if self.announcement is None:
            return 0.0
        cold = COLD_LOAD if self.announcement.cold_ms > 0 else 0.0
        flows = self.announcement.flows + len(self.openings_sent_at) + cold
        return flows / max(1, self.announcement.slots)


def _sample(
    targets: list[Target], flow_hash: int, count: int = MAX_CANDIDATES
) -> list[Target]:
    """Returns up to `count` targets, spread over the list."""
    if len(targets) <= count:
        return targets
    start = flow_hash % len(targets)
    stride = len(targets) / count
    return [
        targets[(start + int(number * stride)) % len(targets)]
        for number in range(count)
    ]


def _hash_fraction(flow_hash: int, address: str) -> float:
    """Returns a number from 0 to 1, fixed for a flow and a target."""
    return zlib.crc32(b"%d/%s" % (flow_hash, address.encode())) / _HASH_VALUES


def _limit_failing(
    targets: list[Target], flow_hash: int, *, median_s: float
) -> list[Target]:
    """Leaves out failing targets for most openings, unless many fail.

    Args:
        targets: The targets.
        flow_hash: Hash of the flow.
        median_s: Median time of a request in seconds, 0 if requests are not
            to be compared by it.
    """
    failing_addresses = {
        target.address
        for target in targets
        if target.failing or target.load_information.answers_too_soon(median_s)
    }
    failing = len(failing_addresses)
    max_failing = max(1, MAX_FAILING_SHARE * len(targets))
    if failing in (0, len(targets)) or failing > max_failing:
        return targets
    trial_share = TRIAL_SHARE / len(targets)
    return [
        target
        for target in targets
        if target.address not in failing_addresses
        or trial_share > _hash_fraction(flow_hash, target.address)
    ]


def _limit_starting(
    targets: list[Target], flow_hash: int, *, now: float
) -> list[Target]:
    """Leaves out targets that have just joined, for most openings.

    This is the slow start. Balancers choose at the same time and see each
    other's choices only later, so each balancer limits the share of openings
    of a target that has just joined. If all or none of the targets have, the
    list is returned as it is.
    """
    starting = sum(target.ramp(now) < 1.0 for target in targets)
    if starting in (0, len(targets)):
        return targets
    first_share = FIRST_SHARE / len(targets)
    return [
        target
        for target in targets
        if max(first_share, target.ramp(now))
        > _hash_fraction(flow_hash, target.address)
    ]


@attrs.define(frozen=True, repr=False)
class TargetRequest:
    """An opening's request for a target.

    Attributes:
        service: Service whose targets may get the opening.
        data_centre: Data centre of this balancer, whose targets are preferred.
        closed_data_centres: Data centres whose targets get no new flows.
        max_flows: Flows that one target may have open.
        excluded: Addresses of targets that must not get it, such as those that
            were tried already.
        flow_hash: Hash of the flow. It selects the targets to compare if there
            are many, lets failing and starting targets take part in their
            share of openings, and breaks ties.
        fleet: Load of the service if the target is to be drawn by predicted
            backlogs, None if it is to be the one with the least flows.
        objective_s: Time in seconds in which requests should be answered; only
            used with `fleet`.
    """

    service: str
    data_centre: str
    closed_data_centres: frozenset[str]
    max_flows: int
    excluded: frozenset[str]
    flow_hash: int
    fleet: placement.FleetLoad | None = None
    objective_s: float = 0.0

    def allows(self, target: Target) -> bool:
        """Returns whether a target may get the opening if it accepts any."""
        return (
            target.address not in self.excluded
            and target.data_centre not in self.closed_data_centres
        )


@attrs.define(eq=False, repr=False)
class Prediction:
    """Predicted load of a target.

    Attributes:
        backlog_s: Backlog in seconds that an opening would meet.
        ranked_s: The same with the work by which the target is ahead, as in
            `placement`.
        expected_s: That with the openings that aren't reported here.
        capacity_per_s: Openings that the target answers in a second.
    """

    backlog_s: float
    ranked_s: float
    expected_s: float
    capacity_per_s: float


def _predict(
    target: Target,
    fleet: placement.FleetLoad,
    *,
    added_s: float,
    now: float,
) -> Prediction:
    """Predicts the load of a target.

    Args:
        target: The target.
        fleet: Load of the service.
        added_s: Backlog in seconds added for a target of another data centre,
            whose idle time then doesn't count; 0 for others.
        now: Seconds.
    """
    information = target.load_information
    service_s = information.bounded_service_s(fleet.service_s)
    capacity_per_s = information.slots / service_s
    unreported = information.unreported(
        fleet.openings_per_s
        if information.free_at is None
        else fleet.unreported_per_s.get(target.data_centre, 0.0),
        now=now,
    )
    backlog_s = information.backlog_s(
        service_s,
        unreported=unreported,
        mean_capacity_per_s=fleet.capacity_per_s,
        now=now,
    )
    if target.announcement is not None and target.announcement.cold_ms:
        backlog_s += COLD_LOAD / capacity_per_s
    ahead_s = information.ahead_s(
        service_s, mean_use=fleet.use.get(target.data_centre, 0.0), now=now
    )
    ranked_s = placement.add_work_ahead_s(backlog_s, ahead_s)
    if added_s:
        backlog_s = added_s + max(0.0, backlog_s)
        ranked_s = added_s + max(0.0, ranked_s)
    return Prediction(
        backlog_s,
        ranked_s,
        ranked_s + unreported / capacity_per_s,
        capacity_per_s,
    )


@attrs.define(frozen=True, repr=False)
class Placement:
    """A target drawn for an opening by predicted backlogs.

    Attributes:
        target: The target.
        expected_wait_s: Wait for a slot that the opening may expect there: the
            predicted backlog, or the mean wait in the target's data centre if
            that is longer, since the backlog doesn't include all openings.
            0 if the target wasn't drawn.
        level_s: The level, which tells how far openings are spread. None if
            the target is the one with the least flows.
    """

    target: Target
    expected_wait_s: float = 0.0
    level_s: float | None = None


@attrs.define(eq=False, repr=False)
class TargetTable:
    """The targets that a balancer knows.

    Attributes:
        target_by_address: The targets by the address of their agent.
    """

    target_by_address: dict[str, Target] = attrs.field(factory=dict)
    _targets_by_service: dict[str, list[Target]] | None = None
    _split_by_service: dict[
        tuple[str, str], tuple[list[Target], list[Target]]
    ] = attrs.field(factory=dict)

    def targets_of(self, service: str) -> list[Target]:
        """Returns the targets of a service."""
        if self._targets_by_service is None:
            self._targets_by_service = {}
            self._split_by_service.clear()
            for target in self.target_by_address.values():
                self._targets_by_service.setdefault(target.service, []).append(
                    target
                )
        return self._targets_by_service.get(service, [])

    def service_of(self, address: str) -> str:
        """Returns the service of an agent's target, empty if unknown."""
        target = self.target_by_address.get(address)
        return target.service if target else ""

    def remove(self, address: str) -> None:
        """Removes an agent and its target."""
        self.target_by_address.pop(address, None)
        self._targets_by_service = None

    def add(self, address: str, *, now: float) -> Target:
        """Returns the target of an agent, added if it is new."""
        target = self.target_by_address.get(address)
        if target is None:
            target = Target(address, now)
            self._targets_by_service = None
            self.target_by_address[address] = target
        return target

    def record_seen(self, address: str, *, now: float) -> None:
        """Updates when an agent was last seen, and adds it if it is new."""
        self.add(address, now=now).record_seen(now)

    def register(
        self, address: str, service: str, data_centre: str, *, now: float
    ) -> Target:
        """Applies an agent's entry in the store and returns its target."""
        target = self.add(address, now=now)
        target.registered = True
        if target.announcement is None:
            self._targets_by_service = None
            target.service = service
            target.data_centre = data_centre
        return target

    def unregister(self, address: str, *, now: float) -> None:
        """Handles the removal of an agent's entry from the store.

        An agent that still announces stays in the table: its entry may have
        expired while the agent couldn't reach the store.
        """
        target = self.target_by_address.get(address)
        if target is None:
            return
        target.registered = False
        if target.is_lost(now):
            self.remove(address)

    def apply_announcement(
        self,
        address: str,
        announcement: messages.Announcement,
        *,
        now: float,
    ) -> bool:
        """Applies an announcement, unless it is late or repeated.

        The sequence numbers of each run of an agent start anew.

        Returns:
            Whether the target's state, service, incarnation or health changed,
            or whether its agent is restarting.
        """
        target = self.add(address, now=now)
        previous = target.announcement
        if announcement.run_id == target.ended_run_id or (
            previous is not None
            and previous.run_id == announcement.run_id
            and previous.sequence >= announcement.sequence
        ):
            return False
        if (
            previous is not None
            and previous.restarting
            and previous.run_id != announcement.run_id
        ):
            target.ended_run_id = previous.run_id
        target.record_seen(now)
        target.announcement = announcement
        if (
            target.service != announcement.service
            or target.data_centre != announcement.data_centre
        ):
            self._targets_by_service = None
            target.known_state = messages.TargetState.UNKNOWN
        if announcement.state != messages.TargetState.UNKNOWN:
            target.known_state = announcement.state
        target.service = announcement.service
        target.data_centre = announcement.data_centre
        if announcement.incarnation not in ("", target.incarnation):
            target.incarnation = announcement.incarnation
            target.joined_at = now
        target.load_information.apply(
            announcement, now=now, delay_s=REPORT_DELAY_S
        )
        while (
            target.openings_sent_at
            and target.openings_sent_at[0] < now - REPORT_DELAY_S
        ):
            target.openings_sent_at.popleft()
        return (
            previous is None
            or previous.state != announcement.state
            or previous.service != announcement.service
            or previous.incarnation != announcement.incarnation
            or previous.failing != announcement.failing
            or previous.restarting != announcement.restarting
        )

    def remove_lost(self, *, now: float, after_s: float) -> list[str]:
        """Removes targets without an entry that are silent for `after_s`.

        Returns:
            The addresses of the removed targets.
        """
        lost = [
            target.address
            for target in self.target_by_address.values()
            if not target.registered and target.silent_s(now) > after_s
        ]
        for address in lost:
            self.remove(address)
        return lost

    def mostly_reachable(self, *, now: float) -> bool:
        """Returns whether more than half of the agents were seen lately.

        If fewer were seen, the silence of an agent doesn't mean that its VM
        has failed, because this balancer may be cut off itself. The silence
        of agents that are restarting shows nothing.
        """
        reachable = awaited = 0
        for target in self.target_by_address.values():
            if target.is_awaited(now):
                awaited += 1
            elif target.last_seen_at is not None:
                reachable += target.silent_s(now) < SILENT_S
        return 2 * reachable > len(self.target_by_address) - awaited

    def probe_silent(self, *, now: float) -> list[messages.Action]:
        """Returns probes of the VMs of silent agents that are due now."""
        due = [
            target
            for target in self.target_by_address.values()
            if target.probe_due(now)
        ]
        if not due or not self.mostly_reachable(now=now):
            return []
        for target in due:
            target.probes += 1
            target.probed_at = now
        return [messages.ProbeAgent(target.address) for target in due]

    def handle_refused_probe(self, address: str) -> list[messages.Action]:
        """Handles that the VM of a silent agent has refused a connection."""
        target = self.target_by_address.get(address)
        if target is None or not target.probes or target.vm_running:
            return []  # heard meanwhile, or known from the first probe
        target.vm_running = True
        return [messages.LogEvent("agent_awaited", {"agent": address})]

    def discount_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the silence of all agents."""
        for target in self.target_by_address.values():
            target.added_at += pause_s
            if target.last_seen_at is not None:
                target.last_seen_at += pause_s

    def place(self, request: TargetRequest, *, now: float) -> Placement | None:
        """Chooses a target for an opening, None if no target may get it."""
        if request.fleet is not None:
            return self._spread(request, request.fleet, now=now)
        target = self.choose(request, now=now)
        return None if target is None else Placement(target)

    def choose(self, request: TargetRequest, *, now: float) -> Target | None:
        """Chooses the target with the least load for an opening.

        Targets of the balancer's data centre are preferred among those of
        about equal load.

        Returns:
            The target, None if no target may get the opening.
        """
        flow_hash = request.flow_hash
        candidates = self._find_candidates(
            request,
            _sample(self.targets_of(request.service), flow_hash),
            now=now,
        )
        if not candidates:
            return None
        load_by_address = {
            target.address: target.load() for target in candidates
        }
        max_local_load = min(load_by_address.values()) * (1.0 + LOCAL_EXCESS)

        def rank(target: Target) -> tuple[bool, float, float]:
            load = load_by_address[target.address]
            local = (
                target.data_centre == request.data_centre
                and load <= max_local_load
            )
            return not local, load, _hash_fraction(flow_hash, target.address)

        target = min(candidates, key=rank)
        target.openings_sent_at.append(now)
        return target

    def find_awaited(
        self, request: TargetRequest, *, now: float
    ) -> Target | None:
        """Returns a target whose agent restarts, for want of other targets.

        The agent may be back before the client gives up, whereas a reset
        leads to another opening at once. The flow's hash selects the target.
        """
        awaited = [
            target
            for target in self.targets_of(request.service)
            if request.allows(target)
            and target.awaits_openings(max_flows=request.max_flows, now=now)
        ]
        return awaited[request.flow_hash % len(awaited)] if awaited else None

    def _find_candidates(
        self,
        request: TargetRequest,
        sampled: list[Target],
        *,
        now: float,
        median_s: float = 0.0,
    ) -> list[Target]:
        """Returns the targets that may get an opening.

        Args:
            request: The opening's request.
            sampled: Targets to select from. If none of them is usable, it is
                all targets of the service.
            now: Seconds.
            median_s: Median time of a request in seconds, 0 if requests are
                not to be compared by it.
        """

        def is_usable(target: Target) -> bool:
            return request.allows(target) and target.accepts_openings(
                max_flows=request.max_flows, now=now
            )

        usable = list(filter(is_usable, sampled))
        if not usable:
            usable = list(filter(is_usable, self.targets_of(request.service)))
        if not usable:
            return []
        preferred = [
            target for target in usable if not target.is_last_resort(now)
        ]
        eligible = _limit_failing(
            preferred or usable, request.flow_hash, median_s=median_s
        )
        return _limit_starting(eligible, request.flow_hash, now=now)

    def _spread(
        self,
        request: TargetRequest,
        fleet: placement.FleetLoad,
        *,
        now: float,
    ) -> Placement | None:
        """Draws a target for an opening by predicted backlogs.

        `placement` derives the probabilities. The targets compared stand for
        all, so openings under way count by their share. Targets of the
        balancer's data centre are preferred until their backlog exceeds that
        of others by a share of the objective.

        Args:
            request: The opening's request.
            fleet: Load of the service.
            now: Seconds.

        Returns:
            The choice, None if no target may get the opening.
        """
        local, remote = self._split_targets(
            request.service, request.data_centre
        )
        candidates = self._find_candidates(
            request,
            self._sample_spread(request, fleet, local, remote),
            now=now,
            median_s=fleet.service_s,
        )
        if not candidates:
            return None
        data_centre = request.data_centre
        near = sum(target.data_centre == data_centre for target in candidates)
        remote_s = (
            placement.REMOTE_SHARE * request.objective_s if near else 0.0
        )
        predictions = [
            _predict(
                target,
                fleet,
                added_s=remote_s if target.data_centre != data_centre else 0.0,
                now=now,
            )
            for target in candidates
        ]
        compared = near / len(local) if near else len(candidates) / len(remote)
        level_s = placement.solve_level_s(
            [prediction.expected_s for prediction in predictions],
            [prediction.capacity_per_s for prediction in predictions],
            1.0 + fleet.under_way * compared,
        )
        index = placement.draw(
            [
                prediction.capacity_per_s
                * max(0.0, level_s - prediction.ranked_s)
                for prediction in predictions
            ],
            placement.hash_fraction(request.flow_hash, len(request.excluded)),
        )
        target = candidates[index]
        target.openings_sent_at.append(now)
        target.load_information.record_sent(now=now)
        wait_s = max(
            fleet.mean_wait_s.get(target.data_centre, 0.0),
            predictions[index].backlog_s,
        )
        return Placement(target, wait_s, level_s)

    def _sample_spread(
        self,
        request: TargetRequest,
        fleet: placement.FleetLoad,
        local: list[Target],
        remote: list[Target],
    ) -> list[Target]:
        """Returns the targets to compare by predicted backlogs.

        Only the first try of an opening is diverted to another data centre.

        Args:
            request: The opening's request.
            fleet: Load of the service.
            local: Targets of the balancer's data centre.
            remote: Targets of other data centres.
        """
        if not request.excluded:
            diverted_to = fleet.diverted_to()
            if diverted_to is not None:
                others, _ = self._split_targets(request.service, diverted_to)
                return _sample(others, request.flow_hash)
        near = _sample(local, request.flow_hash, MAX_LOCAL_CANDIDATES)
        return near + _sample(
            remote, request.flow_hash, MAX_CANDIDATES - len(near)
        )

    def _split_targets(
        self, service: str, data_centre: str
    ) -> tuple[list[Target], list[Target]]:
        """Returns the targets in a data centre, and the other ones."""
        known = self.targets_of(service)
        key = (service, data_centre)
        split = self._split_by_service.get(key)
        if split is None:
            split = (
                [t for t in known if t.data_centre == data_centre],
                [t for t in known if t.data_centre != data_centre],
            )
            self._split_by_service[key] = split
        return split
