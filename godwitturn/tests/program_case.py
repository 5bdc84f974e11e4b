"""Base class of tests of both programs as processes on loopback."""

from collections.abc import Callable
import http.client
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
import unittest

from godwitturn import bytecode
from godwitturn.platform import documents
from godwitturn.platform import packets
from godwitturn.standins import platform_messages
from godwitturn.standins import platform_store
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

    def send_heartbeat(self, target_id: str = "i-1", **changes: Any) -> int:
        """Sends a heartbeat and returns the answer's status.

        Args:
            target_id: Id of its writer, by default that of the target.
            changes: Fields that differ from the target's; those that are None
                are left out.
        """
        fields = {
            **platform_messages.heartbeat(
                SERVICE,
                address=self.agent_address,
                data_centre="a",
                sequence=1,
                born=17,
            ),
            **changes,
        }
        for name in [name for name, value in fields.items() if value is None]:
            del fields[name]
        connection = http.client.HTTPConnection(
            self.agent_address, platform_messages.CONTROL_PORT, timeout=2.0
        )
        connection.request(
            "PUT", f"/instances/{target_id}", json.dumps(fields)
        )
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
