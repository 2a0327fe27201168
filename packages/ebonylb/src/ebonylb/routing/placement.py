"""Choice of a server for the next job."""

from collections import OrderedDict
from collections.abc import Iterable

from ..crashes import RunRegistry
from ..scheduling import SchedulingParameters
from .jobs import Job
from .server_slot import ServerSlot

MAX_GROUPS = 4_096  # groups whose server is remembered
# Long work may use all of a window after this time without short work; its share
# is kept free only for short work that is likely to come.
SHORT_WORK_TIMEOUT_MS = 2_000


class Placement:
    """Places jobs on servers with room.

    Parameters
    ----------
    parameters : SchedulingParameters
        Limits of the policy.
    runs : RunRegistry
        Limits on suspected requests.
    """

    def __init__(self, parameters: SchedulingParameters, runs: RunRegistry) -> None:
        self.parameters = parameters
        self.runs = runs
        self.server_by_group: OrderedDict[str, str] = OrderedDict()
        self.last_short_ms = float("-inf")

    def choose(
        self, job: Job, slots: Iterable[ServerSlot], now_ms: float
    ) -> ServerSlot | None:
        """Return the server for a job, or None while there is no suitable room.

        Servers of failed attempts are avoided as long as there is another.
        """
        allowed = [
            slot
            for slot in slots
            if slot.assignable
            and slot.name not in job.work.exclude
            and slot.version >= job.work.min_version
        ]
        preferred = [slot for slot in allowed if slot.name not in job.failed_servers]
        free = [
            slot
            for slot in preferred or allowed
            if slot.free_capacity > 0
            and self.has_room_for_long(job, slot, now_ms)
            and self.runs.may_run(job.fingerprint, slot.name)
        ]
        if not free:
            return None
        return self.pick_server(job, free, allowed)

    def pick_server(
        self, job: Job, free: list[ServerSlot], allowed: list[ServerSlot]
    ) -> ServerSlot:
        """Return the group's server unless it is overloaded, else the least loaded."""
        name = self.server_by_group.get(job.work.group) if job.work.group else None
        if name is not None:
            mean_load = sum(slot.load for slot in allowed) / len(allowed)
            for slot in free:
                load_with_job = (len(slot.running) + 1) / slot.window.size
                if slot.name == name and not slot.window.slow:
                    if (
                        load_with_job
                        <= self.parameters.group_imbalance * mean_load
                        + 1 / slot.window.size
                    ):
                        return slot
        return min(free, key=lambda slot: (slot.load, slot.window.gap_ms or 0.0))

    def has_room_for_long(self, job: Job, slot: ServerSlot, now_ms: float) -> bool:
        """Tell whether a server's share for long work has room."""
        if not job.long or now_ms - self.last_short_ms > SHORT_WORK_TIMEOUT_MS:
            return True
        max_long = max(1, int(self.parameters.long_share * slot.window.size))
        return slot.long_running < max_long

    def remember_group(self, job: Job, slot: ServerSlot) -> None:
        """Remember the server of a group."""
        if job.work.group:
            self.server_by_group[job.work.group] = slot.name
            self.server_by_group.move_to_end(job.work.group)
            if len(self.server_by_group) > MAX_GROUPS:
                self.server_by_group.popitem(last=False)

    def is_long_due(self, slots: Iterable[ServerSlot], long_waiting: int) -> bool:
        """Tell whether waiting long work holds less than its floor of the slots."""
        if not long_waiting:
            return False
        running = long_running = 0
        for slot in slots:
            running += len(slot.running)
            long_running += slot.long_running
        return long_running < self.parameters.long_floor * (running + 1)
