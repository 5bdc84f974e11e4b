"""Program of an agent on the platform, beside one target."""

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
from godwitturn.platform import channels
from godwitturn.platform import documents
from godwitturn.platform import packets
from godwitturn.platform import program
from godwitturn.platform import settings as settings_module
from godwitturn.platform import store
from godwitturn.protocol import flow_record as flow_records

# Time for a call under way and the last one; the store answers within 0.25 s
# when it is slow, and entries lapse with their lease anyway.
STOP_WAIT_S = 0.5
_INSTANCES = "/instances/"


class AgentProgram(program.Program):
    """Joins sockets, the store and the decisions of an agent."""

    def __init__(self, settings: settings_module.Settings) -> None:
        if settings.target is None or settings.from_target is None:
            raise settings_module.SettingsError(
                "app and listen.outbound are needed"
            )
        super().__init__(settings, tick_s=agents.TICK_S)
        self.target = settings.target
        self.core = agents.Agent(
            node=settings.node,
            service=settings.service,
            data_centre=settings.data_centre,
            run_id=os_random.random_integer(),
            cold_limiter=cold_limit.ColdLimit(
                settings.cold_overshoot, settings.cold_slack
            ),
            target=target_watch.TargetWatch(settings.service),
            subscribers=subscriber_tables.SubscriberTable(
                frozenset(settings.seeds)
            ),
        )
        self.target_socket = channels.DatagramSocket(
            self.loop, settings.from_target, self.target_packet_received
        )
        self.serve_pages(
            metrics_page.MetricsPage(
                self.core.counts,
                self.gauges,
                lambda: introspection.agent_state(
                    self.core, now=self.loop.now
                ),
            )
        )
        self.copy = document_exchange.Documents(0, {})
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
        self.record_key = documents.FLOW_RECORD_PREFIX + settings.address
        self.record_client = http_client.HttpClient(self.loop, settings.store)
        for seed in settings.seeds:
            self.core.subscribers.record_seen(seed, now=self.loop.now)
        self.read_flow_record()
        self.perform(self.core.announce(now=self.loop.now))
        self.register()

    def settings_changed(self, settings: settings_module.Settings) -> None:
        """Puts changed settings in force."""
        super().settings_changed(settings)
        self.store_client.set_address(settings.store)
        self.record_client.set_address(settings.store)
        self.core.cold_limiter.overshoot = settings.cold_overshoot
        self.core.cold_limiter.slack = settings.cold_slack
        if settings.target is not None:
            self.target = settings.target

    def documents(self) -> document_exchange.Documents:
        """Returns this daemon's copy of the operators' documents."""
        return self.copy

    def adopt(self, copy: document_exchange.Documents) -> None:
        """Takes another daemon's copy of the operators' documents."""
        if copy.revision > self.copy.revision:
            self.copy = copy
            self.core.fetcher.set_revision(copy.revision)

    def register(self) -> None:
        """Makes the store call that is due, if there is one."""
        call = self.registration.next_call(now=self.loop.now)
        if call is None or self.store_busy or self.stopping:
            return
        self.store_busy = True

        def done(result: registration.Granted | registration.Outcome) -> None:
            failures = self.registration.failures
            self.registration.handle_result(
                call,
                result,
                now=self.loop.now,
                jitter=os_random.random_fraction(),
            )
            name = type(call).__name__
            if result == registration.Outcome.FAILED:
                self.record("store_call_failed", call=name)
            elif failures or not isinstance(call, registration.KeepLease):
                self.record(
                    "registration",
                    call=name,
                    lease=self.registration.lease,
                    written=self.registration.written,
                )
            self.store_answered()

        self.store.write(call, done)

    def store_answered(self) -> None:
        """Makes the next call that is due, or the last one."""
        self.store_busy = False
        if self.stopping:
            self.unregister()
        else:
            self.register()

    def unregister(self) -> None:
        """Removes the entry of a target that has ended, and ends."""
        call = self.registration.final_call(
            target_ended=self.core.target.is_down
        )
        if call is None:
            self.end()
            return
        self.store_busy = True
        self.store.write(call, lambda _: self.end())

    def read_flow_record(self) -> None:
        """Reads the record of flows that an earlier run left in the store."""

        def done(
            result: mirror.Page | mirror.Changes | mirror.Failure,
        ) -> None:
            if isinstance(result, mirror.Failure):
                self.record(
                    "flow_record_not_read",
                    reason=result.value,
                    attempt=self.core.recorder.failed_reads + 1,
                )
                if self.core.recorder.record_read_failure():
                    self.loop.call_later(
                        flow_record.READ_INTERVAL_S, self.read_flow_record
                    )
                else:
                    self.record_client.close()
                return
            self.record_client.close()
            self.perform(
                self.core.apply_earlier_record(
                    self._flow_record(result.items), now=self.loop.now
                )
            )

        store.Store(self.record_client).read(
            mirror.ReadPage(self.record_key, ""), done
        )

    def _flow_record(
        self, items: tuple[mirror.Item, ...]
    ) -> flow_record.FlowRecord | None:
        """Returns the record among items of the store, if it is there."""
        for item in items:
            if item.key == self.record_key and item.value is not None:
                record = flow_records.decode(item.value)
                if record is None:
                    self.record(
                        "malformed_document", key=item.key, error="flows"
                    )
                return record
        return None

    def write_flow_record(self) -> None:
        """Writes the record of flows, if that is due."""
        if self.store_busy or self.stopping or not self.registration.written:
            return
        record = self.core.next_record(now=self.loop.now)
        if record is None:
            return
        call = registration.PutEntry(
            self.record_key,
            flow_records.encode(record),
            self.registration.lease,
        )
        self.store_busy = True

        def done(result: registration.Granted | registration.Outcome) -> None:
            if result == registration.Outcome.DONE:
                self.core.recorder.note_written(record)
            else:
                self.record("store_call_failed", call="flow record")
            if result == registration.Outcome.LEASE_GONE:
                self.registration.handle_result(
                    call,
                    result,
                    now=self.loop.now,
                    jitter=os_random.random_fraction(),
                )
            self.store_answered()

        self.store.write(call, done)

    def packet_received(self, data: bytes, sender: str) -> None:
        """Counts a datagram from a router; they send none to agents."""
        self.malformed(sender)

    def target_packet_received(self, data: bytes, sender: str) -> None:
        """Takes a packet that the target sends or returns."""
        segment = packets.decode(data, from_target=True)
        if segment is None:
            self.malformed(sender)
            return
        self.perform(
            self.core.handle_target_packet(segment, now=self.loop.now)
        )

    def target_unreachable(self) -> None:
        """Notes that no one listens at the target's address."""
        self.perform(self.core.handle_unreachable(now=self.loop.now))

    def message_received(self, sender: str, message: messages.Message) -> None:
        """Takes a message of a balancer."""
        now = self.loop.now
        match message:
            case messages.Forward(_, _, data):
                segment = self.decoded(data, sender)
                if segment is not None:
                    self.perform(
                        self.core.handle_forward(
                            sender, message, segment, now=now
                        )
                    )
            case messages.FlowQuery():
                self.perform(self.core.handle_query(sender, message, now=now))
            case messages.Hello():
                self.perform(self.core.handle_hello(sender, message, now=now))
                if self.core.registration_missing:
                    self.registration.handle_missing_entry(now=now)

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.core.count(name)

    def perform(self, actions: list[messages.Action]) -> None:
        """Carries out what the core decided."""
        for action in actions:
            match action:
                case messages.Deliver(data, tag):
                    self.target_socket.send(
                        packets.with_tag(data, tag), self.target
                    )
                case messages.ProbeTarget():
                    channels.probe(
                        self.loop, self.target, self.target_unreachable
                    )
        super().perform(actions)

    def answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Answers the target's reports and questions about this process."""
        if target == "/ready":
            return 200, b"{}"
        if not target.startswith(_INSTANCES):
            return 404, b"{}"
        target_id = target.removeprefix(_INSTANCES)
        now = self.loop.now
        if method == "DELETE":
            self.perform(self.core.handle_departure(target_id, now=now))
            return 200, b"{}"
        if method != "PUT":
            return 405, b"{}"
        try:
            heartbeat = documents.decode_heartbeat(target_id, body)
        except documents.MalformedError as exc:
            self.record("malformed_heartbeat", id=target_id, error=str(exc))
            return 400, b"{}"
        self.perform(self.core.handle_heartbeat(heartbeat, now=now))
        return 200, b"{}"

    def gauges(self) -> dict[str, float]:
        """Returns present values."""
        return {
            "flows": len(self.core.flows.flow_by_id),
            "balancers": len(self.core.subscribers.balancer_by_address),
            "log_lines_left_out": self.log.dropped,
        }

    def tick(self) -> None:
        """Does what is due."""
        self.perform(self.core.tick(now=self.loop.now))
        self.ask_for_documents(self.core.fetcher)
        self.register()
        self.write_flow_record()

    def stop(self) -> None:
        """Ends; the entry of a target that has ended is removed first.

        Beside a target that goes on, the next run of the agent takes over.
        """
        self.record("stopping", flows=len(self.core.flows.flow_by_id))
        self.perform(self.core.handle_stop(now=self.loop.now))
        self.stopping = True
        self.loop.call_later(STOP_WAIT_S, self.end)
        if not (self.store_busy and self.core.target.is_down):
            self.unregister()
