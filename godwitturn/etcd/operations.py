"""Writes documents under operation ids and returns a verdict for each."""

from collections.abc import Callable
import zlib

import attrs
import msgspec
from returns import result as results
import trio

from godwitturn.core import write_operation
from godwitturn.etcd import failures
from godwitturn.etcd import store

WriteVerdict = write_operation.WriteVerdict

# Limit of one attempt: a lost answer must leave time to send the write again
# before the deadline.
ATTEMPT_TIMEOUT_SECONDS = 1.0


@attrs.frozen
class StoredDocument:
    """A document as it is stored.

    Attributes:
        operations: Ids of its last writes, the newest last.
        body: Its content.
    """

    operations: tuple[str, ...]
    body: bytes

    def with_write(self, body: bytes, operation_id: str) -> "StoredDocument":
        """Returns the document after a write."""
        limit = write_operation.MAX_STORED_OPERATIONS
        return StoredDocument((*self.operations, operation_id)[-limit:], body)


EMPTY = StoredDocument((), b"")


def encode(document: StoredDocument) -> bytes:
    """Returns a document as msgpack."""
    return msgspec.msgpack.encode(document)


def decode(value: bytes) -> StoredDocument | None:
    """Returns a document from msgpack, or None if it is not one."""
    try:
        return msgspec.msgpack.decode(value, type=StoredDocument)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


@attrs.frozen
class WriteOutcome:
    """How a write ended.

    Attributes:
        verdict: Whether it took effect.
        revision: Revision of the write if it took effect and that is known,
            else 0.
        current: The document, if another write came first, if it lists the
            operation id or if it can't be decoded; else None.
        conflict: Whether another write came first.
        failure: The last failure, if any.
    """

    verdict: WriteVerdict
    revision: int = 0
    current: failures.KeyValue | None = None
    conflict: bool = False
    failure: failures.Failure | None = None


def base_of(key_value: failures.KeyValue | None) -> write_operation.Base:
    """Returns the state that a write replaces.

    Args:
        key_value: Current state of the document's key; None if it is absent.
    """
    if key_value is None:
        return write_operation.Base()
    return write_operation.Base(
        key_value.mod_revision, key_value.create_revision, key_value.version
    )


def _document_of(key_value: failures.KeyValue | None) -> StoredDocument | None:
    return EMPTY if key_value is None else decode(key_value.value)


def _current_of(
    key_value: failures.KeyValue | None,
) -> write_operation.Current | None:
    if key_value is None:
        return None
    document = decode(key_value.value)
    return write_operation.Current(
        key_value.create_revision,
        key_value.mod_revision,
        key_value.version,
        document.operations if document else None,
    )


def _event_of(
    answer: results.Result[store.WriteResult, failures.Failure],
) -> write_operation.Event:
    if isinstance(answer, results.Success):
        return write_operation.Succeeded(answer.unwrap().revision)
    match answer.failure():
        case failures.Conflict() as conflict:
            return write_operation.Conflicted(_current_of(conflict.current))
        case failures.RateLimited(retry_after=seconds):
            return write_operation.Failed(False, retry_after=seconds)
        case failures.TooLarge() | failures.LeaseNotFound():
            return write_operation.Failed(False, permanent=True)
        case failures.Malformed(refused=True):
            return write_operation.Failed(False, permanent=True)
        case failure:
            uncertain = failures.may_have_taken_effect(failure)
            return write_operation.Failed(uncertain)


