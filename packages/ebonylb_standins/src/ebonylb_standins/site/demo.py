"""Demonstration of the users' platform: three entry VM processes and a batch."""

import asyncio
import json

from ..streams import require
from .http_site import HttpSite

FIRST_IP = 230  # the entry VMs listen on 127.0.0.230 and up
EVENT_COUNTS = [60, 10, 3, 25]


async def read_batch(site: HttpSite, vm, batch_id: str) -> list[dict]:
    """Poll an entry VM until it has listed the results of all items."""
    results: list[dict] = []
    while len(results) < len(EVENT_COUNTS):
        status, body, _ = await site.call(
            vm,
            "GET",
            f"/api/lots/{batch_id}?After={len(results)}",
            Ebonylb_Wait_Ms="1000",
        )
        if status == 200:
            results.extend(json.loads(body)["Results"])
        else:
            await asyncio.sleep(0.1)
    return results


async def run_site_demo() -> str:
    """Serve a request and a batch, kill the batch's holder; return a summary.

    Raises an error unless two surviving entry VMs list the same complete results.
    """
    async with HttpSite(first_ip=FIRST_IP) as site:
        first, second, third = site.vms.values()
        status, body, _ = await site.call(first, "POST", "/ask/1", "hold-1", b"seat 4")
        require(status == 200 and body == b"hold-1:seat 4", f"status {status}")
        batch = site.batch_body("step-1", EVENT_COUNTS)
        status, _, _ = await site.call(first, "POST", "/batch/x", "step-1", batch)
        require(status == 202, f"submitting the batch: status {status}")
        await asyncio.sleep(0.3)
        await first.kill()
        results = await read_batch(site, second, "step-1")
        repeated_results = await read_batch(site, third, "step-1")
        require(results == repeated_results, "two entry VMs list different results")
        require(
            all(r["State"] == "succeeded" for r in results), "not every item succeeded"
        )
        holders = {
            line["entry_vm"]
            for line in second.log_lines() + third.log_lines()
            if line["message"] == "batch taken over"
        }
        return (
            f"3 entry VMs on the users' protocol; {first.name} was killed\n"
            f"step-1: {len(results)} complete results, taken over by "
            f"{', '.join(sorted(holders))}, identical at two entry VMs"
        )
