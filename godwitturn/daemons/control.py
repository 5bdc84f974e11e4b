"""Configuration and membership of one daemon: I/O around `ControlNode`."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import random
import secrets
import time

import trio

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import control_events
from godwitturn.core import distribution
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import membership
from godwitturn.core import policy as policies
from godwitturn.core import store_position
from godwitturn.core import views
from godwitturn.daemons import clock
from godwitturn.daemons import control_channel
from godwitturn.daemons import directory
from godwitturn.daemons import runtime as runtimes
from godwitturn.daemons import store_feed
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.settings import schema

# A connection is closed when nothing was received for this time. Otherwise
# connections to random gossip partners would accumulate.
SILENCE_TIMEOUT_S = 10.0


def _control_settings(
    settings: schema.Settings, runtime: runtimes.Runtime
) -> control_events.ControlSettings:
    is_agent = settings.agent is not None
    return control_events.ControlSettings(
        deployment=settings.deployment,
        kind=(
            documents.MemberKind.TARGET
            if is_agent
            else documents.MemberKind.BALANCER
        ),
        data_centre=settings.data_centre,
        public_key=runtime.keys.public_key,
        team_keys=settings.teams,
        seeds=tuple(
            control_events.Seed(seed.address, seed.public_key)
            for seed in settings.control.seeds
        ),
        incarnation=secrets.randbits(32),
        start_number=int(time.time() * 1000),
        service=settings.agent.service if settings.agent else "",
    )


class ControlService:
    """Runs the control node of one daemon.

    Attributes:
        node: The control node.
        channel: Messages to and from other daemons.
    """

    def __init__(
        self,
        settings: schema.Settings,
        runtime: runtimes.Runtime,
        *,
        on_change: Callable[[], None],
        on_fence_change: Callable[[bool], None],
        data_address: addresses.Address | None = None,
    ) -> None:
        """Creates the service; nothing is sent before `run`.

        Args:
            settings: The daemon's settings.
            runtime: Logs, metrics and identity of the daemon.
            on_change: Called after each change of configuration or
                announcements.
            on_fence_change: Called with whether the daemon is fenced, when the
                view becomes confirmed or unconfirmed.
            data_address: An agent's data address; None for a balancer.
        """
        self._settings = settings
        self._runtime = runtime
        self._on_change = on_change
        self._on_fence_change = on_fence_change
        self._pair_keys = views.PairKeys(
            lambda key: control_channel.pair_key(runtime.keys, key)
        )
        self.node = distribution.ControlNode(
            _control_settings(settings, runtime),
            random.Random(secrets.randbits(64)),
        )
        self.channel = control_channel.ControlChannel(
            address=settings.control.address,
            keys=runtime.keys,
            is_allowed=self._is_allowed,
            receive=self._receive,
        )
        self._own_address = data_address or self.channel.address
        self._key_by_peer: dict[identity.MemberId, bytes] = {}
        self._received_at_by_peer: dict[identity.MemberId, float] = {}
        self._announced_state: membership.MemberState | None = None
        self._next_check_at = 0.0
        self._feed_scope = trio.CancelScope()
        self._reading_requested = trio.Event()
        self._announcements: dict[
            identity.MemberId, membership.Announcement
        ] = {}
        self._pending_events: collections.deque[
            control_events.ControlEvent
        ] = collections.deque()
        self._is_handling = False
        runtime.metrics.gauges["control"] = self._gauges

    def _gauges(self) -> dict[str, float]:
        return {
            "configuration_version": self.position.revision,
            "configuration_era": self.position.era,
            "fenced": float(self.node.is_fenced),
            "reading_store": float(self.node.reader.is_active),
            "control_sent_bytes": self.channel.sent_bytes,
            "control_received_bytes": self.channel.received_bytes,
            "refused_handshakes": self.channel.refused_handshakes,
        }

    # Called by the daemon

    @property
    def position(self) -> store_position.StorePosition:
        """State of the store that the configuration in force is of."""
        return self.node.configuration.position

    @property
    def announcement_by_id(
        self,
    ) -> Mapping[identity.MemberId, membership.Announcement]:
        """Announcements of approved members, by member id."""
        return self._announcements

    def routing_inputs(self) -> views.RoutingInputs:
        """Returns the inputs of a balancer's routing table."""
        return views.routing_inputs(
            self.node.configuration,
            self.node.approved,
            self._announcements,
            self._pair_keys,
        )

    def agent_policy(self) -> policies.AgentPolicy:
        """Returns the policy that the configuration sets for this agent."""
        return views.agent_policy(
            self.node.configuration,
            self.node.approved,
            self._runtime.member_id,
            self._pair_keys,
        )

    def check_freshness(self, *, now: float) -> None:
        """Updates the fence: it is set while the view is not confirmed.

        Daemons call this method before each event, because after a pause of
        the process, events may be handled before the next tick. To be fast,
        it checks the view at most once in `TICK_S` seconds.
        """
        if now < self._next_check_at:
            return
        self._next_check_at = now + runtimes.TICK_S
        if self.node.should_fence(now) != self.node.is_fenced:
            self._handle(actions.Tick())

    def report_newer_version(self, version: int) -> None:
        """Tells the control node that a peer has a newer configuration."""
        self._handle(actions.NewerVersionSeen(version))

    def announce(self, *, draining: bool) -> None:
        """Announces the state of this member if it has changed.

        Args:
            draining: Whether the member is draining.
        """
        state = membership.MemberState.SERVING
        if draining:
            state = membership.MemberState.DRAINING
        if state != self._announced_state:
            self._announced_state = state
            self._handle(
                control_events.LocalAnnouncement(self._own_address, state)
            )

    # Events and actions of the node

    def _handle(self, event: control_events.ControlEvent) -> None:
        """Handles an event after all actions of earlier events.

        When the channel sends a message, it also receives those that have
        arrived. If these were handled at once, the remaining actions of the
        earlier event could undo their effects, such as the end of a fence.
        """
        self._pending_events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._pending_events:
                event = self._pending_events.popleft()
                for action in self.node.handle(event, now=clock.now()):
                    self._perform(action)
        finally:
            self._is_handling = False

    def _perform(self, action: control_events.ControlAction) -> None:
        match action:
            case control_events.SendToPeer(peer, data):
                self._send(peer, data)
            case control_events.ConnectPeer(peer, address, public_key):
                self._connect(peer, address, public_key)
            case control_events.StartStoreReader():
                self._reading_requested.set()
            case control_events.StopStoreReader():
                self._reading_requested = trio.Event()
                self._feed_scope.cancel()
            case control_events.ConfigurationChanged():
                self._on_change()
            case control_events.AnnouncementsChanged(announcement_by_id):
                self._announcements = dict(announcement_by_id)
                self._on_change()
            case actions.FenceChanged(fenced):
                self._on_fence_change(fenced)
            case actions.Emit(event):
                self._runtime.log(event)

    # Peers

    def _is_allowed(self, public_key: bytes) -> bool:
        return self.node.uplinks.trusts(identity.member_id_of(public_key))

    def _receive(self, public_key: bytes, message: bytes) -> None:
        peer = identity.member_id_of(public_key)
        self._key_by_peer[peer] = public_key
        self._received_at_by_peer[peer] = clock.now()
        self._handle(control_events.PeerMessage(peer, message))

    def _send(self, peer: identity.MemberId, data: bytes) -> None:
        public_key = self._key_by_peer.get(peer)
        if public_key is not None and not self.channel.send(public_key, data):
            self._drop_peer(peer)

    def _connect(
        self,
        peer: identity.MemberId,
        address: addresses.Address,
        public_key: bytes,
    ) -> None:
        self._key_by_peer[peer] = public_key
        self._received_at_by_peer[peer] = clock.now()
        self.channel.connect(public_key, address)
        self._handle(control_events.PeerConnected(peer))

    def _drop_silent_peers(self) -> None:
        now = clock.now()
        for peer, received_at in list(self._received_at_by_peer.items()):
            if now - received_at > SILENCE_TIMEOUT_S:
                self._drop_peer(peer)

    def _drop_peer(self, peer: identity.MemberId) -> None:
        self._received_at_by_peer.pop(peer, None)
        public_key = self._key_by_peer.pop(peer, None)
        if public_key is not None:
            self.channel.disconnect(public_key)
        self._handle(control_events.PeerDisconnected(peer))

    async def _tick_forever(self) -> None:
        while True:
            self._handle(actions.Tick())
            self._drop_silent_peers()
            await trio.sleep(runtimes.TICK_S)

    # The store

    async def _read_store_forever(self) -> None:
        if not self._settings.store.endpoints:
            return
        timeout_s = self._settings.store.timeout_seconds
        while True:
            await self._reading_requested.wait()
            async with store.StoreClient(
                self._settings.store.endpoints, timeout_seconds=timeout_s
            ) as client:
                feed = store_feed.StoreFeed(
                    client,
                    repository.deployment_prefix(self._settings.deployment),
                    timeout_s,
                    self._handle,
                    self._runtime.log,
                )
                with trio.CancelScope() as self._feed_scope:
                    await feed.run()

    async def _run_directory(self) -> None:
        if not self._settings.store.endpoints:
            return
        async with store.StoreClient(
            self._settings.store.endpoints,
            timeout_seconds=self._settings.store.timeout_seconds,
        ) as client:
            service = directory.DirectoryService(
                client,
                self.node,
                self._settings.identity.name,
                self.channel.address,
                self._handle,
                self._runtime.log,
            )
            await service.run()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.channel.run)
            nursery.start_soon(self._read_store_forever)
            nursery.start_soon(self._run_directory)
            self.announce(draining=False)
            await self._tick_forever()
