"""Model of writers, a store and a network with faults, for property tests.

The network delays, loses and repeats messages. Writers are write operations
or, for comparison, naive writers, which read the document and compare and swap
again until they succeed.
"""

from typing import ClassVar

import attrs
from hypothesis import stateful
from hypothesis import strategies

from godwitturn.core import write_operation

Verdict = write_operation.WriteVerdict

DEADLINE_S = 100.0


class NaiveWriter:
    """Repeats its write after each failure, without an operation id."""

    def __init__(self, base: write_operation.Base) -> None:
        self.base = base

    def handle(
        self, event: write_operation.Event, *, now: float
    ) -> list[write_operation.Action]:
        """Handles an event like `WriteOperation.handle`."""
        match event:
            case write_operation.Succeeded(revision):
                took_effect = Verdict.TOOK_EFFECT
                return [write_operation.Finish(took_effect, revision)]
            case write_operation.Conflicted(current):
                if current is not None:
                    self.base = write_operation.Base(
                        current.mod_revision,
                        current.create_revision,
                        current.version,
                    )
        if now >= DEADLINE_S:
            return [write_operation.Finish(Verdict.MAY_HAVE)]
        return [write_operation.Attempt(DEADLINE_S - now)]


class OperationWriter:
    """A `WriteOperation`, and the base that it was created with."""

    def __init__(self, operation_id: str, base: write_operation.Base) -> None:
        self.base = base
        self._operation = write_operation.WriteOperation(
            operation_id, base, deadline=DEADLINE_S, seed=1
        )

    def handle(
        self, event: write_operation.Event, *, now: float
    ) -> list[write_operation.Action]:
        """Passes the event to the write operation."""
        return self._operation.handle(event, now=now)


@attrs.define
class Document:
    """The only document of the store; its first write is at revision 2.

    Attributes:
        revision: Revision of the store.
        version: Number of writes so far.
        mod_revision: Revision of the last write; 0 before the first one.
        operations: Ids of the last operations, oldest first.
        applied: Ids of all operations so far, oldest first.
    """

    revision: int = 1
    version: int = 0
    mod_revision: int = 0
    operations: tuple[str, ...] = ()
    applied: list[str] = attrs.field(factory=list)

    def base(self) -> write_operation.Base:
        """Returns the base of a writer that reads the document now."""
        return write_operation.Base(
            self.mod_revision, 2 if self.version else 0, self.version
        )

    def write(self, operation_id: str) -> None:
        """Applies a write unconditionally."""
        self.revision += 1
        self.mod_revision = self.revision
        self.version += 1
        kept_count = write_operation.MAX_STORED_OPERATIONS
        self.operations = (*self.operations, operation_id)[-kept_count:]
        self.applied.append(operation_id)

    def compare_and_swap(
        self, expected_revision: int, operation_id: str
    ) -> write_operation.Succeeded | write_operation.Conflicted:
        """Applies a write if the document is at the expected revision."""
        if expected_revision == self.mod_revision:
            self.write(operation_id)
            return write_operation.Succeeded(self.revision)
        if not self.version:
            return write_operation.Conflicted(None)
        return write_operation.Conflicted(
            write_operation.Current(
                2, self.mod_revision, self.version, self.operations
            )
        )


@attrs.frozen
class Request:
    """A compare-and-swap in flight to the store."""

    writer_id: str
    attempt: int
    expected_revision: int


@attrs.frozen
class Answer:
    """The store's answer in flight to the writer."""

    writer_id: str
    attempt: int
    event: write_operation.Event


@attrs.define
class Client:
    """A writer and the state of its latest attempt.

    Attributes:
        writer: The writer.
        attempt: Number of attempts so far.
        awaits_answer: Whether the latest attempt is not answered yet.
        wake_at: Simulated time in seconds of its next attempt, or None.
        finish: Its result; None while it is active.
    """

    writer: NaiveWriter | OperationWriter
    attempt: int = 0
    awaits_answer: bool = False
    wake_at: float | None = None
    finish: write_operation.Finish | None = None


