"""Base class of the programs of both roles."""

import signal

from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.daemons import http_client
from godwitturn.daemons import http_server
from godwitturn.daemons import metrics_page
from godwitturn.daemons import reactor
from godwitturn.logs import lines
from godwitturn.platform import channels
from godwitturn.platform import documents
from godwitturn.platform import packets
from godwitturn.platform import settings as settings_module

LOG_FLUSH_INTERVAL_S = 0.2
# Interval at which the settings file is read, because it may change without a
# SIGHUP.
SETTINGS_RELOAD_INTERVAL_S = 2.0
DOCUMENTS_PATH = "/documents"
# Time within which an answer to a request for documents begins. Links of the
# answering VM may be busy with answers to other daemons.
DOCUMENTS_TIMEOUT_S = 1.0


class Program:
    """Event loop, sockets, log and settings of a process.

    Attributes:
        settings: The settings in force.
        loop: The event loop.
        log: The log.
        client_socket: Socket for packets from and to clients.
        peer_channel: Socket for messages between daemons.
    """

    def __init__(
        self, settings: settings_module.Settings, *, tick_s: float
    ) -> None:
        self.settings = settings
        self.loop = reactor.Reactor()
        self.log = lines.LineLog(settings.node)
        self.client_socket = channels.DatagramSocket(
            self.loop, settings.packets, self.handle_packet
        )
        self.peer_channel = channels.PeerChannel(
            self.loop,
            (settings.address, settings.peer_port),
            self.handle_message,
            self.record_malformed,
        )
        self._tick_s = tick_s
        self._is_fetching = False

    def start_http_servers(self, page: metrics_page.MetricsPage) -> None:
        """Starts the HTTP servers.

        They serve readiness checks of routers, heartbeats and departures of
        targets, documents, metrics and state.

        Args:
            page: Serves metrics and state.
        """
        settings = self.settings
        self.metrics_page = page
        http_server.HttpServer(
            self.loop, settings.readiness, self.handle_request
        )
        if settings.control is not None:
            http_server.HttpServer(
                self.loop, settings.control, self.handle_request
            )
        http_server.HttpServer(
            self.loop,
            (settings.address, metrics_page.PORT),
            self.handle_metrics_request,
        )

    # Implemented by the program of each role.

    def handle_packet(self, data: bytes, sender: str) -> None:
        """Handles a datagram from a router."""
        raise NotImplementedError

    def handle_message(self, sender: str, message: messages.Message) -> None:
        """Handles a message from another daemon."""
        raise NotImplementedError

    def handle_request(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Handles an HTTP request of a router or target.

        Returns:
            Status and body of the answer.
        """
        raise NotImplementedError

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        raise NotImplementedError

    def tick(self) -> None:
        """Runs due timers and makes due calls; called periodically."""
        raise NotImplementedError

    def stop(self) -> None:
        """Begins a graceful stop, on SIGTERM."""
        raise NotImplementedError

    def apply_settings(self, settings: settings_module.Settings) -> None:
        """Applies the changed settings that need no restart."""
        self.settings = settings

    def documents_copy(self) -> document_exchange.Documents:
        """Returns this daemon's copy of the operators' documents."""
        raise NotImplementedError

    def adopt_documents(self, copy: document_exchange.Documents) -> bool:
        """Adopts another daemon's copy of the documents, if it is newer.

        Returns:
            Whether the copy is newer.
        """
        raise NotImplementedError

    def is_reading_documents(self) -> bool:
        """Returns whether the documents are arriving from the store."""
        return False

    # Common to the programs of both roles.

    def fetch_documents(
        self, fetcher: document_exchange.DocumentFetcher
    ) -> None:
        """Fetches a newer copy of the documents from a daemon, if due."""
        if self._is_fetching or self.is_reading_documents():
            return
        source = fetcher.next_source(now=self.loop.now)
        if source is None:
            return
        self._is_fetching = True
        client = http_client.HttpClient(self.loop, (source, metrics_page.PORT))
        started_at = self.loop.now

        def done(status: int | None, body: bytes) -> None:
            client.close()
            self._is_fetching = False
            seconds = round(self.loop.now - started_at, 3)
            if status != 200:
                self.log_event(
                    "documents_not_received",
                    holder=source,
                    status=status,
                    seconds=seconds,
                )
                return
            try:
                copy = documents.decode_documents(body)
            except documents.MalformedError as exc:
                self.log_event(
                    "malformed_document", key=source, error=str(exc)
                )
                return
            self.log_event(
                "documents_received",
                holder=source,
                era=copy.position.era,
                revision=copy.position.revision,
                bytes=len(body),
                seconds=seconds,
            )
            held = self.documents_copy().position
            if not self.adopt_documents(copy):
                self.log_event(
                    "documents_outdated",
                    holder=source,
                    era=copy.position.era,
                    revision=copy.position.revision,
                    held_era=held.era,
                    held_revision=held.revision,
                )

        client.call("GET", DOCUMENTS_PATH, b"", DOCUMENTS_TIMEOUT_S, done)

    def handle_metrics_request(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        """Handles a request for documents, metrics or state.

        Returns:
            Status and body of the answer.
        """
        if method == "GET" and path == DOCUMENTS_PATH:
            self.count("documents_served")
            return 200, documents.encode_documents(self.documents_copy())
        return self.metrics_page.handle_request(method, path, body)

    def record_malformed(self, sender: str) -> None:
        """Counts and logs a datagram that can't be used."""
        self.count("malformed")
        self.log_event("malformed_datagram", sender=sender)

    def decode_client_packet(
        self, data: bytes, sender: str
    ) -> segments.Segment | None:
        """Returns a client's packet, None after recording a malformed one."""
        segment = packets.decode(data, from_target=False)
        if segment is None or segment.returned:
            self.record_malformed(sender)
            return None
        return segment

    def perform(self, actions: list[messages.Action]) -> None:
        """Carries out actions of the core."""
        for action in actions:
            match action:
                case messages.Send(address, message):
                    self.peer_channel.send(address, message)
                case messages.LogEvent(event, fields):
                    self.log_event(event, **fields)
                case messages.Observe():
                    self.metrics_page.observe(action)
                case messages.Reset(flow_id, sequence):
                    self.send_to_client(
                        flow_id, packets.encode_reset(flow_id, sequence)
                    )
                case messages.SendToClient(flow_id, data):
                    self.send_to_client(flow_id, data)

    def send_to_client(self, flow_id: segments.FlowId, data: bytes) -> None:
        """Sends a packet to a flow's client."""
        # Clients receive packets at the same port number as this process.
        address = packets.client_address(flow_id)
        self.client_socket.send(data, (address, self.settings.packets[1]))

    def log_event(self, event: str, **fields: object) -> None:
        """Writes an event to the log."""
        self.log.write(event, fields, now=self.loop.now)

    def reload_settings(self) -> None:
        """Reloads the settings; invalid ones are logged and ignored."""
        try:
            settings = settings_module.load()
        except settings_module.SettingsError as exc:
            self.log_event("settings_refused", error=str(exc))
            return
        if settings == self.settings:
            return
        changed = [
            name
            for name in settings_module.FIELD_NAMES
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.apply_settings(settings)
        self.log_event("settings_changed", names=",".join(changed))

    def end(self) -> None:
        """Logs the end and stops the event loop, which ends the process."""
        if not self.loop.stopped:
            self.log_event("stopped")
            self.log.flush()
            self.loop.stopped = True

    def run(self) -> None:
        """Handles signals, sockets and timers until `end` is called."""
        self.log_event("started", role=type(self).__name__)
        self.loop.on_signal(signal.SIGTERM, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload_settings)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self.loop.call_every(self._tick_s, self.tick)
        self.loop.call_every(LOG_FLUSH_INTERVAL_S, self.log.flush)
        self.loop.call_every(SETTINGS_RELOAD_INTERVAL_S, self.reload_settings)
        self.loop.run()
