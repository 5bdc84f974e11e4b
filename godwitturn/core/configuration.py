"""Versioned configuration documents and their decoded values.

Versions are packed positions of the store, see `store_position`, so they also
order documents across a restore of the store.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
from typing import Any

import attrs
import msgspec

from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import store_position

RULES_KEY = "rules"
SERVICES_PREFIX = "services/"
MEMBERS_PREFIX = "members/"
BALANCERS_PREFIX = "balancers/"
DIRECTORY_PREFIX = "directory/"
MAX_BODY_BYTES = 1 << 20
MAX_KEY_BYTES = 256


class InvalidDocumentError(Exception):
    """A document's body does not decode; the older version stays in force.

    Attributes:
        key: Key of the document.
        revision: The revision that was rejected.
        reason: Why it was rejected.
    """

    def __init__(self, key: str, revision: int, reason: str) -> None:
        super().__init__(
            f"document {key!r} at revision {revision} is invalid: {reason}"
        )
        self.key = key
        self.revision = revision
        self.reason = reason


@attrs.frozen
class VersionedDocument:
    """One document of the store.

    Attributes:
        key: Its key, relative to the deployment's prefix.
        revision: The store's `mod_revision` of the key, packed with the
            store's era.
        body: msgpack encoding of the type that belongs to the key.
    """

    key: str
    revision: int
    body: bytes = attrs.field(repr=False)


@attrs.frozen
class Digest:
    """Summary of the documents that a daemon has stored.

    Attributes:
        complete_through: Revision through which no document is missing.
        count: Count of the documents.
        hash: Order-independent 64-bit hash of keys, revisions and bodies.
    """

    complete_through: int
    count: int
    hash: int


@attrs.frozen
class DirectoryEntry:
    """A balancer that a starting daemon may connect to.

    The entry has the whole record, because a starting daemon only trusts the
    key once it has verified the approvals.

    Attributes:
        member: The balancer's record with its approvals.
        host: IP address of its control endpoint.
        port: Port of its control endpoint.
    """

    member: documents.Member
    host: str
    port: int


@attrs.frozen
class Directory:
    """Value of `directory/<data centre>`.

    Attributes:
        entries: A few live balancers.
        holder_revision: Create revision of the lease key under which it was
            published. A directory with a lower one never replaces one with
            a higher one.
    """

    entries: tuple[DirectoryEntry, ...] = ()
    holder_revision: int = 0


def _body_type(key: str) -> Any:
    if key == RULES_KEY:
        return documents.Rules
    if key.startswith(SERVICES_PREFIX):
        return documents.Service
    if key.startswith((MEMBERS_PREFIX, BALANCERS_PREFIX)):
        return documents.MemberList
    if key.startswith(DIRECTORY_PREFIX):
        return Directory
    return None


def decode_body(document: VersionedDocument) -> Any:
    """Returns the decoded body, or None for keys that have no type.

    Raises:
        InvalidDocumentError: The body does not decode as the key's type.
    """
    if len(document.body) > MAX_BODY_BYTES:
        reason = (
            f"body of {len(document.body)} bytes exceeds the limit of "
            f"{MAX_BODY_BYTES}"
        )
        raise InvalidDocumentError(document.key, document.revision, reason)
    expected = _body_type(document.key)
    if expected is None:
        return None
    try:
        return msgspec.msgpack.decode(document.body, type=expected)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidDocumentError(
            document.key, document.revision, str(error)
        ) from error


def document_hash(document: VersionedDocument) -> int:
    """Returns a 64-bit hash of a document's key, revision and body."""
    digest = hashlib.blake2b(digest_size=8)
    digest.update(f"{document.revision}|{document.key}|".encode())
    digest.update(document.body)
    return int.from_bytes(digest.digest(), "big")


def _precedence(
    document: VersionedDocument, value: Any
) -> tuple[int, int, int, bytes]:
    # Bodies of one revision are equal unless a peer is faulty. Comparing the
    # bodies makes the result of merging independent of the order even then.
    era = store_position.StorePosition.unpack(document.revision).era
    holder = value.holder_revision if isinstance(value, Directory) else 0
    return era, holder, document.revision, document.body


