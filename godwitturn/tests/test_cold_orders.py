"""Tests of the limit of cold targets over all orders of what an agent learns.

An agent learns of its target from heartbeats, and of the limit from hellos of
balancers, of which some don't know the target's service yet, or know another
one. None of the orders may lift the limit.
"""

import itertools
import random
import unittest

import attrs

from godwitturn.core import store_position
from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import peers
from godwitturn.core.transparent import routes
from godwitturn.standins import transparent_simulation as simulation

AGENT = "10.1.1.1"
STEP_S = 0.02
HELLO_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_S = 1.2
HEARTBEAT_RETRY_S = 0.2
COLD_S = 2.0
RUN_S = 4.0
OVERSHOOT, SLACK = 1.5, 5
POSITION = store_position.StorePosition(0, 7)


def make_balancer(
    address: str, services: dict[str, float], *, service: str
) -> balancers.Balancer:
    """Returns a balancer with a configuration.

    Args:
        address: Its address.
        services: Cold limits by the names of the configuration's services.
        service: Service that it takes the agent's target for, empty if it
            knows the agent only from another balancer.
    """
    balancer = balancers.Balancer(
        address=address,
        data_centre="a",
        started_at=0.0,
        peers=peers.PeerTable(address),
        fetcher=document_exchange.DocumentFetcher(address),
    )
    configuration = routes.Configuration(
        version=1,
        route_by_endpoint={},
        service_by_name={
            name: routes.Service(name, 2000, limit)
            for name, limit in services.items()
        },
        idle_timeout_s=15.0,
    )
    balancer.configure(configuration, position=POSITION)
    balancer.close_data_centres(frozenset(), position=POSITION)
    if service:
        balancer.register(AGENT, service, "a", now=0.0)
    else:
        status = messages.PeerStatus(POSITION, (AGENT,), "a", True, ())
        balancer.handle_message("10.0.1.9", status, now=0.0)
    return balancer


def make_balancers(cold_per_s: float) -> dict[str, balancers.Balancer]:
    """Returns balancers by what they know of the agent's service."""
    known = {"core": cold_per_s, "desk": 0.0}
    return {
        "known": make_balancer("10.0.1.1", known, service="core"),
        "no entry": make_balancer("10.0.1.2", known, service=""),
        "former owner": make_balancer("10.0.1.3", known, service="desk"),
        "older configuration": make_balancer(
            "10.0.1.4", {"desk": 0.0}, service="core"
        ),
    }


@attrs.define(eq=False, repr=False)
class Run:
    """An agent and a target that start beside balancers under load.

    Attributes:
        cold_per_s: Limit of the agent's service.
        start_by_name: When the agent, the target and the hellos of each
            balancer start, in seconds.
        agent_restarts: Ends and next starts of the agent, in seconds.
        lost_share: Share of the hellos that are lost.
        source: Decides which ones are.
        delivered: When openings were delivered to the cold target.
    """

    cold_per_s: float
    start_by_name: dict[str, float]
    agent_restarts: tuple[tuple[float, float], ...] = ()
    lost_share: float = 0.0
    source: random.Random = attrs.field(factory=random.Random)
    delivered: list[float] = attrs.field(factory=list)

    def play(self) -> None:
        """Plays `RUN_S` seconds with an opening each `STEP_S`."""
        balancer_by_name = make_balancers(self.cold_per_s)
        hello_at = {
            name: self.start_by_name[name] for name in balancer_by_name
        }
        target_at = self.start_by_name["target"]
        heartbeat_at, sequence = target_at, 0
        agent: agents.Agent | None = None
        for step in range(round(RUN_S / STEP_S)):
            now = step * STEP_S
            agent = self._update_agent(agent, now)
            if now >= heartbeat_at:
                sequence += 1
                heartbeat_at = now + (
                    HEARTBEAT_INTERVAL_S if agent else HEARTBEAT_RETRY_S
                )
                if agent:
                    remaining_s = max(0.0, target_at + COLD_S - now)
                    heartbeat = simulation.make_heartbeat(
                        sequence, slots=4, cold_ms=round(1000 * remaining_s)
                    )
                    agent.handle_heartbeat(heartbeat, now=now)
            for name, balancer in balancer_by_name.items():
                if now < hello_at[name]:
                    continue
                hello_at[name] = now + HELLO_INTERVAL_S
                hello = balancer.make_hello(AGENT, now=now).message
                assert isinstance(hello, messages.Hello)
                if agent and self.source.random() >= self.lost_share:
                    agent.handle_hello(balancer.address, hello, now=now)
            if agent:
                self._open(agent, step, now, target_at)

    def _update_agent(
        self, agent: agents.Agent | None, now: float
    ) -> agents.Agent | None:
        """Returns the agent that runs now, a new one after each start."""
        runs = now >= self.start_by_name["agent"] and not any(
            end <= now < start for end, start in self.agent_restarts
        )
        if not runs:
            return None
        return agent or simulation.make_agent(
            cold_per_second=None, started_at=now
        )

    def _open(
        self, agent: agents.Agent, step: int, now: float, target_at: float
    ) -> None:
        """Offers an opening to the agent and notes what is delivered."""
        actions = simulation.offer_opening(
            agent, 1024 + step, balancer="10.0.1.1", now=now
        )
        actions += agent.tick(now=now)
        if target_at <= now < target_at + COLD_S:
            self.delivered += [
                now
                for action in actions
                if isinstance(action, messages.Deliver)
            ]

    def most_in_a_second(self) -> int:
        """Returns the most openings delivered within any second."""
        return max(
            (
                sum(start <= at < start + 1.0 for at in self.delivered)
                for start in self.delivered
            ),
            default=0,
        )


class TestOrders(unittest.TestCase):
    """No order of what an agent learns may lift the limit."""

    def assert_bound(self, run: Run) -> None:
        run.play()
        self.assertLessEqual(
            run.most_in_a_second(),
            run.cold_per_s * OVERSHOOT + SLACK,
            run.start_by_name,
        )

    # Guards against a hello that states the limit of another service, or none,
    # for the agent's target: cold targets got every opening (review case 5).
    def test_no_order_of_starts_and_hellos_lifts_the_limit(self) -> None:
        names = ("agent", "target", *make_balancers(4.0))
        for number, order in enumerate(itertools.permutations(names)):
            start_by_name = {
                name: 0.2 * place for place, name in enumerate(order)
            }
            with self.subTest(order):
                self.assert_bound(
                    Run((4.0, 1.0, 4.0, 40.0)[number % 4], start_by_name)
                )

    # Guards against a restart of the agent, or a lost hello, that lifts the
    # limit.
    def test_no_restart_or_loss_lifts_the_limit(self) -> None:
        names = ("agent", "target", *make_balancers(4.0))
        for seed in range(300):
            source = random.Random(seed)
            end = source.uniform(0.0, 3.0)
            with self.subTest(seed=seed):
                self.assert_bound(
                    Run(
                        source.choice((1.0, 4.0, 40.0)),
                        {name: source.uniform(0.0, 1.0) for name in names},
                        ((end, end + source.uniform(0.1, 1.0)),),
                        lost_share=source.choice((0.0, 0.3)),
                        source=source,
                    )
                )
