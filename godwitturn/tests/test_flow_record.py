"""Tests of the stored record of an agent's long flows."""

import unittest

from godwitturn.core import store_position
from godwitturn.core.transparent import agent_flows
from godwitturn.core.transparent import flow_record
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import target_watch
from godwitturn.protocol import flow_record as codec
from godwitturn.standins import transparent_simulation

LONG_FLOW = (0x0A000001, 4000, 0xC6120001, 443)
OTHER_FLOW = (0x0A000002, 4001, 0xC6120001, 443)


def heartbeat(
    target_id: str = "i-1", born: int = 1000, service: str = "core"
) -> heartbeats.Heartbeat:
    """Returns a heartbeat of a target."""
    return transparent_simulation.make_heartbeat(
        target_id=target_id, born=born, service=service
    )


def flow(
    opened_at: float, *, answered: bool = True, acknowledged: int = 5
) -> agent_flows.Flow:
    """Returns a tracked flow."""
    return agent_flows.Flow(
        "b",
        opened_at,
        opened_at,
        accepted=True,
        answered=answered,
        acknowledged=acknowledged,
    )


def recorded(acknowledged: int) -> flow_record.RecordedFlow:
    """Returns a recorded flow of data centre north."""
    return flow_record.RecordedFlow(acknowledged, "north")


class RecorderCase(unittest.TestCase):
    """A recorder that found no earlier record in the store."""

    def setUp(self) -> None:
        self.recorder = flow_record.FlowRecorder()
        self.recorder.apply_earlier(None)
        self.flow_by_id: dict[segments.FlowId, agent_flows.Flow] = {}
        self.data_centre = "north"

    def next_record(
        self,
        now: float,
        *,
        lease: int = 7,
        agents: int = 1,
        born: int = 1000,
    ) -> flow_record.FlowRecord | None:
        """Returns the record that is due, and marks it as written."""
        record = self.recorder.next_record(
            heartbeat(born=born),
            self.flow_by_id,
            lambda flow: self.data_centre,
            lease=lease,
            agents=agents,
            now=now,
        )
        if record is not None:
            self.recorder.note_written(record, lease=lease)
        return record


