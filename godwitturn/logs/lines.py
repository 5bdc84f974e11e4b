"""JSON log lines on standard output, written without blocking."""

import collections
import json
import os
from typing import Any

from godwitturn.core.transparent import catalogue

# At 200 bytes a line, the rate is limited to 40 KB/s.
LINES_PER_SECOND = 200.0
BURST_LINES = 400.0
# Lines queued for a slow reader of standard output; further ones are dropped.
MAX_QUEUED_LINES = 2000
MAX_LINES_PER_WRITE = 100
# Event number of events that the catalogue doesn't list.
UNLISTED_NUMBER = 600


class LineLog:
    """Bounded queue of log lines with a rate limit.

    Attributes:
        dropped: Number of lines dropped so far because of the rate limit, a
            slow reader or a closed pipe.
    """

    def __init__(self, node: str, *, descriptor: int = 1) -> None:
        self.dropped = 0
        self._node = node
        self._descriptor = descriptor
        self._queue: collections.deque[bytes] = collections.deque()
        self._tokens = BURST_LINES
        self._refilled_at = 0.0
        self._reported_dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, event: str, fields: dict[str, Any], *, now: float) -> None:
        """Queues a line, or drops and counts it.

        Args:
            event: Name of the event.
            fields: Its fields; they are added to the line under their names.
            now: Seconds since the VM booted.
        """
        gained = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0 or len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._tokens -= 1.0
        line: dict[str, Any] = {
            "at": round(now, 3),
            "node": self._node,
            "id": f"GW{catalogue.NUMBER_BY_EVENT.get(event, UNLISTED_NUMBER)}",
            "event": event,
        }
        if self.dropped > self._reported_dropped:
            line["dropped_before"] = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
        line.update(fields)
        text = json.dumps(line, separators=(",", ":"), default=str)
        self._queue.append(text.encode() + b"\n")

    def flush(self) -> None:
        """Writes queued lines until the descriptor would block."""
        while self._queue:
            batch = [
                self._queue.popleft()
                for _ in range(min(MAX_LINES_PER_WRITE, len(self._queue)))
            ]
            try:
                os.write(self._descriptor, b"".join(batch))
            except BlockingIOError:
                self._queue.extendleft(reversed(batch))
                return
            except OSError:
                self.dropped += len(batch)  # the reader has closed the pipe
                return
