"""Keys of customers at entry VM processes: over HTTP, in their logs and rows."""

import asyncio
import json

import pytest

from ebonylb_standins.site.http_site import HttpSite
from ebonylb_standins.site.stored_configuration import configuration, with_customers

KEYS = {"acme": ["secret-one", "secret-two"], "bolt": ["secret-three"]}
TIMEOUT_S = 20.0


def make_site(first_ip):
    return HttpSite(
        entry_vms=2,
        first_ip=first_ip,
        settings=("Bounds.StrictRevoke=true", "Bounds.RevokeMs=5000"),
        first_configuration=with_customers(configuration(1), KEYS, ["ask"]),
    )


def identities(site):
    return [
        (headers.get("authorization"), headers.get("ebonylb-tenant"))
        for server in site.servers.values()
        for headers in server.received_headers
        if "ebonylb-request-id" in headers
    ]


async def call(site, vm, key, path="/book/1", method="POST", request_id="q", **options):
    fields = {"Authorization": f"Bearer {key}"} if key else {}
    return await site.call(vm, method, path, request_id, **options, **fields)


async def read(site, vm, key):
    return await call(site, vm, key, "/api/lots/b", "GET", Ebonylb_Wait_Ms="1000")


async def send_raw(vm, head):
    """Send the head of a request as it is and return the whole response."""
    reader, writer = await asyncio.open_connection(*vm.front_address.split(":"))
    writer.write(head)
    async with asyncio.timeout(TIMEOUT_S):
        response = await reader.read()
    writer.close()
    return response


@pytest.mark.xdist_group("site")
class TestKeys:
    def test_keys_are_checked_and_stay_secret(self):
        """Guards against keys in a log, a metric, a row, an error or at a server."""

        async def scenario():
            async with make_site(first_ip=230) as site:
                first, second = site.vms.values()
                assert (await call(site, first, "secret-one"))[0] == 200
                assert (await call(site, first, None, "/ask/1"))[0] == 200
                assert (await call(site, second, "secret-none"))[0] == 401
                batch = site.batch_body("b", [3], scored=True)
                options = {"request_id": "b", "body": batch}
                path = "/batch/1"
                status, *_ = await call(site, first, "secret-one", path, **options)
                assert status == 202
                results = []
                async with asyncio.timeout(TIMEOUT_S):
                    while not results:
                        status, body, _ = await read(site, second, "secret-two")
                        results = json.loads(body)["Results"] if status == 200 else []
                assert results[0]["Score"] == "seal.score-b-0"
                assert (await read(site, second, "secret-three"))[0] == 404
                assert set(identities(site)) == {(None, "acme"), (None, None)}
                for value in (b"secret-one" * 2_000, b"Bearer secret-one\x01"):
                    head = b"GET /ask/1 HTTP/1.1\r\nHost: x\r\nAuthorization: "
                    response = await send_raw(first, head + value + b"\r\n\r\n")
                    assert b" 400 " in response
                    assert b"malformed request" in response
                    assert b"secret" not in response
                twice = KEYS | {"cert": ["secret-one"]}
                document = with_customers(configuration(2), twice)
                site.store.data.put("op", "config", document)
                await asyncio.sleep(0.5)
                assert (await call(site, second, "secret-one"))[0] == 200
                _, page, _ = await site.read_metrics(second)
                assert b"ebonylb_customers_refused_unknown_key_total 1" in page
                assert b"ebonylb_customers_view_age_ms" in page
                texts = [page]
                for vm in (first, second):
                    texts.append((site.folder / f"{vm.name}.log").read_bytes())
                    assert b"have the same key" in texts[-1]
                rows = site.store.data.rows.values()
                texts += [row.value for row in rows if row.row_key.table != "op"]
                assert not any(b"secret" in text for text in texts)

        asyncio.run(scenario())

    def test_keys_are_refused_while_the_store_is_down(self):
        async def scenario():
            async with make_site(first_ip=240) as site:
                (vm, _) = site.vms.values()
                loop = asyncio.get_running_loop()
                site.store.faults.down = True
                down_s = loop.time()
                status = 200
                while status == 200:
                    sent_s = loop.time()
                    assert sent_s < down_s + 5.0
                    status, body, headers = await call(site, vm, "secret-one")
                    await asyncio.sleep(0.05)
                assert (status, json.loads(body)["reason"]) == (503, "keys_not_current")
                assert float(headers["Retry-After"]) == 0.05
                assert (await call(site, vm, None, "/ask/1"))[0] == 200
                site.store.faults.down = False
                await site.wait_ready(vm)
                assert (await call(site, vm, "secret-one"))[0] == 200

        asyncio.run(scenario())


@pytest.mark.xdist_group("site")
class TestWithoutCustomers:
    def test_headers_pass_and_errors_are_as_before(self):
        """Guards against changes of bytes where no customers are configured."""

        async def scenario():
            async with HttpSite(entry_vms=1, first_ip=245) as site:
                (vm,) = site.vms.values()
                fields = {"Ebonylb_Tenant": "any", "Authorization": "Basic any"}
                status, *_ = await site.call(vm, "POST", "/ask/1", "q", **fields)
                assert status == 200
                assert identities(site) == [("Basic any", "any")]
                head = b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"
                response = await send_raw(vm, head)
                assert b"Got more than 16384 bytes" in response

        asyncio.run(scenario())
