"""Decides whether a daemon's configuration is confirmed to be the newest.

A daemon's view is its copy of the configuration. Times of reports are lower
bounds on this daemon's own monotonic clock, so that neither synchronised
clocks nor a limit on message delay is assumed. A report that was buffered
during a pause of this daemon or the network counts with its full age.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import attrs

from godwitturn.core import identity
from godwitturn.core import store_position

# Age at which a report or confirmation expires.
CONFIRMATION_SECONDS = 3.0
# Limit of stored reports, one for each reader. A few data centres have two
# readers each, and as many again while other balancers become readers.
MAX_REPORTS = 64
# Echoes of digests that are older than `CONFIRMATION_SECONDS` are of no use.
# Six upstreams and a digest every 0.3 s make 60 digests in that time.
MAX_SENT_DIGESTS = 128


@attrs.frozen
class Report:
    """A report of a store reader.

    Attributes:
        reader: Member id of the reader.
        revision: Packed position of the newest state that the reader has.
        reported_at: Earliest time of the report, on this daemon's clock.
        store_answered: Whether the store confirmed the revision; otherwise
            the store was unreachable from the reader.
    """

    reader: identity.MemberId
    revision: int
    reported_at: float
    store_answered: bool


@attrs.define
class Freshness:
    """Reports about the store's newest revision.

    Attributes:
        confirmed_at: Latest time at which the store is confirmed to have had
            nothing newer than the view.
        report_by_reader: The latest report of each reader.
    """

    confirmed_at: float = -math.inf
    report_by_reader: dict[identity.MemberId, Report] = attrs.field(
        factory=dict
    )


def expired(reported_at: float, now: float) -> bool:
    """Returns whether a report or confirmation no longer counts."""
    return now - reported_at > CONFIRMATION_SECONDS


def apply_report(state: Freshness, report: Report, *, now: float) -> bool:
    """Stores a report.

    Returns:
        Whether it was stored: it is the newest of its reader, has not expired
        and is one of at most `MAX_REPORTS`.
    """
    current = state.report_by_reader.get(report.reader)
    if expired(report.reported_at, now) or report.reported_at > now:
        return False
    if current is not None and current.reported_at >= report.reported_at:
        return False
    _drop_expired(state, now)
    if current is None and len(state.report_by_reader) >= MAX_REPORTS:
        return False
    state.report_by_reader[report.reader] = report
    return True


def _drop_expired(state: Freshness, now: float) -> None:
    for reader, report in list(state.report_by_reader.items()):
        if expired(report.reported_at, now):
            del state.report_by_reader[reader]


def update_confirmation(
    state: Freshness,
    complete_through: int,
    data_centre_by_reader: Mapping[identity.MemberId, str],
) -> None:
    """Records the latest store confirmation that the view satisfies.

    Called after each report and each change of the view, so that a later
    report of a newer revision does not end an earlier confirmation.
    """
    for report in state.report_by_reader.values():
        if (
            report.store_answered
            and _confirms(report.revision, complete_through)
            and report.reader in data_centre_by_reader
        ):
            state.confirmed_at = max(state.confirmed_at, report.reported_at)


def _confirms(reported: int, complete_through: int) -> bool:
    # A reader in another era than the view shows nothing about it: one of the
    # two has not heard of a restore of the store.
    reported_era = store_position.StorePosition.unpack(reported).era
    era = store_position.StorePosition.unpack(complete_through).era
    return reported_era == era and reported <= complete_through


def should_fence(
    state: Freshness,
    complete_through: int,
    data_centre_by_reader: Mapping[identity.MemberId, str],
    data_centres: Collection[str],
    *,
    now: float,
) -> bool:
    """Returns whether the view is unconfirmed, so nothing may be sent.

    Args:
        state: The reports, with `update_confirmation` called for them.
        complete_through: Packed position of the view; 0 is never confirmed.
        data_centre_by_reader: Approved balancers; other readers are ignored.
        data_centres: All data centres of the deployment.
        now: Monotonic time in seconds.
    """
    if complete_through <= 0:
        return True
    if not expired(state.confirmed_at, now):
        return False
    return not _majority_reports_outage(
        state, complete_through, data_centre_by_reader, data_centres, now
    )


def _majority_reports_outage(
    state: Freshness,
    complete_through: int,
    data_centre_by_reader: Mapping[identity.MemberId, str],
    data_centres: Collection[str],
    now: float,
) -> bool:
    """Returns whether most data centres report that the store is unreachable.

    A report of a newer revision than the view's rules that out, whether or
    not the store answered its reader.
    """
    unreachable: set[str] = set()
    for report in state.report_by_reader.values():
        data_centre = data_centre_by_reader.get(report.reader)
        if data_centre is None or expired(report.reported_at, now):
            continue
        if report.revision > complete_through:
            return False
        if not report.store_answered and data_centre in data_centres:
            unreachable.add(data_centre)
    return 2 * len(unreachable) > len(data_centres)


@attrs.define
class SentDigests:
    """When this daemon sent its latest digests, by stamp.

    A peer echoes the stamp of the last digest it received and the time since
    then. Together, these give the earliest time at which the peer sent the
    echo.
    """

    _sent_at_by_stamp: dict[int, float] = attrs.field(factory=dict)

    def record(self, stamp: int, *, now: float) -> None:
        """Records that a digest was sent."""
        self._sent_at_by_stamp[stamp] = now
        while len(self._sent_at_by_stamp) > MAX_SENT_DIGESTS:
            self._sent_at_by_stamp.pop(next(iter(self._sent_at_by_stamp)))

    def earliest_echo_at(
        self, stamp: int, since_digest_s: float, *, now: float
    ) -> float | None:
        """Returns the earliest time of an echo; None for an unknown stamp."""
        sent_at = self._sent_at_by_stamp.get(stamp)
        if sent_at is None:
            return None
        return min(now, sent_at + since_digest_s)
