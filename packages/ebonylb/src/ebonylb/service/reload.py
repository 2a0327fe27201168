"""Reload of the settings file while the process runs."""

import asyncio
import logging
from collections.abc import Callable

from result import Err, Result

from ..interfaces import Clock
from .site_settings import SiteSettings

logger = logging.getLogger(__name__)

# The file may change without a signal. Reading it takes well under a millisecond.
CHECK_INTERVAL_MS = 2_000


class SettingsReload:
    """Reloads the settings on a signal, and periodically without one.

    Requests in progress are not affected. Settings that can change at run time are
    applied; a change of the process's own addresses is only logged and needs a restart.

    Parameters
    ----------
    settings : SiteSettings
        Settings in use.
    read_settings : callable
        Reads and validates the file.
    apply_settings : callable
        Applies changed settings to the running process.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        settings: SiteSettings,
        read_settings: Callable[[], Result[SiteSettings, str]],
        apply_settings: Callable[[SiteSettings], None],
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.read_settings = read_settings
        self.apply_settings = apply_settings
        self.clock = clock
        self.signal_received = asyncio.Event()
        self.last_error = ""

    async def run(self) -> None:
        """Check the file on each signal and at regular intervals, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_MS / 1000):
                    await self.signal_received.wait()
            except TimeoutError:
                pass
            by_signal = self.signal_received.is_set()
            self.signal_received.clear()
            self.check_file(by_signal)

    def check_file(self, by_signal: bool) -> None:
        """Read the file once and apply the settings if they have changed."""
        loaded = self.read_settings()
        if isinstance(loaded, Err):
            if by_signal or loaded.err_value != self.last_error:
                logger.error("settings refused", extra={"cause": loaded.err_value})
            self.last_error = loaded.err_value
            return
        self.last_error = ""
        new_settings = loaded.ok_value
        changed_fields = [
            name
            for name in new_settings.__struct_fields__
            if getattr(new_settings, name) != getattr(self.settings, name)
        ]
        if by_signal or changed_fields:
            logger.info(
                "settings read again",
                extra={"by_signal": by_signal, "changed": changed_fields},
            )
        if changed_fields:
            self.settings = new_settings
            self.apply_settings(new_settings)
