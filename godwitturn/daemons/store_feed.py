"""Reads the store for a control node: snapshot, watch and confirmations."""

from collections.abc import Callable

import attrs
from returns import result as results
import trio

from godwitturn.core import control_events
from godwitturn.core import events
from godwitturn.daemons import clock
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.etcd import watch

# Six confirmations fit into the 3 s after which an unconfirmed daemon is
# fenced.
CONFIRM_INTERVAL_S = 0.5
# If the watch has not delivered a change this long after a confirmation call
# returned it, all documents are read again.
OVERDUE_S = 1.0
RETRY_S = 1.0
# If a failed call took this much longer than the client's timeout, the process
# was paused during the call, so the store is not reported as unreachable.
PAUSE_MARGIN_S = 1.0

FeedEvent = (
    control_events.DocumentsRead
    | control_events.StoreConfirmed
    | control_events.StoreUnreachable
)


@attrs.define
class StoreFeed:
    """Passes a deployment's documents and their changes to a control node.

    Attributes:
        client: The store.
        prefix: Prefix of the deployment's keys.
        timeout_s: The client's timeout for each call in seconds.
        emit: Passes an event to the control node.
        log: Writes a log event.
        calls: Number of store calls so far; a watch counts as one.
    """

    client: store.StoreClient
    prefix: str
    timeout_s: float
    emit: Callable[[FeedEvent], None]
    log: Callable[[events.LogEvent], None]
    calls: int = 0
    _delivered_revision: int = 0
    _overdue_since: float | None = None
    _watch_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Reads, watches and confirms the documents until cancelled."""
        await self._read_all()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_forever)
            nursery.start_soon(self._confirm_forever)

    def _emit_documents(
        self,
        parsed: repository.ParsedDocuments,
        *,
        read_age_s: float | None = None,
    ) -> None:
        """Passes documents on.

        Args:
            parsed: The documents.
            read_age_s: For a read of all documents, the seconds since its
                request was sent.
        """
        for key in parsed.malformed:
            self.log(
                events.LogEvent(
                    events.EventId.STORE_VALUE_MALFORMED, {"key": key}
                )
            )
        self.emit(
            control_events.DocumentsRead(
                parsed.documents,
                self._delivered_revision,
                is_complete=read_age_s is not None,
                malformed=parsed.malformed,
                age=read_age_s or 0.0,
            )
        )

    async def _read_all(self) -> None:
        while True:
            self.calls += 1
            started_at = clock.now()
            match await self.client.get_prefix(self.prefix):
                case results.Success(read_result):
                    self._delivered_revision = read_result.revision
                    self._overdue_since = None
                    self._emit_documents(
                        repository.parse_documents(
                            self.prefix, read_result.key_values
                        ),
                        read_age_s=clock.now() - started_at,
                    )
                    return
            self._report_failure(started_at)
            await trio.sleep(RETRY_S)

    def _report_failure(self, started_at: float) -> None:
        elapsed_s = clock.now() - started_at
        if elapsed_s <= self.timeout_s + PAUSE_MARGIN_S:
            self.emit(control_events.StoreUnreachable())

    async def _watch_forever(self) -> None:
        while True:
            with trio.CancelScope() as self._watch_scope:
                await self._watch()
            # The history was compacted, or a change is overdue, so changes may
            # have been missed.
            await self._read_all()

    async def _watch(self) -> None:
        self.calls += 1
        changes = self.client.watch(
            self.prefix,
            start_revision=self._delivered_revision + 1,
            clock=clock.now,
        )
        is_lost = False
        async with changes:
            async for event in changes:
                match event:
                    case watch.Disconnected():
                        is_lost = True
                    case watch.Connected() if is_lost:
                        is_lost = False
                        watched_from = self._delivered_revision
                        # The store may have been restored from a backup, and
                        # a reading control node compares all documents.
                        await self._read_all()
                        if self._delivered_revision < watched_from:
                            return
                    case watch.ChangeBatch(revision, batch):
                        self._handle_changes(revision, batch)
                    case watch.Progress(revision):
                        self._delivered_revision = max(
                            self._delivered_revision, revision
                        )
                    case watch.Compacted():
                        return

    def _handle_changes(
        self, revision: int, changes: tuple[watch.KeyChange, ...]
    ) -> None:
        self._delivered_revision = max(self._delivered_revision, revision)
        key_values = [
            change.key_value for change in changes if not change.deleted
        ]
        parsed = repository.parse_documents(self.prefix, key_values)
        if parsed.documents or parsed.malformed:
            self._emit_documents(parsed)

    async def _confirm_forever(self) -> None:
        while True:
            await self._confirm()
            await trio.sleep(CONFIRM_INTERVAL_S)

    async def _confirm(self) -> None:
        self.calls += 1
        started_at = clock.now()
        match await self.client.get_changed_since(
            self.prefix, self._delivered_revision
        ):
            case results.Success(store.ReadResult(revision, ())):
                self._overdue_since = None
                age_s = clock.now() - started_at
                self.emit(control_events.StoreConfirmed(revision, age_s))
            case results.Success(_):
                self._check_overdue()
            case _:
                self._report_failure(started_at)

    def _check_overdue(self) -> None:
        now = clock.now()
        if self._overdue_since is None:
            self._overdue_since = now
        elif now - self._overdue_since > OVERDUE_S:
            self._watch_scope.cancel()
