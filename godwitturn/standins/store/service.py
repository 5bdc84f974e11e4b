"""Runs calls of the stand-in store with rate limits, faults and counts."""

import collections
from collections.abc import Callable
import copy
from typing import Any

import attrs
import trio

from godwitturn.standins.store import state as states

_MOMENTARY_FAULTS = ("drop_watches", "restore", "take_backup")


@attrs.define
class RateLimit:
    """Token bucket that holds at most the calls of a quarter of a second."""

    calls_per_second: float
    _tokens: float = attrs.field(init=False, default=0.0)
    _updated_at: float = attrs.field(init=False, default=float("-inf"))

    @property
    def burst(self) -> float:
        """Number of calls that may arrive at the same time."""
        return max(1.0, self.calls_per_second / 4)

    def take(self, *, now: float) -> bool:
        """Counts a call; returns whether it is within the rate."""
        gained = (now - self._updated_at) * self.calls_per_second
        self._tokens = min(self.burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.define
class Faults:
    """Faults, which can be changed while the store runs.

    Attributes:
        down: Whether connections are reset, those of watches included.
        delay_seconds: Delay of each call before it takes effect.
        lost_answers: Number of next writes that take effect, but whose
            connection is reset instead of answered.
        lost_requests: Number of next writes that have no effect and whose
            connection is reset.
        delayed_writes: Number of next writes that wait `write_delay_seconds`
            before they take effect, even if the caller disconnects.
        write_delay_seconds: See `delayed_writes`.
        lose_watches_on_return: Whether connections of watches stay open when
            the store goes down, but get no more messages, not even after its
            return.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    lost_requests: int = 0
    delayed_writes: int = 0
    write_delay_seconds: float = 0.0
    lose_watches_on_return: bool = False


class ConnectionDropped(Exception):
    """The connection must be reset instead of answered."""


class StoreService:
    """Runs calls on the state, subject to rate limits and faults.

    Args:
        writes_per_second: Rate limit of puts, transactions, deletions,
            compactions, grants and revocations.
        reads_per_second: Rate limit of ranges, keepalives and starts of
            watches.
        progress_interval_seconds: Time between progress notifications of an
            idle watch.
        clock: Returns the current time in seconds.
    """

    def __init__(
        self,
        *,
        writes_per_second: float = 400.0,
        reads_per_second: float = 2000.0,
        progress_interval_seconds: float = 1.0,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.state = states.StoreState()
        self.faults = Faults()
        self.count_by_kind: collections.Counter[str] = collections.Counter()
        self.waiting_watches = 0
        self._backup = copy.deepcopy(self.state)
        # Each watch connection stores the watch generation at its start. An
        # increase of the watch generation resets all older connections. Those
        # older than the silent generation stay open without messages instead.
        self.watch_generation = 0
        self.silent_generation = 0
        self.progress_interval_seconds = progress_interval_seconds
        self.clock = clock
        self.changed = trio.lowlevel.ParkingLot()
        self._writes = RateLimit(writes_per_second)
        self._reads = RateLimit(reads_per_second)

    def set_faults(self, values: dict[str, Any]) -> None:
        """Changes faults by name.

        Some are not lasting. `drop_watches` resets the connections of all
        current watches, `take_backup` copies the state, and `restore` returns
        to that copy, where revisions and leases are those of the copy.

        Raises:
            ValueError: A name is unknown or a value has the wrong type.
        """
        values = dict(values)
        drop = values.pop("drop_watches", False)
        if values.pop("take_backup", False):
            self._backup = copy.deepcopy(self.state)
        if values.pop("restore", False):
            self.state = copy.deepcopy(self._backup)
            drop = True
        fields = attrs.fields_dict(Faults)
        for name, value in values.items():
            if name not in fields:
                allowed = sorted([*fields, *_MOMENTARY_FAULTS])
                raise ValueError(f"fault {name!r} is not one of {allowed}")
            expected = fields[name].type
            allowed_types = (int, float) if expected is float else (expected,)
            if type(value) not in allowed_types:
                raise ValueError(f"{name} must be {expected}, not {value!r}")
        was_down = self.faults.down
        self.faults = attrs.evolve(self.faults, **values)
        went_down = self.faults.down and not was_down
        if went_down and self.faults.lose_watches_on_return:
            self.silent_generation = self.watch_generation + 1
            self.watch_generation += 1
        elif drop or went_down:
            self.watch_generation += 1
        self.changed.unpark_all()

    def admit(self, kind: str, *, write: bool) -> None:
        """Counts a call and applies the rate limit.

        Raises:
            ConnectionDropped: The store is down.
            StoreError: The rate is exceeded (RESOURCE_EXHAUSTED).
        """
        if self.faults.down:
            raise ConnectionDropped
        self.count_by_kind[kind] += 1
        limit = self._writes if write else self._reads
        if not limit.take(now=self.clock()):
            self.count_by_kind["limited"] += 1
            raise states.StoreError(
                states.RESOURCE_EXHAUSTED, "too many requests"
            )

    async def call(
        self, kind: str, function: Callable[[], Any], *, write: bool
    ) -> Any:
        """Runs a call and returns its answer.

        Raises:
            ConnectionDropped: The store is down, or a fault loses the request
                or the answer.
            StoreError: The rate is exceeded or the call is invalid.
        """
        self.admit(kind, write=write)
        await self._delay(write=write)
        if write and self.faults.lost_requests > 0:
            self.faults.lost_requests -= 1
            raise ConnectionDropped
        self.expire()
        revision = self.state.revision
        answer = function()
        if self.state.revision != revision or kind == "compaction":
            self.changed.unpark_all()
        if write and self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            raise ConnectionDropped
        if self.faults.down:
            raise ConnectionDropped
        return answer

    async def _delay(self, *, write: bool) -> None:
        delay_seconds = self.faults.delay_seconds
        if write and self.faults.delayed_writes > 0:
            self.faults.delayed_writes -= 1
            delay_seconds += self.faults.write_delay_seconds
        if delay_seconds > 0:
            await trio.sleep(delay_seconds)

    def expire(self) -> None:
        """Ends expired leases and wakes the watches if there were any."""
        if self.state.expire(now=self.clock()):
            self.changed.unpark_all()

    async def expire_leases(self) -> None:
        """Ends leases as they expire, also when there are no calls."""
        while True:
            await trio.sleep(0.05)
            self.expire()
