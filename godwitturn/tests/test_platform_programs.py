"""Tests of both programs as processes on loopback addresses."""

from collections.abc import Callable
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
import unittest

from godwitturn import bytecode
from godwitturn.daemons import metrics_page
from godwitturn.platform import documents
from godwitturn.platform import packets
from godwitturn.standins import platform_messages
from godwitturn.standins import platform_store
from godwitturn.standins import platform_store_model
from godwitturn.standins import transparent_simulation

TIMEOUT_S = 15.0
SERVICE = "core"
# `config_apply_ms` of the deployments with slow links.
CONFIGURATION_BOUND_S = 5.0
# `stability_window_ms` of the small deployments: time to recover from
# connections that were reset or went silent.
STABILITY_WINDOW_S = 4.0


def wait_until(condition: Callable[[], bool]) -> bool:
    """Returns whether a condition becomes true within `TIMEOUT_S`."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


class UdpTarget:
    """A target behind a UDP socket that answers requests."""

    def __init__(self, address: str) -> None:
        self.model = transparent_simulation.SimulatedTarget("i-1", 17)
        self._outbound = (address, platform_messages.OUTBOUND_PORT)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address, platform_messages.TARGET_PORT))
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                data = self._socket.recv(2048)
            except OSError:
                return
            for answer in self.model.receive(data, time.monotonic()):
                self._socket.sendto(answer, self._outbound)

    def close(self) -> None:
        """Closes the socket, which ends the target."""
        self._socket.close()


class ProgramCase(unittest.TestCase):
    """A store, a balancer, an agent and a target.

    Attributes:
        program: Arguments of Python that start a program, without its role.
    """

    program: tuple[str, ...] = ()
    _compiled: tempfile.TemporaryDirectory[str]

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        if not cls.program:
            cls._compiled = tempfile.TemporaryDirectory()
            cls.addClassCleanup(cls._compiled.cleanup)
            directory = pathlib.Path(cls._compiled.name)
            bytecode.build(directory)
            cls.program = (str(directory / bytecode.ENTRY_NAME),)

    def setUp(self) -> None:
        subnet = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}"
        self.balancer_address = f"{subnet}.1"
        self.agent_address = f"{subnet}.2"
        self.client_address = f"{subnet}.3"
        self.store = platform_store.PlatformStore((f"{subnet}.4", 0))
        self.addCleanup(self.store.server_close)
        self.addCleanup(self.store.shutdown)
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.target = UdpTarget(self.agent_address)
        self.addCleanup(self.target.close)
        self.client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.client.bind((self.client_address, platform_messages.PACKETS_PORT))
        self.client.settimeout(0.3)
        self.addCleanup(self.client.close)
        self.configure(1)
        self.flow_id = (
            int.from_bytes(socket.inet_aton(self.client_address), "big"),
            4000,
            transparent_simulation.ROUTE_ADDRESS,
            transparent_simulation.ROUTE_PORT,
        )

    def configure(
        self, version: int, service: str = SERVICE, *, idle_routes: int = 0
    ) -> None:
        """Writes a configuration to the store.

        Args:
            version: Its version.
            service: Service of the route that the tests use.
            idle_routes: Number of further routes, of about 90 bytes each.
        """
        document = {
            "version": version,
            "routes": [
                {
                    "name": "main",
                    "host": "198.18.0.1",
                    "prefix": "/443/",
                    "service": service,
                }
            ]
            + [
                {
                    "name": f"idle-{number}",
                    "host": "198.18.0.2",
                    "prefix": f"/{number}/",
                    "service": service,
                }
                for number in range(1, idle_routes + 1)
            ],
            "services": [{"name": service, "max_conns": 100}],
            "limits": {"idle_timeout_ms": 15000},
        }
        self.store.put(
            documents.CONFIGURATION_KEY, json.dumps(document).encode()
        )

    def start(
        self, role: str, address: str, *, seeds: tuple[str, ...] = ()
    ) -> subprocess.Popen[bytes]:
        """Starts a program."""
        host, port = self.store.server_address[:2]
        fields = platform_messages.settings(
            node=f"{role}-1",
            address=address,
            data_centre="a",
            store=(str(host), port),
            seeds=seeds,
            service=SERVICE if role == "agent" else None,
            bounds={"grace_s": 1},
        )
        path = pathlib.Path(self.directory.name) / f"{role}.json"
        path.write_text(json.dumps(fields))
        log = (path.parent / f"{role}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, *self.program, role],
            env={**os.environ, "GODWITTURN_CONFIG": str(path)},
            stdout=log,
        )
        log.close()
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def start_both(self) -> tuple[subprocess.Popen[bytes], ...]:
        """Starts both programs and waits until the balancer is ready."""
        agent = self.start("agent", self.agent_address)
        balancer = self.start("balancer", self.balancer_address)
        self.assertTrue(wait_until(lambda: self.readiness_status() == 200))
        return balancer, agent

    def events(self, role: str) -> list[dict[str, Any]]:
        """Returns the log lines of a program."""
        path = pathlib.Path(self.directory.name) / f"{role}.log"
        return [json.loads(line) for line in path.read_text().splitlines()]

    def logged(self, role: str, name: str) -> bool:
        """Returns whether a program has logged an event."""
        return any(event["event"] == name for event in self.events(role))

    def assert_version(self, version: int, within_s: float) -> None:
        """Checks that the balancer applies a version within a time."""
        deadline = time.monotonic() + within_s

        def applied() -> bool:
            return any(
                event["event"] == "configuration_applied"
                and event["version"] == version
                for event in self.events("balancer")
            )

        while not applied() and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertTrue(applied(), self.events("balancer")[-5:])

    def get(self, address: str, port: int, path: str) -> tuple[int, str]:
        """Sends a GET request; returns status and body, 0 if it fails."""
        connection = http.client.HTTPConnection(address, port, timeout=2.0)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except OSError:
            return 0, ""
        finally:
            connection.close()

    def readiness_status(self) -> int:
        """Returns the status of a readiness check, as a router makes it."""
        return self.get(
            self.balancer_address, platform_messages.READY_PORT, "/ready"
        )[0]

    def send_heartbeat(self, **changes: Any) -> int:
        """Sends a heartbeat of the target and returns the answer's status."""
        fields = {
            **platform_messages.heartbeat(SERVICE, sequence=1, born=17),
            **changes,
        }
        connection = http.client.HTTPConnection(
            self.agent_address, platform_messages.CONTROL_PORT, timeout=2.0
        )
        connection.request("PUT", "/instances/i-1", json.dumps(fields))
        status = connection.getresponse().status
        connection.close()
        return status

    def exchange(self, flags: int, data: bytes = b"") -> Any:
        """Sends a packet up to 20 times; returns the answer, None if none."""
        packet = transparent_simulation.packet(self.flow_id, flags, data=data)
        for _ in range(20):
            self.client.sendto(
                packet, (self.balancer_address, platform_messages.PACKETS_PORT)
            )
            try:
                answer = self.client.recv(2048)
            except TimeoutError:
                continue
            return packets.decode(answer, from_target=True)
        return None

    def open_flow(self) -> None:
        """Opens the flow and checks that the target accepts it."""
        segment = self.exchange(transparent_simulation.SYN)
        self.assertIsNotNone(segment)
        self.assertTrue(segment.accepting)


