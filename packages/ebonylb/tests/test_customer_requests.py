"""Tests of requests and batches of customers, from the caller to the servers."""

import asyncio
import json
import logging
from dataclasses import replace

import pytest
from aiohttp.test_utils import make_mocked_request
from multidict import CIMultiDict
from result import Ok

from ebonylb.customers import BatchAccess
from ebonylb.platform.batch_wire import decode_batch
from ebonylb.platform.ingress import Ingress
from ebonylb.routes import Customer
from ebonylb.service.readiness import Readiness
from ebonylb.service.uploads import Uploads
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.cut_path import PathState
from ebonylb_standins.site.servers import PlannedResponse
from ebonylb_standins.site.world import World, configuration, read_all, with_customers

ACME, BOLT = Customer("acme", priority=0), Customer("bolt")
KEYS = {ACME: ("key-one", "key-two"), BOLT: ("key-three",)}
REVOKED = {ACME: ("key-two",), BOLT: ("key-three",)}
SCORED_ITEM = {"Id": "s-x", "Host": "site", "Path": "/score/1"}


def make_world(public_routes=("ask",), keys=KEYS, **options):
    plain = configuration()
    if keys:
        plain = with_customers(plain, keys, public_routes)
    return World(site_configuration=plain, strict_revoke=True, **options)


async def start(world, count=1):
    vms = [world.start(f"vm-{number}") for number in range(count)]
    await world.clock.sleep_ms(1_500)
    return vms


async def call(vm, method, path, *authorization, request_id="q", body=b"x", **headers):
    """Return status and body of the response to a caller's request."""
    clock = vm.world.clock
    fields = CIMultiDict({"Host": "site", "Ebonylb-Request-Id": request_id})
    fields.extend({k.replace("_", "-"): v for k, v in headers.items()})
    for value in authorization:
        fields.add("Authorization", value)
    request = make_mocked_request(method, path, headers=fields)
    request._read_bytes = body
    readiness = Readiness(vm.routes, clock)
    ingress = Ingress(
        vm.forwarder, vm.batches, readiness, clock, Uploads(), vm.key_check
    )
    response = await ingress.handle(request)
    response_body = getattr(response, "body", b"")
    if response.status >= 400 and response_body:
        response_body = json.loads(response_body)["reason"]
    return response.status, response_body


async def submit(vm, key, batch_id="b", path="/batch/1", scored=False):
    """Submit a batch of one item, whose own headers name another customer."""
    vm.world.port.planned_responses["x"] = PlannedResponse(4)
    item = {
        "Id": "x",
        "Path": "/batch/1",
        "Headers": {
            "Ebonylb-Model": "m",
            "authorization": "Bearer key-one",
            "EBONYLB-TENANT": "bolt",
        },
        "Body": "q83v",
    }
    body = {"Items": [item | ({"ScorerUrl": SCORED_ITEM} if scored else {})]}
    authorization = (f"Bearer {key}",) if key else ()
    return await call(
        vm,
        "POST",
        path,
        *authorization,
        request_id=batch_id,
        body=json.dumps(body | {"Model": "m"}).encode(),
    )


def arrivals(world, request_id="q"):
    """Return what the headers of each copy of a request said of its caller."""
    return [
        {n.lower(): v for n, v in r.headers if n.lower() in ("authorization", TENANT)}
        for server in world.port.servers.values()
        for r in server.received_requests
        if r.request_id == request_id
    ]


TENANT = "ebonylb-tenant"
OF_ACME = {TENANT: "acme"}


