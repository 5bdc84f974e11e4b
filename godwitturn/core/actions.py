"""Events that daemons pass to balancers and agents, and resulting actions."""

import attrs

from godwitturn.core import addresses
from godwitturn.core import events
from godwitturn.core import policy as policies
from godwitturn.core import routing

# Events of balancers and agents


@attrs.frozen
class Tick:
    """Runs work that is due by time; sent about ten times a second."""


@attrs.frozen
class FenceChanged:
    """The view of the configuration became confirmed or unconfirmed.

    Attributes:
        fenced: Whether the view is unconfirmed and traffic must stop.
    """

    fenced: bool


@attrs.frozen
class StopRequested:
    """The daemon received a request for a graceful stop."""


# Events of a balancer


@attrs.define
class CallerDatagram:
    """A datagram from a caller, received through the fabric."""

    source: addresses.Address
    data: bytes


@attrs.define
class AgentDatagram:
    """An encapsulated datagram from an agent."""

    source: addresses.Address
    data: bytes


@attrs.frozen
class RoutingChanged:
    """The configuration or the announcements of targets changed."""

    table: routing.RoutingTable


# Events of an agent


@attrs.define
class BalancerDatagram:
    """An encapsulated datagram from a balancer."""

    source: addresses.Address
    data: bytes


@attrs.frozen
class PolicyChanged:
    """The part of the configuration that applies to this agent changed."""

    policy: policies.AgentPolicy


@attrs.frozen
class RequestKey:
    """Identifies one request at one agent.

    Attributes:
        flow_id: The flow.
        epoch: Number of the flow's reservation at this agent.
        request_id: Number of the request within the flow.
    """

    flow_id: int
    epoch: int
    request_id: int


@attrs.frozen
class TargetAnswered:
    """The target answered a request.

    Attributes:
        key: The request.
        body: The complete answer.
        boot_id: The target's boot id as sent with this answer.
    """

    key: RequestKey
    body: bytes
    boot_id: str


@attrs.frozen
class TargetFailed:
    """The target did not answer a request.

    Attributes:
        key: The request.
        started: False only if the target certainly did not run the request,
            because the connection was refused before anything was sent or
            the target replied that it shed the request.
        connection_lost: Whether the connection was refused or reset.
    """

    key: RequestKey
    started: bool
    connection_lost: bool = False


@attrs.frozen
class HealthCheckCompleted:
    """The result of a check of the target's health endpoint.

    The endpoint may lag behind the target's state or misreport it.

    Attributes:
        reachable: Whether the endpoint answered.
        draining: Whether the endpoint reports that the target drains.
        boot_id: The target's boot id, or empty.
    """

    reachable: bool
    draining: bool = False
    boot_id: str = ""


# Actions of balancers and agents


@attrs.frozen
class Emit:
    """Writes a log event."""

    event: events.LogEvent


@attrs.frozen
class Observe:
    """Records a value in a histogram.

    Attributes:
        histogram: Name of the histogram.
        service_id: The service that the value is recorded for.
        request_class: `idempotent`, `once` or `flow`.
        value_us: A duration in microseconds, or a number without a unit for
            histograms of counts.
    """

    histogram: str
    service_id: int
    request_class: str
    value_us: int


@attrs.frozen
class NewerVersionSeen:
    """A peer uses a newer configuration; the control node should fetch it.

    Attributes:
        version: The peer's configuration version.
    """

    version: int


@attrs.frozen
class Stopped:
    """All work in progress is complete; the daemon may exit."""


# Actions of a balancer


@attrs.define
class SendToCaller:
    """Sends a datagram to a caller, through the fabric."""

    address: addresses.Address
    data: bytes


@attrs.define
class SendToAgent:
    """Sends an encapsulated datagram to an agent."""

    address: addresses.Address
    data: bytes


# Actions of an agent


@attrs.define
class SendToBalancer:
    """Sends an encapsulated datagram to a balancer."""

    address: addresses.Address
    data: bytes


@attrs.frozen
class StartRequest:
    """Sends a request to the target.

    Attributes:
        key: The request.
        body: The complete request body.
        deadline_s: Remaining seconds until the caller stops waiting.
        idempotent: Whether it may run more than once.
    """

    key: RequestKey
    body: bytes
    deadline_s: float
    idempotent: bool


@attrs.frozen
class CancelRequest:
    """Asks the target to cancel a request that it may be running."""

    key: RequestKey


BalancerEvent = (
    Tick
    | FenceChanged
    | StopRequested
    | CallerDatagram
    | AgentDatagram
    | RoutingChanged
)
BalancerAction = (
    Emit | Observe | NewerVersionSeen | Stopped | SendToCaller | SendToAgent
)
AgentEvent = (
    Tick
    | FenceChanged
    | StopRequested
    | BalancerDatagram
    | PolicyChanged
    | TargetAnswered
    | TargetFailed
    | HealthCheckCompleted
)
AgentAction = (
    Emit
    | Observe
    | NewerVersionSeen
    | Stopped
    | SendToBalancer
    | StartRequest
    | CancelRequest
)
