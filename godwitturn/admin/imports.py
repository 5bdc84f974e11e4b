"""Import of the operators' inventory file."""

import attrs
from returns import result as results

from godwitturn.admin import operations
from godwitturn.core import changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.core import inventory
from godwitturn.core import inventory_file


@attrs.frozen
class ImportPlan:
    """What an inventory file would change.

    Attributes:
        diff: The changes; None if the file has bad rows.
        bad_rows: All bad rows.
        mass_departures: Groups of which too many would depart.
    """

    diff: inventory.Diff | None = None
    bad_rows: tuple[inventory_file.BadRow, ...] = ()
    mass_departures: tuple[inventory.MassDeparture, ...] = ()

    @property
    def applicable(self) -> bool:
        """Whether the file may be applied."""
        return self.diff is not None and not self.mass_departures


def plan_import(
    configuration: configurations.Configuration,
    text: str,
    *,
    allowed_share: float = inventory.MAX_DEPARTING_SHARE,
) -> ImportPlan:
    """Compares an inventory file with a configuration.

    Args:
        configuration: The configuration.
        text: The file.
        allowed_share: Largest share of a service's targets, or of all
            balancers, that the file may mark as departed.
    """
    listing = inventory.Listing.from_configuration(configuration)
    parsed = inventory_file.parse(text, listing)
    if isinstance(parsed, results.Failure):
        return ImportPlan(bad_rows=parsed.failure())
    found = inventory.diff(parsed.unwrap(), listing)
    mass = inventory.mass_departures(
        found, listing, allowed_share=allowed_share
    )
    return ImportPlan(found, mass_departures=mass)


async def apply_import(
    context: operations.Context,
    plan: ImportPlan,
    operation: operations.Operation,
) -> list[operations.ChangeResult]:
    """Applies a plan, one document after the other.

    It stops at the first document that did not change, so that no departure
    follows a failed addition. Repeating the import does the rest.

    Raises:
        ValueError: The plan is not applicable.
    """
    if plan.diff is None or not plan.applicable:
        raise ValueError("the plan has bad rows or mass departures")
    done = []
    for part in plan.diff.changes:
        outcome = await operations.change_document(
            context, part.key, _import_function(part), operation
        )
        done.append(outcome)
        if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
            break
    return done


def _import_function(part: inventory.DocumentChange) -> operations.Function:
    def function(
        present: documents.MemberList | None,
    ) -> changes.MemberListResult:
        return changes.apply_document_change(present, part)

    return function
