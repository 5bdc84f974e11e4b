"""Measures how long a change takes until it is in force at every daemon.

Run with `python -m benchmarks.bench_in_force`. The time runs from the
store's acceptance of the change, as the operator sees it, until the log of the
last daemon shows the version. Logs are read every 5 ms, which the figures
include.
"""

import time

import trio

from benchmarks import fleet
from godwitturn.standins import operator_actions
from godwitturn.standins import system_runs

CHANGES = 20
FLEETS = ((6, 3), (12, 8))
POLL_S = 0.005
TIMEOUT_S = 30.0
QUANTILES = (0.5, 0.9, 1.0)


async def _measure_one(
    run: system_runs.Run, operators: operator_actions.OperatorClient
) -> float:
    revision = await operators.bump_rules()
    started = time.monotonic()
    waiting = set(operator_actions.daemon_names(run))
    while waiting:
        waiting = {
            name
            for name in waiting
            if not any(
                position.revision >= revision
                for position in operator_actions.logged_positions(run, name)
            )
        }
        if time.monotonic() - started > TIMEOUT_S:
            raise RuntimeError(
                f"revision {revision} is not in force at {waiting} "
                f"after {TIMEOUT_S:.0f} s"
            )
        await trio.sleep(POLL_S)
    return time.monotonic() - started


async def _measure(balancers: int, agents: int) -> str:
    async with fleet.start_fleet(balancers, agents) as (run, operators):
        times_s = []
        for _ in range(CHANGES):
            times_s.append(await _measure_one(run, operators))
            await trio.sleep(0.5)
    times_s.sort()
    quantiles = ", ".join(
        f"p{100 * q:.0f} {1000 * times_s[int(q * (CHANGES - 1))]:.0f} ms"
        for q in QUANTILES
    )
    return f"{balancers} balancers, {agents} agents: {quantiles}"


def main() -> None:
    """Prints one line for each size of the fleet."""
    for balancers, agents in FLEETS:
        print(trio.run(_measure, balancers, agents), flush=True)


if __name__ == "__main__":
    main()
