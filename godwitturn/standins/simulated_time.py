"""Simulated time: calls are made in its order, without waiting."""

from collections.abc import Callable
import heapq
import itertools


class SimulatedTime:
    """Base class of simulations, with the calls that are due later.

    Attributes:
        now: Simulated time in seconds.
    """

    def __init__(self, now: float) -> None:
        self.now = now
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        # The numbers order calls that are due at the same time.
        self._call_numbers = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a call after a delay in seconds."""
        call = (self.now + delay_s, next(self._call_numbers), callback)
        heapq.heappush(self._calls, call)

    def run(self, seconds: float) -> None:
        """Advances the simulated time and makes the calls that are due."""
        self.run_until(self.now + seconds)

    def run_until(self, end: float) -> None:
        """Does the same up to a time."""
        while self._calls and self._calls[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._calls)
            callback()
        self.now = end
