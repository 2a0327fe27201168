"""Duties of entry VM processes towards the platform's API, over HTTP on loopback."""

import asyncio
import signal

import pytest

from ebonylb_standins.site.duty_rule import find_faults
from ebonylb_standins.site.duty_site import DutySite

TIMEOUT_S = 20.0


async def wait_for_reports(site, count):
    async with asyncio.timeout(TIMEOUT_S):
        while len(site.platform.reports()) < count:
            await site.platform.called.wait()


@pytest.mark.xdist_group("site")
class TestDutySite:
    def test_processes_report_and_take_over(self):
        """Guards against duties that the composition of the process leaves out."""

        async def scenario():
            async with DutySite(first_ip=230) as site:
                await wait_for_reports(site, 2)
                site.platform.lost_answers = 1
                await wait_for_reports(site, 4)
                holder = site.vms[site.platform.calls[-1].holder]
                status, metrics, _ = await site.read_metrics(holder)
                assert status == 200
                assert b"ebonylb_duties_held 1" in metrics
                assert b"ebonylb_usage_last_window_accepted 0" not in metrics
                holder.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(holder.process.wait(), 8) == 0
                count = len(site.platform.reports())
                await wait_for_reports(site, count + 2)
                calls = site.platform.calls
                assert calls[-1].holder != holder.name
                assert find_faults(calls, 3_000.0) == []
                windows = list(dict.fromkeys(call.window for call in calls))
                assert windows == list(range(windows[0], windows[-1] + 1))
                assert {call.content == {} for call in calls} == {True}

        asyncio.run(scenario())
