"""HTTP client of the weight store."""

from urllib.parse import quote

import msgspec
from result import Result

from ..interfaces import WeightStore, WeightVersion
from ..outcomes import StepError
from .http import HttpEndpoint


class LatestResponse(msgspec.Struct):
    """Response with the latest version."""

    latest: WeightVersion | None


class HttpWeightStore(HttpEndpoint, WeightStore):
    """Client of the weight store; see docs/platform_protocols.md."""

    async def latest(self, service: str) -> Result[WeightVersion | None, StepError]:
        """Return the latest published version, or None if there is none."""
        path = "/latest/" + quote(service, safe="")
        response = await self.fetch("weights.latest", "GET", path, LatestResponse)
        return response.map(lambda decoded: decoded.latest)
