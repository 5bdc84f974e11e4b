"""Processes and addresses of a soak."""

import http.client
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
from typing import Any

import attrs

from godwitturn.daemons import metrics_page
from godwitturn.daemons import reactor
from godwitturn.platform import documents
from godwitturn.soak import history as histories
from godwitturn.soak import proxy
from godwitturn.standins import platform_messages
from godwitturn.standins import platform_store

# Value of the setting `bounds.grace_s`: time from SIGTERM to SIGKILL.
GRACE_S = 6
RESTART_DELAY_S = 0.3
ROUTE_HOST = "198.18.0.1"
# Service of each route at first.
SERVICE_BY_PORT = {443: "core", 444: "cards", 445: "core"}
# Route whose service operators change.
MOVING_PORT = 445
SERVICES = ("core", "cards")
# Service with a limit for cold targets, and the limit: openings a second, the
# factor by which a second may exceed it, and the openings allowed in addition.
COLD_SERVICE = "core"
COLD_PER_S = 4.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
MAX_COLD_OPENINGS = int(COLD_PER_S * COLD_OVERSHOOT) + COLD_SLACK
DATA_CENTRES = ("north", "south")
BALANCER_COUNT = 4
# Service of each target.
TARGET_SERVICES = ("core", "core", "core", "cards", "cards")
# Limit of the open flows of each target.
MAX_FLOWS = 2000
# Configurations that are written have higher versions than this.
INITIAL_VERSION = 3
KILL_TIMEOUT_S = 10.0


@attrs.define
class Member:
    """A balancer or an agent.

    Attributes:
        name: Its name.
        role: `balancer` or `agent`.
        address: Its IP address.
        data_centre: Its data centre.
        service: Service of the agent's target, empty for a balancer.
        process: The running process, or None.
        should_run: Whether a process is expected to run.
        powered: Whether its VM has power; without, no process is started.
    """

    name: str
    role: str
    address: str
    data_centre: str
    service: str = ""
    process: subprocess.Popen[bytes] | None = None
    should_run: bool = True
    powered: bool = True


