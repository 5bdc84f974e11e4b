"""An agent's view of its target: its heartbeats, its state and its end.

A target may crash or restart beside an agent that keeps running. The target's
last messages may arrive late, and silence may only mean that the target is
busy, so it counts as ended only when nothing listens at its address, or when
the agent stops after the target has announced its end.
"""

import enum

import attrs

from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages

# Time without an answer after which the target is probed. Targets answer
# openings and requests within milliseconds. A busy target takes longer, so a
# time-out alone doesn't mark it as down.
ANSWER_TIMEOUT_S = 0.3
PROBE_INTERVAL_S = 1.0
# Interval of probes of a target that has announced its end. It exits within
# milliseconds.
DEPARTURE_PROBE_INTERVAL_S = 0.1
# Heartbeats are numbered from 1. An agent that receives the first one was
# running before the target started.
FIRST_SEQUENCE = 1
# Targets send a heartbeat about every second. After a longer gap than this, a
# heartbeat of an earlier start isn't taken for a late one, because it may come
# from a successor whose clock is behind.
MAX_HEARTBEAT_GAP_S = 2.5
# Time for which a target counts as cold after the time that it has stated.
# Heartbeats state whole milliseconds, which may be rounded down.
COLD_MARGIN_S = 0.1


class Verdict(enum.Enum):
    """How a heartbeat compares with the newest one and with the service.

    Attributes:
        UNCHANGED: Same start and state of the target.
        CHANGED: Same start, another state.
        RESTARTED: Another start, or the first heartbeat.
        OTHER_SERVICE: Heartbeat of another service's target.
        OTHER_ADDRESS: Heartbeat of a target at another address.
        EARLIER_START: Late heartbeat of an earlier start.
        LATE: Repeated or older heartbeat of the same start.
    """

    UNCHANGED = "unchanged"
    CHANGED = "changed"
    RESTARTED = "restarted"
    OTHER_SERVICE = "service"
    OTHER_ADDRESS = "address"
    EARLIER_START = "earlier_start"
    LATE = "late"


IGNORED_VERDICTS = frozenset(
    {
        Verdict.OTHER_SERVICE,
        Verdict.OTHER_ADDRESS,
        Verdict.EARLIER_START,
        Verdict.LATE,
    }
)