class TestHeaders:
    """Load pattern: one request of each kind, sent once or several times."""

    @pytest.mark.parametrize("path", ["/ask/1", "/book/1", "/chat/1", "/live/1"])
    def test_servers_get_the_customer_and_no_key(self, path):
        async def scenario():
            world = make_world()
            (vm,) = await start(world)
            headers = {"Ebonylb_Tenant": "bolt"}
            await call(vm, "POST", path, "Bearer key-one", **headers)
            assert arrivals(world) == [OF_ACME]

        run_virtual(scenario())

    def test_copies_and_resumed_streams_name_the_customer(self):
        async def scenario():
            world = make_world()
            (vm,) = await start(world)
            for server in world.port.servers.values():
                server.slowdown = 40.0  # longer than the time until a hedged copy
            status, _ = await call(vm, "POST", "/ask/1", "Bearer key-one")
            assert status == 200
            assert arrivals(world) == [OF_ACME] * 2
            for server in world.port.servers.values():
                server.slowdown = 1.0
            world.port.planned_responses["s"] = PlannedResponse(40)
            stream = asyncio.create_task(
                call(vm, "POST", "/chat/1", "Bearer key-one", request_id="s")
            )
            await world.clock.sleep_ms(300)
            first = next(s for s in world.port.servers.values() if s.running)
            first.mode = "dark"
            await stream
            assert arrivals(world, "s") == [OF_ACME] * 2

        run_virtual(scenario())

    def test_relayed_requests_name_the_customer(self):
        async def scenario():
            world = make_world()
            vms = await start(world, 2)
            vms[0].path.cut(PathState.HANG)
            assert not await vms[0].reachability.check()
            await world.clock.sleep_ms(100)
            received = []
            receiver = vms[1].relay_receiver
            begin = receiver.begin
            receiver.begin = lambda r: received.append(begin(r)) or received[-1]
            status, _ = await call(vms[0], "POST", "/ask/1", "Bearer key-one")
            assert status == 200
            assert arrivals(world) == [OF_ACME]
            assert received[0].request.customer == "acme"
            assert received[0].priority == ACME.priority

        run_virtual(scenario())

    @pytest.mark.parametrize(
        "keys, sent, expected",
        [
            (KEYS, {}, {}),
            (KEYS, {"Ebonylb_Tenant": "bolt"}, {}),
            ((), {"Ebonylb_Tenant": "bolt"}, {TENANT: "bolt"}),
            ((), {"Authorization": "any"}, {"authorization": "any"}),
        ],
        ids=["public", "public-forged", "no-customers", "no-customers-key"],
    )
    def test_headers_without_a_customer(self, keys, sent, expected):
        """Guards against forged names, and changes where there are no customers."""

        async def scenario():
            world = make_world(keys=keys)
            (vm,) = await start(world)
            assert (await call(vm, "POST", "/ask/1", **sent))[0] == 200
            assert arrivals(world) == [expected]

        run_virtual(scenario())

    def test_items_and_scores_name_the_customer(self, caplog):
        caplog.set_level(logging.DEBUG)

        async def scenario():
            world = make_world()
            (vm,) = await start(world)
            assert (await submit(vm, "key-one", scored=True))[0] == 202
            (result,) = await read_all(vm, "b", 1)
            assert result.succeeded and result.score
            assert arrivals(world, "x") == arrivals(world, "s-x") == [OF_ACME]
            assert vm.progress_view.get("b").header.customer == "acme"

        run_virtual(scenario())
        assert "key-one" not in str([vars(record) for record in caplog.records])

    def test_stored_items_have_no_key(self):
        body = {"Items": [{"Id": "x", "Path": "/", "Headers": {"Authorization": "k"}}]}
        for customer, expected in [
            (None, ("Authorization", "k")),
            ("", None),
            ("acme", ("Ebonylb-Tenant", "acme")),
        ]:
            batch = asyncio.run(
                decode_batch(json.dumps(body).encode(), "b", "r", "h", 5, customer)
            )
            headers = [h for h in batch.items[0].headers if h[0] != "Host"]
            assert headers == ([expected] if expected else [])


class TestRefusals:
    """Load pattern: single requests with and without keys."""

    @pytest.mark.parametrize(
        "path, authorization, expected",
        [
            ("/none/1", (), (404, "no_route")),
            ("/none/1", ("Bearer key-four",), (404, "no_route")),
            ("/book/1", (), (401, "missing_key")),
            ("/book/1", ("Bearer key-four",), (401, "unknown_key")),
            ("/book/1", ("Basic key-one",), (401, "missing_key")),
            ("/book/1", ("Bearer key-one",) * 2, (401, "missing_key")),
            ("/batch/1", (), (401, "missing_key")),
            ("/api/lots/b", (), (401, "missing_key")),
            ("/api/items/b", ("Bearer key-four",), (401, "unknown_key")),
            ("/api/lots/b", ("Bearer key-one",), (404, "no_batch")),
        ],
    )
    def test_routes_come_before_keys(self, path, authorization, expected):
        async def scenario():
            world = make_world()
            (vm,) = await start(world)
            assert await call(vm, "POST", path, *authorization) == expected
            assert arrivals(world) == []

        run_virtual(scenario())

    @pytest.mark.parametrize("silent", [True, False])
    def test_a_revoked_key_stops_at_an_entry_vm_without_the_store(self, silent):
        """Guards against a cut that keeps a revoked key alive, or denies a new one."""

        async def scenario():
            world = make_world()
            cut, sound = await start(world, 2)
            cut.store.faults.silent, cut.store.faults.down = silent, not silent
            keys = REVOKED | {BOLT: ("key-new",)}
            new = with_customers(replace(configuration(), version=2), keys, ("ask",))
            world.publish(new)
            revoked_ms = world.clock.monotonic_ms()
            await world.clock.sleep_ms(4_000)
            for vm, key, expected in [
                (sound, "new", (200,)),
                (sound, "one", (401,)),
                (cut, "new", (503,)),
                (cut, "one", (200, 503)),
            ]:
                status, _ = await call(vm, "POST", "/book/1", f"Bearer key-{key}")
                assert status in expected
            while world.clock.monotonic_ms() < revoked_ms + 12_000:
                await world.clock.sleep_ms(100)
                status, _ = await call(cut, "POST", "/book/1", "Bearer key-one")
                late = world.clock.monotonic_ms() - revoked_ms > 5_000
                assert status == 503 or (status == 200 and not late)
            assert (await call(cut, "POST", "/ask/1"))[0] == 200
            cut.store.faults.silent = cut.store.faults.down = False
            await world.clock.sleep_ms(2_500)
            for key, expected in [("one", 401), ("two", 200), ("new", 200)]:
                path, header = "/book/1", f"Bearer key-{key}"
                assert (await call(cut, "POST", path, header))[0] == expected

        run_virtual(scenario())


