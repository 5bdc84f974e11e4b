"""Tests of metrics and their text format."""

import collections
import unittest

from godwitturn.metrics import exposition
from godwitturn.metrics import registry


class TestExposition(unittest.TestCase):
    """Guards against lines that a scraper can't parse."""

    def test_counters_and_quantiles_have_the_recorded_values(self) -> None:
        metrics = registry.Registry()
        metrics.counters_by_part["agent"] = collections.Counter(accepted=3)
        key = registry.HistogramKey("answer_time", 4, "once")
        for value in range(1, 101):
            metrics.observe(key, value * 1000)
        lines = exposition.format_metrics(metrics).splitlines()
        self.assertIn("godwitturn_agent_accepted_total 3", lines)
        labels = 'service_id="4",class="once"'
        count = f"godwitturn_answer_time_seconds_count{{{labels}}} 100"
        self.assertIn(count, lines)
        median = metrics.quantiles(key)[0.5]
        self.assertAlmostEqual(50_000, median, delta=1_000)

    def test_counts_have_no_unit(self) -> None:
        metrics = registry.Registry()
        key = registry.HistogramKey("opening_tries", 4, "flow")
        metrics.observe(key, 3)
        lines = exposition.format_metrics(metrics).splitlines()
        labels = 'service_id="4",class="flow",quantile="0.5"'
        self.assertIn(f"godwitturn_opening_tries{{{labels}}} 3.0", lines)

    def test_values_beyond_the_range_are_clamped(self) -> None:
        metrics = registry.Registry()
        key = registry.HistogramKey("answer_time", 4, "once")
        metrics.observe(key, -5)
        metrics.observe(key, 10**12)
        self.assertEqual(2, metrics.histogram_by_key[key].total_count)
