"""Choice of the entry VM that should run a batch."""

from collections import Counter
from collections.abc import Iterable

from ..interfaces import Clock
from ..relay import Standby
from ..routes import RouteTable
from .batch_memory import BatchMemory, memory_of
from .model import BatchHeader
from .progress_view import BatchProgressView, ObservedProgress

# A holder counts as alive if its last commit is not older: two heartbeat intervals.
ALIVE_TIMEOUT_MS = 1_000.0
# Unfinished items that one entry VM should hold for all routes together: 200 streams
# with an event every 40 ms take about half a core.
MAX_OPEN_ITEMS = 200
NO_HOLDER = ("", "")


class HolderChoice:
    """Chooses the holder of a new batch.

    Parameters
    ----------
    name, incarnation : str
        Name and incarnation of this entry VM.
    progress_view : BatchProgressView
        Progress of all batches.
    standby : Standby
        Which entry VMs reach servers.
    memory : BatchMemory
        Which batches have room here. The other entry VMs have as much memory.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        routes: RouteTable,
        progress_view: BatchProgressView,
        clock: Clock,
        standby: Standby,
        memory: BatchMemory,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.routes = routes
        self.progress_view = progress_view
        self.clock = clock
        self.standby = standby
        self.memory = memory

    def choose_holder(self, header: BatchHeader) -> tuple[str, str] | None:
        """Return the name and incarnation of the entry VM that should run a new batch.

        Batches of one service stay with one entry VM while it is alive: it has
        connections to the servers, observes the speed of each of them, and starts the
        longest items of all batches first. If that is too much work for one entry VM,
        at least the batches of each route stay together. Without a holder, any entry
        VM that reaches servers claims the batch. None if there is no room for it.
        """
        now = self.clock.monotonic_ms()
        service = self.service_of(header.route)
        size = memory_of(header)
        open_items: Counter[str] = Counter()
        open_bytes: Counter[str] = Counter()
        alive: list[ObservedProgress] = []
        for observed in self.progress_view.by_batch_id.values():
            progress = observed.progress
            if not progress.ended:
                open_items[progress.holder] += progress.header.total - progress.listed
                open_bytes[progress.holder] += memory_of(progress.header)
            if (
                progress.holder
                and now - observed.changed_ms <= ALIVE_TIMEOUT_MS
                and not self.is_cut_off(progress.holder)
            ):
                alive.append(observed)
        alive.sort(key=lambda observed: observed.stored.version, reverse=True)
        for observed in alive:
            progress = observed.progress
            same_route = progress.header.route == header.route
            same_service = self.service_of(progress.header.route) == service
            fits_limit = open_items[progress.holder] + header.total <= MAX_OPEN_ITEMS
            has_room = self.memory.has_room_beside(open_bytes[progress.holder], size)
            if same_service and (same_route or fits_limit) and has_room:
                return progress.holder, progress.incarnation
        if self.standby.is_active:
            return NO_HOLDER
        if not self.memory.may_accept(size):
            return None
        return self.name, self.incarnation

    def is_cut_off(self, holder: str) -> bool:
        """Return whether a holder leaves its batches to others."""
        if holder == self.name:
            return self.standby.is_active
        return self.standby.is_cut_off(holder)

    def service_of(self, route_name: str) -> str | None:
        """Return the service that runs a route's batches."""
        route = self.routes.find_by_name(route_name)
        return route.targets[0].service if route else None

    def has_capacity(self, observed: ObservedProgress, own_ids: Iterable[str]) -> bool:
        """Return whether this entry VM can hold another batch within `MAX_OPEN_ITEMS`.

        A single batch always fits. An entry VM that restarts may find that it held the
        batches of all trainers. Reading them all took a small entry VM over three
        seconds, while the others were idle.

        Parameters
        ----------
        own_ids : iterable of str
            Batches that this entry VM runs or claims.
        """
        own_batches = [
            self.progress_view.by_batch_id[batch_id].progress
            for batch_id in own_ids
            if batch_id in self.progress_view.by_batch_id
        ]
        open_items = sum(p.header.total - p.listed for p in own_batches)
        remaining_items = observed.progress.header.total - observed.progress.listed
        return not own_batches or open_items + remaining_items <= MAX_OPEN_ITEMS
