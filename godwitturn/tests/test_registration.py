"""Tests of an agent's entry in the store."""

import unittest

from godwitturn.core.transparent import registration

Outcome = registration.Outcome


class RegistrationCase(unittest.TestCase):
    """An entry that was written at second 0."""

    def setUp(self) -> None:
        self.entry = registration.Registration("agents/a", b"value")
        self.complete_call(registration.Granted(7), now=0.0)
        self.complete_call(Outcome.DONE, now=0.0)

    def complete_call(
        self,
        result: registration.Granted | registration.Outcome,
        *,
        now: float,
        era: int = 0,
    ) -> registration.Call:
        """Passes a result for the call that is due, and returns the call."""
        call = self.entry.next_call(now=now)
        assert call is not None
        self.entry.handle_result(call, result, era=era, now=now, jitter=1.0)
        return call


class TestRestore(RegistrationCase):
    """A restored store has lost leases, and gives out their ids again."""

    # Guards against a renewal under the id of a lost lease, which the
    # restored store has given to another daemon.
    def test_lease_of_an_earlier_era_counts_as_lost(self) -> None:
        now = registration.RENEWAL_S
        call = self.complete_call(Outcome.DONE, now=now, era=1)
        self.assertEqual(registration.KeepLease(7), call)
        call = self.complete_call(registration.Granted(7), now=now, era=1)
        self.assertIsInstance(call, registration.GrantLease)
        call = self.complete_call(Outcome.DONE, now=now, era=1)
        self.assertEqual(registration.PutEntry("agents/a", b"value", 7), call)
        self.assertTrue(self.entry.written)

    def test_late_answer_of_an_earlier_era_changes_nothing(self) -> None:
        now = registration.RENEWAL_S
        self.complete_call(Outcome.DONE, now=now, era=1)
        self.complete_call(registration.Granted(8), now=now, era=0)
        self.assertEqual(0, self.entry.lease)
        self.assertIsInstance(
            self.entry.next_call(now=now + 1.0), registration.GrantLease
        )


class TestLease(RegistrationCase):
    """Grant, renewal and loss of the lease."""

    def test_grant_is_followed_by_write_and_renewal(self) -> None:
        entry = registration.Registration("k", b"v")
        self.entry = entry
        self.assertEqual(
            registration.GrantLease(registration.LEASE_S),
            self.complete_call(registration.Granted(9), now=0.0),
        )
        self.assertEqual(
            registration.PutEntry("k", b"v", 9),
            self.complete_call(Outcome.DONE, now=0.0),
        )
        self.assertIsNone(entry.next_call(now=1.0))
        self.assertEqual(
            registration.KeepLease(9),
            entry.next_call(now=registration.RENEWAL_S),
        )

    def test_expired_lease_is_granted_again_at_once(self) -> None:
        now = registration.RENEWAL_S
        self.complete_call(Outcome.LEASE_GONE, now=now)
        self.assertIsInstance(
            self.entry.next_call(now=now), registration.GrantLease
        )

    def test_lease_that_expired_before_the_write_is_granted_again(
        self,
    ) -> None:
        entry = registration.Registration("k", b"v")
        self.entry = entry
        self.complete_call(registration.Granted(9), now=0.0)
        self.complete_call(Outcome.LEASE_GONE, now=0.0)
        self.assertIsInstance(
            entry.next_call(now=0.0), registration.GrantLease
        )

    def test_entry_is_back_within_two_seconds_of_an_outage(self) -> None:
        now = registration.RENEWAL_S
        while now < 20.0:
            if self.entry.next_call(now=now) is not None:
                self.complete_call(Outcome.FAILED, now=now)
            now += 0.05
        recovered_at = now
        while not isinstance(
            self.entry.next_call(now=now), registration.KeepLease
        ):
            now += 0.05
        self.complete_call(Outcome.LEASE_GONE, now=now)
        self.complete_call(registration.Granted(8), now=now)
        self.complete_call(Outcome.DONE, now=now)
        self.assertLess(now - recovered_at, 2.0)


class TestMissingEntry(RegistrationCase):
    """Reports of balancers that the entry is not in the store."""

    def test_missing_entry_is_written_again(self) -> None:
        now = registration.REWRITE_DELAY_S + 0.1
        self.entry.handle_missing_entry(now=now)
        self.assertEqual(
            registration.PutEntry("agents/a", b"value", 7),
            self.entry.next_call(now=now),
        )

    def test_report_soon_after_the_write_is_ignored(self) -> None:
        self.entry.handle_missing_entry(now=registration.PROPAGATION_S)
        self.assertIsNone(self.entry.next_call(now=registration.PROPAGATION_S))


class TestEnd(RegistrationCase):
    """The final call before the agent exits."""

    def test_entry_of_an_ended_target_is_removed(self) -> None:
        self.assertEqual(
            registration.EndLease(7), self.entry.final_call(target_ended=True)
        )

    def test_entry_of_a_running_target_stays(self) -> None:
        self.assertIsNone(self.entry.final_call(target_ended=False))
