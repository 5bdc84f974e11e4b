"""The subcommand that imports the inventory file."""

from godwitturn.admin import imports
from godwitturn.admin import operations
from godwitturn.admin import views
from godwitturn.cli import exit_codes
from godwitturn.cli import session as sessions
from godwitturn.core import changes
from godwitturn.core import documents
from godwitturn.core import inventory
from godwitturn.settings import operator

ExitCode = exit_codes.ExitCode


def import_inventory(
    file: str,
    *,
    apply: bool = False,
    max_departing_share: float = inventory.MAX_DEPARTING_SHARE,
    allow_mass_departure: bool = False,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    operation_id: str = "",
    timeout: float = 10.0,
) -> ExitCode:
    """Compares the inventory file with the configuration, or applies it.

    The file is CSV with the columns name, kind, service, data_centre,
    public_key and weight. Members that are no longer in it are marked as
    departed, which is permanent. If one row is bad, nothing is changed.

    Example::

        godwitturn import-inventory kolkata-inventory.csv
        godwitturn import-inventory kolkata-inventory.csv --apply

    Args:
        file: The CSV file.
        apply: Apply the changes after showing them.
        max_departing_share: Largest share of the targets of a service, or of
            all balancers, that the file may mark as departed, 0 to 1.
        allow_mass_departure: Allow any share of members to be marked as
            departed.
        settings: The operator's settings file.
        json: Print JSON.
        operation_id: Id of this change. With the id of an earlier attempt, the
            change is made only if that attempt had no effect.
        timeout: Seconds until the change of one document is given up.
    """
    session = sessions.open_session(
        sessions.Options(settings, json, operation_id, timeout)
    )
    if not 0.0 <= max_departing_share <= 1.0:
        error = (
            f"max-departing-share: {max_departing_share} is not allowed; "
            "allowed: 0 to 1"
        )
        return session.output.print_errors(ExitCode.USAGE, [error])
    text = sessions.read_file(session.output, file)
    allowed_share = 1.0 if allow_mass_departure else max_departing_share

    async def run(context: operations.Context) -> ExitCode:
        configuration = await session.configuration(context)
        plan = imports.plan_import(
            configuration, text, allowed_share=allowed_share
        )
        return await _show_and_apply(session, context, plan, apply)

    return session.run(run, may_write=apply)


async def _show_and_apply(
    session: sessions.Session,
    context: operations.Context,
    plan: imports.ImportPlan,
    apply: bool,
) -> ExitCode:
    printer = session.output
    values = views.import_plan_values(plan)
    if not printer.json and plan.diff is not None:
        print(_diff_text(plan.diff), flush=True)
    if not plan.applicable:
        errors = [*plan.bad_rows, *plan.mass_departures]
        return printer.print_errors(ExitCode.REFUSED, errors, plan=values)
    if not apply:
        hint = "nothing was changed; --apply applies the plan"
        return printer.print_success({"plan": values}, hint)
    outcomes = await imports.apply_import(context, plan, session.operation)
    return printer.print_changes(outcomes, session.operation, plan=values)


def _member_line(sign: str, member: documents.Member) -> str:
    return (
        f"  {sign} {member.name} {changes.format_member_id(member.member_id)} "
        f"{member.kind.value} {member.data_centre} weight {member.weight}"
    )


def _diff_text(diff: inventory.Diff) -> str:
    lines = []
    for change in diff.changes:
        lines.append(change.key)
        lines += [_member_line("+", member) for member in change.additions]
        lines += [
            f"{_member_line('~', edit.after)} (was {edit.before.name} "
            f"weight {edit.before.weight})"
            for edit in change.edits
        ]
        lines += [_member_line("-", member) for member in change.departures]
    lines.append(
        f"{sum(len(c.additions) for c in diff.changes)} to add, "
        f"{sum(len(c.edits) for c in diff.changes)} to change, "
        f"{sum(len(c.departures) for c in diff.changes)} to mark as "
        f"departed, {diff.unchanged} unchanged"
    )
    return "\n".join(lines)
