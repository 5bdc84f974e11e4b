"""Members that are unknown, unapproved, withdrawn, departed or flapping."""

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
MEMBERS_KEY = configurations.MEMBERS_PREFIX + SERVICE
NEW_TARGET = deployments.MemberSpec(
    "papers-9",
    documents.MemberKind.TARGET,
    SERVICE,
    "east",
    system_case.SMALL.secret("target", "newcomer"),
)
NEW_TARGET_ID = NEW_TARGET.member().member_id
# How long tests wait to check that a target gets no requests. An approved
# target gets some within this time.
NO_REQUESTS_WAIT_S = 3.0
# Requirement for the control traffic of a daemon.
MAX_CONTROL_BYTES_PER_S = 8 * 1024
_REFUSED_HANDSHAKES_LINE = re.compile(
    r"^godwitturn_control_refused_handshakes (\S+)$", re.M
)


async def _refused_handshakes(run: system_case.Run) -> float:
    total = 0.0
    token = run.system.deployment.secret("admin").hex()
    headers = {"Authorization": f"Bearer {token}"}
    async with httpx.AsyncClient(trust_env=False) as client:
        for port in run.system.admin_port_by_name.values():
            url = f"http://127.0.0.1:{port}/metrics"
            text = (await client.get(url, headers=headers)).text
            total += float(_REFUSED_HANDSHAKES_LINE.findall(text)[0])
    return total


async def _is_new_target_known(run: system_case.Run) -> bool:
    for balancer in run.system.balancers:
        status = await operator_actions.balancer_status(run, balancer)
        if any(
            int(found["id"], 16) == NEW_TARGET_ID
            for found in status["members"]
        ):
            return True
    return False


def _replace_new_target(
    found: documents.MemberList, *members: documents.Member
) -> documents.MemberList:
    kept = [m for m in found.members if m.member_id != NEW_TARGET_ID]
    return documents.MemberList((*kept, *members))


def _list_new_target_as(
    *members: documents.Member,
) -> Callable[[documents.MemberList], documents.MemberList]:
    return lambda found: _replace_new_target(found, *members)


@contextlib.asynccontextmanager
async def _open_new_flows(run: system_case.Run) -> AsyncIterator[None]:
    """Opens flows continuously, since established ones keep their targets."""

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

    async def _assert_new_target_unused(self, run: system_case.Run) -> None:
        await trio.sleep(NO_REQUESTS_WAIT_S)
        self.assertEqual(0, operator_actions.count_runs(run, {NEW_TARGET_ID}))
        self.assertFalse(await _is_new_target_known(run))

    async def _wait_until_served(self, run: system_case.Run) -> None:
        async def is_served() -> bool:
            return operator_actions.count_runs(run, {NEW_TARGET_ID}) > 0

        await operator_actions.wait_until(
            is_served, "the new target is served"
        )

    async def _approve_in_steps(
        self, run: system_case.Run, operators: operator_actions.OperatorClient
    ) -> None:
        statuses = [
            await operator_actions.balancer_status(run, balancer)
            for balancer in run.system.balancers
        ]
        refused = await _refused_handshakes(run)
        run.system.start_target(NEW_TARGET).wait_ready()
        run.system.start_agent(NEW_TARGET).wait_ready()
        await self._assert_new_target_unused(run)
        self.assertGreater(await _refused_handshakes(run), refused)
        for balancer, before in zip(
            run.system.balancers, statuses, strict=True
        ):
            status = await operator_actions.balancer_status(run, balancer)
            self.assertEqual(before["members"], status["members"])
        member = seeding.approve(run.system.deployment, NEW_TARGET.member())
        partly_approved = attrs.evolve(member, approvals=member.approvals[:1])
        revision = await operators.change_members(
            MEMBERS_KEY, _list_new_target_as(partly_approved)
        )
        await operator_actions.wait_in_force(
            run, revision, self._daemon_names(run)
        )
        await self._assert_new_target_unused(run)
        await operators.change_members(
            MEMBERS_KEY, _list_new_target_as(member)
        )
        await self._wait_until_served(run)

    def _daemon_names(self, run: system_case.Run) -> list[str]:
        return operator_actions.daemon_names(run)

    async def _withdraw_and_depart(
        self, run: system_case.Run, operators: operator_actions.OperatorClient
    ) -> None:
        member = seeding.approve(run.system.deployment, NEW_TARGET.member())
        partly_approved = attrs.evolve(member, approvals=member.approvals[1:])
        await operators.change_members(
            MEMBERS_KEY, _list_new_target_as(partly_approved)
        )
        # A withdrawn target must get no more requests, within the same bound
        # as a draining one.
        run.collected_records.append(
            history.DrainStarted(NEW_TARGET_ID, time.monotonic())
        )
        await trio.sleep(operator_actions.IN_FORCE_BOUND_S + 0.5)
        self.assertFalse(await _is_new_target_known(run))
        departed = attrs.evolve(member, departed=True)
        for listed in ((departed,), (departed, member), (member, departed)):
            revision = await operators.change_members(
                MEMBERS_KEY, _list_new_target_as(*listed)
            )
            await operator_actions.wait_in_force(
                run, revision, self._daemon_names(run)
            )
        await trio.sleep(NO_REQUESTS_WAIT_S)
        self.assertFalse(await _is_new_target_known(run))

    def test_only_a_target_approved_by_every_team_gets_requests(self) -> None:
        # Guards against requests to a target that a team has not approved,
        # whose approval a team has withdrawn, or that departed and is listed
        # again; and against an unknown key that changes the balancers' state.
        async def step(run: system_case.Run) -> None:
            async with (
                _open_new_flows(run),
                operator_actions.open_operator_client(run) as operators,
            ):
                await self._approve_in_steps(run, operators)
                await self._withdraw_and_depart(run, operators)

        run = self.run_system(step)
        for outcome in run.unanswered_by_outcome:
            self.assertNotIn("TOKEN_INVALID", outcome)


class TestFlapping(unittest.TestCase):
    """Frequent changes of a member's state must cause a bounded load."""

    def _count_batches(self, seconds: int, *, flapping: bool) -> int:
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
            self.assertLess(sent / seconds, MAX_CONTROL_BYTES_PER_S)
        return sum(
            isinstance(control.decode(data), control.AnnouncementBatch)
            for daemon in daemons
            for _, _, data in daemon.sent
        )

    def test_messages_about_a_flapping_member_are_bounded(self) -> None:
        # Guards against one member that floods all others with its changes. Of
        # 120 changes in a minute, 6 are spread, since the interval between two
        # of them doubles. Each of 9 balancers sends each once to 3 others.
        count = self._count_batches(60, flapping=True)
        steady = self._count_batches(60, flapping=False)
        self.assertGreater(count, steady)
        self.assertLess(count - steady, 8 * 9 * 3 * 3)
