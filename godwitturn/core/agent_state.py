"""The state of one agent: its tables, limits and conditions."""

import collections
from typing import Any

import attrs

from godwitturn.core import actions
from godwitturn.core import admission
from godwitturn.core import events
from godwitturn.core import flows
from godwitturn.core import identity
from godwitturn.core import policy as policies
from godwitturn.core import requests
from godwitturn.core import slow_start
from godwitturn.core import target_stats
from godwitturn.core import verdict as verdicts

# Minimum time between two log events of one id, since anyone can send
# datagrams that cause log events.
LOG_INTERVAL_SECONDS = 1.0
# Open flows may send new requests for this time after a drain started.
DRAIN_GRACE_SECONDS = 3.0
# New flows are refused for this time after the last failure of the target. It
# must be limited, because a target without traffic never answers.
TARGET_UNAVAILABLE_SECONDS = 3.0
# An answer within this time outweighs a failed health check, since the health
# endpoint may lag or misreport.
ANSWER_VALID_SECONDS = 5.0
_MAX_FLOWS = (1 << 32) - 1
_MAX_REQUESTS = (1 << 16) - 1


@attrs.define(eq=False)
class Drain:
    """Why the agent drains, and since when.

    Attributes:
        stop_requested_at: When a stop was requested, in seconds, or None.
        target_draining: Whether the health endpoint reports a drain.
        started_at: When the drain began, in seconds; None if the agent does
            not drain.
    """

    stop_requested_at: float | None = None
    target_draining: bool = False
    started_at: float | None = None

    @property
    def stopping(self) -> bool:
        """Whether a stop was requested."""
        return self.stop_requested_at is not None

    @property
    def active(self) -> bool:
        """Whether new flows are refused."""
        return self.started_at is not None

    @property
    def reason(self) -> verdicts.Reason:
        """The reason that refusals give while the agent drains."""
        if self.stopping:
            return verdicts.Reason.STOPPING
        return verdicts.Reason.DRAINING

    def is_past_grace(self, now: float) -> bool:
        """Returns whether new requests are refused as well as new flows."""
        return (
            self.started_at is not None
            and now - self.started_at >= DRAIN_GRACE_SECONDS
        )


@attrs.define(eq=False)
class AgentState:
    """Tables and conditions of one agent, and the actions to be returned.

    Attributes:
        member_id: Identity of the target.
        service_id: Service of the target.
        token_issuer: Seals and verifies routing tokens.
        policy: The policy in force.
        flow_table: Flows and reservations.
        admission: Slots and queue of the target.
        ramp: Slow start of the target.
        request_table: Memory limits and timers of requests.
        drain: Drain state.
        fenced: Whether the view of the configuration is unconfirmed.
        target_unavailable_until: New flows are refused until this time, in
            seconds, after a lost connection or a failed health check.
        target_answered_at: When the target last answered, in seconds, or None.
        counters: Counts of drops, refusals and other outcomes, by name.
        newest_version: Highest configuration version seen and reported.
        flows_to_notify: Flows of this round whose callers are still to be
            notified to move.
        next_notice_round_at: When the next round of notices is due, in
            seconds, or None.
        stop_reported: Whether `Stopped` was returned.
    """

    member_id: identity.MemberId
    service_id: int
    token_issuer: flows.TokenIssuer
    policy: policies.AgentPolicy
    flow_table: flows.FlowTable
    admission: admission.Admission
    ramp: slow_start.SlowStart
    request_table: requests.RequestTable = attrs.field(
        factory=requests.RequestTable
    )
    drain: Drain = attrs.field(factory=Drain)
    fenced: bool = True
    target_unavailable_until: float | None = None
    target_answered_at: float | None = None
    counters: "collections.Counter[str]" = attrs.field(
        factory=collections.Counter
    )
    newest_version: int = 0
    flows_to_notify: list[flows.Flow] = attrs.field(factory=list)
    next_notice_round_at: float | None = None
    stop_reported: bool = False
    _actions: list[actions.AgentAction] = attrs.field(factory=list)
    _logged_at_by_id: dict[events.EventId, float] = attrs.field(factory=dict)

    def add_action(self, action: actions.AgentAction) -> None:
        """Adds an action for the daemon."""
        self._actions.append(action)

    def pop_actions(self) -> list[actions.AgentAction]:
        """Removes and returns the collected actions."""
        popped = self._actions
        self._actions = []
        return popped

    def log(self, event_id: events.EventId, **fields: Any) -> None:
        """Writes a log event."""
        self.add_action(actions.Emit(events.LogEvent(event_id, fields)))

    def log_limited(
        self, event_id: events.EventId, now: float, **fields: Any
    ) -> None:
        """Writes a log event at a limited rate.

        Used for events that other hosts can cause at will.
        """
        last = self._logged_at_by_id.get(event_id)
        if last is None or now - last >= LOG_INTERVAL_SECONDS:
            self._logged_at_by_id[event_id] = now
            self.log(event_id, **fields)

    def observe(
        self, histogram: str, request_class: str, seconds: float
    ) -> None:
        """Records a duration in a histogram."""
        value_us = int(max(0.0, seconds) * 1e6)
        self.add_action(
            actions.Observe(
                histogram, self.service_id, request_class, value_us
            )
        )

    def observe_count(
        self, histogram: str, request_class: str, count: int
    ) -> None:
        """Records a count in a histogram."""
        self.add_action(
            actions.Observe(histogram, self.service_id, request_class, count)
        )

    def record_target_failure(self, now: float) -> None:
        """Records a lost connection or a failed health check of the target.

        A connection is lost if the target refuses or resets it.
        """
        self.target_unavailable_until = now + TARGET_UNAVAILABLE_SECONDS

    def record_target_answer(self, now: float) -> None:
        """Records that the target answered."""
        self.target_unavailable_until = None
        self.target_answered_at = now

    def answered_recently(self, now: float) -> bool:
        """Returns whether an answer outweighs a failed health check."""
        return (
            self.target_answered_at is not None
            and now - self.target_answered_at < ANSWER_VALID_SECONDS
        )

    def is_target_unavailable(self, now: float) -> bool:
        """Returns whether new flows are refused after a target failure."""
        until = self.target_unavailable_until
        return until is not None and now < until

    def closed_reason(self) -> verdicts.Reason:
        """Returns why the policy forbids all traffic, or `NONE`."""
        if not self.policy.approved:
            return verdicts.Reason.NOT_APPROVED
        if self.policy.data_centre_out:
            return verdicts.Reason.DATA_CENTRE_OUT
        return verdicts.Reason.NONE

    def load(self, now: float) -> target_stats.Load:
        """Returns the load report that balancers place flows by."""
        closed = self.closed_reason() != verdicts.Reason.NONE
        fraction = self.ramp.fraction(now)
        return target_stats.Load(
            min(_MAX_FLOWS, len(self.flow_table.flow_by_id)),
            0 if closed else self.admission.flow_limit(now),
            min(_MAX_REQUESTS, len(self.admission.running)),
            min(_MAX_REQUESTS, len(self.admission.queue)),
            int(target_stats.FULL_CAPACITY * fraction),
            self.drain.active,
        )
