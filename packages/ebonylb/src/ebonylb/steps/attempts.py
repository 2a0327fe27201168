"""Generation attempts of a slot; each token keeps its weight version and server."""

import asyncio
import logging
from contextlib import aclosing
from dataclasses import dataclass, field

from ..outcomes import Outcome, Refusal, RefusedError, StepError
from ..routing import Chunk, Executor, Work
from .stream_lines import Sample, Segment

logger = logging.getLogger(__name__)

ERROR_RETRY_AFTER_MS = 500


class StaleAttempt:
    """Outcome of an attempt whose oldest segment is too old to be delivered."""


@dataclass(slots=True, eq=False)
class FinishedSample:
    """A finished sample that waits for its delivery to the trainer.

    Parameters
    ----------
    sample : Sample
        Line of the stream.
    oldest_version : int or None
        Lowest weight version of its segments; None if it has no tokens.
    accepted : asyncio.Future
        True once the sample is yielded to the stream, False if it was discarded.
    """

    sample: Sample
    oldest_version: int | None
    accepted: "asyncio.Future[bool]"


@dataclass(slots=True, eq=False)
class Attempt:
    """State of one running generation.

    Parameters
    ----------
    server : str
        Server of the latest chunk; empty before the first chunk.
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
        """Lowest weight version that has produced a token so far."""
        return min((segment.version for segment in self.segments), default=None)

    def add(self, chunk: Chunk) -> None:
        """Append a chunk with the weight version that the engine reported for it.

        A chunk without text and tokens only reports which server was chosen.
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
        """Mark the attempt if it is too old; return whether it is."""
        oldest_version = self.oldest_version
        self.too_old = self.too_old or (
            oldest_version is not None and oldest_version < min_version
        )
        return self.too_old

    def cancel_if_too_old(self, min_version: int) -> None:
        """Cancel the generation of a sample that is too old to be delivered."""
        if self.check_age(min_version) and self.task is not None:
            self.task.cancel()

    def build_sample(self) -> FinishedSample:
        """Return the sample of a generation that ended normally."""
        tokens = sum(segment.tokens for segment in self.segments)
        sample = Sample(self.slot, "".join(self.text), tokens, self.segments)
        accepted = asyncio.get_running_loop().create_future()
        return FinishedSample(sample, self.oldest_version, accepted)

    async def run(self, executor: Executor) -> FinishedSample | Refusal | StaleAttempt:
        """Run the generation; `cancel_if_too_old` ends it with `StaleAttempt`."""
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
            # A slot without an outcome would keep its step open forever.
            logger.exception("generation of slot %d failed", self.slot)
            return Refusal(
                Outcome.MAY_HAVE_RUN, "internal", repr(error), ERROR_RETRY_AFTER_MS
            )
        return self.build_sample()
