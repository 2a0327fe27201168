"""Decision whether a plain request is admitted while servers lack room."""

import logging
import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..interfaces import Clock, Metrics
from ..outcomes import Outcome, Refusal
from ..routes import RouteTable
from .customer_load import CustomerLoad
from .fair_level import FairLevel
from .model import (
    CustomerShare,
    NoOtherEntryVms,
    OtherEntryVms,
    RoomObserver,
    ToldLoad,
)

logger = logging.getLogger(__name__)

# Bounds on the delay of a retry, and its spread to both sides.
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 2_000.0
RETRY_JITTER = 0.25
NO_LOAD = CustomerShare(0.0, 0.0)
# At most one line for each service and time.
LOG_INTERVAL_MS = 1_000.0


@dataclass(slots=True)
class ServiceLoad:
    """Requests for one service at this entry VM.

    Attributes
    ----------
    elsewhere : dict of str to CustomerShare
        Loads at all other entry VMs together, by customer, at the last step.
    refused : dict of str to int
        Requests refused since the last log line, by customer.
    """

    level: FairLevel = field(default_factory=FairLevel)
    customers: dict[str, CustomerLoad] = field(default_factory=dict)
    elsewhere: dict[str, CustomerShare] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    logged_ms: float = -math.inf

    def customer(self, name: str, now_ms: float) -> CustomerLoad:
        """Return the load of a customer, brought up to date."""
        load = self.customers.get(name)
        if load is None:
            load = self.customers[name] = CustomerLoad(now_ms)
        load.advance(now_ms)
        return load


@dataclass(frozen=True, slots=True)
class Ticket:
    """An admitted request, to be returned at its end.

    Parameters
    ----------
    counted : bool
        Whether it counts as in progress; False while there are no customers.
    """

    service: str
    customer: str
    began_ms: float
    counted: bool = True


