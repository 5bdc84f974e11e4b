"""Keys of the platform's store, and failures of calls as return values."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class KeyValue:
    """One key of the store.

    Attributes:
        key: Its name.
        value: Its value.
        create_revision: Revision at which the key was created.
        mod_revision: Revision of its last change.
        version: Number of changes since it was created, from 1.
        lease_id: Lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@attrs.frozen
class Unreachable:
    """The call did not reach the store; a write had no effect."""

    detail: str


@attrs.frozen
class TimedOut:
    """No answer arrived to a call that may have been sent.

    The cause may be the timeout, a lost connection or a gateway that lost
    its store. A write may have taken effect or may still do so.
    """

    detail: str


@attrs.frozen
class Conflict:
    """A comparison of a transaction failed; nothing was written.

    Attributes:
        revision: The store's revision at that moment.
        current_by_key: State of the compared keys; None for an absent key.
    """

    revision: int
    current_by_key: Mapping[str, KeyValue | None]

    @property
    def current(self) -> KeyValue | None:
        """State of the first compared key; None if it is absent."""
        return next(iter(self.current_by_key.values()), None)


@attrs.frozen
class RateLimited:
    """The store rejected the call for its rate limit; it had no effect.

    Attributes:
        retry_after: Seconds to wait before the next attempt.
    """

    retry_after: float


@attrs.frozen
class TooLarge:
    """A value is larger than the store accepts; nothing was written."""

    size_bytes: int
    limit_bytes: int


@attrs.frozen
class Malformed:
    """The store rejected the call as invalid, or its answer was not valid.

    Attributes:
        detail: What was wrong.
        refused: True if the store rejected the call, so that it had no
            effect; False if an answer could not be parsed.
    """

    detail: str
    refused: bool


@attrs.frozen
class LeaseNotFound:
    """The lease expired or was revoked; nothing was written."""

    lease_id: int


Failure = (
    Unreachable
    | TimedOut
    | Conflict
    | RateLimited
    | TooLarge
    | Malformed
    | LeaseNotFound
)


def may_have_taken_effect(failure: Failure) -> bool:
    """Returns whether a write with this failure may have taken effect."""
    match failure:
        case TimedOut():
            return True
        case Malformed(refused=refused):
            return not refused
        case _:
            return False
