"""A replica carries out an order for new weights late, while a batch job is at work.

The job's route has `SingleVersion`. It was added after the order had been sent.
TROUBLE=0: the replica answers the orders and carries them out at once.
"""

import asyncio
import json
import time

from aiohttp import web
from harness import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Connection,
    Replica,
    main,
    make_route,
)

LOAD_S = 0.9
LATE_S = 6.0  # "carried out 2 to 12 s later"
UNANSWERED_S = 6.0  # for_s of `applied_late`
APPLY_S = 2.5  # ConfigApplyMs
EVENTS, EVENT_S = 100, 0.05
ITEMS = 24
WEIGHTS = "Ebonylb-Weight-Versions"
HOST = "site.example"


class Engine(Replica):
    """A model replica: runs items as streams and takes orders for new weights."""

    def __init__(self, site, name, service, zone, model):
        super().__init__(site, name, service, zone, run_item, slots=16)
        self.model, self.version = model, 1
        self.orders = 0
        self.loading = None
        self.leaves_unanswered_until = 0.0
        self.late = []
        self.controls = {"/api/report": self.report, "/api/order": self.order}

    def more_fields(self):
        return {"Models": [{"Name": self.model, "Version": self.version}]}

    async def report(self, request):
        state = {
            "Stage": "prefill_decode",
            "Busy": self.loading is not None,
            "Sequence": self.orders,
            **self.more_fields(),
        }
        return web.json_response(state)

    async def order(self, request):
        body = await request.json()
        expected = request.headers.get("Ebonylb-Expect-Instance", self.instance)
        if expected != self.instance:
            return web.Response(status=421)
        is_late = time.monotonic() < self.leaves_unanswered_until
        self.site.record.write("order", replica=self.name, unanswered=is_late, **body)
        self.site.orders.append(is_late)
        if not is_late:
            return web.Response(status=self.carry_out(body))
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_S, self.carry_out, body)
        await asyncio.sleep(60)
        return None

    def carry_out(self, body):
        """Begin an order and return the status."""
        if self.loading or body.get("Expected", self.orders) != self.orders:
            return 409
        if body["Version"] <= self.version:
            return 200
        self.orders += 1
        self.site.record.write(
            "order begins",
            replica=self.name,
            mode=body["Mode"],
            version=body["Version"],
        )
        self.loading = asyncio.create_task(self.load(body))
        return 202

    async def load(self, body):
        while body["Mode"] == "wait" and self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(LOAD_S)
        self.version = body["Version"]
        self.loading = None
        self.site.record.write("weights", replica=self.name, version=self.version)
        self.write_entry()


async def run_item(replica, request, request_id, headers, body):
    """Stream an item's events; refuse it while weights are loaded."""
    if replica.loading:
        del headers["Ebonylb-Response-Seal"]
        headers["Ebonylb-Not-Executed"] = "1"
        return web.Response(status=503, headers=headers)
    first = int(request.headers.get("Last-Event-Id", "0")) + 1
    version = replica.version
    headers |= {"Content-Type": "text/event-stream", WEIGHTS: str(version)}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    for number in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        line = ""
        if replica.version != version:
            version = replica.version
            line = f"{WEIGHTS.lower()}: {version}\n"
        replica.site.made.setdefault(request_id, {})[number] = version
        text = f"{line}id: {number}\ndata: {request_id}.{number}\n\n"
        await response.write(text.encode())
    await response.write_eof()
    return response


def make_batch(site):
    items = [
        {
            "Id": site.new_id(),
            "Path": f"/single/{number}",
            "Headers": {
                "Ebonylb-Model": "m",
                "Ebonylb-Token-Usage": f"100,{EVENTS * 44}",
                "Ebonylb-Prompt-Prefix": f"ab{number:x}:100",
            },
            "Body": "q83v",
            "Tokens": 100 + EVENTS * 44,
            "Group": f"g{number // 4}",
        }
        for number in range(ITEMS)
    ]
    return {
        "Step": 0,
        "Model": "m",
        "MinVersion": 1,
        "TargetGroups": ITEMS // 4,
        "Items": items,
    }


