"""Configurations, plans and results as values for JSON and tables."""

from collections.abc import Mapping
from typing import Any

import attrs

from godwitturn.admin import imports
from godwitturn.admin import operations
from godwitturn.admin import rules
from godwitturn.core import approval
from godwitturn.core import approval_changes
from godwitturn.core import changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import inventory

STATES = ("approved", "waiting", "draining", "departed")


@attrs.frozen
class MemberRow:
    """A listed member and its approval state.

    Attributes:
        member: The member.
        approved_by: Teams with a valid approval.
        missing: Teams without a valid approval.
        withdrawn_by: Teams of `missing` that withdrew their approval.
        unverified: Teams of `withdrawn_by` whose withdrawal has no valid
            signature of the team.
    """

    member: documents.Member
    approved_by: tuple[str, ...]
    missing: tuple[str, ...]
    withdrawn_by: tuple[str, ...] = ()
    unverified: tuple[str, ...] = ()

    @property
    def state(self) -> str:
        """The first of departed, waiting, draining and approved that holds."""
        if self.member.departed:
            return "departed"
        if self.missing:
            return "waiting"
        return "draining" if self.member.draining else "approved"


def member_rows(
    configuration: configurations.Configuration,
    deployment: str,
    team_keys: Mapping[str, bytes],
) -> list[MemberRow]:
    """Returns all listed members, sorted by kind, service and name."""
    rows = []
    for member in configuration.member_by_id.values():
        approved_by = approval_changes.approving_teams(
            deployment, member, team_keys
        )
        missing = tuple(
            team for team in sorted(team_keys) if team not in approved_by
        )
        withdrawn = tuple(
            team for team in missing if approval.is_withdrawn(member, team)
        )
        verified = {
            withdrawal.team
            for withdrawal in member.withdrawals
            if approval_changes.signature_valid(
                deployment, member, withdrawal, team_keys
            )
        }
        unverified = tuple(team for team in withdrawn if team not in verified)
        rows.append(
            MemberRow(member, approved_by, missing, withdrawn, unverified)
        )
    return sorted(rows, key=_row_sort_key)


def _row_sort_key(row: MemberRow) -> tuple[str, str, bool, str]:
    member = row.member
    return member.kind, member.service, member.departed, member.name


def error_values(error: Any) -> dict[str, Any]:
    """Returns an error as plain values.

    Args:
        error: A text, or an attrs object with fields for the bad value and
            for what is allowed.
    """
    if attrs.has(type(error)):
        return {**attrs.asdict(error), "message": str(error)}
    return {"message": str(error)}


def change_values(change: operations.ChangeResult) -> dict[str, Any]:
    """Returns the outcome of a change as plain values."""
    return {
        "key": change.key,
        "verdict": change.verdict.name.lower(),
        "written": change.written,
        "conflict": change.conflict,
        "revision": change.revision,
        "refusal": error_values(change.refusal) if change.refusal else None,
        "failure": change.failure,
    }


def member_values(row: MemberRow) -> dict[str, Any]:
    """Returns a member and its approval state as plain values."""
    member = row.member
    return {
        "name": member.name,
        "id": changes.format_member_id(member.member_id),
        "kind": member.kind.value,
        "service": member.service,
        "data_centre": member.data_centre,
        "public_key": member.public_key.hex(),
        "weight": member.weight,
        "draining": member.draining,
        "departed": member.departed,
        "state": row.state,
        "approved_by": list(row.approved_by),
        "missing": list(row.missing),
        "withdrawn_by": list(row.withdrawn_by),
        "unverified_withdrawals": list(row.unverified),
        "next_sequences": {
            team: {
                "approval": approval_changes.approval_sequence(member, team),
                "withdrawal": approval_changes.withdrawal_sequence(
                    member, team
                ),
            }
            for team in sorted((*row.approved_by, *row.missing))
        },
    }


def configuration_values(
    configuration: configurations.Configuration,
) -> dict[str, Any]:
    """Returns a configuration without its members as plain values."""
    services = configuration.service_by_name.values()
    return {
        "version": configuration.complete_through,
        "rules": attrs.asdict(configuration.rules),
        "services": [attrs.asdict(service) for service in services],
        "documents": {
            key: document.revision
            for key, document in sorted(configuration.document_by_key.items())
        },
        "undecodable": list(configuration.undecodable),
    }


def rules_plan_values(plan: rules.RulesPlan) -> list[dict[str, Any]]:
    """Returns the changed fields of rules and services as plain values."""
    return [
        {"key": change.key, "field": field, "before": before, "after": after}
        for change in plan.document_changes
        for field, before, after in change.differences()
    ]


def import_plan_values(plan: imports.ImportPlan) -> dict[str, Any]:
    """Returns the changes or errors of an inventory file as plain values."""
    diff = plan.diff
    return {
        "bad_rows": [error_values(row) for row in plan.bad_rows],
        "mass_departures": [error_values(m) for m in plan.mass_departures],
        "changes": [inventory.to_builtins(c) for c in diff.changes]
        if diff
        else [],
        "unchanged": diff.unchanged if diff else 0,
    }
