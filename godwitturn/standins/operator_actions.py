"""Operators' changes and observations of a running system."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import re
import signal
import time
from typing import Any

import attrs
import trio

from godwitturn.admin import operations
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.standins import deployments
from godwitturn.standins import history
from godwitturn.standins import system_runs

# Stated target: a change is in force within "a few seconds".
IN_FORCE_BOUND_S = 5.0
CONDITION_TIMEOUT_S = 30.0
POLL_S = 0.1
_VERSION_LINE = re.compile(r"GW507 control_version version=(\d+)")


@attrs.define
class OperatorClient:
    """Changes the documents of a deployment and records when.

    Attributes:
        run: The run.
        context: What the operations act on.
    """

    run: system_runs.Run
    context: operations.Context

    async def change_rules(
        self, change: Callable[[documents.Rules], documents.Rules]
    ) -> operations.ChangeResult:
        """Changes the rules."""
        return await operations.change_document(
            self.context,
            configurations.RULES_KEY,
            lambda present: operations.results.Success(change(present)),
            operations.new_operation(),
        )

    async def bump_rules(self) -> int:
        """Changes the rules a little; returns the revision."""
        changed = assert_took_effect(
            await self.change_rules(
                lambda rules: attrs.evolve(
                    rules, return_seconds=rules.return_seconds + 0.001
                )
            )
        )
        return changed.revision

    async def set_data_centre_out(self, data_centre: str) -> int:
        """Takes a data centre out; returns the revision."""
        changed = assert_took_effect(
            await operations.set_data_centre_out(
                self.context, data_centre, operations.new_operation()
            )
        )
        self.run.extra.append(
            history.DataCentreOut(data_centre, time.monotonic())
        )
        return changed.revision

    async def set_data_centre_in(self, data_centre: str) -> int:
        """Lets a data centre serve again; returns the revision."""
        self.run.extra.append(
            history.DataCentreBack(data_centre, time.monotonic())
        )
        changed = assert_took_effect(
            await operations.set_data_centre_in(
                self.context, data_centre, operations.new_operation()
            )
        )
        return changed.revision

    async def drain(self, plan: deployments.MemberSpec) -> int:
        """Drains a target; returns the revision."""
        revision = await self._set_draining(plan, True)
        member_id = plan.member().member_id
        self.run.extra.append(
            history.DrainStarted(member_id, time.monotonic())
        )
        return revision

    async def undrain(self, plan: deployments.MemberSpec) -> int:
        """Ends the drain of a target; returns the revision."""
        member_id = plan.member().member_id
        self.run.extra.append(history.DrainEnded(member_id, time.monotonic()))
        return await self._set_draining(plan, False)

    async def _set_draining(
        self, plan: deployments.MemberSpec, draining: bool
    ) -> int:
        changed = await operations.set_draining(
            self.context, [plan.name], draining, operations.new_operation()
        )
        return assert_took_effect(*changed).revision

    async def change_members(
        self,
        key: str,
        change: Callable[[documents.MemberList], documents.MemberList],
    ) -> int:
        """Changes a list of members; returns the revision."""
        changed = await operations.change_document(
            self.context,
            key,
            lambda present: operations.results.Success(
                change(present or documents.MemberList())
            ),
            operations.new_operation(),
        )
        return assert_took_effect(changed).revision


def assert_took_effect(
    *changed: operations.ChangeResult,
) -> operations.ChangeResult:
    """Returns a change that took effect.

    Raises:
        AssertionError: It did not.
    """
    assert len(changed) == 1, changed
    assert changed[0].verdict is operations.WriteVerdict.TOOK_EFFECT, changed
    assert changed[0].written, changed
    return changed[0]


@contextlib.asynccontextmanager
async def open_operator_client(
    run: system_runs.Run,
) -> AsyncIterator[OperatorClient]:
    """Yields the operators of a run."""
    running = run.system
    async with store.StoreClient([running.store_url]) as client:
        name = running.deployment.name
        keys = {
            team: bytes(key.verify_key)
            for team, key in deployments.signing_keys(
                running.deployment
            ).items()
        }
        context = operations.Context(
            repository.Repository(client, name, trio.current_time),
            name,
            keys,
            trio.current_time,
        )
        yield OperatorClient(run, context)


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    timeout_s: float = CONDITION_TIMEOUT_S,
) -> None:
    """Waits for a condition.

    Raises:
        AssertionError: It did not hold in time.
    """
    with trio.move_on_after(timeout_s):
        while not await condition():
            await trio.sleep(POLL_S)
        return
    raise AssertionError(f"not within {timeout_s} s: {what}")


def logged_versions(run: system_runs.Run, name: str) -> list[int]:
    """Returns the versions that a daemon's log says were in force."""
    text = run.system.table.process_by_name[name].log.read_text()
    return [int(found) for found in _VERSION_LINE.findall(text)]


def event_count(run: system_runs.Run, name: str, number: int) -> int:
    """Returns how many lines of a daemon's log are of one event."""
    text = run.system.table.process_by_name[name].log.read_text()
    return text.count(f" GW{number} ")


def daemon_names(run: system_runs.Run) -> list[str]:
    """Returns the process names of balancers and agents."""
    names = [plan.name for plan in run.system.balancers]
    return names + [f"{plan.name}-agent" for plan in run.system.targets]


async def wait_in_force(
    run: system_runs.Run, revision: int, names: list[str] | None = None
) -> None:
    """Checks that a change is in force everywhere within the stated bound.

    Raises:
        AssertionError: A daemon does not hold it in time.
    """
    waiting = set(daemon_names(run) if names is None else names)

    async def arrived() -> bool:
        for name in sorted(waiting):
            if max(logged_versions(run, name), default=0) >= revision:
                waiting.discard(name)
        return not waiting

    await wait_until(
        arrived, f"revision {revision} at {waiting}", IN_FORCE_BOUND_S
    )


def count_runs(
    run: system_runs.Run, target_ids: set[int], after_s: float = 0.0
) -> int:
    """Returns how many requests targets started after a time."""
    return sum(
        isinstance(record, history.RunStarted)
        and record.target_id in target_ids
        and record.at_s > after_s
        for record in run.records()
    )


async def balancer_status(
    run: system_runs.Run, plan: deployments.MemberSpec
) -> dict[str, Any]:
    """Returns a balancer's status, empty if it does not answer in time."""
    found: dict[str, Any] = {}
    with trio.move_on_after(1.0):
        found = await run.system.status(plan)
    return found


def send_signal(
    run: system_runs.Run, name: str, number: signal.Signals
) -> None:
    """Sends a signal to one process."""
    run.system.table.process_by_name[name].signal(number)
