"""The agent daemon: UDP socket and target client around `core.agent`."""

import secrets

import trio

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import agent
from godwitturn.daemons import common
from godwitturn.daemons import control
from godwitturn.daemons import launch
from godwitturn.daemons import runtime
from godwitturn.daemons import target_client
from godwitturn.daemons import udp
from godwitturn.settings import schema


class AgentDaemon(common.Daemon[actions.AgentEvent, actions.AgentAction]):
    """One agent process."""

    _core: agent.Agent

    def __init__(self, settings: schema.Settings) -> None:
        assert settings.agent is not None
        super().__init__(settings)
        self._target_url = settings.agent.target_url
        self._core = agent.Agent(
            member_id=self.runtime.member_id,
            service_id=settings.agent.service_id,
            token_keys=runtime.token_keys(settings),
            incarnation=secrets.randbits(32),
            idle_seconds=settings.agent.idle_seconds,
        )
        self.runtime.metrics.counters_by_part["agent"] = self._core.counters
        self._balancer_socket = udp.UdpEndpoint(settings.agent.data_address)
        self._target_client: target_client.TargetClient | None = None
        self.control = control.ControlService(
            settings,
            self.runtime,
            on_change=self._handle_control_change,
            on_fence_change=self._handle_fence_change,
            data_address=self._balancer_socket.address,
        )

    def _handle_control_change(self) -> None:
        self._dispatch(actions.PolicyChanged(self.control.agent_policy()))

    def _handle_fence_change(self, fenced: bool) -> None:
        self._dispatch(actions.FenceChanged(fenced))

    def _handle_balancer_datagram(
        self, source: addresses.Address, data: bytes
    ) -> None:
        self._dispatch(actions.BalancerDatagram(source, data))

    def _perform(self, action: actions.AgentAction) -> None:
        assert self._target_client is not None
        match action:
            case actions.SendToBalancer(address, data):
                self._balancer_socket.send(address, data)
            case actions.StartRequest():
                self._target_client.start(action)
            case actions.CancelRequest(key):
                self._target_client.cancel(key)
            case _:
                self._perform_common(action)

    def _tick(self) -> None:
        self._dispatch(actions.Tick())
        # From the announcement, balancers learn that the target drains even
        # if they receive no packets from it.
        self.control.announce(draining=self._core.draining)

    def _stop(self) -> None:
        self._dispatch(actions.StopRequested())

    def _start(self, nursery: trio.Nursery) -> int:
        self._target_client = target_client.TargetClient(
            url=self._target_url, receive=self._dispatch, nursery=nursery
        )
        nursery.start_soon(self._target_client.watch_health)
        nursery.start_soon(
            self._balancer_socket.receive_all, self._handle_balancer_datagram
        )
        return self._balancer_socket.address.port


def run(settings: schema.Settings) -> None:
    """Runs an agent until it is stopped."""
    trio.run(AgentDaemon(settings).run)


if __name__ == "__main__":
    launch.main("Runs the agent of a target until it is stopped.", run)
