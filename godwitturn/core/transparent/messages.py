"""Messages between balancers and agents, and the actions of both."""

import enum

import attrs

from godwitturn.core.transparent import segments


class Refusal(enum.IntEnum):
    """Why an agent did not take an opening."""

    DRAINING = 1
    EVACUATED = 2
    COLD = 3
    FULL = 4
    DOWN = 5
    WRONG_SERVICE = 6


class TargetState(enum.IntEnum):
    """What an agent says of its target."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    DOWN = 3


@attrs.define(frozen=True, repr=False)
class Forward:
    """A client's packet on its way from a balancer to an agent.

    Attributes:
        service: Name of the service that the flow belongs to, empty if the
            balancer doesn't know it.
        search: Whether the balancer doesn't know if the flow is there.
        data: The packet.
    """

    service: str
    search: bool
    data: bytes


@attrs.define(frozen=True, repr=False)
class Relayed:
    """A packet for an agent that its sender doesn't reach, but we may.

    Attributes:
        agent: Address of the agent.
        forward: What to send it.
    """

    agent: str
    forward: Forward


@attrs.define(frozen=True, repr=False)
class OpeningRefused:
    """An agent hands an opening back.

    Attributes:
        reason: Why.
        data: The packet.
    """

    reason: Refusal
    data: bytes


@attrs.define(frozen=True, repr=False)
class PacketReturned:
    """The target beside the sender doesn't hold a packet's flow.

    Attributes:
        data: The packet.
    """

    data: bytes


@attrs.define(frozen=True, repr=False)
class FlowQuery:
    """A balancer asks whether a target holds a flow.

    Attributes:
        flow_id: The flow.
        service: Service that the flow's route has had, empty if it never had
            that of the agent asked.
    """

    flow_id: segments.FlowId
    service: str


@attrs.define(frozen=True, repr=False)
class FlowAbsent:
    """The target beside the sender doesn't hold a flow.

    Attributes:
        flow_id: The flow.
    """

    flow_id: segments.FlowId


@attrs.define(frozen=True, repr=False)
class FlowUnknown:
    """The sender would have to try a packet at its target.

    Attributes:
        flow_id: The flow.
    """

    flow_id: segments.FlowId


@attrs.define(frozen=True, repr=False)
class FlowOwned:
    """The target beside the sender holds a flow.

    Attributes:
        flow_id: The flow.
    """

    flow_id: segments.FlowId


@attrs.define(frozen=True, repr=False)
class FlowsListed:
    """Flows that the target beside the sender holds, told without a question.

    Attributes:
        flow_ids: The flows.
    """

    flow_ids: tuple[segments.FlowId, ...]


@attrs.define(frozen=True, repr=False)
class Announcement:
    """What an agent says of its target and itself.

    Attributes:
        node: Name of the agent's VM.
        service: Service of the target.
        data_centre: Data centre of both.
        run: Random number of the agent's run.
        sequence: Count of announcements in this run.
        incarnation: Identity of the target's present start, empty while the
            agent hasn't heard of it.
        state: State of the target.
        slots: Requests that the target runs at the same time.
        flows: Flows open at the target.
        work: Flows with a request that has no answer yet.
        cold_ms: Milliseconds for which the target stays cold.
        balancers: Addresses of the balancers that the agent knows; empty in
            most announcements.
        revision: Store revision of its copy of the operators' documents.
        failing: Whether the target fails many of its requests.
    """

    node: str
    service: str
    data_centre: str
    run_id: int
    sequence: int
    incarnation: str
    state: TargetState
    slots: int
    flows: int
    work: int
    cold_ms: int
    balancers: tuple[str, ...]
    revision: int
    failing: bool = False


@attrs.define(frozen=True, repr=False)
class Hello:
    """A balancer makes itself known to an agent, with what concerns it.

    Attributes:
        revision: Store revision of the configuration behind the other fields,
            0 if the balancer has none.
        evacuated: Whether the agent's data centre is to get nothing new.
        cold_per_second: Requests a second that a cold target bears.
        registered: Whether the agent's entry is in the store.
        data_centre: Data centre of the balancer.
        agents: Agents that the balancer knows.
        wants_flows: Whether the balancer has yet to learn the target's flows.
    """

    revision: int
    evacuated: bool
    cold_per_second: float
    registered: bool
    data_centre: str
    agents: int
    flows_requested: bool


@attrs.define(frozen=True, repr=False)
class PeerStatus:
    """A balancer tells another one what it knows.

    Attributes:
        revision: Store revision of its configuration, 0 if it has none.
        agents: Addresses of agents that it has heard of lately; most messages
            name only those that are new to it.
        data_centre: Its data centre.
        ready: Whether it takes new packets from routers.
        silent: Addresses of agents that it doesn't hear any more.
    """

    revision: int
    agents: tuple[str, ...]
    data_centre: str
    ready: bool
    silent_agents: tuple[str, ...]


Message = (
    Forward
    | Relayed
    | OpeningRefused
    | PacketReturned
    | FlowQuery
    | FlowAbsent
    | FlowUnknown
    | FlowOwned
    | FlowsListed
    | Announcement
    | Hello
    | PeerStatus
)


@attrs.define(frozen=True, repr=False)
class Send:
    """Send a message to a daemon.

    Attributes:
        address: IP number of the daemon.
        message: The message.
    """

    address: str
    message: Message


@attrs.define(frozen=True, repr=False)
class Reset:
    """Reset a client's flow.

    Attributes:
        flow_id: The flow.
        sequence: A sequence number that the client accepts.
    """

    flow_id: segments.FlowId
    sequence: int


@attrs.define(frozen=True, repr=False)
class Deliver:
    """Give a packet to the target on this machine.

    Attributes:
        data: The packet.
        tag: Mark by which the packet is known if the target returns it.
    """

    data: bytes
    tag: int


@attrs.define(frozen=True, repr=False)
class ProbeTarget:
    """Find out whether anything listens at the target's address."""


@attrs.define(frozen=True, repr=False)
class SendToClient:
    """Send a target's packet to the client.

    Attributes:
        flow_id: The flow.
        data: The packet.
    """

    flow_id: segments.FlowId
    data: bytes


@attrs.define(frozen=True, repr=False)
class LogEvent:
    """Write a line to the log.

    Attributes:
        event: Name of the event, as in the catalogue.
        fields: What decided it, in the order written.
    """

    event: str
    fields: dict[str, object]


@attrs.define(frozen=True, repr=False)
class Observe:
    """Add a duration to a histogram.

    Attributes:
        name: What was measured.
        service: The service.
        endpoint: Address and port of the route.
        seconds: The duration.
    """

    name: str
    service: str
    endpoint: tuple[int, int]
    seconds: float


Action = (
    Observe | Send | Reset | Deliver | ProbeTarget | SendToClient | LogEvent
)
