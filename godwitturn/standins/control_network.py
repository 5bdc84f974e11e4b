"""A deterministic network of control nodes in memory, with a fake store."""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import control_events
from godwitturn.core import documents
from godwitturn.standins import control_fixtures as fixtures

TICK_SECONDS = 0.1
STORE_SECONDS = 0.5
Daemon = fixtures.Daemon


class Network:
    """Delays, loses and duplicates messages between daemons.

    Attributes:
        generator: The only source of randomness.
        loss: Share of the messages that are lost; of the others, half this
            share is duplicated.
        now: Time of the network in seconds.
        daemon_by_id: The daemons by member id.
        documents: Documents of the store, by key.
        revision: Revision of the store.
        store_down: Whether no daemon reaches the store.
        store_calls: Polls of the store so far.
        is_cut: Whether messages from one daemon to another are dropped.
        is_store_cut: Whether a daemon does not reach the store.
        seeds: Seeds of the daemons that start.
    """

    def __init__(self, seed: int = 0, *, loss: float = 0.0) -> None:
        self.generator = random.Random(seed)
        self.loss = loss
        self.now = 1000.0
        self.daemon_by_id: dict[int, Daemon] = {}
        self.documents: dict[str, Any] = {}
        self.revision = 0
        self.store_down = False
        self.store_calls = 0
        self.is_cut: Callable[[Daemon, Daemon], bool] = lambda a, b: False
        self.is_store_cut: Callable[[Daemon], bool] = lambda daemon: False
        self.seeds: tuple[control_events.Seed, ...] = ()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Calls a function after a delay in seconds."""
        entry = (self.now + delay, next(self._order), call)
        heapq.heappush(self._queue, entry)

    def run(self, seconds: float) -> None:
        """Advances the time and makes the calls that become due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end

    def put(self, key: str, value: Any) -> int:
        """Writes a document to the store and returns its revision."""
        self.revision += 1
        document = fixtures.document(key, self.revision, value)
        self.documents[key] = document
        event = control_events.DocumentsRead((document,), self.revision)
        for daemon in self.daemon_by_id.values():
            if daemon.reads_store and self._store_answers(daemon):
                self._deliver(daemon, event, 0.005)
            else:
                daemon.has_unread = True
        return self.revision

    def start(self, member: documents.Member) -> Daemon:
        """Starts a daemon, or restarts it without its state."""
        if member.member_id in self.daemon_by_id:
            self.daemon_by_id[member.member_id].is_running = False
        daemon = fixtures.daemon_of(
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
        """Resumes a paused daemon, which then handles buffered events."""
        daemon.is_paused = False
        buffered, daemon.inbox = daemon.inbox, []
        for event, sent_at in buffered:
            self._arrive(daemon, event, sent_at)

    def _tick(self, daemon: Daemon) -> None:
        if not daemon.is_paused:
            self._handle(daemon, actions.Tick())
        if daemon.is_running:
            self.call_later(TICK_SECONDS, lambda: self._tick(daemon))

    def _deliver(self, daemon: Daemon, event: Any, delay: float) -> None:
        sent_at = self.now
        self.call_later(delay, lambda: self._arrive(daemon, event, sent_at))

    def _arrive(self, daemon: Daemon, event: Any, sent_at: float) -> None:
        delay_s = self.now - sent_at
        if isinstance(event, control_events.StoreConfirmed):
            event = attrs.evolve(event, age=delay_s)
        is_overdue = delay_s > 1 and event == control_events.StoreUnreachable()
        if daemon.is_paused:
            daemon.inbox.append((event, sent_at))
        elif not is_overdue:
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
                    daemon.reads_store = daemon.has_unread = True
                    self._poll_store(daemon)
                case control_events.StopStoreReader():
                    daemon.reads_store = False
                case control_events.ConfigurationChanged():
                    document_by_key = action.configuration.document_by_key
                    daemon.applied_revisions.append(
                        {
                            k: document_by_key[k].revision
                            for k in document_by_key
                        }
                    )
                case actions.FenceChanged():
                    daemon.fence_changes.append((self.now, action.fenced))

    def _send(self, source: Daemon, action: Any) -> None:
        source.sent.append((self.now, action.peer, action.data))
        peer = self.daemon_by_id.get(action.peer)
        if peer is None or self.is_cut(source, peer):
            return
        sender = source.member.member_id
        event = control_events.PeerMessage(sender, action.data)
        is_delivered = self.generator.random() >= self.loss
        is_duplicated = self.generator.random() < self.loss / 2
        # A lost message has no duplicate.
        for _ in range(is_delivered * (1 + is_duplicated)):
            self._deliver(peer, event, self.generator.uniform(0.003, 0.05))

    def _store_answers(self, daemon: Daemon) -> bool:
        return not (self.store_down or self.is_store_cut(daemon))

    def _poll_store(self, daemon: Daemon) -> None:
        if not daemon.reads_store or not daemon.is_running:
            return
        self.store_calls += 1
        is_answered = self._store_answers(daemon)
        if is_answered and daemon.has_unread:
            documents = tuple(self.documents.values())
            changed = control_events.DocumentsRead(documents, self.revision)
            self._deliver(daemon, changed, 0.005)
            daemon.has_unread = False
        event: Any = control_events.StoreConfirmed(self.revision)
        if not is_answered:
            event = control_events.StoreUnreachable()
        self._deliver(daemon, event, 0.006 if is_answered else 0.3)
        self.call_later(STORE_SECONDS, lambda: self._poll_store(daemon))
