"""Choice of a target by predicted backlog and the age of load information.

Dahlin's "Interpreting stale load information" (1999): load information of
some age doesn't include the openings sent since. A chooser that sends its
opening to the least loaded target therefore does what all others do. Instead
it imagines that all those openings are spread so that backlogs end up equal,
and draws a target with the probability that one of them goes there.

For a target, let `mu = slots / service time` be its capacity in openings a
second, `b` its backlog (seconds of work ahead of a new opening) as predicted
from its newest report, and `u` the openings expected there since that report
that aren't reported here: their measured rate times the age of the report.
Openings of the same data centre are reported within a round trip, so `K`, the
openings that choosers with the same information have under way, is one plus
their rate times that round trip. The level `L` that the backlogs reach solves

    sum(mu * max(0, L - (b + u / mu))) = K

and a target gets the opening with a probability proportional to

    mu * max(0, L - b),

its part of `K` and of the openings that can't be seen. With fresh reports
`u` is 0 and `K` is 1: the least loaded target is chosen. With old ones
`u / mu` exceeds the differences between backlogs: shares follow capacities.

An idle target has a negative backlog: the time for which it has been idle, in
proportion to its capacity, so that idle targets get openings in turn, and fast
ones more often. After `u` expected openings it is still idle with probability
`exp(-u)`, so the time counts by that share.

Turns alone don't correct what has gone wrong: a target that got two openings
in one turn gets as many as the others afterwards. So a target's use, its rate
of openings over its capacity, averaged over `RATE_SMOOTHING_S`, is compared
with the mean use of its data centre. The product of the difference and that
time is the work in seconds by which the target is ahead of the others, and is
added to its backlog. Work behind them is made up for in idle time only.
"""

import collections
from collections.abc import Sequence
import math

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import pacing

# Share of the objective that is added to the backlog of targets in other data
# centres, whose packets cross links between data centres.
REMOTE_SHARE = 0.1
# Idle time, and work by which a target is ahead of or behind the others, that
# counts, in service times.
MAX_IDLE_SERVICE_TIMES = 4.0
# Smallest time of a request that counts, as a share of the service's median. A
# target that answers some requests with errors answers them sooner, and would
# get more openings the more it fails.
MIN_SERVICE_SHARE = 0.5
# A target whose requests take less than this share of the median counts as
# failing. Targets that answer all requests with errors take about a
# millisecond; those of the fastest machines take 0.6 of the median.
FAILING_SERVICE_SHARE = 0.2
# Largest age of a report that counts. Agents count as lost after that.
MAX_AGE_S = 1.2
# Time constant of the rates of openings, in seconds. Loads are to be even in
# each second.
RATE_SMOOTHING_S = 1.0
# Smallest age of an announcement that counts, so that rates are finite.
MIN_AGE_S = 1e-6
# Constants of the output function of the SplitMix64 generator.
_MASK = 2**64 - 1
_INCREMENT = 0x9E3779B97F4A7C15
_FACTOR_1 = 0xBF58476D1CE4E5B9
_FACTOR_2 = 0x94D049BB133111EB


