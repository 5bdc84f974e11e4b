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

# Six confirmations fit into the 3 s after which a view is fenced.
CONFIRM_INTERVAL_S = 0.5
# A change that the watch has not delivered this long after the store knew it
# is fetched by reading everything again.
OVERDUE_S = 1.0
RETRY_S = 1.0
# A call that took longer than this, the client's timeout included, was
# interrupted by a pause of the process and says nothing about the store.
PAUSE_MARGIN_S = 1.0

FeedEvent = (
    control_events.DocumentsRead
    | control_events.StoreConfirmed
    | control_events.StoreUnreachable
)


@attrs.define
class StoreFeed:
    """Passes a deployment's documents to a control node while it runs.

    Attributes:
        client: The store.
        prefix: What the deployment's keys begin with.
        timeout_s: The client's limit of each call in seconds.
        emit: Takes the events.
        log: Takes log events.
        calls: Store calls made so far, a watch as one.
    """

    client: store.StoreClient
    prefix: str
    timeout_s: float
    emit: Callable[[FeedEvent], None]
    log: Callable[[events.LogEvent], None]
    calls: int = 0
    _delivered: int = 0
    _overdue_since: float | None = None
    _watch_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Reads, watches and confirms until cancelled."""
        await self._read_all()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_forever)
            nursery.start_soon(self._confirm_forever)

    def _emit_documents(self, found: repository.ParsedDocuments) -> None:
        for key in found.malformed:
            self.log(
                events.LogEvent(
                    events.EventId.STORE_VALUE_MALFORMED, {"key": key}
                )
            )
        self.emit(
            control_events.DocumentsRead(found.documents, self._delivered)
        )

    async def _read_all(self) -> None:
        while True:
            self.calls += 1
            started = clock.now()
            match await self.client.get_prefix(self.prefix):
                case results.Success(reading):
                    self._delivered = reading.revision
                    self._overdue_since = None
                    self._emit_documents(
                        repository.parse_documents(
                            self.prefix, reading.key_values
                        )
                    )
                    return
            self._report_failure(started)
            await trio.sleep(RETRY_S)

    def _report_failure(self, started: float) -> None:
        elapsed_s = clock.now() - started
        if elapsed_s <= self.timeout_s + PAUSE_MARGIN_S:
            self.emit(control_events.StoreUnreachable())

    async def _watch_forever(self) -> None:
        while True:
            with trio.CancelScope() as self._watch_scope:
                await self._watch()
            # Compacted, or overdue: changes may be missing.
            await self._read_all()

    async def _watch(self) -> None:
        self.calls += 1
        changes = self.client.watch(
            self.prefix,
            start_revision=self._delivered + 1,
            clock=clock.now,
        )
        async with changes:
            async for event in changes:
                match event:
                    case watch.ChangeBatch(revision, found):
                        self._changed(revision, found)
                    case watch.Progress(revision):
                        self._delivered = max(self._delivered, revision)
                    case watch.Compacted():
                        return

    def _changed(
        self, revision: int, changes: tuple[watch.KeyChange, ...]
    ) -> None:
        self._delivered = max(self._delivered, revision)
        pairs = [change.key_value for change in changes if not change.deleted]
        found = repository.parse_documents(self.prefix, pairs)
        if found.documents or found.malformed:
            self._emit_documents(found)

    async def _confirm_forever(self) -> None:
        while True:
            await self._confirm()
            await trio.sleep(CONFIRM_INTERVAL_S)

    async def _confirm(self) -> None:
        self.calls += 1
        started = clock.now()
        match await self.client.get_changed_since(
            self.prefix, self._delivered
        ):
            case results.Success(store.ReadResult(revision, ())):
                self._overdue_since = None
                age = clock.now() - started
                self.emit(control_events.StoreConfirmed(revision, age))
            case results.Success(_):
                self._check_overdue()
            case _:
                self._report_failure(started)

    def _check_overdue(self) -> None:
        now = clock.now()
        if self._overdue_since is None:
            self._overdue_since = now
        elif now - self._overdue_since > OVERDUE_S:
            self._watch_scope.cancel()
