"""Choice between the servers that this entry VM reaches and other entry VMs."""

import asyncio

from ..fleet import ServerReachability
from ..interfaces import Metrics
from ..outcomes import Outcome
from ..routes import RouteKind
from .deadline import Runs
from .messages import CallerResponse, CallerStream
from .request_runs import Failover, RequestRuns
from .request_state import RequestState

# New connections may be refused while open ones live on. If a server has sent a byte
# within this time, requests that have a connection may still be answered, and wait as
# long again.
OPEN_CONNECTION_GRACE_MS = 300.0


def can_repeat(state: RequestState) -> bool:
    """Return whether a request may run a second time."""
    route = state.route
    if route.kind is RouteKind.STREAMING:
        return route.resumable
    return route.kind is RouteKind.IDEMPOTENT


class FailoverRuns(Runs, Failover):
    """Runs requests on the servers, or through other entry VMs while cut off from them.

    Parameters
    ----------
    direct : RequestRuns
        Runs requests on the servers that this entry VM reaches itself.
    relayed : RequestRuns
        Passes requests on to other entry VMs.
    reachability : ServerReachability
        Whether this entry VM reaches servers.

    Attributes
    ----------
    waiting : dict of asyncio.Timeout to RequestState
        Requests without a response, and what ends their wait for the servers.
    """

    def __init__(
        self,
        direct: RequestRuns,
        relayed: RequestRuns,
        reachability: ServerReachability,
        metrics: Metrics,
    ) -> None:
        self.direct = direct
        self.relayed = relayed
        self.reachability = reachability
        self.metrics = metrics
        self.waiting: dict[asyncio.Timeout, RequestState] = {}
        reachability.listeners.append(self.handle_change)
        direct.failover = relayed.failover = self

    def current_runs(self) -> RequestRuns:
        """Return the runs for work that begins now."""
        return self.relayed if self.reachability.is_cut_off else self.direct

    async def choose_runs(self, has_failed_to_connect: bool) -> RequestRuns:
        """Return the runs for work that begins now, after a check if one has failed."""
        if has_failed_to_connect and not self.reachability.is_cut_off:
            await self.reachability.check_unless_recent()
        return self.current_runs()

    async def run(self, state: RequestState) -> CallerResponse | CallerStream:
        """Run a request and return its final response, which may be a refusal."""
        if self.reachability.is_cut_off:
            return await self.relay(state)
        try:
            async with asyncio.timeout(None) as wait:
                self.waiting[wait] = state
                try:
                    response = await self.direct.run(state)
                finally:
                    del self.waiting[wait]
        except TimeoutError:
            if not wait.expired():
                raise
            return await self.relay(state)
        refusal = getattr(response, "refusal", None)
        if (
            refusal is not None
            and refusal.outcome is Outcome.NOT_RUN
            and state.failed_connections
            and not await self.reachability.check_unless_recent()
        ):
            return await self.relay(state)
        return response

    async def relay(self, state: RequestState) -> CallerResponse | CallerStream:
        """Pass a request on to another entry VM and return its response."""
        self.metrics.incr("forward.relayed")
        state.leave_pool()
        return await self.relayed.run(state)

    def handle_change(self) -> None:
        """End the waits for servers that this entry VM does not reach any more.

        A request that may run once only stays where it is once it has a connection.
        """
        if not self.reachability.is_cut_off:
            return
        now_s = asyncio.get_running_loop().time()
        grace_s = OPEN_CONNECTION_GRACE_MS / 1000
        if not self.reachability.has_heard_within(OPEN_CONNECTION_GRACE_MS):
            grace_s = 0.0
        for wait, state in self.waiting.items():
            if wait.expired():
                continue
            if not state.may_have_run:
                wait.reschedule(now_s)
            elif can_repeat(state):
                wait.reschedule(now_s + grace_s)
        self.direct.hurry_stalled_streams(grace_s)
