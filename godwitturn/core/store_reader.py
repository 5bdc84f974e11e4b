"""State of a control node's reads of the store.

The store gives no era, so a reader derives it: answers to its calls are
linearizable, so one that lacks what the daemon's view had before the call was
sent shows that the store was restored from a backup in the meantime.
"""

import math

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import control_events
from godwitturn.core import store_position

# Shortest time between restarts of the reads.
RESTART_INTERVAL_SECONDS = 1.0


@attrs.define
class StoreReader:
    """State of this daemon's watch of the store.

    Attributes:
        is_active: Whether the daemon was requested to read the store.
    """

    is_active: bool = False
    _has_read: bool = False
    _restarted_at: float = -math.inf
    _view_changed_at: float = -math.inf
    _era_began_at: float = -math.inf

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

    def restart(
        self, *, now: float
    ) -> tuple[control_events.ControlAction, ...]:
        """Returns the actions that make an active reader read all again.

        Until it has, answers count for nothing. Another restart within
        `RESTART_INTERVAL_SECONDS` returns no actions.
        """
        if not self.is_active:
            return ()
        self._has_read = False
        if now - self._restarted_at < RESTART_INTERVAL_SECONDS:
            return ()
        self._restarted_at = now
        return (
            control_events.StopStoreReader(),
            control_events.StartStoreReader(),
        )

    def record_view(self, *, begins_era: bool, now: float) -> None:
        """Records that the view has changed.

        Args:
            begins_era: Whether the view is the first one of its era.
            now: Monotonic time in seconds.
        """
        self._view_changed_at = now
        if begins_era:
            self._era_began_at = now

    def snapshot_of(
        self, event: control_events.DocumentsRead, *, now: float
    ) -> tuple[tuple[configurations.VersionedDocument, ...], int] | None:
        """Returns the documents to merge and the revision they lead to.

        It is the newest revision of a document, so that daemons agree on it;
        the revision of the store also grows with other writes. From a read of
        single documents only directories are returned, because other
        documents would make a view that the store never had. Nothing is
        returned for an answer that may be of an earlier era.
        """
        if event.revision <= 0:
            prefix = configurations.DIRECTORY_PREFIX
            directories = [
                document
                for document in event.documents
                if document.key.startswith(prefix)
            ]
            return tuple(directories), 0
        is_outdated = now - event.age < self._era_began_at
        if not self.is_active or is_outdated:
            return None
        if not (self._has_read or event.is_complete):
            return None
        self._has_read = True
        newest = max(
            (document.revision for document in event.documents), default=0
        )
        return event.documents, newest

    def shows_restore(
        self,
        event: control_events.DocumentsRead | control_events.StoreConfirmed,
        view: configurations.Configuration,
        *,
        now: float,
    ) -> bool:
        """Returns whether the store has lost something that a view has.

        Args:
            event: An answer of the store.
            view: The documents of this daemon.
            now: Monotonic time in seconds.
        """
        if not view.complete_through:
            return False
        # The view may have been read after the store answered.
        if now - event.age < self._view_changed_at:
            return False
        if event.revision < view.position.revision:
            return True
        return (
            isinstance(event, control_events.DocumentsRead)
            and event.is_complete
            and _lacks_documents_of(view, event)
        )

    def confirms(
        self, event: control_events.StoreConfirmed, version: int
    ) -> bool:
        """Returns whether the store had nothing newer than a version.

        An answer with a lower revision confirms nothing: it is older than the
        version, which may have come from a peer.
        """
        revision = store_position.StorePosition.unpack(version).revision
        return self._has_read and event.revision >= revision

    @property
    def needs_restart(self) -> bool:
        """Whether answers arrive although no complete read was accepted."""
        return self.is_active and not self._has_read


def _lacks_documents_of(
    view: configurations.Configuration, event: control_events.DocumentsRead
) -> bool:
    read_by_key = {document.key: document for document in event.documents}
    for key, known in view.document_by_key.items():
        revision = store_position.StorePosition.unpack(known.revision).revision
        read = read_by_key.get(key)
        if read is None:
            if key not in event.malformed:
                return True
        elif read.revision < revision or (
            read.revision == revision and read.body != known.body
        ):
            return True
    return False
