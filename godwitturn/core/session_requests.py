"""The requests of a session, and retries by verdict and reason."""

import math
import random

import attrs

from godwitturn.core import retry
from godwitturn.core import session_attempt
from godwitturn.core import session_events
from godwitturn.core import session_flow
from godwitturn.core import verdict as verdicts
from godwitturn.protocol import packet as packets

# Delay before a request is retried.
BACKOFF = retry.Backoff(base_s=0.05, cap_s=2.0)

_Reason = verdicts.Reason
_Verdict = verdicts.Verdict

# NOT_RUN with one of these reasons is retried, since a later attempt or
# another target may succeed.
RETRIED_REASONS = frozenset(
    {
        _Reason.DRAINING,
        _Reason.STOPPING,
        _Reason.CONNECTION_LIMIT,
        _Reason.QUEUE_FULL,
        _Reason.SHED,
        _Reason.SLOW_START,
        _Reason.FENCED,
        _Reason.TARGET_FAILED,
        _Reason.DATA_CENTRE_OUT,
        _Reason.REQUEST_TOO_OLD,
    }
)
# After a refusal with one of these reasons, the flow accepts no more requests.
CLOSING_REASONS = frozenset(
    {
        _Reason.DRAINING,
        _Reason.STOPPING,
        _Reason.CONNECTION_LIMIT,
        _Reason.DATA_CENTRE_OUT,
    }
)
# MAY_HAVE_RUN with one of these reasons ends even an idempotent request.
_FINAL_REASONS = frozenset(
    {_Reason.CANCELLED, _Reason.DEADLINE, _Reason.TOO_LARGE}
)


@attrs.define(eq=False)
class Request:
    """A request that has not ended. Times are in seconds.

    Attributes:
        number: Number chosen by the caller.
        body: The complete body.
        idempotent: Whether it may run more than once.
        deadline: Time at which the caller stops waiting.
        ready_at: Earliest time of the next attempt.
        tries: Number of attempts so far.
        refusals: Number of attempts that ended `NOT_RUN`.
        may_have_run: Whether an abandoned attempt may have run.
        reason: Why the last attempt failed, or `NONE`.
        end_reason: Why the caller stopped waiting, or None.
        give_up_at: Time at which the session stops waiting for the verdict
            of a request for which the caller stopped waiting.
        flow: The flow of the current attempt, or None.
        attempt: The current attempt, or None.
    """

    number: int
    body: bytes = attrs.field(repr=False)
    idempotent: bool
    deadline: float
    ready_at: float
    tries: int = 0
    refusals: int = 0
    may_have_run: bool = False
    reason: verdicts.Reason = _Reason.NONE
    end_reason: verdicts.Reason | None = None
    give_up_at: float = math.inf
    flow: session_flow.Flow | None = None
    attempt: session_attempt.Attempt | None = None

    def outcome(
        self, verdict: verdicts.Verdict, reason: verdicts.Reason
    ) -> session_events.Outcome:
        """Returns the outcome of a request without an answer.

        Args:
            verdict: Verdict of the last attempt. Becomes `MAY_HAVE_RUN` if an
                earlier attempt may have run.
            reason: Why the last attempt ended.
        """
        if self.may_have_run:
            verdict = _Verdict.MAY_HAVE_RUN
        return session_events.Outcome(verdict, reason, b"", self.tries)


@attrs.define(eq=False)
class RequestTable:
    """All requests that have not ended.

    Attributes:
        random_source: Source of jitter.
        budget: Retry budget, which sessions may share.
        by_number: All requests.
        waiting_by_number: Requests without an attempt, oldest first.
        budget_refusals: Number of retries that the budget refused.
    """

    random_source: random.Random = attrs.field(repr=False)
    budget: retry.Budget
    by_number: dict[int, Request] = attrs.field(factory=dict)
    waiting_by_number: dict[int, Request] = attrs.field(factory=dict)
    budget_refusals: int = 0

    def add(
        self, event: session_events.Send, *, now: float
    ) -> session_events.Outcome | None:
        """Adds a request; returns its outcome if it can't be sent.

        Raises:
            ValueError: The number of the request is in use.
        """
        if event.request in self.by_number:
            raise ValueError(
                f"request number {event.request} is in use; numbers must be "
                "unique within a session"
            )
        request = Request(
            event.request, event.body, event.idempotent, event.deadline, now
        )
        if len(event.body) > packets.MAX_BODY_BYTES:
            return request.outcome(_Verdict.NOT_RUN, _Reason.TOO_LARGE)
        self.budget.deposit()
        self.by_number[event.request] = request
        self.waiting_by_number[event.request] = request
        return None

    def remove(self, request: Request) -> None:
        """Removes a request that ended."""
        self.by_number.pop(request.number, None)
        self.waiting_by_number.pop(request.number, None)

    def _may_retry(
        self,
        request: Request,
        verdict: verdicts.Verdict,
        reason: verdicts.Reason,
        *,
        now: float,
    ) -> bool:
        if verdict is _Verdict.NOT_RUN and reason not in RETRIED_REASONS:
            return False
        if verdict is _Verdict.MAY_HAVE_RUN and (
            not request.idempotent or reason in _FINAL_REASONS
        ):
            return False
        delay_s = BACKOFF.delay_s(request.tries - 1, self.random_source)
        if now + delay_s >= request.deadline:
            return False
        if not self.budget.try_spend(now=now):
            self.budget_refusals += 1
            return False
        request.ready_at = now + delay_s
        return True

    def resolve(
        self,
        request: Request,
        verdict: verdicts.Verdict,
        reason: verdicts.Reason,
        *,
        never_fully_sent: bool = False,
        now: float,
    ) -> session_events.Outcome | None:
        """Ends or retries a request whose attempt ended without an answer.

        Args:
            request: The request; its attempt is already dropped.
            verdict: `NOT_RUN` or `MAY_HAVE_RUN`.
            reason: Why the attempt ended.
            never_fully_sent: The flow ended before all fragments were sent.
                The next attempt is then the first complete one and is not
                charged to the budget.
            now: Current time in seconds.

        Returns:
            The outcome, or None if the request waits for another attempt.
        """
        request.reason = reason
        if verdict is _Verdict.MAY_HAVE_RUN:
            request.may_have_run = True
        if request.end_reason is not None:
            return request.outcome(verdict, request.end_reason)
        if never_fully_sent and now < request.deadline:
            request.ready_at = now
        elif not self._may_retry(request, verdict, reason, now=now):
            return request.outcome(verdict, reason)
        request.refusals += verdict is _Verdict.NOT_RUN
        self.waiting_by_number[request.number] = request
        return None

    def pop_ready(self, *, limit: int, now: float) -> list[Request]:
        """Removes and returns waiting requests whose next attempt is due."""
        ready: list[Request] = []
        for request in self.waiting_by_number.values():
            if len(ready) >= limit:
                break
            if request.ready_at <= now < request.deadline:
                ready.append(request)
        for request in ready:
            del self.waiting_by_number[request.number]
        return ready
