"""Lets daemons get the operators' documents from each other.

The store may be away, or turn some machines away, while others have a newer
copy. Each daemon tells the revision of its copy; one that hears of a newer
copy asks for it after the store has had time to deliver it.
"""

import attrs

# Watches deliver within milliseconds; a copy that is older for this long is
# not going to be mended by the store soon.
STORE_DELAY_S = 0.5
# A daemon that knows nothing can't wait for the store.
FIRST_DELAY_S = 0.1
# Between two questions, so that a storm of changes costs few of them.
ASK_INTERVAL_S = 1.0


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
    """Decides when to ask which daemon for its copy.

    Attributes:
        revision: Revision of the own copy, 0 if there is none.
        interval_s: Seconds between two questions.
    """

    revision: int = 0
    interval_s: float = ASK_INTERVAL_S
    _newest: int = 0
    _holder: str = ""
    _behind_since: float | None = None
    _asked_at: float = float("-inf")

    def note_revision(self, holder: str, revision: int, *, now: float) -> None:
        """Notes which copy another daemon has.

        Args:
            holder: Its address.
            revision: Revision of its copy.
            now: Seconds.
        """
        if revision <= self.revision:
            return
        if self._behind_since is None:
            self._behind_since = now
        if revision >= self._newest:
            self._newest = revision
            self._holder = holder

    def set_revision(self, revision: int) -> None:
        """Notes the revision of the own copy."""
        self.revision = max(self.revision, revision)
        if self.revision >= self._newest:
            self._behind_since = None

    def next_source(self, *, now: float) -> str | None:
        """Returns the daemon to ask now, or None."""
        if self._behind_since is None:
            return None
        delay_s = STORE_DELAY_S if self.revision else FIRST_DELAY_S
        if now - self._behind_since < delay_s:
            return None
        if now - self._asked_at < self.interval_s:
            return None
        self._asked_at = now
        # Another holder is heard of if this one doesn't answer.
        self._newest = 0
        return self._holder
