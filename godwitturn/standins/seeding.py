"""Writes the documents of a deployment to the store, with all approvals."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
import trio

from godwitturn.core import approval
from godwitturn.core import configuration as configurations
from godwitturn.core import documents
from godwitturn.etcd import operations
from godwitturn.etcd import repository
from godwitturn.etcd import store
from godwitturn.standins import deployments

WRITE_TIMEOUT_S = 20.0


def approve(
    deployment: deployments.Deployment, member: documents.Member
) -> documents.Member:
    """Returns the member with an approval of every team."""
    statement = approval.approval_statement(deployment.name, member)
    return attrs.evolve(
        member,
        approvals=tuple(
            documents.Approval(team, key.sign(statement).signature)
            for team, key in deployments.signing_keys(deployment).items()
        ),
    )


def _member_lists(
    deployment: deployments.Deployment,
    specs: Iterable[deployments.MemberSpec],
) -> dict[str, documents.MemberList]:
    members_by_key: dict[str, list[documents.Member]] = {}
    for spec in specs:
        if spec.kind == documents.MemberKind.TARGET:
            key = configurations.MEMBERS_PREFIX + spec.service
        else:
            key = configurations.BALANCERS_PREFIX + spec.data_centre
        member = approve(deployment, spec.member())
        members_by_key.setdefault(key, []).append(member)
    return {
        key: documents.MemberList(tuple(members))
        for key, members in members_by_key.items()
    }


def documents_of(
    deployment: deployments.Deployment,
    rules: documents.Rules | None = None,
) -> dict[str, Any]:
    """Returns all documents of a deployment by key."""
    specs = deployments.balancer_specs(deployment)
    specs += deployments.target_specs(deployment)
    values: dict[str, Any] = dict(_member_lists(deployment, specs))
    for service in deployment.services:
        values[configurations.SERVICES_PREFIX + service.name] = service
    values[configurations.RULES_KEY] = rules or documents.Rules(
        data_centres=deployment.data_centres
    )
    return values


def _constant(value: Any) -> Callable[[Any], Any]:
    return lambda _: value


async def seed(
    deployment: deployments.Deployment,
    store_url: str,
    rules: documents.Rules | None = None,
) -> None:
    """Writes all documents of a deployment to the store.

    Raises:
        RuntimeError: A write was not confirmed within `WRITE_TIMEOUT_S`.
    """
    async with store.StoreClient([store_url]) as client:
        documents_repository = repository.Repository(
            client, deployment.name, trio.current_time
        )
        for key, value in documents_of(deployment, rules).items():
            outcome = await documents_repository.change(
                key,
                _constant(value),
                f"seed-{key}",
                deadline=trio.current_time() + WRITE_TIMEOUT_S,
            )
            if outcome.verdict is not operations.WriteVerdict.TOOK_EFFECT:
                raise RuntimeError(
                    f"write of {key!r} not confirmed: {outcome}"
                )
