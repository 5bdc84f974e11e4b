"""Traffic while targets fail, start cold, shed or report false health."""

import time

import trio

from godwitturn.standins import deployments
from godwitturn.standins import history
from godwitturn.standins import traffic
from godwitturn.tests import failure_steps
from godwitturn.tests import system_case

# Requirement: after a failure, requests are answered again "within seconds".
RECOVERY_S = 5.0
HEALTH_LAG_S = 1.5


class TargetCase(system_case.SystemCase):
    """Base class that checks that no target gets more than it can run."""

    load = traffic.Load(sessions=20, requests=40, pause_s=0.2)

    async def assert_not_overloaded(self, run: system_case.Run) -> None:
        """Checks the counts of each target since the start of its process."""
        for service in run.system.deployment.services:
            counts = await failure_steps.target_counts(
                run.system, service.name
            )
            for count in counts:
                self.assertEqual(0, count["overruns"])
                self.assertLessEqual(count["highest_running"], service.slots)


class TestKill(TargetCase):
    """A target is killed while it runs requests, and restarted."""

    def test_restarted_target_soon_serves_and_is_not_overloaded(self) -> None:
        """Guards against repeated runs, and overload after the restart."""
        restarted_at: list[float] = []

        async def step(run: system_case.Run) -> None:
            system = run.system
            for target in system.targets:
                await failure_steps.change_behaviour(
                    system, target, service_s=0.05
                )
            system.cold_s = 2.0
            system.service_s = 0.02
            target = system.targets[0]
            await trio.sleep(2.0)
            await self.assert_not_overloaded(run)
            process = system.table.process_by_name[f"{target.name}-target"]
            port = int(process.ready_text)
            process.kill()
            await trio.sleep(1.0)
            process = system.start_target(target, port)
            await trio.to_thread.run_sync(process.wait_ready)
            restarted_at.append(time.monotonic())
            await self._wait_for_finished_request(run, target)
            self.assertLessEqual(
                time.monotonic() - restarted_at[0], RECOVERY_S
            )

        run = self.run_system(step, after=self.assert_not_overloaded)
        self.assertEqual(0, run.flows_broken)
        for outcome in run.unanswered_by_outcome:
            self.assertIn("MAY_HAVE_RUN", outcome)

    async def _wait_for_finished_request(
        self, run: system_case.Run, target: deployments.MemberSpec
    ) -> None:
        url = run.system.target_url(target)

        async def runs() -> bool:
            counts = await system_case.get_json(f"{url}/standin/counts")
            return counts["finished"] > 0

        await failure_steps.wait_for(runs)


class TestColdStart(TargetCase):
    """Targets start cold again while every balancer sends to them."""

    load = traffic.Load(sessions=20, requests=50, pause_s=0.12)

    def test_cold_targets_are_not_overloaded(self) -> None:
        """Guards against balancers that treat a cold target as warm."""

        async def step(run: system_case.Run) -> None:
            for target in run.system.targets:
                await trio.sleep(1.0)
                await failure_steps.change_behaviour(
                    run.system,
                    target,
                    restart_cold=True,
                    cold_s=3.0,
                    service_s=0.02,
                )

        run = self.run_system(step, after=self.assert_not_overloaded)
        self.assertEqual(0, run.flows_broken)
        for outcome in run.unanswered_by_outcome:
            self.assertIn("MAY_HAVE_RUN", outcome)


class TestMisleadingHealth(TargetCase):
    """The health endpoint reports outdated or false values."""

    def test_false_health_breaks_no_flow_and_causes_no_overload(self) -> None:
        """Guards against reliance on the endpoint and against false refusals.

        One target of `papers` sheds load and reports that it is healthy; one
        of `cards` drains and reports so with a delay.
        """
        shed_until: list[float] = []

        async def step(run: system_case.Run) -> None:
            system = run.system
            shedding = failure_steps.targets_of(system, "papers")[0]
            draining = failure_steps.targets_of(system, "cards")[0]
            await trio.sleep(2.0)
            await failure_steps.change_behaviour(
                system, shedding, shed=True, healthy=True
            )
            await failure_steps.change_behaviour(
                system, draining, draining=True, health_lag_s=HEALTH_LAG_S
            )
            # The endpoint reports the drain only after this delay.
            run.collected_records.append(
                history.DrainStarted(
                    draining.member().member_id,
                    time.monotonic() + HEALTH_LAG_S,
                )
            )
            await trio.sleep(5.0)
            await failure_steps.change_behaviour(system, shedding, shed=False)
            shed_until.append(time.monotonic())

        run = self.run_system(step, after=self.assert_not_overloaded)
        self.assertEqual(0, run.flows_broken)
        # A session with a spent retry budget gets the refusal. `run_system`
        # checks that no refused request ran. `RECOVERY_S` after the target has
        # stopped shedding, all requests must be answered.
        self.assertLessEqual(
            run.unanswered_by_outcome.keys(), {"papers NOT_RUN SHED"}
        )
        late = [
            record.key
            for record in run.records()
            if isinstance(record, history.RequestEnded)
            and not record.answer
            and record.at_s > shed_until[0] + RECOVERY_S
        ]
        self.assertEqual([], late)
        self.assertGreater(run.reports["cards"].flows_moved, 0)
