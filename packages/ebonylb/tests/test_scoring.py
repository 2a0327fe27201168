"""Tests of scores: when they are asked for, by whom, how often, and beside what."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from ebonylb.batches import Batch, ScoringQueue
from ebonylb.batches.model import ItemResult, Partial
from ebonylb.batches.rows import (
    decode_partials,
    encode_partial,
    encoder,
    result_decoder,
)
from ebonylb.batches.scoring_queue import SPARE_SLOTS
from ebonylb.forwarding import CallerRequest
from ebonylb.interfaces.row_store import StoredRow
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.servers import EVENT_INTERVAL_MS
from ebonylb_standins.site.world import PLAIN_SERVICE, World, read_all

SCORING_ATTEMPTS = 4  # of the world's route of scoring requests
ASK_TARGET_MS = 240.0  # target latency of a caller's plain request


def plain_servers(world):
    return [s for n, s in world.port.servers.items() if n.startswith("p")]


def set_plain_mode(world, mode):
    for server in plain_servers(world):
        server.mode = mode


def scoring_requests(world):
    """Return the ids of the scoring requests that reached servers, with repetitions."""
    return [
        request.request_id
        for server in plain_servers(world)
        for request in server.received_requests
    ]


def item_requests(world, item_id):
    return [
        request
        for server in world.port.servers.values()
        for request in server.received_requests
        if request.request_id == item_id
    ]


def assert_scored(results):
    """Assert that each result has the seal of its own scoring request."""
    for result in results:
        assert result.succeeded
        assert result.score == f"seal of score-{result.item_id}"


class TestScoring:
    def test_each_result_has_the_score_of_its_own_request(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            batch = world.batch("x", [3, 5, 1, 8], scored=True)
            assert await vm.batches.submit(batch) is None
            assert_scored(await read_all(vm, "x", 4))
            requests = {
                r.request_id: (r.method, r.target, r.headers, r.body)
                for s in plain_servers(world)
                for r in s.received_requests
            }
            assert requests["score-x-0"] == (
                "POST",
                "/score/x-0",
                (("Host", "site"),),
                b"score x-0",
            )
            assert len(requests) == 4

        run_virtual(scenario())

    def test_no_score_is_asked_for_before_the_last_event(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            assert await vm.batches.submit(world.batch("x", [40], scored=True)) is None
            await world.clock.sleep_ms(39 * EVENT_INTERVAL_MS)
            assert scoring_requests(world) == []
            assert_scored(await read_all(vm, "x", 1))

        run_virtual(scenario())

    def test_a_batch_without_scoring_requests_asks_for_none(self):
        async def scenario():
            world = World()
            vm = world.start("a")
            assert await vm.batches.submit(world.batch("x", [3] * 4)) is None
            results = await read_all(vm, "x", 4)
            assert {r.score for r in results} == {""}
            assert scoring_requests(world) == []

        run_virtual(scenario())

    def test_a_scoring_request_that_always_fails_ends_its_item(self):
        """A few scoring requests always fail; their items must not loop."""

        async def scenario():
            world = World()
            vm = world.start("a")
            batch = world.batch("x", [3, 3], scored=True)
            world.port.planned_responses["score-x-0"].status = 500
            assert await vm.batches.submit(batch) is None
            results = {r.item_id: r for r in await read_all(vm, "x", 2)}
            assert not results["x-0"].succeeded
            assert_scored([results["x-1"]])
            await world.clock.sleep_ms(5_000)
            assert scoring_requests(world).count("score-x-0") == SCORING_ATTEMPTS

        run_virtual(scenario())

    @pytest.mark.parametrize("mode", ["refuses", "absent", "resets", "dark"])
    def test_servers_that_give_no_score_for_a_while_cost_no_item(self, mode):
        """Only internal errors count against an item's attempts."""

        async def scenario():
            world = World()
            vm = world.start("a")
            set_plain_mode(world, mode)
            batch = world.batch("x", [3] * 6, scored=True)
            assert await vm.batches.submit(batch) is None
            await world.clock.sleep_ms(4_000)
            set_plain_mode(world, "serves")
            assert_scored(await read_all(vm, "x", 6))

        run_virtual(scenario())

    @pytest.mark.parametrize("mode", ["refuses", "absent", "resets", "dark", "fails"])
    def test_one_bad_server_does_not_delay_a_step(self, mode):
        async def scenario():
            world = World(plain_services=3)
            vm = world.start("a")
            world.port.servers["p0"].mode = mode
            batch = world.batch("x", [3] * 24, scored=True)
            assert await vm.batches.submit(batch) is None
            assert_scored(await read_all(vm, "x", 24, 2_000))

        run_virtual(scenario())

    def test_a_scoring_request_that_crashes_all_servers_is_owed_until_its_end(self):
        async def scenario():
            world = World(plain_services=5)
            vm = world.start("a")
            set_plain_mode(world, "crashes")
            batch = world.batch("x", [3], scored=True)
            assert await vm.batches.submit(batch) is None
            await world.clock.sleep_ms(20_000)
            # Each server crashed under it and is absent since.
            assert len(scoring_requests(world)) == 5
            page = await vm.batches.read("x", 0, 0)
            # It may be abandoned only when its retention of 40 s is over.
            assert page.ok_value.results == []
            set_plain_mode(world, "serves")
            results = await read_all(vm, "x", 1, timeout_ms=5_000)
            assert results[0].succeeded
            assert len(scoring_requests(world)) == 6

        run_virtual(scenario())

    def test_no_score_is_asked_for_after_the_end(self):
        async def scenario():
            world = World()
            first, second = world.start("a"), world.start("b", "south")
            batch = world.batch("x", [20] * 40, scored=True)
            assert await first.batches.submit(batch) is None
            await world.clock.sleep_ms(700)
            assert await second.batches.end("x") is None
            await world.clock.sleep_ms(300)
            sent = len(scoring_requests(world))
            await world.clock.sleep_ms(10_000)
            assert len(scoring_requests(world)) == sent
            assert all(server.running == 0 for server in plain_servers(world))

        run_virtual(scenario())


