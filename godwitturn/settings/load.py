"""Reads a daemon's settings file and reports all errors in it at once."""

import ipaddress
import pathlib
import sys
import tomllib

from returns import result

from godwitturn.settings import schema
from godwitturn.settings import secret_files
from godwitturn.settings import specs

# Equals `cli.exit_codes.ExitCode.USAGE`.
EXIT_INVALID_SETTINGS = 2

Loaded = result.Result[schema.Settings, tuple[specs.ValidationError, ...]]


def _validate(
    settings: schema.Settings, file: str
) -> tuple[specs.ValidationError, ...]:
    """Returns errors that involve more than one value."""
    errors = []
    roles = [settings.balancer, settings.agent]
    if sum(role is not None for role in roles) != 1:
        errors.append(
            specs.ValidationError(
                file,
                "balancer, agent",
                f"{sum(role is not None for role in roles)} of the tables",
                "exactly one of the tables [balancer] and [agent]",
            )
        )
    if not settings.teams:
        errors.append(
            specs.ValidationError(
                file, "teams", "{}", "at least one operating team"
            )
        )
    if settings.agent is not None:
        errors += [
            specs.ValidationError(
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
        errors.append(
            specs.ValidationError(file, "store.endpoints", "[]", allowed)
        )
    if admin is not None and not admin.token:
        host = admin.address.host
        if not ipaddress.ip_address(host).is_loopback:
            errors.append(
                specs.ValidationError(
                    file,
                    "admin.address",
                    f"{host} without admin.token",
                    "a loopback address, or a token",
                )
            )
    if not settings.token_keys:
        errors.append(
            specs.ValidationError(file, "token_keys", "[]", "at least one key")
        )
    return tuple(errors)


def parse(text: str, *, file: str) -> Loaded:
    """Returns the settings in a TOML text, or all errors in it."""
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        error = specs.ValidationError(file, "(file)", str(exc), "TOML syntax")
        return result.Failure((error,))
    checker = specs.Checker(file)
    settings = checker.check_table(values, schema.Settings, "")
    if settings is None:
        return result.Failure(tuple(checker.errors))
    errors = _validate(settings, file)
    return result.Failure(errors) if errors else result.Success(settings)


def load(path: pathlib.Path) -> Loaded:
    """Returns the settings in a file, or all errors in it.

    The file holds secret keys, so its mode is checked as well.
    """
    contents = secret_files.read(path)
    if isinstance(contents, result.Failure):
        return contents
    secret = contents.unwrap()
    errors = secret_files.validate_mode(path, secret.mode)
    parsed = parse(secret.text, file=str(path))
    if isinstance(parsed, result.Failure):
        errors += parsed.failure()
    return result.Failure(errors) if errors else parsed


def load_or_exit(path: pathlib.Path) -> schema.Settings:
    """Returns the settings in a file, or prints all errors and exits.

    Raises:
        SystemExit: The file has errors; the status is `EXIT_INVALID_SETTINGS`.
    """
    match load(path):
        case result.Success(settings):
            return settings
        case result.Failure(errors):
            for error in errors:
                print(error, file=sys.stderr)
    raise SystemExit(EXIT_INVALID_SETTINGS)
