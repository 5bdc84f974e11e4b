"""What clients and targets saw in a soak, and what was done to the system."""

import enum

import attrs

from godwitturn.core.transparent import segments


class FaultKind(enum.Enum):
    """What is done to the system."""

    KILL = "kill"
    FREEZE = "freeze"
    STOP = "stop"
    RELOAD = "reload"
    STORE_REFUSES = "store_refuses"
    STORE_SILENT = "store_silent"
    STORE_ONE_WAY = "store_one_way"
    STORE_SLOW = "store_slow"
    STORE_RESETS = "store_resets"
    LEASES_LAPSE = "leases_lapse"
    TARGET_CRASH = "target_crash"
    TARGET_DRAIN = "target_drain"
    CONFIGURE = "configure"
    EVACUATE = "evacuate"


# What operators do on purpose; it excuses nothing.
PLANNED = frozenset(
    {
        FaultKind.STOP,
        FaultKind.RELOAD,
        FaultKind.TARGET_DRAIN,
        FaultKind.CONFIGURE,
        FaultKind.EVACUATE,
    }
)


@attrs.define(frozen=True)
class Fault:
    """Something done to the system.

    Attributes:
        at: Seconds; in a schedule, since the load began.
        kind: What it is.
        subject: Index of the process or target; which of them it means
            depends on the kind.
        seconds: How long it lasts.
    """

    at: float
    kind: FaultKind
    subject: int
    seconds: float

    @property
    def planned(self) -> bool:
        """Whether operators do it on purpose."""
        return self.kind in PLANNED


@attrs.define(frozen=True)
class TargetStart:
    """One start of a target.

    Attributes:
        name: Its id.
        service: Its service.
        address: Its IP number.
        started_at: Seconds.
        draining_at: When the system acknowledged that it drains, or None.
        ended_at: When it ended, or None.
    """

    name: str
    service: str
    address: str
    started_at: float
    draining_at: float | None = None
    ended_at: float | None = None


@attrs.define(frozen=True)
class OpeningTaken:
    """A target took an opening.

    Attributes:
        at: Seconds.
        flow_id: The flow.
        target: Name of the target's start.
    """

    at: float
    flow_id: segments.FlowId
    target: str


@attrs.define(frozen=True)
class StrayPacket:
    """A target got a packet of a route that isn't its service's.

    Attributes:
        at: Seconds.
        flow_id: The flow.
        target: Name of the target's start.
    """

    at: float
    flow_id: segments.FlowId
    target: str


@attrs.define(frozen=True)
class Answered:
    """A client got an answer.

    Attributes:
        at: Seconds.
        flow_id: The flow.
        target: Name of the target's start that answered.
        expected: Whether the client waits for this answer.
        after_s: Seconds since the request was first sent.
    """

    at: float
    flow_id: segments.FlowId
    target: str
    expected: bool
    after_s: float


@attrs.define(frozen=True)
class ResetSeen:
    """A client got a reset.

    Attributes:
        at: Seconds.
        flow_id: The flow.
        target: Name of the target's start that holds the flow, empty if the
            flow isn't open.
    """

    at: float
    flow_id: segments.FlowId
    target: str


@attrs.define(frozen=True)
class GivenUp:
    """A client gave an opening or a request up.

    Attributes:
        at: Seconds.
        flow_id: The flow.
        opening: Whether it was an opening.
    """

    at: float
    flow_id: segments.FlowId
    opening: bool


Record = OpeningTaken | StrayPacket | Answered | ResetSeen | GivenUp


@attrs.define
class History:
    """All of a soak.

    Attributes:
        seconds: How long the load lasts.
        began_at: When it began, in seconds of the loop's clock, as all times
            in the history.
        records: What clients and targets saw, in order.
        start_by_name: Starts of targets.
        faults: What was done, in order.
        exits: Processes that ended by themselves.
    """

    seconds: float
    began_at: float = 0.0
    records: list[Record] = attrs.field(factory=list)
    start_by_name: dict[str, TargetStart] = attrs.field(factory=dict)
    faults: list[Fault] = attrs.field(factory=list)
    exits: list[str] = attrs.field(factory=list)
