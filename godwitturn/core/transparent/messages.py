"""Messages between balancers and agents, and actions of their decisions."""

import enum

import attrs

from godwitturn.core import store_position
from godwitturn.core.transparent import segments

# Version of the messages that a balancer reports in `Capabilities` and in its
# hellos. Balancers of version 1 do neither.
MESSAGES_VERSION = 3
# Versions from which balancers decode waits, and openings of reported flows.
WAITS_VERSION = 2
OPENINGS_VERSION = 3


class Refusal(enum.IntEnum):
    """Why an agent refused an opening.

    Attributes:
        DRAINING: The target is draining.
        EVACUATED: The data centre must get no new flows.
        COLD: The target is cold, and its limit didn't admit the opening in
            time.
        FULL: The target returned the opening, or the turn of an opening
            without terms didn't come in time.
        DOWN: The target has ended.
        WRONG_SERVICE: The target belongs to another service.
        BUSY: The opening would wait here for longer than the balancer
            expected.
        OVERLOADED: The request can't be answered within its timeout.
        NOT_A_COPY: It was sent to be delivered only as a copy of the opening
            of a flow that the agent tracks, and isn't one.
    """

    DRAINING = 1
    EVACUATED = 2
    COLD = 3
    FULL = 4
    DOWN = 5
    WRONG_SERVICE = 6
    BUSY = 7
    OVERLOADED = 8
    NOT_A_COPY = 9


class TargetState(enum.IntEnum):
    """State of a target, as its agent announces it."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    DOWN = 3


@attrs.define(frozen=True, repr=False)
class RequestTerms:
    """What a route requires of its requests, and what a balancer expects.

    Attributes:
        priority: Priority of the request; 0 is the highest.
        objective_ms: Time in milliseconds within which the request should be
            answered.
        timeout_ms: Time in milliseconds after which an answer is of no use.
        expected_wait_ms: Time in milliseconds for which the balancer expects
            the request to wait at the target.
        tries: How many agents have returned the opening.
    """

    priority: int
    objective_ms: int
    timeout_ms: int
    expected_wait_ms: int
    tries: int = 0


@attrs.define(frozen=True, repr=False)
class Forward:
    """A client's packet on its way from a balancer to an agent.

    Attributes:
        service: Name of the agent's service, empty if unknown to the
            balancer.
        search: Whether the packet is sent to find out if the flow is open at
            the agent's target. An opening is then delivered only as a copy.
        data: The packet.
        terms: Terms of the request that follows an opening. None in other
            packets, and in openings of routes without a latency objective.
    """

    service: str
    search: bool
    data: bytes
    terms: RequestTerms | None = None


@attrs.define(frozen=True, repr=False)
class Relayed:
    """A packet for an agent that the sender can't reach, but the receiver may.

    Attributes:
        agent: Address of the agent.
        forward: The message to send to it.
    """

    agent: str
    forward: Forward


@attrs.define(frozen=True, repr=False)
class OpeningRefused:
    """An agent returns an opening that its target must not get.

    Attributes:
        reason: Why the opening is refused.
        data: The opening's packet.
        wait_ms: As in `Announcement`; None to balancers that haven't sent
            `Capabilities`.
    """

    reason: Refusal
    data: bytes
    wait_ms: int | None = None


@attrs.define(frozen=True, repr=False)
class PacketReturned:
    """An agent returns a packet whose flow isn't open at its target.

    Attributes:
        data: The packet.
    """

    data: bytes


@attrs.define(frozen=True, repr=False)
class FlowQuery:
    """A balancer queries whether a flow is open at an agent's target.

    Attributes:
        flow_id: The flow.
        service: The agent's service as far as the balancer knows it, else
            empty. It doesn't depend on the flow's route.
    """

    flow_id: segments.FlowId
    service: str


@attrs.define(frozen=True, repr=False)
class FlowAbsent:
    """A flow isn't open at the target of the sending agent.

    Attributes:
        flow_id: The flow.
    """

    flow_id: segments.FlowId


@attrs.define(frozen=True, repr=False)
class FlowUnknown:
    """A flow may be open at the target of the sending agent.

    Only the target can tell, when the agent delivers a packet of the flow.

    Attributes:
        flow_id: The flow.
    """

    flow_id: segments.FlowId


@attrs.define(frozen=True, repr=False)
class FlowOpening:
    """The opening that a reported flow stands for.

    Clients use ports again, so that two agents may report flows of the same
    addresses and ports. The one that was opened later is the client's.

    Attributes:
        sequence: Sequence number of the opening, None if the agent doesn't
            know it. The flow is then older than `age_ms`.
        age_ms: Milliseconds since the opening arrived at the agent, or since
            the agent learned of the flow.
    """

    sequence: int | None
    age_ms: int


@attrs.define(frozen=True, repr=False)
class FlowOwned:
    """A flow is open at, or queued for, the target of the sending agent.

    Attributes:
        flow_id: The flow.
        wait_ms: As in `Announcement`; None to balancers that haven't sent
            `Capabilities`.
        opening: The flow's opening; None to balancers of an earlier version
            than `OPENINGS_VERSION`.
    """

    flow_id: segments.FlowId
    wait_ms: int | None = None
    opening: FlowOpening | None = None


@attrs.define(frozen=True, repr=False)
class PortUsedAgain:
    """A client has opened a new flow from the port of an agent's flow.

    Receivers of earlier versions drop it.

    Attributes:
        flow_id: The former flow.
        sequence: Sequence number of the new opening.
    """

    flow_id: segments.FlowId
    sequence: int


@attrs.define(frozen=True, repr=False)
class FlowDoubted:
    """An agent got a packet that isn't of the flow that it tracks.

    Its sequence number is out of the flow's window, so the client has most
    likely used its port again, for a flow at another target. Receivers of
    earlier versions drop the message.

    Attributes:
        flow_id: The flow.
    """

    flow_id: segments.FlowId


@attrs.define(frozen=True, repr=False)
class FlowsListed:
    """Flows open at the sending agent's target, sent without a query.

    Attributes:
        flow_ids: The flows.
        wait_ms: As in `Announcement`; None to balancers that haven't sent
            `Capabilities`.
        openings: The opening of each flow; empty to balancers of an earlier
            version than `OPENINGS_VERSION`.
    """

    flow_ids: tuple[segments.FlowId, ...]
    wait_ms: int | None = None
    openings: tuple[FlowOpening, ...] = ()


@attrs.define(frozen=True, repr=False)
class Announcement:
    """An agent's report about its target and itself.

    The last four fields have their defaults in announcements to balancers
    that haven't sent `Capabilities`.

    Attributes:
        node: Name of the agent's VM.
        service: Service of the target.
        data_centre: Data centre of the agent and the target.
        run_id: Random number of the agent's run.
        sequence: Number of the announcement in this run.
        incarnation: Identity of the target's current start, empty before its
            first heartbeat.
        state: State of the target.
        slots: Requests that the target can run at the same time.
        flows: Number of flows open at the target or queued for it.
        work: Number of flows with a request that has no answer yet.
        cold_ms: Milliseconds for which the target stays cold.
        balancers: Addresses of the agent's balancers; empty in most
            announcements.
        position: Store position of the agent's copy of the operators'
            documents.
        failing: Whether the target fails many of its requests.
        restarting: Whether the agent stops beside a target that goes on, so
            that the target's flows stay open.
        service_us: Mean time in microseconds for which a request occupies a
            slot, 0 if unknown.
        openings: Number of openings admitted in this run of the agent.
        wait_ms: Expected time in milliseconds until the request of a new
            opening would get a slot.
        short_flows: Whether most of the target's flows end after their first
            response.
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
    position: store_position.StorePosition
    failing: bool = False
    restarting: bool = False
    service_us: int = 0
    openings: int = 0
    wait_ms: int | None = None
    short_flows: bool = False


