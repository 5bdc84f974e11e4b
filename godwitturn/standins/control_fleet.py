"""A fleet in a network in memory, and what its daemons hold."""

import attrs

from godwitturn.core import configuration
from godwitturn.core import documents
from godwitturn.core import downlinks
from godwitturn.standins import control_fixtures as fixtures
from godwitturn.standins import control_network

BOUND_SECONDS = 3.0
RULES = documents.Rules(("east", "mid", "west"))
Daemon = fixtures.Daemon


def start(
    balancers: int, agents: int = 0, *, loss: float = 0.0, seed: int = 1
) -> tuple[control_network.Network, list[Daemon]]:
    """Starts an approved fleet at once in a new network."""
    network = control_network.Network(seed, loss=loss)
    members = fixtures.fleet(balancers, agents)
    fixtures.put_fleet_documents(network, members)
    daemons = [network.start(member) for member in members]
    return network, daemons


def version_of(daemon: Daemon) -> int:
    """Returns the revision up to which a daemon holds every document."""
    return daemon.node.configuration.complete_through


def numbered_rules(number: int) -> documents.Rules:
    """Returns rules that differ by number."""
    return attrs.evolve(RULES, ramp_seconds=float(number))


def held_by(daemon: Daemon) -> dict[str, configuration.VersionedDocument]:
    """Returns the documents that a daemon holds, by key."""
    return dict(daemon.node.configuration.document_by_key)


def wanted_by(
    network: control_network.Network, daemon: Daemon
) -> dict[str, configuration.VersionedDocument]:
    """Returns what a daemon that reads the store on each tick holds."""
    service = daemon.member.service
    return {
        key: document
        for key, document in network.documents.items()
        if not service or downlinks.wanted_by_agent(key, service)
    }
