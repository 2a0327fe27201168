"""State that entry VM processes show operators, read with ``ebonyctl``."""

import asyncio
import itertools
import json

import pytest

from ebonyctl.cli import main
from ebonylb_standins.site.duty_site import DutySite
from ebonylb_standins.site.stored_configuration import (
    ENGINE,
    configuration,
    with_customers,
    with_scaling,
)

KEYS = {"acme": ["secret-one", "secret-two"], "bolt": ["secret-three"]}
FEWER_KEYS = {"acme": ["secret-one"], "bolt": ["secret-three"]}
TIMEOUT_S = 20.0


def stored(version, keys):
    scaled = with_scaling(configuration(version), ENGINE, Min=1, Max=3, BootS=1.0)
    return with_customers(scaled, keys)


async def ask(capsys, command, addresses):
    """Return the document that a command prints."""
    assert await asyncio.to_thread(main, [command, *addresses, "--json"]) == 0
    text = capsys.readouterr().out
    assert "secret" not in text
    return json.loads(text)


async def wait_for(read, is_reached):
    """Return what `read` returns once it is what is waited for."""
    async with asyncio.timeout(TIMEOUT_S):
        while not is_reached(document := await read()):
            pass
    return document


@pytest.mark.xdist_group("site")
class TestState:
    def test_operators_see_keys_duties_usage_and_servers(self, capsys):
        """Guards against parts that the composition of the process leaves out."""

        async def scenario():
            async with DutySite(
                entry_vms=2,
                first_ip=250,
                first_configuration=stored(1, KEYS),
                settings=("Bounds.StrictRevoke=true",),
            ) as site:
                vm, other = site.vms.values()
                addresses = [vm.ip, f"{other.ip}:9464"]
                key = {"Authorization": "Bearer secret-one"}
                body = site.batch_body("b", [3] * 8)
                status, *_ = await site.call(vm, "POST", "/batch/1", "b", body, **key)
                assert status == 202
                site.store.data.put("op", "config", stored(2, FEWER_KEYS))

                def has_removal(document):
                    rows = document["keys"]
                    return all(
                        r["last_removal"] for r in rows if r["customer"] != "bolt"
                    )

                document = await wait_for(
                    lambda: ask(capsys, "keys", addresses), has_removal
                )
                assert [(r["customer"], r["keys"]) for r in document["keys"]] == [
                    ("acme", 1),
                    ("bolt", 1),
                ] * 2

                numbers = itertools.count()

                async def book_and_ask():
                    response = await site.call(
                        vm, "POST", "/book/1", f"q{next(numbers)}", **key
                    )
                    assert response[0] == 200
                    return await ask(capsys, "usage", addresses)

                await wait_for(
                    book_and_ask,
                    lambda document: any(
                        r["last_accepted"] and r["last_accepted"]["counts"].get("acme")
                        for r in document["usage"]
                    ),
                )
                document = await ask(capsys, "duties", addresses)
                assert document["duties"][-1]["subject"] == "usage"
                assert document["duties"][-1]["holder"] in site.vms
                document = await wait_for(
                    lambda: ask(capsys, "scaling", addresses),
                    lambda document: len(document["pools"]) >= 4,
                )
                zones = {row["failure_domain"] for row in document["pools"]}
                assert zones >= {"north", "south"}
                texts = [(site.folder / f"{name}.log").read_text() for name in site.vms]
                _, page, _ = await site.read_metrics_port(vm, "/state")
                texts.append(page.decode())
                assert any('"keys of customer changed"' in text for text in texts)
                assert not any("secret" in text for text in texts)

        asyncio.run(scenario())
