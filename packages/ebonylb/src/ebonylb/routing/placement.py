"""Choice of a server for the next job."""

from collections import OrderedDict
from collections.abc import Iterable

from ..crashes import RunRegistry
from ..scheduling import PolicyKnobs
from .jobs import Job
from .server_slot import ServerSlot

GROUP_CAPACITY = 4_096  # groups whose server is remembered
# Long work may use all of a window after this time without short work; its share
# is kept free only for short work that is likely to come.
SHORT_MEMORY_MS = 2_000


class Placement:
    """Places jobs on servers with room.

    Parameters
    ----------
    knobs : PolicyKnobs
        Limits of the policy.
    runs : RunRegistry
        Limits on suspected requests.
    """

    def __init__(self, knobs: PolicyKnobs, runs: RunRegistry) -> None:
        self.knobs = knobs
        self.runs = runs
        self.group_server: OrderedDict[str, str] = OrderedDict()
        self.short_seen_ms = float("-inf")

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
        preferred = [slot for slot in allowed if slot.name not in job.avoid]
        free = [
            slot
            for slot in preferred or allowed
            if slot.room > 0
            and self.may_hold(job, slot, now_ms)
            and self.runs.can_run(job.fingerprint, slot.name)
        ]
        if not free:
            return None
        return self.pick(job, free, allowed)

    def pick(
        self, job: Job, free: list[ServerSlot], allowed: list[ServerSlot]
    ) -> ServerSlot:
        """Return the group's server unless it is overloaded, else the least loaded."""
        name = self.group_server.get(job.work.group) if job.work.group else None
        if name is not None:
            mean = sum(slot.load for slot in allowed) / len(allowed)
            for slot in free:
                ahead = (len(slot.running) + 1) / slot.window.size
                if slot.name == name and not slot.window.slow:
                    if (
                        ahead
                        <= self.knobs.group_imbalance * mean + 1 / slot.window.size
                    ):
                        return slot
        return min(free, key=lambda slot: (slot.load, slot.window.gap_ms or 0.0))

    def may_hold(self, job: Job, slot: ServerSlot, now_ms: float) -> bool:
        """Tell whether a server's share for long work has room."""
        if not job.long or now_ms - self.short_seen_ms > SHORT_MEMORY_MS:
            return True
        most = max(1, int(self.knobs.long_share * slot.window.size))
        return slot.long_running < most

    def placed(self, job: Job, slot: ServerSlot) -> None:
        """Remember the server of a group."""
        if job.work.group:
            self.group_server[job.work.group] = slot.name
            self.group_server.move_to_end(job.work.group)
            if len(self.group_server) > GROUP_CAPACITY:
                self.group_server.popitem(last=False)

    def long_is_due(self, slots: Iterable[ServerSlot], long_waiting: int) -> bool:
        """Tell whether waiting long work holds less than its floor of the slots."""
        if not long_waiting:
            return False
        running = long_running = 0
        for slot in slots:
            running += len(slot.running)
            long_running += slot.long_running
        return long_running < self.knobs.long_floor * (running + 1)
