"""The control node, which distributes configuration and announcements.

Trust: messages are exchanged with approved members only. A daemon without a
complete configuration also accepts one from the seeds in its settings, and
from balancers named by these or by a directory, once it has verified their
approvals with its own team keys. It verifies the approvals in the
configuration in the same way. An agent may only announce itself.
"""

import math
import random

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import approval
from godwitturn.core import configuration as configurations
from godwitturn.core import control_events
from godwitturn.core import deltas
from godwitturn.core import documents
from godwitturn.core import downlinks as downlink_tables
from godwitturn.core import events
from godwitturn.core import fetcher as fetchers
from godwitturn.core import freshness
from godwitturn.core import gossip
from godwitturn.core import identity
from godwitturn.core import membership as memberships
from godwitturn.core import outbox as outboxes
from godwitturn.core import reader_reports
from godwitturn.core import store_position
from godwitturn.core import store_reader
from godwitturn.core import uplinks as uplink_tables
from godwitturn.protocol import control

ROUND_INTERVAL_SECONDS = 1.0
# A balancer without configuration waits this long for its seeds before it
# reads the store itself.
BOOTSTRAP_WAIT_SECONDS = 2.0
# An unapproved balancer whose upstreams send nothing for this long reads the
# store itself.
UNAPPROVED_SILENCE_SECONDS = 5.0
REFUSAL_LOG_INTERVAL_SECONDS = 1.0


