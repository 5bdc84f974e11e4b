"""Tests of the event loop."""

import selectors
import socket
import time
import unittest
from unittest import mock

from godwitturn.daemons import reactor


class TestOrder(unittest.TestCase):
    """Timers and sockets that are due together."""

    def test_overdue_timers_run_before_sockets(self) -> None:
        """Guards against judging packets before a pause is noticed."""
        loop = reactor.Reactor()
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        order: list[str] = []

        def read() -> None:
            order.append("socket")
            loop.stopped = True

        loop.watch(ours, selectors.EVENT_READ, read)
        loop.call_later(0.01, lambda: order.append("timer"))
        theirs.send(b"x")
        time.sleep(0.02)  # as if the process had been suspended
        loop.run()
        self.assertEqual(["timer", "socket"], order)

    def test_socket_that_a_timer_closed_is_left_alone(self) -> None:
        loop = reactor.Reactor()
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        calls: list[str] = []
        loop.watch(ours, selectors.EVENT_READ, lambda: calls.append("read"))

        def close() -> None:
            loop.unwatch(ours)
            ours.close()
            loop.stopped = True

        loop.call_later(0.0, close)
        theirs.send(b"x")
        time.sleep(0.01)
        loop.run()
        self.assertEqual([], calls)


class TestClock(unittest.TestCase):
    """The clock by which daemons decide."""

    def test_time_of_day_does_not_matter(self) -> None:
        before = reactor.clock()
        with mock.patch.object(time, "time", lambda: 0.0):
            self.assertGreaterEqual(reactor.clock(), before)

    def test_suspension_counts(self) -> None:
        with mock.patch.object(
            time,
            "clock_gettime",
            lambda clock: 7.0 if clock == time.CLOCK_BOOTTIME else 0.0,
        ):
            self.assertEqual(7.0, reactor.clock())


class TestTimers(unittest.TestCase):
    """Timers alone."""

    def test_cancelled_timer_does_not_run(self) -> None:
        loop = reactor.Reactor()
        order: list[str] = []
        loop.call_later(0.01, lambda: order.append("cancelled")).cancel()
        loop.call_later(0.02, lambda: order.append("kept"))

        def stop() -> None:
            loop.stopped = True

        loop.call_later(0.03, stop)
        loop.run()
        self.assertEqual(["kept"], order)
