"""Tests of requests that crash servers, and of sound ones that were running there."""

import asyncio
import contextlib
import dataclasses

import pytest

from ebonylb.forwarding import CallerRequest, CallerStream, strikes
from ebonylb.forwarding.strikes import MAX_STRIKES
from ebonylb.outcomes import Outcome, StepError
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
        self.crashes = 0

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

    async def read(self, vm, path, events=24, **fields):
        """Read a stream and return how many events came, and whether it was whole."""
        response = await self.ask(vm, path, events=events, **fields)
        if not isinstance(response, CallerStream):
            return 0, False
        received = 0
        with contextlib.suppress(StepError):
            async for _ in response.chunks:
                received += 1
            return received, True
        return received, False

    def revive(self):
        """Let the servers that crashed come back, as new starts."""
        for server in self.servers:
            if server.mode == "absent":
                self.crashes += 1
                server.mode = "serves"
                options = self.world.listing_options.setdefault(server.name, {})
                options["started_ms"] = options.get("started_ms", 1) + 1
        self.world.refresh()

    async def crash_repeatedly(self, path, crashes, events=0, **fields):
        """Send a request that crashes servers, at each entry VM in turn."""
        self.world.port.crashing_targets[path] = events
        while self.crashes < crashes:
            vm = self.vms[self.requests % len(self.vms)]
            await self.read(vm, path, **fields)
            await self.world.clock.sleep_ms(PROPAGATION_MS)
            self.revive()

    def runs_since(self, number):
        """Return how many runs the requests after a number had."""
        return sum(
            int(request_id[1:]) > number
            for server in self.servers
            for request_id in server.started_request_ids
        )

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


class TestCapacity:
    # Guards against a table that grows with each request that crashes a server.
    def test_the_rows_of_the_oldest_request_are_deleted(self, monkeypatch):
        monkeypatch.setattr(strikes, "MAX_FINGERPRINTS", 2)

        async def scenario():
            site = Site()
            for crash, fingerprint in enumerate(("a", "b", "b", "a", "c")):
                site.vms[0].strikes.record_crash(fingerprint, str(crash))
                await site.world.clock.sleep_ms(PROPAGATION_MS)
            keys = [row.key.partition(".")[0] for row in site.stored_rows()]
            assert sorted(keys) == ["a", "a", "c"]
            assert list(site.vms[1].strikes.crashes) == ["a", "c"]

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


class TestCrashingStreams:
    # Guards against a stream that crashes one server after another (review/15).
    @pytest.mark.parametrize("path", ["/chat/7e57", "/live/7e57"])
    @pytest.mark.parametrize("events", [0, 3])
    @pytest.mark.parametrize("restarts", [False, True])
    def test_a_stream_that_crashes_servers_is_given_up(self, path, events, restarts):
        async def scenario():
            site = Site()
            await site.crash_repeatedly(path, 3, events)
            sent = site.requests
            if restarts:
                for vm in site.vms:
                    vm.stop()
                site.vms = [site.world.start("a"), site.world.start("b", "south")]
                await site.world.clock.sleep_ms(PROPAGATION_MS)
            for number in range(6):
                response = await site.ask(site.vms[number % 2], path, events=24)
                assert response.refusal.outcome is Outcome.GIVEN_UP
            assert site.runs_since(sent) == 0
            assert await site.read(site.vms[0], "/chat/1") == (24, True)

        run_virtual(scenario())

    # Guards against a stream that its caller takes up until all servers are gone.
    def test_a_stream_that_its_caller_takes_up_is_given_up(self):
        async def scenario():
            site = Site()
            site.world.port.crashing_targets["/chat/7e57"] = 3
            received, fields = 0, {}
            while site.crashes < 3:
                events, _ = await site.read(site.vms[0], "/chat/7e57", **fields)
                received += events
                fields = {"resume_after": received, "resumes": "q1"}
                site.revive()
                await site.world.clock.sleep_ms(PROPAGATION_MS)
            sent = site.requests
            for vm in site.vms * 3:
                response = await site.ask(vm, "/chat/7e57", events=24, **fields)
                assert response.refusal.outcome is Outcome.GIVEN_UP
            assert site.runs_since(sent) == 0

        run_virtual(scenario())


class TestSoundStreams:
    # Guards against streams that are refused because a server crashed beside them.
    @pytest.mark.parametrize("is_alike", [False, True])
    def test_streams_beside_one_that_crashes_servers_are_served(self, is_alike):
        async def scenario():
            site = Site()
            wholes = []

            async def read_streams(client):
                for number in range(6):
                    path = "/chat/1" if is_alike else f"/chat/{client}-{number}"
                    vm = site.vms[client % 2]
                    whole = False
                    while not whole:
                        _, whole = await site.read(vm, path, events=60)
                        wholes.append(whole)
                        await site.world.clock.sleep_ms(300)

            reading = [asyncio.create_task(read_streams(n)) for n in range(8)]
            await site.crash_repeatedly("/chat/7e57", 3, 3)
            for _ in range(5):
                await site.world.clock.sleep_ms(1_000)
                for server in site.servers[:2]:
                    server.mode = "absent"
                await site.world.clock.sleep_ms(1_000)
                site.revive()
            async with asyncio.timeout(60):
                await asyncio.gather(*reading)
            assert wholes.count(True) == 48

        run_virtual(scenario())

    # Guards against a stream that is refused after two crashes that it did not cause.
    def test_a_stream_that_met_two_crashes_is_served(self):
        async def scenario():
            site = Site()
            for vm in site.vms:
                site.set_mode("crashes")
                assert await site.read(vm, "/live/1") == (0, False)
                site.revive()
                site.set_mode("serves")
                await site.world.clock.sleep_ms(PROPAGATION_MS)
            assert site.crashes == 2
            for vm in site.vms:
                assert await site.read(vm, "/live/1") == (24, True)

        run_virtual(scenario())

    # Guards against a stream that is refused since it met one that crashes servers on
    # each of its servers, as both are sent to the least loaded one.
    def test_a_stream_that_shared_three_crashes_is_served(self):
        async def scenario():
            site = Site()
            for _ in range(3):
                site.world.port.crashing_targets["/live/7e57"] = 3
                for server in site.servers[1:]:
                    server.mode = "refuses"
                sound = asyncio.create_task(site.read(site.vms[0], "/live/1"))
                await site.read(site.vms[1], "/live/7e57")
                assert await sound != (24, True)
                site.revive()
                site.set_mode("serves")
                await site.world.clock.sleep_ms(PROPAGATION_MS)
            assert site.crashes == 3
            for vm in site.vms:
                assert await site.read(vm, "/live/1") == (24, True)
            await site.world.clock.sleep_ms(PROPAGATION_MS)
            for vm in site.vms:
                response = await site.ask(vm, "/live/7e57", events=24)
                assert response.refusal.outcome is Outcome.GIVEN_UP

        run_virtual(scenario())

    # Guards against crashes that count against streams long after they began.
    def test_a_crash_in_the_middle_does_not_count(self):
        async def scenario():
            site = Site()
            reading = asyncio.create_task(site.read(site.vms[0], "/live/1", 100))
            await site.world.clock.sleep_ms(2_000)
            site.set_mode("absent")
            _, whole = await reading
            assert not whole
            assert not site.vms[0].strikes.crashes

        run_virtual(scenario())
