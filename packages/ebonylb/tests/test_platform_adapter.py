"""The adapter of the users' platform: decoding, and its borders."""

import json
import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

import ebonylb
from ebonylb.edges.row_store import RowKey, StoredRow
from ebonylb.fleet import ServerStage
from ebonylb.outcomes import StepError
from ebonylb.platform import listing
from ebonylb.platform.batch_wire import decode_batch
from ebonylb.platform.event_stream import EventDecoder
from ebonylb.platform.node_settings import read_node_settings
from ebonylb.platform.servers import decode_load
from ebonylb.routes import RouteKind

SOURCES = Path(ebonylb.__file__).parent
WIRE = re.compile(
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


class TestBorders:
    def test_names_of_the_wire_stand_in_one_folder(self):
        found = [
            str(path.relative_to(SOURCES))
            for path in SOURCES.rglob("*.py")
            if path.parent.name != "platform" and WIRE.search(path.read_text())
        ]
        assert found == []

    def test_only_the_composition_imports_the_adapter(self):
        pattern = re.compile(r"from \.+platform|import platform|ebonylb\.platform")
        found = [
            str(path.relative_to(SOURCES))
            for path in SOURCES.rglob("*.py")
            if path.parent.name not in ("platform", "service")
            and pattern.search(path.read_text())
        ]
        assert found == []

    def test_the_adapter_is_small(self):
        lines = {
            folder: sum(
                len(path.read_text().splitlines())
                for path in SOURCES.rglob("*.py")
                if ("platform" in path.parts) == folder
            )
            for folder in (True, False)
        }
        assert lines[True] < (lines[True] + lines[False]) / 8


class TestServers:
    def test_an_entry_is_decoded(self):
        server = listing.decode_server(row(SERVER))
        assert (server.name, server.service, server.slots) == ("i-1", "s", 16)
        assert server.stage is ServerStage.READY
        assert server.version_of("m") == 3
        assert server.started_ms == 17

    @pytest.mark.parametrize(
        "broken",
        [
            b"\x00\xff",
            b"[]",
            SERVER | {"State": "dancing"},
            SERVER | {"Address": "nowhere"},
            SERVER | {"Slots": "many"},
            {k: v for k, v in SERVER.items() if k != "Service"},
        ],
    )
    def test_an_entry_of_another_writer_names_no_server(self, broken):
        with pytest.raises(msgspec.MsgspecError):
            listing.decode_server(row(broken))

    def test_load_headers(self):
        assert decode_load("3,1,8,250").slowdown == 2.5
        assert decode_load("3,0,8").running == 3
        assert decode_load("x") is None
        assert decode_load(None) is None


class TestConfiguration:
    def test_routes_and_services_are_decoded(self):
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
        found = listing.decode_configuration(json.dumps(wire).encode())
        first, second = found.routes
        assert first.kind is RouteKind.BATCH
        assert (first.host, first.retention_ms) == ("site.example", 40_000)
        assert first.single_version
        assert second.targets[0].service == "x"
        assert found.services["lm"].engine.models == ("m",)

    def test_an_unknown_kind_is_never_repeated(self):
        fields = {"Name": "r", "Host": "h", "Prefix": "/", "Kind": "new"}
        wire = {"Version": 1, "Routes": [fields]}
        found = listing.decode_configuration(json.dumps(wire).encode())
        assert found.routes[0].kind is RouteKind.NON_IDEMPOTENT


class TestEvents:
    WHOLE = b"".join(
        b"ebonylb-weight-versions: 2\nid: %d\ndata: text %d\n\n" % (n, n)
        for n in range(1, 6)
    )

    @given(st.lists(st.integers(1, 40), max_size=12))
    def test_any_split_gives_the_same_events(self, cuts):
        decoder = EventDecoder("step", "peer")
        found, start = [], 0
        for size in [*cuts, len(self.WHOLE)]:
            found += decoder.feed(self.WHOLE[start : start + size])
            start += size
        decoder.finish()
        assert [event.number for event, _ in found] == [1, 2, 3, 4, 5]
        assert found[4][0].data == "text 5"
        assert found[0][0].weight_version == 2
        assert b"".join(block for _, block in found) == self.WHOLE

    def test_an_end_within_an_event_is_no_end(self):
        decoder = EventDecoder("step", "peer")
        decoder.feed(self.WHOLE[:-3])
        with pytest.raises(StepError):
            decoder.finish()

    @pytest.mark.parametrize("block", [b"id: x\n\n", b"data: a\n\n", b"id: \xff\n\n"])
    def test_bytes_that_are_no_events_are_refused(self, block):
        with pytest.raises(StepError):
            EventDecoder("step", "peer").feed(block)


class TestBatches:
    def test_a_submission_is_decoded(self):
        item = {
            "Id": "i",
            "Path": "/p/1",
            "Headers": {"Ebonylb-Model": "m", "Ebonylb-Length-Hint": "660"},
            "Body": "q83v",
            "Tokens": 5,
            "Group": "g",
        }
        body = json.dumps({"Step": 2, "Model": "m", "MinVersion": 1, "Items": [item]})
        batch = decode_batch(body.encode(), "b", "route", "host", 5)
        assert batch.header.step == 2
        assert batch.items[0].length_hint == 660
        assert ("Host", "host") in batch.items[0].headers
        assert batch.items[0].body == b"\xab\xcd\xef"

    @pytest.mark.parametrize("body", [b"", b"{}", b'{"Items":[{"Id":1}]}', b"\xff"])
    def test_a_malformed_submission_is_none(self, body):
        assert decode_batch(body, "b", "route", "host", 5) is None


class TestSettings:
    LINES = (
        "Node=a\nZone=z\nRegion=r\nZones.z=r\nIp=10.0.0.1\nListen.Front=10.0.0.1:1\n"
        "Listen.Ready=10.0.0.1:2\nPlatform.Address=10.0.0.9:3\nBounds.GraceS=6\n"
        "Limits.Unknown=1\n"
    )

    def test_fields_and_bounds_are_read(self, tmp_path):
        path = tmp_path / "node.conf"
        path.write_text(self.LINES)
        settings = read_node_settings(str(path)).ok_value
        assert settings.regions == {"z": "r"}
        assert settings.bounds.grace_ms == 6_000
        assert settings.metrics_address == "10.0.0.1:9464"

    @pytest.mark.parametrize("missing", ["Node", "Region", "Platform.Address"])
    def test_a_missing_field_is_named(self, tmp_path, missing):
        path = tmp_path / "node.conf"
        kept = [x for x in self.LINES.splitlines() if not x.startswith(missing + "=")]
        path.write_text("\n".join(kept))
        refused = read_node_settings(str(path))
        assert isinstance(refused, Err)
        assert missing in refused.err_value

    def test_a_bound_that_is_no_number_is_named(self, tmp_path):
        path = tmp_path / "node.conf"
        path.write_text(self.LINES + "Bounds.LeaseMs=soon\n")
        assert "Bounds.LeaseMs" in read_node_settings(str(path)).err_value
