"""Tests of both programs beside faults of the store and odd entries."""

import http.client
import time
from typing import Any

from godwitturn.platform import documents
from godwitturn.platform import program
from godwitturn.standins import platform_messages
from godwitturn.standins import platform_store_model
from godwitturn.standins import transparent_simulation
from godwitturn.tests import program_case


class TestStoreOutage(program_case.ProgramCase):
    """Traffic must not depend on a store that refuses calls."""

    def test_traffic_continues_and_entries_are_restored(self) -> None:
        self.start_both()
        self.send_heartbeat()
        # The balancer may be ready before it has read the agent's entry.
        self.assertTrue(
            program_case.wait_until(
                lambda: self.logged("balancer", "agent_registered")
            )
        )
        self.store.is_unavailable = True
        key = documents.AGENT_PREFIX + self.agent_address
        self.store.delete(key)
        self.open_flow()
        self.store.is_unavailable = False
        self.assertTrue(
            program_case.wait_until(lambda: key in self.store.item_by_key)
        )
        # Programs write log lines up to 0.2 s after the event.
        self.assertTrue(
            program_case.wait_until(
                lambda: self.logged("balancer", "agent_unregistered")
            )
        )

    def test_balancer_starts_from_the_agents_copy(self) -> None:
        balancer, _ = self.start_both()
        self.send_heartbeat()
        self.assertTrue(
            program_case.wait_until(
                lambda: self.logged("agent", "documents_received")
            )
        )
        self.store.is_unavailable = True
        balancer.kill()
        balancer.wait()
        self.start(
            "balancer", self.balancer_address, seeds=(self.balancer_address,)
        )
        self.assertTrue(
            program_case.wait_until(lambda: self.readiness_status() == 200)
        )
        self.open_flow()


class TestSilentConnection(program_case.ProgramCase):
    """A connection that goes silent must not hide a configuration."""

    # Guards against a watch that goes silent and is waited for longer than
    # daemons have to recover.
    def test_version_written_during_silence_comes_into_force(self) -> None:
        self.start_both()
        self.configure(2)
        self.assert_version(2, within_s=program_case.CONFIGURATION_BOUND_S)
        # By now, the balancer watches again.
        time.sleep(0.2)
        self.store.silence_watches()
        self.configure(3)
        self.assert_version(3, within_s=program_case.STABILITY_WINDOW_S)


class TestLargeDocuments(program_case.ProgramCase):
    """A configuration of 1,500 routes must come into force in time."""

    # Guards against limits on the duration of a transfer, after which a
    # balancer on a slow link never got a large configuration.
    def test_balancer_on_a_slow_link_starts_with_a_large_configuration(
        self,
    ) -> None:
        self.store.bytes_per_second = 100_000
        self.configure(2, idle_routes=1500)
        self.start("balancer", self.balancer_address)
        self.assert_version(2, within_s=program_case.CONFIGURATION_BOUND_S)

    # Guards against transfers of each version of a large configuration that
    # was replaced many times, of which only the newest matters.
    def test_newest_of_many_large_configurations_is_applied_in_time(
        self,
    ) -> None:
        self.configure(2, idle_routes=1500)
        self.start("balancer", self.balancer_address)
        self.assert_version(2, within_s=program_case.CONFIGURATION_BOUND_S)
        self.store.bytes_per_second = 400_000
        for version in range(3, 30):
            self.configure(version, idle_routes=1500)
            time.sleep(0.01)
        self.assert_version(29, within_s=program_case.CONFIGURATION_BOUND_S)


class TestOddEntries(program_case.ProgramCase):
    """Entries of faulty writers must neither end daemons nor stop them."""

    ODD = (b"[" * 100_000, b"[1e999]", b'["10.0.0.1:70000","core","a"]')

    # Guards against an odd entry that ends each daemon which reads it, also
    # after its restart.
    def test_daemons_follow_the_store_beside_odd_entries(self) -> None:
        balancer, agent = self.start_both()
        for number, value in enumerate(self.ODD):
            self.store.put(f"{documents.AGENT_PREFIX}10.0.0.{number}", value)
            self.store.put(f"{documents.OPERATOR_PREFIX}odd{number}", value)
        self.store.put(
            documents.AGENT_PREFIX + "10.0.0.9",
            documents.encode_agent_entry(
                "10.0.0.9", program_case.SERVICE, "a"
            ),
        )

        def registered() -> bool:
            return any(
                event["event"] == "agent_registered"
                and event["agent"] == "10.0.0.9"
                for event in self.events("balancer")
            )

        self.assertTrue(program_case.wait_until(registered))
        self.configure(2)
        self.assert_version(2, within_s=program_case.CONFIGURATION_BOUND_S)
        self.assertIsNone(balancer.poll())
        self.assertIsNone(agent.poll())

    # Guards against an odd heartbeat that ends the agent.
    def test_odd_heartbeats_are_refused(self) -> None:
        _, agent = self.start_both()
        for value in self.ODD:
            connection = http.client.HTTPConnection(
                self.agent_address, platform_messages.CONTROL_PORT, timeout=5.0
            )
            connection.request("PUT", "/instances/i-1", value[:70_000])
            self.assertEqual(400, connection.getresponse().status)
            connection.close()
        self.assertEqual(400, self.send_heartbeat(slots=10**400))
        self.assertEqual(200, self.send_heartbeat())
        self.assertIsNone(agent.poll())


