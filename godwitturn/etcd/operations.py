"""Writes of documents with operation ids, each with a verdict."""

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

# One attempt's share of the deadline: a lost answer must leave time to send
# the write again.
ATTEMPT_SECONDS = 1.0


@attrs.frozen
class StoredDocument:
    """A document as it is on the store.

    Attributes:
        operations: Ids of its last writes, the newest last.
        body: Its content.
    """

    operations: tuple[str, ...]
    body: bytes

    def successor(self, body: bytes, operation_id: str) -> "StoredDocument":
        """Returns the document after a write."""
        kept = write_operation.MAX_STORED_OPERATIONS
        return StoredDocument((*self.operations, operation_id)[-kept:], body)


EMPTY = StoredDocument((), b"")


def encode(document: StoredDocument) -> bytes:
    """Returns a document as msgpack."""
    return msgspec.msgpack.encode(document)


def decode(value: bytes) -> StoredDocument | None:
    """Returns a document from msgpack, or None if it is not one."""
    try:
        return msgspec.msgpack.decode(value, type=StoredDocument)
    except msgspec.MsgspecError:
        return None


@attrs.frozen
class WriteOutcome:
    """How a write ended.

    Attributes:
        verdict: Whether it took effect.
        revision: Revision of the write if it took effect and that is known,
            else 0.
        current: The document that was there instead, if another write came
            first; also the document in which the id was found.
        conflict: Whether another write came first.
        failure: The last failure, if any.
    """

    verdict: WriteVerdict
    revision: int = 0
    current: failures.KeyValue | None = None
    conflict: bool = False
    failure: failures.Failure | None = None


def base_of(found: failures.KeyValue | None) -> write_operation.Base:
    """Returns what a write replaces; None stands for an absent document."""
    if found is None:
        return write_operation.Base()
    return write_operation.Base(
        found.mod_revision, found.create_revision, found.version
    )


def _document_of(found: failures.KeyValue | None) -> StoredDocument | None:
    return EMPTY if found is None else decode(found.value)


def _current_of(
    found: failures.KeyValue | None,
) -> write_operation.Current | None:
    if found is None:
        return None
    document = decode(found.value)
    return write_operation.Current(
        found.create_revision,
        found.mod_revision,
        found.version,
        document.operations if document else None,
    )


def _event_of(
    answer: results.Result[store.Written, failures.Failure],
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
            base: What it replaces.
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
                        timeout_seconds=min(ATTEMPT_SECONDS, timeout_seconds),
                    )
                    outcome = _noted(outcome, answer)
                    event = _event_of(answer)
                case write_operation.WaitUntil(at):
                    await trio.sleep(max(0.0, at - self._clock()))
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
        """Replaces a document by a function of its body.

        Args:
            key: The document's key.
            function: Returns the new body for the present one, which is
                empty if the document is absent. It must have no effects.
            operation_id: Unique name of this change. If the document lists
                it, the change took effect before and is not made again.
            deadline: Time at which the attempts end.
            commutes: Whether the change may be applied to whatever another
                writer left. By default that is a conflict.
            is_retry: Whether an earlier call with this id ended with
                `MAY_HAVE`. Its effect is found for as long as the document
                lists its last 64 writes.
        """
        while True:
            reading = await self._read(key, deadline)
            if isinstance(reading, results.Failure):
                verdict = WriteVerdict.NO_EFFECT
                if is_retry:
                    verdict = WriteVerdict.MAY_HAVE
                return WriteOutcome(verdict, failure=reading.failure())
            found = next(iter(reading.unwrap().key_values), None)
            document = _document_of(found)
            if document is None:
                return _unreadable(key, found, is_retry)
            if operation_id in document.operations:
                return WriteOutcome(WriteVerdict.TOOK_EFFECT, current=found)
            outcome = await self.write(
                key,
                document.successor(function(document.body), operation_id),
                base_of(found),
                deadline=deadline,
                uncertain=is_retry,
            )
            refused = outcome.verdict is WriteVerdict.NO_EFFECT
            if not (commutes and outcome.conflict and refused):
                return outcome
            # The conflict proved that no earlier attempt can take effect.
            is_retry = False

    async def _read(
        self, key: str, deadline: float
    ) -> results.Result[store.ReadResult, failures.Failure]:
        """Reads a key; repeats failed calls until the deadline."""
        while True:
            left = deadline - self._clock()
            answer = await self._client.get(
                key, timeout_seconds=min(ATTEMPT_SECONDS, left)
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


def _noted(
    outcome: WriteOutcome,
    answer: results.Result[store.Written, failures.Failure],
) -> WriteOutcome:
    """Returns the outcome with what one attempt's answer tells."""
    if isinstance(answer, results.Success):
        return attrs.evolve(outcome, failure=None)
    failure = answer.failure()
    if isinstance(failure, failures.Conflict):
        return attrs.evolve(outcome, current=failure.current, failure=failure)
    return attrs.evolve(outcome, failure=failure)


def _unreadable(
    key: str, found: failures.KeyValue | None, resumes: bool
) -> WriteOutcome:
    return WriteOutcome(
        WriteVerdict.MAY_HAVE if resumes else WriteVerdict.NO_EFFECT,
        current=found,
        failure=failures.Malformed(
            f"the value of {key!r} is not a stored document", refused=False
        ),
    )
