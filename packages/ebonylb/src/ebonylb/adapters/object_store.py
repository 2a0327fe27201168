"""HTTP client of the object store."""

from urllib.parse import quote

from result import Err, Ok, Result

from ..interfaces import ObjectStore
from ..outcomes import StepError
from .http import HttpEndpoint


class HttpObjectStore(HttpEndpoint, ObjectStore):
    """Client of the object store; see docs/platform_protocols.md."""

    async def put(self, key: str, body: bytes) -> Result[None, StepError]:
        """Store an object; storing the same key again has no effect."""
        path = "/" + quote(key, safe="")
        response = await self.send_request("platform.put", "PUT", path, data=body)
        if isinstance(response, Err):
            return response
        if response.ok_value.status != 204:
            return Err(self.make_status_error("platform.put", response.ok_value))
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, StepError]:
        """Return an object, or None if there is none."""
        path = "/" + quote(key, safe="")
        response = await self.send_request("platform.get", "GET", path)
        if isinstance(response, Err):
            return response
        if response.ok_value.status == 404:
            return Ok(None)
        if response.ok_value.status != 200:
            return Err(self.make_status_error("platform.get", response.ok_value))
        return Ok(response.ok_value.body)
