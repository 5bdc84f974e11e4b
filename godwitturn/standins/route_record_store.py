"""Model of the store's record of the services that routes have had."""

from godwitturn.core.transparent import route_history


class RecordStore:
    """The record, and the calls for it.

    Attributes:
        record: The record.
        era: How often the store was restored.
        is_down: Whether calls fail.
    """

    def __init__(self, services: route_history.Services | None = None) -> None:
        self.record = route_history.Record(services or {}, int(bool(services)))
        self.era = 0
        self.is_down = False

    def make_calls(
        self,
        history: route_history.RouteHistory,
        *,
        now: float,
        jitter: float = 0.5,
    ) -> list[str]:
        """Makes the calls that are due; returns the names of their types."""
        names = []
        while call := history.next_call(now=now, jitter=jitter):
            names.append(type(call).__name__)
            history.handle_result(
                call, self._answer(call), era=self.era, now=now, jitter=jitter
            )
        return names

    def _answer(self, call: route_history.Call) -> route_history.Result:
        if self.is_down:
            return route_history.Failed("refused")
        if isinstance(call, route_history.ReadRecord) or (
            call.revision != self.record.revision
        ):
            return self.record
        self.record = route_history.Record(call.services, call.revision + 1)
        return route_history.Written(call.revision + 1)
