"""A balancer's table of the other balancers, its peers."""

import attrs

from godwitturn.core import store_position
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import targets

STATUS_INTERVAL_S = 0.5
# Interval at which a status lists all agents instead of only new ones.
AGENT_LIST_INTERVAL_S = 5.0
# Time for which an agent counts as listed; two lists may be lost. Peers don't
# report agents that they have removed.
AGENT_LIST_EXPIRY_S = 3 * AGENT_LIST_INTERVAL_S
# Silence after which a peer is removed, unless it is a seed.
PEER_EXPIRY_S = 5.0


@attrs.define(eq=False, repr=False)
class Peer:
    """Another balancer.

    Attributes:
        last_seen_at: When its last status arrived, or when it was added.
        data_centre: Its data centre, empty until its first status.
        ready: Whether routers should send packets to it.
        listed_at_by_agent: When it last listed each agent.
        silent_agents: Agents that it has reported as silent.
        agents_sent_at: When all agents were last listed to it.
    """

    last_seen_at: float
    data_centre: str = ""
    ready: bool = False
    listed_at_by_agent: dict[str, float] = attrs.field(factory=dict)
    silent_agents: frozenset[str] = frozenset()
    agents_sent_at: float = float("-inf")


@attrs.define(eq=False, repr=False)
class PeerTable:
    """Peers by address.

    Attributes:
        address: Address of the balancer that owns the table.
        seeds: Balancers named in the settings; never removed.
        peer_by_address: The peers.
    """

    address: str
    seeds: frozenset[str] = frozenset()
    peer_by_address: dict[str, Peer] = attrs.field(factory=dict)
    _reported_at_by_agent: dict[str, float] = attrs.field(factory=dict)

    def add(self, address: str, *, now: float) -> None:
        """Adds a peer, unless it is present or is this balancer itself."""
        if address != self.address:
            self.peer_by_address.setdefault(address, Peer(now))

    def handle_status(
        self, address: str, status: messages.PeerStatus, *, now: float
    ) -> None:
        """Applies a status from another balancer."""
        self.add(address, now=now)
        peer = self.peer_by_address.get(address)
        if peer is not None:
            peer.last_seen_at = now
            peer.data_centre = status.data_centre
            peer.ready = status.ready
            peer.listed_at_by_agent.update(dict.fromkeys(status.agents, now))
            peer.silent_agents = frozenset(status.silent_agents)

    def find_relay(
        self,
        agent: str,
        excluded: frozenset[str],
        *,
        now: float,
    ) -> str | None:
        """Returns a balancer that can reach an agent, None if there is none.

        Args:
            agent: Address of the agent.
            excluded: Data centres to leave out, because the link between them
                is probably cut.
            now: Seconds.
        """
        for address, peer in self.peer_by_address.items():
            if (
                peer.data_centre
                and peer.data_centre not in excluded
                and now - peer.listed_at_by_agent.get(agent, float("-inf"))
                < AGENT_LIST_EXPIRY_S
                and agent not in peer.silent_agents
                and now - peer.last_seen_at < targets.LOST_S
            ):
                return address
        return None

    def half_ready(self, data_centre: str, *, now: float) -> bool:
        """Returns whether half of a data centre's balancers are ready.

        This balancer counts as one that isn't ready. If its data centre has no
        other balancers, the result is True, because routers then use those of
        another data centre.

        Args:
            data_centre: Data centre of this balancer.
            now: Seconds.
        """
        local_peers = [
            peer
            for peer in self.peer_by_address.values()
            if peer.data_centre == data_centre
        ]
        ready = sum(
            peer.ready and now - peer.last_seen_at < 2 * STATUS_INTERVAL_S
            for peer in local_peers
        )
        return not local_peers or 2 * ready >= len(local_peers) + 1

    def statuses(
        self,
        target_table: targets.TargetTable,
        *,
        position: store_position.StorePosition,
        data_centre: str,
        ready: bool,
        now: float,
    ) -> list[messages.Action]:
        """Returns statuses that are due, and removes silent peers.

        All peers get one, and agents with an outdated copy of the documents.
        """
        reachable = [
            target
            for target in target_table.target_by_address.values()
            if not target.is_lost(now)
        ]
        all_agents = tuple(target.address for target in reachable)
        new_agents = tuple(
            target.address
            for target in reachable
            if now - target.added_at < 2 * STATUS_INTERVAL_S
        )
        silent = tuple(
            target.address
            for target in target_table.target_by_address.values()
            if target.silent_s(now) > targets.SILENT_S
        )
        actions: list[messages.Action] = []
        for address, peer in list(self.peer_by_address.items()):
            silent_s = now - peer.last_seen_at
            if silent_s > PEER_EXPIRY_S and address not in self.seeds:
                del self.peer_by_address[address]
                continue
            sends_all = now - peer.agents_sent_at >= AGENT_LIST_INTERVAL_S
            if sends_all:
                peer.agents_sent_at = now
            agents = all_agents if sends_all else new_agents
            status = messages.PeerStatus(
                position, agents, data_centre, ready, silent
            )
            actions.append(messages.Send(address, status))
        actions += [
            messages.Send(
                agent,
                messages.PeerStatus(position, (), data_centre, ready, ()),
            )
            for agent in self._outdated_agents(reachable, position, now=now)
        ]
        return actions

    def _outdated_agents(
        self,
        reachable: list[targets.Target],
        position: store_position.StorePosition,
        *,
        now: float,
    ) -> list[str]:
        """Returns agents to notify that their copy of documents is outdated.

        Hellos carry the position of the state that was read, which also grows
        without changes of the documents. An agent is notified again after
        `AGENT_LIST_INTERVAL_S`, because fetches of a fleet are spread over
        some time.
        """
        reported_at_by_agent = {
            target.address: self._reported_at_by_agent.get(
                target.address, float("-inf")
            )
            for target in reachable
            if target.announcement is not None
            and target.announcement.position < position
        }
        due = [
            agent
            for agent, reported_at in reported_at_by_agent.items()
            if now - reported_at >= AGENT_LIST_INTERVAL_S
        ]
        reported_at_by_agent.update(dict.fromkeys(due, now))
        self._reported_at_by_agent = reported_at_by_agent
        return due
