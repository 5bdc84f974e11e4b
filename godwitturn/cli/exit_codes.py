"""Exit statuses of the command line; docs/cli.md has the same table."""

from collections.abc import Iterable
import enum

from godwitturn.admin import operations


class ExitCode(enum.IntEnum):
    """Exit status of a subcommand.

    Attributes:
        DONE: The subcommand succeeded.
        REFUSED: A change was refused, a check found errors, or the subcommand
            failed in a way that no other status describes.
        USAGE: The arguments, or a file that they name, cannot be used.
        CONFLICT: Another change of the document was written first.
        MAY_HAVE: A change may have taken effect.
        UNREACHABLE: The store or a daemon did not answer, or the store refused
            a call because of its rate limit.
        UNDECODABLE: The store has documents that cannot be decoded.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    MAY_HAVE = 4
    UNREACHABLE = 5
    UNDECODABLE = 6


class CheckCode(enum.IntEnum):
    """Exit status of the check of a configuration.

    Attributes:
        CLEAN: There are no findings.
        WARNINGS: There are warnings, but no errors.
        ERRORS: There are errors, or the arguments cannot be used.
        UNREADABLE: A file cannot be read.
    """

    CLEAN = 0
    WARNINGS = 1
    ERRORS = 2
    UNREADABLE = 3


# Failures in descending severity: a subcommand with several changes ends with
# the most severe status of them.
_BY_SEVERITY = (
    ExitCode.MAY_HAVE,
    ExitCode.CONFLICT,
    ExitCode.UNREACHABLE,
    ExitCode.REFUSED,
)


def code_of_change(change: operations.ChangeResult) -> ExitCode:
    """Returns the exit status of one change."""
    match change.verdict:
        case operations.WriteVerdict.TOOK_EFFECT:
            return ExitCode.DONE
        case operations.WriteVerdict.MAY_HAVE:
            return ExitCode.MAY_HAVE
    if change.conflict:
        return ExitCode.CONFLICT
    if change.unreachable:
        return ExitCode.UNREACHABLE
    return ExitCode.REFUSED


def most_severe_code(changes: Iterable[operations.ChangeResult]) -> ExitCode:
    """Returns the most severe status of changes, `DONE` if there are none."""
    codes = {code_of_change(change) for change in changes}
    return next(
        (code for code in _BY_SEVERITY if code in codes), ExitCode.DONE
    )
