"""Tests of a balancer's graceful stop, and of the other balancers."""

import unittest

from godwitturn.core.transparent import graceful_stop
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import peers
from godwitturn.core.transparent import targets


class TestGracefulStop(unittest.TestCase):
    """When a stopping balancer may end."""

    def setUp(self) -> None:
        self.stop = graceful_stop.GracefulStop(deadline_at=10.0)

    def test_routers_have_to_ask_twice(self) -> None:
        self.assertFalse(self.stop.may_exit(half_ready=True, now=0.0))
        self.stop.record_failed_probe(now=0.3)
        self.assertFalse(self.stop.may_exit(half_ready=True, now=0.7))
        self.stop.record_failed_probe(now=0.8)
        self.assertFalse(self.stop.may_exit(half_ready=True, now=0.8))
        self.assertTrue(self.stop.may_exit(half_ready=True, now=0.95))

    def test_waits_for_the_data_centre_until_its_time_is_over(self) -> None:
        self.stop.record_failed_probe(now=0.3)
        self.stop.record_failed_probe(now=0.8)
        self.assertFalse(self.stop.may_exit(half_ready=False, now=9.9))
        self.assertTrue(self.stop.may_exit(half_ready=False, now=10.0))


class TestPeers(unittest.TestCase):
    """What a balancer knows of the others."""

    def setUp(self) -> None:
        self.peers = peers.PeerTable("b0", frozenset({"seed"}))

    def hear(self, address: str, *, ready: bool, now: float = 0.0) -> None:
        """Takes a status of a balancer of data centre a."""
        status = messages.PeerStatus(0, (), "a", ready, ())
        self.peers.handle_status(address, status, now=now)

    def test_half_of_the_data_centre(self) -> None:
        self.assertTrue(self.peers.half_ready("a", now=0.0))
        self.hear("b1", ready=False)
        self.assertFalse(self.peers.half_ready("a", now=0.0))
        self.hear("b1", ready=True)
        self.assertTrue(self.peers.half_ready("a", now=0.0))
        self.hear("b2", ready=False)
        self.assertFalse(self.peers.half_ready("a", now=0.0))

    def test_word_of_a_silent_balancer_does_not_count(self) -> None:
        self.hear("b1", ready=True)
        self.assertFalse(self.peers.half_ready("a", now=1.5))

    def test_relay_is_in_a_third_data_centre_and_hears_the_agent(self) -> None:
        for address, data_centre, silent in (
            ("b1", "a", ()),
            ("b2", "b", ()),
            ("b5", "c", ()),
            ("b3", "c", ("agent",)),
            ("b4", "d", ()),
        ):
            agents = () if address == "b5" else ("agent",)
            status = messages.PeerStatus(0, agents, data_centre, True, silent)
            self.peers.handle_status(address, status, now=0.0)
        without = frozenset({"a", "b"})

        def relay(now: float) -> str | None:
            return self.peers.find_relay("agent", without, now=now)

        self.assertEqual("b4", relay(0.5))
        self.assertIsNone(relay(2.0))

    def test_own_address_is_no_peer(self) -> None:
        self.peers.add("b0", now=0.0)
        self.hear("b0", ready=True)
        self.assertEqual({}, self.peers.peer_by_address)

    def test_silent_peers_are_forgotten_but_for_seeds(self) -> None:
        self.peers.add("seed", now=0.0)
        self.peers.add("b1", now=0.0)
        self.peers.statuses(
            targets.TargetTable(),
            revision=0,
            data_centre="a",
            ready=True,
            now=6.0,
        )
        self.assertEqual(["seed"], list(self.peers.peer_by_address))
