"""A balancer's table of the other balancers."""

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import targets

INTERVAL_S = 0.5
# All agents are named to other balancers at this interval.
AGENT_LIST_INTERVAL_S = 5.0
FORGOTTEN_S = 5.0


@attrs.define(eq=False, repr=False)
class Peer:
    """Another balancer.

    Attributes:
        heard_at: When it was last heard, or heard of.
        data_centre: Its data centre, empty until it says so.
        ready: Whether it takes new packets from routers.
        agents: Agents that it has named.
        silent: Agents that it doesn't hear any more.
        listed_at: When all agents were last named to it.
    """

    heard_at: float
    data_centre: str = ""
    ready: bool = False
    agents: set[str] = attrs.field(factory=set)
    silent: frozenset[str] = frozenset()
    listed_at: float = float("-inf")


@attrs.define(eq=False, repr=False)
class PeerTable:
    """Balancers by address.

    Attributes:
        address: Address of the balancer itself.
        seeds: Balancers named in the settings; never forgotten.
        peer_by_address: The others.
    """

    address: str
    seeds: frozenset[str] = frozenset()
    peer_by_address: dict[str, Peer] = attrs.field(factory=dict)

    def add(self, address: str, *, now: float) -> None:
        """Notes that another balancer may exist."""
        if address != self.address:
            self.peer_by_address.setdefault(address, Peer(now))

    def hear(
        self, address: str, status: messages.PeerStatus, *, now: float
    ) -> None:
        """Takes what another balancer says of itself."""
        self.add(address, now=now)
        peer = self.peer_by_address.get(address)
        if peer is not None:
            peer.heard_at = now
            peer.data_centre = status.data_centre
            peer.ready = status.ready
            peer.agents.update(status.agents)
            peer.silent = frozenset(status.silent)

    def relay_to(
        self,
        agent: str,
        without: frozenset[str],
        *,
        now: float,
    ) -> str | None:
        """Returns a balancer that hears an agent, None if there is none.

        Args:
            agent: Address of the agent.
            without: Data centres to leave out, as the link between them is
                the one that is likely cut.
            now: Seconds.
        """
        for address, peer in self.peer_by_address.items():
            if (
                peer.data_centre
                and peer.data_centre not in without
                and agent in peer.agents
                and agent not in peer.silent
                and now - peer.heard_at < targets.LOST_S
            ):
                return address
        return None

    def half_ready(self, data_centre: str, *, now: float) -> bool:
        """Returns whether half of a data centre is ready without this one.

        This balancer counts among those of its data centre, as one that isn't
        ready. Without others, routers use those of another data centre.
        """
        neighbours = [
            peer
            for peer in self.peer_by_address.values()
            if peer.data_centre == data_centre
        ]
        ready = sum(
            peer.ready and now - peer.heard_at < 2 * INTERVAL_S
            for peer in neighbours
        )
        return not neighbours or 2 * ready >= len(neighbours) + 1

    def statuses(
        self,
        table: targets.TargetTable,
        *,
        revision: int,
        data_centre: str,
        ready: bool,
        now: float,
    ) -> list[messages.Action]:
        """Returns what to tell the others, and forgets the silent ones."""
        heard = [
            target
            for target in table.target_by_address.values()
            if target.silent_s(now) < targets.LOST_S
        ]
        all_agents = tuple(target.address for target in heard)
        new_agents = tuple(
            target.address
            for target in heard
            if now - target.added_at < 2 * INTERVAL_S
        )
        silent = tuple(
            target.address
            for target in table.target_by_address.values()
            if target.silent_s(now) > targets.SILENT_S
        )
        actions: list[messages.Action] = []
        for address, peer in list(self.peer_by_address.items()):
            silent_s = now - peer.heard_at
            if silent_s > FORGOTTEN_S and address not in self.seeds:
                del self.peer_by_address[address]
                continue
            listing = now - peer.listed_at >= AGENT_LIST_INTERVAL_S
            if listing:
                peer.listed_at = now
            agents = all_agents if listing else new_agents
            status = messages.PeerStatus(
                revision, agents, data_centre, ready, silent
            )
            actions.append(messages.Send(address, status))
        return actions
