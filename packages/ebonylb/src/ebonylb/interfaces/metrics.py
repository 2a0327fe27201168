"""Interface for recording counters, gauges and durations."""

from abc import ABC, abstractmethod


class Metrics(ABC):
    """Recorder of measurements; its methods must not block or raise."""

    @abstractmethod
    def incr(self, name: str, count: int = 1) -> None:
        """Increase a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abstractmethod
    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
