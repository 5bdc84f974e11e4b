"""Leases on keys, with the key's create revision as fencing number.

The local clock tells a holder when it must stop acting. It cannot tell about
a pause between that check and the write, so every write is a transaction that
compares the create revision of the lease key: once the lease has ended, the
key is gone or has another create revision, and the write has no effect.
"""

from collections.abc import Callable
from collections.abc import Sequence
import os

import attrs
from returns import result as results

from godwitturn.etcd import failures
from godwitturn.etcd import store
from godwitturn.etcd import wire

# Subtracted from the lease's TTL: the clocks of holder and store may run at
# different speeds, and 10% is far above the drift of any usable clock.
MARGIN_FRACTION = 0.1

OWNER_TAG_BYTES = 16


@attrs.frozen
class HeldLease:
    """A lease key that this process holds.

    Attributes:
        key: The lease key.
        lease_id: The store's number of the lease.
        create_revision: Fencing number; it grows from holder to holder.
        held_until: Local time until which no other process can hold it.
    """

    key: str
    lease_id: int
    create_revision: int
    held_until: float

    def is_valid(self, *, now: float) -> bool:
        """Tells whether the lease is surely held at a time."""
        return now < self.held_until


@attrs.frozen
class LeaseLost:
    """The lease is not surely held any more; nothing was written.

    Attributes:
        key: The lease key.
        holder: What the key holds now, if the store told; else None.
    """

    key: str
    holder: failures.KeyValue | None = None


LeaseFailure = failures.Failure | LeaseLost


def held_until(started: float, ttl_seconds: float) -> float:
    """Returns the time until which a granted or renewed lease is held.

    Args:
        started: Local time before the call was sent. The store counts the
            TTL from a moment between that and its answer, so the start is
            the only safe reference.
        ttl_seconds: The TTL in the store's answer.
    """
    return started + ttl_seconds * (1 - MARGIN_FRACTION)


class LeaseManager:
    """Acquires, renews and writes under leases.

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
        """Takes a lease key if nobody holds it.

        Args:
            key: The lease key.
            owner: Name of this process, for operators; part of the value.

        Returns:
            The held lease, or a `Conflict` with the present holder's key.
        """
        started = self._clock()
        granted = await self._client.grant_lease(self._ttl_seconds)
        if isinstance(granted, results.Failure):
            return results.Failure(granted.failure())
        lease = granted.unwrap()
        until = held_until(started, lease.ttl_seconds)
        value = os.urandom(OWNER_TAG_BYTES) + owner.encode()
        taken = await self._take(key, value, lease.lease_id)
        if isinstance(taken, results.Failure):
            # Also makes an attempt that is still on its way fail, because
            # the store refuses a put with an ended lease.
            await self._client.revoke_lease(lease.lease_id)
            return results.Failure(taken.failure())
        return results.Success(
            HeldLease(key, lease.lease_id, taken.unwrap(), until)
        )

    async def _take(
        self, key: str, value: bytes, lease_id: int
    ) -> results.Result[int, failures.Failure]:
        """Creates the lease key; returns its create revision."""
        compares = [wire.Compare(key, create_revision=0)]
        puts = [wire.Put(key, value, lease_id)]
        answer = await self._client.transact(compares, puts)
        if isinstance(answer, results.Failure) and (
            failures.may_have_taken_effect(answer.failure())
        ):
            # Safe to repeat: the value and lease tell this attempt apart.
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
            The lease with its new time; `LeaseLost` if it has ended. After any
            other failure the old time stands.
        """
        started = self._clock()
        answer = await self._client.keep_lease_alive(held.lease_id)
        if isinstance(answer, results.Failure):
            failure = answer.failure()
            if isinstance(failure, failures.LeaseNotFound):
                return results.Failure(LeaseLost(held.key))
            return results.Failure(failure)
        until = held_until(started, answer.unwrap().ttl_seconds)
        renewed = attrs.evolve(held, held_until=max(until, held.held_until))
        if not renewed.is_valid(now=self._clock()):
            # The process was paused during the call, so the renewed time may
            # be over as well; only another renewal can tell.
            return results.Failure(
                failures.TimedOut("the renewal's answer came after its TTL")
            )
        return results.Success(renewed)

    async def write_with_lease(
        self,
        held: HeldLease,
        puts: Sequence[wire.Put],
        compares: Sequence[wire.Compare] = (),
    ) -> results.Result[store.Written, LeaseFailure]:
        """Writes keys only while the lease is held.

        Args:
            held: The lease.
            puts: The writes.
            compares: Further conditions. Give the `mod_revision` of each
                written key: a write whose answer was lost may be on its way
                still, and would replace a later one of the same holder.

        Returns:
            The revision; `LeaseLost` if the lease is over, by the local clock
            or by the store's word; `Conflict` if a further condition failed.
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
    ) -> results.Result[store.Written, failures.Failure]:
        """Gives a lease up, so that another process can take it at once."""
        return await self._client.revoke_lease(held.lease_id)
