"""What tests of failures do to processes, and raw datagrams for them."""

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
from godwitturn.standins import system
from godwitturn.tests import system_case

WAIT_S = 30.0
POLL_S = 0.05
ANSWER_TIMEOUT_S = 0.5
RECEIVE_BYTES = 4096


def process_of(
    running: system.System, plan: deployments.MemberSpec
) -> processes.Process:
    """Returns the balancer or agent process of a member."""
    suffix = "" if plan.kind is documents.MemberKind.BALANCER else "-agent"
    return running.table.process_by_name[plan.name + suffix]


def targets_of(
    running: system.System, service: str
) -> list[deployments.MemberSpec]:
    """Returns the targets of a service."""
    return [plan for plan in running.targets if plan.service == service]


async def wait_for(condition: Callable[[], Awaitable[bool]]) -> None:
    """Waits until a condition holds.

    Raises:
        trio.TooSlowError: It does not hold within 30 s.
    """
    with trio.fail_after(WAIT_S):
        while not await condition():
            await trio.sleep(POLL_S)


async def wait_forwarding(
    running: system.System, plan: deployments.MemberSpec
) -> None:
    """Waits until a balancer is not fenced and knows every target."""

    async def forwards() -> bool:
        status = await running.status(plan)
        if not status or status["fenced"]:
            return False
        known = {member["id"] for member in status["members"]}
        wanted = {f"{t.member().member_id:016x}" for t in running.targets}
        return wanted <= known

    await wait_for(forwards)


async def restart(
    running: system.System, plan: deployments.MemberSpec
) -> None:
    """Starts a member's balancer or agent anew and waits until it runs."""
    if plan.kind is documents.MemberKind.BALANCER:
        process = running.start_balancer(plan)
        await trio.to_thread.run_sync(process.wait_ready)
        await wait_forwarding(running, plan)
    else:
        process = running.start_agent(plan)
        await trio.to_thread.run_sync(process.wait_ready)


async def stop(running: system.System, plan: deployments.MemberSpec) -> int:
    """Stops a member gracefully and returns its exit status."""
    process = process_of(running, plan)
    return await trio.to_thread.run_sync(process.stop)


async def pause(
    running: system.System, plan: deployments.MemberSpec, seconds: float
) -> None:
    """Suspends a member's process for some seconds."""
    process = process_of(running, plan)
    process.signal(signal.SIGSTOP)
    await trio.sleep(seconds)
    process.signal(signal.SIGCONT)


async def counters(
    running: system.System, plan: deployments.MemberSpec
) -> dict[str, int]:
    """Returns a balancer's counters."""
    status = await running.status(plan)
    return dict(status["counters"])


async def target_counts(
    running: system.System, service: str
) -> list[dict[str, int]]:
    """Returns the counts of each target of a service."""
    return [
        await system_case.get_json(
            f"{running.target_url(plan)}/standin/counts"
        )
        for plan in targets_of(running, service)
    ]


async def behave(
    running: system.System, plan: deployments.MemberSpec, **changes: object
) -> None:
    """Changes how a target behaves."""
    url = running.target_url(plan)
    await system_case.post_json(f"{url}/standin/behaviour", **changes)


async def data_address(
    running: system.System, plan: deployments.MemberSpec
) -> addresses.Address:
    """Returns where an agent receives, as a balancer knows it."""
    wanted = f"{plan.member().member_id:016x}"
    status = await running.status(running.balancers[0])
    for member in status["members"]:
        if member["id"] == wanted:
            host, port = member["address"][:2]
            return addresses.Address(host, port)
    raise LookupError(f"{plan.name} ({wanted}) is not announced")


def caller_address(
    running: system.System, plan: deployments.MemberSpec
) -> addresses.Address:
    """Returns where a balancer receives callers' datagrams."""
    port = running.caller_port_by_name[plan.name]
    return addresses.Address("127.0.0.1", port)


async def write_rules(running: system.System, rules: documents.Rules) -> None:
    """Puts other rules in the store.

    Raises:
        RuntimeError: The write did not take effect.
    """
    async with store.StoreClient([running.store_url]) as client:
        documents_store = repository.Repository(
            client, running.deployment.name, trio.current_time
        )
        outcome = await documents_store.change(
            "rules",
            lambda _: rules,
            f"rules-{trio.current_time()}",
            deadline=trio.current_time() + WAIT_S,
        )
    if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
        raise RuntimeError(f"writing the rules ended with {outcome}")


def token_key(
    running: system.System, service: documents.Service
) -> tokens.TokenKey:
    """Returns the token key of a service."""
    number = service.service_id
    secret = running.deployment.secret("token", str(number))
    return tokens.TokenKey(1, number, secret)


def opening(service_id: int, flow_id: int) -> bytes:
    """Returns an encoded opening."""
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
    """Returns an encoded request of one fragment that may run once."""
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
class RawSource:
    """A UDP source that counts the bytes of both directions.

    Attributes:
        port: Port to bind; 0 takes a free one.
        sent: Bytes sent.
        received: Datagrams that came back.
    """

    port: int = 0
    sent: int = 0
    received: list[bytes] = attrs.field(factory=list)
    _socket: socket.socket = attrs.field(factory=_udp_socket, init=False)

    def __attrs_post_init__(self) -> None:
        self._socket.bind(("127.0.0.1", self.port))
        self._socket.setblocking(False)

    def send(self, address: addresses.Address, data: bytes) -> None:
        """Sends one datagram."""
        self._socket.sendto(data, address)
        self.sent += len(data)

    def drain(self) -> list[bytes]:
        """Takes what has come and returns all datagrams so far."""
        while True:
            try:
                self.received.append(self._socket.recv(RECEIVE_BYTES))
            except BlockingIOError:
                return self.received

    @property
    def received_bytes(self) -> int:
        """Bytes that came back so far."""
        return sum(len(data) for data in self.drain())

    async def ask(
        self, address: addresses.Address, data: bytes
    ) -> packets.Packet:
        """Repeats a datagram until it is answered."""
        before = len(self.drain())
        with trio.fail_after(WAIT_S):
            while len(self.drain()) == before:
                self.send(address, data)
                await trio.sleep(ANSWER_TIMEOUT_S)
        packet = packets.decode(self.received[before])
        assert packet is not None
        return packet

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
