"""Decisions of the agent beside a target.

The agent sees every packet of its target in both directions. It tracks the
target's flows, refuses openings that the target must not get, and reports the
target's load to the balancers.
"""

import collections

import attrs

from godwitturn.core import store_position
from godwitturn.core.transparent import admission as admissions
from godwitturn.core.transparent import agent_events
from godwitturn.core.transparent import agent_flows
from godwitturn.core.transparent import cold_limit
from godwitturn.core.transparent import deliveries
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import flow_record
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import subscribers as subscriber_tables
from godwitturn.core.transparent import target_health
from godwitturn.core.transparent import target_watch
from godwitturn.core.transparent import work_limit

TICK_S = 0.05
FLOW_SWEEP_INTERVAL_S = 1.0
# Minimum time between two fetches of the operators' documents. Agents keep a
# copy for balancers that restart while the store is unavailable; the copy may
# be some seconds old.
FETCH_INTERVAL_S = 5.0
STOP_ANNOUNCEMENTS = 3  # one each tick; each may be lost


def _flow_absent(delivery: deliveries.Delivery) -> messages.Send:
    """Reports to a balancer that a packet's flow isn't open at the target."""
    segment = delivery.segment
    reply: messages.Message
    if delivery.forward.search:
        reply = messages.FlowAbsent(segment.flow_id)
    else:
        reply = messages.PacketReturned(segment.data)
    return messages.Send(delivery.balancer, reply)


@attrs.define(frozen=True, repr=False)
class UntrackedFlow:
    """A flow that may be open at the target since before the agent started.

    Attributes:
        balancer: Balancer that forwarded the client's last packet of it.
        sequence: Sequence number of that packet.
    """

    balancer: str
    sequence: int


