"""The operators' documents of one deployment, typed, on the store."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
from returns import result as results

from godwitturn.core import configuration as configurations
from godwitturn.etcd import failures
from godwitturn.etcd import operations
from godwitturn.etcd import store

ROOT = "/godwitturn"
# Lease keys, which hold no document.
PUBLISHER_PREFIX = "publisher/"


def deployment_prefix(deployment: str) -> str:
    """Returns what the store's keys of a deployment begin with."""
    return f"{ROOT}/{deployment}/"


@attrs.frozen
class ParsedDocuments:
    """Documents found on the store.

    Attributes:
        documents: Those that are well-formed.
        malformed: Keys whose value is not a stored document.
    """

    documents: tuple[configurations.VersionedDocument, ...]
    malformed: tuple[str, ...]


def parse_documents(
    prefix: str, found: Iterable[failures.KeyValue]
) -> ParsedDocuments:
    """Returns the documents in some key-value pairs below a prefix."""
    documents = []
    malformed = []
    for pair in found:
        key = pair.key.removeprefix(prefix)
        if key.startswith(PUBLISHER_PREFIX):
            continue
        stored = operations.decode(pair.value)
        if stored is None:
            malformed.append(key)
            continue
        documents.append(
            configurations.VersionedDocument(
                key, pair.mod_revision, stored.body
            )
        )
    return ParsedDocuments(tuple(documents), tuple(malformed))


class Repository:
    """Reads and changes the documents of one deployment.

    Args:
        client: The store.
        deployment: Name of the deployment.
        clock: Returns seconds from a monotonic clock; deadlines are its
            times.
    """

    def __init__(
        self,
        client: store.StoreClient,
        deployment: str,
        clock: Callable[[], float],
    ) -> None:
        self.prefix = deployment_prefix(deployment)
        self._client = client
        self._writer = operations.DocumentWriter(client, clock)

    async def read(
        self,
    ) -> results.Result[configurations.Configuration, failures.Failure]:
        """Returns all documents at one revision."""
        reading = await self._client.get_prefix(self.prefix)
        return reading.map(self._configuration)

    def _configuration(
        self, reading: store.ReadResult
    ) -> configurations.Configuration:
        configuration = configurations.Configuration()
        found = parse_documents(self.prefix, reading.key_values)
        _, rejected = configurations.merge_documents(
            configuration, found.documents
        )
        keys = {*found.malformed, *(error.key for error in rejected)}
        configuration.undecodable = tuple(sorted(keys))
        configuration.mark_complete_through(reading.revision)
        return configuration

    async def change(
        self,
        key: str,
        function: Callable[[Any], Any],
        operation_id: str,
        *,
        deadline: float,
        commutes: bool = False,
        is_retry: bool = False,
    ) -> operations.WriteOutcome:
        """Replaces a document by a function of its present value.

        Args:
            key: Key below the deployment's prefix, as `rules`.
            function: Returns the new value for the present one, which is
                None if the document is absent. It must have no effects.
            operation_id: Unique name of this change.
            deadline: Time at which the attempts end.
            commutes: Whether the change may be applied to whatever another
                operator left; by default that is a conflict.
            is_retry: Whether an earlier call with this id may have taken
                effect.
        """

        def changed(body: bytes) -> bytes:
            present = None
            if body:
                document = configurations.VersionedDocument(key, 0, body)
                present = configurations.decode_body(document)
            return msgspec.msgpack.encode(function(present))

        return await self._writer.modify(
            self.prefix + key,
            changed,
            operation_id,
            deadline=deadline,
            commutes=commutes,
            is_retry=is_retry,
        )
