"""Counters, gauges and histograms of one process."""

import collections
from collections.abc import Callable
from collections.abc import Mapping

import attrs
from hdrh import histogram as hdr

# Range of recorded values, in microseconds or counts; values outside are
# clamped.
LOWEST_VALUE = 1
HIGHEST_VALUE = 60_000_000
SIGNIFICANT_DIGITS = 2
# Histograms of counts; all others record microseconds.
COUNT_HISTOGRAMS = frozenset({"opening_tries", "target_tries"})
QUANTILES = (0.5, 0.9, 0.99, 0.999)


@attrs.frozen
class HistogramKey:
    """Identifies a histogram.

    Attributes:
        name: What is measured, such as `answer_time` or `opening_tries`.
        service_id: The service, by number or name.
        request_class: `idempotent`, `once` or `flow`; for a daemon that
            forwards packets unchanged, the address and port of the route.
    """

    name: str
    service_id: int | str
    request_class: str


@attrs.define
class Registry:
    """All metrics of one process.

    Attributes:
        counters_by_part: Counters by the part of the process that updates
            them in place, such as `balancer`.
        gauges: Functions that return current values, by the part of the
            process that they describe, such as `control`.
        histogram_by_key: Histograms of microseconds or of counts, see
            `COUNT_HISTOGRAMS`.
    """

    counters_by_part: dict[str, Mapping[str, int]] = attrs.field(factory=dict)
    gauges: dict[str, Callable[[], Mapping[str, float]]] = attrs.field(
        factory=dict
    )
    histogram_by_key: dict[HistogramKey, hdr.HdrHistogram] = attrs.field(
        factory=dict
    )

    def observe(self, key: HistogramKey, value: int) -> None:
        """Records a value.

        Args:
            key: The histogram.
            value: Microseconds, or a count for `COUNT_HISTOGRAMS`.
        """
        histogram = self.histogram_by_key.get(key)
        if histogram is None:
            histogram = hdr.HdrHistogram(
                LOWEST_VALUE, HIGHEST_VALUE, SIGNIFICANT_DIGITS
            )
            self.histogram_by_key[key] = histogram
        histogram.record_value(min(max(value, LOWEST_VALUE), HIGHEST_VALUE))

    def quantiles(self, key: HistogramKey) -> dict[float, int]:
        """Returns the quantiles of a histogram, in the unit of its values."""
        histogram = self.histogram_by_key[key]
        return {
            quantile: int(histogram.get_value_at_percentile(quantile * 100))
            for quantile in QUANTILES
        }

    def totals(self) -> dict[str, int]:
        """Returns all counters under `<part>_<name>`."""
        totals: collections.Counter[str] = collections.Counter()
        for part, counters in self.counters_by_part.items():
            for name, value in counters.items():
                totals[f"{part}_{name}"] += value
        return dict(totals)

    def gauge_values(self) -> dict[str, float]:
        """Returns the current values of all gauges under `<part>_<name>`."""
        return {
            f"{part}_{name}": value
            for part, read in self.gauges.items()
            for name, value in read().items()
        }
