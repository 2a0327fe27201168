"""Shares of this entry VM in the slots of engines, kept current from progress rows."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..fleet import ServerDirectory
from ..interfaces import Clock, Metrics
from ..storage.store_time import StoreTime
from .open_batches import START_TOGETHER_MS, OpenBatches
from .progress_view import ObservedProgress
from .slot_shares import EngineSlots, OpenBatch, customer_slots, share_slots
from .slot_transfer import SlotTransfer

logger = logging.getLogger(__name__)

# Rows change with each commit of each holder; a change reaches all entry VMs after
# about 60 ms, so that more frequent divisions would not agree better.
MIN_INTERVAL_MS = 50.0
# The division of 1,000 engines among 40 holders takes 16 ms. The interval is at least
# this multiple of the last duration, which limits the cost to a twentieth of a core.
INTERVAL_PER_DURATION = 20.0
# Without a response of the store for the first time, the rows are too old for a new
# division; after the second one, nobody knows who holds which batch. A feed call
# without changes returns after 1 s.
FROZEN_AFTER_MS = 1_500.0
WITHDRAWN_AFTER_MS = 3_000.0
# Batches with less than one slot take turns. An item runs on an engine for about a
# second.
TURN_MS = 1_000.0
# An odd entry of one engine must not end the division for all.
MAX_ENGINE_SLOTS = 1_000_000
# A change of the shares is logged if the number of holders changes, or that of the own
# slots by this share, and at most once per interval and service.
MIN_LOGGED_CHANGE = 0.25
MIN_LOG_INTERVAL_MS = 1_000.0


class SlotLimits(ABC):
    """Number of slots of each engine that this entry VM may use."""

    @abstractmethod
    def slots_by_engine(self, service: str) -> Mapping[str, int] | None:
        """Return the slots by engine; others have none. None if there is no limit."""

    def customer_slots(self, service: str) -> Mapping[str, int]:
        """Return the slots of this entry VM's batches by customer, where known."""
        return {}


class NoSlotLimits(SlotLimits):
    """Engines whose slots nobody else uses."""

    def slots_by_engine(self, service: str) -> Mapping[str, int] | None:
        """Return None."""
        return None


@dataclass(slots=True)
class Division:
    """Result of the last division of the slots of one service.

    Parameters
    ----------
    own : dict of str to int or None
        Slots of this entry VM by engine; None if no shares are in force.
    holders : frozenset of str
        Holders with unfinished items.
    slots : int
        Number of slots of all engines together.
    own_batches : frozenset of str
        Open batches of this entry VM.
    customer_slots : dict of str to int
        Slots due to this entry VM's batches by customer; empty without customers.
    provisional : bool
        Whether it counts batches that other holders may begin just now.
    generation : int
        Number of changes of rows and engines that it is based on.
    next_ms, valid_until_ms : float
        Earliest monotonic time of the next division, and time from which on the same
        rows give another result.
    """

    own: dict[str, int] | None
    holders: frozenset[str]
    slots: int
    own_batches: frozenset[str]
    customer_slots: dict[str, int]
    provisional: bool
    generation: int
    next_ms: float
    valid_until_ms: float


@dataclass(slots=True)
class LoggedShares:
    """Content and time of the last log line of one service."""

    holders: int = 0
    own_slots: int | None = None
    customers: int = 0
    logged_ms: float = field(default=-1e12)

    def differs(self, holders: int, own_slots: int | None, customers: int) -> bool:
        """Return whether a change is worth a log line."""
        if customers != self.customers:
            return True
        if self.own_slots is None or own_slots is None:
            return self.own_slots is not own_slots
        change = abs(own_slots - self.own_slots)
        return holders != self.holders or change > MIN_LOGGED_CHANGE * self.own_slots


