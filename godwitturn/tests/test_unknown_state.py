"""Tests of daemons that don't know part of the state yet."""

import unittest

from godwitturn.core import store_position
from godwitturn.core.transparent import agent as agents
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import heartbeats
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import mirror
from godwitturn.core.transparent import peers
from godwitturn.platform import documents
from godwitturn.platform import operator_changes
from godwitturn.platform import packets
from godwitturn.standins import transparent_simulation as simulation

AGENT = "10.1.1.1"
CONFIGURATION = mirror.Item(
    documents.CONFIGURATION_KEY,
    b'{"version": 1, "routes": [], "services":'
    b' [{"name": "core", "max_conns": 9, "cold_per_s": 4.0}]}',
    5,
)
EVACUATION = mirror.Item(documents.EVACUATION_PREFIX + "a", b"{}", 9)
# Openings that a cold target may get in a second: 4 * 1.5 + 5.
COLD_BOUND = 11


class Reader:
    """A balancer and its mirror of the operators' documents."""

    def __init__(self, address: str) -> None:
        self.balancer = balancers.Balancer(
            address=address,
            data_centre="a",
            started_at=0.0,
            peers=peers.PeerTable(address),
            fetcher=document_exchange.DocumentFetcher(address),
        )
        self.mirror = mirror.Mirror(documents.OPERATOR_PREFIX, 2.0)

    def read(self, at: int, *items: mirror.Item) -> None:
        """Applies a read of the whole prefix at a revision."""
        self.mirror.restart_read()
        position = store_position.StorePosition(0, at)
        changes = self.mirror.handle_result(
            mirror.Page(items, False, position), now=0.0
        )
        operator_changes.apply_changes(self.balancer, self.mirror, changes)

    def say_hello(self, agent: agents.Agent, *, now: float) -> messages.Hello:
        """Sends the agent a hello and returns it."""
        hello = self.balancer.make_hello(AGENT, now=now).message
        assert isinstance(hello, messages.Hello)
        agent.handle_hello(self.balancer.address, hello, now=now)
        return hello

    def send_statuses(self, agent: agents.Agent, *, now: float) -> None:
        """Handles an announcement of the agent; sends it due statuses."""
        for action in agent.announce(now=now):
            assert isinstance(action, messages.Send)
            self.balancer.handle_message(AGENT, action.message, now=now)
        for action in self.balancer.tick(now=now):
            if isinstance(action, messages.Send) and isinstance(
                action.message, messages.PeerStatus
            ):
                agent.fetcher.note_position(
                    self.balancer.address, action.message.position, now=now
                )


def heartbeat(sequence: int, *, cold_ms: int = 0) -> heartbeats.Heartbeat:
    return simulation.make_heartbeat(sequence, slots=9, cold_ms=cold_ms)


class AgentCase(unittest.TestCase):
    """An agent in data centre a, and a balancer that knows it."""

    def setUp(self) -> None:
        self.agent = simulation.make_agent(cold_per_second=None)
        self.reader = self.start_reader("10.0.1.1")
        self._ports = iter(range(1024, 60000))

    def start_reader(self, address: str) -> Reader:
        reader = Reader(address)
        reader.balancer.register(AGENT, "core", "a", now=0.0)
        return reader

    def offer_opening(
        self, agent: agents.Agent, *, now: float
    ) -> list[messages.Action]:
        """Offers the opening of a new flow; returns the agent's actions."""
        return simulation.offer_opening(
            agent,
            next(self._ports),
            balancer=self.reader.balancer.address,
            now=now,
        )

    def open_flows(
        self, agent: agents.Agent, start: float, end: float
    ) -> list[float]:
        """Offers 50 openings a second; returns when any were delivered."""
        delivered = []
        for step in range(round(50 * (end - start))):
            now = start + step / 50
            actions = self.offer_opening(agent, now=now)
            actions += agent.tick(now=now)
            delivered += [
                now for each in actions if isinstance(each, messages.Deliver)
            ]
        return delivered

    def assert_bound(self, delivered: list[float]) -> None:
        """Asserts that no second has more openings than a cold one may."""
        for start in delivered:
            second = [at for at in delivered if start <= at < start + 1.0]
            self.assertLessEqual(len(second), COLD_BOUND)


