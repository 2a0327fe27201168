"""Limits that servers name, and what this entry VM sends to such servers."""

import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from ..interfaces import Clock
from ..interfaces.server_client import ServerAddress

logger = logging.getLogger(__name__)

# An incarnation that has named a limit may end without withdrawing it, so that limits
# are dropped only by this number.
MAX_LIMITED_SERVERS = 4_000
SENT_LOG_INTERVAL_MS = 1_000.0


@dataclass(slots=True)
class NamedLimit:
    """Limit that one incarnation of a server has named.

    Attributes
    ----------
    requests_per_s : float
        Requests a second that the server accepts from all entry VMs together.
    first_named_ms : float
        Monotonic time of the first response that named a limit.
    sent_ms : list of float
        Monotonic times of the requests that were sent since `logged_ms`.
    logged_ms : float
        Monotonic time of the last log line about sent requests.
    """

    server: ServerAddress
    requests_per_s: float
    first_named_ms: float
    sent_ms: list[float] = field(default_factory=list)
    logged_ms: float = 0.0


class LimitRegistry:
    """Limits in force, as named by the servers themselves.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.limits: OrderedDict[str, NamedLimit] = OrderedDict()

    def get(self, server: ServerAddress) -> NamedLimit | None:
        """Return the limit of an incarnation of a server; None if it has none."""
        named = self.limits.get(server.name)
        return named if named is not None and named.server == server else None

    def record(self, server: ServerAddress, requests_per_s: float | None) -> None:
        """Record the limit that a response names; None if it names none."""
        named = self.get(server)
        if requests_per_s is None:
            if named is not None:
                del self.limits[server.name]
                self.log_sent(named)
                logger.info(
                    "backend server has no limit any more",
                    extra={"server": server.name},
                )
            return
        if named is None:
            now = self.clock.monotonic_ms()
            self.limits[server.name] = NamedLimit(
                server, requests_per_s, now, logged_ms=now
            )
            if len(self.limits) > MAX_LIMITED_SERVERS:
                self.limits.popitem(last=False)
        if named is None or named.requests_per_s != requests_per_s:
            logger.info(
                "backend server names a limit",
                extra={"server": server.name, "requests_per_s": requests_per_s},
            )
        if named is not None:
            named.requests_per_s = requests_per_s

    def record_sent(self, server: ServerAddress) -> None:
        """Record a request that is sent to a server, if the server has a limit."""
        named = self.get(server)
        if named is None:
            return
        now = self.clock.monotonic_ms()
        named.sent_ms.append(now)
        if now - named.logged_ms >= SENT_LOG_INTERVAL_MS:
            self.log_sent(named)

    def log_sent(self, named: NamedLimit) -> None:
        """Log when requests were sent to a limited server since the last such line."""
        now = self.clock.monotonic_ms()
        if named.sent_ms:
            logger.info(
                "requests sent to a limited server",
                extra={
                    "server": named.server.name,
                    "requests_per_s": named.requests_per_s,
                    "ages_ms": [round(now - sent_ms) for sent_ms in named.sent_ms],
                },
            )
        named.sent_ms.clear()
        named.logged_ms = now
