"""Health of a target, judged by the outcomes of its requests.

Pattern: outlier detection. A target that resets each request at once has the
least load of all, so the choice by load would give it most openings. A target
that never answers gets a new opening for each client that gives up. Heartbeats
don't show either fault, because they continue. A request counts once the
target answers it or resets its flow, or its client gives up; the content of
answers isn't inspected.
"""

import collections

import attrs

# Number of latest requests that count. Ten distinguish a target that fails a
# third of them from one that resets a flow now and then.
WINDOW = 10
# Failed requests among them from which a target counts as failing.
FAILING_THRESHOLD = 3
# Failed requests among them with which a failing target has recovered. Below
# the other threshold, so that the state doesn't change with each request.
RECOVERY_THRESHOLD = 1


@attrs.define(eq=False, repr=False)
class TargetHealth:
    """Outcomes of the latest requests of a target.

    Attributes:
        failing: Whether the target fails many of its requests.
    """

    failing: bool = False
    _failures: collections.deque[bool] = attrs.field(
        factory=lambda: collections.deque(maxlen=WINDOW)
    )

    @property
    def failed_count(self) -> int:
        """How many of the latest requests failed."""
        return sum(self._failures)

    @property
    def request_count(self) -> int:
        """How many requests are counted, up to `WINDOW`."""
        return len(self._failures)

    def record(self, *, failed: bool) -> bool:
        """Adds the outcome of a request.

        Args:
            failed: Whether it ended without an answer.

        Returns:
            Whether `failing` changed.
        """
        if not failed and not self._failures:
            return False
        self._failures.append(failed)
        was_failing = self.failing
        if was_failing:
            full = len(self._failures) == WINDOW
            self.failing = not full or self.failed_count > RECOVERY_THRESHOLD
        else:
            self.failing = self.failed_count >= FAILING_THRESHOLD
        return self.failing != was_failing

    def clear(self) -> None:
        """Discards all outcomes, for a new start of the target."""
        self.failing = False
        self._failures.clear()
