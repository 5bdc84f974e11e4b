"""Local mirror of a prefix of the platform's store, updated by a watch."""

import enum

import attrs

from godwitturn.core.transparent import document_exchange

# The delay before a retry doubles with each failure, from the minimum to the
# maximum. Jitter then shortens it by up to a half.
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
        revision: Store revision of the last change.
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
        revision: The store's revision.
    """

    items: tuple[Item, ...]
    more: bool
    revision: int


@attrs.define(frozen=True, repr=False)
class Changes:
    """Result of `Watch`.

    Attributes:
        items: The changes in order.
        revision: Revision from which the next watch continues.
    """

    items: tuple[Item, ...]
    revision: int


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
        item_by_key: The keys, as of `revision`.
        revision: Store revision of the mirror, 0 before the first read.
        last_change_revision: Revision of the last change under the prefix.
            The store counts changes of all keys, so `revision` also grows
            without changes under the prefix.
        synced: Whether the whole prefix has been read since the start.
        failures: Number of calls that failed since the last success.
    """

    prefix: str
    wait_s: float
    pause_s: float = 0.0
    item_by_key: dict[str, Item] = attrs.field(factory=dict)
    revision: int = 0
    last_change_revision: int = 0
    synced: bool = False
    failures: int = 0
    _reading: bool = True
    _page_after: str = ""
    _read_by_key: dict[str, Item] = attrs.field(factory=dict)
    _read_revision: int = 0

    def next_call(self) -> ReadPage | Watch:
        """Returns the call to make next."""
        if self._reading:
            return ReadPage(self.prefix, self._page_after)
        return Watch(
            self.prefix, self.revision, self.wait_s, self._max_watch_bytes()
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
        self._read_revision = 0

    def delay_s(self, jitter: float) -> float:
        """Returns the seconds to wait before the next call.

        Args:
            jitter: A random number from 0 to 1, so that daemons that failed
                at the same time don't retry at the same time.
        """
        if not self.failures:
            return 0.0 if self._reading else self.pause_s
        delay_s = MIN_RETRY_S * 2 ** min(self.failures - 1, 8)
        return min(MAX_RETRY_S, delay_s) * (0.5 + 0.5 * jitter)

    def handle_result(self, result: Page | Changes | Failure) -> list[Item]:
        """Applies the result of the last call.

        Returns:
            The changes, in order; deleted keys have the value None.
        """
        match result:
            case Page():
                self.failures = 0
                return self._apply_page(result)
            case Changes():
                self.failures = 0
                return self._apply_changes(result)
            case Failure.HISTORY_GONE | Failure.TOO_LARGE:
                self.restart_read()
            case _:
                self.failures += 1
                # By the time of the retry, a watch may no longer return the
                # changes since `revision`.
                self.restart_read()
        return []

    def adopt(self, copy: document_exchange.Documents) -> list[Item]:
        """Applies a newer copy that was fetched from another daemon.

        Later results of the store are applied to that copy.

        Returns:
            The changes; deleted keys have the value None.
        """
        if copy.revision <= self.revision:
            return []
        items = {
            key: Item(key, value, copy.revision)
            for key, value in copy.value_by_key.items()
        }
        changes = [
            item
            for key, item in items.items()
            if key not in self.item_by_key
            or self.item_by_key[key].value != item.value
        ]
        changes += [
            Item(key, None, copy.revision)
            for key in self.item_by_key
            if key not in items
        ]
        self.item_by_key = items
        self.revision = copy.revision
        self.last_change_revision = copy.revision
        return changes

    def documents(self) -> document_exchange.Documents:
        """Returns the documents, for daemons that fetch them."""
        return document_exchange.Documents(
            self.last_change_revision,
            {
                key: item.value
                for key, item in self.item_by_key.items()
                if item.value is not None
            },
        )

    def _apply_page(self, page: Page) -> list[Item]:
        if not self._read_revision:
            # Pages aren't one snapshot. A watch from the first page's revision
            # returns what changed in between.
            self._read_revision = page.revision
        for item in page.items:
            self._read_by_key[item.key] = item
        if page.more and page.items:
            self._page_after = page.items[-1].key
            return []
        read, revision = self._read_by_key, self._read_revision
        self.restart_read()
        self._reading = False
        if revision < self.revision:
            # The store lags behind the mirror.
            self.restart_read()
            self.failures += 1
            return []
        changes = [
            item
            for key, item in read.items()
            if key not in self.item_by_key
            or self.item_by_key[key].revision < item.revision
        ]
        changes += [
            Item(key, None, revision)
            for key in self.item_by_key
            if key not in read
        ]
        self.item_by_key = read
        self.revision = revision
        self.synced = True
        self._update_last_change(changes)
        return changes

    def _apply_changes(self, changes: Changes) -> list[Item]:
        applied = []
        for item in changes.items:
            current = self.item_by_key.get(item.key)
            if current is not None and current.revision >= item.revision:
                continue
            if item.value is None:
                if current is None:
                    continue
                del self.item_by_key[item.key]
            else:
                self.item_by_key[item.key] = item
            applied.append(item)
        self.revision = max(self.revision, changes.revision)
        self._update_last_change(applied)
        return applied

    def _update_last_change(self, changes: list[Item]) -> None:
        revisions = [change.revision for change in changes]
        self.last_change_revision = max(
            [self.last_change_revision, *revisions]
        )