@attrs.define(frozen=True, repr=False)
class Hello:
    """A balancer announces itself to an agent and sends it settings.

    Attributes:
        position: Store position of the state that `evacuated` and
            `cold_per_second` were read from, `UNREAD` if the sender doesn't
            know them.
        evacuated: Whether the agent's data centre must get no new flows.
        cold_per_second: Requests a second that a cold target can handle; 0 if
            the service sets no limit.
        registered: Whether the agent's entry is in the store.
        data_centre: Data centre of the balancer.
        agents: Number of agents in the balancer's table.
        flows_requested: Whether the agent should list the target's flows,
            because the balancer has received no message from the agent yet.
        service: Service that `evacuated` and `cold_per_second` apply to. The
            address may have belonged to another service's agent before. None
            if the sender knows none, or is of an earlier version.
        version: Version of the messages that the sender can decode.
    """

    position: store_position.StorePosition
    evacuated: bool
    cold_per_second: float
    registered: bool
    data_centre: str
    agents: int
    flows_requested: bool
    service: str | None = None
    version: int = 1


@attrs.define(frozen=True, repr=False)
class Capabilities:
    """A balancer tells an agent which forms of messages it can decode.

    Agents send the forms that older balancers can't decode only to balancers
    that have sent this message. Receivers of older versions drop it.

    Attributes:
        version: Version of the messages, `MESSAGES_VERSION` of the sender.
    """

    version: int


@attrs.define(frozen=True, repr=False)
class PeerStatus:
    """A balancer's report to another balancer.

    Agents with an outdated copy of the documents receive it without agents.

    Attributes:
        position: Store position of the sender's copy of the operators'
            documents.
        agents: Addresses of agents that the sender has added or received
            messages from lately. Most reports list only the added ones.
        data_centre: Data centre of the sender.
        ready: Whether routers should send packets to the sender. It also
            forwards packets while it isn't ready.
        silent_agents: Addresses of agents that the sender has received no
            messages from lately.
    """

    position: store_position.StorePosition
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
    | PortUsedAgain
    | FlowDoubted
    | FlowsListed
    | Announcement
    | Hello
    | Capabilities
    | PeerStatus
)


@attrs.define(frozen=True, repr=False)
class Send:
    """Send a message to a daemon.

    Attributes:
        address: IP address of the daemon.
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
    """Deliver a packet to the target on this VM.

    Attributes:
        data: The packet.
        tag: Number that identifies the packet if the target returns it.
    """

    data: bytes
    tag: int


@attrs.define(frozen=True, repr=False)
class ProbeTarget:
    """Check whether anything listens at the target's address."""


@attrs.define(frozen=True, repr=False)
class ProbeAgent:
    """Check by a TCP connection whether a silent agent's VM runs.

    A running VM without the agent's process refuses the connection.

    Attributes:
        address: IP address of the agent.
    """

    address: str


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
        fields: Values that led to the event, by name, in the order written.
    """

    event: str
    fields: dict[str, object]


@attrs.define(frozen=True, repr=False)
class Observe:
    """Add a duration to a histogram.

    Attributes:
        name: Name of the histogram.
        service: The service.
        endpoint: Address and port of the route.
        seconds: The duration.
    """

    name: str
    service: str
    endpoint: tuple[int, int]
    seconds: float


Action = (
    Observe
    | Send
    | Reset
    | Deliver
    | ProbeTarget
    | ProbeAgent
    | SendToClient
    | LogEvent
)
