"""The balancers that an agent tells of its target, and when."""

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import segments

# Announcements that leave out the list of balancers, after one with it.
ANNOUNCEMENTS_WITHOUT_BALANCERS = 8
# Flows told in one datagram; 12 bytes each.
FLOWS_PER_MESSAGE = 90
BALANCER_EXPIRY_S = 5.0


@attrs.define(eq=False, repr=False)
class Subscriber:
    """A balancer that the agent knows.

    Attributes:
        heard_at: When it was last heard.
        data_centre: Its data centre, empty until it says so.
    """

    last_seen_at: float
    data_centre: str = ""


@attrs.define(eq=False, repr=False)
class SubscriberTable:
    """Balancers by address, and the pace of announcements.

    Attributes:
        seeds: Balancers named in the settings, told even while silent.
        balancer_by_address: The balancers.
        agents: Agents that announce to the same balancers.
        changed: Whether something is to be told before the interval ends.
        sequence: Announcements so far.
    """

    seeds: frozenset[str] = frozenset()
    balancer_by_address: dict[str, Subscriber] = attrs.field(factory=dict)
    agents: int = 1
    update_pending: bool = False
    sequence: int = 0
    _announced_at: float = float("-inf")

    def record_seen(self, address: str, *, now: float) -> None:
        """Notes a balancer, or a sign of life of one."""
        subscriber = self.balancer_by_address.get(address)
        if subscriber is None:
            self.balancer_by_address[address] = Subscriber(now)
            self._announced_at = float("-inf")
        else:
            subscriber.last_seen_at = now

    def handle_hello(
        self, address: str, greeting: messages.Hello, *, now: float
    ) -> None:
        """Notes a balancer's greeting."""
        self.record_seen(address, now=now)
        self.balancer_by_address[address].data_centre = greeting.data_centre
        self.agents = max(1, greeting.agents)

    def announcement_due(self, *, now: float) -> bool:
        """Returns whether an announcement is due."""
        if self.update_pending:
            gap_s = pacing.announcement_gap_s(self.agents)
        else:
            gap_s = pacing.announcement_interval_s(self.agents)
        return now - self._announced_at >= gap_s

    def next_announcement(self, *, now: float) -> tuple[int, tuple[str, ...]]:
        """Returns number and list of balancers of the next announcement."""
        self._announced_at = now
        self.update_pending = False
        self.sequence += 1
        if self.sequence % (ANNOUNCEMENTS_WITHOUT_BALANCERS + 1) == 1:
            return self.sequence, tuple(self.balancer_by_address)
        return self.sequence, ()

    def data_centre_of(self, address: str) -> str:
        """Returns a balancer's data centre, empty if it isn't known."""
        balancer = self.balancer_by_address.get(address)
        return balancer.data_centre if balancer else ""

    def notify_peers(
        self, address: str, flow_id: segments.FlowId
    ) -> list[messages.Action]:
        """Tells the other balancers of a data centre of a new flow.

        Routers may hand the flow's next packet to any of them.

        Args:
            address: The balancer that forwarded the opening.
            flow_id: The flow.
        """
        data_centre = self.data_centre_of(address)
        return [
            messages.Send(other, messages.FlowsListed((flow_id,)))
            for other, balancer in self.balancer_by_address.items()
            if balancer.data_centre == data_centre and other != address
        ]

    def send_flows(
        self, address: str, flow_ids: list[segments.FlowId]
    ) -> list[messages.Action]:
        """Tells one balancer of many flows."""
        return [
            messages.Send(
                address,
                messages.FlowsListed(
                    tuple(flow_ids[start : start + FLOWS_PER_MESSAGE])
                ),
            )
            for start in range(0, len(flow_ids), FLOWS_PER_MESSAGE)
        ]

    def remove_silent(self, *, now: float) -> None:
        """Forgets balancers that have been silent, but for the seeds."""
        for address, balancer in list(self.balancer_by_address.items()):
            silent_s = now - balancer.last_seen_at
            if silent_s > BALANCER_EXPIRY_S and address not in self.seeds:
                del self.balancer_by_address[address]
