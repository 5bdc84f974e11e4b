"""Changes of single documents, computed from their current values.

Each function returns the new value, or a refusal that names the bad value and
what is allowed. None stands for an absent document.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import attrs
from returns import result as results

from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import inventory

MAX_SERVICE_ID = 65535
MAX_CONNECTION_LIMIT = 1_000_000
MAX_SLOTS = 10_000
MAX_RAMP_SECONDS = 3600.0
_MAX_NAMES_SHOWN = 20


@attrs.frozen
class Refusal:
    """A change that was rejected because of one value.

    Attributes:
        field: What the value stands for, such as `service_id`.
        value: The bad value.
        allowed: Description of the allowed values.
    """

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f"{self.field}: {self.value!r} is not allowed; "
            f"allowed: {self.allowed}"
        )


MemberListResult = results.Result[documents.MemberList, Refusal]
RulesResult = results.Result[documents.Rules, Refusal]
ServiceResult = results.Result[documents.Service, Refusal]


def format_member_id(member_id: identity.MemberId) -> str:
    """Returns a member id as operators write it, 16 hexadecimal digits."""
    return f"{member_id:016x}"


def find_member(
    members: Iterable[documents.Member], text: str
) -> results.Result[documents.Member, Refusal]:
    """Returns the only member that has a name or id and has not departed."""
    listed = [member for member in members if not member.departed]
    matches = [
        member
        for member in listed
        if text in (member.name, format_member_id(member.member_id))
    ]
    if len(matches) == 1:
        return results.Success(matches[0])
    if matches:
        ids = ", ".join(
            format_member_id(member.member_id) for member in matches
        )
        return results.Failure(Refusal("member", text, f"an id: {ids}"))
    names = sorted(member.name for member in listed)
    shown = names[:_MAX_NAMES_SHOWN]
    if len(names) > _MAX_NAMES_SHOWN:
        shown.append(f"and {len(names) - _MAX_NAMES_SHOWN} more")
    allowed = "a member's name or id, " + inventory.format_choices(shown)
    return results.Failure(Refusal("member", text, allowed))


def update_member(
    present: documents.MemberList | None,
    member_id: identity.MemberId,
    change: Callable[
        [documents.Member], results.Result[documents.Member, Refusal]
    ],
) -> MemberListResult:
    """Replaces one member that is listed and has not departed.

    Args:
        present: Current list that contains the member.
        member_id: The member.
        change: Returns the new member for the current one, or a refusal.
    """
    members = present.members if present is not None else ()
    for index, member in enumerate(members):
        if member.member_id == member_id and not member.departed:
            before, after = members[:index], members[index + 1 :]

            def rebuild_list(
                updated: documents.Member,
                before: tuple[documents.Member, ...] = before,
                after: tuple[documents.Member, ...] = after,
            ) -> documents.MemberList:
                return documents.MemberList((*before, updated, *after))

            return change(member).map(rebuild_list)
    allowed = "the id of a listed member that has not departed"
    return results.Failure(
        Refusal("member", format_member_id(member_id), allowed)
    )


def set_draining(
    present: documents.MemberList | None,
    member_id: identity.MemberId,
    draining: bool,
) -> MemberListResult:
    """Marks a target as draining or not draining."""

    def mark(
        member: documents.Member,
    ) -> results.Result[documents.Member, Refusal]:
        if member.kind != documents.MemberKind.TARGET:
            refusal = Refusal("member", member.name, "a target")
            return results.Failure(refusal)
        return results.Success(attrs.evolve(member, draining=draining))

    return update_member(present, member_id, mark)


def set_data_centre_out(
    present: documents.Rules | None,
    data_centre: str,
    *,
    allow_none_left: bool = False,
) -> RulesResult:
    """Takes a data centre out of service.

    Args:
        present: The current rules.
        data_centre: The data centre.
        allow_none_left: Whether it may be the last one in service.
    """
    rules = present if present is not None else documents.Rules()
    if data_centre not in rules.data_centres:
        return results.Failure(_unknown_data_centre(rules, data_centre))
    if data_centre in rules.out:
        return results.Success(rules)
    out = (*rules.out, data_centre)
    serving = set(rules.data_centres) - set(out)
    if not serving and not allow_none_left:
        allowed = "a data centre that is not the last one in service"
        return results.Failure(Refusal("data_centre", data_centre, allowed))
    return results.Success(attrs.evolve(rules, out=out))


def set_data_centre_in(
    present: documents.Rules | None, data_centre: str
) -> RulesResult:
    """Puts a data centre back into service."""
    rules = present if present is not None else documents.Rules()
    if data_centre not in rules.data_centres:
        return results.Failure(_unknown_data_centre(rules, data_centre))
    out = tuple(name for name in rules.out if name != data_centre)
    return results.Success(attrs.evolve(rules, out=out))


def _unknown_data_centre(rules: documents.Rules, value: str) -> Refusal:
    allowed = inventory.format_choices(rules.data_centres)
    return Refusal("data_centre", value, allowed)


def set_rules(
    present: documents.Rules | None,
    wanted: documents.Rules,
    *,
    services: Collection[str],
    used_data_centres: Collection[str],
) -> RulesResult:
    """Replaces the rules except for the data centres that are out.

    These are kept: a rules file must not put a data centre back into service
    that another operator has just taken out.

    Args:
        present: The current rules.
        wanted: The new rules; `out` is not used.
        services: Names of all services.
        used_data_centres: Data centres of members that have not departed.
    """
    out = present.out if present is not None else ()
    refusal = _rules_refusal(wanted, services, {*used_data_centres, *out})
    if refusal is not None:
        return results.Failure(refusal)
    return results.Success(attrs.evolve(wanted, out=out))


def _rules_refusal(
    rules: documents.Rules,
    services: Collection[str],
    needed_data_centres: Collection[str],
) -> Refusal | None:
    names = rules.data_centres
    for name in names:
        if not inventory.is_valid_name(name):
            return Refusal("data_centres", name, inventory.NAME_ALLOWED)
        if names.count(name) > 1:
            return Refusal("data_centres", name, "each data centre once")
    missing = sorted(set(needed_data_centres) - set(names))
    if missing:
        allowed = (
            f"a list with {', '.join(missing)}, which has members or is out"
        )
        return Refusal("data_centres", ", ".join(names), allowed)
    for pair in rules.apart:
        if pair[0] == pair[1] or not set(pair) <= set(services):
            allowed = "two of the services " + ", ".join(sorted(services))
            return Refusal("apart", ", ".join(pair), allowed)
    return _number_refusal(rules)


def _number_refusal(rules: documents.Rules) -> Refusal | None:
    limits = {
        "cold_fraction": (0.001, 1.0),
        "ramp_seconds": (0.0, MAX_RAMP_SECONDS),
        "return_seconds": (0.0, MAX_RAMP_SECONDS),
    }
    for field, (low, high) in limits.items():
        value = getattr(rules, field)
        if not low <= value <= high:
            return Refusal(field, str(value), f"a number from {low} to {high}")
    return None


def set_service(
    present: documents.Service | None,
    wanted: documents.Service,
    *,
    services: Iterable[documents.Service],
) -> ServiceResult:
    """Adds a service or changes its limits.

    Args:
        present: The current service, or None.
        wanted: The new service.
        services: All services; the one with the name of `wanted` is ignored.
    """
    if not inventory.is_valid_name(wanted.name):
        refusal = Refusal("name", wanted.name, inventory.NAME_ALLOWED)
        return results.Failure(refusal)
    limits = {
        "service_id": MAX_SERVICE_ID,
        "connection_limit": MAX_CONNECTION_LIMIT,
        "slots": MAX_SLOTS,
    }
    for field, high in limits.items():
        value = getattr(wanted, field)
        if not 1 <= value <= high:
            allowed = f"a whole number from 1 to {high}"
            return results.Failure(Refusal(field, str(value), allowed))
    return _check_service_id(present, wanted, services)


def _check_service_id(
    present: documents.Service | None,
    wanted: documents.Service,
    services: Iterable[documents.Service],
) -> ServiceResult:
    shown = str(wanted.service_id)
    other_name_by_id = {
        other.service_id: other.name
        for other in services
        if other.name != wanted.name
    }
    # Tokens of open flows carry the service id, so the id must not change.
    # An id that two services share may change, because balancers use neither
    # of the two.
    if (
        present is not None
        and present.service_id != wanted.service_id
        and present.service_id not in other_name_by_id
    ):
        allowed = f"{present.service_id}, the service id of {wanted.name}"
        return results.Failure(Refusal("service_id", shown, allowed))
    if wanted.service_id in other_name_by_id:
        name = other_name_by_id[wanted.service_id]
        allowed = f"an unused service id; {name} has this one"
        return results.Failure(Refusal("service_id", shown, allowed))
    return results.Success(wanted)


def apply_document_change(
    present: documents.MemberList | None, change: inventory.DocumentChange
) -> MemberListResult:
    """Applies an inventory's change to one document.

    Approvals, withdrawals and draining marks set since the diff was computed
    are kept. Applying the same change again has no effect.
    """
    members = present.members if present is not None else ()
    member_by_id = {member.member_id: member for member in members}
    for added in change.additions:
        listed = member_by_id.get(added.member_id)
        if listed is not None and _inventory_fields(
            listed
        ) != _inventory_fields(added):
            return _outdated_diff_failure(
                listed, "a member that is not listed"
            )
        member_by_id[added.member_id] = listed or added
    for edit in change.edits:
        listed = member_by_id.get(edit.after.member_id)
        if listed is None or listed.departed:
            return _outdated_diff_failure(
                edit.before, "a member that has not departed"
            )
        member_by_id[listed.member_id] = attrs.evolve(
            listed, name=edit.after.name, weight=edit.after.weight
        )
    for departing in change.departures:
        listed = member_by_id.get(departing.member_id)
        if listed is None:
            return _outdated_diff_failure(departing, "a member that is listed")
        member_by_id[listed.member_id] = attrs.evolve(listed, departed=True)
    return results.Success(documents.MemberList(tuple(member_by_id.values())))


def _inventory_fields(member: documents.Member) -> documents.Member:
    """Returns a member without the fields that an inventory doesn't set."""
    return attrs.evolve(member, approvals=(), draining=False, withdrawals=())


def _outdated_diff_failure(
    member: documents.Member, allowed: str
) -> MemberListResult:
    return results.Failure(Refusal("member", member.name, allowed))


def data_centres_in_use(
    configuration: configurations.Configuration,
) -> set[str]:
    """Returns the data centres of members that have not departed."""
    return {
        member.data_centre
        for member in configuration.member_by_id.values()
        if not member.departed
    }
