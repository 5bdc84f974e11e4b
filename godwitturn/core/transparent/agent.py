"""Decisions of the agent beside a target.

The agent sees every packet of its target in both directions. It knows the
target's flows, hands back openings that the target must not get, and tells
balancers how loaded the target is.
"""

import collections

import attrs

from godwitturn.core.transparent import cold_limit
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import relay as relays
from godwitturn.core.transparent import segments

TICK_S = 0.05
# Announcements that leave out the list of balancers, after one with it.
ANNOUNCEMENTS_WITHOUT_BALANCERS = 8
# Flows told in one datagram; 12 bytes each.
FLOWS_PER_MESSAGE = 90
BALANCER_FORGOTTEN_S = 5.0
FLOW_IDLE_S = 60.0
# Late copies of a closing flow's packets still find it.
FLOW_CLOSING_S = 3.0
FLOW_OPENING_S = 3.0
FLOW_SWEEP_S = 1.0
# Packets that the target returns come back within milliseconds.
DELIVERIES_KEPT = 1024
# Targets answer openings and requests within milliseconds; a busy one takes
# longer, so silence alone doesn't count as its end.
TARGET_ANSWER_S = 0.3
PROBE_INTERVAL_S = 1.0
# Agents keep a copy of the operators' documents for balancers that restart
# while the store is away; it may be some seconds old.
COPY_INTERVAL_S = 5.0
# Heartbeats are counted from 1; the first one tells that the target has
# started after this agent.
FIRST_SEQUENCE = 1


@attrs.define(eq=False, repr=False)
class KnownBalancer:
    """A balancer that this agent knows.

    Attributes:
        heard_at: When it was last heard.
        data_centre: Its data centre, empty until it says so.
    """

    heard_at: float
    data_centre: str = ""


@attrs.define(eq=False, repr=False)
class Flow:
    """A flow at the target.

    Attributes:
        balancer: Balancer that last forwarded a packet of it.
        accepted: Whether the target has accepted the opening.
        waiting: Whether a request has no answer yet.
        asked_at: When the first packet of that request came.
        told: Whether other balancers were told of the flow.
        client_ended: Whether the client has sent everything.
        target_ended: Whether the target has sent everything.
        used_at: When its last packet passed.
    """

    balancer: str
    used_at: float
    accepted: bool = False
    waiting: bool = False
    asked_at: float = 0.0
    told: bool = False
    client_ended: bool = False
    target_ended: bool = False

    @property
    def closing(self) -> bool:
        """Whether both ends have sent everything."""
        return self.client_ended and self.target_ended


@attrs.define(eq=False, repr=False)
class Delivery:
    """A packet given to the target that may come back.

    Attributes:
        balancer: Who forwarded it.
        forward: What it forwarded.
        segment: The packet.
        at: When the target got it.
    """

    balancer: str
    forward: messages.Forward
    segment: segments.Segment
    at: float


@attrs.define(eq=False, repr=False)
class WaitingOpening:
    """An opening that waits until a cold target may take it.

    Attributes:
        balancer: Who forwarded it.
        forward: What it forwarded.
        segment: The packet.
        since: When it came.
    """

    balancer: str
    forward: messages.Forward
    segment: segments.Segment
    since: float


