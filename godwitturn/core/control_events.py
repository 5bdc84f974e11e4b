"""Events, actions and settings of the control node."""

from collections.abc import Mapping

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import membership


@attrs.frozen
class Seed:
    """A balancer whose public key a starting daemon trusts."""

    address: addresses.Address
    public_key: bytes

    @property
    def member_id(self) -> identity.MemberId:
        """Member id that belongs to the public key."""
        return identity.member_id_of(self.public_key)


@attrs.frozen
class ControlSettings:
    """Settings of a daemon that don't come from the configuration.

    Attributes:
        deployment: Name of the deployment.
        kind: `BALANCER`, or `TARGET` for the agent beside a target.
        data_centre: Where the daemon runs.
        public_key: Its X25519 public key.
        team_keys: Ed25519 public key by team.
        seeds: Balancers to attach to while there is no configuration.
        incarnation: Random number drawn at this start.
        start_number: Wall clock at this start in milliseconds.
        data_centres: Data centres from settings, added to those of the rules
            when a majority is counted.
        service: An agent's service; empty for a balancer.
    """

    deployment: str
    kind: documents.MemberKind
    data_centre: str
    public_key: bytes
    team_keys: Mapping[str, bytes]
    seeds: tuple[Seed, ...]
    incarnation: int
    start_number: int
    data_centres: tuple[str, ...] = ()
    service: str = ""

    @property
    def member_id(self) -> identity.MemberId:
        """The daemon's member id."""
        return identity.member_id_of(self.public_key)


# Events


@attrs.frozen
class PeerMessage:
    """A message from a peer.

    Attributes:
        peer: Id of the public key that CURVE authenticated, or None.
        data: The encoded message, see `protocol.control`.
    """

    peer: identity.MemberId | None
    data: bytes


@attrs.frozen
class PeerConnected:
    """A connection to or from a peer was opened."""

    peer: identity.MemberId


@attrs.frozen
class PeerDisconnected:
    """The connection to a peer ended."""

    peer: identity.MemberId


@attrs.frozen
class DocumentsRead:
    """Documents read from the store.

    After `StartStoreReader`, the first event has all documents below the
    prefix, and the next ones have every change in revision order. All
    documents are read again after each loss of the watch.

    Attributes:
        documents: The documents, with the store's own revisions.
        revision: The store's revision up to which the changes are complete;
            0 for a read of single documents, such as a directory.
        is_complete: Whether these are all documents below the prefix.
        malformed: Keys below the prefix whose values are not documents.
        age: Seconds since the request that the store answered was sent,
            including pauses of the daemon.
    """

    documents: tuple[configurations.VersionedDocument, ...]
    revision: int
    is_complete: bool = False
    malformed: tuple[str, ...] = ()
    age: float = 0.0


@attrs.frozen
class StoreConfirmed:
    """The store answered that every change up to a revision was delivered.

    Expected about twice a second while this daemon reads the store.

    Attributes:
        revision: The revision.
        age: Seconds since the request that the store answered was sent,
            including pauses of the daemon.
    """

    revision: int
    age: float = 0.0


@attrs.frozen
class StoreUnreachable:
    """A store call failed; expected after each failure, about once a second.

    It must not be sent for a call that began before a pause of the daemon.
    """


@attrs.frozen
class LocalAnnouncement:
    """Sets the content of this daemon's next announcements of itself.

    Attributes:
        address: An agent's data address; a balancer's control address.
        state: Serving or draining.
    """

    address: addresses.Address
    state: membership.MemberState = membership.MemberState.SERVING


ControlEvent = (
    actions.Tick
    | actions.NewerVersionSeen
    | PeerMessage
    | PeerConnected
    | PeerDisconnected
    | DocumentsRead
    | StoreConfirmed
    | StoreUnreachable
    | LocalAnnouncement
)


# Actions


@attrs.frozen
class SendToPeer:
    """Sends an encoded message over the connection to or from a peer.

    Without an open connection, the message is queued for a short time or
    dropped.
    """

    peer: identity.MemberId
    data: bytes


@attrs.frozen
class ConnectPeer:
    """Opens a connection to a balancer, unless one to the address is open."""

    peer: identity.MemberId
    address: addresses.Address
    public_key: bytes


@attrs.frozen
class StartStoreReader:
    """Reads all documents, then watches the prefix."""


@attrs.frozen
class StopStoreReader:
    """Ends the watch."""


@attrs.frozen
class ConfigurationChanged:
    """A newer configuration is in force.

    Attributes:
        configuration: The configuration; the node continues to modify it.
        approved: Its approved members, by id.
    """

    configuration: configurations.Configuration
    approved: Mapping[identity.MemberId, documents.Member]


@attrs.frozen
class AnnouncementsChanged:
    """Announcements changed, by member id."""

    announcement_by_id: Mapping[identity.MemberId, membership.Announcement]


ControlAction = (
    actions.Emit
    | actions.FenceChanged
    | SendToPeer
    | ConnectPeer
    | StartStoreReader
    | StopStoreReader
    | ConfigurationChanged
    | AnnouncementsChanged
)
