"""Stand-in for the fabric: sends each caller's datagram to a random balancer.

Each caller address has its own upstream socket, so that balancers see a
distinct address for each caller, and any of them can answer to it. Faults and
balancers are changed by lines of JSON on standard input.
"""

import json
import random
import sys

import attrs
import defopt
import trio

from godwitturn.core import addresses
from godwitturn.daemons import udp

REORDER_DELAY_S = 0.005


@attrs.frozen
class Faults:
    """Faults that the fabric applies to datagrams in both directions.

    Attributes:
        loss: Share of datagrams that are lost, 0 to 1.
        duplication: Share of datagrams that are delivered twice, 0 to 1.
        reordering: Share of datagrams that are delayed by a random time of up
            to `REORDER_DELAY_S`, 0 to 1.
        delay_s: Delay of every datagram in seconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_s: float = 0.0


@attrs.define
class Fabric:
    """Distributes callers' datagrams over balancers and returns the answers.

    Attributes:
        front: Socket that callers send to.
        balancers: Addresses at which balancers receive callers' datagrams.
        faults: Faults to apply.
        random: Source of all random choices.
        nursery: Runs upstream sockets and delayed sends.
        forwarded: Number of datagrams from callers, lost ones included.
    """

    front: udp.UdpEndpoint
    balancers: tuple[addresses.Address, ...]
    random: random.Random
    nursery: trio.Nursery
    faults: Faults = Faults()
    forwarded: int = 0
    _upstream_by_caller: dict[addresses.Address, udp.UdpEndpoint] = (
        attrs.field(factory=dict)
    )

    def _upstream_of(self, caller: addresses.Address) -> udp.UdpEndpoint:
        upstream = self._upstream_by_caller.get(caller)
        if upstream is None:
            host = self.front.address.host
            upstream = udp.UdpEndpoint(addresses.Address(host, 0))
            self._upstream_by_caller[caller] = upstream

            def return_answer(_: addresses.Address, data: bytes) -> None:
                self._send(self.front, caller, data)

            self.nursery.start_soon(upstream.receive_all, return_answer)
        return upstream

    async def _send_later(
        self,
        endpoint: udp.UdpEndpoint,
        address: addresses.Address,
        data: bytes,
        delay_s: float,
    ) -> None:
        await trio.sleep(delay_s)
        endpoint.send(address, data)

    def _send(
        self,
        endpoint: udp.UdpEndpoint,
        address: addresses.Address,
        data: bytes,
    ) -> None:
        faults = self.faults
        if self.random.random() < faults.loss:
            return
        copies = 1 + (self.random.random() < faults.duplication)
        for _ in range(copies):
            delay_s = faults.delay_s
            if self.random.random() < faults.reordering:
                delay_s += self.random.random() * REORDER_DELAY_S
            if delay_s > 0:
                self.nursery.start_soon(
                    self._send_later, endpoint, address, data, delay_s
                )
            else:
                endpoint.send(address, data)

    def forward(self, caller: addresses.Address, data: bytes) -> None:
        """Sends a caller's datagram to a random balancer, if there is any."""
        if not self.balancers:
            return
        self.forwarded += 1
        balancer = self.random.choice(self.balancers)
        self._send(self._upstream_of(caller), balancer, data)

    def apply(self, line: str) -> None:
        """Applies a command like `{"loss": 0.2}` or `{"balancers": [...]}`.

        Raises:
            ValueError: The line is not JSON or names an unknown fault.
        """
        command = json.loads(line)
        if "balancers" in command:
            self.balancers = _parse_addresses(command.pop("balancers"))
        unknown = command.keys() - attrs.asdict(Faults()).keys()
        if unknown:
            raise ValueError(
                f"unknown faults {sorted(unknown)}; "
                f"allowed: {sorted(attrs.fields_dict(Faults))}"
            )
        self.faults = attrs.evolve(self.faults, **command)

    async def read_commands(self, stream: trio.abc.ReceiveStream) -> None:
        """Applies each line of a stream until its end."""
        incomplete = b""
        async for chunk in stream:
            *lines, incomplete = (incomplete + chunk).split(b"\n")
            for line in lines:
                self.apply(line.decode())


def _parse_addresses(texts: list[str]) -> tuple[addresses.Address, ...]:
    parts = [text.rpartition(":") for text in texts]
    return tuple(addresses.Address(host, int(port)) for host, _, port in parts)


async def _serve(
    front: udp.UdpEndpoint, balancers: list[str], seed: int
) -> None:
    async with trio.open_nursery() as nursery:
        fabric = Fabric(
            front, _parse_addresses(balancers), random.Random(seed), nursery
        )
        nursery.start_soon(front.receive_all, fabric.forward)
        print(f"ready {front.address.port}", flush=True)
        stream = trio.lowlevel.FdStream(sys.stdin.fileno())
        nursery.start_soon(fabric.read_commands, stream)


def fabric(*, balancers: list[str], port: int = 0, seed: int = 1) -> None:
    """Runs the fabric on a loopback port until killed.

    Args:
        balancers: Addresses at which balancers receive callers' datagrams,
            such as 127.0.0.1:7000.
        port: UDP port that callers send to; 0 chooses a free one.
        seed: Seed of all random choices.
    """
    front = udp.UdpEndpoint(addresses.Address("127.0.0.1", port))
    trio.run(_serve, front, balancers, seed)


if __name__ == "__main__":
    defopt.run(fabric)
