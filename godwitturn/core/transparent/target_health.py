"""Judges a target by how it ends the requests that it gets.

Pattern: outlier detection. A target that breaks each request off at once has
the least load of all, so the choice by load would give it most openings; one
that answers nothing gets a new opening for each client that gives up. Its
heartbeats tell nothing, since they go on. A request counts once the target
answers it or resets its flow, or its client gives up; answers are not read.
"""

import collections

import attrs

# Latest requests that count. Ten tell a target that fails a third of them from
# one that resets a flow now and then.
WINDOW = 10
# Failed requests among them by which a target counts as failing.
FAILING_THRESHOLD = 3
# Failed requests among them with which a failing target is well again. Below
# the other bound, so that the verdict doesn't change with each request.
RECOVERY_THRESHOLD = 1


@attrs.define(eq=False, repr=False)
class TargetHealth:
    """The latest requests of a target.

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
        """How many requests count."""
        return len(self._failures)

    def record(self, *, failed: bool) -> bool:
        """Notes how a request ended.

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
        """Notes a new start of the target, which has yet to be judged."""
        self.failing = False
        self._failures.clear()
