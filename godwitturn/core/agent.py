"""The agent of one target, which is the authority on its flows and load."""

import collections

from godwitturn.core import actions
from godwitturn.core import admission
from godwitturn.core import agent_state
from godwitturn.core import flow_handling
from godwitturn.core import flows
from godwitturn.core import identity
from godwitturn.core import lifecycle
from godwitturn.core import policy as policies
from godwitturn.core import request_handling
from godwitturn.core import slow_start
from godwitturn.core import target_stats
from godwitturn.core import token as tokens


class Agent:
    """Admits flows and requests to one target and records their outcomes.

    Every `StartRequest` must be followed by exactly one `TargetAnswered` or
    `TargetFailed` of the same key, also after a `CancelRequest`, because the
    request occupies its slot until then.
    """

    def __init__(
        self,
        *,
        member_id: identity.MemberId,
        service_id: int,
        token_keys: list[tokens.TokenKey],
        incarnation: int,
        policy: policies.AgentPolicy = policies.CLOSED,
        idle_seconds: float = 60.0,
    ) -> None:
        """Creates a fenced agent.

        Args:
            member_id: Identity of the target.
            service_id: Service of the target.
            token_keys: Keys of that service only. The first seals tokens; all
                of them are accepted.
            incarnation: 32-bit random number drawn at this start.
            policy: The policy in force until a `PolicyChanged` event.
            idle_seconds: A flow is removed after this time without packets.

        Raises:
            ValueError: There is no token key, or a key of another service.
        """
        services = {key.service_id for key in token_keys}
        if services != {service_id}:
            raise ValueError(
                f"token keys are of services {sorted(services)}, "
                f"expected only {service_id}"
            )
        ramp = slow_start.SlowStart(policy)
        self._state = agent_state.AgentState(
            member_id,
            service_id,
            flows.TokenIssuer(member_id, service_id, incarnation, token_keys),
            policy,
            flows.FlowTable(idle_seconds),
            admission.Admission(policy, ramp),
            ramp,
        )

    @property
    def counters(self) -> "collections.Counter[str]":
        """Counts of drops, refusals and other outcomes, by name."""
        return self._state.counters

    @property
    def draining(self) -> bool:
        """Whether new flows are refused, for the announcement."""
        return self._state.drain.active

    def load(self, now: float) -> target_stats.Load:
        """Returns the target's load, for the announcement and metrics."""
        return self._state.load(now)

    def handle(
        self, event: actions.AgentEvent, *, now: float
    ) -> list[actions.AgentAction]:
        """Returns the actions that follow from an event.

        Args:
            event: What happened.
            now: Seconds of a monotonic clock.
        """
        state = self._state
        match event:
            case actions.BalancerDatagram():
                flow_handling.receive_datagram(state, event, now)
            case actions.TargetAnswered():
                request_handling.handle_target_answer(state, event, now)
            case actions.TargetFailed():
                request_handling.handle_target_failure(state, event, now)
            case actions.Tick():
                lifecycle.tick(state, now)
            case actions.HealthCheckCompleted():
                lifecycle.apply_health_check(state, event, now)
            case actions.PolicyChanged():
                lifecycle.apply_policy(state, event.policy, now)
            case actions.FenceChanged():
                lifecycle.set_fenced(state, event.fenced, now)
            case actions.StopRequested():
                lifecycle.request_stop(state, now)
        request_handling.start_queued(state, now)
        return state.pop_actions()
