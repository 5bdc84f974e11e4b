"""Tests of deltas and of their budget."""

import random
import unittest

from godwitturn.core import configuration
from godwitturn.core import deltas
from godwitturn.core import outbox
from godwitturn.protocol import control
from godwitturn.standins import control_fleet as fleet


class TestSize(unittest.TestCase):
    """A large delta must not exceed a message or the budget."""

    def test_large_document_arrives_in_pages(self) -> None:
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

    def test_many_deltas_stay_within_the_budget(self) -> None:
        network, daemons = fleet.start(30)
        network.run(40)
        before = [d.node.outbox.bytes_sent for d in daemons]
        revision = network.put("other", random.Random(1).randbytes(60_000))
        for second in range(1, 31):
            network.run(1)
            limit = outbox.BURST_BYTES + control.MAX_MESSAGE_BYTES
            limit += second * 8 * 1024
            sent = [d.node.outbox.bytes_sent for d in daemons]
            largest = max(b - a for a, b in zip(before, sent, strict=True))
            self.assertLessEqual(largest, limit)
        self.assertEqual({revision}, set(map(fleet.version_of, daemons)))

    def test_pages_contain_every_document_once(self) -> None:
        documents = [
            configuration.VersionedDocument(f"k{i}", i + 1, bytes(size))
            for i, size in enumerate((0, 1, 24576, 24577, 60000, 5, 30000))
        ]
        transfer = deltas.DeltaTransfer(0, 9, deltas.pages_of(documents))
        partial_delta = deltas.PartialDelta(0, 9)
        is_complete = False
        while not is_complete:
            page = transfer.next_delta(now=0.0)
            data = control.encode(page)
            self.assertEqual(page, control.decode(data))
            is_complete = partial_delta.add_page(page)
            self.assertFalse(partial_delta.add_page(page))
        self.assertEqual(documents, partial_delta.documents)


class TestPartialDelta(unittest.TestCase):
    """Parts that do not match must not be joined to one document."""

    def _add(self, *parts: control.DocumentPart) -> deltas.PartialDelta:
        partial_delta = deltas.PartialDelta(0, 9)
        partial_delta.add_page(control.Delta(0, 9, 0, True, parts))
        return partial_delta

    def test_parts_in_order_are_joined(self) -> None:
        partial_delta = self._add(
            control.DocumentPart("a", 3, 4, 0, b"xy"),
            control.DocumentPart("a", 3, 4, 2, b"zz"),
        )
        expected = configuration.VersionedDocument("a", 3, b"xyzz")
        self.assertEqual([expected], partial_delta.documents)

    def test_mismatched_parts_are_dropped(self) -> None:
        first = control.DocumentPart("a", 3, 4, 0, b"xy")
        for second in (
            control.DocumentPart("a", 3, 4, 3, b"z"),
            control.DocumentPart("a", 3, 4, 1, b"zzz"),
            control.DocumentPart("b", 3, 4, 2, b"zz"),
            control.DocumentPart("a", 4, 4, 2, b"zz"),
            control.DocumentPart("a", 3, 5, 2, b"zzz"),
        ):
            partial_delta = self._add(first, second)
            self.assertEqual([], partial_delta.documents, second)
            self.assertEqual(0, partial_delta.pages)

    def test_size_is_bounded(self) -> None:
        partial_delta = deltas.PartialDelta(0, 9)
        body = bytes(24 * 1024)
        for page in range(2 * deltas.MAX_PARTIAL_DELTA_BYTES // len(body)):
            part = control.DocumentPart("a", 3, len(body), 0, body)
            partial_delta.add_page(control.Delta(0, 9, page, False, (part,)))
        stored_bytes = sum(
            len(document.body) for document in partial_delta.documents
        )
        self.assertLessEqual(stored_bytes, deltas.MAX_PARTIAL_DELTA_BYTES)


class TestSentOnce(unittest.TestCase):
    """A change must not be sent by each upstream, which doubles its bytes."""

    def test_change_is_sent_by_one_upstream(self) -> None:
        network, daemons = fleet.start(12, 6)
        network.run(20)
        start = network.now
        network.put("rules", fleet.numbered_rules(1))
        network.run(5)
        receivers = [
            peer
            for daemon in daemons
            for at, peer, data in daemon.sent
            if at > start and isinstance(control.decode(data), control.Delta)
        ]
        # The six readers receive it from the store.
        self.assertEqual(12, len(set(receivers)))
        self.assertLessEqual(len(receivers), 14)