async def call(vm, method, path, headers, body=b""):
    connection = await Connection.open(vm.ip, vm.front)
    answer = await connection.call(method, path, {"Host": HOST, **headers}, body)
    connection.close()
    return answer


async def read_results(site, vm, batch_id):
    """Read a batch job until all its results are listed, or 40 s are over."""
    results, deadline = [], time.monotonic() + 40
    while len(results) < ITEMS and time.monotonic() < deadline:
        answer = await call(
            vm,
            "GET",
            f"/api/lots/{batch_id}?After={len(results)}",
            {"Ebonylb-Wait-Ms": "1000"},
        )
        if answer.status == 200:
            results += json.loads(answer.body)["Results"]
        await asyncio.sleep(0.3)
    return results


async def name_versions(site):
    """Name a version of the other model each second, as its trainer does."""
    for version in range(2, 40):
        value = {"Model": "n", "Version": version}
        site.store.put("op", "version/n", json.dumps(value).encode())
        await asyncio.sleep(1.5)


async def play(site):
    site.orders, site.made = [], {}
    plain = make_route(
        "other", "/other/", "rollout", "other-lm", Attempts=3, RetentionS=40.0
    )
    first = make_route(
        "roll", "/roll/", "rollout", "lm", Attempts=3, RetentionS=40.0, Resumable=True
    )
    single = make_route(
        "single",
        "/single/",
        "rollout",
        "lm",
        Attempts=3,
        RetentionS=60.0,
        ResultDeadlineMs=20_000,
        Resumable=True,
        SingleVersion=True,
    )
    engines = {
        service: {"Slots": 16, "KvCapacity": 97_030, "Stride": 44, "Models": models}
        for service, models in (
            ("lm", [{"Name": "m"}]),
            ("other-lm", [{"Name": "n"}]),
        )
    }
    services = ["lm", "other-lm"]
    site.configure(1, [plain, first], services, engines)
    zones = ("north", "south", "east")
    for number in range(3):
        await site.add_replica(f"lm-{number}", "lm", zones[number], "m", kind=Engine)
    for number in range(6):
        await site.add_replica(
            f"other-{number}", "other-lm", zones[number % 3], "n", kind=Engine
        )
    for number, zone in enumerate(zones):
        await site.add_vm(number, zone)
    for vm in site.vms:
        if not await vm.wait_ready():
            return NOT_RUN
    others = asyncio.create_task(name_versions(site))
    await asyncio.sleep(6)
    if TROUBLE:
        late = site.replicas[0]
        late.leaves_unanswered_until = time.monotonic() + UNANSWERED_S
    site.store.put("op", "version/m", json.dumps({"Model": "m", "Version": 2}).encode())
    site.record.write("version 2 of m named")
    await asyncio.sleep(2)
    site.configure(4, [plain, first, single], services, engines)
    await asyncio.sleep(APPLY_S + 0.5)
    batch_id, vm = site.new_id(), site.vms[1]
    answer = await call(
        vm,
        "POST",
        f"/single/{batch_id}",
        {"Ebonylb-Request-Id": batch_id, "Content-Type": "application/json"},
        json.dumps(make_batch(site)).encode(),
    )
    site.record.write("batch job answered", id=batch_id, status=answer.status)
    if answer.status != 202:
        return NOT_RUN
    results = await read_results(site, vm, batch_id)
    others.cancel()
    mixed = []
    for result in results:
        made = sorted(set(site.made.get(result["Id"], {}).values()))
        site.record.write(
            "result listed",
            id=result["Id"],
            state=result["State"],
            versions=result.get("Versions"),
            events_made_under=made,
        )
        if len(result.get("Versions", ())) > 1:
            mixed.append(result["Id"])
    site.record.write(
        "result",
        listed=len(results),
        with_several_versions=len(mixed),
        orders=len(site.orders),
        orders_unanswered=sum(site.orders),
    )
    if len(results) < ITEMS:
        return NOT_RUN
    return BROKEN if mixed else HELD


if __name__ == "__main__":
    main(play)
