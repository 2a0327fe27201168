"""Tests of requests that crash servers, and of sound ones that were running there."""

import dataclasses

import pytest

from ebonylb.forwarding import CallerRequest
from ebonylb.forwarding.strikes import MAX_STRIKES
from ebonylb.outcomes import Outcome
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import World

SERVERS = 6
# Time in which entry VMs learn of a crash, and of its deletion.
PROPAGATION_MS = 1_500.0


class Site:
    """Two entry VMs before plain services that requests may crash."""

    def __init__(self):
        self.world = World(plain_services=SERVERS)
        self.vms = [self.world.start("a"), self.world.start("b", "south")]
        self.requests = 0

    @property
    def servers(self):
        return [s for n, s in self.world.port.servers.items() if n.startswith("p")]

    def set_mode(self, mode):
        for server in self.servers:
            server.mode = mode

    def count_crashes(self):
        return sum(server.mode == "absent" for server in self.servers)

    def stored_rows(self):
        return [row for row in self.world.data.rows if row.table == "strikes"]

    async def ask(self, vm, path="/ask/1", body=b"x", events=0, **fields):
        """Send a request with a new id and return its response."""
        self.requests += 1
        request_id = f"q{self.requests}"
        self.world.port.planned_responses[request_id] = PlannedResponse(events=events)
        request = CallerRequest(
            request_id,
            "POST",
            "site",
            path,
            path,
            (("Host", "site"),),
            body,
            self.world.clock.monotonic_ms(),
            2_000.0,
        )
        request = dataclasses.replace(request, **fields)
        return await vm.forwarder.serve(request, vm.forwarder.find_route(request))

    async def crash_under(self, vm, path="/ask/1"):
        """Let servers crash under a request at an entry VM, and come back."""
        self.set_mode("crashes")
        await self.ask(vm, path)
        crashes = self.count_crashes()
        self.set_mode("serves")
        return crashes


class TestCompletedRequests:
    # Guards against a sound request that is refused for good (review/5).
    @pytest.mark.parametrize("completed_at", [0, 1])
    def test_a_request_that_has_completed_is_not_blocked(self, completed_at):
        async def scenario():
            site = Site()
            for vm in site.vms:
                if vm is site.vms[completed_at]:
                    assert (await site.ask(vm)).status == 200
            assert await site.crash_under(site.vms[0]) >= MAX_STRIKES
            await site.world.clock.sleep_ms(PROPAGATION_MS)
            for vm in site.vms:
                assert (await site.ask(vm)).status == 200

        run_virtual(scenario())

    # Guards against rows of crashes that stay in the store for good.
    def test_its_crashes_are_deleted(self):
        async def scenario():
            site = Site()
            await site.ask(site.vms[1])
            await site.crash_under(site.vms[0])
            assert site.vms[0].strikes.crashes
            await site.world.clock.sleep_ms(PROPAGATION_MS)
            assert not site.stored_rows()
            assert not any(vm.strikes.crashes for vm in site.vms)

        run_virtual(scenario())

    def test_a_request_that_never_completed_stays_blocked(self):
        async def scenario():
            site = Site()
            assert (await site.ask(site.vms[1], body=b"other")).status == 200
            await site.crash_under(site.vms[0])
            await site.world.clock.sleep_ms(PROPAGATION_MS)
            for vm in site.vms:
                response = await site.ask(vm)
                assert response.refusal.outcome is Outcome.GIVEN_UP
            later = site.world.start("c")
            await site.world.clock.sleep_ms(PROPAGATION_MS)
            assert (await site.ask(later)).refusal.outcome is Outcome.GIVEN_UP

        run_virtual(scenario())


class TestStoreOutage:
    # Guards against a crash that other entry VMs never learn of.
    def test_a_crash_is_stored_once_the_store_is_back(self):
        async def scenario():
            site = Site()
            site.world.data.failing_parts.add("")
            await site.crash_under(site.vms[0])
            await site.world.clock.sleep_ms(3_000)
            assert not site.stored_rows()
            site.world.data.failing_parts.clear()
            await site.world.clock.sleep_ms(PROPAGATION_MS)
            response = await site.ask(site.vms[1])
            assert response.refusal.outcome is Outcome.GIVEN_UP

        run_virtual(scenario())