class TestPositionOfARead(AgentCase):
    """The position in a hello is that of the state that was read."""

    # Guards against agents that ignore the hellos of balancers which started
    # after an evacuation was deleted. Order: evacuation, hello, all balancers
    # stop, deletion, a balancer starts, hello.
    def test_deletion_while_all_balancers_are_down_is_passed_on(self) -> None:
        self.reader.read(9, CONFIGURATION, EVACUATION)
        self.reader.say_hello(self.agent, now=0.0)
        self.assertTrue(self.agent.evacuated)
        restarted = self.start_reader("10.0.1.2")
        restarted.read(10, CONFIGURATION)
        restarted.say_hello(self.agent, now=1.0)
        self.assertFalse(self.agent.evacuated)

    # Order: read, evacuation and deletion that only another balancer sees the
    # first of, re-read without a difference, hello.
    def test_reread_after_a_create_and_a_delete_counts(self) -> None:
        self.reader.read(5, CONFIGURATION)
        other = self.start_reader("10.0.1.2")
        other.read(9, CONFIGURATION, EVACUATION)
        other.say_hello(self.agent, now=0.0)
        self.reader.read(12, CONFIGURATION)
        self.reader.say_hello(self.agent, now=1.0)
        self.assertFalse(self.agent.evacuated)

    # Guards against an agent that believes a balancer with an incomplete
    # read. Order: first page, evacuation, second page with a later
    # configuration, hello, watch.
    def test_configuration_of_a_later_page_is_no_later_read(self) -> None:
        later = mirror.Item(
            CONFIGURATION.key, CONFIGURATION.value, EVACUATION.revision + 1
        )
        self.reader.read(6, later)
        hello = self.reader.say_hello(self.agent, now=0.0)
        self.assertEqual(6, hello.position.revision)


class TestPositionOfDocuments(AgentCase):
    """Only documents that have changed are fetched."""

    def setUp(self) -> None:
        super().setUp()
        self.reader.read(9, CONFIGURATION, EVACUATION)
        self.copy = self.reader.mirror.documents()
        self.agent.fetcher.set_position(self.copy.position)

    def restart_reader(self, at: int, *items: mirror.Item) -> Reader:
        """Returns a new balancer that has read the store and the copy."""
        reader = self.start_reader("10.0.1.2")
        reader.read(at, *items)
        reader.say_hello(self.agent, now=0.0)
        reader.send_statuses(self.agent, now=0.0)
        self.assertIsNotNone(reader.balancer.fetcher.next_source(now=1.0))
        reader.mirror.adopt(self.copy)
        operator_changes.apply_changes(reader.balancer, reader.mirror, [])
        reader.send_statuses(self.agent, now=2.0)
        self.assertIsNone(reader.balancer.fetcher.next_source(now=99.0))
        return reader

    def fetches(self, reader: Reader, *, now: float) -> bool:
        """Returns whether the agent fetches after a hello and a status."""
        reader.say_hello(self.agent, now=now)
        reader.send_statuses(self.agent, now=now)
        return self.agent.fetcher.next_source(now=now + 99.0) is not None

    # Guards against all agents fetching a large document after each read.
    def test_reread_causes_no_fetch(self) -> None:
        self.reader.read(20, CONFIGURATION, EVACUATION)
        self.assertFalse(self.fetches(self.reader, now=1.0))

    def test_change_causes_a_fetch(self) -> None:
        self.reader.read(20, CONFIGURATION)
        self.assertTrue(self.fetches(self.reader, now=1.0))

    # Guards against agents that keep the copy with an evacuation which was
    # deleted while all balancers were down. Order: copy, deletion, a balancer
    # starts, reads the store and the agent's copy.
    def test_unseen_deletion_replaces_the_copy(self) -> None:
        restarted = self.restart_reader(20, CONFIGURATION)
        self.assertTrue(self.fetches(restarted, now=9.0))

    # Guards against a balancer that fetches an equal copy again and again.
    # Order: deletion, copy, a balancer starts, reads the store and the copy.
    def test_equal_copy_is_kept(self) -> None:
        self.reader.read(20, CONFIGURATION)
        self.copy = self.reader.mirror.documents()
        self.agent.fetcher.set_position(self.copy.position)
        restarted = self.restart_reader(30, CONFIGURATION)
        self.assertFalse(self.fetches(restarted, now=9.0))