class Deployment:
    """A store behind a proxy, balancers and agents.

    Attributes:
        loop: The event loop.
        history: Injected faults and events of clients and targets.
        store: The store.
        proxy: Proxy through which daemons reach the store.
        balancers: The balancers.
        agents: The agents, one for each target.
    """

    def __init__(
        self,
        loop: reactor.Reactor,
        history: histories.History,
        directory: pathlib.Path,
        subnet: str,
    ) -> None:
        self.loop = loop
        self.history = history
        self.store = platform_store.PlatformStore((f"{subnet}.200", 0))
        host, port = self.store.server_address[:2]
        self.proxy = proxy.Proxy(loop, (f"{subnet}.201", 0), (str(host), port))
        self.balancers = [
            Member(
                f"balancer-{number}",
                "balancer",
                f"{subnet}.{10 + number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
            )
            for number in range(BALANCER_COUNT)
        ]
        self.agents = [
            Member(
                f"agent-{number}",
                "agent",
                f"{subnet}.{50 + number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                service,
            )
            for number, service in enumerate(TARGET_SERVICES)
        ]
        self._directory = directory
        self._version = INITIAL_VERSION
        self._has_spare_route = False
        self._configuration = b""
        self._closed: set[str] = set()
        self._service_by_port = dict(SERVICE_BY_PORT)
        history.route_changes += [
            histories.RouteChange(loop.now, port, service)
            for port, service in SERVICE_BY_PORT.items()
        ]
        self.configure()
        self._backup = self.store.backup()

    @property
    def members(self) -> list[Member]:
        """All balancers and agents."""
        return self.balancers + self.agents

    def configure(self) -> None:
        """Writes a new configuration; every second one has a spare route."""
        self._version += random.Random(self._version).randint(1, 5)
        self._has_spare_route = not self._has_spare_route
        rows = [
            (f"route-{port}", port, service)
            for port, service in self._service_by_port.items()
        ] + [("spare", 9000, "core")] * self._has_spare_route
        document = {
            "version": self._version,
            "routes": [
                {
                    "name": name,
                    "host": ROUTE_HOST,
                    "prefix": f"/{port}/",
                    "service": service,
                }
                for name, port, service in rows
            ],
            "services": [
                {
                    "name": service,
                    "max_conns": MAX_FLOWS,
                    "cold_per_s": (
                        COLD_PER_S if service == COLD_SERVICE else 0.0
                    ),
                }
                for service in SERVICES
            ],
            "limits": {"idle_timeout_ms": 15000},
        }
        self._configuration = json.dumps(document).encode()
        self.store.put(documents.CONFIGURATION_KEY, self._configuration)

    def move_route(self) -> None:
        """Gives the route at `MOVING_PORT` the other service."""
        service = next(
            name
            for name in SERVICES
            if name != self._service_by_port[MOVING_PORT]
        )
        self._service_by_port[MOVING_PORT] = service
        self.history.route_changes.append(
            histories.RouteChange(self.loop.now, MOVING_PORT, service)
        )
        self.configure()

    def evacuate(self, data_centre: str, *, closed: bool) -> None:
        """Closes a data centre for new flows, or opens it again."""
        key = documents.EVACUATION_PREFIX + data_centre
        if closed:
            self._closed.add(data_centre)
            self.store.put(key, b"{}")
        else:
            self._closed.discard(data_centre)
            self.store.delete(key)

    def back_up_store(self) -> None:
        """Takes the backup that the store is restored from next."""
        self._backup = self.store.backup()

    def restore_store(self) -> None:
        """Restores the store from its last backup."""
        self.store.restore(self._backup)

    def write_documents(self) -> None:
        """Writes the operators' documents again, as after a restore."""
        self.store.put(documents.CONFIGURATION_KEY, self._configuration)
        for data_centre in DATA_CENTRES:
            self.evacuate(data_centre, closed=data_centre in self._closed)

    def outdated_members(self) -> list[str]:
        """Returns a line for each member that is out of date."""
        lines = []
        for balancer in self.balancers:
            state = self._read_state(balancer)
            expected = {
                "version": self._version,
                "closed_data_centres": sorted(self._closed),
            }
            found = {name: state.get(name) for name in expected}
            if found != expected:
                lines.append(f"{balancer.name}: {found}, not {expected}")
        for agent in self.agents:
            key = documents.AGENT_PREFIX + agent.address
            if key not in self.store.item_by_key:
                lines.append(f"{agent.name}: no entry in the store")
            evacuated = self._read_state(agent).get("evacuated")
            if evacuated != (agent.data_centre in self._closed):
                lines.append(
                    f"{agent.name}: evacuated is {evacuated}, closed are "
                    f"{sorted(self._closed)}"
                )
        return lines

    def _read_state(self, member: Member) -> dict[str, Any]:
        """Returns the state page of a member, empty if it doesn't answer."""
        connection = http.client.HTTPConnection(
            member.address, metrics_page.PORT, timeout=KILL_TIMEOUT_S
        )
        try:
            connection.request("GET", "/state")
            state = json.loads(connection.getresponse().read())
        except (OSError, ValueError):
            return {}
        finally:
            connection.close()
        return dict(state)

    def write_settings(self, member: Member, **changes: Any) -> None:
        """Writes the settings file of a member."""
        fields = platform_messages.settings(
            node=member.name,
            address=member.address,
            data_centre=member.data_centre,
            store=self.proxy.address,
            seeds=tuple(balancer.address for balancer in self.balancers[:3]),
            service=member.service or None,
            bounds={
                "grace_s": GRACE_S,
                "cold_overshoot": COLD_OVERSHOOT,
                "cold_slack": COLD_SLACK,
                **changes,
            },
        )
        self._settings_path(member).write_text(json.dumps(fields))

    def _settings_path(self, member: Member) -> pathlib.Path:
        return self._directory / f"{member.name}.json"

    def log_path(self, member: Member) -> pathlib.Path:
        """Returns the path of a member's log."""
        return self._directory / f"{member.name}.log"

    def start(self, member: Member) -> None:
        """Starts a member's process, unless it runs or has no power."""
        if not member.powered:
            return
        member.should_run = True
        if member.process is not None and member.process.poll() is None:
            return
        self.write_settings(member)
        with self.log_path(member).open("ab") as log:
            member.process = subprocess.Popen(
                [sys.executable, "-m", "godwitturn.platform", member.role],
                env={
                    **os.environ,
                    "GODWITTURN_CONFIG": str(self._settings_path(member)),
                },
                stdout=log,
                stderr=log,
            )

    def start_later(self, member: Member) -> None:
        """Starts a member's process after `RESTART_DELAY_S`."""
        self.loop.call_later(RESTART_DELAY_S, lambda: self.start(member))

    def signal(self, member: Member, number: signal.Signals) -> None:
        """Sends a signal to a member's process, if it runs."""
        if member.process is not None and member.process.poll() is None:
            member.process.send_signal(number)

    def power_off(self, member: Member) -> None:
        """Kills a member's process and starts no other until `power_on`."""
        member.powered = False
        member.should_run = False
        self.signal(member, signal.SIGKILL)

    def power_on(self, member: Member) -> None:
        """Starts a member's process after `power_off`."""
        member.powered = True
        self.start(member)

    def restart_exited(self) -> None:
        """Restarts processes that have exited; records unexpected exits."""
        for member in self.members:
            process = member.process
            if process is None or process.poll() is None:
                continue
            member.process = None
            if member.should_run:
                self.history.unexpected_exits.append(
                    f"{member.name}: status {process.returncode}"
                )
            self.start_later(member)

    def close(self) -> None:
        """Kills all processes that were started and stops the store."""
        for member in self.members:
            process = member.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait(KILL_TIMEOUT_S)
        self.proxy.close()
        self.store.shutdown()
        self.store.server_close()
