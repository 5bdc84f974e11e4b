"""What a target says of itself."""

import attrs


@attrs.define(frozen=True, repr=False)
class Heartbeat:
    """What a target says of itself.

    Attributes:
        target_id: Its id.
        born: When it started, as it says.
        sequence: Count of its heartbeats since then.
        service: Its service.
        draining: Whether it is about to leave.
        slots: Requests that it runs at the same time.
        cold_ms: Milliseconds for which it stays cold.
    """

    target_id: str
    born: int
    sequence: int
    service: str
    draining: bool
    slots: int
    cold_ms: int
