"""Edge cases of the HTTP interface, tested with real processes."""

import asyncio
import json
import random
import socket
import ssl
from pathlib import Path

import aiohttp
import pytest

from ebonylb_standins.background import BackgroundCluster
from ebonylb_standins.cluster import Cluster
from ebonylb_standins.sessions.script import Script, sheet_text
from ebonylb_standins.text import complete_text
from ebonylb_standins.topology import ABAY, reduce_site

# Clusters run one after another, as concurrent ones starve each other of CPU time.
pytestmark = pytest.mark.xdist_group("edges")

CERTIFICATES = Path(__file__).parent / "certificates"
BODY_BYTES = 3_000
READ_TIMEOUT_MS = 600
WAIT_TIMEOUT_S = 8

TOPOLOGY = reduce_site(ABAY, 2, 2)
TRAINER, OTHER_TRAINER, DESK = TOPOLOGY.parties
ENGINE, PLAIN = TOPOLOGY.engine_service, TOPOLOGY.plain_service
STEP = {
    "trainer": TRAINER,
    "step": 1,
    "session": 1,
    "service": ENGINE,
    "prompts": ["lime"],
    "samples_per_group": 1,
    "max_tokens": 8,
    "trainer_version": 1,
    "staleness_bound": 1,
}
POSTS = [
    ("/v1/generate", DESK),
    (f"/v1/call/{PLAIN}", DESK),
    ("/v1/keys", DESK),
    ("/v1/steps", TRAINER),
    (f"/v1/trainers/{TRAINER}/version", TRAINER),
    ("/admin/apply", "operator"),
    ("/admin/drain", "operator"),
]


@pytest.fixture(scope="module")
def site():
    limits = {"body_bytes": BODY_BYTES, "header_timeout_ms": READ_TIMEOUT_MS}
    cluster = Cluster(TOPOLOGY, sheet_text(TOPOLOGY), settings={"limits": limits})
    background = BackgroundCluster(cluster)
    background.start()
    try:
        background.run(Script(cluster).wait_ready())
        yield background
    finally:
        background.close()


def address(site, index=0):
    host, port = site.cluster.addresses[TOPOLOGY.entry_vms[index].name].split(":")
    return host, int(port)


def token(site, holder):
    if holder == "operator":
        return site.cluster.operator_token
    return site.cluster.party_tokens[holder]


