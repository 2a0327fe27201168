"""Explanation of the placement of a single request."""

from ..fleet import ListedServer, ServerDirectory, ServerSelector, ServerStage
from ..forwarding import CallerRequest, DirectPool, Forwarder
from ..forwarding.request_state import RequestState
from ..forwarding.stream_origins import StreamOrigins
from ..relay import EntryVms, RelayPool
from ..routes import Route, RouteKind
from .model import Candidate, Explanation, Verdict, make_candidate

LEAVING = "leaving"
BACKOFF = "backoff"


class RequestExplainer:
    """Explains single requests with the rules of the pools that run them.

    Parameters
    ----------
    forwarder : Forwarder
        Forwarder of requests.
    direct_pool : DirectPool
        Servers that this entry VM reaches.
    relay_pool : RelayPool
        Other entry VMs, which pass requests on while this one is cut off.
    origins : StreamOrigins
        Software versions on which streams begin.
    entry_vms : EntryVms
        Entry VMs that reach servers.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        direct_pool: DirectPool,
        relay_pool: RelayPool,
        origins: StreamOrigins,
        entry_vms: EntryVms,
    ) -> None:
        self.forwarder = forwarder
        self.direct_pool = direct_pool
        self.relay_pool = relay_pool
        self.origins = origins
        self.entry_vms = entry_vms

    @property
    def directory(self) -> ServerDirectory:
        """Listed servers."""
        return self.direct_pool.directory

    @property
    def selector(self) -> ServerSelector:
        """Costs of servers."""
        return self.direct_pool.selector

    def explain(
        self, request: CallerRequest, route: Route, explanation: Explanation
    ) -> None:
        """Fill in where a request would be sent."""
        state = self.forwarder.begin(request, route)
        explanation.service = state.service
        if route.kind is RouteKind.STREAMING:
            state.software_version = self.origins.version_for_new_stream(state.service)
        if self.direct_pool.reachability.is_cut_off:
            self.explain_relay(state, explanation)
            return
        accepted: list[ListedServer] = []
        candidates: dict[str, Candidate] = {}
        for server in self.directory.servers.values():
            if server.service != state.service:
                continue
            reason = self.exclusion(server, state)
            if reason is None:
                accepted.append(server)
            candidates[server.name] = make_candidate(server, None, reason)
        preferred = self.selector.preferred(accepted, state.spare_slots)
        preferred_names = {server.name for server in preferred}
        for server in accepted:
            reason = None if server.name in preferred_names else BACKOFF
            cost = self.selector.plain_cost(server)
            candidates[server.name] = make_candidate(server, cost, reason)
        explanation.candidates = list(candidates.values())
        if not preferred:
            refused = self.direct_pool.find_refusal(state)
            explanation.refuse(refused.refusal, refused.status)
            return
        totals = {s.name: self.selector.plain_cost(s).total for s in preferred}
        lowest = min(totals.values())
        explanation.verdict = Verdict.SENT
        explanation.server, *explanation.equal_servers = (
            name for name, total in totals.items() if total == lowest
        )

    def exclusion(self, server: ListedServer, state: RequestState) -> str | None:
        """Return what excludes a server, before the rules that compare servers."""
        if server.stage is not ServerStage.READY:
            return LEAVING
        return self.selector.plain_exclusion(
            server, state.software_version, self.selector.limits.would_accept
        )

    def explain_relay(self, state: RequestState, explanation: Explanation) -> None:
        """Fill in to which entry VMs a request could be passed on."""
        helpers = self.entry_vms.list_helpers()
        if not helpers:
            refused = self.relay_pool.refuse(state)
            explanation.refuse(refused.refusal, refused.status)
            return
        explanation.verdict = Verdict.RELAYED
        explanation.candidates = [make_candidate(vm, None) for vm in helpers]
