"""Run function of an entry VM process: signals, start and shutdown."""

import asyncio
import signal

from ..settings import Settings
from ..tasks import cancel_and_wait
from .app import EntryVmService


async def run_service(settings: Settings) -> None:
    """Run an entry VM until SIGTERM or SIGINT."""
    service = EntryVmService(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop_requested.set)
    try:
        starting = asyncio.create_task(service.start())
        stopping = asyncio.create_task(service.stop_requested.wait())
        await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
        if stopping.done():
            await cancel_and_wait([starting])
        else:
            await starting
            await stopping
            await service.shutdown()
    finally:
        await service.close()
