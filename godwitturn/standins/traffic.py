"""Callers that send requests and count their outcomes."""

import collections
import random
import time

import attrs
import trio

from godwitturn.caller import client
from godwitturn.core import addresses
from godwitturn.core import documents
from godwitturn.core import session_events
from godwitturn.core import verdict
from godwitturn.metrics import registry
from godwitturn.standins import history

REQUEST_TIMEOUT_S = 10.0


@attrs.frozen
class Load:
    """Request load of the callers of one service.

    Attributes:
        sessions: Number of concurrent sessions.
        requests: Number of requests that each session sends.
        pause_s: Mean number of seconds between two requests of a session.
        body_bytes: Size of request bodies; one in ten is ten times larger.
        idempotent_share: Share of requests that may run more than once.
        timeout_s: Seconds that callers wait for an answer.
        prefix: Start of request keys; differs between the loads of a service.
    """

    sessions: int
    requests: int
    pause_s: float = 0.2
    body_bytes: int = 400
    idempotent_share: float = 0.5
    timeout_s: float = REQUEST_TIMEOUT_S
    prefix: str = ""


@attrs.define
class Report:
    """Results of the callers of one service. All counts start at zero.

    Attributes:
        service: The service.
        flows_opened: Number of flows that a target accepted.
        flows_broken: Number of flows that ended as `BROKEN`.
        flows_given_up: Number of flows that ended because their data centre
            was taken out.
        flows_moved: Number of flows that moved to another target.
        correct_answers: Number of requests with the expected answer; padding
            at its end is not checked.
        wrong_answers: Number of requests with any other answer.
        unanswered_by_outcome: Number of requests without an answer, by
            verdict and reason.
        metrics: Answer times by class.
        records: Records of requests and flows, for `history_checks`.
    """

    service: documents.Service
    flows_opened: int = 0
    flows_broken: int = 0
    flows_given_up: int = 0
    flows_moved: int = 0
    correct_answers: int = 0
    wrong_answers: int = 0
    unanswered_by_outcome: "collections.Counter[str]" = attrs.field(
        factory=collections.Counter
    )
    metrics: registry.Registry = attrs.field(factory=registry.Registry)
    records: list[history.Record] = attrs.field(factory=list)

    @property
    def not_run(self) -> int:
        """Number of requests that certainly did not run."""
        return sum(
            count
            for name, count in self.unanswered_by_outcome.items()
            if name.startswith(verdict.Verdict.NOT_RUN.name)
        )

    @property
    def may_have_run(self) -> int:
        """Number of requests without an answer that may have run."""
        return sum(self.unanswered_by_outcome.values()) - self.not_run

    def record_action(self, action: session_events.Action) -> None:
        """Counts and records the start or end of a flow."""
        now = time.monotonic()
        match action:
            case session_events.FlowOpened(flow_id, target_id):
                self.flows_opened += 1
                service_id = self.service.service_id
                self.records.append(
                    history.FlowOpened(flow_id, service_id, target_id, now)
                )
            case session_events.FlowEnded(flow_id, end, reason):
                self._count_flow_end(end)
                self.records.append(
                    history.FlowEnded(flow_id, end, reason.name, now)
                )

    def _count_flow_end(self, end: session_events.FlowEnd) -> None:
        self.flows_broken += end is session_events.FlowEnd.BROKEN
        self.flows_given_up += end is session_events.FlowEnd.GIVEN_UP
        self.flows_moved += end is session_events.FlowEnd.MOVED

    def record_outcome(
        self, key: str, body: bytes, outcome: session_events.Outcome
    ) -> bool:
        """Counts and records an outcome; returns whether it is correct."""
        ran = outcome.verdict is verdict.Verdict.RAN
        self.records.append(
            history.RequestEnded(
                key,
                outcome.verdict,
                outcome.reason.name,
                history.digest(outcome.body) if ran else "",
                outcome.tries,
                time.monotonic(),
            )
        )
        if not ran:
            self.unanswered_by_outcome[
                f"{outcome.verdict.name} {outcome.reason.name}"
            ] += 1
            return False
        is_correct = outcome.body.startswith(
            self.service.name.encode() + b":" + body
        )
        self.correct_answers += is_correct
        self.wrong_answers += not is_correct
        return is_correct


async def _send_one(
    session: client.ClientSession,
    report: Report,
    load: Load,
    key: str,
    random_source: random.Random,
) -> None:
    size = load.body_bytes * (10 if random_source.random() < 0.1 else 1)
    body = history.body_with_key(key, b"-" * size)
    idempotent = random_source.random() < load.idempotent_share
    service_id = report.service.service_id
    started_at = time.monotonic()
    report.records.append(
        history.RequestSent(key, service_id, idempotent, started_at)
    )
    outcome = await session.request(
        body, idempotent=idempotent, timeout_s=load.timeout_s
    )
    if report.record_outcome(key, body, outcome):
        request_class = "idempotent" if idempotent else "once"
        report.metrics.observe(
            registry.HistogramKey("answer_time", service_id, request_class),
            int((time.monotonic() - started_at) * 1e6),
        )


async def _run_session(
    caller: client.Caller, load: Load, report: Report, name: str
) -> None:
    random_source = random.Random(name)
    session = caller.open_session(
        report.service.service_id,
        random_source=random_source,
        observer=report.record_action,
    )
    await trio.sleep(random_source.random() * load.pause_s)
    for number in range(load.requests):
        key = f"{name}.{number}"
        await _send_one(session, report, load, key, random_source)
        await trio.sleep(random_source.random() * 2 * load.pause_s)
    session.close()


async def run_callers(
    address: addresses.Address, load: Load, report: Report
) -> None:
    """Runs the sessions of a service until the last request has ended."""
    async with (
        client.open_caller(address) as caller,
        trio.open_nursery() as nursery,
    ):
        for index in range(load.sessions):
            name = f"{load.prefix}{report.service.name}.{index}"
            nursery.start_soon(_run_session, caller, load, report, name)
