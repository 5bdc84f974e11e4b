"""What an agent knows of its target: heartbeats, coldness, end.

Pattern: a target crashes, or starts again, beside an agent that goes on. Its
last word may come late, and its silence may only mean that it is busy, so an
end is taken for sure only when nothing listens at its address.
"""

import enum

import attrs

from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages

# Targets answer openings and requests within milliseconds; a busy one takes
# longer, so silence alone doesn't count as its end.
ANSWER_TIMEOUT_S = 0.3
PROBE_INTERVAL_S = 1.0
# A target that says that it ends does so within milliseconds.
DEPARTURE_PROBE_INTERVAL_S = 0.1
# Heartbeats are counted from 1; the first one tells that the target has
# started after this agent.
FIRST_SEQUENCE = 1
# Targets say so about every second. One that was silent for longer may have
# been followed by one whose clock is behind.
SUPERSEDED_S = 2.5


class Verdict(enum.Enum):
    """What a heartbeat meant."""

    UNCHANGED = "unchanged"
    CHANGED = "changed"
    RESTARTED = "restarted"
    OTHER_SERVICE = "service"
    EARLIER_START = "earlier_start"
    LATE = "late"


IGNORED = frozenset(
    {Verdict.OTHER_SERVICE, Verdict.EARLIER_START, Verdict.LATE}
)


@attrs.define(eq=False, repr=False)
class TargetWatch:
    """The target beside an agent.

    Attributes:
        service: The service that the target must be of.
        heartbeat: The newest heartbeat, None if none came.
        heartbeat_at: When it came.
        state: State of the target.
        witnessed: Whether the agent has seen all packets of this start of the
            target, so that it knows all flows.
        departed: Whether the target has said that it ends.
    """

    service: str
    heartbeat: heartbeats.Heartbeat | None = None
    heartbeat_at: float = 0.0
    state: messages.TargetState = messages.TargetState.UNKNOWN
    tracks_all_flows: bool = False
    departed: bool = False
    _unanswered_since: float | None = None
    _probed_at: float = float("-inf")

    @property
    def incarnation(self) -> str:
        """Identity of the target's present start, empty if unknown."""
        return self.heartbeat.incarnation if self.heartbeat else ""

    @property
    def slots(self) -> int:
        """Requests that the target runs at the same time."""
        return self.heartbeat.slots if self.heartbeat else 1

    @property
    def is_down(self) -> bool:
        """Whether the target has ended."""
        return self.state == messages.TargetState.DOWN

    def cold_ms(self, now: float) -> int:
        """Returns for how many milliseconds the target stays cold."""
        if self.heartbeat is None:
            return 1  # unknown: as if cold
        elapsed_ms = 1000 * (now - self.heartbeat_at)
        return max(0, round(self.heartbeat.cold_ms - elapsed_ms))

    def update(
        self, heartbeat: heartbeats.Heartbeat, *, now: float
    ) -> Verdict:
        """Takes a heartbeat, unless it is not the target's newest word."""
        verdict = self._classify(heartbeat, now=now)
        if verdict in IGNORED:
            return verdict
        if verdict is Verdict.RESTARTED:
            self.tracks_all_flows = (
                self.heartbeat is not None
                or heartbeat.sequence <= FIRST_SEQUENCE
            )
        self.heartbeat = heartbeat
        self.heartbeat_at = now
        self.departed = False
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
        if newest is None:
            return Verdict.RESTARTED
        if heartbeat.incarnation == newest.incarnation:
            late = heartbeat.sequence <= newest.sequence
            return Verdict.LATE if late else Verdict.UNCHANGED
        superseded = self.is_down or now - self.heartbeat_at > SUPERSEDED_S
        if heartbeat.born < newest.born and not superseded:
            return Verdict.EARLIER_START
        return Verdict.RESTARTED

    def handle_departure(self, target_id: str) -> bool:
        """Takes the target's word that it ends; it gets nothing new.

        Returns:
            Whether that is news of the present target.
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
        """Notes that the target has ended; returns whether that is news."""
        if self.is_down:
            return False
        self.state = messages.TargetState.DOWN
        self.tracks_all_flows = True
        return True

    def record_delivery(self, *, now: float) -> None:
        """Notes a packet that the target has to answer."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_packet(self) -> None:
        """Notes a packet of the target."""
        self._unanswered_since = None

    def pop_unanswered_since(self) -> float | None:
        """Returns since when packets wait for an answer, and forgets it."""
        since, self._unanswered_since = self._unanswered_since, None
        return since

    def probe_due(self, *, now: float) -> bool:
        """Returns whether to find out if the target still listens."""
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
