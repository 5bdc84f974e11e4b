"""Judges a target by how it ends the requests that it gets.

Pattern: outlier detection. A target that breaks each request off at once has
the least load of all, so the choice by load would give it most openings. Its
heartbeats tell nothing, since they go on. A request counts once the target
answers it or resets its flow; answers are not read.
"""

import collections

import attrs

# Latest requests that count. Ten tell a target that breaks off a third of them
# from one that resets a flow now and then.
WINDOW = 10
# Requests broken off among them by which a target counts as failing.
MOST_BROKEN_OFF = 3
# Requests broken off among them with which a failing target is well again.
# Below the other bound, so that the verdict doesn't change with each request.
FEW_BROKEN_OFF = 1


@attrs.define(eq=False, repr=False)
class TargetHealth:
    """The latest requests of a target.

    Attributes:
        failing: Whether the target breaks off many of its requests.
    """

    failing: bool = False
    _broken_off: collections.deque[bool] = attrs.field(
        factory=lambda: collections.deque(maxlen=WINDOW)
    )

    @property
    def broken_off(self) -> int:
        """How many of the latest requests the target broke off."""
        return sum(self._broken_off)

    @property
    def requests(self) -> int:
        """How many requests count."""
        return len(self._broken_off)

    def note(self, *, broken_off: bool) -> bool:
        """Notes how a request ended.

        Args:
            broken_off: Whether the target reset the flow instead of answering.

        Returns:
            Whether `failing` changed.
        """
        if not broken_off and not self.failing and not self._broken_off:
            return False
        self._broken_off.append(broken_off)
        was_failing = self.failing
        if was_failing:
            full = len(self._broken_off) == WINDOW
            self.failing = not full or self.broken_off > FEW_BROKEN_OFF
        else:
            self.failing = self.broken_off >= MOST_BROKEN_OFF
        return self.failing != was_failing

    def clear(self) -> None:
        """Notes a new start of the target, which has yet to be judged."""
        self.failing = False
        self._broken_off.clear()
