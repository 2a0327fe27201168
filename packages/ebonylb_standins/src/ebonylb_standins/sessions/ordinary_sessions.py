"""Sessions of an ordinary morning, one for each site."""

import asyncio

import aiohttp

from ..streams import StreamReader
from .script import Script, sheet_text

# An engine that has not loaded the version by then is recorded as not on it.
LOAD_TIMEOUT_MS = 8_000
STREAM_TOKENS = 500


async def publish_version(script: Script, version: int) -> None:
    """Publish a weight version and record whether all engines load it."""
    cluster, service = script.cluster, script.topology.engine_service
    await cluster.publish_weights(service, version, 100_000)

    async def all_loaded() -> bool:
        shown = [
            (await cluster.control(spec.name))["version"]
            for spec in script.topology.engines
        ]
        return min(shown) >= version

    try:
        await cluster.until(all_loaded, LOAD_TIMEOUT_MS, "load")
        result = f"all engines on version {version}"
    except TimeoutError:
        result = f"engines not on version {version}"
    script.record("weight store", f"publish version {version}", result)


async def drain_engine(script: Script) -> None:
    """Drain an engine, record its new work after 3 s of drain, and undo the drain."""
    spec = script.topology.engines[0]
    server = spec.name
    status = await script.drain(spec, True)
    result = f"{status}, leaving in its failure domain"
    script.record("operator", f"drain {server}", result)
    runs_before = (await script.cluster.counters(server)).get("runs", 0)
    await script.run_step(script.topology.parties[1], "step while it is drained", 2)
    runs_after = (await script.cluster.counters(server)).get("runs", 0)
    script.record(server, "new work after the mark", runs_after - runs_before)
    status = await script.drain(spec, False)
    script.record("operator", f"drain {server} --undo", status)


async def shut_down_entry_vm(script: Script) -> None:
    """Shut down an entry VM gracefully while three streams run through it."""
    cluster = script.cluster
    leaving = script.running_entry_vms[-1]
    readers = [
        StreamReader(
            cluster.url(leaving),
            cluster.party_tokens[script.desk],
            {
                "service": script.topology.engine_service,
                "prompt": f"last words {number} len={STREAM_TOKENS}",
                "max_tokens": STREAM_TOKENS,
                "seed": number,
                "stream": True,
            },
        )
        for number in range(3)
    ]
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        for reader in readers:
            group.create_task(reader.read(session))
        async with asyncio.timeout(10):
            await script.run_concurrently(
                *(reader.started.wait() for reader in readers)
            )
        cluster.terminate(leaving)
        code = await cluster.wait_exit(leaving)
    script.record(leaving, "SIGTERM during 3 streams", f"3 whole, exit code {code}")


async def abay_morning(script: Script) -> None:
    """Abay Limeworks: bookings, advice, a trainer's steps, a drain, a shutdown."""
    topology, desk = script.topology, script.desk
    lime, slate, _ = topology.parties
    script.record_heading("the day's sheet")
    await script.apply(sheet_text(topology), None, "apply the day's sheet")
    mistakes = sheet_text(topology).replace('"desk"', '"coach"')
    await script.apply(mistakes, 1, "apply a sheet with a mistake")
    await script.wait_ready()
    script.record_heading("bookings at the gate")
    for number, name in enumerate(script.running_entry_vms):
        await script.book_and_record(f"load-{number}", f"key-{number}", "book", name)
    await script.book_and_record(
        "load-0", "key-0", "send again", script.running_entry_vms[-1]
    )
    await script.book_and_record(
        "load-9", "key-0", "reuse the key for", script.running_entry_vms[-1]
    )
    script.record_heading("advice")
    await script.generate(desk, "draw time for 40 t", "ask for advice")
    await script.generate(
        desk, "fuel for kiln 2", "ask elsewhere", script.running_entry_vms[-1]
    )
    response = await script.book("load-8", "key-8", party=lime)
    result = script.describe_booking("load-8", response)
    script.record(lime, "book without a share", result)
    script.record_heading("training")
    await script.run_step(lime, "step on version 1")
    await publish_version(script, 2)
    await script.run_step(lime, "step on version 2", 2)
    await script.run_step(slate, "step of the other trainer", 2)
    script.record_heading("a drained backend server")
    await drain_engine(script)
    script.record_heading("an entry VM leaves")
    await shut_down_entry_vm(script)
    await script.generate(desk, "after the shutdown", "ask for advice")
    script.record_heading("the books")
    await script.apply(sheet_text(topology, 4.0), 1, "apply a changed sheet")
    await script.record_shares()
    await script.record_audit()
    script.record_run_counts()


async def song_huong_morning(script: Script) -> None:
    """Sông Hương: seat holds from kiosks, two trainers, a drain, a shutdown."""
    topology, desk = script.topology, script.desk
    river, perfume, _ = topology.parties
    script.record_heading("the day's sheet")
    sheet = sheet_text(topology, role="kiosk")
    await script.apply(sheet, None, "apply the day's sheet")
    await script.wait_ready()
    script.record_heading("seat holds")
    keys = await script.issue_keys(4, script.running_entry_vms[0])
    responses = await script.run_concurrently(
        *(
            script.book(f"seat-{number}", key, script.running_entry_vms[number % 3])
            for number, key in enumerate(keys)
        )
    )
    for number, response in enumerate(responses):
        result = script.describe_booking(f"seat-{number}", response)
        script.record(desk, f"hold seat-{number} with an issued key", result)
    seat_calls = [
        script.book("seat-7", "own-7", name) for name in script.running_entry_vms[:2]
    ]
    for response in await script.run_concurrently(*seat_calls):
        result = script.describe_booking("seat-7", response)
        script.record(desk, "hold seat-7 through two entry VMs", result)
    await script.book_and_record(
        "seat-0", keys[0], "look up", script.running_entry_vms[-1]
    )
    script.record_heading("two trainers and a question")
    await script.run_concurrently(
        script.generate(
            desk, "next ferry", "ask while both train", script.running_entry_vms[1]
        )
    )
    first_line = len(script.lines)
    await script.run_concurrently(
        script.run_step(river, "step beside the other", step=101),
        script.run_step(perfume, "step beside the other", step=102),
    )
    script.lines[first_line:] = sorted(script.lines[first_line:])
    await publish_version(script, 2)
    await script.run_step(river, "step on version 2", 2, step=103)
    script.record_heading("a drained backend server")
    await drain_engine(script)
    script.record_heading("an entry VM leaves")
    await shut_down_entry_vm(script)
    await script.book_and_record("seat-1", keys[1], "look up after the shutdown")
    script.record_heading("the books")
    changed = sheet_text(topology, 4.0, "kiosk")
    await script.apply(changed, 1, "apply a changed sheet")
    await script.record_shares()
    await script.record_audit()
    script.record_run_counts()
