"""Schema of a daemon's settings."""

import attrs

from godwitturn.core import addresses
from godwitturn.settings import specs

KEY_BYTES = 32


@attrs.frozen
class Identity:
    """Identity of this process.

    Attributes:
        name: Name of the member in the inventory.
        secret_key: X25519 secret key.
    """

    name: str = specs.setting(specs.Text())
    secret_key: bytes = specs.setting(specs.Hex(KEY_BYTES, secret=True))


@attrs.frozen
class TokenKey:
    """A secret that authenticates the routing tokens of one service."""

    service_id: int = specs.setting(specs.Integer(1, 65535))
    key_id: int = specs.setting(specs.Integer(0, 255))
    secret: bytes = specs.setting(specs.Hex(KEY_BYTES, secret=True))


@attrs.frozen
class Seed:
    """A balancer to contact first.

    Attributes:
        address: Its control address.
        public_key: Its X25519 public key.
    """

    address: addresses.Address = specs.setting(specs.SocketAddress())
    public_key: bytes = specs.setting(specs.Hex(KEY_BYTES))


@attrs.frozen
class Balancer:
    """Addresses of a balancer.

    Attributes:
        caller_address: Where the fabric sends callers' datagrams.
        data_address: Where agents send datagrams.
    """

    caller_address: addresses.Address = specs.setting(specs.SocketAddress())
    data_address: addresses.Address = specs.setting(specs.SocketAddress())


@attrs.frozen
class Agent:
    """Addresses and target of an agent.

    Attributes:
        service: Name of the service.
        service_id: Number of the service.
        data_address: Where balancers send datagrams.
        target_url: HTTP URL of the target.
        idle_seconds: Seconds without traffic after which a flow ends.
    """

    service: str = specs.setting(specs.Text())
    service_id: int = specs.setting(specs.Integer(1, 65535))
    data_address: addresses.Address = specs.setting(specs.SocketAddress())
    target_url: str = specs.setting(specs.Url())
    idle_seconds: float = specs.setting(specs.Number(5, 3600), 60.0)


@attrs.frozen
class Control:
    """The control channel.

    Attributes:
        address: Where peers connect.
        seeds: Balancers to contact first.
    """

    address: addresses.Address = specs.setting(specs.SocketAddress())
    seeds: tuple[Seed, ...] = specs.setting(
        specs.ListOf(specs.TableOf(Seed)), ()
    )


@attrs.frozen
class Store:
    """The platform's key-value store.

    Attributes:
        endpoints: Its HTTP URLs, tried in order.
        timeout_seconds: Seconds after which a call has failed.
    """

    endpoints: tuple[str, ...] = specs.setting(specs.ListOf(specs.Url()), ())
    timeout_seconds: float = specs.setting(specs.Number(0.1, 60), 2.0)


@attrs.frozen
class Admin:
    """The administration API.

    Attributes:
        address: Where it listens.
        token: Bearer token of operators; required unless the address is a
            loopback address.
    """

    address: addresses.Address = specs.setting(
        specs.SocketAddress(), addresses.Address("127.0.0.1", 7900)
    )
    token: bytes = specs.setting(specs.Hex(KEY_BYTES, secret=True), b"")


@attrs.frozen
class Log:
    """Log output.

    Attributes:
        level: Lowest level that is written.
    """

    level: str = specs.setting(
        specs.Choice(("debug", "info", "warning", "error")), "info"
    )


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Attributes:
        deployment: Name of the deployment, which is part of the store's keys.
        data_centre: Data centre in which the process runs.
        identity: Identity of the process.
        teams: Ed25519 public key of each operating team.
        token_keys: Keys of all services for a balancer, of its own service
            for an agent.
        control: The control channel.
        store: The platform's store.
        balancer: Set for a balancer.
        agent: Set for an agent.
        admin: The administration API, off if not set.
        log: Log output.
    """

    deployment: str = specs.setting(specs.Text())
    data_centre: str = specs.setting(specs.Text())
    identity: Identity = specs.setting(specs.TableOf(Identity))
    teams: dict[str, bytes] = specs.setting(specs.MapOf(specs.Hex(KEY_BYTES)))
    token_keys: tuple[TokenKey, ...] = specs.setting(
        specs.ListOf(specs.TableOf(TokenKey))
    )
    control: Control = specs.setting(specs.TableOf(Control))
    store: Store = specs.setting(specs.TableOf(Store), Store())
    balancer: Balancer | None = specs.setting(specs.TableOf(Balancer), None)
    agent: Agent | None = specs.setting(specs.TableOf(Agent), None)
    admin: Admin | None = specs.setting(specs.TableOf(Admin), None)
    log: Log = specs.setting(specs.TableOf(Log), Log())
