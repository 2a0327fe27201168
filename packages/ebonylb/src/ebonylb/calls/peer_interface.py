"""Interface through which calls use the other entry VMs."""

from abc import ABC, abstractmethod

from ..peers.messages import Message


class CallPeers(ABC):
    """Access to other entry VMs; implemented on the peer bus and membership."""

    @abstractmethod
    async def request(
        self, entry_vm: str, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return the reply.

        An implementation may fail early when the entry VM's heartbeats are missing.
        Otherwise a forwarded call waits until its deadline.

        Raises
        ------
        StepError
            The entry VM is unreachable, does not reply or failed.
        """

    @abstractmethod
    def has_incarnation_ended(self, entry_vm: str, incarnation: str) -> bool:
        """Return whether an incarnation is known to have ended.

        Evidence is its absence from the platform's VM list or a newer incarnation of
        the same name, never missing replies or heartbeats.
        """

    @abstractmethod
    def entry_vms(self) -> list[str]:
        """Return the names of all other entry VMs, including unreachable ones."""

    @abstractmethod
    def has_possible_loss_within(self, duration_ms: float) -> bool:
        """Return whether any entry VM may have ended in the last `duration_ms`.

        Also True if this process started within that time, since it cannot know of
        losses before its start.
        """
