"""Counters, gauges and histograms, and their text format."""
