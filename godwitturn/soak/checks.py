"""Promises, checked on the history of a soak."""

from godwitturn.soak import history as histories

# Machines are in touch again this long after a disturbance; the promises with
# time bounds are those of the deployments of today.
STABILITY_S = 4.0
DRAIN_S = 3.0
# The last seconds of a soak are without faults.
SETTLED_S = 3.0
# A quarter of the requests is the users' bound for the recovery.
MIN_SERVED = 0.25


def _disturbed(history: histories.History, at: float) -> bool:
    """Returns whether an unplanned fault was on lately."""
    return any(
        fault.at <= at <= fault.at + fault.seconds + STABILITY_S
        for fault in history.faults
        if not fault.planned
    )


def _alive(start: histories.TargetStart, at: float) -> bool:
    return start.ended_at is None or at < start.ended_at


def _check(history: histories.History, record: histories.Record) -> str | None:
    """Returns which promise a record breaks, None if it breaks none."""
    match record:
        case histories.StrayPacket():
            return "packet of another service"
        case histories.Answered(expected=False):
            return "answer that nobody waits for on this flow"
        case histories.ResetSeen(at, _, target) if target:
            start = history.start_by_name[target]
            if _alive(start, at) and not _disturbed(history, at):
                return "reset of a flow whose target lives"
        case histories.OpeningTaken(at, _, target):
            draining_at = history.start_by_name[target].draining_at
            if (
                draining_at is not None
                and at > draining_at + DRAIN_S
                and not _disturbed(history, at)
            ):
                return "opening at a target that drains"
    return None


def _served(history: histories.History) -> float:
    """Returns the share of requests served in the settled seconds."""
    since = history.began_at + history.seconds - SETTLED_S
    late = [record for record in history.records if record.at >= since]
    answered = sum(isinstance(r, histories.Answered) for r in late)
    failed = sum(
        isinstance(r, histories.GivenUp | histories.ResetSeen) for r in late
    )
    return answered / (answered + failed) if answered + failed else 0.0


def violations(history: histories.History) -> list[str]:
    """Returns the broken promises, a line each."""
    broken = []
    for record in history.records:
        promise = _check(history, record)
        if promise is not None:
            after_s = record.at - history.began_at
            broken.append(f"{after_s:.3f} s: {promise}: {record}")
    broken += [f"process ended by itself: {name}" for name in history.exits]
    served = _served(history)
    if served < MIN_SERVED:
        broken.append(f"{served:.0%} of the last requests were served")
    return broken