@attrs.define(eq=False, repr=False)
class LoadInformation:
    """What a balancer knows of the load of one target.

    Attributes:
        free_at: When the target has a free slot for a new opening according
            to its newest report, in seconds; in the past if it is idle. None
            before the first report.
        reported_at: When the newest report arrived.
        mean_wait_s: Mean of the announced waits of about the last second.
        service_s: Time for which a request occupies a slot, 0 if unknown.
        slots: Requests that the target can run at the same time.
        work: Requests that the newest announcement counts; used if the agent
            announces no waits.
        openings_per_s: Rate of openings that the target admits, None until
            known.
        short_flows: Whether most flows end after their first response.
        unreported_per_s: Rate of those that aren't reported here one by one.
        listed_per_s: Rate of those that other balancers of this data centre
            have sent.
        sent_at: Send times of openings drawn by predicted backlog that the
            newest report may not include yet. The reply to an opening removes
            it, since the wait that it reports includes the opening.
    """

    free_at: float | None = None
    reported_at: float = float("-inf")
    mean_wait_s: float = 0.0
    service_s: float = 0.0
    slots: int = 1
    work: int = 0
    openings_per_s: float | None = None
    short_flows: bool = False
    unreported_per_s: float = 0.0
    listed_per_s: float = 0.0
    sent_at: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=256)
    )
    _run_id: int | None = None
    _openings: int = 0
    _counted_at: float = 0.0
    _own: int = 0
    _listed: int = 0

    def record_sent(self, *, now: float) -> None:
        """Adds an opening that this balancer sends to the target."""
        self.sent_at.append(now)

    def record_reply(self, sent_at: float, *, admitted: bool) -> None:
        """Handles the target's reply to an opening that was sent to it."""
        if sent_at in self.sent_at:
            self.sent_at.remove(sent_at)
        if admitted:
            self._own += 1

    def record_listed(self) -> None:
        """Counts an opening of another balancer of this data centre."""
        self._listed += 1

    def record_wait(
        self,
        wait_s: float,
        *,
        now: float,
        delay_s: float,
        opened: bool = False,
    ) -> None:
        """Applies a report of the expected wait of a new opening.

        Args:
            wait_s: The wait in seconds, 0 if a slot is free.
            now: Seconds.
            delay_s: Time in seconds that an opening takes to show in reports.
            opened: Whether the target has just admitted an opening, so that
                its idle time begins anew.
        """
        if wait_s > 0 or opened or self.free_at is None:
            self.free_at = now + wait_s
        else:
            self.free_at = min(self.free_at, now)
        self._remove_reported(now=now, delay_s=delay_s)

    def _remove_reported(self, *, now: float, delay_s: float) -> None:
        """Removes the openings that a report of this time includes."""
        self.reported_at = now
        while self.sent_at and self.sent_at[0] < now - delay_s:
            self.sent_at.popleft()

    def apply(
        self,
        announcement: messages.Announcement,
        *,
        now: float,
        delay_s: float,
    ) -> None:
        """Applies an announcement.

        Args:
            announcement: The announcement.
            now: Seconds.
            delay_s: Time in seconds that an opening takes to show in reports.
        """
        self.slots = max(1, announcement.slots)
        self.service_s = announcement.service_us / 1e6
        self.short_flows = announcement.short_flows
        self.work = announcement.work
        if announcement.wait_ms is None:
            # The agent may have been replaced by the previous version.
            self.free_at = self.openings_per_s = None
            self.unreported_per_s = self.listed_per_s = self.mean_wait_s = 0.0
            self._remove_reported(now=now, delay_s=delay_s)
            return
        wait_s = announcement.wait_ms / 1000
        self.record_wait(wait_s, now=now, delay_s=delay_s)
        self._update_rates(announcement, wait_s, now=now)

    def _update_rates(
        self,
        announcement: messages.Announcement,
        wait_s: float,
        *,
        now: float,
    ) -> None:
        openings = announcement.openings
        if announcement.run_id == self._run_id:
            elapsed_s = now - self._counted_at
            if elapsed_s < pacing.MIN_ANNOUNCEMENT_GAP_S:
                return  # too short for a rate; counted with the next one
            admitted = max(0, openings - self._openings)
            seen = min(admitted, self._own + self._listed)
            if admitted > seen and not wait_s and self.free_at is not None:
                # The newest of n openings came about the n-th part ago.
                since_s = elapsed_s / (admitted - seen + 1)
                self.free_at = max(self.free_at, now - since_s)
            weight = 1.0 - math.exp(-elapsed_s / RATE_SMOOTHING_S)
            rate = admitted / elapsed_s
            if self.openings_per_s is None:
                self.openings_per_s = 0.0
                weight = min(1.0, elapsed_s / pacing.ANNOUNCEMENT_INTERVAL_S)
            self.openings_per_s += weight * (rate - self.openings_per_s)
            self.unreported_per_s += weight * (
                (admitted - seen) / elapsed_s - self.unreported_per_s
            )
            self.listed_per_s += weight * (
                self._listed / elapsed_s - self.listed_per_s
            )
            self.mean_wait_s += weight * (wait_s - self.mean_wait_s)
        self._run_id = announcement.run_id
        self._openings = openings
        self._counted_at = now
        self._own = self._listed = 0

    def admitted_per_s(self, *, now: float) -> float:
        """Returns the mean rate of openings up to now, 0 until known.

        Those since the newest announcement that are known here are included,
        with those expected besides.

        Args:
            now: Seconds.
        """
        if self.openings_per_s is None:
            return 0.0
        age_s = min(MAX_AGE_S, max(MIN_AGE_S, now - self._counted_at))
        known = self._own + self._listed + len(self.sent_at)
        openings = known + self.unreported_per_s * age_s
        weight = -math.expm1(-age_s / RATE_SMOOTHING_S)
        return self.openings_per_s + weight * (
            openings / age_s - self.openings_per_s
        )

    def ahead_s(
        self, service_s: float, *, mean_use: float, now: float
    ) -> float:
        """Returns the work by which the target is ahead of others, in seconds.

        Args:
            service_s: Time for which a request occupies a slot.
            mean_use: Openings a second over capacity of its data centre.
            now: Seconds.
        """
        if self.openings_per_s is None:
            return 0.0
        use = self.admitted_per_s(now=now) * service_s / self.slots
        limit_s = MAX_IDLE_SERVICE_TIMES * service_s
        ahead_s = RATE_SMOOTHING_S * (use - mean_use)
        return max(-limit_s, min(limit_s, ahead_s))

    def bounded_service_s(self, median_s: float) -> float:
        """Returns the time of a request in seconds that openings count with.

        Args:
            median_s: Median of the service's targets in seconds, which counts
                if the target's own time is unknown.
        """
        if not self.service_s:
            return median_s
        return max(self.service_s, MIN_SERVICE_SHARE * median_s)

    def answers_too_soon(self, median_s: float) -> bool:
        """Returns whether requests are so short that they must be failing."""
        return 0 < self.service_s < FAILING_SERVICE_SHARE * median_s

    def wait_s(self, *, now: float) -> float:
        """Returns the time until a slot is free, by the newest report."""
        return 0.0 if self.free_at is None else max(0.0, self.free_at - now)

    def unreported(self, rate_per_s: float, *, now: float) -> float:
        """Returns the openings expected since the newest report.

        Args:
            rate_per_s: Rate of openings that aren't reported one by one.
            now: Seconds.
        """
        return rate_per_s * min(MAX_AGE_S, now - self.reported_at)

    def backlog_s(
        self,
        service_s: float,
        *,
        unreported: float,
        mean_capacity_per_s: float,
        now: float,
    ) -> float:
        """Returns the predicted backlog, negative while the target is idle.

        Args:
            service_s: Time for which a request occupies a slot.
            unreported: Openings expected since the newest report.
            mean_capacity_per_s: Mean capacity of the service's targets, to
                which the idle time is scaled.
            now: Seconds.
        """
        if self.free_at is not None:
            backlog_s = self.free_at - now
        elif self.work >= self.slots:
            backlog_s = (self.work - self.slots + 0.5) * service_s / self.slots
        else:
            backlog_s = 0.0
        if backlog_s < 0:
            backlog_s = max(-MAX_IDLE_SERVICE_TIMES * service_s, backlog_s)
            backlog_s *= self.slots / service_s / mean_capacity_per_s
            backlog_s *= math.exp(-unreported)
        return backlog_s + len(self.sent_at) * service_s / self.slots


