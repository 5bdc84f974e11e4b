"""Choice of the targets that an opening is offered to."""

from collections.abc import Mapping
import functools
import hashlib
import math

import attrs

from godwitturn.core import identity
from godwitturn.core import routing
from godwitturn.core import target_stats as stats

MAX_CANDIDATES = 3
# Targets looked at before skipped ones are taken after all; bounds the cost
# of an opening while many targets are skipped.
MAX_EXAMINED_TARGETS = 8
# Share of the weight with which a returned data centre starts; above zero so
# that its first openings bring evidence.
RETURN_START_SHARE = 0.05

_MASK = (1 << 64) - 1
_LOG_RANGE = 64 * math.log(2)


@functools.lru_cache(maxsize=16384)
def _multiplier_of(member_id: identity.MemberId) -> int:
    digest = hashlib.blake2b(
        member_id.to_bytes(identity.MEMBER_ID_BYTES, "big"),
        digest_size=8,
        person=b"placement",
    )
    return int.from_bytes(digest.digest(), "big") | 1


@attrs.define
class Ranking:
    """Eligible targets of one service, prepared for rendezvous hashing.

    The hash of a flow at a target is the low 64 bits of the flow's hash times
    an odd number of the target. For uniform flow hashes the products of any
    few targets are independent unless a small integer combination of their
    numbers vanishes modulo 2**64, which does not happen by chance. Each costs
    one multiplication.

    Attributes:
        targets: The targets.
        multipliers: An odd 64-bit number for each.
        inverse_weights: 1 / weight for each.
        equal: Whether all weights are equal.
        balancer_count: Count of balancers that place flows on them.
    """

    targets: tuple[routing.Target, ...]
    multipliers: tuple[int, ...]
    inverse_weights: tuple[float, ...]
    equal_weights: bool
    balancer_count: int = 1

    @classmethod
    def from_targets(
        cls,
        targets: tuple[routing.Target, ...],
        share_by_data_centre: Mapping[str, float],
        balancer_count: int = 1,
    ) -> "Ranking":
        """Prepares some targets.

        Args:
            targets: The eligible targets of one service.
            share_by_data_centre: Share of the weight for each data centre
                that came back a short time ago.
            balancer_count: Count of balancers that place flows on them.
        """
        placed = []
        inverse_weights = []
        for target in targets:
            share = share_by_data_centre.get(target.data_centre, 1.0)
            weight = target.weight * share
            if weight > 0:
                placed.append(target)
                inverse_weights.append(1.0 / weight)
        return cls(
            tuple(placed),
            tuple(_multiplier_of(target.member_id) for target in placed),
            tuple(inverse_weights),
            len(set(inverse_weights)) <= 1,
            balancer_count,
        )

    def scores(self, flow_hash: int) -> list[float]:
        """Returns a score for each target; the lowest is first in order."""
        if self.equal_weights:
            return [flow_hash * number & _MASK for number in self.multipliers]
        log = math.log
        return [
            (_LOG_RANGE - log(flow_hash * number & _MASK | 1)) * inverse
            for number, inverse in zip(
                self.multipliers, self.inverse_weights, strict=True
            )
        ]


def return_share(elapsed: float, return_seconds: float) -> float:
    """Returns the share of the weight of a data centre that came back.

    Args:
        elapsed: Seconds since it came back.
        return_seconds: Seconds until it has its full weight.
    """
    if elapsed >= return_seconds:
        return 1.0
    return max(RETURN_START_SHARE, elapsed / return_seconds)


def choose_targets(
    ranking: Ranking,
    flow_hash: int,
    stats_by_id: Mapping[identity.MemberId, stats.TargetStats],
    now: float,
) -> list[routing.Target]:
    """Returns up to three targets to offer an opening to, best first.

    Draining targets are left out. Targets that returned openings or went
    silent are taken only if there are no others. The less loaded of the first
    two is tried first.

    Args:
        ranking: The eligible targets of the service.
        flow_hash: Keyed 64-bit hash of the flow id.
        stats_by_id: Recent evidence.
        now: Seconds of a monotonic clock.
    """
    targets = ranking.targets
    scores = ranking.scores(flow_hash)
    chosen: list[int] = []
    passed_over: list[int] = []
    for _ in range(min(len(targets), MAX_EXAMINED_TARGETS)):
        index = scores.index(min(scores))
        scores[index] = math.inf
        entry = stats_by_id.get(targets[index].member_id)
        if entry is None or not _is_passed_over(entry, flow_hash, now):
            chosen.append(index)
            if len(chosen) == MAX_CANDIDATES:
                break
        elif not entry.is_draining(now):
            passed_over.append(index)
    if not chosen:
        chosen = passed_over[:MAX_CANDIDATES]
    if len(chosen) >= 2 and _is_second_better(
        ranking, chosen, stats_by_id, now
    ):
        chosen[0], chosen[1] = chosen[1], chosen[0]
    return [targets[index] for index in chosen]


def _is_passed_over(
    entry: stats.TargetStats, flow_hash: int, now: float
) -> bool:
    if entry.is_skipped(now) or entry.is_draining(now):
        return True
    load = entry.load
    if load is None or load.capacity >= stats.FULL_CAPACITY:
        return False
    # The same flow meets the same decision when its opening is repeated.
    return flow_hash % stats.FULL_CAPACITY >= entry.capacity(now)


def _is_second_better(
    ranking: Ranking,
    chosen: list[int],
    stats_by_id: Mapping[identity.MemberId, stats.TargetStats],
    now: float,
) -> bool:
    index, other_index = chosen[0], chosen[1]
    first = stats_by_id.get(ranking.targets[index].member_id)
    if first is None:
        return False  # nothing was sent there and nothing is known
    second = stats_by_id.get(
        ranking.targets[other_index].member_id, stats.NO_STATS
    )
    return (
        stats.excess_load(
            first,
            second,
            ranking.inverse_weights[index],
            ranking.inverse_weights[other_index],
            now,
            ranking.balancer_count,
        )
        > 0
    )
