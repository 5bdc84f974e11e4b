"""Runs deployments as processes on the loopback interface."""

import json
import pathlib
import socket
from typing import Any

import attrs
import httpx
import trio

from godwitturn.core import addresses
from godwitturn.core import documents
from godwitturn.standins import deployments
from godwitturn.standins import processes
from godwitturn.standins import seeding

SERVING_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1


@attrs.define
class System:
    """The processes of one deployment.

    Attributes:
        deployment: Deployment to run.
        table: Table that the processes are started in.
        store_url: HTTP address of the store.
        directory: Directory of settings and history files.
        service_s: Seconds that a target takes for a request.
        cold_s: Seconds from the cold start of a target until it is warm.
        idle_seconds: Seconds without traffic after which agents end a flow.
        balancer_module: Module that is run as a balancer.
        caller_port_by_name: UDP ports at which balancers receive callers'
            datagrams.
        control_port_by_name: TCP ports of the balancers' control channels.
        admin_port_by_name: TCP ports of the balancers' administration APIs.
    """

    deployment: deployments.Deployment
    table: processes.ProcessTable
    store_url: str
    directory: pathlib.Path
    service_s: float = 0.004
    cold_s: float = 0.0
    idle_seconds: float = 60.0
    balancer_module: str = "godwitturn.daemons.balancer"
    caller_port_by_name: dict[str, int] = attrs.field(factory=dict)
    control_port_by_name: dict[str, int] = attrs.field(factory=dict)
    admin_port_by_name: dict[str, int] = attrs.field(factory=dict)

    def _address(self, port: int) -> str:
        return f"127.0.0.1:{port}"

    @property
    def balancers(self) -> list[deployments.MemberSpec]:
        """Descriptions of the balancers, running or not."""
        return deployments.balancer_specs(self.deployment)

    @property
    def targets(self) -> list[deployments.MemberSpec]:
        """Descriptions of the targets, running or not."""
        return deployments.target_specs(self.deployment)

    @property
    def fabric(self) -> processes.Process:
        """Process of the fabric."""
        return self.table.process_by_name[f"{self.deployment.name}-fabric"]

    @property
    def fabric_address(self) -> addresses.Address:
        """Address that callers send datagrams to."""
        return addresses.Address("127.0.0.1", int(self.fabric.ready_text))

    @property
    def history_path(self) -> pathlib.Path:
        """File in which targets record the requests that they run."""
        return self.directory / f"{self.deployment.name}-history.jsonl"

    def target_url(self, target: deployments.MemberSpec) -> str:
        """Returns the HTTP address of a target."""
        process = self.table.process_by_name[f"{target.name}-target"]
        return f"http://127.0.0.1:{process.ready_text}"

    def seeds(self) -> dict[str, deployments.MemberSpec]:
        """Returns all balancers by control address."""
        return {
            self._address(self.control_port_by_name[balancer.name]): balancer
            for balancer in self.balancers
        }

    def _service(self, name: str) -> documents.Service:
        return next(s for s in self.deployment.services if s.name == name)

    def start_target(
        self, target: deployments.MemberSpec, port: int = 0
    ) -> processes.Process:
        """Starts a target; port 0 chooses a free one."""
        service = self._service(target.service)
        return self.table.start(
            f"{target.name}-target",
            [
                "godwitturn.standins.target",
                f"--service={target.service}",
                f"--service-id={service.service_id}",
                f"--target-id={target.member().member_id}",
                f"--data-centre={target.data_centre}",
                f"--slots={service.slots}",
                f"--port={port}",
                f"--service-s={self.service_s}",
                f"--cold-s={self.cold_s}",
                f"--history-file={self.history_path}",
            ],
        )

    def start_agent(self, target: deployments.MemberSpec) -> processes.Process:
        """Starts the agent of a target, which must be ready."""
        path = self.directory / f"{target.name}.toml"
        deployments.write_agent_settings(
            path,
            self.deployment,
            target,
            store_url=self.store_url,
            target_url=self.target_url(target),
            idle_seconds=self.idle_seconds,
            seeds=self.seeds(),
        )
        return self.table.start(
            f"{target.name}-agent",
            ["godwitturn.daemons.agent", f"--settings={path}"],
        )

    def start_balancer(
        self, balancer: deployments.MemberSpec
    ) -> processes.Process:
        """Starts a balancer, without waiting until it is ready."""
        path = self.directory / f"{balancer.name}.toml"
        deployments.write_balancer_settings(
            path,
            self.deployment,
            balancer,
            store_url=self.store_url,
            caller_address=self._address(
                self.caller_port_by_name[balancer.name]
            ),
            control_address=self._address(
                self.control_port_by_name[balancer.name]
            ),
            seeds=self.seeds(),
            admin_address=self._address(
                self.admin_port_by_name[balancer.name]
            ),
        )
        return self.table.start(
            balancer.name, [self.balancer_module, f"--settings={path}"]
        )

    def _caller_addresses(self) -> list[str]:
        return [
            self._address(port) for port in self.caller_port_by_name.values()
        ]

    def update_fabric_balancers(self) -> None:
        """Sends the fabric the current addresses of all balancers."""
        balancers = self._caller_addresses()
        self.fabric.write_line(json.dumps({"balancers": balancers}))

    def _start_fabric(self) -> processes.Process:
        balancers = self._caller_addresses()
        return self.table.start(
            f"{self.deployment.name}-fabric",
            ["godwitturn.standins.fabric", "--balancers", *balancers],
        )

    async def start(self, rules: documents.Rules | None = None) -> None:
        """Writes the documents to the store and starts all processes."""
        for balancer in self.balancers:
            udp_port = processes.free_port(socket.SOCK_DGRAM)
            self.caller_port_by_name[balancer.name] = udp_port
            self.control_port_by_name[balancer.name] = processes.free_port()
            self.admin_port_by_name[balancer.name] = processes.free_port()
        started = [self.start_target(target) for target in self.targets]
        started += [
            self.start_balancer(balancer) for balancer in self.balancers
        ]
        started.append(self._start_fabric())
        await seeding.seed(self.deployment, self.store_url, rules)
        for process in started:
            process.wait_ready()
        agents = [self.start_agent(target) for target in self.targets]
        for process in agents:
            process.wait_ready()

    async def status(self, balancer: deployments.MemberSpec) -> dict[str, Any]:
        """Returns a balancer's status; empty if it cannot be reached."""
        url = (
            f"http://127.0.0.1:{self.admin_port_by_name[balancer.name]}/status"
        )
        token = self.deployment.secret("admin").hex()
        headers = {"Authorization": f"Bearer {token}"}
        async with httpx.AsyncClient(trust_env=False) as client:
            try:
                answer = await client.get(url, headers=headers)
            except httpx.HTTPError:
                return {}
            return dict(answer.json())

    async def wait_serving(self) -> None:
        """Waits until no balancer is fenced and each knows all members.

        Raises:
            RuntimeError: A process ended, or a balancer did not reach this
                state within `SERVING_TIMEOUT_S`; the message has its status.
        """
        expected = len(self.targets) + len(self.balancers)
        for balancer in self.balancers:
            status: dict[str, Any] = {}
            with trio.move_on_after(SERVING_TIMEOUT_S):
                while not _is_serving(status, expected):
                    self.table.check_running()
                    await trio.sleep(POLL_INTERVAL_S)
                    status = await self.status(balancer)
            if not _is_serving(status, expected):
                log = self.table.process_by_name[balancer.name].log.read_text()
                raise RuntimeError(
                    f"{balancer.name} is fenced or knows fewer than "
                    f"{expected} members: {status}; "
                    f"its log ends with {log[-2000:]}"
                )


def _is_serving(status: dict[str, Any], expected: int) -> bool:
    if not status or status["fenced"]:
        return False
    return len(status["members"]) >= expected


def start_store(table: processes.ProcessTable) -> str:
    """Starts the store, waits until it is ready and returns its URL."""
    process = table.start("store", ["godwitturn.standins.store", "--port=0"])
    return f"http://127.0.0.1:{process.wait_ready()}"