class TestHandover:
    @pytest.mark.parametrize("lost", [True, False], ids=["lost", "leaving"])
    def test_a_successor_asks_for_the_score_and_generates_nothing(self, lost):
        """The text was paid for once, when the holder waited for the score."""

        async def scenario():
            world = World()
            first, second = world.start("a"), world.start("b", "south")
            set_plain_mode(world, "refuses")
            batch = world.batch("x", [5] * 4, scored=True)
            assert await first.batches.submit(batch) is None
            await world.clock.sleep_ms(1_500)
            if lost:
                first.stop()
            else:
                await first.ownership.leave()
            set_plain_mode(world, "serves")
            assert_scored(await read_all(second, "x", 4))
            for item in batch.items:
                assert len(item_requests(world, item.item_id)) == 1

        run_virtual(scenario())


class TestReuse:
    def step(self, world, batch_id, number, items):
        header = world.batch(batch_id, []).header
        header = msgspec.structs.replace(header, total=len(items), step=number)
        return Batch(header, tuple(items))

    def carry(self, change_scoring):
        """Return scoring requests and runs of items that a second step repeats."""

        async def scenario():
            world = World()
            vm = world.start("a")
            first = world.batch("s1", [3, 3, 200], step=1, scored=True)
            assert await vm.batches.submit(first) is None
            assert_scored(await read_all(vm, "s1", 2))
            assert await vm.batches.end("s1") is None
            await world.clock.sleep_ms(600)
            items = [change_scoring(world, item) for item in first.items[:2]]
            second = self.step(world, "s2", 2, items)
            assert await vm.batches.submit(second) is None
            results = {r.item_id: r for r in await read_all(vm, "s2", 2)}
            for item in items:
                expected = f"seal of {item.scoring.request_id}"
                assert results[item.item_id].score == expected
                assert len(item_requests(world, item.item_id)) == 1
            return len(scoring_requests(world))

        return run_virtual(scenario())

    def test_a_score_is_reused_with_its_text(self):
        assert self.carry(lambda world, item: item) == 2

    def test_only_the_score_is_asked_for_again_under_another_id(self):
        """A score belongs to one scoring request."""

        def rename(world, item):
            scoring = world.scoring_request(f"again-{item.item_id}")
            return msgspec.structs.replace(item, scoring=scoring)

        assert self.carry(rename) == 4


