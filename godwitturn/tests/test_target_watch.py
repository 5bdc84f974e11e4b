"""Tests of what an agent knows of its target."""

import unittest

from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import target_watch

Verdict = target_watch.Verdict
State = messages.TargetState


def beat(
    sequence: int,
    *,
    target_id: str = "i-1",
    born: int = 1000,
    service: str = "core",
    draining: bool = False,
    cold_ms: int = 0,
) -> heartbeats.Heartbeat:
    """Returns a heartbeat."""
    return heartbeats.Heartbeat(
        target_id, born, sequence, service, draining, 1, cold_ms
    )


class WatchCase(unittest.TestCase):
    """A target that has said once that it is ready."""

    def setUp(self) -> None:
        self.watch = target_watch.TargetWatch("core")
        self.watch.update(beat(1), now=0.0)


class TestHeartbeats(WatchCase):
    """Which heartbeat counts."""

    def test_newer_ones_of_the_same_start(self) -> None:
        self.assertIs(Verdict.UNCHANGED, self.watch.update(beat(2), now=1.0))
        self.assertIs(
            Verdict.CHANGED, self.watch.update(beat(3, draining=True), now=2.0)
        )
        self.assertIs(Verdict.LATE, self.watch.update(beat(2), now=2.1))
        self.assertEqual(State.DRAINING, self.watch.state)

    def test_other_service(self) -> None:
        self.assertIs(
            Verdict.OTHER_SERVICE,
            self.watch.update(beat(2, service="desk"), now=1.0),
        )

    def test_restart_under_the_same_id(self) -> None:
        self.assertIs(
            Verdict.RESTARTED, self.watch.update(beat(1, born=2000), now=1.0)
        )
        self.assertTrue(self.watch.tracks_all_flows)

    def test_late_one_of_an_earlier_start(self) -> None:
        self.watch.update(beat(1, target_id="i-2", born=2000), now=1.0)
        self.assertIs(
            Verdict.EARLIER_START,
            self.watch.update(beat(9, draining=True), now=1.1),
        )
        self.assertEqual("i-2/2000", self.watch.incarnation)

    def test_successor_whose_clock_is_behind(self) -> None:
        def successor(sequence: int) -> heartbeats.Heartbeat:
            return beat(sequence, target_id="i-2", born=500)

        self.assertIs(
            Verdict.EARLIER_START,
            self.watch.update(successor(1), now=1.0),
        )
        self.assertIs(
            Verdict.RESTARTED,
            self.watch.update(successor(3), now=3.0),
        )

    def test_successor_of_a_target_that_has_ended(self) -> None:
        self.watch.mark_down()
        self.assertIs(
            Verdict.RESTARTED,
            self.watch.update(beat(1, target_id="i-2", born=500), now=0.5),
        )

    def test_agent_that_started_later_knows_no_flows(self) -> None:
        watch = target_watch.TargetWatch("core")
        watch.update(beat(7), now=0.0)
        self.assertFalse(watch.tracks_all_flows)
        self.assertTrue(self.watch.tracks_all_flows)


class TestCold(WatchCase):
    """Coldness."""

    def test_time_passes_between_heartbeats(self) -> None:
        self.watch.update(beat(2, cold_ms=1500), now=1.0)
        self.assertEqual(500, self.watch.cold_ms(2.0))
        self.assertEqual(0, self.watch.cold_ms(3.0))

    def test_unknown_target_counts_as_cold(self) -> None:
        self.assertGreater(target_watch.TargetWatch("core").cold_ms(9.0), 0)


class TestEnd(WatchCase):
    """Departure and end."""

    def test_departing_target_gets_nothing_new_but_has_not_ended(self) -> None:
        self.assertTrue(self.watch.handle_departure("i-1"))
        self.assertEqual(State.DRAINING, self.watch.state)
        self.assertFalse(self.watch.is_down)
        self.assertTrue(self.watch.probe_due(now=0.2))

    def test_late_departure_of_an_earlier_start(self) -> None:
        self.watch.handle_departure("i-1")
        self.watch.update(beat(2), now=0.5)
        self.assertEqual(State.READY, self.watch.state)
        self.assertFalse(self.watch.departed)

    def test_departure_of_another_target(self) -> None:
        self.assertFalse(self.watch.handle_departure("i-9"))
        self.assertEqual(State.READY, self.watch.state)

    def test_end_is_news_once(self) -> None:
        self.assertTrue(self.watch.mark_down())
        self.assertFalse(self.watch.mark_down())
        self.assertFalse(self.watch.handle_departure("i-1"))


class TestProbe(WatchCase):
    """When to find out if the target still listens."""

    def test_packets_without_answer(self) -> None:
        self.assertFalse(self.watch.probe_due(now=5.0))
        self.watch.record_delivery(now=5.0)
        self.assertFalse(self.watch.probe_due(now=5.1))
        self.assertTrue(self.watch.probe_due(now=5.4))
        self.assertFalse(self.watch.probe_due(now=5.5))
        self.assertTrue(self.watch.probe_due(now=6.5))

    def test_any_packet_of_the_target_is_a_sign_of_life(self) -> None:
        self.watch.record_delivery(now=5.0)
        self.watch.record_packet()
        self.assertFalse(self.watch.probe_due(now=6.0))
