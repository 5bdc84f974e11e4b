"""Operators drain a target under load and let it serve again."""

import time

import trio

from godwitturn.standins import operator_actions
from godwitturn.standins import traffic
from godwitturn.tests import system_case


class TestDrain(system_case.SystemCase):
    """A draining target gets no new work and loses no session."""

    load = traffic.Load(sessions=12, requests=56, pause_s=0.25)

    def test_drain_breaks_no_flow_and_target_serves_afterwards(self) -> None:
        # Guards against requests that start at a target more than 5 s after
        # the change (`run_system` checks the history for them), flows that
        # break as they move, and a target that gets no requests after its
        # drain has ended.
        async def step(run: system_case.Run) -> None:
            target = run.system.targets[0]
            target_ids = {target.member().member_id}
            await trio.sleep(1.0)
            async with operator_actions.open_operator_client(run) as operators:
                await operators.drain(target)
                await trio.sleep(system_case.DRAIN_BOUND_S + 1.5)
                ended_at = time.monotonic()
                await operators.undrain(target)
            # Only new sessions can reach the target, since established ones
            # stay at the targets that they moved to. For up to 5 s, balancers
            # still use the drain state that they have read from answers.
            report = run.reports["papers"]
            number = 0
            with trio.move_on_after(operator_actions.CONDITION_TIMEOUT_S):
                while not operator_actions.count_runs(
                    run, target_ids, ended_at
                ):
                    number += 1
                    late = traffic.Load(12, 4, prefix=f"late{number}-")
                    with trio.CancelScope(shield=True):
                        await traffic.run_callers(
                            run.system.fabric_address, late, report
                        )
            self.assertGreater(
                operator_actions.count_runs(run, target_ids, ended_at),
                0,
                "the target got no requests after its drain",
            )

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)
        self.assertEqual({}, run.unanswered_by_outcome)
        self.assertGreater(run.reports["papers"].flows_moved, 0)
