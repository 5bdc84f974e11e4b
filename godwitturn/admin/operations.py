"""Operators' changes on the store, for the command line and the API.

Each function takes an operation id and may be repeated with the same one: a
change that took effect is found by its id and not made again.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import re
import secrets
from typing import Any
from typing import TYPE_CHECKING

import attrs
from returns import result as results

from godwitturn.core import approval_changes
from godwitturn.core import changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import inventory
from godwitturn.core import write_operation
from godwitturn.etcd import failures

if TYPE_CHECKING:
    # Brings httpx, which subcommands without a store do not load.
    from godwitturn.etcd import operations
    from godwitturn.etcd import repository as repositories

WriteVerdict = write_operation.WriteVerdict

OPERATION_ID_ALLOWED = "1 to 100 of the characters A-Z a-z 0-9 . _ : -"
# The id stands in log lines, between fields that spaces separate.
_OPERATION_ID = re.compile(r"[A-Za-z0-9._:-]{1,100}")


@attrs.frozen
class Context:
    """What the operations act on.

    Attributes:
        repository: The documents.
        deployment: Name of the deployment.
        team_keys: Ed25519 public key by team.
        clock: Returns seconds from a monotonic clock.
        timeout_seconds: Seconds until a write is given up.
    """

    repository: "repositories.Repository"
    deployment: str
    team_keys: Mapping[str, bytes]
    clock: Callable[[], float]
    timeout_seconds: float = 10.0


@attrs.frozen
class Operation:
    """Name of one change.

    Attributes:
        operation_id: Unique for the change.
        is_retry: Whether an earlier attempt may have been made under it.
    """

    operation_id: str
    is_retry: bool = False


@attrs.frozen
class ChangeResult:
    """How the change of one document ended.

    Attributes:
        operation_id: The change's id; repeat with it after `MAY_HAVE`.
        key: Key of the document; empty if none was found to change.
        verdict: Whether the change is in the store.
        written: False if the document was as wanted before, so that nothing
            was written.
        conflict: Whether another change came first.
        revision: Revision of the write, 0 if there is none or it is unknown.
        refusal: What is wrong with the change, if anything is.
        failure: The store's last failure, empty for none.
        unreachable: Whether the store was unreachable, silent or over its
            rate.
    """

    operation_id: str
    key: str
    verdict: WriteVerdict
    written: bool = False
    conflict: bool = False
    revision: int = 0
    refusal: changes.Refusal | None = None
    failure: str = ""
    unreachable: bool = False


@attrs.frozen
class ReadFailure:
    """The store could not be read.

    Attributes:
        detail: What happened.
        unreachable: As in `ChangeResult`.
    """

    detail: str
    unreachable: bool


Reading = results.Result[configurations.Configuration, ReadFailure]
Function = Callable[[Any], results.Result[Any, changes.Refusal]]


class _Refused(Exception):
    def __init__(self, refusal: changes.Refusal) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


class _Unchanged(Exception):
    """The document is as wanted."""


def new_operation() -> Operation:
    """Returns an operation with a random id."""
    return Operation(secrets.token_hex(16))


def operation_of(text: str) -> results.Result[Operation, changes.Refusal]:
    """Returns the operation that an operator named."""
    if _OPERATION_ID.fullmatch(text) is not None:
        return results.Success(Operation(text, is_retry=True))
    return results.Failure(
        changes.Refusal("operation id", text, OPERATION_ID_ALLOWED)
    )


def describe(failure: failures.Failure | None) -> str:
    """Returns a store failure as text, empty for none."""
    match failure:
        case None:
            return ""
        case failures.Unreachable(detail):
            return f"the store is unreachable: {detail}"
        case failures.TimedOut(detail):
            return f"the store did not answer: {detail}"
        case failures.Conflict(revision):
            return f"another change came first, by revision {revision}"
        case failures.RateLimited(seconds):
            return f"the store is over its rate; retry after {seconds} s"
        case failures.TooLarge(size, limit):
            return f"the document has {size} bytes; allowed: {limit}"
        case failures.Malformed(detail):
            return detail
        case failures.LeaseNotFound(lease_id):
            return f"lease {lease_id} has ended"


def _unreachable(failure: failures.Failure | None) -> bool:
    return isinstance(
        failure,
        failures.Unreachable | failures.TimedOut | failures.RateLimited,
    )


async def read(context: Context) -> Reading:
    """Returns the configuration on the store."""
    answer = await context.repository.read()
    return answer.alt(
        lambda failure: ReadFailure(describe(failure), _unreachable(failure))
    )


async def change_document(
    context: Context, key: str, function: Function, operation: Operation
) -> ChangeResult:
    """Replaces a document by a function's result.

    Args:
        context: What to act on.
        key: Key of the document.
        function: Returns the new value for the present one, or a refusal.
        operation: Name of the change.
    """

    def changed(present: Any) -> Any:
        found = function(present)
        if isinstance(found, results.Failure):
            raise _Refused(found.failure())
        if found.unwrap() == present:
            raise _Unchanged
        return found.unwrap()

    operation_id = operation.operation_id
    none = ChangeResult(operation_id, key, WriteVerdict.NO_EFFECT)
    try:
        outcome = await context.repository.change(
            key,
            changed,
            operation_id,
            deadline=context.clock() + context.timeout_seconds,
            is_retry=operation.is_retry,
        )
    except _Refused as error:
        return attrs.evolve(none, refusal=error.refusal)
    except _Unchanged:
        return attrs.evolve(none, verdict=WriteVerdict.TOOK_EFFECT)
    except configurations.InvalidDocumentError as error:
        return attrs.evolve(none, failure=str(error))
    return _result(none, outcome)


def _result(
    none: ChangeResult, outcome: "operations.WriteOutcome"
) -> ChangeResult:
    if outcome.verdict is WriteVerdict.TOOK_EFFECT:
        return attrs.evolve(
            none,
            verdict=outcome.verdict,
            written=True,
            revision=outcome.revision,
        )
    return attrs.evolve(
        none,
        verdict=outcome.verdict,
        conflict=outcome.conflict,
        failure=describe(outcome.failure),
        unreachable=_unreachable(outcome.failure),
    )


def not_read(operation: Operation, failure: ReadFailure) -> ChangeResult:
    """Returns the result of a change for which the store was not read."""
    verdict = WriteVerdict.NO_EFFECT
    if operation.is_retry:
        verdict = WriteVerdict.MAY_HAVE
    return ChangeResult(
        operation.operation_id,
        "",
        verdict,
        failure=failure.detail,
        unreachable=failure.unreachable,
    )


def refused(operation: Operation, refusal: changes.Refusal) -> ChangeResult:
    """Returns the result of a change that was not tried."""
    return ChangeResult(
        operation.operation_id, "", WriteVerdict.NO_EFFECT, refusal=refusal
    )


MemberFunction = Callable[
    [documents.MemberList | None, documents.Member], changes.MemberListResult
]


async def _change_members(
    context: Context,
    names: Iterable[str],
    function: MemberFunction,
    operation: Operation,
) -> list[ChangeResult]:
    """Changes members, with one write for each document that lists some.

    If one name is wrong, nothing is changed.
    """
    reading = await read(context)
    if isinstance(reading, results.Failure):
        return [not_read(operation, reading.failure())]
    members = reading.unwrap().member_by_id.values()
    members_by_key: dict[str, list[documents.Member]] = {}
    wrong = []
    for name in names:
        match changes.find_member(members, name):
            case results.Success(member):
                key = inventory.document_key(member)
                members_by_key.setdefault(key, []).append(member)
            case results.Failure(refusal):
                wrong.append(refused(operation, refusal))
    if wrong:
        return wrong
    return [
        await change_document(
            context, key, _for_each(found, function), operation
        )
        for key, found in members_by_key.items()
    ]


def _for_each(
    members: Iterable[documents.Member], function: MemberFunction
) -> Function:
    def changed(
        present: documents.MemberList | None,
    ) -> changes.MemberListResult:
        value = present if present is not None else documents.MemberList()
        for member in members:
            found = function(value, member)
            if isinstance(found, results.Failure):
                return found
            value = found.unwrap()
        return results.Success(value)

    return changed


async def record_signatures(
    context: Context,
    names: Iterable[str],
    signed_of: Callable[
        [documents.Member], documents.Approval | documents.Withdrawal
    ],
    operation: Operation,
) -> list[ChangeResult]:
    """Adds a team's approval or withdrawal of each member.

    Args:
        context: What to act on.
        names: Names or ids of the members.
        signed_of: Returns the team's approval or withdrawal of a member.
        operation: Name of the change.
    """

    def function(
        present: documents.MemberList | None, member: documents.Member
    ) -> changes.MemberListResult:
        return approval_changes.record_signature(
            present,
            member.member_id,
            signed_of(member),
            deployment=context.deployment,
            team_keys=context.team_keys,
        )

    return await _change_members(context, names, function, operation)


async def set_draining(
    context: Context,
    names: Iterable[str],
    draining: bool,
    operation: Operation,
) -> list[ChangeResult]:
    """Marks targets as draining or not draining."""

    def function(
        present: documents.MemberList | None, member: documents.Member
    ) -> changes.MemberListResult:
        return changes.set_draining(present, member.member_id, draining)

    return await _change_members(context, names, function, operation)


async def set_data_centre_out(
    context: Context,
    data_centre: str,
    operation: Operation,
    *,
    allow_none_left: bool = False,
) -> ChangeResult:
    """Takes a data centre out."""

    def function(present: documents.Rules | None) -> changes.RulesResult:
        return changes.set_data_centre_out(
            present, data_centre, allow_none_left=allow_none_left
        )

    return await change_document(
        context, configurations.RULES_KEY, function, operation
    )


async def set_data_centre_in(
    context: Context, data_centre: str, operation: Operation
) -> ChangeResult:
    """Brings a data centre back in."""

    def function(present: documents.Rules | None) -> changes.RulesResult:
        return changes.set_data_centre_in(present, data_centre)

    return await change_document(
        context, configurations.RULES_KEY, function, operation
    )
