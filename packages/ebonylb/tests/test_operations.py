"""Tests of bounded logs, the metrics page, task cancellation and settings reload."""

import asyncio
import json
import logging
import os

from result import Err, Ok

from ebonylb.adapters.memory_metrics import InMemoryMetrics
from ebonylb.service.reload import SettingsReload
from ebonylb.service.site_settings import SiteSettings
from ebonylb.tasks import cancel_and_wait
from ebonylb.telemetry.bounded_logs import BoundedLineHandler
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.manual_clock import ManualClock


def make_settings(**changes):
    fields = {
        "name": "a",
        "failure_domain": "north",
        "region": "gorge",
        "caller_address": "10.0.0.1:1",
        "ready_address": "10.0.0.1:2",
        "store_address": "10.0.0.9:1",
    }
    return SiteSettings(**(fields | changes))


def make_record(level=logging.INFO, message="message"):
    return logging.LogRecord("x", level, "f", 1, message, None, None)


class TestBoundedLogs:
    def test_lines_beyond_the_burst_are_dropped_and_counted(self):
        read_fd, write_fd = os.pipe()
        handler = BoundedLineHandler(write_fd, lines_per_s=0.001, burst_lines=5)
        for _ in range(20):
            handler.emit(make_record())
        assert os.read(read_fd, 10_000).count(b"\n") == 5
        assert handler.dropped_count == 15
        os.close(read_fd)
        os.close(write_fd)

    def test_warnings_are_written_when_ordinary_lines_are_dropped(self):
        read_fd, write_fd = os.pipe()
        handler = BoundedLineHandler(write_fd, lines_per_s=0.001, burst_lines=5)
        for _ in range(20):
            handler.emit(make_record())
        handler.emit(make_record(logging.WARNING, "important"))
        assert b"important" in os.read(read_fd, 10_000)
        os.close(read_fd)
        os.close(write_fd)

    def test_a_full_pipe_does_not_block_and_drops_whole_lines(self):
        """With a full pipe, lines are dropped whole and never mixed with others."""
        read_fd, write_fd = os.pipe()
        handler = BoundedLineHandler(write_fd, lines_per_s=1e9, burst_lines=1e9)
        handler.setFormatter(logging.Formatter('{"m": "%(message)s"}'))
        for number in range(3_000):
            handler.emit(make_record(message=f"{number:050d}"))
        assert handler.dropped_count > 0
        first = os.read(read_fd, 1_000_000)
        for number in range(3):
            handler.emit(make_record(message=f"after {number}"))
        text = first + os.read(read_fd, 1_000_000)
        for line in text.decode().splitlines():
            json.loads(line)
        os.close(read_fd)
        handler.emit(make_record())
        os.close(write_fd)


class TestMetricsPage:
    def test_page_contains_counters_gauges_and_quantiles(self):
        metrics = InMemoryMetrics()
        metrics.incr("batch.results", 3)
        metrics.gauge("store.lost", 1)
        for duration in range(1, 101):
            metrics.timing_ms("forward.duration", duration)
        page = metrics.render()
        assert "ebonylb_batch_results_total 3" in page
        assert "ebonylb_store_lost 1" in page
        line = next(x for x in page.splitlines() if 'quantile="0.5"' in x)
        assert 45 <= float(line.split()[-1]) <= 55
        assert "ebonylb_forward_duration_ms_count 100" in page

    def test_durations_outside_the_histogram_range_are_counted(self):
        metrics = InMemoryMetrics()
        metrics.timing_ms("d", 0)
        metrics.timing_ms("d", 1e9)
        assert "ebonylb_d_ms_count 2" in metrics.render()


class TestCancelAndWait:
    def test_a_task_that_swallows_one_cancellation_ends(self):
        """A timer that expires together with the cancellation must not absorb it.

        After a pause of the process, all its timers expire at once (soak seed 244).
        """

        async def swallow_first_cancellation():
            try:
                await asyncio.sleep(3_600)
            except asyncio.CancelledError:
                await asyncio.sleep(3_600)

        async def scenario():
            task = asyncio.create_task(swallow_first_cancellation())
            await asyncio.sleep(0.01)
            async with asyncio.timeout(10):
                await cancel_and_wait([task])
            assert task.cancelled()

        run_virtual(scenario())

    def test_a_failed_task_does_not_prevent_cancelling_the_others(self):
        async def fail():
            raise ValueError("gone")

        async def scenario():
            tasks = [
                asyncio.create_task(fail()),
                asyncio.create_task(asyncio.sleep(9)),
            ]
            await asyncio.sleep(0.01)
            await cancel_and_wait(tasks)
            assert all(task.done() for task in tasks)

        run_virtual(scenario())


class TestSettingsReload:
    def make_reload(self, results):
        applied = []
        results = iter(results)
        reload = SettingsReload(
            make_settings(), lambda: next(results), applied.append, ManualClock()
        )
        return reload, applied

    def test_changed_settings_are_applied_once(self):
        changed = make_settings(store_address="10.0.0.8:1")
        reload, applied = self.make_reload(
            [Ok(make_settings()), Ok(changed), Ok(changed)]
        )
        for _ in range(3):
            reload.check_file(by_signal=True)
        assert applied == [changed]

    def test_refused_settings_are_logged_and_not_applied(self, caplog):
        reload, applied = self.make_reload(
            [Err("Node is missing"), Ok(make_settings())]
        )
        reload.check_file(by_signal=False)
        reload.check_file(by_signal=False)
        assert applied == []
        assert any("settings refused" in r.message for r in caplog.records)
