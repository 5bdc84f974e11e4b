"""Base class of the daemons: start, stop and dispatch of events."""

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
    """Decides on events without I/O, such as `core.balancer.Balancer`."""

    @property
    def counters(self) -> collections.Counter[str]:
        """Number of datagrams by outcome."""

    def handle(self, event: EventIn, *, now: float) -> list[Action]:
        """Returns the actions that the daemon has to perform, in order."""


class Daemon(abc.ABC, Generic[Event, Action]):
    """A process that passes events to a core and performs its actions.

    Attributes:
        runtime: Logs, metrics and identity.
        control: Configuration and membership; set by subclasses.
    """

    control: control.ControlService
    _core: Core[Event, Action]

    def __init__(self, settings: schema.Settings) -> None:
        self._settings = settings
        self.runtime = runtimes.Runtime(settings)
        self._stopped = trio.Event()

    def _dispatch(self, event: Event) -> None:
        now = clock.now()
        # If the process was paused, the configuration may be unconfirmed now,
        # and the core must be fenced before it handles the event.
        self.control.check_freshness(now=now)
        for action in self._core.handle(event, now=now):
            self._perform(action)

    @abc.abstractmethod
    def _perform(self, action: Action) -> None:
        """Performs an action; passes common ones to `_perform_common`."""

    def _perform_common(self, action: Action) -> None:
        match action:
            case actions.Emit(event):
                self.runtime.log(event)
            case actions.Observe():
                self.runtime.observe(action)
            case actions.NewerVersionSeen(version):
                self.control.report_newer_version(version)
            case actions.Stopped():
                self._stopped.set()

    @abc.abstractmethod
    def _tick(self) -> None:
        """Does periodic work; called ten times a second."""

    @abc.abstractmethod
    def _stop(self) -> None:
        """Begins to stop; called on SIGTERM and SIGINT."""

    @abc.abstractmethod
    def _start(self, nursery: trio.Nursery) -> int:
        """Starts the tasks of a subclass; returns the port to print."""

    def _start_common(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(runtimes.tick_forever, self._tick)
        nursery.start_soon(runtimes.wait_for_stop, self._stop)
        nursery.start_soon(self.control.run)
        if self._settings.admin is not None:
            # Imported here, so that daemons without the API save the memory
            # of the HTTP server.
            from godwitturn.daemons import admin

            nursery.start_soon(
                admin.serve, self._settings, self.runtime, self.control
            )

    async def run(self) -> None:
        """Runs until the core has stopped after a signal."""
        async with trio.open_nursery() as nursery:
            port = self._start(nursery)
            self._start_common(nursery)
            runtimes.tune_garbage_collector()
            print(f"ready {port}", flush=True)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()
