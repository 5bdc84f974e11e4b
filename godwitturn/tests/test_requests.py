"""Tests of fragments, deduplication, answers, cancellation and memory."""

from unittest import mock

from godwitturn.core import actions
from godwitturn.core import requests
from godwitturn.protocol import packet as packets
from godwitturn.tests import agent_driver

Kind = packets.Kind


class RequestCase(agent_driver.AgentTestCase):
    """Adds a method that sends a `POLL`."""

    def poll(
        self, request_id: int = 1, payload: bytes = b""
    ) -> list[packets.Packet]:
        return self.send(Kind.POLL, request_id, payload)


class TestFragments(RequestCase):
    """A body must be complete, in order and from one request only."""

    def test_fragments_arrive_in_any_order(self) -> None:
        for index, payload in ((2, b"c"), (0, b"a"), (2, b"c")):
            replies = self.request(
                fragment=index, fragments=3, payload=payload
            )
            self.assertEqual([], replies)
        (status,) = self.poll()
        self.assertEqual(b"\0\1", status.payload)
        (status,) = self.request(fragment=1, fragments=3, payload=b"b")
        self.assert_outcome([status], "NONE")
        self.assertEqual(b"", status.payload)
        (start,) = self.driver.started
        self.assertEqual(b"abc", start.body)
        self.assertEqual(5.0, start.deadline_s)

    def test_missing_list_is_not_longer_than_the_poll(self) -> None:
        self.request(fragments=200)
        for size, listed in ((0, 1), (20, 10), (1200, 64)):
            (status,) = self.poll(payload=bytes(size))
            self.assertEqual(listed, len(status.payload) // 2)

    def test_unknown_request_is_requested(self) -> None:
        (status,) = self.poll(9)
        self.assert_outcome([status], "NONE")
        self.assertEqual(b"\0\0", status.payload)

    def test_other_content_with_the_same_id_is_dropped(self) -> None:
        self.request(fragments=2, payload=b"a")
        self.assertEqual([], self.request(fragments=2, payload=b"x"))
        self.assertEqual([], self.request(fragments=3, fragment=1))
        self.request(fragments=2, fragment=1, payload=b"b")
        self.driver.answer()
        self.assertEqual([], self.request(fragments=2, payload=b"x"))
        self.assertEqual([], self.request(payload=b"a"))
        (start,) = self.driver.started
        self.assertEqual(b"ab", start.body)
        self.assertEqual(
            4, self.driver.agent.counters["dropped_request_conflict"]
        )

    def test_malformed_requests_and_polls_are_dropped(self) -> None:
        self.assertEqual([], self.request(0))
        self.assertEqual([], self.request(1, fragments=0))
        self.assertEqual([], self.poll(payload=b"odd"))
        self.assertEqual([], self.driver.started)

    def test_body_over_the_limit_is_refused(self) -> None:
        last = packets.MAX_FRAGMENTS - 1
        for index in range(last + 1):
            replies = self.request(
                fragment=index, fragments=last + 1, payload=bytes(1200)
            )
        self.assert_outcome(replies, "TOO_LARGE", "NOT_RUN")

    def test_incomplete_request_ends_at_its_deadline(self) -> None:
        self.request(fragments=2)
        self.driver.tick(5.1)
        self.assert_outcome(self.driver.replies(), "DEADLINE", "NOT_RUN")
        self.assert_outcome(
            self.request(fragments=2, fragment=1), "DEADLINE", "NOT_RUN"
        )
        self.assertEqual([], self.driver.started)


class TestDeduplication(RequestCase):
    """A repeated request must not run again in any state."""

    def test_repeated_request_does_not_run_in_any_state(self) -> None:
        self.request(1)
        self.request(2)
        for request_id in (1, 2):
            self.assert_outcome(self.request(request_id), "NONE")
        self.driver.answer()
        self.assert_outcome(self.request(1), "NONE")
        self.send(Kind.ACK, 1)
        self.assert_outcome(self.request(1), "REQUEST_TOO_OLD", "RAN")
        self.assert_outcome(self.poll(1), "REQUEST_TOO_OLD", "RAN")
        ids = [start.key.request_id for start in self.driver.started]
        self.assertEqual([1, 2], ids)

    def test_ids_below_the_floor_are_too_old(self) -> None:
        for request_id in range(2, 200):
            self.request(request_id)
            self.driver.answer()
            self.send(Kind.ACK, request_id)
        started = len(self.driver.started)
        for request_id in (1, 2, 100):
            for replies in (self.request(request_id), self.poll(request_id)):
                self.assert_outcome(replies, "REQUEST_TOO_OLD", "MAY_HAVE_RUN")
        self.assertEqual(started, len(self.driver.started))

    def test_refused_request_never_runs_later(self) -> None:
        self.assert_outcome(self.request(deadline_ms=0), "DEADLINE", "NOT_RUN")
        self.assert_outcome(self.request(), "DEADLINE", "NOT_RUN")
        self.assert_outcome(self.poll(), "DEADLINE", "NOT_RUN")
        self.assertEqual([], self.driver.started)


class TestAnswers(RequestCase):
    """The caller must get the complete answer in bursts of limited size."""

    def test_answer_is_sent_as_a_burst_and_by_polls(self) -> None:
        body = bytes(range(256)) * 200
        self.request()
        replies = self.driver.answer(body)
        self.assertEqual(list(range(32)), [r.fragment for r in replies])
        self.assertEqual({43}, {r.fragments for r in replies})
        self.assertEqual({packets.Flag.RAN}, {r.flags for r in replies})
        late = self.poll(
            payload=b"".join(
                index.to_bytes(2, "big") for index in (40, 32, 41, 42, 40, 99)
            )
        )
        self.assertEqual([40, 32, 41, 42], [r.fragment for r in late])
        self.assertEqual(32, len(self.poll()))
        rest = self.poll(
            payload=b"".join(
                index.to_bytes(2, "big") for index in range(33, 40)
            )
        )
        parts = {r.fragment: r.payload for r in replies + late + rest}
        self.assertEqual(body, b"".join(parts[n] for n in range(43)))

    def test_empty_answer_has_one_fragment(self) -> None:
        self.request()
        (answer,) = self.driver.answer(b"")
        self.assertEqual((0, 1), (answer.fragment, answer.fragments))

    def test_second_outcome_of_a_request_is_ignored(self) -> None:
        self.request()
        self.driver.answer(b"first")
        self.assertEqual([], self.driver.answer(b"second"))
        self.assertEqual([], self.driver.fail(started=False))
        (answer,) = self.poll()
        self.assertEqual(b"first", answer.payload)

    def test_answer_over_the_limit_is_not_sent(self) -> None:
        self.request()
        replies = self.driver.answer(bytes(packets.MAX_BODY_BYTES + 1))
        self.assert_outcome(replies, "TOO_LARGE", "RAN")

    def test_unacknowledged_answer_expires(self) -> None:
        self.request()
        self.driver.answer()
        self.driver.tick(10)
        self.assertEqual(Kind.ANSWER, self.poll()[0].kind)
        self.driver.tick(6)
        self.assert_outcome(self.poll(), "REQUEST_TOO_OLD", "RAN")


class TestCancel(RequestCase):
    """The verdict must be correct for every order of events."""

    def test_request_after_its_cancellation_does_not_run(self) -> None:
        for replies in (self.send(Kind.CANCEL, 1), self.request(1)):
            self.assert_outcome(replies, "CANCELLED", "MAY_HAVE_RUN")
        self.assertEqual([], self.driver.started)

    def test_cancelled_request_in_the_queue_does_not_run(self) -> None:
        self.request(1)
        self.request(2)
        self.assert_outcome(self.send(Kind.CANCEL, 2), "CANCELLED", "NOT_RUN")
        self.driver.answer()
        self.assertEqual(1, len(self.driver.started))

    def test_running_request_is_cancelled_at_the_target_once(self) -> None:
        self.request()
        for _ in range(2):
            self.assert_outcome(self.send(Kind.CANCEL, 1), "NONE")
        self.assertEqual(1, len(self.driver.cancelled))
        self.assert_outcome(
            self.driver.fail(started=True), "CANCELLED", "MAY_HAVE_RUN"
        )
        self.assert_outcome(self.poll(), "CANCELLED", "MAY_HAVE_RUN")

    def test_answer_prevails_over_cancellation(self) -> None:
        self.request()
        self.send(Kind.CANCEL, 1)
        (answer,) = self.driver.answer()
        self.assertEqual(Kind.ANSWER, answer.kind)
        (answer,) = self.send(Kind.CANCEL, 1)
        self.assertEqual(b"answer", answer.payload)

    def test_cancelled_request_is_not_retried(self) -> None:
        self.request()
        self.send(Kind.CANCEL, 1)
        self.assert_outcome(
            self.driver.fail(started=False, connection_lost=True),
            "CANCELLED",
            "NOT_RUN",
        )
        self.assertEqual(1, len(self.driver.started))


class TestTargetFailure(RequestCase):
    """The verdict of a failed request must be correct."""

    def test_started_request_may_have_run(self) -> None:
        self.request()
        replies = self.driver.fail(started=True, connection_lost=True)
        self.assert_outcome(replies, "TARGET_FAILED", "MAY_HAVE_RUN")
        self.assert_outcome(self.request(), "TARGET_FAILED", "MAY_HAVE_RUN")

    def test_shed_request_did_not_run(self) -> None:
        self.request()
        self.assert_outcome(self.driver.fail(started=False), "SHED", "NOT_RUN")

    def test_refused_connections_are_retried_at_most_twice(self) -> None:
        self.request()
        for _ in range(2):
            self.assertEqual([], self.driver.fail(False, True))
        self.assert_outcome(
            self.driver.fail(False, True), "TARGET_FAILED", "NOT_RUN"
        )
        self.assertEqual(3, len(self.driver.started))

    def test_request_is_not_retried_after_the_deadline(self) -> None:
        self.request()
        self.driver.now += 5
        self.assert_outcome(
            self.driver.fail(False, True), "TARGET_FAILED", "NOT_RUN"
        )
        self.assertEqual(1, len(self.driver.started))

    def test_closed_flow_keeps_its_slot_until_the_outcome(self) -> None:
        self.request()
        self.send(Kind.CLOSE, 1)
        other = self.driver.open(12)
        self.driver.request(12, other)
        self.assertEqual(1, len(self.driver.started))
        self.assertEqual([], self.driver.answer())
        self.assertEqual(2, len(self.driver.started))


class TestMemory(RequestCase):
    """Bodies, answers and verdicts must not grow without bound."""

    def table(self) -> requests.RequestTable:
        return self.driver.agent._state.request_table

    def test_requests_over_memory_limits_are_refused(self) -> None:
        for name in ("MAX_FLOW_BYTES", "MAX_AGENT_BYTES"):
            with mock.patch.object(requests, name, 100_000):
                driver = agent_driver.AgentDriver()
                token = driver.open(11)
                driver.request(11, token, 1, fragments=80)
                self.assert_outcome(
                    driver.request(11, token, 2, fragments=10),
                    "SHED",
                    "NOT_RUN",
                )

    def test_requests_over_the_flow_limit_are_refused(self) -> None:
        for request_id in range(1, requests.MAX_LIVE_PER_FLOW + 1):
            self.request(request_id, fragments=2)
        self.assert_outcome(self.request(500), "QUEUE_FULL", "NOT_RUN")

    def test_closed_flow_releases_its_memory(self) -> None:
        self.request(1)
        self.driver.answer(bytes(5000))
        self.request(2)
        self.request(3, fragments=4)
        self.assertGreater(self.table().buffered_bytes, 9000)
        self.send(Kind.CLOSE, 0)
        self.driver.answer()
        table = self.table()
        self.assertEqual(
            (0, 0, 0),
            (table.buffered_bytes, table.answer_count, table.ended_count),
        )

    def test_agent_with_many_verdicts_keeps_fewer_per_flow(self) -> None:
        with mock.patch.object(requests, "MANY_ENDED_PER_AGENT", 20):
            for request_id in range(1, 60):
                self.request(request_id, deadline_ms=0)
        self.assertLessEqual(self.table().ended_count, 20)
        self.assert_outcome(self.request(1), "REQUEST_TOO_OLD", "MAY_HAVE_RUN")


class TestObservations(RequestCase):
    """Histograms must distinguish idempotent requests from others."""

    def test_histograms_distinguish_idempotent_requests(self) -> None:
        self.request(1)
        self.request(2, idempotent=True)
        self.driver.now += 0.25
        seen = self.driver.handle(
            actions.TargetAnswered(self.driver.started[-1].key, b"", "a")
        )
        observed = [a for a in seen if isinstance(a, actions.Observe)]
        self.assertEqual(
            [
                actions.Observe("answer_time", 7, "once", 250_000),
                actions.Observe("target_tries", 7, "once", 1),
                actions.Observe("admission_wait", 7, "idempotent", 250_000),
            ],
            observed,
        )