@attrs.define(eq=False, repr=False)
class Turns:
    """Openings due to be diverted, and to whom.

    Independent draws would add noise: the number drawn varies by the square
    root of the expected one. Shares that add up vary by less than one.

    Attributes:
        due: Sum of the shares, less the openings diverted.
        due_by_data_centre: The same for each data centre.
    """

    due: float = 0.0
    due_by_data_centre: dict[str, float] = attrs.field(factory=dict)

    def take(self, share: float, weights: dict[str, float]) -> str | None:
        """Returns the data centre that an opening is diverted to, if any.

        Args:
            share: Share of openings to divert, at most 1.
            weights: Parts of the data centres; there is one, all above 0.
        """
        self.due += share
        if self.due < 1.0:
            return None
        self.due -= 1.0
        total = sum(weights.values())
        due = {
            name: self.due_by_data_centre.get(name, 0.0) + weight / total
            for name, weight in weights.items()
        }
        chosen = max(due, key=lambda name: due[name])
        due[chosen] -= 1.0
        self.due_by_data_centre = due
        return chosen


@attrs.define(frozen=True, repr=False)
class FleetLoad:
    """What a balancer knows of all targets of a service.

    Attributes:
        service_s: Median time for which a request occupies a slot, above 0.
        capacity_per_s: Mean capacity of a target, above 0.
        under_way: Openings of this data centre's other balancers that don't
            show in reports yet.
        unreported_per_s: By data centre, rate of the openings at one target
            that aren't reported here one by one.
        openings_per_s: Mean rate of openings at one target, used for targets
            whose agents don't announce it.
        mean_wait_s: Mean expected wait of a new opening, by data centre.
        use: Openings a second over capacity, by data centre.
        diverted: Share of this balancer's openings that exceeds the share of
            its data centre, and goes to others whatever the backlogs.
        room: Share of this balancer's openings that other data centres have
            room for, which limits `diverted`.
        spare_per_s: Openings a second that each of the other data centres may
            take in addition; empty if there are none.
        turns: Turns of the data centres that openings are diverted to.
    """

    service_s: float
    capacity_per_s: float
    under_way: float
    unreported_per_s: dict[str, float]
    mean_wait_s: dict[str, float]
    use: dict[str, float] = attrs.field(factory=dict)
    openings_per_s: float = 0.0
    diverted: float = 0.0
    room: float = 1.0
    spare_per_s: dict[str, float] = attrs.field(factory=dict)
    turns: Turns = attrs.field(factory=Turns)

    @property
    def diverted_share(self) -> float:
        """The share of openings that goes to other data centres."""
        return min(self.diverted, self.room)

    def diverted_to(self) -> str | None:
        """Returns the data centre that an opening is diverted to, if any."""
        if not self.spare_per_s:
            return None
        return self.turns.take(self.diverted_share, self.spare_per_s)


