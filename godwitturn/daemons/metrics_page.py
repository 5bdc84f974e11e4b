"""Metrics and state of a daemon that forwards packets unchanged.

Importing the histogram library would delay the restart of a daemon, so it is
imported when the metrics are first requested. Durations are queued, up to a
limit, until the next request for metrics.
"""

import collections
from collections.abc import Callable
import json
import typing

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments

if typing.TYPE_CHECKING:
    from godwitturn.metrics import registry as registries

# Exporters of this text format commonly use this port.
PORT = 9464
METRICS_PATH = "/metrics"
STATE_PATH = "/state"
MAX_QUEUED_DURATIONS = 8192


class MetricsPage:
    """Serves counters, durations and the state of a daemon."""

    def __init__(
        self,
        counts: dict[str, int],
        gauges: Callable[[], dict[str, float]],
        state: Callable[[], dict[str, object]],
    ) -> None:
        self._counts = counts
        self._gauges = gauges
        self._state = state
        self._queue: collections.deque[messages.Observe] = collections.deque(
            maxlen=MAX_QUEUED_DURATIONS
        )
        self._registry: registries.Registry | None = None

    def observe(self, observation: messages.Observe) -> None:
        """Queues a duration; if the queue is full, drops the oldest one."""
        if len(self._queue) == MAX_QUEUED_DURATIONS:
            self._counts["durations_left_out"] = (
                self._counts.get("durations_left_out", 0) + 1
            )
        self._queue.append(observation)

    def handle_request(
        self, method: str, target: str, _: bytes
    ) -> tuple[int, bytes]:
        """Returns status and body of the response to a request."""
        if method != "GET":
            return 405, b"{}"
        if target == METRICS_PATH:
            return 200, self._metrics_text().encode()
        if target == STATE_PATH:
            return 200, json.dumps(self._state(), default=str).encode()
        return 404, b"{}"

    def _metrics_text(self) -> str:
        from godwitturn.metrics import exposition
        from godwitturn.metrics import registry as registries

        if self._registry is None:
            self._registry = registries.Registry(
                counters_by_part={"daemon": self._counts},
                gauges={"daemon": self._gauges},
            )
        while self._queue:
            observation = self._queue.popleft()
            address, port = observation.endpoint
            key = registries.HistogramKey(
                observation.name,
                observation.service,
                segments.endpoint_name(address, port),
            )
            self._registry.observe(key, round(1e6 * observation.seconds))
        return exposition.format_metrics(self._registry)
