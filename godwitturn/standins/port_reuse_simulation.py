"""Simulation of clients that use their ports again, in random orders.

Clients close or abandon their flows, and open new ones from the same ports,
while routes change, data centres are evacuated, balancers restart, routers
send flows elsewhere and addresses go to other services. The rules are those of
RULES.md for openings and flows.
"""

import functools
import random
import sys

import attrs

from godwitturn.core.transparent import segments
from godwitturn.platform import packets
from godwitturn.standins import transparent_simulation as base

# Service and data centre of each VM.
VMS = {
    "10.1.0.1": ("core", "a"),
    "10.1.0.2": ("core", "a"),
    "10.2.0.1": ("core", "b"),
    "10.1.0.3": ("desk", "a"),
    "10.2.0.2": ("desk", "b"),
}
BALANCERS = {"10.0.0.1": "a", "10.0.0.2": "a", "10.0.0.3": "b"}
ROUTED_SERVICES = (("core",), ("desk",), ("core", "desk"), ())
PORTS = 40
COPY_DELAYS_S = (0.0, 0.2, 0.6)
PATIENCE_S = 1.4
REQUEST_TRIES_S = (0.0, 0.2, 0.6, 1.0)
REQUEST_TIMEOUT_S = 2.0
# Times from the end of a flow until its port is used again.
REUSE_TIMES_S = (0.5, 0.5, 2.0, 16.0)
CLOSE_SHARE = 0.6
# Balancers know of an evacuation at once, agents from the next hello.
EVACUATION_BOUND_S = 0.5
ADDRESS_REUSE_S = 2.5
RESTART_S = 0.3
# Pause between two disruptions, so that each has ended before the next one.
MIN_PAUSE_S = 3.0
MAX_PAUSE_S = 5.0


class PortTarget(base.SimulatedTarget):
    """A target that tells flows of one port apart by sequence numbers.

    Attributes:
        sequence_by_id: Sequence number of the opening of each flow.
        own_sequence_by_id: The target's own sequence number in each flow.
        taken: Flow and sequence number of each opening taken.
    """

    def __init__(self, target_id: str, born: int) -> None:
        super().__init__(target_id, born)
        self.random = random.Random(born)
        self.sequence_by_id: dict[segments.FlowId, int] = {}
        self.own_sequence_by_id: dict[segments.FlowId, int] = {}
        self.taken: list[tuple[segments.FlowId, int]] = []

    def receive(self, data: bytes, now: float) -> list[bytes]:
        """Handles a packet at a time in seconds; returns the replies."""
        segment = base.client_segment(data)
        flow_id, sequence = segment.flow_id, segment.sequence
        held = self.sequence_by_id.get(flow_id)
        if segment.opening:
            if held != sequence:
                self.taken.append((flow_id, sequence))
                self.sequence_by_id[flow_id] = sequence
                own_sequence = self.random.getrandbits(32)
                self.own_sequence_by_id[flow_id] = own_sequence
            return [self._reply(flow_id, base.SYN | base.ACK)]
        if held is None:
            return [base.returned_packet(data)]
        if held != sequence:
            return []  # a packet of another flow of the port
        if segment.ending:
            del self.sequence_by_id[flow_id]
            return [self._reply(flow_id, base.FIN | base.ACK)]
        if segment.size:
            return [self._reply(flow_id, base.ACK, b"answer")]
        return []

    def _reply(
        self, flow_id: segments.FlowId, flags: int, data: bytes = b""
    ) -> bytes:
        return base.packet(
            flow_id,
            flags,
            sequence=self.own_sequence_by_id[flow_id],
            data=data,
            from_target=True,
        )


@attrs.define(eq=False)
class Port:
    """A client's port, and its present flow.

    Attributes:
        flow_id: The flow's addresses and ports.
        sequence: Sequence number of its opening.
        opened_at: When that was sent first.
        target: The target that accepted it first, None until then.
        acknowledged: That target's sequence number.
        requests: Number of requests sent on it.
        answers: Number of answers to them.
        ended: Whether the client has left the flow.
    """

    flow_id: segments.FlowId
    sequence: int = 0
    opened_at: float = 0.0
    target: PortTarget | None = None
    acknowledged: int = 0
    requests: int = 0
    answers: int = 0
    ended: bool = True


