"""State of the platform's store, without its protocol, clock or threads."""

import base64
import copy
from typing import Any

FIRST_LEASE_ID = 1000


class StoreModel:
    """Keys, leases, history, revisions and eras of the platform's store.

    Attributes:
        item_by_key: Existing items, as answers contain them.
        revision: Number of the last change.
        era: How often the store was restored from a copy.
    """

    def __init__(self) -> None:
        self.item_by_key: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.era = 0
        self._events: list[dict[str, Any]] = []
        # Changes up to this revision are no longer in the history.
        self._dropped_revision = 0
        self._leases: set[int] = set()
        self._next_lease = FIRST_LEASE_ID

    def put(self, key: str, value: bytes, *, lease: int = 0) -> None:
        """Sets a key at a new revision; lease 0 means no lease."""
        self.revision += 1
        previous = self.item_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": previous["created"] if previous else self.revision,
            "lease": lease,
        }
        self.item_by_key[key] = item
        self._events.append(item)

    def delete(self, key: str) -> None:
        """Removes a key, if it exists."""
        if self.item_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self._events.append(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def read(self, prefix: str, after: str = "") -> list[dict[str, Any]]:
        """Returns the items of a prefix whose keys follow a key."""
        return [
            item
            for key, item in sorted(self.item_by_key.items())
            if key.startswith(prefix) and key > after
        ]

    def changes(self, prefix: str, after: int) -> list[dict[str, Any]] | None:
        """Returns the changes of a prefix since a revision.

        Returns:
            None if the store has no history since that revision.
        """
        if not self._dropped_revision <= after <= self.revision:
            return None
        return [
            event
            for event in self._events
            if event["key"].startswith(prefix) and event["revision"] > after
        ]

    def drop_history(self) -> None:
        """Drops all changes from the history; keys stay."""
        self._events.clear()
        self._dropped_revision = self.revision

    def grant(self) -> int:
        """Grants a lease and returns its id."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases.add(lease)
        return lease

    def has_lease(self, lease: int) -> bool:
        """Returns whether a lease has been granted and has not ended."""
        return lease in self._leases

    def end_lease(self, lease: int) -> None:
        """Ends a lease and deletes its keys."""
        self._leases.discard(lease)
        for key, item in list(self.item_by_key.items()):
            if item["lease"] == lease:
                self.delete(key)

    def end_all_leases(self) -> None:
        """Ends all leases, as if all had expired."""
        for lease in list(self._leases):
            self.end_lease(lease)

    def backup(self) -> "StoreModel":
        """Returns a copy that the store can be restored from."""
        return copy.deepcopy(self)

    def restore(self, backup: "StoreModel") -> None:
        """Returns to the state of a copy, without its leases and their keys.

        Revisions and ids of leases go on from those of the copy, so they are
        given out again. The era grows.
        """
        restored = copy.deepcopy(backup)
        self.item_by_key = {
            key: item
            for key, item in restored.item_by_key.items()
            if not item["lease"]
        }
        self.revision = restored.revision
        self._events = restored._events
        self._dropped_revision = restored._dropped_revision
        self._next_lease = restored._next_lease
        self._leases = set()
        self.era += 1