@attrs.define(eq=False, repr=False)
class Agent:
    """State and decisions of one agent.

    Attributes:
        node: Name of this VM.
        service: The service whose target runs here.
        data_centre: The data centre.
        run_id: Random number of this run.
        cold_limiter: Limits openings while the target is cold.
        target: State of the target, from its heartbeats and packets.
        fetcher: Decides when to fetch newer documents of the operators.
        health: Results of the target's latest requests.
        admission: Openings queued for the target.
        subscribers: Balancers that receive announcements of the target.
        flows: Flows of the target.
        evacuated: Whether the data centre must get no new flows.
        position: Store position that `evacuated` comes from.
        registration_missing: Whether the last hello reported that the agent's
            entry isn't in the store.
        recorder: Record of long flows for the agent's next run.
        counts: Counters by name.
        restarting: Whether the agent stops beside a target that goes on.
    """

    node: str
    service: str
    data_centre: str
    run_id: int
    cold_limiter: cold_limit.ColdLimit
    target: target_watch.TargetWatch
    fetcher: document_exchange.DocumentFetcher
    health: target_health.TargetHealth = attrs.field(
        factory=target_health.TargetHealth
    )
    admission: admissions.Admission = attrs.field(factory=admissions.Admission)
    subscribers: subscriber_tables.SubscriberTable = attrs.field(
        factory=subscriber_tables.SubscriberTable
    )
    flows: agent_flows.FlowTable = attrs.field(factory=agent_flows.FlowTable)
    evacuated: bool = False
    position: store_position.StorePosition = store_position.UNREAD
    registration_missing: bool = False
    recorder: flow_record.FlowRecorder = attrs.field(
        factory=flow_record.FlowRecorder
    )
    counts: dict[str, int] = attrs.field(factory=dict)
    restarting: bool = False
    _stop_announcements: int = 0
    _delivery_table: deliveries.DeliveryTable = attrs.field(
        factory=deliveries.DeliveryTable
    )
    _untracked_by_id: collections.OrderedDict[
        segments.FlowId, UntrackedFlow
    ] = attrs.field(factory=collections.OrderedDict)
    _swept_at: float = 0.0

    # Heartbeats and end of the target.

    def handle_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, *, now: float
    ) -> list[messages.Action]:
        """Applies a heartbeat of the target, unless its verdict is ignored."""
        verdict = self.target.update(heartbeat, now=now)
        if verdict in target_watch.IGNORED_VERDICTS:
            self.count(f"heartbeat_{verdict.value}")
            return [agent_events.heartbeat_ignored(heartbeat, verdict)]
        if verdict is target_watch.Verdict.UNCHANGED:
            return []
        restarted = verdict is target_watch.Verdict.RESTARTED
        if restarted:
            self.health.clear()
        if restarted and self.target.tracks_all_flows:
            self.flows.flow_by_id.clear()
            self.admission.clear_work()
            self.cold_limiter.discount_earlier_run()
        return [
            agent_events.target_state(
                self.target, heartbeat, restarted=restarted
            ),
            *self.announce(now=now),
            *self._reset_recorded_flows(),
        ]

    def handle_departure(
        self, target_id: str, *, now: float
    ) -> list[messages.Action]:
        """Handles the target's notification that it is about to end.

        The notification may be a late one from an earlier start, so the flows
        are kept until nothing listens at the target's address.
        """
        if not self.target.handle_departure(target_id):
            return []
        if self.restarting:
            return self._handle_end("departed", now=now)
        return [
            messages.LogEvent(
                "target_departs", {"incarnation": self.target.incarnation}
            ),
            *self.announce(now=now),
        ]

    def handle_unreachable(self, *, now: float) -> list[messages.Action]:
        """Marks the target as down: nothing listens at its address."""
        return self._handle_end("unreachable", now=now)

    def handle_stop(self, *, now: float) -> list[messages.Action]:
        """Announces that the agent stops, or the end of a departed target.

        The departed target may have ended already, which no probe has shown
        yet. Beside another target, the agent announces its stop until
        `may_exit`, so that balancers keep the target's flows, and refuses
        openings.
        """
        if self.target.departed or self.target.is_down:
            return self._handle_end("departed", now=now)
        self.restarting = True
        return [*self.announce(now=now), *self._admit_queued(now)]

    def may_exit(self) -> bool:
        """Returns whether a stopping agent has announced what it must."""
        return (
            self.target.is_down
            or self._stop_announcements >= STOP_ANNOUNCEMENTS
        )

    def _handle_end(self, reason: str, *, now: float) -> list[messages.Action]:
        if not self.target.mark_down():
            return []
        self.restarting = False
        self.flows.flow_by_id.clear()
        self.admission.clear_work()
        return [
            messages.LogEvent(
                "target_down",
                {"incarnation": self.target.incarnation, "reason": reason},
            ),
            *self.announce(now=now),
            *self._return_unanswered(now),
        ]

    def _return_unanswered(self, now: float) -> list[messages.Action]:
        """Sends back packets that an ended target left unanswered."""
        since = self.target.pop_unanswered_since()
        unanswered = self._delivery_table.pop_all()
        if since is None:
            return []
        actions: list[messages.Action] = []
        for delivery in unanswered:
            if delivery.delivered_at < since:
                continue
            if delivery.segment.opening:
                actions += self._refuse(
                    delivery, messages.Refusal.DOWN, now=now
                )
            else:
                actions.append(_flow_absent(delivery))
        return actions

    def apply_earlier_record(
        self, record: flow_record.FlowRecord | None, *, now: float
    ) -> list[messages.Action]:
        """Applies the flow record that an earlier run of the agent left.

        The flows are most likely still open at the target, so balancers are
        notified of them before the target sends a heartbeat. The target
        returns packets of flows that it no longer has.
        """
        self.recorder.apply_earlier(record)
        resets = self._reset_recorded_flows()
        if resets:
            return resets
        adopted = self.recorder.adopt(
            self.target, self.flows.flow_by_id, now=now
        )
        if not adopted:
            return []
        self.subscribers.update_pending = True
        return [
            messages.LogEvent("recorded_flows_adopted", {"flows": adopted}),
            *(
                action
                for balancer in self.subscribers.balancer_by_address
                for action in self._send_flows(balancer, now=now)
            ),
        ]

    def _reset_recorded_flows(self) -> list[messages.Action]:
        """Resets recorded flows once their target is known to have ended."""
        return self.recorder.resets(
            self.target.heartbeat, self.flows.flow_by_id
        )

    def next_record(
        self, *, lease: int, now: float
    ) -> flow_record.FlowRecord | None:
        """Returns the flow record to write now, None if none is due.

        Args:
            lease: Lease under which it is written.
            now: Seconds.
        """
        return self.recorder.next_record(
            self.target.heartbeat,
            self.flows.flow_by_id,
            self._data_centre_of,
            lease=lease,
            agents=self.subscribers.agents,
            now=now,
        )

    @property
    def work_limiter(self) -> work_limit.WorkLimit:
        """The limit of openings without terms for a full target."""
        return self.admission.work_limiter

    # Packets from balancers.

    def handle_forward(
        self,
        balancer: str,
        forward: messages.Forward,
        segment: segments.Segment,
        *,
        now: float,
        delay_s: float = 0.0,
    ) -> list[messages.Action]:
        """Delivers a client's packet to the target.

        An opening may be queued or refused instead. A packet whose flow isn't
        open at the target is sent back to the balancer. If the packet was
        sent to search for the flow, the flow is reported as absent.

        Args:
            balancer: The balancer that forwarded the packet.
            forward: Its message.
            segment: The packet.
            now: Seconds.
            delay_s: Longest time in seconds that the message may have waited
                here for a suspended process.
        """
        self.subscribers.record_seen(balancer, now=now)
        delivery = deliveries.Delivery(balancer, forward, segment, now)
        flow = self.flows.flow_by_id.get(segment.flow_id)
        if flow is not None and segment.opening:
            return self._handle_tracked_opening(
                delivery, flow, delay_s, now=now
            )
        if flow is not None:
            if not flow.expects(segment):
                return self._handle_unexpected(delivery, flow, now=now)
            if segment.size and not flow.awaiting_answer:
                self.admission.start_request(
                    segment.flow_id, slots=self.target.slots, now=now
                )
            if flow.handle_client_packet(segment, balancer, now=now):
                self.subscribers.update_pending = True
                self.work_limiter.finish(segment.flow_id)
            return [self._deliver(delivery, now=now)]
        if segment.opening:
            if delay_s > admissions.MAX_OPENING_DELAY_S:
                self.count("outdated_openings")
                return []
            return self._admit(delivery, now=now)
        if self._tracks_all_flows_of(forward.service):
            return [_flow_absent(delivery)]
        # The target may have flows from before this agent started; it returns
        # packets of flows that it doesn't have.
        self._untracked_by_id[segment.flow_id] = UntrackedFlow(
            balancer, segment.sequence
        )
        if len(self._untracked_by_id) > deliveries.MAX_DELIVERIES:
            self._untracked_by_id.popitem(last=False)
        return [self._deliver(delivery, now=now)]

    def _handle_tracked_opening(
        self,
        opening: deliveries.Delivery,
        flow: agent_flows.Flow,
        delay_s: float,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Handles an opening whose addresses and ports are those of a flow.

        Args:
            opening: The opening.
            flow: The tracked flow.
            delay_s: As in `handle_forward`.
            now: Seconds.
        """
        balancer, segment = opening.balancer, opening.segment
        if not flow.is_opened_by(segment, now=now):
            return self._open_used_port(opening, flow, delay_s, now=now)
        if flow.superseded:
            self.count("outdated_openings")
            return []
        flow.balancer = balancer
        flow.used_at = now
        actions: list[messages.Action] = [self._deliver(opening, now=now)]
        if opening.forward.search:
            # The balancer waits to learn whether this is a copy.
            actions.append(
                self._report_owned(
                    balancer, segment.flow_id, flow.opening(now=now), now=now
                )
            )
        return actions

    def _open_used_port(
        self,
        opening: deliveries.Delivery,
        former: agent_flows.Flow,
        delay_s: float,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Decides on an opening from the port of a tracked flow.

        The client has left the former flow, perhaps without closing it. The
        new one is subject to the same limits as any other.

        Args:
            opening: The opening.
            former: The tracked flow.
            delay_s: As in `handle_forward`.
            now: Seconds.
        """
        segment = opening.segment
        if (
            segment.sequence == former.former_sequence
            or delay_s > admissions.MAX_OPENING_DELAY_S
        ):
            self.count("outdated_openings")
            return []
        self._supersede(segment.flow_id, segment.sequence, now=now)
        return self._admit(opening, now=now)

    def handle_port_used_again(
        self, balancer: str, message: messages.PortUsedAgain, *, now: float
    ) -> None:
        """Handles that a client has opened a new flow from a flow's port."""
        self.subscribers.record_seen(balancer, now=now)
        self.admission.remove_former(message.flow_id, message.sequence)
        self._supersede(message.flow_id, message.sequence, now=now)

    def _supersede(
        self, flow_id: segments.FlowId, sequence: int, *, now: float
    ) -> None:
        """Marks a tracked flow as superseded by a new one of its port.

        Args:
            flow_id: The flow.
            sequence: Sequence number of the new opening. A flow whose own
                number isn't known isn't marked: the opening may be a copy.
            now: Seconds.
        """
        former = self.flows.flow_by_id.get(flow_id)
        if (
            former is None
            or former.superseded
            or former.sequence is None
            or sequence in (former.sequence, former.former_sequence)
        ):
            return
        self.count("ports_used_again")
        former.superseded = True
        former.awaiting_answer = False
        self.admission.finish(flow_id, target=self.target, now=now)

    def _handle_unexpected(
        self,
        delivery: deliveries.Delivery,
        flow: agent_flows.Flow,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Handles a packet that is most likely of another flow of the port.

        The balancer has forwarded it on old evidence, if another agent has a
        flow that was opened later. A packet of a superseded flow's port goes
        back, and the balancer searches for the successor. While the
        successor's opening is queued here, only packets of the superseded flow
        can arrive. They are dropped, because the balancer would reset the
        successor if no agent had it.
        """
        flow_id = delivery.segment.flow_id
        if flow.superseded:
            if self.admission.is_queued(flow_id):
                self.count("packets_of_former_flows")
                return []
            return [_flow_absent(delivery)]
        self.count("packets_doubted")
        if not flow.record_doubt(now=now):
            return [self._deliver(delivery, now=now)]
        return [
            messages.Send(delivery.balancer, messages.FlowDoubted(flow_id))
        ]

    def _report_owned(
        self,
        balancer: str,
        flow_id: segments.FlowId,
        opening: messages.FlowOpening,
        *,
        now: float,
    ) -> messages.Send:
        """Reports to a balancer that a flow is open here, or queued."""
        return messages.Send(
            balancer,
            messages.FlowOwned(
                flow_id,
                self._wait_ms_for(balancer, now),
                self._opening_for(balancer, opening),
            ),
        )

    def _opening_for(
        self, balancer: str, opening: messages.FlowOpening
    ) -> messages.FlowOpening | None:
        """Returns an opening for a balancer, None if it can't decode it."""
        if not self.subscribers.supports_openings(balancer):
            return None
        return opening

    def _tracks_all_flows_of(self, service: str) -> bool:
        """Returns whether all of the target's flows of a service are tracked.

        If they are, an untracked flow of the service isn't open at the target.
        The target has no flows of other services than its own.

        Args:
            service: Service of this agent's target, as a balancer knows it.
                It is empty if the balancer doesn't know it yet, and another
                one if the address belonged to another agent before.
        """
        return (
            self.target.tracks_all_flows
            or service not in ("", self.service)
            or self.target.is_down
        )

    def handle_query(
        self, balancer: str, query: messages.FlowQuery, *, now: float
    ) -> list[messages.Action]:
        """Replies to a balancer whether a flow is open at the target."""
        self.subscribers.record_seen(balancer, now=now)
        flow_id = query.flow_id
        flow = self.flows.flow_by_id.get(flow_id)
        if flow is not None and flow.superseded:
            return [messages.Send(balancer, messages.FlowAbsent(flow_id))]
        if flow is not None and flow.accepted:
            opening = self._opening_for(balancer, flow.opening(now=now))
            return [
                messages.Send(
                    balancer, messages.FlowOwned(flow_id, opening=opening)
                ),
                *self._notify_peers(balancer, flow_id, flow, now=now),
            ]
        if flow is None and self._tracks_all_flows_of(query.service):
            return [messages.Send(balancer, messages.FlowAbsent(flow_id))]
        return [messages.Send(balancer, messages.FlowUnknown(flow_id))]

    def _notify_peers(
        self,
        balancer: str,
        flow_id: segments.FlowId,
        flow: agent_flows.Flow,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Notifies the data centre's other balancers of a flow, once."""
        data_centre = self.subscribers.data_centre_of(balancer)
        if flow.peers_notified or not data_centre:
            return []
        flow.peers_notified = True
        wait_ms = self.admission.expected_wait_ms(self.target.slots, now=now)
        return self.subscribers.notify_peers(
            balancer, flow_id, flow.opening(now=now), wait_ms=wait_ms
        )

    def _wait_ms_for(self, balancer: str, now: float) -> int | None:
        """Returns the wait for a balancer, None if it can't decode it."""
        if not self.subscribers.supports_waits(balancer):
            return None
        return self.admission.expected_wait_ms(self.target.slots, now=now)

    def _admit(
        self, opening: deliveries.Delivery, *, now: float
    ) -> list[messages.Action]:
        """Delivers, queues or refuses an opening."""
        reason = self._refusal_reason(opening.forward)
        if reason is not None:
            return self._refuse(opening, reason, now=now)
        decisions = self.admission.offer(
            opening,
            target=self.target,
            cold_limiter=self.cold_limiter,
            now=now,
        )
        return self._apply_all(decisions, now=now)

    def _admit_queued(self, now: float) -> list[messages.Action]:
        """Admits queued openings while the limits allow it."""
        decisions = self.admission.decide_queued(
            self._closed_reason(),
            target=self.target,
            cold_limiter=self.cold_limiter,
            now=now,
        )
        return self._apply_all(decisions, now=now)

    def _apply_all(
        self, decisions: list[admissions.Decision], *, now: float
    ) -> list[messages.Action]:
        return [
            action
            for decision in decisions
            for action in self._apply(decision, now=now)
        ]

    def _apply(
        self, decision: admissions.Decision, *, now: float
    ) -> list[messages.Action]:
        """Carries out a decision of the admission."""
        opening = decision.opening
        if decision.reason is not None:
            return self._refuse(opening, decision.reason, now=now)
        self.subscribers.update_pending = True
        match decision.outcome:
            case admissions.Outcome.DELIVERED:
                return self._open(opening, now=now)
            case admissions.Outcome.QUEUED:
                return self._report_queued(opening, now=now)
        self.count("outdated_openings")
        return [agent_events.opening_dropped(opening, now=now)]

    def _open(
        self, opening: deliveries.Delivery, *, now: float
    ) -> list[messages.Action]:
        """Delivers an opening to the target."""
        flow_id = opening.segment.flow_id
        former = self.flows.flow_by_id.get(flow_id)
        self.flows.flow_by_id[flow_id] = agent_flows.Flow(
            opening.balancer,
            opening.delivered_at,
            now,
            sequence=opening.segment.sequence,
            client_sequence=opening.segment.sequence,
            former_sequence=former.sequence if former else None,
        )
        return [
            self._deliver(opening, now=now),
            agent_events.opening_delivered(
                opening, self.target, self.cold_limiter, now=now
            ),
        ]

    def _report_queued(
        self, opening: deliveries.Delivery, *, now: float
    ) -> list[messages.Action]:
        """Reports a queued opening as a flow of the target."""
        return [
            self._report_owned(
                opening.balancer,
                opening.segment.flow_id,
                messages.FlowOpening(opening.segment.sequence, 0),
                now=now,
            ),
            agent_events.opening_waits(
                opening,
                self.target,
                self.admission,
                per_second=self.cold_limiter.per_second,
                now=now,
            ),
        ]

    def _refusal_reason(
        self, forward: messages.Forward
    ) -> messages.Refusal | None:
        """Returns why an opening must not be admitted now, None if it may."""
        if forward.search:
            return messages.Refusal.NOT_A_COPY
        if forward.service != self.service:
            return messages.Refusal.WRONG_SERVICE
        return self._closed_reason()

    def _closed_reason(self) -> messages.Refusal | None:
        """Returns why no opening may be admitted now, None if one may."""
        if self.target.is_down:
            return messages.Refusal.DOWN
        if (
            self.restarting
            or self.target.state == messages.TargetState.DRAINING
        ):
            return messages.Refusal.DRAINING
        if self.evacuated:
            return messages.Refusal.EVACUATED
        return None

    def _refuse(
        self,
        opening: deliveries.Delivery,
        reason: messages.Refusal,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Sends an opening back to the balancer that forwarded it."""
        self.count(f"refused_{reason.name.lower()}")
        segment = opening.segment
        refused = messages.OpeningRefused(
            reason, segment.data, self._wait_ms_for(opening.balancer, now)
        )
        return [
            messages.Send(opening.balancer, refused),
            agent_events.opening_returned(
                opening, reason, self.target, self.admission, now=now
            ),
        ]

    def _deliver(
        self, delivery: deliveries.Delivery, *, now: float
    ) -> messages.Deliver:
        forward, segment = delivery.forward, delivery.segment
        delivery.delivered_at = now
        tag = self._delivery_table.add(delivery)
        wants_answer = segment.opening or segment.size or forward.search
        if wants_answer:
            self.target.record_delivery(now=now)
        return messages.Deliver(forward.data, tag)

    # Packets from the target.

    def handle_target_packet(
        self, segment: segments.Segment, *, now: float
    ) -> list[messages.Action]:
        """Sends a target's packet to the client.

        A client's packet that the target returned unprocessed goes back to
        the balancer instead.
        """
        self.target.record_packet()
        if segment.returned:
            return self._handle_returned(segment, now=now)
        flow = self.flows.flow_by_id.get(segment.flow_id)
        if flow is None and segment.resetting:
            return self._drop_reset_of_unknown_flow(segment)
        if flow is None:
            # A balancer that has forwarded packets of an untracked flow hasn't
            # been notified yet that the flow is open here. In that case the
            # flow counts as not accepted, so that the balancer is notified
            # below.
            untracked = self._untracked_by_id.pop(segment.flow_id, None)
            balancer = untracked.balancer if untracked else ""
            flow = agent_flows.Flow(
                balancer,
                now,
                now,
                accepted=not (segment.accepting or balancer),
                client_sequence=untracked.sequence if untracked else None,
            )
            self.flows.flow_by_id[segment.flow_id] = flow
        flow.used_at = now
        if flow.superseded:
            return [messages.SendToClient(segment.flow_id, segment.data)]
        flow.recorded_data_centre = ""
        flow.answered = flow.answered or segment.size > 0
        actions: list[messages.Action] = [
            messages.SendToClient(segment.flow_id, segment.data)
        ]
        if segment.size and flow.awaiting_answer:
            flow.awaiting_answer = False
            self.admission.finish(
                segment.flow_id, target=self.target, now=now, answered=True
            )
            actions += self._record_outcome(segment.flow_id, failed=False)
            actions.append(
                messages.Observe(
                    "answer_time",
                    self.service,
                    segment.flow_id[2:],
                    now - flow.requested_at,
                )
            )
        if segment.accepting or not flow.accepted:
            flow.accepted = True
            if flow.balancer:
                actions.append(
                    self._report_owned(
                        flow.balancer,
                        segment.flow_id,
                        flow.opening(now=now),
                        now=now,
                    )
                )
        if flow.balancer:
            actions += self._notify_peers(
                flow.balancer, segment.flow_id, flow, now=now
            )
        if segment.ending and not flow.target_ended:
            flow.target_ended = True
            if flow.awaiting_answer:
                self.admission.record_closing(segment.flow_id, now=now)
            self.subscribers.update_pending = True
        if segment.resetting:
            if flow.aborted_by_reset(now):
                actions += self._record_outcome(segment.flow_id, failed=True)
            self._remove_flow(segment.flow_id, now=now)
            self.subscribers.update_pending = True
        if self.admission.waiting_count:
            actions += self._admit_queued(now)
        return actions

    def _record_outcome(
        self, flow_id: segments.FlowId, *, failed: bool
    ) -> list[messages.Action]:
        """Adds the outcome of a request to the target's health."""
        if not self.health.record(failed=failed):
            return []
        self.subscribers.update_pending = True
        return [agent_events.target_judged(flow_id, self.target, self.health)]

    def _remove_flow(self, flow_id: segments.FlowId, *, now: float) -> None:
        """Removes a flow that is no longer open at the target."""
        self.flows.flow_by_id.pop(flow_id, None)
        self.admission.finish(flow_id, target=self.target, now=now)

    def _drop_reset_of_unknown_flow(
        self, segment: segments.Segment
    ) -> list[messages.Action]:
        """Drops a reset, as the client's flow may be open at another target.

        Targets also reset flows that they have refused. If the flow has ended,
        the balancer resets the client's end once every agent has replied that
        the flow isn't open at its target.
        """
        self.count("resets_of_unknown_flows")
        untracked = self._untracked_by_id.pop(segment.flow_id, None)
        if untracked is None:
            return []
        absent = messages.FlowAbsent(segment.flow_id)
        return [messages.Send(untracked.balancer, absent)]

    def _handle_returned(
        self, segment: segments.Segment, *, now: float
    ) -> list[messages.Action]:
        """Handles a client's packet that the target returned unprocessed."""
        delivery = self._delivery_table.pop(segment.tag)
        if delivery is None:
            self.count("returned_unknown")
            return []
        flow = self.flows.flow_by_id.get(segment.flow_id)
        if segment.opening:
            if flow is not None and flow.sequence == segment.sequence:
                self._remove_flow(segment.flow_id, now=now)
            return self._refuse(delivery, messages.Refusal.FULL, now=now)
        if flow is not None:
            self._remove_flow(segment.flow_id, now=now)
            self.subscribers.update_pending = True
        if delivery.forward.search:
            return [_flow_absent(delivery)]
        return [
            _flow_absent(delivery),
            messages.LogEvent(
                "flow_not_held",
                {
                    "flow": segments.flow_name(segment.flow_id),
                    "balancer": delivery.balancer,
                    "incarnation": self.target.incarnation,
                },
            ),
        ]

    # Balancers.

    def handle_hello(
        self, balancer: str, hello: messages.Hello, *, now: float
    ) -> list[messages.Action]:
        """Applies a balancer's hello with the state of the data centre."""
        self.subscribers.handle_hello(balancer, hello, now=now)
        actions: list[messages.Action] = []
        self.registration_missing = not hello.registered
        self.fetcher.spread_s = pacing.document_spread_s(hello.agents)
        if hello.flows_requested:
            actions += self._send_flows(balancer, now=now)
        if hello.service not in (None, self.service):
            # The sender has taken this agent for an earlier one of its
            # address, and hasn't received an announcement yet.
            self.count("hellos_of_other_services")
            return actions
        has_read = hello.position > store_position.UNREAD
        if has_read and hello.position >= self.position:
            # A restarted agent doesn't know if its target was evacuated.
            unknown = self.position == store_position.UNREAD
            unknown = unknown and not self.target.tracks_all_flows
            if (self.evacuated or unknown) and not hello.evacuated:
                # Targets may become cold while they are evacuated.
                self.target.cold_outdated = True
            self.position = hello.position
            if self.cold_limiter.set_rate(hello.cold_per_second, now=now):
                actions.append(
                    agent_events.cold_limit_changed(
                        balancer, hello, self.target
                    )
                )
            if hello.evacuated != self.evacuated:
                self.evacuated = hello.evacuated
                actions.append(
                    messages.LogEvent(
                        "evacuation",
                        {
                            "evacuated": hello.evacuated,
                            "balancer": balancer,
                            "era": hello.position.era,
                            "revision": hello.position.revision,
                        },
                    )
                )
        return actions

    def _data_centre_of(self, flow: agent_flows.Flow) -> str:
        """Returns the data centre of the balancers that forward a flow."""
        return flow.recorded_data_centre or self.subscribers.data_centre_of(
            flow.balancer
        )

    def _send_flows(
        self, balancer: str, *, now: float
    ) -> list[messages.Action]:
        """Sends a balancer the flows whose packets may come through it."""
        data_centre = self.subscribers.data_centre_of(balancer)
        opening_by_id = {
            flow_id: flow.opening(now=now)
            for flow_id, flow in self.flows.flow_by_id.items()
            if flow.accepted
            and not flow.superseded
            and self._data_centre_of(flow) == data_centre
        }
        return self.subscribers.send_flows(balancer, opening_by_id)

    def announce(self, *, now: float) -> list[messages.Action]:
        """Returns announcements of the target to all balancers."""
        self._stop_announcements += self.restarting
        sequence, balancers = self.subscribers.next_announcement(now=now)
        load = self.flows.load()
        slots = self.target.slots
        wait_ms = self.admission.expected_wait_ms(slots, now=now)

        def make(*, extended: bool) -> messages.Announcement:
            return messages.Announcement(
                node=self.node,
                service=self.service,
                data_centre=self.data_centre,
                run_id=self.run_id,
                sequence=sequence,
                incarnation=self.target.incarnation,
                state=self.target.state,
                slots=slots,
                flows=load.flows + self.admission.waiting_count,
                work=load.work,
                cold_ms=self.target.cold_ms(now),
                balancers=balancers,
                position=self.fetcher.position,
                failing=self.health.failing,
                restarting=extended and self.restarting,
                service_us=self.admission.service_us if extended else 0,
                openings=self.admission.openings if extended else 0,
                wait_ms=wait_ms if extended else None,
                short_flows=extended and load.mostly_short,
            )

        announcements = (make(extended=False), make(extended=True))
        return [
            messages.Send(address, announcements[balancer.supports_waits])
            for address, balancer in (
                self.subscribers.balancer_by_address.items()
            )
        ]

    def tick(self, *, now: float) -> list[messages.Action]:
        """Performs periodic work; to be called every `TICK_S`."""
        actions: list[messages.Action] = []
        if now - self._swept_at >= FLOW_SWEEP_INTERVAL_S:
            self._swept_at = now
            for flow_id in self.flows.pop_given_up(now=now):
                actions += self._record_outcome(flow_id, failed=True)
                self.admission.finish(
                    flow_id, target=self.target, now=now, given_up=True
                )
            if self.flows.sweep(now=now):
                self.subscribers.update_pending = True
            self.subscribers.remove_silent(now=now)
        if self.target.probe_due(now=now):
            actions.append(messages.ProbeTarget())
        if self.admission.update_stalled(self.target.slots, now=now):
            actions.append(
                agent_events.target_stalled(
                    self.target, self.admission, now=now
                )
            )
        if self.admission.waiting_count:
            actions += self._admit_queued(now)
        if self.restarting or self.subscribers.announcement_due(now=now):
            actions += self.announce(now=now)
        return actions

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1
