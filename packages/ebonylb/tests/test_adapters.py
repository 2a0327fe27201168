import asyncio
import json
import socket
from contextlib import AsyncExitStack, aclosing, asynccontextmanager

import aiohttp
import pytest

from ebonylb.adapters import (
    HttpModelEngine,
    HttpObjectStore,
    HttpPlainService,
    HttpTableService,
    HttpVmList,
    HttpWeightStore,
    StatsdMetrics,
)
from ebonylb.interfaces import (
    CallRequest,
    Check,
    Committed,
    Conflict,
    GenerateRequest,
    LoadOrder,
    VmEntry,
    WeightVersion,
    Write,
)
from ebonylb.outcomes import StepError
from ebonylb_standins import engine, plain_service
from ebonylb_standins.platform import Platform
from ebonylb_standins.server import open_server
from ebonylb_standins.tasks import end_task
from ebonylb_standins.text import complete_text
from ebonylb_standins.waiting import until

TIMEOUT_MS = 2_000
CALL = CallRequest("r-1", b'{"slot": 1}', "application/json")


def run(scenario):
    return asyncio.run(asyncio.wait_for(scenario, 30))


@asynccontextmanager
async def started_platform(control="{}", domain="gorge-north"):
    platform = Platform(control)
    headers = {"X-Failure-Domain": domain}
    async with (
        open_server(platform.application(), "127.0.0.1:0") as address,
        aiohttp.ClientSession(headers=headers) as session,
    ):
        yield platform, session, f"http://{address}"


@asynccontextmanager
async def started_engine(control="{}", **options):
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        engine_options = engine.Options(control=control, **options)
        standin = engine.Engine(engine_options, session)
        task = asyncio.create_task(standin.batcher.run())
        stack.push_async_callback(end_task, task)
        address = await stack.enter_async_context(
            open_server(standin.application(), "127.0.0.1:0", True)
        )
        yield standin, HttpModelEngine(session, f"http://{address}", TIMEOUT_MS, "e1")


@asynccontextmanager
async def started_desk(control="{}"):
    desk = plain_service.BookingDesk(plain_service.Options(control=control))
    async with (
        open_server(desk.application(), "127.0.0.1:0") as address,
        aiohttp.ClientSession() as session,
    ):
        yield desk, HttpPlainService(session, f"http://{address}", TIMEOUT_MS, "d1")


def unused_url():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{unused.getsockname()[1]}"


async def collect_chunks(adapter, request):
    async with aclosing(adapter.generate(request)) as chunks:
        return [chunk async for chunk in chunks]


def make_request(prompt, request_id="r-1", generated="", max_tokens=1_000):
    return GenerateRequest(request_id, prompt, generated, max_tokens, 7)


class TestTableService:
    def test_transactions_checks_and_reads(self):
        """Guards against a write that is applied although a check failed."""

        async def scenario():
            async with started_platform() as (_, session, url):
                tables = HttpTableService(session, url + "/tables", TIMEOUT_MS)
                write = [Write("t", "k", {"n": 1})]
                first = await tables.transact("w1", [Check("t", "k", 0)], write)
                repeated = await tables.transact("w1", [Check("t", "k", 0)], write)
                conflicting = await tables.transact("w2", [Check("t", "k", 0)], write)
                assert first.ok_value == repeated.ok_value == Committed("w1")
                assert isinstance(conflicting.ok_value, Conflict)
                assert conflicting.ok_value.rows[0].write_id == "w1"
                row = (await tables.read("t", "k", strong=True)).ok_value
                assert (row.revision, row.value) == (1, {"n": 1})
                assert (await tables.read("t", "none")).ok_value is None
                assert (await tables.scan("t", "k")).ok_value == [row]
                assert (await tables.find_write("w2")).ok_value is False

        run(scenario())

    def test_outcome_after_a_lost_response_is_unknown_and_can_be_read(self):
        """Guards against a write that counts as not run when its response is lost."""

        async def scenario():
            async with started_platform('{"lose_answers": 1}') as (_, session, url):
                tables = HttpTableService(session, url + "/tables", TIMEOUT_MS)
                result = await tables.transact("w1", [], [Write("t", "k", {})])
                assert result.err_value.may_have_run
                assert result.err_value.step == "platform.transact"
                assert (await tables.find_write("w1")).ok_value is True

        run(scenario())

    @pytest.mark.parametrize(
        ("control", "may_have_run"),
        [('{"down": true}', False), ('{"cut": ["gorge-north"]}', True)],
    )
    def test_outage_and_network_cut(self, control, may_have_run):
        """Guards against a refusal by the platform whose outcome counts as unknown."""

        async def scenario():
            async with started_platform(control) as (platform, session, url):
                tables = HttpTableService(session, url + "/tables", TIMEOUT_MS)
                result = await tables.transact("w1", [], [Write("t", "k", {})])
                assert result.err_value.may_have_run is may_have_run
                assert platform.tables.applied_write_ids == set()

        run(scenario())

    def test_request_to_an_unresponsive_platform_times_out(self):
        """Guards against a request that hangs while the platform is cut off."""
        control = '{"cut": ["gorge-north"], "cut_silent": true}'

        async def scenario():
            async with started_platform(control) as (_, session, url):
                tables = HttpTableService(session, url + "/tables", 200)
                result = await tables.read("t", "k")
                assert result.err_value.may_have_run

        run(scenario())

    def test_refused_connection_did_not_run(self):
        """Guards against an unknown outcome of a write of which no byte was sent."""

        async def scenario():
            async with aiohttp.ClientSession() as session:
                tables = HttpTableService(session, unused_url(), TIMEOUT_MS)
                result = await tables.transact("w1", [], [])
                assert result.err_value.may_have_run is False

        run(scenario())