@attrs.define
class Configuration:
    """The newest version of each document that a daemon has received.

    Attributes:
        document_by_key: The documents.
        complete_through: Packed position of the store through which no
            document is missing, or 0 before the first complete snapshot. It
            serves as the version of the configuration.
        value_by_key: Their decoded bodies.
        undecodable: Keys of documents in the store that could not be
            decoded. Set by `etcd.repository.Repository.read` only.
    """

    document_by_key: dict[str, VersionedDocument] = attrs.field(factory=dict)
    complete_through: int = 0
    value_by_key: dict[str, Any] = attrs.field(factory=dict)
    undecodable: tuple[str, ...] = ()
    _hash_by_key: dict[str, int] = attrs.field(factory=dict)

    def merge(self, document: VersionedDocument) -> bool:
        """Stores a document if it is newer than the current one of its key.

        Returns:
            Whether the document was stored.

        Raises:
            InvalidDocumentError: The document is not older than the current
                one, but its body does not decode.
        """
        current = self.document_by_key.get(document.key)
        if current == document:
            return False
        if current is not None and document.revision < current.revision:
            return False
        value = decode_body(document)
        if current is not None and _precedence(document, value) <= _precedence(
            current, self.value_by_key[document.key]
        ):
            return False
        self.document_by_key[document.key] = document
        self.value_by_key[document.key] = value
        self._hash_by_key[document.key] = document_hash(document)
        return True

    def retain(self, keys: Collection[str]) -> bool:
        """Drops the documents with other keys.

        Returns:
            Whether a document was dropped.
        """
        dropped = [key for key in self.document_by_key if key not in keys]
        for key in dropped:
            del self.document_by_key[key]
            del self.value_by_key[key]
            del self._hash_by_key[key]
        return bool(dropped)

    def mark_complete_through(self, revision: int) -> bool:
        """Records that no document through a revision is missing.

        Returns:
            Whether the revision is a newer version of the configuration.
        """
        if revision <= self.complete_through:
            return False
        self.complete_through = revision
        return True

    def digest(self, is_wanted: Callable[[str], bool] | None = None) -> Digest:
        """Returns a summary of all documents, or of those with wanted keys."""
        hashes = [
            value
            for key, value in self._hash_by_key.items()
            if is_wanted is None or is_wanted(key)
        ]
        total = sum(hashes) & 0xFFFFFFFFFFFFFFFF
        return Digest(self.complete_through, len(hashes), total)

    def changed_since(self, revision: int) -> tuple[VersionedDocument, ...]:
        """Returns the documents above a revision, in revision order.

        For a revision of another era of the store these are all documents.
        """
        is_same_era = (
            store_position.StorePosition.unpack(revision).era
            == self.position.era
        )
        newer = [
            document
            for document in self.document_by_key.values()
            if document.revision > revision or not is_same_era
        ]
        return tuple(sorted(newer, key=_by_revision))

    def values_with_prefix(self, prefix: str) -> Mapping[str, Any]:
        """Returns the decoded bodies of keys with a prefix, by key."""
        return {
            key: value
            for key, value in self.value_by_key.items()
            if key.startswith(prefix)
        }

    @property
    def position(self) -> store_position.StorePosition:
        """State of the store through which no document is missing."""
        return store_position.StorePosition.unpack(self.complete_through)

    @property
    def rules(self) -> documents.Rules:
        """The rules, or the default rules while there is no document."""
        rules = self.value_by_key.get(RULES_KEY)
        return rules if rules is not None else documents.Rules()

    @property
    def service_by_name(self) -> Mapping[str, documents.Service]:
        """Services by name.

        A service whose document has another name than its key is left out.
        """
        services = self.values_with_prefix(SERVICES_PREFIX)
        return {
            service.name: service
            for key, service in services.items()
            if key == SERVICES_PREFIX + service.name
        }

    def member_lists(self) -> Mapping[str, documents.MemberList]:
        """Returns the lists of targets and balancers, by key."""
        return {
            **self.values_with_prefix(MEMBERS_PREFIX),
            **self.values_with_prefix(BALANCERS_PREFIX),
        }

    def directory_entries(self) -> list[DirectoryEntry]:
        """Returns the balancers listed in all directories."""
        return [
            entry
            for directory in self.values_with_prefix(DIRECTORY_PREFIX).values()
            for entry in directory.entries
        ]

    @property
    def member_by_id(self) -> Mapping[identity.MemberId, documents.Member]:
        """All listed members; `approval` determines which are approved."""
        return {
            member.member_id: member
            for member_list in self.member_lists().values()
            for member in member_list.members
        }


def _by_revision(document: VersionedDocument) -> tuple[int, str]:
    return document.revision, document.key


def merge_documents(
    configuration: Configuration, received: Iterable[VersionedDocument]
) -> tuple[list[str], list[InvalidDocumentError]]:
    """Merges documents; returns the changed keys and the rejections."""
    changed: list[str] = []
    rejected: list[InvalidDocumentError] = []
    for document in received:
        try:
            if configuration.merge(document):
                changed.append(document.key)
        except InvalidDocumentError as error:
            rejected.append(error)
    return changed, rejected
