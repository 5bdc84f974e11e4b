"""Whether the configuration a daemon holds is confirmed to be the newest.

Times are lower bounds on this daemon's own monotonic clock, so that neither
synchronised clocks nor a limit on message delay is assumed. A report that was
buffered while this daemon or the network stood still is as old as it is.
"""

from collections.abc import Collection
from collections.abc import Mapping
import math

import attrs

from godwitturn.core import identity

CONFIRMATION_SECONDS = 3.0
# Two readers in each of a handful of data centres, and as many again while
# they change hands.
MAX_REPORTS = 64
# An echo older than a confirmation is of no use. Six upstreams and a digest
# every 0.3 s make 60 in that time.
MAX_SENT_DIGESTS = 128


@attrs.frozen
class Report:
    """What a store reader said.

    Attributes:
        reader: Member id of the reader.
        revision: The newest revision that it knows.
        at: When it said so at the earliest, on this daemon's clock.
        store_answered: Whether the store confirmed the revision; otherwise
            the store was unreachable from the reader.
    """

    reader: identity.MemberId
    revision: int
    at: float
    store_answered: bool


@attrs.define
class Freshness:
    """What is known of the store's newest revision.

    Attributes:
        confirmed_at: Latest time at which the store is known to have had
            nothing newer than the view.
        report_by_reader: The latest report of each reader.
    """

    confirmed_at: float = -math.inf
    report_by_reader: dict[identity.MemberId, Report] = attrs.field(
        factory=dict
    )


def expired(at: float, now: float) -> bool:
    """Returns whether something said at a time no longer counts."""
    return now - at > CONFIRMATION_SECONDS


def observe(state: Freshness, report: Report, *, now: float) -> bool:
    """Takes over a report.

    Returns:
        Whether it is the newest of its reader and has not expired.
    """
    held = state.report_by_reader.get(report.reader)
    if expired(report.at, now) or report.at > now:
        return False
    if held is not None and held.at >= report.at:
        return False
    _drop_expired(state, now)
    if held is None and len(state.report_by_reader) >= MAX_REPORTS:
        return False
    state.report_by_reader[report.reader] = report
    return True


def _drop_expired(state: Freshness, now: float) -> None:
    for reader, report in list(state.report_by_reader.items()):
        if expired(report.at, now):
            del state.report_by_reader[reader]


def settle(
    state: Freshness,
    complete_through: int,
    data_centre_by_reader: Mapping[identity.MemberId, str],
) -> None:
    """Notes the latest store confirmation that the view satisfies.

    Called after each report and each change of the view, so that a later
    report of a newer revision does not end an earlier confirmation.
    """
    for report in state.report_by_reader.values():
        if (
            report.store_answered
            and report.revision <= complete_through
            and report.reader in data_centre_by_reader
        ):
            state.confirmed_at = max(state.confirmed_at, report.at)


def should_fence(
    state: Freshness,
    complete_through: int,
    data_centre_by_reader: Mapping[identity.MemberId, str],
    data_centres: Collection[str],
    *,
    now: float,
) -> bool:
    """Returns whether the view is not confirmed, so nothing may be sent.

    Args:
        state: The reports; `settle` has been called for them.
        complete_through: Revision of the view; 0 is never confirmed.
        data_centre_by_reader: Approved balancers; other readers are ignored.
        data_centres: All data centres of the deployment.
        now: Monotonic time in seconds.
    """
    if complete_through <= 0:
        return True
    if not expired(state.confirmed_at, now):
        return False
    return not _outage_agreed(
        state, complete_through, data_centre_by_reader, data_centres, now
    )


def _outage_agreed(
    state: Freshness,
    complete_through: int,
    data_centre_by_reader: Mapping[identity.MemberId, str],
    data_centres: Collection[str],
    now: float,
) -> bool:
    unreachable: set[str] = set()
    for report in state.report_by_reader.values():
        data_centre = data_centre_by_reader.get(report.reader)
        if data_centre is None or expired(report.at, now):
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
    then. Both together bound from below when the peer spoke.
    """

    _sent_at_by_stamp: dict[int, float] = attrs.field(factory=dict)

    def sent(self, stamp: int, *, now: float) -> None:
        """Notes that a digest left."""
        self._sent_at_by_stamp[stamp] = now
        while len(self._sent_at_by_stamp) > MAX_SENT_DIGESTS:
            self._sent_at_by_stamp.pop(next(iter(self._sent_at_by_stamp)))

    def spoken_at(
        self, stamp: int, held_seconds: float, *, now: float
    ) -> float | None:
        """Returns the earliest time of an echo; None for an unknown stamp."""
        sent_at = self._sent_at_by_stamp.get(stamp)
        if sent_at is None:
            return None
        return min(now, sent_at + held_seconds)
