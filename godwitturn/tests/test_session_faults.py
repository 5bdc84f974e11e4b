"""Property tests of a session with faults of the network and of agents."""

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

SCHEDULE_S = 6.0
TIMEOUT_S = 8.0


@attrs.frozen
class Request:
    """A request of a generated run.

    Attributes:
        at_s: Time in seconds from the start at which it is sent.
        fragments: Number of fragments of its body.
        size: Size of the last fragment in bytes.
        idempotent: Whether it may run more than once.
        cancel_after_s: Seconds until it is cancelled; None if it is not.
    """

    at_s: float
    fragments: int
    size: int
    idempotent: bool
    cancel_after_s: float | None


@attrs.frozen
class AgentFault:
    """A fault of an agent in a generated run.

    Attributes:
        at_s: Time in seconds from the start.
        kind: Kind of fault; `_apply_agent_fault` has the allowed kinds.
        agent: Id of the agent.
    """

    at_s: float
    kind: str
    agent: int


times_s = strategies.floats(0.0, SCHEDULE_S)
requests = strategies.builds(
    Request,
    times_s,
    strategies.sampled_from([1, 1, 1, 2, 5, 40, 70]),
    strategies.integers(4, 1200),
    strategies.booleans(),
    strategies.none() | strategies.floats(0.0, 2.0),
)
agent_faults = strategies.builds(
    AgentFault,
    times_s,
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
network_faults = strategies.builds(
    session_simulation.Faults,
    strategies.floats(0.0, 0.4),
    strategies.floats(0.0, 0.5),
    strategies.floats(0.0, 0.05),
    strategies.sampled_from([0.0, 0.01, 0.2, 1.0]),
)


def _apply_agent_fault(
    simulation: session_simulation.Simulation, agent_fault: AgentFault
) -> None:
    agent = simulation.service.agents[agent_fault.agent]
    match agent_fault.kind:
        case "restart":
            agent.restart()
        case "drain":
            agent.draining = True
            simulation.call_at(
                simulation.now + 1.0,
                lambda: _refuse_if_draining(simulation, agent_fault),
            )
        case "undrain":
            agent.draining = False
            agent.refuse_all_reason = verdicts.Reason.NONE
        case "unresponsive":
            agent.unresponsive = True
            simulation.call_at(
                simulation.now + 3.0, lambda: _recover(simulation, agent_fault)
            )
        case "drop_flows":
            agent.flow_by_id.clear()
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
    simulation: session_simulation.Simulation, agent_fault: AgentFault
) -> None:
    agent = simulation.service.agents[agent_fault.agent]
    if agent.draining:
        agent.refuse_all_reason = verdicts.Reason.DRAINING


def _recover(
    simulation: session_simulation.Simulation, agent_fault: AgentFault
) -> None:
    simulation.service.agents[agent_fault.agent].unresponsive = False


def _schedule_requests(
    simulation: session_simulation.Simulation,
    planned_requests: list[Request],
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

    for number, request in enumerate(planned_requests, 1):
        at_s = simulation.now + request.at_s
        simulation.call_at(at_s, functools.partial(send, number, request))
        if request.cancel_after_s is not None:
            cancel = session_events.Cancel(number)
            at_s += request.cancel_after_s
            simulation.call_at(
                at_s, functools.partial(simulation.handle, cancel)
            )


class TestFaults(unittest.TestCase):
    """Outcomes must be correct for any mix of faults.

    Guards against a second or missing outcome, a truncated answer or that of
    another request, a second run of a non-idempotent request, and NOT_RUN for
    a request that ran.
    """

    @hypothesis.settings(max_examples=250)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        network_faults,
        strategies.lists(requests, min_size=1, max_size=8),
        strategies.lists(agent_faults, max_size=6),
        strategies.sampled_from([0.0, 1 / 3, 0.9]),
    )
    def test_outcomes_are_correct(
        self,
        seed: int,
        faults: session_simulation.Faults,
        planned_requests: list[Request],
        planned_faults: list[AgentFault],
        closed_balancer_share: float,
    ) -> None:
        simulation = session_simulation.Simulation(
            agents=3, faults=faults, seed=seed
        )
        balancer_choices = random.Random(seed)
        simulation.reaches_closed_balancer = lambda _: (
            balancer_choices.random() < closed_balancer_share
        )
        for agent in simulation.service.agents.values():
            agent.run_s = random.Random(seed).choice([0.0, 0.05, 1.0])
        simulation.handle(session_events.Open())
        _schedule_requests(simulation, planned_requests, TIMEOUT_S)
        for agent_fault in planned_faults:
            apply = functools.partial(
                _apply_agent_fault, simulation, agent_fault
            )
            simulation.call_at(simulation.now + agent_fault.at_s, apply)
        # Covers each deadline, its grace period and delayed datagrams.
        simulation.run(SCHEDULE_S + TIMEOUT_S + 3.0)
        self.assertEqual([], simulation.check())

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        strategies.integers(0, 10**6),
        strategies.lists(requests, min_size=1, max_size=5),
    )
    def test_every_request_is_answered_at_20_percent_loss(
        self, seed: int, planned_requests: list[Request]
    ) -> None:
        faults = session_simulation.Faults(0.2, 0.1, 0.005, 0.02)
        simulation = session_simulation.Simulation(
            agents=3, faults=faults, seed=seed
        )
        planned_requests = [
            attrs.evolve(request, cancel_after_s=None)
            for request in planned_requests
        ]
        simulation.handle(session_events.Open())
        _schedule_requests(simulation, planned_requests, 30.0)
        simulation.run(SCHEDULE_S + 32.0)
        self.assertEqual([], simulation.check())
        for number in range(1, len(planned_requests) + 1):
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
        self, seed: int, planned_requests: list[Request]
    ) -> None:
        planned_requests = [
            attrs.evolve(request, cancel_after_s=None)
            for request in planned_requests
        ]
        simulations = [
            session_simulation.Simulation(seed=seed),
            session_simulation.Simulation(
                seed=seed, session_factory=naive_session.NaiveSession
            ),
        ]
        for simulation in simulations:
            simulation.handle(session_events.Open())
            _schedule_requests(simulation, planned_requests, 20.0)
            simulation.run(SCHEDULE_S + 21.0)
            self.assertEqual([], simulation.check())
        real, naive = simulations
        self.assertEqual(naive.outcomes_by_number, real.outcomes_by_number)
        bodies = [
            sorted(run.body for run in simulated.service.runs)
            for simulated in simulations
        ]
        self.assertEqual(bodies[1], bodies[0])
