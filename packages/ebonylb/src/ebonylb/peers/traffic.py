"""Counters of messages between peers, for capacity planning."""

from .messages import Message


class Traffic:
    """Number of messages and payload bytes by message type since startup.

    Counting takes two dictionary updates per message, less than a microsecond. Only
    the encoded message is counted, without framing and encryption.
    """

    def __init__(self) -> None:
        self.sent: dict[str, list[int]] = {}
        self.received: dict[str, list[int]] = {}

    def count_sent(self, message: Message, size_bytes: int) -> None:
        """Count a message before it is sent."""
        add_message(self.sent, message, size_bytes)

    def count_received(self, message: Message, size_bytes: int) -> None:
        """Count a received message."""
        add_message(self.received, message, size_bytes)


def add_message(
    totals: dict[str, list[int]], message: Message, size_bytes: int
) -> None:
    """Add a message and its size to the totals of its type."""
    entry = totals.setdefault(type(message).__name__, [0, 0])
    entry[0] += 1
    entry[1] += size_bytes
