"""Rule for moving a run to another server."""

from dataclasses import replace

from ..fleet import ListedServer
from .placement import SLOW_FACTOR, ItemPlacement, ItemRequirements

# A long run moves from a server disturbed by the first factor to one below the second:
# a step takes as long as its longest item, and disturbances would add a fifth to it.
DISTURBED_FACTOR = 1.7
UNDISTURBED_FACTOR = 1.25
# Engines of one service differ in speed. A run moves from one that is slower than the
# median by this factor if it gains more than the minimum, which is several times the
# cost of a move.
SLOWER_FACTOR = 1.1
MIN_MOVE_GAIN_MS = 250.0


class MovePolicy:
    """Decides when a run moves from a slow server to a faster one.

    Parameters
    ----------
    placement : ItemPlacement
        Finds the server that a run could move to.
    """

    def __init__(self, placement: ItemPlacement) -> None:
        self.placement = placement
        self.directory = placement.directory
        self.selector = placement.selector
        self.clock = placement.clock

    def should_move(
        self, server: ListedServer, need: ItemRequirements, long: bool = False
    ) -> bool:
        """Return whether a run would end sooner on another server.

        A long run also moves away from a server that is only temporarily disturbed, or
        that is steadily slower than another one.
        """
        now = self.clock.monotonic_ms()
        median_gap_ms = self.selector.median_gap_ms(need.service)
        condition = self.directory.condition(server.name)
        gap_ms = condition.expected_gap_ms(median_gap_ms, now)
        slow = gap_ms > SLOW_FACTOR * median_gap_ms
        disturbed = (
            long and condition.recent_slowness(median_gap_ms, now) > DISTURBED_FACTOR
        )
        slower = gap_ms > SLOWER_FACTOR * median_gap_ms
        if not slow and not disturbed and not slower:
            return False
        other = self.placement.choose(replace(need, avoid=server.name))
        if other is None:
            return False
        other_condition = self.directory.condition(other.name)
        if slow:
            return True
        if other_condition.recent_slowness(median_gap_ms, now) >= UNDISTURBED_FACTOR:
            return False
        other_gap_ms = other_condition.expected_gap_ms(median_gap_ms, now)
        gain_ms = need.remaining_events * (gap_ms - other_gap_ms)
        return disturbed or gain_ms > MIN_MOVE_GAIN_MS
