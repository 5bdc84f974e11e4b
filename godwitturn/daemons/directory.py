"""Publishes the directory of a data centre, or reads the directories."""

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
from godwitturn.daemons import clock
from godwitturn.etcd import leases
from godwitturn.etcd import operations
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.etcd import wire

POLL_S = 1.0


@attrs.define
class DirectoryService:
    """The directory's store calls of one daemon.

    Attributes:
        client: The store.
        node: The control node of the daemon.
        owner: Name of the daemon.
        address: Control address of the daemon.
        handle: Takes events for the node.
        log: Takes log events.
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
    def _key(self) -> str:
        return configurations.DIRECTORY_PREFIX + self.node.settings.data_centre

    async def run(self) -> None:
        """Runs until cancelled, or at an agent until it has been read."""
        if self.node.settings.kind == documents.MemberKind.BALANCER:
            await self._publish_forever()
        else:
            await self._find_seeds()

    # A starting agent

    async def _find_seeds(self) -> None:
        started_at = clock.now()
        while self.node.uplinks.bootstrapping:
            now = clock.now()
            if directories.should_read_directories(
                bootstrapping=True,
                running_s=now - started_at,
                silence_s=self.node.uplinks.upstream_silence_s(now=now),
            ):
                await self._read()
                return
            await trio.sleep(POLL_S)

    async def _read(self) -> None:
        for attempt in range(directories.READ_ATTEMPTS):
            found = await self._read_once()
            if found is not None:
                event_id = events.EventId.CONTROL_DIRECTORY_READ
                self.log(events.LogEvent(event_id, {"documents": len(found)}))
                self.handle(control_events.DocumentsRead(found, 0))
                return
            await trio.sleep(
                directories.retry_delay_seconds(attempt, self._generator)
            )

    async def _read_once(
        self,
    ) -> tuple[configurations.VersionedDocument, ...] | None:
        prefix = self._prefix + configurations.DIRECTORY_PREFIX
        match await self.client.get_prefix(prefix):
            case results.Success(reading):
                return repository.parse_documents(
                    self._prefix, reading.key_values
                ).documents
        return None

    # A balancer

    @property
    def _may_publish(self) -> bool:
        node = self.node
        return (
            node.reader.is_active
            and not node.is_fenced
            and node.settings.member_id in node.approved
        )

    async def _publish_forever(self) -> None:
        keeper = leases.LeaseManager(
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
                held = await self._acquire(keeper)
                if held is not None:
                    await self._publish_while_held(keeper, held)

    async def _acquire(
        self, keeper: leases.LeaseManager
    ) -> leases.HeldLease | None:
        data_centre = self.node.settings.data_centre
        key = self._prefix + repository.PUBLISHER_PREFIX + data_centre
        # One call instead of three while another balancer holds the lease.
        match await self.client.get(key):
            case results.Success(reading) if not reading.key_values:
                match await keeper.acquire(key, owner=self.owner):
                    case results.Success(held):
                        return held
        return None

    async def _publish_while_held(
        self, keeper: leases.LeaseManager, held: leases.HeldLease
    ) -> None:
        publisher = directories.Publisher()
        renew_at = clock.now() + directories.RENEW_INTERVAL_SECONDS
        while self._may_publish and held.is_valid(now=clock.now()):
            await self._publish(keeper, held, publisher)
            await trio.sleep(POLL_S)
            if clock.now() < renew_at:
                continue
            renew_at = clock.now() + directories.RENEW_INTERVAL_SECONDS
            match await keeper.renew(held):
                case results.Success(renewed):
                    held = renewed
                case results.Failure(leases.LeaseLost()):
                    return
        await keeper.release(held)

    async def _publish(
        self,
        keeper: leases.LeaseManager,
        held: leases.HeldLease,
        publisher: directories.Publisher,
    ) -> None:
        node = self.node
        wanted = directories.live_entries(
            node.membership, node.settings.data_centre, self.address
        )
        present = node.configuration.value_by_key.get(self._key)
        found = publisher.directory_to_write(
            wanted, present, held.create_revision, now=clock.now()
        )
        if found is None:
            return
        document = node.configuration.document_by_key.get(self._key)
        stored = operations.StoredDocument((), msgspec.msgpack.encode(found))
        key = self._prefix + self._key
        revision = document.revision if document is not None else 0
        written = await keeper.write_with_lease(
            held,
            [wire.Put(key, operations.encode(stored))],
            [wire.Compare(key, mod_revision=revision)],
        )
        if isinstance(written, results.Success):
            event_id = events.EventId.CONTROL_DIRECTORY_WRITTEN
            self.log(events.LogEvent(event_id, {"entries": len(wanted)}))
