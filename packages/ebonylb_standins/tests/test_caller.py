import asyncio
import hashlib

from aiohttp import web

from ebonylb_standins.caller import Options, run_caller
from ebonylb_standins.server import open_server


async def issue_key(request):
    return web.json_response({"keys": ["vk1.a.b.1.c"]})


def run_caller_with(handler, **options):
    async def scenario():
        app = web.Application()
        app.router.add_post("/v1/keys", issue_key)
        app.router.add_post("/v1/call/booking-desk", handler)
        async with open_server(app, "127.0.0.1:0") as address:
            return await run_caller(Options([f"http://{address}"], **options))

    return asyncio.run(scenario())


def refuse(outcome):
    body = {"outcome": outcome, "reason": "test", "retry_after_ms": 1}
    return web.json_response(body, status=503)


class TestCaller:
    def test_retries_with_the_same_key(self):
        """Guards against a retry that the entry VM takes for a new booking."""
        keys = []

        async def handler(request):
            keys.append(request.headers["Idempotency-Key"])
            if len(keys) < 3:
                return refuse("not_run" if len(keys) == 1 else "may_have_run")
            digest = hashlib.sha256(await request.read()).hexdigest()
            return web.json_response({"booking": "b", "body_sha256": digest})

        summary = run_caller_with(handler, bookings=1)
        assert summary.answered == 1
        assert len(keys) == 3 and len(set(keys)) == 1

    def test_sends_the_issued_key(self):
        """Guards against bookings sent without their issued key."""
        keys = []

        async def handler(request):
            keys.append(request.headers.get("Idempotency-Key"))
            digest = hashlib.sha256(await request.read()).hexdigest()
            return web.json_response({"booking": "b", "body_sha256": digest})

        assert run_caller_with(handler, bookings=1, keys="issued").answered == 1
        assert keys == ["vk1.a.b.1.c"]

    def test_unclear_booking_without_a_key_is_final(self):
        """Guards against a retry by the caller that runs a booking twice."""
        calls = []

        async def handler(request):
            calls.append(request)
            return refuse("may_have_run")

        summary = run_caller_with(handler, bookings=1, keys="none")
        assert summary.unanswered == {"may_have_run": 1}
        assert len(calls) == 1

    def test_answer_of_another_request_is_a_mismatch(self):
        """Guards against responses of other requests that count as answered."""

        async def handler(request):
            return web.json_response({"booking": "b", "body_sha256": "other"})

        summary = run_caller_with(handler, bookings=2)
        assert (summary.answered, summary.mismatched) == (0, 2)