class TestWriting(RecorderCase):
    """Schedule and contents of written records."""

    def test_only_answered_long_flows_are_recorded(self) -> None:
        self.flow_by_id = {
            LONG_FLOW: flow(0.0),
            OTHER_FLOW: flow(9.5),
            (1, 2, 3, 4): flow(0.0, answered=False),
        }
        record = self.next_record(10.0)
        assert record is not None
        self.assertEqual({LONG_FLOW: recorded(5)}, record.flow_by_id)
        self.assertEqual(("i-1", 1000), (record.target_id, record.born))

    def test_flow_without_known_data_centre_is_left_out(self) -> None:
        self.data_centre = ""
        self.flow_by_id[LONG_FLOW] = flow(0.0)
        self.assertIsNone(self.next_record(10.0))

    def test_nothing_is_written_without_flows_or_changes(self) -> None:
        self.assertIsNone(self.next_record(0.0))
        self.flow_by_id[LONG_FLOW] = flow(0.0)
        self.assertIsNotNone(self.next_record(10.0))
        self.assertIsNone(self.next_record(20.0))

    # Guards against a record that is lost with its lease and not written
    # again until the flows change.
    def test_record_is_written_again_under_a_new_lease(self) -> None:
        self.flow_by_id[LONG_FLOW] = flow(0.0)
        self.assertIsNotNone(self.next_record(10.0))
        self.assertIsNone(self.next_record(20.0))
        self.assertIsNotNone(self.next_record(30.0, lease=8))

    def test_records_are_written_at_the_minimum_interval(self) -> None:
        self.flow_by_id[LONG_FLOW] = flow(0.0)
        self.assertIsNotNone(self.next_record(10.0))
        self.flow_by_id[OTHER_FLOW] = flow(0.0)
        interval_s = flow_record.MIN_INTERVAL_S
        self.assertIsNone(self.next_record(10.0 + interval_s - 0.1))
        self.assertIsNotNone(self.next_record(10.0 + interval_s))

    def test_writes_of_a_large_fleet_are_bounded(self) -> None:
        agents = 1000
        written = 0
        for tick in range(1000):
            now = 10.0 + 0.1 * tick
            self.flow_by_id[(tick, 1, 2, 3)] = flow(0.0)
            if self.next_record(now, agents=agents) is not None:
                written += 1
        writes_per_second = agents * written / 100.0
        self.assertLessEqual(writes_per_second, flow_record.RECORDS_PER_SECOND)

    def test_record_is_rewritten_before_clients_would_reject_resets(
        self,
    ) -> None:
        self.flow_by_id[LONG_FLOW] = flow(0.0, acknowledged=(1 << 32) - 10)
        self.assertIsNotNone(self.next_record(10.0))
        self.flow_by_id[LONG_FLOW].acknowledged = (
            flow_record.MAX_SEQUENCE_GROWTH - 10
        )
        self.assertIsNone(self.next_record(20.0))
        self.flow_by_id[LONG_FLOW].acknowledged += 1
        self.assertIsNotNone(self.next_record(30.0))

    def test_new_start_of_the_target_is_recorded(self) -> None:
        self.flow_by_id[LONG_FLOW] = flow(0.0)
        self.assertIsNotNone(self.next_record(10.0))
        self.flow_by_id.clear()
        self.assertIsNotNone(self.next_record(20.0, born=2000))

    def test_nothing_is_written_before_the_earlier_record_is_read(
        self,
    ) -> None:
        self.recorder = flow_record.FlowRecorder()
        self.flow_by_id[LONG_FLOW] = flow(0.0)
        self.assertIsNone(self.next_record(10.0))
        for _ in range(flow_record.READ_ATTEMPTS - 1):
            self.assertTrue(self.recorder.record_read_failure())
        self.assertIsNone(self.next_record(10.0))
        self.assertFalse(self.recorder.record_read_failure())
        self.assertIsNotNone(self.next_record(10.0))


class TestEarlierRecord(unittest.TestCase):
    """Use of the record that an earlier run has left."""

    def setUp(self) -> None:
        self.record = flow_record.FlowRecord(
            "core",
            "i-1",
            1000,
            {LONG_FLOW: recorded(77), OTHER_FLOW: recorded(88)},
        )
        self.recorder = flow_record.FlowRecorder()
        self.recorder.apply_earlier(self.record)
        self.target = target_watch.TargetWatch(
            "core", transparent_simulation.TARGET_ADDRESS
        )
        self.flow_by_id: dict[segments.FlowId, agent_flows.Flow] = {}

    def resets(self, newest: heartbeats.Heartbeat) -> list[messages.Reset]:
        actions = self.recorder.resets(newest, self.flow_by_id)
        return [
            action for action in actions if isinstance(action, messages.Reset)
        ]

    def adopt(self) -> int:
        return self.recorder.adopt(self.target, self.flow_by_id, now=10.0)

    def test_flows_of_an_ended_target_are_reset_once(self) -> None:
        later_start = heartbeat("i-2", 2000)
        self.assertEqual(
            [messages.Reset(LONG_FLOW, 77), messages.Reset(OTHER_FLOW, 88)],
            self.resets(later_start),
        )
        self.assertEqual([], self.resets(later_start))

    def test_flows_of_a_running_target_are_not_reset(self) -> None:
        self.assertEqual([], self.resets(heartbeat()))
        # The record is discarded: the agent itself notices later starts.
        self.assertEqual([], self.resets(heartbeat("i-2", 2000)))

    def test_late_heartbeat_of_an_earlier_start_resets_nothing(self) -> None:
        self.assertEqual([], self.resets(heartbeat("i-0", 500)))
        self.assertEqual([], self.resets(heartbeat()))

    def test_later_start_under_the_same_id_resets_flows(self) -> None:
        self.assertEqual(2, len(self.resets(heartbeat("i-1", 2000))))

    def test_flow_that_was_opened_again_is_not_reset(self) -> None:
        self.flow_by_id[LONG_FLOW] = flow(0.0)
        self.assertEqual(
            [messages.Reset(OTHER_FLOW, 88)],
            self.resets(heartbeat("i-2", 2000)),
        )
        self.assertEqual([LONG_FLOW], list(self.flow_by_id))

    def test_record_of_another_service_is_ignored(self) -> None:
        self.target.service = "cards"
        self.assertEqual(0, self.adopt())
        self.assertEqual([], self.resets(heartbeat("i-2", 2000, "cards")))

    def test_flows_are_adopted_before_the_first_heartbeat(self) -> None:
        self.assertEqual(2, self.adopt())
        self.assertTrue(self.flow_by_id[LONG_FLOW].accepted)
        self.assertEqual(
            "north", self.flow_by_id[LONG_FLOW].recorded_data_centre
        )
        self.assertEqual([], self.resets(heartbeat()))
        self.assertEqual(2, len(self.flow_by_id))

    def test_adopted_flows_of_an_ended_target_are_reset(self) -> None:
        self.adopt()
        self.assertEqual(2, len(self.resets(heartbeat("i-2", 2000))))
        self.assertEqual({}, self.flow_by_id)

    def test_no_flows_are_adopted_if_all_are_tracked(self) -> None:
        self.target.update(heartbeat("i-2", 2000), now=0.0)
        self.assertTrue(self.target.tracks_all_flows)
        self.assertEqual(0, self.adopt())


