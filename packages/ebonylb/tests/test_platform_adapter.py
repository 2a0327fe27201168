"""Tests of the platform adapters: decoders, and where the wire format is known."""

import asyncio
import contextlib
import json
import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from result import Err

import ebonylb
from ebonylb.batches import ItemResult, ResultsPage, ScoringRequest
from ebonylb.fleet import ServerStage
from ebonylb.interfaces.row_store import RowKey, StoredRow
from ebonylb.outcomes import StepError
from ebonylb.platform import event_stream, row_decoding
from ebonylb.platform.batch_wire import decode_batch, encode_results
from ebonylb.platform.event_stream import EVENT_END, EventDecoder
from ebonylb.platform.node_settings import read_node_settings
from ebonylb.platform.servers import decode_load
from ebonylb.routes import Customer, RouteKind, ScalingSpec

SOURCES = Path(ebonylb.__file__).parent
WIRE_NAMES = re.compile(
    r"Ebonylb-|/api/(order|report|lots|items|rows|ready)|rows-(tx|get|feed)"
    r"|EBONYLB_NODE_FILE\b.*=.*conf"
)
SERVER = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "north",
    "Version": "v1",
    "Slots": 16,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Models": [{"Name": "m", "Version": 3, "Adapters": []}],
    "Sequence": 4,
    "born": 17,
}


def row(fields, key="i-1"):
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return StoredRow(RowKey("servers", "", key), value, 1)


class TestPackageBoundaries:
    def test_wire_names_are_in_one_package_only(self):
        """Guards against platform names in code that is independent of the platform."""
        violations = [
            str(path.relative_to(SOURCES))
            for path in SOURCES.rglob("*.py")
            if path.parent.name != "platform" and WIRE_NAMES.search(path.read_text())
        ]
        assert violations == []

    def test_only_the_composition_imports_the_adapter(self):
        """Guards against components that depend on the platform adapters."""
        pattern = re.compile(r"from \.+platform|import platform|ebonylb\.platform")
        violations = [
            str(path.relative_to(SOURCES))
            for path in SOURCES.rglob("*.py")
            if path.parent.name not in ("platform", "service")
            and pattern.search(path.read_text())
        ]
        assert violations == []

    def test_adapter_is_a_small_part_of_the_code(self):
        """Guards against logic that moves into the platform adapters."""
        lines = {
            in_adapter: sum(
                len(path.read_text().splitlines())
                for path in SOURCES.rglob("*.py")
                if ("platform" in path.parts) == in_adapter
            )
            for in_adapter in (True, False)
        }
        assert lines[True] < (lines[True] + lines[False]) / 8


class TestServers:
    def test_server_row_is_decoded(self):
        """Guards against fields of a server row that are swapped or ignored."""
        server = row_decoding.decode_server(row(SERVER))
        assert (server.name, server.service, server.slots) == ("i-1", "s", 16)
        assert server.stage is ServerStage.READY
        assert server.version_of("m") == 3
        assert server.started_ms == 17

    def test_reclaimed_server_row_is_decoded(self):
        """Guards against notices of reclaimed servers that are ignored."""
        notice = {"UseSpot": True, "State": "draining", "leaves_ms": 1_500}
        server = row_decoding.decode_server(row(SERVER | notice))
        assert (server.reclaimable, server.leaves_in_ms) == (True, 1_500)
        assert server.stage is ServerStage.LEAVING
        assert not row_decoding.decode_server(row(SERVER)).reclaimable

    @pytest.mark.parametrize(
        "malformed",
        [
            b"\x00\xff",
            b"[]",
            SERVER | {"State": "dancing"},
            SERVER | {"Address": "nowhere"},
            SERVER | {"Slots": "many"},
            {k: v for k, v in SERVER.items() if k != "Service"},
        ],
    )
    def test_malformed_server_row_is_rejected(self, malformed):
        """Guards against requests to a server whose row was written in another form."""
        with pytest.raises(msgspec.MsgspecError):
            row_decoding.decode_server(row(malformed))

    def test_load_header_is_decoded(self):
        """Guards against a missing or malformed load header that raises."""
        assert decode_load("3,1,8,250").slowdown == 2.5
        assert decode_load("3,0,8").running == 3
        assert decode_load("x") is None
        assert decode_load(None) is None


