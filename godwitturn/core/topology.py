"""Choice of the readers of the store and of each balancer's upstreams."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from godwitturn.core import identity
from godwitturn.core import rendezvous

READERS_PER_DATA_CENTRE = 2
# Balancers below a reader form a tree of this width, so that a push costs
# each balancer the same at any size of the fleet. With 8, the first four
# copies of a 60 KB document used up a reader's burst and the rest took over
# 30 s; with 3, all balancers share the load.
TREE_FAN_OUT = 3
# Number of balancers that this one sends pushes of changes and anti-entropy
# to, so that it has few connections.
GOSSIP_PEERS = 8

Ranking = tuple[identity.MemberId, ...]


@attrs.define
class Topology:
    """Rankings of the live balancers, recomputed when these change.

    Attributes:
        own_id: The daemon's member id.
        ranking_by_data_centre: Live balancers, best rank first.
        gossip_peers: Balancers for pushes of changes and anti-entropy; each
            daemon has its own ranking for them.
    """

    own_id: identity.MemberId
    ranking_by_data_centre: dict[str, Ranking] = attrs.field(factory=dict)
    gossip_peers: Ranking = ()
    _data_centre_by_live: Mapping[identity.MemberId, str] = attrs.field(
        factory=dict
    )

    def update(
        self, data_centre_by_live: Mapping[identity.MemberId, str]
    ) -> None:
        """Sets the live balancers and the data centres they run in."""
        if data_centre_by_live == self._data_centre_by_live:
            return
        self._data_centre_by_live = data_centre_by_live
        by_data_centre: dict[str, list[identity.MemberId]] = {}
        for member_id, data_centre in data_centre_by_live.items():
            by_data_centre.setdefault(data_centre, []).append(member_id)
        self.ranking_by_data_centre = {
            data_centre: tuple(rendezvous.rank_members("reader", member_ids))
            for data_centre, member_ids in sorted(by_data_centre.items())
        }
        other_balancers = [i for i in data_centre_by_live if i != self.own_id]
        ranking = rendezvous.rank_members(
            f"near|{self.own_id}", other_balancers
        )
        self.gossip_peers = tuple(ranking[:GOSSIP_PEERS])

    def reads_store(self, data_centre: str) -> bool:
        """Returns whether this daemon is one of a data centre's readers."""
        ranking = self.ranking_by_data_centre.get(data_centre, ())
        return self.own_id in ranking[:READERS_PER_DATA_CENTRE]

    def upstreams(
        self, data_centre: str, avoided: Collection[identity.MemberId]
    ) -> list[identity.MemberId]:
        """Returns the balancers that this balancer attaches to.

        One is in its own data centre and one in another. A reader attaches to
        one in every other data centre, so that the majority that agrees on an
        outage of the store does not depend on relays.

        Args:
            data_centre: The balancer's own data centre.
            avoided: Balancers that are not returned.
        """
        own = self.ranking_by_data_centre.get(data_centre, ())
        rank = own.index(self.own_id) if self.own_id in own else len(own)
        chosen: list[identity.MemberId] = []
        above = (
            own[:READERS_PER_DATA_CENTRE]
            if rank < READERS_PER_DATA_CENTRE
            else own[:rank]
        )
        _append_first(chosen, _parents(above, rank), avoided, self.own_id)
        other_data_centres = [
            other
            for other in self.ranking_by_data_centre
            if other != data_centre
        ]
        other_data_centres.sort(
            key=lambda name: rendezvous.score(name, self.own_id)
        )
        wanted_count = len(chosen) + (
            len(other_data_centres) if rank < READERS_PER_DATA_CENTRE else 1
        )
        for name in other_data_centres:
            if len(chosen) < wanted_count:
                ranking = self.ranking_by_data_centre[name]
                width = max(READERS_PER_DATA_CENTRE, rank)
                parents = _parents(ranking[:width], rank)
                _append_first(chosen, parents, avoided, self.own_id)
        return chosen


def _parents(above: Ranking, rank: int) -> Iterable[identity.MemberId]:
    """Yields the parent of a rank in the tree, then its alternatives.

    Args:
        above: Balancers that may be the parent, best rank first.
        rank: Rank of the balancer that attaches to one of them.
    """
    if not above:
        return
    parent = (
        (rank - READERS_PER_DATA_CENTRE) // TREE_FAN_OUT
        if rank >= READERS_PER_DATA_CENTRE
        else rank
    )
    start = parent % len(above)
    yield from above[start:]
    yield from above[:start]


def _append_first(
    chosen: list[identity.MemberId],
    candidates: Iterable[identity.MemberId],
    avoided: Collection[identity.MemberId],
    own_id: identity.MemberId,
) -> None:
    for candidate in candidates:
        if candidate not in avoided and candidate != own_id:
            chosen.append(candidate)
            return
