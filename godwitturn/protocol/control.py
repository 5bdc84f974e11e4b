"""Messages between control nodes.

A message is one version byte, one tag byte and a msgpack array of the fields
in their order. msgspec tags only its own structs, so the table below maps tags
to the attrs classes.
"""

from collections.abc import Callable
import functools
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import attrs
import msgspec

from godwitturn.core import addresses
from godwitturn.core import configuration
from godwitturn.core import documents
from godwitturn.core import membership
from godwitturn.core import rendezvous

VERSION = 1
MAX_MESSAGE_BYTES = 32 * 1024
MAX_ANNOUNCEMENTS = 256
MAX_REPORTS = 64
MAX_PARTS = 512
MAX_REFERRED = 8
BUCKET_HASH_BYTES = 4 * rendezvous.BUCKET_COUNT


@attrs.frozen
class Digest:
    """Attaches the sender to an upstream and summarises its documents.

    Attributes:
        stamp: Grows with each digest of a daemon, also across its restarts.
        complete_through: Version of the sender's configuration.
        count: Number of documents in that configuration.
        hash: See `configuration.Digest`.
        partial_snapshot: Version that a partly received delta leads to, or 0.
        partial_pages: Number of pages of that delta that the sender has.
        wants_deltas: Whether the receiver should send the documents that the
            sender lacks. In normal operation, only one upstream should, so
            that no document is sent twice.
    """

    stamp: int
    complete_through: int
    count: int
    hash: int
    partial_snapshot: int = 0
    partial_pages: int = 0
    wants_deltas: bool = True


@attrs.frozen
class DocumentPart:
    """A document, or a piece of a large one.

    Attributes:
        key: Key of the document.
        revision: Its revision.
        size: Bytes of the whole body.
        offset: Where the piece starts.
        chunk: The piece.
    """

    key: str
    revision: int
    size: int
    offset: int
    chunk: bytes


@attrs.frozen
class Delta:
    """One page of the documents that a peer lacks.

    Attributes:
        after: The receiver's version that the delta starts from.
        snapshot: The version it leads to.
        page: Number of the page, from 0.
        last: Whether it is the last page.
        parts: The documents, in the same order for each repetition.
    """

    after: int
    snapshot: int
    page: int
    last: bool
    parts: tuple[DocumentPart, ...]


@attrs.frozen
class ReaderReport:
    """A report of a store reader, see `freshness.Report`; its age is in ms."""

    reader: int
    revision: int
    age_ms: int
    store_answered: bool


@attrs.frozen
class ReaderReports:
    """Reports of store readers.

    Attributes:
        stamp: Stamp of the last digest that the receiver sent here.
        since_digest_ms: Milliseconds since that digest arrived.
        reports: The reports.
    """

    stamp: int
    since_digest_ms: int
    reports: tuple[ReaderReport, ...]


@attrs.frozen
class Heartbeat:
    """A member's announcement of itself to a watcher."""

    announcement: membership.Announcement


@attrs.frozen
class AnnouncementBatch:
    """Announcements that are pushed, or that answer a `SyncRequest`.

    Attributes:
        announcements: The announcements.
        relay: Whether the receiver should relay those that are new to it.
    """

    announcements: tuple[membership.Announcement, ...]
    relay: bool


@attrs.frozen
class SyncDigest:
    """Hash of the announcements that the sender has stored."""

    hash: int


@attrs.frozen
class SyncBuckets:
    """Hashes by bucket, in answer to a `SyncDigest` that differs."""

    hashes: bytes


@attrs.frozen
class SyncRequest:
    """Requests the announcements in some buckets.

    Attributes:
        buckets: Numbers of buckets.
        announcements: The sender's announcements in them.
    """

    buckets: bytes
    announcements: tuple[membership.Announcement, ...]


@attrs.frozen
class ReferredBalancer:
    """A balancer and its control address."""

    member: documents.Member
    address: addresses.Address


@attrs.frozen
class Referral:
    """Refers a starting daemon to other balancers."""

    referred: tuple[ReferredBalancer, ...]


Message = (
    Digest
    | Delta
    | ReaderReports
    | Heartbeat
    | AnnouncementBatch
    | SyncDigest
    | SyncBuckets
    | SyncRequest
    | Referral
)

CLASS_BY_TAG: dict[int, type[Any]] = {
    1: Digest,
    2: Delta,
    3: ReaderReports,
    4: Heartbeat,
    5: AnnouncementBatch,
    6: SyncDigest,
    7: SyncBuckets,
    8: SyncRequest,
    9: Referral,
}
_TAG_BY_CLASS = {kind: tag for tag, kind in CLASS_BY_TAG.items()}