class TestBatches:
    """Load pattern: one batch, read and ended by several customers."""

    @staticmethod
    async def statuses(vm, key, batch_id="b"):
        """Return the status of reading the results, an item, and a resubmission."""
        authorization = (f"Bearer {key}",) if key else ()
        return [
            (await call(vm, "GET", f"/api/lots/{batch_id}", *authorization))[0],
            (await call(vm, "GET", f"/api/items/{batch_id}?Id=x", *authorization))[0],
            (await submit(vm, key, batch_id))[0],
        ]

    def test_a_batch_outlives_its_key_and_belongs_to_its_customer(self):
        async def scenario():
            world = make_world()
            first, second = await start(world, 2)
            assert (await submit(first, "key-one"))[0] == 202
            new = with_customers(replace(configuration(), version=2), REVOKED)
            world.publish(new)
            await world.clock.sleep_ms(1_000)
            for vm in (first, second):
                assert await self.statuses(vm, "key-one") == [401] * 3
                assert await self.statuses(vm, "key-two") == [200, 200, 202]
                assert await self.statuses(vm, "key-three") == [404] * 3
                ended = await call(vm, "DELETE", "/api/lots/b", "Bearer key-three")
                assert ended == (404, "no_batch")
            assert not second.progress_view.get("b").closed
            (result,) = await read_all(second, "b", 1)
            assert result.succeeded
            ended = await call(second, "DELETE", "/api/lots/b", "Bearer key-two")
            assert ended[0] == 200

        run_virtual(scenario())

    @pytest.mark.parametrize("public", [True, False])
    def test_a_batch_of_nobody_is_open_to_customers(self, public):
        """Batches that were stored before customers were configured stay readable."""

        async def scenario():
            world = make_world(("batch",) if public else ())
            (vm,) = await start(world)
            assert await vm.batches.submit(world.batch("b", [3])) is None
            await world.clock.sleep_ms(500)
            assert (await self.statuses(vm, "key-three"))[:2] == [200, 404]
            status, _ = await call(vm, "GET", "/api/lots/b")
            assert status == (200 if public else 401)
            assert (await submit(vm, "key-one", "c"))[0] == 202
            status, _ = await call(vm, "GET", "/api/lots/c")
            assert status == (404 if public else 401)

        run_virtual(scenario())

    def test_an_id_that_another_entry_vm_just_stored_is_not_shared(self):
        """Guards against 202 for a batch of another customer that is not seen yet."""

        async def scenario():
            world = make_world()
            first, second = await start(world, 2)
            batch = world.batch("b", [3], customer="acme")
            assert await first.batches.submit(batch) is None
            second.progress_view.by_batch_id.clear()
            refusal = await second.batches.submit(batch, BatchAccess("bolt"))
            assert refusal.reason == "no_batch"
            second.progress_view.by_batch_id.clear()
            assert await second.batches.submit(batch, BatchAccess("acme")) is None
            assert isinstance(await second.batches.find("b"), Ok)

        run_virtual(scenario())


class TestLeaving:
    def test_a_call_that_may_be_cut_off_is_refused(self):
        """Guards against calls about batches that begin just before the process stops.

        A call that surely ends before that is still answered.
        """

        async def scenario():
            world = make_world()
            (vm,) = await start(world)
            now_ms = world.clock.monotonic_ms()
            for cut_off_ms, wanted in ((2_000, "no_batch"), (1_000, "leaving")):
                vm.forwarder.last_requests.begin(now_ms, now_ms + cut_off_ms)
                for path in ("/api/lots/none", "/api/items/none?Id=x"):
                    _, reason = await call(vm, "GET", path, "Bearer key-one")
                    assert reason == wanted

        run_virtual(scenario())
