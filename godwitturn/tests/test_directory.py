"""Tests of publishing and reading the directories of data centres."""

import random
import unittest

import attrs

from godwitturn.core import addresses
from godwitturn.core import configuration
from godwitturn.core import control_events
from godwitturn.core import directory
from godwitturn.standins import control_fixtures as fixtures
from godwitturn.standins import control_fleet as fleet
from godwitturn.standins import deployments
from godwitturn.standins import operator_actions
from godwitturn.standins import processes
from godwitturn.standins import traffic
from godwitturn.tests import system_case

ENTRY = configuration.DirectoryEntry(
    fixtures.balancer("b0", "east"), "127.0.0.1", 1
)
CHANGED_ENTRY = attrs.evolve(ENTRY, port=2)


class TestPublisher(unittest.TestCase):
    """Publishing at most once in 10 s, and only changed content."""

    def test_same_content_is_not_written(self) -> None:
        present = configuration.Directory((ENTRY,), 3)
        publisher = directory.Publisher()
        self.assertIsNone(
            publisher.directory_to_write((ENTRY,), present, 7, now=0.0)
        )
        self.assertIsNone(
            publisher.directory_to_write((), present, 7, now=0.0)
        )

    def test_writes_are_ten_seconds_apart(self) -> None:
        publisher = directory.Publisher()
        first = publisher.directory_to_write((ENTRY,), None, 7, now=0.0)
        self.assertEqual(configuration.Directory((ENTRY,), 7), first)
        written = [
            now
            for now in range(1, 35)
            if publisher.directory_to_write(
                ((ENTRY,), (CHANGED_ENTRY,))[now % 2], first, 7, now=now
            )
        ]
        self.assertEqual([11, 21, 31], written)

    def test_entries_are_live_balancers_of_the_data_centre(self) -> None:
        network, daemons = fleet.start(18, 2)
        network.run(10)
        node = daemons[0].node
        own = addresses.Address("127.0.0.1", 1)
        entries = directory.live_entries(node.membership, "east", own)
        names = {f"b{i}" for i in range(0, 18, 3)}
        ids = {fixtures.member_id(name) for name in names}
        self.assertEqual(directory.MAX_ENTRIES, len(entries))
        self.assertLessEqual(
            {entry.member.member_id for entry in entries}, ids
        )


class TestReading(unittest.TestCase):
    """When directories are read, and which of their entries become seeds."""

    def test_waits_for_seeds_and_limits_retries(self) -> None:
        for bootstrapping, running_s, silence_s, expected in (
            (True, 2.9, 9.0, False),
            (True, 9.0, 2.9, False),
            (True, 3.0, 3.0, True),
            (False, 9.0, 9.0, False),
        ):
            should_read = directory.should_read_directories(
                bootstrapping=bootstrapping,
                running_s=running_s,
                silence_s=silence_s,
            )
            self.assertEqual(expected, should_read)
        generator = random.Random(1)
        for attempt in range(directory.READ_ATTEMPTS):
            delay = directory.retry_delay_seconds(attempt, generator)
            self.assertTrue(0 <= delay <= 2**attempt)

    def test_only_approved_balancers_become_seeds(self) -> None:
        network, daemons = fleet.start(3, 1)
        node = daemons[3].node
        approved = fixtures.balancer("b8", "east")
        partly_approved = fixtures.balancer("b9", "east")
        forged = attrs.evolve(
            fixtures.signed(approved),
            public_key=fixtures.public_key("stranger"),
        )
        entries = tuple(
            configuration.DirectoryEntry(member, "127.0.0.1", 9)
            for member in (
                fixtures.signed(approved),
                fixtures.signed(partly_approved, ("north",)),
                forged,
            )
        )
        listed = configuration.Directory(entries, 1)
        read = (fixtures.document("directory/east", 6, listed),)
        before = set(node.uplinks.seed_by_id)
        event = control_events.DocumentsRead(read, 0)
        node.handle(event, now=network.now)
        added = set(node.uplinks.seed_by_id) - before
        self.assertEqual({approved.member_id}, added)
        self.assertEqual(0, node.configuration.complete_through)


class TestReplacedSeeds(system_case.SystemCase):
    """An agent that starts after all of its seeds have been replaced."""

    load = traffic.Load(sessions=4, requests=8, pause_s=0.25)

    def _restart(
        self, run: system_case.Run, target: deployments.MemberSpec
    ) -> processes.Process:
        system = run.system
        name = f"{target.name}-agent"
        system.table.process_by_name[name].kill()
        path = system.directory / f"{target.name}.toml"
        replaced = attrs.evolve(target, secret_key=bytes(range(32)))
        deployments.write_agent_settings(
            path,
            system.deployment,
            target,
            store_url=system.store_url,
            target_url=system.target_url(target),
            seeds={f"127.0.0.1:{processes.free_port()}": replaced},
        )
        return system.table.start(
            name, ["godwitturn.daemons.agent", f"--settings={path}"]
        )

    def test_agent_opens_by_reading_the_directories(self) -> None:
        # Guards against agents that need new settings after all balancers in
        # their settings have been replaced.
        async def step(run: system_case.Run) -> None:
            target = run.system.targets[0]
            name = f"{target.name}-agent"

            async def is_published() -> bool:
                # Event 508 is CONTROL_DIRECTORY_WRITTEN.
                return any(
                    operator_actions.event_count(run, balancer.name, 508)
                    for balancer in run.system.balancers
                )

            await operator_actions.wait_until(is_published, "a directory")
            # Event 202 is AGENT_OPENED.
            opened_before = operator_actions.event_count(run, name, 202)
            self._restart(run, target).wait_ready()

            async def is_open() -> bool:
                return (
                    operator_actions.event_count(run, name, 202)
                    > opened_before
                )

            await operator_actions.wait_until(is_open, "the agent opens")
            # Event 509 is CONTROL_DIRECTORY_READ.
            self.assertEqual(1, operator_actions.event_count(run, name, 509))

        self.run_system(step)
