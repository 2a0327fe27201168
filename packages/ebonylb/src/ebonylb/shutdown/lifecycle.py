"""Lifecycle of this entry VM."""

from collections.abc import Callable

from transitions import Machine

STARTING, READY, LEAVING = "starting", "ready", "leaving"
FINISHING, STOPPED = "finishing", "stopped"


class EntryVmLifecycle:
    """States from start to exit; they only move forward.

    ``leaving`` still admits requests, since the platform's balancer goes on
    sending them for a while after ``/readyz`` answers 503. ``finishing`` refuses
    new requests with ``not_run`` and completes those admitted before.

    Attributes
    ----------
    state : str
        Current state; peers learn it from heartbeats.
    """

    state: str

    def __init__(self) -> None:
        self.listeners: list[Callable[[str], None]] = []
        self.machine = Machine(
            model=self,
            states=[STARTING, READY, LEAVING, FINISHING, STOPPED],
            initial=STARTING,
            auto_transitions=False,
            after_state_change="notify",
            transitions=[
                {"trigger": "become_ready", "source": STARTING, "dest": READY},
                {"trigger": "leave", "source": READY, "dest": LEAVING},
                # It has no configuration yet and must not admit anything.
                {"trigger": "leave", "source": STARTING, "dest": FINISHING},
                {"trigger": "finish", "source": LEAVING, "dest": FINISHING},
                {"trigger": "stop", "source": FINISHING, "dest": STOPPED},
            ],
        )

    def can_admit_requests(self) -> bool:
        """Tell whether new requests from callers and trainers are taken."""
        return self.state in (READY, LEAVING)

    def is_ready(self) -> bool:
        """Tell what ``/readyz`` answers."""
        return self.state == READY

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call a function with each new state."""
        self.listeners.append(listener)

    def notify(self) -> None:
        """Report the new state."""
        for listener in self.listeners:
            listener(self.state)
