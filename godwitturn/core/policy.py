"""The part of the configuration that applies to one agent."""

from collections.abc import Mapping

import attrs

from godwitturn.core import identity


@attrs.frozen
class AgentPolicy:
    """Limits and conditions that the configuration sets for one agent.

    Attributes:
        version: Configuration version that the policy was built from.
        approved: Whether every team approved the agent's target.
        data_centre_out: Whether operators took the data centre out.
        draining: Whether operators drain the target.
        connection_limit: Number of flows that may be open at the warm target.
        slots: Number of requests that the target runs at once.
        cold_fraction: Share of the warm limits at a cold start, 0 to 1.
        ramp_seconds: Seconds from a cold start to full limits.
        key_by_balancer: Pair keys by member id of the approved balancers.
    """

    version: int
    approved: bool
    data_centre_out: bool
    draining: bool
    connection_limit: int
    slots: int
    cold_fraction: float
    ramp_seconds: float
    key_by_balancer: Mapping[identity.MemberId, bytes] = attrs.field(
        repr=False
    )


CLOSED = AgentPolicy(0, False, False, False, 0, 1, 0.1, 30.0, {})
