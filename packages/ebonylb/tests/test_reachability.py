"""Tests of the check whether any backend server is reachable."""

import asyncio

import pytest
from result import Err, Ok

from ebonylb.fleet import (
    ListedServer,
    ReachabilityNotingClient,
    ServerDirectory,
    ServerReachability,
    ServerStage,
)
from ebonylb.fleet.reachability import (
    CONNECT_TIMEOUT_MS,
    MAX_OTHER_SERVERS,
    MAX_RESULT_AGE_MS,
    MAX_SILENCE_MS,
    MIN_CHECK_INTERVAL_MS,
    RECHECK_INTERVAL_MS,
    WATCH_INTERVAL_MS,
)
from ebonylb.forwarding import CallerRequest
from ebonylb.interfaces.server_client import (
    ResponseHead,
    ServerActivity,
    ServerRequest,
)
from ebonylb.outcomes import StepError
from ebonylb_standins.histories.virtual_time import LoopClock, run_virtual
from ebonylb_standins.site.cut_path import CutPath, PathState
from ebonylb_standins.site.servers import FakeServer, FakeServers
from ebonylb_standins.site.world import World

# Until a cut is known: a slow connection is noticed, and a check runs. The check ends
# when the other servers, which are tried after the first one, have not answered.
DETECTED_MS = 100.0 + 80.0 + CONNECT_TIMEOUT_MS + 50.0


class Site:
    """Servers of two services, and what one entry VM notes of them."""

    def __init__(self, servers=6):
        self.clock = LoopClock()
        self.servers = FakeServers(self.clock)
        self.path = CutPath(self.servers, self.clock)
        self.directory = ServerDirectory(self.clock)
        for number in range(servers):
            self.servers.add(FakeServer(f"s{number}"))
            self.directory.put(
                ListedServer(
                    f"s{number}",
                    f"service-{number % 2}",
                    f"10.0.0.{number}:80",
                    "north",
                    ServerStage.READY,
                )
            )
        self.connections = 0
        self.reachability = ServerReachability(
            self.directory, self, self.path.activity, self.clock
        )
        self.client = ReachabilityNotingClient(self.path, self.reachability)
        self.watching = asyncio.create_task(self.reachability.watch())

    async def is_reachable(self, server):
        self.connections += 1
        return await self.path.is_reachable(server)

    def request(self, request_id="q"):
        return ServerRequest("POST", "/", (), b"", request_id, 1_000.0)

    async def open(self, number=0):
        server = self.directory.servers[f"s{number}"]
        return await self.client.open(server.endpoint, self.request())


class TestCheck:
    def test_one_crashed_server_is_no_cut(self):
        """Guards against a crash that is taken for a partition of this entry VM."""

        async def scenario():
            site = Site()
            (await site.open(1)).ok_value.close()
            site.servers.servers["s0"].mode = "absent"
            assert isinstance(await site.open(0), Err)
            await site.clock.sleep_ms(DETECTED_MS)
            assert not site.reachability.is_cut_off
            assert site.connections == 1

        run_virtual(scenario())

    @pytest.mark.parametrize(
        "state", [PathState.HANG, PathState.RESET, PathState.REFUSE]
    )
    def test_a_cut_from_all_servers_is_known_soon_and_its_end(self, state):
        async def scenario():
            site = Site()
            changes = []
            site.reachability.listeners.append(
                lambda: changes.append(site.reachability.is_cut_off)
            )
            site.path.cut(state)
            call = asyncio.create_task(site.open(0))
            await site.clock.sleep_ms(DETECTED_MS)
            assert site.reachability.is_cut_off
            site.directory.condition("s0").record_failure(site.clock.monotonic_ms())
            site.path.heal()
            await site.clock.sleep_ms(RECHECK_INTERVAL_MS + WATCH_INTERVAL_MS)
            assert not site.reachability.is_cut_off
            assert changes == [True, False]
            # The failures of the cut were not those of the servers.
            now = site.clock.monotonic_ms()
            assert not site.directory.condition("s0").is_backing_off(now)
            await call

        run_virtual(scenario())

    def test_silent_open_connections_are_a_reason_to_check(self):
        """Guards against a cut that is noticed only when a connection is opened."""

        async def scenario():
            site = Site()
            first = await site.open(0)
            await first.ok_value.body()
            first.ok_value.close()
            site.path.cut(PathState.HANG)
            call = asyncio.create_task(site.open(0))
            await site.clock.sleep_ms(MAX_SILENCE_MS + WATCH_INTERVAL_MS + DETECTED_MS)
            assert site.reachability.is_cut_off
            site.path.heal()
            await call

        run_virtual(scenario())

    def test_without_requests_silence_is_no_reason(self):
        async def scenario():
            site = Site()
            opened = await site.open(0)
            opened.ok_value.close()
            await site.clock.sleep_ms(60_000)
            assert site.connections == 0

        run_virtual(scenario())

    def test_failures_of_many_requests_share_their_checks(self):
        """Guards against connections that grow with requests times servers."""

        async def scenario():
            site = Site(servers=60)
            site.path.cut(PathState.HANG)
            for _ in range(20):
                calls = [asyncio.create_task(site.open(n)) for n in range(60)]
                await asyncio.gather(*calls)
            elapsed_ms = site.clock.monotonic_ms()
            checks = 1 + elapsed_ms / min(MIN_CHECK_INTERVAL_MS, RECHECK_INTERVAL_MS)
            assert site.reachability.is_cut_off
            assert site.connections <= checks * (1 + MAX_OTHER_SERVERS)

        run_virtual(scenario())

    def test_requests_for_a_dead_service_share_their_checks(self):
        """Guards against a connection for each request that no server accepts."""

        async def scenario():
            world = World()
            vm = world.start("a")
            for name in ("p0", "p1"):
                world.port.servers[name].mode = "absent"
            for number in range(200):
                request = CallerRequest(
                    f"q{number}",
                    "POST",
                    "site",
                    "/ask/1",
                    "/ask/1",
                    (("Host", "site"),),
                    b"",
                    world.clock.monotonic_ms(),
                    2_000.0,
                )
                await vm.forwarder.serve(request, vm.forwarder.find_route(request))
            checks = world.clock.monotonic_ms() / MAX_RESULT_AGE_MS + 1
            assert not vm.reachability.is_cut_off
            assert 0 < vm.path.checked_connections <= checks + MAX_OTHER_SERVERS

        run_virtual(scenario())

    def test_no_listed_server_is_no_cut(self):
        async def scenario():
            site = Site(servers=0)
            assert await site.reachability.check()

        run_virtual(scenario())


