"""Prediction of request sizes in tokens from recently completed requests."""

from hdrh.histogram import HdrHistogram

MAX_SIZE = 10_000_000
RECORDS_PER_HISTOGRAM = 2_000  # a record has no effect after two histograms
DEFAULT_SIZE = 64  # tokens predicted until a key has MIN_RECORDS
MIN_RECORDS = 20
REFRESH_RECORDS = 32  # between quantile computations, which take about 12 us each


class RotatingHistogram:
    """Quantile over recent values, from a pair of HDR histograms.

    A full histogram is kept until the next one is full, then dropped.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.current = HdrHistogram(1, MAX_SIZE, 2)
        self.previous: HdrHistogram | None = None
        self.record_count = 0
        self.quantile_value = 0

    def record(self, value: int) -> None:
        """Record a value; the quantile is recomputed every `REFRESH_RECORDS` values."""
        self.current.record_value(max(1, min(value, MAX_SIZE)))
        self.record_count += 1
        if self.record_count <= MIN_RECORDS or self.record_count % REFRESH_RECORDS == 0:
            use_current = (
                self.previous is None
                or self.current.total_count >= RECORDS_PER_HISTOGRAM // 4
            )
            source = self.current if use_current else self.previous
            self.quantile_value = source.get_value_at_percentile(self.quantile * 100)
        if self.current.total_count >= RECORDS_PER_HISTOGRAM:
            self.previous, self.current = self.current, HdrHistogram(1, MAX_SIZE, 2)


class SizePredictor:
    """Size quantiles by (party, service, kind) and thresholds of long work by service.

    Parameters
    ----------
    long_factor : float
        Work is long above this multiple of the service's median size.
    quantile : float
        Quantile of the recorded sizes that is predicted.
    """

    def __init__(self, long_factor: float = 4.0, quantile: float = 0.75) -> None:
        self.long_factor = long_factor
        self.quantile = quantile
        self.sizes: dict[tuple[str, str, str], RotatingHistogram] = {}
        self.medians: dict[str, RotatingHistogram] = {}

    def predict(self, party: str, service: str, kind: str, limit: int) -> int:
        """Return the predicted size in tokens, at most `limit`."""
        sizes = self.sizes.get((party, service, kind))
        is_predictable = sizes is not None and sizes.record_count >= MIN_RECORDS
        return max(
            1, min(limit, sizes.quantile_value if is_predictable else DEFAULT_SIZE)
        )

    def record(self, party: str, service: str, kind: str, tokens: int) -> None:
        """Record the size of completed work."""
        key = (party, service, kind)
        if key not in self.sizes:
            self.sizes[key] = RotatingHistogram(self.quantile)
        self.sizes[key].record(tokens)
        if service not in self.medians:
            self.medians[service] = RotatingHistogram(0.5)
        self.medians[service].record(tokens)

    def long_threshold(self, service: str) -> float:
        """Return the size above which work is long; infinite with too few records."""
        median = self.medians.get(service)
        if median is None or median.record_count < MIN_RECORDS:
            return float("inf")
        return self.long_factor * median.quantile_value

    def is_long(self, service: str, tokens: float) -> bool:
        """Return whether a predicted or reached size counts as long."""
        return tokens > self.long_threshold(service)
