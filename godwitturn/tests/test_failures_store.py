"""The store goes down, is slow, loses answers and loses watches."""

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
SAMPLE_S = 0.1
FENCED_EVENTS = (101, 201)
# One sleeps and one restarts at a time; the others serve.
FIVE = attrs.evolve(system_case.SMALL, balancer_count=5)


async def _set_faults(run: system_case.Run, **faults: object) -> None:
    await system_case.post_json(
        f"{run.system.store_url}/standin/faults", **faults
    )


def _fences(run: system_case.Run) -> int:
    return sum(
        operator_actions.event_count(run, name, number)
        for name in operator_actions.daemon_names(run)
        for number in FENCED_EVENTS
    )


async def _opened(
    run: system_case.Run, plan: deployments.MemberSpec
) -> dict[str, Any]:
    """Waits until a balancer forwards; returns its status."""
    found: dict[str, Any] = {}

    async def is_open() -> bool:
        found.update(await operator_actions.balancer_status(run, plan))
        return found.get("fenced") is False

    await operator_actions.wait_until(is_open, f"{plan.name} opens")
    return found


class TestOutage(system_case.SystemCase):
    """Traffic goes on while the store is away, and changes after it."""

    load = traffic.Load(sessions=12, requests=64, pause_s=0.25)

    async def _outage(self, run: system_case.Run, revision: int) -> None:
        fences = _fences(run)
        await _set_faults(run, down=True, lose_watches_on_return=True)
        await trio.sleep(OUTAGE_S / 2)
        self.assertEqual(fences, _fences(run), "a daemon fenced")
        plan = run.system.balancers[0]
        run.system.table.process_by_name[plan.name].kill()
        run.system.start_balancer(plan).wait_ready()
        status = await _opened(run, plan)
        self.assertGreaterEqual(status["version"], revision)
        await trio.sleep(OUTAGE_S / 2)
        self.assertEqual(fences, _fences(run), "a daemon fenced")
        await _set_faults(run, down=False, lose_watches_on_return=False)

    async def _faulty_writes(
        self, run: system_case.Run, operators: operator_actions.OperatorClient
    ) -> None:
        fences = _fences(run)
        await _set_faults(run, delay_seconds=0.8)
        await operator_actions.wait_in_force(run, await operators.bump_rules())
        await _set_faults(run, delay_seconds=0.0, lost_answers=1)
        await operator_actions.wait_in_force(run, await operators.bump_rules())
        self.assertEqual(fences, _fences(run), "a daemon fenced")

    def test_outage_slow_store_and_lost_answers(self) -> None:
        # Guards against fences, broken flows and failed requests in an
        # outage, a restart that opens with an old configuration, and a
        # change that waits for a watch that the store has forgotten.
        async def step(run: system_case.Run) -> None:
            async with operator_actions.open_operator_client(run) as operators:
                revision = await operators.bump_rules()
                await operator_actions.wait_in_force(run, revision)
                await self._outage(run, revision)
                # Its watches are still open, but the store forgot them.
                await operator_actions.wait_in_force(
                    run, await operators.bump_rules()
                )
                await self._faulty_writes(run, operators)

        run = self.run_system(step)
        self.assertEqual(0, run.broken)
        self.assertEqual({}, run.unanswered)


class TestRestartInOutage(system_case.SystemCase):
    """Without the store only a majority of data centres tells the newest."""

    load = traffic.Load(sessions=2, requests=4, pause_s=0.25)

    def test_restarted_balancer_waits_for_a_majority(self) -> None:
        # Guards against a balancer that opens on the word of one data
        # centre, and against a stale one that makes others take it over.
        async def step(run: system_case.Run) -> None:
            stale, fresh, restarted = run.system.balancers
            operator_actions.send_signal(run, stale.name, signal.SIGSTOP)
            async with operator_actions.open_operator_client(run) as operators:
                revision = await operators.bump_rules()
            names = [fresh.name, restarted.name]
            await operator_actions.wait_in_force(run, revision, names)
            run.system.table.process_by_name[restarted.name].kill()
            await _set_faults(run, down=True)
            # Confirmations by the store count for 3 s.
            await trio.sleep(4.0)
            run.system.start_balancer(restarted).wait_ready()
            for _ in range(60):
                status = await operator_actions.balancer_status(run, restarted)
                self.assertIsNot(False, status.get("fenced"), "it opened")
                await trio.sleep(SAMPLE_S)
            operator_actions.send_signal(run, stale.name, signal.SIGCONT)
            for plan in (stale, fresh, restarted):
                status = await _opened(run, plan)
                self.assertGreaterEqual(status["version"], revision, plan.name)
            await _set_faults(run, down=False)

        self.run_system(step)


