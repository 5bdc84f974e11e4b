"""Tests of a balancer's graceful stop, and of its peers."""

import unittest

from godwitturn.core import store_position
from godwitturn.core.transparent import graceful_stop
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import peers
from godwitturn.core.transparent import targets


class TestGracefulStop(unittest.TestCase):
    """When a stopping balancer may exit."""

    def setUp(self) -> None:
        self.stop = graceful_stop.GracefulStop(deadline_at=10.0)

    def test_two_failed_probes_are_needed(self) -> None:
        self.assertFalse(self.stop.may_exit(half_ready=True, now=0.0))
        self.stop.record_failed_probe(now=0.3)
        self.assertFalse(self.stop.may_exit(half_ready=True, now=0.7))
        self.stop.record_failed_probe(now=0.8)
        self.assertFalse(self.stop.may_exit(half_ready=True, now=0.8))
        self.assertTrue(self.stop.may_exit(half_ready=True, now=0.95))

    def test_waits_for_half_of_the_data_centre_until_the_deadline(
        self,
    ) -> None:
        self.stop.record_failed_probe(now=0.3)
        self.stop.record_failed_probe(now=0.8)
        self.assertFalse(self.stop.may_exit(half_ready=False, now=9.9))
        self.assertTrue(self.stop.may_exit(half_ready=False, now=10.0))


class TestPeers(unittest.TestCase):
    """A balancer's view of its peers."""

    def setUp(self) -> None:
        self.peers = peers.PeerTable("b0", frozenset({"seed"}))

    def receive_status(
        self, address: str, *, ready: bool, now: float = 0.0
    ) -> None:
        """Applies a status of a balancer in data centre a."""
        status = messages.PeerStatus(store_position.UNREAD, (), "a", ready, ())
        self.peers.handle_status(address, status, now=now)

    def test_half_includes_the_balancer_itself(self) -> None:
        self.assertTrue(self.peers.half_ready("a", now=0.0))
        self.receive_status("b1", ready=False)
        self.assertFalse(self.peers.half_ready("a", now=0.0))
        self.receive_status("b1", ready=True)
        self.assertTrue(self.peers.half_ready("a", now=0.0))
        self.receive_status("b2", ready=False)
        self.assertFalse(self.peers.half_ready("a", now=0.0))

    def test_outdated_status_does_not_count(self) -> None:
        self.receive_status("b1", ready=True)
        self.assertFalse(self.peers.half_ready("a", now=1.5))

    def test_relay_reaches_the_agent_from_a_third_data_centre(self) -> None:
        for address, data_centre, silent in (
            ("b1", "a", ()),
            ("b2", "b", ()),
            ("b5", "c", ()),
            ("b3", "c", ("agent",)),
            ("b4", "d", ()),
        ):
            agents = () if address == "b5" else ("agent",)
            status = messages.PeerStatus(
                store_position.UNREAD, agents, data_centre, True, silent
            )
            self.peers.handle_status(address, status, now=0.0)
        excluded = frozenset({"a", "b"})

        def find_relay(now: float) -> str | None:
            return self.peers.find_relay("agent", excluded, now=now)

        self.assertEqual("b4", find_relay(0.5))
        self.assertIsNone(find_relay(2.0))

    def test_own_address_is_not_added(self) -> None:
        self.peers.add("b0", now=0.0)
        self.receive_status("b0", ready=True)
        self.assertEqual({}, self.peers.peer_by_address)

    def test_silent_peers_except_seeds_are_removed(self) -> None:
        self.peers.add("seed", now=0.0)
        self.peers.add("b1", now=0.0)
        self.peers.statuses(
            targets.TargetTable(),
            position=store_position.UNREAD,
            data_centre="a",
            ready=True,
            now=6.0,
        )
        self.assertEqual(["seed"], list(self.peers.peer_by_address))
