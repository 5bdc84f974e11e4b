"""Subcommands that list, approve, withdraw and drain members."""

from typing import Any

from godwitturn.admin import operations
from godwitturn.admin import views
from godwitturn.cli import exit_codes
from godwitturn.cli import output
from godwitturn.cli import session as sessions
from godwitturn.core import approval_changes
from godwitturn.core import changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.settings import operator

ExitCode = exit_codes.ExitCode


def members(
    *,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    service: str = "",
    state: str = "",
) -> ExitCode:
    """Lists members and the teams that approved them.

    Example::

        godwitturn members --service onboard-core --state waiting

    Args:
        settings: The operator's settings file.
        json: Print JSON.
        service: Only targets of this service.
        state: Only members in this state: approved, waiting, draining or
            departed.
    """
    session = sessions.open_session(sessions.Options(settings, json))
    if state not in ("", *views.STATES):
        allowed = ", ".join(views.STATES)
        error = f"state: {state!r} is not allowed; allowed: one of {allowed}"
        raise session.early_exit(ExitCode.USAGE, [error])

    def list_members(
        configuration: configurations.Configuration,
    ) -> tuple[dict[str, Any], str]:
        rows = [
            row
            for row in _member_rows(session, configuration)
            if service in ("", row.member.service) and state in ("", row.state)
        ]
        values = {"members": [views.member_values(row) for row in rows]}
        return values, _table(rows)

    return session.read(list_members)


def _member_rows(
    session: sessions.Session, configuration: configurations.Configuration
) -> list[views.MemberRow]:
    return views.member_rows(
        configuration, session.settings.deployment, session.settings.teams
    )


def _withdrawn_by(row: views.MemberRow) -> list[str]:
    return [
        f"{team} (not signed)" if team in row.unverified else team
        for team in row.withdrawn_by
    ]


def _table(rows: list[views.MemberRow]) -> str:
    header = (
        "NAME",
        "ID",
        "KIND",
        "SERVICE",
        "DATA CENTRE",
        "WEIGHT",
        "STATE",
        "APPROVED BY",
        "MISSING",
        "WITHDRAWN BY",
    )
    return output.table(
        header,
        (
            (
                row.member.name,
                changes.format_member_id(row.member.member_id),
                row.member.kind.value,
                row.member.service or "-",
                row.member.data_centre,
                row.member.weight,
                row.state,
                ", ".join(row.approved_by) or "-",
                ", ".join(row.missing) or "-",
                ", ".join(_withdrawn_by(row)) or "-",
            )
            for row in rows
        ),
    )


def _distinct(names: tuple[str, ...]) -> list[str]:
    return list(dict.fromkeys(names))


def _required_names(
    session: sessions.Session, names: tuple[str, ...]
) -> list[str]:
    """Returns the distinct names.

    Raises:
        EarlyExit: There are none.
    """
    if not names:
        error = "names: none is given; allowed: at least one member"
        raise session.early_exit(ExitCode.USAGE, [error])
    return _distinct(names)


