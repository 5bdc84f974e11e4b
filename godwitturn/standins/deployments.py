"""The two deployments of today and the settings of their processes."""

import hashlib
import pathlib

import attrs
from nacl import public
from nacl import signing

from godwitturn.core import documents
from godwitturn.settings import secret_files


@attrs.frozen
class Deployment:
    """One users' setup.

    Attributes:
        name: Its name.
        data_centres: Its data centres.
        teams: The operating teams.
        services: Its services.
        target_count_by_service: Number of targets of each service.
        balancer_count: Number of balancers.
        caller_delay_s: Seconds one way between callers and balancers.
    """

    name: str
    data_centres: tuple[str, ...]
    teams: tuple[str, ...]
    services: tuple[documents.Service, ...]
    target_count_by_service: dict[str, int]
    balancer_count: int = 3
    caller_delay_s: float = 0.0

    def secret(self, *names: str) -> bytes:
        """Returns 32 reproducible bytes; good enough for stand-ins only."""
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
    """A member before it starts.

    Attributes:
        name: Its name.
        kind: Balancer or target.
        service: Name of its service; empty for a balancer.
        data_centre: Where it runs.
        secret_key: X25519 secret key.
    """

    name: str
    kind: documents.MemberKind
    service: str
    data_centre: str
    secret_key: bytes = attrs.field(repr=False)

    @property
    def public_key(self) -> bytes:
        """X25519 public key."""
        return bytes(public.PrivateKey(self.secret_key).public_key)

    def member(self) -> documents.Member:
        """Returns the record without approvals."""
        return documents.Member.from_public_key(
            self.public_key,
            name=self.name,
            kind=self.kind,
            service=self.service,
            data_centre=self.data_centre,
        )


def signing_keys(deployment: Deployment) -> dict[str, signing.SigningKey]:
    """Returns the signing key of each team."""
    return {
        team: signing.SigningKey(deployment.secret("team", team))
        for team in deployment.teams
    }


def balancer_specs(deployment: Deployment) -> list[MemberSpec]:
    """Returns the balancers, spread over the data centres."""
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
    """Returns the targets, spread over the data centres."""
    plans = []
    for service, count in deployment.target_count_by_service.items():
        for index in range(count):
            centre = index % len(deployment.data_centres)
            plans.append(
                MemberSpec(
                    f"{service}-{index}",
                    documents.MemberKind.TARGET,
                    service,
                    deployment.data_centres[centre],
                    deployment.secret("target", service, str(index)),
                )
            )
    return plans


def _common_text(
    deployment: Deployment, plan: MemberSpec, store_url: str
) -> str:
    teams = "\n".join(
        f'{team} = "{bytes(key.verify_key).hex()}"'
        for team, key in signing_keys(deployment).items()
    )
    return f"""deployment = "{deployment.name}"
data_centre = "{plan.data_centre}"

[identity]
name = "{plan.name}"
secret_key = "{plan.secret_key.hex()}"

[teams]
{teams}

[store]
endpoints = ["{store_url}"]
"""


def _token_key_text(deployment: Deployment, service_id: int) -> str:
    secret = deployment.secret("token", str(service_id)).hex()
    return f"""
[[token_keys]]
service_id = {service_id}
key_id = 1
secret = "{secret}"
"""


def _control_text(address: str, seeds: dict[str, MemberSpec]) -> str:
    text = f'\n[control]\naddress = "{address}"\n'
    for seed_address, plan in seeds.items():
        text += f"""
[[control.seeds]]
address = "{seed_address}"
public_key = "{plan.public_key.hex()}"
"""
    return text


def _admin_text(deployment: Deployment, address: str) -> str:
    if not address:
        return ""
    token = deployment.secret("admin").hex()
    return f'\n[admin]\naddress = "{address}"\ntoken = "{token}"\n'


def write_balancer_settings(
    path: pathlib.Path,
    deployment: Deployment,
    plan: MemberSpec,
    *,
    store_url: str,
    caller_address: str,
    control_address: str,
    seeds: dict[str, MemberSpec],
    admin_address: str = "",
) -> None:
    """Writes the settings of one balancer.

    Args:
        path: The file.
        deployment: Its deployment.
        plan: The balancer.
        store_url: The store's HTTP address.
        caller_address: Where the fabric hands datagrams to.
        control_address: Where peers connect to.
        seeds: Balancers by control address.
        admin_address: Where the administration API listens, if at all.
    """
    text = _common_text(deployment, plan, store_url)
    for service in deployment.services:
        text += _token_key_text(deployment, service.service_id)
    text += _control_text(control_address, seeds)
    text += f"""
[balancer]
caller_address = "{caller_address}"
data_address = "127.0.0.1:0"
"""
    secret_files.write(path, text + _admin_text(deployment, admin_address))


def write_agent_settings(
    path: pathlib.Path,
    deployment: Deployment,
    plan: MemberSpec,
    *,
    store_url: str,
    target_url: str,
    seeds: dict[str, MemberSpec],
    data_address: str = "127.0.0.1:0",
    admin_address: str = "",
    idle_seconds: float = 60.0,
) -> None:
    """Writes the settings of one agent.

    Args:
        path: The file.
        deployment: Its deployment.
        plan: The target.
        store_url: The store's HTTP address.
        target_url: The target's HTTP address.
        seeds: Balancers by control address.
        data_address: Where balancers deliver datagrams to.
        admin_address: Where the administration API listens, if at all.
        idle_seconds: Seconds after which a silent flow ends.
    """
    service = next(s for s in deployment.services if s.name == plan.service)
    text = _common_text(deployment, plan, store_url)
    text += _token_key_text(deployment, service.service_id)
    text += _control_text("127.0.0.1:0", seeds)
    text += f"""
[agent]
service = "{service.name}"
service_id = {service.service_id}
data_address = "{data_address}"
target_url = "{target_url}"
idle_seconds = {idle_seconds}
"""
    secret_files.write(path, text + _admin_text(deployment, admin_address))
