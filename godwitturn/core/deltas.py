"""Deltas, which are pages of the documents that a peer lacks.

A daemon's copy of the configuration, its view, always is an exact snapshot of
the store: a receiver buffers the pages of a delta and merges the documents
when the last page has arrived.
"""

from collections.abc import Iterable
import math

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.protocol import control

CHUNK_BYTES = 24 * 1024
PAGE_BYTES = 30 * 1024
# Allowance for the integers and msgpack headers of one part. The key is added
# with its encoded length, since it has up to 256 characters of up to four
# bytes.
PART_OVERHEAD_BYTES = 40
# Limit of the bytes received for one delta. The whole configuration at 3,700
# endpoints is about 2 MB.
MAX_PARTIAL_DELTA_BYTES = 8 << 20
# A digest that arrives this soon after a page was sent may have been sent
# before the peer received the page, so it doesn't restart the transfer.
IN_FLIGHT_SECONDS = 0.5
# Number of consecutive mismatches before all documents are sent again. A
# single one is no reason, because a digest may cross a delta on the way.
MISMATCHES_BEFORE_REPAIR = 3

DocumentPiece = tuple[configurations.VersionedDocument, int]


def pages_of(
    documents: Iterable[configurations.VersionedDocument],
) -> tuple[tuple[DocumentPiece, ...], ...]:
    """Splits documents into pages of (document, offset); at least one page."""
    pages: list[tuple[DocumentPiece, ...]] = []
    page: list[DocumentPiece] = []
    page_bytes = 0
    for document in documents:
        size = len(document.body)
        for offset in range(0, max(size, 1), CHUNK_BYTES):
            part_bytes = min(CHUNK_BYTES, size - offset) + PART_OVERHEAD_BYTES
            part_bytes += len(document.key.encode())
            is_full = page_bytes + part_bytes > PAGE_BYTES
            if page and (is_full or len(page) >= control.MAX_PARTS):
                pages.append(tuple(page))
                page, page_bytes = [], 0
            page.append((document, offset))
            page_bytes += part_bytes
    pages.append(tuple(page))
    return tuple(pages)


def _document_part(piece: DocumentPiece) -> control.DocumentPart:
    document, offset = piece
    return control.DocumentPart(
        document.key,
        document.revision,
        len(document.body),
        offset,
        document.body[offset : offset + CHUNK_BYTES],
    )


@attrs.define
class DeltaTransfer:
    """A delta that is being sent to one peer, with a fixed list of pages.

    Attributes:
        after: Version that the delta starts from.
        snapshot: Version it leads to.
        pages: The pages.
        next_page: Index of the page that is sent next.
        sent_at: When the last page was sent.
    """

    after: int
    snapshot: int
    pages: tuple[tuple[DocumentPiece, ...], ...]
    next_page: int = 0
    sent_at: float = -math.inf

    @property
    def finished(self) -> bool:
        """Whether every page was sent."""
        return self.next_page >= len(self.pages)

    def next_delta(self, *, now: float) -> control.Delta:
        """Returns the next page."""
        page = self.next_page
        self.next_page += 1
        self.sent_at = now
        return control.Delta(
            self.after,
            self.snapshot,
            page,
            self.finished,
            tuple(map(_document_part, self.pages[page])),
        )


