"""Recovery of marks of leaving backend servers before a new entry VM serves."""

import logging

from ..backends import BackendRegistry, MarkPropagator
from ..interfaces import Clock
from ..membership import Membership

logger = logging.getLogger(__name__)

# Delays the start of serving by at most a third of the 3 s in which a drain must take
# effect everywhere.
RECOVERY_TIMEOUT_MS = 1_000
RETRY_INTERVAL_MS = 50


async def recover_marks(
    membership: Membership,
    mark_propagator: MarkPropagator,
    registry: BackendRegistry,
    clock: Clock,
) -> bool:
    """Read the marks of one other entry VM, of any failure domain.

    A drain must outlive the processes that received it. If no entry VM replies in time,
    serving takes precedence and False is returned.
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
    logger.warning("no peer sent its server marks in time; serving starts without them")
    return False
