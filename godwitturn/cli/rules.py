"""Subcommands that show and change rules, services and data centres."""

import json as json_format
import pathlib
from typing import Any

from godwitturn.admin import operations
from godwitturn.admin import rules as rules_plans
from godwitturn.admin import views
from godwitturn.cli import exit_codes
from godwitturn.cli import output
from godwitturn.cli import session as sessions
from godwitturn.core import configuration as configurations
from godwitturn.settings import operator

ExitCode = exit_codes.ExitCode


def show(
    *, settings: str = operator.DEFAULT_FILE, json: bool = False
) -> ExitCode:
    """Shows the configuration that is in the store.

    If documents cannot be decoded, lists their keys and ends with status 6.

    Example::

        godwitturn show --settings kolkata-operator.toml

    Args:
        settings: The operator's settings file.
        json: Print JSON.
    """
    session = sessions.open_session(sessions.Options(settings, json))

    async def run(context: operations.Context) -> ExitCode:
        configuration = await session.configuration(context)
        values = views.configuration_values(configuration)
        code = ExitCode.DONE
        if configuration.undecodable:
            code = ExitCode.UNDECODABLE
        return session.output.print_result(
            code, values, _configuration_text(configuration)
        )

    return session.run(run, may_write=False)


def _configuration_text(configuration: configurations.Configuration) -> str:
    rules = configuration.rules
    apart = ", ".join(" / ".join(pair) for pair in rules.apart)
    rules_table = output.table(
        ("RULE", "VALUE"),
        (
            ("data centres", ", ".join(rules.data_centres) or "-"),
            ("out", ", ".join(rules.out) or "-"),
            ("apart", apart or "-"),
            ("cold fraction", rules.cold_fraction),
            ("ramp seconds", rules.ramp_seconds),
            ("return seconds", rules.return_seconds),
        ),
    )
    service_table = output.table(
        ("SERVICE", "ID", "CONNECTION LIMIT", "SLOTS"),
        (
            (
                service.name,
                service.service_id,
                service.connection_limit,
                service.slots,
            )
            for service in configuration.service_by_name.values()
        ),
    )
    document_table = output.table(
        ("DOCUMENT", "REVISION", "MEMBERS", "DEPARTED"),
        (
            (key, document.revision, *_member_counts(configuration, key))
            for key, document in sorted(configuration.document_by_key.items())
        ),
    )
    version = f"version {configuration.complete_through}"
    sections = [version, rules_table, service_table, document_table]
    if configuration.undecodable:
        rows = ((key,) for key in configuration.undecodable)
        sections.append(output.table(("UNDECODABLE DOCUMENT",), rows))
    return "\n\n".join(sections)


def _member_counts(
    configuration: configurations.Configuration, key: str
) -> tuple[str, str]:
    """Returns the numbers of present and departed members in a document."""
    member_list = configuration.member_lists().get(key)
    if member_list is None:
        return "-", "-"
    departed = sum(member.departed for member in member_list.members)
    return str(len(member_list.members) - departed), str(departed)


def _load_rules(session: sessions.Session, file: str) -> operator.RulesFile:
    loaded = operator.load_rules(pathlib.Path(file))
    return sessions.value_or_exit(session.output, loaded)


def _plan_rules(
    session: sessions.Session,
    configuration: configurations.Configuration,
    rules_file: operator.RulesFile,
) -> rules_plans.RulesPlan:
    plan = rules_plans.plan_rules(
        configuration,
        rules_file.rules_document(),
        rules_file.service_documents(),
    )
    if plan.refusals:
        raise session.early_exit(ExitCode.REFUSED, plan.refusals)
    return plan


def _format_value(value: Any) -> str:
    return "(none)" if value is None else json_format.dumps(value)


def _diff_text(plan: rules_plans.RulesPlan) -> str:
    lines = [
        f"{change.key}: {field}: {_format_value(before)} -> "
        f"{_format_value(after)}"
        for change in plan.document_changes
        for field, before, after in change.differences()
    ]
    return "\n".join(lines) or "no difference"


def diff(
    file: str,
    *,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
) -> ExitCode:
    """Compares a file of rules and services with the configuration.

    Example::

        godwitturn diff kolkata-rules.toml

    Args:
        file: The TOML file.
        settings: The operator's settings file.
        json: Print JSON.
    """
    session = sessions.open_session(sessions.Options(settings, json))

    rules_file = _load_rules(session, file)

    def compare(
        configuration: configurations.Configuration,
    ) -> tuple[dict[str, Any], str]:
        plan = _plan_rules(session, configuration, rules_file)
        values = {"differences": views.rules_plan_values(plan)}
        return values, _diff_text(plan)

    return session.read(compare)


def apply(
    file: str,
    *,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    operation_id: str = "",
    timeout: float = 10.0,
) -> ExitCode:
    """Applies a file of rules and services.

    Services that the file does not list stay as they are, and so do the rules
    if it has no table [rules]. Data centres that are out stay out. If one
    value is refused, nothing is changed.

    Example::

        godwitturn apply kolkata-rules.toml

    Args:
        file: The TOML file.
        settings: The operator's settings file.
        json: Print JSON.
        operation_id: Id of this change. With the id of an earlier attempt, the
            change is made only if that attempt had no effect.
        timeout: Seconds until the change of one document is given up.
    """
    session = sessions.open_session(
        sessions.Options(settings, json, operation_id, timeout)
    )

    rules_file = _load_rules(session, file)

    async def run(context: operations.Context) -> ExitCode:
        configuration = await session.configuration(context)
        plan = _plan_rules(session, configuration, rules_file)
        if not session.output.json and plan.document_changes:
            print(_diff_text(plan), flush=True)
        outcomes = await rules_plans.apply_rules(
            context, plan, session.operation
        )
        return session.output.print_changes(
            outcomes,
            session.operation,
            differences=views.rules_plan_values(plan),
        )

    return session.run(run, may_write=True)


def data_centre_out(
    name: str,
    *,
    allow_none_left: bool = False,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    operation_id: str = "",
    timeout: float = 10.0,
) -> ExitCode:
    """Takes a data centre out of service; flows to its targets are given up.

    Example::

        godwitturn data-centre-out salt-lake

    Args:
        name: The data centre.
        allow_none_left: Take it out even if it is the last one in service.
        settings: The operator's settings file.
        json: Print JSON.
        operation_id: Id of this change. With the id of an earlier attempt, the
            change is made only if that attempt had no effect.
        timeout: Seconds until the change is given up.
    """
    session = sessions.open_session(
        sessions.Options(settings, json, operation_id, timeout)
    )

    async def change(
        context: operations.Context,
    ) -> list[operations.ChangeResult]:
        outcome = await operations.set_data_centre_out(
            context,
            name,
            session.operation,
            allow_none_left=allow_none_left,
        )
        return [outcome]

    return session.change(change)


def data_centre_in(
    name: str,
    *,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    operation_id: str = "",
    timeout: float = 10.0,
) -> ExitCode:
    """Puts a data centre back into service; its targets get load gradually.

    Example::

        godwitturn data-centre-in salt-lake

    Args:
        name: The data centre.
        settings: The operator's settings file.
        json: Print JSON.
        operation_id: Id of this change. With the id of an earlier attempt, the
            change is made only if that attempt had no effect.
        timeout: Seconds until the change is given up.
    """
    session = sessions.open_session(
        sessions.Options(settings, json, operation_id, timeout)
    )

    async def change(
        context: operations.Context,
    ) -> list[operations.ChangeResult]:
        return [
            await operations.set_data_centre_in(
                context, name, session.operation
            )
        ]

    return session.change(change)
