"""Tests of slots and of the deadline-bounded queue."""

import unittest

from godwitturn.core import actions
from godwitturn.core import admission
from godwitturn.core import requests
from godwitturn.core import slow_start
from godwitturn.core import verdict as verdicts
from godwitturn.tests import agent_driver

Reason = verdicts.Reason


def _request(request_id: int, deadline_at: float) -> requests.Request:
    key = actions.RequestKey(1, 1, request_id)
    owner = requests.FlowRequests()
    return requests.Request(key, owner, False, 1, 0.0, deadline_at)


class TestQueue(unittest.TestCase):
    """A request that can't run in time must be refused at once."""

    def setUp(self) -> None:
        ramp = slow_start.SlowStart(agent_driver.WARM_POLICY)
        self.admission = admission.Admission(agent_driver.WARM_POLICY, ramp)
        ramp.restart(0.0)
        ramp.record_answer(1.0, "a", 0.0)

    def fill(self, count: int) -> None:
        for request_id in range(count):
            self.admission.enqueue(_request(request_id, 1e6), 0.0)
        first = self.admission.next_queued()
        assert first is not None
        self.admission.start(first, 0.0)

    def test_free_slot_admits_any_deadline(self) -> None:
        request = _request(9, 0.001)
        refusal = self.admission.request_refusal(request, 0.0)
        self.assertEqual(Reason.NONE, refusal)

    def test_request_is_refused_if_its_wait_exceeds_the_deadline(self) -> None:
        self.fill(4)
        for deadline_at, reason in ((3.9, Reason.DEADLINE), (4, Reason.NONE)):
            request = _request(9, deadline_at)
            refusal = self.admission.request_refusal(request, 0.0)
            self.assertEqual(reason, refusal)

    def test_queue_is_bounded_when_answers_take_no_time(self) -> None:
        self.admission.ramp.mean_service_seconds = 1e-9
        self.fill(admission.MAX_QUEUED_REQUESTS + 1)
        request = _request(9999, 1e6)
        refusal = self.admission.request_refusal(request, 0.0)
        self.assertEqual(Reason.QUEUE_FULL, refusal)

    def test_requeued_request_is_next(self) -> None:
        self.fill(3)
        (running,) = self.admission.running.values()
        self.admission.finish(running.key)
        self.admission.requeue(running)
        self.assertIs(running, self.admission.next_queued())


class TestQueuedRequests(agent_driver.AgentTestCase):
    """A queued request that can't run must get a correct verdict."""

    def test_request_expires_in_the_queue(self) -> None:
        self.request(1, deadline_ms=60_000)
        self.request(2, deadline_ms=60_000)
        self.request(3, deadline_ms=1000)
        self.driver.tick(1.1)
        (status,) = self.driver.replies()
        self.assertEqual(3, status.request_id)
        self.assert_outcome([status], "DEADLINE", "NOT_RUN")

    def test_expired_request_is_not_started_in_a_free_slot(self) -> None:
        self.request(1, deadline_ms=60_000)
        self.request(2, deadline_ms=1000)
        self.driver.now += 1.0
        _, status = self.driver.answer()
        self.assert_outcome([status], "DEADLINE", "NOT_RUN")
        self.assertEqual(1, len(self.driver.started))
