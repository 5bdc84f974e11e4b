"""Tests of the pages of documents and of the budget for them."""

import random
import unittest

from godwitturn.core import configuration
from godwitturn.core import deltas
from godwitturn.core import outbox
from godwitturn.protocol import control
from godwitturn.standins import control_fleet as fleet


class TestSize(unittest.TestCase):
    """A large delta must neither exceed a message nor the budget."""

    def test_large_document_is_paged(self) -> None:
        network, daemons = fleet.start(6, loss=0.2)
        network.run(15)
        generator = random.Random(1)
        large = generator.randbytes(200_000)
        network.put("other", large)
        network.run(120)
        for daemon in daemons:
            self.assertEqual(
                fleet.expected_documents(network, daemon),
                fleet.documents_of(daemon),
            )
            sizes = [len(data) for _, _, data in daemon.sent]
            self.assertLessEqual(max(sizes), control.MAX_MESSAGE_BYTES)

    def test_storm_of_deltas_is_spread_out(self) -> None:
        network, daemons = fleet.start(30)
        network.run(40)
        before = [d.node.outbox.bytes_sent for d in daemons]
        revision = network.put("other", random.Random(1).randbytes(60_000))
        for second in range(1, 31):
            network.run(1)
            limit = outbox.BURST_BYTES + control.MAX_MESSAGE_BYTES
            limit += second * 8 * 1024
            sent = [d.node.outbox.bytes_sent for d in daemons]
            found = max(b - a for a, b in zip(before, sent, strict=True))
            self.assertLessEqual(found, limit)
        self.assertEqual({revision}, set(map(fleet.version_of, daemons)))

    def test_pages_hold_every_document_once(self) -> None:
        found = [
            configuration.VersionedDocument(f"k{i}", i + 1, bytes(size))
            for i, size in enumerate((0, 1, 24576, 24577, 60000, 5, 30000))
        ]
        session = deltas.DeltaTransfer(0, 9, deltas.pages_of(found))
        stage = deltas.PartialDelta(0, 9)
        last = False
        while not last:
            page = session.next_delta(now=0.0)
            data = control.encode(page)
            self.assertEqual(page, control.decode(data))
            last = stage.add_page(page)
            self.assertFalse(stage.add_page(page))
        self.assertEqual(found, stage.documents)


class TestStage(unittest.TestCase):
    """Pieces that do not fit must not be joined to one document."""

    def _add(self, *parts: control.DocumentPart) -> deltas.PartialDelta:
        stage = deltas.PartialDelta(0, 9)
        stage.add_page(control.Delta(0, 9, 0, True, parts))
        return stage

    def test_pieces_in_order(self) -> None:
        stage = self._add(
            control.DocumentPart("a", 3, 4, 0, b"xy"),
            control.DocumentPart("a", 3, 4, 2, b"zz"),
        )
        expected = configuration.VersionedDocument("a", 3, b"xyzz")
        self.assertEqual([expected], stage.documents)

    def test_wrong_pieces(self) -> None:
        first = control.DocumentPart("a", 3, 4, 0, b"xy")
        for second in (
            control.DocumentPart("a", 3, 4, 3, b"z"),
            control.DocumentPart("a", 3, 4, 1, b"zzz"),
            control.DocumentPart("b", 3, 4, 2, b"zz"),
            control.DocumentPart("a", 4, 4, 2, b"zz"),
            control.DocumentPart("a", 3, 5, 2, b"zzz"),
        ):
            stage = self._add(first, second)
            self.assertEqual([], stage.documents, second)
            self.assertEqual(0, stage.pages)

    def test_size_is_bounded(self) -> None:
        stage = deltas.PartialDelta(0, 9)
        body = bytes(24 * 1024)
        for page in range(2 * deltas.MAX_PARTIAL_DELTA_BYTES // len(body)):
            part = control.DocumentPart("a", 3, len(body), 0, body)
            stage.add_page(control.Delta(0, 9, page, False, (part,)))
        kept = sum(len(document.body) for document in stage.documents)
        self.assertLessEqual(kept, deltas.MAX_PARTIAL_DELTA_BYTES)


class TestSentOnce(unittest.TestCase):
    """Each upstream sending every change would double its bytes."""

    def test_a_change_comes_from_one_upstream(self) -> None:
        network, daemons = fleet.start(12, 6)
        network.run(20)
        start = network.now
        network.put("rules", fleet.numbered_rules(1))
        network.run(5)
        pages = [
            peer
            for daemon in daemons
            for at, peer, data in daemon.sent
            if at > start and isinstance(control.decode(data), control.Delta)
        ]
        # Six readers have it from the store.
        self.assertEqual(12, len(set(pages)))
        self.assertLessEqual(len(pages), 14)
