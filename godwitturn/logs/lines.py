"""Structured log lines on standard output that never block a daemon."""

import collections
import json
import os
from typing import Any

from godwitturn.core.transparent import catalogue

# Lines a second and in a burst; at 200 bytes this stays below 40 KB/s.
LINES_PER_SECOND = 200.0
BURST_LINES = 400.0
# Lines that wait for a reader of standard output.
MAX_WAITING = 2000
FLUSH_LINES = 100
# Number of an event that the catalogue lacks.
UNLISTED = 600


class LineLog:
    """Queue of log lines, written when the daemon has time.

    Attributes:
        dropped: Lines left out so far, by rate or by a slow reader.
    """

    def __init__(self, node: str, *, descriptor: int = 1) -> None:
        self.dropped = 0
        self._node = node
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._tokens = BURST_LINES
        self._refilled_at = 0.0
        self._reported = 0
        os.set_blocking(descriptor, False)

    def write(self, event: str, fields: dict[str, Any], *, now: float) -> None:
        """Queues a line, or counts it as dropped.

        Args:
            event: Name of the event.
            fields: What belongs to it.
            now: Seconds since the machine started.
        """
        gained = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0 or len(self._waiting) >= MAX_WAITING:
            self.dropped += 1
            return
        self._tokens -= 1.0
        line: dict[str, Any] = {
            "at": round(now, 3),
            "node": self._node,
            "id": f"GW{catalogue.NUMBER_BY_EVENT.get(event, UNLISTED)}",
            "event": event,
        }
        if self.dropped > self._reported:
            line["dropped_before"] = self.dropped - self._reported
            self._reported = self.dropped
        line.update(fields)
        text = json.dumps(line, separators=(",", ":"), default=str)
        self._waiting.append(text.encode() + b"\n")

    def flush(self) -> None:
        """Writes some of the waiting lines, as far as this doesn't block."""
        while self._waiting:
            batch = [
                self._waiting.popleft()
                for _ in range(min(FLUSH_LINES, len(self._waiting)))
            ]
            try:
                os.write(self._descriptor, b"".join(batch))
            except BlockingIOError:
                self._waiting.extendleft(reversed(batch))
                return
            except OSError:
                self.dropped += len(batch)  # the reader has gone
                return
