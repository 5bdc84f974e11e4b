"""Measures the time to an answer while some of three balancers are closed.

Run as ``python -m benchmarks.bench_closed_balancer``. The session and the
closed balancers, with the RESEND packets that they send, are the code of
`core`. Network, clock and agents are simulated, so the times are simulated
too and don't depend on the machine. Rows with "silent" are the same runs
without RESEND packets, which is how closed balancers behaved before these
were introduced. Each datagram reaches each of the balancers with the same
probability.
"""

import functools
import random

import attrs

from benchmarks import measure
from godwitturn.core import session_events
from godwitturn.standins import session_simulation

BALANCERS = 3
SESSIONS = 250
# The simulated agent refuses requests of a flow that has 64 answers without an
# ACK. With two of three balancers closed, 44% of the answers stay without one,
# which limits the number of requests.
REQUESTS = 80
QUANTILES = (0.5, 0.9, 0.99, 0.999)
FAULTS = session_simulation.Faults(delay_s=0.003, jitter_s=0.001)
REQUEST_RUN_S = 0.01
LARGE_FRAGMENTS = 100
LARGE_REQUESTS = 4
OUTAGE_S = 4.0


@attrs.frozen
class Case:
    """What one row of the table measures.

    Attributes:
        name: Title of the row.
        closed_balancers: Number of closed balancers.
        delivers_resend: Whether their RESEND packets reach the session.
        loss: Probability that the network loses a datagram.
        fragments: Number of fragments of each body.
    """

    name: str
    closed_balancers: int
    delivers_resend: bool
    loss: float = 0.0
    fragments: int = 1


CASES = (
    Case("none closed", 0, True),
    Case("1 of 3, silent", 1, False),
    Case("1 of 3, RESEND", 1, True),
    Case("2 of 3, silent", 2, False),
    Case("2 of 3, RESEND", 2, True),
    Case("1% loss, none closed", 0, True, 0.01),
    Case("1% loss, 1 of 3, silent", 1, False, 0.01),
    Case("1% loss, 1 of 3, RESEND", 1, True, 0.01),
    Case("100 fragments, none closed", 0, True, 0.0, LARGE_FRAGMENTS),
    Case("100 fragments, 1 of 3, silent", 1, False, 0.0, LARGE_FRAGMENTS),
    Case("100 fragments, 1 of 3, RESEND", 1, True, 0.0, LARGE_FRAGMENTS),
)


def _start_simulation(case: Case, seed: int) -> session_simulation.Simulation:
    """Returns a simulation of an open session and some closed balancers."""
    faults = attrs.evolve(FAULTS, loss=case.loss)
    simulation = session_simulation.Simulation(faults=faults, seed=seed)
    for agent in simulation.service.agents.values():
        agent.run_s = REQUEST_RUN_S
    simulation.open()
    simulation.run(1.0)
    fabric_random = random.Random(seed)
    simulation.reaches_closed_balancer = lambda _: (
        fabric_random.random() * BALANCERS < case.closed_balancers
    )
    simulation.delivers_resend = case.delivers_resend
    simulation.sent.clear()
    return simulation


def _run_session(case: Case, seed: int) -> tuple[list[float], int]:
    """Returns the time to each answer and the number of datagrams sent."""
    simulation = _start_simulation(case, seed)
    count = REQUESTS if case.fragments == 1 else LARGE_REQUESTS
    times_s = []
    for number in range(1, count + 1):
        started_at = simulation.now
        simulation.request(number, fragments=case.fragments, timeout_s=60.0)
        is_completed = functools.partial(
            simulation.outcomes_by_number.__contains__, number
        )
        simulation.run_until(is_completed, 61.0)
        if not simulation.outcome(number).body:
            raise RuntimeError(
                f"request {number}: {simulation.outcome(number)}"
            )
        times_s.append(simulation.completed_at_by_number[number] - started_at)
    if simulation.check():
        raise RuntimeError(f"seed {seed}: {simulation.check()}")
    return times_s, len(simulation.sent)


def _row(case: Case) -> list[str]:
    times_s: list[float] = []
    sent = 0
    for seed in range(SESSIONS):
        session_times_s, session_sent = _run_session(case, seed)
        times_s += session_times_s
        sent += session_sent
    times_s.sort()
    return [
        case.name,
        *[f"{times_s[int(len(times_s) * q)] * 1000:.0f}" for q in QUANTILES],
        f"{times_s[-1] * 1000:.0f}",
        f"{sent / len(times_s):.2f}",
    ]


def _count_outage_datagrams(delivers_resend: bool) -> int:
    """Returns how many datagrams the sessions send in an outage.

    All balancers are closed for `OUTAGE_S`. Each session has one request.
    """
    sent = 0
    for seed in range(SESSIONS):
        simulation = _start_simulation(
            Case("", BALANCERS, delivers_resend), seed
        )
        simulation.request(1, timeout_s=60.0)
        simulation.run(OUTAGE_S)
        if simulation.actions_of(session_events.FlowEnded):
            raise RuntimeError(f"seed {seed}: a flow ended in the outage")
        sent += len(simulation.sent)
    return sent


def main() -> None:
    """Prints answer times in ms and the datagrams sent per request."""
    titles = [f"p{q * 100:g}" for q in QUANTILES]
    rows = [["ms to the answer", *titles, "most", "datagrams"]]
    measure.print_table([*rows, *[_row(case) for case in CASES]])
    silent, resend = (
        _count_outage_datagrams(False),
        _count_outage_datagrams(True),
    )
    print(
        f"all closed for {OUTAGE_S:g} s, {SESSIONS} sessions with one request "
        f"each, datagrams: {silent} silent, {resend} RESEND"
    )


if __name__ == "__main__":
    main()
