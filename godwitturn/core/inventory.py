"""The operators' inventory file: its rows and what they change.

A member's identity is its public key. A row that gives a listed key another
kind, service or data centre is therefore refused; such a change takes a new
key, and is a departure and an addition.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import re
from typing import Any

import attrs

from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import identity

# A file cut short by a failed export must not empty a service.
MAX_DEPARTING_SHARE = 0.5
NAME_ALLOWED = "1 to 100 of the characters A-Z a-z 0-9 . _ -"
BALANCER_GROUP = "(balancers)"

_NAME = re.compile(r"[A-Za-z0-9._-]{1,100}")


@attrs.frozen
class Row:
    """One member as the file gives it."""

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
    """What a file changes in one document.

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
    """What a file changes.

    Attributes:
        changes: One for each document that changes, those that add members
            before those that only mark some as departed.
        unchanged: Count of members that stay as they are.
    """

    changes: tuple[DocumentChange, ...]
    unchanged: int


@attrs.frozen
class MassDeparture:
    """A file would mark too many members of one group as departed.

    Attributes:
        group: Name of the service, or `(balancers)`.
        departing: How many would depart.
        listed: How many are listed now.
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
    """What the present configuration says about the file's values.

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

        An id that is listed as departed anywhere counts as departed.
        """
        by_id: dict[identity.MemberId, documents.Member] = {}
        for found in configuration.member_lists().values():
            for member in found.members:
                listed = by_id.get(member.member_id)
                if listed is None or not listed.departed:
                    by_id[member.member_id] = member
        return cls(
            configuration.rules.data_centres,
            tuple(sorted(configuration.service_by_name)),
            by_id,
        )


def document_key(member: documents.Member) -> str:
    """Returns the key of the document that lists a member."""
    if member.kind == documents.MemberKind.TARGET:
        return configurations.MEMBERS_PREFIX + member.service
    return configurations.BALANCERS_PREFIX + member.data_centre


def is_name(value: str) -> bool:
    """Returns whether a text may name a member, service or data centre."""
    return _NAME.fullmatch(value) is not None


def choices(values: Iterable[str]) -> str:
    """Returns the allowed values as a text for an error."""
    return "one of " + (", ".join(values) or "(none is configured)")


@attrs.define
class _Parts:
    """Collects the parts of one document's change."""

    additions: list[documents.Member] = attrs.field(factory=list)
    edits: list[Edit] = attrs.field(factory=list)
    departures: list[documents.Member] = attrs.field(factory=list)

    def change(self, key: str) -> DocumentChange:
        """Returns the change of a document."""
        return DocumentChange(
            key,
            tuple(self.additions),
            tuple(self.edits),
            tuple(self.departures),
        )


def _order(change: DocumentChange) -> tuple[bool, bool, str]:
    return bool(change.departures), not change.additions, change.key


def diff(rows: Iterable[Row], listing: Listing) -> Diff:
    """Returns what turns the present configuration into the file's rows."""
    parts_by_key: dict[str, _Parts] = {}
    unchanged = 0
    named = set()
    for row in rows:
        member = row.member()
        named.add(member.member_id)
        listed = listing.member_by_id.get(member.member_id)
        parts = parts_by_key.setdefault(document_key(member), _Parts())
        if listed is None:
            parts.additions.append(member)
        elif (listed.name, listed.weight) == (row.name, row.weight):
            unchanged += 1
        else:
            after = attrs.evolve(listed, name=row.name, weight=row.weight)
            parts.edits.append(Edit(listed, after))
    for member_id, listed in listing.member_by_id.items():
        if member_id not in named and not listed.departed:
            parts = parts_by_key.setdefault(document_key(listed), _Parts())
            parts.departures.append(listed)
    changes = [parts.change(key) for key, parts in parts_by_key.items()]
    changed = [change for change in changes if _any_part(change)]
    return Diff(tuple(sorted(changed, key=_order)), unchanged)


def _any_part(change: DocumentChange) -> bool:
    return bool(change.additions or change.edits or change.departures)


def _group(member: documents.Member) -> str:
    return member.service or BALANCER_GROUP


def mass_departures(
    found: Diff,
    listing: Listing,
    *,
    allowed_share: float = MAX_DEPARTING_SHARE,
) -> tuple[MassDeparture, ...]:
    """Returns the groups of which more than a share would depart.

    A group is the targets of one service, or all balancers.
    """
    departing: dict[str, int] = {}
    listed: dict[str, int] = {}
    for change in found.changes:
        for member in change.departures:
            group = _group(member)
            departing[group] = departing.get(group, 0) + 1
    for member in listing.member_by_id.values():
        if not member.departed:
            group = _group(member)
            listed[group] = listed.get(group, 0) + 1
    return tuple(
        MassDeparture(group, count, listed[group], allowed_share)
        for group, count in sorted(departing.items())
        if count > allowed_share * listed[group]
    )


def to_builtins(change: DocumentChange) -> dict[str, Any]:
    """Returns a change as plain values, for JSON."""
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
