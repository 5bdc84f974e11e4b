"""Load of whole services, known at each balancer from announcements.

Each agent announces how many openings its target has admitted, how long a
request occupies a slot, and how long a new opening would wait. The sums over
a service tell whether it is worth predicting backlogs, and whether an opening
can be answered in time at all.
"""

from collections.abc import Iterable
import math

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import placement
from godwitturn.core.transparent import targets as target_tables

# Openings for each target within the interval of announcements from which
# backlogs are predicted, and below which they no longer are. If fewer openings
# arrive, announcements are fresh enough to compare targets by their flows. The
# thresholds differ, so that the choice doesn't change with each announcement.
ENABLING_OPENINGS = 0.5
DISABLING_OPENINGS = 0.25
# Time for an opening to show in reports, until it has been measured: two
# one-way delays between data centres.
INITIAL_DELAY_S = 0.01
# Largest such time. Slower replies come from targets that are full.
MAX_DELAY_S = 0.1
# Time constant of the rate of openings at this data centre's balancers. At low
# rates it is longer, so that it covers this number of openings.
ASKED_SMOOTHING_S = 0.5
ASKED_SMOOTHING_OPENINGS = 10.0
# Smallest time between two updates that counts.
MIN_UPDATE_S = 0.01
# Unit in which agents report waits. The answer comes later than the wait ends.
WAIT_UNIT_S = 0.001
# Service times by which the mean wait of one target may exceed twice the
# median of its data centre in the mean of all. The wait of a target that hangs
# grows without limit.
MAX_EXCESS_SERVICE_TIMES = 4.0
# Share by which one reply changes the measured time.
DELAY_WEIGHT = 0.05


@attrs.define(eq=False, repr=False)
class DataCentreLoad:
    """Load of a service in one data centre, or in all.

    Attributes:
        targets: Targets that may get openings.
        openings_per_s: Rate of openings that the targets admit.
        short_flows: Number of targets whose flows mostly end after their first
            response.
        unreported_per_s: Rate of those that aren't reported here one by one.
        listed_per_s: Rate of those that other balancers of this balancer's
            data centre have sent.
        capacity_per_s: Openings that the targets can answer in a second.
        counted_per_s: Those of the targets whose rate of openings is known.
        wait_s: Mean expected wait of a new opening, with a limit for targets
            that hang.
        least_wait_s: Least expected wait.
    """

    targets: int = 0
    openings_per_s: float = 0.0
    short_flows: int = 0
    unreported_per_s: float = 0.0
    listed_per_s: float = 0.0
    capacity_per_s: float = 0.0
    counted_per_s: float = 0.0
    wait_s: float = 0.0
    least_wait_s: float = 0.0

    @property
    def unreported_per_target(self) -> float:
        """Rate of openings at one target that aren't reported here."""
        return self.unreported_per_s / max(1, self.targets)

    @property
    def use(self) -> float:
        """Rate of openings over capacity, 0 while unknown."""
        if not self.counted_per_s:
            return 0.0
        return self.openings_per_s / self.counted_per_s


