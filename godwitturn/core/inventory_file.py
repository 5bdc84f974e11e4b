"""Parser of the operators' inventory file; reports every bad row."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import csv
import io
import re

import attrs
from nacl import bindings
from returns import result as results

from godwitturn.core import documents
from godwitturn.core import identity
from godwitturn.core import inventory

COLUMNS = (
    "name",
    "kind",
    "service",
    "data_centre",
    "public_key",
    "weight",
)
KEY_BYTES = 32
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0
_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_MAX_SHOWN_CHARACTERS = 80


@attrs.frozen
class BadRow:
    """One wrong value in an inventory file.

    Attributes:
        line: Line on which the row ends, from 1.
        field: Name of the column, or `(row)` or `(header)`.
        value: The bad value, truncated to 80 characters.
        allowed: Description of the allowed values.
    """

    line: int
    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f"line {self.line}: {self.field}: {self.value!r} is not allowed; "
            f"allowed: {self.allowed}"
        )


Parsed = results.Result[tuple[inventory.Row, ...], tuple[BadRow, ...]]


def _shorten(value: str) -> str:
    if len(value) <= _MAX_SHOWN_CHARACTERS:
        return value
    return value[:_MAX_SHOWN_CHARACTERS] + "..."


def _is_usable_key(public_key: bytes) -> bool:
    """Returns whether an X25519 key yields a shared secret.

    A key of low order yields none, so no pair key could be derived.
    """
    try:
        bindings.crypto_scalarmult(b"\x01" * KEY_BYTES, public_key)
    except RuntimeError:
        return False
    return True


def _parse_public_key(value: str) -> bytes | None:
    if re.fullmatch(f"[0-9a-fA-F]{{{2 * KEY_BYTES}}}", value) is None:
        return None
    public_key = bytes.fromhex(value)
    return public_key if _is_usable_key(public_key) else None


def _parse_weight(value: str, kind: str) -> float | None:
    if value == "":
        return 1.0
    if _NUMBER.fullmatch(value) is None:
        return None
    weight = float(value)
    if kind == documents.MemberKind.BALANCER:
        return weight if weight == 1.0 else None
    return weight if MIN_WEIGHT <= weight <= MAX_WEIGHT else None


@attrs.define
class _RowReader:
    """Parses the cells of one row and collects every bad cell."""

    line: int
    cell_by_column: Mapping[str, str]
    listing: inventory.Listing
    bad_cells: list[BadRow] = attrs.field(factory=list)

    def _add_bad_cell(self, field: str, allowed: str) -> None:
        value = _shorten(self.cell_by_column[field])
        self.bad_cells.append(BadRow(self.line, field, value, allowed))

    def _check_assignment(self) -> None:
        cells = self.cell_by_column
        kinds = tuple(kind.value for kind in documents.MemberKind)
        if cells["kind"] not in kinds:
            self._add_bad_cell("kind", inventory.format_choices(kinds))
        elif cells["kind"] == documents.MemberKind.BALANCER:
            if cells["service"]:
                self._add_bad_cell("service", "an empty value for a balancer")
        elif cells["service"] not in self.listing.services:
            self._add_bad_cell(
                "service", inventory.format_choices(self.listing.services)
            )
        if cells["data_centre"] not in self.listing.data_centres:
            self._add_bad_cell(
                "data_centre",
                inventory.format_choices(self.listing.data_centres),
            )

    def read(self) -> inventory.Row | None:
        """Returns the row, or None if any cell is bad."""
        cells = self.cell_by_column
        if not inventory.is_valid_name(cells["name"]):
            self._add_bad_cell("name", inventory.NAME_ALLOWED)
        self._check_assignment()
        public_key = _parse_public_key(cells["public_key"])
        if public_key is None:
            self._add_bad_cell(
                "public_key",
                "64 hexadecimal digits of an X25519 key, not of low order",
            )
        weight = _parse_weight(cells["weight"], cells["kind"])
        if weight is None:
            self._add_bad_cell(
                "weight",
                f"a number from {MIN_WEIGHT} to {MAX_WEIGHT}; for a balancer "
                "1 or empty",
            )
        if self.bad_cells or public_key is None or weight is None:
            return None
        return inventory.Row(
            self.line,
            cells["name"],
            documents.MemberKind(cells["kind"]),
            cells["service"],
            cells["data_centre"],
            public_key,
            weight,
        )


def _check_against_listed(
    row: inventory.Row, listed: documents.Member | None
) -> Iterable[BadRow]:
    """Yields conflicts of a row with the listed member that has its key."""
    if listed is None:
        return
    shown = row.public_key.hex()
    if listed.departed:
        yield BadRow(
            row.line,
            "public_key",
            shown,
            f"a new key; member {listed.name} with this one has departed",
        )
        return
    expected = (listed.kind, listed.service, listed.data_centre)
    if (row.kind, row.service, row.data_centre) != expected:
        assignment = " ".join(filter(None, expected))
        yield BadRow(
            row.line,
            "public_key",
            shown,
            f"a new key; this one belongs to {listed.name} ({assignment})",
        )


def _check_across_rows(
    rows: Sequence[inventory.Row], listing: inventory.Listing
) -> Iterable[BadRow]:
    """Yields conflicts between rows and with the configuration."""
    line_by_name: dict[str, int] = {}
    line_by_id: dict[identity.MemberId, int] = {}
    for row in rows:
        member_id = identity.member_id_of(row.public_key)
        first_line = line_by_name.setdefault(row.name, row.line)
        if first_line != row.line:
            allowed = f"a unique name; line {first_line} has this one"
            yield BadRow(row.line, "name", row.name, allowed)
        first_line = line_by_id.setdefault(member_id, row.line)
        if first_line != row.line:
            allowed = f"a unique key; line {first_line} has this one"
            shown = row.public_key.hex()
            yield BadRow(row.line, "public_key", shown, allowed)
        yield from _check_against_listed(
            row, listing.member_by_id.get(member_id)
        )


def _check_header(header: Sequence[str] | None) -> BadRow | None:
    if header is not None and sorted(header) == sorted(COLUMNS):
        return None
    value = _shorten(",".join(header or ()))
    return BadRow(1, "(header)", value, "the columns " + ",".join(COLUMNS))


@attrs.define
class _FileReader:
    """Parses the rows of one file and collects every bad row."""

    listing: inventory.Listing
    rows: list[inventory.Row] = attrs.field(factory=list)
    bad_rows: list[BadRow] = attrs.field(factory=list)

    def read(self, text: str) -> None:
        """Parses all lines; stops at a bad header or text that isn't CSV."""
        # The export of a spreadsheet may start with a byte order mark.
        stream = io.StringIO(text.removeprefix("\ufeff"), newline="")
        reader = csv.reader(stream, strict=True)
        try:
            header = next(reader, None)
            bad_header = _check_header(header)
            if bad_header is not None:
                self.bad_rows.append(bad_header)
                return
            for cells in reader:
                if cells:
                    self._read_row(reader.line_num, header or (), cells)
        except csv.Error as error:
            self.bad_rows.append(
                BadRow(reader.line_num, "(row)", str(error), "CSV syntax")
            )

    def _read_row(
        self, line: int, header: Sequence[str], cells: Sequence[str]
    ) -> None:
        if len(cells) != len(header):
            value = _shorten(",".join(cells))
            allowed = f"{len(header)} values, not {len(cells)}"
            self.bad_rows.append(BadRow(line, "(row)", value, allowed))
            return
        cell_by_column = dict(zip(header, cells, strict=True))
        reader = _RowReader(line, cell_by_column, self.listing)
        row = reader.read()
        self.bad_rows += reader.bad_cells
        if row is not None:
            self.rows.append(row)


def parse(text: str, listing: inventory.Listing) -> Parsed:
    """Returns the rows of a file, or every bad row in it.

    Args:
        text: Content of the file, CSV with a header line.
        listing: Names and members of the current configuration.
    """
    reader = _FileReader(listing)
    reader.read(text)
    bad_rows = [*reader.bad_rows, *_check_across_rows(reader.rows, listing)]
    if bad_rows:
        bad_rows.sort(key=lambda row: row.line)
        return results.Failure(tuple(bad_rows))
    return results.Success(tuple(reader.rows))
