"""An agent's record of its target's long flows, kept in the platform's store.

The record serves two cases:

If a VM loses power, the flows of its target are lost. Their clients would
notice only with the next request, and a request that may run only once would
be lost. The agent that starts on the VM again reads the record. Once a
heartbeat of a later start of the target arrives, the agent resets the recorded
flows while they are idle.

If all daemons are restarted beside targets that keep running, each balancer
would query all agents for each flow, and agents would deliver packets to their
targets to find out whether the flow is open there. Instead, agents send
balancers a list of the recorded flows.
"""

from collections.abc import Callable
from collections.abc import MutableMapping

import attrs

from godwitturn.core.transparent import agent_flows
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import target_watch

# Age from which a flow is recorded. Flows with a single request have ended by
# then.
MIN_AGE_S = 2.0
# Minimum time between writes of a record. Flows opened since the last write
# can't be reset after a power loss, but more frequent writes would load the
# store more than those flows justify.
MIN_INTERVAL_S = 4.0
# Writes of records a second by all agents together. The store handles a few
# hundred writes a second.
RECORDS_PER_SECOND = 10.0
# Number of flows in a record. At 17 bytes each, a record stays below 64 KiB.
MAX_FLOWS = 3800
# A record is rewritten once the sequence number of one of its flows has grown
# by more than this. Clients accept a reset whose sequence number is up to
# 76,800 from theirs; this is half of that.
MAX_SEQUENCE_GROWTH = 38_400
# Failed reads after which the store counts as unavailable. By the time it is
# back, clients have noticed the loss of their flows.
READ_ATTEMPTS = 5
# Time between two attempts to read the record.
READ_INTERVAL_S = 0.5
_SEQUENCE_MODULUS = 1 << 32


@attrs.define(frozen=True, repr=False)
class RecordedFlow:
    """A flow in a record.

    Attributes:
        acknowledged: Sequence number that the client last acknowledged.
        data_centre: Data centre of the balancers that forward its packets.
    """

    acknowledged: int
    data_centre: str


@attrs.define(frozen=True, repr=False)
class FlowRecord:
    """Flows that were open at a target.

    Attributes:
        service: Service of the target.
        target_id: Id of the target.
        born: When it started, as given in its heartbeats.
        flow_by_id: The flows.
    """

    service: str
    target_id: str
    born: int
    flow_by_id: dict[segments.FlowId, RecordedFlow]

    @property
    def incarnation(self) -> str:
        """Identity of the target's start."""
        return heartbeats.incarnation(self.target_id, self.born)


def _sequence_growth(later: int, earlier: int) -> int:
    """Returns by how much a sequence number has grown, modulo 2**32."""
    return (later - earlier) % _SEQUENCE_MODULUS


