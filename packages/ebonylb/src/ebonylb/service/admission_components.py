"""Components that admit plain requests while servers lack room."""

from collections.abc import Callable, Coroutine
from typing import Any

from ..admission import FairAdmission, LoadRows
from ..admission.load_rows import TABLE
from ..routes import RouteTable
from ..storage.follower import TableFollower
from ..storage.store_time import StoreTime
from .site_dependencies import SiteDependencies

# Rows change twice a second while servers lack room, and else never.
FEED_PAUSE_MS = 250.0
FEED_WAIT_MS = 10_000


class AdmissionComponents:
    """Admission of plain requests, and what it shares with other entry VMs.

    Attributes
    ----------
    admission : FairAdmission
        Decides about requests.
    load_rows : LoadRows
        Loads of customers at other entry VMs.
    """

    def __init__(
        self,
        name: str,
        dependencies: SiteDependencies,
        routes: RouteTable,
        store_time: StoreTime,
    ) -> None:
        clock = dependencies.clock
        self.load_rows = LoadRows(
            name, dependencies.store, clock, store_time, lambda: self.admission.is_on
        )
        self.load_rows.follower = TableFollower(
            dependencies.store,
            clock,
            TABLE,
            self.load_rows,
            store_time,
            lambda: FEED_PAUSE_MS,
            wait_ms=FEED_WAIT_MS,
        )
        self.admission = FairAdmission(
            routes, clock, dependencies.metrics, self.load_rows
        )
        self.load_rows.own_loads = self.admission.told_loads
        self.load_rows.lacking_room = self.admission.lacking_room

    def background_tasks(self) -> dict[str, Callable[[], Coroutine[Any, Any, None]]]:
        """Return the functions that run until the process ends, by name."""
        return {
            f"follow {TABLE}": self.load_rows.follow,
            "customer loads": self.load_rows.run,
        }
