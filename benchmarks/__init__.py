"""Benchmarks, many of which compare with a baseline of the same run."""
