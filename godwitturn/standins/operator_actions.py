"""Changes a running system as operators do, and observes its daemons."""

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
from godwitturn.core import store_position
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.standins import deployments
from godwitturn.standins import history
from godwitturn.standins import system_runs

# Requirement: a change is in force within "a few seconds".
IN_FORCE_BOUND_S = 5.0
CONDITION_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
_VERSION_LINE = re.compile(r"GW507 control_version version=(\d+) era=(\d+)")


@attrs.define
class OperatorClient:
    """Changes the documents of a deployment and records the times of changes.

    Attributes:
        run: Run to whose `collected_records` the times of changes are added.
        context: Context of the operations.
    """

    run: system_runs.Run
    context: operations.Context

    async def change_rules(
        self, change: Callable[[documents.Rules], documents.Rules]
    ) -> operations.ChangeResult:
        """Changes the rules; returns the result, which may be a failure."""
        return await operations.change_document(
            self.context,
            configurations.RULES_KEY,
            lambda current: operations.results.Success(change(current)),
            operations.new_operation(),
        )

    async def bump_rules(self) -> int:
        """Adds 1 ms to `return_seconds` of the rules.

        Tests wait until daemons apply the new revision, which is returned.
        """
        changed = assert_took_effect(
            await self.change_rules(
                lambda rules: attrs.evolve(
                    rules, return_seconds=rules.return_seconds + 0.001
                )
            )
        )
        return changed.revision

    async def set_data_centre_out(self, data_centre: str) -> int:
        """Takes a data centre out of service; returns the revision."""
        changed = assert_took_effect(
            await operations.set_data_centre_out(
                self.context, data_centre, operations.new_operation()
            )
        )
        self.run.collected_records.append(
            history.DataCentreOut(data_centre, time.monotonic())
        )
        return changed.revision

    async def set_data_centre_in(self, data_centre: str) -> int:
        """Lets a data centre serve again; returns the revision."""
        self.run.collected_records.append(
            history.DataCentreBack(data_centre, time.monotonic())
        )
        changed = assert_took_effect(
            await operations.set_data_centre_in(
                self.context, data_centre, operations.new_operation()
            )
        )
        return changed.revision

    async def drain(self, target: deployments.MemberSpec) -> int:
        """Drains a target; returns the revision."""
        revision = await self._set_draining(target, True)
        member_id = target.member().member_id
        self.run.collected_records.append(
            history.DrainStarted(member_id, time.monotonic())
        )
        return revision

    async def undrain(self, target: deployments.MemberSpec) -> int:
        """Ends the drain of a target; returns the revision."""
        member_id = target.member().member_id
        self.run.collected_records.append(
            history.DrainEnded(member_id, time.monotonic())
        )
        return await self._set_draining(target, False)

    async def _set_draining(
        self, target: deployments.MemberSpec, draining: bool
    ) -> int:
        changed = await operations.set_draining(
            self.context, [target.name], draining, operations.new_operation()
        )
        return assert_took_effect(*changed).revision

    async def change_members(
        self,
        key: str,
        change: Callable[[documents.MemberList], documents.MemberList],
    ) -> int:
        """Changes the list of members at a key; returns the revision."""
        changed = await operations.change_document(
            self.context,
            key,
            lambda current: operations.results.Success(
                change(current or documents.MemberList())
            ),
            operations.new_operation(),
        )
        return assert_took_effect(changed).revision


def assert_took_effect(
    *changed: operations.ChangeResult,
) -> operations.ChangeResult:
    """Returns the change, after checking that it was written.

    Raises:
        AssertionError: There is not exactly one change, or it did not take
            effect, or it wrote nothing.
    """
    assert len(changed) == 1, changed
    assert changed[0].verdict is operations.WriteVerdict.TOOK_EFFECT, changed
    assert changed[0].written, changed
    return changed[0]


@contextlib.asynccontextmanager
async def open_operator_client(
    run: system_runs.Run,
) -> AsyncIterator[OperatorClient]:
    """Yields an operator client that is connected to the store of a run."""
    system = run.system
    async with store.StoreClient([system.store_url]) as client:
        name = system.deployment.name
        team_keys = {
            team: bytes(key.verify_key)
            for team, key in deployments.signing_keys(
                system.deployment
            ).items()
        }
        context = operations.Context(
            repository.Repository(client, name, trio.current_time),
            name,
            team_keys,
            trio.current_time,
        )
        yield OperatorClient(run, context)


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    description: str,
    timeout_s: float = CONDITION_TIMEOUT_S,
) -> None:
    """Polls a condition until it holds.

    Raises:
        AssertionError: The condition did not hold within `timeout_s`.
    """
    with trio.move_on_after(timeout_s):
        while not await condition():
            await trio.sleep(POLL_INTERVAL_S)
        return
    raise AssertionError(f"did not happen within {timeout_s} s: {description}")


def logged_positions(
    run: system_runs.Run, name: str
) -> list[store_position.StorePosition]:
    """Returns the configurations in a daemon's log, in its order."""
    text = run.system.table.process_by_name[name].log.read_text()
    return [
        store_position.StorePosition(int(era), int(revision))
        for revision, era in _VERSION_LINE.findall(text)
    ]


def event_count(run: system_runs.Run, name: str, event_number: int) -> int:
    """Returns how often a daemon has logged an event."""
    text = run.system.table.process_by_name[name].log.read_text()
    return text.count(f" GW{event_number} ")


def daemon_names(run: system_runs.Run) -> list[str]:
    """Returns the process names of balancers and agents."""
    names = [balancer.name for balancer in run.system.balancers]
    return names + [f"{target.name}-agent" for target in run.system.targets]


async def wait_in_force(
    run: system_runs.Run,
    revision: int,
    names: list[str] | None = None,
    *,
    era: int = 0,
) -> None:
    """Waits until a revision is in force at daemons.

    Args:
        run: The run.
        revision: Revision to wait for; a later one counts as well.
        names: Process names of the daemons; None for all.
        era: How often the store was restored before.

    Raises:
        AssertionError: It is not in force at a daemon within
            `IN_FORCE_BOUND_S`.
    """
    waiting = set(daemon_names(run) if names is None else names)
    wanted = store_position.StorePosition(era, revision)

    async def is_in_force() -> bool:
        for name in sorted(waiting):
            found = logged_positions(run, name)
            if max(found, default=store_position.UNREAD) >= wanted:
                waiting.discard(name)
        return not waiting

    await wait_until(
        is_in_force,
        f"revision {revision} in force at {waiting}",
        IN_FORCE_BOUND_S,
    )


def count_runs(
    run: system_runs.Run, target_ids: set[int], after_s: float = 0.0
) -> int:
    """Returns the number of requests that targets started after a time."""
    return sum(
        isinstance(record, history.RunStarted)
        and record.target_id in target_ids
        and record.at_s > after_s
        for record in run.records()
    )


async def balancer_status(
    run: system_runs.Run, balancer: deployments.MemberSpec
) -> dict[str, Any]:
    """Returns a balancer's status; empty if it does not answer within 1 s."""
    found: dict[str, Any] = {}
    with trio.move_on_after(1.0):
        found = await run.system.status(balancer)
    return found


def send_signal(
    run: system_runs.Run, name: str, number: signal.Signals
) -> None:
    """Sends a signal to a process, found by its name."""
    run.system.table.process_by_name[name].signal(number)
