"""Exchange of the operators' documents between daemons.

The store may be unavailable, or refuse calls of some machines, while daemons
on other machines have a newer copy of the documents. Each daemon reports the
position of its copy in the store. A daemon with an older copy first gives the
store time to deliver the newer one, then fetches that from another daemon.

Documents may have hundreds of kilobytes, and links may have a few megabits a
second, so daemons choose different sources, and agents spread their requests.
"""

import zlib

import attrs

from godwitturn.core import store_position

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
        position: Store position of the last change in the copy.
        value_by_key: The documents.
    """

    position: store_position.StorePosition
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
        position: Store position of this daemon's copy, `UNREAD` if it has
            none.
        interval_s: Minimum time between two requests, in seconds.
        spread_s: Time over which the daemons of a fleet spread their requests
            for the same change, in seconds.
        position_by_source: Newer positions that other daemons have reported,
            by address. A daemon that was asked is left out until its next
            report.
    """

    name: str
    position: store_position.StorePosition = store_position.UNREAD
    interval_s: float = REQUEST_INTERVAL_S
    spread_s: float = 0.0
    position_by_source: dict[str, store_position.StorePosition] = attrs.field(
        factory=dict
    )
    _behind_since: float | None = None
    _requested_at: float = float("-inf")
    _requests: int = 0

    def note_position(
        self,
        source: str,
        position: store_position.StorePosition,
        *,
        now: float,
    ) -> None:
        """Records which position another daemon has.

        Args:
            source: Address of the other daemon.
            position: Store position of the other daemon's copy.
            now: Seconds.
        """
        if position <= self.position:
            self.position_by_source.pop(source, None)
            return
        if self._behind_since is None:
            self._behind_since = now
        self.position_by_source[source] = position

    def set_position(self, position: store_position.StorePosition) -> None:
        """Sets the position of this daemon's copy; it never decreases."""
        if position <= self.position:
            return
        self.position = position
        self.position_by_source = {
            source: newer
            for source, newer in self.position_by_source.items()
            if newer > position
        }
        if not self.position_by_source:
            self._behind_since = None

    def next_source(self, *, now: float) -> str | None:
        """Returns the daemon to fetch from now, None if no fetch is due."""
        if self._behind_since is None or not self.position_by_source:
            return None
        has_copy = self.position > store_position.UNREAD
        delay_s = STORE_DELAY_S if has_copy else FIRST_DELAY_S
        phase = _hash(f"{self.name}/{self.position.revision}") / (1 << 32)
        delay_s += self.spread_s * phase
        if now - self._behind_since < delay_s:
            return None
        if now - self._requested_at < self.interval_s:
            return None
        self._requested_at = now
        self._requests += 1
        newest = max(self.position_by_source.values())
        sources = sorted(
            source
            for source, position in self.position_by_source.items()
            if position == newest
        )
        choice = _hash(f"{self.name}/{newest.revision}/{self._requests}") / (
            1 << 32
        )
        source = sources[int(choice * len(sources))]
        del self.position_by_source[source]
        return source
