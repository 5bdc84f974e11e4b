"""Tests of packets that a session sends again because of a notice."""

from collections.abc import Callable
import functools
import random
import unittest

from godwitturn.core import session_attempt
from godwitturn.core import session_events
from godwitturn.core import session_resend
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets
from godwitturn.standins import fakes
from godwitturn.standins import session_world
from godwitturn.tests import session_case

Kind = packets.Kind
Reason = verdicts.Reason
Verdict = verdicts.Verdict
MOST = session_resend.EARLY_RESENDS
ROUND_TRIP_S = 0.01


def _first(count: int, kind: packets.Kind) -> Callable[[packets.Packet], bool]:
    """Returns a predicate that holds for the first packets of a kind."""
    left = count

    def meets(packet: packets.Packet) -> bool:
        nonlocal left
        if packet.kind is not kind or left == 0:
            return False
        left -= 1
        return True

    return meets


def _third(fabric: random.Random) -> Callable[[packets.Packet], bool]:
    """Returns what the fabric does with one of three balancers closed."""
    return lambda packet: fabric.random() < 1 / 3


def _notice(sent: packets.Packet, **fields: object) -> bytes:
    """Returns the notice of a closed balancer, with fields changed."""
    notice = packets.Packet(
        Kind.RESEND,
        sent.service_id,
        sent.flow_id,
        sent.token,
        sent.request_id,
        sent.fragment,
        sent.fragments,
        reason=Reason.FENCED,
    )
    for name, value in fields.items():
        setattr(notice, name, value)
    return packets.encode(notice)


def _settled_world(run_s: float = 0.01) -> session_world.World:
    """Returns a world whose flow is confirmed, with no packets recorded."""
    world = session_world.open_world(run_s=run_s)
    world.run(1.0)
    world.sent.clear()
    return world


def _flows_of(world: session_world.World) -> list[fakes.FakeFlow]:
    agents = world.service.agents.values()
    return [flow for agent in agents for flow in agent.flows.values()]


class TestEarlyResend(session_case.SessionTestCase):
    """A packet that met a closed balancer must not wait for its timer."""

    def times_of(self, world: session_world.World, kind: Kind) -> list[float]:
        began = world.sent[0][0]
        return [round(t - began, 3) for t, p in world.sent if p.kind is kind]

    def test_request_is_sent_again_at_once(self) -> None:
        world = _settled_world()
        world.reaches_closed_balancer = _first(2, Kind.REQUEST)
        world.request(1)
        world.run(1.0)
        self.assert_outcome(world, 1, Verdict.RAN)
        self.assertEqual([0.0, 0.01, 0.02], self.times_of(world, Kind.REQUEST))
        self.assertEqual(1, len(world.service.runs))

    def test_lost_notice(self) -> None:
        """Guards against a timer that the notice replaces."""
        world = _settled_world()
        world.delivers_resend = False
        world.reaches_closed_balancer = _first(1, Kind.REQUEST)
        world.request(1)
        world.run(1.0)
        self.assert_outcome(world, 1, Verdict.RAN)
        self.assertEqual([0.0, 0.1], self.times_of(world, Kind.REQUEST))

    def test_duplicated_notices(self) -> None:
        """Guards against a second run and against growing duplication."""
        world = _settled_world()
        world.faults = session_world.Faults(duplication=1.0)
        world.reaches_closed_balancer = _first(4, Kind.REQUEST)
        world.request(1)
        world.run(1.0)
        self.assert_outcome(world, 1, Verdict.RAN)
        self.assertEqual(1, len(world.service.runs))
        times = self.times_of(world, Kind.REQUEST)
        self.assertLessEqual(len(times), 1 + MOST)

    def test_poll_and_cancel_are_sent_again(self) -> None:
        for kind in (Kind.POLL, Kind.CANCEL):
            world = _settled_world(run_s=0.35)
            world.request(1)
            world.run(0.05)
            world.sent.clear()
            world.reaches_closed_balancer = _first(1, kind)
            if kind is Kind.CANCEL:
                world.handle(session_events.Cancel(1))
            world.run(0.2)
            times = self.times_of(world, kind)
            self.assertEqual([0.0, ROUND_TRIP_S], times[:2], kind)

    def test_missing_answer_fragments_are_asked_for_again(self) -> None:
        """Guards against a wait whenever a POLL met a closed balancer."""
        took_s = []
        for closes in (False, True):
            world = _settled_world()
            polled: set[bytes] = set()

            def is_new(packet: packets.Packet, seen: set[bytes]) -> bool:
                if packet.kind is not Kind.POLL or packet.payload in seen:
                    return False
                seen.add(packet.payload)
                return True

            if closes:
                world.reaches_closed_balancer = functools.partial(
                    is_new, seen=polled
                )
            began = world.now
            world.request(1, fragments=40)
            world.run(5.0)
            self.assert_outcome(world, 1, Verdict.RAN)
            took_s.append(world.completed_at_by_number[1] - began)
        self.assertGreaterEqual(len(polled), 3)
        self.assertLess(took_s[1] - took_s[0], session_attempt.TIMER_FIRST_S)

    def test_fragments_of_a_large_body(self) -> None:
        """Guards against a wait for each batch that lost a fragment."""
        took_s = {}
        for passes in (True, False):
            world = _settled_world()
            world.reaches_closed_balancer = _third(random.Random(5))
            world.delivers_resend = passes
            began = world.now
            world.request(1, fragments=200, timeout_s=30.0)
            world.run(30.0)
            self.assert_outcome(world, 1, Verdict.RAN)
            took_s[passes] = world.completed_at_by_number[1] - began
        self.assertLess(took_s[True], took_s[False] / 2)

    def test_ack_is_sent_again(self) -> None:
        """Guards against answers that agents keep and count unconfirmed."""
        world = _settled_world()
        world.reaches_closed_balancer = _first(MOST, Kind.ACK)
        world.request(1)
        world.run(0.2)
        self.assertEqual(1 + MOST, world.kinds_sent().count(Kind.ACK))
        (flow,) = _flows_of(world)
        self.assertTrue(flow.requests[1].acknowledged)

    def test_keepalive_that_confirms_a_flow(self) -> None:
        """Guards against reservations that expire unconfirmed."""
        world = session_world.World()
        world.reaches_closed_balancer = _first(MOST, Kind.KEEPALIVE)
        world.open()
        world.run(0.1)
        self.assertEqual(1 + MOST, world.kinds_sent().count(Kind.KEEPALIVE))
        (flow,) = _flows_of(world)
        self.assertTrue(flow.confirmed)


