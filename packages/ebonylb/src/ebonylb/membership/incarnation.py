"""Incarnation identifiers of entry VMs, which sort by start time."""

import secrets

from ..interfaces import Clock

ORDER_DIGITS = 12  # Unix time in milliseconds, hexadecimal; lasts until year 10889
SUFFIX_DIGITS = 8  # random part, which identifies the incarnation in delta heartbeats


def new_incarnation(clock: Clock, above: str = "") -> str:
    """Return an incarnation that sorts after earlier ones of the same name.

    The wall clock alone does not guarantee the order. A VM whose clock is behind
    learns of the higher incarnation from its peers during startup, and then passes
    it as `above`.

    Parameters
    ----------
    clock : Clock
        Source of time.
    above : str
        Incarnation that the new one must exceed; empty for none.
    """
    order = clock.wall_ms()
    if above:
        order = max(order, int(above[:ORDER_DIGITS], 16) + 1)
    return f"{order:0{ORDER_DIGITS}x}{secrets.token_hex(SUFFIX_DIGITS // 2)}"
