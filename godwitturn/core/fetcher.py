"""How a control node asks its upstreams for documents."""

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

# Then all upstreams are asked for documents instead of one.
STALLED_SECONDS = 1.0
# Shortest time between digests that news bring about.
SOON_SECONDS = 0.3


@attrs.define
class Fetcher:
    """Sends digests and collects the deltas that answer them.

    Attributes:
        settings: The daemon's settings.
        configuration: The configuration in force.
        reports: What store readers said.
        reader: Whether this daemon reads the store.
        outbox: Where messages go.
        stage_by_peer: Deltas that arrived in part.
    """

    settings: control_events.ControlSettings
    configuration: configurations.Configuration
    reports: reader_reports.ReportExchange
    reader: store_reader.StoreReader
    outbox: outboxes.Outbox
    stage_by_peer: dict[identity.MemberId, deltas.Stage] = attrs.field(
        factory=dict
    )
    _stamp: int = 0
    _sent_at: float = -math.inf
    _progress_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        # Stamps grow over restarts like the start number.
        self._stamp = self.settings.start_number << 20

    def _own_digest(self) -> configurations.Digest:
        if self.settings.kind == documents.MemberKind.BALANCER:
            return self.configuration.digest()
        service = self.settings.service
        return self.configuration.digest(
            lambda key: downlinks.wanted_by_agent(key, service)
        )

    def _wanted_from(self, now: float) -> set[identity.MemberId]:
        """Returns the upstreams that shall send documents.

        That is the first one. Without progress for a second, and at a reader
        that the store doesn't answer, it is all of them.
        """
        found = list(self.outbox.uplinks.upstream_by_id)
        highest = self.reports.highest(now=now)
        if highest <= self.configuration.complete_through:
            self._progress_at = now
        if now - self._progress_at >= STALLED_SECONDS:
            return set(found)
        if self.reader.is_active:
            own = self.settings.member_id
            return set() if self.reports.answered(own, now=now) else set(found)
        return set(found[:1])

    def send_digests(self, *, now: float) -> None:
        """Sends a digest to each upstream."""
        self._sent_at = now
        for peer in list(self.stage_by_peer):
            if peer not in self.outbox.uplinks.upstream_by_id:
                del self.stage_by_peer[peer]
        held = self._own_digest()
        wanted_from = self._wanted_from(now)
        for peer in self.outbox.uplinks.upstream_by_id:
            self._stamp += 1
            stage = self.stage_by_peer.get(peer)
            digest = control.Digest(
                self._stamp,
                held.complete_through,
                held.count,
                held.hash,
                stage.snapshot if stage is not None else 0,
                stage.pages if stage is not None else 0,
                peer in wanted_from,
            )
            self.reports.sent_digests.sent(self._stamp, now=now)
            self.outbox.send(peer, digest, now=now)

    def send_digests_soon(self, version: int, *, now: float) -> None:
        """Sends digests at once if a version is news, at a limited rate."""
        is_news = version > self.configuration.complete_through
        if is_news and now - self._sent_at >= SOON_SECONDS:
            self.send_digests(now=now)

    def receive(
        self, peer: identity.MemberId, delta: control.Delta, *, now: float
    ) -> list[configurations.VersionedDocument] | None:
        """Takes over a page.

        Returns:
            All documents of the delta once it is whole, else None.
        """
        version = self.configuration.complete_through
        # Equal snapshots from 0 repair a difference, see `Attachment`.
        useful = delta.snapshot > version or (
            delta.snapshot == version and delta.after == 0
        )
        if not useful or delta.after > version:
            return None
        stage = self.stage_by_peer.get(peer)
        if stage is None or (stage.after, stage.snapshot) != (
            delta.after,
            delta.snapshot,
        ):
            stage = deltas.Stage(delta.after, delta.snapshot)
            self.stage_by_peer[peer] = stage
        pages = stage.pages
        is_whole = stage.add(delta)
        if stage.pages > pages:
            self._progress_at = now
        if not is_whole:
            return None
        del self.stage_by_peer[peer]
        return stage.documents