class TestForged(session_case.SessionTestCase):
    """Whoever forges or replays notices must gain next to nothing."""

    def setUp(self) -> None:
        self.world = _settled_world(run_s=5.0)
        self.world.drops = lambda packet: True
        self.world.request(1)
        self.sent = self.world.sent[0][1]

    def resent(self, notice: bytes) -> int:
        """Returns the count of packets that one notice caused."""
        before = len(self.world.sent)
        self.world.deliver(notice)
        return len(self.world.sent) - before

    def test_authentic_one(self) -> None:
        self.assertEqual(1, self.resent(_notice(self.sent)))

    def test_other_fields(self) -> None:
        other = bytearray(self.sent.token)
        other[-1] ^= 1
        for fields in (
            {"token": bytes(other)},
            {"token": bytes(len(other))},
            {"flow_id": self.sent.flow_id ^ 1},
            {"service_id": fakes.SERVICE_ID + 1},
            {"request_id": self.sent.request_id + 1},
            {"request_id": 0},
            {"fragment": 1, "fragments": 2},
        ):
            notice = _notice(self.sent, **fields)
            self.assertEqual(0, self.resent(notice), fields)

    def test_flags_and_reasons_decide_nothing(self) -> None:
        """Guards against a notice that ends a request or a flow."""
        for flag in packets.Flag:
            for reason in Reason:
                notice = _notice(self.sent, flags=int(flag), reason=reason)
                self.world.deliver(notice)
        self.assertEqual({}, self.world.outcomes_by_number)
        self.assertEqual([], self.world.actions_of(session_events.FlowEnded))

    def test_repeated_notices_are_bounded(self) -> None:
        """Guards against a packet for each replayed notice."""
        notice = _notice(self.sent)
        self.assertEqual(MOST, sum(self.resent(notice) for _ in range(1000)))
        # The next round comes at its time and allows as many again.
        due_at = self.world.session.wake_at
        self.assertAlmostEqual(
            session_attempt.TIMER_FIRST_S, due_at - self.world.now
        )
        self.world.run(due_at - self.world.now + 0.001)
        self.assertEqual(2 + MOST, len(self.world.sent))
        self.assertEqual(MOST, sum(self.resent(notice) for _ in range(1000)))

    def test_replayed_while_the_answer_is_awaited(self) -> None:
        """Guards against polls without end once the agent has the request."""
        world = _settled_world(run_s=5.0)
        world.request(1)
        world.run(0.05)
        sent = world.sent[0][1]
        for fields in ({}, {"fragment": 0, "fragments": 0}):
            for _ in range(1000):
                world.deliver(_notice(sent, **fields))
        self.assertLessEqual(len(world.sent), 1 + MOST)

    def test_replayed_after_the_answer(self) -> None:
        """Guards against an ACK for each replayed notice."""
        world = _settled_world()
        world.request(1)
        world.run(0.2)
        sent = world.sent[0][1]
        for _ in range(1000):
            world.deliver(_notice(sent))
        self.assertEqual(1 + MOST, world.kinds_sent().count(Kind.ACK))
        world.run(1.0)
        for _ in range(1000):
            world.deliver(_notice(sent))
        self.assertEqual(2 + MOST, world.kinds_sent().count(Kind.ACK))

    def test_idle_flow_sends_nothing(self) -> None:
        """Guards against keepalives that nobody asked for."""
        world = _settled_world()
        world.request(1)
        world.run(1.0)
        sent = world.sent[0][1]
        before = len(world.sent)
        for fields in ({}, {"request_id": 0, "fragments": 0}):
            world.deliver(_notice(sent, **fields))
        self.assertEqual(before, len(world.sent))

    def test_fragment_of_a_cancelled_request(self) -> None:
        """Guards against a run that begins after the cancellation."""
        self.world.handle(session_events.Cancel(1))
        self.world.sent.clear()
        self.world.deliver(_notice(self.sent))
        self.world.run(0.05)
        self.assertNotIn(Kind.REQUEST, self.world.kinds_sent())

    def test_old_token(self) -> None:
        """Guards against a run under a token for which it was not sent."""
        world = _settled_world(run_s=5.0)
        world.request(1, idempotent=False)
        world.run(0.05)
        sent = world.sent[0][1]
        for agent in world.service.agents.values():
            agent.restart()
        world.run(3.0)
        before = len(world.sent)
        world.deliver(_notice(sent))
        self.assertEqual(before, len(world.sent))
        self.assert_outcome(
            world, 1, Verdict.MAY_HAVE_RUN, Reason.STALE_INCARNATION
        )


