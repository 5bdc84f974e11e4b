"""Program of a balancer on the platform."""

import functools

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
from godwitturn.platform import channels
from godwitturn.platform import documents
from godwitturn.platform import operator_changes
from godwitturn.platform import program
from godwitturn.platform import route_records
from godwitturn.platform import settings as settings_module
from godwitturn.platform import store

# Time within which the store replies to a watch of operators' documents. A
# connection without a reply is closed `store.WATCH_MARGIN_S` later. Daemons
# must have recovered from connections that went silent within 4 s.
OPERATOR_WATCH_WAIT_S = 2.0
# The same for agents' entries. It is longer, because agents also announce
# themselves to balancers directly.
AGENT_WATCH_WAIT_S = 10.0
# Time after a restore of the store within which operators write again what it
# has lost. Until then, an evacuation that it lacks stays in force.
RESTORE_GRACE_S = 5.0
# Pause between watches of agents' entries. During a release, entries change
# many times a second, and each change would end the watches of all balancers.
AGENT_WATCH_PAUSE_S = registration.PROPAGATION_S


class BalancerProgram(program.Program):
    """Connects the core of a balancer to its sockets and to the store."""

    def __init__(self, settings: settings_module.Settings) -> None:
        super().__init__(settings, tick_s=balancers.TICK_S)
        self.core = balancers.Balancer(
            address=settings.address,
            data_centre=settings.data_centre,
            started_at=self.loop.now,
            peers=peers.PeerTable(settings.address, frozenset(settings.seeds)),
            fetcher=document_exchange.DocumentFetcher(settings.node),
        )
        self.was_ready = False
        self.store_clients: list[http_client.HttpClient] = []
        self.operator_mirror = self._start_mirror(
            mirror.Mirror(
                documents.OPERATOR_PREFIX,
                OPERATOR_WATCH_WAIT_S,
                restore_grace_s=RESTORE_GRACE_S,
            )
        )
        self._start_mirror(
            mirror.Mirror(
                documents.AGENT_PREFIX,
                AGENT_WATCH_WAIT_S,
                pause_s=AGENT_WATCH_PAUSE_S,
            )
        )
        self.record_keeper = route_records.RecordKeeper(self, self.core)
        self.store_clients.append(self.record_keeper.client)
        self.record_keeper.make_calls()
        self.start_http_servers(
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

    def _start_mirror(self, store_mirror: mirror.Mirror) -> mirror.Mirror:
        """Starts the calls of a mirror of a prefix of the store."""
        prefix = store_mirror.prefix
        client = http_client.HttpClient(self.loop, self.settings.store)
        self.store_clients.append(client)
        connection = store.Store(client)

        def call() -> None:
            next_call = store_mirror.next_call(now=self.loop.now)
            started_at = self.loop.now
            connection.read(
                next_call,
                lambda result: done(
                    type(next_call).__name__, started_at, result
                ),
            )

        def done(
            call_name: str,
            started_at: float,
            result: mirror.Page | mirror.Changes | mirror.Failure,
        ) -> None:
            earlier_failures = store_mirror.failures
            changes = store_mirror.handle_result(result, now=self.loop.now)
            if isinstance(result, mirror.Failure):
                self.log_event(
                    "store_call_failed",
                    prefix=prefix,
                    call=call_name,
                    reason=result.value,
                    seconds=round(self.loop.now - started_at, 3),
                    failures=store_mirror.failures,
                )
            elif store_mirror.failures:
                self.log_event(
                    "store_answer_outdated",
                    prefix=prefix,
                    era=result.position.era,
                    revision=result.position.revision,
                    held_era=store_mirror.position.era,
                    held_revision=store_mirror.position.revision,
                    failures=store_mirror.failures,
                )
            elif earlier_failures:
                self.log_event("store_regained", prefix=prefix)
            self.handle_store_changes(store_mirror, changes)
            self.loop.call_later(
                store_mirror.delay_s(os_random.random_fraction()), call
            )

        call()
        return store_mirror

    def is_reading_documents(self) -> bool:
        """Returns whether the documents are arriving from the store.

        A copy of another daemon would arrive over the same link and delay
        both.
        """
        # The first client belongs to the mirror of the documents.
        return self.store_clients[0].is_receiving

    def documents_copy(self) -> document_exchange.Documents:
        """Returns this daemon's copy of the operators' documents."""
        return self.operator_mirror.documents()

    def adopt_documents(self, copy: document_exchange.Documents) -> bool:
        """Adopts another daemon's copy of the documents, if it is newer.

        Returns:
            Whether the copy is newer.
        """
        newer = copy.position > self.operator_mirror.position
        changes = self.operator_mirror.adopt(copy)
        self.handle_store_changes(self.operator_mirror, changes)
        return newer

    def apply_settings(self, settings: settings_module.Settings) -> None:
        """Applies the changed settings that need no restart."""
        super().apply_settings(settings)
        for client in self.store_clients:
            client.set_address(settings.store)
        for seed in settings.seeds:
            self.core.peers.add(seed, now=self.loop.now)

    def handle_store_changes(
        self, store_mirror: mirror.Mirror, changes: list[mirror.Item]
    ) -> None:
        """Passes changes in the store to the core."""
        if store_mirror.prefix == documents.AGENT_PREFIX:
            self.core.agents_loaded = store_mirror.synced
            for item in changes:
                self._apply_agent_entry(item)
            return
        self.perform(
            operator_changes.apply_changes(self.core, store_mirror, changes)
        )

    def _apply_agent_entry(self, item: mirror.Item) -> None:
        now = self.loop.now
        # A deletion has no value; its key ends with the agent's address.
        address = item.key.removeprefix(documents.AGENT_PREFIX)
        if item.value is None:
            self.perform(self.core.unregister(address, now=now))
            return
        try:
            entry = documents.decode_agent_entry(item.value)
        except documents.MalformedError as exc:
            self.log_event("malformed_document", key=item.key, error=str(exc))
            return
        if entry[0] != address:
            self.log_event("malformed_document", key=item.key, error="address")
            return
        self.perform(self.core.register(*entry, now=now))

    def handle_packet(self, data: bytes, sender: str) -> None:
        """Handles a datagram from a router."""
        segment = self.decode_client_packet(data, sender)
        if segment is not None:
            self.perform(
                self.core.handle_packet(
                    segment,
                    now=self.loop.now,
                    delay_s=self.client_socket.delay_s,
                )
            )

    def handle_message(self, sender: str, message: messages.Message) -> None:
        """Handles a message from another daemon."""
        now = self.loop.now
        match message:
            case messages.OpeningRefused(reason, data, wait_ms):
                segment = self.decode_client_packet(data, sender)
                if segment is not None:
                    self.perform(
                        self.core.handle_refusal(
                            sender, reason, segment, now=now, wait_ms=wait_ms
                        )
                    )
            case messages.PacketReturned(data):
                segment = self.decode_client_packet(data, sender)
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

    def handle_refused_probe(self, address: str) -> None:
        """Handles that the VM of a silent agent has refused a connection."""
        self.perform(self.core.target_table.handle_refused_probe(address))

    def perform(self, actions: list[messages.Action]) -> None:
        """Carries out actions of the core."""
        for action in actions:
            match action:
                case messages.ProbeAgent(address):
                    channels.probe(
                        self.loop,
                        (address, metrics_page.PORT),
                        functools.partial(self.handle_refused_probe, address),
                    )
        super().perform(actions)

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.core.count(name)

    def handle_request(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Handles a router's readiness check.

        Returns:
            Status and body of the answer.
        """
        if method != "GET" or path != "/ready":
            return 404, b"{}"
        now = self.loop.now
        ready = self.core.ready(now=now)
        if ready != self.was_ready:
            self.was_ready = ready
            self.log_event("readiness_changed", ready=ready)
        if not ready:
            self.core.record_failed_probe(now=now)
        return (200 if ready else 503), b"{}"

    def gauges(self) -> dict[str, float]:
        """Returns the current gauge values."""
        configuration = self.core.configuration
        return {
            "flows": len(self.core.cache.flow_by_id),
            "agents": len(self.core.target_table.target_by_address),
            "peers": len(self.core.peers.peer_by_address),
            "services_spread": sum(
                load.spreading
                for load in self.core.loads.load_by_service.values()
            ),
            "ready": float(self.was_ready),
            "configuration_version": (
                configuration.version if configuration else 0
            ),
            "log_lines_left_out": self.log.dropped,
        }

    def tick(self) -> None:
        """Runs due timers of the core; ends the process once it may exit."""
        now = self.loop.now
        self.perform(self.core.tick(now=now))
        self.fetch_documents(self.core.fetcher)
        self.core.history.note_era(self.operator_mirror.position.era)
        self.record_keeper.make_calls()
        if self.core.may_exit(now=now):
            self.end()

    def stop(self) -> None:
        """Begins a graceful stop; a repeated signal changes nothing."""
        if self.core.stop is None:
            self.log_event("stopping", flows=len(self.core.cache.flow_by_id))
            self.core.begin_stop(
                now=self.loop.now, grace_s=self.settings.grace_s
            )
