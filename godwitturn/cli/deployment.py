"""Subcommands that check a deployment and show the states of daemons."""

import json as json_format
import pathlib
import tomllib
from typing import Any

from godwitturn.cli import exit_codes
from godwitturn.cli import output
from godwitturn.core.transparent import mirror
from godwitturn.daemons import metrics_page
from godwitturn.platform import __main__ as platform_main
from godwitturn.platform import settings as platform_settings
from godwitturn.platform import store

ExitCode = exit_codes.ExitCode

DEPLOY_FILE = pathlib.Path("deploy/system.toml")
TIMEOUT_S = 3.0
# The platform rejects templates of this size or larger.
MAX_TEMPLATE_BYTES = 64 * 1024
# Allowed values of the key `on` of a role.
_ON_VALUES = ("edge", "side")
_TARGET_HEADER = (
    "BALANCER",
    "VERSION",
    "AGENT",
    "SERVICE",
    "STATE",
    "SILENT S",
    "LOAD",
    "FLOWS",
)
_AGENT_HEADER = (
    "AGENT",
    "SERVICE",
    "STATE",
    "INCARNATION",
    "FLOWS",
    "REVISION",
)


def check_deployment(
    *, file: str = str(DEPLOY_FILE), settings: str = "", json: bool = False
) -> ExitCode:
    """Checks the deploy file, its templates and the given settings.

    Example::

        godwitturn check-deployment
        godwitturn check-deployment --settings /etc/godwitturn/boot.yaml

    Args:
        file: The deploy file.
        settings: The settings of a process, as rendered from the template. The
            store that they name is read too, as a test.
        json: Whether to print one JSON object.
    """
    printer = output.Output(json=json)
    errors = _deploy_file_errors(pathlib.Path(file))
    if settings:
        errors += _settings_errors(pathlib.Path(settings))
    if errors:
        return printer.print_errors(ExitCode.REFUSED, errors)
    return printer.print_success({"faults": []}, "no faults")


def _deploy_file_errors(path: pathlib.Path) -> list[str]:
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        return [f"{path}: {exc}"]
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [f"{path}: roles is {roles!r}; expected a table for each role"]
    errors = []
    for name, role in roles.items():
        root = path.parent.parent
        errors += [
            f"{path}: roles.{name}: {error}"
            for error in _role_errors(role, root)
        ]
    return errors


def _role_errors(role: dict[str, Any], root: pathlib.Path) -> list[str]:
    errors = []
    program = str(role.get("run", "")).split()[-1:]
    if not program or program[0] not in platform_main.ROLES:
        errors.append(
            f"run is {role.get('run')!r}; it must end with one of "
            f"{', '.join(platform_main.ROLES)}"
        )
    if role.get("on") not in _ON_VALUES:
        errors.append(
            f"on is {role.get('on')!r}; allowed: {', '.join(_ON_VALUES)}"
        )
    metrics = role.get("metrics")
    expected = f"{metrics_page.PORT}{metrics_page.METRICS_PATH}"
    if metrics is not None and metrics != expected:
        errors.append(f"metrics is {metrics!r}; allowed: {expected!r}")
    template = root / str(role.get("template"))
    if not template.is_file():
        errors.append(f"template is {role.get('template')!r}; no such file")
    elif template.stat().st_size >= MAX_TEMPLATE_BYTES:
        errors.append(
            f"template has {template.stat().st_size} bytes; "
            f"allowed: fewer than {MAX_TEMPLATE_BYTES}"
        )
    return errors


def _settings_errors(path: pathlib.Path) -> list[str]:
    try:
        fields = json_format.loads(path.read_text())
        decoded = platform_settings.decode(fields)
    except (OSError, ValueError, platform_settings.SettingsError) as exc:
        return [f"{path}: {exc}"]
    result = store.read_operator_documents(decoded.store)
    if isinstance(result, mirror.Failure):
        host, port = decoded.store
        return [f"store at {host}:{port}: {result.value}"]
    return []


def beliefs(*addresses: str, json: bool = False) -> ExitCode:
    """Shows the targets as balancers see them, and the states of agents.

    Example::

        godwitturn beliefs 10.1.0.10 10.2.0.31

    Args:
        addresses: IP addresses of balancers and agents.
        json: Whether to print one JSON object.
    """
    # Most subcommands do not need httpx and start faster without it.
    import httpx

    printer = output.Output(json=json)
    if not addresses:
        return printer.print_errors(
            ExitCode.USAGE,
            ["addresses: none is given; allowed: one or more IP addresses"],
        )
    state_by_address: dict[str, Any] = {}
    errors = []
    for address in addresses:
        url = f"http://{address}:{metrics_page.PORT}{metrics_page.STATE_PATH}"
        try:
            response = httpx.get(url, timeout=TIMEOUT_S)
            response.raise_for_status()
            state_by_address[address] = response.json()
        except (httpx.HTTPError, ValueError) as exc:
            errors.append(f"{address}: {exc or type(exc).__name__}")
    if not errors:
        return printer.print_success(
            {"daemons": state_by_address}, _state_tables(state_by_address)
        )
    if not json and state_by_address:
        print(_state_tables(state_by_address))
    return printer.print_errors(
        ExitCode.UNREACHABLE, errors, daemons=state_by_address
    )


def _state_tables(state_by_address: dict[str, Any]) -> str:
    """Returns a table of the balancers' targets and one of the agents."""
    target_rows = []
    agent_rows = []
    for address, state in state_by_address.items():
        if "targets" not in state:
            agent_rows.append(
                (
                    address,
                    state["service"],
                    state["state"],
                    state["incarnation"],
                    state["flows"],
                    state["revision"],
                )
            )
            continue
        target_rows += [
            (
                address,
                state["version"],
                agent,
                target["service"],
                target["state"],
                target["silent_s"],
                target["load"],
                target["flows_here"],
            )
            for agent, target in sorted(state["targets"].items())
        ]
    tables = []
    if target_rows:
        tables.append(output.table(_TARGET_HEADER, target_rows))
    if agent_rows:
        tables.append(output.table(_AGENT_HEADER, agent_rows))
    return "\n\n".join(tables)
