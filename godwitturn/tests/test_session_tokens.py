"""Tests of tokens at a session: restarts, address changes, forgery."""

from godwitturn.core import token as tokens
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_simulation
from godwitturn.tests import session_case

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict


class TestRestart(session_case.SessionTestCase):
    """A restarted agent has lost the record of which requests it ran."""

    def request_during_restart(
        self, *, idempotent: bool
    ) -> session_simulation.Simulation:
        simulation = session_simulation.with_open_session(agents=1, run_s=0.5)
        simulation.request(1, idempotent=idempotent)
        simulation.run(0.1)
        simulation.service.agents[1].restart()
        simulation.run(5.0)
        self.assertEqual(1, len(simulation.service.openings))
        return simulation

    def test_non_idempotent_request_ends_as_may_have_run(self) -> None:
        simulation = self.request_during_restart(idempotent=False)
        reason = Reason.STALE_INCARNATION
        self.assert_outcome(simulation, 1, Verdict.MAY_HAVE_RUN, reason)

    def test_idempotent_request_is_sent_again(self) -> None:
        simulation = self.request_during_restart(idempotent=True)
        self.assert_outcome(simulation, 1, Verdict.RAN, tries=2)

    def test_flow_accepts_new_requests(self) -> None:
        simulation = self.request_during_restart(idempotent=False)
        simulation.request(2)
        simulation.run(1.0)
        self.assert_outcome(simulation, 2, Verdict.RAN)


class TestAddressChange(session_case.SessionTestCase):
    """Requests must continue, as agents deduplicate across addresses."""

    def test_request_keeps_its_id(self) -> None:
        simulation = session_simulation.with_open_session(run_s=0.5)
        simulation.request(1)
        simulation.run(0.1)
        simulation.address = simulation.address._replace(port=2000)
        simulation.run(5.0)
        self.assert_outcome(simulation, 1, Verdict.RAN)
        self.assertEqual(1, len(simulation.service.openings))

    def test_request_from_the_new_address_is_answered(self) -> None:
        simulation = session_simulation.with_open_session()
        simulation.address = simulation.address._replace(port=2000)
        simulation.request(1, fragments=50)
        simulation.run(5.0)
        self.assert_outcome(simulation, 1, Verdict.RAN)


class TestForgery(session_case.SessionTestCase):
    """Forged packets with some correct fields must be ignored."""

    def setUp(self) -> None:
        self.simulation = session_simulation.with_open_session(
            agents=1, run_s=0.5
        )
        self.simulation.request(1)
        self.simulation.run(0.1)
        self.flow_id = self.simulation.sent[0][1].flow_id
        self.token = self.simulation.sent[-1][1].token

    def deliver(self, kind: packets.Kind, **fields: object) -> None:
        packet = packets.Packet(kind, fakes.SERVICE_ID, self.flow_id)
        packet.reason = Reason.FLOW_UNKNOWN
        for name, value in fields.items():
            setattr(packet, name, value)
        self.simulation.deliver(packets.encode(packet))

    def assert_unaffected(self) -> None:
        self.simulation.run(2.0)
        self.assert_outcome(self.simulation, 1, Verdict.RAN)
        self.assertEqual(1, len(self.simulation.service.openings))
        used = {packet.token for _, packet in self.simulation.sent}
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
        self.simulation.service.agents[1].restart()
        self.simulation.run(2.0)
        self.simulation.request(2)
        self.simulation.run(0.1)
        self.deliver(Kind.RENEW, token=old)
        self.simulation.run(2.0)
        self.assert_outcome(self.simulation, 2, Verdict.RAN)

    def test_answer_of_an_unknown_request_is_ignored(self) -> None:
        self.deliver(Kind.ANSWER, request_id=9, fragments=1, payload=b"no")
        self.assert_unaffected()
