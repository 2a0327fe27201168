"""One generation of one slot, with the origin of each of its tokens."""

import asyncio
import logging
from contextlib import aclosing
from dataclasses import dataclass, field

from ..outcomes import Outcome, Refusal, RefusedError, StepError
from ..routing import Chunk, Executor, Work
from .lines import Sample, Segment

logger = logging.getLogger(__name__)

ERROR_RETRY_AFTER_MS = 500


class StaleAttempt:
    """Outcome of an attempt whose first segment is too old to be delivered."""


@dataclass(slots=True, eq=False)
class FinishedSample:
    """A whole sample on its way to the trainer.

    Parameters
    ----------
    oldest : int or None
        Lowest version of its segments; None without tokens.
    accepted : asyncio.Future
        True once it is on the stream, False when it was discarded.
    """

    sample: Sample
    oldest_version: int | None
    accepted: "asyncio.Future[bool]"


@dataclass(slots=True, eq=False)
class Attempt:
    """State of one generation while it runs.

    Parameters
    ----------
    server : str
        Server of the latest chunk; empty before the first.
    """

    slot: int
    work: Work
    text: list[str] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    too_old: bool = False
    server: str = ""
    task: "asyncio.Task[FinishedSample | Refusal | StaleAttempt] | None" = None

    @property
    def oldest_version(self) -> int | None:
        """Lowest version that produced a token so far."""
        return min((segment.version for segment in self.segments), default=None)

    def add(self, chunk: Chunk) -> None:
        """Append a chunk; its version is what the engine reported for it.

        A chunk without text and tokens only tells the server.
        """
        self.server = chunk.server
        if not chunk.tokens and not chunk.text:
            return
        self.text.append(chunk.text)
        last = self.segments[-1] if self.segments else None
        if last and (last.version, last.server) == (chunk.version, chunk.server):
            tokens = last.tokens + chunk.tokens
            self.segments[-1] = Segment(chunk.version, tokens, chunk.server)
        else:
            self.segments.append(Segment(chunk.version, chunk.tokens, chunk.server))

    def check_age(self, min_version: int) -> bool:
        """Mark the attempt when it has become too old; tell whether it has."""
        oldest_version = self.oldest_version
        self.too_old = self.too_old or (
            oldest_version is not None and oldest_version < min_version
        )
        return self.too_old

    def cancel_if_too_old(self, min_version: int) -> None:
        """Stop the generation of a sample that could not be delivered."""
        if self.check_age(min_version) and self.task is not None:
            self.task.cancel()

    def build_sample(self) -> FinishedSample:
        """Return the sample of a stream that ended normally."""
        tokens = sum(segment.tokens for segment in self.segments)
        sample = Sample(self.slot, "".join(self.text), tokens, self.segments)
        accepted = asyncio.get_running_loop().create_future()
        return FinishedSample(sample, self.oldest_version, accepted)

    async def run(self, executor: Executor) -> FinishedSample | Refusal | StaleAttempt:
        """Generate; `cancel_if_too_old` ends it early."""
        try:
            async with aclosing(executor.generate(self.work)) as chunks:
                async for chunk in chunks:
                    self.add(chunk)
                    if self.check_age(self.work.min_version):
                        return StaleAttempt()
        except RefusedError as error:
            return error.refusal
        except StepError as error:
            return Refusal(
                Outcome.MAY_HAVE_RUN, error.step, str(error), ERROR_RETRY_AFTER_MS
            )
        except asyncio.CancelledError:
            if not self.too_old:
                raise
            return StaleAttempt()
        except Exception as error:
            # A slot without an outcome would keep its step open for ever.
            logger.exception("generation of slot %d failed", self.slot)
            return Refusal(
                Outcome.MAY_HAVE_RUN, "internal", repr(error), ERROR_RETRY_AFTER_MS
            )
        return self.build_sample()
