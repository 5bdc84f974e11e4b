"""Runs the naive balancer as a daemon, for comparison with the real one."""

import trio

from godwitturn.daemons import balancer
from godwitturn.daemons import launch
from godwitturn.settings import schema
from godwitturn.standins import naive


class NaiveDaemon(balancer.BalancerDaemon):
    """A balancer daemon that makes the decisions of `naive.NaiveBalancer`."""

    core_factory = naive.NaiveBalancer


def run(settings: schema.Settings) -> None:
    """Runs a naive balancer until it is stopped."""
    trio.run(NaiveDaemon(settings).run)


if __name__ == "__main__":
    launch.main("Runs a naive balancer until it is stopped.", run)
