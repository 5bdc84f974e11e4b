"""Property tests of a session with network faults and failing agents."""

import functools
import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from godwitturn.core import addresses
from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts
from godwitturn.standins import naive_session
from godwitturn.standins import session_simulation

PLAN_S = 6.0
TIMEOUT_S = 8.0


@attrs.frozen
class Request:
    """A request of a generated run.

    Attributes:
        at_s: Time of sending in seconds from the start.
        fragments: Number of fragments of its body.
        size: Size of the last fragment in bytes.
        idempotent: Whether it may run more than once.
        cancel_after_s: Seconds until it is cancelled, or None.
    """

    at_s: float
    fragments: int
    size: int
    idempotent: bool
    cancel_after_s: float | None


@attrs.frozen
class Event:
    """A failure of a generated run.

    Attributes:
        at_s: Time of the failure in seconds from the start.
        kind: Kind of failure, see `_apply_failure`.
        agent: Id of the agent concerned.
    """

    at_s: float
    kind: str
    agent: int


times = strategies.floats(0.0, PLAN_S)
requests = strategies.builds(
    Request,
    times,
    strategies.sampled_from([1, 1, 1, 2, 5, 40, 70]),
    strategies.integers(4, 1200),
    strategies.booleans(),
    strategies.none() | strategies.floats(0.0, 2.0),
)
agent_events = strategies.builds(
    Event,
    times,
    strategies.sampled_from(
        [
            "restart",
            "drain",
            "undrain",
            "unresponsive",
            "drop_flows",
            "refuse",
            "move",
        ]
    ),
    strategies.integers(1, 3),
)
networks = strategies.builds(
    session_simulation.Faults,
    strategies.floats(0.0, 0.4),
    strategies.floats(0.0, 0.5),
    strategies.floats(0.0, 0.05),
    strategies.sampled_from([0.0, 0.01, 0.2, 1.0]),
)


def _apply_failure(
    simulation: session_simulation.Simulation, event: Event
) -> None:
    agent = simulation.service.agents[event.agent]
    match event.kind:
        case "restart":
            agent.restart()
        case "drain":
            agent.draining = True
            simulation.call_at(
                simulation.now + 1.0,
                lambda: _refuse_if_draining(simulation, event),
            )
        case "undrain":
            agent.draining = False
            agent.refuse_all_reason = verdicts.Reason.NONE
        case "unresponsive":
            agent.unresponsive = True
            simulation.call_at(
                simulation.now + 3.0, lambda: _recover(simulation, event)
            )
        case "drop_flows":
            agent.flows_by_id.clear()
        case "refuse":
            agent.refuse_next_reasons += [
                verdicts.Reason.QUEUE_FULL,
                verdicts.Reason.CONNECTION_LIMIT,
                verdicts.Reason.SHED,
            ]
        case "move":
            host, port = simulation.address
            simulation.address = addresses.Address(host, port + 1)


def _refuse_if_draining(
    simulation: session_simulation.Simulation, event: Event
) -> None:
    agent = simulation.service.agents[event.agent]
    if agent.draining:
        agent.refuse_all_reason = verdicts.Reason.DRAINING


def _recover(simulation: session_simulation.Simulation, event: Event) -> None:
    simulation.service.agents[event.agent].unresponsive = False


def _schedule_requests(
    simulation: session_simulation.Simulation,
    plan: list[Request],
    timeout_s: float,
) -> None:
    def send(number: int, request: Request) -> None:
        simulation.request(
            number,
            fragments=request.fragments,
            size=request.size,
            idempotent=request.idempotent,
            timeout_s=timeout_s,
        )

    for number, request in enumerate(plan, 1):
        at_s = simulation.now + request.at_s
        simulation.call_at(at_s, functools.partial(send, number, request))
        if request.cancel_after_s is not None:
            cancel = session_events.Cancel(number)
            at_s += request.cancel_after_s
            simulation.call_at(
                at_s, functools.partial(simulation.handle, cancel)
            )


class TestFaults(unittest.TestCase):
    """Outcomes must be correct for any mix of faults and failures.

    Guards against a second or missing outcome, a mixed-up or truncated
    answer, a second run of a non-idempotent request, and a false NOT_RUN.
    """

    @hypothesis.settings(max_examples=250)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        networks,
        strategies.lists(requests, min_size=1, max_size=8),
        strategies.lists(agent_events, max_size=6),
        strategies.sampled_from([0.0, 1 / 3, 0.9]),
    )
    def test_outcomes_are_correct(
        self,
        seed: int,
        faults: session_simulation.Faults,
        plan: list[Request],
        events: list[Event],
        closed_share: float,
    ) -> None:
        simulation = session_simulation.Simulation(
            agents=3, faults=faults, seed=seed
        )
        fabric = random.Random(seed)
        simulation.reaches_closed_balancer = lambda _: (
            fabric.random() < closed_share
        )
        for agent in simulation.service.agents.values():
            agent.run_s = random.Random(seed).choice([0.0, 0.05, 1.0])
        simulation.handle(session_events.Open())
        _schedule_requests(simulation, plan, TIMEOUT_S)
        for event in events:
            apply = functools.partial(_apply_failure, simulation, event)
            simulation.call_at(simulation.now + event.at_s, apply)
        # Covers every deadline, its grace period and late datagrams.
        simulation.run(PLAN_S + TIMEOUT_S + 3.0)
        self.assertEqual([], simulation.check())

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.lists(requests, min_size=1, max_size=5),
    )
    def test_every_request_is_answered_at_20_percent_loss(
        self, seed: int, plan: list[Request]
    ) -> None:
        faults = session_simulation.Faults(0.2, 0.1, 0.005, 0.02)
        simulation = session_simulation.Simulation(
            agents=3, faults=faults, seed=seed
        )
        plan = [attrs.evolve(r, cancel_after_s=None) for r in plan]
        simulation.handle(session_events.Open())
        _schedule_requests(simulation, plan, 30.0)
        simulation.run(PLAN_S + 32.0)
        self.assertEqual([], simulation.check())
        for number in range(1, len(plan) + 1):
            outcome = simulation.outcome(number)
            self.assertIs(verdicts.Verdict.RAN, outcome.verdict)


class TestAgainstNaive(unittest.TestCase):
    """Without faults, outcomes must equal those of a naive session."""

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.lists(requests, min_size=1, max_size=6),
    )
    def test_outcomes_are_those_of_a_naive_session(
        self, seed: int, plan: list[Request]
    ) -> None:
        plan = [attrs.evolve(r, cancel_after_s=None) for r in plan]
        simulations = [
            session_simulation.Simulation(seed=seed),
            session_simulation.Simulation(
                seed=seed, session_factory=naive_session.NaiveSession
            ),
        ]
        for simulation in simulations:
            simulation.handle(session_events.Open())
            _schedule_requests(simulation, plan, 20.0)
            simulation.run(PLAN_S + 21.0)
            self.assertEqual([], simulation.check())
        real, naive = simulations
        self.assertEqual(naive.outcomes_by_number, real.outcomes_by_number)
        bodies = [sorted(r.body for r in w.service.runs) for w in simulations]
        self.assertEqual(bodies[1], bodies[0])
