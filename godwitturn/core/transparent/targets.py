"""A balancer's table of targets, and the choice among them."""

import collections
import zlib

import attrs

from godwitturn.core.transparent import messages

# Agents announce four times a second; two missed in a row are more than the
# loss of a datagram.
SILENT_S = 0.6
# Four missed announcements. Requests have about a second to be answered, so
# a client that is told later has no time left to try another target.
LOST_S = 1.2
# An announcement sent before an opening arrived can't count it. One way
# between data centres takes a few milliseconds.
REPORT_DELAY_S = 0.03
# A target that refused an opening isn't offered another one for this long,
# unless its announcement says otherwise.
FULL_PAUSE_S = 0.25
# Targets compared for one opening. The best of so many is about as good as the
# best of all, at a cost that doesn't grow with the service.
MAX_CANDIDATES = 24
# A target of the own data centre may have this share more load than the one
# with the least: packets to it cross no link between data centres. Loads may
# be up to a quarter over their mean.
LOCAL_EXCESS = 0.1
# A target that joins has no flows, so it would get every opening at once. The
# share of openings that it may get grows to all of them within this; targets
# are slow for about two seconds after their start.
RAMP_S = 5.0
# Share of openings that it may get at first, as a multiple of an even share.
FIRST_SHARE = 2.0
# Share of openings by which a failing target is tried again, as a multiple of
# an even share.
TRIAL_SHARE = 0.25
# Share of a service's targets that may be put aside as failing. If more fail,
# the reason may be their load, and the rest couldn't bear the work of all.
MOST_ASIDE = 1 / 3
# How many flows' worth of load a cold target counts as carrying already.
COLD_LOAD = 4.0
# Different values of a checksum.
_DRAWS = 2**32


@attrs.define(eq=False, repr=False)
class Target:
    """One target, known by the address of its agent.

    Attributes:
        address: IP number of the agent.
        added_at: When this balancer learnt of the agent, in seconds.
        service: Service of the target, empty until known.
        data_centre: Data centre of the target.
        registered: Whether the store holds the agent's entry.
        heard_at: When the agent last said something, None if never.
        announcement: The newest announcement, if there is one.
        incarnation: Newest known start of the target, empty until known.
        joined_at: When this balancer learnt of that start.
        paused_until: Openings are offered elsewhere until then.
        opened_at: Times of openings sent and perhaps not yet reported.
    """

    address: str
    added_at: float
    service: str = ""
    data_centre: str = ""
    registered: bool = False
    heard_at: float | None = None
    announcement: messages.Announcement | None = None
    incarnation: str = ""
    joined_at: float = float("-inf")
    paused_until: float = 0.0
    opened_at: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=256)
    )

    def silent_s(self, now: float) -> float:
        """Returns the seconds since the agent was last heard.

        Silence of an agent that was never heard counts from when it was
        learnt of.
        """
        if self.heard_at is None:
            return now - self.added_at
        return now - self.heard_at

    def may_take_openings(self, *, max_flows: int, now: float) -> bool:
        """Returns whether the target could accept an opening at all."""
        return (
            self.announcement is not None
            and self.announcement.state
            in (messages.TargetState.READY, messages.TargetState.UNKNOWN)
            and self.announcement.flows < max_flows
            and self.silent_s(now) <= LOST_S
        )

    def doubtful(self, now: float) -> bool:
        """Returns whether others are to be preferred whatever their load."""
        return (
            self.silent_s(now) > SILENT_S
            or self.paused_until > now
            or self.announcement is None
            or self.announcement.state == messages.TargetState.UNKNOWN
        )

    def ramp(self, now: float) -> float:
        """Returns the share of openings that the target may get, up to 1."""
        return min(1.0, (now - self.joined_at) / RAMP_S)

    @property
    def failing(self) -> bool:
        """Whether the target fails many of its requests."""
        return self.announcement is not None and self.announcement.failing

    def load(self) -> float:
        """Returns the flows a slot, with openings that aren't reported."""
        if self.announcement is None:
            return 0.0
        cold = COLD_LOAD if self.announcement.cold_ms > 0 else 0.0
        flows = self.announcement.flows + len(self.opened_at) + cold
        return flows / max(1, self.announcement.slots)


def _sample(targets: list[Target], draw: int) -> list[Target]:
    """Returns some of many targets, evenly spread over the list."""
    if len(targets) <= MAX_CANDIDATES:
        return targets
    start = draw % len(targets)
    stride = len(targets) / MAX_CANDIDATES
    return [
        targets[(start + int(number * stride)) % len(targets)]
        for number in range(MAX_CANDIDATES)
    ]


def _draw(spread: int, address: str) -> float:
    """Returns a number from 0 to 1 for an opening at a target."""
    return zlib.crc32(b"%d/%s" % (spread, address.encode())) / _DRAWS


def _without_most_failing(targets: list[Target], spread: int) -> list[Target]:
    """Leaves out failing targets, for most openings, unless many fail."""
    failing = sum(target.failing for target in targets)
    if failing == 0 or failing > max(1, MOST_ASIDE * len(targets)):
        return targets
    trial = TRIAL_SHARE / len(targets)
    return [
        target
        for target in targets
        if not target.failing or trial > _draw(spread, target.address)
    ]


