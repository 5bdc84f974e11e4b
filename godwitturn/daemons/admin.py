"""Serves the administration API of a daemon."""

from collections.abc import Mapping

import attrs

from godwitturn.admin import api
from godwitturn.admin import server
from godwitturn.admin import state as states
from godwitturn.core import identity
from godwitturn.core import membership
from godwitturn.core import store_position
from godwitturn.daemons import clock
from godwitturn.daemons import control
from godwitturn.daemons import runtime as runtimes
from godwitturn.etcd import repository as repositories
from godwitturn.etcd import store
from godwitturn.metrics import registry as registries
from godwitturn.settings import schema


@attrs.frozen
class RunningState:
    """State of a running daemon that the administration API reads."""

    control: control.ControlService
    runtime: runtimes.Runtime
    repository: repositories.Repository

    @property
    def position(self) -> store_position.StorePosition:
        """State of the store that the configuration in force is of."""
        return self.control.position

    @property
    def fenced(self) -> bool:
        """Whether the daemon forwards and accepts no traffic."""
        return self.control.node.is_fenced

    @property
    def members(self) -> Mapping[identity.MemberId, membership.Announcement]:
        """Announcements of approved members, by member id."""
        return self.control.announcement_by_id

    @property
    def registry(self) -> registries.Registry:
        """Counters, gauges and histograms of the daemon."""
        return self.runtime.metrics


async def serve(
    settings: schema.Settings,
    runtime: runtimes.Runtime,
    service: control.ControlService,
) -> None:
    """Serves the administration API until cancelled."""
    assert settings.admin is not None
    async with store.StoreClient(
        settings.store.endpoints,
        timeout_seconds=settings.store.timeout_seconds,
    ) as client:
        repository = repositories.Repository(
            client, settings.deployment, clock.now
        )
        state = RunningState(service, runtime, repository)
        options = states.Options.from_settings(settings, log=runtime.log)
        application = api.application(state, options)
        await server.serve(application, settings.admin.address)
