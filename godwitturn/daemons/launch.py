"""Command line of the daemons.

The daemons use argparse, not defopt as the operators' command line does:
defopt would load 5 MB of documentation tools into a process whose control
plane may use 32 MB.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterator
import errno
import pathlib
import sys

from godwitturn.settings import load
from godwitturn.settings import schema


def _leaf_errors(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for inner in error.exceptions:
        yield from _leaf_errors(inner)


def _is_bind_error(error: BaseException) -> bool:
    return getattr(error, "errno", None) in (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
    )


def _listen_addresses(settings: schema.Settings) -> list[str]:
    listen_addresses = [settings.control.address]
    if settings.balancer is not None:
        listen_addresses.append(settings.balancer.caller_address)
        listen_addresses.append(settings.balancer.data_address)
    if settings.agent is not None:
        listen_addresses.append(settings.agent.data_address)
    if settings.admin is not None:
        listen_addresses.append(settings.admin.address)
    return [f"{address.host}:{address.port}" for address in listen_addresses]


def main(description: str, run: Callable[[schema.Settings], None]) -> None:
    """Reads settings and runs a daemon until it is stopped.

    Args:
        description: Description of the daemon in `--help`.
        run: Runs the daemon.

    Raises:
        SystemExit: The settings are invalid, or an address cannot be bound.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument(
        "--settings", required=True, type=pathlib.Path, help="the TOML file"
    )
    file = parser.parse_args().settings
    settings = load.load_or_exit(file)
    try:
        run(settings)
    except Exception as error:
        causes = [leaf for leaf in _leaf_errors(error) if _is_bind_error(leaf)]
        if not causes:
            raise
        listed = ", ".join(_listen_addresses(settings))
        print(
            f"{file}: {causes[0]}: cannot bind one of {listed}; allowed: "
            "free addresses of this VM",
            file=sys.stderr,
        )
        raise SystemExit(load.EXIT_INVALID_SETTINGS) from error
