"""Prediction of the tokens that a request will take."""

from hdrh.histogram import HdrHistogram

MAX_TOKENS = 10_000_000
RECORDS_PER_HISTOGRAM = (
    2_000  # records per generation; older work stops counting after two
)
DEFAULT_TOKENS = 64  # tokens, until a key has MIN_RECORDS
MIN_RECORDS = 20
REFRESH_RECORDS = 32  # records between two readings; a reading costs about 12 us


class RotatingHistogram:
    """HDR histogram that forgets: a full one is kept until the next is full."""

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.current = HdrHistogram(1, MAX_TOKENS, 2)
        self.previous: HdrHistogram | None = None
        self.record_count = 0
        self.quantile_value = 0

    def record(self, value: int) -> None:
        """Record one value."""
        self.current.record_value(max(1, min(value, MAX_TOKENS)))
        self.record_count += 1
        if self.record_count <= MIN_RECORDS or self.record_count % REFRESH_RECORDS == 0:
            use_current = (
                self.previous is None
                or self.current.total_count >= RECORDS_PER_HISTOGRAM // 4
            )
            source = self.current if use_current else self.previous
            self.quantile_value = source.get_value_at_percentile(self.quantile * 100)
        if self.current.total_count >= RECORDS_PER_HISTOGRAM:
            self.previous, self.current = self.current, HdrHistogram(1, MAX_TOKENS, 2)


class SizePredictor:
    """Quantiles of sizes per (party, service, kind), and long limits per service.

    Parameters
    ----------
    long_factor : float
        The long limit is this multiple of the service's median.
    quantile : float
        Quantile that is predicted.
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
            1, min(limit, sizes.quantile_value if is_predictable else DEFAULT_TOKENS)
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
        """Return the size above which work is long; infinite while unknown."""
        median = self.medians.get(service)
        if median is None or median.record_count < MIN_RECORDS:
            return float("inf")
        return self.long_factor * median.quantile_value

    def is_long(self, service: str, tokens: float) -> bool:
        """Tell whether a predicted or a reached size is long."""
        return tokens > self.long_threshold(service)
