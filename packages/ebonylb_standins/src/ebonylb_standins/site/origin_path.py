"""Origins of streams between the entry VMs of a world, without a network."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ebonylb.interfaces import Clock
from ebonylb.interfaces.server_client import ServerAddress
from ebonylb.interfaces.stream_origins import OriginClient, OriginQuery, StreamOrigin
from ebonylb.outcomes import StepError

from .relay_path import CONNECT_TIMEOUT_MS, ONE_WAY_MS

if TYPE_CHECKING:
    from .world import EntryVm


class LocalOriginClient(OriginClient):
    """Client of the other entry VMs, for one of them."""

    def __init__(self, own: "EntryVm", clock: Clock) -> None:
        self.own = own
        self.clock = clock

    async def connect(self, entry_vm: ServerAddress) -> Result["EntryVm", StepError]:
        """Return an entry VM after the delay of a message to it."""
        target = self.own.world.vms[entry_vm.name]
        if target.is_stopped or target.is_separated or self.own.is_separated:
            await self.clock.sleep_ms(CONNECT_TIMEOUT_MS)
            return Err(StepError("stream.origin", entry_vm.name, "no connection"))
        await self.clock.sleep_ms(ONE_WAY_MS)
        return Ok(target)

    async def find(
        self, entry_vm: ServerAddress, query: OriginQuery
    ) -> Result[str | None, StepError]:
        """Return the software version that an entry VM knows; None for none."""
        connected = await self.connect(entry_vm)
        if isinstance(connected, Err):
            return connected
        answer = await connected.ok_value.stream_origins.answer(query)
        await self.clock.sleep_ms(ONE_WAY_MS)
        return Ok(answer)

    async def replicate(
        self, entry_vm: ServerAddress, origins: Sequence[StreamOrigin]
    ) -> Result[list[StreamOrigin], StepError]:
        """Have an entry VM keep origins in memory; return those that it keeps."""
        connected = await self.connect(entry_vm)
        if isinstance(connected, Err):
            return connected
        kept = connected.ok_value.stream_origins.keep(origins)
        await self.clock.sleep_ms(ONE_WAY_MS)
        return Ok(kept)
