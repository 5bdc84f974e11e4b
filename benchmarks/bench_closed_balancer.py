"""Time to an answer while some of three balancers are closed.

Run as ``python -m benchmarks.bench_closed_balancer``. The session, the closed
balancer and its notices are the real core code; network, clock and agents are
simulated, so times are those of the simulation and don't depend on the
machine. "Silent" is the same run without the notices of closed balancers,
which is how they behaved before there were any. Each datagram meets any of
the balancers with the same chance.
"""

import functools
import random

import attrs

from benchmarks import measure
from godwitturn.core import session_events
from godwitturn.standins import session_simulation

BALANCERS = 3
SESSIONS = 250
# The simulated agent refuses requests of a flow with 64 answers that no ACK
# confirmed; with two of three balancers closed, 44% of them are not.
REQUESTS = 80
QUANTILES = (0.5, 0.9, 0.99, 0.999)
FAULTS = session_simulation.Faults(delay_s=0.003, jitter_s=0.001)
RUN_S = 0.01
LARGE_FRAGMENTS = 100
LARGE_REQUESTS = 4
OUTAGE_S = 4.0


@attrs.frozen
class Case:
    """What one row measures.

    Attributes:
        name: Title of the row.
        closed: Closed balancers.
        passes_resend: Whether their notices reach the session.
        loss: Chance that the network loses a datagram.
        fragments: Fragments of each body.
    """

    name: str
    closed: int
    passes_resend: bool
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


def _world(case: Case, seed: int) -> session_simulation.Simulation:
    """Returns a world with an open session and some closed balancers."""
    faults = attrs.evolve(FAULTS, loss=case.loss)
    world = session_simulation.Simulation(faults=faults, seed=seed)
    for agent in world.service.agents.values():
        agent.run_s = RUN_S
    world.open()
    world.run(1.0)
    fabric = random.Random(seed)
    world.reaches_closed_balancer = lambda _: (
        fabric.random() * BALANCERS < case.closed
    )
    world.delivers_resend = case.passes_resend
    world.sent.clear()
    return world


def _session(case: Case, seed: int) -> tuple[list[float], int]:
    """Returns the times to each answer, and the datagrams of the session."""
    world = _world(case, seed)
    count = REQUESTS if case.fragments == 1 else LARGE_REQUESTS
    times_s = []
    for number in range(1, count + 1):
        began = world.now
        world.request(number, fragments=case.fragments, timeout_s=60.0)
        is_done = functools.partial(
            world.outcomes_by_number.__contains__, number
        )
        world.run_until(is_done, 61.0)
        if not world.outcome(number).body:
            raise RuntimeError(f"request {number}: {world.outcome(number)}")
        times_s.append(world.completed_at_by_number[number] - began)
    if world.check():
        raise RuntimeError(f"seed {seed}: {world.check()}")
    return times_s, len(world.sent)


def _row(case: Case) -> list[str]:
    times_s: list[float] = []
    sent = 0
    for seed in range(SESSIONS):
        more_s, more_sent = _session(case, seed)
        times_s += more_s
        sent += more_sent
    times_s.sort()
    return [
        case.name,
        *[f"{times_s[int(len(times_s) * q)] * 1000:.0f}" for q in QUANTILES],
        f"{times_s[-1] * 1000:.0f}",
        f"{sent / len(times_s):.2f}",
    ]


def _outage(passes_resend: bool) -> int:
    """Returns the datagrams of all sessions while all balancers are closed."""
    sent = 0
    for seed in range(SESSIONS):
        world = _world(Case("", BALANCERS, passes_resend), seed)
        world.request(1, timeout_s=60.0)
        world.run(OUTAGE_S)
        if world.actions_of(session_events.FlowEnded):
            raise RuntimeError(f"seed {seed}: a flow ended in the outage")
        sent += len(world.sent)
    return sent


def main() -> None:
    """Prints a table of times in ms and of datagrams for each request."""
    titles = [f"p{q * 100:g}" for q in QUANTILES]
    rows = [["ms to the answer", *titles, "most", "datagrams"]]
    measure.print_table([*rows, *[_row(case) for case in CASES]])
    silent, resend = _outage(False), _outage(True)
    print(
        f"all closed for {OUTAGE_S:g} s, {SESSIONS} sessions with one request "
        f"each, datagrams: {silent} silent, {resend} RESEND"
    )


if __name__ == "__main__":
    main()
