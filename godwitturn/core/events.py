"""Numbered log events, as listed in docs/events.md.

Numbers: 100 balancer, 200 agent, 300 caller, 400 store, 500 control plane,
600 daemons and settings, 700 operators' tools. A number is never reused.
"""

import enum
from typing import Any

import attrs


class EventId(enum.IntEnum):
    """Number of a log event."""

    BALANCER_FENCED = 101
    BALANCER_OPENED = 102
    BALANCER_MALFORMED = 103
    BALANCER_FORGED_TOKEN = 104
    BALANCER_CORRECTED = 105
    BALANCER_CONFLICT = 106
    BALANCER_STOPPED = 107
    AGENT_FENCED = 201
    AGENT_OPENED = 202
    AGENT_MALFORMED = 203
    AGENT_WRONG_IDENTITY = 204
    AGENT_COLD_START = 205
    AGENT_DRAINING = 206
    AGENT_STOPPED = 207
    AGENT_FLOWS_RESET = 208
    AGENT_POLICY_REVERTED = 209
    CALLER_FLOW_OPENED = 301
    CALLER_FLOW_MOVING = 302
    CALLER_FLOW_LOST = 303
    CALLER_FLOW_RENEWED = 304
    CALLER_OPENING_REFUSED = 305
    CALLER_RETRY_BUDGET_SPENT = 306
    STORE_VALUE_MALFORMED = 401
    CONTROL_DOCUMENT_REJECTED = 501
    CONTROL_PEER_REFUSED = 502
    CONTROL_MALFORMED = 503
    CONTROL_MEMBER_LOST = 504
    CONTROL_READER_STARTED = 505
    CONTROL_READER_STOPPED = 506
    CONTROL_VERSION = 507
    CONTROL_DIRECTORY_WRITTEN = 508
    CONTROL_DIRECTORY_READ = 509
    CONTROL_WITHDRAWAL_UNVERIFIED = 510
    CONTROL_STORE_RESTORED = 511
    ADMIN_UNAUTHORISED = 701
    ADMIN_CHANGE = 702
    ADMIN_FAILED = 703


@attrs.frozen
class LogEvent:
    """One occurrence of a numbered event.

    Attributes:
        event_id: Number of the event.
        fields: Values by name; never secrets, bodies or tokens.
    """

    event_id: EventId
    fields: dict[str, Any] = attrs.field(factory=dict)


# Events that are part of ordinary operation; all others are warnings.
_INFO_EVENTS = frozenset(
    {
        EventId.BALANCER_OPENED,
        EventId.BALANCER_STOPPED,
        EventId.AGENT_OPENED,
        EventId.AGENT_DRAINING,
        EventId.AGENT_STOPPED,
        EventId.CALLER_FLOW_OPENED,
        EventId.CALLER_FLOW_MOVING,
        EventId.CONTROL_READER_STARTED,
        EventId.CONTROL_READER_STOPPED,
        EventId.CONTROL_VERSION,
        EventId.CONTROL_DIRECTORY_WRITTEN,
        EventId.ADMIN_CHANGE,
    }
)


def level_of(event_id: EventId) -> str:
    """Returns `info` or `warning`."""
    return "info" if event_id in _INFO_EVENTS else "warning"
