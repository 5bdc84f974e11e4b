"""Exchange of the operators' documents between daemons.

The store may be unavailable, or refuse calls of some machines, while daemons
on other machines have a newer copy of the documents. Each daemon reports the
revision of its copy. A daemon with an older copy first gives the store time to
deliver the newer one, then fetches that from another daemon.
"""

import attrs

# Time for which a copy must be outdated before a newer one is fetched. Watches
# deliver changes within milliseconds, so by then the store is unlikely to
# update the copy soon.
STORE_DELAY_S = 0.5
# The same for a daemon without a copy. It can't wait as long for the store,
# because it has no older documents to use meanwhile.
FIRST_DELAY_S = 0.1
# Minimum time between requests, which bounds their rate during a burst of
# changes.
REQUEST_INTERVAL_S = 1.0


@attrs.define(frozen=True, repr=False)
class Documents:
    """A copy of the operators' documents.

    Attributes:
        revision: Store revision of the copy.
        value_by_key: The documents.
    """

    revision: int
    value_by_key: dict[str, bytes]


@attrs.define(eq=False, repr=False)
class DocumentFetcher:
    """Decides when a daemon fetches a newer copy, and from which daemon.

    Attributes:
        revision: Revision of this daemon's copy, 0 if it has none.
        interval_s: Minimum time between two requests, in seconds.
    """

    revision: int = 0
    interval_s: float = REQUEST_INTERVAL_S
    _newest_revision: int = 0
    _newest_source: str = ""
    _behind_since: float | None = None
    _requested_at: float = float("-inf")

    def note_revision(self, source: str, revision: int, *, now: float) -> None:
        """Records which revision another daemon has.

        Args:
            source: Address of the other daemon.
            revision: Revision of the other daemon's copy.
            now: Seconds.
        """
        if revision <= self.revision:
            return
        if self._behind_since is None:
            self._behind_since = now
        if revision >= self._newest_revision:
            self._newest_revision = revision
            self._newest_source = source

    def set_revision(self, revision: int) -> None:
        """Sets the revision of this daemon's copy; it never decreases."""
        self.revision = max(self.revision, revision)
        if self.revision >= self._newest_revision:
            self._behind_since = None

    def next_source(self, *, now: float) -> str | None:
        """Returns the daemon to fetch from now, None if no fetch is due."""
        if self._behind_since is None:
            return None
        delay_s = STORE_DELAY_S if self.revision else FIRST_DELAY_S
        if now - self._behind_since < delay_s:
            return None
        if now - self._requested_at < self.interval_s:
            return None
        self._requested_at = now
        # If that daemon doesn't reply, the next daemon that reports a newer
        # revision replaces it as the source.
        self._newest_revision = 0
        return self._newest_source
