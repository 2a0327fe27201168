"""Runs of requests that are passed on to other entry VMs."""

from ..fleet import ListedServer
from ..forwarding.request_runs import RequestRuns
from ..forwarding.request_state import RequestState


class RelayedRuns(RequestRuns):
    """Runs whose servers are entry VMs, which store the origins of streams."""

    async def begin_stream(self, state: RequestState, server: ListedServer) -> None:
        """Bind a stream to the software version of its server."""
        state.software_version = self.origins.bind(
            state.stream_id, state.service, server.software_version
        )
