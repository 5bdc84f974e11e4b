"""Checks of the records of one history against the system's rules.

All functions are pure and accept the records in any order.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import enum
import operator
from typing import Any

import attrs

from godwitturn.core import session_events
from godwitturn.core import verdict as verdicts
from godwitturn.standins import history


class Rule(enum.Enum):
    """A rule that every history must satisfy."""

    ONE_OUTCOME = "each request ends exactly once"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    TRUE_REFUSAL = "a request that ended NOT_RUN did not run"
    WHOLE_ANSWER = "an answer is whole and belongs to its request"
    ONE_TARGET = "a flow has one target"
    OWN_SERVICE = "a request runs only at a target of its service"
    DATA_CENTRE_OUT = "nothing runs in a data centre that is out"
    DRAINING = "a draining target gets no new work"


@attrs.frozen
class Violation:
    """One violation of a rule.

    Attributes:
        rule: The violated rule.
        subject: The request, flow, target or data centre, as text.
        detail: What was observed instead.
    """

    rule: Rule
    subject: str
    detail: str


def check_outcomes(records: Iterable[history.Record]) -> list[Violation]:
    """Finds requests that never ended or ended more than once."""
    ends_by_key: collections.Counter[str] = collections.Counter()
    sent: set[str] = set()
    for record in records:
        match record:
            case history.RequestSent(key):
                sent.add(key)
            case history.RequestEnded(key):
                ends_by_key[key] += 1
    return [
        Violation(Rule.ONE_OUTCOME, key, f"{ends_by_key[key]} outcomes")
        for key in sorted(sent | ends_by_key.keys())
        if ends_by_key[key] != 1 or key not in sent
    ]


def _runs_by_key(
    records: Iterable[history.Record],
) -> dict[str, list[history.RunStarted]]:
    runs: dict[str, list[history.RunStarted]] = collections.defaultdict(list)
    for record in records:
        if isinstance(record, history.RunStarted):
            runs[record.key].append(record)
    return runs


def check_at_most_once(records: list[history.Record]) -> list[Violation]:
    """Finds non-idempotent requests that ran more than once."""
    runs = _runs_by_key(records)
    return [
        Violation(
            Rule.AT_MOST_ONCE,
            record.key,
            f"ran at {[run.target_id for run in runs[record.key]]}",
        )
        for record in records
        if isinstance(record, history.RequestSent)
        and not record.idempotent
        and len(runs.get(record.key, [])) > 1
    ]


def check_refusals(records: list[history.Record]) -> list[Violation]:
    """Finds requests that ended `NOT_RUN` but ran.

    A run after the outcome violates the rule as well.
    """
    runs = _runs_by_key(records)
    return [
        Violation(
            Rule.TRUE_REFUSAL,
            record.key,
            f"{record.reason} but ran at {runs[record.key][0].target_id}",
        )
        for record in records
        if isinstance(record, history.RequestEnded)
        and record.verdict is verdicts.Verdict.NOT_RUN
        and runs.get(record.key)
    ]


def check_answers(records: list[history.Record]) -> list[Violation]:
    """Finds answers that no target returned for the request."""
    answers: dict[str, set[str]] = collections.defaultdict(set)
    for record in records:
        if isinstance(record, history.RunFinished):
            answers[record.key].add(record.answer)
    return [
        Violation(Rule.WHOLE_ANSWER, record.key, f"answer {record.answer}")
        for record in records
        if isinstance(record, history.RequestEnded)
        and record.verdict is verdicts.Verdict.RAN
        and record.answer not in answers.get(record.key, set())
    ]


def check_targets(records: Iterable[history.Record]) -> list[Violation]:
    """Finds flows that were opened or served at more than one target."""
    targets: dict[int, set[int]] = collections.defaultdict(set)
    for record in records:
        match record:
            case history.FlowOpened(
                flow_id, _, target_id
            ) | history.FlowServed(flow_id, _, target_id):
                targets[flow_id].add(target_id)
    return [
        Violation(Rule.ONE_TARGET, f"{flow_id:016x}", f"targets {sorted(ids)}")
        for flow_id, ids in sorted(targets.items())
        if len(ids) > 1
    ]


def check_services(records: list[history.Record]) -> list[Violation]:
    """Finds requests and flows that reached a target of another service."""
    service_by_key = {
        record.key: record.service_id
        for record in records
        if isinstance(record, history.RequestSent)
    }
    service_by_flow = {
        record.flow_id: record.service_id
        for record in records
        if isinstance(record, history.FlowOpened)
    }
    violations = []
    for record in records:
        match record:
            case history.RunStarted(key, service_id):
                subject, own = key, service_by_key.get(key)
            case history.FlowServed(flow_id, service_id):
                subject = f"{flow_id:016x}"
                own = service_by_flow.get(flow_id)
            case _:
                continue
        if own is not None and own != service_id:
            detail = f"service {own} served by {service_id}"
            violations.append(Violation(Rule.OWN_SERVICE, subject, detail))
    return violations


def _spans(
    starts: Iterable[float], ends: Iterable[float]
) -> list[tuple[float, float]]:
    """Returns each start with the first end at or after it, in seconds."""
    ordered_ends = sorted(ends)
    return [
        (
            start,
            next((end for end in ordered_ends if end >= start), float("inf")),
        )
        for start in sorted(starts)
    ]


def _check_spans(
    records: list[history.Record],
    bound_s: float,
    *,
    rule: Rule,
    start: type[history.Record],
    end: type[history.Record],
    place_of: Callable[[Any], Any],
) -> list[Violation]:
    """Finds runs at a place between a start and an end record of that place.

    Args:
        records: The history.
        bound_s: Seconds from the start during which runs are allowed.
        rule: The rule that such a run violates.
        start: Class of the records that begin a span.
        end: Class of the records that end a span.
        place_of: Returns the target or data centre of a record.
    """
    starts: dict[Any, list[float]] = collections.defaultdict(list)
    ends: dict[Any, list[float]] = collections.defaultdict(list)
    for record in records:
        if isinstance(record, start):
            starts[place_of(record)].append(record.at_s)
        elif isinstance(record, end):
            ends[place_of(record)].append(record.at_s)
    spans = {place: _spans(starts[place], ends[place]) for place in starts}
    return [
        Violation(
            rule,
            str(place_of(record)),
            f"{record.key} ran {record.at_s - began_s:.3f} s after the start",
        )
        for record in records
        if isinstance(record, history.RunStarted)
        for began_s, ended_s in spans.get(place_of(record), [])
        if began_s + bound_s < record.at_s < ended_s
    ]


def check_data_centres(
    records: list[history.Record], *, bound_s: float
) -> list[Violation]:
    """Finds runs in a data centre that was out.

    Args:
        records: The history.
        bound_s: Seconds after which an accepted change must be in effect.
    """
    return _check_spans(
        records,
        bound_s,
        rule=Rule.DATA_CENTRE_OUT,
        start=history.DataCentreOut,
        end=history.DataCentreBack,
        place_of=operator.attrgetter("data_centre"),
    )


def check_drains(
    records: list[history.Record], *, bound_s: float
) -> list[Violation]:
    """Finds runs that a draining target started after the bound.

    Args:
        records: The history.
        bound_s: Seconds from the drain until no request may start,
            including those queued before it.
    """
    return _check_spans(
        records,
        bound_s,
        rule=Rule.DRAINING,
        start=history.DrainStarted,
        end=history.DrainEnded,
        place_of=operator.attrgetter("target_id"),
    )


def check(
    records: list[history.Record], *, out_bound_s: float, drain_bound_s: float
) -> list[Violation]:
    """Returns every violation of every rule.

    Args:
        records: The history, in any order.
        out_bound_s: See `check_data_centres`.
        drain_bound_s: See `check_drains`.
    """
    return [
        *check_outcomes(records),
        *check_at_most_once(records),
        *check_refusals(records),
        *check_answers(records),
        *check_targets(records),
        *check_services(records),
        *check_data_centres(records, bound_s=out_bound_s),
        *check_drains(records, bound_s=drain_bound_s),
    ]


def count_flow_ends(
    records: Iterable[history.Record],
) -> dict[session_events.FlowEnd, int]:
    """Returns the number of opened flows by how they ended."""
    opened: set[int] = set()
    end_by_flow: dict[int, session_events.FlowEnd] = {}
    for record in records:
        match record:
            case history.FlowOpened(flow_id):
                opened.add(flow_id)
            case history.FlowEnded(flow_id, end):
                end_by_flow[flow_id] = end
    counts = dict.fromkeys(session_events.FlowEnd, 0)
    for flow_id in opened & end_by_flow.keys():
        counts[end_by_flow[flow_id]] += 1
    return counts
