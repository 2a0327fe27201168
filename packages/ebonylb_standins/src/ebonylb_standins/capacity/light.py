"""Lightweight peers: many simulated entry VMs in one process."""

import asyncio
import json
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Annotated

import cappa
import zmq
import zmq.asyncio

from ebonylb.peers.link import CALL, LAST, split_frame
from ebonylb.peers.messages import (
    Digests,
    Done,
    Heartbeat,
    Message,
    ShardDigest,
    decode,
    encode,
)

from ..server import option
from .site import DOMAIN, REGION, SERVICE


@dataclass
class Options:
    """Reply to heartbeats and digests on behalf of many entry VMs."""

    public: Annotated[str, option("CURVE public key of the site")] = ""
    secret: Annotated[str, option("CURVE secret key of the site")] = ""
    count: Annotated[int, option("entry VMs")] = 1
    shards: Annotated[int, option("shards that each entry VM owns")] = 2
    parties: Annotated[int, option("parties with served tokens in each heartbeat")] = 3


class LightPeer:
    """Simulated entry VM that replies to requests and sends none.

    Its name sorts after those of the measured processes, which are therefore the
    active side of each pair and send the heartbeats.

    Parameters
    ----------
    number : int
        Index of the peer; determines its name and shards.
    options : Options
        Keys and sizes.
    context : zmq.asyncio.Context
        ZeroMQ context shared by all peers of the process.
    """

    def __init__(
        self, number: int, options: Options, context: zmq.asyncio.Context
    ) -> None:
        self.name = f"light-{number:03d}"
        self.number, self.options = number, options
        self.sequence = 0
        self.socket = context.socket(zmq.ROUTER)
        self.socket.curve_server = True
        self.socket.curve_publickey = options.public.encode()
        self.socket.curve_secretkey = options.secret.encode()
        port = self.socket.bind_to_random_port("tcp://127.0.0.1")
        self.address = f"127.0.0.1:{port}"

    def make_heartbeat(self, is_full: bool) -> Heartbeat:
        """Return a heartbeat with a varying load, as of a busy entry VM.

        Without `is_full`, it omits address and location, and usually served tokens.
        """
        self.sequence += 1
        shards = [
            ShardDigest(
                SERVICE,
                self.number * self.options.shards + shard,
                4_000 + 500 * (self.sequence % 7),
                10_000,
                20,
                24,
            )
            for shard in range(self.options.shards)
        ]
        served = {
            f"{SERVICE}/p-{party:03d}": self.sequence * 1_000
            for party in range(self.options.parties)
        }
        incarnation = f"{self.name:0>24}"
        return Heartbeat(
            self.name,
            incarnation if is_full else incarnation[-8:],
            self.address if is_full else "",
            DOMAIN if is_full else "",
            REGION if is_full else "",
            0,
            "ready",
            shards,
            served if is_full or self.sequence % 4 == 0 else {},
            [],
            self.sequence,
        )

    def make_reply(self, message: Message) -> Message:
        """Return the reply to a request."""
        if isinstance(message, Heartbeat):
            return self.make_heartbeat(is_full=bool(message.address))
        if isinstance(message, Digests):
            return Digests([self.make_heartbeat(is_full=True)])
        return Done()

    async def run(self) -> None:
        """Reply to requests until cancelled."""
        while True:
            identity, frame = await self.socket.recv_multipart()
            call_number, flag, payload = split_frame(frame)
            if flag == CALL:
                reply = encode(self.make_reply(decode(payload)))
                await self.socket.send_multipart([identity, call_number + LAST + reply])


async def run(options: Options) -> None:
    """Print the addresses of all peers and serve them until the process ends."""
    context = zmq.asyncio.Context()
    async with AsyncExitStack() as stack:
        stack.callback(context.destroy, linger=0)
        peers = [LightPeer(n, options, context) for n in range(options.count)]
        addresses = {peer.name: peer.address for peer in peers}
        print(json.dumps({"address": addresses}), flush=True)
        await asyncio.gather(*(peer.run() for peer in peers))


def main() -> None:
    """Run the peers that the command line describes."""
    asyncio.run(run(cappa.parse(Options)))


if __name__ == "__main__":
    main()
