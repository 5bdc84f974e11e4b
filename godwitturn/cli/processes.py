"""Subcommands that run daemons, check settings and query balancers."""

import os
import pathlib
import sys
from typing import Any
from typing import Literal

from returns import result as results

from godwitturn.cli import exit_codes
from godwitturn.cli import output
from godwitturn.cli import session as sessions
from godwitturn.settings import load
from godwitturn.settings import operator
from godwitturn.settings import schema

ExitCode = exit_codes.ExitCode

STATUS_TIMEOUT_SECONDS = 5.0


def _run_daemon(file: str, role: str) -> ExitCode:
    printer = output.Output(json=False)
    settings = sessions.value_or_exit(printer, load.load(pathlib.Path(file)))
    if _role_of(settings) != role:
        error = f"{file}: no table [{role}]; allowed: settings of a {role}"
        return printer.print_errors(ExitCode.USAGE, [error])
    # The daemon replaces this process, so that modules that only the command
    # line needs do not stay in memory.
    module = f"godwitturn.daemons.{role}"
    command = [sys.executable, "-m", module, f"--settings={file}"]
    os.execv(sys.executable, command)


def _role_of(settings: schema.Settings) -> str:
    return "balancer" if settings.balancer is not None else "agent"


def run_balancer(settings: str) -> ExitCode:
    """Runs a balancer until it is asked to stop.

    Example::

        godwitturn run-balancer /etc/godwitturn/balancer.toml

    Args:
        settings: The daemon's settings file.
    """
    return _run_daemon(settings, "balancer")


def run_agent(settings: str) -> ExitCode:
    """Runs the agent of a target until it is asked to stop.

    Example::

        godwitturn run-agent /etc/godwitturn/agent.toml

    Args:
        settings: The daemon's settings file.
    """
    return _run_daemon(settings, "agent")


def check_settings(
    file: str,
    *,
    kind: Literal["daemon", "operator", "rules"] = "daemon",
    json: bool = False,
) -> ExitCode:
    """Checks a settings file and reports all errors in it.

    Example::

        godwitturn check-settings balancer.toml
        godwitturn check-settings godwitturn-operator.toml --kind operator

    Args:
        file: The TOML file.
        kind: What the file contains: settings of a daemon, settings of the
            operators' command line, or rules and services.
        json: Print JSON.
    """
    printer = output.Output(json=json)
    path = pathlib.Path(file)
    loaded: results.Result[Any, Any]
    match kind:
        case "daemon":
            loaded = load.load(path)
        case "operator":
            loaded = operator.load(path)
        case "rules":
            loaded = operator.load_rules(path)
    sessions.value_or_exit(printer, loaded)
    return printer.print_success(
        {"file": file, "kind": kind}, f"{file}: no faults"
    )


def status(
    *, settings: str = operator.DEFAULT_FILE, json: bool = False
) -> ExitCode:
    """Shows the state of each balancer that the settings list.

    Example::

        godwitturn status

    Args:
        settings: The operator's settings file.
        json: Print JSON.
    """
    session = sessions.open_session(sessions.Options(settings, json))
    balancers = session.settings.balancers
    if not balancers:
        error = (
            f"{settings}: balancers: [] is not allowed; allowed: at least one"
        )
        return session.output.print_errors(ExitCode.USAGE, [error])
    statuses = [_query_status(balancer) for balancer in balancers]
    text = output.table(
        ("URL", "NAME", "DATA CENTRE", "VERSION", "FENCED", "MEMBERS"),
        (_status_row(status_values) for status_values in statuses),
    )
    failed = any("error" in status_values for status_values in statuses)
    code = ExitCode.UNREACHABLE if failed else ExitCode.DONE
    return session.output.print_result(code, {"balancers": statuses}, text)


def _query_status(balancer: operator.Api) -> dict[str, Any]:
    """Returns a balancer's URL and status, or its URL and an error."""
    # Most subcommands do not need httpx and start faster without it.
    import httpx

    headers = {}
    if balancer.token:
        headers["authorization"] = f"Bearer {balancer.token.hex()}"
    url = balancer.url.rstrip("/")
    try:
        response = httpx.get(
            f"{url}/status",
            headers=headers,
            timeout=STATUS_TIMEOUT_SECONDS,
            trust_env=False,
        )
        response.raise_for_status()
        return {"url": url, **response.json()}
    except (httpx.HTTPError, httpx.InvalidURL, ValueError, TypeError) as error:
        return {"url": url, "error": str(error) or repr(error)}


def _status_row(status_values: dict[str, Any]) -> tuple[Any, ...]:
    if "error" in status_values:
        return (
            status_values["url"],
            f"error: {status_values['error']}",
            "",
            "",
            "",
            "",
        )
    return (
        status_values["url"],
        status_values.get("name", "-"),
        status_values.get("data_centre", "-"),
        status_values.get("version", "-"),
        "yes" if status_values.get("fenced") else "no",
        len(status_values.get("members", ())),
    )
