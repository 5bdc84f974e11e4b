"""Base class of tests of sessions in simulated time."""

import unittest

from godwitturn.core import verdict as verdicts
from godwitturn.standins import session_simulation


class SessionTestCase(unittest.TestCase):
    """Checks outcomes, and that the simulation found no violations."""

    def assert_outcome(
        self,
        simulation: session_simulation.Simulation,
        number: int,
        verdict: verdicts.Verdict,
        reason: verdicts.Reason = verdicts.Reason.NONE,
        tries: int = 1,
    ) -> None:
        outcome = simulation.outcome(number)
        self.assertEqual(
            (verdict, reason, tries),
            (outcome.verdict, outcome.reason, outcome.tries),
        )
        self.assertEqual([], simulation.check())
