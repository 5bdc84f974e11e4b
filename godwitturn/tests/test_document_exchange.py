"""Tests of fetching the operators' documents from other daemons."""

import collections
import unittest

from godwitturn.core import store_position
from godwitturn.core.transparent import document_exchange
from godwitturn.core.transparent import mirror
from godwitturn.core.transparent import pacing


def at(revision: int, *, era: int = 0) -> store_position.StorePosition:
    return store_position.StorePosition(era, revision)


class TestDocumentFetcher(unittest.TestCase):
    """When a copy is fetched, and from which daemon."""

    def test_nothing_is_fetched_if_the_store_delivers_in_time(self) -> None:
        fetcher = document_exchange.DocumentFetcher("a")
        fetcher.set_position(at(5))
        fetcher.note_position("b", at(7), now=0.0)
        self.assertIsNone(fetcher.next_source(now=0.4))
        fetcher.set_position(at(7))
        self.assertIsNone(fetcher.next_source(now=2.0))

    def test_newest_copy_is_fetched_if_the_store_stays_behind(self) -> None:
        fetcher = document_exchange.DocumentFetcher("a")
        fetcher.set_position(at(5))
        fetcher.note_position("b", at(7), now=0.0)
        fetcher.note_position("c", at(6), now=0.1)
        self.assertEqual("b", fetcher.next_source(now=0.6))

    def test_first_copy_is_fetched_sooner(self) -> None:
        fetcher = document_exchange.DocumentFetcher("a")
        fetcher.note_position("b", at(7), now=0.0)
        self.assertEqual("b", fetcher.next_source(now=0.1))

    def test_another_source_is_used_if_one_does_not_reply(self) -> None:
        fetcher = document_exchange.DocumentFetcher("a")
        fetcher.note_position("b", at(7), now=0.0)
        self.assertEqual("b", fetcher.next_source(now=0.2))
        self.assertIsNone(fetcher.next_source(now=0.3))
        fetcher.note_position("c", at(7), now=0.4)
        self.assertEqual("c", fetcher.next_source(now=1.3))

    def test_failed_calls_to_the_store_do_not_delay_the_fetch(self) -> None:
        """A mirror reports its unchanged revision after each call."""
        fetcher = document_exchange.DocumentFetcher("a")
        fetcher.set_position(at(5))
        fetcher.note_position("b", at(7), now=0.0)
        fetcher.set_position(at(5))
        self.assertEqual("b", fetcher.next_source(now=0.6))
        fetcher.set_position(at(5))
        fetcher.note_position("c", at(7), now=1.0)
        self.assertEqual("c", fetcher.next_source(now=1.6))

    def test_copy_of_the_same_revision_is_not_fetched(self) -> None:
        fetcher = document_exchange.DocumentFetcher("a")
        fetcher.set_position(at(5))
        fetcher.note_position("b", at(5), now=0.0)
        self.assertIsNone(fetcher.next_source(now=9.0))


class TestFleet(unittest.TestCase):
    """Fetches of a fleet whose copies become outdated at the same time."""

    SOURCES = tuple(f"10.0.1.{number}" for number in range(20))

    def requests(
        self, fetchers: int, spread_s: float
    ) -> list[tuple[int, str]]:
        """Returns tenth of a second and source of each daemon's request."""
        requests = []
        for number in range(fetchers):
            fetcher = document_exchange.DocumentFetcher(
                f"side-{number}", position=at(5), spread_s=spread_s
            )
            for source in self.SOURCES:
                fetcher.note_position(source, at(7), now=0.0)
            for tenth in range(600):
                source_now = fetcher.next_source(now=tenth / 10)
                if source_now is not None:
                    requests.append((tenth, source_now))
                    break
        return requests

    # Guards against all agents fetching a large document from the same
    # balancer at the same time, which fills its link for seconds.
    def test_agents_spread_their_requests_over_sources_and_time(self) -> None:
        requests = self.requests(58, pacing.document_spread_s(58))
        self.assertEqual(58, len(requests))
        by_source = collections.Counter(source for _, source in requests)
        self.assertLessEqual(max(by_source.values()), 8)
        by_second = collections.Counter(tenth // 10 for tenth, _ in requests)
        self.assertLessEqual(max(by_second.values()), 5)

    def test_balancers_choose_different_sources_at_once(self) -> None:
        requests = self.requests(7, 0.0)
        self.assertEqual({5}, {tenth for tenth, _ in requests})
        by_source = collections.Counter(source for _, source in requests)
        self.assertLessEqual(max(by_source.values()), 3)


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
                at(5),
            ),
            now=0.0,
        )
        changes = documents_mirror.adopt(
            document_exchange.Documents(at(9), {"op/a": b"2"})
        )
        self.assertEqual(
            {"op/a": b"2", "op/b": None},
            {item.key: item.value for item in changes},
        )
        self.assertEqual(
            document_exchange.Documents(at(9), {"op/a": b"2"}),
            documents_mirror.documents(),
        )

    def test_older_copy_is_ignored(self) -> None:
        documents_mirror = mirror.Mirror("op/", 4.0)
        documents_mirror.handle_result(
            mirror.Page((mirror.Item("op/a", b"1", 3),), False, at(5)), now=0.0
        )
        self.assertEqual(
            [], documents_mirror.adopt(document_exchange.Documents(at(5), {}))
        )
        self.assertEqual(
            {"op/a": b"1"}, documents_mirror.documents().value_by_key
        )

    def test_changes_of_other_keys_do_not_make_the_copy_newer(self) -> None:
        documents_mirror = mirror.Mirror("op/", 4.0)
        documents_mirror.handle_result(
            mirror.Page((mirror.Item("op/a", b"1", 3),), False, at(5)), now=0.0
        )
        documents_mirror.handle_result(mirror.Changes((), at(90)), now=0.0)
        self.assertEqual(3, documents_mirror.documents().position.revision)
        documents_mirror.handle_result(
            mirror.Changes((mirror.Item("op/a", None, 93),), at(95)), now=0.0
        )
        self.assertEqual(93, documents_mirror.documents().position.revision)