@attrs.define
class ControlNode:
    """Distributes configuration and announcements for a daemon.

    Attributes:
        settings: The daemon's settings.
        generator: Source of random choices.
        configuration: The configuration in force.
        approved: Its approved members, by id.
        reports: Reports of store readers.
        membership: The announcements.
        uplinks: The peers this daemon attaches to.
        downlinks: The peers attached to this daemon.
        outbox: Messages and actions that the next `handle` returns.
        reader: State of this daemon's reads of the store.
        fetcher: Requests documents from upstreams.
        is_fenced: The state last reported by `FenceChanged`.
    """

    settings: control_events.ControlSettings
    generator: random.Random
    configuration: configurations.Configuration = attrs.field(
        factory=configurations.Configuration
    )
    approved: dict[identity.MemberId, documents.Member] = attrs.field(
        factory=dict
    )
    reports: reader_reports.ReportExchange = attrs.field(
        factory=reader_reports.ReportExchange
    )
    membership: memberships.Membership = attrs.field(init=False)
    uplinks: uplink_tables.Uplinks = attrs.field(init=False)
    downlinks: downlink_tables.Downlinks = attrs.field(init=False)
    outbox: outboxes.Outbox = attrs.field(init=False)
    reader: store_reader.StoreReader = attrs.field(
        factory=store_reader.StoreReader
    )
    fetcher: fetchers.Fetcher = attrs.field(init=False)
    is_fenced: bool = True
    _gossip: gossip.Gossip = attrs.field(init=False)
    _verifier: approval.ApprovalVerifier = attrs.field(init=False)
    _started_at: float = math.inf
    _next_round_at: float = -math.inf
    _refusal_logged_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        self._verifier = approval.ApprovalVerifier(
            self.settings.deployment, self.settings.team_keys
        )
        self.membership = memberships.Membership(self.settings.member_id)
        self.uplinks = uplink_tables.Uplinks(
            self.settings, self.membership, self.generator
        )
        self.downlinks = downlink_tables.Downlinks(
            self.configuration, self.generator
        )
        self.outbox = outboxes.Outbox(self.uplinks, self.downlinks)
        self.fetcher = fetchers.Fetcher(
            self.settings,
            self.configuration,
            self.reports,
            self.reader,
            self.outbox,
        )
        self._gossip = gossip.Gossip(
            self.settings, self.generator, self.membership, self.outbox
        )

    def handle(
        self, event: control_events.ControlEvent, *, now: float
    ) -> list[control_events.ControlAction]:
        """Handles an event and returns the actions for the daemon."""
        self._started_at = min(self._started_at, now)
        self.outbox.refill(now=now)
        self._dispatch(event, now)
        self.outbox.send_deltas(now=now)
        self._push_reports(now)
        self._update_fence(now)
        return self.outbox.pop_actions()

    def should_fence(self, now: float) -> bool:
        """Returns whether the view is unconfirmed, so nothing may be sent.

        A daemon checks it at each wake-up, before it handles the events that
        arrived in the meantime.
        """
        return self.reports.should_fence(
            self.configuration, self.settings.data_centres, now=now
        )

    def _dispatch(
        self, event: control_events.ControlEvent, now: float
    ) -> None:
        match event:
            case actions.Tick():
                self._tick(now)
            case actions.NewerVersionSeen():
                self.fetcher.send_digests_if_newer(event.version, now=now)
            case control_events.PeerMessage():
                self._handle_message(event, now)
            case control_events.PeerConnected():
                self.uplinks.connected.add(event.peer)
            case control_events.PeerDisconnected():
                self._remove_peer(event.peer, now)
            case control_events.DocumentsRead():
                self._handle_documents_read(event, now)
            case control_events.StoreConfirmed():
                self._handle_store_confirmed(event, now)
            case control_events.StoreUnreachable():
                if self.reader.is_active and self.reports.was_confirmed:
                    self._apply_own_report(now, now, store_answered=False)
            case control_events.LocalAnnouncement():
                self._gossip.set_local(event)
                self._gossip.send_heartbeat(now=now)

    def _tick(self, now: float) -> None:
        if now >= self._next_round_at:
            # Jitter keeps daemons that started together from sending at the
            # same time.
            delay = self.generator.uniform(0.9, 1.0) * ROUND_INTERVAL_SECONDS
            self._next_round_at = now + delay
            self._run_round(now)
        # A fenced watcher may be cut off itself, so the heartbeats that it
        # misses don't show that a member is lost.
        if self._is_balancer and not self.should_fence(now):
            self._gossip.publish_changes(now=now)

    def _run_round(self, now: float) -> None:
        self.downlinks.expire(now=now)
        self.uplinks.choose_upstreams(
            self.fetcher.partial_delta_by_peer, now=now
        )
        self._update_reader(now)
        self.fetcher.send_digests(now=now)
        self._gossip.send_heartbeat(now=now)
        if self._is_balancer:
            self.membership.watch_new_members(now=now)
        if self.configuration.complete_through:
            self._gossip.start_sync(now=now)

    @property
    def _is_balancer(self) -> bool:
        return self.settings.kind == documents.MemberKind.BALANCER

    def _update_reader(self, now: float) -> None:
        if not self._is_balancer:
            return
        if self.uplinks.bootstrapping:
            should_read = now - self._started_at >= BOOTSTRAP_WAIT_SECONDS
        elif self.settings.member_id in self.approved:
            topology = self.uplinks.topology
            should_read = topology.reads_store(self.settings.data_centre)
        else:
            # Peers don't answer this balancer before they have received its
            # approval. If no peer is left that could answer, the approval is
            # only in the store.
            should_read = (
                self.uplinks.upstream_silence_s(now=now)
                >= UNAPPROVED_SILENCE_SECONDS
            )
        action = self.reader.set_wanted(should_read)
        if action is None:
            return
        self.outbox.actions.append(action)
        if should_read:
            self._emit(events.EventId.CONTROL_READER_STARTED)
        else:
            self._emit(events.EventId.CONTROL_READER_STOPPED)

    # Store

    def _handle_documents_read(
        self, event: control_events.DocumentsRead, now: float
    ) -> None:
        snapshot = self.reader.snapshot_of(event, now=now)
        if snapshot is None:
            return
        read, newest = snapshot
        known = self.configuration.position
        era = known.era
        if event.is_complete and self.reader.shows_restore(
            event, self.configuration, now=now
        ):
            era += 1
            self._emit(
                events.EventId.CONTROL_STORE_RESTORED,
                era=era,
                known_revision=known.revision,
                read_revision=event.revision,
            )

        def version_of(revision: int) -> int:
            return store_position.StorePosition(era, revision).packed

        documents_read = tuple(
            attrs.evolve(document, revision=version_of(document.revision))
            for document in read
        )
        # A read of single documents leads to no version.
        version = version_of(newest) if event.revision > 0 else 0
        self._merge(documents_read, version, now, also_kept=event.malformed)

    def _restart_reader(self, now: float) -> None:
        self.outbox.actions.extend(self.reader.restart(now=now))

    def _handle_store_confirmed(
        self, event: control_events.StoreConfirmed, now: float
    ) -> None:
        version = self.configuration.complete_through
        if self.reader.confirms(event, version):
            self._apply_own_report(now - event.age, now, store_answered=True)
        elif self.reader.needs_restart or self.reader.shows_restore(
            event, self.configuration, now=now
        ):
            self._restart_reader(now)

    def _apply_own_report(
        self, reported_at: float, now: float, *, store_answered: bool
    ) -> None:
        report = freshness.Report(
            self.settings.member_id,
            self.configuration.complete_through,
            reported_at,
            store_answered,
        )
        freshness.apply_report(self.reports.state, report, now=now)

    def _merge(
        self,
        received: tuple[configurations.VersionedDocument, ...],
        snapshot: int,
        now: float,
        *,
        also_kept: tuple[str, ...] = (),
    ) -> bool:
        """Merges documents into the configuration.

        Args:
            received: The documents; all of them if their era is a later one
                than that of the configuration.
            snapshot: The version that they lead to.
            now: Monotonic time in seconds.
            also_kept: Other documents that a later era doesn't remove.

        Returns:
            Whether a later era of the store has begun.
        """
        era = store_position.StorePosition.unpack(snapshot).era
        begins_era = era > self.configuration.position.era
        is_any_lost = begins_era and self.configuration.retain(
            {*also_kept, *(document.key for document in received)}
        )
        changed, rejected = configurations.merge_documents(
            self.configuration, received
        )
        for error in rejected:
            self._emit(
                events.EventId.CONTROL_DOCUMENT_REJECTED,
                key=error.key,
                revision=error.revision,
                reason=error.reason,
            )
        advanced = self.configuration.mark_complete_through(snapshot)
        if advanced:
            reached = self.configuration.position
            self._emit(
                events.EventId.CONTROL_VERSION,
                version=reached.revision,
                era=reached.era,
            )
        if changed or advanced or is_any_lost:
            self.reader.record_view(begins_era=begins_era, now=now)
            self._configuration_changed(now)
        return begins_era

    def _configuration_changed(self, now: float) -> None:
        self.approved = self._verifier.approved_members(self.configuration)
        self.outbox.actions.extend(
            self._verifier.report_unverified_withdrawals()
        )
        self.reports.data_centre_by_balancer = {
            member.member_id: member.data_centre
            for member in self.approved.values()
            if member.kind == documents.MemberKind.BALANCER
        }
        self.uplinks.bootstrapping = not self.configuration.complete_through
        is_any_removed = self.membership.set_approved(self.approved)
        self.uplinks.apply_directories(self.configuration)
        for entry in self.configuration.directory_entries():
            address = addresses.Address(entry.host, entry.port)
            self._add_seed(entry.member, address)
        self.downlinks.set_approved(self.approved)
        self.outbox.actions.append(
            control_events.ConfigurationChanged(
                self.configuration, self.approved
            )
        )
        if is_any_removed:
            self._gossip.notify_daemon()

    # Peers

    def _accepts_updates_from(self, peer: identity.MemberId) -> bool:
        """Returns whether updates from a trusted peer are accepted.

        Updates are documents, reports, referrals and announcements of other
        members. Agents may not send them; balancers and seeds may. A trusted
        peer that is not approved is a seed.
        """
        return peer not in self.approved or self.membership.is_balancer(peer)

    def _handle_message(
        self, event: control_events.PeerMessage, now: float
    ) -> None:
        peer = event.peer
        if peer is None or not self.uplinks.trusts(peer):
            self._log_refusal(events.EventId.CONTROL_PEER_REFUSED, peer, now)
            return
        message = control.decode(event.data)
        if message is None:
            self._log_refusal(events.EventId.CONTROL_MALFORMED, peer, now)
            return
        self.uplinks.record_message(peer, now=now)
        match message:
            case control.Digest():
                attachment = self.downlinks.handle_digest(
                    peer, message, now=now
                )
                if attachment is not None:
                    answer = self.reports.message_for(attachment, now=now)
                    self.outbox.send(peer, answer, now=now)
                    self._send_referral(peer, attachment, now)
            case control.Heartbeat():
                if message.announcement.member_id == peer:
                    self.membership.record_heartbeat(
                        message.announcement, now=now
                    )
            case control.SyncDigest() | control.SyncBuckets():
                self._gossip.handle_sync(peer, message, now=now)
            case control.SyncRequest():
                self._gossip.handle_sync(peer, message, now=now)
                if self._accepts_updates_from(peer):
                    self._gossip.apply_announcements(
                        peer, message.announcements, relay=False, now=now
                    )
            case _ if not self._accepts_updates_from(peer):
                event_id = events.EventId.CONTROL_PEER_REFUSED
                self._log_refusal(event_id, peer, now)
            case control.Delta():
                self._handle_delta(peer, message, now)
            case control.ReaderReports():
                newest = self.reports.receive(message, now=now)
                self.fetcher.send_digests_if_newer(newest, now=now)
            case control.Referral():
                for referred in message.referred:
                    self._add_seed(referred.member, referred.address)
            case control.AnnouncementBatch():
                self._gossip.apply_announcements(
                    peer, message.announcements, relay=message.relay, now=now
                )

    def _send_referral(
        self,
        peer: identity.MemberId,
        attachment: deltas.Attachment,
        now: float,
    ) -> None:
        """Refers a peer without a configuration to other balancers."""
        is_waiting = (
            attachment.known_version == 0 and not attachment.in_progress
        )
        if is_waiting and self.configuration.complete_through:
            referred = self.uplinks.referrals()
            self.outbox.send(peer, control.Referral(referred), now=now)

    def _add_seed(
        self, member: documents.Member, address: addresses.Address
    ) -> None:
        """Adds an approved balancer to the seeds while bootstrapping."""
        if (
            self.uplinks.bootstrapping
            and self.uplinks.may_add_seed(member.member_id)
            and self._verifier.is_approved_balancer(member)
        ):
            seed = control_events.Seed(address, member.public_key)
            self.uplinks.add_seed(seed)

    def _remove_peer(self, peer: identity.MemberId, now: float) -> None:
        self.downlinks.attachment_by_peer.pop(peer, None)
        self.fetcher.partial_delta_by_peer.pop(peer, None)
        if self.uplinks.handle_disconnect(peer, now=now):
            self.uplinks.choose_upstreams(
                self.fetcher.partial_delta_by_peer, now=now
            )
            self.fetcher.send_digests(now=now)

    def _handle_delta(
        self, peer: identity.MemberId, delta: control.Delta, now: float
    ) -> None:
        received = self.fetcher.receive(peer, delta, now=now)
        if received is None:
            return
        attachment = self.downlinks.attachment_by_peer.get(peer)
        if attachment is not None:
            attachment.known_version = max(
                attachment.known_version, delta.snapshot
            )
        if self._merge(tuple(received), delta.snapshot, now):
            # What this daemon's own reads of the store deliver next may still
            # be of the earlier era.
            self._restart_reader(now)

    # Sending

    def _push_reports(self, now: float) -> None:
        if not self.reports.begin_push(now=now):
            return
        for peer, attachment in self.downlinks.attachment_by_peer.items():
            message = self.reports.message_for(attachment, now=now)
            self.outbox.send(peer, message, now=now)

    def _update_fence(self, now: float) -> None:
        self.reports.update_confirmation(self.configuration.complete_through)
        is_fenced = self.should_fence(now)
        if not is_fenced:
            self.reports.was_confirmed = True
        if is_fenced != self.is_fenced:
            self.is_fenced = is_fenced
            self.outbox.actions.append(actions.FenceChanged(is_fenced))

    def _emit(self, event_id: events.EventId, **fields: object) -> None:
        event = events.LogEvent(event_id, fields)
        self.outbox.actions.append(actions.Emit(event))

    def _log_refusal(
        self,
        event_id: events.EventId,
        peer: identity.MemberId | None,
        now: float,
    ) -> None:
        if now - self._refusal_logged_at >= REFUSAL_LOG_INTERVAL_SECONDS:
            self._refusal_logged_at = now
            self._emit(event_id, peer=peer)
