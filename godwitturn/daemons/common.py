"""What balancer and agent daemons share: dispatch, start and stop."""

import abc
import collections
from typing import Generic
from typing import Protocol
from typing import TypeVar

import trio

from godwitturn.core import actions
from godwitturn.daemons import clock
from godwitturn.daemons import control
from godwitturn.daemons import runtime as runtimes
from godwitturn.settings import schema

Event = TypeVar("Event")
EventIn = TypeVar("EventIn", contravariant=True)
Action = TypeVar("Action")


class Core(Protocol[EventIn, Action]):
    """What decides on events, see `core.balancer` and `core.agent`."""

    @property
    def counters(self) -> collections.Counter[str]:
        """Number of datagrams by outcome."""

    def handle(self, event: EventIn, *, now: float) -> list[Action]:
        """Returns what the daemon has to do."""


class Daemon(abc.ABC, Generic[Event, Action]):
    """One process around a core.

    Attributes:
        runtime: Logs, metrics and identity.
        control: Configuration and membership; subclasses make it.
    """

    control: control.ControlService
    _core: Core[Event, Action]

    def __init__(self, settings: schema.Settings) -> None:
        self._settings = settings
        self.runtime = runtimes.Runtime(settings)
        self._stopped = trio.Event()

    def _dispatch(self, event: Event) -> None:
        now = clock.now()
        # A process that was paused must not act on a view that aged meanwhile.
        self.control.check_freshness(now=now)
        for action in self._core.handle(event, now=now):
            self._act(action)

    @abc.abstractmethod
    def _act(self, action: Action) -> None:
        """Does what the core decided; `_act_common` does the rest."""

    def _act_common(self, action: Action) -> None:
        match action:
            case actions.Emit(event):
                self.runtime.log(event)
            case actions.Observe():
                self.runtime.observe(action)
            case actions.NewerVersionSeen(version):
                self.control.newer_version_seen(version)
            case actions.Stopped():
                self._stopped.set()

    @abc.abstractmethod
    def _tick(self) -> None:
        """Called ten times a second."""

    @abc.abstractmethod
    def _stop(self) -> None:
        """Called when the daemon is asked to stop."""

    @abc.abstractmethod
    def _start(self, nursery: trio.Nursery) -> int:
        """Starts the daemon's own tasks; returns the port to print."""

    def _start_common(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(runtimes.tick_forever, self._tick)
        nursery.start_soon(runtimes.wait_for_stop, self._stop)
        nursery.start_soon(self.control.run)
        if self._settings.admin is not None:
            # Imported late: HTTP costs memory that daemons without it save.
            from godwitturn.daemons import admin

            nursery.start_soon(
                admin.serve, self._settings, self.runtime, self.control
            )

    async def run(self) -> None:
        """Runs until it was asked to stop and the core has stopped."""
        async with trio.open_nursery() as nursery:
            port = self._start(nursery)
            self._start_common(nursery)
            runtimes.tune_garbage_collector()
            print(f"ready {port}", flush=True)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