class TestVerdicts(session_case.SessionTestCase):
    """A notice says nothing about whether a request ran."""

    def test_one_copy_delivered_and_one_not(self) -> None:
        """Guards against NOT_RUN for a request that ran."""
        world = _settled_world(run_s=0.3)
        world.faults = session_world.Faults(duplication=1.0)
        world.reaches_closed_balancer = _first(1, Kind.REQUEST)
        world.request(1)
        world.run(2.0)
        self.assert_outcome(world, 1, Verdict.RAN)
        self.assertEqual(1, len(world.service.runs))

    def test_ran_and_then_all_balancers_closed(self) -> None:
        world = _settled_world(run_s=0.3)
        world.request(1, timeout_s=20.0)
        world.run(0.1)
        self.assertEqual(1, len(world.service.runs))
        # Its answer goes through a balancer that is closed by then.
        for agent in world.service.agents.values():
            agent.silent = True
        world.reaches_closed_balancer = lambda packet: True
        world.run(25.0)
        self.assertIs(Verdict.MAY_HAVE_RUN, world.outcome(1).verdict)
        self.assertEqual([], world.check())


def _all_closed(passes_resend: bool) -> session_world.World:
    """Runs requests, and an idle time, while all balancers are closed."""
    world = _settled_world()
    world.reaches_closed_balancer = lambda packet: True
    world.delivers_resend = passes_resend
    world.request(1, timeout_s=30.0)
    world.request(2, timeout_s=3.0)
    world.run(60.0)
    return world


class TestAllClosed(session_case.SessionTestCase):
    """Callers must not loop when no balancer forwards."""

    def test_packets_are_bounded(self) -> None:
        """Guards against a packet for each notice, without end."""
        with_notices = _all_closed(True).kinds_sent()
        without = _all_closed(False).kinds_sent()
        for kind in (Kind.REQUEST, Kind.POLL, Kind.CANCEL, Kind.KEEPALIVE):
            self.assertLessEqual(
                with_notices.count(kind), (1 + MOST) * without.count(kind)
            )

    def test_a_batch_is_sent_twice_at_most(self) -> None:
        """Guards against rounds of many fragments that multiply."""
        world = _settled_world()
        world.reaches_closed_balancer = lambda packet: True
        world.request(1, fragments=200)
        world.run(session_attempt.TIMER_FIRST_S - 0.001)
        batch = session_attempt.BATCH_FRAGMENTS + 1
        self.assertEqual(2 * batch, len(world.sent))

    def test_ends_are_those_without_notices(self) -> None:
        """Guards against a flow or request that a notice ends or keeps."""

        def ends(world: session_world.World) -> list[object]:
            flow_ends = world.actions_of(session_events.FlowEnded)
            return [
                world.outcomes_by_number,
                world.completed_at_by_number,
                [str(a) for a in flow_ends[:1]],
            ]

        worlds = _all_closed(True), _all_closed(False)
        self.assertEqual(ends(worlds[1]), ends(worlds[0]))
        self.assertEqual([], worlds[0].check())

    def test_early_resends_count_as_no_silence(self) -> None:
        """Guards against a flow left early because of many notices."""
        world = _settled_world()
        world.drops = lambda packet: True
        world.request(1)
        sent = world.sent[0][1]
        for _ in range(1000):
            world.deliver(_notice(sent))
        flow = world.session._flows_by_id[sent.flow_id]
        self.assertEqual(1, flow.unanswered)


class TestAllowance(unittest.TestCase):
    """The bound itself, on which all others rest."""

    def test_rounds(self) -> None:
        for sent, expected in ((1, MOST), (MOST + 1, MOST + 1), (33, 33)):
            allowance = session_resend.Allowance()
            self.assertFalse(allowance.try_spend())
            allowance.start_round(sent)
            spent = sum(allowance.try_spend() for _ in range(100))
            self.assertEqual(expected, spent)
            allowance.start_round(sent)
            self.assertTrue(allowance.try_spend())
            allowance.end_round()
            self.assertFalse(allowance.try_spend())
