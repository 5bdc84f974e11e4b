"""A copy of a part of the platform's store, kept up by watching it."""

import enum

import attrs

from godwitturn.core.transparent import document_exchange

MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0


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
        after: Last key of the page before, empty for the first page.
    """

    prefix: str
    after: str


@attrs.define(frozen=True, repr=False)
class Watch:
    """Wait for changes of a prefix.

    Attributes:
        prefix: The prefix.
        after: Revision after which changes are wanted.
        wait_s: Seconds that the store may take if nothing changes.
    """

    prefix: str
    after: int
    wait_s: float


@attrs.define(frozen=True, repr=False)
class Page:
    """Answer to `ReadPage`.

    Attributes:
        items: The keys.
        more: Whether other pages follow.
        revision: The store's revision.
    """

    items: tuple[Item, ...]
    more: bool
    revision: int


@attrs.define(frozen=True, repr=False)
class Changes:
    """Answer to `Watch`.

    Attributes:
        items: The changes in order.
        revision: Revision from which to go on.
    """

    items: tuple[Item, ...]
    revision: int


class Failure(enum.Enum):
    """Why a call to the store gave no result."""

    HISTORY_GONE = "history_gone"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"


@attrs.define(eq=False, repr=False)
class Mirror:
    """State of one mirrored prefix.

    Attributes:
        prefix: The prefix.
        wait_s: Seconds that a watch waits.
        pause_s: Seconds between a watch that brought changes and the next, so
            that one call brings the changes of all that time.
        item_by_key: The keys, as of `revision`.
        revision: Store revision of the copy, 0 before the first one.
        changed_at: Revision of the last change in the copy. The store counts
            changes of all keys, so `revision` grows also without any here.
        synced: Whether a whole copy has been read since the start.
        failures: Calls that failed since the last success.
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
        return Watch(self.prefix, self.revision, self.wait_s)

    def restart_read(self) -> None:
        """Makes the next call read the whole prefix."""
        self._reading = True
        self._page_after = ""
        self._read_by_key = {}
        self._read_revision = 0

    def delay_s(self, jitter: float) -> float:
        """Returns the seconds to wait before the next call.

        Args:
            jitter: A random number from 0 to 1, so that daemons that
                failed together don't return together.
        """
        if not self.failures:
            return 0.0 if self._reading else self.pause_s
        delay_s = MIN_RETRY_S * 2 ** min(self.failures - 1, 8)
        return min(MAX_RETRY_S, delay_s) * (0.5 + 0.5 * jitter)

    def handle_result(self, result: Page | Changes | Failure) -> list[Item]:
        """Takes the answer to the last call.

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
            case Failure.HISTORY_GONE:
                self.restart_read()
            case _:
                self.failures += 1
                # The copy may be older than what a watch can still deliver.
                self.restart_read()
        return []

    def adopt(self, copy: document_exchange.Documents) -> list[Item]:
        """Takes a newer copy that another daemon has read.

        The next answer of the store goes on from there.

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
        """Returns the copy, to be passed on."""
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
            # Pages aren't one snapshot; the watch repeats what changed since
            # the first.
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
            # An answer from a store that lags behind what is known.
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
            present = self.item_by_key.get(item.key)
            if present is not None and present.revision >= item.revision:
                continue
            if item.value is None:
                if present is None:
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
