"""Tests of log output and of the event catalogue."""

import pathlib
import re
import unittest

from godwitturn.core import events
from godwitturn.logs import output

CATALOGUE = pathlib.Path(__file__).parents[2] / "docs" / "events.md"


class TestRateLimit(unittest.TestCase):
    """Guards against a log filled by callers that send bad datagrams."""

    def test_events_above_the_rate_are_dropped_and_counted(self) -> None:
        limit = output.RateLimit()
        event_id = events.EventId.BALANCER_MALFORMED
        admitted = [limit.admit(event_id, now=5.0) for _ in range(1000)]
        self.assertEqual(
            int(output.BURST_EVENTS), sum(n is not None for n in admitted)
        )
        self.assertEqual(
            1000 - int(output.BURST_EVENTS), limit.admit(event_id, now=6.0)
        )


class TestCatalogue(unittest.TestCase):
    """Guards against event numbers in the docs that differ from the code."""

    def test_catalogue_equals_code(self) -> None:
        rows = re.findall(
            r"^\| GW(\d+) \| (\w+) \| (\w+) \|", CATALOGUE.read_text(), re.M
        )
        in_docs = {(int(n), name, level) for n, name, level in rows}
        in_code = {
            (int(e), e.name.lower(), events.level_of(e))
            for e in events.EventId
        }
        self.assertEqual(in_code, in_docs)
        self.assertEqual(len(rows), len(in_docs))
