"""Requests, streams and notifications between entry VMs."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, aclosing, suppress
from dataclasses import dataclass
from inspect import isasyncgen

import msgspec
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from ..outcomes import StepError
from ..tasks import cancel_and_wait
from .link import CALL, ITEM, LAST, MAX_OUTBOUND_MESSAGES, PeerLink, split_frame
from .messages import Done, Failed, Message, decode, encode
from .traffic import Traffic

logger = logging.getLogger(__name__)

Handler = Callable[[Message], Awaitable[Message | None] | AsyncIterator[Message]]

DEFAULT_TIMEOUT_MS = 2_000
ZAP_DOMAIN = "ebonylb"  # one key pair admits the entry VMs of a site


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """Z85-encoded CURVE key pair shared by all entry VMs of a site."""

    public: bytes
    secret: bytes


class PeerBus:
    """Sends messages to peers and serves theirs over pyzmq, authenticated with CURVE.

    Parameters
    ----------
    name : str
        Name of this entry VM, sent with each call.
    bind_address : str
        ``ip:port`` of the ROUTER socket; port 0 picks a free one.
    keys : CurveKeys
        Key pair of the site.
    """

    def __init__(self, name: str, bind_address: str, keys: CurveKeys) -> None:
        self.name = name
        self.bind_address = bind_address
        self.keys = keys
        self.handlers: dict[type[Message], Handler] = {}
        self.links: dict[str, PeerLink] = {}
        self.blocked_peers: set[str] = set()  # by fault injection in tests
        self.tasks: dict[tuple[bytes, bytes], asyncio.Task[None]] = {}
        self.traffic = Traffic()
        self.stack = AsyncExitStack()

    async def start(self) -> None:
        """Bind the ROUTER socket and start serving calls of peers."""
        self.context = zmq.asyncio.Context()
        self.stack.callback(self.context.destroy, linger=0)
        self.authenticator = AsyncioAuthenticator(self.context)
        self.authenticator.start()
        self.stack.callback(self.authenticator.stop)
        self.authenticator.configure_curve_callback(
            ZAP_DOMAIN, credentials_provider=SiteKeyVerifier(self.keys.public)
        )
        self.router = self.context.socket(zmq.ROUTER)
        self.router.curve_server = True
        self.router.zap_domain = ZAP_DOMAIN.encode()
        self.router.curve_publickey = self.keys.public
        self.router.curve_secretkey = self.keys.secret
        self.router.sndhwm = MAX_OUTBOUND_MESSAGES
        host, port = self.bind_address.rsplit(":", 1)
        if port == "0":
            port = str(self.router.bind_to_random_port(f"tcp://{host}"))
        else:
            self.router.bind(f"tcp://{self.bind_address}")
        self.address = f"{host}:{port}"
        task = asyncio.create_task(self.serve(), name="peer-serve")
        self.stack.push_async_callback(cancel_and_wait, [task])

    async def close(self) -> None:
        """Close all links, cancel handlers and release the sockets."""
        await cancel_and_wait(list(self.tasks.values()))
        for peer in list(self.links):
            await self.disconnect(peer)
        self.router.close(linger=200)
        await self.stack.aclose()

    def on(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler of a message type.

        A handler takes the message. It is a coroutine function that returns one reply
        (None becomes `Done`) or an async generator function that yields a stream of
        replies. An exception becomes `Failed`.
        """
        self.handlers[message_type] = handler

    def connect(self, peer: str, address: str) -> None:
        """Open the link to a peer, or replace it if the address changed."""
        link = self.links.get(peer)
        if link is not None and link.address == address:
            return
        if link is not None:
            self.links.pop(peer)
            task = asyncio.create_task(link.close())
            self.tasks[(peer.encode(), address.encode())] = task
            task.add_done_callback(
                lambda _: self.tasks.pop((peer.encode(), address.encode()), None)
            )
        socket = self.context.socket(zmq.DEALER)
        socket.curve_serverkey = self.keys.public
        socket.curve_publickey = self.keys.public
        socket.curve_secretkey = self.keys.secret
        socket.sndhwm = MAX_OUTBOUND_MESSAGES
        socket.immediate = True  # messages are not queued for an unreachable peer
        socket.reconnect_ivl = 100
        socket.reconnect_ivl_max = 2_000
        socket.connect(f"tcp://{address}")
        self.links[peer] = PeerLink(peer, address, socket, self.traffic)

    async def disconnect(self, peer: str) -> None:
        """Close the link to a peer; its pending calls fail."""
        link = self.links.pop(peer, None)
        if link is not None:
            await link.close()

    def block(self, peers: set[str]) -> None:
        """Block peers for fault injection in tests; both sides have to block."""
        self.blocked_peers = peers
        for peer in peers & self.links.keys():
            self.links[peer].fail_pending("cut off")

    def get_link(self, peer: str) -> PeerLink:
        """Return the link to a peer.

        Raises
        ------
        StepError
            There is no link to the peer, or it is blocked by fault injection.
        """
        if peer in self.blocked_peers or peer not in self.links:
            raise StepError("peer.connect", peer, "no link", may_have_run=False)
        return self.links[peer]

    async def request(
        self, peer: str, message: Message, timeout_ms: float = DEFAULT_TIMEOUT_MS
    ) -> Message:
        """Send a message and return its single reply.

        Raises
        ------
        StepError
            The peer failed or is unreachable; see `may_have_run`.
        """
        async with aclosing(self.stream(peer, message, timeout_ms)) as replies:
            async for reply in replies:
                return reply
        raise StepError("peer.answer", peer, "no answer in the stream")

    async def stream(
        self, peer: str, message: Message, item_timeout_ms: float
    ) -> AsyncIterator[Message]:
        """Send a message and yield its replies; closing early cancels the handler.

        Raises
        ------
        StepError
            The peer failed, is unreachable, or sent nothing for `item_timeout_ms`.
        """
        link = self.get_link(peer)
        async with aclosing(link.stream(message, item_timeout_ms)) as replies:
            async for reply in replies:
                if peer in self.blocked_peers:
                    raise StepError("peer.connection", peer, "cut off")
                yield reply

    async def broadcast(
        self,
        peers: list[str],
        message: Message,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> dict[str, Message | StepError]:
        """Send a message to peers concurrently; return reply or error by peer."""
        return await self.broadcast_each(dict.fromkeys(peers, message), timeout_ms)

    async def broadcast_each(
        self, messages: dict[str, Message], timeout_ms: float = DEFAULT_TIMEOUT_MS
    ) -> dict[str, Message | StepError]:
        """Send each peer its message concurrently; return reply or error by peer."""

        async def request_one(peer: str, message: Message) -> Message | StepError:
            try:
                return await self.request(peer, message, timeout_ms)
            except StepError as error:
                return error

        replies = await asyncio.gather(
            *(request_one(*item) for item in messages.items())
        )
        return dict(zip(messages, replies, strict=True))

    async def serve(self) -> None:
        """Receive calls and cancellations; run each call in a task."""
        while True:
            frames = await self.router.recv_multipart()
            if len(frames) != 2:
                continue
            identity = frames[0]
            call_number, flag, payload = split_frame(frames[1])
            if flag == CALL:
                task = asyncio.create_task(
                    self.handle_call(identity, call_number, payload)
                )
                self.tasks[(identity, call_number)] = task
                task.add_done_callback(
                    lambda _, key=(identity, call_number): self.tasks.pop(key, None)
                )
            elif (task := self.tasks.get((identity, call_number))) is not None:
                task.cancel()

    async def handle_call(
        self, identity: bytes, call_number: bytes, payload: bytes
    ) -> None:
        """Run the handler of one call and send its replies."""
        try:
            message = decode(payload)
            self.traffic.count_received(message, len(payload))
            handler = self.handlers[type(message)]
            result = handler(message)
            if isasyncgen(result):
                await self.send_stream(identity, call_number, result)
                return
            reply = await result
            await self.send_reply(identity, call_number, LAST, reply or Done())
        except asyncio.CancelledError:
            raise
        except StepError as error:
            await self.send_reply(
                identity, call_number, LAST, Failed(error.step, error.message)
            )
        except (msgspec.MsgspecError, KeyError) as error:
            await self.send_reply(
                identity, call_number, LAST, Failed("peer.decode", repr(error))
            )
        except Exception as error:
            logger.exception("peer handler failed")
            await self.send_reply(
                identity, call_number, LAST, Failed("peer.handler", repr(error))
            )

    async def send_stream(
        self, identity: bytes, call_number: bytes, result: AsyncIterator[Message]
    ) -> None:
        """Send the replies of a generator; the last one carries the end flag."""
        async with aclosing(result):
            previous: Message | None = None
            async for item in result:
                if previous is not None:
                    await self.send_reply(identity, call_number, ITEM, previous)
                previous = item
                if type(item).__name__ in IMMEDIATE_TYPES:
                    await self.send_reply(identity, call_number, ITEM, item)
                    previous = None
            await self.send_reply(identity, call_number, LAST, previous or Done())

    async def send_reply(
        self, identity: bytes, call_number: bytes, flag: bytes, message: Message
    ) -> None:
        """Send one reply frame."""
        payload = encode(message)
        self.traffic.count_sent(message, len(payload))
        with suppress(zmq.ZMQError):
            await self.router.send_multipart([identity, call_number + flag + payload])


# Types of streamed messages that are sent immediately. Any other message is held back
# until it is known whether it is the last one.
IMMEDIATE_TYPES = frozenset({"AnswerChunk"})


class SiteKeyVerifier:
    """CURVE credentials provider that admits only clients with the site's key pair."""

    def __init__(self, public: bytes) -> None:
        self.public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is admitted."""
        return key == self.public
