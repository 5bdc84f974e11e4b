"""Output of the command line: tables for people, JSON for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
import enum
import json as json_format
import sys
from typing import Any
from typing import TypeVar

from godwitturn.admin import operations
from godwitturn.admin import views
from godwitturn.cli import exit_codes

ExitCode = exit_codes.ExitCode
Code = TypeVar("Code", bound=enum.IntEnum)


def table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Returns a text table whose columns are aligned."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def change_text(change: operations.ChangeResult) -> str:
    """Returns the outcome of a change as one line of text."""
    key = change.key or "(no document)"
    match change.verdict:
        case operations.WriteVerdict.TOOK_EFFECT if not change.written:
            return f"{key}: as wanted before; nothing was written"
        case operations.WriteVerdict.TOOK_EFFECT:
            revision = f" at revision {change.revision}" * bool(
                change.revision
            )
            return f"{key}: took effect{revision}"
        case operations.WriteVerdict.MAY_HAVE:
            return (
                f"{key}: MAY HAVE TAKEN EFFECT: {change.failure}; repeat it "
                f"with --operation-id {change.operation_id} to find out"
            )
    if change.refusal is not None:
        return f"{key}: no effect: {change.refusal}"
    if change.conflict:
        return f"{key}: no effect: conflict, {change.failure}"
    return f"{key}: no effect: {change.failure}"


class Output:
    """Prints the outcome of one subcommand.

    Attributes:
        json: Whether to print one JSON object to standard output. Otherwise
            tables go to standard output and errors to standard error.
    """

    def __init__(self, *, json: bool) -> None:
        self.json = json

    def print_success(self, values: dict[str, Any], text: str) -> ExitCode:
        """Prints a result and returns `DONE`.

        Args:
            values: The result for JSON.
            text: The result for people.
        """
        return self.print_result(ExitCode.DONE, values, text)

    def print_result(
        self, code: Code, values: dict[str, Any], text: str
    ) -> Code:
        """Prints a result and returns the exit status.

        Args:
            code: The exit status.
            values: The result for JSON.
            text: The result for people; nothing is printed if it is empty.
        """
        if self.json:
            print(json_format.dumps({"exit_code": int(code), **values}))
        elif text:
            print(text)
        return code

    def print_errors(
        self, code: Code, errors: Sequence[Any], **values: Any
    ) -> Code:
        """Prints errors and returns the exit status.

        Args:
            code: The exit status.
            errors: Texts, or objects that name a value and what is allowed.
            **values: Further values for JSON.
        """
        if self.json:
            error_list = [views.error_values(error) for error in errors]
            return self.print_result(
                code, {"errors": error_list, **values}, ""
            )
        for error in errors:
            print(error, file=sys.stderr)
        return code

    def print_changes(
        self,
        changes: Sequence[operations.ChangeResult],
        operation: operations.Operation,
        **values: Any,
    ) -> ExitCode:
        """Prints the outcomes of changes and returns the exit status.

        Args:
            changes: One for each document.
            operation: Identity of the change.
            **values: Further values for JSON.
        """
        code = exit_codes.most_severe_code(changes)
        if self.json:
            return self.print_result(
                code,
                {
                    "operation_id": operation.operation_id,
                    "changes": [views.change_values(c) for c in changes],
                    **values,
                },
                "",
            )
        for change in changes:
            succeeded = exit_codes.code_of_change(change) is ExitCode.DONE
            print(
                change_text(change),
                file=sys.stdout if succeeded else sys.stderr,
            )
        if not changes:
            print("nothing to change")
        return code