class HolderShares(SlotLimits):
    """Divides the slots of each service among the holders of its open batches.

    Every entry VM computes the same division from the same rows. It is in force where
    several holders have open batches of a service. What holders do not need is added to
    the smallest shares, so that a holder of few items has engines to choose from.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    open_batches : OpenBatches
        Demand of all holders.
    directory : ServerDirectory
        Ready engines.
    store_time : StoreTime
        Clock that all entry VMs share, for the turns of batches.

    Attributes
    ----------
    divisions : dict of str to Division
        Last division by service.
    generation : int
        Number of changes of rows and engines.
    """

    def __init__(
        self,
        name: str,
        open_batches: OpenBatches,
        directory: ServerDirectory,
        clock: Clock,
        store_time: StoreTime,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.open_batches = open_batches
        self.follower = open_batches.follower
        self.directory = directory
        self.clock = clock
        self.store_time = store_time
        self.metrics = metrics
        self.generation = 0
        self.divisions: dict[str, Division] = {}
        self.transfers: dict[str, SlotTransfer] = {}
        self.logged: dict[str, LoggedShares] = {}
        open_batches.progress_view.listeners.append(self.handle_progress_change)
        directory.subscribe(self.handle_engine_change)

    def handle_progress_change(self, observed: ObservedProgress) -> None:
        """Note that a row has changed."""
        self.open_batches.record(observed)
        self.generation += 1

    def handle_engine_change(self) -> None:
        """Note that the list of engines has changed."""
        self.generation += 1

    def slots_by_engine(self, service: str) -> Mapping[str, int] | None:
        """Return the slots by engine, or None if no shares are in force."""
        now = self.clock.monotonic_ms()
        division = self.divisions.get(service)
        if not self.follower.loaded.is_set():
            return None
        rows_age_ms = now - self.follower.confirmed_ms
        if rows_age_ms > WITHDRAWN_AFTER_MS:
            if division is not None and division.own is not None:
                division.own, division.valid_until_ms = None, now
                self.log_change(service, division, now)
            return None
        if rows_age_ms > FROZEN_AFTER_MS:
            return division.own if division else None
        if division is None or self.is_due(division, now):
            division = self.divide(service, now)
            self.divisions[service] = division
            self.log_change(service, division, now)
        return division.own

    def customer_slots(self, service: str) -> Mapping[str, int]:
        """Return the slots of this entry VM's batches by customer, where known."""
        self.slots_by_engine(service)
        division = self.divisions.get(service)
        rows_age_ms = self.clock.monotonic_ms() - self.follower.confirmed_ms
        if division is None or rows_age_ms > WITHDRAWN_AFTER_MS:
            return {}
        return division.customer_slots

    def is_due(self, division: Division, now_ms: float) -> bool:
        """Return whether a division should be computed again."""
        if now_ms < division.next_ms:
            return False
        changed = division.generation != self.generation
        return changed or now_ms >= division.valid_until_ms

    def divide(self, service: str, now_ms: float) -> Division:
        """Divide the slots of a service."""
        batches = self.open_batches.of_service(service)
        expected = self.open_batches.expected_batches(self.name, service, batches)
        holders = frozenset(b.holder for b in batches if b.unfinished > 0)
        engines = [
            EngineSlots(server.name, min(server.slots, MAX_ENGINE_SLOTS))
            for server in self.directory.ready(service)
        ]
        slots = sum(engine.slots for engine in engines)
        own_batches = frozenset(b.batch_id for b in batches if b.holder == self.name)
        transfer = self.begin_transfer(service, batches, engines, own_batches, now_ms)
        own: dict[str, int] | None = None
        window = int(self.store_time.now_or_local_ms() // TURN_MS)
        demand = [*batches, *expected]
        if len(holders) + len(expected) > 1 and self.name in holders and slots:
            shares = share_slots(demand, engines, now_ms, window, with_spare=True)
            own = transfer.usable(shares.get(self.name, {}), engines, now_ms)
        duration_ms = self.clock.monotonic_ms() - now_ms
        self.metrics.timing_ms("slot_shares.division", duration_ms)
        return Division(
            own,
            holders,
            slots,
            own_batches,
            customer_slots(self.name, demand, slots, now_ms, window),
            bool(expected),
            self.generation,
            now_ms + max(MIN_INTERVAL_MS, INTERVAL_PER_DURATION * duration_ms),
            now_ms
            if transfer.occupied or expected
            else self.valid_until_ms(batches, slots, now_ms),
        )

    def begin_transfer(
        self,
        service: str,
        batches: list[OpenBatch],
        engines: list[EngineSlots],
        own_batches: frozenset[str],
        now_ms: float,
    ) -> SlotTransfer:
        """Return the transfer of slots to this entry VM; begin it for a new batch."""
        transfer = self.transfers.setdefault(service, SlotTransfer())
        previous = self.divisions.get(service)
        earlier_batches = previous.own_batches if previous else frozenset()
        if own_batches - earlier_batches:
            others_items = self.open_batches.items_of_others(
                self.name, batches, START_TOGETHER_MS
            )
            allowed: dict[str, int] = {}
            if previous and previous.own and own_batches & earlier_batches:
                allowed = previous.own
            transfer.begin(engines, allowed, others_items, now_ms)
        return transfer

    def valid_until_ms(
        self, batches: list[OpenBatch], slots: int, now_ms: float
    ) -> float:
        """Return when the same rows give other shares: at the next due time or turn."""
        due_ms = [b.due_ms for b in batches if b.due_ms > now_ms]
        takes_turns = (
            len(due_ms) < len(batches)
            or len(batches) > slots
            or any(batch.customer for batch in batches)
        )
        if takes_turns:
            store_ms = self.store_time.now_or_local_ms()
            due_ms.append(now_ms + TURN_MS - store_ms % TURN_MS)
        return min(due_ms, default=now_ms + WITHDRAWN_AFTER_MS)

    def log_change(self, service: str, division: Division, now_ms: float) -> None:
        """Log and count a material change of the shares in force."""
        if division.provisional:
            return
        own_slots = None if division.own is None else sum(division.own.values())
        logged = self.logged.setdefault(service, LoggedShares())
        customers = len(division.customer_slots)
        if (
            not logged.differs(len(division.holders), own_slots, customers)
            or now_ms - logged.logged_ms < MIN_LOG_INTERVAL_MS
        ):
            return
        self.logged[service] = LoggedShares(
            len(division.holders), own_slots, customers, now_ms
        )
        self.metrics.incr("slot_shares.changes")
        logger.info(
            "slot shares changed",
            extra={
                "service": service,
                "in_force": own_slots is not None,
                "holders": len(division.holders),
                "customers": customers,
                "own_slots": own_slots,
                "slots": division.slots,
                "rows_age_ms": round(now_ms - self.follower.confirmed_ms),
            },
        )

    def gauges(self) -> dict[str, float]:
        """Return the slots allowed and used by service, where shares are in force."""
        gauges = {}
        for service in self.divisions:
            own = self.slots_by_engine(service)
            if customers := self.customer_slots(service):
                gauges[f"slot_shares.{service}.customers"] = float(len(customers))
            if own is None:
                continue
            gauges[f"slot_shares.{service}.allowed"] = float(sum(own.values()))
            gauges[f"slot_shares.{service}.used"] = float(
                sum(
                    self.directory.condition(server.name).own_requests
                    for server in self.directory.ready(service)
                )
            )
        return gauges