class TestForeignHeartbeats(program_case.ProgramCase):
    """A heartbeat of another writer must not touch the agent's target."""

    def assert_flow_survives(self, status: int, **changes: Any) -> None:
        """Sends another writer's heartbeat while a flow is open.

        Args:
            status: Expected status of the answer.
            changes: Fields that differ from the target's own heartbeat.
        """
        self.start_both()
        self.send_heartbeat()
        self.open_flow()
        self.exchange(transparent_simulation.ACK, b"request")
        answered = self.send_heartbeat("i-other", born=18, **changes)
        segment = self.exchange(transparent_simulation.ACK, b"further")
        self.assertTrue(segment.data.endswith(b"answer"), segment)
        self.assertEqual(status, answered)
        self.assertEqual(200, self.send_heartbeat(sequence=2))
        time.sleep(2 * program.LOG_FLUSH_INTERVAL_S)
        self.assertFalse(self.logged("balancer", "flow_reset"))

    # Guards against an incomplete heartbeat that counts as a restart of the
    # target: all flows that were open there were reset.
    def test_heartbeat_without_fields_resets_no_flow(self) -> None:
        self.assert_flow_survives(
            400, address=None, zone=None, version=None, cold_remaining_ms=None
        )
        self.assertTrue(self.logged("agent", "malformed_heartbeat"))

    # Guards against an acknowledgement to a target that gets no openings from
    # this agent, and against its start counting as one of the agent's target.
    def test_heartbeat_of_another_address_resets_no_flow(self) -> None:
        self.assert_flow_survives(404, address="10.0.0.9:8165")
        self.assertTrue(self.logged("agent", "heartbeat_ignored"))


class TestRestoredStore(program_case.ProgramCase):
    """A store that was restored from a backup gives out revisions again."""

    def restore_earlier_state(self) -> None:
        """Applies versions 2 to 5, then restores the store with version 1."""
        self.start_both()
        self.send_heartbeat()
        backup = self.store.backup()
        for version in range(2, 6):
            self.configure(version)
            self.assert_version(
                version, within_s=program_case.CONFIGURATION_BOUND_S
            )
        self.store.restore(backup)

    # Guards against a daemon that takes a restored store for one that lags
    # behind, and ignores it until its revisions have caught up.
    def test_version_written_after_a_restore_comes_into_force(self) -> None:
        self.restore_earlier_state()
        self.configure(6)
        self.assert_version(6, within_s=program_case.CONFIGURATION_BOUND_S)

    # Guards against a watch that continues from a revision which the restored
    # store has given to another change.
    def test_version_of_a_revision_given_out_again_comes_into_force(
        self,
    ) -> None:
        self.restore_earlier_state()
        self.store.is_unavailable = True
        self.configure(6)
        for number in range(20):
            self.store.put(f"other/{number}", b"")
        self.store.is_unavailable = False
        self.assert_version(6, within_s=program_case.CONFIGURATION_BOUND_S)

    # Guards against an agent that renews the id of a lost lease, which the
    # restored store has given to another daemon.
    def test_entry_and_flow_record_are_written_again(self) -> None:
        backup = self.store.backup()
        self.start_both()
        self.send_heartbeat()
        self.open_flow()
        self.exchange(transparent_simulation.ACK, b"request")
        keys = (
            documents.AGENT_PREFIX + self.agent_address,
            documents.FLOW_RECORD_PREFIX + self.agent_address,
        )

        def written() -> bool:
            return all(key in self.store.item_by_key for key in keys)

        self.assertTrue(program_case.wait_until(written))
        self.store.restore(backup)
        self.assertFalse(written())
        _, answer = self.store.grant({"ttl_ms": 10000})
        self.assertEqual(platform_store_model.FIRST_LEASE_ID, answer["lease"])
        self.assertTrue(program_case.wait_until(written))
        self.assertNotIn(
            answer["lease"],
            [self.store.item_by_key[key]["lease"] for key in keys],
        )
