"""Tests of explanations, which change nothing and are what then happens."""

import asyncio
import copy
import json
import random

import pytest
from aiohttp.test_utils import make_mocked_request

from ebonylb.adapters.memory_metrics import InMemoryMetrics
from ebonylb.batches.placement import ItemRequirements
from ebonylb.explain import Question, Verdict
from ebonylb.fleet import ServerStage
from ebonylb.forwarding import CallerRequest
from ebonylb.routes import Configuration, Customer
from ebonylb.service.metrics_handler import MetricsHandler
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.cut_path import PathState
from ebonylb_standins.site.world import World, configuration

KEY = "secret-key-of-fida"


def ask(path="/ask/1", **fields):
    return Question("site", path, **fields)


def with_customers():
    base = configuration()
    customer = Customer("fida", 3)
    return Configuration(
        1, base.routes, base.services, 10_000, {"fida": customer}, {KEY: customer}
    )


def state_of(vm):
    """Return a copy of all that decisions depend on."""
    return copy.deepcopy(
        (
            vm.directory.conditions,
            vm.placement.selector.median_gaps,
            vm.placement.group_servers,
            len(vm.placement.waiters),
            vm.placement.prompt_load.engines,
            {name: vars(a) for name, a in vm.limits.allowances.items()},
            {n: v for n, v in vars(vm.limits.demand).items() if n != "clock"},
            random.getstate(),
        )
    )


def make_unequal(vm):
    """Give the servers different speeds, loads and failures, so that costs differ."""
    now = vm.world.clock.monotonic_ms()
    for number, server in enumerate(vm.directory.servers.values()):
        condition = vm.directory.condition(server.name)
        condition.own_requests = (number * 7) % 5
        condition.record_gap(33.0 + 2 * number, 33.0, now)
        condition.record_success(now, 20.0 + 3 * ((number * 5) % 7))
        condition.update_failure_share((number % 3) / 10, now)


async def send(vm, path="/ask/1", request_id="q"):
    now = vm.world.clock.monotonic_ms()
    request = CallerRequest(
        request_id, "GET", "site", path, path, (("Host", "site"),), b"", now, 2_000.0
    )
    return await vm.forwarder.serve(request, vm.forwarder.find_route(request))


def server_of(world, request_id):
    (name,) = (
        name
        for name, server in world.port.servers.items()
        if request_id in server.started_request_ids
    )
    return name


