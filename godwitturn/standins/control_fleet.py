"""Fleets of daemons in a simulated network, and the daemons' documents."""

import attrs

from godwitturn.core import configuration
from godwitturn.core import documents
from godwitturn.core import downlinks
from godwitturn.standins import control_fixtures as fixtures
from godwitturn.standins import control_network

# Time within which a change must reach all daemons.
PROPAGATION_LIMIT_SECONDS = 3.0
RULES = documents.Rules(("east", "mid", "west"))
Daemon = fixtures.Daemon


def start(
    balancers: int, agents: int = 0, *, loss: float = 0.0, seed: int = 1
) -> tuple[control_network.Network, list[Daemon]]:
    """Starts all daemons of an approved fleet at once in a new network.

    Args:
        balancers: Number of balancers.
        agents: Number of agents.
        loss: Share of the messages that are lost.
        seed: Seed of the network's random generator.
    """
    network = control_network.Network(seed, loss=loss)
    members = fixtures.fleet(balancers, agents)
    fixtures.put_fleet_documents(network, members)
    daemons = [network.start(member) for member in members]
    return network, daemons


def version_of(daemon: Daemon) -> int:
    """Returns the revision through which a daemon has every document."""
    return daemon.node.configuration.complete_through


def numbered_rules(number: int) -> documents.Rules:
    """Returns rules that are unique to a number, by their ramp time."""
    return attrs.evolve(RULES, ramp_seconds=float(number))


def documents_of(daemon: Daemon) -> dict[str, configuration.VersionedDocument]:
    """Returns the documents in a daemon's configuration, by key."""
    return dict(daemon.node.configuration.document_by_key)


def expected_documents(
    network: control_network.Network, daemon: Daemon
) -> dict[str, configuration.VersionedDocument]:
    """Returns the documents in an up-to-date daemon's configuration, by key.

    A balancer has all documents, an agent those that its service needs.
    """
    service = daemon.member.service
    return {
        key: document
        for key, document in network.documents.items()
        if not service or downlinks.agent_subscribes_to(key, service)
    }


def bodies_of(daemon: Daemon) -> dict[str, bytes]:
    """Returns the bodies of a daemon's documents, by key."""
    return {key: found.body for key, found in documents_of(daemon).items()}


def expected_bodies(
    network: control_network.Network, daemon: Daemon
) -> dict[str, bytes]:
    """Returns the bodies of an up-to-date daemon's documents, by key."""
    return {
        key: document.body
        for key, document in expected_documents(network, daemon).items()
    }
