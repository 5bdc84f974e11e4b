"""What a daemon provides to its administration API."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from godwitturn.core import events
from godwitturn.core import identity
from godwitturn.core import membership
from godwitturn.metrics import registry as registries
from godwitturn.settings import schema

if TYPE_CHECKING:
    from godwitturn.etcd import repository as repositories

# The largest body, 2 MiB, then needs 70 kB/s.
BODY_SECONDS = 30.0


class DaemonState(Protocol):
    """The present state of a balancer, read on each request."""

    @property
    def version(self) -> int:
        """Version of the configuration in force."""

    @property
    def fenced(self) -> bool:
        """Whether the balancer forwards nothing."""

    @property
    def members(self) -> Mapping[identity.MemberId, membership.Announcement]:
        """What members announce of themselves, by id."""

    @property
    def registry(self) -> registries.Registry:
        """Counters and histograms."""

    @property
    def repository(self) -> "repositories.Repository":
        """The operators' documents."""


def _ignore(_: events.LogEvent) -> None:
    """Writes no log."""


@attrs.frozen
class Options:
    """What does not change while the API runs.

    Attributes:
        name: The balancer's name.
        data_centre: Where it runs.
        deployment: Name of the deployment.
        team_keys: Ed25519 public key by team.
        token: Bearer token; empty for none.
        log: Takes log events.
        timeout_seconds: Seconds until the change of a document is given up.
        body_seconds: Seconds from the head of a request until its body has
            arrived.
    """

    name: str
    data_centre: str
    deployment: str
    team_keys: Mapping[str, bytes]
    token: bytes = attrs.field(default=b"", repr=False)
    log: Callable[[events.LogEvent], None] = _ignore
    timeout_seconds: float = 5.0
    body_seconds: float = BODY_SECONDS

    @classmethod
    def from_settings(
        cls,
        settings: schema.Settings,
        *,
        log: Callable[[events.LogEvent], None] = _ignore,
    ) -> "Options":
        """Returns the options of a daemon's settings."""
        return cls(
            settings.identity.name,
            settings.data_centre,
            settings.deployment,
            settings.teams,
            settings.admin.token if settings.admin is not None else b"",
            log,
        )
