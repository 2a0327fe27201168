"""What the calls need to know of the other entry VMs."""

from abc import ABC, abstractmethod

from ..peers.messages import Message


class CallPeers(ABC):
    """Access to other entry VMs; the service wires it to the bus and membership."""

    @abstractmethod
    async def request(
        self, entry_vm: str, message: Message, timeout_ms: float
    ) -> Message:
        """Send a message and return its answer.

        An implementation may fail early when membership misses the entry VM's
        heartbeats; a forwarded call otherwise waits for its whole deadline.

        Raises
        ------
        StepError
            The entry VM is unreachable, silent or failed.
        """

    @abstractmethod
    def has_incarnation_ended(self, entry_vm: str, incarnation: str) -> bool:
        """Tell whether an incarnation has surely ended.

        True only from the platform's VM list without it, or from a newer
        incarnation of the same name; never from silence.
        """

    @abstractmethod
    def entry_vms(self) -> list[str]:
        """Return the names of all other entry VMs, reachable or not."""

    @abstractmethod
    def has_possible_loss_within(self, duration_ms: float) -> bool:
        """Tell whether any entry VM may have ended in the last `duration_ms`.

        Also True while this process itself is younger than that, since it cannot
        know of earlier losses.
        """
