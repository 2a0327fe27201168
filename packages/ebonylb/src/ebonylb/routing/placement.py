"""Selection of the server for a job."""

from collections import OrderedDict
from collections.abc import Iterable

from ..crashes import RunRegistry
from ..scheduling import SchedulingParameters
from .jobs import Job
from .server_slot import ServerSlot

MAX_GROUPS = 4_096  # groups whose server is remembered
# After this time without short work, long work may use the whole window: the rest of
# the window is reserved only while short work is likely to arrive.
SHORT_WORK_TIMEOUT_MS = 2_000


class Placement:
    """Selects servers with free capacity for jobs.

    Parameters
    ----------
    parameters : SchedulingParameters
        Limits from the policy.
    runs : RunRegistry
        Rules for concurrent runs of the same or of suspected requests.
    """

    def __init__(self, parameters: SchedulingParameters, runs: RunRegistry) -> None:
        self.parameters = parameters
        self.runs = runs
        self.server_by_group: OrderedDict[str, str] = OrderedDict()
        self.last_short_ms = float("-inf")

    def choose(
        self, job: Job, slots: Iterable[ServerSlot], now_ms: float
    ) -> ServerSlot | None:
        """Return the server for a job, or None if no suitable one has capacity.

        Servers of failed attempts are avoided while there are others.
        """
        allowed = [
            slot
            for slot in slots
            if slot.assignable
            and slot.name not in job.work.exclude
            and slot.version >= job.work.min_version
        ]
        preferred = [slot for slot in allowed if slot.name not in job.failed_servers]
        candidates = [
            slot
            for slot in preferred or allowed
            if slot.free_capacity > 0
            and self.has_room_for_long(job, slot, now_ms)
            and self.runs.can_run(job.fingerprint, slot.name)
        ]
        if not candidates:
            return None
        return self.pick_server(job, candidates, allowed)

    def pick_server(
        self, job: Job, candidates: list[ServerSlot], allowed: list[ServerSlot]
    ) -> ServerSlot:
        """Return the group's server, or the least loaded one if that is overloaded."""
        name = self.server_by_group.get(job.work.group) if job.work.group else None
        if name is not None:
            mean_load = sum(slot.load for slot in allowed) / len(allowed)
            for slot in candidates:
                load_with_job = (len(slot.running) + 1) / slot.window.size
                if slot.name == name and not slot.window.slow:
                    if (
                        load_with_job
                        <= self.parameters.group_imbalance * mean_load
                        + 1 / slot.window.size
                    ):
                        return slot
        return min(candidates, key=lambda slot: (slot.load, slot.window.gap_ms or 0.0))

    def has_room_for_long(self, job: Job, slot: ServerSlot, now_ms: float) -> bool:
        """Return whether the job is short or the server may run more long work."""
        if not job.long or now_ms - self.last_short_ms > SHORT_WORK_TIMEOUT_MS:
            return True
        max_long = max(1, int(self.parameters.long_share * slot.window.size))
        return slot.long_running < max_long

    def remember_group(self, job: Job, slot: ServerSlot) -> None:
        """Remember the server on which a job's group runs."""
        if job.work.group:
            self.server_by_group[job.work.group] = slot.name
            self.server_by_group.move_to_end(job.work.group)
            if len(self.server_by_group) > MAX_GROUPS:
                self.server_by_group.popitem(last=False)

    def is_long_due(self, slots: Iterable[ServerSlot], long_waiting: int) -> bool:
        """Return whether long work waits and has less than its minimum of all runs."""
        if not long_waiting:
            return False
        running = long_running = 0
        for slot in slots:
            running += len(slot.running)
            long_running += slot.long_running
        return long_running < self.parameters.long_floor * (running + 1)
