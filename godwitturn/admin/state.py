"""State and options that a daemon passes to its administration API."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from godwitturn.core import events
from godwitturn.core import identity
from godwitturn.core import membership
from godwitturn.core import store_position
from godwitturn.metrics import registry as registries
from godwitturn.settings import schema

if TYPE_CHECKING:
    from godwitturn.etcd import repository as repositories

# A body of the largest size, 2 MiB, needs 70 kB/s to arrive in this time.
BODY_TIMEOUT_SECONDS = 30.0


class DaemonState(Protocol):
    """Current state of a balancer, read on each request."""

    @property
    def position(self) -> store_position.StorePosition:
        """State of the store that the configuration in force is of."""

    @property
    def fenced(self) -> bool:
        """Whether the balancer is fenced, so that it forwards nothing."""

    @property
    def members(self) -> Mapping[identity.MemberId, membership.Announcement]:
        """Announcements of members, by member id."""

    @property
    def registry(self) -> registries.Registry:
        """Counters and histograms."""

    @property
    def repository(self) -> "repositories.Repository":
        """Reads and writes the operators' documents."""


def _ignore(_: events.LogEvent) -> None:
    """Discards a log event."""


@attrs.frozen
class Options:
    """Options of the API, constant while it runs.

    Attributes:
        name: The balancer's name.
        data_centre: The balancer's data centre.
        deployment: Name of the deployment.
        team_keys: Ed25519 public key by team.
        token: Bearer token; empty if requests need none.
        log: Writes a log event.
        timeout_seconds: Seconds until the change of a document is given up.
        body_timeout_seconds: Seconds from the head of a request until its body
            must have arrived.
    """

    name: str
    data_centre: str
    deployment: str
    team_keys: Mapping[str, bytes]
    token: bytes = attrs.field(default=b"", repr=False)
    log: Callable[[events.LogEvent], None] = _ignore
    timeout_seconds: float = 5.0
    body_timeout_seconds: float = BODY_TIMEOUT_SECONDS

    @classmethod
    def from_settings(
        cls,
        settings: schema.Settings,
        *,
        log: Callable[[events.LogEvent], None] = _ignore,
    ) -> "Options":
        """Returns options with the values of a daemon's settings."""
        return cls(
            settings.identity.name,
            settings.data_centre,
            settings.deployment,
            settings.teams,
            settings.admin.token if settings.admin is not None else b"",
            log,
        )
