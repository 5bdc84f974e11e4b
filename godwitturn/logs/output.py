"""Writes numbered events through logbook, with a rate limit per event."""

import sys
import time

import attrs
import logbook

from godwitturn.core import events

EVENTS_PER_SECOND = 10.0
BURST_EVENTS = 20.0
FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S} {record.level_name} {record.message}"
LEVEL_BY_NAME = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


@attrs.define
class _TokenBucket:
    """Token bucket of one event.

    Attributes:
        tokens: Events that may be written now.
        refilled_at: Time of the last refill, in seconds.
        suppressed: Events suppressed since the last one written.
    """

    tokens: float = BURST_EVENTS
    refilled_at: float = 0.0
    suppressed: int = 0


@attrs.define
class RateLimit:
    """Limits how often each event is written.

    Attributes:
        bucket_by_event_id: Token buckets of the events seen so far.
    """

    bucket_by_event_id: dict[events.EventId, _TokenBucket] = attrs.field(
        factory=dict
    )

    def admit(self, event_id: events.EventId, *, now: float) -> int | None:
        """Takes a token, if there is one, for writing an event.

        Args:
            event_id: The event.
            now: Time on a monotonic clock, in seconds.

        Returns:
            How many occurrences were suppressed since the event was last
            written; None if this occurrence must be suppressed as well.
        """
        bucket = self.bucket_by_event_id.setdefault(
            event_id, _TokenBucket(refilled_at=now)
        )
        gained = (now - bucket.refilled_at) * EVENTS_PER_SECOND
        bucket.tokens = min(BURST_EVENTS, bucket.tokens + gained)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            bucket.suppressed += 1
            return None
        bucket.tokens -= 1.0
        suppressed, bucket.suppressed = bucket.suppressed, 0
        return suppressed


def render(event: events.LogEvent, suppressed: int) -> str:
    """Returns an event as one line of `name=value` fields."""
    fields = dict(event.fields)
    if suppressed:
        fields["suppressed"] = suppressed
    parts = [f"GW{int(event.event_id)}", event.event_id.name.lower()]
    parts += [f"{name}={value}" for name, value in fields.items()]
    return " ".join(parts)


class EventLog:
    """Writes the events of one daemon to standard error."""

    def __init__(self, *, name: str, level: str) -> None:
        self._logger = logbook.Logger(name)
        self._limit = RateLimit()
        self._handler = logbook.StreamHandler(
            sys.stderr, level=LEVEL_BY_NAME[level], format_string=FORMAT
        )
        self._handler.push_application()

    def write(self, event: events.LogEvent) -> None:
        """Writes an event unless its rate limit is exceeded."""
        suppressed = self._limit.admit(event.event_id, now=time.monotonic())
        if suppressed is None:
            return
        level = LEVEL_BY_NAME[events.level_of(event.event_id)]
        self._logger.log(level, render(event, suppressed).replace("%", "%%"))
