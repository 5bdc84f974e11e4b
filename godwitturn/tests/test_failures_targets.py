"""Traffic while targets die, start cold, shed load and mislead."""

import time

import trio

from godwitturn.standins import deployments
from godwitturn.standins import history
from godwitturn.standins import traffic
from godwitturn.tests import failure_steps
from godwitturn.tests import system_case

# Stated target: "within seconds".
RECOVERY_S = 5.0
LAG_S = 1.5


class TargetCase(system_case.SystemCase):
    """Checks that no target gets more than it can bear."""

    load = traffic.Load(sessions=20, requests=40, pause_s=0.2)

    async def assert_borne(self, run: system_case.Run) -> None:
        """Checks the counts of all targets that run now."""
        for service in run.system.deployment.services:
            counts = await failure_steps.target_counts(
                run.system, service.name
            )
            for count in counts:
                self.assertEqual(0, count["overruns"])
                self.assertLessEqual(count["highest_running"], service.slots)


class TestKill(TargetCase):
    """A target dies with requests running and returns at its address."""

    def test_kill_and_restart_on_the_same_port(self) -> None:
        """Guards against repeats of what ran and a rush at the return."""
        returned_at: list[float] = []

        async def step(run: system_case.Run) -> None:
            running = run.system
            for plan in running.targets:
                await failure_steps.behave(running, plan, service_s=0.05)
            running.cold_s = 2.0
            running.service_s = 0.02
            plan = running.targets[0]
            await trio.sleep(2.0)
            await self.assert_borne(run)
            process = running.table.process_by_name[f"{plan.name}-target"]
            port = int(process.ready_text)
            process.kill()
            await trio.sleep(1.0)
            process = running.start_target(plan, port)
            await trio.to_thread.run_sync(process.wait_ready)
            returned_at.append(time.monotonic())
            await self._wait_run(run, plan)
            self.assertLessEqual(time.monotonic() - returned_at[0], RECOVERY_S)

        run = self.run_system(step, after=self.assert_borne)
        self.assertEqual(0, run.broken)
        for ending in run.unanswered:
            self.assertIn("MAY_HAVE_RUN", ending)

    async def _wait_run(
        self, run: system_case.Run, plan: deployments.MemberSpec
    ) -> None:
        url = run.system.target_url(plan)

        async def runs() -> bool:
            counts = await system_case.get_json(f"{url}/standin/counts")
            return counts["finished"] > 0

        await failure_steps.wait_for(runs)


class TestColdStart(TargetCase):
    """Targets start cold again while every balancer sends to them."""

    load = traffic.Load(sessions=20, requests=50, pause_s=0.12)

    def test_cold_under_full_load(self) -> None:
        """Guards against balancers that all believe a target to be warm."""

        async def step(run: system_case.Run) -> None:
            for plan in run.system.targets:
                await trio.sleep(1.0)
                await failure_steps.behave(
                    run.system,
                    plan,
                    restart_cold=True,
                    cold_s=3.0,
                    service_s=0.02,
                )

        run = self.run_system(step, after=self.assert_borne)
        self.assertEqual(0, run.broken)
        for ending in run.unanswered:
            self.assertIn("MAY_HAVE_RUN", ending)


class TestMisleadingHealth(TargetCase):
    """The health endpoint says less than, or other than, the truth."""

    def test_healthy_while_it_sheds(self) -> None:
        """Guards against trust in the endpoint and false refusals.

        One target of `papers` sheds and calls itself healthy; one of
        `cards` drains and says so late.
        """
        shed_until: list[float] = []

        async def step(run: system_case.Run) -> None:
            running = run.system
            shedding = failure_steps.targets_of(running, "papers")[0]
            draining = failure_steps.targets_of(running, "cards")[0]
            await trio.sleep(2.0)
            await failure_steps.behave(
                running, shedding, shed=True, healthy=True
            )
            await failure_steps.behave(
                running, draining, draining=True, health_lag_s=LAG_S
            )
            # The endpoint says nothing of the drain before.
            run.extra.append(
                history.DrainStarted(
                    draining.member().member_id, time.monotonic() + LAG_S
                )
            )
            await trio.sleep(5.0)
            await failure_steps.behave(running, shedding, shed=False)
            shed_until.append(time.monotonic())

        run = self.run_system(step, after=self.assert_borne)
        self.assertEqual(0, run.broken)
        # A session whose retry budget is spent gets the refusal, which the
        # history shows to be true; none ends so once the shedding is over.
        self.assertLessEqual(run.unanswered.keys(), {"papers NOT_RUN SHED"})
        late = [
            record.key
            for record in run.records()
            if isinstance(record, history.RequestEnded)
            and not record.answer
            and record.at_s > shed_until[0] + RECOVERY_S
        ]
        self.assertEqual([], late)
        self.assertGreater(run.reports["cards"].flows_moved, 0)
