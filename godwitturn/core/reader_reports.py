"""Exchange of store readers' reports between control nodes."""

from collections.abc import Mapping
import math

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import deltas
from godwitturn.core import freshness
from godwitturn.core import identity
from godwitturn.protocol import control

# A report is pushed once it is this much newer than the last pushed one.
PUSH_STEP_SECONDS = 0.4
# Reports of an outage are not sent while there is a confirmation by the store
# that is younger than this.
RECENT_CONFIRMATION_SECONDS = 1.5


@attrs.define
class ReportExchange:
    """Reports of store readers, and those that were last pushed.

    Attributes:
        state: The received reports and the latest confirmation.
        sent_digests: When this daemon sent its digests.
        data_centre_by_balancer: Data centre of each approved balancer;
            reports of other readers neither confirm the view nor count
            towards an outage.
        was_confirmed: Whether the view was ever confirmed. Before that, a
            reader reports no outage, since its copy may come from one peer
            that was cut off for a long time.
    """

    state: freshness.Freshness = attrs.field(factory=freshness.Freshness)
    sent_digests: freshness.SentDigests = attrs.field(
        factory=freshness.SentDigests
    )
    data_centre_by_balancer: Mapping[identity.MemberId, str] = attrs.field(
        factory=dict
    )
    was_confirmed: bool = False
    _pushed_at_by_reader: dict[identity.MemberId, float] = attrs.field(
        factory=dict
    )
    _confirmation_pushed_at: float = -math.inf

    def should_fence(
        self,
        configuration: configurations.Configuration,
        data_centres: tuple[str, ...],
        *,
        now: float,
    ) -> bool:
        """Returns whether the view is unconfirmed, so nothing may be sent.

        Args:
            configuration: The view.
            data_centres: Data centres from settings, added to those of the
                rules.
            now: Monotonic time in seconds.
        """
        return freshness.should_fence(
            self.state,
            configuration.complete_through,
            self.data_centre_by_balancer,
            {*configuration.rules.data_centres, *data_centres},
            now=now,
        )

    def update_confirmation(self, complete_through: int) -> None:
        """Records the latest store confirmation that a view satisfies."""
        freshness.update_confirmation(
            self.state, complete_through, self.data_centre_by_balancer
        )

    def receive(self, message: control.ReaderReports, *, now: float) -> int:
        """Applies the reports of a peer.

        Returns:
            The highest revision of the reports that were new, or 0.
        """
        digest_seen_at = self.sent_digests.earliest_echo_at(
            message.stamp, message.since_digest_ms / 1000, now=now
        )
        if digest_seen_at is None:
            return 0
        highest_revision = 0
        for reader_report in message.reports:
            report = freshness.Report(
                reader_report.reader,
                reader_report.revision,
                digest_seen_at - reader_report.age_ms / 1000,
                reader_report.store_answered,
            )
            if freshness.apply_report(self.state, report, now=now):
                highest_revision = max(
                    highest_revision, reader_report.revision
                )
        return highest_revision

    def _reports_to_send(self, now: float) -> list[freshness.Report]:
        reports = [
            report
            for report in self.state.report_by_reader.values()
            if not freshness.expired(report.reported_at, now)
        ]
        confirmations = [report for report in reports if report.store_answered]
        if confirmations:
            latest = max(confirmations, key=lambda report: report.reported_at)
            if now - latest.reported_at <= RECENT_CONFIRMATION_SECONDS:
                return [latest]
        return reports

    def highest_revision(self, *, now: float) -> int:
        """Returns the highest revision of the current reports, or 0."""
        reports = self.state.report_by_reader.values()
        revisions = [
            report.revision
            for report in reports
            if not freshness.expired(report.reported_at, now)
        ]
        return max(revisions, default=0)

    def store_answered_recently(
        self, reader: identity.MemberId, *, now: float
    ) -> bool:
        """Returns whether a recent report of a reader is a confirmation."""
        report = self.state.report_by_reader.get(reader)
        return (
            report is not None
            and report.store_answered
            and now - report.reported_at <= RECENT_CONFIRMATION_SECONDS
        )

    def begin_push(self, *, now: float) -> bool:
        """Returns whether a push is due, and records that it takes place."""
        pushed_at_by_reader = self._pushed_at_by_reader
        is_due = False
        for report in self._reports_to_send(now):
            if report.store_answered:
                pushed_at = self._confirmation_pushed_at
            else:
                pushed_at = pushed_at_by_reader.get(report.reader, -math.inf)
            if report.reported_at - pushed_at < PUSH_STEP_SECONDS:
                continue
            is_due = True
            if report.store_answered:
                self._confirmation_pushed_at = report.reported_at
            else:
                pushed_at_by_reader[report.reader] = report.reported_at
        for reader, reported_at in list(pushed_at_by_reader.items()):
            if freshness.expired(reported_at, now):
                del pushed_at_by_reader[reader]
        return is_due

    def message_for(
        self, attachment: deltas.Attachment, *, now: float
    ) -> control.ReaderReports:
        """Returns the message with the reports for an attached peer."""
        reports = tuple(
            control.ReaderReport(
                report.reader,
                report.revision,
                math.ceil((now - report.reported_at) * 1000),
                report.store_answered,
            )
            for report in self._reports_to_send(now)
        )
        since_digest_ms = int((now - attachment.digest_at) * 1000)
        return control.ReaderReports(
            attachment.stamp, since_digest_ms, reports
        )
