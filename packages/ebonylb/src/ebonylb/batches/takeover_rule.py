"""Rule for taking a batch over from its holder."""

import math

from xxhash import xxh64_intdigest

from ..storage.follower import TableFollower
from .handover import Handover
from .progress_view import ObservedProgress

# Three heartbeat intervals, so that one slow commit does not move a batch. Not longer,
# since a step is due after 7.5 s and takes 5 to 7 s.
SILENCE_TIMEOUT_MS = 1_500.0
# Entry VMs delay their takeover by different times up to these, so that they do not all
# claim the same batch.
TAKEOVER_JITTER_MS = 400.0
RELEASED_JITTER_MS = 250.0
# Pause after the store did not confirm a holder's silence. Longer than a holder's pause
# between two commits, so that it commits first when the store returns.
UNCONFIRMED_PAUSE_MS = 900.0


class TakeoverRule:
    """Decides when this entry VM should take a batch over.

    Parameters
    ----------
    name, incarnation : str
        Name and incarnation of this entry VM.
    follower : TableFollower
        Keeps the view of all batches current. A holder counts as silent only while the
        follower is healthy.

    Attributes
    ----------
    handovers : dict of str to Handover
        Batches accepted here and assigned to other entry VMs.
    unconfirmed_ms : dict of str to float
        Monotonic time at which the store did not confirm the silence of a batch's
        holder, by batch id.
    """

    def __init__(self, name: str, incarnation: str, follower: TableFollower) -> None:
        self.name = name
        self.incarnation = incarnation
        self.follower = follower
        self.handovers: dict[str, Handover] = {}
        self.unconfirmed_ms: dict[str, float] = {}

    def end_handover(self, batch_id: str) -> None:
        """Stop tracking the handover of a batch that this entry VM handles itself."""
        self.handovers.pop(batch_id, None)

    def forget(self, batch_id: str) -> None:
        """Forget a batch that has ended."""
        self.end_handover(batch_id)
        self.unconfirmed_ms.pop(batch_id, None)

    def jitter_share(self, batch_id: str) -> float:
        """Return this entry VM's share, from 0 to 1, of the jitter for a batch."""
        return xxh64_intdigest(f"{batch_id}/{self.name}".encode()) % 1_000 / 1_000

    def is_due(self, observed: ObservedProgress, now_ms: float) -> bool:
        """Return whether this entry VM should take a batch over now.

        That is the case when a handover is overdue, the holder is silent or has
        restarted, or the batch was released. A finished handover is forgotten.
        """
        progress = observed.progress
        batch_id = progress.header.batch_id
        handover = self.handovers.get(batch_id)
        if handover is not None:
            if handover.check_overdue(observed.stored.version, now_ms):
                return True
            if not handover.started:
                return False
            del self.handovers[batch_id]
        healthy_ms = self.follower.healthy_since_ms
        silent_ms = now_ms - max(
            observed.changed_ms, now_ms if healthy_ms is None else healthy_ms
        )
        if progress.holder == self.name:
            return (
                progress.incarnation != self.incarnation
                or silent_ms > SILENCE_TIMEOUT_MS
            )
        jitter_share = self.jitter_share(batch_id)
        unconfirmed_ms = self.unconfirmed_ms.get(batch_id, -math.inf)
        pause_ms = UNCONFIRMED_PAUSE_MS + jitter_share * TAKEOVER_JITTER_MS
        if now_ms - unconfirmed_ms <= pause_ms:
            return False
        if progress.holder == "":
            return silent_ms > jitter_share * RELEASED_JITTER_MS
        return silent_ms > SILENCE_TIMEOUT_MS + jitter_share * TAKEOVER_JITTER_MS
