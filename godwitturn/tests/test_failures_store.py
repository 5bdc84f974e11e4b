"""Traffic while the store is down, slow or loses answers and watches."""

from collections.abc import AsyncIterator
import contextlib
import signal
from typing import Any

import attrs
import trio

from godwitturn.standins import deployments
from godwitturn.standins import operator_actions
from godwitturn.standins import traffic
from godwitturn.tests import system_case

OUTAGE_S = 11.0
SAMPLE_INTERVAL_S = 0.1
# Numbers of the log events BALANCER_FENCED and AGENT_FENCED.
FENCED_EVENTS = (101, 201)
# At any time one is suspended and one restarts, while the others serve.
FIVE_BALANCERS = attrs.evolve(system_case.SMALL, balancer_count=5)


async def _set_faults(run: system_case.Run, **faults: object) -> None:
    await system_case.post_json(
        f"{run.system.store_url}/standin/faults", **faults
    )


def _fence_count(run: system_case.Run) -> int:
    return sum(
        operator_actions.event_count(run, name, number)
        for name in operator_actions.daemon_names(run)
        for number in FENCED_EVENTS
    )


async def _wait_until_open(
    run: system_case.Run, balancer: deployments.MemberSpec
) -> dict[str, Any]:
    """Waits until a balancer is not fenced; returns its status."""
    found: dict[str, Any] = {}

    async def is_open() -> bool:
        found.update(await operator_actions.balancer_status(run, balancer))
        return found.get("fenced") is False

    await operator_actions.wait_until(is_open, f"{balancer.name} opens")
    return found


class TestOutage(system_case.SystemCase):
    """An outage of the store stops neither traffic nor later changes."""

    load = traffic.Load(sessions=12, requests=64, pause_s=0.25)

    async def _run_outage(self, run: system_case.Run, revision: int) -> None:
        initial_fence_count = _fence_count(run)
        await _set_faults(run, down=True, lose_watches_on_return=True)
        await trio.sleep(OUTAGE_S / 2)
        self.assertEqual(
            initial_fence_count, _fence_count(run), "a daemon was fenced"
        )
        balancer = run.system.balancers[0]
        run.system.table.process_by_name[balancer.name].kill()
        run.system.start_balancer(balancer).wait_ready()
        status = await _wait_until_open(run, balancer)
        self.assertGreaterEqual(status["version"], revision)
        await trio.sleep(OUTAGE_S / 2)
        self.assertEqual(
            initial_fence_count, _fence_count(run), "a daemon was fenced"
        )
        await _set_faults(run, down=False, lose_watches_on_return=False)

    async def _write_with_faults(
        self, run: system_case.Run, operators: operator_actions.OperatorClient
    ) -> None:
        initial_fence_count = _fence_count(run)
        await _set_faults(run, delay_seconds=0.8)
        await operator_actions.wait_in_force(run, await operators.bump_rules())
        await _set_faults(run, delay_seconds=0.0, lost_answers=1)
        await operator_actions.wait_in_force(run, await operators.bump_rules())
        self.assertEqual(
            initial_fence_count, _fence_count(run), "a daemon was fenced"
        )

    def test_store_faults_fence_no_daemon_and_break_no_flow(self) -> None:
        # Guards against fenced daemons, broken flows and failed requests in an
        # outage, a balancer that restarts with an old configuration, and
        # changes that daemons miss since the store has lost their watches.
        async def step(run: system_case.Run) -> None:
            async with operator_actions.open_operator_client(run) as operators:
                revision = await operators.bump_rules()
                await operator_actions.wait_in_force(run, revision)
                await self._run_outage(run, revision)
                # Connections of watches are open, but get no messages.
                await operator_actions.wait_in_force(
                    run, await operators.bump_rules()
                )
                await self._write_with_faults(run, operators)

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)
        self.assertEqual({}, run.unanswered_by_outcome)


class TestRestartInOutage(system_case.SystemCase):
    """Without the store, a majority of data centres confirms a version."""

    load = traffic.Load(sessions=2, requests=4, pause_s=0.25)

    def test_restarted_balancer_waits_for_a_majority(self) -> None:
        # Guards against a balancer that opens after confirmation by a single
        # data centre, and against the spread of a stale configuration.
        async def step(run: system_case.Run) -> None:
            stale, current, restarted = run.system.balancers
            operator_actions.send_signal(run, stale.name, signal.SIGSTOP)
            async with operator_actions.open_operator_client(run) as operators:
                revision = await operators.bump_rules()
            names = [current.name, restarted.name]
            await operator_actions.wait_in_force(run, revision, names)
            run.system.table.process_by_name[restarted.name].kill()
            await _set_faults(run, down=True)
            # Confirmations by the store are valid for 3 s.
            await trio.sleep(4.0)
            run.system.start_balancer(restarted).wait_ready()
            for _ in range(60):
                status = await operator_actions.balancer_status(run, restarted)
                self.assertIsNot(
                    False, status.get("fenced"), "opened without a majority"
                )
                await trio.sleep(SAMPLE_INTERVAL_S)
            operator_actions.send_signal(run, stale.name, signal.SIGCONT)
            for balancer in (stale, current, restarted):
                status = await _wait_until_open(run, balancer)
                self.assertGreaterEqual(
                    status["version"], revision, balancer.name
                )
            await _set_faults(run, down=False)

        self.run_system(step)


