"""Tests of openings queued while a target has enough work."""

import heapq
import itertools
import unittest
from unittest import mock

from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import work_limit
from godwitturn.platform import packets
from godwitturn.standins import transparent_simulation

SLOTS = 2
QUEUE = 8
SERVICE_S = 0.02
CLIENT_DELAY_S = 0.004
BALANCER = "10.0.0.1"


def flow_of(number: int) -> segments.FlowId:
    """Returns the flow id of a client, by the client's number."""
    return (
        0x0A000000 + number,
        4000,
        transparent_simulation.ROUTE_ADDRESS,
        transparent_simulation.ROUTE_PORT,
    )


class TestWorkLimit(unittest.TestCase):
    """What counts as a target's work."""

    def setUp(self) -> None:
        self.limit = work_limit.WorkLimit()

    def capacity(self, now: float) -> int:
        return self.limit.capacity(slots=1, now=now)

    def test_opening_and_its_request_count_once(self) -> None:
        self.limit.record_opening(flow_of(1), now=0.0)
        self.assertEqual(work_limit.WORK_PER_SLOT - 1, self.capacity(0.0))
        self.limit.start_request(flow_of(1), now=0.01)
        self.assertEqual(work_limit.WORK_PER_SLOT - 1, self.capacity(0.01))
        self.limit.finish(flow_of(1))
        self.assertEqual(work_limit.WORK_PER_SLOT, self.capacity(0.02))

    def test_capacity_is_never_negative(self) -> None:
        for number in range(20):
            self.limit.start_request(flow_of(number), now=0.0)
        self.assertEqual(0, self.capacity(0.0))

    def test_openings_without_request_stop_counting(self) -> None:
        for number in range(20):
            self.limit.record_opening(flow_of(number), now=0.0)
        self.assertEqual(0, self.capacity(0.0))
        self.assertEqual(
            work_limit.WORK_PER_SLOT,
            self.capacity(work_limit.MAX_OPENING_AGE_S),
        )

    def test_requests_without_answer_stop_counting(self) -> None:
        for number in range(20):
            self.limit.start_request(flow_of(number), now=0.0)
        self.assertEqual(
            work_limit.WORK_PER_SLOT,
            self.capacity(work_limit.MAX_REQUEST_AGE_S),
        )

    def test_ended_target_has_no_work(self) -> None:
        self.limit.record_opening(flow_of(1), now=0.0)
        self.limit.start_request(flow_of(2), now=0.0)
        self.limit.clear()
        self.assertEqual(work_limit.WORK_PER_SLOT, self.capacity(0.0))


class MassReconnect:
    """Clients that all open a flow to one target at the same moment.

    The target queues a few requests and sheds the rest, as those of the
    platform do.

    Attributes:
        served: Number of requests that were run.
        shed: Number of requests that the target refused.
        delivered_after: Seconds from each opening to its delivery.
    """

    def __init__(self, clients: int, *, silent: int = 0) -> None:
        self.served = 0
        self.shed = 0
        self.delivered_after: list[float] = []
        self._silent = {flow_of(number) for number in range(silent)}
        self._now = 0.0
        self._events: list[tuple[float, int, bool, segments.FlowId]] = []
        self._numbers = itertools.count()
        self._work = 0
        self._free_at = [0.0] * SLOTS
        self._agent = transparent_simulation.make_agent()
        heartbeat = heartbeats.Heartbeat("i-1", 1, 1, "core", False, SLOTS, 0)
        self._agent.handle_heartbeat(heartbeat, now=0.0)
        for number in range(clients):
            self._forward(flow_of(number), transparent_simulation.SYN)

    def _forward(
        self, flow_id: segments.FlowId, flags: int, data: bytes = b""
    ) -> None:
        packet = transparent_simulation.packet(flow_id, flags, data=data)
        segment = transparent_simulation.client_segment(packet)
        self._perform(
            self._agent.handle_forward(
                BALANCER,
                messages.Forward("core", False, packet),
                segment,
                now=self._now,
            )
        )

    def _perform(self, actions: list[messages.Action]) -> None:
        for action in actions:
            if not isinstance(action, messages.Deliver):
                continue
            segment = transparent_simulation.client_segment(action.data)
            if segment.opening:
                self.delivered_after.append(self._now)
                if segment.flow_id not in self._silent:
                    self._schedule(CLIENT_DELAY_S, True, segment.flow_id)
            elif self._work >= SLOTS + QUEUE:
                self.shed += 1
                self._schedule(0.0, False, segment.flow_id)
            else:
                self._work += 1
                self._run(segment.flow_id)

    def _run(self, flow_id: segments.FlowId) -> None:
        slot = min(range(SLOTS), key=lambda number: self._free_at[number])
        ends_at = max(self._now, self._free_at[slot]) + SERVICE_S
        self._free_at[slot] = ends_at
        self.served += 1
        self._schedule(ends_at - self._now, False, flow_id, ends=True)

    def _schedule(
        self,
        delay_s: float,
        request: bool,
        flow_id: segments.FlowId,
        *,
        ends: bool = False,
    ) -> None:
        number = 2 * next(self._numbers) + ends
        heapq.heappush(
            self._events, (self._now + delay_s, number, request, flow_id)
        )

    def run(self) -> None:
        """Simulates one second."""
        for tick in range(1, round(1.0 / agents.TICK_S) + 1):
            while self._events and self._events[0][0] < tick * agents.TICK_S:
                self._now, number, request, flow_id = heapq.heappop(
                    self._events
                )
                if request:
                    self._forward(
                        flow_id, transparent_simulation.ACK, b"request"
                    )
                    continue
                self._work -= number % 2
                answer = transparent_simulation.packet(
                    flow_id,
                    transparent_simulation.ACK,
                    data=b"answer",
                    from_target=True,
                )
                segment = packets.decode(answer, from_target=True)
                assert segment is not None
                self._perform(
                    self._agent.handle_target_packet(segment, now=self._now)
                )
            self._now = tick * agents.TICK_S
            self._perform(self._agent.tick(now=self._now))


class TestClientsReturnAtOnce(unittest.TestCase):
    """Clients that all return at once after an outage."""

    def test_queueing_keeps_the_target_from_shedding(self) -> None:
        in_time = int(work_limit.MAX_WAIT_S / SERVICE_S) * SLOTS
        clients = in_time + SLOTS * work_limit.WORK_PER_SLOT - SLOTS
        paced = MassReconnect(clients)
        paced.run()
        self.assertEqual((clients, 0), (paced.served, paced.shed))
        with mock.patch.object(work_limit, "WORK_PER_SLOT", 1000):
            unpaced = MassReconnect(clients)
            unpaced.run()
        self.assertEqual(clients - SLOTS - QUEUE, unpaced.shed)

    def test_no_opening_is_refused_or_queued_for_long(self) -> None:
        reconnect = MassReconnect(200)
        reconnect.run()
        self.assertEqual(200, len(reconnect.delivered_after))
        limit_s = work_limit.MAX_WAIT_S + 2 * agents.TICK_S
        self.assertLessEqual(max(reconnect.delivered_after), limit_s)

    def test_openings_without_requests_do_not_block_others(self) -> None:
        reconnect = MassReconnect(60, silent=40)
        reconnect.run()
        self.assertEqual(60, len(reconnect.delivered_after))
        self.assertEqual(20, reconnect.served + reconnect.shed)

    def test_few_openings_are_not_queued(self) -> None:
        reconnect = MassReconnect(SLOTS * work_limit.WORK_PER_SLOT)
        self.assertEqual({0.0}, set(reconnect.delivered_after))
