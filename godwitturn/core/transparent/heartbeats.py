"""Heartbeats of targets."""

import attrs


def incarnation(target_id: str, born: int) -> str:
    """Returns the identity of one start of a target, as text."""
    return f"{target_id}/{born}"


@attrs.define(frozen=True, repr=False)
class Heartbeat:
    """Periodic report of a target about itself.

    Attributes:
        target_id: Its id.
        born: When it started, by its own clock.
        sequence: Number of the heartbeat, counted from its start.
        service: Its service.
        draining: Whether it is draining and must get no new flows.
        slots: Requests that it can run at the same time.
        cold_ms: Milliseconds for which it stays cold.
    """

    target_id: str
    born: int
    sequence: int
    service: str
    draining: bool
    slots: int
    cold_ms: int

    @property
    def incarnation(self) -> str:
        """Identity of the target's start."""
        return incarnation(self.target_id, self.born)
