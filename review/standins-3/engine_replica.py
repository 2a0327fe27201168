"""Model replica that streams events over HTTP/1.1 as the pages say."""

import asyncio
import contextlib
import json
import time

from small_site import make_message, read_message

BORN_MS = int(time.time() * 1000)
LOAD_S = 0.9


class EngineReplica:
    """Runs up to `slots` streams at once and refuses those beyond.

    A run ends when its connection closes. `runs` keeps for each run its id, its first event,
    and the times at which it began and ended. With `copy_share`, that share of its complete
    streams has a second copy, which is sent where the next answer on the connection is
    expected, before that answer.
    """

    copy_share = 0.0
    event_text = ""
    # Requests whose paths begin so crash a replica that begins to run them.
    poison = ""
    random = None
    copies = 0
    # Time after which a replica is back that a request has crashed.
    back_after_s = 3.0
    crashes = 0

    def __init__(self, name, service, zone, record, models, slots=8, event_s=0.033,
                 prefill_s=0.0):
        self.name, self.service, self.zone = name, service, zone
        self.record, self.models, self.slots, self.event_s = record, models, slots, event_s
        self.prefill_s = prefill_s
        self.running = 0
        self.sequence = 0
        self.loading = False
        self.state = "ready"
        self.runs = []
        self.server = None
        self.writers = set()
        self.base_name, self.born_ms = name, BORN_MS
        self.returns = set()

    async def start(self, site):
        """Listen on a free port, and register in the store."""
        self.site = site
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        site.resources.callback(self.server.close)
        self.register("ready")

    def register(self, state):
        """Write the entry of this replica in the list."""
        self.state = state
        self.site.put("servers", self.name, {
            "Service": self.service, "Address": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": state, "ColdRemainingMs": 0,
            "Sequence": 1, "born": self.born_ms,
            "Models": [{"Name": m, "Version": v} for m, v in self.models.items()],
        })

    def stop(self):
        """Exit: refuse connections and close those that are open."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def crash(self):
        """End at once: open connections are reset, and none is accepted."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def crash_and_return(self):
        """Crash, and be back some seconds later as a new incarnation."""
        self.crashes += 1
        self.record.add("crashes", replica=self.name)
        self.crash()
        task = asyncio.ensure_future(self.come_back(self.name))
        self.returns.add(task)
        task.add_done_callback(self.returns.discard)

    async def come_back(self, old_name):
        await asyncio.sleep(self.back_after_s)
        self.site.store.data.put("servers", old_name, None)
        self.running = 0
        self.name = f"{self.base_name}.{self.crashes}"
        self.born_ms = int(time.time() * 1000)
        await self.start(self.site)
        self.record.add("is back", replica=self.name)

    async def serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        late_copy = b""
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                if late_copy:
                    writer.write(late_copy)
                    self.copies += 1
                    self.record.add("late copy of an earlier answer sent", replica=self.name,
                                    before_answer_to=fields.get("ebonylb-request-id"))
                    late_copy = b""
                if path == "/api/report":
                    writer.write(self.report(fields))
                elif path == "/api/order":
                    writer.write(self.order(fields, json.loads(body)))
                else:
                    answer = await self.answer(path, fields, reader, writer)
                    if self.copy_share and self.random.random() < self.copy_share:
                        late_copy = answer
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    def is_for_another(self, fields):
        return fields.get("ebonylb-expect-instance") not in (None, self.name)

    def report(self, fields):
        if self.is_for_another(fields):
            return make_message("HTTP/1.1 421 Misdirected", {})
        state = {
            "Stage": "prefill_decode", "Busy": self.loading, "Sequence": self.sequence,
            "Models": [{"Name": m, "Version": v, "Adapters": []} for m, v in self.models.items()],
            "NumWaiting": 0, "NumRunning": self.running, "KvUsed": 0, "KvTotal": 90000,
            "Handles": 0,
        }
        head = {"Content-Type": "application/json"}
        return make_message("HTTP/1.1 200 OK", head, json.dumps(state).encode())

    def order(self, fields, order):
        """Accept an order to load a version, which takes 0.9 s."""
        status = "202 Accepted"
        if self.is_for_another(fields):
            status = "421 Misdirected"
        elif self.loading or order.get("Expected", self.sequence) != self.sequence:
            status = "409 Conflict"
        elif self.models.get(order["Model"]) == order["Version"]:
            status = "200 OK"
        self.record.add("order", replica=self.name, version=order["Version"],
                        holder=order["Holder"], answer=status)
        if status.startswith("202"):
            self.sequence += 1
            self.loading = True
            asyncio.get_running_loop().call_later(
                LOAD_S, self.finish_load, order["Model"], order["Version"]
            )
        return make_message(f"HTTP/1.1 {status}", {})

    def finish_load(self, model, version):
        self.loading = False
        self.models[model] = version
        self.register(self.state)

    def load(self):
        return {"Ebonylb-Server-Load": f"{self.running},0,{self.slots},100"}

    async def answer(self, path, fields, reader, writer):
        """Run or refuse one request; the last part of its path is the number of events."""
        request_id = fields.get("ebonylb-request-id", "")
        head = {"Ebonylb-Request-Id": request_id, **self.load()}
        refusal = None
        if self.is_for_another(fields):
            refusal = "HTTP/1.1 421 Misdirected"
        elif self.running >= self.slots or self.loading:
            refusal = "HTTP/1.1 503 Busy"
        if refusal is not None:
            self.record.add("refused", replica=self.name, id=request_id, answer=refusal)
            refusal = make_message(refusal, head | {"Ebonylb-Not-Executed": "1"})
            writer.write(refusal)
            return refusal
        if self.poison and path.startswith(self.poison):
            self.record.add("run begins", replica=self.name, id=request_id, poison=True)
            self.runs.append({"id": request_id, "first": 1, "began_s": time.monotonic(),
                              "ended_s": time.monotonic()})
            self.crash_and_return()
            raise ConnectionResetError
        first = int(fields.get("last-event-id", 0)) + 1
        total = int(path.rsplit("/", 1)[-1])
        version = self.models[fields.get("ebonylb-model", next(iter(self.models)))]
        head |= {
            "Ebonylb-Response-Seal": f"seal.{self.name}.{request_id}",
            "Ebonylb-Weight-Versions": version,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
        run = {"id": request_id, "first": first, "began_s": time.monotonic(), "ended_s": None}
        self.runs.append(run)
        self.running += 1
        self.record.add("run begins", replica=self.name, id=request_id, first_event=first)
        sent = []

        async def send(data):
            sent.append(data)
            writer.write(data)
            await writer.drain()

        outcome = "run ended by a closed connection"
        try:
            await asyncio.sleep(self.prefill_s)
            await send(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(first, total + 1):
                await asyncio.sleep(self.event_s)
                if reader.at_eof() or writer.transport.is_closing():
                    raise ConnectionResetError
                event = f"id: {number}\ndata: {request_id}/{number}{self.event_text}\n\n".encode()
                await send(b"%x\r\n%s\r\n" % (len(event), event))
            await send(b"0\r\n\r\n")
            outcome = "run complete"
        finally:
            run["ended_s"] = time.monotonic()
            self.running -= 1
            self.record.add(outcome, replica=self.name, id=request_id)
        return b"".join(sent)