@attrs.define(eq=False, repr=False)
class TargetWatch:
    """The target beside an agent.

    Attributes:
        service: The service that the target must belong to.
        address: IP address and port where the target receives packets.
        heartbeat: The newest heartbeat, None before the first.
        heartbeat_at: When the newest heartbeat arrived.
        state: State of the target.
        tracks_all_flows: Whether the agent has seen all packets since the
            target started, so that it tracks all flows of the target.
        departed: Whether the target has announced its end.
        cold_outdated: Whether the target may have become cold since the
            newest heartbeat.
    """

    service: str
    address: tuple[str, int]
    heartbeat: heartbeats.Heartbeat | None = None
    heartbeat_at: float = 0.0
    state: messages.TargetState = messages.TargetState.UNKNOWN
    tracks_all_flows: bool = False
    departed: bool = False
    cold_outdated: bool = False
    _cold_until: float = float("inf")
    _unanswered_since: float | None = None
    _probed_at: float = float("-inf")

    @property
    def incarnation(self) -> str:
        """Identity of the target's current start, empty if unknown."""
        return self.heartbeat.incarnation if self.heartbeat else ""

    @property
    def slots(self) -> int:
        """Requests that the target can run at the same time, at least 1.

        Targets write their heartbeats themselves; some may name no slots.
        """
        return max(1, self.heartbeat.slots) if self.heartbeat else 1

    @property
    def is_down(self) -> bool:
        """Whether the target has ended."""
        return self.state == messages.TargetState.DOWN

    def cold_ms(self, now: float) -> int:
        """Returns for how many milliseconds the target stays cold.

        The result is at least 1 while that is unknown.
        """
        if self.heartbeat is None:
            return 1
        elapsed_ms = 1000 * (now - self.heartbeat_at)
        minimum_ms = 1 if self.cold_outdated else 0
        return max(minimum_ms, round(self.heartbeat.cold_ms - elapsed_ms))

    def is_cold(self, now: float) -> bool:
        """Returns whether the limit of a cold target applies.

        It does until the target is certain to be warm. Openings that wait for
        it are delivered at once then.
        """
        return self.cold_outdated or now < self._cold_until

    def update(
        self, heartbeat: heartbeats.Heartbeat, *, now: float
    ) -> Verdict:
        """Applies a heartbeat and returns the verdict on it.

        A heartbeat whose verdict is one of `IGNORED_VERDICTS` isn't applied.
        """
        verdict = self._classify(heartbeat, now=now)
        if verdict in IGNORED_VERDICTS:
            return verdict
        if verdict is Verdict.RESTARTED:
            self.tracks_all_flows = (
                self.heartbeat is not None
                or heartbeat.sequence <= FIRST_SEQUENCE
            )
        self.heartbeat = heartbeat
        self.heartbeat_at = now
        self.departed = False
        self.cold_outdated = False
        if heartbeat.cold_ms:
            self._cold_until = now + heartbeat.cold_ms / 1000 + COLD_MARGIN_S
        elif verdict is Verdict.RESTARTED:
            self._cold_until = now
        state = (
            messages.TargetState.DRAINING
            if heartbeat.draining
            else messages.TargetState.READY
        )
        if state != self.state and verdict is Verdict.UNCHANGED:
            verdict = Verdict.CHANGED
        self.state = state
        return verdict

    def _classify(
        self, heartbeat: heartbeats.Heartbeat, *, now: float
    ) -> Verdict:
        newest = self.heartbeat
        if heartbeat.service != self.service:
            return Verdict.OTHER_SERVICE
        if heartbeat.address != self.address:
            return Verdict.OTHER_ADDRESS
        if newest is None:
            return Verdict.RESTARTED
        if heartbeat.incarnation == newest.incarnation:
            late = heartbeat.sequence <= newest.sequence
            return Verdict.LATE if late else Verdict.UNCHANGED
        superseded = (
            self.is_down or now - self.heartbeat_at > MAX_HEARTBEAT_GAP_S
        )
        if heartbeat.born < newest.born and not superseded:
            return Verdict.EARLIER_START
        return Verdict.RESTARTED

    def handle_departure(self, target_id: str) -> bool:
        """Handles the notification that a target is about to end.

        The target gets no new flows from then on.

        Returns:
            Whether the state changed. A notification is ignored if it is of
            another target or repeated, or if the target is down.
        """
        newest = self.heartbeat
        if newest is not None and newest.target_id != target_id:
            return False
        if self.is_down or self.departed:
            return False
        self.departed = True
        self.state = messages.TargetState.DRAINING
        return True

    def mark_down(self) -> bool:
        """Marks the target as down.

        Returns:
            Whether it wasn't down before.
        """
        if self.is_down:
            return False
        self.state = messages.TargetState.DOWN
        self.tracks_all_flows = True
        return True

    def record_delivery(self, *, now: float) -> None:
        """Starts the wait for an answer, unless one is running."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_packet(self) -> None:
        """Ends the wait for an answer: the target has sent a packet."""
        self._unanswered_since = None

    def pop_unanswered_since(self) -> float | None:
        """Returns and clears the start of the wait for an answer."""
        since, self._unanswered_since = self._unanswered_since, None
        return since

    def probe_due(self, *, now: float) -> bool:
        """Returns whether to check now if the target still listens."""
        if self.is_down:
            return False
        interval_s = PROBE_INTERVAL_S
        if self.departed:
            interval_s = DEPARTURE_PROBE_INTERVAL_S
        elif (
            self._unanswered_since is None
            or now - self._unanswered_since < ANSWER_TIMEOUT_S
        ):
            return False
        if now - self._probed_at < interval_s:
            return False
        self._probed_at = now
        return True
