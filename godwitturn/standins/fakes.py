"""A fake service in memory, which answers callers over the protocol."""

import hashlib
import random
import struct

import attrs

from godwitturn.core import addresses
from godwitturn.core import token as tokens
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

SERVICE_ID = 7
TOKEN_KEY = tokens.TokenKey(1, SERVICE_ID, b"k" * 32)
TOKEN_KEYS = tokens.keys_by_id([TOKEN_KEY])
# The limits below have the values of real agents.
# Maximum number of answer fragments sent at once.
BURST_FRAGMENTS = 32
# Maximum number of missing request fragments listed in one STATUS.
MAX_LISTED_FRAGMENTS = 64
MAX_LIVE_REQUESTS_PER_FLOW = 64
MAX_ENDED_REQUESTS_PER_FLOW = 64
# An unconfirmed flow expires this long after it was added.
RESERVATION_S = 5.0

_Kind = packets.Kind
_Flag = packets.Flag
_Reason = verdicts.Reason


def answer_to(body: bytes) -> bytes:
    """Returns the answer of a target, which is unique to the body.

    It is more than twice as large as the body.
    """
    return hashlib.sha256(body).digest() + body * 2


@attrs.define(eq=False)
class FakeRequest:
    """A request at an agent.

    Attributes:
        fragment_count: Number of fragments of the body.
        fragment_by_index: Fragments received so far.
        done_at: Time in seconds at which the run ends; None before all
            fragments are received.
        cancelled: Unused.
        answer: The answer; None before the run has ended.
        acknowledged: Whether the caller acknowledged the answer.
        verdict: The verdict; None while the request is not ended.
        reason: Reason of the verdict.
    """

    fragment_count: int
    fragment_by_index: dict[int, bytes] = attrs.field(factory=dict)
    done_at: float | None = None
    cancelled: bool = False
    answer: bytes | None = None
    acknowledged: bool = False
    verdict: verdicts.Verdict | None = None
    reason: verdicts.Reason = _Reason.NONE

    @property
    def is_ended(self) -> bool:
        """Whether it was acknowledged or has a verdict."""
        return self.acknowledged or self.verdict is not None


@attrs.define(eq=False)
class FakeFlow:
    """A flow at an agent.

    Attributes:
        epoch: Number of the flow in the order in which they were added.
        source: Address of the caller.
        opened_at: Time in seconds at which it was added.
        confirmed: Whether a packet with its current token was received.
        request_by_id: Its requests.
        floor: A request with a lower id that is not stored is refused as too
            old.
    """

    epoch: int
    source: addresses.Address
    opened_at: float
    confirmed: bool = False
    request_by_id: dict[int, FakeRequest] = attrs.field(factory=dict)
    floor: int = 0

    def is_full(self) -> bool:
        """Returns whether it has the maximum number of live requests."""
        live = [r for r in self.request_by_id.values() if not r.is_ended]
        return len(live) >= MAX_LIVE_REQUESTS_PER_FLOW

    def evict_ended(self) -> None:
        """Removes the oldest ended requests if there are too many.

        It then raises the floor above the ids of the removed requests.
        """
        ended_ids = sorted(
            request_id
            for request_id, request in self.request_by_id.items()
            if request.is_ended
        )
        if len(ended_ids) > MAX_ENDED_REQUESTS_PER_FLOW:
            for ended_id in ended_ids[
                : len(ended_ids) - MAX_ENDED_REQUESTS_PER_FLOW // 2
            ]:
                del self.request_by_id[ended_id]
                self.floor = ended_id + 1


def _too_old_request() -> FakeRequest:
    request = FakeRequest(1)
    request.verdict = verdicts.Verdict.MAY_HAVE_RUN
    request.reason = _Reason.REQUEST_TOO_OLD
    return request


@attrs.frozen
class Run:
    """A run of a request at a target; `started_at` is in seconds."""

    target_id: int
    flow_id: int
    request_id: int
    body: bytes
    started_at: float


