import asyncio

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from ebonylb.api.admission import Admission


def post_while_not_ready(headers):
    """Return status and body of the response to a call while no work is admitted."""

    async def run():
        app = web.Application(middlewares=[Admission(lambda: False).middleware])
        async with TestClient(TestServer(app)) as client:
            response = await client.post("/v1/call/desk", headers=headers)
            return response.status, await response.json()

    return asyncio.run(run())


class TestNotReady:
    def test_request_without_a_key_was_not_run(self):
        """Guards against a refusal after which callers do not send again."""
        status, refusal = post_while_not_ready({})
        assert (status, refusal["outcome"]) == (503, "not_run")
        assert refusal["retry_after_ms"] > 0

    def test_call_with_a_key_may_have_run_at_an_earlier_sending(self):
        """Guards against "not run" for a call that has run through another entry VM."""
        status, refusal = post_while_not_ready({"Idempotency-Key": "k"})
        assert (status, refusal["outcome"]) == (503, "may_have_run")
        assert refusal["retry_after_ms"] > 0