class TestReturnOfADataCentre(AgentCase):
    """Evidence from before the return says nothing of a cold target."""

    # Order: warm heartbeat, evacuation, the target becomes cold, return,
    # openings, heartbeat.
    def test_target_counts_as_cold_until_its_next_heartbeat(self) -> None:
        self.agent.handle_heartbeat(heartbeat(1), now=0.0)
        self.reader.read(9, CONFIGURATION, EVACUATION)
        self.reader.say_hello(self.agent, now=0.2)
        self.reader.read(10, CONFIGURATION)
        self.reader.say_hello(self.agent, now=1.0)
        delivered = self.open_flows(self.agent, 1.0, 2.2)
        self.assertTrue(delivered)
        self.assert_bound(delivered)
        self.agent.handle_heartbeat(heartbeat(2), now=2.2)
        self.assertEqual(0, self.agent.target.cold_ms(2.2))

    # Order: the agent restarts in an evacuated data centre, warm heartbeat,
    # the target becomes cold, return, first hello.
    def test_first_hello_may_follow_an_unseen_evacuation(self) -> None:
        self.agent.handle_heartbeat(heartbeat(7), now=0.0)
        self.reader.read(10, CONFIGURATION)
        self.reader.say_hello(self.agent, now=1.0)
        self.assert_bound(self.open_flows(self.agent, 1.0, 2.2))

    # Order: openings at a target that counts as warm, evacuation, return
    # within the same second, openings.
    def test_openings_before_a_short_evacuation_count(self) -> None:
        self.reader.read(5, CONFIGURATION)
        self.reader.say_hello(self.agent, now=0.0)
        self.agent.handle_heartbeat(heartbeat(1), now=0.0)
        delivered = self.open_flows(self.agent, 0.0, 0.2)
        self.reader.read(9, CONFIGURATION, EVACUATION)
        self.reader.say_hello(self.agent, now=0.2)
        self.reader.read(10, CONFIGURATION)
        self.reader.say_hello(self.agent, now=0.4)
        self.assert_bound(delivered + self.open_flows(self.agent, 0.4, 1.5))


class TestAgentOfUnknownService(AgentCase):
    """A hello of a balancer that lacks the agent's service says nothing."""

    def setUp(self) -> None:
        super().setUp()
        self.reader.read(9, CONFIGURATION, EVACUATION)
        self.reader.say_hello(self.agent, now=0.0)

    def assert_known(self, reader: Reader) -> None:
        hello = reader.say_hello(self.agent, now=1.0)
        self.assertEqual(store_position.UNREAD, hello.position)
        self.assertEqual(4.0, self.agent.cold_limiter.per_second)
        self.assertTrue(self.agent.evacuated)

    # Order: the agent knows its limit, a peer lists its address to a
    # balancer, hello before entry and announcement.
    def test_agent_keeps_what_it_knows(self) -> None:
        reader = Reader("10.0.1.2")
        reader.read(20, CONFIGURATION, EVACUATION)
        status = messages.PeerStatus(
            store_position.UNREAD, (AGENT,), "a", True, ()
        )
        reader.balancer.handle_message("10.0.1.1", status, now=1.0)
        self.assert_known(reader)

    # Order: a balancer reads evacuations, but no configuration that it can
    # decode; hello.
    def test_balancer_without_configuration_says_nothing(self) -> None:
        reader = self.start_reader("10.0.1.2")
        reader.read(20, mirror.Item(CONFIGURATION.key, b"{", 20))
        self.assert_known(reader)

    # Guards against each start of a balancer making all agents write their
    # entries again. Order: announcement, hello, read of the entries.
    def test_entry_is_not_missing_before_the_entries_are_read(self) -> None:
        reader = Reader("10.0.1.2")
        self.assertTrue(reader.say_hello(self.agent, now=1.0).registered)
        reader.balancer.agents_loaded = True
        self.assertFalse(reader.say_hello(self.agent, now=1.0).registered)


