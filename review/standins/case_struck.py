"""CONFIG: a sound request that many clients send alike is refused for good."""

import asyncio
import json
import time

from aiohttp import web
from review_site import TROUBLE, Connection, Replica, Site, configuration, run_case

WORK_MS = 300
DOWN_S = 2.0
CRASHES_AT_S = (2.0, 6.0)
STABLE_WINDOW_S = 4.0
COUNTED = 30


def with_list(version):
    """Return the configuration with a route that was added later."""
    fields = json.loads(configuration(ask={"Attempts": 3}))
    added = next(r for r in fields["Routes"] if r["Name"] == "ask")
    fields["Routes"].append(added | {"Name": "list", "Prefix": "/list/"})
    return json.dumps(fields | {"Version": version}).encode()


class CrashingSite(Site):
    """Site whose replicas crash and come back with a new id."""

    def __init__(self, note, **options):
        super().__init__(note, **options)
        self.runners, self.count = {}, 0

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

    async def crash(self, server):
        """Break all connections of a replica and be down for a while."""
        self.note(f"{server.name} crashes with {len(server.at_work)} requests")
        runner = self.runners.pop(server.name)
        for site in list(runner.sites):
            await site.stop()
        for transport in list(server.transports):
            if transport is not None:
                transport.abort()
        down = asyncio.create_task(runner.cleanup())
        address = self.server_addresses[server.name]
        await asyncio.sleep(DOWN_S)
        await down
        self.count += 1
        fresh = Replica(f"i-back{self.count}", server.service, server.models)
        self.servers.pop(server.name)
        self.servers[fresh.name] = fresh.setup(self.note)
        await self.serve(fresh, int(address.rsplit(":", 1)[1]))
        self.server_addresses[fresh.name] = address
        self.store.data.put("servers", server.name, None)
        self.register(fresh, "north")
        self.note(f"{server.name} is back as {fresh.name}")


async def play(note):
    async with CrashingSite(note, desks=6) as site:
        vms = list(site.vms.values())
        answers = {"ask": [], "list": []}
        number = 0
        ended = False

        async def send(route, vm):
            nonlocal number
            number += 1
            connection = Connection(lambda text: None, vm)
            request_id = f"{number:016x}"
            sent_s = time.monotonic()
            # The same request each time: no body, as of a look-up. On the first route
            # each request has a body of its own.
            method, body = ("GET", b"") if route == "list" else ("POST", request_id.encode())
            status, _, answer, complete = await connection.request(
                method, f"/{route}/{WORK_MS}", request_id, body, Ebonylb_Deadline_Ms=2000
            )
            served = complete and status == 200
            reason = "" if served else json.loads(answer or b"{}").get("reason", "")
            answers[route].append((sent_s, status if complete else 0, served))
            note(f"{route} {request_id} at {vm.name}: {status} {reason}")
            connection.close()

        async def client(route, vm):
            while not ended:
                await send(route, vm)
                await asyncio.sleep(0.1)

        site.store.data.put("op", "config", with_list(2))
        note("configuration 2 adds the route /list/")
        await asyncio.sleep(1.0)
        began_s = time.monotonic()
        clients = [
            asyncio.create_task(client(route, vm))
            for route in answers
            for vm in vms
        ]
        for at_s in CRASHES_AT_S if TROUBLE else ():
            await asyncio.sleep(began_s + at_s - time.monotonic())
            while True:
                busy = [
                    s for s in site.servers.values() if s.service == "desk"
                    and any(r in s.listed for r in s.at_work)
                ]
                if busy:
                    break
                await asyncio.sleep(0.005)
            await site.crash(busy[0])
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)
        from_s = time.monotonic()
        note("steady state from here on")
        while min(sum(at > from_s for at, *_ in a) for a in answers.values()) < COUNTED:
            await asyncio.sleep(0.1)
        ended = True
        await asyncio.gather(*clients)
        shares = {}
        for route, sent in answers.items():
            counted = [served for at, _, served in sent if at > from_s]
            shares[route] = sum(counted) / len(counted)
            note(f"{route}: {sum(counted)} of {len(counted)} served in steady state")
        if shares["list"] < shares["ask"] / 4:
            return [
                "CONFIG requests on the route that was added later are served "
                f"{shares['list']:.2f} of the time, those on the first route "
                f"{shares['ask']:.2f}, {COUNTED} and more of each"
            ]
        return []


run_case(play)
