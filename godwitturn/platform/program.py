"""What the programs of both roles have in common."""

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

LOG_INTERVAL_S = 0.2
# The settings file may change without a signal.
SETTINGS_INTERVAL_S = 2.0
DOCUMENTS_PATH = "/documents"
# Between data centres an answer takes milliseconds.
RELAY_TIMEOUT_S = 0.5


class Program:
    """Sockets, log and settings of a process; roles fill in the rest.

    Attributes:
        settings: The settings in force.
        loop: The event loop.
        log: The log.
        clients: Socket for clients' packets and answers to them.
        peers: Socket for messages between daemons.
    """

    def __init__(
        self, settings: settings_module.Settings, *, tick_s: float
    ) -> None:
        self.settings = settings
        self.loop = reactor.Reactor()
        self.log = lines.LineLog(settings.node)
        self.clients = channels.DatagramSocket(
            self.loop, settings.packets, self.packet_received
        )
        self.peers = channels.PeerChannel(
            self.loop,
            (settings.address, settings.peer_port),
            self.message_received,
            self.malformed,
        )
        self._tick_s = tick_s

    def serve_pages(self, page: metrics_page.MetricsPage) -> None:
        """Serves readiness, reports of targets, metrics and state."""
        settings = self.settings
        self.page = page
        http_server.HttpServer(self.loop, settings.readiness, self.answer)
        if settings.control is not None:
            http_server.HttpServer(self.loop, settings.control, self.answer)
        http_server.HttpServer(
            self.loop,
            (settings.address, metrics_page.PORT),
            self.answer_page,
        )

    # Filled in by roles.

    def packet_received(self, data: bytes, sender: str) -> None:
        """Takes a datagram from a router."""
        raise NotImplementedError

    def message_received(self, sender: str, message: messages.Message) -> None:
        """Takes a message of another daemon."""
        raise NotImplementedError

    def answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Answers a request to this process."""
        raise NotImplementedError

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        raise NotImplementedError

    def tick(self) -> None:
        """Does what is due."""
        raise NotImplementedError

    def stop(self) -> None:
        """Begins a graceful stop."""
        raise NotImplementedError

    def settings_changed(self, settings: settings_module.Settings) -> None:
        """Puts changed settings in force."""
        self.settings = settings

    def documents(self) -> document_exchange.Documents:
        """Returns this daemon's copy of the operators' documents."""
        raise NotImplementedError

    def adopt(self, copy: document_exchange.Documents) -> None:
        """Takes another daemon's copy of the operators' documents."""
        raise NotImplementedError

    # Shared.

    def ask_for_documents(
        self, relaying: document_exchange.DocumentFetcher
    ) -> None:
        """Asks another daemon for its documents, if that is due."""
        holder = relaying.next_source(now=self.loop.now)
        if holder is None:
            return
        client = http_client.HttpClient(self.loop, (holder, metrics_page.PORT))

        def done(status: int | None, body: bytes) -> None:
            client.close()
            if status != 200:
                self.record(
                    "documents_not_received", holder=holder, status=status
                )
                return
            try:
                copy = documents.decode_documents(body)
            except documents.MalformedError as exc:
                self.record("malformed_document", key=holder, error=str(exc))
                return
            self.record(
                "documents_received", holder=holder, revision=copy.revision
            )
            self.adopt(copy)

        client.call("GET", DOCUMENTS_PATH, b"", RELAY_TIMEOUT_S, done)

    def answer_page(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        """Answers other daemons, and questions about metrics and state."""
        if method == "GET" and target == DOCUMENTS_PATH:
            return 200, documents.encode_documents(self.documents())
        return self.page.answer(method, target, body)

    def malformed(self, sender: str) -> None:
        """Counts a datagram that can't be used."""
        self.count("malformed")
        self.record("malformed_datagram", sender=sender)

    def decoded(self, data: bytes, sender: str) -> segments.Segment | None:
        """Returns a client's packet, or None after counting a bad one."""
        segment = packets.decode(data, from_target=False)
        if segment is None or segment.returned:
            self.malformed(sender)
            return None
        return segment

    def perform(self, actions: list[messages.Action]) -> None:
        """Carries out what the core decided."""
        for action in actions:
            match action:
                case messages.Send(address, message):
                    self.peers.send(address, message)
                case messages.LogEvent(event, fields):
                    self.record(event, **fields)
                case messages.Observe():
                    self.page.observe(action)
                case messages.Reset(flow_id, sequence):
                    self.send_to_client(
                        flow_id, packets.encode_reset(flow_id, sequence)
                    )
                case messages.SendToClient(flow_id, data):
                    self.send_to_client(flow_id, data)

    def send_to_client(self, flow_id: segments.FlowId, data: bytes) -> None:
        """Sends a packet to a flow's client."""
        # Clients take packets at their address, at the port number at which
        # this process takes theirs.
        address = packets.client_address(flow_id)
        self.clients.send(data, (address, self.settings.packets[1]))

    def record(self, event: str, **fields: object) -> None:
        """Writes a log line."""
        self.log.write(event, fields, now=self.loop.now)

    def reload(self) -> None:
        """Reads the settings again; faulty ones leave the old in force."""
        try:
            settings = settings_module.load()
        except settings_module.SettingsError as exc:
            self.record("settings_refused", error=str(exc))
            return
        if settings == self.settings:
            return
        changed = [
            name
            for name in settings_module.NAMES
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings_changed(settings)
        self.record("settings_changed", names=",".join(changed))

    def end(self) -> None:
        """Ends the process."""
        if not self.loop.stopped:
            self.record("stopped")
            self.log.flush()
            self.loop.stopped = True

    def run(self) -> None:
        """Runs until the process is told to stop."""
        self.record("started", role=type(self).__name__)
        self.loop.on_signal(signal.SIGTERM, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload)
        self.loop.call_every(self._tick_s, self.tick)
        self.loop.call_every(LOG_INTERVAL_S, self.log.flush)
        self.loop.call_every(SETTINGS_INTERVAL_S, self.reload)
        self.loop.run()