class TestConfiguration:
    def test_routes_and_services_are_decoded(self):
        """Guards against configuration fields that are ignored or in a wrong unit."""
        wire = {
            "Version": 7,
            "Routes": [
                {
                    "Name": "r",
                    "Host": "Site.Example",
                    "Prefix": "/a/",
                    "Kind": "rollout",
                    "TimeoutMs": 10_000,
                    "Service": "lm",
                    "Attempts": 3,
                    "RetentionS": 40.0,
                    "ResultDeadlineMs": 7_500,
                    "SingleVersion": True,
                },
                {
                    "Name": "split",
                    "Host": "h",
                    "Prefix": "/b/",
                    "Kind": "idempotent",
                    "Backends": [{"Service": "x", "Weight": 90}],
                },
            ],
            "Services": [
                {"Name": "lm", "Engine": {"Slots": 16, "Models": [{"Name": "m"}]}}
            ],
        }
        configuration = row_decoding.decode_configuration(json.dumps(wire).encode())
        first, second = configuration.routes
        assert first.kind is RouteKind.BATCH
        assert (first.host, first.retention_ms) == ("site.example", 40_000)
        assert first.single_version
        assert second.targets[0].service == "x"
        assert configuration.services["lm"].engine.models == ("m",)

    def test_route_of_unknown_kind_is_not_idempotent(self):
        """Guards against requests that are retried although that may be unsafe."""
        fields = {"Name": "r", "Host": "h", "Prefix": "/", "Kind": "new"}
        wire = {"Version": 1, "Routes": [fields]}
        configuration = row_decoding.decode_configuration(json.dumps(wire).encode())
        assert configuration.routes[0].kind is RouteKind.NON_IDEMPOTENT

    def test_customers_and_scaling_are_decoded(self):
        """Guards against keys of the wrong customer and prices in a wrong unit."""
        scaling = {"Min": 1, "Max": 8, "BootS": 4.0, "SpotPrice": 0.22}
        wire = {
            "Version": 1,
            "Routes": [
                {"Name": "r", "Host": "h", "Prefix": "/", "Kind": "x", "Public": True}
            ],
            "Services": [
                {"Name": "lm", "Scaling": scaling | {"ZonePrices": {"north": 1.25}}}
            ],
            "Tenants": [
                {"Name": "a", "ApiKeys": ["k1", "k2"], "Priority": 1},
                {"Name": "b", "ApiKeys": ["k3"]},
            ],
        }
        decoded = row_decoding.decode_configuration(json.dumps(wire).encode())
        assert decoded.has_customers
        assert decoded.customers_by_key["k2"] == Customer("a", 1)
        assert decoded.customers_by_key["k3"] == Customer("b")
        assert decoded.routes[0].public
        assert decoded.services["lm"].scaling == ScalingSpec(
            1, 8, 4_000, 0.22, {"north": 1.25}
        )
        assert "k1" not in repr(decoded)

    @pytest.mark.parametrize(
        "tenants",
        [
            [
                {"Name": "a", "ApiKeys": ["secret"]},
                {"Name": "b", "ApiKeys": ["secret"]},
            ],
            [{"Name": "a", "ApiKeys": ["secret"]}, {"Name": "a"}],
        ],
    )
    def test_ambiguous_customers_are_rejected_without_naming_the_key(self, tenants):
        """Guards against requests that run for a customer other than the key's own."""
        wire = {"Version": 1, "Routes": [], "Tenants": tenants}
        with pytest.raises(msgspec.ValidationError) as raised:
            row_decoding.decode_configuration(json.dumps(wire).encode())
        assert "'a'" in str(raised.value)
        assert "secret" not in str(raised.value)


