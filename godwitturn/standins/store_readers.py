"""Balancers of the simulation that follow a model of the store."""

import functools

from godwitturn.core import store_position
from godwitturn.core.transparent import balancer as balancers
from godwitturn.core.transparent import mirror
from godwitturn.platform import documents
from godwitturn.platform import operator_changes
from godwitturn.platform import store as store_client
from godwitturn.standins import platform_store_model
from godwitturn.standins import transparent_simulation

ANSWER_DELAY_S = 0.004
# Interval at which a waiting watch looks for changes.
WATCH_POLL_S = 0.02
WATCH_WAIT_S = 4.0
RESTORE_GRACE_S = 5.0


class StoreReader:
    """Keeps a balancer's copy of the operators' documents up to date.

    Attributes:
        mirror: The copy.
        is_refused: Whether the store refuses the balancer's calls.
    """

    def __init__(
        self,
        simulation: transparent_simulation.Simulation,
        balancer: balancers.Balancer,
        model: platform_store_model.StoreModel,
    ) -> None:
        self.mirror = mirror.Mirror(
            documents.OPERATOR_PREFIX,
            WATCH_WAIT_S,
            restore_grace_s=RESTORE_GRACE_S,
        )
        self.is_refused = False
        self._simulation = simulation
        self._balancer = balancer
        self._model = model
        self._make_call()

    def _make_call(self) -> None:
        now = self._simulation.now
        call = self.mirror.next_call(now=now)
        self._simulation.call_later(
            ANSWER_DELAY_S,
            functools.partial(self._answer, call, now, self._model.era),
        )

    def _answer(
        self, call: mirror.ReadPage | mirror.Watch, called_at: float, era: int
    ) -> None:
        """Answers a call, or looks again if a watch has nothing to report."""
        model = self._model
        position = store_position.StorePosition(model.era, model.revision)
        result: mirror.Page | mirror.Changes | mirror.Failure
        if self.is_refused:
            result = mirror.Failure.REFUSED
        elif model.era != era:
            result = mirror.Failure.UNREACHABLE  # cut by the restore
        elif isinstance(call, mirror.ReadPage):
            items = map(
                store_client.decode_item, model.read(call.prefix, call.after)
            )
            result = mirror.Page(tuple(items), False, position)
        else:
            events = model.changes(call.prefix, call.after)
            waited_s = self._simulation.now - called_at
            if events is None:
                result = mirror.Failure.HISTORY_GONE
            elif events or waited_s >= call.wait_s:
                items = map(store_client.decode_item, events)
                result = mirror.Changes(tuple(items), position)
            else:
                self._simulation.call_later(
                    WATCH_POLL_S,
                    functools.partial(self._answer, call, called_at, era),
                )
                return
        self._handle_result(result)

    def _handle_result(
        self, result: mirror.Page | mirror.Changes | mirror.Failure
    ) -> None:
        now = self._simulation.now
        self._apply(self.mirror.handle_result(result, now=now))
        delay_s = self.mirror.delay_s(self._simulation.random.random())
        self._simulation.call_later(delay_s, self._make_call)

    def _apply(self, changes: list[mirror.Item]) -> None:
        self._simulation.perform(
            self._balancer.address,
            operator_changes.apply_changes(
                self._balancer, self.mirror, changes
            ),
        )

    def fetch(self, reader_by_address: dict[str, "StoreReader"]) -> None:
        """Adopts the copy of another balancer, if a fetch is due."""
        source = self._balancer.fetcher.next_source(now=self._simulation.now)
        if source in reader_by_address:
            copy = reader_by_address[source].mirror.documents()
            self._apply(self.mirror.adopt(copy))


def follow_store(
    simulation: transparent_simulation.Simulation,
    model: platform_store_model.StoreModel,
) -> dict[str, StoreReader]:
    """Makes all running balancers follow a store and fetch from each other.

    Returns:
        The readers, by address of their balancer.
    """
    reader_by_address = {
        address: StoreReader(simulation, balancer, model)
        for address, balancer in simulation.balancer_by_address.items()
    }

    def fetch_all() -> None:
        for reader in reader_by_address.values():
            reader.fetch(reader_by_address)
        simulation.call_later(balancers.TICK_S, fetch_all)

    fetch_all()
    return reader_by_address
