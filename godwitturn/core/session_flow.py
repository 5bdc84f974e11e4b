"""Caller-side state of a flow that a target accepted."""

import collections
import math
import struct

import attrs

from godwitturn.core import identity
from godwitturn.core import session_attempt
from godwitturn.core import session_resend
from godwitturn.core import token as tokens
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

KEEPALIVE_INTERVAL_S = 15.0
# Exponential backoff of unanswered KEEPALIVE packets: first interval and upper
# bound.
PROBE_FIRST_S = 0.25
PROBE_CAP_S = 1.0
# Interval between KEEPALIVE packets while requests wait. Short enough to reach
# UNRESPONSIVE_PACKETS within UNRESPONSIVE_AFTER_S.
PROBE_URGENT_S = 0.15
# An agent counts as unresponsive after this many unanswered packets and at
# least UNRESPONSIVE_AFTER_S, which exceeds the restart time of a balancer.
# With one of three balancers running, 32 consecutive packets go unanswered
# with a probability of 0.0002%. Of 300 simulated flows with requests during
# 8 s of such an outage, 48 broke at a limit of 8 packets and one at a limit
# of 24.
UNRESPONSIVE_PACKETS = 32
# The limit for an idle flow, which sends one packet per second and has no
# requests that wait. At a limit of eight packets, one of 20 idle flows broke
# in 300 s at 20% packet loss in each direction.
UNRESPONSIVE_PACKETS_IDLE = 16
UNRESPONSIVE_AFTER_S = 5.0
# A flow is suspect after this many unanswered packets and this time. New
# requests are not sent on it, since a request that is not idempotent can't be
# moved to another flow once it was sent.
SUSPECT_PACKETS = 3
SUSPECT_AFTER_S = 1.0
# Time from an ACK to its repetition. An agent stores an answer, which counts
# towards the limits of the flow, until an ACK arrives or the answer expires
# after the deadline. An ACK is not confirmed, so it is sent twice.
ACK_REPEAT_S = 0.5
# Maximum distance from the lowest request id that the agent has not seen to
# the next id to be used. An agent evicts the verdicts of the lowest ids when
# many requests have ended, and refuses ids below those as too old. It keeps 32
# verdicts of a flow, unless it stores very many for all flows.
UNSEEN_ID_WINDOW = 32
# A new token triggers an immediate retransmission only if the previous one is
# at least this old. Limits retransmissions when the caller's address
# alternates.
RENEW_INTERVAL_S = 1.0

# The fields of a token that a caller may read; see core/token.py.
_TOKEN_PREFIX = struct.Struct("!BBHQ")
_GENERATION = slice(12, 20)


def target_id_of(token: bytes, service_id: int) -> identity.MemberId | None:
    """Returns the target in a token, or None if the token is unusable."""
    _, version, service, target_id = _TOKEN_PREFIX.unpack_from(token)
    if version != tokens.TOKEN_VERSION or service != service_id:
        return None
    return int(target_id)


def generation_of(token: bytes) -> bytes:
    """Returns the incarnation and epoch of a token as bytes.

    An agent deduplicates requests only within one incarnation and epoch.
    """
    return token[_GENERATION]


@attrs.define(eq=False)
class Ack:
    """An `ACK` that was sent once and will be repeated.

    Attributes:
        repeat_at: Time of the repetition in seconds.
        request_id: The request whose answer it confirms.
        resend_quota: Limit of early resends until then.
    """

    repeat_at: float
    request_id: int
    resend_quota: session_resend.ResendQuota = attrs.field(
        factory=lambda: session_resend.ResendQuota(
            session_resend.EARLY_RESENDS
        )
    )


