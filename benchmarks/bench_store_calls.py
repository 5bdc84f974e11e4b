"""Counts store calls at rest and for one change, by kind.

Run with `python -m benchmarks.bench_store_calls`. A watch counts as one call
when it begins; open watches are shown as `waiting_watches`.
"""

import trio

from benchmarks import fleet
from godwitturn.standins import operator_actions
from godwitturn.standins import system_runs

FLEETS = (3, 9, 17)
SETTLE_S = 20.0
MEASURED_S = 20.0


async def _counts(run: system_runs.Run) -> dict[str, int]:
    return await system_runs.get_json(f"{run.system.store_url}/standin/counts")


def _difference(
    before: dict[str, int], after: dict[str, int]
) -> dict[str, int]:
    count_by_kind = {
        kind: after[kind] - before.get(kind, 0)
        for kind in sorted(after)
        if kind != "waiting_watches"
    }
    return {kind: count for kind, count in count_by_kind.items() if count}


async def _measure(balancers: int) -> str:
    async with fleet.start_fleet(balancers, 3) as (run, operators):
        await trio.sleep(SETTLE_S)
        before = await _counts(run)
        await trio.sleep(MEASURED_S)
        after = await _counts(run)
        rates_at_rest = {
            kind: round(count / MEASURED_S, 2)
            for kind, count in _difference(before, after).items()
        }
        before = await _counts(run)
        revision = await operators.bump_rules()
        await operator_actions.wait_in_force(run, revision)
        calls_for_change = _difference(before, await _counts(run))
    total = sum(rates_at_rest.values())
    return (
        f"{balancers} balancers: at rest {total:.2f} calls/s {rates_at_rest}, "
        f"waiting_watches {after['waiting_watches']}; "
        f"until one change is in force {calls_for_change}"
    )


def main() -> None:
    """Prints one line for each size of the fleet."""
    for balancers in FLEETS:
        print(trio.run(_measure, balancers), flush=True)


if __name__ == "__main__":
    main()
