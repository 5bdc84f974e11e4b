"""Compares rules and services with the configuration and applies them."""

from collections.abc import Collection
from typing import Any

import attrs
from returns import result as results

from godwitturn.admin import operations
from godwitturn.core import changes
from godwitturn.core import configuration as configurations
from godwitturn.core import documents


@attrs.frozen
class DocumentChange:
    """Change of one document.

    Attributes:
        key: Key of the document.
        before: Its current value, None if it is absent.
        after: Its new value.
    """

    key: str
    before: documents.Rules | documents.Service | None
    after: documents.Rules | documents.Service

    def differences(self) -> list[tuple[str, Any, Any]]:
        """Returns the name, old value and new value of each changed field."""
        return [
            (field.name, getattr(self.before, field.name, None), new)
            for field in attrs.fields(type(self.after))
            if (new := getattr(self.after, field.name))
            != getattr(self.before, field.name, None)
        ]


@attrs.frozen
class RulesPlan:
    """Changes that new rules and services would make.

    Attributes:
        document_changes: Changed documents. Services come before the rules,
            which may name them.
        refusals: Why values are refused; if there are any, no document is
            changed.
        configuration: The configuration that the plan changes.
        services: Names of all services, including added ones.
    """

    document_changes: tuple[DocumentChange, ...]
    refusals: tuple[changes.Refusal, ...]
    configuration: configurations.Configuration
    services: tuple[str, ...]


def _set_rules(
    present: documents.Rules | None,
    wanted: documents.Rules,
    configuration: configurations.Configuration,
    services: Collection[str],
) -> changes.RulesResult:
    return changes.set_rules(
        present,
        wanted,
        services=services,
        used_data_centres=changes.data_centres_in_use(configuration),
    )


def plan_rules(
    configuration: configurations.Configuration,
    rules: documents.Rules | None,
    services: Collection[documents.Service],
) -> RulesPlan:
    """Compares rules and services with a configuration.

    Args:
        configuration: The current configuration.
        rules: The new rules; None leaves the current ones unchanged.
        services: New and changed services; others are left unchanged.
    """
    service_by_name = dict(configuration.service_by_name)
    updates: list[tuple[str, Any, results.Result[Any, changes.Refusal]]] = []
    for service in services:
        before = service_by_name.get(service.name)
        updated = changes.set_service(
            before, service, services=service_by_name.values()
        )
        key = configurations.SERVICES_PREFIX + service.name
        updates.append((key, before, updated))
        service_by_name[service.name] = service
    if rules is not None:
        present = configuration.value_by_key.get(configurations.RULES_KEY)
        updated_rules = _set_rules(
            present, rules, configuration, service_by_name
        )
        updates.append((configurations.RULES_KEY, present, updated_rules))
    document_changes = tuple(
        DocumentChange(key, before, updated.unwrap())
        for key, before, updated in updates
        if isinstance(updated, results.Success) and updated.unwrap() != before
    )
    refusals = tuple(
        updated.failure()
        for _, _, updated in updates
        if isinstance(updated, results.Failure)
    )
    return RulesPlan(
        document_changes,
        refusals,
        configuration,
        tuple(sorted(service_by_name)),
    )


def _document_update(
    document_change: DocumentChange, plan: RulesPlan
) -> operations.DocumentUpdate:
    def update(present: Any) -> results.Result[Any, changes.Refusal]:
        if isinstance(document_change.after, documents.Rules):
            return _set_rules(
                present,
                document_change.after,
                plan.configuration,
                plan.services,
            )
        services = plan.configuration.service_by_name.values()
        return changes.set_service(
            present, document_change.after, services=services
        )

    return update


async def apply_rules(
    context: operations.Context,
    plan: RulesPlan,
    operation: operations.Operation,
) -> list[operations.ChangeResult]:
    """Applies a plan, one document after the other.

    If the plan has refusals, no document is changed. Stops at the first
    change that is not known to have taken effect.
    """
    if plan.refusals:
        return [
            operations.refused_result(operation, refusal)
            for refusal in plan.refusals
        ]
    outcomes = []
    for document_change in plan.document_changes:
        outcome = await operations.change_document(
            context,
            document_change.key,
            _document_update(document_change, plan),
            operation,
        )
        outcomes.append(outcome)
        if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
            break
    return outcomes
