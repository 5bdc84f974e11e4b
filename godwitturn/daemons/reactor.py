"""Event loop of the daemons that forward packets unchanged.

The loop consists of a selector and a heap of timers. Its imports take only a
few milliseconds, because imports delay the first packet that a restarted
daemon forwards.
"""

from collections.abc import Callable
import heapq
import itertools
import selectors
import signal
import socket
import time

# If waiting for sockets takes this much longer than asked for, the process was
# suspended.
SUSPENSION_THRESHOLD_S = 0.5
# Longest wait for sockets. It bounds the delay of a signal's callback, because
# a signal does not end the wait.
MAX_WAIT_S = 0.1


def clock() -> float:
    """Returns the seconds since boot, including suspensions of the VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevents the callback from running."""
        self.callback = None


class Reactor:
    """Runs callbacks when sockets are ready or timers are due.

    Attributes:
        now: Time of `clock` at which the loop last finished waiting.
        resumed_at: Value of `now` after the last suspension of the process.
        suspended_s: How long that suspension lasted at least.
        stopped: Whether `run` has to return; callbacks set it.
    """

    def __init__(self) -> None:
        self.now = clock()
        self.resumed_at = float("-inf")
        self.suspended_s = 0.0
        self.stopped = False
        self._selector = selectors.DefaultSelector()
        # Heap of due times, numbers and timers. The numbers order timers that
        # are due at the same time.
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_numbers = itertools.count()

    def watch(
        self, sock: socket.socket, events: int, callback: Callable[[], None]
    ) -> None:
        """Runs a callback whenever a socket is ready for selector events."""
        try:
            self._selector.modify(sock, events, callback)
        except KeyError:
            self._selector.register(sock, events, callback)

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching a socket."""
        # A closed socket has the descriptor -1, which the map rejects.
        if sock.fileno() >= 0 and sock.fileno() in self._selector.get_map():
            self._selector.unregister(sock)

    def call_later(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Timer:
        """Runs a callback once after a delay in seconds."""
        timer = Timer(callback)
        due_at = clock() + delay_s
        heapq.heappush(
            self._timers, (due_at, next(self._timer_numbers), timer)
        )
        return timer

    def call_every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> None:
        """Runs a callback repeatedly at an interval in seconds."""

        def run() -> None:
            self.call_later(interval_s, run)
            callback()

        self.call_later(interval_s, run)

    def on_signal(
        self, number: signal.Signals, callback: Callable[[], None]
    ) -> None:
        """Runs a callback in the event loop after a signal."""
        signal.signal(
            number, lambda *_: self.call_later(0.0, callback) and None
        )

    def run(self) -> None:
        """Runs until `stopped` is set."""
        while not self.stopped:
            waited_from = clock()
            wait_s = MAX_WAIT_S
            if self._timers:
                wait_s = min(
                    wait_s, max(0.0, self._timers[0][0] - waited_from)
                )
            ready = self._selector.select(wait_s)
            self.now = clock()
            overslept_s = self.now - waited_from - wait_s
            if overslept_s > SUSPENSION_THRESHOLD_S:
                self.resumed_at, self.suspended_s = self.now, overslept_s
                # A wait that a suspension interrupted returns no sockets.
                ready = self._selector.select(0)
            # Timers run first: they detect a suspension of the VM before
            # packets are handled with outdated state.
            while self._timers and self._timers[0][0] <= self.now:
                timer = heapq.heappop(self._timers)[2]
                if timer.callback is not None:
                    timer.callback()
            for key, _ in ready:
                # An earlier callback may have closed the socket.
                watched = self._selector.get_map().get(key.fd)
                if watched is not None and watched.fileobj is key.fileobj:
                    watched.data()
