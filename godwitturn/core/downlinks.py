"""The peers attached to a daemon, and the documents sent to them."""

from collections.abc import Mapping
import random

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import deltas
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.protocol import control

DETACH_AFTER_SECONDS = 5.0
# A peer that has sent no digest for this long probably has other upstreams, so
# it is sent no pages.
STALE_DIGEST_SECONDS = 2.5
# Limit of the peers attached to one balancer. 37 are expected at 530 balancers
# and 3,700 agents: 16 children in the tree and 21 agents.
MAX_ATTACHMENTS = 512
AGENT_KEYS = frozenset({configurations.RULES_KEY, "teams"})


def agent_subscribes_to(key: str, service: str) -> bool:
    """Returns whether an agent of a service subscribes to a key."""
    return (
        key in AGENT_KEYS
        or key == configurations.SERVICES_PREFIX + service
        or key == configurations.MEMBERS_PREFIX + service
        or key.startswith(configurations.BALANCERS_PREFIX)
    )


@attrs.define
class Downlinks:
    """Attached peers and the deltas that are sent to them.

    Attributes:
        configuration: The configuration in force.
        generator: Source of random choices.
        attachment_by_peer: The attached peers.
    """

    configuration: configurations.Configuration
    generator: random.Random
    attachment_by_peer: dict[identity.MemberId, deltas.Attachment] = (
        attrs.field(factory=dict)
    )
    _approved: Mapping[identity.MemberId, documents.Member] = attrs.field(
        factory=dict
    )
    _digest_by_service: dict[str, configurations.Digest] = attrs.field(
        factory=dict
    )

    def set_approved(
        self, approved: Mapping[identity.MemberId, documents.Member]
    ) -> None:
        """Applies a changed configuration; detaches unapproved peers."""
        self._approved = approved
        self._digest_by_service.clear()
        for peer in list(self.attachment_by_peer):
            if peer not in approved:
                del self.attachment_by_peer[peer]

    def expire(self, *, now: float) -> None:
        """Detaches peers that send no digests."""
        for peer, attachment in list(self.attachment_by_peer.items()):
            if now - attachment.digest_at > DETACH_AFTER_SECONDS:
                del self.attachment_by_peer[peer]

    def handle_digest(
        self, peer: identity.MemberId, digest: control.Digest, *, now: float
    ) -> deltas.Attachment | None:
        """Applies a digest of a peer, which is attached if it is new.

        Returns:
            The attachment, or None if this or a later digest was received
            before, or if there is no room for another peer.
        """
        attachment = self.attachment_by_peer.get(peer)
        if attachment is None:
            if len(self.attachment_by_peer) >= MAX_ATTACHMENTS:
                return None
            attachment = deltas.Attachment()
            self.attachment_by_peer[peer] = attachment
        if digest.stamp <= attachment.stamp:
            return None
        attachment.apply_digest(digest, self._digest_for(peer), now)
        return attachment

    def subscribes_to(self, peer: identity.MemberId, key: str) -> bool:
        """Returns whether a peer receives a document."""
        member = self._approved.get(peer)
        if member is None:
            return False
        if member.kind == documents.MemberKind.BALANCER:
            return True
        return agent_subscribes_to(key, member.service)

    def _digest_for(self, peer: identity.MemberId) -> configurations.Digest:
        member = self._approved.get(peer)
        service = "" if member is None else member.service
        digest = self._digest_by_service.get(service)
        if digest is None:
            digest = self.configuration.digest(
                lambda key: self.subscribes_to(peer, key)
            )
            self._digest_by_service[service] = digest
        return digest

    def _needs_pages(self, attachment: deltas.Attachment) -> bool:
        transfer = attachment.transfer
        if transfer is not None and not transfer.finished:
            return True
        version = self.configuration.complete_through
        return attachment.wants_deltas and attachment.known_version < version

    def peers_to_serve(self) -> list[identity.MemberId]:
        """Returns peers that lack documents, in random order.

        Peers with a delta in progress are last, where `Outbox.send_deltas`
        starts. The function is called after each message, but shuffles and
        sorts an empty list while no peer lacks documents.
        """
        peers = [
            peer
            for peer, attachment in self.attachment_by_peer.items()
            if self._needs_pages(attachment)
        ]
        self.generator.shuffle(peers)
        peers.sort(key=lambda peer: self.attachment_by_peer[peer].in_progress)
        return peers

    def next_page(
        self, peer: identity.MemberId, *, now: float
    ) -> control.Delta | None:
        """Returns the next page for a peer, or None if it is up to date."""
        attachment = self.attachment_by_peer[peer]
        if now - attachment.digest_at > STALE_DIGEST_SECONDS:
            return None
        transfer = attachment.transfer
        if transfer is None or transfer.finished:
            transfer = self._start_transfer(peer, attachment)
        return transfer.next_delta(now=now) if transfer is not None else None

    def _start_transfer(
        self, peer: identity.MemberId, attachment: deltas.Attachment
    ) -> deltas.DeltaTransfer | None:
        version = self.configuration.complete_through
        if attachment.known_version >= version or not attachment.wants_deltas:
            return None
        if peer not in self._approved:
            return None
        changed = self.configuration.changed_since(attachment.known_version)
        subscribed = [
            document
            for document in changed
            if self.subscribes_to(peer, document.key)
        ]
        attachment.transfer = deltas.DeltaTransfer(
            attachment.known_version, version, deltas.pages_of(subscribed)
        )
        attachment.known_version = version
        return attachment.transfer
