"""One backend server as its shard owner uses it."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ..backends.model import BackendServer
from ..crashes import StrikeRegistry
from ..edges import Clock, EngineStatus, ModelEngine, PlainService
from ..outcomes import StepError
from ..scheduling import ServerWindow

if TYPE_CHECKING:
    from .jobs import Attempt

logger = logging.getLogger(__name__)

Probe = Callable[[BackendServer], Awaitable[Result[str, StepError]]]

PROBES = 3  # readings after a broken stream before the cause stays unknown
PROBE_PAUSE_MS = 100


class ServerSlot:
    """Window, running attempts, version and crash detection of one server.

    Parameters
    ----------
    server : BackendServer
        As the registry knows it now.
    client : ModelEngine or PlainService
        Connection to it.
    window : ServerWindow
        Limit of concurrent attempts.
    book : StrikeRegistry
        Gets the strikes of a crash.
    probe : callable or None
        Reads the incarnation of a plain service; None takes the registry's.
    abandon : callable
        Ends an attempt on a crashed server as failed.
    """

    def __init__(
        self,
        server: BackendServer,
        client: ModelEngine | PlainService,
        window: ServerWindow,
        book: StrikeRegistry,
        clock: Clock,
        probe: Probe | None,
        abandon: "Callable[[Attempt], None]",
    ) -> None:
        self.server = server
        self.client = client
        self.window = window
        self.book = book
        self.clock = clock
        self.probe = probe
        self.abandon = abandon
        self.running: set[Attempt] = set()
        self.long_running = 0
        self.assignable = True
        self.ready = False
        self.version = 0
        self.incarnation = ""
        self.examination: asyncio.Task[bool] | None = None
        self.examinations = 0
        self.launched_ms = float("-inf")
        self.chunk_tokens = 1.0  # running mean
        self.crashed_incarnations: set[str] = set()

    @property
    def name(self) -> str:
        """Return the server's name."""
        return self.server.name

    @property
    def is_engine(self) -> bool:
        """Tell engines from plain services."""
        return isinstance(self.client, ModelEngine)

    @property
    def usable(self) -> bool:
        """Tell whether the server may get work at all."""
        return self.ready and self.assignable and self.examination is None

    @property
    def room(self) -> int:
        """Return how many attempts may start now."""
        if not self.usable:
            return 0
        if self.window.slow and not self.window.probe_due(
            self.launched_ms, self.clock.monotonic_ms()
        ):
            return 0
        return max(0, self.window.size - len(self.running))

    @property
    def load(self) -> float:
        """Return the used part of the window."""
        return len(self.running) / self.window.size

    def snapshot(self) -> dict[str, object]:
        """Return the state for status output."""
        return {
            "server": self.name,
            "window": self.window.size,
            "running": len(self.running),
            "long": self.long_running,
            "slow": self.window.slow,
            "gap_ms": self.window.gap_ms,
            "version": self.version,
            "ready": self.ready,
            "crashes": len(self.crashed_incarnations),
        }

    def silences_ms(self) -> list[float]:
        """Return the age of each running attempt's last sign of life.

        Ages are per token of a chunk, like the gaps they are compared with. Half a
        chunk's duration is the usual age, so shorter ones are no sign of a stall.
        """
        now = self.clock.monotonic_ms()
        usual = 2 * (self.window.gap_ms or 0.0)
        ages = [(now - a.last_ms) / self.chunk_tokens for a in self.running]
        return [age for age in ages if age > usual]

    async def read(self) -> Result[EngineStatus | str, StepError]:
        """Read the engine's status, or the incarnation of a plain service."""
        if self.is_engine:
            return await self.client.status()
        if self.probe is not None:
            return await self.probe(self.server)
        return Ok(self.server.incarnation)

    async def poll(self) -> StepError | None:
        """Refresh version and incarnation; return an error to report."""
        settled = self.examinations
        answer = await self.read()
        if isinstance(answer, Err):
            return answer.err_value
        if self.examinations != settled or self.examination is not None:
            return None  # read before a crash; its incarnation may be gone
        state = answer.ok_value
        known = state.incarnation if isinstance(state, EngineStatus) else state
        if self.running and self.incarnation and known != self.incarnation:
            await self.examine()
        else:
            self.incarnation = known
            self.ready = True
        if isinstance(state, EngineStatus):
            self.version = state.version
            if state.draining:
                return StepError("engine.draining", self.name, "is leaving", False)
        return None

    async def examine(self) -> bool:
        """Find out whether the server crashed; record the strikes if it did.

        Attempts whose streams broke together share one examination. Nothing new
        starts meanwhile, so the strikes cover exactly the requests that were there,
        also those whose callers leave before it ends.
        """
        if self.examination is None:
            present = {attempt.job.fingerprint for attempt in self.running}
            self.examination = asyncio.create_task(self.find_crash(present))
        return await asyncio.shield(self.examination)

    async def find_crash(self, fingerprints: set[str]) -> bool:
        """Read the state after a broken stream and settle what it means."""
        try:
            before = self.incarnation
            crashed, now = await self.compare(before, fingerprints)
            if crashed:
                self.crashed_incarnations.add(before)
                self.ready = False
                logger.warning(
                    "server %s crashed with %d requests", self.name, len(fingerprints)
                )
                await self.book.report_crash(f"{self.name}/{before}", fingerprints)
                # An attempt that began during the crash may live on in the next
                # incarnation beside other suspects, so all are started anew.
                for attempt in list(self.running):
                    self.abandon(attempt)
                if now:
                    self.incarnation = now
                    self.ready = True
            return crashed
        finally:
            self.examinations += 1
            self.examination = None

    async def compare(self, before: str, fingerprints: set[str]) -> tuple[bool, str]:
        """Return whether the server crashed, and its incarnation if it answers.

        A server that cannot be read at all counts as crashed only while it runs a
        suspect: two servers per request is a promise, an extra strike is not.
        """
        for _ in range(PROBES):
            answer = await self.read()
            if isinstance(answer, Ok):
                state = answer.ok_value
                now = state.incarnation if isinstance(state, EngineStatus) else state
                return now != before, now
            if not answer.err_value.may_have_run:
                return True, ""
            await self.clock.sleep_ms(PROBE_PAUSE_MS)
        return any(self.book.strikes(known) for known in fingerprints), ""
