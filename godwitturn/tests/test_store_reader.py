"""Tests of how a control node handles its reads of the store."""

import unittest

from godwitturn.core import configuration
from godwitturn.core import control_events
from godwitturn.core import documents
from godwitturn.core import store_reader
from godwitturn.standins import control_fixtures as fixtures

RULES = fixtures.document("rules", 7, documents.Rules())
DIRECTORY = fixtures.document("directory/east", 8, configuration.Directory())


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
        self.assertEqual(((RULES,), 7), self.reader.snapshot_of(changed))
        self.assertTrue(self.reader.confirms(confirmed, 7))

    def test_restarted_reader_needs_another_read(self) -> None:
        self.reader.set_wanted(True)
        self.reader.snapshot_of(control_events.DocumentsRead((RULES,), 9))
        stop = self.reader.set_wanted(False)
        self.assertEqual(control_events.StopStoreReader(), stop)
        confirmed = control_events.StoreConfirmed(9)
        self.assertFalse(self.reader.confirms(confirmed, 7))
        start = self.reader.set_wanted(True)
        self.assertEqual(control_events.StartStoreReader(), start)
        self.assertFalse(self.reader.confirms(confirmed, 7))

    def test_answer_older_than_the_view_confirms_nothing(self) -> None:
        self.reader.set_wanted(True)
        self.reader.snapshot_of(control_events.DocumentsRead((RULES,), 9))
        confirmed = control_events.StoreConfirmed(9)
        self.assertFalse(self.reader.confirms(confirmed, 10))

    def test_partial_read_gives_directories_and_no_version(self) -> None:
        event = control_events.DocumentsRead((RULES, DIRECTORY), 0)
        self.assertEqual(((DIRECTORY,), 0), self.reader.snapshot_of(event))

    def test_change_after_the_stop_is_ignored(self) -> None:
        event = control_events.DocumentsRead((RULES,), 9)
        self.assertIsNone(self.reader.snapshot_of(event))

    def test_repeated_start_gives_one_action(self) -> None:
        self.assertIsNotNone(self.reader.set_wanted(True))
        self.assertIsNone(self.reader.set_wanted(True))