class TestForwarding(ProgramCase):
    """A flow must be served, also after crashes, or be reset."""

    def test_request_is_answered(self) -> None:
        self.start_both()
        self.assertEqual(200, self.send_heartbeat())
        self.open_flow()
        segment = self.exchange(transparent_simulation.ACK, b"request")
        self.assertTrue(segment.data.endswith(b"answer"))
        self.assertEqual(1, len(self.target.model.flows))

    def test_flow_survives_a_killed_balancer_and_agent(self) -> None:
        processes = self.start_both()
        self.send_heartbeat()
        self.open_flow()
        for process in processes:
            process.kill()
            process.wait()
        self.start_both()
        segment = self.exchange(transparent_simulation.ACK, b"request")
        self.assertTrue(segment.data.endswith(b"answer"))

    def test_idle_flow_is_reset_after_its_vm_lost_power(self) -> None:
        processes = self.start_both()
        self.send_heartbeat()
        self.open_flow()
        self.exchange(transparent_simulation.ACK, b"request")
        key = documents.FLOW_RECORD_PREFIX + self.agent_address
        self.assertTrue(wait_until(lambda: key in self.store.item_by_key))
        for process in processes:
            process.kill()
            process.wait()
        self.target.model.flows.clear()
        self.start_both()
        self.send_heartbeat(born=18)
        segment = packets.decode(self.client.recv(2048), from_target=True)
        assert segment is not None
        self.assertTrue(segment.resetting)
        self.assertEqual(self.flow_id, segment.flow_id)

    def test_opening_of_an_unknown_route_is_reset(self) -> None:
        self.start_both()
        self.send_heartbeat()
        self.flow_id = (*self.flow_id[:3], 9999)
        segment = self.exchange(transparent_simulation.SYN)
        self.assertTrue(segment.resetting)


