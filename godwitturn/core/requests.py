"""Request table of an agent: fragments, deduplication, answers, floor."""

import array
import enum
import functools
import math
import zlib

import attrs

from godwitturn.core import actions
from godwitturn.core import timer_wheel
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

# Four bodies of the largest size.
MAX_FLOW_BYTES = 4 * packets.MAX_BODY_BYTES
MAX_AGENT_BYTES = 256 * packets.MAX_BODY_BYTES
# Counted for each request, so that empty bodies are bounded too.
REQUEST_OVERHEAD_BYTES = 1024
MAX_LIVE_PER_FLOW = 64
MAX_ENDED_PER_FLOW = 64
# When the agent remembers more verdicts than this, each flow keeps fewer.
MANY_ENDED_PER_AGENT = 500_000
MAX_ENDED_PER_FLOW_OF_MANY = 8
MAX_DEADLINE_SECONDS = 600.0
# Callers stop waiting at their deadline; this covers packets under way.
ANSWER_RETENTION_SECONDS = 10.0
TIMER_RESOLUTION_SECONDS = 0.1
TIMERS_PER_TICK = 5_000
# Bounds how long the timers keep ended requests in memory.
TIMER_RECHECK_SECONDS = 10.0


class State(enum.IntEnum):
    """State of a request that is remembered in full."""

    RECEIVING = 1
    QUEUED = 2
    RUNNING = 3
    DONE = 4
    ENDED = 5


class Stored(enum.Enum):
    """What became of a fragment."""

    PARTIAL = "partial"
    COMPLETE = "complete"
    REPEATED = "repeated"
    CONFLICT = "conflict"


@attrs.frozen
class EndedRequest:
    """A request of which only the verdict is remembered."""

    reason: verdicts.Reason
    verdict: verdicts.Verdict


# Shared, so that a remembered verdict costs one table entry.
ended_request = functools.cache(EndedRequest)

TOO_OLD = ended_request(
    verdicts.Reason.REQUEST_TOO_OLD, verdicts.Verdict.MAY_HAVE_RUN
)
ANSWER_DROPPED = ended_request(
    verdicts.Reason.REQUEST_TOO_OLD, verdicts.Verdict.RAN
)


@attrs.define(eq=False, weakref_slot=False)
class FlowRequests:
    """The requests of one flow.

    Attributes:
        entries_by_id: Requests and verdicts of ended ones.
        floor: Ids below it that the table does not know are too old.
        once_floor: Ids below it may have run under an earlier incarnation of
            the agent; those that may not be repeated are not taken.
        held_bytes: Bodies and answers.
        live: Requests that are not ended.
        unfinished: Those of them that are queued or running.
    """

    entries_by_id: "dict[int, Request | EndedRequest]" = attrs.field(
        factory=dict
    )
    floor: int = 0
    non_idempotent_floor: int = 0
    buffered_bytes: int = 0
    live_count: int = 0
    unfinished_count: int = 0

    def find(self, request_id: int) -> "Request | EndedRequest | None":
        """Returns the request or its verdict; None if it is new."""
        entry = self.entries_by_id.get(request_id)
        if entry is None and request_id < self.floor:
            return TOO_OLD
        return entry

    def forget_oldest(self, kept: int) -> int:
        """Drops verdicts of the lowest ids and raises the floor past them.

        Returns:
            How many were dropped.
        """
        ended_ids = sorted(
            number
            for number, known in self.entries_by_id.items()
            if isinstance(known, EndedRequest)
        )
        dropped = ended_ids[: max(0, len(ended_ids) - kept)]
        for number in dropped:
            del self.entries_by_id[number]
            self.floor = max(self.floor, number + 1)
        return len(dropped)


