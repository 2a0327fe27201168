"""Replica of a plain service that speaks HTTP/1.1 as the pages say, byte by byte."""

import asyncio
import contextlib
import time

from small_site import make_message, read_message

BORN_MS = int(time.time() * 1000)


class PlainReplica:
    """Serves requests in `slots`, lets `queue` more wait, and refuses those beyond.

    With `copy_share`, that share of its answers has a second copy. The copy is sent where
    the next answer on the connection is expected, before that answer.
    """

    def __init__(self, name, service, zone, record, rng, slots=2, queue=1, work_s=0.04):
        self.name, self.service, self.zone = name, service, zone
        self.record, self.random = record, rng
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.copy_share = 0.0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = {}
        self.copies = 0
        self.server = None

    async def start(self, site):
        """Listen on a free port, and register in the store."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        site.resources.callback(self.server.close)
        site.put("servers", self.name, self.row())

    def row(self, state="ready"):
        """Return the entry of this replica in the list."""
        return {
            "Service": self.service, "Address": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": state,
            "ColdRemainingMs": 0, "Sequence": 1, "born": BORN_MS,
        }

    async def serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        late_copy = b""
        try:
            while True:
                line, fields, body = await read_message(reader)
                if late_copy:
                    writer.write(late_copy)
                    await writer.drain()
                    self.copies += 1
                    self.record.add("late copy of an earlier answer sent", replica=self.name,
                                    before_answer_to=fields.get("ebonylb-request-id"))
                answer = await self.answer(line, fields, body)
                writer.write(answer)
                await writer.drain()
                late_copy = answer if self.random.random() < self.copy_share else b""
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(self, line, fields, body):
        """Run or refuse one request, and return the bytes of the answer."""
        request_id = fields.get("ebonylb-request-id", "")
        head = {"Ebonylb-Request-Id": request_id}
        expected = fields.get("ebonylb-expect-instance")
        if expected not in (None, self.name):
            return make_message("HTTP/1.1 421 Misdirected", head | {"Ebonylb-Not-Executed": "1"})
        if self.free.locked() and self.waiting >= self.queue:
            self.record.add("refused", replica=self.name, id=request_id)
            return make_message(
                "HTTP/1.1 503 Busy", head | {"Ebonylb-Not-Executed": "1"} | self.load()
            )
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.add("run begins", replica=self.name, id=request_id)
            await asyncio.sleep(self.work_s)
        finally:
            self.free.release()
        self.record.add("run ended", replica=self.name, id=request_id)
        head["Ebonylb-Response-Seal"] = f"seal.{self.name}.{request_id}"
        return make_message("HTTP/1.1 200 OK", head | self.load(), b"done " + body)

    def load(self):
        """Return the header that tells the load."""
        running = self.slots - self.free._value
        return {"Ebonylb-Server-Load": f"{running},{self.waiting},{self.slots},100"}