@functools.cache
def _field_names(kind: type[Any]) -> tuple[str, ...] | None:
    if not attrs.has(kind):
        return None
    return tuple(field.name for field in attrs.fields(kind))


def _to_fields(value: Any) -> Any:
    kind: Any = type(value)
    names = _field_names(kind)
    if names is not None:
        return [_to_fields(getattr(value, name)) for name in names]
    if kind is tuple:
        return [_to_fields(item) for item in value]
    return value


def _wire_type(hint: Any) -> Any:
    tuple_of: Any = tuple
    if attrs.has(hint):
        fields = get_type_hints(hint).values()
        return tuple_of[tuple(map(_wire_type, fields))]
    if get_origin(hint) is tuple:
        return tuple_of[_wire_type(get_args(hint)[0]), ...]
    return hint


_Builder = Callable[[Any], Any]


def _class_builder(kind: Any) -> _Builder:
    builders = tuple(map(_builder, get_type_hints(kind).values()))

    def build(fields: Any) -> Any:
        pairs = zip(builders, fields, strict=True)
        return kind(
            *[
                build_field(field) if build_field else field
                for build_field, field in pairs
            ]
        )

    return build


def _tuple_builder(hint: Any) -> _Builder:
    build_item = _builder(get_args(hint)[0])

    def build(items: Any) -> Any:
        return tuple(map(build_item, items)) if build_item else tuple(items)

    return build


def _builder(hint: Any) -> _Builder | None:
    """Returns a function that converts a decoded value to its attrs classes.

    Returns None if the decoded value needs no conversion.
    """
    if attrs.has(hint):
        return _class_builder(hint)
    if get_origin(hint) is tuple:
        return _tuple_builder(hint)
    return None


_DECODER_BY_TAG = {
    tag: msgspec.msgpack.Decoder(_wire_type(kind))
    for tag, kind in CLASS_BY_TAG.items()
}
_BUILDER_BY_TAG = {
    tag: _class_builder(kind) for tag, kind in CLASS_BY_TAG.items()
}


def encode(message: Message) -> bytes:
    """Returns the bytes of a message."""
    header = bytes((VERSION, _TAG_BY_CLASS[type(message)]))
    return header + msgspec.msgpack.encode(_to_fields(message))


def decode(data: bytes) -> Message | None:
    """Returns the message in some bytes, or None if they are malformed."""
    if not 2 < len(data) <= MAX_MESSAGE_BYTES or data[0] != VERSION:
        return None
    decoder = _DECODER_BY_TAG.get(data[1])
    if decoder is None:
        return None
    try:
        fields = decoder.decode(memoryview(data)[2:])
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    message: Message = _BUILDER_BY_TAG[data[1]](fields)
    return message if _within_bounds(message) else None


def _within_bounds(message: Message) -> bool:
    match message:
        case Digest():
            return min(attrs.astuple(message)) >= 0
        case Delta():
            return (
                0 <= message.after <= message.snapshot
                and message.page >= 0
                and len(message.parts) <= MAX_PARTS
                and all(map(_part_valid, message.parts))
            )
        case ReaderReports():
            return (
                min(message.stamp, message.since_digest_ms) >= 0
                and len(message.reports) <= MAX_REPORTS
                and all(map(_report_valid, message.reports))
            )
        case Heartbeat():
            return _announcement_valid(message.announcement)
        case AnnouncementBatch() | SyncRequest():
            return len(message.announcements) <= MAX_ANNOUNCEMENTS and all(
                map(_announcement_valid, message.announcements)
            )
        case SyncDigest():
            return message.hash >= 0
        case SyncBuckets():
            return len(message.hashes) == BUCKET_HASH_BYTES
        case Referral():
            return len(message.referred) <= MAX_REFERRED and all(
                _address_valid(referred.address)
                for referred in message.referred
            )


def _part_valid(part: DocumentPart) -> bool:
    return (
        0 < len(part.key) <= configuration.MAX_KEY_BYTES
        and part.revision > 0
        and 0 <= part.offset <= part.size <= configuration.MAX_BODY_BYTES
        and part.offset + len(part.chunk) <= part.size
    )


def _report_valid(report: ReaderReport) -> bool:
    return min(report.reader, report.revision, report.age_ms) >= 0


def _announcement_valid(announcement: membership.Announcement) -> bool:
    return min(
        announcement.member_id,
        announcement.incarnation,
        announcement.start_number,
        announcement.sequence,
    ) >= 0 and _address_valid(announcement.address)


def _address_valid(address: addresses.Address) -> bool:
    return 0 < len(address.host) <= 64 and 0 < address.port < 65536
