"""Tests of the peers that a control node trusts and attaches to."""

import unittest

import attrs

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import configuration
from godwitturn.core import control_events
from godwitturn.core import documents
from godwitturn.core import events
from godwitturn.core import identity
from godwitturn.core import views
from godwitturn.protocol import control
from godwitturn.standins import control_fixtures as fixtures
from godwitturn.standins import control_fleet as fleet
from godwitturn.standins import control_network


class TestTrust(unittest.TestCase):
    """A peer that is not approved must neither change nor receive anything."""

    def setUp(self) -> None:
        self.network, self.daemons = fleet.start(6, 2)
        self.network.run(10)
        self.node = self.daemons[0].node

    def _send(
        self, peer: identity.MemberId | None, message: control.Message
    ) -> list[control_events.ControlAction]:
        data = control.encode(message)
        event = control_events.PeerMessage(peer, data)
        return self.node.handle(event, now=self.network.now)

    def _forged_delta(self) -> control.Delta:
        body = fixtures.document("rules", 99, documents.Rules(("x",))).body
        part = control.DocumentPart("rules", 99, len(body), 0, body)
        return control.Delta(0, 99, 0, True, (part,))

    def test_delta_from_unapproved_peers_and_agents_is_refused(self) -> None:
        agent = self.daemons[6].member.member_id
        for peer in (None, fixtures.member_id("stranger"), agent):
            self._send(peer, self._forged_delta())
            self.assertEqual(fleet.RULES, self.node.configuration.rules)
        self._send(self.daemons[1].member.member_id, self._forged_delta())
        self.assertEqual(("x",), self.node.configuration.rules.data_centres)

    def test_unapproved_peer_gets_no_answer(self) -> None:
        digest = control.Digest(1 << 62, 0, 0, 0)
        for message in (digest, control.SyncDigest(5)):
            returned = self._send(fixtures.member_id("stranger"), message)
            kinds = [type(action) for action in returned]
            self.assertNotIn(control_events.SendToPeer, kinds)

    def test_agent_announces_only_itself(self) -> None:
        membership = self.node.membership
        victim = self.daemons[7].member.member_id
        announcement = membership.announcement_by_id[victim]
        forged = attrs.evolve(announcement, sequence=1 << 40, incarnation=7)
        agent = self.daemons[6].member.member_id
        self._send(agent, control.Heartbeat(forged))
        self._send(agent, control.AnnouncementBatch((forged,), True))
        self._send(agent, control.SyncRequest(b"", (forged,)))
        self.node.handle(actions.Tick(), now=self.network.now + 0.1)
        current = membership.announcement_by_id[victim]
        self.assertNotEqual(7, current.incarnation)

    def test_agent_gets_only_its_subscription(self) -> None:
        self.network.put("services/other", documents.Service("other", 2))
        self.network.put("members/other", documents.MemberList())
        self.network.run(5)
        for daemon in self.daemons[6:]:
            keys = set(fleet.documents_of(daemon))
            self.assertEqual(
                set(fleet.expected_documents(self.network, daemon)), keys
            )
            self.assertNotIn("services/other", keys)
            kinds = {
                daemon.node.approved[i].kind
                for i in daemon.node.membership.announcement_by_id
            }
            self.assertEqual({documents.MemberKind.BALANCER}, kinds)

    def test_unapproved_daemon_is_fenced_and_gets_no_messages(self) -> None:
        partly_approved = fixtures.balancer("half", "east")
        partly_approved = fixtures.signed(partly_approved, ("north",))
        balancers = [d.member for d in self.daemons if not d.member.service]
        east = [m for m in balancers if m.data_centre == "east"]
        value = documents.MemberList((*east, partly_approved))
        self.network.put("balancers/east", value)
        daemon = self.network.start(partly_approved)
        self.network.run(15)
        self.assertTrue(daemon.node.is_fenced)
        for other in self.daemons:
            self.assertNotIn(partly_approved.member_id, other.node.approved)
            announcement_by_id = other.node.membership.announcement_by_id
            self.assertNotIn(partly_approved.member_id, announcement_by_id)
            peers = {peer for _, peer, _ in other.sent}
            self.assertNotIn(partly_approved.member_id, peers)

    def test_departed_member_gets_no_messages_after_the_limit(self) -> None:
        departed = self.daemons[3].member
        rest = [
            d.member
            for d in self.daemons
            if d.member.data_centre == "east" and not d.member.service
        ]
        changed = attrs.evolve(departed, departed=True)
        value = documents.MemberList(
            tuple(changed if m == departed else m for m in rest)
        )
        self.network.put("balancers/east", value)
        self.network.run(fleet.PROPAGATION_LIMIT_SECONDS)
        since = self.network.now
        self.network.run(5)
        for daemon in self.daemons:
            if daemon.member == departed:
                continue
            node = daemon.node
            self.assertNotIn(departed.member_id, node.approved)
            self.assertNotIn(
                departed.member_id, node.membership.announcement_by_id
            )
            receivers = [p for at, p, _ in daemon.sent if at > since]
            self.assertNotIn(departed.member_id, receivers)

    def test_withdrawn_target_leaves_routing_and_is_fenced(self) -> None:
        removed, kept = self.daemons[6].member, self.daemons[7].member
        withdrawn = fixtures.signed(removed, ("north",))
        value = documents.MemberList((withdrawn, kept))
        self.network.put("members/core", value)
        self.network.run(
            fleet.PROPAGATION_LIMIT_SECONDS + control_network.TICK_SECONDS
        )
        for daemon in self.daemons[:6]:
            node = daemon.node
            inputs = views.routing_inputs(
                node.configuration,
                node.approved,
                node.membership.announcement_by_id,
                views.PairKeys(bytes),
            )
            self.assertEqual((kept,), inputs.members)
            ids = {kept.member_id}
            self.assertEqual(ids, set(inputs.announcement_by_id))
        self.assertTrue(self.daemons[6].node.is_fenced)
        self.assertFalse(self.daemons[7].node.is_fenced)

    def test_unsigned_withdrawal_is_applied_and_reported(self) -> None:
        """Guards against an old approval stored again beside a withdrawal."""
        removed, kept = self.daemons[6].member, self.daemons[7].member
        unsigned = documents.Withdrawal("north", bytes(64))
        withdrawn = attrs.evolve(removed, withdrawals=(unsigned,))
        value = documents.MemberList((withdrawn, kept))
        document = fixtures.document("members/core", 1 << 20, value)
        event = control_events.DocumentsRead((document,), 1 << 20)
        node = next(
            daemon.node
            for daemon in self.daemons
            if daemon.node.reader.is_active
        )
        returned = node.handle(event, now=self.network.now)
        logged = [
            action.event.fields["member"]
            for action in returned
            if isinstance(action, actions.Emit)
            and action.event.event_id
            is events.EventId.CONTROL_WITHDRAWAL_UNVERIFIED
        ]
        self.assertEqual([f"{removed.member_id:016x}"], logged)
        self.assertNotIn(removed.member_id, node.approved)
        self.assertIn(kept.member_id, node.approved)

    def test_malformed_message_is_logged_at_a_limited_rate(self) -> None:
        peer = self.daemons[1].member.member_id
        event = control_events.PeerMessage(peer, b"\xff" * 20)
        logged = 0
        for _ in range(100):
            returned = self.node.handle(event, now=self.network.now)
            logged += sum(type(action) is actions.Emit for action in returned)
        self.assertEqual(1, logged)

    def test_rejected_document_leaves_the_older_in_force(self) -> None:
        self.network.put("rules", "not rules")
        revision = self.network.put("services/new", documents.Service("n", 3))
        self.network.run(fleet.PROPAGATION_LIMIT_SECONDS)
        for daemon in self.daemons[:6]:
            self.assertEqual(fleet.RULES, daemon.node.configuration.rules)
            self.assertEqual(revision, fleet.version_of(daemon))
            self.assertFalse(daemon.node.is_fenced)


