"""Applies changes of the operators' documents to a balancer."""

from godwitturn.core import store_position
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import messages
from godwitturn.core.transparent import mirror
from godwitturn.platform import documents


def apply_changes(
    balancer: balancers.Balancer,
    store_mirror: mirror.Mirror,
    changes: list[mirror.Item],
) -> list[messages.Action]:
    """Applies changes of a mirror of the operators' documents.

    Args:
        balancer: The balancer.
        store_mirror: The mirror, which contains the changes.
        changes: The changes, in order.
    """
    actions = _apply_configuration(balancer, store_mirror, changes)
    if store_mirror.position > store_position.UNREAD:
        evacuated = frozenset(
            name
            for name in map(
                documents.evacuated_data_centre, store_mirror.item_by_key
            )
            if name is not None
        )
        actions += balancer.close_data_centres(
            evacuated,
            position=store_mirror.position,
            last_change=store_mirror.last_change,
        )
    return actions


def _apply_configuration(
    balancer: balancers.Balancer,
    store_mirror: mirror.Mirror,
    changes: list[mirror.Item],
) -> list[messages.Action]:
    """Applies the newest configuration that can be decoded.

    Changes may contain several versions, and decoding takes long, so earlier
    ones aren't decoded.
    """
    actions: list[messages.Action] = []
    for item in reversed(changes):
        if item.key != documents.CONFIGURATION_KEY or not item.value:
            continue
        try:
            configuration = documents.decode_configuration(item.value)
        except documents.MalformedError as exc:
            actions.append(
                messages.LogEvent(
                    "malformed_document", {"key": item.key, "error": str(exc)}
                )
            )
            continue
        position = store_position.StorePosition(
            store_mirror.position.era, item.revision
        )
        return actions + balancer.configure(configuration, position=position)
    return actions
