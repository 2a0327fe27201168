"""Transactions with lookup of their outcome after an unclear response."""

import random
from collections.abc import Sequence

from result import Err, Ok, Result

from ..interfaces import Check, Clock, Committed, Conflict, TableService, Write
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
    """Apply a transaction and repeat it until its outcome is known.

    A write id takes effect only once, so a transaction whose response was lost is sent
    again with the same write id. If it then conflicts, the write id is looked up,
    because the conflict may be with its own earlier effect.

    Returns
    -------
    Result
        `Committed` or `Conflict`; an error with ``may_have_run=True`` if the outcome
        is still unknown after `timeout_ms`.
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
    """Return `Committed` if the write id took effect earlier, else the conflict."""
    lookup = await tables.find_write(write_id)
    if isinstance(lookup, Err):
        # The lookup itself changed nothing, but the earlier transaction may have run.
        error = lookup.err_value
        return Err(StepError(error.step, error.peer, error.message))
    return Ok(Committed(write_id) if lookup.ok_value else conflict)
