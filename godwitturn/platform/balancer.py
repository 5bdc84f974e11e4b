"""Program of a balancer on the platform."""

import signal
import time

from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import mirror
from godwitturn.daemons import draws
from godwitturn.daemons import http_client
from godwitturn.daemons import http_server
from godwitturn.daemons import reactor
from godwitturn.logs import lines
from godwitturn.platform import channels
from godwitturn.platform import documents
from godwitturn.platform import packets
from godwitturn.platform import settings as settings_module
from godwitturn.platform import store

OPERATOR_WATCH_S = 4.0
AGENT_WATCH_S = 10.0
LOG_INTERVAL_S = 0.2


class BalancerProgram:
    """Joins sockets, the store and the decisions of a balancer."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self.settings = settings
        self.loop = reactor.Reactor()
        self.log = lines.LineLog(settings.node)
        self.core = balancers.Balancer(
            address=settings.address,
            data_centre=settings.data_centre,
            started_at=self.loop.now,
        )
        self.was_ready = False
        self.clients = channels.DatagramSocket(
            self.loop, settings.packets, self.packet_received
        )
        self.peers = channels.PeerChannel(
            self.loop,
            (settings.address, settings.peer_port),
            self.message_received,
            self.malformed,
        )
        self.mirrors = [
            self._mirror(documents.OPERATOR_PREFIX, OPERATOR_WATCH_S),
            self._mirror(documents.AGENT_PREFIX, AGENT_WATCH_S),
        ]
        http_server.HttpServer(self.loop, settings.readiness, self.answer)
        if settings.control is not None:
            http_server.HttpServer(self.loop, settings.control, self.answer)
        for seed in settings.seeds:
            self.core.meet(seed, now=self.loop.now)

    def _mirror(self, prefix: str, wait_s: float) -> mirror.Mirror:
        copy = mirror.Mirror(prefix, wait_s)
        client = http_client.HttpClient(self.loop, self.settings.store)
        connection = store.Store(client)

        def call() -> None:
            connection.read(copy.next_call(), done)

        def done(
            result: mirror.Page | mirror.Changes | mirror.Failure,
        ) -> None:
            failed_before = copy.failures
            changes = copy.take(result)
            if isinstance(result, mirror.Failure):
                self.record(
                    "store_call_failed",
                    prefix=prefix,
                    reason=result.value,
                    failures=copy.failures,
                )
            elif failed_before:
                self.record("store_regained", prefix=prefix)
            self.store_changed(prefix, copy, changes)
            delay_s = copy.retry_delay_s(draws.draw())
            self.loop.call_later(delay_s, call) if delay_s else call()

        call()
        return copy

    def store_changed(
        self, prefix: str, copy: mirror.Mirror, changes: list[mirror.Item]
    ) -> None:
        """Passes changes of the store on to the decisions."""
        if prefix == documents.AGENT_PREFIX:
            self.core.agents_listed = copy.synced
            for item in changes:
                self._agent_changed(copy, item)
            return
        for item in changes:
            if item.key == documents.CONFIGURATION_KEY and item.value:
                self._configuration_changed(item)
        closed = frozenset(
            name
            for name in map(documents.evacuated_data_centre, copy.item_by_key)
            if name is not None
        )
        if copy.synced:
            self.perform(
                self.core.close_data_centres(closed, revision=copy.revision)
            )

    def _configuration_changed(self, item: mirror.Item) -> None:
        try:
            configuration = documents.configuration(item.value or b"")
        except documents.MalformedError as exc:
            self.record("malformed_document", key=item.key, error=str(exc))
            return
        self.perform(
            self.core.configure(configuration, revision=item.revision)
        )

    def _agent_changed(self, copy: mirror.Mirror, item: mirror.Item) -> None:
        # Keys end with the agent's address, so that a deletion names it.
        address = item.key.removeprefix(documents.AGENT_PREFIX)
        if item.value is None:
            self.perform(self.core.unregister(address, now=self.loop.now))
            return
        try:
            entry = documents.read_agent_entry(item.value)
        except documents.MalformedError as exc:
            self.record("malformed_document", key=item.key, error=str(exc))
            return
        if entry[0] != address:
            self.record("malformed_document", key=item.key, error="address")
            return
        self.perform(self.core.register(*entry, now=self.loop.now))

    def packet_received(self, data: bytes, sender: str) -> None:
        """Takes a datagram from a router."""
        segment = packets.decode(data, from_target=False)
        if segment is None or segment.returned:
            self.malformed(sender)
            return
        self.perform(self.core.handle_packet(segment, now=self.loop.now))

    def message_received(self, sender: str, message: messages.Message) -> None:
        """Takes a message of another daemon."""
        now = self.loop.now
        match message:
            case messages.Refused(reason, data):
                segment = packets.decode(data, from_target=False)
                if segment is not None:
                    self.perform(
                        self.core.handle_refusal(
                            sender, reason, segment, now=now
                        )
                    )
            case messages.FlowMissing(data):
                segment = packets.decode(data, from_target=False)
                if segment is not None:
                    self.perform(
                        self.core.handle_missing(sender, segment, now=now)
                    )
            case _:
                self.perform(
                    self.core.handle_message(sender, message, now=now)
                )

    def malformed(self, sender: str) -> None:
        """Counts a datagram that can't be used."""
        self.core.counts["malformed"] = (
            self.core.counts.get("malformed", 0) + 1
        )
        self.record("malformed_datagram", sender=sender)

    def perform(self, actions: list[messages.Action]) -> None:
        """Carries out what the core decided."""
        for action in actions:
            match action:
                case messages.Send(address, message):
                    self.peers.send(address, message)
                case messages.Record(event, fields):
                    self.record(event, **fields)
                case messages.Reset(flow_id, sequence):
                    self.clients.send(
                        packets.reset(flow_id, sequence),
                        (
                            packets.client_address(flow_id),
                            self.settings.packets[1],
                        ),
                    )

    def record(self, event: str, **fields: object) -> None:
        """Writes a log line."""
        self.log.write(event, fields, now=self.loop.now)

    def answer(self, method: str, target: str, _: bytes) -> tuple[int, bytes]:
        """Answers a request about this process."""
        if method == "GET" and target == "/ready":
            ready = self.core.ready(now=self.loop.now)
            if ready != self.was_ready:
                self.was_ready = ready
                self.record("readiness_changed", ready=ready)
            if not ready:
                self.core.note_miss(now=self.loop.now)
            return (200 if ready else 503), b"{}"
        return 404, b"{}"

    def tick(self) -> None:
        """Does what is due."""
        now = self.loop.now
        self.perform(self.core.tick(now=now))
        if self.core.may_end(now=now):
            self.record("stopped", flows=len(self.core.flow_by_id))
            self.log.flush()
            self.loop.stopped = True

    def stop(self) -> None:
        """Begins a graceful stop."""
        if self.core.stop is None:
            self.record("stopping")
            self.core.begin_stop(
                now=self.loop.now, grace_s=self.settings.grace_s
            )

    def run(self) -> None:
        """Runs until the process is told to stop."""
        self.record("started", startup_cpu_ms=round(1000 * time.thread_time()))
        self.loop.on_signal(signal.SIGTERM, self.stop)
        self.loop.on_signal(
            signal.SIGHUP, lambda: self.record("reload_ignored")
        )
        self.loop.call_every(balancers.TICK_S, self.tick)
        self.loop.call_every(LOG_INTERVAL_S, self.log.flush)
        self.loop.run()
