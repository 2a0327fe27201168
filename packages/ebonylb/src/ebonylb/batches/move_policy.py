"""Rule for moving a run to another server."""

from dataclasses import replace

from ..fleet import ListedServer
from .placement import SLOW_FACTOR, ItemPlacement, ItemRequirements

# A long run moves from a server disturbed by the first factor to one below the second:
# a step takes as long as its longest item, and disturbances would add a fifth to it.
DISTURBED_FACTOR = 1.7
UNDISTURBED_FACTOR = 1.25
# Engines of one service differ in speed. A run moves from one that is slower than the
# median by this factor if it gains more than the minimum: a move takes 150 to 190 ms.
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
        self, server: ListedServer, need: ItemRequirements, is_long: bool = False
    ) -> bool:
        """Return whether a run would end enough sooner on another server.

        Only the long items of a step decide when it is whole. Such an item also leaves
        a server that is disturbed for a moment, or steadily slower than another one;
        for the others, a move costs a prompt and a connection and gains nobody
        anything.

        Parameters
        ----------
        is_long : bool
            Whether the item is known to be one of the longest.
        """
        now = self.clock.monotonic_ms()
        median_gap_ms = self.selector.median_gap_ms(need.service)
        condition = self.directory.condition(server.name)
        gap_ms = condition.expected_gap_ms(median_gap_ms, now)
        is_slow = gap_ms > SLOW_FACTOR * median_gap_ms
        is_disturbed = condition.recent_slowness(median_gap_ms, now) > DISTURBED_FACTOR
        if not is_slow:
            if not is_disturbed and gap_ms <= SLOWER_FACTOR * median_gap_ms:
                return False
            share = self.placement.length_share(need, median_gap_ms)
            if not is_long and share < 1.0:
                return False
        other = self.find_target(server, need, median_gap_ms)
        if other is None:
            return False
        other_condition = self.directory.condition(other.name)
        if other_condition.recent_slowness(median_gap_ms, now) >= UNDISTURBED_FACTOR:
            return False
        cost_ms = self.placement.prompt_load.move_cost_ms(other, need, median_gap_ms)
        if is_disturbed and not is_slow:
            gain_ms = need.remaining_events * median_gap_ms
        else:
            other_gap_ms = other_condition.expected_gap_ms(median_gap_ms, now)
            gain_ms = need.remaining_events * (gap_ms - other_gap_ms)
        return gain_ms - cost_ms > MIN_MOVE_GAIN_MS

    def find_target(
        self, server: ListedServer, need: ItemRequirements, median_gap_ms: float
    ) -> ListedServer | None:
        """Return the server that a run may move to, or None.

        One with recent events is known to be fast. Another one may be disturbed or
        slowed down itself, and is used only if it was not slower when it was last seen.
        """
        elsewhere = replace(need, avoid=server.name)
        observed = self.placement.choose(elsewhere, observed_only=True)
        if observed is not None:
            return observed
        other = self.placement.choose(elsewhere)
        if other is None or self.directory.condition(other.name).was_slow(
            median_gap_ms, SLOWER_FACTOR
        ):
            return None
        return other
