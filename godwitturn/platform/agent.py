"""Program of an agent on the platform, which runs beside one target."""

from godwitturn.core import store_position
from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import cold_limit
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import flow_record
from godwitturn.core.transparent import introspection
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import mirror
from godwitturn.core.transparent import registration
from godwitturn.core.transparent import subscribers as subscriber_tables
from godwitturn.core.transparent import target_watch
from godwitturn.daemons import http_client
from godwitturn.daemons import metrics_page
from godwitturn.daemons import os_random
from godwitturn.daemons import reactor
from godwitturn.platform import channels
from godwitturn.platform import documents
from godwitturn.platform import packets
from godwitturn.platform import program
from godwitturn.platform import settings as settings_module
from godwitturn.platform import store
from godwitturn.protocol import flow_record as flow_records

# Time limit for the store call in progress and the call that ends the lease. A
# slow store answers within 0.25 s, and an entry that was not removed expires
# with its lease.
STOP_TIMEOUT_S = 0.5
_INSTANCES_PATH = "/instances/"


class AgentProgram(program.Program):
    """Connects the core of an agent to its sockets and to the store."""

    def __init__(self, settings: settings_module.Settings) -> None:
        if settings.target is None or settings.from_target is None:
            raise settings_module.SettingsError(
                f"app is {settings.target!r} and listen.outbound is "
                f"{settings.from_target!r}; expected IP:PORT for an agent"
            )
        super().__init__(settings, tick_s=agents.TICK_S)
        self.core = agents.Agent(
            node=settings.node,
            service=settings.service,
            data_centre=settings.data_centre,
            run_id=os_random.random_integer(),
            cold_limiter=cold_limit.ColdLimit(
                settings.cold_overshoot,
                settings.cold_slack,
                started_at=self.loop.now,
            ),
            target=target_watch.TargetWatch(settings.service, settings.target),
            fetcher=document_exchange.DocumentFetcher(
                settings.node, interval_s=agents.FETCH_INTERVAL_S
            ),
            subscribers=subscriber_tables.SubscriberTable(
                frozenset(settings.seeds)
            ),
        )
        self.target_socket = channels.DatagramSocket(
            self.loop, settings.from_target, self.handle_target_packet
        )
        self.start_http_servers(
            metrics_page.MetricsPage(
                self.core.counts,
                self.gauges,
                lambda: introspection.agent_state(
                    self.core, now=self.loop.now
                ),
            )
        )
        self.operator_documents = document_exchange.Documents(
            store_position.UNREAD, {}
        )
        self.registration = registration.Registration(
            documents.AGENT_PREFIX + settings.address,
            documents.encode_agent_entry(
                settings.address, settings.service, settings.data_centre
            ),
        )
        self.store_client = http_client.HttpClient(self.loop, settings.store)
        self.store = store.Store(self.store_client)
        self.store_busy = False
        self.stopping = False
        self.unregistering = False
        self.flow_record_key = documents.FLOW_RECORD_PREFIX + settings.address
        self.flow_record_client = http_client.HttpClient(
            self.loop, settings.store
        )
        for seed in settings.seeds:
            self.core.subscribers.record_seen(seed, now=self.loop.now)
        self.read_flow_record()
        self.perform(self.core.announce(now=self.loop.now))
        self.update_registration()

    def apply_settings(self, settings: settings_module.Settings) -> None:
        """Applies the changed settings that need no restart."""
        super().apply_settings(settings)
        self.store_client.set_address(settings.store)
        self.flow_record_client.set_address(settings.store)
        self.core.cold_limiter.overshoot = settings.cold_overshoot
        self.core.cold_limiter.slack = settings.cold_slack
        if settings.target is not None:
            self.core.target.address = settings.target

    def documents_copy(self) -> document_exchange.Documents:
        """Returns this daemon's copy of the operators' documents."""
        return self.operator_documents

    def adopt_documents(self, copy: document_exchange.Documents) -> bool:
        """Adopts another daemon's copy of the documents, if it is newer.

        Returns:
            Whether the copy is newer.
        """
        if copy.position <= self.operator_documents.position:
            return False
        self.operator_documents = copy
        self.core.fetcher.set_position(copy.position)
        return True

    def update_registration(self) -> None:
        """Makes the next store call of the registration, if one is due."""
        call = self.registration.next_call(now=self.loop.now)
        if call is None or self.store_busy or self.stopping:
            return
        self.store_busy = True

        def done(
            result: registration.Granted | registration.Outcome, era: int
        ) -> None:
            failures = self.registration.failures
            self.registration.handle_result(
                call,
                result,
                era=era,
                now=self.loop.now,
                jitter=os_random.random_fraction(),
            )
            name = type(call).__name__
            if result == registration.Outcome.FAILED:
                self.log_event("store_call_failed", call=name)
            elif failures or not isinstance(call, registration.KeepLease):
                self.log_event(
                    "registration",
                    call=name,
                    era=self.registration.era,
                    lease=self.registration.lease,
                    written=self.registration.written,
                )
            self.continue_store_calls()

        self.store.write(call, done)

    def continue_store_calls(self) -> None:
        """Makes the next store call; a stopping agent makes its last one."""
        self.store_busy = False
        if self.stopping:
            self.unregister()
        else:
            self.update_registration()

    def unregister(self) -> None:
        """Removes the entry if the target has ended, then ends the process.

        Does nothing while a store call is in progress or the stop is still to
        be announced.
        """
        target_ended = self.core.target.is_down
        if self.unregistering or not self.core.may_exit():
            return
        if self.store_busy and target_ended:
            return
        self.unregistering = True
        call = self.registration.final_call(target_ended=target_ended)
        if call is None:
            self.end()
            return
        self.store_busy = True
        self.store.write(call, lambda *_: self.end())

    def read_flow_record(self) -> None:
        """Reads the flow record that an earlier run left in the store."""

        def done(
            result: mirror.Page | mirror.Changes | mirror.Failure,
        ) -> None:
            if isinstance(result, mirror.Failure):
                self.log_event(
                    "flow_record_not_read",
                    reason=result.value,
                    attempt=self.core.recorder.failed_reads + 1,
                )
                if self.core.recorder.record_read_failure():
                    self.loop.call_later(
                        flow_record.READ_INTERVAL_S, self.read_flow_record
                    )
                else:
                    self.flow_record_client.close()
                return
            self.flow_record_client.close()
            self.perform(
                self.core.apply_earlier_record(
                    self._find_flow_record(result.items), now=self.loop.now
                )
            )

        store.Store(self.flow_record_client).read(
            mirror.ReadPage(self.flow_record_key, ""), done
        )

    def _find_flow_record(
        self, items: tuple[mirror.Item, ...]
    ) -> flow_record.FlowRecord | None:
        """Returns the flow record in items of the store, None without one."""
        for item in items:
            if item.key == self.flow_record_key and item.value is not None:
                record = flow_records.decode(item.value)
                if record is None:
                    self.log_event(
                        "malformed_document", key=item.key, error="flows"
                    )
                return record
        return None

    def write_flow_record(self) -> None:
        """Writes the flow record, if that is due."""
        if self.store_busy or self.stopping or not self.registration.written:
            return
        lease = self.registration.lease
        record = self.core.next_record(lease=lease, now=self.loop.now)
        if record is None:
            return
        call = registration.PutEntry(
            self.flow_record_key, flow_records.encode(record), lease
        )
        self.store_busy = True

        def done(
            result: registration.Granted | registration.Outcome, era: int
        ) -> None:
            if result == registration.Outcome.DONE:
                self.core.recorder.note_written(record, lease=lease)
            else:
                self.log_event("store_call_failed", call="flow record")
            if self.registration.is_lost(result, era=era):
                self.registration.handle_result(
                    call,
                    result,
                    era=era,
                    now=self.loop.now,
                    jitter=os_random.random_fraction(),
                )
            self.continue_store_calls()

        self.store.write(call, done)

    def handle_packet(self, data: bytes, sender: str) -> None:
        """Records a datagram as malformed; routers send none to agents."""
        self.record_malformed(sender)

    def handle_target_packet(self, data: bytes, sender: str) -> None:
        """Handles a packet that the target sends or returns."""
        segment = packets.decode(data, from_target=True)
        if segment is None:
            self.record_malformed(sender)
            return
        self.perform(
            self.core.handle_target_packet(segment, now=reactor.clock())
        )

    def handle_target_unreachable(self) -> None:
        """Handles a refused connection to the target's address."""
        self.perform(self.core.handle_unreachable(now=self.loop.now))

    def handle_message(self, sender: str, message: messages.Message) -> None:
        """Handles a message from a balancer.

        Openings are counted at the time at which they are delivered. The
        process may have been stopped since the loop has finished waiting.
        """
        now = reactor.clock()
        match message:
            case messages.Forward(_, _, data):
                segment = self.decode_client_packet(data, sender)
                if segment is not None:
                    self.perform(
                        self.core.handle_forward(
                            sender,
                            message,
                            segment,
                            now=now,
                            delay_s=self.peer_channel.delay_s,
                        )
                    )
            case messages.FlowQuery():
                self.perform(self.core.handle_query(sender, message, now=now))
            case messages.PortUsedAgain():
                self.core.handle_port_used_again(sender, message, now=now)
            case messages.PeerStatus(position):
                self.core.fetcher.note_position(sender, position, now=now)
            case messages.Capabilities():
                self.core.subscribers.handle_capabilities(
                    sender, message, now=now
                )
            case messages.Hello():
                self.perform(self.core.handle_hello(sender, message, now=now))
                if self.core.registration_missing:
                    self.registration.handle_missing_entry(now=now)

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.core.count(name)

    def perform(self, actions: list[messages.Action]) -> None:
        """Carries out actions of the core."""
        for action in actions:
            match action:
                case messages.Deliver(data, tag):
                    self.target_socket.send(
                        packets.with_tag(data, tag), self.core.target.address
                    )
                case messages.ProbeTarget():
                    channels.probe(
                        self.loop,
                        self.core.target.address,
                        self.handle_target_unreachable,
                    )
        super().perform(actions)

    def handle_request(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Handles readiness checks and the target's heartbeats and departure.

        Returns:
            Status and body of the answer.
        """
        if path == "/ready":
            return 200, b"{}"
        if not path.startswith(_INSTANCES_PATH):
            return 404, b"{}"
        target_id = path.removeprefix(_INSTANCES_PATH)
        now = self.loop.now
        if method == "DELETE":
            self.perform(self.core.handle_departure(target_id, now=now))
            return 200, b"{}"
        if method != "PUT":
            return 405, b"{}"
        try:
            heartbeat = documents.decode_heartbeat(target_id, body)
        except documents.MalformedError as exc:
            self.log_event("malformed_heartbeat", id=target_id, error=str(exc))
            return 400, b"{}"
        self.perform(self.core.handle_heartbeat(heartbeat, now=now))
        if heartbeat.address != self.core.target.address:
            # Its writer must not take it for acknowledged.
            return 404, b"{}"
        return 200, b"{}"

    def gauges(self) -> dict[str, float]:
        """Returns the current gauge values."""
        cold_limiter = self.core.cold_limiter
        return {
            "flows": len(self.core.flows.flow_by_id),
            "balancers": len(self.core.subscribers.balancer_by_address),
            "service_time_us": self.core.admission.service_us,
            "expected_wait_ms": self.core.admission.expected_wait_ms(
                self.core.target.slots, now=self.loop.now
            ),
            "openings_queued": self.core.admission.waiting_count,
            # -1 until a balancer has stated the limit, 0 without a limit.
            "cold_limit_per_s": (
                -1.0
                if cold_limiter.per_second is None
                else cold_limiter.per_second
            ),
            "cold_limit_used": cold_limiter.used(now=self.loop.now),
            "target_cold_ms": self.core.target.cold_ms(self.loop.now),
            "openings_admitted": self.core.admission.openings,
            "opening_copies_dropped": self.core.admission.copies,
            "log_lines_left_out": self.log.dropped,
        }

    def tick(self) -> None:
        """Runs due timers of the core and makes due calls to the store."""
        self.perform(self.core.tick(now=self.loop.now))
        if self.stopping:
            self.unregister()
            return
        self.fetch_documents(self.core.fetcher)
        self.update_registration()
        self.write_flow_record()

    def stop(self) -> None:
        """Stops the agent; the entry of an ended target is removed first.

        The entry of a running target stays for the agent's next run. A
        repeated signal changes nothing.
        """
        if self.stopping:
            return
        self.log_event("stopping", flows=len(self.core.flows.flow_by_id))
        self.perform(self.core.handle_stop(now=self.loop.now))
        self.stopping = True
        self.loop.call_later(STOP_TIMEOUT_S, self.end)
        self.unregister()
