"""Tests of the limit of work at a target, beyond which openings are queued."""

import heapq
import itertools
import unittest
from unittest import mock

from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import segments
from godwitturn.core.transparent import work_limit
from godwitturn.platform import packets
from godwitturn.standins import transparent_simulation

SLOTS = 2
MAX_QUEUED_REQUESTS = 8
REQUEST_DURATION_S = 0.02
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
    """Openings and requests count as work until they end or are too old."""

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
    """Simulation of clients that open flows to one target at the same time.

    The target queues a few requests and sheds the rest, like those of the
    platform.

    Attributes:
        served: Number of requests that were run.
        shed: Number of requests that the target refused.
        delivered_after: Seconds from each opening to its delivery.
    """

    def __init__(self, clients: int, *, silent: int = 0) -> None:
        """Forwards the openings of all clients to the agent at time 0.

        Args:
            clients: Number of clients.
            silent: Number of clients that send no request.
        """
        self.served = 0
        self.shed = 0
        self.delivered_after: list[float] = []
        self._silent_flow_ids = {flow_of(number) for number in range(silent)}
        self._now = 0.0
        self._events: list[tuple[float, int, bool, segments.FlowId]] = []
        self._sequence_numbers = itertools.count()
        self._unanswered_count = 0
        self._slot_free_at = [0.0] * SLOTS
        self._agent = transparent_simulation.make_agent()
        heartbeat = transparent_simulation.make_heartbeat(slots=SLOTS)
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
                if segment.flow_id not in self._silent_flow_ids:
                    self._schedule(CLIENT_DELAY_S, True, segment.flow_id)
            elif self._unanswered_count >= SLOTS + MAX_QUEUED_REQUESTS:
                self.shed += 1
                self._schedule(0.0, False, segment.flow_id)
            else:
                self._unanswered_count += 1
                self._run(segment.flow_id)

    def _run(self, flow_id: segments.FlowId) -> None:
        slot = min(range(SLOTS), key=lambda number: self._slot_free_at[number])
        end_at = max(self._now, self._slot_free_at[slot]) + REQUEST_DURATION_S
        self._slot_free_at[slot] = end_at
        self.served += 1
        self._schedule(end_at - self._now, False, flow_id, ends_request=True)

    def _schedule(
        self,
        delay_s: float,
        is_request: bool,
        flow_id: segments.FlowId,
        *,
        ends_request: bool = False,
    ) -> None:
        # An odd number marks an answer that ends a request.
        number = 2 * next(self._sequence_numbers) + ends_request
        heapq.heappush(
            self._events, (self._now + delay_s, number, is_request, flow_id)
        )

    def run(self) -> None:
        """Simulates one second."""
        for tick in range(1, round(1.0 / agents.TICK_S) + 1):
            while self._events and self._events[0][0] < tick * agents.TICK_S:
                self._now, number, is_request, flow_id = heapq.heappop(
                    self._events
                )
                if is_request:
                    self._forward(
                        flow_id, transparent_simulation.ACK, b"request"
                    )
                    continue
                self._unanswered_count -= number % 2
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


class TestMassReconnect(unittest.TestCase):
    """Clients that all reconnect at the same time after an outage."""

    def test_queued_openings_prevent_shedding(self) -> None:
        requests_in_time = (
            int(work_limit.MAX_WAIT_S / REQUEST_DURATION_S) * SLOTS
        )
        clients = requests_in_time + SLOTS * work_limit.WORK_PER_SLOT - SLOTS
        limited = MassReconnect(clients)
        limited.run()
        self.assertEqual((clients, 0), (limited.served, limited.shed))
        with mock.patch.object(work_limit, "WORK_PER_SLOT", 1000):
            unlimited = MassReconnect(clients)
            unlimited.run()
        self.assertEqual(clients - SLOTS - MAX_QUEUED_REQUESTS, unlimited.shed)

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