class TestAgentRestart(AgentCase):
    """A restarted agent doesn't know what the earlier run admitted."""

    def restart(self, *, now: float) -> agents.Agent:
        agent = simulation.make_agent(cold_per_second=None, started_at=now)
        self.reader.say_hello(agent, now=now)
        return agent

    # Order: openings at a cold target, restart of the agent, hello, openings,
    # heartbeat, openings.
    def test_window_counts_as_used_up(self) -> None:
        self.reader.read(5, CONFIGURATION)
        self.reader.say_hello(self.agent, now=0.0)
        self.agent.handle_heartbeat(heartbeat(1, cold_ms=9000), now=0.0)
        delivered = self.open_flows(self.agent, 0.0, 0.3)
        self.assertTrue(delivered)
        agent = self.restart(now=0.5)
        delivered += self.open_flows(agent, 0.5, 0.8)
        agent.handle_heartbeat(heartbeat(2, cold_ms=8200), now=0.8)
        before = len(delivered)
        delivered += self.open_flows(agent, 0.8, 3.0)
        self.assertGreater(len(delivered), before)
        self.assert_bound(delivered)

    # Order: restart, start of the target with its first heartbeat, openings.
    def test_target_that_was_seen_to_start_has_a_whole_window(self) -> None:
        self.reader.read(5, CONFIGURATION)
        agent = self.restart(now=0.0)
        agent.handle_heartbeat(heartbeat(1, cold_ms=2000), now=0.1)
        delivered = self.open_flows(agent, 0.1, 0.5)
        self.assertGreater(len(delivered), COLD_BOUND // 2)
        self.assert_bound(delivered)


class TestLogOfTheLimit(AgentCase):
    """The log tells which limit each opening at a cold target met."""

    def events(
        self, actions: list[messages.Action], name: str
    ) -> list[dict[str, object]]:
        return [
            dict(action.fields)
            for action in actions
            if isinstance(action, messages.LogEvent) and action.event == name
        ]

    def open_flow(self, *, now: float) -> dict[str, object]:
        """Returns the fields of the event of an opening."""
        actions = self.offer_opening(self.agent, now=now)
        (fields,) = self.events(actions, "opening_delivered")
        return fields

    def test_change_names_balancer_and_position(self) -> None:
        self.reader.read(5, CONFIGURATION)
        hello = self.reader.balancer.make_hello(AGENT, now=0.0).message
        assert isinstance(hello, messages.Hello)
        address = self.reader.balancer.address
        actions = self.agent.handle_hello(address, hello, now=0.0)
        (fields,) = self.events(actions, "cold_limit")
        self.assertEqual(
            (4.0, address, "core", 5),
            tuple(
                fields[name]
                for name in ("per_second", "balancer", "service", "revision")
            ),
        )
        repeated = self.agent.handle_hello(address, hello, now=0.5)
        self.assertEqual([], self.events(repeated, "cold_limit"))

    def test_opening_at_a_cold_target_names_the_limit(self) -> None:
        self.agent.handle_heartbeat(heartbeat(1, cold_ms=1500), now=0.0)
        unstated = self.open_flow(now=0.1)
        self.assertEqual(
            (None, None), (unstated["per_second"], unstated["limit_age_ms"])
        )
        self.reader.read(5, CONFIGURATION)
        self.reader.say_hello(self.agent, now=0.2)
        fields = self.open_flow(now=0.5)
        self.assertEqual(
            (4.0, 300, 2, 10, 1000),
            tuple(
                fields[name]
                for name in (
                    "per_second",
                    "limit_age_ms",
                    "in_window",
                    "per_window",
                    "cold_ms",
                )
            ),
        )
        self.assertNotIn("per_second", self.open_flow(now=2.0))


class TestChangedLimit(AgentCase):
    """A new version's limit must reach the agents with the version."""

    # Guards against a balancer that goes on stating the former limit, or
    # nothing on a new service, until its next regular hello.
    def test_next_tick_states_the_new_limit(self) -> None:
        self.reader.read(5, CONFIGURATION)
        self.reader.say_hello(self.agent, now=0.5)
        self.reader.send_statuses(self.agent, now=1.0)
        assert CONFIGURATION.value is not None
        changed = mirror.Item(
            CONFIGURATION.key,
            CONFIGURATION.value.replace(b": 1,", b": 2,", 1).replace(
                b"4.0", b"1.0"
            ),
            7,
        )
        self.reader.read(7, changed)
        limits = [
            action.message.cold_per_second
            for action in self.reader.balancer.tick(now=1.1)
            if isinstance(action, messages.Send)
            and isinstance(action.message, messages.Hello)
        ]
        self.assertEqual([1.0], limits)


class TestEndOfColdTime(AgentCase):
    """The limit applies until the target is warm by its own clock."""

    # Guards against openings that wait for the limit and are delivered a
    # fraction of a millisecond before the target is warm (review case 5).
    # Order: first openings 0.5 s after the start, last one 0.3 ms before the
    # end of the cold time.
    def test_waiting_openings_are_not_delivered_before_the_end(self) -> None:
        self.reader.read(5, CONFIGURATION)
        self.reader.say_hello(self.agent, now=0.0)
        self.agent.handle_heartbeat(heartbeat(1, cold_ms=1500), now=0.0)
        delivered = self.open_flows(self.agent, 0.4997, 1.5197)
        self.assertTrue(delivered)
        self.assert_bound(delivered)


class TestOtherState(AgentCase):
    """Members, flows and states that a daemon hasn't learnt yet."""

    def announce(
        self, run_id: int, state: messages.TargetState
    ) -> messages.Announcement:
        announcement = messages.Announcement(
            "n", "core", "a", run_id, 1, "", state, 1, 0, 0, 0, (),
            store_position.UNREAD,
        )  # fmt: skip
        self.reader.balancer.handle_message(AGENT, announcement, now=0.0)
        return announcement

    # Guards against all openings going to the few targets that are known.
    # Order: one announcement, read of the configuration, readiness check.
    def test_balancer_is_not_ready_before_the_entries_are_read(self) -> None:
        balancer = self.reader.balancer
        self.announce(1, messages.TargetState.READY)
        self.reader.read(5, CONFIGURATION)
        self.assertFalse(balancer.ready(now=0.1))
        self.assertTrue(balancer.ready(now=balancers.START_GRACE_S + 0.1))
        balancer.agents_loaded = True
        self.assertTrue(balancer.ready(now=0.1))

    # Guards against openings at a draining target. Order: announcement of
    # the drain, restart of the agent, announcement without a heartbeat.
    def test_restart_of_the_agent_does_not_end_a_drain(self) -> None:
        table = self.reader.balancer.target_table
        for run_id, state, accepts in (
            (1, messages.TargetState.DRAINING, False),
            (2, messages.TargetState.UNKNOWN, False),
            (3, messages.TargetState.READY, True),
            (4, messages.TargetState.UNKNOWN, True),
        ):
            self.announce(run_id, state)
            target = table.target_by_address[AGENT]
            with self.subTest(run_id):
                self.assertEqual(
                    accepts, target.accepts_openings(max_flows=9, now=0.0)
                )

    # Guards against packets relayed in vain, and flows never reset. Order: a
    # peer lists an agent, loses it, removes it from its table.
    def test_listing_of_an_agent_expires(self) -> None:
        table = peers.PeerTable("10.0.1.1")
        for now, listed, silent in (
            (0.0, (AGENT,), ()),
            (2.0, (), (AGENT,)),
            (20.0, (), ()),
        ):
            status = messages.PeerStatus(
                store_position.UNREAD, listed, "c", True, silent
            )
            table.handle_status("10.0.3.1", status, now=now)
            relay = table.find_relay(AGENT, frozenset({"a", "b"}), now=now)
            with self.subTest(now):
                self.assertEqual("10.0.3.1" if not now else None, relay)

    # Guards against balancers that are never notified of a flow. Order: an
    # opening by a balancer that has sent no hello, answer of the target,
    # hellos, next answer.
    def test_peers_are_notified_once_their_data_centre_is_known(self) -> None:
        self.agent.handle_heartbeat(heartbeat(1), now=0.0)
        self.open_flows(self.agent, 0.0, 0.02)
        (flow_id,) = self.agent.flows.flow_by_id
        data = simulation.packet(
            flow_id, simulation.SYN | simulation.ACK, from_target=True
        )
        segment = packets.decode(data, from_target=True)
        assert segment is not None
        self.agent.handle_target_packet(segment, now=0.1)
        other = self.start_reader("10.0.1.2")
        for reader in (self.reader, other):
            reader.say_hello(self.agent, now=0.2)
        actions = self.agent.handle_target_packet(segment, now=0.3)
        self.assertIn(
            ("10.0.1.2", (flow_id,)),
            [
                (action.address, action.message.flow_ids)
                for action in actions
                if isinstance(action, messages.Send)
                and isinstance(action.message, messages.FlowsListed)
            ],
        )
