"""Events and actions of a caller's session."""

import enum

import attrs

from godwitturn.core import events
from godwitturn.core import identity
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets


class State(enum.Enum):
    """State of a session."""

    OPENING = "opening"
    OPEN = "open"
    CLOSED = "closed"


class FlowEnd(enum.Enum):
    """How a flow ended.

    `BROKEN` counts as a failure of the service. `GIVEN_UP` means that the
    flow ended because operators took its data centre out.
    """

    CLOSED = "closed"
    MOVED = "moved"
    BROKEN = "broken"
    GIVEN_UP = "given up"


@attrs.frozen
class Outcome:
    """How a request ended.

    Attributes:
        verdict: Whether it ran. `RAN` implies that the answer is complete.
        reason: Why it was not answered, or `NONE`.
        body: The complete answer; empty unless the verdict is `RAN`.
        tries: Number of times it was sent as a new request.
    """

    verdict: verdicts.Verdict
    reason: verdicts.Reason = verdicts.Reason.NONE
    body: bytes = b""
    tries: int = 0


# Events


@attrs.frozen
class Open:
    """Opens the session."""


@attrs.frozen
class Send:
    """Sends a request.

    Attributes:
        request: Number chosen by the caller, unique within the session.
        body: At most 1 MiB.
        idempotent: Whether it may run more than once.
        deadline: Time in seconds, on the clock of `now`, at which the caller
            stops waiting.
    """

    request: int
    body: bytes = attrs.field(repr=False)
    idempotent: bool
    deadline: float


@attrs.frozen
class Cancel:
    """Cancels a request. Its outcome follows within half a second."""

    request: int


@attrs.frozen
class Close:
    """Ends all requests and flows immediately."""


@attrs.frozen
class Datagram:
    """A well-formed datagram was received from the connected address."""

    packet: packets.Packet


@attrs.frozen
class Tick:
    """The time `Session.wake_at` has been reached."""


# Actions


@attrs.define
class SendDatagram:
    """Sends a datagram to the connected address."""

    data: bytes


@attrs.frozen
class Completed:
    """A request ended. Emitted exactly once for each request."""

    request: int
    outcome: Outcome


@attrs.frozen
class StateChanged:
    """The state of the session changed.

    Attributes:
        state: The new state.
        reason: Why an open session lost its flow, or `NONE`.
    """

    state: State
    reason: verdicts.Reason = verdicts.Reason.NONE


@attrs.frozen
class FlowStarted:
    """From now on, datagrams of this flow id belong to the session."""

    flow_id: int


@attrs.frozen
class FlowOpened:
    """A target accepted the flow."""

    flow_id: int
    target_id: identity.MemberId


@attrs.frozen
class FlowEnded:
    """From now on, datagrams of this flow id are ignored."""

    flow_id: int
    end: FlowEnd
    reason: verdicts.Reason = verdicts.Reason.NONE


@attrs.frozen
class Emit:
    """Writes a log event."""

    event: events.LogEvent


Event = Open | Send | Cancel | Close | Datagram | Tick
Action = (
    SendDatagram
    | Completed
    | StateChanged
    | FlowStarted
    | FlowOpened
    | FlowEnded
    | Emit
)