@attrs.define(eq=False, repr=False)
class Agent:
    """State and decisions of one agent.

    Attributes:
        node: Name of this VM.
        service: The service whose target runs here.
        data_centre: The data centre.
        run: Random number of this run.
        cold: Limit of openings while the target is cold.
        seeds: Balancers named in the settings; they are told of the target
            even while they are silent.
        heartbeat: The newest heartbeat of the target, None if none came.
        state: State of the target.
        evacuated: Whether the data centre is to get nothing new.
        revision: Store revision that `evacuated` comes from.
        relay: Copy of the operators' documents, kept for balancers.
        flow_by_id: Flows of the target.
        balancer_by_address: Balancers.
        agents: Agents that announce to the same balancers.
        counts: Counters by name.
    """

    node: str
    service: str
    data_centre: str
    run: int
    cold: cold_limit.ColdLimit
    seeds: frozenset[str] = frozenset()
    heartbeat: heartbeats.Heartbeat | None = None
    heartbeat_at: float = 0.0
    state: messages.TargetState = messages.TargetState.UNKNOWN
    evacuated: bool = False
    revision: int = 0
    registration_missing: bool = False
    relay: relays.Relay = attrs.field(
        factory=lambda: relays.Relay(interval_s=COPY_INTERVAL_S)
    )
    flow_by_id: dict[segments.FlowId, Flow] = attrs.field(factory=dict)
    balancer_by_address: dict[str, KnownBalancer] = attrs.field(factory=dict)
    agents: int = 1
    counts: dict[str, int] = attrs.field(factory=dict)
    _witnessed: bool = False
    _deliveries: collections.OrderedDict[int, Delivery] = attrs.field(
        factory=collections.OrderedDict
    )
    _waiting: dict[segments.FlowId, WaitingOpening] = attrs.field(factory=dict)
    _unanswered_since: float | None = None
    _probed_at: float = float("-inf")
    _tag: int = 0
    _sequence: int = 0
    _announced_at: float = float("-inf")
    _swept_at: float = 0.0
    _changed: bool = False

    @property
    def incarnation(self) -> str:
        """Identity of the target's present start, empty if unknown."""
        if self.heartbeat is None:
            return ""
        return f"{self.heartbeat.target_id}/{self.heartbeat.born}"

    # The target's word.

    def handle_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, *, now: float
    ) -> list[messages.Action]:
        """Takes a heartbeat of the target."""
        known = self.heartbeat
        if heartbeat.service != self.service:
            return self._ignored(heartbeat, "service")
        if known is not None and heartbeat.born < known.born:
            return self._ignored(heartbeat, "earlier_start")
        restarted = known is None or (
            (heartbeat.target_id, heartbeat.born)
            != (known.target_id, known.born)
        )
        if (
            not restarted
            and known is not None
            and heartbeat.sequence <= known.sequence
        ):
            return self._ignored(heartbeat, "late")
        if restarted and known is not None:
            self.flow_by_id.clear()
        if restarted:
            self._witnessed = (
                known is not None or heartbeat.sequence <= FIRST_SEQUENCE
            )
        self.heartbeat = heartbeat
        self.heartbeat_at = now
        state = (
            messages.TargetState.DRAINING
            if heartbeat.draining
            else messages.TargetState.READY
        )
        if state == self.state and not restarted:
            return []
        self.state = state
        return [
            messages.Record(
                "target_state",
                {
                    "incarnation": self.incarnation,
                    "state": state.name.lower(),
                    "sequence": heartbeat.sequence,
                    "cold_ms": heartbeat.cold_ms,
                    "restarted": restarted,
                },
            ),
            *self.announce(now=now),
        ]

    def handle_departure(
        self, target_id: str, *, now: float
    ) -> list[messages.Action]:
        """Takes the target's word that it has ended."""
        known = self.heartbeat
        if known is not None and known.target_id != target_id:
            return []
        return self._down("departed", now=now)

    def handle_unreachable(self, *, now: float) -> list[messages.Action]:
        """Notes that nothing listens at the target's address."""
        if self.state == messages.TargetState.DOWN:
            return []
        return self._down("unreachable", now=now)

    def _down(self, reason: str, *, now: float) -> list[messages.Action]:
        self.state = messages.TargetState.DOWN
        self.flow_by_id.clear()
        self._witnessed = True
        return [
            messages.Record(
                "target_down",
                {"incarnation": self.incarnation, "reason": reason},
            ),
            *self.announce(now=now),
            *self._hand_back_unanswered(),
        ]

    def _hand_back_unanswered(self) -> list[messages.Action]:
        """Hands back what a target that has ended left without answer."""
        since, self._unanswered_since = self._unanswered_since, None
        deliveries = list(self._deliveries.values())
        self._deliveries.clear()
        if since is None:
            return []
        actions: list[messages.Action] = []
        for delivery in deliveries:
            if delivery.at < since:
                continue
            if delivery.segment.opening:
                actions += self._refuse(
                    delivery.balancer,
                    delivery.segment,
                    messages.Refusal.DOWN,
                )
            else:
                actions.append(
                    messages.Send(
                        delivery.balancer,
                        messages.FlowMissing(delivery.segment.data),
                    )
                )
        return actions

    def _probe(self, now: float) -> list[messages.Action]:
        """Probes a target that should have answered by now."""
        if (
            self._unanswered_since is None
            or now - self._unanswered_since < TARGET_ANSWER_S
            or now - self._probed_at < PROBE_INTERVAL_S
            or self.state == messages.TargetState.DOWN
        ):
            return []
        self._probed_at = now
        return [messages.ProbeTarget()]

    def _ignored(
        self, heartbeat: heartbeats.Heartbeat, reason: str
    ) -> list[messages.Action]:
        self.count(f"heartbeat_{reason}")
        return [
            messages.Record(
                "heartbeat_ignored",
                {
                    "reason": reason,
                    "target": heartbeat.target_id,
                    "service": heartbeat.service,
                    "sequence": heartbeat.sequence,
                    "born": heartbeat.born,
                },
            )
        ]

    def cold_ms(self, now: float) -> int:
        """Returns for how many milliseconds the target stays cold."""
        if self.heartbeat is None:
            return 1  # unknown: as if cold
        elapsed_ms = 1000 * (now - self.heartbeat_at)
        return max(0, round(self.heartbeat.cold_ms - elapsed_ms))

    def describe(self, *, now: float) -> dict[str, object]:
        """Returns what this agent believes, for operators."""
        return {
            "service": self.service,
            "state": self.state.name.lower(),
            "incarnation": self.incarnation,
            "heartbeat_age_s": round(now - self.heartbeat_at, 2),
            "evacuated": self.evacuated,
            "revision": self.revision,
            "flows": len(self.flow_by_id),
            "waiting": len(self._waiting),
            "balancers": {
                address: round(now - balancer.heard_at, 2)
                for address, balancer in self.balancer_by_address.items()
            },
        }

    # Packets from balancers.

    def handle_forward(
        self,
        balancer: str,
        forward: messages.Forward,
        segment: segments.Segment,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Gives a client's packet to the target, or hands it back."""
        self.meet(balancer, now=now)
        flow = self.flow_by_id.get(segment.flow_id)
        if flow is not None:
            flow.balancer = balancer
            flow.used_at = now
            if segment.size and not flow.waiting:
                flow.waiting = True
                flow.asked_at = now
            if segment.ending:
                flow.client_ended = True
                self._changed = True
            actions: list[messages.Action] = [
                self._deliver(balancer, forward, segment, now=now)
            ]
            if forward.search and flow.accepted:
                actions.append(
                    messages.Send(balancer, messages.FlowHeld(segment.flow_id))
                )
            return actions
        if segment.opening:
            return self._admit(balancer, forward, segment, now=now)
        if (
            self._witnessed
            or forward.service != self.service
            or self.state == messages.TargetState.DOWN
        ):
            return [
                messages.Send(balancer, messages.FlowMissing(segment.data))
            ]
        # The target may hold flows from before this agent started; it returns
        # packets of those that it doesn't hold.
        return [self._deliver(balancer, forward, segment, now=now)]

    def _admit(
        self,
        balancer: str,
        forward: messages.Forward,
        segment: segments.Segment,
        *,
        now: float,
    ) -> list[messages.Action]:
        reason = self._refusal(forward)
        if reason is not None:
            return self._refuse(balancer, segment, reason)
        if self.cold_ms(now) > 0 and not self.cold.admit(now=now):
            return self._wait(balancer, forward, segment, now=now)
        self._waiting.pop(segment.flow_id, None)
        self.flow_by_id[segment.flow_id] = Flow(balancer, now)
        self._changed = True
        return [
            self._deliver(balancer, forward, segment, now=now),
            messages.Record(
                "opening_delivered",
                {
                    "flow": segments.flow_name(segment.flow_id),
                    "balancer": balancer,
                    "incarnation": self.incarnation,
                    "state": self.state.name.lower(),
                    "state_age_ms": round(1000 * (now - self.heartbeat_at)),
                },
            ),
        ]

    def _wait(
        self,
        balancer: str,
        forward: messages.Forward,
        segment: segments.Segment,
        *,
        now: float,
    ) -> list[messages.Action]:
        """Makes an opening wait for a cold target, if that can help."""
        if segment.flow_id in self._waiting:
            return []
        if len(self._waiting) >= self.cold.max_waiting:
            return self._refuse(balancer, segment, messages.Refusal.COLD)
        self._waiting[segment.flow_id] = WaitingOpening(
            balancer, forward, segment, now
        )
        self._changed = True
        return [
            messages.Send(balancer, messages.FlowHeld(segment.flow_id)),
            messages.Record(
                "opening_waits",
                {
                    "flow": segments.flow_name(segment.flow_id),
                    "balancer": balancer,
                    "waiting": len(self._waiting),
                    "cold_ms": self.cold_ms(now),
                    "per_second": self.cold.per_second,
                },
            ),
        ]

    def _admit_waiting(self, now: float) -> list[messages.Action]:
        """Admits openings that waited, and refuses those that can't be."""
        actions: list[messages.Action] = []
        for flow_id, opening in list(self._waiting.items()):
            refused = self._refusal(opening.forward) is not None
            may_pass = self.cold_ms(now) <= 0 or self.cold.room(now=now)
            late = now - opening.since > cold_limit.MAX_WAIT_S
            if not (refused or may_pass or late):
                break
            del self._waiting[flow_id]
            if late and not may_pass:
                actions += self._refuse(
                    opening.balancer, opening.segment, messages.Refusal.COLD
                )
            else:
                actions += self._admit(
                    opening.balancer,
                    opening.forward,
                    opening.segment,
                    now=now,
                )
        return actions

    def _refusal(self, forward: messages.Forward) -> messages.Refusal | None:
        if forward.service != self.service:
            return messages.Refusal.WRONG_SERVICE
        if self.state == messages.TargetState.DOWN:
            return messages.Refusal.DOWN
        if self.state == messages.TargetState.DRAINING:
            return messages.Refusal.DRAINING
        if self.evacuated:
            return messages.Refusal.EVACUATED
        return None

    def _refuse(
        self,
        balancer: str,
        segment: segments.Segment,
        reason: messages.Refusal,
    ) -> list[messages.Action]:
        self.count(f"refused_{reason.name.lower()}")
        return [
            messages.Send(balancer, messages.Refused(reason, segment.data)),
            messages.Record(
                "opening_returned",
                {
                    "flow": segments.flow_name(segment.flow_id),
                    "balancer": balancer,
                    "reason": reason.name.lower(),
                    "incarnation": self.incarnation,
                },
            ),
        ]

    def _deliver(
        self,
        balancer: str,
        forward: messages.Forward,
        segment: segments.Segment,
        *,
        now: float,
    ) -> messages.Deliver:
        self._tag = self._tag % 0xFFFFFFFF + 1
        self._deliveries[self._tag] = Delivery(balancer, forward, segment, now)
        if len(self._deliveries) > DELIVERIES_KEPT:
            self._deliveries.popitem(last=False)
        wants_answer = segment.opening or segment.size or forward.search
        if wants_answer and self._unanswered_since is None:
            self._unanswered_since = now
        return messages.Deliver(forward.data, self._tag)

    # Packets from the target.

    def handle_target_packet(
        self, segment: segments.Segment, *, now: float
    ) -> list[messages.Action]:
        """Sends a target's packet to the client, or hands it back."""
        self._unanswered_since = None
        if segment.returned:
            return self._returned(segment)
        flow = self.flow_by_id.get(segment.flow_id)
        if flow is None:
            flow = Flow("", now, accepted=not segment.accepting)
            if not segment.resetting:
                self.flow_by_id[segment.flow_id] = flow
        flow.used_at = now
        actions: list[messages.Action] = [
            messages.Answer(segment.flow_id, segment.data)
        ]
        if segment.size and flow.waiting:
            flow.waiting = False
            actions.append(
                messages.Observe(
                    "answer_time",
                    self.service,
                    segment.flow_id[2:],
                    now - flow.asked_at,
                )
            )
        if segment.accepting or not flow.accepted:
            flow.accepted = True
            if flow.balancer:
                actions.append(
                    messages.Send(
                        flow.balancer, messages.FlowHeld(segment.flow_id)
                    )
                )
        if segment.accepting and not flow.told:
            flow.told = True
            actions += self._tell_neighbours(segment.flow_id, flow)
        if segment.ending and not flow.target_ended:
            flow.target_ended = True
            self._changed = True
        if segment.resetting:
            self.flow_by_id.pop(segment.flow_id, None)
            self._changed = True
        return actions

    def _returned(self, segment: segments.Segment) -> list[messages.Action]:
        delivery = self._deliveries.pop(segment.tag, None)
        if delivery is None:
            self.count("returned_unknown")
            return []
        data = delivery.forward.data
        flow = self.flow_by_id.get(segment.flow_id)
        if segment.opening:
            self.flow_by_id.pop(segment.flow_id, None)
            return self._refuse(
                delivery.balancer, delivery.segment, messages.Refusal.FULL
            )
        if flow is not None:
            del self.flow_by_id[segment.flow_id]
            self._changed = True
        missing = messages.Send(delivery.balancer, messages.FlowMissing(data))
        if delivery.forward.search:
            return [missing]
        return [
            missing,
            messages.Record(
                "flow_not_held",
                {
                    "flow": segments.flow_name(segment.flow_id),
                    "balancer": delivery.balancer,
                    "incarnation": self.incarnation,
                },
            ),
        ]

    # Balancers.

    def handle_greeting(
        self, balancer: str, greeting: messages.Greeting, *, now: float
    ) -> list[messages.Action]:
        """Takes what a balancer says of this agent's data centre."""
        self.meet(balancer, now=now)
        actions: list[messages.Action] = []
        self.registration_missing = not greeting.registered
        self.relay.hear(balancer, greeting.revision, now=now)
        self.agents = max(1, greeting.agents)
        self.balancer_by_address[balancer].data_centre = greeting.data_centre
        if greeting.wants_flows:
            actions += self._list_flows(balancer)
        if greeting.revision >= self.revision and greeting.revision:
            self.revision = greeting.revision
            self.cold.per_second = greeting.cold_per_second
            if greeting.evacuated != self.evacuated:
                self.evacuated = greeting.evacuated
                actions.append(
                    messages.Record(
                        "evacuation",
                        {
                            "evacuated": greeting.evacuated,
                            "balancer": balancer,
                            "revision": greeting.revision,
                        },
                    )
                )
        return actions

    def _list_flows(self, balancer: str) -> list[messages.Action]:
        """Tells a balancer the flows whose packets may come through it."""
        data_centre = self.balancer_by_address[balancer].data_centre
        flow_ids = [
            flow_id
            for flow_id, flow in self.flow_by_id.items()
            if flow.accepted and self._data_centre_of(flow) == data_centre
        ]
        return [
            messages.Send(
                balancer,
                messages.FlowsListed(
                    tuple(flow_ids[start : start + FLOWS_PER_MESSAGE])
                ),
            )
            for start in range(0, len(flow_ids), FLOWS_PER_MESSAGE)
        ]

    def _data_centre_of(self, flow: Flow) -> str:
        """Returns the data centre through which a flow's packets come."""
        balancer = self.balancer_by_address.get(flow.balancer)
        return balancer.data_centre if balancer else ""

    def _tell_neighbours(
        self, flow_id: segments.FlowId, flow: Flow
    ) -> list[messages.Action]:
        """Tells the other balancers of a data centre of a new flow.

        Routers may hand the flow's next packet to any of them.
        """
        data_centre = self._data_centre_of(flow)
        return [
            messages.Send(address, messages.FlowsListed((flow_id,)))
            for address, balancer in self.balancer_by_address.items()
            if balancer.data_centre == data_centre and address != flow.balancer
        ]

    def meet(self, balancer: str, *, now: float) -> None:
        """Notes a balancer, or a sign of life of one."""
        known = self.balancer_by_address.get(balancer)
        if known is None:
            self.balancer_by_address[balancer] = KnownBalancer(now)
            self._announced_at = float("-inf")
        else:
            known.heard_at = now

    def announce(self, *, now: float) -> list[messages.Action]:
        """Returns announcements to all balancers."""
        self._announced_at = now
        self._changed = False
        self._sequence += 1
        balancers: tuple[str, ...] = ()
        if self._sequence % (ANNOUNCEMENTS_WITHOUT_BALANCERS + 1) == 1:
            balancers = tuple(self.balancer_by_address)
        flows = [flow for flow in self.flow_by_id.values() if not flow.closing]
        announcement = messages.Announcement(
            node=self.node,
            service=self.service,
            data_centre=self.data_centre,
            run=self.run,
            sequence=self._sequence,
            incarnation=self.incarnation,
            state=self.state,
            slots=self.heartbeat.slots if self.heartbeat else 1,
            flows=len(flows) + len(self._waiting),
            work=sum(flow.waiting for flow in flows),
            cold_ms=self.cold_ms(now),
            balancers=balancers,
            revision=self.relay.revision,
        )
        return [
            messages.Send(balancer, announcement)
            for balancer in self.balancer_by_address
        ]

    def tick(self, *, now: float) -> list[messages.Action]:
        """Does what is due; to be called every `TICK_S`."""
        if now - self._swept_at >= FLOW_SWEEP_S:
            self._swept_at = now
            self._sweep(now)
        actions = self._probe(now)
        if self._waiting:
            actions += self._admit_waiting(now)
        if self._changed:
            gap_s = pacing.announcement_gap_s(self.agents)
        else:
            gap_s = pacing.announcement_interval_s(self.agents)
        if now - self._announced_at >= gap_s:
            actions += self.announce(now=now)
        return actions

    def _sweep(self, now: float) -> None:
        for flow_id, flow in list(self.flow_by_id.items()):
            if flow.closing:
                limit_s = FLOW_CLOSING_S
            elif not flow.accepted:
                limit_s = FLOW_OPENING_S
            else:
                limit_s = FLOW_IDLE_S
            if now - flow.used_at > limit_s:
                del self.flow_by_id[flow_id]
                self._changed = True
        for address, balancer in list(self.balancer_by_address.items()):
            if (
                now - balancer.heard_at > BALANCER_FORGOTTEN_S
                and address not in self.seeds
            ):
                del self.balancer_by_address[address]

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1