class TestEvents:
    EVENT_ENDS = tuple(
        first + second
        for first in (b"\n", b"\r\n", b"\r")
        for second in (b"\n", b"\r\n", b"\r")
        if first + second != b"\r\n"
    )
    STREAM = b"".join(
        b"ebonylb-weight-versions: 2\nid: %d\ndata: text %d\n\n" % (n, n)
        for n in range(1, 6)
    )

    @given(st.lists(st.integers(1, 40), max_size=12))
    def test_events_do_not_depend_on_how_the_stream_is_split(self, chunk_sizes):
        """Guards against events lost or changed at the borders of received chunks."""
        decoder = EventDecoder("step", "peer")
        decoded, start = [], 0
        for size in [*chunk_sizes, len(self.STREAM)]:
            decoded += decoder.feed(self.STREAM[start : start + size])
            start += size
        decoder.finish()
        assert [event.number for event, _ in decoded] == [1, 2, 3, 4, 5]
        assert decoded[4][0].data == "text 5"
        assert decoded[0][0].weight_version == 2
        assert b"".join(block for _, block in decoded) == self.STREAM

    @pytest.mark.parametrize("chunk", [b"x", b"\r", b"ab\n"])
    def test_the_bytes_of_a_long_event_are_searched_once(self, chunk, monkeypatch):
        """Guards against an event without an end that takes the time of others."""

        class Pattern:
            searched_bytes = 0

            def search(self, buffer, start=0):
                self.searched_bytes += len(buffer) - start
                return EVENT_END.search(buffer, start)

        pattern = Pattern()
        monkeypatch.setattr(event_stream, "EVENT_END", pattern)
        decoder = EventDecoder("step", "peer")
        decoder.feed(b"id: 1\ndata: ")
        chunks = 0
        with contextlib.suppress(StepError):
            for _ in range(2_000):
                decoder.feed(chunk)
                chunks += 1
        # Each chunk may be searched with the end of the one before.
        assert pattern.searched_bytes < 100 + 2 * (len(chunk) + 3) * (chunks + 1)

    def test_stream_that_ends_within_an_event_is_an_error(self):
        """Guards against a truncated stream that counts as complete."""
        decoder = EventDecoder("step", "peer")
        decoder.feed(self.STREAM[:-3])
        with pytest.raises(StepError):
            decoder.finish()

    @given(data=st.text(st.characters(exclude_characters="\r\n", codec="utf-8")))
    @example("Mix the primer\u2028then the decal.")
    @example("Parts:\u2028id: 40")
    @example("\v\f\x1c\x1d\x1e\x85\u2029")
    def test_data_is_kept_whole(self, data):
        """Guards against text that is lost after a separator that ends no line."""
        block = f"id: 3\ndata: {data}\n\n".encode()
        ((event, forwarded),) = EventDecoder("step", "peer").feed(block)
        assert (event.number, event.data) == (3, data)
        assert forwarded == block

    @given(
        line_end=st.sampled_from([b"\n", b"\r\n", b"\r"]),
        event_ends=st.lists(st.sampled_from(EVENT_ENDS), min_size=2, max_size=2),
        size=st.integers(1, 60),
    )
    def test_each_line_end_of_the_format_is_read(self, line_end, event_ends, size):
        """Guards against events that are joined, or that never end at a CR."""
        stream = b"".join(
            b"id: %d" % n + line_end + b"data: text %d" % n + event_end
            for n, event_end in enumerate(event_ends, 1)
        )
        decoder = EventDecoder("step", "peer")
        decoded = []
        for start in range(0, len(stream), size):
            decoded += decoder.feed(stream[start : start + size])
        decoder.finish()
        events = [(event.number, event.data) for event, _ in decoded]
        assert events == [(1, "text 1"), (2, "text 2")]

    @pytest.mark.parametrize(
        "text",
        [
            b"Internal Server Error\n\n",
            b"Internal Server Error\nid: 2\ndata: b\n\n",
            b'{"error": "out of memory"}\n\n',
            b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
            b"id: 2\nInternal Server Error\ndata: b\n\n",
        ],
    )
    def test_the_text_of_an_error_is_no_part_of_a_stream(self, text):
        """Guards against foreign text that is forwarded, or skipped up to the end."""
        decoder = EventDecoder("step", "peer")
        decoder.feed(b"id: 1\ndata: a\n\n")
        with pytest.raises(StepError):
            decoder.feed(text)

    def test_other_fields_of_the_format_are_accepted(self):
        """Guards against sound streams that are taken for broken ones."""
        stream = b": comment\n\nretry: 10\n\nevent: token\nid: 1\ndata: a\n\n"
        ((event, _),) = EventDecoder("step", "peer").feed(stream)
        assert (event.number, event.data) == (1, "a")

    @pytest.mark.parametrize("block", [b"id: x\n\n", b"data: a\n\n", b"id: \xff\n\n"])
    def test_malformed_event_is_an_error(self, block):
        """Guards against events without a valid number that are forwarded."""
        with pytest.raises(StepError):
            EventDecoder("step", "peer").feed(block)


