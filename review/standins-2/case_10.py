"""The store is down while streams begin, shortly after a release has ended.

Later the machine that has the streams gets SIGTERM, and its clients take them up at
another one, while others begin new streams there. TROUBLE=0: the store is not down.
"""

import asyncio
import signal

from case_7 import EVENTS, HOST, read_events, run_stream, stream
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, main, make_route

DOWN_S = 4.5  # `platform_down` of the site
STABLE_S = 4.0  # StableWindowMs
DRAIN_S = 2.5  # DrainMs
STREAMS = 16
MIN_TAKEN_UP = 12


async def begin_new(site, number, begun):
    """Begin a stream at the second machine and read its first events."""
    headers = {
        "Host": HOST,
        "Ebonylb-Request-Id": site.new_id(),
        "Ebonylb-Deadline-Ms": "30000",
    }
    events = []
    task = asyncio.create_task(
        read_events(site, site.vms[1], f"/chat/new-{number}", headers, events)
    )
    await asyncio.wait([task], timeout=1.5)
    begun.append(bool(events))
    task.cancel()


async def play(site):
    route = make_route(
        "chat",
        "/chat/",
        "streaming",
        "talk",
        TimeoutMs=30_000,
        TargetLatencyMs=400,
        Attempts=3,
        Resumable=True,
    )
    site.configure(1, [route], ["talk"])
    old = [
        await site.add_replica(f"talk-{number}", "talk", zone, run_stream)
        for number, zone in enumerate(("north", "south"))
    ]
    for number, zone in enumerate(("north", "south")):
        await site.add_vm(number, zone)
    for vm in site.vms:
        if not await vm.wait_ready():
            return NOT_RUN
    await asyncio.sleep(2)
    for number, zone in ((2, "north"), (3, "south"), (4, "south")):
        await site.add_replica(f"talk-{number}", "talk", zone, run_stream, version="v2")
    await asyncio.sleep(1)
    for replica in old:
        replica.report_draining()
    await asyncio.sleep(DRAIN_S + 0.5)
    for replica in old:
        await replica.leave()
    await asyncio.sleep(3)
    site.record.write("release ended", version="v2")
    if TROUBLE:
        site.store.is_down = True
        site.record.write("store down")
    await asyncio.sleep(0.7)
    streams = []
    tasks = [
        asyncio.create_task(stream(site, number, streams)) for number in range(STREAMS)
    ]
    await asyncio.sleep(DOWN_S - 0.7)
    site.store.is_down = False
    site.record.write("store back")
    await asyncio.sleep(STABLE_S - 3)
    # It cuts what still runs 6.7 s later, longer than StableWindowMs after the outage.
    site.record.write("SIGTERM", machine=site.vms[0].name)
    site.vms[0].process.send_signal(signal.SIGTERM)
    await asyncio.sleep(6.7)
    begun = []
    new = [
        asyncio.create_task(begin_new(site, number, begun)) for number in range(STREAMS)
    ]
    await asyncio.gather(*tasks, *new)
    taken_up = [(events, versions) for events, versions, tries in streams if tries]
    went_on = sum(events == EVENTS for events, _ in taken_up)
    share_on = went_on / max(1, len(taken_up))
    share_new = sum(begun) / len(begun)
    site.record.write(
        "result",
        taken_up=len(taken_up),
        went_on=went_on,
        new=len(begun),
        new_begun=sum(begun),
    )
    if len(taken_up) < MIN_TAKEN_UP or share_new < 0.5:
        return NOT_RUN
    return BROKEN if share_on < share_new / 2 else HELD


if __name__ == "__main__":
    main(play)