class TestOtherPlatformServices:
    def test_objects_weights_and_vm_list(self):
        """Guards against adapters that deviate from the platform's protocol."""
        vm = VmEntry("e1", "engine", "lm", "1.2.3.4:5", "d", "r", "i1", "live")

        async def scenario():
            async with started_platform() as (_, session, url):
                objects = HttpObjectStore(session, url + "/objects", TIMEOUT_MS)
                assert (await objects.get("a/b")).ok_value is None
                await objects.put("a/b", b"first")
                await objects.put("a/b", b"second")
                assert (await objects.get("a/b")).ok_value == b"first"
                weights = HttpWeightStore(session, url + "/weights", TIMEOUT_MS)
                assert (await weights.latest("lm")).ok_value is None
                body = {"service": "lm", "version": 4, "size_bytes": 10}
                await session.post(url + "/weights/publish", json=body)
                expected = WeightVersion("lm", 4, 10)
                assert (await weights.latest("lm")).ok_value == expected
                entry = {f: getattr(vm, f) for f in VmEntry.__slots__}
                await session.post(url + "/vms", json=entry)
                vms = HttpVmList(session, url + "/vms", TIMEOUT_MS)
                assert (await vms.entries()).ok_value == [vm]

        run(scenario())


class TestModelEngine:
    def test_streams_are_complete_and_resumable(self):
        """Guards against tokens repeated or lost when a stream is resumed."""

        async def scenario():
            async with started_engine() as (_, adapter):
                chunks = await collect_chunks(adapter, make_request("lime len=20"))
                text = "".join(chunk.text for chunk in chunks)
                assert text == complete_text("lime len=20", 7, 1_000)
                half = "".join(chunk.text for chunk in chunks[:8])
                rest = await collect_chunks(
                    adapter, make_request("lime len=20", "r-2", half, 992)
                )
                assert half + "".join(chunk.text for chunk in rest) == text

        run(scenario())

    @pytest.mark.parametrize(
        ("fault", "cause"),
        [
            ("truncate", "without the end marker"),
            ("break", "Not enough data"),
            ("stall", "Timeout"),
            ("stale", "another request"),
        ],
    )
    def test_faulty_streams_are_detected(self, fault, cause):
        """Guards against a truncated or foreign stream that counts as complete."""

        async def scenario():
            async with started_engine(f'{{"{fault}_share": 1}}') as (_, adapter):
                adapter.timeout_ms = 300
                with pytest.raises(StepError, match=cause) as caught:
                    await collect_chunks(adapter, make_request("lime len=9"))
                assert caught.value.step == "engine.stream"
                assert caught.value.may_have_run

        run(scenario())

    @pytest.mark.parametrize(
        ("control", "step"),
        [
            ('{"draining": true}', "engine.draining"),
            ('{"refuse_share": 1}', "engine.refused"),
            ('{"down": true}', "engine.refused"),
        ],
    )
    def test_refused_request_did_not_run(self, control, step):
        """Guards against a refused request that is not retried on another engine."""

        async def scenario():
            async with started_engine(control) as (standin, adapter):
                with pytest.raises(StepError) as caught:
                    await collect_chunks(adapter, make_request("lime"))
                assert (caught.value.step, caught.value.may_have_run) == (step, False)
                assert standin.counters["runs"] == 0

        run(scenario())

    def test_refused_connection_did_not_run(self):
        """Guards against a missing retry of a request of which no byte was sent."""

        async def scenario():
            async with aiohttp.ClientSession() as session:
                adapter = HttpModelEngine(session, unused_url(), TIMEOUT_MS)
                with pytest.raises(StepError) as caught:
                    await collect_chunks(adapter, make_request("lime"))
                assert caught.value.step == "engine.connect"
                assert caught.value.may_have_run is False

        run(scenario())

    def test_closing_early_cancels_at_the_engine(self):
        """Guards against slots occupied by generations that nobody reads."""

        async def scenario():
            async with started_engine() as (standin, adapter):
                stream = adapter.generate(
                    make_request("lime len=100000", "r-1", "", 10**6)
                )
                await anext(stream)
                assert len(standin.batcher.running) == 1
                await stream.aclose()
                await until(lambda: not standin.batcher.running, 5_000)
                assert standin.counters["cancelled"] == 1

        run(scenario())

    def test_load_orders_and_status(self):
        """Guards against a former holder of the lease that loads a version."""

        async def scenario():
            async with (
                started_platform() as (_, session, url),
                started_engine(weights_url=url + "/weights") as (standin, adapter),
            ):
                body = {"service": "lm", "version": 4, "size_bytes": 100_000}
                await session.post(url + "/weights/publish", json=body)
                loaded = await adapter.load(LoadOrder(4, 3, "weight-store"))
                assert loaded.ok_value == 4
                fenced = await adapter.load(LoadOrder(1, 2, "weight-store"))
                assert (fenced.err_value.step, fenced.err_value.may_have_run) == (
                    "engine.refused",
                    False,
                )
                standin.faults.fail_swaps = 1
                failed = await adapter.load(LoadOrder(1, 3, "weight-store"))
                assert failed.ok_value == 4
                status = (await adapter.status()).ok_value
                assert (status.version, status.incarnation, status.checks_fence) == (
                    4,
                    standin.incarnation,
                    True,
                )

        run(scenario())


