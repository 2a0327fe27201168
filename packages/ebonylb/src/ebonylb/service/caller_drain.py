"""End of the connections of callers when the process leaves."""

import logging

from aiohttp import web

from ..interfaces import Clock
from .readiness import Readiness
from .uploads import Uploads

logger = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 20.0


class CallerDrain:
    """Ends the connections of callers without cutting off a request.

    Parameters
    ----------
    runner : web.ServerRunner
        Server of the callers.
    readiness : Readiness
        Counts the requests in progress.
    uploads : Uploads
        Reads request bodies.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        runner: web.ServerRunner,
        readiness: Readiness,
        uploads: Uploads,
        clock: Clock,
    ) -> None:
        self.runner = runner
        self.readiness = readiness
        self.uploads = uploads
        self.clock = clock

    async def stop_listening(self) -> None:
        """Accept no further connection."""
        for site in list(self.runner.sites):
            await site.stop()

    async def finish_requests(self, uploads_end_ms: float, end_ms: float) -> None:
        """Wait until no request is in progress and none can arrive any more.

        Idle connections stay open until then, since a caller may be sending a request
        on one of them. Closing them all is the last step: from then on the server
        ignores what arrives, also the rest of a body, so that it must not come sooner.

        Parameters
        ----------
        uploads_end_ms : float
            Monotonic time at which requests are refused whose bodies have not arrived.
        end_ms : float
            Monotonic time at which requests that still run are cut off.
        """
        while self.readiness.in_progress:
            if self.clock.monotonic_ms() > uploads_end_ms:
                self.end_uploads()
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
        self.end_uploads()
        self.runner.server.pre_shutdown()
        # Requests that had been received, and not yet begun, begin during this pause.
        await self.clock.sleep_ms(CHECK_INTERVAL_MS)
        remaining_ms = end_ms - self.clock.monotonic_ms()
        await self.runner.server.shutdown(max(0.0, remaining_ms) / 1000)

    def end_uploads(self) -> None:
        """Refuse requests whose bodies have not arrived, as not run."""
        if self.uploads.waits_ended:
            return
        count = self.uploads.end_waits()
        logger.info(
            "refused requests whose bodies had not arrived", extra={"count": count}
        )
