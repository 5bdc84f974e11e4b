"""Tests of JSON log lines."""

import json
import os
import unittest

from godwitturn.logs import lines


class LineLogCase(unittest.TestCase):
    """A log that writes to a pipe."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        self.log = lines.LineLog("edge-1", descriptor=self.writer)

    def read(self) -> list[dict[str, object]]:
        """Returns the lines written so far."""
        self.log.flush()
        try:
            text = os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in text.splitlines()]


class TestLines(LineLogCase):
    """Guards against lines that lack their time, node or event."""

    def test_line_has_time_node_event_and_fields(self) -> None:
        self.log.write("started", {"service": "core"}, now=1.5)
        self.assertEqual(
            [
                {
                    "at": 1.5,
                    "node": "edge-1",
                    "id": "GW601",
                    "event": "started",
                    "service": "core",
                }
            ],
            self.read(),
        )


class TestLimits(LineLogCase):
    """Guards against a log that blocks the daemon or grows under load."""

    def test_lines_above_the_rate_are_dropped(self) -> None:
        for _ in range(1000):
            self.log.write("flow_reset", {}, now=0.0)
        self.assertEqual(int(lines.BURST_LINES), len(self.read()))
        self.log.write("flow_reset", {}, now=1.0)
        dropped = 1000 - int(lines.BURST_LINES)
        self.assertEqual([dropped], [r["dropped_before"] for r in self.read()])

    def test_lines_for_a_stalled_reader_are_dropped(self) -> None:
        for second in range(5000):
            self.log.write("flow_reset", {"pad": "x" * 100}, now=second)
            self.log.flush()
        self.assertGreater(self.log.dropped, 0)
