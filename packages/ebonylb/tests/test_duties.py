"""Tests of duties: one entry VM at a time calls the platform, whatever fails."""

import asyncio
import contextlib

import aiohttp
import pytest
from aiohttp import web
from result import Ok

from ebonylb.adapters import NullMetrics, SystemClock
from ebonylb.duties import CallBudget, Duty, DutyRunner, DutySource
from ebonylb.interfaces.control_plane import CallOutcome, DutyAuthority, ServerCount
from ebonylb.leases import LeaseTable
from ebonylb.platform.control_plane import HttpControlPlane, trace_lateness
from ebonylb.storage.follower import TableFollower
from ebonylb.storage.store_time import StoreTime
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.control_plane import (
    FakeControlPlane,
    FakeControlPlaneClient,
    RecordedCall,
)
from ebonylb_standins.site.duty_rule import (
    find_alternations,
    find_differing_reports,
    find_falling_tokens,
    find_faults,
    find_shared_tokens,
)
from ebonylb_standins.site.row_store import MemoryRowStore, StoreData

LEASE_MS = 3_000.0
TERM_MS = 3_800.0


class SuspendedClock(LoopClock):
    """Clock of a machine that was suspended for `suspended_ms`."""

    suspended_ms = 0.0

    def boot_ms(self):
        return self.monotonic_ms() + self.suspended_ms


class OrderDuty(Duty, DutySource):
    """Orders a server every second, or as often as it may if `every_ms` is 0."""

    def __init__(self, client, clock, every_ms=1_000.0):
        self.subject = "scale/lm/north"
        self.client, self.clock, self.every_ms = client, clock, every_ms
        self.prepare_ms, self.next_ms = 0.0, 0.0

    def due_duties(self):
        return [self]

    def is_due(self):
        return self.clock.monotonic_ms() >= self.next_ms

    async def prepare(self):
        await self.clock.sleep_ms(self.prepare_ms)
        return True

    async def perform(self, authority):
        self.next_ms = self.clock.monotonic_ms() + self.every_ms
        order = ServerCount("lm", "north", False, 3)
        return await self.client.order_servers(authority, order)


class DutyVm:
    """The duties of one entry VM, without anything else."""

    def __init__(self, site, name):
        self.clock = SuspendedClock()
        self.store = MemoryRowStore(site.data, self.clock)
        self.leases = LeaseTable(self.store, self.clock, name, f"{name}-1", LEASE_MS)
        self.duty = OrderDuty(FakeControlPlaneClient(site.platform, name), self.clock)
        self.runner = DutyRunner(
            name,
            [self.duty],
            self.leases,
            self.clock,
            NullMetrics(),
            CallBudget(50.0, lambda: 3),
            lambda: 12,
            lambda: True,
        )
        follower = TableFollower(
            self.store, self.clock, "orders", self.leases, StoreTime(self.clock)
        )
        self.tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self.runner.run()),
        ]

    def stop(self):
        for task in [*self.tasks, *(s.task for s in self.runner.states.values())]:
            if task is not None:
                task.cancel()


class Site:
    def __init__(self, names="abc"):
        self.data, self.clock = StoreData(), LoopClock()
        self.platform = FakeControlPlane(self.clock)
        self.vms = {name: DutyVm(self, name) for name in names}

    @property
    def calls(self):
        return self.platform.calls

    def holder(self):
        return self.vms[self.calls[-1].holder]

    async def run(self, seconds):
        await self.clock.sleep_ms(seconds * 1_000)

    def check(self):
        assert find_faults(self.calls, LEASE_MS) == []


