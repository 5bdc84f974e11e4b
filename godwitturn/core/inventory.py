"""Rows of the operators' inventory file and the changes that they make.

A member's identity is its public key. A row that gives a listed key another
kind, service or data centre is therefore rejected; such a change needs a new
key and counts as a departure and an addition.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import re
from typing import Any

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import identity

# Largest share of a group that a file may mark as departed, so that a file
# truncated by a failed export can't empty a service.
MAX_DEPARTING_SHARE = 0.5
NAME_ALLOWED = "1 to 100 of the characters A-Z a-z 0-9 . _ -"
BALANCER_GROUP = "(balancers)"

_NAME = re.compile(r"[A-Za-z0-9._-]{1,100}")


@attrs.frozen
class Row:
    """One member as described by a row of the file."""

    line: int
    name: str
    kind: documents.MemberKind
    service: str
    data_centre: str
    public_key: bytes
    weight: float

    def member(self) -> documents.Member:
        """Returns the record of a new member, without approvals."""
        return documents.Member.from_public_key(
            self.public_key,
            name=self.name,
            kind=self.kind,
            service=self.service,
            data_centre=self.data_centre,
            weight=self.weight,
        )


@attrs.frozen
class Edit:
    """A listed member whose name or weight changes."""

    before: documents.Member
    after: documents.Member


@attrs.frozen
class DocumentChange:
    """Changes that a file makes to one document.

    Attributes:
        key: Key of the document.
        additions: Members that are not listed yet.
        edits: Members whose name or weight changes.
        departures: Listed members that are no longer in the file.
    """

    key: str
    additions: tuple[documents.Member, ...] = ()
    edits: tuple[Edit, ...] = ()
    departures: tuple[documents.Member, ...] = ()


@attrs.frozen
class Diff:
    """All changes that a file makes.

    Attributes:
        changes: One for each document that changes. Documents that gain
            members come before those that only mark members as departed.
        unchanged: Number of members that stay as they are.
    """

    changes: tuple[DocumentChange, ...]
    unchanged: int


@attrs.frozen
class MassDeparture:
    """A file would mark too many members of one group as departed.

    Attributes:
        group: Name of the service, or `(balancers)`.
        departing: Number of members that would depart.
        listed: Number of members that are listed now.
        allowed_share: The largest share that may depart, 0 to 1.
    """

    group: str
    departing: int
    listed: int
    allowed_share: float

    def __str__(self) -> str:
        return (
            f"{self.group}: {self.departing} of {self.listed} members would "
            f"depart; allowed: a share of {self.allowed_share}, or the "
            "option that allows mass departures"
        )


@attrs.frozen
class Listing:
    """Names and members of the current configuration.

    Attributes:
        data_centres: All data centres.
        services: Names of all services.
        member_by_id: Listed members, departed ones included.
    """

    data_centres: tuple[str, ...]
    services: tuple[str, ...]
    member_by_id: Mapping[identity.MemberId, documents.Member]

    @classmethod
    def from_configuration(
        cls, configuration: configurations.Configuration
    ) -> "Listing":
        """Returns the listing of a configuration.

        An id that any document lists as departed counts as departed.
        """
        member_by_id: dict[identity.MemberId, documents.Member] = {}
        for member_list in configuration.member_lists().values():
            for member in member_list.members:
                listed = member_by_id.get(member.member_id)
                if listed is None or not listed.departed:
                    member_by_id[member.member_id] = member
        return cls(
            configuration.rules.data_centres,
            tuple(sorted(configuration.service_by_name)),
            member_by_id,
        )


def document_key(member: documents.Member) -> str:
    """Returns the key of the document that lists a member."""
    if member.kind == documents.MemberKind.TARGET:
        return configurations.MEMBERS_PREFIX + member.service
    return configurations.BALANCERS_PREFIX + member.data_centre


def is_valid_name(value: str) -> bool:
    """Returns whether a text may name a member, service or data centre."""
    return _NAME.fullmatch(value) is not None


def format_choices(values: Iterable[str]) -> str:
    """Returns the allowed values as text for an error message."""
    return "one of " + (", ".join(values) or "(none is configured)")


@attrs.define
class _ChangeBuilder:
    """Collects the changes to one document."""

    additions: list[documents.Member] = attrs.field(factory=list)
    edits: list[Edit] = attrs.field(factory=list)
    departures: list[documents.Member] = attrs.field(factory=list)

    def build(self, key: str) -> DocumentChange:
        """Returns the collected changes."""
        return DocumentChange(
            key,
            tuple(self.additions),
            tuple(self.edits),
            tuple(self.departures),
        )


def _change_order(change: DocumentChange) -> tuple[bool, bool, str]:
    return bool(change.departures), not change.additions, change.key


def diff(rows: Iterable[Row], listing: Listing) -> Diff:
    """Returns the changes that make the configuration match the rows."""
    builder_by_key: dict[str, _ChangeBuilder] = {}
    unchanged = 0
    ids_in_file = set()
    for row in rows:
        member = row.member()
        ids_in_file.add(member.member_id)
        listed = listing.member_by_id.get(member.member_id)
        builder = builder_by_key.setdefault(
            document_key(member), _ChangeBuilder()
        )
        if listed is None:
            builder.additions.append(member)
        elif (listed.name, listed.weight) == (row.name, row.weight):
            unchanged += 1
        else:
            after = attrs.evolve(listed, name=row.name, weight=row.weight)
            builder.edits.append(Edit(listed, after))
    for member_id, listed in listing.member_by_id.items():
        if member_id not in ids_in_file and not listed.departed:
            builder = builder_by_key.setdefault(
                document_key(listed), _ChangeBuilder()
            )
            builder.departures.append(listed)
    changes = [builder.build(key) for key, builder in builder_by_key.items()]
    nonempty_changes = [change for change in changes if _has_changes(change)]
    return Diff(tuple(sorted(nonempty_changes, key=_change_order)), unchanged)


def _has_changes(change: DocumentChange) -> bool:
    return bool(change.additions or change.edits or change.departures)


def _group_of(member: documents.Member) -> str:
    return member.service or BALANCER_GROUP


def mass_departures(
    inventory_diff: Diff,
    listing: Listing,
    *,
    allowed_share: float = MAX_DEPARTING_SHARE,
) -> tuple[MassDeparture, ...]:
    """Returns the groups that would lose more than the allowed share.

    A group is the targets of one service, or all balancers.
    """
    departing_by_group: dict[str, int] = {}
    listed_by_group: dict[str, int] = {}
    for change in inventory_diff.changes:
        for member in change.departures:
            group = _group_of(member)
            departing_by_group[group] = departing_by_group.get(group, 0) + 1
    for member in listing.member_by_id.values():
        if not member.departed:
            group = _group_of(member)
            listed_by_group[group] = listed_by_group.get(group, 0) + 1
    return tuple(
        MassDeparture(group, count, listed_by_group[group], allowed_share)
        for group, count in sorted(departing_by_group.items())
        if count > allowed_share * listed_by_group[group]
    )


def to_builtins(change: DocumentChange) -> dict[str, Any]:
    """Returns a change as built-in types, for JSON."""
    return {
        "key": change.key,
        "add": [member.name for member in change.additions],
        "edit": [
            {
                "name": edit.after.name,
                "name_before": edit.before.name,
                "weight": edit.after.weight,
                "weight_before": edit.before.weight,
            }
            for edit in change.edits
        ],
        "depart": [member.name for member in change.departures],
    }
