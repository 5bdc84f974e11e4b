"""Targets of a soak: they answer packets, send heartbeats and crash."""

from collections.abc import Callable
import json
import random
import selectors
import socket
import struct
import time

import attrs

from godwitturn.core.transparent import segments
from godwitturn.daemons import http_client
from godwitturn.daemons import reactor
from godwitturn.platform import packets
from godwitturn.soak import deployment
from godwitturn.soak import history as histories
from godwitturn.standins import platform_messages
from godwitturn.standins import transparent_simulation

HEARTBEAT_INTERVAL_S = 0.8
HEARTBEAT_TIMEOUT_S = 1.0
# A draining target ends after this time, and a new instance starts.
DRAIN_DURATION_S = 6.0
RECEIVE_BYTES = 2048
# Time from a request to its answer.
SERVICE_TIME_S = 0.01
SLOTS = 4
# A target that starts during the load, or in a data centre that is taken back,
# is cold for this time.
COLD_S = 2.0
# SO_TIMESTAMPNS of Linux on x86-64 and arm64: the kernel adds the time
# of day at which a datagram arrived, in seconds and nanoseconds.
_SO_TIMESTAMPNS = 35
_TIMESTAMP = struct.Struct("@qq")


def _arrived_at(
    ancillary: list[tuple[int, int, bytes]], *, now: float
) -> float:
    """Returns when a datagram arrived, which may be before it is read.

    Args:
        ancillary: Ancillary data of the datagram.
        now: Seconds.
    """
    for level, kind, data in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, _SO_TIMESTAMPNS):
            seconds, nanoseconds = _TIMESTAMP.unpack(data)
            age_s = time.time() - (seconds + nanoseconds / 1e9)
            return now - max(0.0, age_s)
    return now


@attrs.define
class TargetFlow:
    """A flow whose opening a target has answered.

    Attributes:
        client_sequence: Sequence number of the client's opening.
        opening_sequence: Sequence number of the target's answer to the
            opening.
        sequence: Sequence number of the target's next answer.
        expected: Sequence number that is expected from the client next.
        open: Whether the client has acknowledged `opening_sequence`.
        answer: Last answer as sent, empty before the first one and while a
            request runs.
    """

    client_sequence: int
    opening_sequence: int
    sequence: int
    expected: int
    open: bool = False
    answer: bytes = b""