class TestSources(ProgramCase):
    """Programs must also run from sources, as on a developer's machine."""

    program = ("-m", "godwitturn.platform")

    def test_request_is_answered(self) -> None:
        self.start_both()
        self.send_heartbeat()
        self.open_flow()
        segment = self.exchange(transparent_simulation.ACK, b"request")
        self.assertTrue(segment.data.endswith(b"answer"))


class TestStop(ProgramCase):
    """A stop by SIGTERM must break no flow and leave no entry behind."""

    def test_balancer_forwards_until_it_ends(self) -> None:
        balancer, _ = self.start_both()
        self.send_heartbeat()
        self.open_flow()
        balancer.send_signal(signal.SIGTERM)
        self.assertTrue(wait_until(lambda: self.readiness_status() == 503))
        segment = self.exchange(transparent_simulation.ACK, b"request")
        self.assertTrue(segment.data.endswith(b"answer"))
        # The balancer exits only after a second failed readiness check.
        self.readiness_status()
        self.assertEqual(0, balancer.wait(TIMEOUT_S))
        names = [event["event"] for event in self.events("balancer")]
        self.assertEqual("stopped", names[-1])
        self.assertIn("stopping", names)

    def stop_agent_of_ended_target(
        self, agent: subprocess.Popen[bytes]
    ) -> None:
        """Stops an agent after its target; the agent must remove its entry."""
        key = documents.AGENT_PREFIX + self.agent_address
        self.assertTrue(wait_until(lambda: key in self.store.item_by_key))
        connection = http.client.HTTPConnection(
            self.agent_address, platform_messages.CONTROL_PORT
        )
        connection.request("DELETE", "/instances/i-1")
        self.assertEqual(200, connection.getresponse().status)
        connection.close()
        agent.send_signal(signal.SIGTERM)
        self.assertEqual(0, agent.wait(TIMEOUT_S))
        self.assertNotIn(key, self.store.item_by_key)

    def test_agent_of_an_ended_target_removes_its_entry(self) -> None:
        _, agent = self.start_both()
        self.send_heartbeat()
        self.stop_agent_of_ended_target(agent)

    def test_entry_is_removed_after_a_call_in_progress(self) -> None:
        self.store.answer_delay_s = 0.3
        self.stop_agent_of_ended_target(
            self.start("agent", self.agent_address)
        )


class TestStoreOutage(ProgramCase):
    """Traffic must not depend on a store that refuses calls."""

    def test_traffic_continues_and_entries_are_restored(self) -> None:
        self.start_both()
        self.send_heartbeat()
        # The balancer may be ready before it has read the agent's entry.
        self.assertTrue(
            wait_until(lambda: self.logged("balancer", "agent_registered"))
        )
        self.store.is_unavailable = True
        key = documents.AGENT_PREFIX + self.agent_address
        self.store.delete(key)
        self.open_flow()
        self.store.is_unavailable = False
        self.assertTrue(wait_until(lambda: key in self.store.item_by_key))
        # Programs write log lines up to 0.2 s after the event.
        self.assertTrue(
            wait_until(lambda: self.logged("balancer", "agent_unregistered"))
        )

    def test_balancer_starts_from_the_agents_copy(self) -> None:
        balancer, _ = self.start_both()
        self.send_heartbeat()
        self.assertTrue(
            wait_until(lambda: self.logged("agent", "documents_received"))
        )
        self.store.is_unavailable = True
        balancer.kill()
        balancer.wait()
        self.start(
            "balancer", self.balancer_address, seeds=(self.balancer_address,)
        )
        self.assertTrue(wait_until(lambda: self.readiness_status() == 200))
        self.open_flow()


class TestSilentConnection(ProgramCase):
    """A connection that goes silent must not hide a configuration."""

    # Guards against a watch that goes silent and is waited for longer than
    # daemons have to recover.
    def test_version_written_during_silence_comes_into_force(self) -> None:
        self.start_both()
        self.configure(2)
        self.assert_version(2, within_s=CONFIGURATION_BOUND_S)
        # By now, the balancer watches again.
        time.sleep(0.2)
        self.store.silence_watches()
        self.configure(3)
        self.assert_version(3, within_s=STABILITY_WINDOW_S)


