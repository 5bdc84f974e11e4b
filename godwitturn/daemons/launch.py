"""Starts a daemon in the present process.

argparse reads the one option. defopt, which the command line uses, would keep
5 MB of documentation tools in a process that has 32 MB for control.
"""

import argparse
from collections.abc import Callable
from collections.abc import Iterator
import errno
import pathlib
import sys

from godwitturn.settings import load
from godwitturn.settings import schema


def _leaves(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for inner in error.exceptions:
        yield from _leaves(inner)


def _is_bind_error(error: BaseException) -> bool:
    return getattr(error, "errno", None) in (
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
    )


def _addresses(settings: schema.Settings) -> list[str]:
    found = [settings.control.address]
    if settings.balancer is not None:
        found.append(settings.balancer.caller_address)
        found.append(settings.balancer.data_address)
    if settings.agent is not None:
        found.append(settings.agent.data_address)
    if settings.admin is not None:
        found.append(settings.admin.address)
    return [f"{address.host}:{address.port}" for address in found]


def main(description: str, run: Callable[[schema.Settings], None]) -> None:
    """Reads settings and runs a daemon until it is stopped.

    Args:
        description: What `--help` says of the daemon.
        run: Runs the daemon.

    Raises:
        SystemExit: The settings have faults, or an address is not free.
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
        causes = [leaf for leaf in _leaves(error) if _is_bind_error(leaf)]
        if not causes:
            raise
        listed = ", ".join(_addresses(settings))
        print(
            f"{file}: {causes[0]}: one of {listed} is not allowed; allowed: "
            "addresses of this VM that are free",
            file=sys.stderr,
        )
        raise SystemExit(load.EXIT_INVALID_SETTINGS) from error
