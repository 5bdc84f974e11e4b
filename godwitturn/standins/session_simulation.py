"""Simulation of a session, a network with faults and a fake service."""

from collections.abc import Callable
import heapq
import itertools
import math
import random

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer
from godwitturn.core import session as sessions
from godwitturn.core import session_events
from godwitturn.core import session_flow
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes

_NUMBER_BYTES = 4
_SERVICE_INTERVAL_S = 0.01


def body_of(number: int, fragments: int, size: int = 8) -> bytes:
    """Returns a body whose fragments each start with the request number.

    Args:
        number: Number of the request.
        fragments: Number of fragments; 0 for an empty body.
        size: Size of the last fragment in bytes, at least 4.
    """
    if fragments == 0:
        return b""
    prefix = number.to_bytes(_NUMBER_BYTES, "big")
    full_fragment = prefix + b"." * (packets.MAX_PAYLOAD_BYTES - _NUMBER_BYTES)
    return (
        full_fragment * (fragments - 1)
        + prefix
        + b"." * (size - _NUMBER_BYTES)
    )


def _is_resend(data: bytes) -> bool:
    packet = packets.decode(data)
    return packet is not None and packet.kind is packets.Kind.RESEND


@attrs.frozen
class Faults:
    """Faults of the network, drawn for each datagram.

    Attributes:
        loss: Probability that a datagram is lost.
        duplication: Probability that it arrives twice.
        delay_s: Minimum delay in seconds.
        jitter_s: Maximum additional delay in seconds, which also reorders
            datagrams.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.005
    jitter_s: float = 0.0


@attrs.define
class _Attempt:
    """An attempt at a request: one flow, token generation and request id.

    Attributes:
        fragment_count: Number of fragments of the body.
        sent_indexes: Indexes of the fragments sent so far.
        refused: Whether a NOT_RUN status was received.
    """

    fragment_count: int
    sent_indexes: set[int] = attrs.field(factory=set)
    refused: bool = False


class Simulation:
    """A session, a network with faults and a fake service.

    Attributes:
        now: Simulated time in seconds.
        random: Source of the network's faults.
        faults: The network's faults.
        service: The fake service.
        session: The session.
        address: The session's source address.
        actions: All actions of the session.
        sent: All packets of the session, each with its time in seconds.
        outcomes_by_number: Outcomes of each request; more than one is a
            violation.
        completed_at_by_number: Time in seconds of each request's last outcome.
        violations: Violations observed in the session's packets; `check`
            returns them together with wrong outcomes.
        is_dropped: Selects packets of the session that are dropped in addition
            to the network's faults.
        reaches_closed_balancer: Selects packets of the session that arrive at
            a closed balancer, which is one that is fenced and forwards no
            packets of callers.
        delivers_resend: Whether the closed balancer's RESEND packets reach the
            session. If not, the session sees no reaction to packets of
            established flows that reach this balancer.
    """

    def __init__(
        self,
        *,
        agents: int = 2,
        faults: Faults | None = None,
        seed: int = 1,
        session_factory: Callable[[int, random.Random], sessions.Session] = (
            sessions.Session
        ),
    ) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.service = fakes.FakeService(agents, random.Random(seed + 1))
        source = random.Random(seed + 2)
        self.session = session_factory(fakes.SERVICE_ID, source)
        self.address = addresses.Address("192.0.2.1", 1000)
        self.actions: list[session_events.Action] = []
        self.sent: list[tuple[float, packets.Packet]] = []
        self.outcomes_by_number: dict[int, list[session_events.Outcome]] = {}
        self.violations: list[str] = []
        self.is_dropped: Callable[[packets.Packet], bool] = lambda packet: (
            False
        )
        self.reaches_closed_balancer: Callable[[packets.Packet], bool] = (
            lambda packet: False
        )
        self.delivers_resend = True
        self.completed_at_by_number: dict[int, float] = {}
        self._closed_balancer = balancer.Balancer(
            member_id=1, token_keys=[fakes.TOKEN_KEY], seed=seed
        )
        self._body_by_number: dict[int, tuple[bytes, bool]] = {}
        self._attempts_by_number: dict[
            int, dict[tuple[int, bytes, int], _Attempt]
        ] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._run_service()

    # Time

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedules a call at a simulated time in seconds."""
        heapq.heappush(
            self._queue, (time, next(self._sequence_numbers), callback)
        )

    def _run_service(self) -> None:
        for address, data in self.service.finish_requests(self.now):
            self._send_to_session(address, data)
        self.call_at(self.now + _SERVICE_INTERVAL_S, self._run_service)

    def run(self, seconds: float) -> None:
        """Advances the simulated time and handles all events that are due."""
        end_at = self.now + seconds
        while True:
            wake_at = max(self.session.wake_at, self.now)
            event_at = self._queue[0][0] if self._queue else math.inf
            if min(wake_at, event_at) > end_at:
                break
            if event_at <= wake_at:
                self.now, _, callback = heapq.heappop(self._queue)
                callback()
            else:
                self.now = wake_at
                self.handle(session_events.Tick())
        self.now = end_at

    def run_until(self, done: Callable[[], bool], limit_s: float) -> bool:
        """Advances the simulated time until a condition holds.

        Args:
            done: The condition.
            limit_s: Longest time to wait in seconds.

        Returns:
            Whether the condition holds.
        """
        end_at = self.now + limit_s
        while not done() and self.now < end_at:
            self.run(0.01)
        return done()

    # Session

    def handle(self, event: session_events.Event) -> None:
        """Passes an event to the session and performs its actions."""
        for action in self.session.handle(event, now=self.now):
            self.actions.append(action)
            match action:
                case session_events.SendDatagram(data):
                    self._send_from_session(data)
                case session_events.Completed(number, outcome):
                    self.outcomes_by_number.setdefault(number, []).append(
                        outcome
                    )
                    self.completed_at_by_number[number] = self.now

    def open(self) -> None:
        """Opens the session; fails if it is not open within 30 s."""
        self.handle(session_events.Open())
        is_open = self.run_until(
            lambda: self.session.state is session_events.State.OPEN, 30.0
        )
        assert is_open

    def request(
        self,
        number: int,
        *,
        fragments: int = 1,
        size: int = 8,
        idempotent: bool = False,
        timeout_s: float = 10.0,
    ) -> bytes:
        """Sends a request over the session.

        Args:
            number: Number of the request.
            fragments: Number of fragments of its body.
            size: Size of the last fragment in bytes.
            idempotent: Whether it may run more than once.
            timeout_s: Seconds until its deadline.

        Returns:
            Its body.
        """
        body = body_of(number, fragments, size)
        self._body_by_number[number] = (body, idempotent)
        deadline = self.now + timeout_s
        self.handle(session_events.Send(number, body, idempotent, deadline))
        return body

    def outcome(self, number: int) -> session_events.Outcome:
        """Returns the outcome of a request; fails unless there is just one."""
        (outcome,) = self.outcomes_by_number[number]
        return outcome

    def kinds_sent(self) -> list[packets.Kind]:
        """Returns the kinds of all packets of the session, in order."""
        return [packet.kind for _, packet in self.sent]

    def actions_of(self, action_class: type) -> list[session_events.Action]:
        """Returns the session's actions of one class."""
        return [a for a in self.actions if isinstance(a, action_class)]

    # Network

    def _copy_delays(self) -> list[float]:
        """Returns the delay in seconds of each copy that arrives."""
        faults = self.faults
        if self.random.random() < faults.loss:
            return []
        copies = 2 if self.random.random() < faults.duplication else 1
        return [
            faults.delay_s + self.random.uniform(0.0, faults.jitter_s)
            for _ in range(copies)
        ]

    def _replies_of_closed_balancer(
        self, data: bytes, source: addresses.Address
    ) -> list[bytes]:
        event = actions.CallerDatagram(source, data)
        results = self._closed_balancer.handle(event, now=self.now)
        replies = [
            action.data
            for action in results
            if isinstance(action, actions.SendToCaller)
        ]
        if self.delivers_resend:
            return replies
        return [reply for reply in replies if not _is_resend(reply)]

    def _send_from_session(self, data: bytes) -> None:
        packet = packets.decode(data)
        assert packet is not None
        self.sent.append((self.now, packet))
        if packet.kind is packets.Kind.REQUEST:
            self._record_fragment(packet)
        if self.is_dropped(packet):
            return
        source = self.address

        def arrive() -> None:
            if self.reaches_closed_balancer(packet):
                replies = self._replies_of_closed_balancer(data, source)
            else:
                replies = self.service.handle(data, source, self.now)
            for reply in replies:
                self._send_to_session(source, reply)

        for delay_s in self._copy_delays():
            self.call_at(self.now + delay_s, arrive)

    def _send_to_session(
        self, address: addresses.Address, data: bytes
    ) -> None:
        def arrive() -> None:
            if address == self.address:
                self.deliver(data)

        for delay_s in self._copy_delays():
            self.call_at(self.now + delay_s, arrive)

    def deliver(self, data: bytes) -> None:
        """Delivers a datagram to the session immediately."""
        packet = packets.decode(data)
        assert packet is not None
        if (
            packet.kind is packets.Kind.STATUS
            and packet.flags & packets.Flag.NOT_RUN
        ):
            for attempts in self._attempts_by_number.values():
                for (flow_id, _, request_id), attempt in attempts.items():
                    if (flow_id, request_id) == (
                        packet.flow_id,
                        packet.request_id,
                    ):
                        attempt.refused = True
        self.handle(session_events.Datagram(packet))

    # Checks

    def _record_fragment(self, packet: packets.Packet) -> None:
        if not packet.payload:
            return
        number = int.from_bytes(packet.payload[:_NUMBER_BYTES], "big")
        generation = session_flow.generation_of(packet.token)
        key = (packet.flow_id, generation, packet.request_id)
        attempts = self._attempts_by_number.setdefault(number, {})
        attempt = attempts.setdefault(key, _Attempt(packet.fragments))
        attempt.sent_indexes.add(packet.fragment)
        if number in self.outcomes_by_number:
            self.violations.append(
                f"request {number} was sent after its outcome"
            )
        if self._body_by_number[number][1]:
            return
        fully_sent = [
            other
            for other in attempts.values()
            if len(other.sent_indexes) == other.fragment_count
            and not other.refused
        ]
        if (fully_sent and attempt not in fully_sent) or len(fully_sent) > 1:
            self.violations.append(
                f"non-idempotent request {number} was sent again after all "
                "fragments of an attempt that was not refused"
            )

    def check(self) -> list[str]:
        """Returns a line for each violation.

        Call it only after all deadlines, since a request without an outcome is
        a violation.
        """
        violations = list(self.violations)
        run_bodies = [run.body for run in self.service.runs]
        for number, (body, idempotent) in self._body_by_number.items():
            outcomes = self.outcomes_by_number.get(number, [])
            if len(outcomes) != 1:
                violations.append(
                    f"request {number} has outcomes {outcomes}, expected one"
                )
                continue
            (outcome,) = outcomes
            run_count = run_bodies.count(body)
            if run_count > 1 and not idempotent:
                violations.append(
                    f"non-idempotent request {number} ran {run_count} times"
                )
            if outcome.verdict is verdicts.Verdict.NOT_RUN and run_count:
                violations.append(
                    f"request {number} ran but ended with {outcome}"
                )
            if outcome.verdict is verdicts.Verdict.RAN and (
                not run_count or outcome.body != fakes.answer_to(body)
            ):
                violations.append(
                    f"request {number} ended with RAN but did not run, or has "
                    "a wrong answer"
                )
            if outcome.verdict is not verdicts.Verdict.RAN and outcome.body:
                violations.append(
                    f"request {number} has an answer but ended with {outcome}"
                )
        return violations


def with_open_session(agents: int = 2, run_s: float = 0.01) -> Simulation:
    """Returns a simulation without faults whose session is open.

    Args:
        agents: Number of agents of the fake service.
        run_s: Duration of a run in seconds.
    """
    simulation = Simulation(agents=agents)
    for agent in simulation.service.agents.values():
        agent.run_s = run_s
    simulation.open()
    return simulation