class TestPlainService:
    def test_complete_response(self):
        """Guards against a response that belongs to another call."""

        async def scenario():
            async with started_desk() as (_, adapter):
                response = await adapter.call(CALL)
                assert json.loads(response.body)["request_id"] == "r-1"
                assert (response.status, response.content_type, response.server) == (
                    200,
                    "application/json",
                    "d1",
                )

        run(scenario())

    @pytest.mark.parametrize("fault", ["drop_answer_share", "short_answer_share"])
    def test_call_with_a_lost_or_short_response_may_have_run(self, fault):
        """Guards against an incomplete response and the retry of a call that ran."""

        async def scenario():
            async with started_desk(f'{{"{fault}": 1}}') as (desk, adapter):
                with pytest.raises(StepError) as caught:
                    await adapter.call(CALL)
                assert caught.value.step == "service.answer"
                assert caught.value.may_have_run
                assert desk.runs_by_request == {"r-1": 1}

        run(scenario())

    @pytest.mark.parametrize(
        ("control", "step"),
        [
            ('{"draining": true}', "service.draining"),
            ('{"refuse_share": 1}', "service.refused"),
            ('{"down": true}', "service.refused"),
        ],
    )
    def test_refused_call_did_not_run(self, control, step):
        """Guards against a refused call whose outcome counts as unknown."""

        async def scenario():
            async with started_desk(control) as (desk, adapter):
                with pytest.raises(StepError) as caught:
                    await adapter.call(CALL)
                assert (caught.value.step, caught.value.may_have_run) == (step, False)
                assert desk.runs_by_request == {}

        run(scenario())

    def test_response_without_length_is_an_error(self):
        """Guards against a truncated response that looks like a complete one."""

        async def respond_without_length(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}")
            await writer.drain()
            writer.close()

        async def scenario():
            server = await asyncio.start_server(respond_without_length, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            async with server, aiohttp.ClientSession() as session:
                url = f"http://127.0.0.1:{port}"
                adapter = HttpPlainService(session, url, TIMEOUT_MS)
                with pytest.raises(StepError, match="without a length"):
                    await adapter.call(CALL)

        run(scenario())


class TestStatsdMetrics:
    def test_measurements_are_sent_as_datagrams(self):
        """Guards against metrics that are never sent."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            metrics = StatsdMetrics(f"127.0.0.1:{server.getsockname()[1]}")
            metrics.incr("refused", 2)
            metrics.timing_ms("call", 1.5)
            assert server.recv(100) == b"ebonylb.refused:2|c"
            assert server.recv(100) == b"ebonylb.call:1.500000|ms"
            metrics.close()
