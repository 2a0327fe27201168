"""Division of the slots of a service's engines among customers and holders of batches.

All functions are pure and compute with integers only, so that every entry VM gets the
same shares from the same rows.
"""

import itertools
import operator
from bisect import bisect_left
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from fractions import Fraction

from xxhash import xxh32_intdigest

# Weights are rounded to this fraction, since sums of floats depend on their order.
WEIGHT_UNIT = 1_000
# Consecutive windows shift the phase of rounding by the golden ratio of its range, so
# that a batch with a fraction of a slot is not passed over for long.
GOLDEN_RATIO = 0.618_033_988_749_895
# Batches of a customer take turns by another irrational number. With the same one, a
# customer that has a slot in some windows would give it to the same batch each time.
ROOT_OF_TWO = 0.414_213_562_373_095
HASH_BITS = 32

Shares = dict[str, dict[str, int]]


@dataclass(frozen=True, slots=True)
class OpenBatch:
    """Demand of one open batch.

    Parameters
    ----------
    holder : str
        Name of the entry VM that runs the batch.
    unfinished : int
        Number of items without a result.
    due_ms : float
        Time at which the batch is due, by the same clock as the time of the division.
    weight : float
        Share of the batch relative to that of the others.
    customer : str
        Customer who submitted it; empty if it counts by itself.
    priority : int
        Order among the batches of the customer; 0 is the highest.
    """

    batch_id: str
    holder: str
    unfinished: int
    due_ms: float
    weight: float = 1.0
    customer: str = ""
    priority: int = 0


@dataclass(frozen=True, slots=True)
class EngineSlots:
    """Number of slots of one ready engine."""

    name: str
    slots: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Number of slots that one participant of a division can use, and its weight."""

    name: str
    slots: int
    weight: int


@dataclass(slots=True)
class Column:
    """One engine and what each row has of its slots, in the order of the rows."""

    hash: int
    engine: EngineSlots
    shares: list[int]


def hash_of(*names: object) -> int:
    """Return a 32-bit hash of names."""
    return xxh32_intdigest("/".join(map(str, names)).encode())


def share_slots(
    batches: Sequence[OpenBatch],
    engines: Sequence[EngineSlots],
    now_ms: float,
    window: int,
    with_spare: bool = False,
) -> Shares:
    """Return the number of slots of each engine that each holder may use.

    Parameters
    ----------
    batches : sequence of OpenBatch
        Open batches of one service, in any order.
    engines : sequence of EngineSlots
        Ready engines of the service, in any order.
    now_ms : float
        Time from which on batches that are due are overdue.
    window : int
        Number of the current time window. Batches with less than one slot take turns
        from one window to the next.
    with_spare : bool
        Whether to add the slots that no batch can use to the smallest shares. A holder
        then has more places to choose from than it has items.
    """
    slots = sum(engine.slots for engine in engines)
    totals: Counter[str] = Counter()
    slots_of_batches = divide_among_customers(batches, slots, now_ms, window)
    for batch in batches:
        if batch_slots := slots_of_batches.get(batch.batch_id):
            totals[batch.holder] += batch_slots
    if with_spare:
        holders = {batch.holder for batch in batches if batch.unfinished > 0}
        totals = add_spare({holder: totals[holder] for holder in holders}, slots)
    return spread_over_engines(totals, engines)


def divide_among_customers(
    batches: Sequence[OpenBatch], slots: int, now_ms: float, window: int
) -> dict[str, int]:
    """Return the number of slots of each batch, max-min fair among customers first.

    Whether batches are overdue and their priorities matter only within the share of
    their customer. Otherwise a customer that submits new batches all the time would
    keep out another one whose batches have become overdue.
    """
    if not any(batch.customer for batch in batches):
        return divide_among_batches(batches, slots, now_ms, window)
    by_owner: dict[str, list[OpenBatch]] = {}
    for batch in batches:
        if batch.unfinished > 0:
            by_owner.setdefault(owner_of(batch), []).append(batch)
    demands = [
        Demand(
            owner,
            sum(batch.unfinished for batch in owned),
            max(1, round(max(batch.weight for batch in owned) * WEIGHT_UNIT)),
        )
        for owner, owned in by_owner.items()
    ]
    shares: dict[str, int] = {}
    for owner, left in divide(demands, slots, window).items():
        owned = by_owner[owner]
        for priority in sorted({batch.priority for batch in owned}):
            level = [batch for batch in owned if batch.priority == priority]
            level_shares = divide_among_batches(
                level, left, now_ms, window, ROOT_OF_TWO
            )
            shares |= level_shares
            left -= sum(level_shares.values())
    return shares


def owner_of(batch: OpenBatch) -> str:
    """Return the participant of the division to which a batch belongs."""
    return f"customer/{batch.customer}" if batch.customer else f"batch/{batch.batch_id}"


def customer_slots(
    holder: str,
    batches: Sequence[OpenBatch],
    slots: int,
    now_ms: float,
    window: int,
) -> dict[str, int]:
    """Return the slots of a holder's batches by customer; empty without customers."""
    totals: Counter[str] = Counter()
    if any(batch.customer for batch in batches if batch.holder == holder):
        shares = divide_among_customers(batches, slots, now_ms, window)
        for batch in batches:
            if batch.holder == holder and batch.unfinished > 0:
                totals[batch.customer] += shares.get(batch.batch_id, 0)
    return dict(totals)


