"""Metrics that are kept in memory and rendered as a page of text."""

from hdrh.histogram import HdrHistogram

from ..interfaces import Metrics

# Histograms hold tenths of a millisecond, from 0.1 ms to 2 minutes, with two
# significant digits.
MIN_TENTH_MS, MAX_TENTH_MS, SIGNIFICANT_DIGITS = 1, 1_200_000, 2
PERCENTILES = (50.0, 90.0, 99.0, 100.0)


def format_metric_name(name: str) -> str:
    """Return the name of a metric in the text format."""
    return "ebonylb_" + name.replace(".", "_").replace("-", "_")


class InMemoryMetrics(Metrics):
    """Metrics that are kept in memory until they are read.

    They are rendered in the text format that monitoring systems collect: one line for
    each value, durations as quantiles in milliseconds.
    """

    def __init__(self) -> None:
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self.durations: dict[str, HdrHistogram] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Increase a counter."""
        self.counters[name] = self.counters.get(name, 0) + count

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds, limited to the histogram's range."""
        histogram = self.durations.get(name)
        if histogram is None:
            histogram = HdrHistogram(MIN_TENTH_MS, MAX_TENTH_MS, SIGNIFICANT_DIGITS)
            self.durations[name] = histogram
        tenths = max(MIN_TENTH_MS, round(duration_ms * 10))
        histogram.record_value(min(MAX_TENTH_MS, tenths))

    def render(self) -> str:
        """Return all metrics in the text format."""
        lines = [
            f"{format_metric_name(n)}_total {v}"
            for n, v in sorted(self.counters.items())
        ]
        lines += [
            f"{format_metric_name(n)} {v:g}" for n, v in sorted(self.gauges.items())
        ]
        for name, histogram in sorted(self.durations.items()):
            base = format_metric_name(name) + "_ms"
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 10
                lines.append(f'{base}{{quantile="{percentile / 100:g}"}} {value:g}')
            lines.append(f"{base}_count {histogram.get_total_count()}")
        return "\n".join(lines) + "\n"
