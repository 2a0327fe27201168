"""Broken variants of the entry VM process, which the soak must detect.

Each variant disables the mechanism behind one guarantee; see `broken`.
"""

from collections.abc import Callable
from dataclasses import replace

from result import Ok

from ebonylb.batches import item_attempt, item_run, repository, rows
from ebonylb.customers import revocation_bound
from ebonylb.fleet import directory
from ebonylb.forwarding import attempt, failover, request_runs, stream_origins
from ebonylb.leases import table
from ebonylb.limits import shares
from ebonylb.orders import leases
from ebonylb.platform import identity_headers, ingress
from ebonylb.usage import report_table, reporter


def repeat_bookings() -> None:
    """Send a non-idempotent request again after a broken response."""
    request_runs.RequestRuns.run_non_idempotent = (
        request_runs.RequestRuns.run_idempotent
    )


def call_broken_not_run() -> None:
    """Treat a broken connection as a refusal that did not run."""
    original = attempt.AttemptResult.__init__

    def init(self, outcome, *args, **options):
        if outcome is attempt.AttemptOutcome.MAY_HAVE_RUN:
            outcome = attempt.AttemptOutcome.NOT_RUN
        original(self, outcome, *args, **options)

    attempt.AttemptResult.__init__ = init


def write_blindly() -> None:
    """Commit whatever the version of the progress row is."""
    original = repository.BatchRepository.commit

    async def commit(self, version, progress, puts):
        key = rows.progress_key(progress.header.batch_id)
        page = await self.store.read(key.table, key.part, key.key, key.key + "!")
        if page.is_ok() and version:
            version = next((r.version for r in page.ok_value.rows), version)
        return await original(self, version, progress, puts)

    repository.BatchRepository.commit = commit


def order_without_waiting() -> None:
    """Order a server at once, without waiting for the previous holder's lease."""
    table.LeaseTable.can_claim = lambda self, subject: True
    leases.OrderLeases.is_holder = lambda self, server: True


def join_loosely() -> None:
    """Accept events of a resumed stream whatever their position is."""
    original = item_attempt.ItemAttempts.open

    async def open_from_start(self, server, state):
        kept, state.events = state.events, []
        try:
            return await original(self, server, state)
        finally:
            state.events = kept

    item_attempt.ItemAttempts.open = open_from_start

    async def read_events(self, server, state, need, response, version, silence):
        async for event in response.events():
            silence.record_event()
            state.add_event(event.data, version or 1, server.software_version)

    item_attempt.ItemAttempts.read_events = read_events


def score_early() -> None:
    """Ask for the score of an item before its text is generated."""
    original = item_run.ItemRunner.run

    async def run(self, state, header, route, due_ms, abandon_at_ms, *further):
        if state.item.scoring is not None:
            await self.scorer.score(state.item, header, route, due_ms, abandon_at_ms)
        return await original(
            self, state, header, route, due_ms, abandon_at_ms, *further
        )

    item_run.ItemRunner.run = run


def list_without_score() -> None:
    """Return the text of an item whose score could not be had."""
    item_run.ItemRunner.abandon = lambda self, state, reason: state.result()


def forget_departures() -> None:
    """Go by the list only, whatever servers say of their departure."""
    directory.ServerDirectory.record_departure = lambda self, endpoint: None


def share_no_limits() -> None:
    """Keep to the limits of servers as if no other entry VM sent anything."""
    shares.LimitShares.slot_shares = lambda self, service: shares.SlotShares(
        {self.name: 1}
    )


def forget_origins() -> None:
    """Take a caller's stream up on any software version."""

    async def required_version(self, request, service):
        return Ok(None)

    stream_origins.StreamOrigins.required_version = required_version


def never_relay() -> None:
    """Send requests to servers only, whether they can be reached or not."""
    failover.FailoverRuns.run = lambda self, state: self.direct.run(state)


def relay_again() -> None:
    """Pass a request on although it has had a connection and may run only once."""
    failover.can_repeat = lambda state: True


def honour_keys_forever() -> None:
    """Honour the keys of the last configuration known, however old it is."""
    revocation_bound.RevocationBound.may_honour_keys = lambda self: self.has_view


def pass_keys_on() -> None:
    """Send servers the caller's key beside the customer's name."""

    def add_identity(headers, customer):
        kept = tuple((str(name), value) for name, value in headers)
        return kept + identity_headers.customer_headers(customer)

    ingress.replace_identity = add_identity


def sum_again() -> None:
    """Send each report twice, and sum the counts of its window each time."""
    original = reporter.UsageReporter.prepare
    original_end = report_table.ReportTable.end
    sent: set[int] = set()

    async def prepare(self):
        is_prepared = await original(self)
        if is_prepared:
            read = await self.count_table.read_sum(self.pending.window)
            if read.is_ok():
                row = report_table.ReportRow(read.ok_value.counts)
                self.pending = replace(self.pending, row=row)
        return is_prepared

    async def end(self, report, state):
        if report.window not in sent:
            sent.add(report.window)
            return True
        return await original_end(self, report, state)

    reporter.UsageReporter.prepare = prepare
    report_table.ReportTable.end = end


def act_without_lease() -> None:
    """Make the calls of all duties, whoever holds their leases."""
    table.LeaseTable.can_claim = lambda self, subject: True
    table.LeaseTable.is_holder = lambda self, subject: True


VARIANTS: dict[str, Callable[[], None]] = {
    function.__name__: function
    for function in (
        repeat_bookings,
        call_broken_not_run,
        write_blindly,
        order_without_waiting,
        join_loosely,
        score_early,
        list_without_score,
        forget_departures,
        share_no_limits,
        forget_origins,
        never_relay,
        relay_again,
        honour_keys_forever,
        pass_keys_on,
        sum_again,
        act_without_lease,
    )
}
