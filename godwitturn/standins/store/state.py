"""In-memory state of the store: keys, revisions, history and leases."""

import collections
from collections.abc import Sequence

import attrs

MAX_VALUE_BYTES = 1_000_000
FIRST_REVISION = 1


class StoreError(Exception):
    """The store refuses a request.

    Attributes:
        code: gRPC status code that the gateway returns.
        message: Error message that the gateway returns.
    """

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


INVALID_ARGUMENT = 3
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
FAILED_PRECONDITION = 9
OUT_OF_RANGE = 11
UNIMPLEMENTED = 12


@attrs.frozen
class Entry:
    """A key with its value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@attrs.frozen
class Event:
    """A change of a key; the entry of a deletion has no value."""

    entry: Entry
    deleted: bool = False


@attrs.define
class Lease:
    """A lease and the keys that are deleted when it ends."""

    lease_id: int
    ttl_seconds: int
    expires_at: float
    keys: set[bytes] = attrs.field(factory=set)


@attrs.frozen
class Put:
    """Sets a key."""

    key: bytes
    value: bytes
    lease_id: int = 0


@attrs.frozen
class Delete:
    """Deletes a key or a range."""

    key: bytes
    range_end: bytes = b""


@attrs.frozen
class Range:
    """Reads a key or a range."""

    key: bytes
    range_end: bytes = b""


Operation = Put | Delete | Range


def in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Returns whether a key lies in an etcd range.

    An empty range end means the key `start` alone; a zero byte means all keys
    from `start` on.
    """
    if not range_end:
        return key == start
    return key >= start and (range_end == b"\0" or key < range_end)


class StoreState:
    """Keys, the changes since the last compaction, and leases."""

    def __init__(self, *, history_limit: int = 10_000) -> None:
        self.revision = FIRST_REVISION
        self.compacted_revision = 0
        self.entry_by_key: dict[bytes, Entry] = {}
        self.history: collections.deque[Event] = collections.deque()
        self.lease_by_id: dict[int, Lease] = {}
        self._history_limit = history_limit
        self._next_lease_id = 1001

    def range(self, key: bytes, range_end: bytes = b"") -> list[Entry]:
        """Returns the entries of a range in the order of their keys."""
        if not range_end:
            entry = self.entry_by_key.get(key)
            return [entry] if entry else []
        return [
            self.entry_by_key[name]
            for name in sorted(self.entry_by_key)
            if in_range(name, key, range_end)
        ]

    def apply(
        self, operations: Sequence[Operation]
    ) -> list[list[Entry] | int | None]:
        """Applies operations atomically, all at one revision.

        Returns:
            For each operation the entries read, the number of deleted keys,
            or None for a put.

        Raises:
            StoreError: A put is invalid; no operation took effect.
        """
        self._check(operations)
        revision = self.revision + 1
        results: list[list[Entry] | int | None] = []
        for operation in operations:
            match operation:
                case Put():
                    self._put(operation, revision)
                    results.append(None)
                case Delete(key, range_end):
                    deleted = self.range(key, range_end)
                    self._delete([entry.key for entry in deleted], revision)
                    results.append(len(deleted))
                case Range(key, range_end):
                    results.append(self.range(key, range_end))
        self._trim_history()
        return results

    def _check(self, operations: Sequence[Operation]) -> None:
        put_keys: set[bytes] = set()
        for operation in operations:
            if not isinstance(operation, Put):
                continue
            if not operation.key:
                raise StoreError(INVALID_ARGUMENT, "key is not provided")
            if len(operation.value) > MAX_VALUE_BYTES:
                raise StoreError(INVALID_ARGUMENT, "request is too large")
            if operation.lease_id and (
                operation.lease_id not in self.lease_by_id
            ):
                raise StoreError(NOT_FOUND, "requested lease not found")
            if operation.key in put_keys:
                raise StoreError(
                    INVALID_ARGUMENT, "duplicate key given in txn request"
                )
            put_keys.add(operation.key)

    def _put(self, put: Put, revision: int) -> None:
        previous = self.entry_by_key.get(put.key)
        if previous and previous.lease_id in self.lease_by_id:
            self.lease_by_id[previous.lease_id].keys.discard(put.key)
        entry = Entry(
            put.key,
            put.value,
            previous.create_revision if previous else revision,
            revision,
            previous.version + 1 if previous else 1,
            put.lease_id,
        )
        self.entry_by_key[put.key] = entry
        if put.lease_id:
            self.lease_by_id[put.lease_id].keys.add(put.key)
        self.history.append(Event(entry))
        self.revision = revision

    def _delete(self, keys: Sequence[bytes], revision: int) -> None:
        for key in keys:
            previous = self.entry_by_key.pop(key)
            if previous.lease_id in self.lease_by_id:
                self.lease_by_id[previous.lease_id].keys.discard(key)
            tombstone = Entry(key, b"", 0, revision, 0)
            self.history.append(Event(tombstone, deleted=True))
            self.revision = revision

    def _trim_history(self) -> None:
        excess = len(self.history) - self._history_limit
        if excess > 0:
            self.compact(self.history[excess].entry.mod_revision)

    def compact(self, revision: int) -> None:
        """Discards the changes before a revision.

        Raises:
            StoreError: The revision was compacted before or is in the future.
        """
        if revision <= self.compacted_revision:
            raise StoreError(
                OUT_OF_RANGE, "required revision has been compacted"
            )
        if revision > self.revision:
            raise StoreError(
                OUT_OF_RANGE, "required revision is a future revision"
            )
        self.compacted_revision = revision
        while self.history and self.history[0].entry.mod_revision < revision:
            self.history.popleft()

    def events_from(
        self, revision: int, key: bytes, range_end: bytes
    ) -> list[Event]:
        """Returns the changes in a range from a revision on."""
        found: list[Event] = []
        for event in reversed(self.history):
            if event.entry.mod_revision < revision:
                break
            if in_range(event.entry.key, key, range_end):
                found.append(event)
        return found[::-1]

    def grant(self, ttl_seconds: int, lease_id: int, *, now: float) -> Lease:
        """Creates a lease; id 0 lets the store choose the id.

        Raises:
            StoreError: The TTL is not positive, or the id is taken.
        """
        if ttl_seconds < 1:
            raise StoreError(
                INVALID_ARGUMENT, f"TTL {ttl_seconds} is not positive"
            )
        if lease_id in self.lease_by_id:
            raise StoreError(FAILED_PRECONDITION, "lease already exists")
        if not lease_id:
            lease_id = self._next_lease_id
            self._next_lease_id += 1
        lease = Lease(lease_id, ttl_seconds, now + ttl_seconds)
        self.lease_by_id[lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int, *, now: float) -> int:
        """Renews a lease; returns its TTL in seconds, 0 if it has ended."""
        lease = self.lease_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = now + lease.ttl_seconds
        return lease.ttl_seconds

    def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys.

        Raises:
            StoreError: There is no such lease.
        """
        lease = self.lease_by_id.get(lease_id)
        if lease is None:
            raise StoreError(NOT_FOUND, "requested lease not found")
        self._delete(sorted(lease.keys), self.revision + 1)
        del self.lease_by_id[lease_id]
        self._trim_history()

    def expire(self, *, now: float) -> bool:
        """Ends expired leases; returns whether there were any."""
        expired = [
            lease.lease_id
            for lease in self.lease_by_id.values()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            self.revoke(lease_id)
        return bool(expired)
