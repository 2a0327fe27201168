"""Settings that change while the process runs."""

import asyncio
import logging
from collections.abc import Callable

from result import Err, Result

from ..interfaces import Clock
from .site_settings import SiteSettings

logger = logging.getLogger(__name__)

# The file may change without a signal; reading it takes well under a millisecond.
CHECK_MS = 2_000


class SettingsReload:
    """Reads the settings again on a signal, and now and then without one.

    No request is touched. What a running process can take over is applied; a changed
    address of its own needs a restart and is only logged.

    Parameters
    ----------
    read : callable
        Reads and validates the file.
    apply : callable
        Takes new settings over.
    """

    def __init__(
        self,
        settings: SiteSettings,
        read: Callable[[], Result[SiteSettings, str]],
        apply: Callable[[SiteSettings], None],
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.read = read
        self.apply = apply
        self.clock = clock
        self.signalled = asyncio.Event()
        self.last_error = ""

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_MS / 1000):
                    await self.signalled.wait()
            except TimeoutError:
                pass
            by_signal = self.signalled.is_set()
            self.signalled.clear()
            self.check(by_signal)

    def check(self, by_signal: bool) -> None:
        """Read the file once and take over what changed."""
        loaded = self.read()
        if isinstance(loaded, Err):
            if by_signal or loaded.err_value != self.last_error:
                logger.error("settings refused", extra={"cause": loaded.err_value})
            self.last_error = loaded.err_value
            return
        self.last_error = ""
        fresh = loaded.ok_value
        changed = [
            name
            for name in fresh.__struct_fields__
            if getattr(fresh, name) != getattr(self.settings, name)
        ]
        if by_signal or changed:
            logger.info(
                "settings read again",
                extra={"by_signal": by_signal, "changed": changed},
            )
        if changed:
            self.settings = fresh
            self.apply(fresh)