class TestScoringQueue:
    """Bursts: the items of a group end together and ask for their scores at once."""

    def test_a_burst_leaves_slots_to_callers(self):
        """Price quotes of people arrive while 120 texts end at the same moment."""

        async def scenario():
            world = World(plain_services=3, engines=8)
            vm = world.start("a")
            batch = world.batch("x", [4] * 120, scored=True)
            assert await vm.batches.submit(batch) is None
            latencies_ms = []
            for number in range(40):
                started_ms = world.clock.monotonic_ms()
                request = CallerRequest(
                    f"q{number}", "GET", "site", "/ask/1", "/ask/1", (), b"", started_ms
                )
                route = vm.routes.find("site", "/ask/1")
                response = await vm.forwarder.serve(request, route)
                assert response.status == 200
                latencies_ms.append(world.clock.monotonic_ms() - started_ms)
                await world.clock.sleep_ms(20)
            assert_scored(await read_all(vm, "x", 120))
            assert max(latencies_ms) < ASK_TARGET_MS
            for server in plain_servers(world):
                assert server.max_running <= server.slots

        run_virtual(scenario())

    def test_the_limit_follows_the_slots_of_listed_servers(self):
        async def scenario():
            world = World(plain_services=3)
            vm = world.start("a")
            queue = ScoringQueue(vm.directory)
            assert queue.limit(PLAIN_SERVICE) == 3 * (6 - SPARE_SLOTS)
            assert queue.limit("unlisted") == 1
            leaving = vm.directory.get("p0")
            vm.directory.remove(leaving.name)
            assert queue.limit(PLAIN_SERVICE) == 2 * (6 - SPARE_SLOTS)

        run_virtual(scenario())

    def test_requests_of_the_batch_due_first_go_first(self):
        async def scenario():
            world = World(plain_services=1)
            queue = ScoringQueue(world.start("a").directory)
            limit = queue.limit(PLAIN_SERVICE)
            order = []

            async def call(name, due_ms):
                async with queue.enter(PLAIN_SERVICE, due_ms):
                    order.append(name)
                    await world.clock.sleep_ms(10)

            calls = [call(f"early{n}", 1) for n in range(limit)]
            calls += [call("late", 9), call("urgent", 2)]
            await asyncio.gather(*calls)
            assert order[limit:] == ["urgent", "late"]

        run_virtual(scenario())

    def test_a_cancelled_request_frees_its_place(self):
        async def scenario():
            world = World(plain_services=1)
            queue = ScoringQueue(world.start("a").directory)

            async def call():
                async with queue.enter(PLAIN_SERVICE, 1):
                    await world.clock.sleep_ms(1_000)

            tasks = [asyncio.create_task(call()) for _ in range(20)]
            await world.clock.sleep_ms(10)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert queue.running_calls[PLAIN_SERVICE] == 0
            assert queue.waiting_calls[PLAIN_SERVICE] == []

        run_virtual(scenario())


class TestRows:
    def stored(self, *puts):
        return [StoredRow(put.row_key, put.value, 1) for put in puts]

    def test_the_end_of_a_text_is_stored_apart_from_its_events(self):
        rows = self.stored(
            encode_partial("x", "i", 0, ["a", "b"], [1, 1]),
            encode_partial("x", "i", 2, [], [], complete=True),
        )
        assert decode_partials(rows)["i"] == Partial(("a", "b"), (1, 1), True)

    def test_rows_without_these_fields_are_read(self):
        """Rows that were written before an item could have a score."""
        row = self.stored(encode_partial("x", "i", 0, ["a"], [1]))[0]
        row = replace(row, value=encoder.encode((0, ["a"], [1])))
        assert decode_partials([row])["i"] == Partial(("a",), (1,), False)
        result = result_decoder.decode(encoder.encode(("i", True, "a", [1])))
        assert result == ItemResult("i", True, "a", (1,))
