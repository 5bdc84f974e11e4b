"""Checks guarantees against the history of a soak."""

from collections.abc import Iterator

from godwitturn.soak import history as histories

# Time after the end of an unplanned fault by which machines can reach each
# other again; until then, neither resets nor openings at draining targets are
# violations. This time and the next are those of current deployments.
STABILIZATION_S = 4.0
# A target may receive openings for this long after a drain was acknowledged.
DRAIN_GRACE_S = 3.0
# Time in which a new configuration is applied everywhere.
CONFIGURATION_GRACE_S = 3.0
# A cold target's openings are counted within any time of this length.
COLD_WINDOW_S = 1.0
# Last part of a soak, without faults, of which the share of served requests is
# checked.
FAULT_FREE_S = 3.0
# Users require that a quarter of the requests is served after a recovery.
MIN_SERVED_SHARE = 0.25


def _is_near_unplanned_fault(history: histories.History, at: float) -> bool:
    """Returns whether an unplanned fault is in progress or ended recently.

    Args:
        history: History with the faults.
        at: The time in question.
    """
    return any(
        fault.at <= at <= fault.at + fault.seconds + STABILIZATION_S
        for fault in history.faults
        if not fault.planned
    )


def _is_running(instance: histories.TargetInstance, at: float) -> bool:
    return instance.ended_at is None or at < instance.ended_at


def _violated_guarantee(
    history: histories.History, record: histories.Record
) -> str | None:
    """Returns which guarantee a record violates, None for none."""
    match record:
        case histories.StrayPacket():
            return "packet of another service"
        case histories.Answered(expected=False):
            return "answer that the client does not expect on this flow"
        case histories.ResetSeen(at, _, target) if target:
            instance = history.instance_by_name[target]
            if _is_running(instance, at) and not _is_near_unplanned_fault(
                history, at
            ):
                return "reset of a flow whose target is running"
        case histories.OpeningTaken(at, flow_id, target):
            if _is_near_unplanned_fault(history, at):
                return None
            instance = history.instance_by_name[target]
            draining_at = instance.draining_at
            if draining_at is not None and at > draining_at + DRAIN_GRACE_S:
                return "opening at a draining target"
            if instance.service not in history.services_of(
                flow_id[3], since=at - CONFIGURATION_GRACE_S, until=at
            ):
                return "opening at a service that the route had before"
    return None


def _repeated(
    history: histories.History,
) -> Iterator[tuple[histories.Record, str]]:
    """Yields records of flows and requests that another target had before.

    A flow is open at no more than one target, and a request that may run only
    once runs no more than once, also during unplanned faults.
    """
    opened_ids = set()
    run_requests = set()
    for record in history.records:
        match record:
            case histories.FlowOpened(_, flow_id, _, sequence):
                if (flow_id, sequence) in opened_ids:
                    yield record, "flow open at a second target"
                opened_ids.add((flow_id, sequence))
            case histories.RequestRun(_, flow_id, _, request, sequence):
                if (flow_id, sequence, request) in run_requests:
                    yield record, "request that ran twice"
                run_requests.add((flow_id, sequence, request))


def _floods(
    history: histories.History,
) -> Iterator[tuple[histories.Record, str]]:
    """Yields openings above the limit of a cold target.

    The limit holds during faults too, and for all balancers together.
    """
    for period in history.cold_periods:
        openings = sorted(
            (
                record
                for record in history.records
                if isinstance(record, histories.OpeningTaken)
                and record.target == period.target
                and period.since <= record.at < period.until
            ),
            key=lambda record: record.at,
        )
        limit = period.max_openings
        for first, record in zip(openings, openings[limit:], strict=False):
            if record.at - first.at < COLD_WINDOW_S:
                yield record, f"more than {limit} openings at a cold target"


def _served_share(history: histories.History) -> float:
    """Returns the share of requests served in the last `FAULT_FREE_S` seconds.

    Resets and given-up openings count as requests that were not served. The
    share is 0 if there are no records.
    """
    since = history.began_at + history.seconds - FAULT_FREE_S
    last_records = [record for record in history.records if record.at >= since]
    answered = sum(isinstance(r, histories.Answered) for r in last_records)
    failed = sum(
        isinstance(r, histories.GivenUp | histories.ResetSeen)
        for r in last_records
    )
    return answered / (answered + failed) if answered + failed else 0.0


def violations(history: histories.History) -> list[str]:
    """Returns a line for each violated guarantee."""
    found = [
        (record, guarantee)
        for record in history.records
        if (guarantee := _violated_guarantee(history, record)) is not None
    ]
    found += [*_repeated(history), *_floods(history)]
    lines = [
        f"{record.at - history.began_at:.3f} s: {guarantee}: {record}"
        for record, guarantee in sorted(found, key=lambda row: row[0].at)
    ]
    lines += [
        f"unexpected exit of a process: {process_exit}"
        for process_exit in history.unexpected_exits
    ]
    lines += [
        f"out of date at the end: {member}"
        for member in history.outdated_members
    ]
    served = _served_share(history)
    if served < MIN_SERVED_SHARE:
        lines.append(
            f"{served:.0%} of the last requests were served; "
            f"expected at least {MIN_SERVED_SHARE:.0%}"
        )
    return lines