class TestBatches:
    def test_submitted_batch_is_decoded(self):
        """Guards against fields of a batch that are ignored or decoded wrongly."""
        item = {
            "Id": "i",
            "Path": "/p/1",
            "Headers": {"Ebonylb-Model": "m", "Ebonylb-Length-Hint": "660"},
            "Body": "q83v",
            "Tokens": 5,
            "Group": "g",
        }
        body = json.dumps({"Step": 2, "Model": "m", "MinVersion": 1, "Items": [item]})
        batch = asyncio.run(decode_batch(body.encode(), "b", "route", "host", 5))
        assert batch.header.step == 2
        assert batch.items[0].length_hint == 660
        assert ("Host", "host") in batch.items[0].headers
        assert batch.items[0].body == b"\xab\xcd\xef"

    def test_scoring_requests_and_scores_are_translated(self):
        """Guards against a scoring request with another path or body than sent."""
        scorer = {"Id": "s1", "Host": "h", "Path": "/s/1?a=b", "Body": "q83v"}
        item = {"Id": "i1", "Path": "/a", "ScorerUrl": scorer}
        body = json.dumps({"Items": [item]}).encode()
        batch = asyncio.run(decode_batch(body, "b", "route", "host", 5))
        assert batch.items[0].scoring == ScoringRequest(
            "s1", "h", "/s/1?a=b", b"\xab\xcd\xef"
        )
        page = ResultsPage(
            2,
            2,
            [
                ItemResult("i1", True, "text", (1,), "seal", "s1"),
                ItemResult("i2", False),
            ],
        )
        results = json.loads(encode_results(page))["Results"]
        assert results[0]["Score"] == "seal"
        assert "Score" not in results[1]

    @pytest.mark.parametrize("body", [b"", b"{}", b'{"Items":[{"Id":1}]}', b"\xff"])
    def test_malformed_batch_is_none(self, body):
        """Guards against a malformed body that raises or is accepted as a batch."""
        assert asyncio.run(decode_batch(body, "b", "route", "host", 5)) is None


class TestSettings:
    LINES = (
        "Node=a\nZone=z\nRegion=r\nZones.z=r\nIp=10.0.0.1\nListen.Front=10.0.0.1:1\n"
        "Listen.Ready=10.0.0.1:2\nPlatform.Address=10.0.0.9:3\nBounds.GraceS=6\n"
        "Limits.Unknown=1\n"
    )

    def test_fields_and_bounds_are_read(self, tmp_path):
        """Guards against bounds in a wrong unit and errors for unknown keys."""
        path = tmp_path / "node.conf"
        path.write_text(self.LINES)
        settings = read_node_settings(str(path)).ok_value
        assert settings.regions == {"z": "r"}
        assert settings.bounds.grace_ms == 6_000
        assert settings.metrics_address == "10.0.0.1:9464"

    def test_a_value_is_read_to_the_end_of_its_line(self, tmp_path):
        """Guards against values cut at a separator that ends no line of the file."""
        path = tmp_path / "node.conf"
        path.write_text(self.LINES.replace("Node=a", "Node=a\u2028b"), "utf-8")
        assert read_node_settings(str(path)).ok_value.name == "a\u2028b"

    @pytest.mark.parametrize("missing", ["Node", "Region", "Platform.Address"])
    def test_error_names_the_missing_field(self, tmp_path, missing):
        """Guards against settings with missing fields whose error gives no key."""
        path = tmp_path / "node.conf"
        kept = [x for x in self.LINES.splitlines() if not x.startswith(missing + "=")]
        path.write_text("\n".join(kept))
        result = read_node_settings(str(path))
        assert isinstance(result, Err)
        assert missing in result.err_value

    def test_error_names_a_bound_that_is_not_a_number(self, tmp_path):
        """Guards against a malformed bound whose error gives no key."""
        path = tmp_path / "node.conf"
        path.write_text(self.LINES + "Bounds.LeaseMs=soon\n")
        assert "Bounds.LeaseMs" in read_node_settings(str(path)).err_value

    def test_revocation_and_duties_are_read(self, tmp_path):
        """Guards against duties that are not performed and keys honoured too long."""
        path = tmp_path / "node.conf"
        path.write_text(
            self.LINES + "Bounds.StrictRevoke=true\nBounds.RevokeMs=4000\n"
            "Bounds.ReportWindowS=5\nCloud.Address=10.0.0.8:1\n"
            "Cloud.Duties=usage_report,autoscale\nCloud.DutyPerS=20.0\n"
        )
        settings = read_node_settings(str(path)).ok_value
        assert settings.bounds.strict_revoke
        assert settings.bounds.revoke_ms == 4_000
        assert settings.bounds.report_window_ms == 5_000
        assert settings.duties == ("usage_report", "autoscale")
        assert (settings.control_plane_address, settings.duty_calls_per_s) == (
            "10.0.0.8:1",
            20.0,
        )

    @pytest.mark.parametrize("line", ["Bounds.StrictRevoke=often", "Cloud.DutyPerS=x"])
    def test_malformed_value_is_rejected_with_its_name(self, tmp_path, line):
        """Guards against a revocation bound that is silently not in force."""
        path = tmp_path / "node.conf"
        path.write_text(self.LINES + line + "\n")
        assert line.partition("=")[0] in read_node_settings(str(path)).err_value
