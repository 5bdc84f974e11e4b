"""State of a control node's reads of the store."""

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import control_events


@attrs.define
class StoreReader:
    """State of this daemon's watch of the store.

    Attributes:
        is_active: Whether the daemon was requested to read the store.
    """

    is_active: bool = False
    _has_read: bool = False

    def set_wanted(
        self, wanted: bool
    ) -> (
        control_events.StartStoreReader | control_events.StopStoreReader | None
    ):
        """Returns the action that starts or stops reading, if one is due."""
        if wanted == self.is_active:
            return None
        self.is_active = wanted
        self._has_read = False
        if wanted:
            return control_events.StartStoreReader()
        return control_events.StopStoreReader()

    def snapshot_of(
        self, event: control_events.DocumentsRead
    ) -> tuple[tuple[configurations.VersionedDocument, ...], int] | None:
        """Returns the documents to merge and the version they lead to.

        The version is the newest revision of a document, so that daemons
        agree on it; the revision of the store also grows with other writes.
        From a read of single documents only directories are returned, because
        other documents would make a view that the store never had.
        """
        if event.revision <= 0:
            prefix = configurations.DIRECTORY_PREFIX
            directories = [
                document
                for document in event.documents
                if document.key.startswith(prefix)
            ]
            return tuple(directories), 0
        if not self.is_active:
            return None
        self._has_read = True
        newest = max(
            (document.revision for document in event.documents), default=0
        )
        return event.documents, newest

    def confirms(
        self, event: control_events.StoreConfirmed, version: int
    ) -> bool:
        """Returns whether the store had nothing newer than a version.

        An answer with a lower revision confirms nothing: it is older than the
        version, which may have come from a peer.
        """
        return self._has_read and event.revision >= version
