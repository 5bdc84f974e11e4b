"""Tests of the agent: openings, tokens, identity, policy, drain and stop."""

import unittest

from godwitturn.core import actions
from godwitturn.core import addresses
from godwitturn.core import agent
from godwitturn.core import token as tokens
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import encapsulation
from godwitturn.protocol import packet as packets
from godwitturn.tests import agent_driver

Kind = packets.Kind
Reason = verdicts.Reason
AgentTestCase = agent_driver.AgentTestCase
AgentDriver = agent_driver.AgentDriver
OTHER_CALLER = addresses.Address("127.0.0.1", 6001)
OPENING = packets.Packet(Kind.OPEN, 7, 77, payload=agent_driver.OPEN_PAYLOAD)


class TestIdentity(unittest.TestCase):
    """A packet for another target or service must have no effect."""

    def setUp(self) -> None:
        self.driver = AgentDriver()

    def assert_correction(self, *intended: int) -> None:
        (message,) = self.driver.messages
        self.assertEqual(encapsulation.Kind.CORRECTION, message.kind)
        self.assertEqual(agent_driver.AGENT_ID, message.sender)
        self.assertEqual(intended, message.candidates)
        self.assertEqual(0, self.driver.agent.load(0).flows)

    def test_other_destination_is_corrected(self) -> None:
        self.driver.deliver(packets.encode(OPENING), destination=98)
        self.assert_correction(98)

    def test_unauthentic_packet_for_another_member_is_corrected(self) -> None:
        data = packets.encode(OPENING)
        self.driver.deliver(data, destination=98, pair_key=b"o" * 32)
        self.assert_correction(98)

    def test_forged_mac_is_dropped(self) -> None:
        self.driver.deliver(packets.encode(OPENING), pair_key=b"f" * 32)
        self.assertEqual([], self.driver.messages)
        self.assertEqual(0, self.driver.agent.load(0).flows)

    def test_other_service_is_dropped_and_corrected(self) -> None:
        packet = packets.Packet(Kind.OPEN, 8, 77, payload=OPENING.payload)
        self.driver.deliver(packets.encode(packet))
        self.assert_correction()
        count = self.driver.agent.counters["dropped_wrong_service"]
        self.assertEqual(1, count)

    def test_token_of_another_target_is_corrected(self) -> None:
        token = tokens.Token(1, 7, 98, 5, 1, 0)
        sealed = tokens.seal(token, 11, agent_driver.TOKEN_KEY)
        self.driver.request(11, sealed)
        self.assert_correction(98)

    def test_agent_kinds_from_callers_are_dropped(self) -> None:
        self.driver.send(Kind.ACCEPT, 11)
        self.assertEqual([], self.driver.messages)

    def test_newer_version_is_reported_once(self) -> None:
        message = encapsulation.Message(
            encapsulation.Kind.DELIVER, 1, 99, 9, OTHER_CALLER, b""
        )
        data = encapsulation.encode(message, agent_driver.PAIR_KEY)
        event = actions.BalancerDatagram(agent_driver.BALANCER, data)
        seen = actions.NewerVersionSeen(9)
        self.assertIn(seen, self.driver.handle(event))
        self.assertNotIn(seen, self.driver.handle(event))

    def test_token_key_of_another_service_is_rejected(self) -> None:
        keys = [tokens.TokenKey(1, 8, b"k" * 32)]
        with self.assertRaisesRegex(ValueError, "8"):
            agent.Agent(
                member_id=1, service_id=7, token_keys=keys, incarnation=1
            )


