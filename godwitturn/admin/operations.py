"""Changes that operators make to the stored documents.

The command line and the administration API share these functions. A change
may be repeated with the same operation id: each stored document lists the ids
of its last writes, so a change that took effect is not made a second time.
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
    # These import httpx, which subcommands without a store do not load.
    from godwitturn.etcd import operations
    from godwitturn.etcd import repository as repositories

WriteVerdict = write_operation.WriteVerdict

OPERATION_ID_ALLOWED = "1 to 100 of the characters A-Z a-z 0-9 . _ : -"
# Ids appear in log lines, whose fields are separated by spaces.
_OPERATION_ID = re.compile(r"[A-Za-z0-9._:-]{1,100}")


@attrs.frozen
class Context:
    """Access to the store, and parameters of all changes.

    Attributes:
        repository: Reads and writes the documents.
        deployment: Name of the deployment.
        team_keys: Ed25519 public key by team.
        clock: Returns seconds from a monotonic clock.
        timeout_seconds: Seconds until the change of a document is given up.
    """

    repository: "repositories.Repository"
    deployment: str
    team_keys: Mapping[str, bytes]
    clock: Callable[[], float]
    timeout_seconds: float = 10.0


@attrs.frozen
class Operation:
    """Identity of one change, the same for all attempts.

    Attributes:
        operation_id: Unique id of the change.
        is_retry: Whether an earlier attempt with this id may have taken
            effect.
    """

    operation_id: str
    is_retry: bool = False


@attrs.frozen
class ChangeResult:
    """Outcome of the change of one document.

    Attributes:
        operation_id: Id of the change. After `MAY_HAVE`, repeating the change
            with this id shows whether it took effect.
        key: Key of the document; empty if the change ended before one was
            selected.
        verdict: Whether the change took effect.
        written: Whether the change wrote the document. False with
            `TOOK_EFFECT` if the document already had the wanted value.
        conflict: Whether another change was written first.
        revision: Revision of the write; 0 if nothing was written or the
            revision is unknown.
        refusal: Why the change was refused, if it was.
        failure: Description of the store's last failure, empty for none.
        unreachable: Whether the store was unreachable, did not answer in
            time or refused the call because of its rate limit.
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
        detail: Description of the failure.
        unreachable: As in `ChangeResult`.
    """

    detail: str
    unreachable: bool


ConfigurationResult = results.Result[configurations.Configuration, ReadFailure]
# Returns the new value of a document, given the current one; that is None if
# the document is absent.
DocumentUpdate = Callable[[Any], results.Result[Any, changes.Refusal]]


class _Refused(Exception):
    """The update of a document returned a refusal."""

    def __init__(self, refusal: changes.Refusal) -> None:
        super().__init__(str(refusal))
        self.refusal = refusal


class _Unchanged(Exception):
    """The document already has the wanted value."""


def new_operation() -> Operation:
    """Returns an operation with a random id."""
    return Operation(secrets.token_hex(16))


def operation_from_id(
    operation_id: str,
) -> results.Result[Operation, changes.Refusal]:
    """Returns the operation with an id that an operator gave.

    It counts as a retry: the operator may have used the id before.
    """
    if _OPERATION_ID.fullmatch(operation_id) is not None:
        return results.Success(Operation(operation_id, is_retry=True))
    return results.Failure(
        changes.Refusal("operation id", operation_id, OPERATION_ID_ALLOWED)
    )


def failure_text(failure: failures.Failure | None) -> str:
    """Returns the description of a store failure, empty for none."""
    match failure:
        case None:
            return ""
        case failures.Unreachable(detail):
            return f"the store is unreachable: {detail}"
        case failures.TimedOut(detail):
            return f"the store did not answer: {detail}"
        case failures.Conflict(revision):
            return f"another change was written first, at revision {revision}"
        case failures.RateLimited(seconds):
            return f"the store is over its rate; retry after {seconds} s"
        case failures.TooLarge(size, limit):
            return f"the document has {size} bytes; allowed: {limit}"
        case failures.Malformed(detail):
            return detail
        case failures.LeaseNotFound(lease_id):
            return f"lease {lease_id} has ended"


def _is_unreachable(failure: failures.Failure | None) -> bool:
    return isinstance(
        failure,
        failures.Unreachable | failures.TimedOut | failures.RateLimited,
    )


async def read_configuration(context: Context) -> ConfigurationResult:
    """Returns the configuration in the store, or why it could not be read."""
    read_result = await context.repository.read()
    return read_result.alt(
        lambda failure: ReadFailure(
            failure_text(failure), _is_unreachable(failure)
        )
    )


async def change_document(
    context: Context, key: str, update: DocumentUpdate, operation: Operation
) -> ChangeResult:
    """Replaces a document by the value that an update returns.

    Args:
        context: Access to the store.
        key: Key of the document.
        update: Returns the new value for the current one, or a refusal.
        operation: Identity of the change.
    """

    def updated_value(present: Any) -> Any:
        updated = update(present)
        if isinstance(updated, results.Failure):
            raise _Refused(updated.failure())
        if updated.unwrap() == present:
            raise _Unchanged
        return updated.unwrap()

    operation_id = operation.operation_id
    no_effect = ChangeResult(operation_id, key, WriteVerdict.NO_EFFECT)
    try:
        outcome = await context.repository.change(
            key,
            updated_value,
            operation_id,
            deadline=context.clock() + context.timeout_seconds,
            is_retry=operation.is_retry,
        )
    except _Refused as error:
        return attrs.evolve(no_effect, refusal=error.refusal)
    except _Unchanged:
        return attrs.evolve(no_effect, verdict=WriteVerdict.TOOK_EFFECT)
    except configurations.InvalidDocumentError as error:
        return attrs.evolve(no_effect, failure=str(error))
    return _with_outcome(no_effect, outcome)


def _with_outcome(
    no_effect: ChangeResult, outcome: "operations.WriteOutcome"
) -> ChangeResult:
    if outcome.verdict is WriteVerdict.TOOK_EFFECT:
        return attrs.evolve(
            no_effect,
            verdict=outcome.verdict,
            written=True,
            revision=outcome.revision,
        )
    return attrs.evolve(
        no_effect,
        verdict=outcome.verdict,
        conflict=outcome.conflict,
        failure=failure_text(outcome.failure),
        unreachable=_is_unreachable(outcome.failure),
    )


def _read_failed(operation: Operation, failure: ReadFailure) -> ChangeResult:
    """Returns the result of a change that ended with a failed read.

    An earlier attempt may have taken effect, so a retry does not end with
    `NO_EFFECT`.
    """
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


def refused_result(
    operation: Operation, refusal: changes.Refusal
) -> ChangeResult:
    """Returns the result of a change that was refused before any write."""
    return ChangeResult(
        operation.operation_id, "", WriteVerdict.NO_EFFECT, refusal=refusal
    )


# Returns the new value of a member list, given the current one and the member
# to update.
MemberUpdate = Callable[
    [documents.MemberList | None, documents.Member], changes.MemberListResult
]


async def _change_members(
    context: Context,
    names: Iterable[str],
    update: MemberUpdate,
    operation: Operation,
) -> list[ChangeResult]:
    """Changes members with one write for each document that lists some.

    If one of the names is unknown, no document is changed.
    """
    configuration = await read_configuration(context)
    if isinstance(configuration, results.Failure):
        return [_read_failed(operation, configuration.failure())]
    members = configuration.unwrap().member_by_id.values()
    members_by_key: dict[str, list[documents.Member]] = {}
    refused_results = []
    for name in names:
        match changes.find_member(members, name):
            case results.Success(member):
                key = inventory.document_key(member)
                members_by_key.setdefault(key, []).append(member)
            case results.Failure(refusal):
                refused_results.append(refused_result(operation, refusal))
    if refused_results:
        return refused_results
    return [
        await change_document(
            context, key, _update_all(listed, update), operation
        )
        for key, listed in members_by_key.items()
    ]


def _update_all(
    members: Iterable[documents.Member], update: MemberUpdate
) -> DocumentUpdate:
    """Returns an update of a document that updates several members."""

    def update_document(
        present: documents.MemberList | None,
    ) -> changes.MemberListResult:
        value = present if present is not None else documents.MemberList()
        for member in members:
            updated = update(value, member)
            if isinstance(updated, results.Failure):
                return updated
            value = updated.unwrap()
        return results.Success(value)

    return update_document


async def record_signatures(
    context: Context,
    names: Iterable[str],
    statement_of: Callable[
        [documents.Member], documents.Approval | documents.Withdrawal
    ],
    operation: Operation,
) -> list[ChangeResult]:
    """Records a team's signed approval or withdrawal for each member.

    Args:
        context: Access to the store.
        names: Names or ids of the members.
        statement_of: Returns the signed approval or withdrawal for a member.
        operation: Identity of the change.
    """

    def update(
        present: documents.MemberList | None, member: documents.Member
    ) -> changes.MemberListResult:
        return approval_changes.record_signature(
            present,
            member.member_id,
            statement_of(member),
            deployment=context.deployment,
            team_keys=context.team_keys,
        )

    return await _change_members(context, names, update, operation)


async def set_draining(
    context: Context,
    names: Iterable[str],
    draining: bool,
    operation: Operation,
) -> list[ChangeResult]:
    """Marks targets as draining, or ends their draining."""

    def update(
        present: documents.MemberList | None, member: documents.Member
    ) -> changes.MemberListResult:
        return changes.set_draining(present, member.member_id, draining)

    return await _change_members(context, names, update, operation)


async def set_data_centre_out(
    context: Context,
    data_centre: str,
    operation: Operation,
    *,
    allow_none_left: bool = False,
) -> ChangeResult:
    """Takes a data centre out of service."""

    def update(present: documents.Rules | None) -> changes.RulesResult:
        return changes.set_data_centre_out(
            present, data_centre, allow_none_left=allow_none_left
        )

    return await change_document(
        context, configurations.RULES_KEY, update, operation
    )


async def set_data_centre_in(
    context: Context, data_centre: str, operation: Operation
) -> ChangeResult:
    """Puts a data centre back into service."""

    def update(present: documents.Rules | None) -> changes.RulesResult:
        return changes.set_data_centre_in(present, data_centre)

    return await change_document(
        context, configurations.RULES_KEY, update, operation
    )
