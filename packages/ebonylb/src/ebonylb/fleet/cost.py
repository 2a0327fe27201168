"""Cost of a server for a request, in named parts."""

from typing import NamedTuple


class ServerCost(NamedTuple):
    """Parts of a server's cost; their sum is compared with that of other servers.

    For plain requests the unit is a millisecond. For streams on engines it is the
    duration of the stream on an idle engine of the usual speed.

    Attributes
    ----------
    duration : float
        Expected duration on the server when it is idle.
    queue : float
        Wait for a slot.
    load : float
        Delay by the other requests on the server.
    distance : float
        Round trips, and traffic between failure domains.
    failures : float
        Expected cost of a failure.
    group : float
        Negative if the server has processed the prompt of the item's group.
    long_prompt : float
        Wait for pending prompts where long ones are among them, and the item's own.
    """

    duration: float
    queue: float = 0.0
    load: float = 0.0
    distance: float = 0.0
    failures: float = 0.0
    group: float = 0.0
    long_prompt: float = 0.0

    @property
    def total(self) -> float:
        """Sum of all parts."""
        return sum(self)
