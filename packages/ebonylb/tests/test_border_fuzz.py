"""Fuzz of the decoders at the border: malformed input costs itself and nothing else."""

import asyncio
import json
import math

import aiohttp
import msgspec
import pytest
from aiohttp import web
from hypothesis import example, given
from hypothesis import strategies as st
from multidict import CIMultiDict
from result import Err

from ebonylb.batches.progress_view import BatchProgressView
from ebonylb.customers import KeyCheck
from ebonylb.fleet import ServerDirectory
from ebonylb.forwarding.last_requests import LastRequests
from ebonylb.forwarding.messages import make_refusal
from ebonylb.interfaces.row_store import RowKey, StoredRow
from ebonylb.leases import LeaseTable
from ebonylb.outcomes import Outcome, Refusal, StepError
from ebonylb.platform.batch_wire import decode_batch
from ebonylb.platform.event_stream import EventDecoder
from ebonylb.platform.ingress import Ingress
from ebonylb.platform.numbers import parse_count, parse_milliseconds
from ebonylb.platform.request_reading import make_request
from ebonylb.platform.row_decoding import decode_server
from ebonylb.platform.servers import decode_load, says_leaving
from ebonylb.platform.store import WirePage
from ebonylb.routes import RouteTable
from ebonylb.service.readiness import Readiness
from ebonylb.service.table_readers import OperatorReader, ServerReader
from ebonylb.service.uploads import Uploads
from ebonylb.storage.store_time import StoreTime
from ebonylb.tasks import cancel_and_wait, run_supervised
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.manual_clock import ManualClock
from ebonylb_standins.site.world import World, read_all

