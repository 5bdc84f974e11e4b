"""Compares an inventory file with the configuration and applies it."""

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
    """Changes that an inventory file would make.

    Attributes:
        diff: The changes; None if the file has bad rows.
        bad_rows: All bad rows.
        mass_departures: Services, or the group of all balancers, of which a
            larger share of members would depart than is allowed.
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
        configuration: The current configuration.
        text: Content of the file.
        allowed_share: Largest share of a service's targets, or of all
            balancers, that the file may mark as departed.
    """
    listing = inventory.Listing.from_configuration(configuration)
    parsed = inventory_file.parse(text, listing)
    if isinstance(parsed, results.Failure):
        return ImportPlan(bad_rows=parsed.failure())
    diff = inventory.diff(parsed.unwrap(), listing)
    mass_departures = inventory.mass_departures(
        diff, listing, allowed_share=allowed_share
    )
    return ImportPlan(diff, mass_departures=mass_departures)


async def apply_import(
    context: operations.Context,
    plan: ImportPlan,
    operation: operations.Operation,
) -> list[operations.ChangeResult]:
    """Applies a plan, one document after the other.

    Stops at the first change that is not known to have taken effect, so that
    no member is marked as departed after an addition failed. Importing the
    file again applies the rest.

    Raises:
        ValueError: The plan is not applicable.
    """
    if plan.diff is None or not plan.applicable:
        raise ValueError(
            f"the plan has {len(plan.bad_rows)} bad rows and "
            f"{len(plan.mass_departures)} mass departures; expected none"
        )
    outcomes = []
    for document_change in plan.diff.changes:
        outcome = await operations.change_document(
            context,
            document_change.key,
            _document_update(document_change),
            operation,
        )
        outcomes.append(outcome)
        if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
            break
    return outcomes


def _document_update(
    document_change: inventory.DocumentChange,
) -> operations.DocumentUpdate:
    def update(
        present: documents.MemberList | None,
    ) -> changes.MemberListResult:
        return changes.apply_document_change(present, document_change)

    return update
