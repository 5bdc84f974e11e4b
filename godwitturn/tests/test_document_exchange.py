"""Tests of passing on the operators' documents."""

import unittest

from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import mirror


class TestRelay(unittest.TestCase):
    """When to ask whom."""

    def test_the_store_is_given_time(self) -> None:
        node = document_exchange.DocumentFetcher()
        node.set_revision(5)
        node.note_revision("b", 7, now=0.0)
        self.assertIsNone(node.next_source(now=0.4))
        node.set_revision(7)
        self.assertIsNone(node.next_source(now=2.0))

    def test_a_daemon_that_stays_behind_asks(self) -> None:
        node = document_exchange.DocumentFetcher()
        node.set_revision(5)
        node.note_revision("b", 7, now=0.0)
        node.note_revision("c", 6, now=0.1)
        self.assertEqual("b", node.next_source(now=0.6))

    def test_a_daemon_that_knows_nothing_asks_soon(self) -> None:
        node = document_exchange.DocumentFetcher()
        node.note_revision("b", 7, now=0.0)
        self.assertEqual("b", node.next_source(now=0.1))

    def test_another_holder_is_asked_if_one_does_not_answer(self) -> None:
        node = document_exchange.DocumentFetcher()
        node.note_revision("b", 7, now=0.0)
        self.assertEqual("b", node.next_source(now=0.2))
        self.assertIsNone(node.next_source(now=0.3))
        node.note_revision("c", 7, now=0.4)
        self.assertEqual("c", node.next_source(now=1.3))

    def test_older_copies_are_not_asked_for(self) -> None:
        node = document_exchange.DocumentFetcher()
        node.set_revision(5)
        node.note_revision("b", 5, now=0.0)
        self.assertIsNone(node.next_source(now=9.0))


class TestAdopt(unittest.TestCase):
    """Taking another daemon's copy."""

    def test_newer_copy(self) -> None:
        copy = mirror.Mirror("op/", 4.0)
        copy.handle_result(
            mirror.Page(
                (
                    mirror.Item("op/a", b"1", 3),
                    mirror.Item("op/b", b"1", 4),
                ),
                False,
                5,
            )
        )
        changes = copy.adopt(document_exchange.Documents(9, {"op/a": b"2"}))
        self.assertEqual(
            {"op/a": b"2", "op/b": None},
            {item.key: item.value for item in changes},
        )
        self.assertEqual(
            document_exchange.Documents(9, {"op/a": b"2"}), copy.documents()
        )

    def test_older_copy(self) -> None:
        copy = mirror.Mirror("op/", 4.0)
        copy.handle_result(
            mirror.Page((mirror.Item("op/a", b"1", 3),), False, 5)
        )
        self.assertEqual([], copy.adopt(document_exchange.Documents(5, {})))
        self.assertEqual({"op/a": b"1"}, copy.documents().value_by_key)

    def test_changes_of_other_keys_make_no_newer_copy(self) -> None:
        copy = mirror.Mirror("op/", 4.0)
        copy.handle_result(
            mirror.Page((mirror.Item("op/a", b"1", 3),), False, 5)
        )
        copy.handle_result(mirror.Changes((), 90))
        self.assertEqual(3, copy.documents().revision)
        copy.handle_result(
            mirror.Changes((mirror.Item("op/a", None, 93),), 95)
        )
        self.assertEqual(93, copy.documents().revision)
