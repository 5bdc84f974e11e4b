"""State that a balancer derives from its routing table."""

import math

import attrs

from godwitturn.core import addresses
from godwitturn.core import identity
from godwitturn.core import placement
from godwitturn.core import routing

# Interval at which the weights of returned data centres are raised.
RAMP_STEP_SECONDS = 0.5
# Time after which a target that the table still does not list counts as not
# approved. Longer than the 3 s after which a balancer with a lagging view
# fences itself.
UNKNOWN_GRACE_SECONDS = 5.0
# Bounds the memory for targets that tokens name but no table lists.
MAX_UNKNOWN_TARGETS = 4096


@attrs.define
class Routes:
    """The tables that forwarding decisions are based on.

    Attributes:
        table: The routing table in force.
        target_by_id: Its targets, without addresses reported as wrong.
        pair_key_by_id: MAC key of each target.
        ranking_by_service: Eligible targets, prepared for placement.
        misaddressed_by_id: Targets whose address another agent reported as
            its own, as they were then; kept until a newer announcement.
        unknown_since_by_id: When a token first named a target that the table
            does not list, in seconds; minus infinity if a table listed it.
        returned_at_by_data_centre: When a data centre was taken back in, in
            seconds, while its weight rises.
        ranked_at: When the rankings were built, in seconds.
    """

    table: routing.RoutingTable = routing.EMPTY_TABLE
    target_by_id: dict[identity.MemberId, routing.Target] = attrs.field(
        factory=dict
    )
    pair_key_by_id: dict[identity.MemberId, bytes] = attrs.field(
        factory=dict, repr=False
    )
    ranking_by_service: dict[int, placement.Ranking] = attrs.field(
        factory=dict
    )
    misaddressed_by_id: dict[identity.MemberId, routing.Target] = attrs.field(
        factory=dict
    )
    unknown_since_by_id: dict[identity.MemberId, float] = attrs.field(
        factory=dict
    )
    returned_at_by_data_centre: dict[str, float] = attrs.field(factory=dict)
    ranked_at: float = 0.0

    def set_table(self, table: routing.RoutingTable, now: float) -> None:
        """Replaces the routing table."""
        out = _data_centres_out(table)
        for data_centre in _data_centres_out(self.table) - out:
            self.returned_at_by_data_centre[data_centre] = now
        removed = self.table.target_by_id.keys() - table.target_by_id.keys()
        for member_id in sorted(removed):
            self._record_unknown(member_id, -math.inf)
        for member_id in self.unknown_since_by_id.keys() & (
            table.target_by_id.keys()
        ):
            del self.unknown_since_by_id[member_id]
        self.table = table
        self._rebuild(now)

    def is_withdrawn(self, member_id: identity.MemberId, now: float) -> bool:
        """Returns whether a target outside the table is not approved.

        A target that no table has listed may be so new that this balancer lags
        behind the one that opened the flow. It counts as approved for a while,
        so that the caller repeats its packet, possibly at another balancer.
        """
        since = self.unknown_since_by_id.get(member_id)
        if since is None:
            self._record_unknown(member_id, now)
            return False
        return now - since >= UNKNOWN_GRACE_SECONDS

    def _record_unknown(
        self, member_id: identity.MemberId, since: float
    ) -> None:
        unknown = self.unknown_since_by_id
        if len(unknown) >= MAX_UNKNOWN_TARGETS:
            del unknown[next(iter(unknown))]
        unknown[member_id] = since

    def record_wrong_address(
        self,
        sender: identity.MemberId,
        address: addresses.Address,
        now: float,
    ) -> int:
        """Removes an address from all targets other than the sender.

        Args:
            sender: The member that received packets for another member.
            address: Source of its report. Only targets announced at this
                address are changed, so that the sender can't divert packets
                from others.
            now: Seconds of a monotonic clock.

        Returns:
            Number of targets whose address was removed.
        """
        host = routing.ip_number(address.host)
        wrong = [
            target
            for target in self.target_by_id.values()
            if target.address is not None
            and target.address.port == address.port
            and routing.ip_number(target.address.host) == host
            and target.member_id != sender
        ]
        if wrong:
            self.misaddressed_by_id.update((t.member_id, t) for t in wrong)
            self._rebuild(now)
        return len(wrong)

    def update_weights(self, now: float) -> None:
        """Raises the weights of returned data centres when a step is due."""
        if (
            self.returned_at_by_data_centre
            and now - self.ranked_at >= RAMP_STEP_SECONDS
        ):
            self._rebuild_rankings(now)

    def _rebuild(self, now: float) -> None:
        self.target_by_id = dict(self.table.target_by_id)
        for member_id, misaddressed in list(self.misaddressed_by_id.items()):
            target = self.target_by_id.get(member_id)
            if (
                target is not None
                and target.address == misaddressed.address
                and target.announcement_order
                == misaddressed.announcement_order
            ):
                self.target_by_id[member_id] = attrs.evolve(
                    target, address=None
                )
            else:
                del self.misaddressed_by_id[member_id]
        self.pair_key_by_id = {
            member_id: target.pair_key
            for member_id, target in self.target_by_id.items()
        }
        self._rebuild_rankings(now)

    def _rebuild_rankings(self, now: float) -> None:
        share_by_data_centre = {}
        for data_centre, returned_at in list(
            self.returned_at_by_data_centre.items()
        ):
            share = placement.return_share(
                now - returned_at, self.table.return_seconds
            )
            if share < 1.0:
                share_by_data_centre[data_centre] = share
            else:
                del self.returned_at_by_data_centre[data_centre]
        self.ranking_by_service = {
            service_id: placement.Ranking.from_targets(
                tuple(
                    target
                    for target in targets
                    if target.member_id not in self.misaddressed_by_id
                ),
                share_by_data_centre,
                self.table.balancer_count,
            )
            for service_id, targets in self.table.eligible_by_service.items()
        }
        self.ranked_at = now


def _data_centres_out(table: routing.RoutingTable) -> set[str]:
    return {
        target.data_centre
        for target in table.target_by_id.values()
        if target.data_centre_out
    }
