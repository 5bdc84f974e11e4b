"""The balancer daemon: UDP sockets around `core.balancer`."""

import secrets
import time
from typing import ClassVar
from typing import Protocol

import trio

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import balancer
from godwitturn.core import coalescing
from godwitturn.core import identity
from godwitturn.core import store_position
from godwitturn.core import token as tokens
from godwitturn.daemons import clock
from godwitturn.daemons import common
from godwitturn.daemons import control
from godwitturn.daemons import launch
from godwitturn.daemons import runtime
from godwitturn.daemons import udp
from godwitturn.settings import schema

Core = common.Core[actions.BalancerEvent, actions.BalancerAction]


class CoreFactory(Protocol):
    """Creates the core of a balancer daemon."""

    def __call__(
        self,
        *,
        member_id: identity.MemberId,
        token_keys: list[tokens.TokenKey],
        seed: int,
    ) -> Core:
        """Returns a core without targets."""


class BalancerDaemon(
    common.Daemon[actions.BalancerEvent, actions.BalancerAction]
):
    """One balancer process.

    Attributes:
        core_factory: Creates the core; stand-ins override it.
    """

    core_factory: ClassVar[CoreFactory] = balancer.Balancer

    def __init__(self, settings: schema.Settings) -> None:
        assert settings.balancer is not None
        super().__init__(settings)
        self._core = self.core_factory(
            member_id=self.runtime.member_id,
            token_keys=runtime.token_keys(settings),
            seed=secrets.randbits(32),
        )
        self.runtime.metrics.counters_by_part["balancer"] = self._core.counters
        self._caller_socket = udp.UdpEndpoint(settings.balancer.caller_address)
        self._agent_socket = udp.UdpEndpoint(settings.balancer.data_address)
        self._coalescer = coalescing.Coalescer()
        self._applied_position = store_position.UNREAD
        self.control = control.ControlService(
            settings,
            self.runtime,
            on_change=self._handle_control_change,
            on_fence_change=self._handle_fence_change,
        )

    def _handle_control_change(self) -> None:
        self._coalescer.record_change()
        if self.control.position != self._applied_position:
            # A new configuration is applied without delay: it may forbid
            # routes that the old table allows, and the daemon would not be
            # fenced, because its configuration counts as confirmed.
            self._apply_changes()
        else:
            self._apply_changes_if_due()

    def _apply_changes_if_due(self) -> None:
        if self._coalescer.is_due(now=clock.now()):
            self._apply_changes()

    def _apply_changes(self) -> None:
        started_s = time.thread_time()
        self._update_routing_table()
        self._coalescer.record_applied(
            now=clock.now(), cost_s=time.thread_time() - started_s
        )

    def _update_routing_table(self) -> None:
        self._applied_position = self.control.position
        inputs = self.control.routing_inputs()
        table = inputs.build_table(own_data_centre=self._settings.data_centre)
        self._dispatch(actions.RoutingChanged(table))

    def _handle_fence_change(self, fenced: bool) -> None:
        self._dispatch(actions.FenceChanged(fenced))

    def _handle_caller_datagram(
        self, source: addresses.Address, data: bytes
    ) -> None:
        self._dispatch(actions.CallerDatagram(source, data))

    def _handle_agent_datagram(
        self, source: addresses.Address, data: bytes
    ) -> None:
        self._dispatch(actions.AgentDatagram(source, data))

    def _perform(self, action: actions.BalancerAction) -> None:
        match action:
            case actions.SendToAgent(address, data):
                self._agent_socket.send(address, data)
            case actions.SendToCaller(address, data):
                self._caller_socket.send(address, data)
            case _:
                self._perform_common(action)

    def _tick(self) -> None:
        self._apply_changes_if_due()
        self._dispatch(actions.Tick())

    def _stop(self) -> None:
        self.control.announce(draining=True)
        self._dispatch(actions.StopRequested())

    def _start(self, nursery: trio.Nursery) -> int:
        nursery.start_soon(
            self._caller_socket.receive_all, self._handle_caller_datagram
        )
        nursery.start_soon(
            self._agent_socket.receive_all, self._handle_agent_datagram
        )
        return self._caller_socket.address.port


def run(settings: schema.Settings) -> None:
    """Runs a balancer until it is stopped."""
    trio.run(BalancerDaemon(settings).run)


if __name__ == "__main__":
    launch.main("Runs a balancer until it is stopped.", run)
