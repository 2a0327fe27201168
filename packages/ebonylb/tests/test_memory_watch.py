"""Resident memory in the metrics and in the log."""

from ebonylb.service.memory_watch import MemoryWatch, read_resident_bytes


class TestMemoryWatch:
    def test_a_process_close_to_its_limit_says_what_it_holds_once(self, caplog):
        sizes = iter([100, 750, 800, 700, 760, 600, 750])
        watch = MemoryWatch(1_000, lambda: {"x": 1.0}, None, lambda: next(sizes))
        for _ in range(7):
            watch.check()
        records = [r for r in caplog.records if r.msg == "memory close to its limit"]
        assert [r.resident_bytes for r in records] == [750, 750]
        assert records[0].held == {"x": 1.0}

    def test_an_unknown_memory_is_no_gauge(self, tmp_path):
        assert read_resident_bytes(tmp_path / "none") is None
        (tmp_path / "statm").write_text("1")
        assert read_resident_bytes(tmp_path / "statm") is None
        watch = MemoryWatch(1_000, dict, None, lambda: None)
        watch.check()
        assert watch.gauges() == {}
        assert MemoryWatch(0, dict, None).gauges()["process.resident_bytes"] > 1e6