class TestAgentWithEarlierRecord(unittest.TestCase):
    """An agent that starts beside a running target."""

    def setUp(self) -> None:
        self.agent = transparent_simulation.make_agent()
        self.record = flow_record.FlowRecord(
            "core", "i-1", 1000, {LONG_FLOW: recorded(77)}
        )

    def hello(self, balancer: str, data_centre: str) -> list[messages.Action]:
        return self.agent.handle_hello(
            balancer,
            messages.Hello(
                store_position.StorePosition(0, 1),
                False,
                0.0,
                True,
                data_centre,
                1,
                True,
            ),
            now=1.0,
        )

    def test_balancers_of_the_data_centre_are_notified(self) -> None:
        self.hello("10.0.0.1", "north")
        self.hello("10.0.0.2", "south")
        actions = self.agent.apply_earlier_record(self.record, now=1.0)
        listed = messages.FlowsListed((LONG_FLOW,))
        self.assertIn(messages.Send("10.0.0.1", listed), actions)
        self.assertNotIn(messages.Send("10.0.0.2", listed), actions)
        # Later balancers get the list in reply to their first hello.
        self.assertIn(
            messages.Send("10.0.0.3", listed), self.hello("10.0.0.3", "north")
        )

    def test_flows_recorded_before_a_later_start_are_reset(self) -> None:
        later_start = transparent_simulation.make_heartbeat(
            3, target_id="i-2", born=2000
        )
        self.agent.handle_heartbeat(later_start, now=0.5)
        actions = self.agent.apply_earlier_record(self.record, now=1.0)
        self.assertIn(messages.Reset(LONG_FLOW, 77), actions)
        self.assertEqual({}, self.agent.flows.flow_by_id)


class TestFormat(unittest.TestCase):
    """The stored form."""

    def test_decoding_returns_the_encoded_record(self) -> None:
        record = flow_record.FlowRecord(
            "core",
            "i-1",
            1000,
            {
                LONG_FLOW: recorded(77),
                OTHER_FLOW: flow_record.RecordedFlow((1 << 32) - 1, "south"),
            },
        )
        self.assertEqual(record, codec.decode(codec.encode(record)))

    def test_malformed_values_are_rejected(self) -> None:
        for data in (
            b"",
            b"[]\n",
            b'["a","b",1,["n"]]\nabc',
            b'["a","b",1,[]]\n' + bytes(17),
            b"\xff\n",
            b"{}",
        ):
            self.assertIsNone(codec.decode(data), data)
