"""State of one backend server at its shard owner, with crash detection."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ..backends.model import BackendServer
from ..crashes import StrikeRegistry
from ..interfaces import Clock, EngineStatus, ModelEngine, PlainService
from ..outcomes import StepError
from ..scheduling import ServerWindow

if TYPE_CHECKING:
    from .jobs import Attempt

logger = logging.getLogger(__name__)

IncarnationProbe = Callable[[BackendServer], Awaitable[Result[str, StepError]]]

MAX_STATE_READS = 3  # after a broken stream, until the cause counts as unknown
STATE_READ_INTERVAL_MS = 100


class ServerSlot:
    """Window, running attempts, version and crash detection of one server.

    Parameters
    ----------
    server : BackendServer
        Current entry of the registry.
    client : ModelEngine or PlainService
        Client of the server.
    window : ServerWindow
        Limit of concurrent attempts.
    strike_registry : StrikeRegistry
        Records the strikes of a crash.
    clock : Clock
        Time source.
    probe : callable or None
        Reads the incarnation of a plain service; with None the registry's is used.
    fail_attempt : callable
        Ends an attempt on a crashed server as failed.
    """

    def __init__(
        self,
        server: BackendServer,
        client: ModelEngine | PlainService,
        window: ServerWindow,
        strike_registry: StrikeRegistry,
        clock: Clock,
        probe: IncarnationProbe | None,
        fail_attempt: "Callable[[Attempt], None]",
    ) -> None:
        self.server = server
        self.client = client
        self.window = window
        self.strike_registry = strike_registry
        self.clock = clock
        self.probe = probe
        self.fail_attempt = fail_attempt
        self.running: set[Attempt] = set()
        self.long_running = 0
        self.assignable = True
        self.ready = False
        self.version = 0
        self.incarnation = ""
        self.crash_check: asyncio.Task[bool] | None = None
        self.crash_check_count = 0
        self.last_launch_ms = float("-inf")
        self.mean_chunk_tokens = 1.0  # running mean
        self.crashed_incarnations: set[str] = set()

    @property
    def name(self) -> str:
        """Name of the server."""
        return self.server.name

    @property
    def is_engine(self) -> bool:
        """Whether the server is a model engine rather than a plain service."""
        return isinstance(self.client, ModelEngine)

    @property
    def is_usable(self) -> bool:
        """Whether the server may get work, regardless of its window."""
        return self.ready and self.assignable and self.crash_check is None

    @property
    def free_capacity(self) -> int:
        """Number of attempts that may start now."""
        if not self.is_usable:
            return 0
        if self.window.slow and not self.window.is_probe_due(
            self.last_launch_ms, self.clock.monotonic_ms()
        ):
            return 0
        return max(0, self.window.size - len(self.running))

    @property
    def load(self) -> float:
        """Running attempts as a fraction of the window."""
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
        """Return the unusually long times since the last chunk of running attempts.

        Times are divided by the mean tokens of a chunk, like the gaps with which they
        are compared. Half the duration of a chunk is usual, so times up to two gaps
        are no sign of a stall and are left out.
        """
        now = self.clock.monotonic_ms()
        usual_ms = 2 * (self.window.gap_ms or 0.0)
        ages = [(now - a.last_chunk_ms) / self.mean_chunk_tokens for a in self.running]
        return [age for age in ages if age > usual_ms]

    async def read_state(self) -> Result[EngineStatus | str, StepError]:
        """Read the engine's status, or the incarnation of a plain service."""
        if self.is_engine:
            return await self.client.status()
        if self.probe is not None:
            return await self.probe(self.server)
        return Ok(self.server.incarnation)

    async def poll(self) -> StepError | None:
        """Update version and incarnation; return an error to report, if any.

        A new incarnation while attempts are running starts a crash check. A draining
        engine is an error to report.
        """
        checks_before = self.crash_check_count
        result = await self.read_state()
        if isinstance(result, Err):
            return result.err_value
        if self.crash_check_count != checks_before or self.crash_check is not None:
            return None  # the state may have been read before a crash
        state = result.ok_value
        incarnation = state.incarnation if isinstance(state, EngineStatus) else state
        if self.running and self.incarnation and incarnation != self.incarnation:
            await self.check_for_crash()
        else:
            self.incarnation = incarnation
            self.ready = True
        if isinstance(state, EngineStatus):
            self.version = state.version
            if state.draining:
                return StepError("engine.draining", self.name, "is leaving", False)
        return None

    async def check_for_crash(self) -> bool:
        """Return whether the server crashed, after recording the strikes if it did.

        Attempts whose streams broke together share one check. No attempt starts
        during the check, so the strikes cover exactly the requests that were running
        when it began, including those whose callers disconnect before it ends.
        """
        if self.crash_check is None:
            fingerprints = {attempt.job.fingerprint for attempt in self.running}
            self.crash_check = asyncio.create_task(self.run_crash_check(fingerprints))
        return await asyncio.shield(self.crash_check)

    async def run_crash_check(self, fingerprints: set[str]) -> bool:
        """Compare incarnations after a broken stream and handle a crash."""
        try:
            before = self.incarnation
            crashed, current = await self.compare_incarnations(before, fingerprints)
            if crashed:
                self.crashed_incarnations.add(before)
                self.ready = False
                logger.warning(
                    "server %s crashed with %d requests", self.name, len(fingerprints)
                )
                await self.strike_registry.report_crash(
                    f"{self.name}/{before}", fingerprints
                )
                # An attempt that began during the crash may be running in the next
                # incarnation beside other suspects, so all attempts are failed and
                # retried.
                for attempt in list(self.running):
                    self.fail_attempt(attempt)
                if current:
                    self.incarnation = current
                    self.ready = True
            return crashed
        finally:
            self.crash_check_count += 1
            self.crash_check = None

    async def compare_incarnations(
        self, before: str, fingerprints: set[str]
    ) -> tuple[bool, str]:
        """Return whether the server crashed, and its incarnation if it was read.

        If no read gives a clear result, the server counts as crashed only if it runs
        a suspect: that no request crashes more than two servers is guaranteed, while
        an unjustified strike breaks no guarantee.
        """
        for _ in range(MAX_STATE_READS):
            result = await self.read_state()
            if isinstance(result, Ok):
                state = result.ok_value
                current = (
                    state.incarnation if isinstance(state, EngineStatus) else state
                )
                return current != before, current
            if not result.err_value.may_have_run:
                return True, ""
            await self.clock.sleep_ms(STATE_READ_INTERVAL_MS)
        return any(self.strike_registry.strikes(each) for each in fingerprints), ""
