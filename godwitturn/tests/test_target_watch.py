"""Tests of an agent's view of its target."""

import unittest

from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import target_watch

Verdict = target_watch.Verdict
State = messages.TargetState
ADDRESS = ("10.1.1.1", 8165)


def heartbeat(
    sequence: int,
    *,
    target_id: str = "i-1",
    born: int = 1000,
    service: str = "core",
    draining: bool = False,
    cold_ms: int = 0,
    slots: int = 1,
    address: tuple[str, int] = ADDRESS,
) -> heartbeats.Heartbeat:
    """Returns a heartbeat."""
    return heartbeats.Heartbeat(
        target_id, born, sequence, service, draining, slots, cold_ms, address
    )


class WatchCase(unittest.TestCase):
    """A target after its first heartbeat, which says that it is ready."""

    def setUp(self) -> None:
        self.watch = target_watch.TargetWatch("core", ADDRESS)
        self.watch.update(heartbeat(1), now=0.0)


class TestHeartbeats(WatchCase):
    """Which heartbeats are applied."""

    def test_only_newer_heartbeats_of_a_start_are_applied(self) -> None:
        self.assertIs(
            Verdict.UNCHANGED, self.watch.update(heartbeat(2), now=1.0)
        )
        self.assertIs(
            Verdict.CHANGED,
            self.watch.update(heartbeat(3, draining=True), now=2.0),
        )
        self.assertIs(Verdict.LATE, self.watch.update(heartbeat(2), now=2.1))
        self.assertEqual(State.DRAINING, self.watch.state)

    def test_heartbeat_of_another_service_is_ignored(self) -> None:
        self.assertIs(
            Verdict.OTHER_SERVICE,
            self.watch.update(heartbeat(2, service="desk"), now=1.0),
        )

    # Guards against a target of another VM that replaces the agent's own one.
    def test_heartbeat_of_another_address_is_ignored(self) -> None:
        for address in (("10.1.1.2", 8165), ("10.1.1.1", 8166)):
            with self.subTest(address):
                other = heartbeat(
                    1, target_id="i-2", born=2000, address=address
                )
                self.assertIs(
                    Verdict.OTHER_ADDRESS, self.watch.update(other, now=1.0)
                )
                self.assertEqual("i-1/1000", self.watch.incarnation)

    def test_later_start_under_the_same_id_is_a_restart(self) -> None:
        self.assertIs(
            Verdict.RESTARTED,
            self.watch.update(heartbeat(1, born=2000), now=1.0),
        )
        self.assertTrue(self.watch.tracks_all_flows)

    def test_late_heartbeat_of_an_earlier_start_is_ignored(self) -> None:
        self.watch.update(heartbeat(1, target_id="i-2", born=2000), now=1.0)
        self.assertIs(
            Verdict.EARLIER_START,
            self.watch.update(heartbeat(9, draining=True), now=1.1),
        )
        self.assertEqual("i-2/2000", self.watch.incarnation)

    def test_successor_with_an_earlier_clock_is_accepted_after_silence(
        self,
    ) -> None:
        def successor(sequence: int) -> heartbeats.Heartbeat:
            return heartbeat(sequence, target_id="i-2", born=500)

        self.assertIs(
            Verdict.EARLIER_START,
            self.watch.update(successor(1), now=1.0),
        )
        self.assertIs(
            Verdict.RESTARTED,
            self.watch.update(successor(3), now=3.0),
        )

    def test_successor_of_an_ended_target_is_accepted_at_once(self) -> None:
        self.watch.mark_down()
        self.assertIs(
            Verdict.RESTARTED,
            self.watch.update(
                heartbeat(1, target_id="i-2", born=500), now=0.5
            ),
        )

    def test_agent_that_started_later_does_not_track_all_flows(self) -> None:
        watch = target_watch.TargetWatch("core", ADDRESS)
        watch.update(heartbeat(7), now=0.0)
        self.assertFalse(watch.tracks_all_flows)
        self.assertTrue(self.watch.tracks_all_flows)