def approve(
    *names: str,
    all_waiting: bool = False,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    operation_id: str = "",
    timeout: float = 10.0,
) -> ExitCode:
    """Approves members in the name of the operator's team.

    Signs the member's id, kind, service, data centre and public key with the
    team's key. A member carries traffic once every team has approved it.

    Example::

        godwitturn approve onboard-core-0 onboard-core-1
        godwitturn approve --all-waiting

    Args:
        *names: Names or ids of members.
        all_waiting: Approve every member that lacks the team's approval,
            except those whose approval the team has withdrawn.
        settings: The operator's settings file.
        json: Print JSON.
        operation_id: Id of this change. With the id of an earlier attempt, the
            change is made only if that attempt had no effect.
        timeout: Seconds until the change is given up.
    """
    session = sessions.open_session(
        sessions.Options(settings, json, operation_id, timeout)
    )
    team, key = session.signing_key()
    if bool(names) == all_waiting:
        error = (
            f"names: {len(names)} given, --all-waiting {all_waiting}; "
            "allowed: at least one member or --all-waiting, not both"
        )
        raise session.early_exit(ExitCode.USAGE, [error])

    def approval_of(member: documents.Member) -> documents.Approval:
        if not session.output.json:
            print(f"signed for {team}: {_statement_text(member)}")
        return approval_changes.sign_approval(
            session.settings.deployment, member, team, key
        )

    async def change(
        context: operations.Context,
    ) -> list[operations.ChangeResult]:
        selected = _distinct(names)
        if all_waiting:
            configuration = await session.configuration(context)
            selected = [
                changes.format_member_id(row.member.member_id)
                for row in _member_rows(session, configuration)
                if team in row.missing
                and team not in row.withdrawn_by
                and not row.member.departed
            ]
        return await operations.record_signatures(
            context, selected, approval_of, session.operation
        )

    return session.change(change)


def _statement_text(member: documents.Member) -> str:
    place = " ".join(filter(None, (member.service, member.data_centre)))
    return (
        f"{member.kind.value} {member.name} ({place}) with public key "
        f"{member.public_key.hex()}"
    )


def withdraw(
    *names: str,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    operation_id: str = "",
    timeout: float = 10.0,
) -> ExitCode:
    """Withdraws the team's approval of members; they stop serving at once.

    Signs the withdrawal with the team's key. A new approval by the team ends
    the withdrawal. The approval must name the member, because --all-waiting
    skips members whose approval the team has withdrawn.

    Example::

        godwitturn withdraw onboard-core-0

    Args:
        *names: Names or ids of members.
        settings: The operator's settings file.
        json: Print JSON.
        operation_id: Id of this change. With the id of an earlier attempt, the
            change is made only if that attempt had no effect.
        timeout: Seconds until the change is given up.
    """
    session = sessions.open_session(
        sessions.Options(settings, json, operation_id, timeout)
    )
    team, key = session.signing_key()
    selected = _required_names(session, names)

    def withdrawal_of(member: documents.Member) -> documents.Withdrawal:
        if not session.output.json:
            print(f"withdrawn for {team}: {_statement_text(member)}")
        return approval_changes.sign_withdrawal(
            session.settings.deployment, member, team, key
        )

    return session.change(
        lambda context: operations.record_signatures(
            context, selected, withdrawal_of, session.operation
        )
    )


def drain(
    *names: str,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    operation_id: str = "",
    timeout: float = 10.0,
) -> ExitCode:
    """Marks targets as draining: they take no new flows.

    Example::

        godwitturn drain permit-desk-2

    Args:
        *names: Names or ids of targets.
        settings: The operator's settings file.
        json: Print JSON.
        operation_id: Id of this change. With the id of an earlier attempt, the
            change is made only if that attempt had no effect.
        timeout: Seconds until the change is given up.
    """
    options = sessions.Options(settings, json, operation_id, timeout)
    return _set_draining(options, names, True)


def undrain(
    *names: str,
    settings: str = operator.DEFAULT_FILE,
    json: bool = False,
    operation_id: str = "",
    timeout: float = 10.0,
) -> ExitCode:
    """Ends the draining of targets.

    Example::

        godwitturn undrain permit-desk-2

    Args:
        *names: Names or ids of targets.
        settings: The operator's settings file.
        json: Print JSON.
        operation_id: Id of this change. With the id of an earlier attempt, the
            change is made only if that attempt had no effect.
        timeout: Seconds until the change is given up.
    """
    options = sessions.Options(settings, json, operation_id, timeout)
    return _set_draining(options, names, False)


def _set_draining(
    options: sessions.Options, names: tuple[str, ...], draining: bool
) -> ExitCode:
    session = sessions.open_session(options)
    selected = _required_names(session, names)
    return session.change(
        lambda context: operations.set_draining(
            context, selected, draining, session.operation
        )
    )
