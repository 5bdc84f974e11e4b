"""Tests of an agent's table of flows."""

import unittest

from godwitturn.core.transparent import agent_flows
from godwitturn.core.transparent import segments
from godwitturn.standins import transparent_simulation

FLOW_ID = (0x64400001, 1000, 0xC6120001, 443)
# Time after its request at which a client in these tests gives up.
CLIENT_TIMEOUT_S = 1.6


def _segment(flags: int, data: bytes = b"") -> segments.Segment:
    packet = transparent_simulation.packet(FLOW_ID, flags, data=data)
    return transparent_simulation.client_segment(packet)


REQUEST = _segment(transparent_simulation.ACK, b"request")
FIN = _segment(transparent_simulation.FIN | transparent_simulation.ACK)


class TestGivenUp(unittest.TestCase):
    """Reports of clients that leave without an answer."""

    def setUp(self) -> None:
        self.table = agent_flows.FlowTable()
        self.flow = agent_flows.Flow("10.0.0.1", 0.0, 0.0, accepted=True)
        self.table.flow_by_id[FLOW_ID] = self.flow

    def send(self, segment: segments.Segment, *, now: float) -> None:
        self.flow.handle_client_packet(segment, "10.0.0.1", now=now)

    def given_up(self, *, now: float) -> list[segments.FlowId]:
        return self.table.pop_given_up(now=now)

    def test_client_that_leaves_after_its_timeout_is_reported(self) -> None:
        self.send(REQUEST, now=0.0)
        self.send(FIN, now=CLIENT_TIMEOUT_S)
        self.assertEqual([], self.given_up(now=CLIENT_TIMEOUT_S))
        later = CLIENT_TIMEOUT_S + agent_flows.GIVE_UP_THRESHOLD_S + 0.1
        self.assertEqual([FLOW_ID], self.given_up(now=later))

    def test_repeated_end_is_reported_once(self) -> None:
        self.send(REQUEST, now=0.0)
        for number in range(4):
            self.send(FIN, now=CLIENT_TIMEOUT_S + number)
            self.given_up(now=CLIENT_TIMEOUT_S + number + 0.9)
        self.assertEqual([], self.given_up(now=CLIENT_TIMEOUT_S + 10))

    def test_client_that_ends_right_after_its_request_is_not_reported(
        self,
    ) -> None:
        self.send(REQUEST, now=0.0)
        self.send(FIN, now=0.01)
        self.assertEqual([], self.given_up(now=10.0))

    def test_client_that_ends_after_an_answered_upload_is_not_reported(
        self,
    ) -> None:
        for number in range(20):
            self.send(REQUEST, now=0.1 * number)
        self.send(FIN, now=2.0)
        self.flow.awaiting_answer = False  # as after the target's answer
        self.assertEqual([], self.given_up(now=3.0))

    def test_client_that_stays_is_not_reported(self) -> None:
        self.send(REQUEST, now=0.0)
        self.assertEqual([], self.given_up(now=10.0))


class TestAbortedByReset(unittest.TestCase):
    """Resets by the target that abort a request."""

    def setUp(self) -> None:
        self.flow = agent_flows.Flow("10.0.0.1", 0.0, 0.0, accepted=True)

    def send(self, segment: segments.Segment, *, now: float) -> None:
        self.flow.handle_client_packet(segment, "10.0.0.1", now=now)

    def test_reset_aborts_an_unanswered_request(self) -> None:
        self.send(REQUEST, now=0.0)
        self.assertTrue(self.flow.aborted_by_reset(0.01))

    def test_reset_of_an_idle_flow_aborts_nothing(self) -> None:
        self.assertFalse(self.flow.aborted_by_reset(1.0))

    def test_data_after_the_target_ended_aborts_nothing(self) -> None:
        self.flow.target_ended = True
        self.send(REQUEST, now=0.0)
        self.assertFalse(self.flow.aborted_by_reset(0.01))

    def test_data_after_the_client_ended_aborts_nothing(self) -> None:
        self.send(FIN, now=0.0)
        self.send(REQUEST, now=0.01)
        self.assertFalse(self.flow.aborted_by_reset(0.02))

    def test_reset_after_a_long_wait_aborts_a_request(self) -> None:
        self.send(REQUEST, now=0.0)
        self.send(FIN, now=CLIENT_TIMEOUT_S)
        self.assertTrue(self.flow.aborted_by_reset(CLIENT_TIMEOUT_S + 0.01))
