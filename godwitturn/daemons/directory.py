"""Publishes and reads the directories of the data centres.

Balancers publish the directory of their data centre; agents read the
directories if no seed answers.
"""

from collections.abc import Callable
import random
import secrets

import attrs
import msgspec
from returns import result as results
import trio

from godwitturn.core import addresses
from godwitturn.core import configuration as configurations
from godwitturn.core import control_events
from godwitturn.core import directory as directories
from godwitturn.core import distribution
from godwitturn.core import documents
from godwitturn.core import events
from godwitturn.core import store_position
from godwitturn.daemons import clock
from godwitturn.etcd import leases
from godwitturn.etcd import operations
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.etcd import wire

# Interval at which an agent checks whether its seeds are silent, and the
# publishing balancer whether entries have changed.
POLL_INTERVAL_S = 1.0


@attrs.define
class DirectoryService:
    """Publishes the directory at a balancer, or reads directories at an agent.

    Attributes:
        client: The store.
        node: The control node of the daemon.
        owner: Name of the daemon, written into the lease key for operators.
        address: Control address of the daemon.
        handle: Passes an event to the node.
        log: Writes a log event.
    """

    client: store.StoreClient
    node: distribution.ControlNode
    owner: str
    address: addresses.Address
    handle: Callable[[control_events.DocumentsRead], None]
    log: Callable[[events.LogEvent], None]
    _generator: random.Random = attrs.field(
        factory=lambda: random.Random(secrets.randbits(64))
    )

    @property
    def _prefix(self) -> str:
        return repository.deployment_prefix(self.node.settings.deployment)

    @property
    def _directory_key(self) -> str:
        return configurations.DIRECTORY_PREFIX + self.node.settings.data_centre

    async def run(self) -> None:
        """Runs until cancelled.

        An agent's service returns earlier: when the agent has a complete
        configuration, when it has read the directories once, or when all
        attempts to read them have failed.
        """
        if self.node.settings.kind == documents.MemberKind.BALANCER:
            await self._publish_forever()
        else:
            await self._read_if_seeds_are_silent()

    # Agents

    async def _read_if_seeds_are_silent(self) -> None:
        started_at = clock.now()
        while self.node.uplinks.bootstrapping:
            now = clock.now()
            if directories.should_read_directories(
                bootstrapping=True,
                running_s=now - started_at,
                silence_s=self.node.uplinks.upstream_silence_s(now=now),
            ):
                await self._read_with_retries()
                return
            await trio.sleep(POLL_INTERVAL_S)

    async def _read_with_retries(self) -> None:
        for attempt in range(directories.READ_ATTEMPTS):
            directory_documents = await self._read_once()
            if directory_documents is not None:
                event_id = events.EventId.CONTROL_DIRECTORY_READ
                self.log(
                    events.LogEvent(
                        event_id, {"documents": len(directory_documents)}
                    )
                )
                self.handle(
                    control_events.DocumentsRead(directory_documents, 0)
                )
                return
            await trio.sleep(
                directories.retry_delay_seconds(attempt, self._generator)
            )

    async def _read_once(
        self,
    ) -> tuple[configurations.VersionedDocument, ...] | None:
        prefix = self._prefix + configurations.DIRECTORY_PREFIX
        match await self.client.get_prefix(prefix):
            case results.Success(read_result):
                return repository.parse_documents(
                    self._prefix, read_result.key_values
                ).documents
        return None

    # Balancers

    @property
    def _may_publish(self) -> bool:
        node = self.node
        return (
            node.reader.is_active
            and not node.is_fenced
            and node.settings.member_id in node.approved
        )

    async def _publish_forever(self) -> None:
        lease_manager = leases.LeaseManager(
            self.client,
            clock.now,
            ttl_seconds=directories.LEASE_TTL_SECONDS,
        )
        while True:
            await trio.sleep(
                self._generator.uniform(0.5, 1.0)
                * directories.RENEW_INTERVAL_SECONDS
            )
            if self._may_publish:
                lease = await self._acquire(lease_manager)
                if lease is not None:
                    await self._publish_while_held(lease_manager, lease)

    async def _acquire(
        self, lease_manager: leases.LeaseManager
    ) -> leases.HeldLease | None:
        data_centre = self.node.settings.data_centre
        key = self._prefix + repository.PUBLISHER_PREFIX + data_centre
        # While another balancer holds the lease, reading its key takes one
        # call to the store; trying to acquire the lease takes three.
        match await self.client.get(key):
            case results.Success(read_result) if not read_result.key_values:
                match await lease_manager.acquire(key, owner=self.owner):
                    case results.Success(lease):
                        return lease
        return None

    async def _publish_while_held(
        self, lease_manager: leases.LeaseManager, lease: leases.HeldLease
    ) -> None:
        publisher = directories.Publisher()
        renew_at = clock.now() + directories.RENEW_INTERVAL_SECONDS
        while self._may_publish and lease.is_valid(now=clock.now()):
            await self._publish(lease_manager, lease, publisher)
            await trio.sleep(POLL_INTERVAL_S)
            if clock.now() < renew_at:
                continue
            renew_at = clock.now() + directories.RENEW_INTERVAL_SECONDS
            match await lease_manager.renew(lease):
                case results.Success(renewed):
                    lease = renewed
                case results.Failure(leases.LeaseLost()):
                    return
        await lease_manager.release(lease)

    async def _publish(
        self,
        lease_manager: leases.LeaseManager,
        lease: leases.HeldLease,
        publisher: directories.Publisher,
    ) -> None:
        node = self.node
        entries = directories.live_entries(
            node.membership, node.settings.data_centre, self.address
        )
        stored = node.configuration.value_by_key.get(self._directory_key)
        changed = publisher.directory_to_write(
            entries, stored, lease.create_revision, now=clock.now()
        )
        if changed is None:
            return
        document = node.configuration.document_by_key.get(self._directory_key)
        value = operations.StoredDocument((), msgspec.msgpack.encode(changed))
        key = self._prefix + self._directory_key
        known = store_position.StorePosition.unpack(
            document.revision if document is not None else 0
        )
        result = await lease_manager.write_with_lease(
            lease,
            [wire.Put(key, operations.encode(value))],
            [wire.Compare(key, mod_revision=known.revision)],
        )
        if isinstance(result, results.Success):
            event_id = events.EventId.CONTROL_DIRECTORY_WRITTEN
            self.log(events.LogEvent(event_id, {"entries": len(entries)}))
