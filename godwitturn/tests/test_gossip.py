"""Tests of the spread of announcements."""

import unittest

from godwitturn.protocol import control
from godwitturn.standins import control_fleet as fleet


class TestMembershipSpread(unittest.TestCase):
    """A lost or new member must be known everywhere within seconds."""

    def test_dead_target_is_lost_everywhere(self) -> None:
        network, daemons = fleet.start(9, 3)
        network.run(10)
        victim = daemons[10]
        victim.is_running = False
        network.run(5)
        for daemon in daemons[:9]:
            held = daemon.node.membership.announcement_by_id
            self.assertEqual(3, held[victim.member.member_id].state)
        network.start(victim.member)
        network.run(5)
        for daemon in daemons[:9]:
            held = daemon.node.membership.announcement_by_id
            self.assertEqual(1, held[victim.member.member_id].state)

    def test_dead_balancers_are_replaced_as_readers(self) -> None:
        network, daemons = fleet.start(12)
        network.run(10)
        for daemon in daemons:
            if daemon.reads_store:
                daemon.is_running = False
        alive = [d for d in daemons if d.is_running]
        self.assertEqual(6, len(alive))
        network.run(10)
        self.assertEqual(6, sum(d.reads_store for d in alive))
        self.assertEqual([], [d for d in alive if d.node.is_fenced])
        self.assertEqual(
            {6}, {len(d.node.membership.live_balancers) for d in alive}
        )

    def test_sides_of_a_healed_split_find_each_other(self) -> None:
        network, daemons = fleet.start(9)
        network.run(10)
        east = {d for d in daemons if d.member.data_centre == "east"}
        network.is_cut = lambda a, b: (a in east) != (b in east)
        network.run(20)
        live = {len(d.node.membership.live_balancers) for d in daemons}
        self.assertEqual({3, 6}, live)
        network.is_cut = lambda a, b: False
        network.run(15)
        live = {len(d.node.membership.live_balancers) for d in daemons}
        self.assertEqual({9}, live)

    def test_no_balancer_beats_to_all_others(self) -> None:
        network, daemons = fleet.start(40)
        network.run(30)
        start = network.now
        network.run(10)
        for daemon in daemons:
            beats = {
                peer
                for at, peer, data in daemon.sent
                if at > start
                and isinstance(control.decode(data), control.Heartbeat)
            }
            self.assertEqual(3, len(beats))
