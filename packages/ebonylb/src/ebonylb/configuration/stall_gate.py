"""Admission gate that closes after a stall of the event loop."""

from collections.abc import Callable

from ..interfaces import Clock

CONFIRM_TIMEOUT_MS = 1_000  # admission resumes after this time without confirmation
TICKS_PER_STALL = 8  # stalls are detected to within an eighth of `stall_ms`


class StallGate:
    """Blocks admission after a stall until the configuration revision is confirmed.

    A frozen entry VM misses revisions. The first call after it resumes may come before
    any other task has run, so `is_open` itself compares the time with the last tick.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    stall_ms : float
        Pause of the event loop that counts as a stall.
    """

    def __init__(self, clock: Clock, stall_ms: float) -> None:
        self.clock = clock
        self.stall_ms = stall_ms
        self.last_tick_ms = clock.monotonic_ms()
        self.closed_until_ms: float | None = None
        self.stall_count = 0

    def is_open(self) -> bool:
        """Record a tick, detect a stall and return whether work may be admitted."""
        now_ms = self.clock.monotonic_ms()
        if now_ms - self.last_tick_ms > self.stall_ms:
            self.stall_count += 1
            self.closed_until_ms = now_ms + CONFIRM_TIMEOUT_MS
        self.last_tick_ms = now_ms
        if self.closed_until_ms is not None and now_ms >= self.closed_until_ms:
            self.closed_until_ms = None
        return self.closed_until_ms is None

    def confirm(self, stall_number: int) -> None:
        """Open the gate, unless another stall followed the confirmed one."""
        if stall_number == self.stall_count:
            self.closed_until_ms = None

    async def watch(self, on_stall: Callable[[int], None]) -> None:
        """Tick periodically; call `on_stall`, which must not block, after a stall."""
        handled_stalls = self.stall_count
        while True:
            self.is_open()
            if self.stall_count > handled_stalls:
                handled_stalls = self.stall_count
                on_stall(handled_stalls)
            await self.clock.sleep_ms(self.stall_ms / TICKS_PER_STALL)
