"""Typed access to the operators' documents of one deployment."""

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
# Prefix of lease keys, whose values are not documents.
PUBLISHER_PREFIX = "publisher/"


def deployment_prefix(deployment: str) -> str:
    """Returns the prefix of a deployment's keys in the store."""
    return f"{ROOT}/{deployment}/"


@attrs.frozen
class ParsedDocuments:
    """Documents parsed from key-value pairs.

    Attributes:
        documents: The well-formed documents.
        malformed: Keys whose value is not a stored document.
    """

    documents: tuple[configurations.VersionedDocument, ...]
    malformed: tuple[str, ...]


def parse_documents(
    prefix: str, key_values: Iterable[failures.KeyValue]
) -> ParsedDocuments:
    """Returns the documents in key-value pairs whose keys have a prefix."""
    documents = []
    malformed = []
    for pair in key_values:
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
        read_result = await self._client.get_prefix(self.prefix)
        return read_result.map(self._build_configuration)

    def _build_configuration(
        self, read_result: store.ReadResult
    ) -> configurations.Configuration:
        configuration = configurations.Configuration()
        parsed = parse_documents(self.prefix, read_result.key_values)
        _, rejected = configurations.merge_documents(
            configuration, parsed.documents
        )
        keys = {*parsed.malformed, *(error.key for error in rejected)}
        configuration.undecodable = tuple(sorted(keys))
        configuration.mark_complete_through(read_result.revision)
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
        """Applies a function to a document's value and writes the result.

        Args:
            key: Key below the deployment's prefix, such as `rules`.
            function: Returns the new value for the current one, which is None
                if the document is absent. It must have no side effects.
            operation_id: Unique name of this change.
            deadline: Time at which the attempts end.
            commutes: Whether the change may be applied on top of any other
                operator's change. By default that is a conflict.
            is_retry: Whether an earlier call with this id may have taken
                effect.

        Raises:
            configuration.InvalidDocumentError: The current body does not
                decode.
        """

        def change_body(body: bytes) -> bytes:
            current = None
            if body:
                document = configurations.VersionedDocument(key, 0, body)
                current = configurations.decode_body(document)
            return msgspec.msgpack.encode(function(current))

        return await self._writer.modify(
            self.prefix + key,
            change_body,
            operation_id,
            deadline=deadline,
            commutes=commutes,
            is_retry=is_retry,
        )