@attrs.define(eq=False)
class FakeAgent:
    """An agent with its target.

    Attributes:
        target_id: Member id of the agent.
        random_source: Source of the incarnation.
        run_s: Duration of a run in seconds.
        draining: Whether packets have the MOVE flag and openings go to other
            agents.
        refuse_all_reason: Reason for which all new requests are refused, or
            `NONE`.
        refuse_next_reasons: Reasons for which the next requests are refused;
            the last reason is used first.
        unresponsive: Whether it receives and sends nothing.
        at_capacity: Whether openings go to other agents.
        incarnation: Random number that identifies the current start.
        flow_by_id: The open flows.
        runs: All runs so far, also those before a restart.
        opening_count: Number of openings received, including repeated ones.
        received: Packets with a current token, each with its time in seconds.
    """

    target_id: int
    random_source: random.Random
    run_s: float = 0.01
    draining: bool = False
    refuse_all_reason: verdicts.Reason = _Reason.NONE
    refuse_next_reasons: list[verdicts.Reason] = attrs.field(factory=list)
    unresponsive: bool = False
    at_capacity: bool = False
    incarnation: int = attrs.field(init=False)
    flow_by_id: dict[int, FakeFlow] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    opening_count: int = 0
    received: list[tuple[float, packets.Packet]] = attrs.field(factory=list)
    _last_epoch: int = 0

    def __attrs_post_init__(self) -> None:
        self.incarnation = self.random_source.getrandbits(32)

    def restart(self) -> None:
        """Drops all flows and requests, as if the process were killed."""
        self.incarnation = self.random_source.getrandbits(32)
        self.flow_by_id.clear()

    def token_of(self, flow_id: int, source: addresses.Address) -> bytes:
        """Returns the token of an open flow for one source address."""
        token = tokens.Token(
            TOKEN_KEY.key_id,
            SERVICE_ID,
            self.target_id,
            self.incarnation,
            self.flow_by_id[flow_id].epoch,
            tokens.address_tag(source, TOKEN_KEY),
        )
        return tokens.seal(token, flow_id, TOKEN_KEY)

    def _reply(
        self, flow_id: int, kind: packets.Kind, **fields: object
    ) -> bytes:
        packet = packets.Packet(kind, SERVICE_ID, flow_id)
        for name, value in fields.items():
            setattr(packet, name, value)
        if self.draining:
            packet.flags |= _Flag.MOVE
        return packets.encode(packet)

    def _add_flow(
        self, flow_id: int, source: addresses.Address, now: float
    ) -> FakeFlow:
        self._last_epoch += 1
        flow = FakeFlow(self._last_epoch, source, now)
        self.flow_by_id[flow_id] = flow
        return flow

    def accept(
        self, flow_id: int, source: addresses.Address, now: float
    ) -> bytes:
        """Opens a flow unless it is open; returns its `ACCEPT`."""
        self.opening_count += 1
        if flow_id not in self.flow_by_id:
            self._add_flow(flow_id, source, now)
        token = self.token_of(flow_id, source)
        return self._reply(flow_id, _Kind.ACCEPT, token=token)

    def handle(
        self,
        packet: packets.Packet,
        token: tokens.Token,
        source: addresses.Address,
        now: float,
    ) -> list[bytes]:
        """Handles a packet whose token is authentic and names this target.

        Args:
            packet: The packet.
            token: Its token.
            source: Address of the caller.
            now: Time in seconds.

        Returns:
            The packets in reply.
        """
        flow_id = packet.flow_id
        flow = self.flow_by_id.get(flow_id)
        if (
            flow
            and not flow.confirmed
            and now - flow.opened_at > RESERVATION_S
        ):
            del self.flow_by_id[flow_id]
            flow = None
        if packet.kind is _Kind.CLOSE:
            if flow and token.epoch == flow.epoch:
                del self.flow_by_id[flow_id]
            return []
        if flow is None and token.incarnation == self.incarnation:
            reason = _Reason.FLOW_UNKNOWN
            return [
                self._reply(
                    flow_id, _Kind.RESET, reason=reason, token=packet.token
                )
            ]
        if flow is None:
            flow = self._add_flow(flow_id, source, now)
        renewed = self.token_of(flow_id, source)
        if renewed != packet.token:
            return [self._reply(flow_id, _Kind.RENEW, token=renewed)]
        flow.confirmed = True
        flow.source = source
        self.received.append((now, packet))
        return self._handle_confirmed(flow_id, flow, packet, now)

    def _handle_confirmed(
        self, flow_id: int, flow: FakeFlow, packet: packets.Packet, now: float
    ) -> list[bytes]:
        request = flow.request_by_id.get(packet.request_id)
        match packet.kind:
            case _Kind.KEEPALIVE:
                return [self._reply(flow_id, _Kind.KEEPALIVE_REPLY)]
            case _Kind.REQUEST:
                return self._on_fragment(flow_id, flow, packet, now)
            case _Kind.POLL:
                return self._on_poll(flow_id, flow, packet)
            case _Kind.ACK if request is not None and request.answer:
                request.acknowledged = True
                request.verdict = verdicts.Verdict.RAN
                request.reason = _Reason.REQUEST_TOO_OLD
                flow.evict_ended()
            case _Kind.CANCEL:
                return self._on_cancel(flow_id, flow, packet.request_id)
        return []

    def _on_fragment(
        self, flow_id: int, flow: FakeFlow, packet: packets.Packet, now: float
    ) -> list[bytes]:
        request = flow.request_by_id.get(packet.request_id)
        if request is None and packet.request_id < flow.floor:
            return [
                self._status(flow_id, packet.request_id, _too_old_request())
            ]
        if request is None:
            request = FakeRequest(packet.fragments)
            if flow.is_full():
                request.verdict = verdicts.Verdict.NOT_RUN
                request.reason = _Reason.QUEUE_FULL
            flow.request_by_id[packet.request_id] = request
            if self.refuse_next_reasons or self.refuse_all_reason:
                request.verdict = verdicts.Verdict.NOT_RUN
                request.reason = (
                    self.refuse_all_reason or self.refuse_next_reasons.pop()
                )
        if request.verdict is None and request.done_at is None:
            request.fragment_by_index[packet.fragment] = packet.payload
            if len(request.fragment_by_index) < request.fragment_count:
                return []
            request.done_at = now + self.run_s
            body = b"".join(
                request.fragment_by_index[i]
                for i in range(request.fragment_count)
            )
            run = Run(self.target_id, flow_id, packet.request_id, body, now)
            self.runs.append(run)
        return [self._status(flow_id, packet.request_id, request)]

    def _status(
        self,
        flow_id: int,
        request_id: int,
        request: FakeRequest,
        limit: int = MAX_LISTED_FRAGMENTS,
    ) -> bytes:
        flags = 0
        payload = b""
        if request.verdict is not None:
            flags = packets.FLAG_BY_VERDICT[request.verdict]
        elif request.done_at is None:
            missing = [
                i
                for i in range(request.fragment_count)
                if i not in request.fragment_by_index
            ]
            payload = b"".join(struct.pack("!H", i) for i in missing[:limit])
        return self._reply(
            flow_id,
            _Kind.STATUS,
            request_id=request_id,
            flags=int(flags),
            reason=request.reason,
            payload=payload,
        )

    def _answer(
        self, flow_id: int, request_id: int, body: bytes, indexes: list[int]
    ) -> list[bytes]:
        size = packets.MAX_PAYLOAD_BYTES
        count = max(1, -(-len(body) // size))
        return [
            self._reply(
                flow_id,
                _Kind.ANSWER,
                request_id=request_id,
                fragment=index,
                fragments=count,
                flags=int(_Flag.RAN),
                payload=body[index * size : (index + 1) * size],
            )
            for index in indexes[:BURST_FRAGMENTS]
            if index < count
        ]

    def _on_poll(
        self, flow_id: int, flow: FakeFlow, packet: packets.Packet
    ) -> list[bytes]:
        indexes = [i for (i,) in struct.iter_unpack("!H", packet.payload)]
        request = flow.request_by_id.get(packet.request_id)
        if request is None:
            request = FakeRequest(1)
            if packet.request_id < flow.floor:
                request = _too_old_request()
        if request.answer is None or request.is_ended:
            limit = max(1, min(len(indexes), MAX_LISTED_FRAGMENTS))
            return [self._status(flow_id, packet.request_id, request, limit)]
        indexes = indexes or list(range(BURST_FRAGMENTS))
        return self._answer(
            flow_id, packet.request_id, request.answer, indexes
        )

    def _on_cancel(
        self, flow_id: int, flow: FakeFlow, request_id: int
    ) -> list[bytes]:
        request = flow.request_by_id.setdefault(request_id, FakeRequest(1))
        if request.answer is None and request.verdict is None:
            request.reason = _Reason.CANCELLED
            request.verdict = verdicts.Verdict.MAY_HAVE_RUN
            if request.done_at is None:
                request.verdict = verdicts.Verdict.NOT_RUN
        if request.answer is not None and not request.is_ended:
            indexes = list(range(BURST_FRAGMENTS))
            return self._answer(flow_id, request_id, request.answer, indexes)
        return [self._status(flow_id, request_id, request)]

    def finish_requests(
        self, now: float
    ) -> list[tuple[addresses.Address, bytes]]:
        """Ends the runs that are due.

        Returns:
            The first burst of fragments of each answer, with the address of
            the caller.
        """
        sent: list[tuple[addresses.Address, bytes]] = []
        for flow_id, flow in self.flow_by_id.items():
            for request_id, request in flow.request_by_id.items():
                if request.done_at is None or request.done_at > now:
                    continue
                if request.answer is not None or request.verdict is not None:
                    continue
                body = b"".join(
                    request.fragment_by_index[i]
                    for i in range(request.fragment_count)
                )
                request.answer = answer_to(body)
                indexes = list(range(BURST_FRAGMENTS))
                sent += [
                    (flow.source, data)
                    for data in self._answer(
                        flow_id, request_id, request.answer, indexes
                    )
                ]
        return sent


class FakeService:
    """Agents behind a balancer that never fails.

    An `OPEN` goes to a random agent that accepts flows, so two agents may
    accept the same flow if its `OPEN` is repeated.

    Attributes:
        agents: Agents by target id; the ids start at 1.
        refuse_openings_reason: Reason for which all openings are refused, or
            `NONE`.
        openings: Time in seconds and flow id of each `OPEN`.
    """

    def __init__(self, agents: int, random_source: random.Random) -> None:
        self._random = random_source
        self.agents = {
            target_id: FakeAgent(target_id, random_source)
            for target_id in range(1, agents + 1)
        }
        self.refuse_openings_reason = _Reason.NONE
        self.openings: list[tuple[float, int]] = []

    @property
    def runs(self) -> list[Run]:
        """Runs at all targets."""
        return [run for agent in self.agents.values() for run in agent.runs]

    def _refuse(self, packet: packets.Packet) -> list[bytes]:
        reason = self.refuse_openings_reason or _Reason.NO_TARGET
        refusal = packets.Packet(
            _Kind.REFUSE,
            SERVICE_ID,
            packet.flow_id,
            deadline_ms=100,
            flags=int(_Flag.NOT_RUN),
            reason=reason,
        )
        return [packets.encode(refusal)]

    def handle(
        self, data: bytes, source: addresses.Address, now: float
    ) -> list[bytes]:
        """Returns the replies to one datagram of a caller."""
        packet = packets.decode(data)
        assert packet is not None
        assert packet.kind in packets.CALLER_KINDS
        assert packet.service_id == SERVICE_ID
        if packet.kind is _Kind.OPEN:
            assert len(packet.payload) == packets.OPEN_PAYLOAD_BYTES
            self.openings.append((now, packet.flow_id))
            candidates = [
                agent
                for agent in self.agents.values()
                if not (
                    agent.draining or agent.unresponsive or agent.at_capacity
                )
            ]
            if self.refuse_openings_reason or not candidates:
                return self._refuse(packet)
            agent = self._random.choice(candidates)
            return [agent.accept(packet.flow_id, source, now)]
        token = tokens.unseal(packet.token, packet.flow_id, TOKEN_KEYS)
        assert token is not None, f"invalid token {packet.token.hex()}"
        agent = self.agents[token.target_id]
        if agent.unresponsive:
            return []
        return agent.handle(packet, token, source, now)

    def finish_requests(
        self, now: float
    ) -> list[tuple[addresses.Address, bytes]]:
        """Ends the runs that are due at agents that respond.

        Returns:
            The first burst of fragments of each answer, with the address of
            the caller.
        """
        return [
            sent
            for agent in self.agents.values()
            if not agent.unresponsive
            for sent in agent.finish_requests(now)
        ]
