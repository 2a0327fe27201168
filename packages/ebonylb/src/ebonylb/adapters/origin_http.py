"""Origins of streams between entry VMs, over HTTP beside the relayed requests.

Requests and responses are msgpack values in the bodies of a POST.
"""

from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from result import Err, Ok, Result

from ..forwarding.stream_origins import StreamOrigins
from ..interfaces.server_client import ServerAddress
from ..interfaces.stream_origins import OriginClient, OriginQuery, StreamOrigin
from ..outcomes import DECODING_ERRORS, StepError
from .http import NOT_SENT_ERRORS, TRANSPORT_ERRORS, describe_error

FIND_PATH = "/stream-origins/find"
REPLICATE_PATH = "/stream-origins/replicate"
# An entry VM accepts a connection within about 30 ms, also in other regions.
CONNECT_TIMEOUT_S = 0.2

encoder = msgspec.msgpack.Encoder()
query_decoder = msgspec.msgpack.Decoder(OriginQuery)
version_decoder = msgspec.msgpack.Decoder(str | None)
origins_decoder = msgspec.msgpack.Decoder(list[StreamOrigin])


class HttpOriginClient(OriginClient):
    """Client of other entry VMs over persistent connections.

    Callers bound the time of each call.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def find(
        self, entry_vm: ServerAddress, query: OriginQuery
    ) -> Result[str | None, StepError]:
        """Return the software version that an entry VM knows; None for none."""
        return await self.post(entry_vm, FIND_PATH, query, version_decoder)

    async def replicate(
        self, entry_vm: ServerAddress, origins: Sequence[StreamOrigin]
    ) -> Result[list[StreamOrigin], StepError]:
        """Have an entry VM keep origins in memory; return those that it keeps."""
        return await self.post(entry_vm, REPLICATE_PATH, origins, origins_decoder)

    async def post(
        self,
        entry_vm: ServerAddress,
        path: str,
        message: Any,
        decoder: msgspec.msgpack.Decoder,
    ) -> Result[Any, StepError]:
        """Send a message and decode the response."""
        try:
            async with self.session.post(
                f"http://{entry_vm.address}{path}",
                data=encoder.encode(message),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                # Entry VMs of earlier versions of this program do not know the path.
                if response.status != 200:
                    raise ValueError(f"HTTP status {response.status}")
                return Ok(decoder.decode(await response.read()))
        except TRANSPORT_ERRORS as error:
            may_have_run = not isinstance(error, NOT_SENT_ERRORS)
            cause = describe_error(error)
            return Err(StepError("stream.origin", entry_vm.name, cause, may_have_run))


class OriginHandler:
    """Handler of the messages of other entry VMs.

    Parameters
    ----------
    origins : StreamOrigins
        Origins that this entry VM knows.
    """

    def __init__(self, origins: StreamOrigins) -> None:
        self.origins = origins

    def handles(self, request: web.BaseRequest) -> bool:
        """Return whether a request is a message about origins."""
        return request.path in (FIND_PATH, REPLICATE_PATH)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond to one message."""
        if request.method != "POST":
            return web.Response(status=405)
        body = await request.read()
        try:
            if request.path == FIND_PATH:
                answer = await self.origins.answer(query_decoder.decode(body))
            else:
                answer = self.origins.keep(origins_decoder.decode(body))
        except DECODING_ERRORS as error:
            return web.Response(status=400, text=str(error))
        return web.Response(body=encoder.encode(answer))