@attrs.define(eq=False, repr=False)
class FlowRecorder:
    """Schedules writes of the record, and applies an earlier run's record.

    Attributes:
        failed_reads: Failed attempts to read the earlier record.
        read_finished: Whether the earlier record was read, or the attempts to
            read it are used up.
    """

    failed_reads: int = 0
    read_finished: bool = False
    _earlier_record: FlowRecord | None = None
    _written_record: FlowRecord | None = None
    _lease: int = 0
    _due_at: float = 0.0

    def record_read_failure(self) -> bool:
        """Counts a failed read of the earlier record.

        Returns:
            Whether to read again after `READ_INTERVAL_S`.
        """
        self.failed_reads += 1
        self.read_finished = self.failed_reads >= READ_ATTEMPTS
        return not self.read_finished

    def apply_earlier(self, record: FlowRecord | None) -> None:
        """Sets the record of an earlier run, None if there is none."""
        self.read_finished = True
        self._earlier_record = record

    def adopt(
        self,
        target: target_watch.TargetWatch,
        flow_by_id: MutableMapping[segments.FlowId, agent_flows.Flow],
        *,
        now: float,
    ) -> int:
        """Adds the flows of the earlier record to the tracked flows.

        Args:
            target: State of the target. If the agent already tracks all
                flows of the target, none are added.
            flow_by_id: Tracked flows.
            now: Seconds.

        Returns:
            How many flows were added.
        """
        record = self._earlier_record
        if record is None or record.service != target.service:
            return 0
        if target.tracks_all_flows or target.is_down:
            return 0
        added = 0
        for flow_id, recorded in record.flow_by_id.items():
            if flow_id not in flow_by_id:
                added += 1
                flow_by_id[flow_id] = agent_flows.Flow(
                    "",
                    now,
                    now,
                    accepted=True,
                    answered=True,
                    acknowledged=recorded.acknowledged,
                    recorded_data_centre=recorded.data_centre,
                )
        return added

    def resets(
        self,
        heartbeat: heartbeats.Heartbeat | None,
        flow_by_id: MutableMapping[segments.FlowId, agent_flows.Flow],
    ) -> list[messages.Action]:
        """Returns resets of recorded flows whose target has ended.

        A heartbeat of an earlier start may arrive late, so only a heartbeat
        of a later start than the recorded one shows that the recorded target
        has ended.

        Args:
            heartbeat: The target's newest heartbeat, None before the first.
            flow_by_id: Tracked flows. If the recorded target has ended, flows
                known only from the record are removed.
        """
        record = self._earlier_record
        if record is None or heartbeat is None:
            return []
        same_start = heartbeat.incarnation == record.incarnation
        if same_start or heartbeat.service != record.service:
            self._earlier_record = None
            return []
        if heartbeat.born <= record.born:
            return []
        self._earlier_record = None
        acknowledged_by_id = {}
        for flow_id, recorded in record.flow_by_id.items():
            flow = flow_by_id.get(flow_id)
            if flow is None or flow.recorded_data_centre:
                acknowledged_by_id[flow_id] = recorded.acknowledged
                flow_by_id.pop(flow_id, None)
        actions: list[messages.Action] = [
            messages.LogEvent(
                "recorded_flows_reset",
                {
                    "flows": len(acknowledged_by_id),
                    "earlier": record.incarnation,
                    "incarnation": heartbeat.incarnation,
                },
            )
        ]
        actions += [
            messages.Reset(flow_id, acknowledged)
            for flow_id, acknowledged in acknowledged_by_id.items()
        ]
        return actions

    def next_record(
        self,
        heartbeat: heartbeats.Heartbeat | None,
        flow_by_id: MutableMapping[segments.FlowId, agent_flows.Flow],
        data_centre_of: Callable[[agent_flows.Flow], str],
        *,
        lease: int,
        agents: int,
        now: float,
    ) -> FlowRecord | None:
        """Returns the record to write now, None if none is due.

        Args:
            heartbeat: The target's newest heartbeat, None before the first.
            flow_by_id: Tracked flows.
            data_centre_of: Returns the data centre of the balancers that
                forward a flow's packets.
            lease: Lease under which a record is written now.
            agents: Number of agents in the fleet.
            now: Seconds.
        """
        if not self.read_finished or heartbeat is None or now < self._due_at:
            return None
        self._due_at = now + max(MIN_INTERVAL_S, agents / RECORDS_PER_SECOND)
        long_flow_ids = sorted(
            flow_id
            for flow_id, flow in flow_by_id.items()
            if flow.answered
            and not flow.closing
            and not flow.superseded
            and now - flow.opened_at >= MIN_AGE_S
            and data_centre_of(flow)
        )
        record = FlowRecord(
            heartbeat.service,
            heartbeat.target_id,
            heartbeat.born,
            {
                flow_id: RecordedFlow(
                    flow_by_id[flow_id].acknowledged,
                    data_centre_of(flow_by_id[flow_id]),
                )
                for flow_id in long_flow_ids[:MAX_FLOWS]
            },
        )
        if self.differs_from_written(record, lease=lease):
            return record
        return None

    def differs_from_written(self, record: FlowRecord, *, lease: int) -> bool:
        """Returns whether a record differs enough from the last one written.

        If so, it has to be written. A record under an earlier lease is gone.
        """
        written = self._written_record if lease == self._lease else None
        if written is None:
            return bool(record.flow_by_id)
        if written.incarnation != record.incarnation:
            return True
        written_by_id = written.flow_by_id
        return written_by_id.keys() != record.flow_by_id.keys() or any(
            _sequence_growth(
                flow.acknowledged, written_by_id[flow_id].acknowledged
            )
            > MAX_SEQUENCE_GROWTH
            for flow_id, flow in record.flow_by_id.items()
        )

    def note_written(self, record: FlowRecord, *, lease: int) -> None:
        """Sets the record that was last written, and its lease."""
        self._written_record = record
        self._lease = lease