class _VersionSampler:
    """Samples the versions of balancers and records decreases."""

    def __init__(self, run: system_case.Run) -> None:
        self._run = run
        self._highest: dict[tuple[str, int], int] = {}
        self.samples = 0
        self.reverted: list[tuple[str, int, int]] = []

    async def _sample(self, balancer: deployments.MemberSpec) -> None:
        table = self._run.system.table
        # A restarted balancer is another process, without a version at first.
        process_id = table.process_by_name[balancer.name].popen.pid
        status = await operator_actions.balancer_status(self._run, balancer)
        if not status:
            return
        if table.process_by_name[balancer.name].popen.pid != process_id:
            return
        key = balancer.name, process_id
        highest = self._highest.get(key, 0)
        self.samples += 1
        # A balancer must never lose a change that was accepted.
        if status["version"] < highest:
            self.reverted.append((balancer.name, highest, status["version"]))
        self._highest[key] = max(highest, status["version"])

    async def sample_forever(self, balancer: deployments.MemberSpec) -> None:
        """Samples one balancer until cancelled."""
        while True:
            await self._sample(balancer)
            await trio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def _sample_versions(
    run: system_case.Run,
) -> AsyncIterator[_VersionSampler]:
    versions = _VersionSampler(run)
    async with trio.open_nursery() as nursery:
        for balancer in run.system.balancers:
            nursery.start_soon(versions.sample_forever, balancer)
        yield versions
        nursery.cancel_scope.cancel()


class TestRestarts(system_case.SystemCase):
    """Accepted changes are in force within 5 s and never revert."""

    load = traffic.Load(sessions=8, requests=40, pause_s=0.25)

    async def _restart(
        self, run: system_case.Run, balancer: deployments.MemberSpec
    ) -> None:
        run.system.table.process_by_name[balancer.name].kill()
        process = run.system.start_balancer(balancer)
        await trio.to_thread.run_sync(process.wait_ready)

    def test_changes_come_into_force_and_never_revert(self) -> None:
        # Guards against versions that decrease when a stale balancer resumes
        # or a restarted one gets its configuration, and against changes that
        # do not reach a daemon within 5 s.
        async def step(run: system_case.Run) -> None:
            stale, *others = run.system.balancers
            names = operator_actions.daemon_names(run)
            other_names = [name for name in names if name != stale.name]
            async with (
                operator_actions.open_operator_client(run) as operators,
                _sample_versions(run) as versions,
            ):
                for balancer in others:
                    operator_actions.send_signal(
                        run, stale.name, signal.SIGSTOP
                    )
                    await operators.bump_rules()
                    await self._restart(run, balancer)
                    revision = await operators.bump_rules()
                    await operator_actions.wait_in_force(
                        run, revision, other_names
                    )
                    operator_actions.send_signal(
                        run, stale.name, signal.SIGCONT
                    )
                    await operator_actions.wait_in_force(run, revision, names)
            self.assertGreater(versions.samples, 50)
            self.assertEqual([], versions.reverted)
            for name in operator_actions.daemon_names(run):
                found = operator_actions.logged_positions(run, name)
                # 209 is AGENT_POLICY_REVERTED.
                self.assertEqual(
                    0, operator_actions.event_count(run, name, 209), name
                )
                if name.endswith("agent"):
                    self.assertEqual(sorted(found), found, name)

        run = self.run_system(step, FIVE_BALANCERS)
        self.assertEqual(0, run.flows_broken)
        self.assertEqual({}, run.unanswered_by_outcome)


class TestRestore(system_case.SystemCase):
    """Changes after a restore of the store are in force at all daemons."""

    load = traffic.Load(sessions=4, requests=40, pause_s=0.25)

    def test_change_after_a_restore_is_in_force(self) -> None:
        # Guards against daemons that keep what the store has lost, because
        # its revisions are higher than those given out again.
        async def step(run: system_case.Run) -> None:
            names = operator_actions.daemon_names(run)
            async with operator_actions.open_operator_client(run) as operators:
                await _set_faults(run, take_backup=True)
                lost = 0
                for _ in range(5):
                    lost = await operators.bump_rules()
                await operator_actions.wait_in_force(run, lost)
                await _set_faults(run, restore=True)
                revision = await operators.bump_rules()
                self.assertLess(revision, lost)
                await operator_actions.wait_in_force(run, revision, era=1)
            for name in names:
                # 209 is AGENT_POLICY_REVERTED.
                self.assertEqual(
                    0, operator_actions.event_count(run, name, 209), name
                )

        run = self.run_system(step)
        self.assertEqual(0, run.flows_broken)
        self.assertEqual({}, run.unanswered_by_outcome)
