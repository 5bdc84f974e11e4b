"""Which openings are copies of an earlier one, and which open a new flow.

Clients use a port again for a new flow, at times while daemons and targets
still know the former flow. A copy must go where the first opening went; a new
opening is decided anew by the configuration and the targets of its time.
"""

import enum

from godwitturn.core.transparent import messages
from godwitturn.core.transparent import opening_queue
from godwitturn.core.transparent import segments

# Age from which an opening with the same sequence number isn't taken for a
# copy without asking the flow's agent: the client has given up by then, and
# the copy would have been delayed by a second or more.
MAX_COPY_AGE_S = opening_queue.CLIENT_PATIENCE_S + 1.0


class Order(enum.Enum):
    """How a reported flow relates to the known one of the same port.

    Attributes:
        SAME: Both stand for the same opening.
        LATER: It was opened later, so the known one has ended.
        EARLIER: It was opened earlier, so it has ended.
        UNKNOWN: It isn't known which one was opened later.
    """

    SAME = "same"
    LATER = "later"
    EARLIER = "earlier"
    UNKNOWN = "unknown"


def order(
    reported: messages.FlowOpening | None,
    sequence: int | None,
    opened_at: float,
    *,
    now: float,
) -> Order:
    """Returns how a reported flow relates to a known one.

    The time of an opening whose sequence number isn't known is an upper
    bound. If only one number is known, the flows may stand for copies of one
    opening unless their times are further apart than copies are.

    Args:
        reported: Opening of the reported flow, None if unknown.
        sequence: Sequence number of the known flow's opening, None if
            unknown.
        opened_at: When the known flow was opened, in seconds.
        now: Seconds.
    """
    if reported is None:
        return Order.UNKNOWN
    later_s = now - reported.age_ms / 1000 - opened_at
    match reported.sequence, sequence:
        case None, None:
            return Order.UNKNOWN
        case None, _:
            return (
                Order.EARLIER if later_s < -MAX_COPY_AGE_S else Order.UNKNOWN
            )
        case _, None:
            return Order.LATER if later_s > MAX_COPY_AGE_S else Order.UNKNOWN
    if reported.sequence == sequence:
        return Order.SAME
    return Order.LATER if later_s > 0 else Order.EARLIER


class Relation(enum.Enum):
    """How an opening relates to the known flow of its addresses and ports.

    Attributes:
        COPY: It is a copy of the opening of that flow.
        NEW: It opens a new flow from the same port.
        UNCERTAIN: It may be either.
    """

    COPY = "copy"
    NEW = "new"
    UNCERTAIN = "uncertain"


def relate(
    opening: segments.Segment,
    sequence: int | None,
    opened_at: float,
    *,
    now: float,
) -> Relation:
    """Returns how an opening relates to a known flow.

    Args:
        opening: The opening.
        sequence: Sequence number of the known flow's opening, None if unknown.
        opened_at: When the known flow was opened, in seconds.
        now: Seconds.
    """
    if sequence is None:
        return Relation.UNCERTAIN
    if opening.sequence != sequence:
        return Relation.NEW
    if now - opened_at > MAX_COPY_AGE_S:
        return Relation.UNCERTAIN
    return Relation.COPY
