"""Heartbeats of targets."""

import attrs


def incarnation(target_id: str, born: int) -> str:
    """Returns the identity of one start of a target, as text."""
    return f"{target_id}/{born}"


@attrs.define(frozen=True, repr=False)
class Heartbeat:
    """Periodic report of a target about itself.

    Attributes:
        target_id: Id of the target.
        born: When the target started, in milliseconds by its own clock.
        sequence: Number of the heartbeat, counted from the target's start.
        service: Service of the target.
        draining: Whether the target is draining and must get no new flows.
        slots: Requests that the target can run at the same time.
        cold_ms: Milliseconds for which the target stays cold.
        address: IP address and port where the target receives packets.
    """

    target_id: str
    born: int
    sequence: int
    service: str
    draining: bool
    slots: int
    cold_ms: int
    address: tuple[str, int]

    @property
    def incarnation(self) -> str:
        """Identity of the target's start."""
        return incarnation(self.target_id, self.born)
