"""Interface through which steps use the other entry VMs."""

from abc import ABC, abstractmethod

from ..peers.messages import Message


class StepPeers(ABC):
    """Access to other entry VMs; implemented on the peer bus and membership."""

    @abstractmethod
    async def request(
        self, entry_vm: str, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return the reply.

        Raises
        ------
        StepError
            The entry VM is unreachable, does not reply or failed.
        """

    @abstractmethod
    def entry_vms(self) -> list[str]:
        """Return all other entry VMs that may be alive, in all failure domains.

        An entry VM leaves this list only when its incarnation is known to have ended,
        by the platform's VM list or a newer incarnation, never by missing replies.
        """