class TestOpening(unittest.TestCase):
    """Openings must neither exceed the flow limit nor leak a token."""

    def assert_returned(
        self, driver: AgentDriver, reason: Reason
    ) -> encapsulation.Message:
        data = packets.encode(OPENING)
        driver.deliver(data, tries=1, candidates=(99, 50, 51))
        (message,) = driver.messages
        self.assertEqual(encapsulation.Kind.OPEN_RETURNED, message.kind)
        returned = packets.decode(message.packet)
        assert returned is not None
        self.assertEqual(reason, returned.reason)
        returned.reason = Reason.NONE
        self.assertEqual(OPENING, returned)
        return message

    def test_repeated_opening_gets_the_same_token(self) -> None:
        driver = AgentDriver()
        self.assertEqual(driver.open(11), driver.open(11))
        self.assertEqual(1, driver.agent.load(0).flows)

    def test_repeated_opening_from_another_address_gets_no_token(self) -> None:
        driver = AgentDriver()
        driver.send(Kind.KEEPALIVE, 11, driver.open(11))
        self.assertEqual([], driver.send_opening(11, caller=OTHER_CALLER))

    def test_opening_without_padding_is_dropped(self) -> None:
        driver = AgentDriver()
        driver.send(Kind.OPEN, 11)
        self.assertEqual([], driver.messages)

    def test_returned_opening_names_the_remaining_candidates(self) -> None:
        driver = AgentDriver(connection_limit=1)
        driver.open(11)
        message = self.assert_returned(driver, Reason.CONNECTION_LIMIT)
        self.assertEqual((50, 51), message.candidates)
        self.assertEqual(2, message.tries)
        assert message.load is not None
        self.assertEqual((1, 1), (message.load.flows, message.load.flow_limit))

    def test_reservations_use_a_quarter_of_the_limit_until_they_expire(
        self,
    ) -> None:
        driver = AgentDriver(connection_limit=8)
        token = driver.open(1)
        driver.open(2)
        self.assert_returned(driver, Reason.CONNECTION_LIMIT)
        driver.send(Kind.KEEPALIVE, 1, token)
        driver.open(3)
        driver.tick(7)
        self.assertEqual(1, driver.agent.load(driver.now).flows)
        driver.open(4)
        driver.open(5)

    def test_returned_opening_carries_the_reason(self) -> None:
        for reason, name, value in (
            (Reason.NOT_APPROVED, "approved", False),
            (Reason.DATA_CENTRE_OUT, "data_centre_out", True),
            (Reason.DRAINING, "draining", True),
        ):
            driver = AgentDriver()
            driver.change_policy(**{name: value})
            self.assert_returned(driver, reason)
        self.assert_returned(AgentDriver(fenced=True), Reason.FENCED)

    def test_flow_limit_rises_during_slow_start(self) -> None:
        driver = AgentDriver(ramp_seconds=10.0, connection_limit=20)
        driver.open(1)
        self.assert_returned(driver, Reason.SLOW_START)
        driver.tick(9)
        self.assertEqual(18, driver.agent.load(driver.now).flow_limit)
        driver.open(2)

    def test_failed_health_check_refuses_flows_unless_answers_are_recent(
        self,
    ) -> None:
        driver = AgentDriver()
        driver.handle(actions.HealthCheckCompleted(reachable=False))
        self.assert_returned(driver, Reason.NO_TARGET)
        driver.tick(4)
        driver.request(11, driver.open(11))
        driver.answer()
        driver.handle(actions.HealthCheckCompleted(reachable=False))
        driver.open(12)


class TestTokens(AgentTestCase):
    """Only a current token from its own address may run a request."""

    def test_packet_without_token_gets_a_reset_without_payload(self) -> None:
        replies = self.driver.send(Kind.POLL, 11, request_id=1)
        self.assert_outcome(replies, "FLOW_UNKNOWN", kind="RESET")
        size = len(packets.encode(replies[0]))
        self.assertEqual(packets.HEADER_BYTES, size)

    def test_forged_token_is_reset(self) -> None:
        replies = self.request(token=b"\1" * 32)
        self.assert_outcome(replies, "TOKEN_INVALID", kind="RESET")
        self.assertEqual([], self.driver.started)

    def test_packet_from_another_address_only_gets_a_token(self) -> None:
        (renew,) = self.request(caller=OTHER_CALLER)
        self.assert_outcome([renew], "NONE", kind="RENEW")
        self.assertEqual(1, renew.request_id)
        self.assertEqual(OTHER_CALLER, self.driver.messages[0].caller)
        self.assertEqual([], self.driver.started)
        self.request(token=renew.token, caller=OTHER_CALLER)
        self.assertEqual(1, len(self.driver.started))
        self.driver.answer()
        self.assertEqual(OTHER_CALLER, self.driver.messages[0].caller)

    def test_delayed_packet_of_a_closed_flow_runs_nothing(self) -> None:
        self.assertEqual([], self.send(Kind.CLOSE))
        (reset,) = self.request()
        self.assert_outcome([reset], "FLOW_UNKNOWN", kind="RESET")
        self.assertEqual(self.token, reset.token)
        self.driver.open(11)
        self.assertEqual([], self.request())
        self.assertEqual([], self.driver.started)

    def test_idle_flow_expires_and_busy_one_does_not(self) -> None:
        self.send(Kind.KEEPALIVE)
        self.driver.request(12, self.driver.open(12), deadline_ms=400_000)
        for _ in range(10):
            self.driver.tick(30)
        self.assertEqual(1, self.load().flows)
        (answer,) = self.driver.answer()
        self.assertEqual(Kind.ANSWER, answer.kind)

    def test_token_of_an_older_key_is_renewed_and_processed(self) -> None:
        newer = tokens.TokenKey(2, 7, b"n" * 32)
        self.driver = AgentDriver(token_keys=[newer, agent_driver.TOKEN_KEY])
        self.driver.open(11)
        renew, reply = self.send(Kind.KEEPALIVE)
        self.assert_outcome([renew], "NONE", kind="RENEW")
        self.assertEqual(2, renew.token[0])
        self.assertEqual(Kind.KEEPALIVE_REPLY, reply.kind)


