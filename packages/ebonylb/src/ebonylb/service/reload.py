"""Settings that change while the process runs."""

import asyncio
import logging
from collections.abc import Callable

from result import Err, Result

from ..edges import Clock
from .site_settings import SiteSettings

logger = logging.getLogger(__name__)

# The file may change without a signal; reading it takes well under a millisecond.
CHECK_INTERVAL_MS = 2_000


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
        """Watch the file until cancelled."""
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
        """Read the file once and take over what changed."""
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
