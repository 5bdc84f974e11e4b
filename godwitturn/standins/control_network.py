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
        loss: Share of the messages that are lost; half of it comes twice.
        now: Time of the network in seconds.
        daemon_by_id: The daemons by member id.
        documents: What the store holds, by key.
        revision: Revision of the store.
        store_down: Whether no daemon reaches the store.
        store_calls: Polls of the store so far.
        is_cut: Whether no message gets from one daemon to another.
        store_cut: Whether a daemon does not reach the store.
        seeds: Where daemons that start attach first.
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
        self.store_cut: Callable[[Daemon], bool] = lambda daemon: False
        self.seeds: tuple[control_events.Seed, ...] = ()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Calls a function after a delay in seconds."""
        entry = (self.now + delay, next(self._order), call)
        heapq.heappush(self._queue, entry)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
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
            if daemon.reading and self._store_answers(daemon):
                self._deliver(daemon, event, 0.005)
            else:
                daemon.unread = True
        return self.revision

    def start(self, member: documents.Member) -> Daemon:
        """Starts a daemon, or starts it again without memory."""
        if member.member_id in self.daemon_by_id:
            self.daemon_by_id[member.member_id].alive = False
        daemon = fixtures.daemon_of(
            member, self.seeds, self.generator, self.now
        )
        self.daemon_by_id[member.member_id] = daemon
        address = addresses.Address("127.0.0.1", 1 + len(self.daemon_by_id))
        self._handle(daemon, control_events.LocalAnnouncement(address))
        self.later(self.generator.random() * 0.1, lambda: self._tick(daemon))
        return daemon

    def thaw(self, daemon: Daemon) -> None:
        """Wakes a paused daemon, which then reads what was buffered."""
        daemon.frozen = False
        waiting, daemon.inbox = daemon.inbox, []
        for event, sent_at in waiting:
            self._arrive(daemon, event, sent_at)

    def _tick(self, daemon: Daemon) -> None:
        if not daemon.frozen:
            self._handle(daemon, actions.Tick())
        if daemon.alive:
            self.later(TICK_SECONDS, lambda: self._tick(daemon))

    def _deliver(self, daemon: Daemon, event: Any, delay: float) -> None:
        sent_at = self.now
        self.later(delay, lambda: self._arrive(daemon, event, sent_at))

    def _arrive(self, daemon: Daemon, event: Any, sent_at: float) -> None:
        late = self.now - sent_at
        if isinstance(event, control_events.StoreConfirmed):
            event = attrs.evolve(event, age=late)
        overdue = late > 1 and event == control_events.StoreUnreachable()
        if daemon.frozen:
            daemon.inbox.append((event, sent_at))
        elif not overdue:
            self._handle(daemon, event)

    def _handle(self, daemon: Daemon, event: Any) -> None:
        node = daemon.node
        for action in node.handle(event, now=self.now) if daemon.alive else ():
            match action:
                case control_events.SendToPeer():
                    self._send(daemon, action)
                case control_events.StartStoreReader():
                    daemon.reading = daemon.unread = True
                    self._poll_store(daemon)
                case control_events.StopStoreReader():
                    daemon.reading = False
                case control_events.ConfigurationChanged():
                    held = action.configuration.document_by_key
                    daemon.versions.append({k: held[k].revision for k in held})
                case actions.FenceChanged():
                    daemon.fences.append((self.now, action.fenced))

    def _send(self, source: Daemon, action: Any) -> None:
        source.sent.append((self.now, action.peer, action.data))
        peer = self.daemon_by_id.get(action.peer)
        if peer is None or self.is_cut(source, peer):
            return
        sender = source.member.member_id
        event = control_events.PeerMessage(sender, action.data)
        arrives = self.generator.random() >= self.loss
        twice = self.generator.random() < self.loss / 2
        # A lost message has no duplicate.
        for _ in range(arrives * (1 + twice)):
            self._deliver(peer, event, self.generator.uniform(0.003, 0.05))

    def _store_answers(self, daemon: Daemon) -> bool:
        return not (self.store_down or self.store_cut(daemon))

    def _poll_store(self, daemon: Daemon) -> None:
        if not daemon.reading or not daemon.alive:
            return
        self.store_calls += 1
        answers = self._store_answers(daemon)
        if answers and daemon.unread:
            found = tuple(self.documents.values())
            changed = control_events.DocumentsRead(found, self.revision)
            self._deliver(daemon, changed, 0.005)
            daemon.unread = False
        event: Any = control_events.StoreConfirmed(self.revision)
        if not answers:
            event = control_events.StoreUnreachable()
        self._deliver(daemon, event, 0.006 if answers else 0.3)
        self.later(STORE_SECONDS, lambda: self._poll_store(daemon))
