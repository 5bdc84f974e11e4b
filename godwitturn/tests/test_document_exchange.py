"""Tests of fetching the operators' documents from other daemons."""

import unittest

from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import mirror


class TestDocumentFetcher(unittest.TestCase):
    """When a copy is fetched, and from which daemon."""

    def test_nothing_is_fetched_if_the_store_delivers_in_time(self) -> None:
        fetcher = document_exchange.DocumentFetcher()
        fetcher.set_revision(5)
        fetcher.note_revision("b", 7, now=0.0)
        self.assertIsNone(fetcher.next_source(now=0.4))
        fetcher.set_revision(7)
        self.assertIsNone(fetcher.next_source(now=2.0))

    def test_newest_copy_is_fetched_if_the_store_stays_behind(self) -> None:
        fetcher = document_exchange.DocumentFetcher()
        fetcher.set_revision(5)
        fetcher.note_revision("b", 7, now=0.0)
        fetcher.note_revision("c", 6, now=0.1)
        self.assertEqual("b", fetcher.next_source(now=0.6))

    def test_first_copy_is_fetched_sooner(self) -> None:
        fetcher = document_exchange.DocumentFetcher()
        fetcher.note_revision("b", 7, now=0.0)
        self.assertEqual("b", fetcher.next_source(now=0.1))

    def test_another_source_is_used_if_one_does_not_reply(self) -> None:
        fetcher = document_exchange.DocumentFetcher()
        fetcher.note_revision("b", 7, now=0.0)
        self.assertEqual("b", fetcher.next_source(now=0.2))
        self.assertIsNone(fetcher.next_source(now=0.3))
        fetcher.note_revision("c", 7, now=0.4)
        self.assertEqual("c", fetcher.next_source(now=1.3))

    def test_copy_of_the_same_revision_is_not_fetched(self) -> None:
        fetcher = document_exchange.DocumentFetcher()
        fetcher.set_revision(5)
        fetcher.note_revision("b", 5, now=0.0)
        self.assertIsNone(fetcher.next_source(now=9.0))


class TestAdopt(unittest.TestCase):
    """Applying another daemon's copy."""

    def test_newer_copy_replaces_the_keys(self) -> None:
        documents_mirror = mirror.Mirror("op/", 4.0)
        documents_mirror.handle_result(
            mirror.Page(
                (
                    mirror.Item("op/a", b"1", 3),
                    mirror.Item("op/b", b"1", 4),
                ),
                False,
                5,
            )
        )
        changes = documents_mirror.adopt(
            document_exchange.Documents(9, {"op/a": b"2"})
        )
        self.assertEqual(
            {"op/a": b"2", "op/b": None},
            {item.key: item.value for item in changes},
        )
        self.assertEqual(
            document_exchange.Documents(9, {"op/a": b"2"}),
            documents_mirror.documents(),
        )

    def test_older_copy_is_ignored(self) -> None:
        documents_mirror = mirror.Mirror("op/", 4.0)
        documents_mirror.handle_result(
            mirror.Page((mirror.Item("op/a", b"1", 3),), False, 5)
        )
        self.assertEqual(
            [], documents_mirror.adopt(document_exchange.Documents(5, {}))
        )
        self.assertEqual(
            {"op/a": b"1"}, documents_mirror.documents().value_by_key
        )

    def test_changes_of_other_keys_do_not_make_the_copy_newer(self) -> None:
        documents_mirror = mirror.Mirror("op/", 4.0)
        documents_mirror.handle_result(
            mirror.Page((mirror.Item("op/a", b"1", 3),), False, 5)
        )
        documents_mirror.handle_result(mirror.Changes((), 90))
        self.assertEqual(3, documents_mirror.documents().revision)
        documents_mirror.handle_result(
            mirror.Changes((mirror.Item("op/a", None, 93),), 95)
        )
        self.assertEqual(93, documents_mirror.documents().revision)
