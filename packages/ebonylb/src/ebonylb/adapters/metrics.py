"""Metrics that are sent to a statsd server, or dropped."""

from statsd import StatsClient

from ..interfaces import Metrics


class StatsdMetrics(Metrics):
    """Metrics that are sent to a statsd server as UDP datagrams.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    prefix : str
        Prefix of each metric's name.
    """

    def __init__(self, address: str, prefix: str = "ebonylb") -> None:
        host, port = address.rsplit(":", 1)
        self.client = StatsClient(host, int(port), prefix=prefix)

    def incr(self, name: str, count: int = 1) -> None:
        """Increase a counter; a datagram that cannot be sent is lost."""
        self.client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.client.gauge(name, value)

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        self.client.timing(name, duration_ms)

    def close(self) -> None:
        """Close the socket."""
        self.client.close()


class NullMetrics(Metrics):
    """Metrics that drop all measurements."""

    def incr(self, name: str, count: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def timing_ms(self, name: str, duration_ms: float) -> None:
        """Do nothing."""