class TestRunner:
    def test_the_holder_keeps_the_duty(self):
        async def scenario():
            site = Site()
            await site.run(20)
            assert len({call.holder for call in site.calls}) == 1
            assert {call.fence for call in site.calls} == {1}
            assert 15 <= len(site.calls) <= 20
            site.check()

        run_virtual(scenario())

    def test_a_lost_holder_is_replaced_after_its_term(self):
        async def scenario():
            site = Site()
            await site.run(5)
            lost = site.holder()
            lost.stop()
            lost_ms = site.calls[-1].at_ms
            await site.run(10)
            later = [call for call in site.calls if call.holder != lost.runner.name]
            assert TERM_MS - 100 <= later[0].at_ms - lost_ms <= TERM_MS + 2_000
            site.check()

        run_virtual(scenario())

    @pytest.mark.parametrize("boot_clock_only", [False, True])
    def test_a_paused_holder_does_not_call_with_its_old_permit(self, boot_clock_only):
        """Guards against a call after the lease was taken over during the pause.

        The pause is between the write of the lease row and the call. The monotonic
        clock may stand still meanwhile.
        """

        async def scenario():
            site = Site()
            await site.run(5)
            paused = site.holder()
            request_permit = paused.leases.request_permit

            async def request_and_pause(subject):
                paused.leases.request_permit = request_permit
                permit = await request_permit(subject)
                if boot_clock_only:
                    paused.clock.suspended_ms += 6_000
                else:
                    await site.run(6)
                return permit

            paused.leases.request_permit = request_and_pause
            calls = len(site.calls)
            await site.run(1.5)
            assert len(site.calls) == calls + boot_clock_only
            await site.run(12)
            site.check()

        run_virtual(scenario())

    def test_an_entry_vm_without_the_store_stops_and_another_one_goes_on(self):
        async def scenario():
            site = Site()
            await site.run(5)
            cut = site.holder()
            cut.store.faults.down = True
            await site.run(10)
            assert site.holder() is not cut
            cut.store.faults.down = False
            await site.run(10)
            site.check()

        run_virtual(scenario())

    def test_an_entry_vm_that_does_not_reach_the_platform_gives_the_duty_up(self):
        """Guards against a holder that renews its lease and never gets through."""

        async def scenario():
            site = Site()
            await site.run(5)
            cut, cut_ms = site.holder().runner.name, site.clock.monotonic_ms()
            site.platform.cut_off.add(cut)
            await site.run(16)
            later = [call for call in site.calls if call.at_ms > cut_ms]
            assert {call.holder for call in later}.isdisjoint({cut})
            assert later[0].at_ms - cut_ms < 14_000
            site.platform.cut_off.clear()
            await site.run(20)
            site.check()

        run_virtual(scenario())

    def test_a_platform_that_answers_nothing_is_not_flooded(self):
        async def scenario():
            site = Site()
            site.platform.delay_ms = 1_000.0
            await site.run(60)
            assert len(site.calls) <= 60
            site.check()
            site.platform.delay_ms = 4.0
            await site.run(12)
            assert site.clock.monotonic_ms() - site.calls[-1].at_ms < 2_000

        run_virtual(scenario())

    @pytest.mark.parametrize("outcome", [CallOutcome.BUSY, CallOutcome.REJECTED])
    def test_refused_calls_are_repeated_ever_less_often(self, outcome):
        async def scenario():
            site = Site()
            site.platform.outcome = outcome
            for vm in site.vms.values():
                vm.duty.every_ms = 0.0
            await site.run(30)
            assert 8 <= len(site.calls) <= 30
            assert len({call.holder for call in site.calls}) == 1

        run_virtual(scenario())

    def test_calls_stay_within_this_entry_vms_share(self):
        async def scenario():
            site = Site("a")
            site.vms["a"].duty.every_ms = 0.0
            site.vms["a"].runner.budget.calls_per_s = 10.0
            await site.run(30)
            assert 0.6 <= len(site.calls) / (30 * 10.0 * 0.8 / 3) <= 1.02

        run_virtual(scenario())

    def test_a_leaving_entry_vm_starts_nothing(self):
        async def scenario():
            site = Site()
            await site.run(5)
            leaving = site.holder()
            leaving.runner.leaving = True
            calls = len(site.calls)
            await site.run(10)
            names = {call.holder for call in site.calls[calls:]}
            assert len(names) == 1 and leaving.runner.name not in names
            site.check()

        run_virtual(scenario())

    def test_a_slow_preparation_gets_a_new_permit(self):
        """Guards against a permit that is spent on reading rows."""

        async def scenario():
            site = Site()
            for vm in site.vms.values():
                vm.duty.prepare_ms = 900.0
            await site.run(10)
            assert len(site.calls) >= 3
            site.check()

        run_virtual(scenario())


