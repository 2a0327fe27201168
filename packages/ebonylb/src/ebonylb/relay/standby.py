"""Whether this entry VM leaves the duties that all share to the others."""

from ..fleet import ServerReachability
from .entry_vms import EntryVms

# An entry VM that has heard of a server within this time need not check that it is not
# cut off.
RECENT_ANSWER_MS = 600.0


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
        if not reachability.is_cut_off and not reachability.has_heard_within(
            RECENT_ANSWER_MS
        ):
            await reachability.check()
        return not self.is_active