class _Versions:
    """Samples the balancers' versions and remembers those that went down."""

    def __init__(self, run: system_case.Run) -> None:
        self._run = run
        self._highest: dict[tuple[str, int], int] = {}
        self.samples = 0
        self.reverted: list[tuple[str, int, int]] = []

    async def _sample(self, plan: deployments.MemberSpec) -> None:
        table = self._run.system.table
        # A restart is another process that starts without a version.
        process_id = table.process_by_name[plan.name].popen.pid
        status = await operator_actions.balancer_status(self._run, plan)
        if not status:
            return
        if table.process_by_name[plan.name].popen.pid != process_id:
            return
        key = plan.name, process_id
        highest = self._highest.get(key, 0)
        self.samples += 1
        # Also after a restart: what forwards holds every accepted change.
        if status["version"] < highest:
            self.reverted.append((plan.name, highest, status["version"]))
        self._highest[key] = max(highest, status["version"])

    async def sample_forever(self, plan: deployments.MemberSpec) -> None:
        """Samples one balancer until cancelled."""
        while True:
            await self._sample(plan)
            await trio.sleep(SAMPLE_S)


@contextlib.asynccontextmanager
async def _sampled(run: system_case.Run) -> AsyncIterator[_Versions]:
    versions = _Versions(run)
    async with trio.open_nursery() as nursery:
        for plan in run.system.balancers:
            nursery.start_soon(versions.sample_forever, plan)
        yield versions
        nursery.cancel_scope.cancel()


class TestRestarts(system_case.SystemCase):
    """Accepted changes are in force within 5 s and never revert."""

    load = traffic.Load(sessions=8, requests=40, pause_s=0.25)

    async def _restart(
        self, run: system_case.Run, plan: deployments.MemberSpec
    ) -> None:
        run.system.table.process_by_name[plan.name].kill()
        process = run.system.start_balancer(plan)
        await trio.to_thread.run_sync(process.wait_ready)

    def test_changes_during_restarts(self) -> None:
        # Guards against versions that go down when a stale balancer wakes
        # or a restarted one learns from it, and against changes that do
        # not reach a daemon within 5 s.
        async def step(run: system_case.Run) -> None:
            stale, *others = run.system.balancers
            names = operator_actions.daemon_names(run)
            awake = [name for name in names if name != stale.name]
            async with (
                operator_actions.open_operator_client(run) as operators,
                _sampled(run) as versions,
            ):
                for plan in others:
                    operator_actions.send_signal(
                        run, stale.name, signal.SIGSTOP
                    )
                    await operators.bump_rules()
                    await self._restart(run, plan)
                    revision = await operators.bump_rules()
                    await operator_actions.wait_in_force(run, revision, awake)
                    operator_actions.send_signal(
                        run, stale.name, signal.SIGCONT
                    )
                    await operator_actions.wait_in_force(run, revision, names)
            self.assertGreater(versions.samples, 50)
            self.assertEqual([], versions.reverted)
            for name in operator_actions.daemon_names(run):
                found = operator_actions.logged_versions(run, name)
                self.assertEqual(
                    0, operator_actions.event_count(run, name, 209), name
                )
                if name.endswith("agent"):
                    self.assertEqual(sorted(found), found, name)

        run = self.run_system(step, FIVE)
        self.assertEqual(0, run.broken)
        self.assertEqual({}, run.unanswered)
