"""Transactions whose outcome is always known in the end."""

import random
from collections.abc import Sequence

from result import Err, Ok, Result

from ..edges import Check, Clock, Committed, Conflict, TableService, Write
from ..outcomes import StepError

INITIAL_PAUSE_MS = 50
MAX_PAUSE_MS = 2_000


async def transact_settled(
    tables: TableService,
    clock: Clock,
    write_id: str,
    checks: Sequence[Check],
    writes: Sequence[Write],
    timeout_ms: float,
) -> Result[Committed | Conflict, StepError]:
    """Apply a transaction and settle an unclear answer through its write id.

    The same write id takes effect once, so an unclear transaction is looked up
    and, when it is not found, sent again.

    Returns
    -------
    Result
        `Committed` or `Conflict`; an error with ``may_have_run=True`` when the
        outcome was still unknown after `timeout_ms`.
    """
    deadline_ms = clock.monotonic_ms() + timeout_ms
    pause_ms = INITIAL_PAUSE_MS
    unclear = False
    while True:
        response = await tables.transact(write_id, checks, writes)
        if isinstance(response, Ok):
            outcome = response.ok_value
            if unclear and isinstance(outcome, Conflict):
                return await resolve_conflict(tables, write_id, outcome)
            return response
        unclear = unclear or response.err_value.may_have_run
        if clock.monotonic_ms() + pause_ms >= deadline_ms:
            error = response.err_value
            return Err(StepError(error.step, error.peer, error.message, unclear))
        await clock.sleep_ms(pause_ms * random.uniform(0.5, 1.0))
        pause_ms = min(pause_ms * 2, MAX_PAUSE_MS)


async def resolve_conflict(
    tables: TableService, write_id: str, conflict: Conflict
) -> Result[Committed | Conflict, StepError]:
    """Tell an earlier effect of the same write from a true conflict."""
    lookup = await tables.find_write(write_id)
    if isinstance(lookup, Err):
        # The look-up itself ran nothing, but the earlier transaction may have.
        error = lookup.err_value
        return Err(StepError(error.step, error.peer, error.message))
    return Ok(Committed(write_id) if lookup.ok_value else conflict)