@attrs.define(eq=False)
class Flow:
    """One flow. Times are in seconds on the monotonic clock.

    Attributes:
        flow_id: Random id.
        service_id: Service of the flow.
        token: Current routing token.
        target_id: The target of the flow, which never changes.
        attempt_by_id: Requests in progress, by request id.
        unresponsive_at: Time at which the agent was found unresponsive, or of
            the last packet received after that; None if it never was.
        unanswered_count: Number of packets sent since the last one received.
        first_unanswered_at: Time at which the first of them was sent.
        probe_at: Time of the next `KEEPALIVE`.
        renewed_at: Time at which the token was last replaced.
        pending_acks: Acknowledgements to repeat, in order of time.
        resend_quota: Limit of early resends of the last `KEEPALIVE`.
    """

    flow_id: int
    service_id: int
    token: bytes = attrs.field(repr=False)
    target_id: identity.MemberId
    probe_at: float
    attempt_by_id: dict[int, session_attempt.Attempt] = attrs.field(
        factory=dict
    )
    unresponsive_at: float | None = None
    unanswered_count: int = 0
    first_unanswered_at: float = 0.0
    renewed_at: float = -math.inf
    pending_acks: collections.deque[Ack] = attrs.field(
        factory=collections.deque
    )
    resend_quota: session_resend.ResendQuota = attrs.field(
        factory=session_resend.ResendQuota
    )
    _probe_count: int = 0
    _next_request_id: int = 1
    # Generations before the current one. Bounded, since a delayed RENEW is at
    # most a few restarts old.
    _retired_generations: collections.deque[bytes] = attrs.field(
        factory=lambda: collections.deque(maxlen=16)
    )

    def allocate_request_id(self) -> int:
        """Returns an unused request id and advances the counter."""
        request_id = self._next_request_id
        self._next_request_id += 1
        return request_id

    def remaining_capacity(self, limit: int) -> int:
        """Returns how many more requests may be started.

        Args:
            limit: Maximum number of requests in progress.
        """
        unseen = [
            request_id
            for request_id, attempt in self.attempt_by_id.items()
            if not attempt.seen_by_agent
        ]
        capacity = limit - len(self.attempt_by_id)
        if unseen:
            capacity = min(
                capacity,
                min(unseen) + UNSEEN_ID_WINDOW - self._next_request_id,
            )
        return capacity

    def is_reset_valid(self, token: bytes) -> bool:
        """Returns whether a `RESET` with this token applies to the flow.

        A `RESET` has the token of the packet that caused it, or none.
        """
        return token == tokens.EMPTY or (
            generation_of(token) == generation_of(self.token)
        )

    def encode(
        self,
        kind: packets.Kind,
        *,
        request_id: int = 0,
        fragment: int = 0,
        fragments: int = 0,
        deadline_ms: int = 0,
        flags: int = 0,
        payload: bytes = b"",
    ) -> bytes:
        """Returns a datagram of this flow."""
        return packets.encode(
            packets.Packet(
                kind,
                self.service_id,
                self.flow_id,
                self.token,
                request_id,
                fragment,
                fragments,
                deadline_ms,
                flags,
                verdicts.Reason.NONE,
                payload,
            )
        )

    def record_sent(self, *, now: float) -> None:
        """Records that a packet was sent that requires an answer."""
        if self.unanswered_count == 0:
            self.first_unanswered_at = now
        self.unanswered_count += 1

    def record_received(self, *, interval_s: float, now: float) -> None:
        """Records that a packet of the agent was received.

        Args:
            interval_s: Seconds until the next `KEEPALIVE`, with jitter.
            now: Current time in seconds.
        """
        self.unanswered_count = 0
        self._probe_count = 0
        self.resend_quota.end_round()
        self.probe_at = now + interval_s
        if self.unresponsive_at is not None:
            self.unresponsive_at = now

    def record_probe(self, *, urgent: bool, now: float) -> None:
        """Records that a `KEEPALIVE` was sent.

        Args:
            urgent: Whether requests wait for the reply.
            now: Current time in seconds.
        """
        self.record_sent(now=now)
        self.resend_quota.start_round(1)
        wait_s = PROBE_URGENT_S
        if not urgent:
            wait_s = PROBE_FIRST_S * 2.0 ** min(self._probe_count, 8)
        self._probe_count += 1
        self.probe_at = now + min(PROBE_CAP_S, wait_s)

    def is_suspect(self, *, now: float) -> bool:
        """Returns whether the agent may have failed."""
        return (
            self.unanswered_count >= SUSPECT_PACKETS
            and now - self.first_unanswered_at >= SUSPECT_AFTER_S
        )

    def is_unresponsive(self, *, idle: bool, now: float) -> bool:
        """Returns whether the agent has not answered for too long.

        Args:
            idle: Whether no request waits for the agent.
            now: Current time in seconds.
        """
        limit = UNRESPONSIVE_PACKETS_IDLE if idle else UNRESPONSIVE_PACKETS
        return (
            self.unanswered_count >= limit
            and now - self.first_unanswered_at >= UNRESPONSIVE_AFTER_S
        )

    def may_resend(self, *, now: float) -> bool:
        """Returns whether a new token may trigger an immediate resend."""
        return now - self.renewed_at >= RENEW_INTERVAL_S

    def renew_token(self, token: bytes) -> bool | None:
        """Replaces the token of the flow.

        Returns:
            None if the token is rejected, because it names another target or
            is a delayed one of an earlier generation. Otherwise whether the
            agent still has the requests that were sent with the old token.
        """
        if target_id_of(token, self.service_id) != self.target_id:
            return None
        generation = generation_of(token)
        if generation in self._retired_generations:
            return None
        old_generation = generation_of(self.token)
        self.token = token
        if generation == old_generation:
            return True
        self._retired_generations.append(old_generation)
        return False