class TestCold(WatchCase):
    """How long the target stays cold."""

    def test_cold_time_shrinks_between_heartbeats(self) -> None:
        self.watch.update(heartbeat(2, cold_ms=1500), now=1.0)
        self.assertEqual(500, self.watch.cold_ms(2.0))
        self.assertEqual(0, self.watch.cold_ms(3.0))

    # Guards against openings that waited for a cold target and are delivered
    # just before it is warm: with those of the last second, they exceed the
    # limit.
    def test_target_counts_as_cold_for_all_of_the_stated_time(self) -> None:
        self.watch.update(heartbeat(2, cold_ms=1500), now=1.0)
        for now in (1.0, 2.4996, 2.4999, 2.5009):
            with self.subTest(now):
                self.assertTrue(self.watch.is_cold(now))
        self.assertFalse(self.watch.is_cold(3.0))

    # A target without a whole millisecond left states 0.
    def test_heartbeat_without_cold_time_does_not_shorten_it(self) -> None:
        self.watch.update(heartbeat(2, cold_ms=1500), now=1.0)
        self.watch.update(heartbeat(3), now=2.4998)
        self.assertTrue(self.watch.is_cold(2.4999))
        self.assertFalse(self.watch.is_cold(3.0))

    def test_restarted_target_is_as_cold_as_it_states(self) -> None:
        self.watch.update(heartbeat(2, cold_ms=1500), now=1.0)
        self.watch.update(heartbeat(1, born=2000), now=1.2)
        self.assertFalse(self.watch.is_cold(1.2))

    def test_unknown_target_counts_as_cold(self) -> None:
        self.assertGreater(
            target_watch.TargetWatch("core", ADDRESS).cold_ms(9.0), 0
        )


class TestSlots(WatchCase):
    """How many requests the target can run at the same time."""

    # Guards against an agent that crashes on a division by the slots.
    def test_target_without_slots_counts_as_having_one(self) -> None:
        self.watch.update(heartbeat(2, slots=0), now=1.0)
        self.assertEqual(1, self.watch.slots)


class TestEnd(WatchCase):
    """Departure and end of the target."""

    def test_departing_target_is_draining_and_not_down(self) -> None:
        self.assertTrue(self.watch.handle_departure("i-1"))
        self.assertEqual(State.DRAINING, self.watch.state)
        self.assertFalse(self.watch.is_down)
        self.assertTrue(self.watch.probe_due(now=0.2))

    def test_heartbeat_after_a_departure_makes_the_target_ready(self) -> None:
        self.watch.handle_departure("i-1")
        self.watch.update(heartbeat(2), now=0.5)
        self.assertEqual(State.READY, self.watch.state)
        self.assertFalse(self.watch.departed)

    def test_departure_of_another_target_is_ignored(self) -> None:
        self.assertFalse(self.watch.handle_departure("i-9"))
        self.assertEqual(State.READY, self.watch.state)

    def test_end_is_reported_once(self) -> None:
        self.assertTrue(self.watch.mark_down())
        self.assertFalse(self.watch.mark_down())
        self.assertFalse(self.watch.handle_departure("i-1"))


class TestProbe(WatchCase):
    """When to check if the target still listens."""

    def test_unanswered_packets_make_a_probe_due(self) -> None:
        self.assertFalse(self.watch.probe_due(now=5.0))
        self.watch.record_delivery(now=5.0)
        self.assertFalse(self.watch.probe_due(now=5.1))
        self.assertTrue(self.watch.probe_due(now=5.4))
        self.assertFalse(self.watch.probe_due(now=5.5))
        self.assertTrue(self.watch.probe_due(now=6.5))

    def test_any_packet_of_the_target_cancels_the_probe(self) -> None:
        self.watch.record_delivery(now=5.0)
        self.watch.record_packet()
        self.assertFalse(self.watch.probe_due(now=6.0))
