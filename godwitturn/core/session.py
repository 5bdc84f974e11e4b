"""A caller's session with one service, over a sequence of flows."""

import math
import random

from godwitturn.core import events
from godwitturn.core import retry
from godwitturn.core import session_context
from godwitturn.core import session_events
from godwitturn.core import session_flow
from godwitturn.core import session_opening
from godwitturn.core import session_progress
from godwitturn.core import session_requests
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

# A request that must not be sent again waits this long for an unresponsive
# agent, which may still send the answer after a network partition.
UNRESPONSIVE_GIVE_UP_S = 15.0
# Minimum interval between moves to another flow that are caused by repeated
# refusals of a request. Moves caused by the MOVE flag, a lost flow or a
# refusal after which the flow accepts no more requests are not limited.
MOVE_INTERVAL_S = 5.0
# Refusals of one request before the session opens another flow, to look for
# another target.
REFUSALS_BEFORE_MOVE = 2
# Maximum random delay of an opening after the current flow stopped accepting
# requests.
MAX_REFUSED_JITTER_S = 0.2
# Minimum interval between ticks, since each one scans the request table.
MIN_TICK_S = 0.01

_Kind = packets.Kind
_Reason = verdicts.Reason


class Session:
    """Sends requests to one service and reports one outcome for each.

    Args:
        service_id: Number of the service.
        random_source: Source of flow ids and jitter. Outside of tests it must
            be unpredictable, since an attacker has to guess the flow id to
            forge a packet.
        budget: Retry budget. By default the session creates its own.

    Attributes:
        service_id: Number of the service.
        state: State of the session; None before `Open`.
    """

    def __init__(
        self,
        service_id: int,
        random_source: random.Random,
        *,
        budget: retry.Budget | None = None,
    ) -> None:
        self.service_id = service_id
        self.state: session_events.State | None = None
        self._context = session_context.Context(service_id, random_source)
        self._requests = session_requests.RequestTable(
            random_source, budget or retry.Budget()
        )
        self._progress = session_progress.Progress(
            self._context, self._requests
        )
        self._flow_by_id: dict[int, session_flow.Flow] = {}
        self._current_flow: session_flow.Flow | None = None
        self._current_flow_refuses = False
        self._opening: session_opening.Opening | None = None
        self._next_move_at = -math.inf
        self._last_tick_at = -math.inf

    @property
    def wake_at(self) -> float:
        """Time of the next `Tick` in seconds; infinity if none is due."""
        return max(self._context.due_at, self._last_tick_at + MIN_TICK_S)

    def handle(
        self, event: session_events.Event, *, now: float
    ) -> list[session_events.Action]:
        """Handles one event.

        Args:
            event: The event.
            now: Current time in seconds on the monotonic clock.

        Returns:
            The actions for the caller to perform, in order.

        Raises:
            ValueError: A `Send` event has the number of a request that has
                not ended.
        """
        self._context.actions = []
        match event:
            case session_events.Datagram(packet):
                self._on_packet(packet, now=now)
            case session_events.Send():
                self._on_send(event, now=now)
            case session_events.Cancel(number):
                self._progress.cancel(number, now=now)
            case session_events.Open() if self.state is None:
                self._set_state(session_events.State.OPENING)
                self._start_opening(0.0, now=now)
            case session_events.Close():
                self._on_close()
        self._dispatch(now=now)
        if self.wake_at <= now:
            self._tick(now=now)
            self._dispatch(now=now)
        return self._context.actions

    # Requests

    def _set_state(
        self,
        state: session_events.State,
        reason: verdicts.Reason = _Reason.NONE,
    ) -> None:
        if state is not self.state:
            self.state = state
            action = session_events.StateChanged(state, reason)
            self._context.actions.append(action)

    def _on_send(self, event: session_events.Send, *, now: float) -> None:
        if self.state is session_events.State.CLOSED:
            outcome = session_events.Outcome(
                verdicts.Verdict.NOT_RUN, _Reason.CANCELLED
            )
            self._context.complete(event.request, outcome)
            return
        refusal = self._requests.add(event, now=now)
        if refusal is not None:
            self._context.complete(event.request, refusal)
        else:
            self._context.arm(event.deadline)

    def _dispatch(self, *, now: float) -> None:
        flow = self._current_flow
        if (
            flow is not None
            and not self._current_flow_refuses
            and not flow.is_suspect(now=now)
        ):
            self._progress.dispatch(flow, now=now)

    # Packets

    def _on_packet(self, packet: packets.Packet, *, now: float) -> None:
        if packet.service_id != self.service_id:
            return
        flow = self._flow_by_id.get(packet.flow_id)
        if flow is None:
            self._on_opening_packet(packet, now=now)
            return
        match packet.kind:
            case _Kind.RESET:
                if flow.is_reset_valid(packet.token):
                    self._drop_flow(flow, packet.reason, now=now)
                return
            case _Kind.RENEW:
                self._on_renew(flow, packet, now=now)
                return
            case _Kind.RESEND:
                self._progress.on_resend(flow, packet, now=now)
                return
            case _Kind.STATUS:
                request = self._progress.on_status(flow, packet, now=now)
                if request is not None and flow is self._current_flow:
                    self._on_refusal(request, packet.reason, now=now)
            case _Kind.ANSWER:
                self._progress.on_answer(flow, packet, now=now)
            case _Kind.KEEPALIVE_REPLY:
                pass
            case _:
                # A duplicate ACCEPT, from this target or from another one.
                return
        self._on_received(flow, packet, now=now)

    def _on_received(
        self, flow: session_flow.Flow, packet: packets.Packet, *, now: float
    ) -> None:
        jitter = self._context.random_source.uniform(0.9, 1.0)
        interval_s = session_flow.KEEPALIVE_INTERVAL_S * jitter
        flow.record_received(interval_s=interval_s, now=now)
        self._context.arm(flow.probe_at)
        if packet.flags & packets.Flag.MOVE and flow is self._current_flow:
            self._move(session_opening.MAX_JITTER_S, now=now)
        self._close_if_idle(flow)

    def _on_refusal(
        self,
        request: session_requests.Request,
        reason: verdicts.Reason,
        *,
        now: float,
    ) -> None:
        if reason in session_requests.CLOSING_REASONS:
            self._current_flow_refuses = True
            self._move(MAX_REFUSED_JITTER_S, now=now)
        elif (
            request.refusals >= REFUSALS_BEFORE_MOVE
            and now >= self._next_move_at
        ):
            self._next_move_at = now + MOVE_INTERVAL_S
            self._move(session_opening.MAX_JITTER_S, now=now)

    def _on_renew(
        self, flow: session_flow.Flow, packet: packets.Packet, *, now: float
    ) -> None:
        if packet.token == flow.token:
            self._on_received(flow, packet, now=now)
            return
        requests_kept = flow.renew_token(packet.token)
        if requests_kept is None:
            return
        self._context.log(
            events.EventId.CALLER_FLOW_RENEWED,
            flow_id=flow.flow_id,
            requests_kept=requests_kept,
        )
        self._progress.on_renewed(flow, requests_kept=requests_kept, now=now)
        flow.renewed_at = now
        self._on_received(flow, packet, now=now)
        # The agent treats a readopted flow as a reservation until a packet
        # confirms it.
        flow.probe_at = now
        self._context.arm(now)

    # Opening

    def _start_opening(self, max_jitter_s: float, *, now: float) -> None:
        source = self._context.random_source
        send_at = now + source.uniform(0.0, max_jitter_s)
        if self._opening is None:
            self._opening = session_opening.Opening(
                self.service_id, source, send_at
            )
        elif not self._opening.flow_ids:
            self._opening.send_at = min(self._opening.send_at, send_at)
        self._context.arm(self._opening.send_at)

    def _move(self, max_jitter_s: float, *, now: float) -> None:
        if self._opening is None and self._current_flow is not None:
            self._context.log(
                events.EventId.CALLER_FLOW_MOVING,
                flow_id=self._current_flow.flow_id,
            )
        self._start_opening(max_jitter_s, now=now)

    def _on_opening_packet(
        self, packet: packets.Packet, *, now: float
    ) -> None:
        opening = self._opening
        if opening is None or packet.flow_id not in opening.flow_ids:
            return
        match packet.kind:
            case _Kind.ACCEPT:
                target_id = session_flow.target_id_of(
                    packet.token, self.service_id
                )
                if target_id is not None:
                    self._on_accept(opening, packet, target_id, now=now)
            case _Kind.REFUSE | _Kind.RESET:
                if opening.on_refusal(packet, now=now):
                    self._context.log(
                        events.EventId.CALLER_OPENING_REFUSED,
                        reason=packet.reason.name,
                    )
                self._context.arm(opening.send_at)

    def _on_accept(
        self,
        opening: session_opening.Opening,
        packet: packets.Packet,
        target_id: int,
        *,
        now: float,
    ) -> None:
        previous = self._current_flow
        flow = session_flow.Flow(
            packet.flow_id, self.service_id, packet.token, target_id, now
        )
        for flow_id in opening.flow_ids:
            if flow_id != packet.flow_id:
                self._context.end_flow(flow_id, session_events.FlowEnd.CLOSED)
        self._opening = None
        self._flow_by_id[flow.flow_id] = flow
        self._current_flow = flow
        self._current_flow_refuses = False
        opened = session_events.FlowOpened(flow.flow_id, target_id)
        self._context.actions.append(opened)
        self._context.log(
            events.EventId.CALLER_FLOW_OPENED,
            flow_id=flow.flow_id,
            target_id=target_id,
        )
        self._set_state(session_events.State.OPEN)
        if previous is not None:
            self._close_if_idle(previous)
        # The next tick sends a KEEPALIVE if no request confirms the flow.
        self._context.arm(now)

    # End of flows

    def _close_if_idle(self, flow: session_flow.Flow) -> None:
        """Closes a flow with no requests in progress that is not current."""
        if (
            flow is self._current_flow
            or flow.attempt_by_id
            or flow.flow_id not in self._flow_by_id
        ):
            return
        del self._flow_by_id[flow.flow_id]
        self._context.send(flow.encode(_Kind.CLOSE))
        end = session_events.FlowEnd.MOVED
        if flow.unresponsive_at is not None:
            end = session_events.FlowEnd.BROKEN
        self._context.end_flow(flow.flow_id, end)

    def _stop_using(
        self, flow: session_flow.Flow, reason: verdicts.Reason, *, now: float
    ) -> None:
        self._context.log(
            events.EventId.CALLER_FLOW_LOST,
            flow_id=flow.flow_id,
            reason=reason.name,
        )
        if flow is self._current_flow:
            self._current_flow = None
            self._set_state(session_events.State.OPENING, reason)
            self._start_opening(session_opening.MAX_JITTER_S, now=now)

    def _drop_flow(
        self, flow: session_flow.Flow, reason: verdicts.Reason, *, now: float
    ) -> None:
        end = session_events.FlowEnd.BROKEN
        if reason is _Reason.DATA_CENTRE_OUT:
            end = session_events.FlowEnd.GIVEN_UP
        del self._flow_by_id[flow.flow_id]
        self._context.end_flow(flow.flow_id, end, reason)
        self._stop_using(flow, reason, now=now)
        for attempt in list(flow.attempt_by_id.values()):
            self._progress.abandon(attempt, reason, now=now)

    def _on_unresponsive(self, flow: session_flow.Flow, *, now: float) -> None:
        flow.unresponsive_at = now
        self._stop_using(flow, _Reason.TARGET_FAILED, now=now)
        self._progress.abandon_retryable(flow, _Reason.TARGET_FAILED, now=now)

    def _on_close(self) -> None:
        self._progress.end_all()
        flow_ids = self._opening.flow_ids if self._opening else []
        for flow in self._flow_by_id.values():
            self._context.send(flow.encode(_Kind.CLOSE))
        for flow_id in [*self._flow_by_id, *flow_ids]:
            self._context.end_flow(flow_id, session_events.FlowEnd.CLOSED)
        self._flow_by_id.clear()
        self._current_flow = self._opening = None
        self._context.due_at = math.inf
        self._set_state(session_events.State.CLOSED)

    # Time

    def _tick(self, *, now: float) -> None:
        self._last_tick_at = now
        self._context.due_at = math.inf
        for flow in list(self._flow_by_id.values()):
            self._tick_flow(flow, now=now)
        reason = self._opening.reason if self._opening else _Reason.NONE
        self._progress.tick_requests(reason, now=now)
        for flow in list(self._flow_by_id.values()):
            self._close_if_idle(flow)
        self._tick_opening(now=now)

    def _tick_opening(self, *, now: float) -> None:
        opening = self._opening
        if opening is None:
            return
        if opening.send_at <= now:
            data, expired_ids = opening.on_timer(now=now)
            for flow_id in expired_ids:
                self._context.end_flow(flow_id, session_events.FlowEnd.CLOSED)
            started = session_events.FlowStarted(opening.flow_ids[-1])
            self._context.actions.append(started)
            self._context.send(data)
        self._context.arm(opening.send_at)

    def _tick_flow(self, flow: session_flow.Flow, *, now: float) -> None:
        waiting = bool(self._requests.waiting_by_number)
        idle = not waiting and not flow.attempt_by_id
        if flow.is_unresponsive(idle=idle, now=now):
            if flow.unresponsive_at is None:
                self._on_unresponsive(flow, now=now)
            elif now - flow.unresponsive_at >= UNRESPONSIVE_GIVE_UP_S:
                self._drop_flow(flow, _Reason.TARGET_FAILED, now=now)
                return
        self._progress.tick_flow(flow, now=now)
        is_current = flow is self._current_flow
        self._progress.tick_probe(
            flow, is_current=is_current, waiting=waiting, now=now
        )