class Target:
    """The target of an agent; each start creates a new instance.

    Attributes:
        instance: The running instance, or None.
    """

    def __init__(
        self,
        loop: reactor.Reactor,
        history: histories.History,
        member: deployment.Member,
    ) -> None:
        self.instance: histories.TargetInstance | None = None
        self._loop = loop
        self._history = history
        self._member = member
        self._outbound = (member.address, platform_messages.OUTBOUND_PORT)
        self._instance_count = 0
        self._sequence = 0
        self._cold_until = 0.0
        self._flow_by_id: dict[segments.FlowId, TargetFlow] = {}
        self._sequence_generator = random.Random(
            f"{member.name} {member.address}"
        )
        self._socket: socket.socket | None = None
        self._listener: socket.socket | None = None
        self.start()
        loop.call_every(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def start(self) -> None:
        """Starts a new instance without flows, if none runs."""
        if self.instance is not None:
            return
        self._instance_count += 1
        self._sequence = 0
        self._cold_until = 0.0
        self._flow_by_id.clear()
        address = (self._member.address, platform_messages.TARGET_PORT)
        self._listener = socket.create_server(address)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, _SO_TIMESTAMPNS, 1)
        self._loop.watch(self._socket, selectors.EVENT_READ, self._on_readable)
        self._set_instance(
            histories.TargetInstance(
                f"{self._member.name}/{self._instance_count}",
                self._member.service,
                self._member.address,
                self._loop.now,
            )
        )
        if self._history.began_at:
            self.become_cold()
        self._send_heartbeat()

    def become_cold(self) -> None:
        """Makes the instance cold; its next heartbeat says so."""
        if self.instance is None:
            return
        self._cold_until = self._loop.now + COLD_S
        if self.instance.service == deployment.COLD_SERVICE:
            self._history.cold_periods.append(
                histories.ColdPeriod(
                    self.instance.name,
                    self._loop.now,
                    self._cold_until,
                    deployment.MAX_COLD_OPENINGS,
                )
            )

    def _set_instance(self, instance: histories.TargetInstance) -> None:
        self.instance = instance
        self._history.instance_by_name[instance.name] = instance

    def stop(self) -> None:
        """Ends the instance at once; its flows are lost."""
        if self.instance is None or self._socket is None:
            return
        self._set_instance(
            attrs.evolve(self.instance, ended_at=self._loop.now)
        )
        self._loop.unwatch(self._socket)
        self._socket.close()
        if self._listener is not None:
            self._listener.close()
        self.instance = None

    def drain(self) -> None:
        """Announces a drain and ends the instance after `DRAIN_DURATION_S`."""
        if self.instance is None or self.instance.draining_at is not None:
            return
        name = self.instance.name
        self._set_instance(
            attrs.evolve(self.instance, draining_at=float("inf"))
        )
        self._send_heartbeat()
        self._loop.call_later(DRAIN_DURATION_S, lambda: self._end_drain(name))

    def _end_drain(self, name: str) -> None:
        if self.instance is None or self.instance.name != name:
            return
        self._call_agent("DELETE", b"", lambda status: None)
        self.stop()
        self._loop.call_later(deployment.RESTART_DELAY_S, self.start)

    @property
    def _instance_id(self) -> str:
        return f"i-{self._member.name}-{self._instance_count}"

    def _send_heartbeat(self) -> None:
        instance = self.instance
        if instance is None:
            return
        self._sequence += 1
        draining = instance.draining_at is not None
        document = platform_messages.heartbeat(
            instance.service,
            address=self._member.address,
            data_centre=self._member.data_centre,
            sequence=self._sequence,
            born=round(1000 * instance.started_at),
            slots=SLOTS,
            draining=draining,
            cold_ms=max(0, round(1000 * (self._cold_until - self._loop.now))),
        )

        def done(status: int | None) -> None:
            current = self.instance
            if (
                draining
                and status == 200
                and current is not None
                and current.draining_at == float("inf")
            ):
                self._set_instance(
                    attrs.evolve(current, draining_at=self._loop.now)
                )

        self._call_agent("PUT", json.dumps(document).encode(), done)

    def _call_agent(
        self,
        method: str,
        body: bytes,
        done: Callable[[int | None], None],
    ) -> None:
        """Sends an HTTP request about the instance to the agent.

        Args:
            method: HTTP method.
            body: Body of the request.
            done: Called with the HTTP status, None if there is no response.
        """
        client = http_client.HttpClient(
            self._loop, (self._member.address, platform_messages.CONTROL_PORT)
        )

        def answered(status: int | None, _: bytes) -> None:
            client.close()
            done(status)

        client.call(
            method,
            f"/instances/{self._instance_id}",
            body,
            HEARTBEAT_TIMEOUT_S,
            answered,
        )

    def _on_readable(self) -> None:
        assert self._socket is not None
        try:
            data, ancillary, _, _ = self._socket.recvmsg(
                RECEIVE_BYTES, socket.CMSG_SPACE(_TIMESTAMP.size)
            )
        except OSError:
            return
        segment = packets.decode(data, from_target=False)
        if segment is not None:
            at = _arrived_at(ancillary, now=reactor.clock())
            self._receive(segment, data, at)

    def _receive(
        self, segment: segments.Segment, data: bytes, at: float
    ) -> None:
        instance = self.instance
        assert instance is not None
        flow_id = segment.flow_id
        if instance.service not in self._history.services_of(flow_id[3]):
            self._history.records.append(
                histories.StrayPacket(at, flow_id, instance.name)
            )
        if segment.opening:
            self._take_opening(instance.name, segment, at)
            return
        flow = self._flow_by_id.get(flow_id)
        if flow is None or not (
            flow.open
            or segment.acknowledged
            == transparent_simulation.advance(flow.opening_sequence, 1)
        ):
            self._sendto(transparent_simulation.returned_packet(data))
            return
        if not flow.open:
            flow.open = True
            self._history.records.append(
                histories.FlowOpened(
                    self._loop.now,
                    flow_id,
                    instance.name,
                    flow.client_sequence,
                )
            )
        if segment.size:
            self._take_request(instance.name, flow, segment)

    def _take_opening(
        self, name: str, segment: segments.Segment, at: float
    ) -> None:
        """Answers an opening; a copy gets the same answer.

        A client that uses its port again has left the former flow.
        """
        flow_id = segment.flow_id
        flow = self._flow_by_id.get(flow_id)
        if flow is None or flow.client_sequence != segment.sequence:
            sequence = self._sequence_generator.getrandbits(32)
            flow = TargetFlow(
                segment.sequence,
                sequence,
                transparent_simulation.advance(sequence, 1),
                transparent_simulation.advance(segment.sequence, 1),
            )
            self._flow_by_id[flow_id] = flow
            self._history.records.append(
                histories.OpeningTaken(at, flow_id, name)
            )
        self._sendto(
            transparent_simulation.packet(
                flow_id,
                transparent_simulation.SYN | transparent_simulation.ACK,
                sequence=flow.opening_sequence,
                acknowledged=flow.expected,
                from_target=True,
            )
        )

    def _take_request(
        self, name: str, flow: TargetFlow, segment: segments.Segment
    ) -> None:
        """Runs a request; a copy of the last one gets the same answer."""
        sequence = transparent_simulation.sequence_number(segment.data)
        end = transparent_simulation.advance(sequence, segment.size)
        if sequence != flow.expected:
            if flow.answer and end == flow.expected:
                self._sendto(flow.answer)
            return
        flow.expected = end
        flow.answer = b""
        request = segment.data[-segment.size :]
        self._history.records.append(
            histories.RequestRun(
                self._loop.now,
                segment.flow_id,
                name,
                request,
                flow.client_sequence,
            )
        )
        self._loop.call_later(
            SERVICE_TIME_S,
            lambda: self._answer(name, flow, segment.flow_id, request),
        )

    def _answer(
        self,
        name: str,
        flow: TargetFlow,
        flow_id: segments.FlowId,
        request: bytes,
    ) -> None:
        if self.instance is None or self.instance.name != name:
            return
        data = name.encode() + b" " + request
        flow.answer = transparent_simulation.packet(
            flow_id,
            transparent_simulation.ACK,
            sequence=flow.sequence,
            acknowledged=flow.expected,
            data=data,
            from_target=True,
        )
        flow.sequence = transparent_simulation.advance(
            flow.sequence, len(data)
        )
        self._sendto(flow.answer)

    def _sendto(self, data: bytes) -> None:
        assert self._socket is not None
        try:
            self._socket.sendto(data, self._outbound)
        except OSError:
            return  # the agent is not running; the client retransmits
