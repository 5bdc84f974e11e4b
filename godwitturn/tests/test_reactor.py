"""Tests of the event loop."""

import selectors
import socket
import time
import unittest
from unittest import mock

from godwitturn.daemons import reactor


class TestOrder(unittest.TestCase):
    """Order of timers and sockets that are ready at the same time."""

    def test_overdue_timers_run_before_sockets(self) -> None:
        """Guards against handling packets before a pause is detected."""
        loop = reactor.Reactor()
        local, remote = socket.socketpair()
        self.addCleanup(local.close)
        self.addCleanup(remote.close)
        order: list[str] = []

        def read() -> None:
            order.append("socket")
            loop.stopped = True

        loop.watch(local, selectors.EVENT_READ, read)
        loop.call_later(0.01, lambda: order.append("timer"))
        remote.send(b"x")
        time.sleep(0.02)  # like a suspension of the process
        loop.run()
        self.assertEqual(["timer", "socket"], order)

    def test_socket_closed_by_a_timer_is_skipped(self) -> None:
        loop = reactor.Reactor()
        local, remote = socket.socketpair()
        self.addCleanup(remote.close)
        calls: list[str] = []
        loop.watch(local, selectors.EVENT_READ, lambda: calls.append("read"))

        def close() -> None:
            loop.unwatch(local)
            local.close()
            loop.stopped = True

        loop.call_later(0.0, close)
        remote.send(b"x")
        time.sleep(0.01)
        loop.run()
        self.assertEqual([], calls)


class TestClock(unittest.TestCase):
    """Guards against a clock that is set back or omits suspensions."""

    def test_changes_of_the_wall_clock_have_no_effect(self) -> None:
        before = reactor.clock()
        with mock.patch.object(time, "time", lambda: 0.0):
            self.assertGreaterEqual(reactor.clock(), before)

    def test_time_of_a_suspension_is_included(self) -> None:
        with mock.patch.object(
            time,
            "clock_gettime",
            lambda clock: 7.0 if clock == time.CLOCK_BOOTTIME else 0.0,
        ):
            self.assertEqual(7.0, reactor.clock())


class TestTimers(unittest.TestCase):
    """Guards against timers that run although they were cancelled."""

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