class DocumentWriter:
    """Writes documents through a store client.

    Args:
        client: The store.
        clock: Returns seconds from a monotonic clock; deadlines are its
            times.
    """

    def __init__(
        self, client: store.StoreClient, clock: Callable[[], float]
    ) -> None:
        self._client = client
        self._clock = clock

    async def write(
        self,
        key: str,
        document: StoredDocument,
        base: write_operation.Base,
        *,
        deadline: float,
        uncertain: bool = False,
    ) -> WriteOutcome:
        """Replaces a document if it is still the one that `base` describes.

        Args:
            key: The document's key.
            document: The new document; the last of its operations is the id
                of this write.
            base: State that it replaces.
            deadline: Time at which the attempts end.
            uncertain: Whether an earlier call with this id and base ended
                with `MAY_HAVE`.
        """
        operation_id = document.operations[-1]
        operation = write_operation.WriteOperation(
            operation_id,
            base,
            deadline=deadline,
            seed=zlib.crc32(operation_id.encode()),
            uncertain=uncertain,
        )
        outcome = WriteOutcome(WriteVerdict.MAY_HAVE)
        event: write_operation.Event = write_operation.Started()
        while True:
            (action,) = operation.handle(event, now=self._clock())
            match action:
                case write_operation.Attempt(timeout_seconds):
                    answer = await self._client.compare_and_swap(
                        key,
                        encode(document),
                        mod_revision=base.mod_revision,
                        timeout_seconds=min(
                            ATTEMPT_TIMEOUT_SECONDS, timeout_seconds
                        ),
                    )
                    outcome = _with_answer(outcome, answer)
                    event = _event_of(answer)
                case write_operation.WaitUntil(resume_at):
                    await trio.sleep(max(0.0, resume_at - self._clock()))
                    event = write_operation.WaitEnded()
                case write_operation.Finish(verdict, revision, conflict):
                    return attrs.evolve(
                        outcome,
                        verdict=verdict,
                        revision=revision,
                        conflict=conflict,
                    )

    async def modify(
        self,
        key: str,
        function: Callable[[bytes], bytes],
        operation_id: str,
        *,
        deadline: float,
        commutes: bool = False,
        is_retry: bool = False,
    ) -> WriteOutcome:
        """Applies a function to a document's body and writes the result.

        Args:
            key: The document's key.
            function: Returns the new body for the current one, which is empty
                if the document is absent. It must have no side effects.
            operation_id: Unique name of this change. If the document lists
                it, the change took effect before and is not made again.
            deadline: Time at which the attempts end.
            commutes: Whether the change may be applied on top of any other
                writer's change. By default that is a conflict.
            is_retry: Whether an earlier call with this id ended with
                `MAY_HAVE`. Its effect is recognised as long as its id is
                among the last 64 that the document lists.
        """
        while True:
            read_result = await self._read(key, deadline)
            if isinstance(read_result, results.Failure):
                verdict = WriteVerdict.NO_EFFECT
                if is_retry:
                    verdict = WriteVerdict.MAY_HAVE
                return WriteOutcome(verdict, failure=read_result.failure())
            key_value = next(iter(read_result.unwrap().key_values), None)
            document = _document_of(key_value)
            if document is None:
                return _unreadable_outcome(key, key_value, is_retry)
            if operation_id in document.operations:
                return WriteOutcome(
                    WriteVerdict.TOOK_EFFECT, current=key_value
                )
            outcome = await self.write(
                key,
                document.with_write(function(document.body), operation_id),
                base_of(key_value),
                deadline=deadline,
                uncertain=is_retry,
            )
            had_no_effect = outcome.verdict is WriteVerdict.NO_EFFECT
            if not (commutes and outcome.conflict and had_no_effect):
                return outcome
            # The conflict proved that no earlier attempt can take effect.
            is_retry = False

    async def _read(
        self, key: str, deadline: float
    ) -> results.Result[store.ReadResult, failures.Failure]:
        """Reads a key; retries failed calls until the deadline."""
        while True:
            remaining = deadline - self._clock()
            answer = await self._client.get(
                key, timeout_seconds=min(ATTEMPT_TIMEOUT_SECONDS, remaining)
            )
            if isinstance(answer, results.Success):
                return answer
            wait = write_operation.FIRST_BACKOFF_SECONDS
            failure = answer.failure()
            if isinstance(failure, failures.RateLimited):
                wait = max(wait, failure.retry_after)
            if self._clock() + wait >= deadline:
                return answer
            await trio.sleep(wait)


def _with_answer(
    outcome: WriteOutcome,
    answer: results.Result[store.WriteResult, failures.Failure],
) -> WriteOutcome:
    """Returns the outcome updated with the answer to one attempt."""
    if isinstance(answer, results.Success):
        return attrs.evolve(outcome, failure=None)
    failure = answer.failure()
    if isinstance(failure, failures.Conflict):
        return attrs.evolve(outcome, current=failure.current, failure=failure)
    return attrs.evolve(outcome, failure=failure)


def _unreadable_outcome(
    key: str, key_value: failures.KeyValue | None, is_retry: bool
) -> WriteOutcome:
    return WriteOutcome(
        WriteVerdict.MAY_HAVE if is_retry else WriteVerdict.NO_EFFECT,
        current=key_value,
        failure=failures.Malformed(
            f"the value of {key!r} is not a stored document", refused=False
        ),
    )
