"""Tests of the decision whether a write took effect.

A model of the store and the network delays, loses and duplicates messages. A
naive writer, which repeats a change until it succeeds, applies a change twice:
this shows that the model produces the failure that the tests guard against.
"""

import unittest

import hypothesis
from hypothesis import stateful

from godwitturn.core import write_operation
from godwitturn.tests import write_model

Verdict = write_operation.WriteVerdict

SETTINGS = hypothesis.settings(
    max_examples=1500, stateful_step_count=40, deadline=None
)
# The first failure is enough; shrinking it takes most of a minute.
FIRST_FAILURE = hypothesis.settings(
    SETTINGS,
    phases=[hypothesis.Phase.generate],
    print_blob=False,
    report_multiple_bugs=False,
)


class TestWriteModel(unittest.TestCase):
    """Delayed, lost or duplicated messages must not repeat a change."""

    def test_verdicts_match_the_effects(self) -> None:
        stateful.run_state_machine_as_test(
            write_model.WriteModel, settings=SETTINGS
        )

    def test_naive_writer_applies_twice(self) -> None:
        with self.assertRaisesRegex(AssertionError, "applied"):
            stateful.run_state_machine_as_test(
                write_model.NaiveWriteModel, settings=FIRST_FAILURE
            )


class TestOneLostAnswer(unittest.TestCase):
    """The simplest case: the write took effect and its answer was lost."""

    def _applied_ids(
        self, writer: write_model.NaiveWriter | write_model.OperationWriter
    ) -> list[str]:
        document = write_model.Document()
        now = 0.0
        lost = False
        event: write_operation.Event = write_operation.Started()
        while True:
            (action,) = writer.handle(event, now=now)
            match action:
                case write_operation.Attempt():
                    expected = writer.base.mod_revision
                    event = document.compare_and_swap(expected, "a")
                    if not lost:
                        event = write_operation.Failed(True)
                        lost = True
                case write_operation.WaitUntil(at):
                    now = at
                    event = write_operation.WaitEnded()
                case write_operation.Finish(verdict):
                    self.assertIs(Verdict.TOOK_EFFECT, verdict)
                    return document.applied

    def test_naive_writer_applies_twice(self) -> None:
        writer = write_model.NaiveWriter(write_operation.Base())
        self.assertEqual(["a", "a"], self._applied_ids(writer))

    def test_operation_applies_once(self) -> None:
        writer = write_model.OperationWriter("a", write_operation.Base())
        self.assertEqual(["a"], self._applied_ids(writer))


class TestConflictResolution(unittest.TestCase):
    """Each answer after a lost one must lead to the right verdict."""

    def setUp(self) -> None:
        self.operation = write_operation.WriteOperation(
            "a", write_operation.Base(5, 2, 3), deadline=10.0, seed=1
        )
        self.operation.handle(write_operation.Started(), now=0.0)

    def _lose_answer(self) -> None:
        (wait,) = self.operation.handle(write_operation.Failed(True), now=1.0)
        assert isinstance(wait, write_operation.WaitUntil)
        attempt = self.operation.handle(
            write_operation.WaitEnded(), now=wait.resume_at
        )
        self.assertIsInstance(attempt[0], write_operation.Attempt)

    def _conflict(
        self,
        version: int,
        operations: tuple[str, ...] | None,
        created: int = 2,
    ) -> write_operation.Finish:
        current = write_operation.Current(created, 9, version, operations)
        (finish,) = self.operation.handle(
            write_operation.Conflicted(current), now=2.0
        )
        assert isinstance(finish, write_operation.Finish)
        return finish

    def test_listed_id_took_effect(self) -> None:
        self._lose_answer()
        self.assertIs(Verdict.TOOK_EFFECT, self._conflict(4, ("a",)).verdict)

    def test_missing_id_had_no_effect(self) -> None:
        self._lose_answer()
        finish = self._conflict(4, ("b",))
        self.assertIs(Verdict.NO_EFFECT, finish.verdict)
        self.assertTrue(finish.conflict)

    def test_id_dropped_from_the_list_is_uncertain(self) -> None:
        self._lose_answer()
        self.assertIs(Verdict.MAY_HAVE, self._conflict(68, ("b",)).verdict)

    def test_unreadable_document_is_uncertain(self) -> None:
        self._lose_answer()
        self.assertIs(Verdict.MAY_HAVE, self._conflict(4, None).verdict)

    def test_recreated_document_is_uncertain(self) -> None:
        self._lose_answer()
        finish = self._conflict(1, ("b",), created=8)
        self.assertIs(Verdict.MAY_HAVE, finish.verdict)

    def test_conflict_without_a_lost_answer_has_no_effect(self) -> None:
        finish = self._conflict(3 + 64, ("b",))
        self.assertIs(Verdict.NO_EFFECT, finish.verdict)

    def test_answer_to_a_late_duplicate_is_uncertain(self) -> None:
        """The document may no longer list the id of the first copy."""
        finish = self._conflict(3 + 65, ("b",))
        self.assertIs(Verdict.MAY_HAVE, finish.verdict)

    def test_permanent_failure_has_no_effect(self) -> None:
        failed = write_operation.Failed(False, permanent=True)
        (finish,) = self.operation.handle(failed, now=1.0)
        self.assertEqual(write_operation.Finish(Verdict.NO_EFFECT), finish)

    def test_permanent_failure_does_not_resolve_a_lost_answer(self) -> None:
        self._lose_answer()
        failed = write_operation.Failed(False, permanent=True)
        (action,) = self.operation.handle(failed, now=2.0)
        self.assertIsInstance(action, write_operation.WaitUntil)

    def test_waits_as_long_as_the_rate_limit_says(self) -> None:
        failed = write_operation.Failed(False, retry_after=3.0)
        (action,) = self.operation.handle(failed, now=1.0)
        self.assertEqual(write_operation.WaitUntil(4.0), action)

    def test_deadline_without_a_lost_answer_has_no_effect(self) -> None:
        failed = write_operation.Failed(False)
        (finish,) = self.operation.handle(failed, now=10.0)
        self.assertEqual(write_operation.Finish(Verdict.NO_EFFECT), finish)