def divide_among_batches(
    batches: Sequence[OpenBatch],
    slots: int,
    now_ms: float,
    window: int,
    ratio: float = GOLDEN_RATIO,
) -> dict[str, int]:
    """Return the max-min fair number of slots of each batch.

    Overdue batches get what the others cannot use. If that is nothing, they count as
    one batch with one item, whose slot they hold in turn: an item that never runs again
    would hold up the caller until it is abandoned.
    """
    on_time: list[Demand] = []
    overdue: list[Demand] = []
    for batch in batches:
        if batch.unfinished > 0:
            weight = max(1, round(batch.weight * WEIGHT_UNIT))
            demand = Demand(batch.batch_id, batch.unfinished, weight)
            (on_time if batch.due_ms > now_ms else overdue).append(demand)
    spare = slots - sum(demand.slots for demand in on_time)
    if not overdue or spare > 0:
        shares = divide(on_time, slots, window, ratio)
        return shares | divide(overdue, max(0, spare), window, ratio)
    turn = sorted(demand.name for demand in overdue)[window % len(overdue)]
    on_time.append(Demand(turn, 1, WEIGHT_UNIT))
    return divide(on_time, slots, window, ratio)


def divide(
    demands: Sequence[Demand], slots: int, window: int, ratio: float = GOLDEN_RATIO
) -> dict[str, int]:
    """Divide slots max-min fairly by weight; nobody gets more than its demand."""
    shares: dict[str, int] = {}
    weight = sum(demand.weight for demand in demands)
    by_need = sorted(demands, key=lambda d: (Fraction(d.slots, d.weight), d.name))
    limited: list[Demand] = []
    for number, demand in enumerate(by_need):
        if demand.slots * weight > slots * demand.weight:
            limited = by_need[number:]
            break
        shares[demand.name] = demand.slots
        slots -= demand.slots
        weight -= demand.weight
    return shares | divide_by_weight(limited, slots, window, ratio)


def divide_by_weight(
    demands: Sequence[Demand], slots: int, window: int, ratio: float
) -> dict[str, int]:
    """Divide slots in proportion to weights, each share rounded up or down.

    The fractions lie one after another on a line with a mark for each slot that they
    add up to. A share whose part contains a mark is rounded up. The marks stay where
    they are while everybody has a slot, and move with the window otherwise, so that
    everybody gets its turn.
    """
    weight = sum(demand.weight for demand in demands)
    in_turns = any(slots * demand.weight < weight for demand in demands)
    position = int(window * ratio % 1 * weight) if in_turns else 0
    shares = {}
    for demand in sorted(demands, key=lambda d: (hash_of(d.name), d.name)):
        whole, fraction = divmod(slots * demand.weight, weight)
        end = position + fraction
        shares[demand.name] = whole + end // weight - position // weight
        position = end
    return shares