class TestReferral(unittest.TestCase):
    """A whole fleet that starts at once must not wait for three seeds."""

    def test_whole_fleet_opens_after_a_cold_start(self) -> None:
        network, daemons = fleet.start(50, 40)
        network.run(30)
        fenced = [d.member.name for d in daemons if d.node.is_fenced]
        self.assertEqual([], fenced)

    def test_only_balancers_approved_by_all_teams_are_added(self) -> None:
        network, daemons = fleet.start(3)
        member = fixtures.balancer("b9", "east")
        approved = fixtures.signed(member)
        agent = fixtures.signed(fixtures.target("t9", "core", "east"))
        partly_approved = fixtures.signed(member, ("north",))
        stolen = attrs.evolve(approved, public_key=fixtures.public_key("x"))
        address = addresses.Address("127.0.0.1", 9)
        node = daemons[0].node
        before = set(node.uplinks.seed_by_id)
        seed = daemons[1].member.member_id
        for member_sent in (agent, partly_approved, stolen, approved):
            self.assertEqual(before, set(node.uplinks.seed_by_id))
            referral = control.Referral(
                (control.ReferredBalancer(member_sent, address),)
            )
            data = control.encode(referral)
            event = control_events.PeerMessage(seed, data)
            node.handle(event, now=network.now)
        added = set(node.uplinks.seed_by_id) - before
        self.assertEqual({approved.member_id}, added)

    def test_directory_replaces_seeds(self) -> None:
        network, daemons = fleet.start(3, 1)
        network.run(10)
        network.seeds = ()
        agent = network.start(daemons[3].member)
        network.run(5)
        self.assertTrue(agent.node.is_fenced)
        entries = tuple(
            configuration.DirectoryEntry(member, "127.0.0.1", 5)
            for member in (
                fixtures.signed(daemons[0].member, ("north",)),
                daemons[1].member,
            )
        )
        directory = configuration.Directory(entries, holder_revision=1)
        document = fixtures.document("directory/east", 7, directory)
        event = control_events.DocumentsRead((document,), 0)
        agent.node.handle(event, now=network.now)
        added = set(agent.node.uplinks.seed_by_id)
        self.assertEqual({daemons[1].member.member_id}, added)
        network.run(5)
        self.assertFalse(agent.node.is_fenced)

    def test_partial_read_gives_no_other_documents(self) -> None:
        network, daemons = fleet.start(3)
        node = daemons[0].node
        document = fixtures.document("rules", 7, fleet.RULES)
        event = control_events.DocumentsRead((document,), 0)
        node.handle(event, now=network.now)
        self.assertEqual({}, node.configuration.document_by_key)

    def test_referred_balancers_are_bounded(self) -> None:
        network, daemons = fleet.start(3)
        node = daemons[0].node
        seed = daemons[1].member.member_id
        address = addresses.Address("127.0.0.1", 9)
        for i in range(40):
            member = fixtures.signed(fixtures.balancer(f"x{i}", "east"))
            referral = control.Referral(
                (control.ReferredBalancer(member, address),)
            )
            event = control_events.PeerMessage(seed, control.encode(referral))
            node.handle(event, now=network.now)
        self.assertLess(len(node.uplinks.seed_by_id), 20)

    def test_no_seed_is_added_once_there_is_a_configuration(self) -> None:
        network, daemons = fleet.start(3)
        network.run(10)
        node = daemons[0].node
        member = fixtures.signed(fixtures.balancer("b9", "east"))
        address = addresses.Address("127.0.0.1", 9)
        referral = control.Referral(
            (control.ReferredBalancer(member, address),)
        )
        seed = daemons[1].member.member_id
        event = control_events.PeerMessage(seed, control.encode(referral))
        node.handle(event, now=network.now)
        self.assertFalse(node.uplinks.trusts(member.member_id))


