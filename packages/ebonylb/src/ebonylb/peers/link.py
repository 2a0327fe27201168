"""Connection from this entry VM to one peer."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import suppress

import zmq
import zmq.asyncio

from ..outcomes import DECODING_ERRORS, StepError
from ..tasks import cancel_and_wait
from .messages import Failed, Message, decode, encode
from .traffic import Traffic

CALL, CANCEL, ITEM, LAST = b"c", b"x", b"i", b"l"
CONNECT_TIMEOUT_MS = 300  # a new link takes some round trips to open
# A message is one frame of call number, flag and payload. CURVE adds 35 bytes and an
# encryption per frame, which for three frames exceeds the payload of a delta heartbeat.
CALL_NUMBER_BYTES = 8
HEADER_BYTES = CALL_NUMBER_BYTES + 1
MAX_OUTBOUND_MESSAGES = 10_000  # beyond it the peer counts as unreachable


class PeerLink:
    """DEALER socket to a peer, with tasks that receive frames and watch the connection.

    Parameters
    ----------
    peer : str
        Name of the peer, used in errors.
    socket : zmq.asyncio.Socket
        Connected DEALER socket; the link closes it.
    traffic : Traffic or None
        Message counters of the bus.
    """

    def __init__(
        self,
        peer: str,
        address: str,
        socket: zmq.asyncio.Socket,
        traffic: Traffic | None = None,
    ) -> None:
        self.peer = peer
        self.address = address
        self.socket = socket
        self.traffic = traffic or Traffic()
        self.call_numbers = itertools.count(1)
        self.pending_calls: dict[
            bytes, asyncio.Queue[tuple[bytes, Message] | StepError]
        ] = {}
        self.connected = asyncio.Event()
        self.monitor_socket = socket.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | zmq.EVENT_HANDSHAKE_SUCCEEDED
        )
        self.tasks = [
            asyncio.create_task(self.receive(), name=f"peer-receive-{peer}"),
            asyncio.create_task(self.watch_connection(), name=f"peer-watch-{peer}"),
        ]

    async def receive(self) -> None:
        """Put received frames into the queues of their pending calls."""
        while True:
            call_number, flag, payload = split_frame(await self.socket.recv())
            queue = self.pending_calls.get(call_number)
            if queue is None:
                continue  # late reply to a cancelled or failed call
            try:
                message = decode(payload)
                self.traffic.count_received(message, len(payload))
                queue.put_nowait((flag, message))
            except DECODING_ERRORS as error:
                queue.put_nowait(StepError("peer.decode", self.peer, str(error)))

    async def watch_connection(self) -> None:
        """Fail all pending calls as soon as the TCP connection breaks."""
        while True:
            event = await self.monitor_socket.recv_multipart()
            if int.from_bytes(event[0][:2], "little") == zmq.EVENT_DISCONNECTED:
                self.connected.clear()
                self.fail_pending("connection broke")
            else:
                self.connected.set()

    def fail_pending(self, cause: str) -> None:
        """Fail all pending calls with a `peer.connection` error."""
        for queue in self.pending_calls.values():
            queue.put_nowait(StepError("peer.connection", self.peer, cause))

    async def send(self, frame: bytes) -> None:
        """Send a frame on the open connection.

        The socket queues nothing for an unreachable peer, so a message whose send
        failed is known not to have arrived.

        Raises
        ------
        StepError
            There is no open connection, or its queue is full; nothing was sent.
        """
        # socket.poll is not used: a send behind a pending poll never completes.
        with suppress(TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await self.connected.wait()
        with suppress(zmq.Again):
            await self.socket.send(frame, flags=zmq.DONTWAIT)
            return
        raise StepError("peer.send", self.peer, "no open connection", False)

    async def stream(
        self, message: Message, item_timeout_ms: float
    ) -> AsyncIterator[Message]:
        """Send a message and yield its replies.

        Raises
        ------
        StepError
            The peer failed, is unreachable, or sent nothing for `item_timeout_ms`.
        """
        call_number = next(self.call_numbers).to_bytes(CALL_NUMBER_BYTES, "big")
        queue: asyncio.Queue[tuple[bytes, Message] | StepError] = asyncio.Queue()
        self.pending_calls[call_number] = queue
        finished = False
        try:
            payload = encode(message)
            self.traffic.count_sent(message, len(payload))
            await self.send(call_number + CALL + payload)
            while not finished:
                flag, item = await self.next_item(queue, item_timeout_ms)
                finished = flag == LAST
                if isinstance(item, Failed):
                    raise StepError(item.step, self.peer, item.message)
                yield item
        finally:
            del self.pending_calls[call_number]
            if not finished:
                with suppress(zmq.Again):
                    await self.socket.send(call_number + CANCEL, flags=zmq.DONTWAIT)

    async def next_item(
        self,
        queue: "asyncio.Queue[tuple[bytes, Message] | StepError]",
        item_timeout_ms: float,
    ) -> tuple[bytes, Message]:
        """Wait for the next reply.

        Raises
        ------
        StepError
            The call failed, or no reply came within the timeout.
        """
        try:
            # asyncio.wait_for in Python 3.11 loses a cancellation that coincides with a
            # finished get, and the cancelled operation would continue.
            async with asyncio.timeout(item_timeout_ms / 1000):
                received = await queue.get()
        except TimeoutError:
            raise StepError(
                "peer.answer", self.peer, f"no answer within {item_timeout_ms:.0f} ms"
            ) from None
        if isinstance(received, StepError):
            raise received
        return received

    async def close(self) -> None:
        """Stop the tasks and close the socket."""
        await cancel_and_wait(self.tasks)
        self.fail_pending("link closed")
        self.socket.disable_monitor()
        self.monitor_socket.close(linger=0)
        self.socket.close(linger=0)


def split_frame(frame: bytes) -> tuple[bytes, bytes, bytes]:
    """Split a frame into call number, flag and payload; a short one has no flag."""
    return (
        frame[:CALL_NUMBER_BYTES],
        frame[CALL_NUMBER_BYTES:HEADER_BYTES],
        frame[HEADER_BYTES:],
    )
