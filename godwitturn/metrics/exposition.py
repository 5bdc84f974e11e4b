"""Metrics in the Prometheus text format, version 0.0.4."""

import re

from godwitturn.metrics import registry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "godwitturn"
_INVALID_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")
_US_PER_S = 1_000_000


def _counter_lines(totals: dict[str, int]) -> list[str]:
    lines = []
    for name, value in sorted(totals.items()):
        metric = f"{PREFIX}_{_INVALID_CHARACTER.sub('_', name)}_total"
        lines += [f"# TYPE {metric} counter", f"{metric} {value}"]
    return lines


def _gauge_lines(values: dict[str, float]) -> list[str]:
    lines = []
    for name, value in sorted(values.items()):
        metric = f"{PREFIX}_{_INVALID_CHARACTER.sub('_', name)}"
        lines += [f"# TYPE {metric} gauge", f"{metric} {value}"]
    return lines


def _summary_lines(
    metrics: registry.Registry, name: str, keys: list[registry.HistogramKey]
) -> list[str]:
    is_count = name in registry.COUNT_HISTOGRAMS
    unit, divisor = ("", 1) if is_count else ("_seconds", _US_PER_S)
    metric = f"{PREFIX}_{_INVALID_CHARACTER.sub('_', name)}{unit}"
    lines = [f"# TYPE {metric} summary"]
    for key in keys:
        labels = f'service_id="{key.service_id}",class="{key.request_class}"'
        for quantile, value in metrics.quantiles(key).items():
            lines.append(
                f'{metric}{{{labels},quantile="{quantile}"}} {value / divisor}'
            )
        histogram = metrics.histogram_by_key[key]
        total = histogram.get_mean_value() * histogram.total_count / divisor
        lines.append(f"{metric}_sum{{{labels}}} {total}")
        lines.append(f"{metric}_count{{{labels}}} {histogram.total_count}")
    return lines


def format_metrics(metrics: registry.Registry) -> str:
    """Returns all metrics of a process in the text format."""
    lines = _counter_lines(metrics.totals())
    lines += _gauge_lines(metrics.gauge_values())
    keys_by_name: dict[str, list[registry.HistogramKey]] = {}
    for key in metrics.histogram_by_key:
        keys_by_name.setdefault(key.name, []).append(key)
    for name, keys in sorted(keys_by_name.items()):
        lines += _summary_lines(metrics, name, keys)
    return "\n".join(lines) + "\n"
