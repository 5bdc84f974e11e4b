"""Steps of failure tests: signals, faults, changes and raw datagrams."""

from collections.abc import Awaitable
from collections.abc import Callable
import signal
import socket

import attrs
import trio

from godwitturn.core import addresses
from godwitturn.core import documents
from godwitturn.core import token as tokens
from godwitturn.etcd import operations
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.protocol import packet as packets
from godwitturn.standins import deployments
from godwitturn.standins import processes
from godwitturn.standins import system as systems
from godwitturn.tests import system_case

STEP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
RESEND_INTERVAL_S = 0.5
RECEIVE_BUFFER_BYTES = 4096


def process_of(
    system: systems.System, member: deployments.MemberSpec
) -> processes.Process:
    """Returns the balancer or agent process of a member."""
    suffix = "" if member.kind is documents.MemberKind.BALANCER else "-agent"
    return system.table.process_by_name[member.name + suffix]


def targets_of(
    system: systems.System, service: str
) -> list[deployments.MemberSpec]:
    """Returns the targets of a service."""
    return [target for target in system.targets if target.service == service]


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    """Polls a condition until it holds.

    Raises:
        trio.TooSlowError: The condition does not hold within `STEP_TIMEOUT_S`.
    """
    with trio.fail_after(STEP_TIMEOUT_S):
        while not await condition():
            await trio.sleep(POLL_INTERVAL_S)


async def wait_forwarding(
    system: systems.System, balancer: deployments.MemberSpec
) -> None:
    """Waits until a balancer is not fenced and knows every target."""

    async def forwards() -> bool:
        status = await system.status(balancer)
        if not status or status["fenced"]:
            return False
        known = {member["id"] for member in status["members"]}
        wanted = {f"{t.member().member_id:016x}" for t in system.targets}
        return wanted <= known

    await wait_for(forwards)


async def restart(
    system: systems.System, member: deployments.MemberSpec
) -> None:
    """Starts a balancer or agent again and waits until it is ready."""
    if member.kind is documents.MemberKind.BALANCER:
        process = system.start_balancer(member)
        await trio.to_thread.run_sync(process.wait_ready)
        await wait_forwarding(system, member)
    else:
        process = system.start_agent(member)
        await trio.to_thread.run_sync(process.wait_ready)


async def stop(system: systems.System, member: deployments.MemberSpec) -> int:
    """Stops a balancer or agent gracefully and returns its exit status."""
    process = process_of(system, member)
    return await trio.to_thread.run_sync(process.stop)


async def pause(
    system: systems.System, member: deployments.MemberSpec, seconds: float
) -> None:
    """Suspends a balancer or agent for some seconds."""
    process = process_of(system, member)
    process.signal(signal.SIGSTOP)
    await trio.sleep(seconds)
    process.signal(signal.SIGCONT)


async def counters(
    system: systems.System, balancer: deployments.MemberSpec
) -> dict[str, int]:
    """Returns the counters in a balancer's status."""
    status = await system.status(balancer)
    return dict(status["counters"])


async def target_counts(
    system: systems.System, service: str
) -> list[dict[str, int]]:
    """Returns the request counts of each target of a service."""
    return [
        await system_case.get_json(
            f"{system.target_url(target)}/standin/counts"
        )
        for target in targets_of(system, service)
    ]


async def change_behaviour(
    system: systems.System, target: deployments.MemberSpec, **changes: object
) -> None:
    """Changes the behaviour of a target."""
    url = system.target_url(target)
    await system_case.post_json(f"{url}/standin/behaviour", **changes)


async def data_address(
    system: systems.System, target: deployments.MemberSpec
) -> addresses.Address:
    """Returns the data address of a target's agent, as announced.

    Raises:
        LookupError: The first balancer has no announcement of the target.
    """
    wanted = f"{target.member().member_id:016x}"
    status = await system.status(system.balancers[0])
    for member in status["members"]:
        if member["id"] == wanted:
            host, port = member["address"][:2]
            return addresses.Address(host, port)
    raise LookupError(f"{target.name} ({wanted}) is not announced")


def caller_address(
    system: systems.System, balancer: deployments.MemberSpec
) -> addresses.Address:
    """Returns the address at which a balancer receives callers' datagrams."""
    port = system.caller_port_by_name[balancer.name]
    return addresses.Address("127.0.0.1", port)


async def write_rules(system: systems.System, rules: documents.Rules) -> None:
    """Replaces the rules in the store.

    Raises:
        RuntimeError: The write was not confirmed.
    """
    async with store.StoreClient([system.store_url]) as client:
        documents_store = repository.Repository(
            client, system.deployment.name, trio.current_time
        )
        outcome = await documents_store.change(
            "rules",
            lambda _: rules,
            f"rules-{trio.current_time()}",
            deadline=trio.current_time() + STEP_TIMEOUT_S,
        )
    if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
        raise RuntimeError(f"write of the rules not confirmed: {outcome}")


def token_key(
    system: systems.System, service: documents.Service
) -> tokens.TokenKey:
    """Returns the key that seals the tokens of a service."""
    service_id = service.service_id
    secret = system.deployment.secret("token", str(service_id))
    return tokens.TokenKey(1, service_id, secret)


def opening(service_id: int, flow_id: int) -> bytes:
    """Returns an encoded packet that opens a flow."""
    return packets.encode(
        packets.Packet(
            packets.Kind.OPEN,
            service_id,
            flow_id,
            payload=bytes(packets.OPEN_PAYLOAD_BYTES),
        )
    )


def request(
    service_id: int, flow_id: int, token: bytes, body: bytes, number: int = 1
) -> bytes:
    """Returns an encoded request that is not idempotent, in one fragment."""
    return packets.encode(
        packets.Packet(
            packets.Kind.REQUEST,
            service_id,
            flow_id,
            token,
            request_id=number,
            fragments=1,
            deadline_ms=5000,
            payload=body,
        )
    )


def _udp_socket() -> socket.socket:
    return socket.socket(socket.AF_INET, socket.SOCK_DGRAM)


@attrs.define
class RecordingSocket:
    """A UDP socket that counts what it sends and keeps what it receives.

    Attributes:
        port: Port to bind; 0 chooses a free one.
        sent_bytes: Number of bytes sent.
        received: Datagrams received.
    """

    port: int = 0
    sent_bytes: int = 0
    received: list[bytes] = attrs.field(factory=list)
    _socket: socket.socket = attrs.field(factory=_udp_socket, init=False)

    def __attrs_post_init__(self) -> None:
        self._socket.bind(("127.0.0.1", self.port))
        self._socket.setblocking(False)

    def send(self, address: addresses.Address, data: bytes) -> None:
        """Sends one datagram."""
        self._socket.sendto(data, address)
        self.sent_bytes += len(data)

    def receive_waiting(self) -> list[bytes]:
        """Reads waiting datagrams; returns all that have been received."""
        while True:
            try:
                self.received.append(self._socket.recv(RECEIVE_BUFFER_BYTES))
            except BlockingIOError:
                return self.received

    @property
    def received_bytes(self) -> int:
        """Number of bytes received so far."""
        return sum(len(data) for data in self.receive_waiting())

    async def exchange(
        self, address: addresses.Address, data: bytes
    ) -> packets.Packet:
        """Sends a datagram repeatedly until there is an answer; returns it."""
        before = len(self.receive_waiting())
        with trio.fail_after(STEP_TIMEOUT_S):
            while len(self.receive_waiting()) == before:
                self.send(address, data)
                await trio.sleep(RESEND_INTERVAL_S)
        packet = packets.decode(self.received[before])
        assert packet is not None
        return packet

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
