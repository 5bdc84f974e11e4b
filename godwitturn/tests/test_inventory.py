"""Tests of the inventory file and its diff."""

from typing import Any
import unittest

import attrs
import hypothesis
from hypothesis import strategies
from returns import result as results

from godwitturn.core import changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import inventory
from godwitturn.core import inventory_file
from godwitturn.standins import control_fixtures

HEADER = ",".join(inventory_file.COLUMNS)
DATA_CENTRES = ("howrah", "salt-lake")
SERVICES = ("onboard-core", "permit-desk")
NAMES = tuple(f"m{index}" for index in range(10))
MemberLists = dict[str, documents.MemberList]


def _line(member: documents.Member) -> str:
    key = member.public_key.hex()
    return (
        f"{member.name},{member.kind},{member.service},{member.data_centre},"
        f"{key},{member.weight}"
    )


def _text(*members: documents.Member) -> str:
    return "\n".join([HEADER, *map(_line, members)]) + "\n"


def _configuration(lists: MemberLists) -> configurations.Configuration:
    configuration = configurations.Configuration()
    document_by_key = {
        "rules": documents.Rules(DATA_CENTRES),
        "services/onboard-core": documents.Service("onboard-core", 1),
        "services/permit-desk": documents.Service("permit-desk", 2),
        **lists,
    }
    for revision, (key, value) in enumerate(document_by_key.items(), 1):
        configuration.merge(control_fixtures.document(key, revision, value))
    return configuration


def _listing(*members: documents.Member) -> inventory.Listing:
    return inventory.Listing.from_configuration(
        _configuration(_lists(members))
    )


def _lists(members: tuple[documents.Member, ...]) -> MemberLists:
    lists: MemberLists = {}
    for member in members:
        key = inventory.document_key(member)
        before = lists.get(key, documents.MemberList()).members
        lists[key] = documents.MemberList((*before, member))
    return lists


def _apply(lists: MemberLists, inventory_diff: inventory.Diff) -> MemberLists:
    after = dict(lists)
    for change in inventory_diff.changes:
        part = changes.apply_document_change(after.get(change.key), change)
        after[change.key] = part.unwrap()
    return after


def _members(lists: MemberLists) -> list[documents.Member]:
    return [
        member
        for member_list in lists.values()
        for member in member_list.members
    ]


def _bad_rows(text: str, *listed: documents.Member) -> list[str]:
    result = inventory_file.parse(text, _listing(*listed))
    return [str(row) for row in result.failure()]


TARGET = control_fixtures.target("t1", "onboard-core", "howrah")
OTHER = control_fixtures.target("t2", "permit-desk", "salt-lake")


@strategies.composite
def _member(draw: strategies.DrawFn, name: str) -> documents.Member:
    data_centre = draw(strategies.sampled_from(DATA_CENTRES))
    service = draw(strategies.sampled_from(("", *SERVICES)))
    if not service:
        return control_fixtures.balancer(name, data_centre)
    weight = draw(strategies.integers(1, 10_000)) / 100
    member = control_fixtures.target(name, service, data_centre)
    return attrs.evolve(member, weight=weight)


# Listed members and the members of a file.
Case = tuple[tuple[documents.Member, ...], tuple[documents.Member, ...]]


@strategies.composite
def _cases(
    draw: strategies.DrawFn,
) -> Case:
    """Draws listed members and a valid file."""
    listed = []
    in_file = []
    for name in NAMES:
        member = draw(_member(name))
        location = draw(
            strategies.sampled_from(["file", "both", "list", "gone"])
        )
        if location != "file":
            marks: dict[str, Any] = {
                "departed": location == "gone",
                "draining": draw(strategies.booleans()),
            }
            listed.append(
                attrs.evolve(control_fixtures.signed(member), **marks)
            )
        if location in ("file", "both"):
            new_weight = draw(_member(name)).weight
            if member.kind == documents.MemberKind.TARGET:
                member = attrs.evolve(member, weight=new_weight)
            in_file.append(attrs.evolve(member, name=f"{name}-renamed"))
    return tuple(listed), tuple(draw(strategies.permutations(in_file)))