class TestLargeDocuments(ProgramCase):
    """A configuration of 1,500 routes must come into force in time."""

    # Guards against limits on the duration of a transfer, after which a
    # balancer on a slow link never got a large configuration.
    def test_balancer_on_a_slow_link_starts_with_a_large_configuration(
        self,
    ) -> None:
        self.store.bytes_per_second = 100_000
        self.configure(2, idle_routes=1500)
        self.start("balancer", self.balancer_address)
        self.assert_version(2, within_s=CONFIGURATION_BOUND_S)

    # Guards against transfers of each version of a large configuration that
    # was replaced many times, of which only the newest matters.
    def test_newest_of_many_large_configurations_is_applied_in_time(
        self,
    ) -> None:
        self.configure(2, idle_routes=1500)
        self.start("balancer", self.balancer_address)
        self.assert_version(2, within_s=CONFIGURATION_BOUND_S)
        self.store.bytes_per_second = 400_000
        for version in range(3, 30):
            self.configure(version, idle_routes=1500)
            time.sleep(0.01)
        self.assert_version(29, within_s=CONFIGURATION_BOUND_S)


class TestOddEntries(ProgramCase):
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
            documents.encode_agent_entry("10.0.0.9", SERVICE, "a"),
        )

        def registered() -> bool:
            return any(
                event["event"] == "agent_registered"
                and event["agent"] == "10.0.0.9"
                for event in self.events("balancer")
            )

        self.assertTrue(wait_until(registered))
        self.configure(2)
        self.assert_version(2, within_s=CONFIGURATION_BOUND_S)
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


class TestRestoredStore(ProgramCase):
    """A store that was restored from a backup gives out revisions again."""

    def restore_earlier_state(self) -> None:
        """Applies versions 2 to 5, then restores the store with version 1."""
        self.start_both()
        self.send_heartbeat()
        backup = self.store.backup()
        for version in range(2, 6):
            self.configure(version)
            self.assert_version(version, within_s=CONFIGURATION_BOUND_S)
        self.store.restore(backup)

    # Guards against a daemon that takes a restored store for one that lags
    # behind, and ignores it until its revisions have caught up.
    def test_version_written_after_a_restore_comes_into_force(self) -> None:
        self.restore_earlier_state()
        self.configure(6)
        self.assert_version(6, within_s=CONFIGURATION_BOUND_S)

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
        self.assert_version(6, within_s=CONFIGURATION_BOUND_S)

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

        self.assertTrue(wait_until(written))
        self.store.restore(backup)
        self.assertFalse(written())
        _, answer = self.store.grant({"ttl_ms": 10000})
        self.assertEqual(platform_store_model.FIRST_LEASE_ID, answer["lease"])
        self.assertTrue(wait_until(written))
        self.assertNotIn(
            answer["lease"],
            [self.store.item_by_key[key]["lease"] for key in keys],
        )


class TestPages(ProgramCase):
    """Pages must show the current state; SIGHUP must reload settings."""

    def test_pages_show_metrics_and_state_of_a_flow(self) -> None:
        self.start_both()
        self.send_heartbeat()
        self.open_flow()
        self.exchange(transparent_simulation.ACK, b"request")
        status, text = self.get(
            self.agent_address, metrics_page.PORT, "/metrics"
        )
        self.assertEqual(200, status)
        self.assertIn("answer_time", text)
        self.assertIn('class="198.18.0.1:443"', text)
        status, text = self.get(
            self.balancer_address, metrics_page.PORT, "/state"
        )
        state = json.loads(text)
        self.assertEqual(1, state["version"])
        self.assertEqual(1, state["targets"][self.agent_address]["flows_here"])

    def test_changed_settings_are_reloaded(self) -> None:
        balancer, _ = self.start_both()
        path = pathlib.Path(self.directory.name) / "balancer.json"
        fields = json.loads(path.read_text())
        fields["bounds"]["grace_s"] = 2
        path.write_text(json.dumps(fields))
        balancer.send_signal(signal.SIGHUP)

        def changed() -> bool:
            return any(
                event["event"] == "settings_changed"
                and event["names"] == "grace_s"
                for event in self.events("balancer")
            )

        self.assertTrue(wait_until(changed))
        path.write_text("{")
        balancer.send_signal(signal.SIGHUP)
        self.assertTrue(
            wait_until(lambda: self.logged("balancer", "settings_refused"))
        )
