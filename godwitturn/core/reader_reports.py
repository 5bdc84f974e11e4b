"""The exchange of store readers' reports between control nodes."""

from collections.abc import Mapping
import math

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import deltas
from godwitturn.core import freshness
from godwitturn.core import identity
from godwitturn.protocol import control

# A report this much newer than the last one pushed is pushed on.
REPORT_STEP_SECONDS = 0.4
# While a store confirmation is younger, outage reports are not sent.
CALM_SECONDS = 1.5


@attrs.define
class ReportExchange:
    """Reports known to this daemon, and what was passed on.

    Attributes:
        state: The reports and the latest confirmation.
        sent_digests: When this daemon sent its digests.
        data_centre_by_balancer: Approved balancers; no other reader counts.
        was_confirmed: Whether the view was ever confirmed. A reader has no
            say in an outage before, since its copy may come from one peer
            that was cut off for long.
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
        """Returns whether the view is not confirmed.

        Args:
            configuration: The view.
            data_centres: Those known from settings, added to the rules'.
            now: Monotonic time in seconds.
        """
        return freshness.should_fence(
            self.state,
            configuration.complete_through,
            self.data_centre_by_balancer,
            {*configuration.rules.data_centres, *data_centres},
            now=now,
        )

    def settle(self, complete_through: int) -> None:
        """Notes the confirmations that a view satisfies."""
        freshness.settle(
            self.state, complete_through, self.data_centre_by_balancer
        )

    def receive(self, message: control.ReaderReports, *, now: float) -> int:
        """Takes over a peer's reports.

        Returns:
            The highest revision that one of the new ones names, or 0.
        """
        spoken_at = self.sent_digests.spoken_at(
            message.stamp, message.held_ms / 1000, now=now
        )
        if spoken_at is None:
            return 0
        highest = 0
        for found in message.reports:
            report = freshness.Report(
                found.reader,
                found.revision,
                spoken_at - found.age_ms / 1000,
                found.store_answered,
            )
            if freshness.observe(self.state, report, now=now):
                highest = max(highest, found.revision)
        return highest

    def _current(self, now: float) -> list[freshness.Report]:
        found = [
            report
            for report in self.state.report_by_reader.values()
            if not freshness.expired(report.at, now)
        ]
        answered = [report for report in found if report.store_answered]
        if answered:
            latest = max(answered, key=lambda report: report.at)
            if now - latest.at <= CALM_SECONDS:
                return [latest]
        return found

    def highest(self, *, now: float) -> int:
        """Returns the highest revision that a reader names."""
        found = self.state.report_by_reader.values()
        revisions = [
            report.revision
            for report in found
            if not freshness.expired(report.at, now)
        ]
        return max(revisions, default=0)

    def answered(self, reader: identity.MemberId, *, now: float) -> bool:
        """Returns whether the store answered a reader lately."""
        report = self.state.report_by_reader.get(reader)
        return (
            report is not None
            and report.store_answered
            and now - report.at <= CALM_SECONDS
        )

    def take_news(self, *, now: float) -> bool:
        """Returns whether there is something to push, and notes the push."""
        pushed = self._pushed_at_by_reader
        is_news = False
        for report in self._current(now):
            if report.store_answered:
                last = self._confirmation_pushed_at
            else:
                last = pushed.get(report.reader, -math.inf)
            if report.at - last < REPORT_STEP_SECONDS:
                continue
            is_news = True
            if report.store_answered:
                self._confirmation_pushed_at = report.at
            else:
                pushed[report.reader] = report.at
        for reader, at in list(pushed.items()):
            if freshness.expired(at, now):
                del pushed[reader]
        return is_news

    def message_for(
        self, attachment: deltas.Attachment, *, now: float
    ) -> control.ReaderReports:
        """Returns the reports for an attached peer."""
        reports = tuple(
            control.ReaderReport(
                report.reader,
                report.revision,
                math.ceil((now - report.at) * 1000),
                report.store_answered,
            )
            for report in self._current(now)
        )
        held_ms = int((now - attachment.digest_at) * 1000)
        return control.ReaderReports(attachment.stamp, held_ms, reports)
