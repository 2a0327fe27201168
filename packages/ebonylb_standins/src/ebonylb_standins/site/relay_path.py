"""Requests between the entry VMs of a world, without a network."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ebonylb.interfaces import Clock
from ebonylb.interfaces.relay import RelayClient, RelayedRequest
from ebonylb.interfaces.server_client import (
    ServerAddress,
    ServerResponse,
    StreamEvent,
)
from ebonylb.outcomes import StepError
from ebonylb.relay import RelayedAnswer

if TYPE_CHECKING:
    from .world import EntryVm

ONE_WAY_MS = 1.4
CONNECT_TIMEOUT_MS = 200.0


class LocalRelayResponse(ServerResponse):
    """Answer of another entry VM, whose stream is sent by a task as over a network."""

    def __init__(
        self, entry_vm: "EntryVm", request: RelayedRequest, answer: RelayedAnswer
    ) -> None:
        self.entry_vm = entry_vm
        self.answer = answer
        self.head = answer.head
        self.first_event = (request.resume_after or 0) + 1
        self.received: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.sending: asyncio.Task[None] | None = None
        if answer.chunks is not None:
            self.sending = asyncio.create_task(self.send(answer.chunks))

    async def send(self, chunks: AsyncGenerator[bytes, None]) -> None:
        """Send the events until the stream or the process of the entry VM ends."""
        async with contextlib.aclosing(chunks):
            with contextlib.suppress(StepError):
                async for chunk in chunks:
                    if self.entry_vm.is_stopped:
                        break
                    self.received.put_nowait(chunk)
                else:
                    self.received.put_nowait(b"")
                    return
        self.received.put_nowait(None)

    async def body(self) -> bytes:
        """Return the whole body."""
        return self.answer.body

    async def raw_events(self) -> AsyncIterator[tuple[int, bytes]]:
        """Yield the numbered events; raise `StepError` if they broke off."""
        number = self.first_event
        while chunk := await self.received.get():
            yield number, chunk
            number += 1
        if chunk is None:
            raise StepError("relay", self.entry_vm.name, "connection reset")

    def events(self) -> AsyncIterator[StreamEvent]:
        """Items of batches are not relayed."""
        raise NotImplementedError

    def close(self) -> None:
        """Abandon the answer."""
        if self.sending is not None:
            self.sending.cancel()
        self.answer.abandon()


class LocalRelayClient(RelayClient):
    """Client of the other entry VMs, by their addresses."""

    def __init__(self, entry_vms: dict[str, "EntryVm"], clock: Clock) -> None:
        self.entry_vms = entry_vms
        self.clock = clock

    async def open(
        self, entry_vm: ServerAddress, request: RelayedRequest
    ) -> Result[ServerResponse, StepError]:
        """Pass a request on and return the response."""
        target = self.entry_vms[entry_vm.name]
        if target.is_stopped:
            await self.clock.sleep_ms(CONNECT_TIMEOUT_MS)
            return Err(StepError("relay", entry_vm.name, "no connection", False))
        request.progress.connected = True
        await self.clock.sleep_ms(ONE_WAY_MS)
        answer = await target.relay_receiver.serve(request)
        await self.clock.sleep_ms(ONE_WAY_MS)
        if target.is_stopped:
            return Err(StepError("relay", entry_vm.name, "connection reset"))
        return Ok(LocalRelayResponse(target, request, answer))

    async def is_reachable(self, entry_vm: ServerAddress) -> bool:
        """Return whether an entry VM runs."""
        if self.entry_vms[entry_vm.name].is_stopped:
            await self.clock.sleep_ms(CONNECT_TIMEOUT_MS)
            return False
        return True
