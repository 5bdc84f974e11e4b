"""Ticks, signals, logs and metrics of both daemons."""

from collections.abc import Callable
import gc
import signal

import trio

from godwitturn.core import actions
from godwitturn.core import events
from godwitturn.core import identity
from godwitturn.core import token as tokens
from godwitturn.daemons import control_channel
from godwitturn.logs import output
from godwitturn.metrics import registry
from godwitturn.settings import schema

TICK_S = 0.1
# Flows hold no reference cycles, so collections of the old generation mostly
# scan live objects. With the defaults (700, 10, 10), each of them paused an
# agent that opened 500,000 flows for 0.1 s.
GC_THRESHOLDS = (10_000, 20, 100)


class Runtime:
    """Logs, metrics and identity of one daemon.

    Attributes:
        keys: The member's key pair.
        member_id: The member's id.
        metrics: The member's counters and histograms.
        stopping: Always False; not used.
    """

    def __init__(self, settings: schema.Settings) -> None:
        self.keys = control_channel.KeyPair.from_secret_key(
            settings.identity.secret_key
        )
        self.member_id = identity.member_id_of(self.keys.public_key)
        self.metrics = registry.Registry()
        self.stopping = False
        self._log = output.EventLog(
            name=settings.identity.name, level=settings.log.level
        )

    def log(self, event: events.LogEvent) -> None:
        """Writes a log event."""
        self._log.write(event)

    def observe(self, action: actions.Observe) -> None:
        """Records a value in a histogram."""
        key = registry.HistogramKey(
            action.histogram, action.service_id, action.request_class
        )
        self.metrics.observe(key, action.value_us)


def tune_garbage_collector() -> None:
    """Excludes startup objects from garbage collection, and makes it rarer."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def token_keys(settings: schema.Settings) -> list[tokens.TokenKey]:
    """Returns the token keys of the settings as types of the core."""
    return [
        tokens.TokenKey(key.key_id, key.service_id, key.secret)
        for key in settings.token_keys
    ]


async def tick_forever(tick: Callable[[], None]) -> None:
    """Calls a function ten times a second until cancelled."""
    while True:
        tick()
        await trio.sleep(TICK_S)


async def wait_for_stop(stop: Callable[[], None]) -> None:
    """Calls a function on each SIGTERM or SIGINT until cancelled."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop()
