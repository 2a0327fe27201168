"""What a starting entry VM learns of leaving backend servers before it serves."""

import logging

from ..backends import BackendRegistry, MarkPropagator
from ..edges import Clock
from ..membership import Membership

logger = logging.getLogger(__name__)

# Longest delay of serving: a third of the 3 s in which a drain is in force everywhere.
RECOVERY_TIMEOUT_MS = 1_000
RETRY_INTERVAL_MS = 50


async def recover_marks(
    membership: Membership,
    mark_propagator: MarkPropagator,
    registry: BackendRegistry,
    clock: Clock,
) -> bool:
    """Take over the marks of one entry VM of any failure domain.

    A drain must not end with the processes that it was given to. Where no entry VM
    answers in time, serving goes first; returns False then.
    """
    deadline_ms = clock.monotonic_ms() + RECOVERY_TIMEOUT_MS
    while clock.monotonic_ms() < deadline_ms:
        other_entry_vms = [
            name for name in membership.entry_vms() if name != membership.name
        ]
        if not other_entry_vms and not membership.seeds:
            return True
        for peer in membership.ready_peers() or other_entry_vms:
            has_link = membership.ensure_link(peer)
            if has_link and await mark_propagator.pull_marks(
                peer, registry.accept_mark
            ):
                return True
        await clock.sleep_ms(RETRY_INTERVAL_MS)
    logger.warning("marks of backend servers not read before serving")
    return False
