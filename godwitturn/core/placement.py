"""Choice of the targets that an opening is sent to."""

from collections.abc import Mapping
import functools
import hashlib
import math

import attrs

from godwitturn.core import identity
from godwitturn.core import routing
from godwitturn.core import target_stats as stats

MAX_CANDIDATES = 3
# Bounds the cost of an opening while many targets are skipped. If all examined
# targets are skipped, the opening is sent to skipped ones.
MAX_EXAMINED_TARGETS = 8
# Initial share of the weight of a data centre that came back. It is above zero
# so that its targets get openings and report their load.
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

    The hash of a flow at a target is the low 64 bits of the flow's hash
    multiplied by an odd multiplier of the target. For uniform flow hashes the
    products of any few targets are independent unless a small integer
    combination of their multipliers is 0 modulo 2**64, which does not happen
    by chance. Each product costs one multiplication.

    Attributes:
        targets: The targets.
        multipliers: An odd 64-bit number of each target.
        inverse_weights: 1 / weight of each target.
        equal_weights: Whether all weights are equal.
        balancer_count: Number of balancers that place flows on the targets.
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
        """Prepares the eligible targets of a service.

        Args:
            targets: The eligible targets of one service.
            share_by_data_centre: Share of the weight for each data centre
                that came back recently.
            balancer_count: Number of balancers that place flows on the
                targets.
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
        """Returns the score of each target; the lowest ranks first."""
        if self.equal_weights:
            return [
                flow_hash * multiplier & _MASK
                for multiplier in self.multipliers
            ]
        log = math.log
        return [
            (_LOG_RANGE - log(flow_hash * multiplier & _MASK | 1)) * inverse
            for multiplier, inverse in zip(
                self.multipliers, self.inverse_weights, strict=True
            )
        ]


def return_share(elapsed: float, return_seconds: float) -> float:
    """Returns the share of its weight that a returned data centre gets.

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
    """Returns up to three targets to send an opening to, best first.

    Draining targets are excluded. Targets that returned openings or are
    unresponsive are chosen only if there are no others. Of the first two, the
    one with less load is put first.

    Args:
        ranking: The eligible targets of the service.
        flow_hash: Keyed 64-bit hash of the flow id.
        stats_by_id: Statistics by member id of the target.
        now: Seconds of a monotonic clock.
    """
    targets = ranking.targets
    scores = ranking.scores(flow_hash)
    chosen: list[int] = []
    skipped: list[int] = []
    for _ in range(min(len(targets), MAX_EXAMINED_TARGETS)):
        index = scores.index(min(scores))
        scores[index] = math.inf
        target_stats = stats_by_id.get(targets[index].member_id)
        if target_stats is None or not _is_skipped(
            target_stats, flow_hash, now
        ):
            chosen.append(index)
            if len(chosen) == MAX_CANDIDATES:
                break
        elif not target_stats.is_draining(now):
            skipped.append(index)
    if not chosen:
        chosen = skipped[:MAX_CANDIDATES]
    if len(chosen) >= 2 and _is_second_better(
        ranking, chosen, stats_by_id, now
    ):
        chosen[0], chosen[1] = chosen[1], chosen[0]
    return [targets[index] for index in chosen]


def _is_skipped(
    target_stats: stats.TargetStats, flow_hash: int, now: float
) -> bool:
    if target_stats.is_skipped(now) or target_stats.is_draining(now):
        return True
    load = target_stats.load
    if load is None or load.capacity >= stats.FULL_CAPACITY:
        return False
    # Depends on the flow, so that a repeated opening gets the same decision.
    return flow_hash % stats.FULL_CAPACITY >= target_stats.capacity(now)


def _is_second_better(
    ranking: Ranking,
    chosen: list[int],
    stats_by_id: Mapping[identity.MemberId, stats.TargetStats],
    now: float,
) -> bool:
    index, other_index = chosen[0], chosen[1]
    first = stats_by_id.get(ranking.targets[index].member_id)
    if first is None:
        return False  # no openings were sent there and no load was reported
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
