"""Pace of the trainers: which of them wait for their steps."""

from ..interfaces import Clock
from ..interfaces.server_client import ModelVersion
from .model import BatchHeader

# A trainer that submits a step this soon after it has named a version did not wait for
# its schedule but for that version.
WAITED_FOR_VERSION_MS = 400.0
# The steps of such a trainer count as due this much earlier. Less than the time between
# two steps, so that the step of another trainer is not overtaken by a whole one.
LEAD_MS = 2_000.0


class TrainerPace:
    """Finds the trainers on whose steps the next step waits.

    A trainer names a version when it has trained on a step, and asks for a further step
    at its scheduled time, or when that version is named if this is later. Each moment
    that the steps of a late trainer take longer delays all its later ones, while a step
    that is ready before its trainer wants the next one gains nothing.

    The same rule holds for all customers. It follows from what a trainer was kept
    waiting for and not from how much it asks for.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.newest: dict[str, int] = {}
        self.named_ms: dict[str, float] = {}

    def record_version(self, named: ModelVersion) -> None:
        """Record that a trainer has named a version of its model.

        The first version seen says nothing: it may have been named long ago.
        """
        known = self.newest.get(named.model)
        if known is not None and named.version <= known:
            return
        self.newest[named.model] = named.version
        if known is not None:
            self.named_ms[named.model] = self.clock.monotonic_ms()

    def lead_ms(self, header: BatchHeader, submitted_ms: float) -> float:
        """Return how much earlier than its deadline a batch should count as due.

        Parameters
        ----------
        header : BatchHeader
            Batch of a training step, or any other.
        submitted_ms : float
            Monotonic time of its submission.
        """
        named_ms = self.named_ms.get(header.model)
        if named_ms is None or header.step < 0:
            return 0.0
        return LEAD_MS if submitted_ms - named_ms <= WAITED_FOR_VERSION_MS else 0.0
