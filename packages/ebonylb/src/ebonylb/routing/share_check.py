"""Refusal of work whose party has no share in the sheet in force."""

from collections.abc import AsyncIterator
from contextlib import aclosing

from ..configuration import ConfigurationState
from ..interfaces import CallResponse
from ..outcomes import Outcome, Refusal, RefusedError
from .work import Chunk, Executor, Work


class ShareCheck(Executor):
    """Executor that checks the party's share before delegating work to another.

    Calls with a key are checked here, immediately before their dispatch. A check
    before the key is looked up would refuse a call as "not run" although it ran under
    an earlier sheet.

    Parameters
    ----------
    executor : Executor
        Runs the work.
    state : ConfigurationState
        Sheet in force and its shares.
    """

    def __init__(self, executor: Executor, state: ConfigurationState) -> None:
        self.executor = executor
        self.state = state

    def refusal(self, service: str, party: str) -> Refusal | None:
        """Return a refusal if the party has no share of the service, else None."""
        sheet = self.state.sheet
        if service not in sheet.services:
            return Refusal(
                Outcome.NOT_RUN,
                "unknown_service",
                f"the sheet in force has no service {service!r}",
            )
        if self.state.entitled_share(service, party) <= 0:
            return Refusal(
                Outcome.NOT_RUN,
                "no_share",
                f"the sheet in force gives {party!r} no share of {service!r}",
            )
        return None

    def check(self, work: Work) -> None:
        """Raise `RefusedError` for work whose party has no share of its service."""
        if refusal := self.refusal(work.service, work.party):
            raise RefusedError(refusal)

    async def generate(self, work: Work) -> AsyncIterator[Chunk]:
        """Stream a generation; see `Executor.generate`."""
        self.check(work)
        async with aclosing(self.executor.generate(work)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def call(self, work: Work) -> CallResponse:
        """Run a call; see `Executor.call`."""
        self.check(work)
        return await self.executor.call(work)