class TestReadoption(AgentTestCase):
    """A restarted agent must keep flows and run no request twice."""

    def setUp(self) -> None:
        super().setUp()
        self.driver = AgentDriver(incarnation=6)

    def test_only_idempotent_requests_run_again_after_readoption(self) -> None:
        (renew,) = self.request(3)
        self.assert_outcome([renew], "STALE_INCARNATION", kind="RENEW")
        self.assertEqual(3, renew.request_id)
        replies = self.request(3, renew.token)
        self.assert_outcome(replies, "REQUEST_TOO_OLD", "MAY_HAVE_RUN")
        self.assertEqual([], self.driver.started)
        self.request(3, renew.token, idempotent=True)
        self.request(4, renew.token)
        self.assertEqual(1, len(self.driver.started))

    def test_refusals_after_a_restart_have_the_verdict_may_have_run(
        self,
    ) -> None:
        (renew,) = self.send(Kind.KEEPALIVE)
        replies = self.send(Kind.CANCEL, 3, token=renew.token)
        self.assert_outcome(replies, "CANCELLED", "MAY_HAVE_RUN")
        replies = self.request(4, renew.token, idempotent=True, deadline_ms=0)
        self.assert_outcome(replies, "DEADLINE", "MAY_HAVE_RUN")

    def test_repeated_packets_get_the_same_renewed_token(self) -> None:
        first = self.send(Kind.KEEPALIVE)
        self.assertEqual(first, self.send(Kind.KEEPALIVE))
        self.assertEqual(1, self.load().flows)

    def test_close_with_an_old_token_adopts_no_flow(self) -> None:
        self.assertEqual([], self.send(Kind.CLOSE))
        self.assertEqual(0, self.load().flows)

    def test_slow_start_does_not_limit_readopted_flows(self) -> None:
        before = AgentDriver()
        old = {n: before.open(n) for n in range(21)}
        driver = AgentDriver(
            incarnation=6, ramp_seconds=10.0, connection_limit=20
        )
        kinds = [
            driver.send(Kind.KEEPALIVE, *item)[0].kind for item in old.items()
        ]
        self.assertEqual([Kind.RENEW] * 20 + [Kind.RESET], kinds)
        replies = driver.replies()
        self.assert_outcome(replies, "STALE_INCARNATION", kind="RESET")


class TestFence(AgentTestCase):
    """A fenced agent must start no requests and send no packets."""

    def test_agent_starts_fenced(self) -> None:
        self.driver = AgentDriver(fenced=True)
        self.assertEqual([], self.send(Kind.KEEPALIVE))

    def test_fenced_agent_sends_nothing_and_stores_answers(self) -> None:
        self.request(1)
        self.request(2)
        self.driver.handle(actions.FenceChanged(True))
        self.assertEqual([], self.driver.answer())
        self.driver.tick(1)
        self.assertEqual([], self.request(3))
        self.assertEqual(1, len(self.driver.started))
        self.driver.handle(actions.FenceChanged(False))
        self.assertEqual(2, len(self.driver.started))
        (answer,) = self.send(Kind.POLL, 1)
        self.assertEqual(b"answer", answer.payload)
        (status,) = self.send(Kind.POLL, 3)
        self.assertEqual(b"\0\0", status.payload)


