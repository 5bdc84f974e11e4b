"""Program of a balancer on the platform."""

from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import introspection
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import mirror
from godwitturn.core.transparent import peers
from godwitturn.core.transparent import registration
from godwitturn.daemons import http_client
from godwitturn.daemons import metrics_page
from godwitturn.daemons import os_random
from godwitturn.platform import documents
from godwitturn.platform import program
from godwitturn.platform import settings as settings_module
from godwitturn.platform import store

# A connection that went silent is noticed after this and a second.
OPERATOR_WATCH_S = 4.0
# Agents are heard directly, so their entries may be noticed later.
AGENT_WATCH_S = 10.0
# A release changes entries many times a second, which would wake the watch of
# each balancer each time.
AGENT_PAUSE_S = registration.PROPAGATION_S


class BalancerProgram(program.Program):
    """Joins sockets, the store and the decisions of a balancer."""

    def __init__(self, settings: settings_module.Settings) -> None:
        super().__init__(settings, tick_s=balancers.TICK_S)
        self.core = balancers.Balancer(
            address=settings.address,
            data_centre=settings.data_centre,
            started_at=self.loop.now,
            peers=peers.PeerTable(settings.address, frozenset(settings.seeds)),
        )
        self.was_ready = False
        self.store_clients: list[http_client.HttpClient] = []
        self.operator_copy = self._mirror(
            documents.OPERATOR_PREFIX, OPERATOR_WATCH_S
        )
        self._mirror(
            documents.AGENT_PREFIX, AGENT_WATCH_S, pause_s=AGENT_PAUSE_S
        )
        self.serve_pages(
            metrics_page.MetricsPage(
                self.core.counts,
                self.gauges,
                lambda: introspection.balancer_state(
                    self.core, now=self.loop.now
                ),
            )
        )
        for seed in settings.seeds:
            self.core.peers.add(seed, now=self.loop.now)

    def _mirror(
        self, prefix: str, wait_s: float, *, pause_s: float = 0.0
    ) -> mirror.Mirror:
        """Keeps a copy of a prefix of the store."""
        copy = mirror.Mirror(prefix, wait_s, pause_s)
        client = http_client.HttpClient(self.loop, self.settings.store)
        self.store_clients.append(client)
        connection = store.Store(client)

        def call() -> None:
            connection.read(copy.next_call(), done)

        def done(
            result: mirror.Page | mirror.Changes | mirror.Failure,
        ) -> None:
            failed_before = copy.failures
            changes = copy.handle_result(result)
            if isinstance(result, mirror.Failure):
                self.record(
                    "store_call_failed",
                    prefix=prefix,
                    reason=result.value,
                    failures=copy.failures,
                )
            elif failed_before:
                self.record("store_regained", prefix=prefix)
            self.store_changed(copy, changes)
            self.loop.call_later(
                copy.delay_s(os_random.random_fraction()), call
            )

        call()
        return copy

    def documents(self) -> document_exchange.Documents:
        """Returns this daemon's copy of the operators' documents."""
        return self.operator_copy.documents()

    def adopt(self, copy: document_exchange.Documents) -> None:
        """Takes another daemon's copy of the operators' documents."""
        changes = self.operator_copy.adopt(copy)
        self.store_changed(self.operator_copy, changes)

    def settings_changed(self, settings: settings_module.Settings) -> None:
        """Puts changed settings in force."""
        super().settings_changed(settings)
        for client in self.store_clients:
            client.set_address(settings.store)
        for seed in settings.seeds:
            self.core.peers.add(seed, now=self.loop.now)

    def store_changed(
        self, copy: mirror.Mirror, changes: list[mirror.Item]
    ) -> None:
        """Passes changes of the store on to the decisions."""
        if copy.prefix == documents.AGENT_PREFIX:
            self.core.agents_loaded = copy.synced
            for item in changes:
                self._agent_changed(item)
            return
        for item in changes:
            if item.key == documents.CONFIGURATION_KEY and item.value:
                self._configuration_changed(item)
        if copy.revision:
            closed = frozenset(
                name
                for name in map(
                    documents.evacuated_data_centre, copy.item_by_key
                )
                if name is not None
            )
            self.perform(
                self.core.close_data_centres(
                    closed, revision=copy.last_change_revision
                )
            )

    def _configuration_changed(self, item: mirror.Item) -> None:
        try:
            configuration = documents.decode_configuration(item.value or b"")
        except documents.MalformedError as exc:
            self.record("malformed_document", key=item.key, error=str(exc))
            return
        self.perform(
            self.core.configure(configuration, revision=item.revision)
        )

    def _agent_changed(self, item: mirror.Item) -> None:
        now = self.loop.now
        # Keys end with the agent's address, so that a deletion names it.
        address = item.key.removeprefix(documents.AGENT_PREFIX)
        if item.value is None:
            self.perform(self.core.unregister(address, now=now))
            return
        try:
            entry = documents.decode_agent_entry(item.value)
        except documents.MalformedError as exc:
            self.record("malformed_document", key=item.key, error=str(exc))
            return
        if entry[0] != address:
            self.record("malformed_document", key=item.key, error="address")
            return
        self.perform(self.core.register(*entry, now=now))

    def packet_received(self, data: bytes, sender: str) -> None:
        """Takes a datagram from a router."""
        segment = self.decoded(data, sender)
        if segment is not None:
            self.perform(self.core.handle_packet(segment, now=self.loop.now))

    def message_received(self, sender: str, message: messages.Message) -> None:
        """Takes a message of another daemon."""
        now = self.loop.now
        match message:
            case messages.OpeningRefused(reason, data):
                segment = self.decoded(data, sender)
                if segment is not None:
                    self.perform(
                        self.core.handle_refusal(
                            sender, reason, segment, now=now
                        )
                    )
            case messages.PacketReturned(data):
                segment = self.decoded(data, sender)
                if segment is not None:
                    self.perform(
                        self.core.handle_returned_packet(
                            sender, segment, now=now
                        )
                    )
            case _:
                self.perform(
                    self.core.handle_message(sender, message, now=now)
                )

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.core.count(name)

    def answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Answers a router that asks whether this process is ready."""
        if method != "GET" or target != "/ready":
            return 404, b"{}"
        now = self.loop.now
        ready = self.core.ready(now=now)
        if ready != self.was_ready:
            self.was_ready = ready
            self.record("readiness_changed", ready=ready)
        if not ready:
            self.core.record_failed_probe(now=now)
        return (200 if ready else 503), b"{}"

    def gauges(self) -> dict[str, float]:
        """Returns present values."""
        configuration = self.core.configuration
        return {
            "flows": len(self.core.cache.flow_by_id),
            "agents": len(self.core.target_table.target_by_address),
            "peers": len(self.core.peers.peer_by_address),
            "ready": float(self.was_ready),
            "configuration_version": (
                configuration.version if configuration else 0
            ),
            "log_lines_left_out": self.log.dropped,
        }

    def tick(self) -> None:
        """Does what is due."""
        now = self.loop.now
        self.perform(self.core.tick(now=now))
        self.ask_for_documents(self.core.fetcher)
        if self.core.may_exit(now=now):
            self.end()

    def stop(self) -> None:
        """Begins a graceful stop."""
        if self.core.stop is None:
            self.record("stopping", flows=len(self.core.cache.flow_by_id))
            self.core.begin_stop(
                now=self.loop.now, grace_s=self.settings.grace_s
            )
