"""Settings and rules files of the operators' command line."""

import pathlib
import tomllib

import attrs
from nacl import signing
from returns import result as results

from godwitturn.core import documents
from godwitturn.settings import schema
from godwitturn.settings import secret_files
from godwitturn.settings import specs

DEFAULT_FILE = "godwitturn-operator.toml"


@attrs.frozen
class Team:
    """The team that runs the commands.

    Attributes:
        name: Its name in `teams`.
        signing_key_file: File with its Ed25519 secret key, as `keygen team`
            writes it; relative to the directory of the settings file.
    """

    name: str = specs.setting(specs.Text())
    signing_key_file: str = specs.setting(specs.Text())


@attrs.frozen
class Api:
    """Administration API of one balancer.

    Attributes:
        url: HTTP URL of the API.
        token: Bearer token; none is sent if it is empty.
    """

    url: str = specs.setting(specs.Url())
    token: bytes = specs.setting(specs.Hex(schema.KEY_BYTES, secret=True), b"")


@attrs.frozen
class Settings:
    """Settings of the operators' command line.

    Attributes:
        deployment: Name of the deployment, which is part of the store's keys.
        store: The platform's store.
        teams: Ed25519 public key of each operating team.
        team: Team that signs approvals and withdrawals; other commands don't
            need it.
        balancers: Administration APIs that `status` queries.
    """

    deployment: str = specs.setting(specs.Text())
    store: schema.Store = specs.setting(specs.TableOf(schema.Store))
    teams: dict[str, bytes] = specs.setting(
        specs.MapOf(specs.Hex(schema.KEY_BYTES))
    )
    team: Team | None = specs.setting(specs.TableOf(Team), None)
    balancers: tuple[Api, ...] = specs.setting(
        specs.ListOf(specs.TableOf(Api)), ()
    )


@attrs.frozen
class ServiceLimits:
    """Limits of a service in a rules file; see `core.documents.Service`.

    The table `services` has the limits under the name of the service.
    """

    service_id: int = specs.setting(specs.Integer(1, 65535))
    connection_limit: int = specs.setting(specs.Integer(1, 1_000_000), 2000)
    slots: int = specs.setting(specs.Integer(1, 10_000), 1)


@attrs.frozen
class Rules:
    """The rules in a rules file; see `core.documents.Rules`.

    The file does not list the data centres that are out; the subcommands
    `data-centre-out` and `data-centre-in` change that list.
    """

    data_centres: tuple[str, ...] = specs.setting(specs.ListOf(specs.Text()))
    apart: tuple[tuple[str, ...], ...] = specs.setting(
        specs.ListOf(specs.ListOf(specs.Text())), ()
    )
    cold_fraction: float = specs.setting(specs.Number(0.001, 1), 0.1)
    ramp_seconds: float = specs.setting(specs.Number(0, 3600), 30.0)
    return_seconds: float = specs.setting(specs.Number(0, 3600), 30.0)


@attrs.frozen
class RulesFile:
    """A file of rules and services; either part may be left out."""

    rules: Rules | None = specs.setting(specs.TableOf(Rules), None)
    services: dict[str, ServiceLimits] = specs.setting(
        specs.MapOf(specs.TableOf(ServiceLimits)), attrs.Factory(dict)
    )

    def rules_document(self) -> documents.Rules | None:
        """Returns the rules for the store, with no data centre out."""
        if self.rules is None:
            return None
        return documents.Rules(
            self.rules.data_centres,
            (),
            tuple((first, second) for first, second in self.rules.apart),
            self.rules.cold_fraction,
            self.rules.ramp_seconds,
            self.rules.return_seconds,
        )

    def service_documents(self) -> list[documents.Service]:
        """Returns the services for the store."""
        return [
            documents.Service(
                name,
                limits.service_id,
                limits.connection_limit,
                limits.slots,
            )
            for name, limits in self.services.items()
        ]


Errors = tuple[specs.ValidationError, ...]
Loaded = results.Result[Settings, Errors]
RulesLoaded = results.Result[RulesFile, Errors]


def _read_text(path: pathlib.Path) -> results.Result[str, Errors]:
    return secret_files.read(path).map(lambda secret: secret.text)


def _parse_table(text: str, type_: type, file: str) -> results.Result:
    """Returns a TOML text as an instance of `type_`, or all errors in it."""
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        error = specs.ValidationError(file, "(file)", str(exc), "TOML syntax")
        return results.Failure((error,))
    checker = specs.Checker(file)
    table = checker.check_table(values, type_, "")
    if table is None:
        return results.Failure(tuple(checker.errors))
    return results.Success(table)


