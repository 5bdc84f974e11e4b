"""Request table of an agent: fragments, deduplication and answers."""

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

# Memory limits for the bodies and answers of one flow and of all flows.
MAX_FLOW_BYTES = 4 * packets.MAX_BODY_BYTES
MAX_AGENT_BYTES = 256 * packets.MAX_BODY_BYTES
# Added for each request, so that requests with empty bodies are limited too.
REQUEST_OVERHEAD_BYTES = 1024
# Requests of one flow that have not ended, and stored verdicts of those that
# have.
MAX_LIVE_PER_FLOW = 64
MAX_ENDED_PER_FLOW = 64
# When the agent stores more verdicts than this, each flow keeps fewer.
MANY_ENDED_PER_AGENT = 500_000
REDUCED_ENDED_PER_FLOW = 8
MAX_DEADLINE_SECONDS = 600.0
# An answer is stored for this time after its deadline, or after it was
# received if that is later. Callers stop waiting at the deadline, but their
# packets may still be in flight.
ANSWER_RETENTION_SECONDS = 10.0
TIMER_RESOLUTION_SECONDS = 0.1
TIMERS_PER_TICK = 5_000
# Limits how long the timers keep ended requests in memory.
TIMER_RECHECK_SECONDS = 10.0


class State(enum.IntEnum):
    """State of a request in the table."""

    RECEIVING = 1
    QUEUED = 2
    RUNNING = 3
    DONE = 4
    ENDED = 5


class Stored(enum.Enum):
    """Result of storing a fragment."""

    PARTIAL = "partial"
    COMPLETE = "complete"
    REPEATED = "repeated"
    CONFLICT = "conflict"


@attrs.frozen
class EndedRequest:
    """A request of which only the verdict is stored."""

    reason: verdicts.Reason
    verdict: verdicts.Verdict


