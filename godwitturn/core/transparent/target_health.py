"""Health of a target, judged by the outcomes of its requests.

This is a form of outlier detection. A target that resets each request at once
has the least load of all, so the choice by load would give it most openings. A
target that never answers would get a new opening for each client that gives
up. Heartbeats show neither fault, because they continue. A request counts once
the target answers it or resets its flow, or its client gives up. The content
of answers isn't inspected.
"""

import collections

import attrs

# Number of latest requests that count. Ten are enough to distinguish a target
# that fails a third of its requests from one that resets a flow now and then.
WINDOW = 10
# Failed requests in the window from which a target counts as failing.
FAILING_THRESHOLD = 3
# Failed requests in a full window up to which a failing target counts as
# recovered. It is below the other threshold, so that the state doesn't change
# with each request.
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

        Outcomes are kept from the first failure on.

        Args:
            failed: Whether the request ended without an answer.

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
        """Discards all outcomes, because the target has started anew."""
        self.failing = False
        self._failures.clear()
