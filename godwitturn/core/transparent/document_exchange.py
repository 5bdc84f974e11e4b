"""Exchange of the operators' documents between daemons.

The store may be unavailable, or refuse calls of some machines, while daemons
on other machines have a newer copy of the documents. Each daemon reports the
revision of its copy. A daemon with an older copy first gives the store time to
deliver the newer one, then fetches that from another daemon.

Documents may have hundreds of kilobytes, and links may have a few megabits a
second, so daemons choose different sources, and agents spread their requests.
"""

import zlib

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


def _hash(text: str) -> int:
    """Returns a 32-bit hash; similar texts have unrelated hashes."""
    # Checksums of similar texts are similar; the multiplication spreads them.
    return zlib.crc32(text.encode()) * 0x9E3779B1 % (1 << 32)


@attrs.define(eq=False, repr=False)
class DocumentFetcher:
    """Decides when a daemon fetches a newer copy, and from which daemon.

    Attributes:
        name: Name of this daemon. Daemons with different names choose
            different sources and moments.
        revision: Revision of this daemon's copy, 0 if it has none.
        interval_s: Minimum time between two requests, in seconds.
        spread_s: Time over which the daemons of a fleet spread their requests
            for the same revision, in seconds.
        revision_by_source: Newer revisions that other daemons have reported,
            by address. A daemon that was asked is left out until its next
            report.
    """

    name: str
    revision: int = 0
    interval_s: float = REQUEST_INTERVAL_S
    spread_s: float = 0.0
    revision_by_source: dict[str, int] = attrs.field(factory=dict)
    _behind_since: float | None = None
    _requested_at: float = float("-inf")
    _requests: int = 0

    def note_revision(self, source: str, revision: int, *, now: float) -> None:
        """Records which revision another daemon has.

        Args:
            source: Address of the other daemon.
            revision: Revision of the other daemon's copy.
            now: Seconds.
        """
        if revision <= self.revision:
            self.revision_by_source.pop(source, None)
            return
        if self._behind_since is None:
            self._behind_since = now
        self.revision_by_source[source] = revision

    def set_revision(self, revision: int) -> None:
        """Sets the revision of this daemon's copy; it never decreases."""
        if revision <= self.revision:
            return
        self.revision = revision
        self.revision_by_source = {
            source: newer
            for source, newer in self.revision_by_source.items()
            if newer > revision
        }
        if not self.revision_by_source:
            self._behind_since = None

    def next_source(self, *, now: float) -> str | None:
        """Returns the daemon to fetch from now, None if no fetch is due."""
        if self._behind_since is None or not self.revision_by_source:
            return None
        delay_s = STORE_DELAY_S if self.revision else FIRST_DELAY_S
        phase = _hash(f"{self.name}/{self.revision}") / (1 << 32)
        delay_s += self.spread_s * phase
        if now - self._behind_since < delay_s:
            return None
        if now - self._requested_at < self.interval_s:
            return None
        self._requested_at = now
        self._requests += 1
        newest = max(self.revision_by_source.values())
        sources = sorted(
            source
            for source, revision in self.revision_by_source.items()
            if revision == newest
        )
        choice = _hash(f"{self.name}/{newest}/{self._requests}") / (1 << 32)
        source = sources[int(choice * len(sources))]
        del self.revision_by_source[source]
        return source
