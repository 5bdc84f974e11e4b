"""Rules and services from a file or a request, compared and applied."""

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
    """What changes in one document.

    Attributes:
        key: Key of the document.
        before: Its value now, None if it is absent.
        after: Its new value.
    """

    key: str
    before: documents.Rules | documents.Service | None
    after: documents.Rules | documents.Service

    def differences(self) -> list[tuple[str, Any, Any]]:
        """Returns the changed fields, each with old and new value."""
        return [
            (field.name, getattr(self.before, field.name, None), new)
            for field in attrs.fields(type(self.after))
            if (new := getattr(self.after, field.name))
            != getattr(self.before, field.name, None)
        ]


@attrs.frozen
class RulesPlan:
    """What a file of rules and services would change.

    Attributes:
        parts: Changed documents, services before the rules that may name
            them.
        refusals: What is wrong; if there is anything, nothing is applied.
        configuration: What the file was compared with.
        services: Names of all services, with those that the file adds.
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
        configuration: The configuration.
        rules: The wanted rules; None leaves them as they are.
        services: The wanted services; others stay as they are.
    """
    by_name = dict(configuration.service_by_name)
    found: list[tuple[str, Any, results.Result[Any, changes.Refusal]]] = []
    for service in services:
        before = by_name.get(service.name)
        changed = changes.set_service(
            before, service, services=by_name.values()
        )
        key = configurations.SERVICES_PREFIX + service.name
        found.append((key, before, changed))
        by_name[service.name] = service
    if rules is not None:
        present = configuration.value_by_key.get(configurations.RULES_KEY)
        changed_rules = _set_rules(present, rules, configuration, by_name)
        found.append((configurations.RULES_KEY, present, changed_rules))
    parts = tuple(
        DocumentChange(key, before, changed.unwrap())
        for key, before, changed in found
        if isinstance(changed, results.Success) and changed.unwrap() != before
    )
    refusals = tuple(
        changed.failure()
        for _, _, changed in found
        if isinstance(changed, results.Failure)
    )
    return RulesPlan(parts, refusals, configuration, tuple(sorted(by_name)))


def _function(part: DocumentChange, found: RulesPlan) -> operations.Function:
    def function(present: Any) -> results.Result[Any, changes.Refusal]:
        if isinstance(part.after, documents.Rules):
            return _set_rules(
                present, part.after, found.configuration, found.services
            )
        others = found.configuration.service_by_name.values()
        return changes.set_service(present, part.after, services=others)

    return function


async def apply_rules(
    context: operations.Context,
    found: RulesPlan,
    operation: operations.Operation,
) -> list[operations.ChangeResult]:
    """Applies a plan; stops at the first document that did not change."""
    if found.refusals:
        return [
            operations.refused(operation, refusal)
            for refusal in found.refusals
        ]
    done = []
    for part in found.document_changes:
        outcome = await operations.change_document(
            context, part.key, _function(part, found), operation
        )
        done.append(outcome)
        if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
            break
    return done
