"""Keeps an agent's entry in the platform's store under a lease."""

import enum

import attrs

from godwitturn.core.transparent import pacing

LEASE_S = 10.0
# A third of the lease, so that two renewals may fail.
RENEWAL_S = LEASE_S / 3
# Delays of retries, see `pacing.retry_delay_s`. Entries must be back within
# two seconds after the store has recovered.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 1.0
# Time within which balancers notice a changed entry. Until then they rely on
# the agents' announcements.
PROPAGATION_S = 2.0
# Time after a write during which reports of a missing entry are ignored: the
# reporting balancer may not have read the entry yet. The extra second covers
# the balancer's calls to the store and its hellos.
REWRITE_DELAY_S = PROPAGATION_S + 1.0


@attrs.define(frozen=True, repr=False)
class GrantLease:
    """Request a lease.

    Attributes:
        seconds: How long it is valid without renewal.
    """

    seconds: float


@attrs.define(frozen=True, repr=False)
class KeepLease:
    """Renew a lease.

    Attributes:
        lease: Its id.
    """

    lease: int


@attrs.define(frozen=True, repr=False)
class EndLease:
    """Revoke a lease, which deletes its keys.

    Attributes:
        lease: Its id.
    """

    lease: int


@attrs.define(frozen=True, repr=False)
class PutEntry:
    """Write a key under a lease.

    Attributes:
        key: The key.
        value: Its value.
        lease: The lease.
    """

    key: str
    value: bytes
    lease: int


Call = GrantLease | KeepLease | EndLease | PutEntry


@attrs.define(frozen=True, repr=False)
class Granted:
    """A lease was granted.

    Attributes:
        lease: Its id.
    """

    lease: int


class Outcome(enum.Enum):
    """Result of a call other than a granted lease."""

    DONE = "done"
    LEASE_GONE = "lease_gone"
    FAILED = "failed"


@attrs.define(eq=False, repr=False)
class Registration:
    """State of an agent's entry.

    Attributes:
        key: Key of the entry.
        value: Its value.
        era: Newest era of the store that an answer was given in. Leases and
            entries of earlier eras are gone, and the ids of their leases may
            belong to others.
        lease: Id of the lease, 0 if there is none.
        written: Whether the entry was written under the lease.
        due_at: When the next call is due, in seconds.
        written_at: When the entry was last written, in seconds.
        failures: Number of calls that failed since the last success.
    """

    key: str
    value: bytes
    era: int = 0
    lease: int = 0
    written: bool = False
    due_at: float = 0.0
    written_at: float = float("-inf")
    failures: int = 0

    def next_call(self, *, now: float) -> Call | None:
        """Returns the call to make now, None if no call is due."""
        if now < self.due_at:
            return None
        if not self.lease:
            return GrantLease(LEASE_S)
        if not self.written:
            return PutEntry(self.key, self.value, self.lease)
        return KeepLease(self.lease)

    def final_call(self, *, target_ended: bool) -> Call | None:
        """Returns the call to make before the agent exits, if any."""
        if target_ended and self.lease:
            return EndLease(self.lease)
        return None

    def handle_missing_entry(self, *, now: float) -> None:
        """Handles a balancer's report that the entry isn't in the store."""
        if self.written and now - self.written_at > REWRITE_DELAY_S:
            self.written = False
            self.due_at = now

    def is_lost(self, result: Granted | Outcome, *, era: int) -> bool:
        """Returns whether a result shows that lease and entry are gone.

        Args:
            result: Result of a call under the lease.
            era: Era of the store in which the result was given.
        """
        return era > self.era or result == Outcome.LEASE_GONE

    def handle_result(
        self,
        call: Call,
        result: Granted | Outcome,
        *,
        era: int,
        now: float,
        jitter: float,
    ) -> None:
        """Handles the result of a call.

        Args:
            call: The call.
            result: Its result.
            era: Era of the store in which the result was given.
            now: Seconds.
            jitter: A random number from 0 to 1. Agents whose calls failed at
                the same time then don't retry at the same time.
        """
        if era < self.era:
            result = Outcome.FAILED  # of a state that the store has lost
        elif era > self.era:
            self.era = era
            if not isinstance(result, Granted):
                result = Outcome.LEASE_GONE
        match call, result:
            case _, Outcome.FAILED:
                self.failures += 1
                self.due_at = now + pacing.retry_delay_s(
                    self.failures,
                    minimum_s=MIN_RETRY_S,
                    maximum_s=MAX_RETRY_S,
                    jitter=jitter,
                )
                return
            case _, Granted(lease):
                self.lease = lease
                self.written = False
                self.due_at = now
            case _, Outcome.LEASE_GONE:
                self.lease = 0
                self.written = False
                self.due_at = now
            case PutEntry(), _:
                self.written = True
                self.written_at = now
                self.due_at = now + RENEWAL_S
            case _:
                self.due_at = now + RENEWAL_S
        self.failures = 0
