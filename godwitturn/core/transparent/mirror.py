"""Local mirror of a prefix of the platform's store, updated by a watch."""

import enum

import attrs

from godwitturn.core import store_position
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import pacing

# Delays of retries, see `pacing.retry_delay_s`.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0
# An answer to a watch contains each version of a document since the last one.
# Beyond this size, and twice that of a read, the prefix is read instead.
MIN_WATCH_BYTES = 512 * 1024
# Size of an item in an answer, beyond its value in base64.
ITEM_OVERHEAD_BYTES = 300


@attrs.define(frozen=True, repr=False)
class Item:
    """A key of the store.

    Attributes:
        key: The key.
        value: Its value, None if the key was deleted.
        revision: Store revision of the last change, 0 for a key that was kept
            although the restored store lacks it.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.define(frozen=True, repr=False)
class ReadPage:
    """Read keys of a prefix.

    Attributes:
        prefix: The prefix.
        after: Last key of the previous page, empty for the first page.
    """

    prefix: str
    after: str


@attrs.define(frozen=True, repr=False)
class Watch:
    """Wait for changes under a prefix.

    Attributes:
        prefix: The prefix.
        after: Revision after which changes are returned.
        wait_s: Seconds after which the store replies if nothing changes.
        max_bytes: Size of an answer above which the watch fails.
    """

    prefix: str
    after: int
    wait_s: float
    max_bytes: int


@attrs.define(frozen=True, repr=False)
class Page:
    """Result of `ReadPage`.

    Attributes:
        items: The keys.
        more: Whether more pages follow.
        position: The store's position.
    """

    items: tuple[Item, ...]
    more: bool
    position: store_position.StorePosition


@attrs.define(frozen=True, repr=False)
class Changes:
    """Result of `Watch`.

    Attributes:
        items: The changes in order.
        position: Position from which the next watch continues.
    """

    items: tuple[Item, ...]
    position: store_position.StorePosition


class Failure(enum.Enum):
    """Why a call to the store gave no result."""

    HISTORY_GONE = "history_gone"
    TOO_LARGE = "too_large"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@attrs.define(eq=False, repr=False)
class Mirror:
    """State of one mirrored prefix.

    Attributes:
        prefix: The prefix.
        wait_s: Seconds that a watch waits for changes.
        pause_s: Seconds from the end of one watch to the next, which then
            returns all changes of that time in one call.
        restore_grace_s: Seconds after a restore of the store for which keys
            that it lacks are kept.
        item_by_key: The keys, as of `position`.
        position: Store position of the mirror, `UNREAD` before the first read.
        last_change: Position of the last known change under the prefix. The
            store counts changes of all keys, so `position` also grows without
            changes under the prefix. A first read doesn't show deletions.
        synced: Whether the whole prefix has been read since the start.
        failures: Number of calls that failed since the last success.
    """

    prefix: str
    wait_s: float
    pause_s: float = 0.0
    restore_grace_s: float = 0.0
    item_by_key: dict[str, Item] = attrs.field(factory=dict)
    position: store_position.StorePosition = store_position.UNREAD
    last_change: store_position.StorePosition = store_position.UNREAD
    synced: bool = False
    failures: int = 0
    _reading: bool = True
    _page_after: str = ""
    _read_by_key: dict[str, Item] = attrs.field(factory=dict)
    _read_position: store_position.StorePosition | None = None
    # Position that the watch in progress continues from.
    _watched_position: store_position.StorePosition = store_position.UNREAD
    # When keys that the restored store lacks are removed, if there are any.
    _grace_ends_at: float | None = None

    def next_call(self, *, now: float) -> ReadPage | Watch:
        """Returns the call to make next."""
        grace_ends_at = self._grace_ends_at
        if grace_ends_at is not None and now >= grace_ends_at:
            self._reading = True
        if self._reading:
            return ReadPage(self.prefix, self._page_after)
        self._watched_position = self.position
        wait_s = self.wait_s
        if grace_ends_at is not None:
            wait_s = min(wait_s, grace_ends_at - now)
        return Watch(
            self.prefix,
            self.position.revision,
            wait_s,
            self._max_watch_bytes(),
        )

    def _max_watch_bytes(self) -> int:
        read_bytes = sum(
            ITEM_OVERHEAD_BYTES + len(item.value or b"") * 4 // 3
            for item in self.item_by_key.values()
        )
        return max(MIN_WATCH_BYTES, 2 * read_bytes)

    def restart_read(self) -> None:
        """Makes the next call read the prefix from its first page."""
        self._reading = True
        self._page_after = ""
        self._read_by_key = {}
        self._read_position = None

    def delay_s(self, jitter: float) -> float:
        """Returns the seconds to wait before the next call.

        Args:
            jitter: A random number from 0 to 1, so that daemons that failed
                at the same time don't retry at the same time.
        """
        if not self.failures:
            return 0.0 if self._reading else self.pause_s
        return pacing.retry_delay_s(
            self.failures,
            minimum_s=MIN_RETRY_S,
            maximum_s=MAX_RETRY_S,
            jitter=jitter,
        )

    def handle_result(
        self, result: Page | Changes | Failure, *, now: float
    ) -> list[Item]:
        """Applies the result of the last call.

        Args:
            result: The result.
            now: Seconds.

        Returns:
            The changes, in order; deleted keys have the value None.
        """
        match result:
            case Page():
                self.failures = 0
                return self._apply_page(result, now=now)
            case Changes():
                self.failures = 0
                return self._apply_changes(result)
            case Failure.HISTORY_GONE | Failure.TOO_LARGE:
                self.restart_read()
            case _:
                self._handle_failure()
        return []

    def _handle_failure(self) -> None:
        self.failures += 1
        # By the time of the retry, a watch may no longer return the changes
        # since `position`.
        self.restart_read()

    def adopt(self, copy: document_exchange.Documents) -> list[Item]:
        """Applies a newer copy that was fetched from another daemon.

        Later results of the store are applied to that copy. An older copy may
        contain a change that the first read didn't show, because its key was
        deleted by then. If so, `last_change` is corrected, so that this mirror
        no longer passes for older than the copy.

        Returns:
            The changes; deleted keys have the value None.
        """
        if copy.position <= self.position:
            if copy.position > self.last_change:
                same = copy.value_by_key == self.documents().value_by_key
                self.last_change = copy.position if same else self.position
            return []
        revision = copy.position.revision
        items = {
            key: Item(key, value, revision)
            for key, value in copy.value_by_key.items()
        }
        changes = self._replace_items(items, revision)
        self.position = copy.position
        self.last_change = copy.position
        self._grace_ends_at = None
        return changes

    def documents(self) -> document_exchange.Documents:
        """Returns the documents, for daemons that fetch them."""
        return document_exchange.Documents(
            self.last_change,
            {
                key: item.value
                for key, item in self.item_by_key.items()
                if item.value is not None
            },
        )

    def _replace_items(
        self, items: dict[str, Item], revision: int
    ) -> list[Item]:
        """Replaces all items.

        Args:
            items: The new items by key.
            revision: Revision to report for deleted keys.

        Returns:
            The changes; deleted keys have the value None.
        """
        changes = [
            item
            for key, item in items.items()
            if key not in self.item_by_key
            or self.item_by_key[key].value != item.value
        ]
        changes += [
            Item(key, None, revision)
            for key in self.item_by_key
            if key not in items
        ]
        self.item_by_key = items
        return changes

    def _apply_page(self, page: Page, *, now: float) -> list[Item]:
        if self._read_position is None:
            # Pages aren't one snapshot. A watch from the first page's position
            # returns what changed in between.
            self._read_position = page.position
        if page.position.era != self._read_position.era:
            self.restart_read()
            return []
        for item in page.items:
            self._read_by_key[item.key] = item
        if page.more and page.items:
            self._page_after = page.items[-1].key
            return []
        read, position = self._read_by_key, self._read_position
        if position < self.position:
            # The answer is older than a copy that was adopted meanwhile.
            self._handle_failure()
            return []
        self.restart_read()
        self._reading = False
        kept = self._kept_after_restore(read, position, now=now)
        # An item may have changed after the first page was read.
        newest = max((item.revision for item in read.values()), default=0)
        changes = self._replace_items({**kept, **read}, position.revision)
        if any(change.value is None for change in changes):
            newest = max(newest, position.revision)
        self.last_change = max(
            self.last_change,
            store_position.StorePosition(position.era, newest),
        )
        self.position = position
        self.synced = True
        return changes

    def _kept_after_restore(
        self,
        read: dict[str, Item],
        position: store_position.StorePosition,
        *,
        now: float,
    ) -> dict[str, Item]:
        """Returns the keys that are kept although the store lacks them.

        A restored store has lost the latest changes. Their writers write them
        again, so keys aren't removed before `restore_grace_s` has passed.
        """
        if position.era > self.position.era and self.restore_grace_s:
            self._grace_ends_at = now + self.restore_grace_s
            candidates = self.item_by_key
        elif self._grace_ends_at is not None and now < self._grace_ends_at:
            candidates = {
                key: item
                for key, item in self.item_by_key.items()
                if not item.revision
            }
        else:
            self._grace_ends_at = None
            return {}
        kept = {
            key: Item(key, item.value, 0)
            for key, item in candidates.items()
            if key not in read
        }
        if not kept:
            self._grace_ends_at = None
        return kept

    def _apply_changes(self, changes: Changes) -> list[Item]:
        if changes.position.era != self._watched_position.era:
            # The store was restored: its revisions don't continue those of
            # the watch.
            self.restart_read()
            return []
        if changes.position.era < self.position.era:
            # A copy of a later era was adopted meanwhile.
            self._handle_failure()
            return []
        applied = []
        for item in changes.items:
            current = self.item_by_key.get(item.key)
            # The mirror contains all changes up to its position, deletions
            # included; after a read of several pages, also later ones.
            known = max(
                self.position.revision, current.revision if current else 0
            )
            if item.revision <= known:
                continue
            if item.value is None:
                if current is None:
                    continue
                del self.item_by_key[item.key]
            else:
                self.item_by_key[item.key] = item
            applied.append(item)
        self.position = max(self.position, changes.position)
        newest = max((item.revision for item in applied), default=0)
        self.last_change = max(
            self.last_change,
            store_position.StorePosition(changes.position.era, newest),
        )
        return applied