@attrs.define(eq=False, repr=False)
class ServiceLoad:
    """Load of one service.

    Attributes:
        total: Load of all data centres.
        load_by_data_centre: Load of each data centre.
        service_s: Median time for which a request occupies a slot of one of
            the targets, 0 if all are unknown.
        spreading: Whether openings are spread by predicted backlogs.
        reports_waits: Whether any agent announces waits.
        delay_s: Time that an opening takes to show in reports, measured.
        fleet: The part that the choice of a target needs.
        asked_per_s: Rate of openings at the balancers of this data centre.
        updated_at: When the load was last computed.
        turns: Turns of the data centres that openings are diverted to.
    """

    total: DataCentreLoad = attrs.field(factory=DataCentreLoad)
    load_by_data_centre: dict[str, DataCentreLoad] = attrs.field(factory=dict)
    service_s: float = 0.0
    spreading: bool = False
    reports_waits: bool = False
    delay_s: float = INITIAL_DELAY_S
    fleet: placement.FleetLoad | None = None
    asked_per_s: float = 0.0
    updated_at: float = float("-inf")
    turns: placement.Turns = attrs.field(factory=placement.Turns)
    _asked: int = 0

    def record_asked(self) -> None:
        """Counts an opening at a balancer of this data centre."""
        self._asked += 1

    def record_reply(self, delay_s: float) -> None:
        """Adds the time between an opening and its agent's reply."""
        delay_s = min(MAX_DELAY_S, max(0.0, delay_s))
        self.delay_s += DELAY_WEIGHT * (delay_s - self.delay_s)

    def load_of(self, data_centre: str) -> DataCentreLoad:
        """Returns the load of a data centre."""
        return self.load_by_data_centre.get(data_centre) or DataCentreLoad()

    def update(
        self,
        targets: Iterable[target_tables.Target],
        *,
        data_centre: str,
        closed_data_centres: frozenset[str],
        agents: int,
        now: float,
    ) -> bool:
        """Computes the load anew.

        Args:
            targets: The targets of the service.
            data_centre: Data centre of this balancer.
            closed_data_centres: Data centres whose targets get no new flows.
            agents: Number of agents, on which intervals depend.
            now: Seconds.

        Returns:
            Whether `spreading` has changed.
        """
        usable = [
            target
            for target in targets
            if target.data_centre not in closed_data_centres
            and target.announcement is not None
            and target.announcement.state == messages.TargetState.READY
            and target.silent_s(now) <= target_tables.SILENT_S
        ]
        known_s = sorted(
            target.load_information.service_s
            for target in usable
            if target.load_information.service_s
        )
        self.service_s = known_s[len(known_s) // 2] if known_s else 0.0
        self.reports_waits = any(
            target.load_information.free_at is not None for target in usable
        )
        targets_by_data_centre: dict[str, list[target_tables.Target]] = {}
        for target in usable:
            targets_by_data_centre.setdefault(target.data_centre, []).append(
                target
            )
        self.load_by_data_centre = {
            name: self._sum(members, now=now)
            for name, members in targets_by_data_centre.items()
        }
        self.total = self._sum(usable, now=now)
        elapsed_s = max(MIN_UPDATE_S, now - self.updated_at)
        smoothing_s = max(
            ASKED_SMOOTHING_S,
            ASKED_SMOOTHING_OPENINGS / max(1.0, self.asked_per_s),
        )
        weight = 1.0 - math.exp(-elapsed_s / smoothing_s)
        rate_per_s = self._asked / elapsed_s
        self.asked_per_s += weight * (rate_per_s - self.asked_per_s)
        self._asked = 0
        gain_per_s = self._gain_per_s(pacing.announcement_interval_s(agents))
        spare_per_s = self._spare_per_s(data_centre, gain_per_s)
        room_per_s = sum(spare_per_s.values())
        self.fleet = placement.FleetLoad(
            service_s=self.service_s,
            capacity_per_s=self.total.capacity_per_s / max(1, len(usable)),
            under_way=self.total.listed_per_s * self.delay_s,
            unreported_per_s={
                name: load.unreported_per_target
                for name, load in self.load_by_data_centre.items()
            },
            mean_wait_s={
                name: load.wait_s
                for name, load in self.load_by_data_centre.items()
            },
            openings_per_s=self.total.openings_per_s / max(1, len(usable)),
            use={
                name: load.use
                for name, load in self.load_by_data_centre.items()
            },
            diverted=self._diverted(data_centre, gain_per_s),
            room=room_per_s / max(1e-9, self.asked_per_s),
            spare_per_s=spare_per_s,
            turns=self.turns,
        )
        self.updated_at = now
        return self._update_spreading(agents)

    def _sum(
        self, targets: list[target_tables.Target], *, now: float
    ) -> DataCentreLoad:
        load = DataCentreLoad(targets=len(targets))
        if not targets:
            return load
        mean_waits_s = []
        waits_s = []
        for target in targets:
            information = target.load_information
            load.openings_per_s += information.admitted_per_s(now=now)
            load.short_flows += information.short_flows
            load.unreported_per_s += information.unreported_per_s
            load.listed_per_s += information.listed_per_s
            service_s = information.bounded_service_s(self.service_s)
            if service_s:
                capacity_per_s = information.slots / service_s
                load.capacity_per_s += capacity_per_s
                if information.openings_per_s is not None:
                    load.counted_per_s += capacity_per_s
            mean_waits_s.append(information.mean_wait_s)
            waits_s.append(information.wait_s(now=now))
        # The module statistics isn't used: its import delays the start.
        median_s = sorted(mean_waits_s)[len(mean_waits_s) // 2]
        limit_s = 2 * median_s + MAX_EXCESS_SERVICE_TIMES * self.service_s
        load.wait_s = sum(
            min(wait_s, limit_s) for wait_s in mean_waits_s
        ) / len(mean_waits_s)
        load.least_wait_s = min(waits_s)
        return load

    def _diverted(self, data_centre: str, gain_per_s: float) -> float:
        """Returns the share of openings that should go to other data centres.

        It is the part of what the balancers of this data centre are asked
        for that exceeds what it should get.
        Openings that others divert here count only as far as it is ahead of
        its share: if the rate of all counted, data centres would go on
        diverting openings to each other.

        Args:
            data_centre: This data centre.
            gain_per_s: Part of a difference to make up for in a second.
        """
        own = self.load_of(data_centre)
        if not own.capacity_per_s or not self.asked_per_s:
            return 0.0
        wanted_per_s = self._wanted_per_s(own, gain_per_s)
        return min(1.0, max(0.0, 1.0 - wanted_per_s / self.asked_per_s))

    def _even_per_s(self, load: DataCentreLoad) -> float:
        """Returns the openings that a data centre gets at an even load."""
        if not self.total.capacity_per_s:
            return 0.0
        share = load.capacity_per_s / self.total.capacity_per_s
        return share * self.total.openings_per_s

    def _ahead(self, load: DataCentreLoad) -> float:
        """Returns the openings by which a data centre is ahead of its share.

        With rates averaged over `RATE_SMOOTHING_S`, they are that time
        multiplied by the difference of rates.
        """
        difference_per_s = load.openings_per_s - self._even_per_s(load)
        return placement.RATE_SMOOTHING_S * difference_per_s

    def _gain_per_s(self, horizon_s: float) -> float:
        """Returns which part of a difference to make up for in a second.

        Arrivals at data centres vary at random, in each second by the square
        root of their number. Rates of openings tell of a difference when it
        has passed, and an even rate afterwards leaves it in that second's
        load. So it is made up for within the horizon, unless a data centre
        would then get less than nothing, or more than it can answer: one that
        has just been restored is behind by all the openings of a second. The
        part is the same for all data centres, so that what they should get
        adds up to the openings that there are. Targets whose rate isn't known
        would seem to be behind, so nothing is made up for beside them.

        Args:
            horizon_s: The interval of announcements, after which all
                balancers know what has been made up for. In a shorter time
                they would do it again.
        """
        if self.total.counted_per_s < self.total.capacity_per_s:
            return 0.0
        gain_per_s = 1.0 / horizon_s
        for load in self.load_by_data_centre.values():
            ahead = self._ahead(load)
            even_per_s = self._even_per_s(load)
            if ahead > 0:
                gain_per_s = min(gain_per_s, even_per_s / ahead)
            elif ahead < 0:
                free_per_s = max(0.0, load.capacity_per_s - even_per_s)
                gain_per_s = min(gain_per_s, free_per_s / -ahead)
        return gain_per_s

    def _wanted_per_s(self, load: DataCentreLoad, gain_per_s: float) -> float:
        """Returns the openings that a data centre should get.

        Args:
            load: Load of the data centre.
            gain_per_s: Part of a difference to make up for in a second.
        """
        return self._even_per_s(load) - gain_per_s * self._ahead(load)

    def _spare_per_s(
        self, data_centre: str, gain_per_s: float
    ) -> dict[str, float]:
        """Returns what other data centres should get from this one.

        Its own openings don't count as theirs: near an even load, the rest
        would be small differences by which all would be divided anew, and the
        use of data centres would swing. The openings by which one is ahead
        correct the division.

        Args:
            data_centre: This data centre.
            gain_per_s: Part of a difference to make up for in a second.
        """
        spare_by_name = {
            name: self._wanted_per_s(load, gain_per_s) - load.unreported_per_s
            for name, load in self.load_by_data_centre.items()
            if name != data_centre
        }
        return {
            name: spare for name, spare in spare_by_name.items() if spare > 0
        }

    def _update_spreading(self, agents: int) -> bool:
        """Decides whether openings are frequent compared with reports.

        Most targets must have short flows: after a restart of all daemons,
        long flows are opened as often as short ones, but only once.
        """
        openings = (
            self.total.openings_per_s
            * pacing.announcement_interval_s(agents)
            / max(1, self.total.targets)
        )
        previous = self.spreading
        threshold = DISABLING_OPENINGS if previous else ENABLING_OPENINGS
        self.spreading = (
            self.reports_waits
            and self.service_s > 0
            and openings > threshold
            and 2 * self.total.short_flows > self.total.targets
        )
        return self.spreading != previous

    def unanswerable(self, remaining_s: float, *, now: float) -> bool:
        """Returns whether no target can answer an opening in time.

        Only the wait for a slot decides. The mean service time may be that of
        a few long requests, and idle targets refuse nothing.

        Args:
            remaining_s: Seconds until the opening's timeout.
            now: Seconds.
        """
        if not self.spreading or not self.total.targets:
            return False
        least_wait_s = self.total.least_wait_s - (now - self.updated_at)
        return least_wait_s > 0 and least_wait_s + WAIT_UNIT_S > remaining_s


@attrs.define(eq=False, repr=False)
class LoadTable:
    """Loads of all services.

    Attributes:
        load_by_service: Loads by the name of the service.
    """

    load_by_service: dict[str, ServiceLoad] = attrs.field(factory=dict)

    def load_of(self, service: str) -> ServiceLoad:
        """Returns the load of a service."""
        load = self.load_by_service.get(service)
        if load is None:
            load = self.load_by_service[service] = ServiceLoad()
        return load

    def update(
        self,
        table: target_tables.TargetTable,
        *,
        data_centre: str,
        closed_data_centres: frozenset[str],
        now: float,
    ) -> list[messages.Action]:
        """Computes all loads anew.

        Args:
            table: The targets.
            data_centre: Data centre of this balancer.
            closed_data_centres: Data centres whose targets get no new flows.
            now: Seconds.

        Returns:
            Log events of services whose choice of targets changed.
        """
        actions: list[messages.Action] = []
        agents = len(table.target_by_address)
        services = {
            target.service for target in table.target_by_address.values()
        }
        for gone in self.load_by_service.keys() - services:
            del self.load_by_service[gone]
        for service in sorted(services - {""}):
            load = self.load_of(service)
            if load.update(
                table.targets_of(service),
                data_centre=data_centre,
                closed_data_centres=closed_data_centres,
                agents=agents,
                now=now,
            ):
                total = load.total
                actions.append(
                    messages.LogEvent(
                        "spreading_changed",
                        {
                            "service": service,
                            "spreading": load.spreading,
                            "openings_per_s": round(total.openings_per_s, 1),
                            "capacity_per_s": round(total.capacity_per_s, 1),
                            "targets": total.targets,
                            "wait_ms": round(1000 * total.wait_s),
                        },
                    )
                )
        return actions
