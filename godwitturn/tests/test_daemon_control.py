"""Tests of the control service of a daemon."""

from collections.abc import Callable
import contextlib
import pathlib
import tempfile
import unittest
from unittest import mock

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import control_events
from godwitturn.daemons import control
from godwitturn.daemons import control_channel
from godwitturn.daemons import runtime as runtimes
from godwitturn.settings import load
from godwitturn.standins import deployments
from godwitturn.standins import system_runs


@attrs.define
class _Node:
    """A control node that an announcement fences until a message arrives."""

    peer: deployments.MemberSpec

    def handle(
        self, event: control_events.ControlEvent, *, now: float
    ) -> list[control_events.ControlAction]:
        del now
        peer = self.peer.member().member_id
        match event:
            case control_events.LocalAnnouncement(address):
                key = self.peer.public_key
                return [
                    control_events.ConnectPeer(peer, address, key),
                    control_events.SendToPeer(peer, b"digest"),
                    actions.FenceChanged(True),
                ]
            case control_events.PeerMessage():
                return [actions.FenceChanged(False)]
        return []


class _Channel:
    """A channel that receives a message during each send, as ZeroMQ may."""

    def __init__(
        self,
        *,
        address: addresses.Address,
        keys: control_channel.KeyPair,
        is_allowed: Callable[[bytes], bool],
        receive: control_channel.Receiver,
    ) -> None:
        del keys, is_allowed
        self.address = address
        self.sent: list[bytes] = []
        self._receive = receive

    def connect(self, public_key: bytes, address: addresses.Address) -> None:
        """Does nothing."""

    def send(self, public_key: bytes, message: bytes) -> bool:
        self.sent.append(message)
        self._receive(public_key, b"confirmations")
        return True


class TestOrder(unittest.TestCase):
    """Messages that are received while the node's actions are performed."""

    def setUp(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / "agent.toml"
        deployment = system_runs.SMALL_DEPLOYMENT
        target = deployments.target_specs(deployment)[0]
        deployments.write_agent_settings(
            path,
            deployment,
            target,
            store_url="http://127.0.0.1:1",
            target_url="http://127.0.0.1:1",
            seeds={},
        )
        settings = load.load_or_exit(path)
        self.fence_changes: list[bool] = []
        with mock.patch.object(control_channel, "ControlChannel", _Channel):
            self.service = control.ControlService(
                settings,
                runtimes.Runtime(settings),
                on_change=lambda: None,
                on_fence_change=self.fence_changes.append,
            )
        vars(self.service)["node"] = _Node(
            deployments.balancer_specs(deployment)[0]
        )

    def test_actions_of_an_earlier_event_are_performed_first(self) -> None:
        """Guards against a daemon that stays fenced despite a confirmed view.

        The message that confirms the view arrives while a digest is sent. If
        the service handled it at once, the fence of the earlier event would
        be set afterwards.
        """
        self.service.announce(draining=False)
        self.assertEqual([b"digest"], vars(self.service.channel)["sent"])
        self.assertEqual([True, False], self.fence_changes)