def add_work_ahead_s(backlog_s: float, ahead_s: float) -> float:
    """Returns the backlog by which targets are compared.

    Work behind others is made up for in idle time only. If it shortened
    waits, openings would queue at targets that have just been restored.

    Args:
        backlog_s: Predicted backlog, negative while the target is idle.
        ahead_s: Work by which the target is ahead of others.
    """
    if backlog_s > 0:
        return backlog_s + max(0.0, ahead_s)
    return backlog_s + ahead_s


def solve_level_s(
    backlogs_s: Sequence[float],
    capacities_per_s: Sequence[float],
    openings: float,
) -> float:
    """Returns the level to which a number of openings raises backlogs.

    Args:
        backlogs_s: Backlog of each target in seconds; there is at least one.
        capacities_per_s: Openings that each target answers in a second.
        openings: The openings, more than 0.
    """
    level_s = 0.0
    capacity_per_s = 0.0
    weighted = 0.0
    for backlog_s, mu in sorted(
        zip(backlogs_s, capacities_per_s, strict=True)
    ):
        if capacity_per_s and level_s <= backlog_s:
            break
        capacity_per_s += mu
        weighted += mu * backlog_s
        level_s = (openings + weighted) / capacity_per_s
    return level_s


def draw(weights: Sequence[float], fraction: float) -> int:
    """Returns an index drawn with a probability proportional to its weight.

    Args:
        weights: The weights; none is negative, and one is above 0.
        fraction: A number from 0 to 1 that selects the index.
    """
    point = fraction * sum(weights)
    last = 0
    for index, weight in enumerate(weights):
        if weight <= 0:
            continue
        if point < weight:
            return index
        point -= weight
        last = index
    return last  # rounding left a rest


def hash_fraction(flow_hash: int, tries: int) -> float:
    """Returns a number from 0 to 1, fixed for a flow and its try.

    The numbers of one flow are independent. CRC-32 is linear: its values for
    two tries differ by a constant, so all flows that one target had refused
    would go to the same second one.
    """
    value = (flow_hash + _INCREMENT * (tries + 3)) & _MASK
    value = (value ^ value >> 30) * _FACTOR_1 & _MASK
    value = (value ^ value >> 27) * _FACTOR_2 & _MASK
    return (value ^ value >> 31) / _MASK
