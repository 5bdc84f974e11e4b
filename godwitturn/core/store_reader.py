"""When a control node reads the store, and what it may conclude."""

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import control_events


@attrs.define
class StoreReader:
    """State of this daemon's watch of the store.

    Attributes:
        reading: Whether the daemon was asked to read the store.
    """

    is_active: bool = False
    _was_read: bool = False

    def set_wanted(
        self, wanted: bool
    ) -> (
        control_events.StartStoreReader | control_events.StopStoreReader | None
    ):
        """Returns the action that makes the daemon read or stop reading."""
        if wanted == self.is_active:
            return None
        self.is_active = wanted
        self._was_read = False
        if wanted:
            return control_events.StartStoreReader()
        return control_events.StopStoreReader()

    def snapshot_of(
        self, event: control_events.DocumentsRead
    ) -> tuple[tuple[configurations.VersionedDocument, ...], int] | None:
        """Returns the documents to merge and the version they lead to.

        The version is the newest revision of a document, not that of the
        store, which other writes move: daemons then agree on it. A read of
        single documents only gives directories, because anything else would
        make a view that the store never had.
        """
        if event.revision <= 0:
            prefix = configurations.DIRECTORY_PREFIX
            found = [d for d in event.documents if d.key.startswith(prefix)]
            return tuple(found), 0
        if not self.is_active:
            return None
        self._was_read = True
        newest = max((d.revision for d in event.documents), default=0)
        return event.documents, newest

    def confirms(
        self, event: control_events.StoreConfirmed, version: int
    ) -> bool:
        """Returns whether the store had nothing newer than a version.

        An answer with a lower revision is older than what peers know.
        """
        return self._was_read and event.revision >= version
