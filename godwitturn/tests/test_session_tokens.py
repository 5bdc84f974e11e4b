"""Tests of tokens at a session: restarts, address changes, forgery."""

from godwitturn.core import token as tokens
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_world
from godwitturn.tests import session_case

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict


class TestRestart(session_case.SessionTestCase):
    """A restarted agent has lost the record of which requests it ran."""

    def request_during_restart(
        self, *, idempotent: bool
    ) -> session_world.World:
        world = session_world.open_world(agents=1, run_s=0.5)
        world.request(1, idempotent=idempotent)
        world.run(0.1)
        world.service.agents[1].restart()
        world.run(5.0)
        self.assertEqual(1, len(world.service.opens))
        return world

    def test_non_idempotent_request_ends_as_may_have_run(self) -> None:
        world = self.request_during_restart(idempotent=False)
        reason = Reason.STALE_INCARNATION
        self.assert_outcome(world, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_idempotent_request_is_sent_again(self) -> None:
        world = self.request_during_restart(idempotent=True)
        self.assert_outcome(world, 1, Verdict.RAN, tries=2)

    def test_flow_accepts_new_requests(self) -> None:
        world = self.request_during_restart(idempotent=False)
        world.request(2)
        world.run(1.0)
        self.assert_outcome(world, 2, Verdict.RAN)


class TestAddressChange(session_case.SessionTestCase):
    """Requests must continue, as agents deduplicate across addresses."""

    def test_request_keeps_its_id(self) -> None:
        world = session_world.open_world(run_s=0.5)
        world.request(1)
        world.run(0.1)
        world.address = world.address._replace(port=2000)
        world.run(5.0)
        self.assert_outcome(world, 1, Verdict.RAN)
        self.assertEqual(1, len(world.service.opens))

    def test_request_from_the_new_address_is_answered(self) -> None:
        world = session_world.open_world()
        world.address = world.address._replace(port=2000)
        world.request(1, fragments=50)
        world.run(5.0)
        self.assert_outcome(world, 1, Verdict.RAN)


class TestForgery(session_case.SessionTestCase):
    """Forged packets with some correct fields must be ignored."""

    def setUp(self) -> None:
        self.world = session_world.open_world(agents=1, run_s=0.5)
        self.world.request(1)
        self.world.run(0.1)
        self.flow_id = self.world.sent[0][1].flow_id
        self.token = self.world.sent[-1][1].token

    def deliver(self, kind: packets.Kind, **fields: object) -> None:
        packet = packets.Packet(kind, fakes.SERVICE_ID, self.flow_id)
        packet.reason = Reason.FLOW_UNKNOWN
        for name, value in fields.items():
            setattr(packet, name, value)
        self.world.deliver(packets.encode(packet))

    def assert_unaffected(self) -> None:
        self.world.run(2.0)
        self.assert_outcome(self.world, 1, Verdict.RAN)
        self.assertEqual(1, len(self.world.service.opens))
        used = {packet.token for _, packet in self.world.sent}
        self.assertLessEqual(used, {tokens.EMPTY, self.token})

    def test_reset_of_another_flow_is_ignored(self) -> None:
        self.deliver(Kind.RESET, flow_id=self.flow_id ^ 1)
        self.assert_unaffected()

    def test_reset_of_another_service_is_ignored(self) -> None:
        self.deliver(Kind.RESET, service_id=fakes.SERVICE_ID + 1)
        self.assert_unaffected()

    def test_reset_with_an_earlier_token_is_ignored(self) -> None:
        other = bytearray(self.token)
        other[13] ^= 1
        self.deliver(Kind.RESET, token=bytes(other))
        self.assert_unaffected()

    def test_renew_with_an_unusable_token_is_ignored(self) -> None:
        for token in (tokens.EMPTY, b"\xff" * tokens.TOKEN_BYTES):
            self.deliver(Kind.RENEW, token=token)
        self.assert_unaffected()

    def test_renew_to_another_target_is_ignored(self) -> None:
        other = bytearray(self.token)
        other[11] ^= 1
        self.deliver(Kind.RENEW, token=bytes(other))
        self.assert_unaffected()

    def test_accept_of_a_second_target_is_ignored(self) -> None:
        other = bytearray(self.token)
        other[11] ^= 1
        self.deliver(Kind.ACCEPT, token=bytes(other))
        self.assert_unaffected()

    def test_delayed_renew_of_an_earlier_incarnation_is_ignored(self) -> None:
        old = self.token
        self.world.service.agents[1].restart()
        self.world.run(2.0)
        self.world.request(2)
        self.world.run(0.1)
        self.deliver(Kind.RENEW, token=old)
        self.world.run(2.0)
        self.assert_outcome(self.world, 2, Verdict.RAN)

    def test_answer_of_an_unknown_request_is_ignored(self) -> None:
        self.deliver(Kind.ANSWER, request_id=9, fragments=1, payload=b"no")
        self.assert_unaffected()
