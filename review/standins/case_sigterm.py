"""LOST: requests that a leaving machine takes on a kept connection are cut off."""

import asyncio
import signal
import time

from review_site import TROUBLE, Connection, Site, run_case

GRACE_S = 8.0
SENT_AFTER_S = 4.0
WORK_S = 3.5


async def play(note):
    async with Site(note) as site:
        vm = site.vms["vm-0"]
        kept = {name: Connection(note, vm) for name in ("book", "ask", "live")}
        for name, connection in kept.items():
            amount = 1 if name == "live" else 50
            await connection.request(
                "POST", f"/{name}/{amount}", f"first-{name}", Ebonylb_Model="m"
            )
        stream = asyncio.create_task(
            Connection(note, vm).request(
                "POST", "/live/60", "long", Ebonylb_Model="m", Ebonylb_Deadline_Ms=12000
            )
        )
        await asyncio.sleep(1.0)
        term_s = time.monotonic()
        if TROUBLE:
            note("SIGTERM to vm-0")
            vm.send_signal(signal.SIGTERM)
            killer = asyncio.create_task(kill_after_grace(note, vm))
        await asyncio.sleep(SENT_AFTER_S)
        amounts = {"book": 3_500, "ask": 3_500, "live": 34}
        late = {
            name: asyncio.create_task(send(note, site, kept[name], name, amount))
            for name, amount in amounts.items()
        }
        breaks = [text for task in late.values() if (text := await task)]
        status, _, _, complete = await stream
        note(f"the long stream ended: {status}, whole: {complete}")
        note(f"{time.monotonic() - term_s:.2f} s since the SIGTERM")
        if TROUBLE:
            await killer
        return breaks


async def kill_after_grace(note, vm):
    """Do what the platform does: SIGKILL after GraceS."""
    try:
        async with asyncio.timeout(GRACE_S):
            await vm.process.wait()
        note(f"vm-0 has exited with {vm.process.returncode}")
    except TimeoutError:
        note("SIGKILL to vm-0")
        await vm.kill()


async def send(note, site, connection, name, amount):
    """Send a request on a kept connection; return how LOST is broken, if it is.

    It is not where the node closes the connection without passing the request on, or
    answers anything whole.
    """
    request_id = f"late-{name}"
    sent_s = time.monotonic()
    status, _, _, complete = await connection.request(
        "POST",
        f"/{name}/{amount}",
        request_id,
        Ebonylb_Model="m",
        Ebonylb_Deadline_Ms=12000,
    )
    lasted_s = time.monotonic() - sent_s
    runs = sum(server.run_counts[request_id] for server in site.servers.values())
    note(f"{request_id}: {lasted_s:.2f} s, run by {runs} replicas")
    if complete or not runs:
        return None
    return (
        f"LOST {request_id}, passed on to a replica, ends after {lasted_s:.2f} s without "
        f"a complete answer (status {status}); its deadline is 12 s, its route's 10 s"
    )


run_case(play)
