"""Event loop of the daemons that forward packets unchanged.

A selector and a heap of timers. It imports in a few milliseconds, which
decides how soon a restarted daemon forwards its first packet.
"""

from collections.abc import Callable
import heapq
import itertools
import selectors
import signal
import socket
import time

MAX_WAIT_S = 0.1


def clock() -> float:
    """Returns seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Timer:
    """A callback that is due later; it can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Makes the callback never run."""
        self.callback = None


class Reactor:
    """Calls back when sockets are ready or timers due.

    Attributes:
        now: Seconds at which the present callbacks were due.
    """

    def __init__(self) -> None:
        self.now = clock()
        self.stopped = False
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._numbers = itertools.count()

    def watch(
        self, sock: socket.socket, events: int, callback: Callable[[], None]
    ) -> None:
        """Calls back whenever a socket is ready for the events."""
        try:
            self._selector.modify(sock, events, callback)
        except KeyError:
            self._selector.register(sock, events, callback)

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching a socket."""
        # A closed socket has the descriptor -1, which the map refuses.
        if sock.fileno() >= 0 and sock.fileno() in self._selector.get_map():
            self._selector.unregister(sock)

    def call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Timer:
        """Calls back once after a delay in seconds."""
        timer = Timer(callback)
        due_at = clock() + delay_s
        heapq.heappush(self._timers, (due_at, next(self._numbers), timer))
        return timer

    def call_every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> None:
        """Calls back at an interval in seconds."""

        def run() -> None:
            self.call_later(interval_s, run)
            callback()

        self.call_later(interval_s, run)

    def on_signal(
        self, number: signal.Signals, act: Callable[[], None]
    ) -> None:
        """Calls back soon after a signal."""
        signal.signal(number, lambda *_: self.call_later(0.0, act) and None)

    def run(self) -> None:
        """Runs until `stopped` is set."""
        while not self.stopped:
            wait_s = MAX_WAIT_S
            if self._timers:
                wait_s = min(wait_s, max(0.0, self._timers[0][0] - clock()))
            ready = self._selector.select(wait_s)
            self.now = clock()
            # Timers first: after a suspension, they notice it before packets
            # are judged by what was heard long ago.
            while self._timers and self._timers[0][0] <= self.now:
                timer = heapq.heappop(self._timers)[2]
                if timer.callback is not None:
                    timer.callback()
            for key, _ in ready:
                # An earlier callback may have closed the socket.
                watched = self._selector.get_map().get(key.fd)
                if watched is not None and watched.fileobj is key.fileobj:
                    watched.data()