class PortReuseSimulation(base.Simulation):
    """The deployment, its disruptions, and the check of the rules.

    Attributes:
        port_by_id: The ports.
        violations: Broken rules, as text.
        openings: Number of openings taken by targets.
        answered: Number of requests answered.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed=seed)
        self.choices = random.Random(seed)
        self.port_by_id: dict[segments.FlowId, Port] = {}
        self.violations: list[str] = []
        self.openings = 0
        self.answered = 0
        self._closed_at = 0.0
        # The services of the route from each time on.
        self._routed: list[tuple[float, tuple[str, ...]]] = []
        for address, (service, data_centre) in VMS.items():
            self.start_vm(address, service=service, data_centre=data_centre)
        self.route("core")
        for address, data_centre in BALANCERS.items():
            self.start_balancer(address, data_centre=data_centre)
        self.run(1.0)

    def play(self, seconds: float) -> None:
        """Lets clients use their ports for a time, with disruptions."""
        for number in range(PORTS):
            port = Port((0x64400001, 4000 + number, *_endpoint()))
            self.port_by_id[port.flow_id] = port
            self.call_later(
                self.choices.uniform(0, 2), functools.partial(self.open, port)
            )
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.run(self.choices.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            self.choices.choice(
                (
                    self.change_route,
                    self.change_route,
                    self.change_evacuation,
                    self.restart_balancer,
                    self.restart_agent,
                    self.change_rotation,
                    self.give_address_away,
                )
            )()

    # Disruptions

    def route(self, *services: str) -> None:
        """Gives the route services; without any, it is removed."""
        self._routed.append((self.now, services))
        names = services or ("core",)
        new = base.configuration(
            self.configuration.version + 1,
            shares=tuple((name, 1) for name in names),
        )
        if not services:
            new = attrs.evolve(new, route_by_endpoint={})
        self.configure_all(new)

    def change_route(self) -> None:
        """Gives the route other services, or removes it."""
        self.route(*self.choices.choice(ROUTED_SERVICES))

    def change_evacuation(self) -> None:
        """Evacuates another data centre, or none."""
        names = self.choices.choice(((), ("a",), ("b",)))
        self.closed_data_centres = frozenset(names)
        self._closed_at = self.now
        self.route(*self._routed[-1][1])

    def restart_balancer(self) -> None:
        """Kills a balancer and starts it again."""
        address = self.choices.choice(list(BALANCERS))
        self.kill_balancer(address)

        def start() -> None:
            self.start_balancer(address, data_centre=BALANCERS[address])

        self.call_later(RESTART_S, start)

    def restart_agent(self) -> None:
        """Kills an agent beside its target and starts it again."""
        vm = self.vm_by_address[self.choices.choice(list(VMS))]
        vm.agent = None

        def start() -> None:
            self.start_agent(vm)

        self.call_later(RESTART_S, start)

    def change_rotation(self) -> None:
        """Makes the router send most flows to other balancers."""
        self.choices.shuffle(self.rotation)

    def give_address_away(self) -> None:
        """Ends a VM; its address goes to a target of another service."""
        address = self.choices.choice(list(VMS))
        vm = self.vm_by_address[address]
        vm.agent = vm.target = None

        def start() -> None:
            vm.service = "desk" if vm.service == "core" else "core"
            self.start_agent(vm)
            self.start_target(vm)

        self.call_later(ADDRESS_REUSE_S, start)

    def start_target(
        self, vm: base.SimulatedVM, *, cold_ms: int = 0
    ) -> base.SimulatedTarget:
        """Starts a VM's target."""
        number = next(self._start_numbers)
        vm.target = PortTarget(f"i-{number}", number)
        self._send_heartbeat(vm, vm.target)
        return vm.target

    # Clients

    def open(self, port: Port) -> None:
        """Opens a new flow from a port, with copies until it is accepted."""
        port.sequence = self.choices.getrandbits(32)
        port.opened_at = self.now
        port.target = None
        port.requests = port.answers = 0
        port.ended = False
        sequence = port.sequence

        def send(copy: int) -> None:
            if port.sequence == sequence and not port.target:
                self._send(port, base.SYN, copy=copy)

        def give_up() -> None:
            if port.sequence == sequence and not port.target:
                self.leave(port)

        for copy, delay_s in enumerate(COPY_DELAYS_S):
            self.call_later(delay_s, functools.partial(send, copy))
        self.call_later(PATIENCE_S, give_up)

    def leave(self, port: Port) -> None:
        """Leaves a port's flow; the port is used again later."""
        if port.ended:
            return
        port.ended = True
        if port.target and self.choices.random() < CLOSE_SHARE:
            self._send(port, base.FIN | base.ACK)
        self.call_later(
            self.choices.choice(REUSE_TIMES_S),
            functools.partial(self.open, port),
        )

    def request_on(self, port: Port) -> None:
        """Sends a request on an open flow, and checks that it is answered."""
        sequence, target = port.sequence, port.target
        port.requests += 1
        number = port.requests

        def is_pending() -> bool:
            return (
                port.sequence == sequence
                and not port.ended
                and port.answers < number
            )

        def send() -> None:
            if is_pending():
                self._send(port, base.ACK, data=b"request")

        def check() -> None:
            if not is_pending():
                return
            if target is not None and self._lives(target):
                self._violate("FLOW, no answer", port)
            self.leave(port)

        for delay_s in REQUEST_TRIES_S:
            self.call_later(delay_s, send)
        self.call_later(REQUEST_TIMEOUT_S, check)

    def _send(
        self,
        port: Port,
        flags: int,
        *,
        copy: int = 0,
        data: bytes = b"",
    ) -> None:
        acknowledged = port.acknowledged if port.target else copy
        self.send(
            base.packet(
                port.flow_id,
                flags,
                sequence=port.sequence,
                acknowledged=acknowledged,
                data=data,
            )
        )

    def _receive_at_client(self, data: bytes) -> None:
        segment = packets.decode(data, from_target=True)
        assert segment is not None
        port = self.port_by_id[segment.flow_id]
        if port.ended:
            return
        if segment.resetting:
            self._handle_reset(port, segment.sequence)
        elif segment.accepting:
            self._accept(port, segment.sequence)
        elif segment.size and port.answers < port.requests:
            port.answers += 1
            self.answered += 1
            if port.answers >= self.choices.choice((1, 2, 4)):
                self.leave(port)
            else:
                self.call_later(
                    self.choices.choice((0.1, 0.5, 3.0)),
                    functools.partial(
                        self._request_again, port, port.sequence
                    ),
                )

    def _request_again(self, port: Port, sequence: int) -> None:
        if port.sequence == sequence and not port.ended:
            self.request_on(port)

    def _handle_reset(self, port: Port, sequence: int) -> None:
        if port.target is not None:
            if not base.accepts_packet(sequence, port.acknowledged):
                return  # for a former flow
            if self._lives(port.target):
                self._violate("FLOW, reset", port)
        self.leave(port)

    def _accept(self, port: Port, own_sequence: int) -> None:
        if port.target is not None:
            return
        flow_id = port.flow_id
        for vm in self.vm_by_address.values():
            target = vm.target
            if (
                isinstance(target, PortTarget)
                and target.sequence_by_id.get(flow_id) == port.sequence
                and target.own_sequence_by_id[flow_id] == own_sequence
            ):
                port.target = target
                port.acknowledged = own_sequence
                self._send(port, base.ACK)
                self.request_on(port)
                return

    # Rules

    def _deliver_to_target(self, address: str, data: bytes) -> None:
        vm = self.vm_by_address[address]
        target = vm.target
        taken = len(target.taken) if isinstance(target, PortTarget) else 0
        super()._deliver_to_target(address, data)
        if isinstance(target, PortTarget):
            for flow_id, sequence in target.taken[taken:]:
                self._check_opening(vm, flow_id, sequence)

    def _check_opening(
        self, vm: base.SimulatedVM, flow_id: segments.FlowId, sequence: int
    ) -> None:
        self.openings += 1
        port = self.port_by_id[flow_id]
        if port.sequence != sequence:
            return  # its client has left it meanwhile
        allowed = {
            service
            for number, (_, services) in enumerate(self._routed)
            if number + 1 == len(self._routed)
            or self._routed[number + 1][0] >= port.opened_at
            for service in services
        }
        if vm.service not in allowed:
            self._violate(f"ROUTE or CONFIG at {vm.address}", port)
        if (
            vm.data_centre in self.closed_data_centres
            and port.opened_at > self._closed_at + EVACUATION_BOUND_S
        ):
            self._violate(f"EVAC at {vm.address}", port)

    def _lives(self, target: PortTarget) -> bool:
        return any(vm.target is target for vm in self.vm_by_address.values())

    def _violate(self, rule: str, port: Port) -> None:
        name = segments.flow_name(port.flow_id)
        self.violations.append(f"{self.now:.3f} {rule}: {name}")


def _endpoint() -> tuple[int, int]:
    return base.ROUTE_ADDRESS, base.ROUTE_PORT


def main(first_seed: int, last_seed: int, seconds: float) -> int:
    """Plays seeds and prints their results; returns how many broke a rule.

    Args:
        first_seed: The first seed.
        last_seed: The last one.
        seconds: Simulated time for which each is played.
    """
    failures = 0
    for seed in range(first_seed, last_seed + 1):
        simulation = PortReuseSimulation(seed)
        simulation.play(seconds)
        failures += bool(simulation.violations)
        print(
            f"seed {seed}: {simulation.openings} openings, "
            f"{simulation.answered} answers, violations: "
            f"{simulation.violations}",
            flush=True,
        )
    return failures


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]), 60.0)))
