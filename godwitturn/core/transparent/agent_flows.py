"""An agent's table of the flows at its target."""

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import opening_copies
from godwitturn.core.transparent import segments

# Time after its last packet at which a flow is removed: an open one, one that
# both ends have closed, and one that the target hasn't accepted. Closed flows
# are kept for a while to match late copies of their packets.
IDLE_TIMEOUT_S = 60.0
CLOSING_TIMEOUT_S = 3.0
OPENING_TIMEOUT_S = 3.0
# Requests take tens of milliseconds. A client that leaves within this time of
# its request isn't counted as a failure of the target.
GIVE_UP_THRESHOLD_S = 0.5
# Distance between the sequence numbers of two packets of a flow beyond which
# they are doubted. Clients have at most 16 packets of 1,200 bytes in flight;
# this is eight times as much.
SEQUENCE_WINDOW = 153_600
_MAX_SEQUENCE = (1 << 32) - 1
# Doubted packets are withheld for the first time, in which balancers find out
# whether the flow is open elsewhere, and delivered for the rest of the second.
DOUBT_HOLD_S = 0.1
DOUBT_INTERVAL_S = 1.0


@attrs.define(eq=False, repr=False)
class Flow:
    """A flow open at the target.

    Attributes:
        balancer: Balancer that last forwarded a packet of it, empty if none
            has.
        opened_at: When its opening arrived at the agent, or when the agent
            learned of it otherwise.
        used_at: When its last packet passed.
        accepted: Whether the target has accepted the opening.
        answered: Whether the target has sent data, so that the flow is open
            rather than at another target that accepted a copy of the
            opening.
        awaiting_answer: Whether a request has no answer yet.
        requested_at: When the first packet of that request arrived.
        requests: Number of requests so far.
        peers_notified: Whether the other balancers of a data centre were
            notified of the flow.
        client_ended: Whether the client has sent all its data.
        client_ended_at: When the first packet that ends its data arrived.
        target_ended: Whether the target has sent all its data.
        acknowledged: Sequence number that the client's last packet
            acknowledged.
        recorded_data_centre: Data centre of the balancers that forward its
            packets, if the flow is known only from an earlier run's record;
            empty once the target has sent a packet of it.
        sequence: Sequence number of its opening, None if unknown because the
            opening was delivered by an earlier run.
        former_sequence: The same of the port's former flow. Its copies may
            still arrive.
        superseded: Whether the client has used the port again for a new flow,
            which is not open here. The target may still send packets of this
            one.
        client_sequence: Sequence number of the client's last packet, None
            before the first.
        doubted_at: When packets were last doubted for the first time in
            `DOUBT_INTERVAL_S`.
    """

    balancer: str
    opened_at: float
    used_at: float
    accepted: bool = False
    answered: bool = False
    awaiting_answer: bool = False
    requested_at: float = 0.0
    requests: int = 0
    peers_notified: bool = False
    client_ended: bool = False
    client_ended_at: float = 0.0
    target_ended: bool = False
    acknowledged: int = 0
    recorded_data_centre: str = ""
    sequence: int | None = None
    former_sequence: int | None = None
    superseded: bool = False
    client_sequence: int | None = None
    doubted_at: float = float("-inf")

    @property
    def closing(self) -> bool:
        """Whether both ends have sent all their data."""
        return self.client_ended and self.target_ended

    def idle_timeout_s(self) -> float:
        """Returns the time without packets after which it is removed."""
        if self.closing:
            return CLOSING_TIMEOUT_S
        return IDLE_TIMEOUT_S if self.accepted else OPENING_TIMEOUT_S

    def is_opened_by(self, opening: segments.Segment, *, now: float) -> bool:
        """Returns whether an opening is this flow's own, or a copy of it.

        Without the number of this flow's opening, it counts as a new one, to
        which the limits of openings apply.

        Args:
            opening: An opening of the same addresses and ports.
            now: Seconds.
        """
        match opening_copies.relate(
            opening, self.sequence, self.opened_at, now=now
        ):
            case opening_copies.Relation.COPY:
                return True
            case opening_copies.Relation.UNCERTAIN:
                # The target takes it for a copy as well.
                return self.sequence is not None and not self.closing
        return False

    def expects(self, segment: segments.Segment) -> bool:
        """Returns whether a client's packet after the opening fits the flow.

        Its sequence number must be within `SEQUENCE_WINDOW` of the last one,
        and the client must not have left the flow.
        """
        if self.superseded:
            return False
        last = self.client_sequence
        if last is None:
            return True
        offset = (segment.sequence - last + SEQUENCE_WINDOW) & _MAX_SEQUENCE
        return offset <= 2 * SEQUENCE_WINDOW

    def record_doubt(self, *, now: float) -> bool:
        """Records a packet that is out of the window.

        It may be of this flow all the same, so packets aren't withheld for
        long if no other agent has a later flow of the port.

        Returns:
            Whether to withhold the packet.
        """
        if now - self.doubted_at >= DOUBT_INTERVAL_S:
            self.doubted_at = now
        return now - self.doubted_at < DOUBT_HOLD_S

    def opening(self, *, now: float) -> messages.FlowOpening:
        """Returns the opening that this flow stands for, as reported."""
        age_ms = max(0, round(1000 * (now - self.opened_at)))
        return messages.FlowOpening(self.sequence, age_ms)

    def handle_client_packet(
        self, segment: segments.Segment, balancer: str, *, now: float
    ) -> bool:
        """Updates the flow for a client's packet after the opening.

        Returns:
            Whether the packet ends the client's data, which may change the
            target's load.
        """
        self.balancer = balancer
        self.used_at = now
        self.acknowledged = segment.acknowledged
        self.client_sequence = segment.sequence
        if segment.size and not self.awaiting_answer:
            self.awaiting_answer = True
            self.requested_at = now
            self.requests += 1
        if segment.ending and not self.client_ended:
            self.client_ended = True
            self.client_ended_at = now
        return segment.ending

    def given_up(self, now: float) -> bool:
        """Returns whether the client left because no answer came.

        A client may also end its data right after the request and wait for
        the answer. Such a client hasn't given up.
        """
        return (
            self.awaiting_answer
            and self.client_ended
            and self.client_ended_at - self.requested_at > GIVE_UP_THRESHOLD_S
            and now - self.client_ended_at > GIVE_UP_THRESHOLD_S
        )

    def aborted_by_reset(self, now: float) -> bool:
        """Returns whether a reset by the target aborts a request.

        A target may reset data that arrives after either end has closed the
        flow. Such a reset isn't a failure, unless a client that closed its
        end has waited long for the answer.
        """
        if not self.awaiting_answer or self.target_ended:
            return False
        return (
            not self.client_ended
            or now - self.requested_at > GIVE_UP_THRESHOLD_S
        )