def _without_most_starting(
    targets: list[Target], spread: int, *, now: float
) -> list[Target]:
    """Leaves out targets that have just joined, for most openings.

    Pattern: slow start. Balancers choose at the same time and hear of each
    other's choices later, so a share of openings bounds what a target gets.
    Targets that joined together, and have no others beside them, all stay.
    When none is starting, as at most times, nothing is drawn.
    """
    starting = sum(target.ramp(now) < 1.0 for target in targets)
    if starting in (0, len(targets)):
        return targets
    first = FIRST_SHARE / len(targets)
    return [
        target
        for target in targets
        if max(first, target.ramp(now)) > _draw(spread, target.address)
    ]


@attrs.define(eq=False, repr=False)
class TargetTable:
    """Targets by the address of their agent."""

    target_by_address: dict[str, Target] = attrs.field(factory=dict)
    _targets_by_service: dict[str, list[Target]] | None = None

    def of_service(self, service: str) -> list[Target]:
        """Returns the targets of a service."""
        if self._targets_by_service is None:
            self._targets_by_service = {}
            for target in self.target_by_address.values():
                self._targets_by_service.setdefault(target.service, []).append(
                    target
                )
        return self._targets_by_service.get(service, [])

    def remove(self, address: str) -> None:
        """Forgets an agent and its target."""
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

    def hear(self, address: str, *, now: float) -> None:
        """Notes a sign of life of an agent."""
        self.add(address, now=now).heard_at = now

    def register(
        self, address: str, service: str, data_centre: str, *, now: float
    ) -> Target:
        """Notes an agent's entry in the store and returns its target."""
        target = self.add(address, now=now)
        target.registered = True
        if target.announcement is None:
            self._targets_by_service = None
            target.service = service
            target.data_centre = data_centre
        return target

    def unregister(self, address: str, *, now: float) -> None:
        """Notes that the store lost an agent's entry.

        An agent that is heard directly stays: its entry may have lapsed while
        it could not reach the store.
        """
        target = self.target_by_address.get(address)
        if target is None:
            return
        target.registered = False
        if target.silent_s(now) > LOST_S:
            self.remove(address)

    def announce(
        self,
        address: str,
        announcement: messages.Announcement,
        *,
        now: float,
    ) -> bool:
        """Takes an announcement.

        Returns:
            Whether the target changed in state, service, incarnation or in
            whether it is failing.
        """
        target = self.add(address, now=now)
        known = target.announcement
        if (
            known is not None
            and known.run_id == announcement.run_id
            and known.sequence >= announcement.sequence
        ):
            return False
        target.heard_at = now
        target.announcement = announcement
        if target.service != announcement.service:
            self._targets_by_service = None
        target.service = announcement.service
        target.data_centre = announcement.data_centre
        if announcement.incarnation not in ("", target.incarnation):
            target.incarnation = announcement.incarnation
            target.joined_at = now
        while target.opened_at and target.opened_at[0] < now - REPORT_DELAY_S:
            target.opened_at.popleft()
        return (
            known is None
            or known.state != announcement.state
            or known.service != announcement.service
            or known.incarnation != announcement.incarnation
            or known.failing != announcement.failing
        )

    def forget_lost(self, *, now: float, after_s: float) -> list[str]:
        """Drops targets without entry that have been silent for long.

        Returns:
            Their addresses.
        """
        lost = [
            target.address
            for target in self.target_by_address.values()
            if not target.registered and target.silent_s(now) > after_s
        ]
        for address in lost:
            self.remove(address)
        return lost

    def mostly_heard(self, *, now: float) -> bool:
        """Returns whether more than half of the agents were heard lately.

        If not, the silence of one of them says nothing about its VM: this
        balancer may be the one that is cut off.
        """
        heard = sum(
            target.heard_at is not None and target.silent_s(now) < SILENT_S
            for target in self.target_by_address.values()
        )
        return 2 * heard > len(self.target_by_address)

    def excuse_pause(self, pause_s: float) -> None:
        """Discounts a pause of this process from all silences."""
        for target in self.target_by_address.values():
            target.added_at += pause_s
            if target.heard_at is not None:
                target.heard_at += pause_s

    def choose(
        self,
        service: str,
        *,
        now: float,
        data_centre: str,
        closed_data_centres: frozenset[str],
        max_flows: int,
        excluded: frozenset[str],
        spread: int,
    ) -> Target | None:
        """Chooses the target for an opening: the one with the least load.

        Args:
            service: The service.
            now: Seconds.
            data_centre: Preferred among targets of about equal load.
            closed_data_centres: Data centres that get nothing new.
            max_flows: Flows that one target holds.
            excluded: Addresses that were tried already.
            spread: Number of the flow; it settles what is still equal.

        Returns:
            The target, or None if none may take the opening.
        """
        usable = [
            target
            for target in _sample(self.of_service(service), spread)
            if target.address not in excluded
            and target.data_centre not in closed_data_centres
            and target.may_take_openings(max_flows=max_flows, now=now)
        ]
        if not usable:
            return None
        trusted = [target for target in usable if not target.doubtful(now)]
        working = _without_most_failing(trusted or usable, spread)
        candidates = _without_most_starting(working, spread, now=now)
        load_by_address = {
            target.address: target.load() for target in candidates
        }
        bearable = min(load_by_address.values()) * (1.0 + LOCAL_EXCESS)

        def rank(target: Target) -> tuple[bool, float, float]:
            load = load_by_address[target.address]
            local = target.data_centre == data_centre and load <= bearable
            return not local, load, _draw(spread, target.address)

        target = min(candidates, key=rank)
        target.opened_at.append(now)
        return target
