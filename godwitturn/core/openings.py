"""Selection of targets for openings, and limits of further tries."""

import collections
import hashlib

import attrs

from godwitturn.core import placement
from godwitturn.core import retry_limits
from godwitturn.core import routes as balancer_routes
from godwitturn.core import routing
from godwitturn.core import target_stats as stats
from godwitturn.core import token as tokens
from godwitturn.protocol import encapsulation

MAX_TRIES = 3
# Number of different values of the jitter.
_JITTER_STEPS = 1009


@attrs.define
class TargetSelector:
    """Selects the targets that openings are sent to.

    It stores statistics of targets and services, and nothing about flows.

    Attributes:
        routes: Tables of the balancer.
        hasher_by_service: Keyed hash of flow ids for each service.
        counters: Number of datagrams by outcome.
        seed: Makes the jitter of retry delays differ between balancers.
        target_stats: Load reports and opening outcomes of targets.
        retry_budget: Limits further tries of returned openings.
        refusal_rate_by_service: Recent refusals of each service.
    """

    routes: balancer_routes.Routes
    hasher_by_service: "dict[int, hashlib.blake2b]"
    counters: collections.Counter[str]
    seed: int
    target_stats: stats.TargetStatsTable = attrs.field(
        factory=stats.TargetStatsTable
    )
    retry_budget: retry_limits.RetryBudget = attrs.field(
        factory=retry_limits.RetryBudget
    )
    refusal_rate_by_service: dict[int, retry_limits.RefusalRate] = attrs.field(
        factory=dict
    )

    def choose(
        self, service_id: int, flow_id: int, now: float
    ) -> list[routing.Target]:
        """Returns up to three targets for a new opening, best first."""
        ranking = self.routes.ranking_by_service.get(service_id)
        hasher = self.hasher_by_service.get(service_id)
        # Without the service's token key the balancer could not route packets
        # of the new flow.
        if ranking is None or hasher is None:
            return []
        keyed = hasher.copy()
        keyed.update(flow_id.to_bytes(8, "big"))
        chosen = placement.choose_targets(
            ranking,
            int.from_bytes(keyed.digest(), "big"),
            self.target_stats.stats_by_id,
            now,
        )
        if chosen:
            self._refusal_rate(service_id).record_opening()
            self.retry_budget.record_opening()
        return chosen

    def next_target(
        self,
        message: encapsulation.Message,
        service_id: int,
        now: float,
    ) -> routing.Target | None:
        """Returns the next target to try for a returned opening, or None.

        Args:
            message: The returned opening.
            service_id: Service of the opening. Candidates of other services
                are ignored, since the agent could have changed the list.
            now: Seconds of a monotonic clock.
        """
        if message.tries >= MAX_TRIES:
            return None
        for member_id in message.candidates:
            target = self.routes.target_by_id.get(member_id)
            if (
                target is not None
                and target.eligible
                and target.service_id == service_id
                and member_id != message.sender
                and not self.target_stats.is_avoided(member_id, now)
            ):
                if self.retry_budget.spend(now):
                    return target
                self.counters["retry_budget_empty"] += 1
                return None
        return None

    def retry_delay_ms(self, service_id: int, flow_id: int, now: float) -> int:
        """Records a refusal and returns its caller's delay in milliseconds."""
        refusal_rate = self._refusal_rate(service_id)
        refusal_rate.record_refusal(now)
        step = (flow_id ^ self.seed) % _JITTER_STEPS
        return refusal_rate.retry_delay_ms(step / _JITTER_STEPS)

    def _refusal_rate(self, service_id: int) -> retry_limits.RefusalRate:
        refusal_rate = self.refusal_rate_by_service.get(service_id)
        if refusal_rate is None:
            refusal_rate = retry_limits.RefusalRate()
            # Callers can send any service id, so only configured ones are
            # stored.
            if service_id in self.hasher_by_service:
                self.refusal_rate_by_service[service_id] = refusal_rate
        return refusal_rate


def flow_hashers(
    token_keys: list[tokens.TokenKey],
) -> "dict[int, hashlib.blake2b]":
    """Returns a keyed hash of flow ids for each service.

    The key prevents callers from choosing flow ids that all rank the same
    target first. It is the token key with the lowest number, which all
    balancers have; its rotation only changes where new flows are placed.
    """
    hashers = {}
    for key in sorted(token_keys, key=lambda key: -key.key_id):
        hashers[key.service_id] = hashlib.blake2b(
            key=key.secret, digest_size=8, person=b"placement"
        )
    return hashers