class TestDiff(unittest.TestCase):
    """An import must match the file and change nothing else."""

    @hypothesis.given(_cases())
    def test_applied_diff_matches_the_file(self, case: Case) -> None:
        """Guards against members lost, kept or changed by an import."""
        listed, in_file = case
        listing = _listing(*listed)
        rows = inventory_file.parse(_text(*in_file), listing).unwrap()
        lists = _lists(listed)
        after = _members(_apply(lists, inventory.diff(rows, listing)))
        serving = [member for member in after if not member.departed]
        self.assertEqual(
            sorted(map(_line, in_file)), sorted(map(_line, serving))
        )
        after_by_id = {member.member_id: member for member in after}
        ids_in_file = {member.member_id for member in in_file}
        self.assertEqual(len(after), len(after_by_id))
        for member in listed:
            kept = after_by_id[member.member_id]
            self.assertEqual(member.approvals, kept.approvals)
            self.assertEqual(member.draining, kept.draining)
            self.assertEqual(
                member.member_id not in ids_in_file, kept.departed
            )

    @hypothesis.given(_cases())
    def test_second_import_changes_nothing(self, case: Case) -> None:
        """Guards against an import that is not safe to repeat."""
        listed, in_file = case
        listing = _listing(*listed)
        rows = inventory_file.parse(_text(*in_file), listing).unwrap()
        inventory_diff = inventory.diff(rows, listing)
        after = _apply(_lists(listed), inventory_diff)
        again = inventory.diff(rows, _listing(*_members(after)))
        self.assertEqual((), again.changes)
        self.assertEqual(len(in_file), again.unchanged)
        self.assertEqual(after, _apply(after, inventory_diff))

    def test_additions_come_first(self) -> None:
        """Guards against a service emptied before its new targets exist."""
        new = control_fixtures.target("t3", "permit-desk", "howrah")
        listing = _listing(TARGET, control_fixtures.balancer("b", "howrah"))
        rows = inventory_file.parse(_text(new), listing).unwrap()
        keys = [change.key for change in inventory.diff(rows, listing).changes]
        self.assertEqual("members/permit-desk", keys[0])
        self.assertEqual(3, len(keys))

    def test_new_key_is_departure_and_addition(self) -> None:
        """Guards against a replaced VM that inherits approvals."""
        replaced = control_fixtures.target("t1b", "onboard-core", "howrah")
        replaced = attrs.evolve(replaced, name=TARGET.name)
        listing = _listing(control_fixtures.signed(TARGET))
        rows = inventory_file.parse(_text(replaced), listing).unwrap()
        (change,) = inventory.diff(rows, listing).changes
        self.assertEqual((replaced,), change.additions)
        self.assertEqual(1, len(change.departures))

    def test_reports_mass_departures(self) -> None:
        """Guards against a truncated export that empties a service."""
        targets = [
            control_fixtures.target(f"c{index}", "onboard-core", "howrah")
            for index in range(4)
        ]
        listing = _listing(*targets, OTHER)
        for kept, reported in ((1, True), (2, False)):
            text = _text(*targets[:kept], OTHER)
            rows = inventory_file.parse(text, listing).unwrap()
            inventory_diff = inventory.diff(rows, listing)
            groups = [
                (mass.group, mass.departing, mass.listed)
                for mass in inventory.mass_departures(inventory_diff, listing)
            ]
            expected = [("onboard-core", 3, 4)] if reported else []
            self.assertEqual(expected, groups)
            allowed = inventory.mass_departures(
                inventory_diff, listing, allowed_share=1.0
            )
            self.assertEqual((), allowed)


def _with_bad_cell(line: str, field: str) -> str:
    cells = dict(zip(inventory_file.COLUMNS, line.split(","), strict=True))
    values = {
        "name": "no spaces",
        "kind": "proxy",
        "service": "nowhere",
        "data_centre": "atlantis",
        "public_key": "12",
        "weight": "nan",
    }
    cells[field] = values[field]
    return ",".join(cells.values())


