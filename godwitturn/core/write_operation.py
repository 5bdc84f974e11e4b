"""Decides whether one write of a document took effect.

A write is a compare-and-swap on the document's `mod_revision` whose new value
lists the write's operation id. The same compare-and-swap may be sent any
number of times: at most one of its copies succeeds, because the first success
changes the revision. Reading the document proves nothing while a copy may be
in flight, so a lost answer is resolved by sending the write again.
"""

import enum
import random

import attrs

# Number of ids of past writes that a document lists.
MAX_STORED_OPERATIONS = 64

FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0


class WriteVerdict(enum.IntEnum):
    """What is known about the effect of a write."""

    TOOK_EFFECT = 1
    NO_EFFECT = 2
    MAY_HAVE = 3


@attrs.frozen
class Base:
    """The state of the document that a write replaces; all 0 if it is absent.

    Attributes:
        mod_revision: The revision that the write expects.
        create_revision: Revision at which the document was created.
        version: Number of writes since then.
    """

    mod_revision: int = 0
    create_revision: int = 0
    version: int = 0


@attrs.frozen
class Current:
    """The state of the document that a failed comparison reported.

    Attributes:
        create_revision: Revision at which it was created.
        mod_revision: Revision of its last write.
        version: Number of writes since it was created.
        operations: Ids of its last writes; None if they cannot be read.
    """

    create_revision: int
    mod_revision: int
    version: int
    operations: tuple[str, ...] | None


# Events


@attrs.frozen
class Started:
    """Starts the operation."""


@attrs.frozen
class WaitEnded:
    """The time of a `WaitUntil` has been reached."""


@attrs.frozen
class Succeeded:
    """An attempt was answered and its comparison succeeded."""

    revision: int


@attrs.frozen
class Conflicted:
    """An attempt was answered and its comparison failed.

    Attributes:
        current: State of the document; None if it is absent.
    """

    current: Current | None


@attrs.frozen
class Failed:
    """An attempt got no answer about its comparison.

    Attributes:
        may_have_taken_effect: Whether the write may take effect, now or
            later.
        retry_after: Minimum number of seconds until the next attempt.
        permanent: Whether another attempt would fail in the same way.
    """

    may_have_taken_effect: bool
    retry_after: float = 0.0
    permanent: bool = False


Event = Started | WaitEnded | Succeeded | Conflicted | Failed


# Actions


@attrs.frozen
class Attempt:
    """Send the compare-and-swap with at most this timeout."""

    timeout_seconds: float


@attrs.frozen
class WaitUntil:
    """Pass a `WaitEnded` to the operation at this time."""

    resume_at: float


@attrs.frozen
class Finish:
    """The operation is complete.

    Attributes:
        verdict: What is known about its effect.
        revision: Revision of the write if it took effect and its own answer
            arrived, else 0.
        conflict: Whether another write changed the document first.
    """

    verdict: WriteVerdict
    revision: int = 0
    conflict: bool = False


Action = Attempt | WaitUntil | Finish


class WriteOperation:
    """State of one write from its first attempt to its verdict.

    Args:
        operation_id: Unique name of the write.
        base: State that it replaces.
        deadline: Time at which it ends without further attempts.
        seed: Seed of the jitter of its backoff.
        uncertain: Whether an earlier attempt under the same id may have
            taken effect or may still do so.
    """

    def __init__(
        self,
        operation_id: str,
        base: Base,
        *,
        deadline: float,
        seed: int,
        uncertain: bool = False,
    ) -> None:
        self._operation_id = operation_id
        self._base = base
        self._deadline = deadline
        self._random = random.Random(seed)
        self._uncertain = uncertain
        self._failure_count = 0

    def handle(self, event: Event, *, now: float) -> list[Action]:
        """Returns what to do next; exactly one action."""
        match event:
            case Started() | WaitEnded():
                return [self._attempt(now)]
            case Succeeded(revision):
                return [Finish(WriteVerdict.TOOK_EFFECT, revision)]
            case Conflicted(current):
                return [self._resolve_conflict(current)]
            case Failed():
                return [self._retry(event, now)]

    def _attempt(self, now: float) -> Action:
        if now >= self._deadline:
            return self._finish_without_answer()
        return Attempt(self._deadline - now)

    def _finish_without_answer(self) -> Finish:
        if self._uncertain:
            return Finish(WriteVerdict.MAY_HAVE)
        return Finish(WriteVerdict.NO_EFFECT)

    def _retry(self, failed: Failed, now: float) -> Action:
        self._uncertain = self._uncertain or failed.may_have_taken_effect
        if failed.permanent and not self._uncertain:
            return Finish(WriteVerdict.NO_EFFECT)
        max_wait = FIRST_BACKOFF_SECONDS * 2 ** min(self._failure_count, 10)
        max_wait = min(MAX_BACKOFF_SECONDS, max_wait)
        self._failure_count += 1
        wait = max(failed.retry_after, self._random.uniform(0, max_wait))
        if now + wait >= self._deadline:
            return self._finish_without_answer()
        return WaitUntil(now + wait)

    def _resolve_conflict(self, current: Current | None) -> Finish:
        operations = current.operations if current else None
        if operations and self._operation_id in operations:
            return Finish(WriteVerdict.TOOK_EFFECT)
        # The document is past the revision that the write expects, and
        # revisions never repeat, so no copy of the write that is still in
        # flight can succeed. A copy may have succeeded before, even if no
        # answer was lost, because this answer may be to a duplicate.
        if not self._lists_all_writes_since_base(current):
            return Finish(WriteVerdict.MAY_HAVE, conflict=True)
        return Finish(WriteVerdict.NO_EFFECT, conflict=True)

    def _lists_all_writes_since_base(self, current: Current | None) -> bool:
        """Returns whether the listed ids cover every write since the base.

        Each write adds one id, so the list covers them unless more than
        `MAX_STORED_OPERATIONS` writes followed the base, or the document was
        deleted and created again.
        """
        if current is None or current.operations is None:
            return False
        if self._base.mod_revision == 0:
            return current.version <= MAX_STORED_OPERATIONS
        same_document = current.create_revision == self._base.create_revision
        writes = current.version - self._base.version
        return same_document and writes <= MAX_STORED_OPERATIONS