@attrs.define(frozen=True, repr=False)
class FlowLoad:
    """Load of a target by its flows.

    Attributes:
        flows: Number of open flows.
        work: Number of those that await an answer.
        mostly_short: Whether most flows end after their first response. Closed
            flows count while they are kept, for some seconds. Flows without a
            response don't count: clients give up many of them in an outage.
    """

    flows: int
    work: int
    mostly_short: bool


@attrs.define(eq=False, repr=False)
class FlowTable:
    """The flows that an agent tracks.

    Attributes:
        flow_by_id: The flows by id.
    """

    flow_by_id: dict[segments.FlowId, Flow] = attrs.field(factory=dict)

    def load(self) -> FlowLoad:
        """Returns the load, in one pass because each announcement needs it."""
        flows = work = short = long = 0
        for flow in self.flow_by_id.values():
            if not flow.closing:
                flows += 1
                work += flow.awaiting_answer
            if not flow.answered:
                continue
            if flow.requests <= 1 and (flow.client_ended or flow.target_ended):
                short += 1
            else:
                long += 1
        return FlowLoad(flows, work, short > long)

    def pop_given_up(self, *, now: float) -> list[segments.FlowId]:
        """Returns flows whose clients have given up, each flow once."""
        flow_ids = [
            flow_id
            for flow_id, flow in self.flow_by_id.items()
            if flow.given_up(now)
        ]
        for flow_id in flow_ids:
            self.flow_by_id[flow_id].awaiting_answer = False
        return flow_ids

    def sweep(self, *, now: float) -> bool:
        """Removes flows past their time-out; returns whether any were."""
        idle = [
            flow_id
            for flow_id, flow in self.flow_by_id.items()
            if now - flow.used_at > flow.idle_timeout_s()
        ]
        for flow_id in idle:
            del self.flow_by_id[flow_id]
        return bool(idle)