class WriteModel(stateful.RuleBasedStateMachine):
    """Writers, a store and a network that delays, loses and repeats messages.

    Checks that no write is applied twice, and that each writer's verdict is
    correct.
    """

    naive: ClassVar[bool] = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.document = Document()
        self.client_by_id: dict[str, Client] = {}
        self.requests: list[Request] = []
        self.answers: list[Answer] = []
        self.other_write_count = 0

    def _handle(self, writer_id: str, event: write_operation.Event) -> None:
        client = self.client_by_id[writer_id]
        client.awaits_answer = False
        client.wake_at = None
        (action,) = client.writer.handle(event, now=self.now)
        match action:
            case write_operation.Attempt():
                client.attempt += 1
                client.awaits_answer = True
                expected_revision = client.writer.base.mod_revision
                self.requests.append(
                    Request(writer_id, client.attempt, expected_revision)
                )
            case write_operation.WaitUntil(resume_at):
                client.wake_at = resume_at
            case write_operation.Finish():
                client.finish = action
                self._check_finish(writer_id, action)

    def _check_finish(
        self, writer_id: str, finish: write_operation.Finish
    ) -> None:
        applied = self.document.applied.count(writer_id)
        match finish.verdict:
            case Verdict.TOOK_EFFECT:
                assert applied == 1, f"{writer_id} was applied {applied} times"
            case Verdict.NO_EFFECT:
                assert applied == 0, f"{writer_id} was applied {applied} times"
            case Verdict.MAY_HAVE:
                # Allowed only if the next retry may be due after the deadline,
                # or if later writes may have displaced the operation's id.
                base = self.client_by_id[writer_id].writer.base
                later_writes = self.document.version - base.version
                latest_retry = self.now + write_operation.MAX_BACKOFF_SECONDS
                assert (
                    latest_retry >= DEADLINE_S
                    or later_writes > write_operation.MAX_STORED_OPERATIONS
                )

    @stateful.precondition(lambda self: len(self.client_by_id) < 3)
    @stateful.rule()
    def start_writer(self) -> None:
        writer_id = f"writer {len(self.client_by_id)}"
        base = self.document.base()
        writer = (
            NaiveWriter(base)
            if self.naive
            else OperationWriter(writer_id, base)
        )
        self.client_by_id[writer_id] = Client(writer)
        self._handle(writer_id, write_operation.Started())

    @stateful.rule(number=strategies.sampled_from([1, 2, 63, 64, 70]))
    def write_by_others(self, number: int) -> None:
        for _ in range(number):
            self.other_write_count += 1
            self.document.write(f"other {self.other_write_count}")

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=strategies.data(), duplicate=strategies.booleans())
    def deliver_request(
        self, data: strategies.DataObject, duplicate: bool
    ) -> None:
        request = data.draw(strategies.sampled_from(self.requests))
        if not duplicate:
            self.requests.remove(request)
        event = self.document.compare_and_swap(
            request.expected_revision, request.writer_id
        )
        self.answers.append(Answer(request.writer_id, request.attempt, event))

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=strategies.data())
    def lose_request(self, data: strategies.DataObject) -> None:
        request = data.draw(strategies.sampled_from(self.requests))
        self.requests.remove(request)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(data=strategies.data())
    def refuse_connection(self, data: strategies.DataObject) -> None:
        """Refuses the latest attempt, which then never reaches the store."""
        request = data.draw(strategies.sampled_from(self.requests))
        client = self.client_by_id[request.writer_id]
        reached_store = any(
            answer.writer_id == request.writer_id
            and answer.attempt == request.attempt
            for answer in self.answers
        )
        if client.awaits_answer and client.attempt == request.attempt:
            # A duplicate of the request may have reached the store already.
            if reached_store:
                return
            self.requests.remove(request)
            self._handle(request.writer_id, write_operation.Failed(False))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(data=strategies.data())
    def deliver_answer(self, data: strategies.DataObject) -> None:
        answer = data.draw(strategies.sampled_from(self.answers))
        self.answers.remove(answer)
        client = self.client_by_id[answer.writer_id]
        if client.awaits_answer and client.attempt == answer.attempt:
            self._handle(answer.writer_id, answer.event)

    @stateful.rule(data=strategies.data())
    def time_out(self, data: strategies.DataObject) -> None:
        waiting_ids = [
            writer_id
            for writer_id, client in self.client_by_id.items()
            if client.awaits_answer
        ]
        if waiting_ids:
            writer_id = data.draw(strategies.sampled_from(waiting_ids))
            self._handle(writer_id, write_operation.Failed(True))

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 50.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for writer_id, client in self.client_by_id.items():
            if client.wake_at is not None and client.wake_at <= self.now:
                self._handle(writer_id, write_operation.WaitEnded())

    @stateful.invariant()
    def nothing_is_applied_twice(self) -> None:
        applied = self.document.applied
        assert len(set(applied)) == len(applied), f"applied twice: {applied}"

    def teardown(self) -> None:
        """Delivers all messages still in flight, then checks again."""
        for request in self.requests:
            self.document.compare_and_swap(
                request.expected_revision, request.writer_id
            )
        self.nothing_is_applied_twice()
        for writer_id, client in self.client_by_id.items():
            if client.finish is not None:
                self._check_delayed_effects(writer_id, client.finish)

    def _check_delayed_effects(
        self, writer_id: str, finish: write_operation.Finish
    ) -> None:
        if finish.verdict is Verdict.NO_EFFECT:
            applied = self.document.applied
            assert writer_id not in applied, (
                f"{writer_id} ended with NO_EFFECT but took effect later"
            )


class NaiveWriteModel(WriteModel):
    """The same model with naive writers instead of write operations."""

    naive = True
