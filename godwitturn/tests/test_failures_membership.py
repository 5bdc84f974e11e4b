"""Members that are not approved, withdrawn, departed, unknown or flapping."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import re
import time
import unittest

import attrs
import httpx
import trio

from godwitturn.core import addresses
from godwitturn.core import configuration as configurations
from godwitturn.core import control_events
from godwitturn.core import documents
from godwitturn.core import membership
from godwitturn.protocol import control
from godwitturn.standins import control_fleet as fleet
from godwitturn.standins import deployments
from godwitturn.standins import history
from godwitturn.standins import operator_actions
from godwitturn.standins import seeding
from godwitturn.standins import traffic
from godwitturn.tests import system_case

SERVICE = "papers"
KEY = configurations.MEMBERS_PREFIX + SERVICE
NEWCOMER = deployments.MemberSpec(
    "papers-9",
    documents.MemberKind.TARGET,
    SERVICE,
    "east",
    system_case.SMALL.secret("target", "newcomer"),
)
ID = NEWCOMER.member().member_id
# Time in which an approved newcomer certainly gets work, see `_until_served`.
ABSENT_S = 3.0
# Stated target for control traffic of a daemon.
CONTROL_BYTES_PER_S = 8 * 1024
_REFUSED = re.compile(r"^godwitturn_control_refused_handshakes (\S+)$", re.M)


async def _refused_handshakes(run: system_case.Run) -> float:
    total = 0.0
    token = run.system.deployment.secret("admin").hex()
    headers = {"Authorization": f"Bearer {token}"}
    async with httpx.AsyncClient(trust_env=False) as client:
        for port in run.system.admin_port_by_name.values():
            url = f"http://127.0.0.1:{port}/metrics"
            text = (await client.get(url, headers=headers)).text
            total += float(_REFUSED.findall(text)[0])
    return total


async def _is_known(run: system_case.Run) -> bool:
    for plan in run.system.balancers:
        status = await operator_actions.balancer_status(run, plan)
        if any(int(found["id"], 16) == ID for found in status["members"]):
            return True
    return False


def _with(
    found: documents.MemberList, *members: documents.Member
) -> documents.MemberList:
    kept = [m for m in found.members if m.member_id != ID]
    return documents.MemberList((*kept, *members))


def _listing(
    *members: documents.Member,
) -> Callable[[documents.MemberList], documents.MemberList]:
    return lambda found: _with(found, *members)


@contextlib.asynccontextmanager
async def _new_flows(run: system_case.Run) -> AsyncIterator[None]:
    """Keeps opening flows, as established ones stay where they are."""

    async def open_forever() -> None:
        number = 0
        while not done:
            number += 1
            load = traffic.Load(9, 2, 0.1, prefix=f"new{number}-")
            await traffic.run_callers(
                run.system.fabric_address, load, run.reports[SERVICE]
            )

    done = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(open_forever)
        yield
        done = True


class TestApproval(system_case.SystemCase):
    """Only a member approved by every team carries traffic."""

    load = traffic.Load(sessions=4, requests=20, pause_s=0.25)

    async def _stays_out(self, run: system_case.Run) -> None:
        await trio.sleep(ABSENT_S)
        self.assertEqual(0, operator_actions.count_runs(run, {ID}))
        self.assertFalse(await _is_known(run))

    async def _until_served(self, run: system_case.Run) -> None:
        async def is_served() -> bool:
            return operator_actions.count_runs(run, {ID}) > 0

        await operator_actions.wait_until(is_served, "the newcomer is served")

    async def _join(
        self, run: system_case.Run, operators: operator_actions.OperatorClient
    ) -> None:
        statuses = [
            await operator_actions.balancer_status(run, plan)
            for plan in run.system.balancers
        ]
        refused = await _refused_handshakes(run)
        run.system.start_target(NEWCOMER).wait_ready()
        run.system.start_agent(NEWCOMER).wait_ready()
        await self._stays_out(run)
        self.assertGreater(await _refused_handshakes(run), refused)
        for plan, before in zip(run.system.balancers, statuses, strict=True):
            status = await operator_actions.balancer_status(run, plan)
            self.assertEqual(before["members"], status["members"])
        member = seeding.approve(run.system.deployment, NEWCOMER.member())
        half = attrs.evolve(member, approvals=member.approvals[:1])
        revision = await operators.change_members(KEY, _listing(half))
        await operator_actions.wait_in_force(run, revision, self._others(run))
        await self._stays_out(run)
        await operators.change_members(KEY, _listing(member))
        await self._until_served(run)

    def _others(self, run: system_case.Run) -> list[str]:
        return operator_actions.daemon_names(run)

    async def _leave(
        self, run: system_case.Run, operators: operator_actions.OperatorClient
    ) -> None:
        member = seeding.approve(run.system.deployment, NEWCOMER.member())
        half = attrs.evolve(member, approvals=member.approvals[1:])
        await operators.change_members(KEY, _listing(half))
        # Withdrawal ends its work within the same bound as a drain does.
        run.extra.append(history.DrainStarted(ID, time.monotonic()))
        await trio.sleep(operator_actions.IN_FORCE_BOUND_S + 0.5)
        self.assertFalse(await _is_known(run))
        departed = attrs.evolve(member, departed=True)
        for listed in ((departed,), (departed, member), (member, departed)):
            revision = await operators.change_members(KEY, _listing(*listed))
            await operator_actions.wait_in_force(
                run, revision, self._others(run)
            )
        await trio.sleep(ABSENT_S)
        self.assertFalse(await _is_known(run))

    def test_unknown_half_approved_withdrawn_and_departed(self) -> None:
        # Guards against work for a target that a team has not approved, has
        # ceased to approve, or that departed and is listed again; and
        # against an unknown key that changes what balancers hold.
        async def step(run: system_case.Run) -> None:
            async with (
                _new_flows(run),
                operator_actions.open_operator_client(run) as operators,
            ):
                await self._join(run, operators)
                await self._leave(run, operators)

        run = self.run_system(step)
        for reason in run.unanswered:
            self.assertNotIn("TOKEN_INVALID", reason)


class TestFlapping(unittest.TestCase):
    """A member that comes and goes costs no more than its share."""

    def _spread_count(self, seconds: int, *, flapping: bool) -> int:
        network, daemons = fleet.start(9, 3)
        network.run(15)
        agent = daemons[-1]
        state = membership.MemberState.SERVING
        for daemon in daemons:
            daemon.sent.clear()
        for second in range(seconds * 2):
            if flapping:
                state = membership.MemberState(1 + second % 2)
            address = addresses.Address("127.0.0.1", 999)
            event = control_events.LocalAnnouncement(address, state)
            network._handle(agent, event)
            network.run(0.5)
        for daemon in daemons:
            sent = sum(len(data) for _, _, data in daemon.sent)
            self.assertLess(sent / seconds, CONTROL_BYTES_PER_S)
        return sum(
            isinstance(control.decode(data), control.AnnouncementBatch)
            for daemon in daemons
            for _, _, data in daemon.sent
        )

    def test_messages_are_bounded(self) -> None:
        # Guards against one member that floods everyone with its changes:
        # 120 changes in a minute, of which the doubled interval lets 6 pass,
        # each once to 3 of 9 balancers by each of 9.
        count = self._spread_count(60, flapping=True)
        rest = self._spread_count(60, flapping=False)
        self.assertGreater(count, rest)
        self.assertLess(count - rest, 8 * 9 * 3 * 3)
