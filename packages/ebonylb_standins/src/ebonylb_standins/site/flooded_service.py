"""Simulation of a full service behind several entry VMs, on its own virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ebonylb.adapters import NullMetrics
from ebonylb.admission import FairAdmission, OtherEntryVms, Ticket, ToldLoad
from ebonylb.routes import Configuration, Customer, RouteTable

from .manual_clock import ManualClock

SERVICE = "desk"
TELL_INTERVAL_MS = 500.0
# Delay of a row through the store and its feed.
TELL_DELAY_MS = 150.0
MAX_ATTEMPTS = 4
ATTEMPT_INTERVAL_MS = 5.0


class ToldLoads(OtherEntryVms):
    """What one entry VM knows of the others."""

    def __init__(self, told: dict[int, Mapping[str, ToldLoad]], number: int) -> None:
        self.told = told
        self.number = number

    def loads_of(self, service: str) -> Sequence[ToldLoad]:
        """Return the loads that the other entry VMs told."""
        return [
            loads[service]
            for number, loads in self.told.items()
            if number != self.number and service in loads
        ]


class FloodedService:
    """Service whose servers have slots and refuse what exceeds them.

    Callers arrive independently of one another and do not come back. A request that
    the servers refuse is tried a few times.

    Parameters
    ----------
    demand : mapping of str to float
        Requests that each customer would have in progress on average.
    slots : int
        Slots of all servers together.
    entry_vms : int
        Number of entry VMs.
    callers_at : mapping of str to sequence of int or None
        Entry VMs that the callers of a customer reach; all of them for others.
    fair : bool
        Whether the configuration has customers.
    exchanges : bool
        Whether entry VMs learn of each other.

    Attributes
    ----------
    arrived, completed, refused : dict of str to int
        Requests since the warm-up by customer.
    admissions : list of FairAdmission
        One for each entry VM.
    """

    def __init__(
        self,
        demand: Mapping[str, float],
        slots: int,
        entry_vms: int,
        callers_at: Mapping[str, Sequence[int]] | None = None,
        fair: bool = True,
        exchanges: bool = True,
        duration_ms: float = 50.0,
        seed: int = 1,
    ) -> None:
        self.demand = demand
        self.slots = slots
        self.callers_at = callers_at or {}
        self.duration_ms = duration_ms
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.told: dict[int, Mapping[str, ToldLoad]] = {}
        routes = RouteTable()
        customers = {name: Customer(name) for name in demand} if fair else {}
        routes.apply(Configuration(1, (), customers=customers))
        self.admissions = [
            FairAdmission(
                routes,
                self.clock,
                NullMetrics(),
                ToldLoads(self.told, number) if exchanges else None,
                random.Random(number),
            )
            for number in range(entry_vms)
        ]
        self.running = 0
        self.arrived = dict.fromkeys(demand, 0)
        self.completed = dict.fromkeys(demand, 0)
        self.refused = dict.fromkeys(demand, 0)
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.numbers = itertools.count()

    def after(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Call a function after a delay."""
        at_ms = self.clock.now_ms + delay_ms
        heapq.heappush(self.events, (at_ms, next(self.numbers), call, args))

    def arrive(self, customer: str) -> None:
        """Let a caller's request arrive, and schedule the next one."""
        rate_per_ms = self.demand[customer] / self.duration_ms
        self.after(self.rng.expovariate(rate_per_ms), self.arrive, customer)
        self.arrived[customer] += 1
        numbers = self.callers_at.get(customer, range(len(self.admissions)))
        admission = self.admissions[self.rng.choice(numbers)]
        ticket = admission.admit(SERVICE, customer, 0)
        if isinstance(ticket, Ticket):
            self.attempt(admission, ticket, 1)
        else:
            self.refused[customer] += 1

    def attempt(self, admission: FairAdmission, ticket: Ticket, number: int) -> None:
        """Send a request to the servers."""
        is_full = self.running >= self.slots
        admission.record_attempt(SERVICE, is_full)
        if not is_full:
            self.running += 1
            duration_ms = self.rng.uniform(0.5, 1.5) * self.duration_ms
            self.after(duration_ms, self.complete, admission, ticket)
        elif number < MAX_ATTEMPTS:
            self.after(ATTEMPT_INTERVAL_MS, self.attempt, admission, ticket, number + 1)
        else:
            admission.end(ticket)

    def complete(self, admission: FairAdmission, ticket: Ticket) -> None:
        """End a request."""
        self.running -= 1
        admission.end(ticket)
        self.completed[ticket.customer] += 1

    def tell(self, number: int) -> None:
        """Tell the other entry VMs the loads of one, as its rows do."""
        self.after(TELL_INTERVAL_MS, self.tell, number)
        if self.admissions[number].lacking_room():
            loads = self.admissions[number].told_loads()
            self.after(TELL_DELAY_MS, self.told.__setitem__, number, loads)

    def run(self, warm_up_ms: float, duration_ms: float) -> dict[str, float]:
        """Return the average number of requests that the servers ran, by customer."""
        for customer in self.demand:
            self.after(self.rng.uniform(0, 20), self.arrive, customer)
        for number in range(len(self.admissions)):
            self.after(self.rng.uniform(0, TELL_INTERVAL_MS), self.tell, number)
        self.run_until(warm_up_ms)
        for counts in (self.arrived, self.completed, self.refused):
            counts.update(dict.fromkeys(self.demand, 0))
        self.run_until(warm_up_ms + duration_ms)
        return {
            customer: count * self.duration_ms / duration_ms
            for customer, count in self.completed.items()
        }

    def run_until(self, end_ms: float) -> None:
        """Run all events up to a time."""
        while self.events[0][0] < end_ms:
            self.clock.now_ms, _, call, args = heapq.heappop(self.events)
            call(*args)
