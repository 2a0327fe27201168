"""TCP proxy on loopback that delays, drops or resets the traffic it forwards."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

CHUNK_BYTES = 16_384


@dataclass
class PathFaults:
    """Faults that apply to the proxy's traffic.

    Attributes
    ----------
    delay_s : float
        Time added to each chunk.
    silent_upstream, silent_downstream : bool
        Bytes to, or from, the target are dropped while connections stay open.
    refuse : bool
        New connections are reset.
    """

    delay_s: float = 0.0
    silent_upstream: bool = False
    silent_downstream: bool = False
    refuse: bool = False


class FaultProxy:
    """Forwards connections to a target.

    Parameters
    ----------
    target : str
        Address as ``ip:port``.
    rng : random.Random
        Random generator that chooses the connections to reset.
    """

    def __init__(self, target: str, rng: random.Random) -> None:
        self.target = target
        self.random = rng
        self.faults = PathFaults()
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> "FaultProxy":
        """Listen on a free port and return the proxy."""
        self.address = "127.0.0.1:0"
        await self.listen()
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def listen(self) -> None:
        """Listen at the proxy's address."""
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(
            self.handle_connection, host, int(port)
        )

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and forward both directions until they end."""
        if self.faults.refuse:
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        connection_writers = (writer, target_writer)
        self.writers.update(connection_writers)
        try:
            await asyncio.gather(
                self.pump(reader, target_writer, upstream=True),
                self.pump(target_reader, writer, upstream=False),
            )
        finally:
            self.writers.difference_update(connection_writers)
            for connection_writer in connection_writers:
                connection_writer.close()

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, upstream: bool
    ) -> None:
        """Forward bytes in one direction, then its end of stream."""
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                silent = (
                    self.faults.silent_upstream
                    if upstream
                    else self.faults.silent_downstream
                )
                if silent:
                    continue
                writer.write(chunk)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            if upstream and writer.can_write_eof():
                writer.write_eof()
            else:
                writer.close()

    def reset_connections(self, share: float) -> None:
        """Reset each open connection with probability `share`."""
        for writer in list(self.writers):
            if self.random.random() < share:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset_connections(1.0)
