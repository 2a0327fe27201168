"""HTTP client of the VM list."""

import msgspec
from result import Err, Ok, Result
from xxhash import xxh3_128_digest

from ..interfaces import VmEntry, VmList
from ..outcomes import StepError
from .http import HttpEndpoint


class EntriesResponse(msgspec.Struct):
    """Response with all entries of the list."""

    entries: list[VmEntry]


class HttpVmList(HttpEndpoint, VmList):
    """Client of the VM list; see docs/platform_protocols.md.

    A response with the same body as the previous one returns the same list object.
    Decoding and comparing 12,340 entries takes tens of milliseconds, and most
    responses contain no change.
    """

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self.body_digest = b""
        self.last_entries: list[VmEntry] = []

    async def entries(self) -> Result[list[VmEntry], StepError]:
        """Read the current list."""
        step = "vms.entries"
        response = await self.send_request(step, "GET", "")
        if isinstance(response, Err):
            return response
        digest = xxh3_128_digest(response.ok_value.body)
        if response.ok_value.status == 200 and digest == self.body_digest:
            return Ok(self.last_entries)
        decoded = self.decode(step, response.ok_value, EntriesResponse)
        if isinstance(decoded, Err):
            return decoded
        self.body_digest, self.last_entries = digest, decoded.ok_value.entries
        return Ok(self.last_entries)
