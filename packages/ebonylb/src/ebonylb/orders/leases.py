"""Leases for sending orders to servers, one for each group of servers."""

from xxhash import xxh64_intdigest

from ..leases.table import LeaseTable, ObservedLease, SendPermit

# The loss of a holder stalls each of its groups for a lease term, so that many small
# groups are better. Two transactions can still write the rows of all 64.
GROUPS = 64


def group_of(server: str) -> str:
    """Return the group of a server; each group has one row and one holder."""
    return f"group-{xxh64_intdigest(server.encode()) % GROUPS:02d}"


class OrderLeases:
    """Leases to order servers; the subject of a server is its group.

    All entry VMs claim a new group at about the same time; leases of groups rather than
    single servers bound the number of these writes.

    Parameters
    ----------
    table : LeaseTable
        Leases of all subjects.
    """

    def __init__(self, table: LeaseTable) -> None:
        self.table = table

    @property
    def observed_leases(self) -> dict[str, ObservedLease]:
        """Leases of all subjects, those of other uses included."""
        return self.table.observed_leases

    def can_claim(self, server: str) -> bool:
        """Return whether this entry VM may write the row of a server's group now."""
        return self.table.can_claim(group_of(server))

    def claimable_for_ms(self, server: str) -> float:
        """Return how long ago the lease of a server's group became claimable."""
        return self.table.claimable_for_ms(group_of(server))

    def is_holder(self, server: str) -> bool:
        """Return whether this entry VM is the holder of a server's group."""
        return self.table.is_holder(group_of(server))

    def holder_of(self, server: str) -> str:
        """Return the holder of a server's group; empty if there is none."""
        return self.table.holder_of(group_of(server))

    def has_lease(self, server: str) -> bool:
        """Return whether a server's group has a lease row, current or expired."""
        return self.table.has_lease(group_of(server))

    async def request_permit(self, server: str) -> SendPermit | None:
        """Write the row of a server's group and return a permit to send one order."""
        return await self.table.request_permit(group_of(server))

    def is_valid(self, permit: SendPermit) -> bool:
        """Return whether an order may still be sent; ask this right before sending."""
        return self.table.is_valid(permit)
