"""Base class of failure tests, which run a system of processes."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Never
import unittest

import trio

from godwitturn.standins import deployments
from godwitturn.standins import history_checks
from godwitturn.standins import system_runs
from godwitturn.standins import traffic

# Requirement: drained targets and data centres that are out start no requests
# after "a few seconds".
DATA_CENTRE_OUT_BOUND_S = 5.0
DRAIN_BOUND_S = 5.0
TEST_TIMEOUT_S = 120.0

SMALL = system_runs.SMALL_DEPLOYMENT
RULES = system_runs.RULES
Run = system_runs.Run
get_json = system_runs.get_json
post_json = system_runs.post_json
Step = Callable[[Run], Awaitable[None]]


class SystemCase(unittest.TestCase):
    """Runs traffic through a system while a step causes failures."""

    load = traffic.Load(sessions=12, requests=30, pause_s=0.25)
    rules = RULES
    _logs = ""

    def fail(self, msg: object = None) -> Never:
        """Fails the test; adds the logs of its processes as a note."""
        error = self.failureException(msg)
        error.add_note(self._logs)
        raise error

    def run_system(
        self,
        step: Step,
        deployment: deployments.Deployment = SMALL,
        *,
        after: Step | None = None,
    ) -> Run:
        """Runs a system with traffic, checks its history and returns the run.

        Args:
            step: Runs at the same time as the traffic.
            deployment: Deployment to start.
            after: Runs after the traffic, before the processes are killed.
        """
        run = trio.run(self._run_traffic, step, deployment, after)
        self._logs = run.logs
        violations = history_checks.check(
            run.records(),
            data_centre_bound_s=DATA_CENTRE_OUT_BOUND_S,
            drain_bound_s=DRAIN_BOUND_S,
        )
        self.assertEqual([], violations)
        for report in run.reports.values():
            self.assertEqual(0, report.wrong_answers)
        return run

    async def _run_traffic(
        self,
        step: Step,
        deployment: deployments.Deployment,
        after: Step | None,
    ) -> Run:
        with trio.fail_after(TEST_TIMEOUT_S):
            async with system_runs.start_system(deployment, self.rules) as run:
                async with trio.open_nursery() as nursery:
                    for report in run.reports.values():
                        nursery.start_soon(
                            traffic.run_callers,
                            run.system.fabric_address,
                            self.load,
                            report,
                        )
                    nursery.start_soon(step, run)
                if after is not None:
                    await after(run)
                # The history file is deleted with its directory.
                run.collected_records = run.records()
                for report in run.reports.values():
                    report.records.clear()
                run.system.history_path.unlink(missing_ok=True)
        return run