class FairAdmission(RoomObserver):
    """Refuses requests of customers beyond their share while servers lack room.

    The share is max-min fair: the requests in progress that the servers have room for
    are divided among customers, and nobody counts for more than it has. Each entry VM
    decides by itself, by what it counts and what others told a moment ago. A customer's
    share is divided among entry VMs like its arrivals. Where nothing is known of
    others, the entry VM divides what it has in progress itself.

    Parameters
    ----------
    routes : RouteTable
        Tells whether the configuration has customers; nothing is refused without.
    clock : Clock
        Source of time.
    metrics : Metrics
        Receiver of counters.
    others : OtherEntryVms or None
        What other entry VMs told; None if nothing is known.
    rng : random.Random or None
        Source of the jitter of retries.
    """

    def __init__(
        self,
        routes: RouteTable,
        clock: Clock,
        metrics: Metrics,
        others: OtherEntryVms | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.routes = routes
        self.clock = clock
        self.metrics = metrics
        self.others = others or NoOtherEntryVms()
        self.rng = rng or random.Random()
        self.services: dict[str, ServiceLoad] = {}

    @property
    def is_on(self) -> bool:
        """Whether the configuration has customers."""
        configuration = self.routes.configuration
        return configuration is not None and configuration.has_customers

    def record_attempt(self, service: str, refused: bool) -> None:
        """Record an attempt, and whether its server refused it for lack of room."""
        if self.is_on:
            state = self.services.setdefault(service, ServiceLoad())
            state.level.record_attempt(refused, self.clock.monotonic_ms())

    def lacking_room(self) -> list[str]:
        """Return the services whose servers lack room."""
        now = self.clock.monotonic_ms()
        return [s for s, state in self.services.items() if state.level.lacks_room(now)]

    def admit(self, service: str, customer: str, priority: int) -> Ticket | Refusal:
        """Admit a request, which then counts as in progress, or refuse it.

        Parameters
        ----------
        priority : int
            Order among the requests of the customer; 0 is the highest.
        """
        now = self.clock.monotonic_ms()
        if not self.is_on:
            return Ticket(service, customer, now, counted=False)
        state = self.services.setdefault(service, ServiceLoad())
        load = state.customer(customer, now)
        load.arrivals += 1
        if not self.has_room(service, state, customer, priority, now):
            return self.refuse(service, state, customer, priority, now)
        load.in_progress += 1
        return Ticket(service, customer, now)

    def end(self, ticket: Ticket) -> None:
        """Count the end of an admitted request."""
        if not ticket.counted:
            return
        load = self.services[ticket.service].customers[ticket.customer]
        now = self.clock.monotonic_ms()
        load.advance(now)
        load.end(now - ticket.began_ms)

    def has_room(
        self, service: str, state: ServiceLoad, name: str, priority: int, now_ms: float
    ) -> bool:
        """Return whether one more request of a customer may be in progress."""
        level = state.level
        load = state.customers[name]
        if not level.lacks_room(now_ms):
            load.lift_limit()
            return True
        if level.is_step_due(now_ms):
            self.step(service, state, now_ms)
        if level.level == math.inf:
            load.lift_limit()
            return True
        elsewhere = state.elsewhere.get(name, NO_LOAD)
        offered = load.offered + elsewhere.offered
        in_progress = load.in_progress + elsewhere.in_progress
        if max(offered, in_progress) <= level.level:
            load.lift_limit()
            return True
        load.limit(level.level * load.offered / offered)
        return load.has_room() and not load.is_kept_for_others(priority, now_ms)

    def step(self, service: str, state: ServiceLoad, now_ms: float) -> None:
        """Adjust the level of a service and forget idle customers."""
        told = self.others.loads_of(service)
        elsewhere: dict[str, CustomerShare] = {}
        for other in told:
            for name, share in other.customers.items():
                known = elsewhere.get(name, NO_LOAD)
                elsewhere[name] = CustomerShare(
                    known.in_progress + share.in_progress, known.offered + share.offered
                )
        state.elsewhere = elsewhere
        loads = {name: share.in_progress for name, share in elsewhere.items()}
        for name, load in list(state.customers.items()):
            load.advance(now_ms)
            if load.is_idle():
                del state.customers[name]
            else:
                loads[name] = loads.get(name, 0.0) + load.mean_in_progress
        levels = [other.level for other in told if other.level > 0]
        state.level.step(loads, levels, len(told), now_ms)

    def refuse(
        self, service: str, state: ServiceLoad, name: str, priority: int, now_ms: float
    ) -> Refusal:
        """Return the refusal of a request, with a delay after which there is room.

        Each caller is given the time at which the next request of the customer may
        begin after those that were refused before, so that callers come back one by
        one.
        """
        load = state.customers[name]
        interval_ms = load.duration_ms / max(load.room, 1e-3)
        earliest_ms = max(load.next_room_ms, now_ms) + interval_ms
        load.next_room_ms = min(earliest_ms, now_ms + MAX_RETRY_AFTER_MS)
        delay_ms = max(MIN_RETRY_AFTER_MS, load.next_room_ms - now_ms)
        delay_ms *= self.rng.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)
        load.expect_back(priority, now_ms, now_ms + delay_ms)
        self.metrics.incr("admission.refused")
        self.log_refusal(service, state, name, now_ms)
        return Refusal(
            Outcome.NOT_RUN,
            "over_share",
            "the servers of this service are full, and this customer has its share",
            round(delay_ms),
        )

    def log_refusal(
        self, service: str, state: ServiceLoad, name: str, now_ms: float
    ) -> None:
        """Log the refusals since the last line, with what decides about them."""
        state.refused[name] = state.refused.get(name, 0) + 1
        if now_ms - state.logged_ms < LOG_INTERVAL_MS:
            return
        load = state.customers[name]
        logger.info(
            "requests beyond the share of a customer refused",
            extra={
                "service": service,
                "refused": state.refused,
                "level": round(state.level.level, 2),
                "customer": name,
                "room": round(load.room, 2),
                "in_progress": load.in_progress,
                "entry_vms": state.level.others + 1,
                "refused_by_servers_ms_ago": round(now_ms - state.level.refused_ms),
            },
        )
        state.refused, state.logged_ms = {}, now_ms

    def told_loads(self) -> Mapping[str, ToldLoad]:
        """Return what to tell other entry VMs, by service."""
        now = self.clock.monotonic_ms()
        told = {}
        for service, state in self.services.items():
            customers = {}
            for name, load in state.customers.items():
                load.advance(now)
                if not load.is_idle():
                    customers[name] = CustomerShare(
                        round(load.mean_in_progress, 2), round(load.offered, 2)
                    )
            level = state.level
            is_common = level.lacks_room(now) and level.is_common(now)
            told[service] = ToldLoad(level.level if is_common else 0.0, customers)
        return told

    def gauges(self) -> dict[str, float]:
        """Return the levels and loads of the services whose servers lack room."""
        gauges = {}
        for service in self.lacking_room():
            state = self.services[service]
            if state.level.level < math.inf:
                gauges[f"admission.{service}.level"] = state.level.level
            gauges[f"admission.{service}.customers"] = float(
                sum(load.in_progress > 0 for load in state.customers.values())
            )
        return gauges
