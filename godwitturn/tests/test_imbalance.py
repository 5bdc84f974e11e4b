"""Tests that flows and requests are distributed evenly over targets."""

from collections.abc import Callable
import unittest

from godwitturn.tests import placement_simulation

# Required limit of the highest number per target, as a multiple of the mean.
MAX_RATIO_TO_MEAN = 1.25
SEEDS = range(4)
SIZES = {
    "onboard-core": placement_simulation.ServiceSize(7, 1, 3),
    "permit-desk": placement_simulation.ServiceSize(3, 1, 3),
    "styledesk": placement_simulation.ServiceSize(7, 3, 4),
    "guideshelf": placement_simulation.ServiceSize(4, 3, 4),
}
# Mean duration of a request, and maximum additional delay of messages, both in
# seconds.
CONDITIONS = {
    "idle": (0.009, 0.0),
    "lag": (0.009, 0.15),
    "overload": (0.014, 0.05),
}
Change = Callable[[placement_simulation.Simulation], None]


def no_change(_: placement_simulation.Simulation) -> None:
    """Makes no change."""


def kill_two_balancers(simulation: placement_simulation.Simulation) -> None:
    """Kills two balancers, and restarts each a second later."""
    for index, time in enumerate((0.5, 2.0)):
        simulation.schedule(time, simulation.kill_balancer, index)
        simulation.schedule(time + 1.0, simulation.start_balancer, index)


def start_after_drain(simulation: placement_simulation.Simulation) -> None:
    """Starts with load reports that are three seconds old.

    All flows that they count have ended. One target, whose drain has just
    ended, has no report.
    """
    simulation.record_outdated_reports(3.0)


def replace_all_balancers(simulation: placement_simulation.Simulation) -> None:
    """Replaces all balancers, one by one, by ones without load reports."""
    for index, time in enumerate((0.2, 0.5, 0.7)):
        simulation.schedule(time, simulation.start_balancer, index)


def close_and_reopen_data_centre(
    simulation: placement_simulation.Simulation,
) -> None:
    """Takes a data centre out for three seconds."""
    simulation.schedule(1.5, simulation.close_data_centre)
    simulation.schedule(4.5, simulation.reopen_data_centre)


class TestProductionServices(unittest.TestCase):
    """Targets above 1.25 times the mean get full while others are idle.

    This happened when each balancer compensated alone for the whole difference
    that delayed load reports showed to all of them, and when momentary queues
    instead of open flows decided the choice between two targets.
    """

    def check_ratios(self, change: Change) -> None:
        for condition, (service_s, lag_s) in CONDITIONS.items():
            for service, size in SIZES.items():
                for seed in SEEDS:
                    simulation = placement_simulation.Simulation(
                        seed, size, service_s=service_s, lag_s=lag_s
                    )
                    change(simulation)
                    flow_ratio, request_ratio = simulation.run()
                    with self.subTest(condition, service=service, seed=seed):
                        self.assertLess(flow_ratio, MAX_RATIO_TO_MEAN)
                        self.assertLess(request_ratio, MAX_RATIO_TO_MEAN)

    def test_load_is_even_without_changes(self) -> None:
        self.check_ratios(no_change)

    def test_load_is_even_after_a_drain(self) -> None:
        """Outdated reports must not make the drained target preferred."""
        self.check_ratios(start_after_drain)

    def test_load_is_even_when_balancers_are_killed(self) -> None:
        self.check_ratios(kill_two_balancers)

    def test_load_is_even_when_balancers_are_replaced(self) -> None:
        self.check_ratios(replace_all_balancers)

    def test_load_is_even_when_a_data_centre_leaves_and_returns(self) -> None:
        self.check_ratios(close_and_reopen_data_centre)
