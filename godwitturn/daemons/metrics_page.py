"""Metrics and state of a daemon that forwards packets unchanged.

The histogram library takes longer to import than a restarting daemon has, so
durations wait in a bounded queue until the page is asked for the first time.
"""

import collections
from collections.abc import Callable
import json
import typing

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments

if typing.TYPE_CHECKING:
    from godwitturn.metrics import registry as registries

# Port that exporters of this text format commonly use.
PORT = 9464
METRICS_PATH = "/metrics"
STATE_PATH = "/state"
MAX_WAITING = 8192


class MetricsPage:
    """Answers questions about counters, durations and beliefs."""

    def __init__(
        self,
        counts: dict[str, int],
        gauges: Callable[[], dict[str, float]],
        state: Callable[[], dict[str, object]],
    ) -> None:
        self._counts = counts
        self._gauges = gauges
        self._state = state
        self._waiting: collections.deque[messages.Observe] = collections.deque(
            maxlen=MAX_WAITING
        )
        self._registry: registries.Registry | None = None

    def observe(self, observation: messages.Observe) -> None:
        """Queues a duration; a full queue leaves out the oldest one."""
        if len(self._waiting) == MAX_WAITING:
            self._counts["durations_left_out"] = (
                self._counts.get("durations_left_out", 0) + 1
            )
        self._waiting.append(observation)

    def answer(self, method: str, target: str, _: bytes) -> tuple[int, bytes]:
        """Answers a request."""
        if method != "GET":
            return 405, b"{}"
        if target == METRICS_PATH:
            return 200, self._text().encode()
        if target == STATE_PATH:
            return 200, json.dumps(self._state(), default=str).encode()
        return 404, b"{}"

    def _text(self) -> str:
        from godwitturn.metrics import exposition
        from godwitturn.metrics import registry as registries

        if self._registry is None:
            self._registry = registries.Registry(
                counters_by_part={"daemon": self._counts},
                gauges={"daemon": self._gauges},
            )
        while self._waiting:
            observation = self._waiting.popleft()
            address, port = observation.endpoint
            key = registries.HistogramKey(
                observation.name,
                observation.service,
                segments.endpoint_name(address, port),
            )
            self._registry.observe(key, round(1e6 * observation.seconds))
        return exposition.format_metrics(self._registry)
