"""Interface for limits on what this entry VM may send to servers."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from .model import ListedServer


class SendingLimits(ABC):
    """Decides whether a server may be sent another request now.

    Whoever chooses a server calls `reserve` before the next ``await``, so that
    concurrent senders never use one allowance twice.
    """

    @property
    @abstractmethod
    def in_force(self) -> bool:
        """Whether any server has a limit."""

    @abstractmethod
    def can_send(self, server: ListedServer) -> bool:
        """Return whether a request may be sent to a server now."""

    @abstractmethod
    def would_accept(self, server: ListedServer) -> bool:
        """Return what `can_send` would return, without a change of any state."""

    @abstractmethod
    def reserve(self, server: ListedServer) -> None:
        """Count a request that is about to be sent to a server."""

    @abstractmethod
    def record_unmet(self, service: str) -> None:
        """Record a request that no server of a service may be sent now."""

    @abstractmethod
    def record_waiting(self, waiting: Mapping[str, int]) -> None:
        """Record how many requests wait for a server, by service."""

    @abstractmethod
    def retry_after_ms(self, service: str) -> float:
        """Return the average time between two requests that a service accepts."""


class NoSendingLimits(SendingLimits):
    """Servers without limits."""

    @property
    def in_force(self) -> bool:
        """Whether any server has a limit."""
        return False

    def can_send(self, server: ListedServer) -> bool:
        """Return whether a request may be sent to a server now."""
        return True

    def would_accept(self, server: ListedServer) -> bool:
        """Return whether a request may be sent to a server now."""
        return True

    def reserve(self, server: ListedServer) -> None:
        """Count a request that is about to be sent to a server."""

    def record_unmet(self, service: str) -> None:
        """Record a request that no server of a service may be sent now."""

    def record_waiting(self, waiting: Mapping[str, int]) -> None:
        """Record how many requests wait for a server, by service."""

    def retry_after_ms(self, service: str) -> float:
        """Return the average time between two requests that a service accepts."""
        return 0.0
