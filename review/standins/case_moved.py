"""LOST: items of an open batch job stay with a service that its route has left."""

import asyncio
import json
import time

from review_site import TROUBLE, Connection, Site, configuration, run_case

ITEMS, EVENTS = 4, 60
DRAIN_S = 2.5
LINGER_S = 0.5
TRAINER_WAITS_S = 12.0
AT_NO_REPLICA_S = 5.0


def configured(version, service):
    """Return a configuration whose rollout route leads to a service."""
    fields = json.loads(configuration(batch={"Service": service}))
    engine = next(s for s in fields["Services"] if s["Name"] == "lm")
    fields["Services"].append(engine | {"Name": "lm-next"})
    return json.dumps(fields | {"Version": version}).encode()


class MovingSite(Site):
    """Site with two model services, the second one without work at first."""

    def __init__(self, note):
        super().__init__(note)
        self.first_configuration = configured(1, "lm")
        self.wanted += [("lm-next", ("m",), n) for n in range(2)]

    async def listen_for_server(self, server):
        """Serve a replica so that it can be stopped alone; return its address."""
        from aiohttp import web

        runner = web.AppRunner(
            server.build_app(), handler_cancellation=True, shutdown_timeout=0.0
        )
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.resources.push_async_callback(runner.cleanup)
        server.runner = runner
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    async def take_away(self, name):
        """Let a replica drain, leave the store and exit."""
        server = self.servers[name]
        self.register(server, "north", "draining")
        self.note(f"{name} reports draining")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        self.store.data.put("servers", name, None)
        self.note(f"{name} leaves the store and exits")
        for transport in list(server.transports):
            if transport is not None:
                transport.abort()
        await server.runner.cleanup()


async def play(note):
    async with MovingSite(note) as site:
        vm = site.vms["vm-0"]
        items = [
            {
                "Id": f"{n:016x}",
                "Path": f"/batch/{n}/{EVENTS}",
                "Headers": {"Ebonylb-Model": "m", "Ebonylb-Token-Usage": "100,2200"},
                "Body": "q83vEjRWeJA=",
                "Tokens": 2_300,
                "Group": "g0",
            }
            for n in range(ITEMS)
        ]
        batch = {"Step": 0, "Model": "m", "MinVersion": 1, "TargetGroups": 1}
        began_s = time.monotonic()
        status, *_ = await Connection(note, vm).request(
            "POST", "/batch/b", "ba7c4", json.dumps(batch | {"Items": items}).encode()
        )
        if status != 202:
            raise RuntimeError(f"the batch job was answered {status}")
        leaving = None
        await asyncio.sleep(0.5)
        if TROUBLE:
            site.store.data.put("op", "config", configured(2, "lm-next"))
            note("configuration 2 moves the rollout route from lm to lm-next")
            await asyncio.sleep(1.0)
            old = [s.name for s in site.servers.values() if s.service == "lm"]
            leaving = asyncio.gather(*(site.take_away(name) for name in old))
        listed = {}
        away_since = {item["Id"]: began_s for item in items}
        longest = dict.fromkeys(away_since, 0.0)
        while time.monotonic() - began_s < TRAINER_WAITS_S and len(listed) < ITEMS:
            for _ in range(10):
                await asyncio.sleep(0.05)
                now = time.monotonic()
                for item_id in away_since:
                    if any(item_id in s.at_work for s in site.servers.values()):
                        away_since[item_id] = now
                    if item_id not in listed:
                        longest[item_id] = now - away_since[item_id]
            _, _, body, _ = await Connection(lambda text: None, vm).request(
                "GET", f"/api/lots/ba7c4?After={len(listed)}", ""
            )
            for result in json.loads(body)["Results"]:
                listed[result["Id"]] = result["State"]
        note(f"after {time.monotonic() - began_s:.1f} s listed: {listed}")
        note(f"at no replica until then, in s: { {k: round(v, 1) for k, v in longest.items()} }")
        idle = [s.name for s in site.servers.values() if s.service == "lm-next" and not s.at_work]
        note(f"ready and idle all the while: {idle}")
        if leaving is not None:
            await leaving
        return [
            f"LOST the step ran out of time; item {item_id}, which no replica has finished, "
            f"had been at no replica for {longest[item_id]:.1f} s"
            for item_id in away_since
            if item_id not in listed and longest[item_id] >= AT_NO_REPLICA_S
        ]


run_case(play)
