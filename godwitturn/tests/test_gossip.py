"""Tests of the spread of announcements."""

import unittest

from godwitturn.protocol import control
from godwitturn.standins import control_fleet as fleet


class TestMembershipSpread(unittest.TestCase):
    """Each balancer must receive a loss or a new member within seconds."""

    def test_stopped_target_is_lost_at_all_balancers(self) -> None:
        network, daemons = fleet.start(9, 3)
        network.run(10)
        stopped = daemons[10]
        stopped.is_running = False
        network.run(5)
        for daemon in daemons[:9]:
            announcement_by_id = daemon.node.membership.announcement_by_id
            self.assertEqual(
                3, announcement_by_id[stopped.member.member_id].state
            )
        network.start(stopped.member)
        network.run(5)
        for daemon in daemons[:9]:
            announcement_by_id = daemon.node.membership.announcement_by_id
            self.assertEqual(
                1, announcement_by_id[stopped.member.member_id].state
            )

    def test_stopped_readers_are_replaced(self) -> None:
        network, daemons = fleet.start(12)
        network.run(10)
        for daemon in daemons:
            if daemon.reads_store:
                daemon.is_running = False
        running = [d for d in daemons if d.is_running]
        self.assertEqual(6, len(running))
        network.run(10)
        self.assertEqual(6, sum(d.reads_store for d in running))
        self.assertEqual([], [d for d in running if d.node.is_fenced])
        self.assertEqual(
            {6}, {len(d.node.membership.live_balancers) for d in running}
        )

    def test_sides_of_a_healed_split_become_live_to_each_other(self) -> None:
        network, daemons = fleet.start(9)
        network.run(10)
        east = {d for d in daemons if d.member.data_centre == "east"}
        network.is_partitioned = lambda a, b: (a in east) != (b in east)
        network.run(20)
        live = {len(d.node.membership.live_balancers) for d in daemons}
        self.assertEqual({3, 6}, live)
        network.is_partitioned = lambda a, b: False
        network.run(15)
        live = {len(d.node.membership.live_balancers) for d in daemons}
        self.assertEqual({9}, live)

    def test_balancer_sends_heartbeats_to_its_watchers_only(self) -> None:
        network, daemons = fleet.start(40)
        network.run(30)
        start = network.now
        network.run(10)
        for daemon in daemons:
            receivers = {
                peer
                for at, peer, data in daemon.sent
                if at > start
                and isinstance(control.decode(data), control.Heartbeat)
            }
            self.assertEqual(3, len(receivers))
