"""Starts deployments without traffic as processes, for benchmarks."""

from collections.abc import AsyncIterator
import contextlib

import attrs

from godwitturn.core import documents
from godwitturn.standins import deployments
from godwitturn.standins import operator_actions
from godwitturn.standins import system_runs


def make_deployment(balancers: int, agents: int) -> deployments.Deployment:
    """Returns a deployment of three data centres and one service."""
    return deployments.Deployment(
        "bench",
        ("east", "west", "north"),
        ("red", "blue"),
        (documents.Service("papers", 11, 200, 2),),
        {"papers": agents},
        balancers,
    )


@contextlib.asynccontextmanager
async def start_fleet(
    balancers: int, agents: int
) -> AsyncIterator[tuple[system_runs.Run, operator_actions.OperatorClient]]:
    """Yields a serving deployment and a client that changes its documents.

    The processes are killed at the end.
    """
    deployment = make_deployment(balancers, agents)
    rules = attrs.evolve(
        system_runs.RULES, data_centres=deployment.data_centres
    )
    async with (
        system_runs.start_system(deployment, rules) as run,
        operator_actions.open_operator_client(run) as operators,
    ):
        yield run, operators
