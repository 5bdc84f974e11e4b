"""Tests of openings that waited for a suspended process.

Pattern: a process is suspended for seconds and finds, when it resumes, the
openings that arrived meanwhile. Their clients have sent copies through other
balancers or to other targets, or have given up.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import time
import unittest
from unittest import mock

from godwitturn.core.transparent import admission
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import cold_limit
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.daemons import reactor
from godwitturn.platform import agent as agent_program
from godwitturn.platform import channels
from godwitturn.platform import settings
from godwitturn.standins import platform_messages
from godwitturn.standins import transparent_simulation
from godwitturn.tests import store_process
from godwitturn.tests import test_transparent_balancer

BALANCER = "10.0.0.1"
FLOW_ID = test_transparent_balancer.FLOW_ID


def _packet(
    flags: int, flow_id: segments.FlowId = FLOW_ID
) -> tuple[bytes, segments.Segment]:
    packet = transparent_simulation.packet(flow_id, flags)
    return packet, transparent_simulation.client_segment(packet)


class TestAgent(unittest.TestCase):
    """An agent must not deliver an opening whose copy went elsewhere."""

    def setUp(self) -> None:
        self.agent = transparent_simulation.make_agent()
        heartbeat = transparent_simulation.make_heartbeat()
        self.agent.handle_heartbeat(heartbeat, now=10.0)

    def _forward(self, flags: int, delay_s: float) -> list[messages.Action]:
        packet, segment = _packet(flags)
        return self.agent.handle_forward(
            BALANCER,
            messages.Forward("core", False, packet),
            segment,
            now=10.1,
            delay_s=delay_s,
        )

    def _is_delivered(self, actions: list[messages.Action]) -> bool:
        return any(isinstance(a, messages.Deliver) for a in actions)

    def test_old_opening_is_dropped(self) -> None:
        delay_s = admission.MAX_OPENING_DELAY_S + 0.1
        self.assertEqual(
            [], self._forward(transparent_simulation.SYN, delay_s)
        )
        self.assertEqual(1, self.agent.counts["outdated_openings"])

    def test_opening_after_a_short_pause_is_delivered(self) -> None:
        delay_s = admission.MAX_OPENING_DELAY_S
        self.assertTrue(
            self._is_delivered(
                self._forward(transparent_simulation.SYN, delay_s)
            )
        )

    def test_packets_of_known_flows_are_delivered(self) -> None:
        self._forward(transparent_simulation.SYN, 0.0)
        for flags in (transparent_simulation.SYN, transparent_simulation.ACK):
            with self.subTest(flags=flags):
                self.assertTrue(self._is_delivered(self._forward(flags, 9.0)))

    def test_opening_that_was_queued_is_dropped(self) -> None:
        while self.agent.work_limiter.capacity(slots=1, now=10.1):
            number = self.agent.work_limiter.capacity(slots=1, now=10.1)
            self.agent.work_limiter.start_request((number, 1, 1, 1), now=10.1)
        actions = self._forward(transparent_simulation.SYN, 0.0)
        self.assertFalse(self._is_delivered(actions))
        resumed_at = (
            10.2 + cold_limit.MAX_WAIT_S + admission.MAX_OPENING_DELAY_S
        )
        self.assertFalse(self._is_delivered(self.agent.tick(now=resumed_at)))
        self.assertEqual(1, self.agent.counts["outdated_openings"])


class TestAgentProgram(unittest.TestCase):
    """An agent may stop between waking and reading a datagram."""

    def setUp(self) -> None:
        address = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}.1"
        fields = platform_messages.settings(
            node="agent-1",
            address=address,
            data_centre="a",
            store=(address, 1),
            seeds=(),
            service="core",
            bounds={"cold_overshoot": 1.5, "cold_slack": 5},
        )
        self.program = agent_program.AgentProgram(settings.decode(fields))
        self.limiter = self.program.core.cold_limiter
        self.limiter.discount_earlier_run()

    # Guards against openings that count as sent when the agent woke: those of
    # the next window followed too soon.
    def test_openings_count_at_the_time_of_their_delivery(self) -> None:
        woken_at = self.program.loop.now
        with mock.patch.object(reactor, "clock", lambda: woken_at + 0.5):
            for number in range(9):
                packet, _ = _packet(
                    transparent_simulation.SYN, (number, *FLOW_ID[1:])
                )
                self.program.handle_message(
                    BALANCER, messages.Forward("core", False, packet)
                )
        self.assertEqual(0, self.limiter.capacity(now=woken_at + 0.5))
        self.assertEqual(0, self.limiter.capacity(now=woken_at + 1.4))


class TestBalancer(test_transparent_balancer.TwoAgentsCase):
    """A balancer must not offer an opening that others have forwarded."""

    def _offers(self, flow_number: int, delay_s: float) -> bool:
        _, segment = _packet(
            transparent_simulation.SYN, (flow_number, *FLOW_ID[1:])
        )
        actions = self.balancer.handle_packet(
            segment, now=10.3, delay_s=delay_s
        )
        return any(isinstance(a, messages.Send) for a in actions)

    def test_old_opening_is_dropped(self) -> None:
        delay_s = balancers.MAX_OPENING_DELAY_S
        self.assertTrue(self._offers(1, delay_s))
        self.assertFalse(self._offers(2, delay_s + 0.1))
        self.assertEqual(1, self.balancer.counts["outdated_openings"])

    def test_copy_of_a_known_opening_is_forwarded(self) -> None:
        self.assertTrue(self._offers(FLOW_ID[0], 9.0))


class TestDatagramSocket(unittest.TestCase):
    """Datagrams are told apart by whether they arrived in a suspension."""

    def setUp(self) -> None:
        self.loop = reactor.Reactor()
        self.delays: list[float] = []
        self.socket = channels.DatagramSocket(
            self.loop, ("127.0.0.1", 0), self._record
        )
        self.remote = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.remote.close)
        self.addCleanup(self.socket.close)

    def _record(self, data: bytes, sender: str) -> None:
        self.delays.append(self.socket.delay_s)

    def _send(self, count: int) -> None:
        for _ in range(count):
            self.remote.sendto(b"x", self.socket.address)

    def _suspend(self, seconds: float) -> None:
        self.loop.now = reactor.clock()
        self.loop.resumed_at = self.loop.now
        self.loop.suspended_s = seconds

    def test_all_that_waited_are_marked_and_nothing_later(self) -> None:
        count = channels.MAX_DATAGRAMS_PER_READ + 1
        self._suspend(2.0)
        self._send(count)
        self.socket.read()
        self.loop.now = reactor.clock()
        self.socket.read()
        self.assertEqual([2.0] * count, self.delays)
        self._send(1)
        self.socket.read()
        self.assertEqual(0.0, self.delays[-1])

    def test_socket_that_was_empty_marks_nothing(self) -> None:
        self._suspend(2.0)
        self.loop.now = reactor.clock()
        self._send(1)
        self.socket.read()
        self.assertEqual([0.0], self.delays)


class TestSuspendedProcess(unittest.TestCase):
    """A stopped process that is continued marks what it finds."""

    # Guards against a wait that returns no sockets after SIGCONT, although
    # datagrams have arrived.
    def test_datagrams_that_arrived_meanwhile_are_marked(self) -> None:
        program = (
            "from godwitturn.daemons import reactor\n"
            "from godwitturn.platform import channels\n"
            "loop = reactor.Reactor()\n"
            "def record(data, sender):\n"
            "    marked = sock.delay_s > 0.5\n"
            "    def report():\n"
            "        print(data.decode(), marked, flush=True)\n"
            "        loop.stopped = data == b'end'\n"
            "    loop.call_later(0.0, report)\n"
            "sock = channels.DatagramSocket(loop, ('127.0.0.1', 0), record)\n"
            "loop.call_every(0.05, lambda: None)\n"
            "print(sock.address[1], flush=True)\n"
            "loop.run()\n"
        )
        process = subprocess.Popen(
            [sys.executable, "-c", program], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(store_process.kill, process)
        remote = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(remote.close)
        port = int(store_process.read_line(process))
        time.sleep(0.2)
        process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
        remote.sendto(b"old", ("127.0.0.1", port))
        time.sleep(1.0)
        process.send_signal(signal.SIGCONT)
        # The program reports a datagram once it has found the socket empty.
        # One that arrives before that may be old as well, and is marked.
        self.assertEqual("old True", store_process.read_line(process))
        remote.sendto(b"end", ("127.0.0.1", port))
        self.assertEqual("end False", store_process.read_line(process))


class TestReactor(unittest.TestCase):
    """Only a wait that takes too long shows a suspension."""

    def _run(self, *, oversleeps: bool) -> reactor.Reactor:
        loop = reactor.Reactor()
        now = reactor.clock()
        skipped_s = 0.0

        class Selector:
            def select(self, timeout: float) -> list[object]:
                nonlocal skipped_s
                skipped_s += timeout + (2.0 if oversleeps else 0.0)
                return []

        loop._selector = Selector()  # type: ignore[assignment]

        def stop() -> None:
            nonlocal skipped_s
            # Work in a callback doesn't count as a suspension.
            skipped_s += 3.0
            loop.stopped = True

        with mock.patch.object(reactor, "clock", lambda: now + skipped_s):
            loop.call_later(0.01, stop)
            loop.run()
        return loop

    def test_wait_that_takes_too_long(self) -> None:
        loop = self._run(oversleeps=True)
        self.assertEqual(loop.now, loop.resumed_at)
        self.assertAlmostEqual(2.0, loop.suspended_s)

    def test_wait_in_time(self) -> None:
        self.assertEqual(float("-inf"), self._run(oversleeps=False).resumed_at)
