"""Base class of tests of sessions in the simulated world."""

import unittest

from godwitturn.core import verdict as verdicts
from godwitturn.standins import session_world


class SessionTestCase(unittest.TestCase):
    """Checks outcomes, and that the world has no violations."""

    def assert_outcome(
        self,
        world: session_world.World,
        number: int,
        verdict: verdicts.Verdict,
        reason: verdicts.Reason = verdicts.Reason.NONE,
        tries: int = 1,
    ) -> None:
        outcome = world.outcome(number)
        self.assertEqual(
            (verdict, reason, tries),
            (outcome.verdict, outcome.reason, outcome.tries),
        )
        self.assertEqual([], world.check())