class PausedOnce(FakeServers):
    """Servers of which all but the first accept connections; the process pauses once.

    The pause begins while the connection of the number `at_connection` is opened.
    """

    def __init__(self, clock, at_connection, pause_s):
        super().__init__(clock)
        self.number = 0
        self.at_connection = at_connection
        self.pause_s = pause_s

    async def is_reachable(self, server):
        self.number += 1
        number = self.number
        await self.clock.sleep_ms(5)
        if number == self.at_connection:
            asyncio.get_running_loop().jumping_selector.now_s += self.pause_s
        await self.clock.sleep_ms(20 if number > 1 else 1_000)
        return True


class TestPause:
    @pytest.mark.parametrize("at_connection", [1, 2, 5])
    @pytest.mark.parametrize("pause_s", [0.15, 0.19, 0.21, 0.5, 5.0])
    def test_a_pause_of_the_process_is_no_cut(self, at_connection, pause_s):
        """Guards against timeouts that expire before events that have arrived."""

        async def scenario():
            site = Site()
            client = PausedOnce(site.clock, at_connection, pause_s)
            reachability = ServerReachability(
                site.directory, client, ServerActivity(), site.clock
            )
            assert await reachability.check()
            assert not reachability.is_cut_off

        run_virtual(scenario())


class TestNoting:
    def test_requests_in_progress_end_when_their_response_is_closed(self):
        async def scenario():
            site = Site()
            opened = await site.open(0)
            assert site.reachability.in_progress == 1
            opened.ok_value.close()
            opened.ok_value.close()
            assert site.reachability.in_progress == 0

        run_virtual(scenario())

    def test_a_cancelled_request_is_no_longer_in_progress(self):
        async def scenario():
            site = Site()
            site.servers.servers["s0"].mode = "dark"
            call = asyncio.create_task(site.open(0))
            await site.clock.sleep_ms(50)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            assert site.reachability.in_progress == 0

        run_virtual(scenario())

    @pytest.mark.parametrize("fails", [True, False])
    def test_only_failures_are_a_reason_to_check(self, fails):
        class Client(FakeServers):
            async def open(self, server, request):
                request.progress.connected = True
                if fails:
                    return Err(StepError("open", server.name, "lost"))
                return Ok(self)

            head = ResponseHead(200, ())

        async def scenario():
            site = Site()
            client = ReachabilityNotingClient(Client(site.clock), site.reachability)
            server = site.directory.servers["s0"].endpoint
            await client.open(server, site.request())
            assert site.reachability.suspicion.is_set() == fails

        run_virtual(scenario())
