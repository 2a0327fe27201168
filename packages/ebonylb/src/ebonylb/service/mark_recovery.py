"""What a starting entry VM learns of leaving backend servers before it serves."""

import logging

from ..backends import BackendRegistry, MarkPropagator
from ..interfaces import Clock
from ..membership import Membership

logger = logging.getLogger(__name__)

# Longest delay of serving: a third of the 3 s in which a drain is in force everywhere.
MARKS_LIMIT_MS = 1_000
MARKS_RETRY_MS = 50


async def recover_marks(
    membership: Membership,
    marks: MarkPropagator,
    registry: BackendRegistry,
    clock: Clock,
) -> bool:
    """Take over the marks of one entry VM of any failure domain.

    A drain must not end with the processes that it was given to. Where no entry VM
    answers in time, serving goes first; returns False then.
    """
    ends = clock.monotonic_ms() + MARKS_LIMIT_MS
    while clock.monotonic_ms() < ends:
        others = [name for name in membership.entry_vms() if name != membership.name]
        if not others and not membership.seeds:
            return True
        for peer in membership.ready_peers() or others:
            linked = membership.ensure_link(peer)
            if linked and await marks.pull_marks(peer, registry.accept_mark):
                return True
        await clock.sleep_ms(MARKS_RETRY_MS)
    logger.warning("marks of backend servers not read before serving")
    return False