def add_spare(totals: dict[str, int], slots: int) -> Counter[str]:
    """Raise the smallest totals to a common level until all slots are given out."""
    raised = Counter(totals)
    spare = slots - sum(totals.values())
    smallest_first = sorted(totals, key=lambda h: (totals[h], hash_of(h), h))
    for number, holder in enumerate(smallest_first, 1):
        higher = smallest_first[number:]
        ceiling = totals[higher[0]] if higher else None
        level = totals[holder]
        room = spare if ceiling is None else min(spare, (ceiling - level) * number)
        for index, lower in enumerate(smallest_first[:number]):
            raised[lower] = level + room // number + (index < room % number)
        spare -= room
        if not spare:
            break
    return raised


def spread_over_engines(
    totals: dict[str, int], engines: Sequence[EngineSlots]
) -> Shares:
    """Spread each holder's total over the engines in proportion to their slots."""
    holders = sorted(holder for holder, total in totals.items() if total > 0)
    if not holders:
        return {}
    spread = SlotSpread([totals[holder] for holder in holders], engines)
    spread.round_parts()
    spread.exchange_surplus([hash_of(holder) for holder in [*holders, ""]])
    return {
        holder: {
            column.engine.name: column.shares[row]
            for column in spread.columns
            if column.shares[row]
        }
        for row, holder in enumerate(holders)
    }


class SlotSpread:
    """Table of the slots of each engine (column) by holder (row).

    The sums of its rows and columns are given. Each cell is the exact part, which is
    the row's total in proportion to the engine's slots, rounded up or down if possible.

    Parameters
    ----------
    totals : sequence of int
        Sum of each row. A last row is added for slots that nobody may use.
    """

    def __init__(self, totals: Sequence[int], engines: Sequence[EngineSlots]) -> None:
        self.slots = sum(engine.slots for engine in engines)
        self.totals = [*totals, self.slots - sum(totals)]
        self.columns = sorted(
            (Column(hash_of(engine.name), engine, []) for engine in engines),
            key=lambda column: (column.hash, column.engine.name),
        )
        self.surplus: list[int] = []

    def round_parts(self) -> None:
        """Round the exact parts so that the sum of each column is the engine's slots.

        On each engine, the exact parts lie one after another on a line, with a mark for
        each slot at an offset that depends on the engine's name. The row whose part
        contains a mark gets the slot. Few slots move when a total changes.
        """
        ends_by_slots: dict[int, list[int]] = {}
        for column in self.columns:
            engine_slots = column.engine.slots
            ends = ends_by_slots.get(engine_slots)
            if ends is None:
                ends = ends_by_slots[engine_slots] = [
                    total * engine_slots for total in itertools.accumulate(self.totals)
                ]
            offset = column.hash * self.slots >> HASH_BITS
            marks = [(offset + end) // self.slots for end in ends]
            column.shares = list(map(operator.sub, marks, [0, *marks[:-1]]))
        row_sums = map(sum, zip(*(c.shares for c in self.columns), strict=True))
        self.surplus = list(map(operator.sub, row_sums, self.totals))

    def exchange_surplus(self, row_hashes: Sequence[int]) -> None:
        """Exchange slots on engines until the sum of each row is its total.

        A row gives slots away beginning at the engine that follows its hash, first
        where both cells are closer to their exact parts afterwards.
        """
        column_hashes = [column.hash for column in self.columns]
        for giver, row_hash in enumerate(row_hashes):
            start = bisect_left(column_hashes, row_hash)
            for only_rounded in (True, False):
                for column in itertools.chain(
                    self.columns[start:], self.columns[:start]
                ):
                    if self.surplus[giver] <= 0:
                        break
                    self.give(column, giver, only_rounded)

    def give(self, column: Column, giver: int, only_rounded: bool) -> None:
        """Give a slot of an engine to the first row that lacks slots, if possible.

        If `only_rounded`, the giver must have more than its exact part of the engine's
        slots, and the other row less.
        """
        shares, engine_slots = column.shares, column.engine.slots
        if not shares[giver]:
            return
        if only_rounded and (
            shares[giver] * self.slots <= self.totals[giver] * engine_slots
        ):
            return
        for taker, surplus in enumerate(self.surplus):
            if surplus < 0 and (
                not only_rounded
                or shares[taker] * self.slots < self.totals[taker] * engine_slots
            ):
                shares[giver] -= 1
                shares[taker] += 1
                self.surplus[giver] -= 1
                self.surplus[taker] += 1
                return