@attrs.define(eq=False, weakref_slot=False)
class Request:
    """One request that is received, queued, running or done.

    Attributes:
        key: Its name towards the target.
        owner: Requests of its flow.
        idempotent: Whether it may run more than once.
        fragments: Count of fragments of the body.
        received_at: Seconds, of the first fragment.
        deadline_at: Seconds; the caller stops waiting then.
        may_have_run: Whether an earlier incarnation of the agent may have
            run it, so that a refusal must not say that it was not run.
        state: See `State`.
        cancelled: Whether the caller asked to cancel it.
        attempts: Times it was passed to the target.
        admitted_at: Seconds, when it entered the queue.
        started_at: Seconds, of the last attempt.
        answer: The target's answer once done.
        kept_until: Seconds; the answer may be dropped then.
        held_bytes: Memory counted for body or answer.
    """

    key: actions.RequestKey
    owner: FlowRequests
    idempotent: bool
    fragments: int
    received_at: float
    deadline_at: float
    may_have_run: bool = False
    state: State = State.RECEIVING
    cancelled: bool = False
    attempts: int = 0
    admitted_at: float = 0.0
    started_at: float = 0.0
    answer: bytes = b""
    kept_until: float = 0.0
    buffered_bytes: int = 0
    parts_by_index: dict[int, bytes] = attrs.field(factory=dict)
    digests: "array.array[int]" = attrs.field(
        default=attrs.Factory(
            lambda self: array.array("I", [0]) * self.fragments,
            takes_self=True,
        )
    )

    @property
    def request_class(self) -> str:
        """Class of the request in histograms."""
        return "idempotent" if self.idempotent else "once"

    @property
    def refusal_verdict(self) -> verdicts.Verdict:
        """What a refusal says of a request that this agent did not run."""
        if self.may_have_run:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    @property
    def ends_at(self) -> float:
        """When time alone ends the request, in seconds."""
        if self.state == State.RUNNING:
            return math.inf
        if self.state == State.DONE:
            return self.kept_until
        return self.deadline_at

    @property
    def answer_fragments(self) -> int:
        """Count of fragments of the answer."""
        return max(1, -(-len(self.answer) // packets.MAX_PAYLOAD_BYTES))

    def answer_fragment(self, index: int) -> bytes:
        """Returns one fragment of the answer."""
        start = index * packets.MAX_PAYLOAD_BYTES
        return self.answer[start : start + packets.MAX_PAYLOAD_BYTES]

    def missing_fragments(self, most: int) -> list[int]:
        """Returns indexes of request fragments that have not arrived."""
        if self.state != State.RECEIVING:
            return []
        missing: list[int] = []
        for index in range(self.fragments):
            if len(missing) == most:
                break
            if index not in self.parts_by_index:
                missing.append(index)
        return missing

    def store(self, packet: packets.Packet) -> Stored:
        """Keeps a fragment of the body; the first version of it counts."""
        idempotent = bool(packet.flags & packets.Flag.IDEMPOTENT)
        if (packet.fragments, idempotent) != (self.fragments, self.idempotent):
            return Stored.CONFLICT
        digest = zlib.crc32(packet.payload)
        receiving = self.state == State.RECEIVING
        if not receiving or packet.fragment in self.parts_by_index:
            same = self.digests[packet.fragment] == digest
            return Stored.REPEATED if same else Stored.CONFLICT
        self.parts_by_index[packet.fragment] = packet.payload
        self.digests[packet.fragment] = digest
        if len(self.parts_by_index) < self.fragments:
            return Stored.PARTIAL
        return Stored.COMPLETE

    def body(self) -> bytes:
        """Returns the body of a completely received request."""
        if self.fragments == 1:
            return self.parts_by_index[0]
        parts = (self.parts_by_index[n] for n in range(self.fragments))
        return b"".join(parts)


@attrs.define(eq=False)
class RequestTable:
    """Memory and timers of the requests of all flows.

    Attributes:
        held_bytes: Bodies and answers of all flows.
        receiving: Requests of which fragments are missing.
        answers: Answers that no caller acknowledged yet.
        answers_wanted_until: When the last caller of an answer gives it up.
        ended_count: Verdicts that are remembered.
    """

    buffered_bytes: int = 0
    receiving_count: int = 0
    answer_count: int = 0
    last_answer_deadline_at: float = 0.0
    ended_count: int = 0
    _timers: timer_wheel.TimerWheel[Request] = attrs.field(
        factory=lambda: timer_wheel.TimerWheel(TIMER_RESOLUTION_SECONDS)
    )

    def has_room(self, owner: FlowRequests, size: int) -> bool:
        """Returns whether a body fits the bounds of flow and agent."""
        return (
            owner.buffered_bytes + size <= MAX_FLOW_BYTES
            and self.buffered_bytes + size <= MAX_AGENT_BYTES
        )

    def add(self, request: Request, size: int) -> None:
        """Adds a request and reserves memory for its body."""
        request.owner.entries_by_id[request.key.request_id] = request
        request.owner.live_count += 1
        self.receiving_count += 1
        self._hold(request, size + REQUEST_OVERHEAD_BYTES)
        self._schedule(request, request.received_at)

    def _schedule(self, request: Request, now: float) -> None:
        """Sets the one timer that each request has until it ends."""
        at = now + TIMER_RECHECK_SECONDS
        if request.state == State.DONE:
            at = min(at, request.kept_until)
        elif request.deadline_at > now:
            at = min(at, request.deadline_at)
        self._timers.schedule(request, at)

    def _hold(self, request: Request, size: int) -> None:
        difference = size - request.buffered_bytes
        request.buffered_bytes = size
        request.owner.buffered_bytes += difference
        self.buffered_bytes += difference

    def note_admitted(self, request: Request) -> None:
        """Counts a request that leaves reception for the queue."""
        self.receiving_count -= 1
        request.owner.unfinished_count += 1

    def complete(self, request: Request, answer: bytes, now: float) -> None:
        """Keeps the answer of a request in place of its body."""
        request.state = State.DONE
        request.owner.unfinished_count -= 1
        request.parts_by_index = {}
        request.answer = answer
        request.kept_until = (
            max(now, request.deadline_at) + ANSWER_RETENTION_SECONDS
        )
        self.answer_count += 1
        self.last_answer_deadline_at = max(
            self.last_answer_deadline_at, request.deadline_at
        )
        self._hold(request, len(answer) + REQUEST_OVERHEAD_BYTES)

    def _release(self, request: Request) -> None:
        if request.state == State.DONE:
            self.answer_count -= 1
        elif request.state == State.RECEIVING:
            self.receiving_count -= 1
        else:
            request.owner.unfinished_count -= 1
        request.owner.live_count -= 1
        request.state = State.ENDED
        request.parts_by_index = {}
        request.answer = b""
        self._hold(request, 0)

    def end(self, request: Request, entry: EndedRequest) -> None:
        """Keeps only the verdict of a request."""
        self._release(request)
        self.remember(request.owner, request.key.request_id, entry)

    def remember(
        self, owner: FlowRequests, request_id: int, entry: EndedRequest
    ) -> None:
        """Keeps a verdict, and raises the floor past the oldest ones."""
        owner.entries_by_id[request_id] = entry
        self.ended_count += 1
        most = MAX_ENDED_PER_FLOW
        if self.ended_count > MANY_ENDED_PER_AGENT:
            most = MAX_ENDED_PER_FLOW_OF_MANY
        if len(owner.entries_by_id) - owner.live_count > most:
            # Half at once, so that the sorting is rare.
            self.ended_count -= owner.forget_oldest(most // 2)

    def drop_all(self, owner: FlowRequests) -> list[Request]:
        """Forgets the requests of a flow; returns those not ended."""
        entries = owner.entries_by_id.values()
        live = [entry for entry in entries if isinstance(entry, Request)]
        for request in live:
            self._release(request)
        self.ended_count -= len(entries) - len(live)
        owner.entries_by_id.clear()
        return live

    def take_due(self, now: float) -> list[Request]:
        """Returns requests whose deadline or retention has passed."""
        due = []
        for request in self._timers.pop_due(now, TIMERS_PER_TICK):
            if request.state == State.ENDED:
                continue
            if request.ends_at <= now:
                due.append(request)
            else:
                self._schedule(request, now)
        return due
