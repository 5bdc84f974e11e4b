"""Tests of the control channel between daemons."""

import unittest

import trio

from godwitturn.core import addresses
from godwitturn.daemons import control_channel

ANY_PORT = addresses.Address("127.0.0.1", 0)
TIMEOUT_S = 20.0
POLL_S = 0.05


def _keys(number: int) -> control_channel.KeyPair:
    return control_channel.KeyPair.from_secret_key(bytes([number]) * 32)


class _Peer:
    """A channel and the messages that it received."""

    def __init__(self, keys: control_channel.KeyPair) -> None:
        self.received: list[bytes] = []
        self.keys = keys
        self.channel = control_channel.ControlChannel(
            address=ANY_PORT,
            keys=keys,
            is_allowed=lambda _: True,
            receive=lambda _, message: self.received.append(message),
        )

    async def receive_from(self, source: "_Peer", message: bytes) -> None:
        """Waits for a message that another peer sends repeatedly."""
        while message not in self.received:
            source.channel.send(self.keys.public_key, message)
            await trio.sleep(POLL_S)


class TestAddressChange(unittest.TestCase):
    """A peer that restarts at another address."""

    def test_connection_follows_the_peer(self) -> None:
        """Guards against sending to the former address of a peer."""
        trio.run(self._change_address)

    async def _change_address(self) -> None:
        source = _Peer(_keys(1))
        before, after = _Peer(_keys(2)), _Peer(_keys(2))
        key = before.keys.public_key
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for peer in (source, before, after):
                    nursery.start_soon(peer.channel.run)
                source.channel.connect(key, before.channel.address)
                await before.receive_from(source, b"first")
                source.channel.connect(key, after.channel.address)
                await after.receive_from(source, b"second")
                nursery.cancel_scope.cancel()
        self.assertNotIn(b"second", before.received)
