"""Leases on keys, with the key's create revision as fencing number.

The local clock tells a holder when it must stop acting, and is checked before
each write. The check can't detect a pause of the process between the check and
the write, so every write is a transaction that compares the create revision of
the lease key: once the lease has ended, the key is absent or has another
create revision, and the write has no effect.
"""

from collections.abc import Callable
from collections.abc import Sequence
import os

import attrs
from returns import result as results

from godwitturn.etcd import failures
from godwitturn.etcd import store
from godwitturn.etcd import wire

# Share of the TTL by which a holder stops early: the clocks of holder and
# store may run at different speeds, and 10% is far above the drift of any
# usable clock.
TTL_MARGIN_FRACTION = 0.1

# Length of the random prefix of a lease key's value, which identifies one
# attempt to acquire the lease.
ATTEMPT_ID_BYTES = 16


@attrs.frozen
class HeldLease:
    """A lease key that this process holds.

    Attributes:
        key: The lease key.
        lease_id: Id of the lease in the store.
        create_revision: Fencing number; it increases with each holder.
        expires_at: Local time until which no other process can hold it.
    """

    key: str
    lease_id: int
    create_revision: int
    expires_at: float

    def is_valid(self, *, now: float) -> bool:
        """Returns whether the lease is certain to be held at a time."""
        return now < self.expires_at


@attrs.frozen
class LeaseLost:
    """The lease has ended or may have ended; nothing was written.

    Attributes:
        key: The lease key.
        holder: Current state of the key, if the store reported it; else
            None.
    """

    key: str
    holder: failures.KeyValue | None = None


LeaseFailure = failures.Failure | LeaseLost


def lease_expires_at(started_at: float, ttl_seconds: float) -> float:
    """Returns the local time until which a lease is certain to be held.

    The store ends the granted or renewed lease later, unless it is revoked.

    Args:
        started_at: Local time before the call was sent. The store counts the
            TTL from a moment between that time and its answer, so the start
            is the only safe reference.
        ttl_seconds: The TTL in the store's answer.
    """
    return started_at + ttl_seconds * (1 - TTL_MARGIN_FRACTION)


class LeaseManager:
    """Acquires, renews and releases leases, and writes with a held lease.

    Args:
        client: The store.
        clock: Returns seconds from a monotonic clock.
        ttl_seconds: TTL of the leases.
    """

    def __init__(
        self,
        client: store.StoreClient,
        clock: Callable[[], float],
        *,
        ttl_seconds: int,
    ) -> None:
        self._client = client
        self._clock = clock
        self._ttl_seconds = ttl_seconds

    async def acquire(
        self, key: str, *, owner: str
    ) -> results.Result[HeldLease, failures.Failure]:
        """Acquires a lease key if no process holds it.

        Args:
            key: The lease key.
            owner: Name of this process, for operators; part of the value.

        Returns:
            The held lease, or a `Conflict` with the current holder's key.
        """
        started_at = self._clock()
        granted = await self._client.grant_lease(self._ttl_seconds)
        if isinstance(granted, results.Failure):
            return results.Failure(granted.failure())
        lease = granted.unwrap()
        expires_at = lease_expires_at(started_at, lease.ttl_seconds)
        value = os.urandom(ATTEMPT_ID_BYTES) + owner.encode()
        created = await self._create_key(key, value, lease.lease_id)
        if isinstance(created, results.Failure):
            # Revoking the lease also makes a put that is still in flight fail,
            # because the store rejects a put with a revoked lease.
            await self._client.revoke_lease(lease.lease_id)
            return results.Failure(created.failure())
        return results.Success(
            HeldLease(key, lease.lease_id, created.unwrap(), expires_at)
        )

    async def _create_key(
        self, key: str, value: bytes, lease_id: int
    ) -> results.Result[int, failures.Failure]:
        """Creates the lease key; returns its create revision."""
        compares = [wire.Compare(key, create_revision=0)]
        puts = [wire.Put(key, value, lease_id)]
        answer = await self._client.transact(compares, puts)
        if isinstance(answer, results.Failure) and (
            failures.may_have_taken_effect(answer.failure())
        ):
            # Safe to repeat: the value and lease id identify this attempt.
            answer = await self._client.transact(compares, puts)
        if isinstance(answer, results.Success):
            return results.Success(answer.unwrap().revision)
        failure = answer.failure()
        if isinstance(failure, failures.Conflict):
            current = failure.current
            if current and (current.value, current.lease_id) == (
                value,
                lease_id,
            ):
                return results.Success(current.create_revision)
        return results.Failure(failure)

    async def renew(
        self, held: HeldLease
    ) -> results.Result[HeldLease, LeaseFailure]:
        """Renews a lease.

        Returns:
            The lease with its new expiry; `LeaseLost` if it has ended. After
            any other failure the old expiry applies.
        """
        started_at = self._clock()
        answer = await self._client.keep_lease_alive(held.lease_id)
        if isinstance(answer, results.Failure):
            failure = answer.failure()
            if isinstance(failure, failures.LeaseNotFound):
                return results.Failure(LeaseLost(held.key))
            return results.Failure(failure)
        expires_at = lease_expires_at(started_at, answer.unwrap().ttl_seconds)
        renewed = attrs.evolve(
            held, expires_at=max(expires_at, held.expires_at)
        )
        if not renewed.is_valid(now=self._clock()):
            # The process was paused during the call, so the renewed lease may
            # have expired as well; only another renewal can show that.
            return results.Failure(
                failures.TimedOut(
                    f"the renewal of lease {held.lease_id} was answered after "
                    "its TTL"
                )
            )
        return results.Success(renewed)

    async def write_with_lease(
        self,
        held: HeldLease,
        puts: Sequence[wire.Put],
        compares: Sequence[wire.Compare] = (),
    ) -> results.Result[store.WriteResult, LeaseFailure]:
        """Writes keys only while the lease is held.

        Args:
            held: The lease.
            puts: The writes.
            compares: Further conditions. Pass the `mod_revision` of each
                written key: a write whose answer was lost may still be in
                flight, and would replace a later one of the same holder.

        Returns:
            The revision; `LeaseLost` if the lease has ended by the local
            clock or in the store; `Conflict` if a further condition failed.
        """
        if not held.is_valid(now=self._clock()):
            return results.Failure(LeaseLost(held.key))
        fence = wire.Compare(held.key, create_revision=held.create_revision)
        answer = await self._client.transact([fence, *compares], puts)
        if isinstance(answer, results.Success):
            return results.Success(answer.unwrap())
        failure = answer.failure()
        if isinstance(failure, failures.Conflict):
            current = failure.current
            if (
                current is None
                or current.create_revision != held.create_revision
            ):
                return results.Failure(LeaseLost(held.key, current))
        return results.Failure(failure)

    async def release(
        self, held: HeldLease
    ) -> results.Result[store.WriteResult, failures.Failure]:
        """Revokes a lease, so that another process can acquire it at once."""
        return await self._client.revoke_lease(held.lease_id)