# Digits of other scripts, exponents and numbers beyond every type.
NUMBERS = st.one_of(
    st.text(max_size=12),
    st.text("0123456789²٣", max_size=40),
    st.sampled_from(["nan", "inf", "-inf", "1e999", "-1", "²", "٣", "9" * 5_000, ""]),
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
SERVER = {"Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "State": "ready"}
ITEM = {"Id": "i", "Path": "/a/1", "Headers": {}, "Body": ""}


def stored(value, key="k"):
    return StoredRow(RowKey("t", "", key), value, 1)


class TestNumbers:
    @given(NUMBERS)
    def test_counts_are_small_integers_or_none(self, text):
        count = parse_count(text)
        assert count is None or 0 <= count < 10**15

    @given(NUMBERS)
    def test_milliseconds_are_finite_or_none(self, text):
        """A timer at NaN breaks the order of all timers of the event loop."""
        value = parse_milliseconds(text)
        assert value is None or math.isfinite(value)

    @given(st.lists(NUMBERS, max_size=6).map(",".join))
    def test_a_load_is_decoded_or_none(self, text):
        load = decode_load(text)
        assert load is None or math.isfinite(load.slowdown)

    @given(NUMBERS)
    def test_a_leaving_header_is_read(self, text):
        headers = CIMultiDict({"Server-Leaving": text})
        assert says_leaving(headers) == (text.strip() == "1")


class TestBatches:
    @given(JSON)
    def test_any_body_is_a_batch_or_none(self, value):
        body = json.dumps(value).encode()
        asyncio.run(decode_batch(body, "b", "r", "h", 0))

    @given(st.binary(max_size=60))
    def test_any_bytes_are_a_batch_or_none(self, body):
        asyncio.run(decode_batch(body, "b", "r", "h", 0))

    @given(NUMBERS)
    def test_any_length_hint_is_accepted(self, text):
        item = ITEM | {"Headers": {"Ebonylb-Length-Hint": text}}
        batch = asyncio.run(
            decode_batch(json.dumps({"Items": [item]}).encode(), "b", "r", "h", 0)
        )
        assert batch.items[0].length_hint >= 0

    @pytest.mark.parametrize("path", ["", "a", "@10.9.9.9:80/", "http://x/", ":1/"])
    def test_a_path_must_not_select_another_server(self, path):
        body = json.dumps({"Items": [ITEM | {"Path": path}]}).encode()
        assert asyncio.run(decode_batch(body, "b", "r", "h", 0)) is None

    def test_items_must_differ(self):
        """A batch with one id twice would never have all of its results."""
        body = json.dumps({"Items": [ITEM, ITEM]}).encode()
        assert asyncio.run(decode_batch(body, "b", "r", "h", 0)) is None


class TestStreams:
    @given(st.lists(st.binary(max_size=30), max_size=6))
    @example([b"id: 1\ndata: \xff\n\n"])
    @example([b"id: " + b"9" * 5_000 + b"\n\n"])
    def test_any_bytes_are_events_or_a_step_error(self, chunks):
        decoder = EventDecoder("step", "peer")
        try:
            for chunk in chunks:
                decoder.feed(chunk)
            decoder.finish()
        except StepError:
            pass


class TestRows:
    """One row that cannot be read does not affect the others."""

    @staticmethod
    def readers():
        clock = ManualClock(100_000.0)
        directory = ServerDirectory(clock)
        return directory, [
            ServerReader(decode_server, directory),
            BatchProgressView(clock, StoreTime(clock)),
            LeaseTable(None, clock, "vm", "1", 3_000),
            OperatorReader(
                lambda row: 1 / 0 if row is None else None, None, None, None
            ),
        ]

    @given(st.binary(max_size=40) | JSON.map(lambda v: json.dumps(v).encode()))
    def test_any_value_is_skipped(self, value):
        directory, readers = self.readers()
        sound = stored(json.dumps(SERVER).encode(), "sound")
        for reader in readers:
            reader.replace_rows([stored(value), sound])
            reader.change_rows([stored(value)])
        assert directory.get("sound") is not None

    @given(st.sampled_from(list(SERVER)), JSON)
    def test_any_field_of_a_server_may_be_of_another_type(self, name, value):
        try:
            server = decode_server(stored(json.dumps(SERVER | {name: value}).encode()))
        except (msgspec.MsgspecError, ValueError):
            return
        assert server.slots >= 1

    @given(st.text(max_size=12))
    def test_a_value_in_another_encoding_costs_its_row_only(self, value):
        body = {
            "Rows": [
                {"Table": "servers", "Key": "odd", "Value": value, "Ver": 1},
                {"Table": "servers", "Key": "sound", "Value": "e30=", "Ver": 2},
            ],
            "Ver": 2,
        }
        page = msgspec.json.decode(json.dumps(body).encode(), type=WirePage).decode()
        assert page.rows[1].value == b"{}"


class TestRequests:
    """Odd headers of callers reach the real handler over HTTP."""

    @pytest.mark.parametrize("path", ["/api/lots/b", "/ask/1"])
    @pytest.mark.parametrize("number", ["nan", "inf", "-1", "²", "9" * 400, "x"])
    def test_odd_numbers_get_an_answer(self, path, number):
        async def scenario():
            routes = RouteTable()
            clock = ManualClock(100_000.0)
            ingress = Ingress(
                FakeForwarder(),
                FakeBatches(),
                Readiness(routes, clock),
                clock,
                Uploads(),
                KeyCheck(routes, None, None),
            )
            ingress.readiness.has_configuration = lambda: True
            server = web.Server(ingress.handle, request_factory=make_request)
            runner = web.ServerRunner(server)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            host, port = runner.addresses[0][:2]
            headers = {
                "Ebonylb-Wait-Ms": number,
                "Ebonylb-Deadline-Ms": number,
                "Last-Event-Id": number,
            }
            async with aiohttp.ClientSession() as session:
                url = f"http://{host}:{port}{path}"
                query = {"After": number}
                async with session.get(url, headers=headers, params=query) as response:
                    status = response.status
            await runner.cleanup()
            waits = ingress.batches.waits
            return status, waits

        status, waits = asyncio.run(scenario())
        assert status in (400, 404, 503)
        assert all(math.isfinite(wait) for wait in waits)


class FakeForwarder:
    last_requests = LastRequests(ManualClock(100_000.0))

    def find_route(self, request):
        assert request.deadline_ms is None or math.isfinite(request.deadline_ms)
        return make_refusal(Outcome.NOT_RUN, "no_route", "no route")


class FakeBatches:
    def __init__(self):
        self.waits = []

    async def read(self, batch_id, after, wait_ms):
        self.waits.append(wait_ms)
        return Err(Refusal(Outcome.NOT_RUN, "no_batch", "no such batch"))


class TestTasks:
    def test_a_background_task_runs_again_after_an_exception(self):
        async def scenario():
            failures, runs = [], []

            async def duty():
                runs.append(1)
                if len(runs) < 3:
                    raise ValueError("unexpected")
                await asyncio.sleep(1_000)

            task = asyncio.create_task(
                run_supervised("duty", duty, lambda: failures.append(1))
            )
            await asyncio.sleep(30)
            assert (len(runs), len(failures)) == (3, 2)
            await cancel_and_wait([task])

        run_virtual(scenario())

    def test_an_item_survives_an_unexpected_exception(self):
        """Guards against a batch that never ends because one of its tasks died."""

        async def scenario():
            world = World()
            vm = world.start("a")
            runner = vm.ownership.runner
            original, failed = runner.run_on_server, []

            async def run_on_server(*arguments):
                if not failed:
                    failed.append(1)
                    raise RuntimeError("unexpected")
                return await original(*arguments)

            runner.run_on_server = run_on_server
            await vm.batches.submit(world.batch("x", [5] * 4))
            results = await read_all(vm, "x", 4)
            assert failed and all(result.succeeded for result in results)

        run_virtual(scenario())
