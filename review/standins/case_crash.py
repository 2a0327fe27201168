"""BUDGET: a stream that crashes the replicas that run it reaches them again and again."""

import asyncio
import time

from aiohttp import web
from review_site import TROUBLE, Connection, Replica, Site, run_case

POISON = "/live/9/20"
DOWN_S = 2.0
PAUSE_S = 2.2
STABLE_WINDOW_S = 4.0
CRASHES_BEFORE = 3
SENT_AFTER = 6
MAX_RETRIES = 3


class CrashingReplica(Replica):
    """Replica that crashes when it begins to run the request of one path.

    Its connections break, it accepts none for `DOWN_S`, and it comes back as a new
    incarnation with a new id. Its entry in the store goes after three heartbeats.
    """

    crashes = []
    reached = []
    site = None
    number = 0

    async def stream(self, request, request_id, headers, total):
        """Stream events, or crash after the first one."""
        if request.path != POISON:
            return await super().stream(request, request_id, headers, total)
        self.reached.append((time.monotonic(), request_id))
        if not TROUBLE:
            return await super().stream(request, request_id, headers, total)
        headers["Content-Type"] = "text/event-stream"
        headers["Ebonylb-Weight-Versions"] = "1"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(f"id: 1\ndata: {self.text(request_id, 1)}\n\n".encode())
        await asyncio.sleep(0.05)
        self.note(f"{self.name} crashes")
        self.crashes.append(time.monotonic())
        self.site.crash(self)
        request.transport.abort()
        raise asyncio.CancelledError


class CrashingSite(Site):
    """Site whose replicas crash and come back."""

    replica = CrashingReplica

    def __init__(self, note, **options):
        super().__init__(note, **options)
        CrashingReplica.site = self
        self.runners, self.restarts = {}, set()

    async def listen_for_server(self, server):
        """Serve a replica on a free port, so that it can be stopped alone."""
        return await self.serve(server, 0)

    async def serve(self, server, port):
        """Serve a replica on a port and return its address."""
        runner = web.AppRunner(
            server.build_app(), handler_cancellation=True, shutdown_timeout=0.0
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port, reuse_address=True).start()
        self.runners[server.name] = runner
        self.resources.push_async_callback(runner.cleanup)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    def crash(self, server):
        """End a replica now; it is back after `DOWN_S`."""
        task = asyncio.create_task(self.restart(server))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def restart(self, server):
        """Stop a replica and start a new incarnation of it at the same address."""
        down = asyncio.create_task(self.runners.pop(server.name).cleanup())
        address = self.server_addresses[server.name]
        await asyncio.sleep(DOWN_S)
        await down
        CrashingReplica.number += 1
        name = f"{server.name.partition('-r')[0]}".removeprefix("i-")
        fresh = self.replica(
            f"i-{name}-r{CrashingReplica.number}", server.service, server.models
        ).setup(self.note)
        self.servers[fresh.name] = fresh
        await self.serve(fresh, int(address.rsplit(":", 1)[1]))
        self.server_addresses[fresh.name] = address
        self.store.data.put("servers", server.name, None)
        self.register(fresh, "north")
        self.note(f"{server.name} is back as {fresh.name}")


async def play(note):
    async with CrashingSite(note, engines=3) as site:
        vms = list(site.vms.values())
        sent = 0

        async def send():
            nonlocal sent
            sent += 1
            connection = Connection(note, vms[sent % len(vms)])
            await connection.request(
                "POST", POISON, f"{sent:016x}", b"same body", Ebonylb_Model="m",
                Ebonylb_Deadline_Ms=8000,
            )
            connection.close()
            await asyncio.sleep(PAUSE_S if TROUBLE else 0.0)

        while len(CrashingReplica.crashes) < CRASHES_BEFORE and sent < 10:
            await send()
            if not TROUBLE and sent >= CRASHES_BEFORE:
                break
        if TROUBLE and len(CrashingReplica.crashes) < CRASHES_BEFORE:
            note(f"the request reached only {len(CrashingReplica.crashes)} replicas")
            return []
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)
        from_s = time.monotonic()
        for _ in range(SENT_AFTER):
            await send()
        late = {request_id for at, request_id in CrashingReplica.reached if at > from_s}
        note(f"{len(CrashingReplica.crashes)} crashes by {sent} client attempts")
        note(f"later than the window: {SENT_AFTER} sent, {len(late)} reached replicas")
        if TROUBLE and len(late) > MAX_RETRIES:
            return [
                f"BUDGET {len(late)} retries of a request that had crashed replicas "
                f"{CRASHES_BEFORE} times reached replicas over {STABLE_WINDOW_S} s later"
            ]
        return []


run_case(play)