class TestPolicy(AgentTestCase):
    """Withdrawn approval and lower limits must apply at once."""

    def test_withdrawn_approval_resets_flows(self) -> None:
        self.request(1)
        self.request(2)
        self.driver.change_policy(approved=False, version=4)
        (status,) = self.driver.replies()
        self.assert_outcome([status], "NOT_APPROVED", "NOT_RUN")
        self.assertEqual(2, status.request_id)
        replies = self.send(Kind.POLL, 1)
        self.assert_outcome(replies, "NOT_APPROVED", kind="RESET")
        self.assertEqual([], self.driver.answer())
        self.driver.change_policy(approved=True, version=5)
        self.assert_outcome(self.request(2), "FLOW_UNKNOWN", kind="RESET")
        self.assertEqual(1, len(self.driver.started))

    def test_older_version_is_ignored(self) -> None:
        driver = AgentDriver(version=4, approved=False)
        driver.change_policy(version=3, approved=True)
        driver.send_opening(11)
        kinds = [message.kind for message in driver.messages]
        self.assertEqual([encapsulation.Kind.OPEN_RETURNED], kinds)

    def test_lower_slot_limit_delays_starts_until_slots_are_free(self) -> None:
        self.driver.change_policy(slots=2)
        for request_id in (1, 2, 3):
            self.request(request_id)
        self.driver.change_policy(slots=1)
        self.driver.answer()
        self.assertEqual(2, len(self.driver.started))
        self.driver.started.pop()
        self.driver.answer()
        ids = [start.key.request_id for start in self.driver.started]
        self.assertEqual([1, 3], ids)

    def test_returning_data_centre_restarts_the_ramp(self) -> None:
        self.driver.change_policy(ramp_seconds=10.0)
        self.driver.tick(20)
        self.assertEqual(1000, self.load().capacity)
        self.driver.change_policy(data_centre_out=True)
        self.assertEqual(0, self.load().flow_limit)
        self.driver.change_policy(data_centre_out=False)
        self.assertEqual(100, self.load().capacity)


class TestDrain(AgentTestCase):
    """A draining target must get no new work and lose none in progress."""

    def test_established_flows_are_served_during_the_grace_period(
        self,
    ) -> None:
        self.request(1)
        draining = actions.HealthCheckCompleted(reachable=True, draining=True)
        self.driver.handle(draining)
        (status,) = self.request(2)
        self.assertTrue(status.flags & packets.Flag.MOVE)
        self.driver.tick(3)
        self.assert_outcome(self.request(3), "DRAINING", "NOT_RUN")
        self.driver.answer()
        self.assertEqual(2, len(self.driver.started))
        self.assertTrue(self.load().draining)
        self.driver.handle(actions.HealthCheckCompleted(reachable=True))
        (status,) = self.request(4)
        self.assertFalse(status.flags & packets.Flag.MOVE)

    def test_idle_callers_are_notified_to_move(self) -> None:
        self.send(Kind.KEEPALIVE)
        self.driver.open(12)
        self.driver.change_policy(draining=True)
        self.driver.tick(0.1)
        (notice,) = self.driver.replies()
        self.assertEqual(11, notice.flow_id)
        self.assertTrue(notice.flags & packets.Flag.MOVE)
        self.driver.tick(0.1)
        self.assertEqual([], self.driver.replies())


class TestStop(AgentTestCase):
    """A graceful stop must not abort requests in progress."""

    def stopped(self, seconds: float) -> bool:
        return actions.Stopped() in self.driver.tick(seconds)

    def test_stop_waits_for_requests_and_acknowledgements(self) -> None:
        self.request(1, deadline_ms=60_000)
        self.request(2, deadline_ms=60_000)
        self.driver.handle(actions.StopRequested())
        self.assertFalse(self.stopped(11))
        for request_id in (1, 2):
            self.driver.answer()
            self.assertFalse(self.stopped(0.1))
            self.send(Kind.ACK, request_id)
            self.assertEqual(request_id == 2, self.stopped(0.1))
        self.assertFalse(self.stopped(0.1))

    def test_partly_received_request_still_runs(self) -> None:
        self.request(fragments=2, deadline_ms=60_000)
        self.driver.handle(actions.StopRequested())
        self.assertFalse(self.stopped(11))
        self.request(fragments=2, fragment=1)
        self.driver.answer()
        self.send(Kind.ACK, 1)
        self.assertTrue(self.stopped(0.1))

    def test_incomplete_request_delays_the_stop_for_a_limited_time(
        self,
    ) -> None:
        self.request(fragments=2, deadline_ms=600_000)
        self.driver.handle(actions.StopRequested())
        self.assertFalse(self.stopped(50))
        self.assertTrue(self.stopped(12))

    def test_stop_completes_once_flows_close_after_the_grace_period(
        self,
    ) -> None:
        self.driver.handle(actions.StopRequested())
        self.assertFalse(self.stopped(3.1))
        self.send(Kind.CLOSE)
        self.assertTrue(self.stopped(0.1))

    def test_unreachable_caller_delays_the_stop_for_a_limited_time(
        self,
    ) -> None:
        self.request(deadline_ms=12_000)
        self.driver.answer()
        self.driver.handle(actions.StopRequested())
        self.assertFalse(self.stopped(11))
        self.assertTrue(self.stopped(1.1))

    def test_lost_acknowledgement_does_not_delay_the_stop_further(
        self,
    ) -> None:
        self.request(deadline_ms=10_000)
        self.driver.handle(actions.StopRequested())
        self.driver.tick(3)
        self.driver.answer()
        self.assertTrue(self.stopped(7.1))
