"""Requests of a control node for documents of its upstreams."""

import math

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import control_events
from godwitturn.core import deltas
from godwitturn.core import documents
from godwitturn.core import downlinks
from godwitturn.core import identity
from godwitturn.core import outbox as outboxes
from godwitturn.core import reader_reports
from godwitturn.core import store_reader
from godwitturn.protocol import control

# Missing documents are requested from all upstreams instead of one if no page
# of them has arrived for this long.
STALLED_AFTER_SECONDS = 1.0
# Shortest time between digests that are sent because of a newer version.
MIN_DIGEST_INTERVAL_SECONDS = 0.3


@attrs.define
class Fetcher:
    """Sends digests and collects the deltas that answer them.

    Attributes:
        settings: The daemon's settings.
        configuration: The configuration in force.
        reports: Reports of store readers.
        reader: State of this daemon's reads of the store.
        outbox: Sends the messages.
        partial_delta_by_peer: Deltas that arrived in part.
    """

    settings: control_events.ControlSettings
    configuration: configurations.Configuration
    reports: reader_reports.ReportExchange
    reader: store_reader.StoreReader
    outbox: outboxes.Outbox
    partial_delta_by_peer: dict[identity.MemberId, deltas.PartialDelta] = (
        attrs.field(factory=dict)
    )
    _stamp: int = 0
    _sent_at: float = -math.inf
    _progress_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        # The start number makes stamps grow across restarts too.
        self._stamp = self.settings.start_number << 20

    def _own_digest(self) -> configurations.Digest:
        if self.settings.kind == documents.MemberKind.BALANCER:
            return self.configuration.digest()
        service = self.settings.service
        return self.configuration.digest(
            lambda key: downlinks.agent_subscribes_to(key, service)
        )

    def _delta_sources(self, now: float) -> set[identity.MemberId]:
        """Returns the upstreams that should send documents.

        A reader requests documents from none while the store answers, and
        from all while it doesn't. Any other daemon requests them from its
        first upstream. After `STALLED_AFTER_SECONDS` without progress, each
        daemon requests them from all.
        """
        upstreams = list(self.outbox.uplinks.upstream_by_id)
        highest = self.reports.highest_revision(now=now)
        if highest <= self.configuration.complete_through:
            self._progress_at = now
        if now - self._progress_at >= STALLED_AFTER_SECONDS:
            return set(upstreams)
        if self.reader.is_active:
            own = self.settings.member_id
            return (
                set()
                if self.reports.store_answered_recently(own, now=now)
                else set(upstreams)
            )
        return set(upstreams[:1])

    def send_digests(self, *, now: float) -> None:
        """Sends a digest to each upstream; drops deltas of former ones."""
        self._sent_at = now
        for peer in list(self.partial_delta_by_peer):
            if peer not in self.outbox.uplinks.upstream_by_id:
                del self.partial_delta_by_peer[peer]
        own = self._own_digest()
        delta_sources = self._delta_sources(now)
        for peer in self.outbox.uplinks.upstream_by_id:
            self._stamp += 1
            partial_delta = self.partial_delta_by_peer.get(peer)
            digest = control.Digest(
                self._stamp,
                own.complete_through,
                own.count,
                own.hash,
                partial_delta.snapshot if partial_delta is not None else 0,
                partial_delta.pages if partial_delta is not None else 0,
                peer in delta_sources,
            )
            self.reports.sent_digests.record(self._stamp, now=now)
            self.outbox.send(peer, digest, now=now)

    def send_digests_if_newer(self, version: int, *, now: float) -> None:
        """Sends digests at once if a version is newer, at a limited rate."""
        is_newer = version > self.configuration.complete_through
        if is_newer and now - self._sent_at >= MIN_DIGEST_INTERVAL_SECONDS:
            self.send_digests(now=now)

    def receive(
        self, peer: identity.MemberId, delta: control.Delta, *, now: float
    ) -> list[configurations.VersionedDocument] | None:
        """Applies a page of a delta.

        Returns:
            All documents of the delta once it is complete, else None.
        """
        version = self.configuration.complete_through
        # A delta from 0 to the same version repairs a difference, see
        # `deltas.MISMATCHES_BEFORE_REPAIR`.
        is_useful = delta.snapshot > version or (
            delta.snapshot == version and delta.after == 0
        )
        if not is_useful or delta.after > version:
            return None
        partial_delta = self.partial_delta_by_peer.get(peer)
        if partial_delta is None or (
            partial_delta.after,
            partial_delta.snapshot,
        ) != (
            delta.after,
            delta.snapshot,
        ):
            partial_delta = deltas.PartialDelta(delta.after, delta.snapshot)
            self.partial_delta_by_peer[peer] = partial_delta
        pages_before = partial_delta.pages
        is_complete = partial_delta.add_page(delta)
        if partial_delta.pages > pages_before:
            self._progress_at = now
        if not is_complete:
            return None
        del self.partial_delta_by_peer[peer]
        return partial_delta.documents
