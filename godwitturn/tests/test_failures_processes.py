"""Flows and requests while processes are killed, paused and restarted."""

import signal

import trio

from godwitturn.tests import system_case


class TestBalancers(system_case.SystemCase):
    """Packets may reach any balancer, so flows must not depend on one."""

    def test_killed_balancers_break_no_flow_and_fail_no_request(self) -> None:
        async def step(run: system_case.Run) -> None:
            for balancer in run.system.balancers[:2]:
                await trio.sleep(1.5)
                run.system.table.process_by_name[balancer.name].kill()
                await trio.sleep(1.5)
                run.system.start_balancer(balancer).wait_ready()

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)
        self.assertEqual({}, run.unanswered_by_outcome)

    def test_suspension_breaks_no_flow_and_fails_no_request(self) -> None:
        async def step(run: system_case.Run) -> None:
            balancer = run.system.balancers[0]
            process = run.system.table.process_by_name[balancer.name]
            await trio.sleep(1.0)
            process.signal(signal.SIGSTOP)
            await trio.sleep(4.5)
            process.signal(signal.SIGCONT)

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)
        self.assertEqual({}, run.unanswered_by_outcome)


class TestAgents(system_case.SystemCase):
    """An agent, which stores nothing on disk, stops while flows are open."""

    def test_killed_agent_breaks_no_flow(self) -> None:
        async def step(run: system_case.Run) -> None:
            target = run.system.targets[0]
            await trio.sleep(2.0)
            name = f"{target.name}-agent"
            run.system.table.process_by_name[name].kill()
            run.system.start_agent(target).wait_ready()

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)

    def test_graceful_stop_breaks_no_flow_and_fails_no_request(self) -> None:
        async def step(run: system_case.Run) -> None:
            target = run.system.targets[0]
            await trio.sleep(2.0)
            name = f"{target.name}-agent"
            with trio.move_on_after(30):
                process = run.system.table.process_by_name[name]
                status = await trio.to_thread.run_sync(process.stop)
            self.assertEqual(0, status)

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)
        self.assertEqual({}, run.unanswered_by_outcome)


class TestTargets(system_case.SystemCase):
    """A target restarts cold without notice."""

    def test_target_that_restarts_cold_is_not_overloaded(self) -> None:
        async def step(run: system_case.Run) -> None:
            target = run.system.targets[0]
            await trio.sleep(2.0)
            url = run.system.target_url(target)
            await system_case.post_json(
                f"{url}/standin/behaviour", restart_cold=True, cold_s=2.0
            )
            await trio.sleep(4.0)
            counts = await system_case.get_json(f"{url}/standin/counts")
            self.assertEqual(0, counts["overruns"])
            self.assertLessEqual(counts["highest_running"], 2)

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)


class TestNetwork(system_case.SystemCase):
    """Datagrams are lost, duplicated and reordered on the way."""

    def test_network_faults_break_no_flow_and_fail_no_request(self) -> None:
        async def step(run: system_case.Run) -> None:
            run.system.fabric.write_line(
                '{"loss": 0.1, "duplication": 0.1, "reordering": 0.3}'
            )
            await trio.sleep(0)

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)
        self.assertEqual({}, run.unanswered_by_outcome)
