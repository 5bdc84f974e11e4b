"""Runs test modules in parallel and prints ``N passed, N failed``.

Each module runs under nose2 in a process of its own. Modules that start
daemons have a small pool of workers of their own, so that they don't compete
for processors; the others run at the same time. Tests listed in KNOWN-RED.txt
are run and printed, but do not fail the run, since some of them fail only now
and then. A listed test that passes is printed too, so that a repaired one can
be removed from the list.
"""

from collections.abc import Sequence
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

import attrs
import hypothesis
import nose2

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
TESTS = pathlib.Path(__file__).parent
PACKAGE = "godwitturn.tests"
# Path of the file for the outcomes; set in processes that run one module.
OUTCOMES_VARIABLE = "GODWITTURN_TEST_OUTCOMES"
# Modules that start a system of dozens of processes.
DAEMON_PREFIXES = ("test_failures_",)
DAEMON_WORKERS = 2
WORKERS = 4
# Ends a module that hangs; longer than any module takes on a loaded machine.
MODULE_TIMEOUT_S = 900.0


@attrs.define
class ModuleResult:
    """Results of one module.

    Attributes:
        name: Dotted name of the module.
        passed_ids: Ids of the tests that passed.
        failed_ids: Ids of the tests that failed.
        seconds: Run time of the module.
        output: Standard output and standard error.
        crashed: Whether it ended without a file of outcomes.
    """

    name: str
    passed_ids: set[str]
    failed_ids: set[str]
    seconds: float
    output: str
    crashed: bool


class OutcomeRecorder:
    """nose2 hook that collects the outcome of each test."""

    def __init__(self) -> None:
        self.failed_ids: set[str] = set()
        self.passed_ids: set[str] = set()

    def testOutcome(self, event: Any) -> None:
        """Records one outcome; nose2 calls it by this name."""
        if event.outcome == "subtest":
            # nose2 reports no outcome of a test with a failed subtest.
            if event.exc_info:
                self.failed_ids.add(_test_id(event.test.id()))
        elif event.outcome == "passed" and event.expected:
            self.passed_ids.add(event.test.id())
        elif event.outcome != "skipped":
            self.failed_ids.add(event.test.id())


def _test_id(subtest_id: str) -> str:
    return subtest_id.partition(" ")[0]


def _known_red_ids() -> set[str]:
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split("|")[0].strip() for entry in entries}


def _run_here(arguments: Sequence[str]) -> OutcomeRecorder:
    """Runs tests in this process."""
    hypothesis.settings.register_profile(
        "ci", derandomize=True, deadline=None, database=None
    )
    hypothesis.settings.load_profile("ci")
    recorder = OutcomeRecorder()
    nose2.main(
        module=None,
        argv=["nose2", *arguments],
        exit=False,
        extraHooks=[("testOutcome", recorder)],
    )
    return recorder


def _run_module(name: str) -> ModuleResult:
    """Runs a module in a process of its own; kills it after a time-out."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "outcomes.json"
        try:
            process = subprocess.run(
                [sys.executable, "-m", PACKAGE, name],
                env={**os.environ, OUTCOMES_VARIABLE: str(path)},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=MODULE_TIMEOUT_S,
            )
            output = process.stdout
        except subprocess.TimeoutExpired as exc:
            output = f"{exc}\n{exc.stdout!r}"
        seconds = time.monotonic() - started_at
        if not path.exists():
            return ModuleResult(name, set(), {name}, seconds, output, True)
        outcomes = json.loads(path.read_text())
    return ModuleResult(
        name,
        set(outcomes["passed"]),
        set(outcomes["failed"]),
        seconds,
        output,
        False,
    )


def _run_all() -> list[ModuleResult]:
    """Runs all modules, those that start daemons in a pool of their own."""
    names = sorted(path.stem for path in TESTS.glob("test_*.py"))
    with (
        concurrent.futures.ThreadPoolExecutor(DAEMON_WORKERS) as daemon_pool,
        concurrent.futures.ThreadPoolExecutor(WORKERS) as pool,
    ):
        futures = [
            (daemon_pool if name.startswith(DAEMON_PREFIXES) else pool).submit(
                _run_module, f"{PACKAGE}.{name}"
            )
            for name in names
        ]
        results = []
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            print(f"{result.seconds:7.1f} s  {result.name}", flush=True)
            if result.failed_ids:
                print(result.output, flush=True)
            results.append(result)
    return results


def _report(passed_ids: set[str], failed_ids: set[str]) -> int:
    """Prints the results and returns the exit status."""
    known = _known_red_ids()
    passed = passed_ids - failed_ids
    for test_id in sorted(failed_ids & known):
        print(f"known red: {test_id}")
    for test_id in sorted(known & passed):
        print(f"listed in KNOWN-RED.txt but passes: {test_id}")
    for test_id in sorted(failed_ids - known):
        print(f"failed: {test_id}")
    failures = len(failed_ids - known)
    print(f"{len(passed)} passed, {failures} failed")
    return 0 if failures == 0 and passed else 1


def main() -> int:
    """Runs the tests named on the command line, or all.

    Returns:
        0 if all tests passed, except those in KNOWN-RED.txt; else 1.
    """
    arguments = sys.argv[1:]
    if not arguments:
        results = _run_all()
        return _report(
            set().union(*(result.passed_ids for result in results)),
            set().union(*(result.failed_ids for result in results)),
        )
    recorder = _run_here(arguments)
    path = os.environ.get(OUTCOMES_VARIABLE)
    if path:
        outcomes = {
            "passed": sorted(recorder.passed_ids - recorder.failed_ids),
            "failed": sorted(recorder.failed_ids),
        }
        pathlib.Path(path).write_text(json.dumps(outcomes))
    return _report(recorder.passed_ids, recorder.failed_ids)


if __name__ == "__main__":
    sys.exit(main())
