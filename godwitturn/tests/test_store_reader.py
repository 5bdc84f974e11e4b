"""Tests of how a control node handles its reads of the store."""

import unittest

from godwitturn.core import configuration
from godwitturn.core import control_events
from godwitturn.core import documents
from godwitturn.core import store_reader
from godwitturn.standins import control_fixtures as fixtures

NOW = 100.0
RULES = fixtures.document("rules", 7, documents.Rules())
DIRECTORY = fixtures.document("directory/east", 8, configuration.Directory())


def _complete_read(
    *documents: configuration.VersionedDocument, revision: int, age: float = 0
) -> control_events.DocumentsRead:
    return control_events.DocumentsRead(
        documents, revision, is_complete=True, age=age
    )


class TestStoreReader(unittest.TestCase):
    """An incomplete or old answer must not confirm a view."""

    def setUp(self) -> None:
        self.reader = store_reader.StoreReader()

    def test_confirms_nothing_before_the_first_read(self) -> None:
        confirmed = control_events.StoreConfirmed(9)
        self.assertFalse(self.reader.confirms(confirmed, 7))
        self.reader.set_wanted(True)
        self.assertFalse(self.reader.confirms(confirmed, 7))
        changed = control_events.DocumentsRead((RULES,), 9)
        self.assertIsNone(self.reader.snapshot_of(changed, now=NOW))
        self.assertFalse(self.reader.confirms(confirmed, 7))
        read = _complete_read(RULES, revision=9)
        self.assertEqual(((RULES,), 7), self.reader.snapshot_of(read, now=NOW))
        self.assertTrue(self.reader.confirms(confirmed, 7))

    def test_restarted_reader_needs_another_read(self) -> None:
        self.reader.set_wanted(True)
        self.reader.snapshot_of(_complete_read(RULES, revision=9), now=NOW)
        stop = self.reader.set_wanted(False)
        self.assertEqual(control_events.StopStoreReader(), stop)
        confirmed = control_events.StoreConfirmed(9)
        self.assertFalse(self.reader.confirms(confirmed, 7))
        start = self.reader.set_wanted(True)
        self.assertEqual(control_events.StartStoreReader(), start)
        self.assertFalse(self.reader.confirms(confirmed, 7))

    def test_answer_older_than_the_view_confirms_nothing(self) -> None:
        self.reader.set_wanted(True)
        self.reader.snapshot_of(_complete_read(RULES, revision=9), now=NOW)
        confirmed = control_events.StoreConfirmed(9)
        self.assertTrue(self.reader.confirms(confirmed, 9))
        self.assertFalse(self.reader.confirms(confirmed, 10))

    def test_partial_read_gives_directories_and_no_version(self) -> None:
        event = control_events.DocumentsRead((RULES, DIRECTORY), 0)
        self.assertEqual(
            ((DIRECTORY,), 0), self.reader.snapshot_of(event, now=NOW)
        )

    def test_change_after_the_stop_is_ignored(self) -> None:
        event = _complete_read(RULES, revision=9)
        self.assertIsNone(self.reader.snapshot_of(event, now=NOW))

    def test_repeated_start_gives_one_action(self) -> None:
        self.assertIsNotNone(self.reader.set_wanted(True))
        self.assertIsNone(self.reader.set_wanted(True))


class TestRestoredStore(unittest.TestCase):
    """Only an answer asked for after the view shows a restore."""

    def setUp(self) -> None:
        self.reader = store_reader.StoreReader()
        self.reader.set_wanted(True)
        self.view = configuration.Configuration()
        configuration.merge_documents(self.view, [RULES, DIRECTORY])
        self.view.mark_complete_through(8)
        self.reader.record_view(begins_era=False, now=100.0)

    def _shows_restore(self, *read: configuration.VersionedDocument) -> bool:
        event = _complete_read(*read, revision=9)
        return self.reader.shows_restore(event, self.view, now=101.0)

    def test_lower_revision_shows_it(self) -> None:
        confirmed = control_events.StoreConfirmed(7, age=0.5)
        self.assertTrue(
            self.reader.shows_restore(confirmed, self.view, now=101.0)
        )

    def test_answer_asked_for_before_the_view_does_not(self) -> None:
        confirmed = control_events.StoreConfirmed(7, age=1.5)
        self.assertFalse(
            self.reader.shows_restore(confirmed, self.view, now=101.0)
        )

    def test_documents_of_the_view_or_newer_ones_do_not(self) -> None:
        self.assertFalse(self._shows_restore(RULES, DIRECTORY))
        newer = fixtures.document("rules", 9, documents.Rules(("east",)))
        self.assertFalse(self._shows_restore(newer, DIRECTORY))

    def test_missing_older_or_other_documents_show_it(self) -> None:
        self.assertTrue(self._shows_restore(DIRECTORY))
        older = fixtures.document("rules", 6, documents.Rules())
        self.assertTrue(self._shows_restore(older, DIRECTORY))
        other = fixtures.document("rules", 7, documents.Rules(("east",)))
        self.assertTrue(self._shows_restore(other, DIRECTORY))

    def test_malformed_value_does_not(self) -> None:
        event = control_events.DocumentsRead(
            (DIRECTORY,), 9, is_complete=True, malformed=("rules",)
        )
        self.assertFalse(
            self.reader.shows_restore(event, self.view, now=101.0)
        )

    def test_answer_asked_for_before_the_era_is_dropped(self) -> None:
        self.reader.record_view(begins_era=True, now=102.0)
        late = _complete_read(RULES, revision=9, age=1.5)
        self.assertIsNone(self.reader.snapshot_of(late, now=103.0))
        read = _complete_read(RULES, revision=9, age=0.5)
        self.assertIsNotNone(self.reader.snapshot_of(read, now=103.0))

    def test_restarts_are_a_second_apart(self) -> None:
        self.assertEqual(2, len(self.reader.restart(now=110.0)))
        self.assertEqual((), self.reader.restart(now=110.9))
        self.assertTrue(self.reader.needs_restart)
        self.assertEqual(2, len(self.reader.restart(now=111.0)))
