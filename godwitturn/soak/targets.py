"""Targets of a soak: UDP sockets that answer, report and crash."""

from collections.abc import Callable
import json
import selectors
import socket

import attrs

from godwitturn.core.transparent import segments
from godwitturn.daemons import http_client
from godwitturn.daemons import reactor
from godwitturn.platform import packets
from godwitturn.soak import deployment
from godwitturn.soak import history as histories
from godwitturn.standins import platform_messages
from godwitturn.standins import transparent_simulation

HEARTBEAT_S = 0.8
HEARTBEAT_TIMEOUT_S = 1.0
# A target that drains leaves after this, and another start follows.
LEAVE_S = 6.0
RECEIVE_BYTES = 2048
SERVICE_S = 0.01
SLOTS = 4


class Target:
    """The target beside an agent, through all of its starts.

    Attributes:
        start: The present start, None while none runs.
    """

    def __init__(
        self,
        loop: reactor.Reactor,
        history: histories.History,
        member: deployment.Member,
    ) -> None:
        self.start: histories.TargetStart | None = None
        self._loop = loop
        self._history = history
        self._member = member
        self._outbound = (member.address, platform_messages.OUTBOUND_PORT)
        self._count = 0
        self._sequence = 0
        self._flows: set[segments.FlowId] = set()
        self._socket: socket.socket | None = None
        self._listener: socket.socket | None = None
        self.begin()
        loop.call_every(HEARTBEAT_S, self._beat)

    def begin(self) -> None:
        """Starts the target, with no memory of before."""
        if self.start is not None:
            return
        self._count += 1
        self._sequence = 0
        self._flows.clear()
        address = (self._member.address, platform_messages.TARGET_PORT)
        self._listener = socket.create_server(address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._socket.setblocking(False)
        self._loop.watch(self._socket, selectors.EVENT_READ, self._ready)
        self._note(
            histories.TargetStart(
                f"{self._member.name}/{self._count}",
                self._member.service,
                self._member.address,
                self._loop.now,
            )
        )
        self._beat()

    def _note(self, start: histories.TargetStart) -> None:
        self.start = start
        self._history.start_by_name[start.name] = start

    def end(self) -> None:
        """Ends the target at once; its flows are gone."""
        if self.start is None or self._socket is None:
            return
        self._note(attrs.evolve(self.start, ended_at=self._loop.now))
        self._loop.unwatch(self._socket)
        self._socket.close()
        if self._listener is not None:
            self._listener.close()
        self.start = None

    def drain(self) -> None:
        """Says that the target leaves, and leaves a while later."""
        if self.start is None or self.start.draining_at is not None:
            return
        leaving = self.start.name
        self._note(attrs.evolve(self.start, draining_at=float("inf")))
        self._beat()
        self._loop.call_later(LEAVE_S, lambda: self._leave(leaving))

    def _leave(self, name: str) -> None:
        if self.start is None or self.start.name != name:
            return
        self._report("DELETE", b"", lambda status: None)
        self.end()
        self._loop.call_later(deployment.RESTART_S, self.begin)

    @property
    def _id(self) -> str:
        return f"i-{self._member.name}-{self._count}"

    def _beat(self) -> None:
        start = self.start
        if start is None:
            return
        self._sequence += 1
        draining = start.draining_at is not None
        document = platform_messages.heartbeat(
            start.service,
            sequence=self._sequence,
            born=round(1000 * start.started_at),
            slots=SLOTS,
            draining=draining,
        )

        def done(status: int | None) -> None:
            present = self.start
            if (
                draining
                and status == 200
                and present is not None
                and present.draining_at == float("inf")
            ):
                self._note(attrs.evolve(present, draining_at=self._loop.now))

        self._report("PUT", json.dumps(document).encode(), done)

    def _report(
        self,
        method: str,
        body: bytes,
        done: Callable[[int | None], None],
    ) -> None:
        """Reports to the agent over a connection of its own."""
        client = http_client.HttpClient(
            self._loop, (self._member.address, platform_messages.CONTROL_PORT)
        )

        def answered(status: int | None, _: bytes) -> None:
            client.close()
            done(status)

        client.call(
            method,
            f"/instances/{self._id}",
            body,
            HEARTBEAT_TIMEOUT_S,
            answered,
        )

    def _ready(self) -> None:
        assert self._socket is not None
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except OSError:
            return
        segment = packets.decode(data, from_target=False)
        if segment is not None:
            self._receive(segment, data)

    def _receive(self, segment: segments.Segment, data: bytes) -> None:
        start = self.start
        assert start is not None
        flow_id = segment.flow_id
        if deployment.PORT_BY_SERVICE.get(start.service) != flow_id[3]:
            self._history.records.append(
                histories.StrayPacket(self._loop.now, flow_id, start.name)
            )
        if segment.opening:
            if flow_id not in self._flows:
                self._flows.add(flow_id)
                self._history.records.append(
                    histories.OpeningTaken(self._loop.now, flow_id, start.name)
                )
            flags = transparent_simulation.SYN | transparent_simulation.ACK
            self._send(flow_id, flags, b"")
        elif flow_id not in self._flows:
            self._sendto(transparent_simulation.returned_packet(data))
        elif segment.size:
            body = data[-segment.size :]
            answer = start.name.encode() + b" " + body
            self._loop.call_later(
                SERVICE_S,
                lambda: self._answer(start.name, flow_id, answer),
            )

    def _answer(
        self, name: str, flow_id: segments.FlowId, answer: bytes
    ) -> None:
        if self.start is not None and self.start.name == name:
            self._send(flow_id, transparent_simulation.ACK, answer)

    def _send(self, flow_id: segments.FlowId, flags: int, data: bytes) -> None:
        self._sendto(
            transparent_simulation.packet(
                flow_id, flags, data=data, from_target=True
            )
        )

    def _sendto(self, data: bytes) -> None:
        assert self._socket is not None
        try:
            self._socket.sendto(data, self._outbound)
        except OSError:
            return  # the agent is away; the client repeats its packet
