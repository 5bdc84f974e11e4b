"""Tests that the catalogue, the code and the docs list the same events."""

import pathlib
import re
import unittest

from godwitturn.core.transparent import catalogue

ROOT = pathlib.Path(__file__).parents[2]
EVENT_IN_CODE = re.compile(r'(?:LogEvent|log_event)\(\s*"([a-z_]+)"')
ROW_IN_DOCS = re.compile(r"^\| GW(6\d\d) \| ([a-z_]+) \|", re.MULTILINE)


class TestCatalogue(unittest.TestCase):
    """Log events of transparent forwarding."""

    def test_events_written_are_listed(self) -> None:
        written: set[str] = set()
        for folder in ("core/transparent", "platform"):
            for path in (ROOT / "godwitturn" / folder).glob("*.py"):
                written.update(EVENT_IN_CODE.findall(path.read_text()))
        self.assertEqual(set(catalogue.NUMBER_BY_EVENT), written)

    def test_docs_list_the_same_numbers(self) -> None:
        text = (ROOT / "docs" / "events.md").read_text()
        listed = {
            name: int(number) for number, name in ROW_IN_DOCS.findall(text)
        }
        self.assertEqual(catalogue.NUMBER_BY_EVENT, listed)
