"""Entry VMs that reach servers, as a pool to which requests are passed on."""

import random
from collections.abc import Callable
from dataclasses import replace

from result import Ok, Result

from ..admission import RoomObserver
from ..admission.model import IgnoredRoom
from ..fleet import ListedServer, ServerCondition, ServerSelector, distance_of
from ..forwarding.messages import CallerResponse, make_refusal
from ..forwarding.request_state import RequestState
from ..forwarding.server_pool import ServerPool
from ..interfaces.relay import RelayClient, RelayedRequest
from ..interfaces.server_client import (
    ResponseHead,
    ServerAddress,
    ServerRequest,
    ServerResponse,
)
from ..outcomes import Outcome, StepError
from ..routes import Route
from .entry_vms import EntryVms
from .receiver import CANNOT_HELP_REASONS

# The other entry VM sends a hedged copy itself. A second entry VM gets the request only
# when the first one seems to be lost.
HEDGE_DELAY_SHARE = 0.7
MAX_SENDINGS = 2
# An entry VM that cannot help is not asked again for this time.
CANNOT_HELP_BACKOFF_MS = 500.0
# Cost of an entry VM by its distance, and for each request in progress there.
DISTANCE_COST = (0.0, 2.0, 8.0)
# Cost of an entry VM that has not answered within the time: it may have ended since.
UNPROVEN_COST = 4.0
PROVEN_MS = 5_000.0
# All entry VMs check this often whether they reach servers again.
NONE_REACHES_RETRY_AFTER_MS = 500
RETRY_AFTER_MS = 100
# Refusals of the other entry VM because the servers of a service are full.
LACK_OF_ROOM_REASONS = ("overloaded", "server_limit")

NoteAnswer = Callable[[ServerAddress, ResponseHead, float], None]


