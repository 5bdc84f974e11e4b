"""Services that each route has had, for searches of open flows.

Open flows stay at their target when their route gets another service. The
history is kept in memory and recorded in the store for balancers that start
later, see `docs/design/route-history.md`.
"""

import enum

import attrs

from godwitturn.core.transparent import pacing
from godwitturn.core.transparent import routes

# Number of services kept for each endpoint.
MAX_SERVICES = 8
# All balancers see a new configuration at the same time. Each waits a random
# part of this time before it writes, so that normally only one does.
WRITE_SPREAD_S = 2.0
# Delays of retries, see `pacing.retry_delay_s`.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.0

# For each endpoint, the services that its route has had, with the version of
# the last configuration that is known to have named them.
Services = dict[routes.Endpoint, dict[str, int]]


class Answer(enum.Enum):
    """Whether a route has or has had a service."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@attrs.define(frozen=True, repr=False)
class Record:
    """The record in the store.

    Attributes:
        services: The services of each endpoint; empty if the record doesn't
            exist or can't be decoded.
        revision: Revision of its last change, 0 if it doesn't exist.
        overwritable: Whether this version may replace it.
    """

    services: Services
    revision: int
    overwritable: bool = True


@attrs.define(frozen=True, repr=False)
class ReadRecord:
    """Read the record."""


@attrs.define(frozen=True, repr=False)
class WriteRecord:
    """Write the record, unless it has changed.

    Attributes:
        services: The services of each endpoint.
        revision: Revision that the record must have, 0 if it must not exist.
    """

    services: Services
    revision: int


@attrs.define(frozen=True, repr=False)
class Written:
    """The record was written.

    Attributes:
        revision: Its revision.
    """

    revision: int


@attrs.define(frozen=True, repr=False)
class Failed:
    """A call gave no result; a write may have been executed.

    Attributes:
        reason: The reason, for the log.
    """

    reason: str


Call = ReadRecord | WriteRecord
# A `Record` as the result of a write shows that the record had changed.
Result = Record | Written | Failed


def newest(version_by_service: dict[str, int], limit: int) -> list[str]:
    """Returns at most `limit` services, the last named ones first.

    The order is the same at all balancers, so that they agree on which
    services to forget.
    """
    return sorted(
        version_by_service,
        key=lambda service: (-version_by_service[service], service),
    )[:limit]


@attrs.define(eq=False, repr=False)
class RouteHistory:
    """The services that the routes have had, and the calls to record them.

    Attributes:
        services: The services of each endpoint.
        loaded: Whether the record has been read.
        record: The record as last read or written.
        version: Version of the last observed configuration, None if none was.
        era: Newest era of the store that is known.
        failures: Number of calls that failed since the last success.
    """

    services: Services = attrs.field(factory=dict)
    loaded: bool = False
    record: Record = attrs.field(factory=lambda: Record({}, 0))
    version: int | None = None
    era: int = 0
    failures: int = 0
    _endpoints: frozenset[routes.Endpoint] = frozenset()
    # Era in which `record` was last read.
    _record_era: int = 0
    # When the next call is due, None if none is planned.
    _due_at: float | None = 0.0
    _must_read: bool = True
    # Whether the random wait before a write is over or has begun.
    _spread: bool = False
    # Whether the history may have changed since it was compared with the
    # record.
    _changed: bool = False

    @property
    def idle(self) -> bool:
        """Whether no call is planned."""
        return self._due_at is None and not self._changed

    def observe(self, configuration: routes.Configuration) -> None:
        """Adds the services of a configuration, shares of weight 0 included.

        Endpoints that it doesn't have are removed, as their flows end.
        """
        self.version = configuration.version
        self._endpoints = frozenset(configuration.route_by_endpoint)
        for endpoint, route in configuration.route_by_endpoint.items():
            self._add(
                endpoint,
                {
                    share.service: configuration.version
                    for share in route.shares
                },
            )
        self._remove_dropped()
        self._changed = True

    def may_have(self, endpoint: routes.Endpoint, service: str) -> Answer:
        """Returns whether a route has or has had a service.

        Args:
            endpoint: Address and port of the route.
            service: The service, empty if it isn't known.
        """
        if self.version is None or not service:
            return Answer.UNKNOWN
        if service in self.services.get(endpoint, ()):
            return Answer.YES
        return Answer.NO if self.loaded else Answer.UNKNOWN

    def note_era(self, era: int) -> None:
        """Handles the era of the store that other reads have shown.

        A restored store may have lost the record.
        """
        if era <= self.era:
            return
        self.era = era
        if self.loaded:
            self.record = Record({}, 0)
            self._changed = True

    def next_call(self, *, now: float, jitter: float) -> Call | None:
        """Returns the call to make now, None if no call is due.

        Args:
            now: Seconds.
            jitter: A random number from 0 to 1.
        """
        if self._due_at is None and self._changed:
            self._plan(now=now, jitter=jitter)
        if self._due_at is None or now < self._due_at:
            return None
        if self._must_read:
            return ReadRecord()
        return WriteRecord(
            {endpoint: dict(row) for endpoint, row in self.services.items()},
            self.record.revision,
        )

    def handle_result(
        self,
        call: Call,
        result: Result,
        *,
        era: int,
        now: float,
        jitter: float,
    ) -> None:
        """Handles the result of a call.

        Args:
            call: The call.
            result: Its result.
            era: Era of the store in which the result was given.
            now: Seconds.
            jitter: A random number from 0 to 1.
        """
        if isinstance(result, Failed) or era < self.era:
            self.failures += 1
            self._due_at = now + pacing.retry_delay_s(
                self.failures,
                minimum_s=MIN_RETRY_S,
                maximum_s=MAX_RETRY_S,
                jitter=jitter,
            )
            # A write whose answer was lost may have been executed.
            self._must_read = True
            return
        self.failures = 0
        self.era = era
        match call, result:
            case WriteRecord(services), Written(revision):
                self._spread = False
                # After a restore, the precondition may have matched another
                # record that got the same revision. It is read again then.
                self.record = (
                    Record(services, revision)
                    if era == self._record_era
                    else Record({}, 0)
                )
            case _, Record() as record:
                self._merge(record)
                self._record_era = era
                self._must_read = False
        self._plan(now=now, jitter=jitter)

    def _merge(self, record: Record) -> None:
        self.record = record
        self.loaded = True
        for endpoint, version_by_service in record.services.items():
            self._add(endpoint, version_by_service)
        self._remove_dropped()

    def _add(
        self, endpoint: routes.Endpoint, version_by_service: dict[str, int]
    ) -> None:
        row = self.services.setdefault(endpoint, {})
        for service, version in version_by_service.items():
            row[service] = max(version, row.get(service, 0))
        if len(row) > MAX_SERVICES:
            self.services[endpoint] = {
                service: row[service] for service in newest(row, MAX_SERVICES)
            }

    def _remove_dropped(self) -> None:
        """Removes endpoints that the configuration has dropped.

        The record may contain endpoints of a later configuration, which this
        balancer hasn't seen yet.
        """
        if self.version is None:
            return
        for endpoint, row in list(self.services.items()):
            if endpoint not in self._endpoints and (
                max(row.values(), default=0) <= self.version
            ):
                del self.services[endpoint]

    def _plan(self, *, now: float, jitter: float) -> None:
        """Plans a write if the record lacks something, else no call."""
        self._changed = False
        if not self._must_write():
            self._due_at = None
            self._spread = False
        elif self._spread:
            self._due_at = now
        else:
            self._spread = True
            self._must_read = True
            self._due_at = now + WRITE_SPREAD_S * jitter

    def _must_write(self) -> bool:
        if self.version is None or not self.record.overwritable:
            return False
        recorded = self.record.services
        return not recorded.keys() <= self.services.keys() or any(
            not row.keys() <= recorded.get(endpoint, {}).keys()
            for endpoint, row in self.services.items()
        )