def build_request(site, path, holder, body=b"", length=None, **headers):
    """Return the bytes of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: entry",
        f"Authorization: Bearer {token(site, holder)}",
        "Content-Type: application/json",
        f"Content-Length: {len(body) if length is None else length}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def connect(site, index=0):
    return socket.create_connection(address(site, index), timeout=WAIT_TIMEOUT_S)


def read_responses(connection, count):
    """Read complete responses; return status, JSON body and headers of each."""
    received, responses = b"", []
    while len(responses) < count:
        head, separator, rest = received.partition(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        length = int(fields.get(b"content-length", 0))
        if separator and len(rest) >= length:
            content = json.loads(rest[:length]) if length else {}
            responses.append((int(head.split()[1]), content, fields))
            received = rest[length:]
            continue
        block = connection.recv(65_536)
        if not block:
            raise ConnectionError(f"closed after {received!r}")
        received += block
    return responses


def exchange(site, request):
    """Send a request on its own connection and read its response."""
    with connect(site) as connection:
        connection.sendall(request)
        return read_responses(connection, 1)[0]


def post(site, path, holder, body, **headers):
    return exchange(
        site, build_request(site, path, holder, json.dumps(body).encode(), **headers)
    )


def generation(tokens=8, **changes):
    prompt = f"kiln len={tokens}"
    return {"service": ENGINE, "prompt": prompt, "max_tokens": tokens, **changes}


async def count_generations(site):
    """Return the number of running and queued generations on all engines."""
    names = [spec.name for spec in TOPOLOGY.engines]
    states = [await site.cluster.control(name) for name in names]
    return sum(state["running"] + state["queued"] for state in states)


async def is_idle(site):
    return await count_generations(site) == 0


def wait_until(site, condition, what):
    site.run(site.cluster.until(condition, WAIT_TIMEOUT_S * 1000, what))


class TestRefusedBeforeAnyWork:
    @pytest.mark.parametrize(("path", "holder"), POSTS)
    def test_oversized_body(self, site, path, holder):
        """Guards against bodies that fill the memory of an entry VM."""
        body = b'{"x": "' + b"a" * BODY_BYTES + b'"}'
        status, response, _ = exchange(site, build_request(site, path, holder, body))
        assert (status, response["outcome"], response["reason"]) == (
            413,
            "not_run",
            "body_too_large",
        )
        assert str(BODY_BYTES) in response["message"]

    @pytest.mark.parametrize(("path", "holder"), POSTS)
    def test_slow_body(self, site, path, holder):
        """Guards against clients that hold a request open without sending it."""
        status, response, _ = exchange(
            site, build_request(site, path, holder, b"{", 50)
        )
        assert (status, response["reason"]) == (408, "slow_body")

    def test_malformed_json_names_the_key(self, site):
        """Guards against an error that does not say what to correct."""
        status, response, _ = post(
            site, "/v1/generate", DESK, generation(max_tokens="x")
        )
        assert status == 400 and "max_tokens" in response["message"]
        status, response, _ = post(site, "/v1/generate", DESK, generation(tokns=1))
        assert status == 400 and "tokns" in response["message"]
        status, response, _ = exchange(
            site, build_request(site, "/v1/generate", DESK, b"{")
        )
        assert (status, response["reason"]) == (400, "bad_body")
        status, response, _ = post(site, "/v1/steps", TRAINER, STEP | {"session": "x"})
        assert status == 422 and "session" in response["message"]
        status, response, _ = post(site, "/v1/keys", DESK, {"count": 0})
        assert status == 400 and "count" in response["message"]

    @pytest.mark.parametrize(("path", "holder"), POSTS)
    @pytest.mark.parametrize("value", ["Bearer nobody", "Basic eDp5", "Bearer ", ""])
    def test_unknown_token(self, site, path, holder, value):
        """Guards against work for a caller without a valid token."""
        head = f"POST {path} HTTP/1.1\r\nHost: e\r\nAuthorization: {value}\r\n"
        request = (head + "Content-Length: 2\r\n\r\n{}").encode()
        assert exchange(site, request)[0] == 401

    def test_another_trainers_step(self, site):
        """Guards against a trainer that opens or updates the step of another."""
        assert post(site, "/v1/steps", OTHER_TRAINER, STEP)[0] == 403
        path = f"/v1/trainers/{TRAINER}/version"
        assert post(site, path, OTHER_TRAINER, {"version": 9})[0] == 403

    @pytest.mark.parametrize(
        ("headers", "reason"),
        [
            ({"X_Request_Id": "a b"}, "bad_request_id"),
            ({"X_Request_Id": "r" * 65}, "bad_request_id"),
            ({"X_Deadline_Ms": "-1"}, "bad_deadline"),
            ({"X_Deadline_Ms": "0"}, "bad_deadline"),
            ({"X_Deadline_Ms": "soon"}, "bad_deadline"),
            ({"X_Deadline_Ms": "9" * 400}, "bad_deadline"),
            ({"X_Deadline_Ms": "9" * 5_000}, "bad_deadline"),
        ],
    )
    def test_bad_headers(self, site, headers, reason):
        """Guards against status 500 for an invalid header."""
        status, response, _ = post(site, "/v1/generate", DESK, generation(), **headers)
        assert (status, response["reason"]) == (400, reason)


class TestConnections:
    def test_slow_header_is_closed(self, site):
        """Guards against connections that stay open without sending a request."""
        with connect(site) as connection:
            connection.sendall(b"POST /v1/generate HTTP/1.1\r\nHost:")
            try:
                assert connection.recv(100) == b""
            except ConnectionResetError:
                pass

    def test_half_closed_connection(self, site):
        """Guards against a call that a later request with its key cannot find."""
        path, body = f"/v1/call/{PLAIN}", b'{"slot": "half"}'
        request = build_request(site, path, DESK, body, Idempotency_Key="half")
        with connect(site) as connection:
            connection.sendall(request)
            connection.shutdown(socket.SHUT_WR)
            connection.recv(65_536)  # a response or the end, but no timeout

        async def is_found():
            response = await Script(site.cluster).book("half", "half")
            return response[0] == 200

        wait_until(site, is_found, "response by key")

    def test_half_closed_generation_is_cancelled(self, site):
        """Guards against engines that work for a half-closed connection."""
        body = json.dumps(generation(100_000, stream=True)).encode()
        with connect(site) as connection:
            connection.sendall(build_request(site, "/v1/generate", DESK, body))
            assert connection.recv(100).startswith(b"HTTP/1.1 200")
            connection.shutdown(socket.SHUT_WR)
            wait_until(site, lambda: is_idle(site), "cancelled at the engine")

    def test_pipelined_requests(self, site):
        """Guards against responses in another order than their requests."""
        requests = [
            build_request(
                site,
                "/v1/generate",
                DESK,
                json.dumps(generation(tokens)).encode(),
                X_Request_Id=f"pipe-{tokens}",
            )
            for tokens in (40, 1, 20)
        ]
        with connect(site) as connection:
            connection.sendall(b"".join(requests))
            responses = read_responses(connection, 3)
        token_counts = [
            (response["request_id"], response["tokens"]) for _, response, _ in responses
        ]
        assert token_counts == [("pipe-40", 40), ("pipe-1", 1), ("pipe-20", 20)]

    def test_client_that_leaves_cancels_the_work(self, site):
        """Guards against engines that work for a client that has disconnected."""
        body = json.dumps(generation(100_000, stream=True)).encode()
        for index in range(2):
            with connect(site, index) as connection:
                connection.sendall(build_request(site, "/v1/generate", DESK, body))
                assert connection.recv(100).startswith(b"HTTP/1.1 200")
                wait_until(site, lambda: count_generations(site), "stream at an engine")
            wait_until(site, lambda: is_idle(site), "cancelled at the engine")

    def test_never_the_data_of_another_caller(self, site):
        """Guards against responses mixed up by connections that break or are reused."""
        seed = 7
        rng = random.Random(seed)
        urls = site.cluster.entry_urls

        async def check_generation(session, number, party):
            body = generation(60, seed=number, stream=number % 2 == 0)
            body["prompt"] = f"{party} {number} len=60"
            headers = {"Authorization": f"Bearer {token(site, party)}"}
            url = urls[number % 2] + "/v1/generate"
            disconnects = rng.random() < 0.3
            text = ""
            async with session.post(url, json=body, headers=headers) as response:
                if disconnects:
                    await response.content.readany()
                    return
                content = await response.read()
                assert response.status == 200, content
            for line in content.splitlines():
                text += json.loads(line).get("text", "")
            assert text == complete_text(body["prompt"], number, 60), (seed, number)

        async def run():
            connector = aiohttp.TCPConnector(
                limit=8
            )  # few, so that connections are reused
            async with aiohttp.ClientSession(connector=connector) as session:
                parties = (DESK, TRAINER, OTHER_TRAINER)
                await asyncio.gather(
                    *(check_generation(session, n, parties[n % 3]) for n in range(60))
                )

        site.run(run())


class TestTls:
    def test_certificate_of_the_settings_is_used(self):
        """Guards against callers' tokens and data sent over plain HTTP."""
        pair = {
            "certificate": str(CERTIFICATES / "test_only.pem"),
            "private_key": str(CERTIFICATES / "test_only.key"),
        }
        context = ssl.create_default_context(cafile=pair["certificate"])

        async def scenario():
            topology = reduce_site(ABAY, 1, 1)
            cluster = Cluster(topology, with_entry_vms=False, settings={"tls": pair})
            async with cluster:
                (spec,) = topology.entry_vms
                cluster.addresses[spec.name] = cluster.lease_address()
                cluster.peer_addresses[spec.name] = cluster.lease_address()
                path = cluster.folder / "entry.jsonc"
                path.write_text(cluster.settings_text(spec))
                cluster.add_process(spec.name, ["ebonylb", "serve"], {"settings": path})
                cluster.processes[spec.name].start()
                host = cluster.addresses[spec.name]

                async def responds():
                    try:
                        url = f"https://{host}/healthz"
                        async with cluster.http.get(url, ssl=context) as response:
                            return response.status == 200
                    except aiohttp.ClientError:
                        return False

                process = cluster.processes[spec.name]
                await process.wait_for(responds, 20_000, "TLS")
                with pytest.raises(aiohttp.ClientError):
                    await cluster.http.get(f"http://{host}/healthz")

        asyncio.run(asyncio.wait_for(scenario(), 40))