class RelayPool(ServerPool):
    """Other entry VMs that reach servers.

    Parameters
    ----------
    name : str
        Name of this entry VM.
    entry_vms : EntryVms
        Entry VMs and whether they reach servers.
    selector : ServerSelector
        Location of this entry VM, and the gaps between events.
    relay_client : RelayClient
        Connections to entry VMs.
    report_lost : callable
        Called when a request could not be passed on to an entry VM.
    note_answer : callable
        Called with the server, the head and the monotonic time of the sending of each
        answer that is passed on: what a server says of itself holds here, too.

    Attributes
    ----------
    room : RoomObserver
        Is told whether servers have room; set once.
    """

    def __init__(
        self,
        name: str,
        entry_vms: EntryVms,
        selector: ServerSelector,
        relay_client: RelayClient,
        report_lost: Callable[[], None],
        note_answer: NoteAnswer,
    ) -> None:
        self.name = name
        self.entry_vms = entry_vms
        self.selector = selector
        self.relay_client = relay_client
        self.report_lost = report_lost
        self.note_answer = note_answer
        self.room: RoomObserver = IgnoredRoom()

    @property
    def hedge_delay_share(self) -> float:
        """Share of the target latency after which a second entry VM is asked."""
        return HEDGE_DELAY_SHARE

    def max_attempts(self, route: Route) -> int:
        """Return to how many entry VMs a request may be passed on."""
        return min(MAX_SENDINGS, route.attempts)

    def cost(self, entry_vm: ListedServer) -> tuple[bool, float, float]:
        """Return the sort key of an entry VM, the best first."""
        condition = self.condition(entry_vm)
        now = self.selector.clock.monotonic_ms()
        distance = distance_of(self.selector.locality, entry_vm.failure_domain)
        is_proven = now - condition.last_sign_ms < PROVEN_MS
        return (
            condition.is_backing_off(now),
            DISTANCE_COST[distance]
            + condition.own_requests
            + (0.0 if is_proven else UNPROVEN_COST),
            random.random(),
        )

    def pick(self, state: RequestState) -> ListedServer | None:
        """Return the best entry VM that was not asked yet; None if there is none."""
        untried = (
            entry_vm
            for entry_vm in self.entry_vms.helpers()
            if entry_vm.name not in state.tried_servers
        )
        return min(untried, key=self.cost, default=None)

    def has_server(self, state: RequestState) -> bool:
        """Return whether any entry VM reaches servers."""
        return bool(self.entry_vms.helpers())

    def can_continue_elsewhere(self, state: RequestState) -> bool:
        """Return whether another entry VM than the last one reaches servers."""
        return any(
            entry_vm.name != state.sent_to[-1] for entry_vm in self.entry_vms.helpers()
        )

    def refuse(self, state: RequestState) -> CallerResponse:
        """Return the refusal of a request that no entry VM can have run now."""
        outcome = Outcome.MAY_HAVE_RUN if state.may_have_run else Outcome.NOT_RUN
        none_reaches = not self.entry_vms.helpers()
        return make_refusal(
            outcome,
            "no_server_reachable",
            "this entry VM reaches no server, and no other one could help",
            NONE_REACHES_RETRY_AFTER_MS if none_reaches else RETRY_AFTER_MS,
        )

    def refuse_full(self, state: RequestState) -> CallerResponse:
        """Return the refusal of a request that several entry VMs have refused."""
        return self.refuse(state)

    def record_unmet(self, state: RequestState) -> None:
        """Do nothing: the limits of servers are those of the other entry VM."""

    def condition(self, server: ListedServer) -> ServerCondition:
        """Return how relaying to an entry VM went."""
        return self.entry_vms.condition(server.name)

    def median_gap_ms(self, service: str) -> float:
        """Return the usual gap between the events of a service's streams."""
        return self.selector.median_gap_ms(service)

    def make_request(
        self, state: RequestState, deadline_ms: float, resume_after: int | None
    ) -> ServerRequest:
        """Return the request to pass on.

        The first entry VM may use all attempts but one, which is left for the second.
        Only one of them counts the request for its customer.
        """
        attempts = state.route.attempts - 1 if state.counted_attempts <= 1 else 1
        is_copy = state.counted_attempts > 1
        customer = "" if is_copy else state.usage_customer(resume_after)
        if resume_after is None:
            resume_after = state.request.resume_after
        return RelayedRequest(
            state.request.method,
            state.request.target,
            state.request.headers,
            state.request.body,
            state.request.request_id,
            deadline_ms,
            resume_after,
            entry_vm=self.name,
            host=state.request.host,
            path=state.request.path,
            route=replace(
                state.route, attempts=max(1, attempts), priority=state.priority
            ),
            service=state.service,
            stream_id=state.stream_id,
            software_version=state.software_version,
            spare_slots=state.spare_slots,
            counts_crashes=state.fingerprint is not None,
            customer=customer,
        )

    async def send(
        self, server: ListedServer, request: ServerRequest
    ) -> Result[ServerResponse, StepError]:
        """Pass a request on and return its response once the head has arrived."""
        assert isinstance(request, RelayedRequest)
        sent_ms = self.selector.clock.monotonic_ms()
        opened = await self.relay_client.open(server.endpoint, request)
        if not isinstance(opened, Ok):
            self.condition(server).last_sign_ms = -1e12
            self.report_lost()
            return opened
        response = opened.ok_value
        head = response.head
        condition = self.condition(server)
        condition.last_sign_ms = self.selector.clock.monotonic_ms()
        if head.answered_by is not None:
            self.note_answer(head.answered_by.address, head, sent_ms)
        if head.refusal is not None and head.refusal.reason in CANNOT_HELP_REASONS:
            condition.backoff_until_ms = condition.last_sign_ms + CANNOT_HELP_BACKOFF_MS
            response.head = replace(head, refusal=None, not_run=True)
        else:
            reason = head.refusal.reason if head.refusal else ""
            self.room.record_attempt(request.service, reason in LACK_OF_ROOM_REASONS)
        return opened

    async def record_lost_connection(
        self, state: RequestState, server: ListedServer
    ) -> None:
        """Do nothing: the other entry VM records crashes of servers."""
