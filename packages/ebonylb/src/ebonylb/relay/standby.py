"""Whether this entry VM leaves the duties that all share to the others."""

from ..fleet import ServerReachability
from ..fleet.reachability import MAX_SILENCE_MS
from .entry_vms import EntryVms


class Standby:
    """Tells whether this entry VM is cut off from all servers while others are not.

    It then runs no batch and orders no weights. Without another entry VM that reaches
    servers it keeps its duties, since nobody could take them.

    Parameters
    ----------
    reachability : ServerReachability
        Whether this entry VM reaches servers.
    entry_vms : EntryVms
        Whether others do.
    """

    def __init__(self, reachability: ServerReachability, entry_vms: EntryVms) -> None:
        self.reachability = reachability
        self.entry_vms = entry_vms

    @property
    def is_active(self) -> bool:
        """Whether the shared duties are left to others now."""
        return self.reachability.is_cut_off and bool(self.entry_vms.helpers())

    def is_cut_off(self, name: str) -> bool:
        """Return whether another entry VM tells that it reaches no server."""
        return self.entry_vms.is_cut_off(name)

    async def can_take_duty(self) -> bool:
        """Return whether this entry VM may take a duty over from another one.

        An entry VM without requests may not have noticed that it is cut off, too.
        """
        reachability = self.reachability
        heard = reachability.has_heard_within(MAX_SILENCE_MS)
        if not heard and not reachability.is_cut_off:
            await reachability.check()
        return not self.is_active
