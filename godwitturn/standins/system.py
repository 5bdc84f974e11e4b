"""Brings deployments up as processes on loopback."""

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
POLL_S = 0.1


@attrs.define
class System:
    """One deployment, running.

    Attributes:
        deployment: What runs.
        table: The processes.
        store_url: The store's HTTP address.
        directory: Where settings and histories are written.
        service_s: Seconds that a target spends on a request.
        cold_s: Seconds from a target's cold start until it is warm.
        idle_seconds: Seconds after which agents end a silent flow.
        balancer_module: What runs as a balancer.
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
        """The balancers."""
        return deployments.balancer_specs(self.deployment)

    @property
    def targets(self) -> list[deployments.MemberSpec]:
        """The targets."""
        return deployments.target_specs(self.deployment)

    @property
    def fabric(self) -> processes.Process:
        """The fabric's process."""
        return self.table.process_by_name[f"{self.deployment.name}-fabric"]

    @property
    def fabric_address(self) -> addresses.Address:
        """Where callers send datagrams to."""
        return addresses.Address("127.0.0.1", int(self.fabric.ready_text))

    @property
    def history_path(self) -> pathlib.Path:
        """File that targets record runs in."""
        return self.directory / f"{self.deployment.name}-history.jsonl"

    def target_url(self, plan: deployments.MemberSpec) -> str:
        """Returns the HTTP address of a target."""
        process = self.table.process_by_name[f"{plan.name}-target"]
        return f"http://127.0.0.1:{process.ready_text}"

    def seeds(self) -> dict[str, deployments.MemberSpec]:
        """Balancers by control address."""
        return {
            self._address(self.control_port_by_name[plan.name]): plan
            for plan in self.balancers
        }

    def _service(self, name: str) -> documents.Service:
        return next(s for s in self.deployment.services if s.name == name)

    def start_target(
        self, plan: deployments.MemberSpec, port: int = 0
    ) -> processes.Process:
        """Starts the target of a member; port 0 takes a free one."""
        service = self._service(plan.service)
        return self.table.start(
            f"{plan.name}-target",
            [
                "godwitturn.standins.target",
                f"--service={plan.service}",
                f"--service-id={service.service_id}",
                f"--target-id={plan.member().member_id}",
                f"--data-centre={plan.data_centre}",
                f"--slots={service.slots}",
                f"--port={port}",
                f"--service-s={self.service_s}",
                f"--cold-s={self.cold_s}",
                f"--history-file={self.history_path}",
            ],
        )

    def start_agent(self, plan: deployments.MemberSpec) -> processes.Process:
        """Starts the agent of a member; its target must be ready."""
        path = self.directory / f"{plan.name}.toml"
        deployments.write_agent_settings(
            path,
            self.deployment,
            plan,
            store_url=self.store_url,
            target_url=self.target_url(plan),
            idle_seconds=self.idle_seconds,
            seeds=self.seeds(),
        )
        return self.table.start(
            f"{plan.name}-agent",
            ["godwitturn.daemons.agent", f"--settings={path}"],
        )

    def start_balancer(
        self, plan: deployments.MemberSpec
    ) -> processes.Process:
        """Starts a balancer."""
        path = self.directory / f"{plan.name}.toml"
        deployments.write_balancer_settings(
            path,
            self.deployment,
            plan,
            store_url=self.store_url,
            caller_address=self._address(self.caller_port_by_name[plan.name]),
            control_address=self._address(
                self.control_port_by_name[plan.name]
            ),
            seeds=self.seeds(),
            admin_address=self._address(self.admin_port_by_name[plan.name]),
        )
        return self.table.start(
            plan.name, [self.balancer_module, f"--settings={path}"]
        )

    def _caller_addresses(self) -> list[str]:
        return [
            self._address(port) for port in self.caller_port_by_name.values()
        ]

    def update_fabric_balancers(self) -> None:
        """Tells the fabric where the balancers are now."""
        found = self._caller_addresses()
        self.fabric.write_line(json.dumps({"balancers": found}))

    def _start_fabric(self) -> processes.Process:
        balancers = self._caller_addresses()
        return self.table.start(
            f"{self.deployment.name}-fabric",
            ["godwitturn.standins.fabric", "--balancers", *balancers],
        )

    async def start(self, rules: documents.Rules | None = None) -> None:
        """Writes the configuration and starts every process."""
        for plan in self.balancers:
            udp_port = processes.free_port(socket.SOCK_DGRAM)
            self.caller_port_by_name[plan.name] = udp_port
            self.control_port_by_name[plan.name] = processes.free_port()
            self.admin_port_by_name[plan.name] = processes.free_port()
        started = [self.start_target(plan) for plan in self.targets]
        started += [self.start_balancer(plan) for plan in self.balancers]
        started.append(self._start_fabric())
        await seeding.seed(self.deployment, self.store_url, rules)
        for process in started:
            process.wait_ready()
        agents = [self.start_agent(plan) for plan in self.targets]
        for process in agents:
            process.wait_ready()

    async def status(self, plan: deployments.MemberSpec) -> dict[str, Any]:
        """Returns a balancer's word about itself; empty if it is silent."""
        url = f"http://127.0.0.1:{self.admin_port_by_name[plan.name]}/status"
        token = self.deployment.secret("admin").hex()
        headers = {"Authorization": f"Bearer {token}"}
        async with httpx.AsyncClient(trust_env=False) as client:
            try:
                answer = await client.get(url, headers=headers)
            except httpx.HTTPError:
                return {}
            return dict(answer.json())

    async def wait_serving(self) -> None:
        """Waits until every balancer forwards and knows every member.

        Raises:
            RuntimeError: A process ended, or a balancer is not that far
                within a minute; the message tells what it knows.
        """
        expected = len(self.targets) + len(self.balancers)
        for plan in self.balancers:
            status: dict[str, Any] = {}
            with trio.move_on_after(SERVING_TIMEOUT_S):
                while not _serves(status, expected):
                    self.table.check_running()
                    await trio.sleep(POLL_S)
                    status = await self.status(plan)
            if not _serves(status, expected):
                log = self.table.process_by_name[plan.name].log.read_text()
                raise RuntimeError(
                    f"{plan.name} does not serve {expected} members: "
                    f"{status}; its log ends with {log[-2000:]}"
                )


def _serves(status: dict[str, Any], expected: int) -> bool:
    if not status or status["fenced"]:
        return False
    return len(status["members"]) >= expected


def start_store(table: processes.ProcessTable) -> str:
    """Starts the store and returns its HTTP address."""
    process = table.start("store", ["godwitturn.standins.store", "--port=0"])
    return f"http://127.0.0.1:{process.wait_ready()}"
