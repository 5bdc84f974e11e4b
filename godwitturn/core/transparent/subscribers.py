"""Balancers that receive an agent's announcements, and their schedule."""

import attrs

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import segments

# Number of announcements without the list of balancers between two that carry
# the list.
ANNOUNCEMENTS_WITHOUT_BALANCERS = 8
# Flows listed in one datagram, at 21 bytes each.
FLOWS_PER_MESSAGE = 50
# Silence after which a balancer is removed, unless it is a seed.
BALANCER_EXPIRY_S = 5.0


@attrs.define(eq=False, repr=False)
class Subscriber:
    """A balancer that receives announcements.

    Attributes:
        last_seen_at: When its last message arrived; before that, when the
            agent added it as a seed.
        data_centre: Its data centre, empty until its first hello.
        version: Version of the messages that it can decode.
    """

    last_seen_at: float
    data_centre: str = ""
    version: int = 1

    @property
    def supports_waits(self) -> bool:
        """Whether it can decode messages with waits."""
        return self.version >= messages.WAITS_VERSION

    @property
    def supports_openings(self) -> bool:
        """Whether it can decode the openings of reported flows."""
        return self.version >= messages.OPENINGS_VERSION


@attrs.define(eq=False, repr=False)
class SubscriberTable:
    """Balancers by address, and the schedule of announcements.

    Attributes:
        seeds: Balancers named in the settings; they aren't removed when
            silent.
        balancer_by_address: The balancers.
        agents: Number of agents that announce to the same balancers.
        update_pending: Whether a change is to be announced before the regular
            interval ends.
        sequence: Number of announcements so far.
    """

    seeds: frozenset[str] = frozenset()
    balancer_by_address: dict[str, Subscriber] = attrs.field(factory=dict)
    agents: int = 1
    update_pending: bool = False
    sequence: int = 0
    _announced_at: float = float("-inf")

    def record_seen(self, address: str, *, now: float) -> None:
        """Updates when a balancer was last seen, and adds it if it is new.

        An announcement is due at once after a balancer is added.
        """
        subscriber = self.balancer_by_address.get(address)
        if subscriber is None:
            self.balancer_by_address[address] = Subscriber(now)
            self._announced_at = float("-inf")
        else:
            subscriber.last_seen_at = now

    def handle_hello(
        self, address: str, hello: messages.Hello, *, now: float
    ) -> None:
        """Applies a balancer's hello."""
        self.record_seen(address, now=now)
        subscriber = self.balancer_by_address[address]
        subscriber.data_centre = hello.data_centre
        if hello.flows_requested:
            # The balancer has just started, perhaps in another version.
            subscriber.version = hello.version
        self.agents = max(1, hello.agents)

    def handle_capabilities(
        self, address: str, capabilities: messages.Capabilities, *, now: float
    ) -> None:
        """Applies a balancer's report of the messages that it can decode."""
        self.record_seen(address, now=now)
        subscriber = self.balancer_by_address[address]
        if subscriber.version != capabilities.version:
            subscriber.version = capabilities.version
            self.update_pending = True

    def supports_waits(self, address: str) -> bool:
        """Returns whether a balancer can decode messages with waits."""
        balancer = self.balancer_by_address.get(address)
        return balancer is not None and balancer.supports_waits

    def supports_openings(self, address: str) -> bool:
        """Returns whether a balancer can decode openings of flows."""
        balancer = self.balancer_by_address.get(address)
        return balancer is not None and balancer.supports_openings

    def announcement_due(self, *, now: float) -> bool:
        """Returns whether an announcement is due."""
        if self.update_pending:
            gap_s = pacing.announcement_gap_s(self.agents)
        else:
            gap_s = pacing.announcement_interval_s(self.agents)
        return now - self._announced_at >= gap_s

    def next_announcement(self, *, now: float) -> tuple[int, tuple[str, ...]]:
        """Starts an announcement.

        Returns:
            The announcement's sequence number, and the balancers to list in
            it; none in most announcements.
        """
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
        self,
        address: str,
        flow_id: segments.FlowId,
        opening: messages.FlowOpening,
        *,
        wait_ms: int,
    ) -> list[messages.Action]:
        """Notifies a data centre's other balancers of a flow.

        Routers may send the flow's next packet to any of them.

        Args:
            address: A balancer that already knows of the flow. Only the
                others of its data centre are notified.
            flow_id: The flow.
            opening: Its opening.
            wait_ms: Expected wait at the target in milliseconds.
        """
        data_centre = self.data_centre_of(address)
        return [
            messages.Send(
                peer,
                messages.FlowsListed(
                    (flow_id,),
                    wait_ms if balancer.supports_waits else None,
                    (opening,) if balancer.supports_openings else (),
                ),
            )
            for peer, balancer in self.balancer_by_address.items()
            if balancer.data_centre == data_centre and peer != address
        ]

    def send_flows(
        self,
        address: str,
        opening_by_id: dict[segments.FlowId, messages.FlowOpening],
    ) -> list[messages.Action]:
        """Lists flows to one balancer, in as many messages as needed."""
        flow_ids = tuple(opening_by_id)
        openings = tuple(opening_by_id.values())
        if not self.supports_openings(address):
            openings = ()
        return [
            messages.Send(
                address,
                messages.FlowsListed(
                    flow_ids[start : start + FLOWS_PER_MESSAGE],
                    openings=openings[start : start + FLOWS_PER_MESSAGE],
                ),
            )
            for start in range(0, len(flow_ids), FLOWS_PER_MESSAGE)
        ]

    def remove_silent(self, *, now: float) -> None:
        """Removes balancers that have been silent too long, except seeds."""
        for address, balancer in list(self.balancer_by_address.items()):
            silent_s = now - balancer.last_seen_at
            if silent_s > BALANCER_EXPIRY_S and address not in self.seeds:
                del self.balancer_by_address[address]
