"""State machine for the lifecycle of this entry VM."""

from collections.abc import Callable

from transitions import Machine

STARTING, READY, LEAVING = "starting", "ready", "leaving"
FINISHING, STOPPED = "finishing", "stopped"


class EntryVmLifecycle:
    """State machine from start to exit; no state is entered twice.

    ``leaving`` still admits requests, because the platform's balancer continues to
    send them for a while after ``/readyz`` returns 503. ``finishing`` refuses new
    requests with ``not_run`` and completes those admitted before.

    Attributes
    ----------
    state : str
        Current state, which heartbeats report to peers.
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
                # A starting entry VM has no configuration and must not admit requests.
                {"trigger": "leave", "source": STARTING, "dest": FINISHING},
                {"trigger": "finish", "source": LEAVING, "dest": FINISHING},
                {"trigger": "stop", "source": FINISHING, "dest": STOPPED},
            ],
        )

    def can_admit_requests(self) -> bool:
        """Return whether new requests of callers and trainers are admitted."""
        return self.state in (READY, LEAVING)

    def is_ready(self) -> bool:
        """Return whether ``/readyz`` reports this entry VM as ready."""
        return self.state == READY

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Register a function that is called with each new state."""
        self.listeners.append(listener)

    def notify(self) -> None:
        """Call all listeners with the new state."""
        for listener in self.listeners:
            listener(self.state)
