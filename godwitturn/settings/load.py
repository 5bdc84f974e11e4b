"""Reads settings files and reports all their faults at once."""

import ipaddress
import pathlib
import sys
import tomllib

from returns import result

from godwitturn.settings import schema
from godwitturn.settings import secret_files
from godwitturn.settings import specs

# The same as `cli.exit_codes.ExitCode.USAGE`.
FAULT_STATUS = 2

Loaded = result.Result[schema.Settings, tuple[specs.Fault, ...]]


def _cross_check(
    settings: schema.Settings, file: str
) -> tuple[specs.Fault, ...]:
    faults = []
    roles = [settings.balancer, settings.agent]
    if sum(role is not None for role in roles) != 1:
        faults.append(
            specs.Fault(
                file,
                "balancer, agent",
                f"{sum(role is not None for role in roles)} of the tables",
                "exactly one of the tables [balancer] and [agent]",
            )
        )
    if not settings.teams:
        faults.append(
            specs.Fault(file, "teams", "{}", "at least one operating team")
        )
    if settings.agent is not None:
        faults += [
            specs.Fault(
                file,
                f"token_keys[{index}].service_id",
                str(key.service_id),
                f"{settings.agent.service_id}, the agent's own service",
            )
            for index, key in enumerate(settings.token_keys)
            if key.service_id != settings.agent.service_id
        ]
    admin = settings.admin
    if admin is not None and not settings.store.endpoints:
        allowed = "at least one URL, since [admin] is set"
        faults.append(specs.Fault(file, "store.endpoints", "[]", allowed))
    if admin is not None and not admin.token:
        host = admin.address.host
        if not ipaddress.ip_address(host).is_loopback:
            faults.append(
                specs.Fault(
                    file,
                    "admin.address",
                    f"{host} without admin.token",
                    "a loopback address, or a token",
                )
            )
    if not settings.token_keys:
        faults.append(
            specs.Fault(file, "token_keys", "[]", "at least one key")
        )
    return tuple(faults)


def parse(text: str, *, file: str) -> Loaded:
    """Returns the settings in a TOML text, or all faults in it."""
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = specs.Fault(file, "(file)", str(error), "TOML syntax")
        return result.Failure((fault,))
    checker = specs.Checker(file)
    settings = checker.check_table(values, schema.Settings, "")
    if settings is None:
        return result.Failure(tuple(checker.faults))
    faults = _cross_check(settings, file)
    return result.Failure(faults) if faults else result.Success(settings)


def load(path: pathlib.Path) -> Loaded:
    """Returns the settings in a file, or all faults in it.

    The file holds keys, so that its mode is checked as well.
    """
    found = secret_files.read(path)
    if isinstance(found, result.Failure):
        return found
    secret = found.unwrap()
    faults = secret_files.mode_faults(path, secret.mode)
    parsed = parse(secret.text, file=str(path))
    if isinstance(parsed, result.Failure):
        faults += parsed.failure()
    return result.Failure(faults) if faults else parsed


def load_or_exit(path: pathlib.Path) -> schema.Settings:
    """Returns the settings, or prints every fault and exits.

    Raises:
        SystemExit: The file has faults; the status is `FAULT_STATUS`.
    """
    match load(path):
        case result.Success(settings):
            return settings
        case result.Failure(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
    raise SystemExit(FAULT_STATUS)
