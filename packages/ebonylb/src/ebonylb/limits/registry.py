"""Limits that servers name, and what this entry VM sends to such servers."""

import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from ..interfaces import Clock
from ..interfaces.server_client import ServerAddress
from ..storage.store_time import StoreTime

logger = logging.getLogger(__name__)

# An incarnation that has named a limit may end without withdrawing it, so that limits
# are dropped only by this number.
MAX_LIMITED_SERVERS = 4_000
SENT_LOG_INTERVAL_MS = 1_000.0


@dataclass(slots=True)
class ObservedLimit:
    """Newest known statement of one incarnation of a server about its limit.

    Attributes
    ----------
    requests_per_s : float or None
        Requests a second that the server accepts from all entry VMs together; None if
        it has withdrawn its limit.
    observed_ms : float
        Store time of the response.
    is_own : bool
        Whether this entry VM received the response itself.
    named_ms : float
        Monotonic time at which this entry VM last learned a limit.
    sent_ms : list of float
        Monotonic times of the requests sent since `logged_ms`.
    logged_ms : float
        Monotonic time of the last log line about sent requests.
    """

    server: ServerAddress
    requests_per_s: float | None
    observed_ms: float
    is_own: bool
    named_ms: float
    sent_ms: list[float] = field(default_factory=list)
    logged_ms: float = 0.0


class LimitRegistry:
    """Limits in force, as named by the servers themselves.

    The newest statement of a server holds, whichever entry VM received it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    store_time : StoreTime
        Clock by which statements to several entry VMs are ordered.
    """

    def __init__(self, clock: Clock, store_time: StoreTime) -> None:
        self.clock = clock
        self.store_time = store_time
        self.observed: OrderedDict[str, ObservedLimit] = OrderedDict()

    def get(self, server: ServerAddress) -> ObservedLimit | None:
        """Return the limit in force of an incarnation; None if it has none."""
        observed = self.observed.get(server.name)
        if observed is None or observed.requests_per_s is None:
            return None
        return observed if observed.server == server else None

    def record(
        self, server: ServerAddress, requests_per_s: float | None, sent_ms: float
    ) -> None:
        """Record the limit that a response names; None if it names none.

        A response to a request that was sent before the limit was learned may be older
        than the limit and does not withdraw it.

        Parameters
        ----------
        sent_ms : float
            Monotonic time at which the request was sent.
        """
        known = self.observed.get(server.name)
        if requests_per_s is None:
            in_force = self.get(server)
            if in_force is None or sent_ms < in_force.named_ms:
                return
        if (
            known is None
            or known.server != server
            or known.requests_per_s != requests_per_s
            or not known.is_own
        ):
            log_change(server, requests_per_s)
        self.update(server, requests_per_s, self.store_time.now_ms(), is_own=True)

    def adopt(
        self, server: ServerAddress, requests_per_s: float | None, observed_ms: float
    ) -> None:
        """Record a statement that another entry VM has received."""
        known = self.observed.get(server.name)
        if known is None:
            if requests_per_s is None:
                return
        elif known.observed_ms >= observed_ms:
            return
        if known is None or known.requests_per_s != requests_per_s:
            logger.info(
                "limit of a backend server learned from another entry VM",
                extra={"server": server.name, "requests_per_s": requests_per_s},
            )
        self.update(server, requests_per_s, observed_ms, is_own=False)

    def update(
        self,
        server: ServerAddress,
        requests_per_s: float | None,
        observed_ms: float,
        is_own: bool,
    ) -> None:
        """Replace what is known of a server."""
        now = self.clock.monotonic_ms()
        known = self.observed.get(server.name)
        if known is None or known.server != server:
            self.observed[server.name] = ObservedLimit(
                server, requests_per_s, observed_ms, is_own, now, logged_ms=now
            )
            if len(self.observed) > MAX_LIMITED_SERVERS:
                self.observed.popitem(last=False)
            return
        if requests_per_s is None:
            self.log_sent(known)
        elif known.requests_per_s is None:
            known.named_ms = now
        known.requests_per_s = requests_per_s
        known.observed_ms, known.is_own = observed_ms, is_own

    def record_sent(self, server: ServerAddress) -> None:
        """Record a request that is sent to a server, if the server has a limit."""
        limit = self.get(server)
        if limit is None:
            return
        now = self.clock.monotonic_ms()
        limit.sent_ms.append(now)
        if now - limit.logged_ms >= SENT_LOG_INTERVAL_MS:
            self.log_sent(limit)

    def log_sent(self, limit: ObservedLimit) -> None:
        """Log when requests were sent to a limited server since the last such line."""
        now = self.clock.monotonic_ms()
        if limit.sent_ms:
            logger.info(
                "requests sent to a limited server",
                extra={
                    "server": limit.server.name,
                    "requests_per_s": limit.requests_per_s,
                    "ages_ms": [round(now - sent_ms) for sent_ms in limit.sent_ms],
                },
            )
        limit.sent_ms.clear()
        limit.logged_ms = now


def log_change(server: ServerAddress, requests_per_s: float | None) -> None:
    """Log that a server has named another limit than before, or withdrawn it."""
    if requests_per_s is None:
        logger.info(
            "backend server has no limit any more", extra={"server": server.name}
        )
    else:
        logger.info(
            "backend server names a limit",
            extra={"server": server.name, "requests_per_s": requests_per_s},
        )
