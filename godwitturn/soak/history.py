"""Events of clients and targets in a soak, and the injected faults."""

import enum

import attrs

from godwitturn.core.transparent import segments


class FaultKind(enum.Enum):
    """Kinds of injected faults and planned operations."""

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
    STORE_RESTORED = "store_restored"
    ROLL = "roll"
    MOVE_ROUTE = "move_route"
    TAKE_BACK_IN_DARK = "take_back_in_dark"


# Operations by operators; no guarantee is suspended during them.
PLANNED_KINDS = frozenset(
    {
        FaultKind.STOP,
        FaultKind.RELOAD,
        FaultKind.TARGET_DRAIN,
        FaultKind.CONFIGURE,
        FaultKind.EVACUATE,
        FaultKind.ROLL,
        FaultKind.MOVE_ROUTE,
    }
)


# Kinds that only soaks with restores contain, so that the seeds of others
# keep their faults.
RESTORE_KINDS = frozenset({FaultKind.STORE_RESTORED})
# Kinds that each soak contains besides its random faults.
OPERATION_KINDS = frozenset(
    {FaultKind.ROLL, FaultKind.MOVE_ROUTE, FaultKind.TAKE_BACK_IN_DARK}
)


@attrs.define(frozen=True)
class Fault:
    """A fault or planned operation.

    Attributes:
        at: Time in seconds; in a schedule, since the load began.
        kind: Kind of the fault.
        selector: Number that selects, depending on the kind, a process, a
            target, a data centre or the value of a setting.
        seconds: Duration.
    """

    at: float
    kind: FaultKind
    selector: int
    seconds: float

    @property
    def planned(self) -> bool:
        """Whether it is an operation by operators."""
        return self.kind in PLANNED_KINDS


@attrs.define(frozen=True)
class TargetInstance:
    """One run of a target, from its start to its end.

    Attributes:
        name: Its unique name, such as `agent-0/1`.
        service: Its service.
        address: Its IP address.
        started_at: Time in seconds.
        draining_at: Time at which the agent acknowledged the drain. Infinity
            until then, None if the instance does not drain.
        ended_at: Time at which it ended, or None.
    """

    name: str
    service: str
    address: str
    started_at: float
    draining_at: float | None = None
    ended_at: float | None = None


@attrs.define(frozen=True)
class ColdPeriod:
    """A time in which a target with a limit for cold starts was cold.

    Attributes:
        target: Name of the target instance.
        since: Time in seconds at which it became cold.
        until: Time in seconds from which it is warm.
        max_openings: Number of openings that it may get in any second.
    """

    target: str
    since: float
    until: float
    max_openings: int


@attrs.define(frozen=True)
class RouteChange:
    """Operators gave a route a service.

    Attributes:
        at: Time in seconds.
        port: Port of the route.
        service: Its service from then on.
    """

    at: float
    port: int
    service: str


@attrs.define(frozen=True)
class FlowEvent:
    """An event of a flow.

    Attributes:
        at: Time in seconds.
        flow_id: The flow.
    """

    at: float
    flow_id: segments.FlowId


@attrs.define(frozen=True)
class TargetEvent(FlowEvent):
    """An event of a flow with a target.

    Attributes:
        target: Name of the target instance.
    """

    target: str


@attrs.define(frozen=True)
class OpeningTaken(TargetEvent):
    """A target answered an opening; the flow isn't open there yet."""


@attrs.define(frozen=True)
class FlowOpened(TargetEvent):
    """A client acknowledged a target's opening: its flow is open there.

    Attributes:
        sequence: Sequence number of the client's opening, which tells flows of
            one port apart.
    """

    sequence: int = 0


@attrs.define(frozen=True)
class RequestRun(TargetEvent):
    """A target began to run a request.

    Attributes:
        request: Body of the request, unique within its flow.
        sequence: Sequence number of the flow's opening.
    """

    request: bytes
    sequence: int = 0


@attrs.define(frozen=True)
class StrayPacket(TargetEvent):
    """A target received a packet of a route that never had its service."""


@attrs.define(frozen=True)
class Answered(TargetEvent):
    """A client received an answer of a target.

    Attributes:
        expected: Whether the client was waiting for this answer.
        after_s: Seconds since the request was first sent.
    """

    expected: bool
    after_s: float


@attrs.define(frozen=True)
class ResetSeen(TargetEvent):
    """A client received a reset.

    The target is the one that holds the flow, empty if unknown.
    """


@attrs.define(frozen=True)
class GivenUp(FlowEvent):
    """A client gave up an opening or a request.

    Attributes:
        opening: Whether it was an opening.
    """

    opening: bool


Record = (
    OpeningTaken
    | FlowOpened
    | RequestRun
    | StrayPacket
    | Answered
    | ResetSeen
    | GivenUp
)


@attrs.define
class History:
    """Events and faults of a soak.

    Attributes:
        seconds: Duration of the load.
        began_at: Time at which the load began, in seconds of the event loop's
            clock, as all times in the history.
        records: Events of clients and targets, in order.
        instance_by_name: Instances of targets.
        cold_periods: Times in which targets were cold.
        route_changes: Services of the routes, in order; the first of each
            route is the one it started with.
        faults: Injected faults, in order.
        unexpected_exits: Name and status of each process that exited
            unexpectedly.
        outdated_members: A line for each balancer whose configuration or
            closed data centres, and each agent whose entry or evacuation,
            was out of date at the end.
    """

    seconds: float
    began_at: float = 0.0
    records: list[Record] = attrs.field(factory=list)
    instance_by_name: dict[str, TargetInstance] = attrs.field(factory=dict)
    cold_periods: list[ColdPeriod] = attrs.field(factory=list)
    route_changes: list[RouteChange] = attrs.field(factory=list)
    faults: list[Fault] = attrs.field(factory=list)
    unexpected_exits: list[str] = attrs.field(factory=list)
    outdated_members: list[str] = attrs.field(factory=list)

    def services_of(
        self, port: int, *, since: float = 0.0, until: float = float("inf")
    ) -> set[str]:
        """Returns the services that a route had in a time.

        Args:
            port: Port of the route.
            since: Start of the time in seconds.
            until: End of the time in seconds.
        """
        changes = [row for row in self.route_changes if row.port == port]
        return {
            change.service
            for number, change in enumerate(changes)
            if change.at <= until
            and all(later.at >= since for later in changes[number + 1 :])
        }
