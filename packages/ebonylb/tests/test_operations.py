"""Logs, metrics page and settings reload."""

import asyncio
import json
import logging
import os

from result import Err, Ok

from ebonylb.adapters.metrics_page import PageMetrics
from ebonylb.service.reload import SettingsReload
from ebonylb.service.site_settings import SiteSettings
from ebonylb.tasks import cancel_and_wait
from ebonylb.telemetry.bounded_logs import BoundedLineHandler
from ebonylb_standins.histories.virtual_time import run_virtual
from ebonylb_standins.site.manual_clock import ManualClock


def settings(**changes):
    fields = {
        "name": "a",
        "failure_domain": "north",
        "region": "gorge",
        "caller_address": "10.0.0.1:1",
        "ready_address": "10.0.0.1:2",
        "store_address": "10.0.0.9:1",
    }
    return SiteSettings(**(fields | changes))


def record(level=logging.INFO, message="message"):
    return logging.LogRecord("x", level, "f", 1, message, None, None)


class TestBoundedLogs:
    def test_lines_above_the_rate_are_dropped_and_counted(self):
        reading, writing = os.pipe()
        handler = BoundedLineHandler(writing, lines_per_s=0.001, burst_lines=5)
        for _ in range(20):
            handler.emit(record())
        assert os.read(reading, 10_000).count(b"\n") == 5
        assert handler.dropped_count == 15
        os.close(reading)
        os.close(writing)

    def test_warnings_are_written_when_other_lines_exceed_the_rate(self):
        reading, writing = os.pipe()
        handler = BoundedLineHandler(writing, lines_per_s=0.001, burst_lines=5)
        for _ in range(20):
            handler.emit(record())
        handler.emit(record(logging.WARNING, "important"))
        assert b"important" in os.read(reading, 10_000)
        os.close(reading)
        os.close(writing)

    def test_full_pipe_does_not_block(self):
        """Guards against blocking on a full pipe, and against interleaved lines."""
        reading, writing = os.pipe()
        handler = BoundedLineHandler(writing, lines_per_s=1e9, burst_lines=1e9)
        handler.setFormatter(logging.Formatter('{"m": "%(message)s"}'))
        for number in range(3_000):
            handler.emit(record(message=f"{number:050d}"))
        assert handler.dropped_count > 0
        first = os.read(reading, 1_000_000)
        for number in range(3):
            handler.emit(record(message=f"after {number}"))
        text = first + os.read(reading, 1_000_000)
        for line in text.decode().splitlines():
            json.loads(line)
        os.close(reading)
        handler.emit(record())
        os.close(writing)


class TestMetricsPage:
    def test_counters_and_quantiles_are_shown(self):
        metrics = PageMetrics()
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

    def test_durations_beyond_the_range_count(self):
        metrics = PageMetrics()
        metrics.timing_ms("d", 0)
        metrics.timing_ms("d", 1e9)
        assert "ebonylb_d_ms_count 2" in metrics.render()


class TestEndingTasks:
    def test_a_task_that_loses_one_cancellation_ends(self):
        """Soak seed 244: after a pause all timers expired with the cancellation."""

        async def loses_the_first():
            try:
                await asyncio.sleep(3_600)
            except asyncio.CancelledError:
                await asyncio.sleep(3_600)

        async def scenario():
            task = asyncio.create_task(loses_the_first())
            await asyncio.sleep(0.01)
            async with asyncio.timeout(10):
                await cancel_and_wait([task])
            assert task.cancelled()

        run_virtual(scenario())

    def test_an_error_of_a_task_does_not_stop_the_others(self):
        async def fails():
            raise ValueError("gone")

        async def scenario():
            tasks = [
                asyncio.create_task(fails()),
                asyncio.create_task(asyncio.sleep(9)),
            ]
            await asyncio.sleep(0.01)
            await cancel_and_wait(tasks)
            assert all(task.done() for task in tasks)

        run_virtual(scenario())


class TestReload:
    def reload(self, answers):
        applied = []
        answers = iter(answers)
        reload = SettingsReload(
            settings(), lambda: next(answers), applied.append, ManualClock()
        )
        return reload, applied

    def test_changes_are_applied(self):
        changed = settings(store_address="10.0.0.8:1")
        reload, applied = self.reload([Ok(settings()), Ok(changed), Ok(changed)])
        for _ in range(3):
            reload.check(by_signal=True)
        assert applied == [changed]

    def test_refused_settings_change_nothing(self, caplog):
        reload, applied = self.reload([Err("Node is missing"), Ok(settings())])
        reload.check(by_signal=False)
        reload.check(by_signal=False)
        assert applied == []
        assert any("settings refused" in r.message for r in caplog.records)
