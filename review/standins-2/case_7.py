"""The store is slow while streams begin on a service with two software versions.

Later the machine that has the streams gets SIGTERM, and its clients take them up at
another one. TROUBLE=0: the store is not slow.
"""

import asyncio
import signal

from aiohttp import web
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Connection, main, make_route

SLOW_X = 60  # `platform_slow` of the site; an answer takes 4 ms otherwise
SLOW_S = 4.5
STREAMS = 6  # in a burst
BURSTS = 3
BURST_GAP_S = 1.3
EVENTS, EVENT_S = 260, 0.05
HOST = "site.example"
STREAMS_ALLOWED = 2  # "more than two streams"


async def run_stream(replica, request, request_id, headers, body):
    """Stream events whose data names the software version that made them."""
    first = int(request.headers.get("Last-Event-Id", "0")) + 1
    headers["Content-Type"] = "text/event-stream"
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    for number in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        text = f"id: {number}\ndata: {number}@{replica.software_version}\n\n"
        await response.write(text.encode())
    await response.write_eof()
    return response


async def read_events(site, vm, path, headers, events):
    """Send a request and add its events as (number, version); tell whether it ended."""
    connection = await Connection.open(vm.ip, vm.front)
    try:
        await connection.send("POST", path, headers, [b"question"])
        head = (await connection.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split()[1])
        site.record.write("answered", path=path, machine=vm.name, status=status)
        if status != 200:
            return status
        while size := int(await connection.reader.readline(), 16):
            block = (await connection.reader.readexactly(size)).decode()
            await connection.reader.readexactly(2)
            for event in block.split("\n\n"):
                if "data: " in event:
                    number, _, version = event.partition("data: ")[2].partition("@")
                    events.append((int(number), version.strip()))
        return 200
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return 0
    finally:
        connection.close()


async def stream(site, number, streams):
    """Read a stream at the first machine, and take it up at the second one."""
    first, second = site.vms
    path, stream_id = f"/chat/{number}", site.new_id()
    headers = {
        "Host": HOST,
        "Ebonylb-Request-Id": stream_id,
        "Ebonylb-Deadline-Ms": "30000",
    }
    events = []
    site.record.write("sent", path=path, id=stream_id)
    status = await read_events(site, first, path, headers, events)
    tries = 0
    while status != 200 and events and events[-1][0] < EVENTS and tries < 6:
        tries += 1
        await asyncio.sleep(0.3)
        headers |= {
            "Ebonylb-Request-Id": site.new_id(),
            "Last-Event-Id": str(events[-1][0]),
            "Resumes": stream_id,
        }
        site.record.write(
            "taken up", path=path, id=headers["Ebonylb-Request-Id"], after=events[-1][0]
        )
        status = await read_events(site, second, path, headers, events)
    versions = list(dict.fromkeys(version for _, version in events))
    site.record.write(
        "stream", path=path, id=stream_id, events=len(events), versions=versions
    )
    streams.append((len(events), versions, tries))


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
    for number, zone in enumerate(("south", "south")):
        await site.add_replica(f"talk-{number}", "talk", zone, run_stream)
    for number, zone in enumerate(("north", "south")):
        await site.add_vm(number, zone)
    for vm in site.vms:
        if not await vm.wait_ready():
            return NOT_RUN
    await asyncio.sleep(2)
    for number in (2, 3):
        await site.add_replica(
            f"talk-{number}", "talk", "north", run_stream, version="v2"
        )
    site.record.write("replicas of v2 listed beside those of v1")
    await asyncio.sleep(5)
    if TROUBLE:
        site.store.delay_s *= SLOW_X
        site.record.write("store slow", answer_ms=site.store.delay_s * 1000)
    streams, tasks = [], []
    for burst in range(BURSTS):
        for number in range(STREAMS):
            name = f"{burst}-{number}"
            tasks.append(asyncio.create_task(stream(site, name, streams)))
        await asyncio.sleep(BURST_GAP_S)
    await asyncio.sleep(max(0, SLOW_S - BURSTS * BURST_GAP_S))
    site.store.delay_s = 0.004
    await asyncio.sleep(0.5)
    site.record.write("SIGTERM", machine=site.vms[0].name)
    site.vms[0].process.send_signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    joined = [versions for _, versions, _ in streams if len(versions) > 1]
    site.record.write(
        "result",
        streams=len(streams),
        taken_up=sum(tries > 0 for _, _, tries in streams),
        whole=sum(events == EVENTS for events, _, _ in streams),
        of_two_versions=len(joined),
    )
    if sum(tries > 0 for _, _, tries in streams) < 6:
        return NOT_RUN
    return BROKEN if len(joined) > STREAMS_ALLOWED else HELD


if __name__ == "__main__":
    main(play)
