"""Tests of the soak's checks, schedule and report, and a short soak."""

import itertools
import random
import selectors
import socket
import threading
from typing import Any
import unittest
import xml.etree.ElementTree as ElementTree

import attrs

from godwitturn.daemons import reactor
from godwitturn.soak import checks
from godwitturn.soak import faults
from godwitturn.soak import history as histories
from godwitturn.soak import proxy
from godwitturn.soak import report
from godwitturn.soak import run

FLOW = (1, 2, 3, 443)
Kind = histories.FaultKind


def _answered(at: float, *, expected: bool = True) -> histories.Answered:
    return histories.Answered(at, FLOW, "agent-0/1", expected, 0.01)


class TestChecks(unittest.TestCase):
    """Each promise, broken and kept."""

    def setUp(self) -> None:
        self.history = histories.History(30.0, began_at=100.0)
        self.history.start_by_name["agent-0/1"] = histories.TargetStart(
            "agent-0/1", "core", "127.0.0.1", 95.0
        )
        self.history.records.append(_answered(129.0))

    def broken(self, *records: histories.Record) -> int:
        self.history.records.extend(records)
        return len(checks.violations(self.history))

    def change_start(self, **changes: Any) -> None:
        starts = self.history.start_by_name
        starts["agent-0/1"] = attrs.evolve(starts["agent-0/1"], **changes)

    def disturb(self, kind: histories.FaultKind, at: float) -> None:
        self.history.faults.append(histories.Fault(at, kind, 0, 1.0))

    def test_nothing_broken(self) -> None:
        self.assertEqual(0, self.broken(_answered(110.0)))

    def test_answer_of_another_request(self) -> None:
        self.assertEqual(1, self.broken(_answered(110.0, expected=False)))

    def test_packet_of_another_service(self) -> None:
        stray = histories.StrayPacket(110.0, FLOW, "agent-0/1")
        self.disturb(Kind.KILL, 109.0)
        self.assertEqual(1, self.broken(stray))

    def test_reset_while_the_target_lives(self) -> None:
        reset = histories.ResetSeen(110.0, FLOW, "agent-0/1")
        self.assertEqual(1, self.broken(reset))

    def test_reset_during_planned_work(self) -> None:
        self.disturb(Kind.STOP, 109.5)
        reset = histories.ResetSeen(110.0, FLOW, "agent-0/1")
        self.assertEqual(1, self.broken(reset))

    def test_reset_soon_after_a_fault(self) -> None:
        self.disturb(Kind.FREEZE, 106.0)
        reset = histories.ResetSeen(110.0, FLOW, "agent-0/1")
        self.assertEqual(0, self.broken(reset))

    def test_reset_long_after_a_fault(self) -> None:
        self.disturb(Kind.FREEZE, 104.0)
        reset = histories.ResetSeen(110.0, FLOW, "agent-0/1")
        self.assertEqual(1, self.broken(reset))

    def test_reset_of_an_ended_target(self) -> None:
        self.change_start(ended_at=109.0)
        reset = histories.ResetSeen(110.0, FLOW, "agent-0/1")
        self.assertEqual(0, self.broken(reset))

    def test_opening_at_a_draining_target(self) -> None:
        self.change_start(draining_at=105.0)
        soon = histories.OpeningTaken(107.9, FLOW, "agent-0/1")
        self.assertEqual(0, self.broken(soon))
        late = histories.OpeningTaken(108.1, FLOW, "agent-0/1")
        self.assertEqual(1, self.broken(late))

    def test_process_that_ended_by_itself(self) -> None:
        self.history.exits.append("balancer-0: status 1")
        self.assertEqual(1, self.broken())

    def test_no_recovery(self) -> None:
        given_up = histories.GivenUp(129.5, FLOW, True)
        self.assertEqual(1, self.broken(*[given_up] * 4))