class TestRequests:
    def test_the_explained_server_gets_the_request(self):
        async def scenario():
            world = World(plain_services=5)
            vm = world.start("a")
            for number in range(20):
                make_unequal(vm)
                vm.directory.condition(f"p{number % 5}").record_failure(
                    world.clock.monotonic_ms()
                )
                explanation = vm.explainer.explain(ask(request_id=f"q{number}"))
                assert explanation.verdict is Verdict.SENT
                await send(vm, request_id=f"q{number}")
                server = server_of(world, f"q{number}")
                assert server in (explanation.server, *explanation.equal_servers)

        run_virtual(scenario())

    def test_parts_sum_to_the_compared_cost(self):
        async def scenario():
            vm = World().start("a")
            make_unequal(vm)
            for candidate in vm.explainer.explain(ask()).candidates:
                server = vm.directory.get(candidate.server)
                if candidate.excluded is None:
                    cost = vm.placement.selector.plain_cost(server)
                    assert sum(candidate.cost.values()) == pytest.approx(cost.total)

        run_virtual(scenario())

    def test_what_excludes_servers_is_named(self):
        async def scenario():
            vm = World(plain_services=3).start("a")
            vm.directory.condition("p0").record_failure(vm.world.clock.monotonic_ms())
            vm.directory.record_departure(vm.directory.get("p1").endpoint)
            assert vm.directory.get("p1").stage is ServerStage.LEAVING
            excluded = {
                c.server: c.excluded for c in vm.explainer.explain(ask()).candidates
            }
            assert excluded == {"p0": "backoff", "p1": "leaving", "p2": None}

        run_virtual(scenario())

    @pytest.mark.parametrize(
        ("case", "path"),
        [("no route", "/none"), ("no server", "/ask/1"), ("limit", "/ask/1")],
    )
    def test_refusals_are_those_of_real_requests(self, case, path):
        async def scenario():
            world = World(plain_services=0 if case == "no server" else 1)
            vm = world.start("a")
            if case == "limit":
                world.port.servers["p0"].limit_per_s = 0.5
                for number in range(4):
                    await send(vm, request_id=f"w{number}")
            explanation = vm.explainer.explain(ask(path))
            now = world.clock.monotonic_ms()
            request = CallerRequest(
                "q", "GET", "site", path, path, (), b"", now, 2_000.0
            )
            response = vm.forwarder.find_route(request)
            if case != "no route":
                response = await vm.forwarder.serve(request, response)
            assert explanation.verdict is Verdict.REFUSED
            assert explanation.status == response.status
            assert explanation.reason == response.refusal.reason
            retry_ms = response.refusal.retry_after_ms
            expected = None if retry_ms is None else f"{retry_ms / 1000:g}"
            assert explanation.retry_after == expected

        run_virtual(scenario())

    def test_nothing_changes(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            for name in ("p0", "p1"):
                world.port.servers[name].limit_per_s = 2.0
            for number in range(6):
                await send(vm, request_id=f"w{number}")
            assert vm.limits.allowances
            make_unequal(vm)
            await world.clock.sleep_ms(1_000)
            before = state_of(vm)
            for path in ("/ask/1", "/chat/1", "/book/1", "/batch/1", "/none"):
                vm.explainer.explain(ask(path, tokens=64_000, model="m"))
            assert state_of(vm) == before

        run_virtual(scenario())

    def test_an_entry_vm_that_is_cut_off_relays(self):
        async def scenario():
            world = World()
            vm, other = world.start("a"), world.start("b")
            await world.clock.sleep_ms(3_000)
            vm.path.cut(PathState.HANG)
            await vm.reachability.check()
            explanation = vm.explainer.explain(ask())
            assert explanation.verdict is Verdict.RELAYED
            assert [c.server for c in explanation.candidates] == [other.name]

        run_virtual(scenario())


class TestItems:
    @pytest.mark.parametrize("tokens", [0, 64_000])
    def test_the_explained_server_gets_the_item(self, tokens):
        async def scenario():
            world = World(engines=6)
            vm = world.start("a")
            make_unequal(vm)
            for number in range(12):
                batch = world.batch(f"x{number}", [30], prompt_tokens=tokens)
                (item,) = batch.items
                question = ask(
                    "/batch/1",
                    request_id=item.item_id,
                    tokens=tokens,
                    output_tokens=item.length_hint,
                    model="m",
                    min_version=1,
                    group=item.group,
                )
                explanation = vm.explainer.explain(question)
                assert (explanation.verdict, explanation.holder) == ("sent", "a")
                assert await vm.batches.submit(batch) is None
                await world.clock.sleep_ms(15)
                assert server_of(world, item.item_id) == explanation.server

        run_virtual(scenario())

    def test_an_item_waits_when_no_server_is_free(self):
        async def scenario():
            world = World(engines=1)
            vm = world.start("a")
            need = {"service": "lm", "model": "m", "min_version": 1}
            for _ in range(16):
                await vm.placement.acquire(ItemRequirements(due_ms=1, **need))
            vm.placement.enqueue(ItemRequirements(due_ms=1, **need))
            explanation = vm.explainer.explain(ask("/batch/1", model="m"))
            assert explanation.verdict is Verdict.WAITS
            assert explanation.items_ahead == 1
            assert [c.excluded for c in explanation.candidates] == ["full"]

        run_virtual(scenario())

    def test_a_leaving_entry_vm_refuses_batches(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            vm.ownership.leaving = True
            refusal = await vm.batches.submit(world.batch("x", [1]))
            explanation = vm.explainer.explain(ask("/batch/1"))
            assert explanation.reason == refusal.reason
            assert (explanation.status, explanation.retry_after) == (503, "0.5")

        run_virtual(scenario())


class TestHandler:
    @staticmethod
    def get(vm, query):
        handler = MetricsHandler(InMemoryMetrics(), dict, dict, vm.explainer.explain)
        return handler.handle(make_mocked_request("GET", f"/explain?{query}"))

    def test_customers_are_named_and_keys_are_not(self):
        async def scenario():
            world = World(site_configuration=with_customers())
            vm = world.start("a")
            await world.clock.sleep_ms(500)  # the configuration comes from the store
            response = await self.get(
                vm, f"host=site&path=/ask/1%3Fkey={KEY}&customer=fida"
            )
            document = json.loads(response.body)
            assert (document["customer"], document["priority"]) == ("fida", 3)
            assert document["verdict"] == "sent"
            for query in ("host=site&path=/ask/1", f"host=x&path=/&customer={KEY}"):
                response = await self.get(vm, query)
                assert json.loads(response.body)["verdict"] == "refused"
                assert KEY not in response.text

        run_virtual(scenario())

    @pytest.mark.parametrize(
        "query", ["", "host=site", "host=s&path=/&tokens=x", "host=s&path=/&key=1"]
    )
    def test_malformed_questions_are_refused(self, query):
        async def scenario():
            vm = World().start("a")
            response = await self.get(vm, query)
            assert response.status == 400
            assert json.loads(response.body)["message"]

        run_virtual(scenario())

    def test_other_paths_do_not_exist(self):
        handler = MetricsHandler(InMemoryMetrics(), dict, dict)
        response = asyncio.run(handler.handle(make_mocked_request("GET", "/explain")))
        assert response.status == 404
