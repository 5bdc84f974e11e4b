"""Records of events at callers, agents and targets during a test.

Each process writes its records to a file of JSON lines; `history_checks`
checks the records of all processes together. Times are in seconds on the
monotonic clock, which all processes on one machine share. A target writes
`RunStarted` before it runs a request, so that no run is missing if its process
is killed.
"""

from collections.abc import Iterable
import hashlib

import attrs
import msgspec

from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts


@attrs.frozen
class RequestSent:
    """A caller passed a request to its session.

    Attributes:
        key: Unique name of the request, contained in its body.
        service_id: Service of the session.
        idempotent: Whether the request may run more than once.
        at_s: Time in seconds.
    """

    key: str
    service_id: int
    idempotent: bool
    at_s: float


@attrs.frozen
class RequestEnded:
    """A caller received the outcome of a request.

    Attributes:
        key: Name of the request.
        verdict: The verdict.
        reason: Name of the reason for the verdict.
        answer: Digest of the answer; empty unless the verdict is `RAN`.
        tries: Number of attempts that the session made.
        at_s: Time in seconds.
    """

    key: str
    verdict: verdicts.Verdict
    reason: str
    answer: str
    tries: int
    at_s: float


@attrs.frozen
class FlowOpened:
    """A caller uses a flow at a target, which has accepted it."""

    flow_id: int
    service_id: int
    target_id: int
    at_s: float


@attrs.frozen
class FlowEnded:
    """A caller stopped using a flow.

    Attributes:
        flow_id: The flow.
        end: How it ended.
        reason: Name of the reason for its end.
        at_s: Time in seconds.
    """

    flow_id: int
    end: session_events.FlowEnd
    reason: str
    at_s: float


@attrs.frozen
class FlowServed:
    """An agent passed a request of a flow to its target."""

    flow_id: int
    service_id: int
    target_id: int
    at_s: float


@attrs.frozen
class RunStarted:
    """A target is about to run a request.

    Attributes:
        key: Name of the request.
        service_id: Service of the target.
        target_id: The target.
        data_centre: Name of its data centre.
        at_s: Time in seconds.
    """

    key: str
    service_id: int
    target_id: int
    data_centre: str
    at_s: float


@attrs.frozen
class RunFinished:
    """A target answered a request.

    Attributes:
        key: Name of the request.
        target_id: The target.
        answer: Digest of the complete answer.
        at_s: Time in seconds.
    """

    key: str
    target_id: int
    answer: str
    at_s: float


@attrs.frozen
class DataCentreOut:
    """A change that takes a data centre out of service was accepted."""

    data_centre: str
    at_s: float


@attrs.frozen
class DataCentreBack:
    """Operators are about to return a data centre to service.

    The time is before the change, since runs may start as soon as a daemon
    applies it.
    """

    data_centre: str
    at_s: float


@attrs.frozen
class DrainStarted:
    """A target was requested to drain, or reported that it is draining."""

    target_id: int
    at_s: float


@attrs.frozen
class DrainEnded:
    """A target serves again after a drain."""

    target_id: int
    at_s: float


Record = (
    RequestSent
    | RequestEnded
    | FlowOpened
    | FlowEnded
    | FlowServed
    | RunStarted
    | RunFinished
    | DataCentreOut
    | DataCentreBack
    | DrainStarted
    | DrainEnded
)

_CLASS_BY_NAME: dict[str, type[Record]] = {
    record_class.__name__: record_class
    for record_class in (
        RequestSent,
        RequestEnded,
        FlowOpened,
        FlowEnded,
        FlowServed,
        RunStarted,
        RunFinished,
        DataCentreOut,
        DataCentreBack,
        DrainStarted,
        DrainEnded,
    )
}


def record_of(
    action: session_events.Action, *, service_id: int, at_s: float
) -> FlowOpened | FlowEnded | None:
    """Returns the record of an action that opens or ends a flow, or None.

    Args:
        action: An action of a session.
        service_id: Service of the session.
        at_s: Time in seconds.
    """
    match action:
        case session_events.FlowOpened(flow_id, target_id):
            return FlowOpened(flow_id, service_id, target_id, at_s)
        case session_events.FlowEnded(flow_id, end, reason):
            return FlowEnded(flow_id, end, reason.name, at_s)
    return None


def digest(body: bytes) -> str:
    """Returns the hexadecimal digest by which records identify an answer."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def body_with_key(key: str, padding: bytes = b"") -> bytes:
    """Returns a request body with the key as its first line."""
    return key.encode() + b"\n" + padding


def key_of(body: bytes) -> str:
    """Returns the key in a request body."""
    return body.partition(b"\n")[0].decode()


def encode(record: Record) -> bytes:
    """Returns a record as one JSON line: its class name and its fields."""
    return msgspec.json.encode([type(record).__name__, record]) + b"\n"


def decode(line: bytes) -> Record:
    """Returns the record in a JSON line.

    Raises:
        ValueError: The line is malformed or its class is unknown.
    """
    name, raw = msgspec.json.decode(line, type=tuple[str, msgspec.Raw])
    record_class = _CLASS_BY_NAME.get(name)
    if record_class is None:
        allowed = ", ".join(sorted(_CLASS_BY_NAME))
        raise ValueError(
            f"record class {name!r} is unknown; allowed are {allowed}"
        )
    return msgspec.json.decode(raw, type=record_class)


def decode_lines(lines: Iterable[bytes]) -> list[Record]:
    """Returns the records in lines, which include their line terminators.

    A line without a terminator is skipped, since it was truncated when its
    process was killed.
    """
    return [decode(line) for line in lines if line.endswith(b"\n")]
