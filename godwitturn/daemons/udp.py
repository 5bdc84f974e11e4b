"""Non-blocking UDP sockets under trio."""

from collections.abc import Callable
import socket

import trio

from godwitturn.core import addresses

# Maximum number of datagrams read per wake-up. Reading them in batches takes a
# fifth of the time of awaiting each datagram.
BATCH_DATAGRAMS = 64
BUFFER_BYTES = 4 << 20
MAX_DATAGRAM_BYTES = 2048

Receiver = Callable[[addresses.Address, bytes], None]


class UdpEndpoint:
    """One bound UDP socket.

    Attributes:
        address: The bound address.
        dropped: Number of datagrams that the kernel refused to send.
    """

    def __init__(self, address: addresses.Address) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self._socket.bind(address)
        self.address = addresses.Address(*self._socket.getsockname()[:2])
        self.dropped = 0

    def send(self, address: addresses.Address, data: bytes) -> None:
        """Sends a datagram; counts it as dropped if the kernel refuses it."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            self.dropped += 1

    def _receive_batch(self, receive: Receiver) -> int:
        received = 0
        while received < BATCH_DATAGRAMS:
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError:
                # An ICMP error that an earlier send caused; the socket stays
                # usable.
                continue
            receive(addresses.Address(source[0], source[1]), data)
            received += 1
        return received

    async def receive_all(self, receive: Receiver) -> None:
        """Passes each received datagram to a function until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            if self._receive_batch(receive) == BATCH_DATAGRAMS:
                await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