class TestCheckers:
    """Each checker finds its fault in a short history."""

    @staticmethod
    def history(*calls):
        return [
            RecordedCall(ms, "usage", vm, fence, c, 1) for ms, vm, fence, c in calls
        ]

    def test_two_counts_for_one_window(self):
        calls = self.history((0, "a", 1, {"x": 1}), (9_000, "b", 2, {"x": 2}))
        assert find_differing_reports(calls)
        assert not find_falling_tokens(calls) + find_shared_tokens(calls)

    def test_a_lower_token_after_a_higher_one(self):
        calls = self.history((0, "b", 2, {}), (9_000, "a", 1, {}))
        assert find_falling_tokens(calls)

    def test_one_token_of_two_holders(self):
        assert find_shared_tokens(self.history((0, "a", 1, {}), (9_000, "b", 1, {})))

    def test_a_b_a_within_the_term(self):
        calls = self.history((0, "a", 1, {}), (1_000, "b", 2, {}), (2_900, "a", 3, {}))
        assert find_alternations(calls, LEASE_MS)
        assert not find_alternations(calls, 2_000.0)


class TestHttpControlPlane:
    """The adapter against an HTTP server on the loopback address."""

    AUTHORITY = DutyAuthority("vm-1", 7)

    @contextlib.asynccontextmanager
    async def open_client(self, respond, clock):
        async def handle(request):
            return await respond(request, await request.json())

        runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.1)
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            host, port = runner.addresses[0][:2]
            async with aiohttp.ClientSession(
                trace_configs=[trace_lateness(clock)]
            ) as session:
                yield HttpControlPlane(session, f"{host}:{port}", clock)
        finally:
            await runner.cleanup()

    @pytest.mark.parametrize(
        "status, outcome",
        [
            (200, CallOutcome.ACCEPTED),
            (409, CallOutcome.UNAVAILABLE),
            (429, CallOutcome.BUSY),
            (412, CallOutcome.REJECTED),
            (503, CallOutcome.REJECTED),
        ],
    )
    def test_calls_are_those_of_the_platform(self, status, outcome):
        received = []

        async def respond(request, body):
            headers = request.headers
            received.append((request.method, request.path, body))
            assert headers["Ebonylb-Lease-Holder"] == "vm-1"
            assert headers["Ebonylb-Fencing-Token"] == "7"
            return web.Response(status=status)

        async def scenario():
            async with self.open_client(respond, SystemClock()) as client:
                usage = await client.report_usage(self.AUTHORITY, 5, {"x": 2})
                orders = [
                    await client.order_servers(
                        self.AUTHORITY, ServerCount("lm", "north", spot, 3)
                    )
                    for spot in (False, True)
                ]
                assert [usage, *orders] == [Ok(outcome)] * 3

        asyncio.run(scenario())
        order = {"Service": "lm", "Zone": "north", "TargetGroups": 3}
        assert received == [
            ("POST", "/usage", {"Window": 5, "Counts": {"x": 2}}),
            ("POST", "/scale", order),
            ("POST", "/scale", order | {"UseSpot": True}),
        ]

    def test_a_lost_answer_may_have_been_received(self):
        async def respond(request, body):
            request.transport.abort()
            return web.Response()

        async def scenario():
            async with self.open_client(respond, SystemClock()) as client:
                return await client.report_usage(self.AUTHORITY, 5, {})

        assert asyncio.run(scenario()).err_value.may_have_run

    def test_nothing_is_sent_after_a_suspension_during_the_connect(self):
        """Guards against a call under a permit that has ended meanwhile."""
        received = []

        async def respond(request, body):
            received.append(body)
            return web.Response()

        class SuspendedOnce(SystemClock):
            calls = 0

            def boot_ms(self):
                self.calls += 1
                return super().boot_ms() + (self.calls > 1) * 5_000

        async def scenario():
            async with self.open_client(respond, SuspendedOnce()) as client:
                return await client.report_usage(self.AUTHORITY, 5, {})

        assert not asyncio.run(scenario()).err_value.may_have_run
        assert received == []