def _validate_settings(settings: Settings, file: str) -> Errors:
    errors = []
    if not settings.store.endpoints:
        errors.append(
            specs.ValidationError(
                file, "store.endpoints", "[]", "at least one URL"
            )
        )
    if not settings.teams:
        errors.append(
            specs.ValidationError(
                file, "teams", "{}", "at least one operating team"
            )
        )
    team = settings.team
    if team is not None and team.name not in settings.teams:
        allowed = "one of " + ", ".join(sorted(settings.teams))
        errors.append(
            specs.ValidationError(file, "team.name", team.name, allowed)
        )
    return tuple(errors)


def validate_rules(rules_file: RulesFile, file: str) -> Errors:
    """Returns errors that involve more than one value of a rules file."""
    errors = []
    if rules_file.rules is None and not rules_file.services:
        allowed = "a table [rules] or a table [services.<name>]"
        errors.append(
            specs.ValidationError(file, "(file)", "no table", allowed)
        )
    for index, pair in enumerate(
        rules_file.rules.apart if rules_file.rules else ()
    ):
        if len(pair) != 2:
            key = f"rules.apart[{index}]"
            value = str(list(pair))
            errors.append(
                specs.ValidationError(file, key, value, "two services")
            )
    return tuple(errors)


def parse(text: str, *, file: str) -> Loaded:
    """Returns the settings in a TOML text, or all errors in it."""
    parsed = _parse_table(text, Settings, file)
    if isinstance(parsed, results.Failure):
        return parsed
    errors = _validate_settings(parsed.unwrap(), file)
    return results.Failure(errors) if errors else parsed


def _has_token(text: str) -> bool:
    """Returns whether settings contain a token, valid or not."""
    try:
        balancers = tomllib.loads(text).get("balancers")
    except tomllib.TOMLDecodeError:
        return False
    return isinstance(balancers, list) and any(
        isinstance(api, dict) and "token" in api for api in balancers
    )


def load(path: pathlib.Path) -> Loaded:
    """Returns the settings in a file, or all errors in it.

    The mode of the file is checked if it holds a token.
    """
    contents = secret_files.read(path)
    if isinstance(contents, results.Failure):
        return contents
    secret = contents.unwrap()
    errors: Errors = ()
    if _has_token(secret.text):
        errors = secret_files.validate_mode(path, secret.mode)
    parsed = parse(secret.text, file=str(path))
    if isinstance(parsed, results.Failure):
        errors += parsed.failure()
    return results.Failure(errors) if errors else parsed


def parse_rules(text: str, *, file: str) -> RulesLoaded:
    """Returns the rules and services in a TOML text, or all its errors."""
    parsed = _parse_table(text, RulesFile, file)
    if isinstance(parsed, results.Failure):
        return parsed
    errors = validate_rules(parsed.unwrap(), file)
    return results.Failure(errors) if errors else parsed


def load_rules(path: pathlib.Path) -> RulesLoaded:
    """Returns the rules and services in a file, or all its errors."""
    return _read_text(path).bind(
        lambda text: parse_rules(text, file=str(path))
    )


def _parse_signing_key(
    path: pathlib.Path, text: str, settings: Settings, team: str
) -> results.Result[signing.SigningKey, Errors]:
    spec = specs.Hex(schema.KEY_BYTES, secret=True)
    checker = specs.Checker(str(path))
    secret = checker.check(text.strip(), spec, "(key)")
    if secret is None:
        return results.Failure(tuple(checker.errors))
    key = signing.SigningKey(secret)
    expected = settings.teams[team]
    if bytes(key.verify_key) != expected:
        error = specs.ValidationError(
            str(path),
            "(key)",
            f"the key with public key {bytes(key.verify_key).hex()}",
            f"the key of team {team}, public key {expected.hex()}",
        )
        return results.Failure((error,))
    return results.Success(key)


def load_signing_key(
    settings: Settings, settings_file: pathlib.Path
) -> results.Result[tuple[str, signing.SigningKey], Errors]:
    """Returns the team's name and signing key, or all errors.

    Args:
        settings: The settings.
        settings_file: Path of the settings; the path of the key file is
            relative to its directory.
    """
    team = settings.team
    file = str(settings_file)
    if team is None:
        error = specs.ValidationError(file, "team", "(missing)", "a table")
        return results.Failure((error,))
    path = settings_file.parent / team.signing_key_file
    contents = secret_files.read(path)
    if isinstance(contents, results.Failure):
        return contents
    errors = secret_files.validate_mode(path, contents.unwrap().mode)
    signing_key = _parse_signing_key(
        path, contents.unwrap().text, settings, team.name
    )
    if isinstance(signing_key, results.Failure):
        errors += signing_key.failure()
    if errors:
        return results.Failure(errors)
    return signing_key.map(lambda key: (team.name, key))
