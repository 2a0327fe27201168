"""True time on which the entry VMs agree, whatever some of their wall clocks show."""

import logging
from collections.abc import Callable, Mapping, Sequence

from ..interfaces import Clock
from ..storage.store_time import StoreTime

logger = logging.getLogger(__name__)

# Larger changes of this entry VM's wall clock against the store's clock are jumps and
# are ignored; the error of the store's time is some tens of milliseconds.
MAX_DRIFT_MS = 100.0
# A wall clock this close to the agreed time has not jumped, since jumps are of seconds,
# and is the better one: the delays of the store's responses, which are long with a slow
# store or on a busy machine, are errors of the agreed time.
MAX_WALL_ERROR_MS = 250.0
# The offsets of the others change once a minute.
UPDATE_INTERVAL_MS = 1_000.0
# Entry VMs that start together know each other's wall clocks after this time: each one
# writes its row at once and follows the others' rows.
SETTLE_MS = 1_500.0


def agree_offset(offsets: Sequence[float], preferred: float) -> float:
    """Return the median; of two middle values that nearer to the preferred one.

    The mean of the two would move by half of the jump of a single wall clock.
    """
    ranked = sorted(offsets)
    middle = (ranked[(len(ranked) - 1) // 2], ranked[len(ranked) // 2])
    return min(middle, key=lambda offset: abs(offset - preferred))


class AgreedTime:
    """Time of the own wall clock, unless it differs from that of the other entry VMs.

    The others' time is the median over the offsets between wall clock and the store's
    clock.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    clock : Clock
        Wall clock and monotonic clock of this entry VM.
    store_time : StoreTime
        Clock of the store, which all entry VMs share.
    read_offsets : callable
        Returns the offsets that the entry VMs tell, by name.

    Attributes
    ----------
    own_offset_ms : float or None
        Offset of this entry VM at its start, followed through drift but not jumps.
    offset_ms : float or None
        Agreed offset; None before the first response of the store.
    began_ms : float or None
        Monotonic time of the first update with a response of the store.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        store_time: StoreTime,
        read_offsets: Callable[[], Mapping[str, float]],
    ) -> None:
        self.name = name
        self.clock = clock
        self.store_time = store_time
        self.read_offsets = read_offsets
        self.own_offset_ms: float | None = None
        self.offset_ms: float | None = None
        self.updated_ms = -1e12
        self.began_ms: float | None = None

    def is_settled(self) -> bool:
        """Return whether the clocks of the other entry VMs should be known."""
        self.update()
        now = self.clock.monotonic_ms()
        return self.began_ms is not None and now - self.began_ms >= SETTLE_MS

    def observe_offset(self) -> float | None:
        """Return the offset of this entry VM's wall clock now, to tell the others."""
        store_ms = self.store_time.now_ms()
        return self.clock.wall_ms() - store_ms if store_ms else None

    def update(self) -> float | None:
        """Return the agreed offset, computed at most once in a while."""
        now = self.clock.monotonic_ms()
        if now - self.updated_ms < UPDATE_INTERVAL_MS:
            return self.offset_ms
        observed_ms = self.observe_offset()
        if observed_ms is None:
            return None
        if self.began_ms is None:
            self.began_ms = now
        if now - self.began_ms >= SETTLE_MS:
            self.updated_ms = now
        own_ms = self.own_offset_ms
        if own_ms is None or abs(observed_ms - own_ms) <= MAX_DRIFT_MS:
            self.own_offset_ms = own_ms = observed_ms
        offsets = {**self.read_offsets(), self.name: own_ms}
        previous_ms = own_ms if self.offset_ms is None else self.offset_ms
        self.offset_ms = agree_offset(list(offsets.values()), previous_ms)
        if abs(self.offset_ms - previous_ms) > MAX_DRIFT_MS:
            logger.info(
                "agreed time moved",
                extra={
                    "by_ms": round(self.offset_ms - previous_ms),
                    "entry_vms": len(offsets),
                    "own_error_ms": round(observed_ms - self.offset_ms),
                },
            )
        return self.offset_ms

    def true_ms(self, monotonic_ms: float) -> float:
        """Return the time since the start of 1970 of a monotonic time.

        Before the first response of the store it is that of the wall clock.
        """
        now = self.clock.monotonic_ms()
        offset_ms = self.update()
        now_unix_ms = float(self.clock.wall_ms())
        if offset_ms is not None:
            agreed_ms = self.store_time.now_ms() + offset_ms
            if abs(now_unix_ms - agreed_ms) > MAX_WALL_ERROR_MS:
                now_unix_ms = agreed_ms
        return now_unix_ms - now + monotonic_ms

    def now_ms(self) -> float:
        """Return the time since the start of 1970."""
        return self.true_ms(self.clock.monotonic_ms())
