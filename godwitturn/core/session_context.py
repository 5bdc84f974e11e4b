"""State shared by the parts of a session: its actions and next timer."""

import math
import random

import attrs

from godwitturn.core import events
from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts


@attrs.define(eq=False)
class Context:
    """Collects the actions of one event.

    Attributes:
        service_id: Number of the service.
        random_source: Source of flow ids and jitter.
        actions: Actions of the current event so far.
        due_at: Time of the next timer in seconds; infinity if none is set.
    """

    service_id: int
    random_source: random.Random = attrs.field(repr=False)
    actions: list[session_events.Action] = attrs.field(factory=list)
    due_at: float = math.inf

    def arm(self, time: float) -> None:
        """Sets the timer to a time in seconds unless it is due earlier."""
        if time < self.due_at:
            self.due_at = time

    def send(self, data: bytes) -> None:
        """Adds an action that sends a datagram to the fabric."""
        self.actions.append(session_events.SendDatagram(data))

    def log(self, event_id: events.EventId, **fields: object) -> None:
        """Adds a log event, with the service id as a field."""
        fields["service_id"] = self.service_id
        event = events.LogEvent(event_id, fields)
        self.actions.append(session_events.Emit(event))

    def complete(self, number: int, outcome: session_events.Outcome) -> None:
        """Adds the outcome of a request."""
        self.actions.append(session_events.Completed(number, outcome))

    def end_flow(
        self,
        flow_id: int,
        end: session_events.FlowEnd,
        reason: verdicts.Reason = verdicts.Reason.NONE,
    ) -> None:
        """Adds the end of a flow."""
        self.actions.append(session_events.FlowEnded(flow_id, end, reason))
