"""Runs soaks: `python -m godwitturn.soak --seeds 1 2 3`.

Without seeds, those that have failed before are run again.
"""

import pathlib
import sys

import defopt

from godwitturn.soak import checks
from godwitturn.soak import report
from godwitturn.soak import run
from godwitturn.soak import seeds as known_seeds


def soak(
    *,
    seeds: list[int] | None = None,
    seconds: float = known_seeds.SECONDS,
    directory: pathlib.Path = pathlib.Path("soak"),
) -> int:
    """Runs a soak for each seed and writes its report.

    Args:
        seeds: Seeds of faults and load; those that have failed before by
            default.
        seconds: How long the load of each lasts.
        directory: Gets a directory for each seed, with logs, the table
            `report.txt` and the plot `report.svg`.

    Returns:
        0 if no promise was broken, else 1.
    """
    status = 0
    for seed in seeds or known_seeds.CAUSE_BY_SEED:
        place = directory / str(seed)
        history = run.soak(seed, seconds, logs=place)
        broken = checks.violations(history)
        (place / "report.txt").write_text(report.table(history, broken))
        (place / "report.svg").write_text(report.plot(history))
        print(
            f"seed {seed}: {len(history.faults)} faults, "
            f"{len(history.records)} events, {len(broken)} promises broken"
        )
        for line in broken:
            print(f"  {line}")
        status = status or int(bool(broken))
    return status


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
