"""Exchange of the operators' documents between daemons.

The store may be unavailable, or refuse calls of some machines, while other
machines have a newer copy. Each daemon reports the revision of its copy. A
daemon with an older copy fetches the newer one after the store has had time to
deliver it.
"""

import attrs

# Watches deliver changes within milliseconds. A copy that stays outdated for
# this long is unlikely to be updated by the store soon.
STORE_DELAY_S = 0.5
# A daemon without any copy can't do its work, so it waits less.
FIRST_DELAY_S = 0.1
# Minimum time between requests, which bounds them during a burst of changes.
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
    """Decides when to fetch a newer copy, and from which daemon.

    Attributes:
        revision: Revision of the own copy, 0 if there is none.
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
            source: Its address.
            revision: Revision of its copy.
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
        """Sets the revision of the own copy, unless it has a newer one."""
        self.revision = max(self.revision, revision)
        if self.revision >= self._newest_revision:
            self._behind_since = None

    def next_source(self, *, now: float) -> str | None:
        """Returns the daemon to fetch from now, None if none is due."""
        if self._behind_since is None:
            return None
        delay_s = STORE_DELAY_S if self.revision else FIRST_DELAY_S
        if now - self._behind_since < delay_s:
            return None
        if now - self._requested_at < self.interval_s:
            return None
        self._requested_at = now
        # If this daemon doesn't reply, the next reported revision replaces it.
        self._newest_revision = 0
        return self._newest_source