class TestSchedule(unittest.TestCase):
    """Faults drawn from a seed."""

    def test_a_seed_gives_the_same_faults(self) -> None:
        first = faults.schedule(random.Random(7), 60.0)
        self.assertEqual(first, faults.schedule(random.Random(7), 60.0))
        self.assertNotEqual(first, faults.schedule(random.Random(8), 60.0))

    def test_all_kinds_come_and_some_overlap(self) -> None:
        drawn = [
            fault
            for seed in range(20)
            for fault in faults.schedule(random.Random(seed), 60.0)
        ]
        self.assertEqual(set(Kind), {fault.kind for fault in drawn})
        overlaps = sum(
            0 < later.at - fault.at < fault.seconds
            for fault, later in itertools.pairwise(drawn)
        )
        self.assertGreater(overlaps, len(drawn) // 4)

    def test_the_end_is_quiet(self) -> None:
        for fault in faults.schedule(random.Random(1), 60.0):
            self.assertLess(
                fault.at, 60.0 - faults.RECOVERY_S - checks.SETTLED_S
            )


class TestProxy(unittest.TestCase):
    """What passes through the proxy in each mode."""

    def setUp(self) -> None:
        self.loop = reactor.Reactor()
        self.upstream = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.upstream.close)
        self.upstream.setblocking(False)
        self.taken: list[bytes] = []
        self.loop.watch(self.upstream, selectors.EVENT_READ, self._accept)
        self.proxy = proxy.Proxy(
            self.loop, ("127.0.0.1", 0), self.upstream.getsockname()
        )
        self.addCleanup(self.proxy.close)

    def _accept(self) -> None:
        sock, _ = self.upstream.accept()
        self.addCleanup(sock.close)

        def take() -> None:
            try:
                data = sock.recv(100)
            except ConnectionResetError:
                data = b""  # the client has gone
            if not data:
                self.loop.unwatch(sock)
                return
            self.taken.append(data)
            sock.sendall(b"answer")

        self.loop.watch(sock, selectors.EVENT_READ, take)

    def ask(self, mode: proxy.Mode) -> bytes | None:
        """Returns the answer, None for silence, empty for a reset."""
        self.proxy.change(mode)
        answers: list[bytes | None] = []

        def talk() -> None:
            with socket.create_connection(self.proxy.address) as sock:
                sock.settimeout(1.0)
                try:
                    sock.sendall(b"question")
                    answers.append(sock.recv(100))
                except TimeoutError:
                    answers.append(None)
                except ConnectionError:
                    answers.append(b"")

        thread = threading.Thread(target=talk)
        thread.start()
        stopper = threading.Thread(target=self._stop_after, args=(thread,))
        stopper.start()
        self.loop.run()
        stopper.join()
        self.loop.stopped = False
        return answers[0]

    def _stop_after(self, thread: threading.Thread) -> None:
        thread.join()
        self.loop.stopped = True

    def test_modes(self) -> None:
        self.assertEqual(b"answer", self.ask(proxy.Mode.PASS))
        self.assertEqual(b"answer", self.ask(proxy.Mode.SLOW))
        self.assertEqual(2, len(self.taken))
        self.assertIsNone(self.ask(proxy.Mode.SILENT))
        self.assertEqual(2, len(self.taken))
        self.assertIsNone(self.ask(proxy.Mode.ONE_WAY))
        self.assertEqual(3, len(self.taken))
        self.assertEqual(b"", self.ask(proxy.Mode.RESET))


class TestReport(unittest.TestCase):
    """Table and plot."""

    def setUp(self) -> None:
        self.history = histories.History(10.0, began_at=100.0)
        self.history.records = [_answered(101.2), _answered(101.3)]
        self.history.faults = [histories.Fault(104.0, Kind.FREEZE, 1, 2.0)]

    def test_table(self) -> None:
        lines = report.table(self.history, ["a promise"]).splitlines()
        self.assertIn("       1.0        2       0         0  ", lines)
        self.assertTrue(any("4.0" in row and "freeze" in row for row in lines))
        self.assertEqual("1 promises broken", lines[-1])

    def test_plot_is_well_formed(self) -> None:
        image = ElementTree.fromstring(report.plot(self.history))
        bars = [child for child in image if child.tag.endswith("rect")]
        self.assertEqual(1, len(bars))


class TestShortSoak(unittest.TestCase):
    """Real processes with a few faults; longer ones are run by hand."""

    def test_seed(self) -> None:
        history = run.soak(3, 24.0)
        self.assertGreater(len(history.faults), 2)
        self.assertEqual([], checks.violations(history))