# Instances are shared, so that a stored verdict costs only a table entry.
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
        entry_by_id: Requests, and verdicts of ended ones.
        floor: Ids below it that are not in the table are too old.
        non_idempotent_floor: Requests with ids below it may have run under an
            earlier incarnation of the agent, and are refused unless they are
            idempotent.
        buffered_bytes: Memory used by bodies and answers.
        live_count: Number of requests that have not ended.
        unfinished_count: Number of requests that are queued or running.
    """

    entry_by_id: "dict[int, Request | EndedRequest]" = attrs.field(
        factory=dict
    )
    floor: int = 0
    non_idempotent_floor: int = 0
    buffered_bytes: int = 0
    live_count: int = 0
    unfinished_count: int = 0

    def find(self, request_id: int) -> "Request | EndedRequest | None":
        """Returns the request or its verdict; None if it is new."""
        entry = self.entry_by_id.get(request_id)
        if entry is None and request_id < self.floor:
            return TOO_OLD
        return entry

    def evict_oldest(self, keep_count: int) -> int:
        """Removes verdicts of the lowest ids and raises the floor above them.

        Args:
            keep_count: Number of verdicts to keep.

        Returns:
            Number of verdicts removed.
        """
        ended_ids = sorted(
            request_id
            for request_id, entry in self.entry_by_id.items()
            if isinstance(entry, EndedRequest)
        )
        evicted = ended_ids[: max(0, len(ended_ids) - keep_count)]
        for request_id in evicted:
            del self.entry_by_id[request_id]
            self.floor = max(self.floor, request_id + 1)
        return len(evicted)


@attrs.define(eq=False, weakref_slot=False)
class Request:
    """One request that is received, queued, running or done.

    Attributes:
        key: Identifies the request to the target.
        owner: Requests of its flow.
        idempotent: Whether it may run more than once.
        fragments: Number of fragments of the body.
        received_at: Time of the first fragment in seconds.
        deadline_at: Time in seconds at which the caller stops waiting.
        may_have_run: Whether an earlier incarnation of the agent may have
            run it, so that a refusal must not claim `NOT_RUN`.
        state: Current state.
        cancelled: Whether the caller cancelled it.
        attempts: Number of times it was passed to the target.
        admitted_at: Time in seconds at which it entered the queue.
        started_at: Time of the last attempt in seconds.
        answer: The target's answer once done.
        answer_expires_at: Time in seconds at which the answer may be dropped.
        buffered_bytes: Memory counted for the body or answer.
        fragment_by_index: Received fragments of the body; empty once done.
        digests: CRC-32 of each received fragment, which shows whether a
            repeated fragment has the same content.
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
    answer_expires_at: float = 0.0
    buffered_bytes: int = 0
    fragment_by_index: dict[int, bytes] = attrs.field(factory=dict)
    digests: "array.array[int]" = attrs.field(
        default=attrs.Factory(
            lambda self: array.array("I", [0]) * self.fragments,
            takes_self=True,
        )
    )

    @property
    def request_class(self) -> str:
        """Class of the request in histograms: `idempotent` or `once`."""
        return "idempotent" if self.idempotent else "once"

    @property
    def refusal_verdict(self) -> verdicts.Verdict:
        """Verdict of a refusal of a request that this agent did not run."""
        if self.may_have_run:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    @property
    def ends_at(self) -> float:
        """Time in seconds at which the request or its answer expires."""
        if self.state == State.RUNNING:
            return math.inf
        if self.state == State.DONE:
            return self.answer_expires_at
        return self.deadline_at

    @property
    def answer_fragments(self) -> int:
        """Number of fragments of the answer."""
        return max(1, -(-len(self.answer) // packets.MAX_PAYLOAD_BYTES))

    def answer_fragment(self, index: int) -> bytes:
        """Returns one fragment of the answer."""
        start = index * packets.MAX_PAYLOAD_BYTES
        return self.answer[start : start + packets.MAX_PAYLOAD_BYTES]

    def missing_fragments(self, limit: int) -> list[int]:
        """Returns indexes of request fragments that have not arrived."""
        if self.state != State.RECEIVING:
            return []
        missing: list[int] = []
        for index in range(self.fragments):
            if len(missing) == limit:
                break
            if index not in self.fragment_by_index:
                missing.append(index)
        return missing

    def store(self, packet: packets.Packet) -> Stored:
        """Stores a fragment of the body unless it was received before."""
        idempotent = bool(packet.flags & packets.Flag.IDEMPOTENT)
        if (packet.fragments, idempotent) != (self.fragments, self.idempotent):
            return Stored.CONFLICT
        digest = zlib.crc32(packet.payload)
        receiving = self.state == State.RECEIVING
        if not receiving or packet.fragment in self.fragment_by_index:
            same = self.digests[packet.fragment] == digest
            return Stored.REPEATED if same else Stored.CONFLICT
        self.fragment_by_index[packet.fragment] = packet.payload
        self.digests[packet.fragment] = digest
        if len(self.fragment_by_index) < self.fragments:
            return Stored.PARTIAL
        return Stored.COMPLETE

    def body(self) -> bytes:
        """Returns the body of a completely received request."""
        if self.fragments == 1:
            return self.fragment_by_index[0]
        parts = (self.fragment_by_index[n] for n in range(self.fragments))
        return b"".join(parts)


@attrs.define(eq=False)
class RequestTable:
    """Memory and timers of the requests of all flows.

    Attributes:
        buffered_bytes: Memory used by bodies and answers of all flows.
        receiving_count: Number of requests with missing fragments.
        answer_count: Number of answers not yet acknowledged by a caller.
        last_answer_deadline_at: Latest deadline of an answered request in
            seconds.
        ended_count: Number of stored verdicts.
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
        """Returns whether a body fits the limits of flow and agent."""
        return (
            owner.buffered_bytes + size <= MAX_FLOW_BYTES
            and self.buffered_bytes + size <= MAX_AGENT_BYTES
        )

    def add(self, request: Request, size: int) -> None:
        """Adds a request and reserves memory for its body."""
        request.owner.entry_by_id[request.key.request_id] = request
        request.owner.live_count += 1
        self.receiving_count += 1
        self._set_buffered_bytes(request, size + REQUEST_OVERHEAD_BYTES)
        self._schedule(request, request.received_at)

    def _schedule(self, request: Request, now: float) -> None:
        """Sets the one timer that each request has until it ends."""
        due_at = now + TIMER_RECHECK_SECONDS
        if request.state == State.DONE:
            due_at = min(due_at, request.answer_expires_at)
        elif request.deadline_at > now:
            due_at = min(due_at, request.deadline_at)
        self._timers.schedule(request, due_at)

    def _set_buffered_bytes(self, request: Request, size: int) -> None:
        difference = size - request.buffered_bytes
        request.buffered_bytes = size
        request.owner.buffered_bytes += difference
        self.buffered_bytes += difference

    def record_admitted(self, request: Request) -> None:
        """Records that a completely received request enters the queue."""
        self.receiving_count -= 1
        request.owner.unfinished_count += 1

    def complete(self, request: Request, answer: bytes, now: float) -> None:
        """Stores the answer of a request in place of its body."""
        request.state = State.DONE
        request.owner.unfinished_count -= 1
        request.fragment_by_index = {}
        request.answer = answer
        request.answer_expires_at = (
            max(now, request.deadline_at) + ANSWER_RETENTION_SECONDS
        )
        self.answer_count += 1
        self.last_answer_deadline_at = max(
            self.last_answer_deadline_at, request.deadline_at
        )
        self._set_buffered_bytes(request, len(answer) + REQUEST_OVERHEAD_BYTES)

    def _release(self, request: Request) -> None:
        if request.state == State.DONE:
            self.answer_count -= 1
        elif request.state == State.RECEIVING:
            self.receiving_count -= 1
        else:
            request.owner.unfinished_count -= 1
        request.owner.live_count -= 1
        request.state = State.ENDED
        request.fragment_by_index = {}
        request.answer = b""
        self._set_buffered_bytes(request, 0)

    def end(self, request: Request, entry: EndedRequest) -> None:
        """Replaces a request by its verdict."""
        self._release(request)
        self.store_verdict(request.owner, request.key.request_id, entry)

    def store_verdict(
        self, owner: FlowRequests, request_id: int, entry: EndedRequest
    ) -> None:
        """Stores a verdict.

        If there are too many, those of the lowest ids are evicted and the
        floor is raised above them.
        """
        owner.entry_by_id[request_id] = entry
        self.ended_count += 1
        limit = MAX_ENDED_PER_FLOW
        if self.ended_count > MANY_ENDED_PER_AGENT:
            limit = REDUCED_ENDED_PER_FLOW
        if len(owner.entry_by_id) - owner.live_count > limit:
            # Evicting half of them at once makes sorting rare.
            self.ended_count -= owner.evict_oldest(limit // 2)

    def drop_all(self, owner: FlowRequests) -> list[Request]:
        """Removes the requests of a flow; returns those not ended."""
        entries = owner.entry_by_id.values()
        live = [entry for entry in entries if isinstance(entry, Request)]
        for request in live:
            self._release(request)
        self.ended_count -= len(entries) - len(live)
        owner.entry_by_id.clear()
        return live

    def pop_due(self, now: float) -> list[Request]:
        """Returns requests whose deadline or retention time has passed."""
        due = []
        for request in self._timers.pop_due(now, TIMERS_PER_TICK):
            if request.state == State.ENDED:
                continue
            if request.ends_at <= now:
                due.append(request)
            else:
                self._schedule(request, now)
        return due
