"""Requests in progress on the flows of a session."""

import math

from godwitturn.core import events
from godwitturn.core import session_attempt
from godwitturn.core import session_context
from godwitturn.core import session_events
from godwitturn.core import session_flow
from godwitturn.core import session_requests
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

# Maximum number of requests in progress on one flow; further ones wait in the
# session. Keeps the agent's request table of a flow small.
MAX_IN_PROGRESS = 64
# Time to wait for the verdict of a cancelled or late request.
VERDICT_GRACE_S = 0.5
_MAX_DEADLINE_MS = 0xFFFFFFFF

_Kind = packets.Kind
_Reason = verdicts.Reason
_Verdict = verdicts.Verdict


class Progress:
    """Sends requests of the table on flows and determines their outcomes.

    Args:
        context: Actions and timer of the session.
        table: All requests of the session.
    """

    def __init__(
        self,
        context: session_context.Context,
        table: session_requests.RequestTable,
    ) -> None:
        self._context = context
        self._table = table

    # Sending

    def _send_packets(
        self,
        flow: session_flow.Flow,
        attempt: session_attempt.Attempt,
        packet_fields: list[session_attempt.PacketFields],
        *,
        now: float,
    ) -> None:
        request = self._table.by_number[attempt.request_number]
        remaining_ms = max(1, math.ceil((request.deadline - now) * 1000))
        flags = packets.Flag.IDEMPOTENT if request.idempotent else 0
        for fields in packet_fields:
            is_request = fields.kind is _Kind.REQUEST
            data = flow.encode(
                fields.kind,
                request_id=attempt.request_id,
                fragment=fields.fragment,
                fragments=fields.fragments,
                deadline_ms=min(remaining_ms, _MAX_DEADLINE_MS)
                if is_request
                else 0,
                flags=flags if is_request else 0,
                payload=fields.payload,
            )
            self._context.send(data)

    def _send_round(
        self,
        flow: session_flow.Flow,
        attempt: session_attempt.Attempt,
        packet_fields: list[session_attempt.PacketFields],
        *,
        now: float,
    ) -> None:
        self._send_packets(flow, attempt, packet_fields, now=now)
        if packet_fields:
            flow.record_sent(now=now)
            attempt.resend_quota.start_round(len(packet_fields))
        self._context.arm(attempt.timer_at)

    def dispatch(self, flow: session_flow.Flow, *, now: float) -> None:
        """Starts as many waiting requests as the flow has capacity for."""
        if not self._table.waiting_by_number:
            return
        limit = flow.remaining_capacity(MAX_IN_PROGRESS)
        for request in self._table.pop_ready(limit=limit, now=now):
            request.tries += 1
            attempt = session_attempt.Attempt(
                request.number, flow.allocate_request_id(), request.body, now
            )
            attempt.restart_timer(now=now)
            flow.attempt_by_id[attempt.request_id] = attempt
            request.flow, request.attempt = flow, attempt
            self._send_round(flow, attempt, attempt.next_batch(), now=now)

    # Ending

    def _complete(
        self,
        request: session_requests.Request,
        outcome: session_events.Outcome,
    ) -> None:
        self._table.remove(request)
        self._context.complete(request.number, outcome)

    def _drop_attempt(self, request: session_requests.Request) -> None:
        if request.flow is not None and request.attempt is not None:
            del request.flow.attempt_by_id[request.attempt.request_id]
        request.flow = request.attempt = None

    def _resolve(
        self,
        request: session_requests.Request,
        verdict: verdicts.Verdict,
        reason: verdicts.Reason,
        *,
        never_fully_sent: bool = False,
        now: float,
    ) -> None:
        self._drop_attempt(request)
        refusals_before = self._table.budget_refusals
        outcome = self._table.resolve(
            request,
            verdict,
            reason,
            never_fully_sent=never_fully_sent,
            now=now,
        )
        if self._table.budget_refusals > refusals_before:
            self._context.log(events.EventId.CALLER_RETRY_BUDGET_SPENT)
        if outcome is not None:
            self._complete(request, outcome)
        else:
            self._context.arm(min(request.ready_at, request.deadline))

    def abandon(
        self,
        attempt: session_attempt.Attempt,
        reason: verdicts.Reason,
        *,
        now: float,
    ) -> None:
        """Ends an attempt that the agent will not answer any more."""
        request = self._table.by_number[attempt.request_number]
        if attempt.is_fully_sent:
            self._resolve(request, _Verdict.MAY_HAVE_RUN, reason, now=now)
        else:
            self._resolve(
                request,
                _Verdict.NOT_RUN,
                reason,
                never_fully_sent=True,
                now=now,
            )

    def abandon_retryable(
        self, flow: session_flow.Flow, reason: verdicts.Reason, *, now: float
    ) -> None:
        """Ends the attempts on a flow that may be retried on another flow."""
        for attempt in list(flow.attempt_by_id.values()):
            request = self._table.by_number[attempt.request_number]
            if request.idempotent or not attempt.is_fully_sent:
                self.abandon(attempt, reason, now=now)

    def cancel(self, number: int, *, now: float) -> None:
        """Stops waiting for a request that the caller cancels."""
        request = self._table.by_number.get(number)
        if request is not None and request.end_reason is None:
            self._stop_waiting(request, _Reason.CANCELLED, now=now)

    def _stop_waiting(
        self,
        request: session_requests.Request,
        reason: verdicts.Reason,
        *,
        now: float,
    ) -> None:
        request.end_reason = reason
        flow, attempt = request.flow, request.attempt
        if flow is None or attempt is None:
            self._complete(request, request.outcome(_Verdict.NOT_RUN, reason))
        elif not attempt.is_fully_sent:
            self._drop_attempt(request)
            self._context.send(
                flow.encode(_Kind.CANCEL, request_id=attempt.request_id)
            )
            self._complete(request, request.outcome(_Verdict.NOT_RUN, reason))
        else:
            attempt.cancelling = True
            attempt.timer_at = now
            request.give_up_at = now + VERDICT_GRACE_S
            self._context.arm(now)

    def end_all(self) -> None:
        """Ends all requests because the session closes."""
        for request in list(self._table.by_number.values()):
            attempt = request.attempt
            verdict = _Verdict.NOT_RUN
            if attempt is not None and attempt.is_fully_sent:
                verdict = _Verdict.MAY_HAVE_RUN
            self._drop_attempt(request)
            reason = request.end_reason or _Reason.CANCELLED
            self._complete(request, request.outcome(verdict, reason))

    # Packets

    def on_status(
        self, flow: session_flow.Flow, packet: packets.Packet, *, now: float
    ) -> session_requests.Request | None:
        """Handles a `STATUS`.

        Returns:
            The request if the agent refused it, else None.
        """
        attempt = flow.attempt_by_id.get(packet.request_id)
        if attempt is None:
            return None
        verdict = packets.verdict_of(packet)
        if verdict is None:
            packet_fields = attempt.on_status(packet.payload, now=now)
            self._send_round(flow, attempt, packet_fields, now=now)
            return None
        if not attempt.is_fully_sent:
            verdict = _Verdict.NOT_RUN
        elif verdict is _Verdict.RAN or attempt.answer_fragment_count:
            # The request ran, but the verdict RAN requires the complete
            # answer, which the agent has already dropped.
            verdict = _Verdict.MAY_HAVE_RUN
        request = self._table.by_number[attempt.request_number]
        self._resolve(request, verdict, packet.reason, now=now)
        return request if verdict is _Verdict.NOT_RUN else None

    def on_answer(
        self, flow: session_flow.Flow, packet: packets.Packet, *, now: float
    ) -> None:
        """Handles a fragment of an answer."""
        attempt = flow.attempt_by_id.get(packet.request_id)
        if attempt is None:
            return
        packet_fields = attempt.on_answer(packet, now=now)
        self._send_round(flow, attempt, packet_fields, now=now)
        if not attempt.is_answer_complete:
            return
        request = self._table.by_number[attempt.request_number]
        self._drop_attempt(request)
        ack = flow.encode(_Kind.ACK, request_id=attempt.request_id)
        self._context.send(ack)
        repeat_at = now + session_flow.ACK_REPEAT_S
        flow.pending_acks.append(
            session_flow.Ack(repeat_at, attempt.request_id)
        )
        self._context.arm(repeat_at)
        outcome = session_events.Outcome(
            _Verdict.RAN, _Reason.NONE, attempt.answer(), request.tries
        )
        self._complete(request, outcome)

    def on_renewed(
        self, flow: session_flow.Flow, *, requests_kept: bool, now: float
    ) -> None:
        """Continues the attempts on a flow after its token was replaced.

        Args:
            flow: The flow.
            requests_kept: Whether the agent still deduplicates the requests
                that were sent with the old token.
            now: Current time in seconds.
        """
        for attempt in list(flow.attempt_by_id.values()):
            if not requests_kept:
                self.abandon(attempt, _Reason.STALE_INCARNATION, now=now)
                continue
            attempt.restart_timer(now=now)
            if flow.may_resend(now=now):
                attempt.timer_at = now
            self._context.arm(attempt.timer_at)

    def _resend_ack(self, flow: session_flow.Flow, request_id: int) -> None:
        for ack in flow.pending_acks:
            if ack.request_id == request_id and ack.resend_quota.try_spend():
                data = flow.encode(_Kind.ACK, request_id=request_id)
                self._context.send(data)

    def on_resend(
        self, flow: session_flow.Flow, packet: packets.Packet, *, now: float
    ) -> None:
        """Handles a `RESEND`: a closed balancer did not forward a packet.

        The packet sent in response replaces the one not forwarded. It is
        therefore not counted as another unanswered packet, and no timer
        changes.
        """
        # A packet sent with an older token must not be resent with the current
        # one.
        if packet.token != flow.token:
            return
        if packet.request_id == 0:
            if flow.resend_quota.try_spend():
                self._context.send(flow.encode(_Kind.KEEPALIVE))
            return
        attempt = flow.attempt_by_id.get(packet.request_id)
        if attempt is None:
            self._resend_ack(flow, packet.request_id)
            return
        packet_fields = attempt.on_resend(packet.fragment, packet.fragments)
        if packet_fields and attempt.resend_quota.try_spend():
            self._send_packets(flow, attempt, packet_fields, now=now)

    # Time

    def tick_flow(self, flow: session_flow.Flow, *, now: float) -> None:
        """Retransmits unanswered packets and pending `ACK`s of a flow."""
        for attempt in flow.attempt_by_id.values():
            if attempt.timer_at <= now:
                packet_fields = attempt.on_timer(now=now)
                self._send_round(flow, attempt, packet_fields, now=now)
            self._context.arm(attempt.timer_at)
        while flow.pending_acks and flow.pending_acks[0].repeat_at <= now:
            request_id = flow.pending_acks.popleft().request_id
            self._context.send(flow.encode(_Kind.ACK, request_id=request_id))
        if flow.pending_acks:
            self._context.arm(flow.pending_acks[0].repeat_at)

    def tick_probe(
        self,
        flow: session_flow.Flow,
        *,
        is_current: bool,
        waiting: bool,
        now: float,
    ) -> None:
        """Sends the `KEEPALIVE` of a flow if it is due.

        Args:
            flow: The flow.
            is_current: Whether new requests are sent on it.
            waiting: Whether requests wait for a flow.
            now: Current time in seconds.
        """
        if flow.attempt_by_id:
            if flow.unresponsive_at is not None or not flow.is_suspect(
                now=now
            ):
                return
            # The backoff makes retransmissions rare. Without KEEPALIVE
            # packets there would be too few unanswered packets to distinguish
            # a failed target from failed balancers in time.
            flow.probe_at = min(
                flow.probe_at, now + session_flow.PROBE_URGENT_S
            )
            waiting = True
        elif not is_current:
            return
        if flow.probe_at <= now:
            self._context.send(flow.encode(_Kind.KEEPALIVE))
            flow.record_probe(urgent=waiting, now=now)
        self._context.arm(flow.probe_at)

    def tick_requests(
        self, opening_reason: verdicts.Reason, *, now: float
    ) -> None:
        """Ends the requests whose deadline or grace period has passed.

        Args:
            opening_reason: Why there is no flow to send requests on, or
                `NONE`.
            now: Current time in seconds.
        """
        for request in list(self._table.by_number.values()):
            self._tick_request(request, opening_reason, now=now)

    def _tick_request(
        self,
        request: session_requests.Request,
        opening_reason: verdicts.Reason,
        *,
        now: float,
    ) -> None:
        if request.end_reason is not None:
            if request.give_up_at <= now:
                reason = request.end_reason
                self._resolve(request, _Verdict.MAY_HAVE_RUN, reason, now=now)
            else:
                self._context.arm(request.give_up_at)
        elif request.deadline <= now:
            reason = _Reason.DEADLINE
            if request.attempt is None:
                reason = request.reason or opening_reason or reason
            self._stop_waiting(request, reason, now=now)
        else:
            self._context.arm(request.deadline)
            if request.attempt is None and request.ready_at > now:
                self._context.arm(request.ready_at)
