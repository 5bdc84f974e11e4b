"""Models of the two users' deployments, and settings of their daemons."""

import hashlib
import pathlib

import attrs
from nacl import public
from nacl import signing

from godwitturn.core import documents
from godwitturn.settings import secret_files


@attrs.frozen
class Deployment:
    """A deployment that can run as processes on one machine.

    Attributes:
        name: Name of the deployment.
        data_centres: Names of its data centres.
        teams: Names of its operating teams.
        services: Its services.
        target_count_by_service: Number of targets of each service.
        balancer_count: Number of balancers.
        caller_delay_s: One-way delay in seconds between callers and
            balancers.
    """

    name: str
    data_centres: tuple[str, ...]
    teams: tuple[str, ...]
    services: tuple[documents.Service, ...]
    target_count_by_service: dict[str, int]
    balancer_count: int = 3
    caller_delay_s: float = 0.0

    def secret(self, *names: str) -> bytes:
        """Returns 32 bytes derived from the names; not secret."""
        text = "/".join((self.name, *names)).encode()
        return hashlib.blake2b(text, digest_size=32).digest()


KOLKATA = Deployment(
    "kolkata",
    ("howrah", "salt-lake", "durgapur"),
    ("licensing", "operations"),
    (
        documents.Service("onboard-core", 1, 2000, 1),
        documents.Service("permit-desk", 2, 2000, 1),
    ),
    {"onboard-core": 7, "permit-desk": 3},
    caller_delay_s=0.003,
)
PERTH = Deployment(
    "perth",
    ("subiaco", "joondalup", "fremantle", "midland"),
    ("editorial", "platform"),
    (
        documents.Service("styledesk", 3, 2000, 3),
        documents.Service("guideshelf", 4, 2000, 3),
    ),
    {"styledesk": 7, "guideshelf": 4},
    caller_delay_s=0.001,
)


@attrs.frozen
class MemberSpec:
    """Describes a member, which may or may not have been started.

    Attributes:
        name: Name of the member.
        kind: Balancer or target.
        service: Name of its service; empty for a balancer.
        data_centre: Data centre in which it runs.
        secret_key: X25519 secret key.
    """

    name: str
    kind: documents.MemberKind
    service: str
    data_centre: str
    secret_key: bytes = attrs.field(repr=False)

    @property
    def public_key(self) -> bytes:
        """X25519 public key that belongs to `secret_key`."""
        return bytes(public.PrivateKey(self.secret_key).public_key)

    def member(self) -> documents.Member:
        """Returns the member as the inventory lists it, without approvals."""
        return documents.Member.from_public_key(
            self.public_key,
            name=self.name,
            kind=self.kind,
            service=self.service,
            data_centre=self.data_centre,
        )


def signing_keys(deployment: Deployment) -> dict[str, signing.SigningKey]:
    """Returns the signing keys by team."""
    return {
        team: signing.SigningKey(deployment.secret("team", team))
        for team in deployment.teams
    }


def balancer_specs(deployment: Deployment) -> list[MemberSpec]:
    """Returns balancers, assigned to the data centres in turn."""
    count = len(deployment.data_centres)
    return [
        MemberSpec(
            f"{deployment.name}-balancer-{index}",
            documents.MemberKind.BALANCER,
            "",
            deployment.data_centres[index % count],
            deployment.secret("balancer", str(index)),
        )
        for index in range(deployment.balancer_count)
    ]


def target_specs(deployment: Deployment) -> list[MemberSpec]:
    """Returns targets; those of a service take data centres in turn."""
    specs = []
    for service, count in deployment.target_count_by_service.items():
        for index in range(count):
            data_centre_index = index % len(deployment.data_centres)
            specs.append(
                MemberSpec(
                    f"{service}-{index}",
                    documents.MemberKind.TARGET,
                    service,
                    deployment.data_centres[data_centre_index],
                    deployment.secret("target", service, str(index)),
                )
            )
    return specs


def _common_settings(
    deployment: Deployment, spec: MemberSpec, store_url: str
) -> str:
    teams = "\n".join(
        f'{team} = "{bytes(key.verify_key).hex()}"'
        for team, key in signing_keys(deployment).items()
    )
    return f"""deployment = "{deployment.name}"
data_centre = "{spec.data_centre}"

[identity]
name = "{spec.name}"
secret_key = "{spec.secret_key.hex()}"

[teams]
{teams}

[store]
endpoints = ["{store_url}"]
"""


def _token_key_settings(deployment: Deployment, service_id: int) -> str:
    secret = deployment.secret("token", str(service_id)).hex()
    return f"""
[[token_keys]]
service_id = {service_id}
key_id = 1
secret = "{secret}"
"""


def _control_settings(address: str, seeds: dict[str, MemberSpec]) -> str:
    text = f'\n[control]\naddress = "{address}"\n'
    for seed_address, spec in seeds.items():
        text += f"""
[[control.seeds]]
address = "{seed_address}"
public_key = "{spec.public_key.hex()}"
"""
    return text


def _admin_settings(deployment: Deployment, address: str) -> str:
    if not address:
        return ""
    token = deployment.secret("admin").hex()
    return f'\n[admin]\naddress = "{address}"\ntoken = "{token}"\n'


def write_balancer_settings(
    path: pathlib.Path,
    deployment: Deployment,
    balancer: MemberSpec,
    *,
    store_url: str,
    caller_address: str,
    control_address: str,
    seeds: dict[str, MemberSpec],
    admin_address: str = "",
) -> None:
    """Writes the settings file of a balancer.

    Args:
        path: Path of the file.
        deployment: Deployment that the balancer belongs to.
        balancer: The balancer.
        store_url: HTTP address of the store.
        caller_address: Address that receives callers' datagrams.
        control_address: Address that accepts control connections.
        seeds: Seed balancers by control address.
        admin_address: Address of the administration API; empty for none.
    """
    text = _common_settings(deployment, balancer, store_url)
    for service in deployment.services:
        text += _token_key_settings(deployment, service.service_id)
    text += _control_settings(control_address, seeds)
    text += f"""
[balancer]
caller_address = "{caller_address}"
data_address = "127.0.0.1:0"
"""
    secret_files.write(path, text + _admin_settings(deployment, admin_address))


def write_agent_settings(
    path: pathlib.Path,
    deployment: Deployment,
    target: MemberSpec,
    *,
    store_url: str,
    target_url: str,
    seeds: dict[str, MemberSpec],
    data_address: str = "127.0.0.1:0",
    admin_address: str = "",
    idle_seconds: float = 60.0,
) -> None:
    """Writes the settings file of an agent.

    Args:
        path: Path of the file.
        deployment: Deployment that the agent belongs to.
        target: The target.
        store_url: HTTP address of the store.
        target_url: HTTP address of the target.
        seeds: Seed balancers by control address.
        data_address: Address that receives datagrams from balancers.
        admin_address: Address of the administration API; empty for none.
        idle_seconds: Seconds without traffic after which a flow ends.
    """
    service = next(s for s in deployment.services if s.name == target.service)
    text = _common_settings(deployment, target, store_url)
    text += _token_key_settings(deployment, service.service_id)
    text += _control_settings("127.0.0.1:0", seeds)
    text += f"""
[agent]
service = "{service.name}"
service_id = {service.service_id}
data_address = "{data_address}"
target_url = "{target_url}"
idle_seconds = {idle_seconds}
"""
    secret_files.write(path, text + _admin_settings(deployment, admin_address))
