"""Runs soaks: `python -m godwitturn.soak --seeds 1 2 3`.

Without the option, it runs the seeds that have failed before.
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
    seconds: float = known_seeds.DURATION_S,
    restores: bool = False,
    planned_only: bool = False,
    reuse_ports: bool = False,
    directory: pathlib.Path = pathlib.Path("soak"),
) -> int:
    """Runs a soak for each seed and writes its report.

    Args:
        seeds: Seeds of faults and load; by default those that have failed
            before.
        seconds: Duration of the load of each soak.
        restores: Whether the store is also restored from backups.
        planned_only: Whether to leave out faults that aren't planned, so that
            all guarantees hold at any time.
        reuse_ports: Whether clients open new flows from ports that they have
            used, half a second after the former flow.
        directory: Where a directory is written for each seed, with logs, the
            table `report.txt` and the plot `report.svg`.

    Returns:
        0 if no guarantee was violated, else 1.
    """
    status = 0
    for seed in seeds or known_seeds.CAUSE_BY_SEED:
        seed_directory = directory / str(seed)
        history = run.soak(
            seed,
            seconds,
            logs=seed_directory,
            restores=restores,
            planned_only=planned_only,
            reuse_ports=reuse_ports,
        )
        violations = checks.violations(history)
        (seed_directory / "report.txt").write_text(
            report.table(history, violations)
        )
        (seed_directory / "report.svg").write_text(report.plot(history))
        print(
            f"seed {seed}: {len(history.faults)} faults, "
            f"{len(history.records)} events, "
            f"{len(violations)} guarantees violated"
        )
        for line in violations:
            print(f"  {line}")
        status = status or int(bool(violations))
    return status


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
