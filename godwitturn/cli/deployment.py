"""Subcommands for the users' platform: check a deployment, show beliefs."""

import json as json_format
import pathlib
import tomllib
from typing import Any

from godwitturn.cli import exit_codes
from godwitturn.cli import output
from godwitturn.core.transparent import mirror
from godwitturn.daemons import metrics_page
from godwitturn.platform import __main__ as starter
from godwitturn.platform import settings as settings_module
from godwitturn.platform import store

ExitCode = exit_codes.ExitCode

DEPLOY_FILE = pathlib.Path("deploy/system.toml")
TIMEOUT_S = 3.0
# The platform takes templates smaller than this.
MAX_TEMPLATE_BYTES = 64 * 1024
_CLASSES = ("edge", "side")
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
    """Checks the deploy file, its template, and settings if they are given.

    Example::

        godwitturn check-deployment
        godwitturn check-deployment --settings /etc/godwitturn/boot.yaml

    Args:
        file: The deploy file.
        settings: A process's settings as the template renders them; the store
            that they name is asked too.
        json: Whether to print one JSON object.
    """
    printer = output.Output(json=json)
    faults = _deploy_faults(pathlib.Path(file))
    if settings:
        faults += _settings_faults(pathlib.Path(settings))
    if faults:
        return printer.failed(ExitCode.REFUSED, faults)
    return printer.done({"faults": []}, "no faults")


def _deploy_faults(path: pathlib.Path) -> list[str]:
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        return [f"{path}: {exc}"]
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [f"{path}: roles is {roles!r}; expected a table for each role"]
    faults = []
    for name, role in roles.items():
        root = path.parent.parent
        faults += [
            f"{path}: roles.{name}: {fault}"
            for fault in _role_faults(role, root)
        ]
    return faults


def _role_faults(role: dict[str, Any], root: pathlib.Path) -> list[str]:
    faults = []
    program = str(role.get("run", "")).split()[-1:]
    if not program or program[0] not in starter.ROLES:
        faults.append(
            f"run is {role.get('run')!r}; it must end with one of "
            f"{', '.join(starter.ROLES)}"
        )
    if role.get("on") not in _CLASSES:
        faults.append(
            f"on is {role.get('on')!r}; allowed: {', '.join(_CLASSES)}"
        )
    metrics = role.get("metrics")
    expected = f"{metrics_page.PORT}{metrics_page.METRICS_PATH}"
    if metrics is not None and metrics != expected:
        faults.append(f"metrics is {metrics!r}; allowed: {expected!r}")
    template = root / str(role.get("template"))
    if not template.is_file():
        faults.append(f"template is {role.get('template')!r}; no such file")
    elif template.stat().st_size >= MAX_TEMPLATE_BYTES:
        faults.append(
            f"template has {template.stat().st_size} bytes; "
            f"allowed: fewer than {MAX_TEMPLATE_BYTES}"
        )
    return faults


def _settings_faults(path: pathlib.Path) -> list[str]:
    try:
        fields = json_format.loads(path.read_text())
        decoded = settings_module.decode(fields)
    except (OSError, ValueError, settings_module.SettingsError) as exc:
        return [f"{path}: {exc}"]
    result = store.read_operator_documents(decoded.store)
    if isinstance(result, mirror.Failure):
        host, port = decoded.store
        return [f"store at {host}:{port}: {result.value}"]
    return []


def beliefs(*addresses: str, json: bool = False) -> ExitCode:
    """Shows what daemons on the platform believe.

    Example::

        godwitturn beliefs 10.1.0.10 10.2.0.31

    Args:
        addresses: IP numbers of balancers and agents.
        json: Whether to print one JSON object.
    """
    import httpx  # other subcommands don't need it

    printer = output.Output(json=json)
    if not addresses:
        return printer.failed(ExitCode.USAGE, ["no address; name one or more"])
    state_by_address: dict[str, Any] = {}
    errors = []
    for address in addresses:
        url = f"http://{address}:{metrics_page.PORT}{metrics_page.STATE_PATH}"
        try:
            answer = httpx.get(url, timeout=TIMEOUT_S)
            answer.raise_for_status()
            state_by_address[address] = answer.json()
        except (httpx.HTTPError, ValueError) as exc:
            errors.append(f"{address}: {exc or type(exc).__name__}")
    if not errors:
        return printer.done(
            {"daemons": state_by_address}, _text(state_by_address)
        )
    if not json and state_by_address:
        print(_text(state_by_address))
    return printer.failed(
        ExitCode.UNREACHABLE, errors, daemons=state_by_address
    )


def _text(state_by_address: dict[str, Any]) -> str:
    """Returns states as tables, one for balancers and one for agents."""
    targets = []
    agents = []
    for address, state in state_by_address.items():
        if "targets" not in state:
            agents.append(
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
        targets += [
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
    parts = []
    if targets:
        parts.append(output.table(_TARGET_HEADER, targets))
    if agents:
        parts.append(output.table(_AGENT_HEADER, agents))
    return "\n\n".join(parts)
