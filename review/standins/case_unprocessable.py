"""BUDGET: an item that was answered 422 three times reaches a replica again."""

import asyncio
import json
import time

from aiohttp import web
from review_site import TROUBLE, Connection, Replica, Site, run_case

STEPS = 5
DEADLINE_S = 8.0  # the trainer's; results are due after 7.5 s
MAX_422 = 3
REPEATED = "0a00000000000001"
LONG = "0b00000000000001"


class JudgingReplica(Replica):
    """Replica that can never do one item."""

    answered = []

    async def handle_request(self, request):
        """Answer 422 to the item that can never be done."""
        request_id = request.headers.get("Ebonylb-Request-Id", "")
        if request_id == REPEATED and not self.is_for_another_server(request):
            self.answered.append(time.monotonic())
            if TROUBLE:
                await request.read()
                await asyncio.sleep(0.05)
                self.note(f"{self.name} answers 422 to {request_id}")
                return web.Response(
                    status=422,
                    headers={"Ebonylb-Request-Id": request_id, **self.load_headers()},
                )
        return await super().handle_request(request)


class JudgingSite(Site):
    """Site with such replicas."""

    replica = JudgingReplica


def item(item_id, group, events):
    """Return an item of a batch job."""
    return {
        "Id": item_id,
        "Path": f"/batch/{item_id}/{events}",
        "Headers": {"Ebonylb-Model": "m", "Ebonylb-Token-Usage": f"100,{events * 44}"},
        "Body": "q83vEjRWeJA=",
        "Tokens": 100 + events * 44,
        "Group": group,
    }


async def play(note):
    async with JudgingSite(note) as site:
        vms = list(site.vms.values())
        for step in range(STEPS):
            # The group that was not complete comes first; it is half of the groups.
            items = [item(REPEATED, "g0", 5), item(LONG, "g0", 600)]
            items += [item(f"0c0000000000{step:02x}{n:02x}", f"h{step}", 8) for n in (1, 2)]
            job = f"ba7c{step:04x}"
            fields = {"Step": step, "Model": "m", "MinVersion": 1, "TargetGroups": 2}
            body = json.dumps(fields | {"Items": items}).encode()
            status, *_ = await Connection(note, vms[0]).request(
                "POST", "/batch/", job, body
            )
            if status != 202:
                raise RuntimeError(f"the batch job was answered {status}")
            listed = {}
            end_s = time.monotonic() + DEADLINE_S
            while time.monotonic() < end_s and len(listed) < len(items):
                await asyncio.sleep(0.5)
                _, _, body, _ = await Connection(lambda text: None, vms[1]).request(
                    "GET", f"/api/lots/{job}?After={len(listed)}", ""
                )
                for result in json.loads(body)["Results"]:
                    listed[result["Id"]] = result["State"]
            note(f"step {step}: listed {listed}")
            await Connection(note, vms[1]).request("DELETE", f"/api/lots/{job}", "")
            await asyncio.sleep(0.5)
        arrivals = len(JudgingReplica.answered)
        note(f"{REPEATED} reached replicas {arrivals} times in {STEPS} steps")
        if TROUBLE and arrivals > MAX_422:
            return [
                f"BUDGET item {REPEATED} was answered 422 {MAX_422} times and reached "
                f"a replica {arrivals - MAX_422} times after that"
            ]
        return []


run_case(play)