class TestBadRows(unittest.TestCase):
    """A file with bad rows must change nothing and report all of them."""

    @hypothesis.given(
        _cases(),
        strategies.lists(
            strategies.sampled_from(inventory_file.COLUMNS),
            min_size=1,
            max_size=3,
        ),
    )
    def test_reports_every_bad_row(
        self,
        case: tuple[
            tuple[documents.Member, ...], tuple[documents.Member, ...]
        ],
        fields: list[str],
    ) -> None:
        """Guards against a file that is applied in part."""
        listed, in_file = case
        lines = _text(*in_file).splitlines()
        expected = set()
        for index, field in enumerate(fields[: len(in_file)], 1):
            lines[index] = _with_bad_cell(lines[index], field)
            expected.add((index + 1, field))
        hypothesis.assume(expected)
        result = inventory_file.parse("\r\n".join(lines), _listing(*listed))
        self.assertIsInstance(result, results.Failure)
        reported = {(bad.line, bad.field) for bad in result.failure()}
        self.assertLessEqual(expected, reported)
        bad_lines = {line for line, _ in expected}
        self.assertEqual(bad_lines, {line for line, _ in reported})

    def test_reports_every_bad_cell_of_a_row(self) -> None:
        line = "a b,proxy,x,atlantis,12,-1"
        messages = _bad_rows(f"{HEADER}\n{line}\n")
        self.assertEqual(5, len(messages), messages)
        self.assertIn("line 2: data_centre: 'atlantis'", "\n".join(messages))
        self.assertIn("one of howrah, salt-lake", "\n".join(messages))

    def test_rejects_key_of_a_departed_member(self) -> None:
        """Guards against a departed member that is listed again."""
        departed = attrs.evolve(TARGET, departed=True)
        (message,) = _bad_rows(_text(TARGET), departed)
        self.assertIn(TARGET.public_key.hex(), message)
        self.assertIn("departed", message)

    def test_rejects_departed_key_that_is_also_listed(self) -> None:
        """Guards against a departed mark hidden by a second listing."""
        departed = attrs.evolve(TARGET, departed=True)
        listed = {
            "members/onboard-core": documents.MemberList((departed,)),
            "members/permit-desk": documents.MemberList((TARGET,)),
        }
        for keys in (list(listed), list(reversed(listed))):
            lists = {key: listed[key] for key in keys}
            listing = inventory.Listing.from_configuration(
                _configuration(lists)
            )
            result = inventory_file.parse(_text(TARGET), listing)
            self.assertIsInstance(result, results.Failure)

    def test_rejects_key_with_another_assignment(self) -> None:
        """Guards against one key that serves two services."""
        moves: tuple[dict[str, Any], ...] = (
            {"service": "permit-desk"},
            {"data_centre": "salt-lake"},
            {"kind": documents.MemberKind.BALANCER, "service": ""},
        )
        for change in moves:
            moved = attrs.evolve(TARGET, **change)
            (message,) = _bad_rows(_text(moved), TARGET)
            self.assertIn("line 2: public_key", message)
            self.assertIn(
                "belongs to t1 (target onboard-core howrah)", message
            )

    def test_rejects_duplicate_names_and_keys(self) -> None:
        same_name = attrs.evolve(OTHER, name=TARGET.name)
        (message,) = _bad_rows(_text(TARGET, same_name))
        self.assertIn("line 3: name: 't1'", message)
        same_key = attrs.evolve(TARGET, name="x")
        (message,) = _bad_rows(_text(TARGET, same_key))
        self.assertIn("line 3: public_key", message)

    def test_rejects_key_without_shared_secret(self) -> None:
        """Guards against a low-order key, for which no pair key exists."""
        zero = attrs.evolve(TARGET, public_key=bytes(32))
        (message,) = _bad_rows(_text(zero))
        self.assertIn("not of low order", message)

    def test_rejects_bad_weights(self) -> None:
        for weight in ("nan", "inf", "1e3", "1_0", " 1", "-1", "0", "100.1"):
            line = _line(TARGET).rsplit(",", 1)[0] + f",{weight}"
            (message,) = _bad_rows(f"{HEADER}\n{line}\n")
            self.assertIn(f"weight: {weight!r}", message)

    def test_requires_exactly_the_columns(self) -> None:
        for text in ("", "name,kind\n", HEADER + ",extra\n", "\n"):
            (message,) = _bad_rows(text)
            self.assertIn("line 1: (header)", message)
        swapped = ",".join(reversed(inventory_file.COLUMNS))
        line = ",".join(reversed(_line(TARGET).split(",")))
        rows = inventory_file.parse(f"\ufeff{swapped}\n{line}", _listing())
        self.assertEqual(TARGET, rows.unwrap()[0].member())

    def test_rejects_wrong_cell_counts_and_quotes(self) -> None:
        messages = _bad_rows(f"{HEADER}\na,b\n{_line(OTHER)},7\n")
        self.assertEqual(2, len(messages))
        (message,) = _bad_rows(f'{HEADER}\n"a"b,c\n')
        self.assertIn("CSV syntax", message)


class TestArbitraryText(unittest.TestCase):
    """Any text must result in rows or bad rows, not in an exception."""

    @hypothesis.given(strategies.text())
    def test_parses_any_text_without_raising(self, text: str) -> None:
        inventory_file.parse(text, _listing())

    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.text(max_size=12),
                strategies.sampled_from(
                    [',"', '"', "\r", "\n", "\0", "target", _line(TARGET)]
                ),
            )
        )
    )
    def test_parses_any_rows_without_raising(self, parts: list[str]) -> None:
        text = f"{HEADER}\n{','.join(parts)}"
        inventory_file.parse(text, _listing(TARGET))