@attrs.define
class Attachment:
    """A peer that sends digests to this daemon and receives its changes.

    Attributes:
        stamp: Stamp of its last digest.
        digest_at: When that digest arrived.
        known_version: Version that the peer has or was sent.
        transfer: The delta being sent, kept until a digest confirms it.
        mismatches: Consecutive digests of the same version that differed.
        wants_deltas: Whether the peer requests documents from this daemon.
    """

    stamp: int = -1
    digest_at: float = -math.inf
    known_version: int = 0
    transfer: DeltaTransfer | None = None
    mismatches: int = 0
    wants_deltas: bool = False

    @property
    def in_progress(self) -> bool:
        """Whether some pages of a delta were sent, but not all."""
        transfer = self.transfer
        return (
            transfer is not None
            and transfer.next_page > 0
            and not transfer.finished
        )

    def apply_digest(
        self, digest: control.Digest, own: configurations.Digest, now: float
    ) -> None:
        """Applies a digest that is newer than the last.

        Args:
            digest: Summary of the peer's documents.
            own: Summary of this daemon's documents that the peer subscribes
                to.
            now: Monotonic time in seconds.
        """
        self.stamp = digest.stamp
        self.digest_at = now
        self.wants_deltas = digest.wants_deltas
        if self._continues_transfer(digest, now):
            return
        self.transfer = None
        self.known_version = digest.complete_through
        self._count_mismatch(digest, own)

    def _continues_transfer(self, digest: control.Digest, now: float) -> bool:
        """Returns whether the current transfer goes on after a digest.

        After `IN_FLIGHT_SECONDS` without a page, it resumes at the first page
        that the peer lacks.
        """
        transfer = self.transfer
        if transfer is None or digest.complete_through >= transfer.snapshot:
            return False
        if now - transfer.sent_at <= IN_FLIGHT_SECONDS:
            return True
        is_same_delta = (
            digest.partial_snapshot == transfer.snapshot
            and digest.complete_through == transfer.after
            and digest.partial_pages < len(transfer.pages)
        )
        if is_same_delta:
            transfer.next_page = digest.partial_pages
        return is_same_delta

    def _count_mismatch(
        self, digest: control.Digest, own: configurations.Digest
    ) -> None:
        own_summary = (own.complete_through, own.count, own.hash)
        peer_summary = (digest.complete_through, digest.count, digest.hash)
        if own_summary[0] != peer_summary[0] or own_summary == peer_summary:
            self.mismatches = 0
            return
        self.mismatches += 1
        # Daemons of different releases may reject different documents, so a
        # difference may persist. All documents are therefore sent again at
        # doubling intervals.
        repairs = self.mismatches // MISMATCHES_BEFORE_REPAIR
        if self.mismatches % MISMATCHES_BEFORE_REPAIR == 0 and (
            repairs.bit_count() == 1
        ):
            self.known_version = 0


@attrs.define
class PartialDelta:
    """The pages received so far of one delta.

    Attributes:
        after: Version that the delta starts from.
        snapshot: Version it leads to.
        pages: Number of pages received; each page is only accepted in turn.
        documents: Documents of which every part has arrived.
    """

    after: int
    snapshot: int
    pages: int = 0
    documents: list[configurations.VersionedDocument] = attrs.field(
        factory=list
    )
    _buffer: bytearray = attrs.field(factory=bytearray)
    _part_header: tuple[str, int, int] = ("", 0, 0)
    _received_bytes: int = 0

    def add_page(self, delta: control.Delta) -> bool:
        """Adds the next page; returns whether the delta is complete.

        Any other page is ignored, and the next digest requests the missing
        one. A page with parts that don't fit discards the pages before it.
        """
        if delta.page != self.pages:
            return False
        for part in delta.parts:
            if not self._add_part(part):
                self.pages = 0
                self.documents.clear()
                return False
        self.pages += 1
        return delta.last and not self._buffer

    def _add_part(self, part: control.DocumentPart) -> bool:
        self._received_bytes += len(part.chunk)
        header = (part.key, part.revision, part.size)
        if part.offset == 0:
            self._buffer = bytearray()
            self._part_header = header
        follows = (
            part.offset == len(self._buffer) and header == self._part_header
        )
        if not follows or self._received_bytes > MAX_PARTIAL_DELTA_BYTES:
            return False
        self._buffer += part.chunk
        if len(self._buffer) == part.size:
            self.documents.append(
                configurations.VersionedDocument(
                    part.key, part.revision, bytes(self._buffer)
                )
            )
            self._buffer = bytearray()
        return True