class TestConnections(unittest.TestCase):
    """A lost upstream must be replaced before the view is fenced."""

    def setUp(self) -> None:
        self.network, self.daemons = fleet.start(9, 1)
        self.network.run(10)
        self.node = self.daemons[9].node

    def _handle(
        self, event: control_events.ControlEvent
    ) -> list[control_events.ControlAction]:
        return self.node.handle(event, now=self.network.now)

    def test_lost_upstream_is_replaced_at_once(self) -> None:
        before = set(self.node.uplinks.upstream_by_id)
        self.assertEqual(3, len(before))
        lost = next(iter(before))
        returned = self._handle(control_events.PeerDisconnected(lost))
        receivers = {
            action.peer
            for action in returned
            if isinstance(action, control_events.SendToPeer)
            and isinstance(control.decode(action.data), control.Digest)
        }
        self.assertEqual(set(self.node.uplinks.upstream_by_id), receivers)
        self.assertEqual(3, len(receivers))
        self.assertNotIn(lost, receivers)

    def test_silent_upstreams_are_replaced_before_fencing(self) -> None:
        lost = set(self.node.uplinks.upstream_by_id)
        self.network.is_partitioned = lambda a, b: (
            b is self.daemons[9] and a.member.member_id in lost
        )
        self.network.run(2.9)
        self.assertFalse(lost & set(self.node.uplinks.upstream_by_id))
        self.network.run(10)
        self.assertEqual(1, len(self.daemons[9].fence_changes))

    def test_connection_is_requested_until_it_is_open(self) -> None:
        peer = next(iter(self.node.uplinks.upstream_by_id))
        links = self.node.uplinks
        now = self.network.now + 10
        request = links.connection_request(peer, now=now)
        assert request is not None
        public_key = self.network.daemon_by_id[peer].member.public_key
        self.assertEqual(public_key, request.public_key)
        self.assertIsNone(links.connection_request(peer, now=now + 1))
        self.assertIsNotNone(links.connection_request(peer, now=now + 3))
        self._handle(control_events.PeerConnected(peer))
        self.assertIsNone(links.connection_request(peer, now=now + 20))
        self._handle(control_events.PeerDisconnected(peer))
        self.assertIsNotNone(links.connection_request(peer, now=now + 20))

    def _move(self, peer: identity.MemberId) -> addresses.Address:
        """Announces a new start of a balancer at another address."""
        membership = self.node.membership
        announcement = membership.announcement_by_id[peer]
        address = addresses.Address("127.0.0.2", 7)
        moved = attrs.evolve(
            announcement,
            start_number=announcement.start_number + 1,
            address=address,
        )
        self.assertTrue(membership.apply(moved))
        return address

    def test_balancer_that_moved_is_connected_to_at_once(self) -> None:
        """Guards against agents that keep sending to replaced balancers."""
        peer = next(iter(self.node.uplinks.upstream_by_id))
        links = self.node.uplinks
        now = self.network.now + 10
        self.assertIsNotNone(links.connection_request(peer, now=now))
        self._handle(control_events.PeerConnected(peer))
        address = self._move(peer)
        request = links.connection_request(peer, now=now + 0.1)
        assert request is not None
        self.assertEqual(address, request.address)
        self.assertIsNone(links.connection_request(peer, now=now + 0.2))

    def test_balancer_that_moved_is_no_longer_avoided(self) -> None:
        links = self.node.uplinks
        peer = next(iter(links.upstream_by_id))
        self._handle(control_events.PeerDisconnected(peer))
        self.assertNotIn(peer, links.upstream_by_id)
        self._move(peer)
        links.choose_upstreams((), now=self.network.now + 0.1)
        self.assertIn(peer, links.upstream_by_id)
