"""Deterministic simulation of control nodes, their network and the store."""

from collections.abc import Callable
import random
from typing import Any

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import configuration
from godwitturn.core import control_events
from godwitturn.core import documents
from godwitturn.standins import control_fixtures as fixtures
from godwitturn.standins import simulated_time

TICK_SECONDS = 0.1
STORE_POLL_SECONDS = 0.5
Daemon = fixtures.Daemon
# Documents by key, and the revision.
Backup = tuple[dict[str, Any], int]


class Network(simulated_time.SimulatedTime):
    """A network that delays, loses and duplicates messages of daemons.

    Attributes:
        generator: Source of all random numbers, so that runs with the same
            seed are identical.
        loss: Share of the messages that are lost; of the others, half this
            share is duplicated.
        daemon_by_id: The daemons by member id.
        documents: Documents in the store, by key.
        revision: Current revision of the store.
        store_down: Whether the store is unreachable for all daemons.
        store_polls: Number of polls of the store so far.
        is_partitioned: Returns whether messages from the first daemon to the
            second are dropped.
        is_store_partitioned: Returns whether the store is unreachable for a
            daemon.
        seeds: Seeds of daemons that start later.
    """

    def __init__(self, seed: int = 0, *, loss: float = 0.0) -> None:
        self.generator = random.Random(seed)
        self.loss = loss
        super().__init__(1000.0)
        self.daemon_by_id: dict[int, Daemon] = {}
        self.documents: dict[str, Any] = {}
        self.revision = 0
        self.store_down = False
        self.store_polls = 0
        self.is_partitioned: Callable[[Daemon, Daemon], bool] = lambda a, b: (
            False
        )
        self.is_store_partitioned: Callable[[Daemon], bool] = lambda daemon: (
            False
        )
        self.seeds: tuple[control_events.Seed, ...] = ()

    def put(self, key: str, value: Any) -> int:
        """Writes a document to the store and returns its new revision.

        Daemons that read the store and reach it receive the document; the
        others read it the next time they poll the store.
        """
        return self.put_document(fixtures.document(key, 0, value))

    def put_document(self, written: configuration.VersionedDocument) -> int:
        """Writes a document's body like `put`."""
        self.revision += 1
        document = attrs.evolve(written, revision=self.revision)
        self.documents[document.key] = document
        event = control_events.DocumentsRead((document,), self.revision)
        for daemon in self.daemon_by_id.values():
            if daemon.reads_store and self._store_answers(daemon):
                self._deliver(daemon, event, 0.005)
            else:
                daemon.has_unread_documents = True
        return self.revision

    def backup(self) -> Backup:
        """Returns the store's documents and revision, for `restore`."""
        return dict(self.documents), self.revision

    def restore(
        self,
        backup: Backup,
        *,
        cuts_watches: bool = True,
    ) -> None:
        """Restores the store; later revisions are given out again.

        Args:
            backup: What `backup` returned.
            cuts_watches: Whether daemons lose their watches, and therefore
                read all documents again.
        """
        backed_up, self.revision = backup
        self.documents = dict(backed_up)
        for daemon in self.daemon_by_id.values():
            daemon.has_unread_documents |= cuts_watches

    def start(self, member: documents.Member) -> Daemon:
        """Starts a daemon, or restarts it with its state lost."""
        if member.member_id in self.daemon_by_id:
            self.daemon_by_id[member.member_id].is_running = False
        daemon = fixtures.create_daemon(
            member, self.seeds, self.generator, self.now
        )
        self.daemon_by_id[member.member_id] = daemon
        address = addresses.Address("127.0.0.1", 1 + len(self.daemon_by_id))
        self._handle(daemon, control_events.LocalAnnouncement(address))
        self.call_later(
            self.generator.random() * 0.1, lambda: self._tick(daemon)
        )
        return daemon

    def resume(self, daemon: Daemon) -> None:
        """Resumes a paused daemon and passes the buffered events to it."""
        daemon.is_paused = False
        buffered_events, daemon.buffered_events = daemon.buffered_events, []
        for event, sent_at in buffered_events:
            self._receive(daemon, event, sent_at)

    def _tick(self, daemon: Daemon) -> None:
        if not daemon.is_paused:
            self._handle(daemon, actions.Tick())
        if daemon.is_running:
            self.call_later(TICK_SECONDS, lambda: self._tick(daemon))

    def _deliver(self, daemon: Daemon, event: Any, delay_s: float) -> None:
        sent_at = self.now
        self.call_later(delay_s, lambda: self._receive(daemon, event, sent_at))

    def _receive(self, daemon: Daemon, event: Any, sent_at: float) -> None:
        delay_s = self.now - sent_at
        if isinstance(
            event, control_events.StoreConfirmed | control_events.DocumentsRead
        ):
            event = attrs.evolve(event, age=delay_s)
        # A delay over 1 s means that the event was buffered during a pause.
        # Daemons report no failure of a store call that began before a pause.
        is_outdated_failure = (
            delay_s > 1 and event == control_events.StoreUnreachable()
        )
        if daemon.is_paused:
            daemon.buffered_events.append((event, sent_at))
        elif not is_outdated_failure:
            self._handle(daemon, event)

    def _handle(self, daemon: Daemon, event: Any) -> None:
        node = daemon.node
        for action in (
            node.handle(event, now=self.now) if daemon.is_running else ()
        ):
            match action:
                case control_events.SendToPeer():
                    self._send(daemon, action)
                case control_events.StartStoreReader():
                    daemon.reads_store = daemon.has_unread_documents = True
                    daemon.reads += 1
                    self._poll_store(daemon, daemon.reads)
                case control_events.StopStoreReader():
                    daemon.reads_store = False
                case control_events.ConfigurationChanged():
                    document_by_key = action.configuration.document_by_key
                    daemon.applied_revisions.append(
                        {
                            key: document_by_key[key].revision
                            for key in document_by_key
                        }
                    )
                case actions.FenceChanged():
                    daemon.fence_changes.append((self.now, action.fenced))

    def _send(self, source: Daemon, action: Any) -> None:
        source.sent.append((self.now, action.peer, action.data))
        peer = self.daemon_by_id.get(action.peer)
        if peer is None or self.is_partitioned(source, peer):
            return
        sender = source.member.member_id
        event = control_events.PeerMessage(sender, action.data)
        is_delivered = self.generator.random() >= self.loss
        is_duplicated = self.generator.random() < self.loss / 2
        # A lost message has no duplicate.
        for _ in range(is_delivered * (1 + is_duplicated)):
            self._deliver(peer, event, self.generator.uniform(0.003, 0.05))

    def _store_answers(self, daemon: Daemon) -> bool:
        return not (self.store_down or self.is_store_partitioned(daemon))

    def _poll_store(self, daemon: Daemon, read: int) -> None:
        is_current = daemon.reads_store and read == daemon.reads
        if not is_current or not daemon.is_running:
            return
        self.store_polls += 1
        is_answered = self._store_answers(daemon)
        if is_answered and daemon.has_unread_documents:
            all_documents = tuple(self.documents.values())
            documents_read = control_events.DocumentsRead(
                all_documents, self.revision, is_complete=True
            )
            self._deliver(daemon, documents_read, 0.005)
            daemon.has_unread_documents = False
        event: Any = control_events.StoreConfirmed(self.revision)
        if not is_answered:
            event = control_events.StoreUnreachable()
        self._deliver(daemon, event, 0.006 if is_answered else 0.3)
        self.call_later(
            STORE_POLL_SECONDS, lambda: self._poll_store(daemon, read)
        )
