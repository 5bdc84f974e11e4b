"""What a target says of itself."""

import attrs


def incarnation(target_id: str, born: int) -> str:
    """Returns the identity of one start of a target."""
    return f"{target_id}/{born}"


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

    @property
    def incarnation(self) -> str:
        """Identity of the target's start."""
        return incarnation(self.target_id, self.born)
