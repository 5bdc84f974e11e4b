"""Checks whether the records of a history satisfy the rules of the system.

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
    """A violation of a rule.

    Attributes:
        rule: The violated rule.
        subject: The request, flow, target or data centre, as text.
        detail: What was observed.
    """

    rule: Rule
    subject: str
    detail: str


def check_outcomes(records: Iterable[history.Record]) -> list[Violation]:
    """Finds requests that did not end exactly once, or were never sent."""
    ends_by_key: collections.Counter[str] = collections.Counter()
    sent: set[str] = set()
    for record in records:
        match record:
            case history.RequestSent(key):
                sent.add(key)
            case history.RequestEnded(key):
                ends_by_key[key] += 1
    return [
        Violation(
            Rule.ONE_OUTCOME,
            key,
            f"{ends_by_key[key]} outcomes, expected 1 and a RequestSent",
        )
        for key in sorted(sent | ends_by_key.keys())
        if ends_by_key[key] != 1 or key not in sent
    ]


def _runs_by_key(
    records: Iterable[history.Record],
) -> dict[str, list[history.RunStarted]]:
    runs_by_key: dict[str, list[history.RunStarted]] = collections.defaultdict(
        list
    )
    for record in records:
        if isinstance(record, history.RunStarted):
            runs_by_key[record.key].append(record)
    return runs_by_key


def check_at_most_once(records: list[history.Record]) -> list[Violation]:
    """Finds non-idempotent requests that ran more than once."""
    runs_by_key = _runs_by_key(records)
    return [
        Violation(
            Rule.AT_MOST_ONCE,
            record.key,
            f"ran at targets "
            f"{[run.target_id for run in runs_by_key[record.key]]}",
        )
        for record in records
        if isinstance(record, history.RequestSent)
        and not record.idempotent
        and len(runs_by_key.get(record.key, [])) > 1
    ]


def check_refusals(records: list[history.Record]) -> list[Violation]:
    """Finds requests that ended with `NOT_RUN` but ran.

    A run that started after the outcome violates the rule as well.
    """
    runs_by_key = _runs_by_key(records)
    return [
        Violation(
            Rule.TRUE_REFUSAL,
            record.key,
            f"ended with NOT_RUN ({record.reason}) but ran at target "
            f"{runs_by_key[record.key][0].target_id}",
        )
        for record in records
        if isinstance(record, history.RequestEnded)
        and record.verdict is verdicts.Verdict.NOT_RUN
        and runs_by_key.get(record.key)
    ]


def check_answers(records: list[history.Record]) -> list[Violation]:
    """Finds answers that no target returned for the request."""
    answers_by_key: dict[str, set[str]] = collections.defaultdict(set)
    for record in records:
        if isinstance(record, history.RunFinished):
            answers_by_key[record.key].add(record.answer)
    return [
        Violation(
            Rule.WHOLE_ANSWER,
            record.key,
            f"answer {record.answer} was returned by no target",
        )
        for record in records
        if isinstance(record, history.RequestEnded)
        and record.verdict is verdicts.Verdict.RAN
        and record.answer not in answers_by_key.get(record.key, set())
    ]


def check_targets(records: Iterable[history.Record]) -> list[Violation]:
    """Finds flows that were used or served at more than one target."""
    target_ids_by_flow: dict[int, set[int]] = collections.defaultdict(set)
    for record in records:
        match record:
            case history.FlowOpened(
                flow_id, _, target_id
            ) | history.FlowServed(flow_id, _, target_id):
                target_ids_by_flow[flow_id].add(target_id)
    return [
        Violation(
            Rule.ONE_TARGET,
            f"{flow_id:016x}",
            f"targets {sorted(target_ids)}, expected one",
        )
        for flow_id, target_ids in sorted(target_ids_by_flow.items())
        if len(target_ids) > 1
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
                subject, expected_id = key, service_by_key.get(key)
            case history.FlowServed(flow_id, service_id):
                subject = f"{flow_id:016x}"
                expected_id = service_by_flow.get(flow_id)
            case _:
                continue
        if expected_id is not None and expected_id != service_id:
            detail = f"sent to service {expected_id}, served by {service_id}"
            violations.append(Violation(Rule.OWN_SERVICE, subject, detail))
    return violations


def _intervals(
    starts: Iterable[float], ends: Iterable[float]
) -> list[tuple[float, float]]:
    """Returns each start with the first end at or after it.

    The end is infinite if there is none. All times are in seconds.
    """
    ordered_ends = sorted(ends)
    return [
        (
            start,
            next((end for end in ordered_ends if end >= start), float("inf")),
        )
        for start in sorted(starts)
    ]


def _check_intervals(
    records: list[history.Record],
    bound_s: float,
    *,
    rule: Rule,
    start: type[history.Record],
    end: type[history.Record],
    subject_of: Callable[[Any], Any],
) -> list[Violation]:
    """Finds runs while a target or data centre must not start any.

    Args:
        records: The history.
        bound_s: Seconds from the start of an interval during which runs may
            still start.
        rule: The rule that later runs violate.
        start: Class of the records that begin an interval.
        end: Class of the records that end an interval.
        subject_of: Returns the target or data centre of a record.
    """
    starts: dict[Any, list[float]] = collections.defaultdict(list)
    ends: dict[Any, list[float]] = collections.defaultdict(list)
    for record in records:
        if isinstance(record, start):
            starts[subject_of(record)].append(record.at_s)
        elif isinstance(record, end):
            ends[subject_of(record)].append(record.at_s)
    intervals_by_subject = {
        subject: _intervals(starts[subject], ends[subject])
        for subject in starts
    }
    return [
        Violation(
            rule,
            str(subject_of(record)),
            f"{record.key} started {record.at_s - start_s:.3f} s after "
            f"{start.__name__}, allowed at most {bound_s} s",
        )
        for record in records
        if isinstance(record, history.RunStarted)
        for start_s, end_s in intervals_by_subject.get(subject_of(record), [])
        if start_s + bound_s < record.at_s < end_s
    ]


def check_data_centres(
    records: list[history.Record], *, bound_s: float
) -> list[Violation]:
    """Finds runs in a data centre that was out.

    Args:
        records: The history.
        bound_s: Seconds within which an accepted change must take effect.
    """
    return _check_intervals(
        records,
        bound_s,
        rule=Rule.DATA_CENTRE_OUT,
        start=history.DataCentreOut,
        end=history.DataCentreBack,
        subject_of=operator.attrgetter("data_centre"),
    )


def check_drains(
    records: list[history.Record], *, bound_s: float
) -> list[Violation]:
    """Finds runs that a draining target started too late.

    Args:
        records: The history.
        bound_s: Seconds from the start of the drain during which requests may
            still start, including those queued before it.
    """
    return _check_intervals(
        records,
        bound_s,
        rule=Rule.DRAINING,
        start=history.DrainStarted,
        end=history.DrainEnded,
        subject_of=operator.attrgetter("target_id"),
    )


def check(
    records: list[history.Record],
    *,
    data_centre_bound_s: float,
    drain_bound_s: float,
) -> list[Violation]:
    """Returns every violation of every rule.

    Args:
        records: The history, in any order.
        data_centre_bound_s: `bound_s` of `check_data_centres`, in seconds.
        drain_bound_s: `bound_s` of `check_drains`, in seconds.
    """
    return [
        *check_outcomes(records),
        *check_at_most_once(records),
        *check_refusals(records),
        *check_answers(records),
        *check_targets(records),
        *check_services(records),
        *check_data_centres(records, bound_s=data_centre_bound_s),
        *check_drains(records, bound_s=drain_bound_s),
    ]


def count_flow_ends(
    records: Iterable[history.Record],
) -> dict[session_events.FlowEnd, int]:
    """Returns the number of ended flows by how they ended.

    Flows that no target accepted are not counted.
    """
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
